//! A loaded host serves workspaces by weight, whatever one workspace sends.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use waxwingusher_core::{Clock, ManualClock, ServiceName, WorkspaceName};
use waxwingusher_limits::{Dequeued, FairQueue, FairQueueSettings, QueueRefusal, RequestClass};

/// The time that the host takes to serve one request.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// How long a request may wait.
const MAX_WAIT: Duration = Duration::from_millis(500);

type Queue = FairQueue<(&'static str, Duration)>;

fn queue(clock: &ManualClock) -> Queue {
    let settings = FairQueueSettings {
        service_interval: SERVICE_TIME,
        ..FairQueueSettings::default()
    };
    FairQueue::new(Arc::new(clock.clone()), settings)
}

fn class(workspace: &str, service: &str, weight: u32) -> RequestClass {
    RequestClass {
        workspace: WorkspaceName::new(workspace),
        service: ServiceName::new(service),
        weight,
    }
}

#[derive(Debug, Default, Clone, PartialEq)]
struct Served {
    count: u64,
    longest_wait: Duration,
    refused: u64,
    expired: u64,
}

/// Sends loads (name, weight, requests per service time) for 20 s.
fn run(loads: &[(&'static str, u32, f64)]) -> HashMap<&'static str, Served> {
    let clock = ManualClock::new();
    let mut queue = queue(&clock);
    let mut served: HashMap<_, Served> = HashMap::new();
    let mut due = vec![0.0; loads.len()];
    for _ in 0..4000 {
        for ((name, weight, load), due) in loads.iter().zip(&mut due) {
            *due += load;
            while *due >= 1.0 {
                *due -= 1.0;
                let deadline = clock.now() + MAX_WAIT;
                let item = (*name, clock.elapsed());
                let pushed = queue.push(&class(name, "desk", *weight), deadline, item);
                served.entry(*name).or_default().refused += u64::from(pushed.is_err());
            }
        }
        while let Some(next) = queue.pop() {
            let (name, since) = match next {
                Dequeued::Run(item) => {
                    queue.finish(&class(item.0, "desk", 1));
                    item
                }
                Dequeued::Expired((name, _)) => {
                    queue.finish(&class(name, "desk", 1));
                    served.entry(name).or_default().expired += 1;
                    continue;
                }
            };
            let entry = served.entry(name).or_default();
            entry.count += 1;
            entry.longest_wait = entry.longest_wait.max(clock.elapsed() - since);
            break;
        }
        clock.advance(SERVICE_TIME);
    }
    served
}

#[test]
fn a_flood_leaves_the_others_their_shares() {
    let light = run(&[("a", 1, 0.2), ("b", 1, 0.2), ("c", 1, 0.2)]);
    let flooded = run(&[("a", 1, 0.2), ("b", 1, 0.2), ("c", 1, 5.0)]);
    for name in ["a", "b"] {
        let (light, flooded) = (&light[name], &flooded[name]);
        assert_eq!((flooded.refused, flooded.expired), (0, 0), "{name}");
        assert!(flooded.count + 1 >= light.count, "{name}: {flooded:?}");
        assert!(
            flooded.longest_wait <= SERVICE_TIME * 4,
            "{name}: {flooded:?}"
        );
    }
    assert!(flooded["c"].refused > 10_000);
    let late = &flooded["c"].expired;
    assert!(*late * 100 <= flooded["c"].count, "{late} waited in vain");
}

#[test]
fn full_queues_are_served_by_weight() {
    let served = run(&[("a", 1, 3.0), ("b", 2, 3.0), ("c", 5, 3.0)]);
    let share = |name| served[name].count as f64 / 4000.0;
    assert!((share("a") - 0.125).abs() < 0.01, "{served:?}");
    assert!((share("b") - 0.25).abs() < 0.01, "{served:?}");
    assert!((share("c") - 0.625).abs() < 0.01, "{served:?}");
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_at_once() {
    let clock = ManualClock::new();
    let mut queue = queue(&clock);
    let class = class("a", "desk", 1);
    let soon = clock.now() + SERVICE_TIME * 7 / 2;
    for _ in 0..3 {
        assert_matches!(queue.push(&class, soon, ("a", SERVICE_TIME)), Ok(()));
    }
    assert_matches!(
        queue.push(&class, soon, ("a", SERVICE_TIME)),
        Err((_, QueueRefusal::TooLate))
    );
    clock.advance(SERVICE_TIME * 4);
    assert_matches!(queue.pop(), Some(Dequeued::Expired(_)));
    queue.remove_if(|_| true);
    assert!(queue.is_empty());
    assert_eq!(queue.len(), 0);
}

#[test]
fn a_queue_is_bounded() {
    let clock = ManualClock::new();
    let mut queue = queue(&clock);
    let class = class("a", "desk", 1);
    let late = clock.now() + Duration::from_secs(60);
    for _ in 0..FairQueueSettings::default().per_workspace {
        assert_matches!(queue.push(&class, late, ("a", SERVICE_TIME)), Ok(()));
    }
    let refused = queue.push(&class, late, ("a", SERVICE_TIME));
    assert_matches!(refused, Err((_, QueueRefusal::Full)));
}

/// Pushes requests of one class until one is refused, and starts all that may
/// start.
fn occupy(queue: &mut Queue, class: &RequestClass, deadline: Instant) -> usize {
    while queue.push(class, deadline, ("busy", SERVICE_TIME)).is_ok() {}
    let mut started = 0;
    while let Some(Dequeued::Run(_)) = queue.pop() {
        started += 1;
        let _ = queue.push(class, deadline, ("busy", SERVICE_TIME));
    }
    started
}

#[test]
fn neither_a_workspace_nor_a_service_occupies_all_workers() {
    let clock = ManualClock::new();
    let mut queue = queue(&clock);
    let workers = FairQueueSettings::default().workers;
    let late = clock.now() + Duration::from_secs(600);
    let others = [class("a", "other", 1), class("b", "hanging", 1)];
    // Both have sent requests, so that no share is all of the workers.
    for other in &others {
        assert_matches!(queue.push(other, late, ("present", SERVICE_TIME)), Ok(()));
        assert_matches!(queue.pop(), Some(Dequeued::Run(_)));
    }
    let started = occupy(&mut queue, &class("a", "hanging", 1), late);
    assert_eq!(started, workers * 3 / 4 - others.len());

    let unaffected = class("b", "other", 1);
    for _ in 0..workers / 4 {
        assert_matches!(
            queue.push(&unaffected, late, ("free", SERVICE_TIME)),
            Ok(())
        );
        assert_matches!(queue.pop(), Some(Dequeued::Run(("free", _))));
    }
    assert_matches!(queue.pop(), None);
    queue.finish(&unaffected);
    assert_matches!(queue.pop(), None, "the last quarter is kept");
}

#[test]
fn a_hanging_service_does_not_fill_the_queue_of_its_workspace() {
    let clock = ManualClock::new();
    let mut queue = queue(&clock);
    let late = clock.now() + Duration::from_secs(600);
    let other = class("a", "other", 1);
    let hanging = class("a", "hanging", 1);
    assert_matches!(queue.push(&other, late, ("first", SERVICE_TIME)), Ok(()));
    while queue.push(&hanging, late, ("busy", SERVICE_TIME)).is_ok() {}
    let most = FairQueueSettings::default().per_workspace;
    assert_eq!(queue.len(), most * 3 / 4);
    assert_matches!(queue.push(&other, late, ("second", SERVICE_TIME)), Ok(()));
}

#[test]
fn what_can_start_at_once_is_not_refused_because_others_wait() {
    let clock = ManualClock::new();
    let mut queue = queue(&clock);
    let late = clock.now() + Duration::from_secs(600);
    let other = class("a", "other", 1);
    assert_matches!(queue.push(&other, late, ("seen", SERVICE_TIME)), Ok(()));
    assert_matches!(queue.pop(), Some(Dequeued::Run(_)));
    queue.finish(&other);
    occupy(&mut queue, &class("a", "hanging", 1), late);
    for _ in 0..100 {
        clock.advance(Duration::from_secs(1));
        let soon = clock.now() + Duration::from_millis(1);
        assert_matches!(queue.push(&other, soon, ("soon", SERVICE_TIME)), Ok(()));
        assert_matches!(queue.pop(), Some(Dequeued::Run(("soon", _))));
        assert_matches!(queue.pop(), None);
        queue.finish(&other);
    }
}
