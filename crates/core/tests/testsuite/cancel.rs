//! Cancellation affects a token, its children and their callbacks only.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use waxwingusher_core::CancelToken;

#[test]
fn cancelling_a_parent_cancels_its_children() {
    let parent = CancelToken::new();
    let child = parent.child();
    parent.cancel();
    assert!(child.is_cancelled());
    assert!(parent.child().is_cancelled());
}

#[test]
fn cancelling_a_child_leaves_its_parent_alone() {
    let parent = CancelToken::new();
    parent.child().cancel();
    assert!(!parent.is_cancelled());
}

#[test]
fn callbacks_run_once() {
    let runs = Arc::new(AtomicU32::new(0));
    let token = CancelToken::new();
    let counter = runs.clone();
    token.on_cancel(move || {
        counter.fetch_add(1, Ordering::SeqCst);
    });
    token.cancel();
    token.cancel();
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[test]
fn waiting_ends_when_another_thread_cancels() {
    let token = CancelToken::new();
    let remote = token.clone();
    let thread = std::thread::spawn(move || remote.cancel());
    assert!(token.wait(Duration::from_secs(600)));
    thread.join().expect("the cancelling thread ends");
}
