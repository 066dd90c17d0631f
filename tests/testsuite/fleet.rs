//! One emulated fleet that the end-to-end and administration tests share.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use waxwingusher_emulator::fleet::wait_until;
use waxwingusher_emulator::plan::WorkspacePlan;
use waxwingusher_emulator::{Caller, Fleet, FleetPlan, Operation};

/// Exceeded only by an operation that hangs.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the fleet, which starts on first use.
pub fn fleet() -> &'static Fleet {
    static FLEET: OnceLock<Fleet> = OnceLock::new();
    FLEET.get_or_init(|| {
        // The tests run concurrently and none of them checks rates, so the limits
        // are high.
        let plan = FleetPlan {
            workspaces: ["lecturers", "payroll"]
                .map(|name| WorkspacePlan::new(name, 20_000.0, 10_000))
                .to_vec(),
            loan_wait: HANG_TIMEOUT,
            ..FleetPlan::default()
        };
        let fleet = Fleet::start(plan, 7).expect("the fleet starts");
        wait_until("a first answer from every host", HANG_TIMEOUT, || {
            let mut addrs = fleet.caller_addrs().into_iter();
            addrs.all(|addr| is_served(&fleet, addr))
        })
        .expect("every host admits requests");
        fleet
    })
}

/// Returns the key of the first workspace.
pub fn key() -> &'static str {
    &fleet().plan.workspaces[0].key
}

/// Returns the address of one host.
pub fn any_host() -> SocketAddr {
    fleet().caller_addrs()[0]
}

fn is_served(fleet: &Fleet, addr: SocketAddr) -> bool {
    fleet.plan.workspaces.iter().all(|workspace| {
        let operation = Operation::read("/desk/echo", &workspace.key, "warm-up");
        let answer = Caller::new().send(addr, &operation);
        answer.is_ok_and(|answer| answer.status == 200)
    })
}
