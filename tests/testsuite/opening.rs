//! The first requests to a fleet that opens for the first time.

use std::time::Duration;

use waxwingusher_emulator::{Caller, Fleet, FleetPlan, Operation};

use crate::fleet::HANG_TIMEOUT;

/// Hosts that learn of each other only after the fleet opens cannot vouch for
/// keyed operations; the emulator then starts the fleet again with a later
/// opening, so that the first submissions are answered.
#[test]
fn a_fleet_that_opens_before_its_hosts_know_each_other_starts_again() {
    let plan = FleetPlan {
        opens_after: Duration::ZERO,
        loan_wait: HANG_TIMEOUT,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan, 33).expect("the fleet starts");
    let key = &fleet.plan.workspaces[0].key;
    let caller = Caller::new();
    for (index, addr) in fleet.caller_addrs().into_iter().enumerate() {
        let operation = Operation::submission("/desk/echo", key, &format!("first-{index}"));
        let answer = caller.send(addr, &operation).expect("a complete answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
