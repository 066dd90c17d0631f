//! Holders that started before the first opening of a new fleet need not wait for
//! former holders; all others must.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::{
    Clock, FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock, WorkspaceName,
};
use waxwingusher_limits::{Limiter, LimiterSettings, SpendDecision};

use crate::fleet::snapshot;

const OPENS_AFTER: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

/// One host of a fleet that opens five seconds after the clock's start.
struct Opening {
    clock: ManualClock,
    limiter: Limiter,
}

impl Opening {
    fn start(clock: ManualClock) -> Self {
        let settings = LimiterSettings {
            opened_at: Some(std::time::SystemTime::UNIX_EPOCH + OPENS_AFTER),
            ..LimiterSettings::new(vec![FailureDomain::new("north")])
        };
        let shared: Arc<dyn Clock> = Arc::new(clock.clone());
        let mut limiter = Limiter::new(HostId::new("north-0"), 1, shared, settings);
        limiter.apply_snapshot(&snapshot(1, &[("payroll", 10_000, 10)]));
        Self { clock, limiter }
    }

    fn apply_list(&mut self, version: u64) {
        self.limiter.apply_host_list(&HostList {
            version,
            hosts: vec![HostEntry {
                id: HostId::new("north-0"),
                peer_addr: ([127, 0, 0, 1], 1).into(),
                failure_domain: FailureDomain::new("north"),
                state: HostState::Live,
            }],
        });
    }

    /// Reads the list once a second and returns when a request is admitted.
    fn admitted_after(&mut self, version: u64, limit: Duration) -> Option<Duration> {
        let workspace = WorkspaceName::new("payroll");
        while self.clock.elapsed() < limit {
            let now = self.clock.now();
            self.limiter.confirm_host_list(version, now);
            self.limiter.tick();
            if self.limiter.spend(&workspace) == SpendDecision::Spent {
                return Some(self.clock.elapsed());
            }
            self.clock.advance(SECOND);
        }
        None
    }
}

#[test]
fn a_holder_that_started_before_the_opening_need_not_wait() {
    let mut host = Opening::start(ManualClock::new());
    host.apply_list(1);
    let after = host
        .admitted_after(1, 20 * SECOND)
        .expect("the share starts");
    assert!(after >= OPENS_AFTER, "{after:?}");
    let settings = LimiterSettings::new(Vec::new());
    let settled = settings.with_drift(settings.list_lag * 2);
    assert!(after <= OPENS_AFTER + settled + 2 * SECOND, "{after:?}");
    assert!(after < settings.take_over_wait(), "{after:?}");
}

#[test]
fn a_host_that_starts_after_the_opening_waits_for_its_previous_process() {
    let clock = ManualClock::new();
    clock.advance(OPENS_AFTER + SECOND);
    let mut host = Opening::start(clock);
    host.apply_list(1);
    assert_eq!(host.admitted_after(1, 16 * SECOND), None);
}

#[test]
fn a_list_that_came_after_the_opening_gives_no_share_at_once() {
    let mut host = Opening::start(ManualClock::new());
    host.clock.advance(OPENS_AFTER + SECOND);
    host.apply_list(1);
    assert_eq!(host.admitted_after(1, 16 * SECOND), None);
}
