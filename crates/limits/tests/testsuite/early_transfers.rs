//! A share that is transferred to a process before it is ready is not lost.

use std::sync::Arc;

use waxwingusher_core::{
    Clock, FailureDomain, HostEntry, HostId, HostList, HostState, ManualClock,
};
use waxwingusher_limits::{Limiter, LimiterSettings};
use waxwingusher_protocol::loan::{LoanMessage, ShareTransfer};

use crate::fleet::{key, snapshot};

const INCARNATION: u64 = 5;
const VERSION: u64 = 3;

fn list() -> HostList {
    HostList {
        version: VERSION,
        hosts: vec![HostEntry {
            id: HostId::new("north-0"),
            peer_addr: ([127, 0, 0, 1], 1).into(),
            failure_domain: FailureDomain::new("north"),
            state: HostState::Live,
        }],
    }
}

fn transfer() -> LoanMessage {
    LoanMessage::Transfers(vec![ShareTransfer {
        limit: key("payroll").id(),
        list_version: VERSION,
        to_incarnation: INCARNATION,
        tokens_millis: 5_000,
        loans: Vec::new(),
        lent_room_millis: 0,
        lent_rate_millis_per_s: 0,
        lent_for_ms: 0,
    }])
}

fn holds_after(steps: [fn(&mut Limiter); 3]) -> bool {
    let clock: Arc<dyn Clock> = Arc::new(ManualClock::new());
    let settings = LimiterSettings::new(vec![FailureDomain::new("north")]);
    let mut limiter = Limiter::new(HostId::new("north-0"), INCARNATION, clock, settings);
    for step in steps {
        step(&mut limiter);
    }
    limiter.report().limits.iter().any(|limit| limit.is_holder)
}

#[test]
fn the_order_of_list_configuration_and_share_does_not_matter() {
    let receive_share: fn(&mut Limiter) = |limiter| {
        limiter.on_message(&HostId::new("north-1"), 9, transfer());
    };
    let apply_list: fn(&mut Limiter) = |limiter| limiter.apply_host_list(&list());
    let apply_config: fn(&mut Limiter) =
        |limiter| limiter.apply_snapshot(&snapshot(1, &[("payroll", 10, 10)]));
    assert!(holds_after([apply_config, apply_list, receive_share]));
    assert!(holds_after([apply_list, apply_config, receive_share]));
    assert!(holds_after([receive_share, apply_config, apply_list]));
    assert!(holds_after([receive_share, apply_list, apply_config]));
    assert!(holds_after([apply_list, receive_share, apply_config]));
    assert!(holds_after([apply_config, receive_share, apply_list]));
}
