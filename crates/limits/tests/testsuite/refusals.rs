//! The reason of a refusal reflects what this host knows of the holders.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_core::{
    Clock, FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock,
};
use waxwingusher_limits::{Limiter, LimiterSettings, RefusalReason, SpendDecision};

use crate::fleet::{key, snapshot};

const DOMAINS: [&str; 3] = ["north", "south", "west"];

fn list() -> HostList {
    let entry = |domain: &str, i| HostEntry {
        id: HostId::new(&format!("{domain}-{i}")),
        peer_addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(domain),
        state: HostState::Live,
    };
    HostList {
        version: 1,
        hosts: DOMAINS.map(|domain| entry(domain, 1)).into(),
    }
}

#[test]
fn a_holder_that_was_never_asked_has_not_answered() {
    let clock = ManualClock::new();
    let settings = LimiterSettings::new(DOMAINS.map(FailureDomain::new).into());
    let id = HostId::new("east-0");
    let shared: Arc<dyn Clock> = Arc::new(clock.clone());
    let mut limiter = Limiter::new(id, 1, shared, settings);
    limiter.apply_snapshot(&snapshot(1, &[("payroll", 10, 100)]));
    limiter.apply_host_list(&list());
    let SpendDecision::Wait(until) = limiter.spend(&"payroll".into()) else {
        panic!("a holder may have a token");
    };
    let asked = limiter.tick();
    assert!(asked.len() < DOMAINS.len(), "not all holders were asked");
    clock.advance(Duration::from_millis(301));
    let decision = limiter.spend_waiting(&key("payroll"), until);
    let SpendDecision::Refused { reason, .. } = decision else {
        panic!("nobody has granted a token");
    };
    assert_eq!(reason, RefusalReason::NoLender);
}
