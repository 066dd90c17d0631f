//! The state machine: which actions are possible next, and the fleet that they
//! are applied to.

use std::cell::RefCell;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use waxwingusher_core::HostState;
use waxwingusher_proof::action::{Action, ServiceAvailability};
use waxwingusher_proof::call::CallKind;
use waxwingusher_proof::fleet::{Fleet, HOSTS};
use waxwingusher_proof::oracle::Counts;
use waxwingusher_proof::sample::{DOMAINS, INSTANCES, KEYS, LIMITS, WORKSPACES};
use waxwingusher_proof::upstream::InstanceMode;

/// The state of a process, as far as the choice of actions depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Running,
    Paused,
    Stopped,
}

/// The state that decides which actions are possible.
#[derive(Debug, Clone)]
pub struct Model {
    pub seed: u64,
    phases: [Phase; HOSTS],
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Self> {
        let model = |seed| Self {
            seed,
            phases: [Phase::Running; HOSTS],
        };
        (0..1_000_u64).prop_map(model).no_shrink().boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Action> {
        prop_oneof![
            12 => time(),
            7 => requests(),
            6 => processes(),
            4 => links(),
            4 => platform(),
            4 => operators(),
            4 => upstreams(),
        ]
        .boxed()
    }

    fn apply(mut state: Self, action: &Action) -> Self {
        match action {
            Action::Kill(host) => state.phases[*host] = Phase::Stopped,
            Action::Start(host) | Action::Resume(host) => state.phases[*host] = Phase::Running,
            Action::Pause { host, .. } => state.phases[*host] = Phase::Paused,
            _ => {}
        }
        state
    }

    fn preconditions(state: &Self, action: &Action) -> bool {
        match action {
            Action::Kill(host) => state.phases[*host] != Phase::Stopped,
            Action::HandOff(host) | Action::Pause { host, .. } => {
                state.phases[*host] == Phase::Running
            }
            Action::Resume(host) => state.phases[*host] == Phase::Paused,
            _ => true,
        }
    }
}

fn time() -> BoxedStrategy<Action> {
    prop_oneof![
        1 => (50..500_u64).prop_map(|ms| Action::Wait { ms }),
        2 => (500..8_000_u64).prop_map(|ms| Action::Wait { ms }),
        4 => (500..6_000_u64, 10..120_u32).prop_map(|(ms, per_s)| Action::Load { ms, per_s }),
    ]
    .boxed()
}

fn requests() -> BoxedStrategy<Action> {
    let kind = prop_oneof![
        2 => Just(CallKind::Read),
        2 => Just(CallKind::Submit),
        4 => (0..4_u8).prop_map(CallKind::Keyed),
        1 => Just(CallKind::CrashingRead),
        1 => Just(CallKind::CrashingSubmit),
    ];
    (0..HOSTS, 0..WORKSPACES, 0..KEYS, kind, 1..8_u8)
        .prop_map(|(host, workspace, key, kind, count)| Action::Send {
            host,
            workspace,
            key,
            kind,
            count,
        })
        .boxed()
}

fn processes() -> BoxedStrategy<Action> {
    prop_oneof![
        1 => (0..HOSTS).prop_map(Action::Kill),
        3 => (0..HOSTS).prop_map(Action::Start),
        1 => (0..HOSTS).prop_map(Action::HandOff),
        3 => (0..HOSTS, any::<bool>())
            .prop_map(|(host, is_suspended)| Action::Pause { host, is_suspended }),
        3 => (0..HOSTS).prop_map(Action::Resume),
    ]
    .boxed()
}

fn links() -> BoxedStrategy<Action> {
    let bad = (0..20_u8, 0..30_u8, 1..400_u64);
    prop_oneof![
        2 => (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Action::Cut { from, to }),
        1 => (0..HOSTS, any::<bool>())
            .prop_map(|(host, is_bidirectional)| Action::Isolate { host, is_bidirectional }),
        1 => (0..DOMAINS, any::<bool>())
            .prop_map(|(domain, is_bidirectional)| Action::CutDomain { domain, is_bidirectional }),
        1 => bad.prop_map(|(loss_percent, duplicate_percent, max_delay_ms)| Action::DegradeLinks {
            loss_percent,
            duplicate_percent,
            max_delay_ms,
        }),
        2 => Just(Action::RestoreLinks),
    ]
    .boxed()
}

fn platform() -> BoxedStrategy<Action> {
    let mode = prop_oneof![
        2 => Just(ServiceAvailability::Current),
        1 => Just(ServiceAvailability::Stale),
        1 => Just(ServiceAvailability::Unavailable),
    ];
    let state = prop_oneof![
        2 => Just(Some(HostState::Live)),
        1 => Just(Some(HostState::Leaving)),
        1 => Just(None),
    ];
    prop_oneof![
        2 => mode.prop_map(Action::Service),
        1 => (0..HOSTS).prop_map(Action::CutService),
        1 => Just(Action::RestoreService),
        2 => (0..HOSTS, state).prop_map(|(host, state)| Action::SetHostEntry { host, state }),
    ]
    .boxed()
}

fn operators() -> BoxedStrategy<Action> {
    prop_oneof![
        2 => (0..WORKSPACES, 0..LIMITS.len())
            .prop_map(|(workspace, limit)| Action::SetLimit { workspace, limit }),
        2 => (0..WORKSPACES).prop_map(|workspace| Action::ToggleKey { workspace }),
        1 => (0..INSTANCES).prop_map(Action::ToggleLeaving),
        1 => (0..8_usize).prop_map(Action::Republish),
    ]
    .boxed()
}

fn upstreams() -> BoxedStrategy<Action> {
    let mode = prop_oneof![
        1 => Just(InstanceMode::Healthy),
        3 => (30..=100_u8).prop_map(InstanceMode::Failing),
        1 => Just(InstanceMode::Slow),
        1 => Just(InstanceMode::Silent),
        1 => Just(InstanceMode::Shedding),
        1 => Just(InstanceMode::Draining),
    ];
    prop_oneof![
        4 => (0..INSTANCES, 1..6_usize, mode)
            .prop_map(|(instance, count, mode)| Action::SetMode { instance, count, mode }),
        1 => (0..INSTANCES, 0..HOSTS)
            .prop_map(|(instance, host)| Action::ToggleUpstreamCut { instance, host }),
        1 => Just(Action::RestoreUpstreams),
    ]
    .boxed()
}

thread_local! {
    /// Counts of what the schedules of this thread have reached.
    pub static REACHED: RefCell<Counts> = RefCell::default();
}

/// Applies the actions to a fleet and checks the oracle after each.
pub struct FleetMachine;

impl StateMachineTest for FleetMachine {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test(model: &Model) -> Fleet {
        Fleet::new(model.seed)
    }

    fn apply(mut fleet: Fleet, _: &Model, action: Action) -> Fleet {
        action.apply(&mut fleet);
        fleet
    }

    fn check_invariants(fleet: &Fleet, _: &Model) {
        if let Some(violation) = fleet.oracle.violations().first() {
            panic!("after {:?}: {violation}", fleet.elapsed());
        }
    }

    fn teardown(fleet: Fleet, _: Model) {
        REACHED.with_borrow_mut(|reached| reached.add(&fleet.oracle.counts));
    }
}
