//! Rendezvous weights are stable, and a lost candidate moves only its own keys.

use waxwingusher_core::rendezvous;

#[test]
fn weights_never_change_between_releases() {
    assert_eq!(
        rendezvous::weight("key", "host-1"),
        9_805_734_673_626_004_878
    );
}

#[test]
fn losing_a_candidate_moves_only_its_keys() {
    let all: Vec<String> = (0..10).map(|i| format!("host-{i}")).collect();
    for i in 0..1_000 {
        let key = format!("key-{i}");
        let before = rendezvous::pick(&key, all.iter(), String::as_str).expect("hosts exist");
        let after = rendezvous::pick(&key, all[1..].iter(), String::as_str).expect("hosts exist");
        assert!(before == after || *before == all[0]);
    }
}
