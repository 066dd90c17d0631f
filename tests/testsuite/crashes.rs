//! A request that crashes each instance that runs it is quarantined on all
//! hosts; other requests are not.

use std::time::Duration;

use waxwingusher_emulator::fleet::wait_until;
use waxwingusher_emulator::{Caller, CallerAnswer, Fleet, FleetPlan, Operation};

const TIMEOUT: Duration = Duration::from_secs(60);
const CRASH_MARKER: &str = "crash-the-instance";

fn send(fleet: &Fleet, host: usize, operation: &Operation) -> CallerAnswer {
    let addr = fleet.caller_addrs()[host];
    let answer = Caller::new().send(addr, operation);
    answer.expect("a complete answer")
}

fn crashing_read(fleet: &Fleet, workspace: usize) -> Operation {
    let key = &fleet.plan.workspaces[workspace].key;
    Operation::read(&format!("/desk/echo?{CRASH_MARKER}"), key, "crashing")
}

fn plain_read(fleet: &Fleet, workspace: usize) -> Operation {
    let key = &fleet.plan.workspaces[workspace].key;
    Operation::read("/desk/echo?harmless", key, "harmless")
}

#[test]
fn a_crashing_request_is_quarantined_on_all_hosts() {
    let plan = FleetPlan {
        loan_wait: TIMEOUT,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan, 21).expect("the fleet starts");
    let hosts = fleet.caller_addrs().len();
    wait_until("answers from all hosts", TIMEOUT, || {
        let mut reads = (0..hosts).flat_map(|host| [(host, 0), (host, 1)]);
        reads.all(|(host, workspace)| {
            send(&fleet, host, &plain_read(&fleet, workspace)).status == 200
        })
    })
    .expect("all hosts serve requests");

    let first = send(&fleet, 0, &crashing_read(&fleet, 0));
    assert_eq!(first.outcome.as_deref(), Some("unknown"), "{first:?}");
    let run_count = || {
        fleet
            .upstreams
            .iter()
            .map(|upstream| upstream.runs_of("crashing"))
            .sum::<u64>()
    };
    wait_until("quarantine on all hosts", TIMEOUT, || {
        (0..hosts).all(|host| {
            let answer = send(&fleet, host, &crashing_read(&fleet, 0));
            answer.code.as_deref() == Some("quarantined")
        })
    })
    .expect("the request is quarantined everywhere");
    let runs = run_count();
    let again = send(&fleet, 1, &crashing_read(&fleet, 0));
    assert_eq!(again.outcome.as_deref(), Some("not-run"));
    assert_eq!(run_count(), runs, "a quarantined request ran");
    for host in 0..hosts {
        for workspace in [0, 1] {
            let answer = send(&fleet, host, &plain_read(&fleet, workspace));
            assert_ne!(answer.code.as_deref(), Some("quarantined"));
        }
    }
}
