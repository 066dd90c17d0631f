//! What callers, operators, the platform and faults do to the fleet.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_bench::config::service::ServiceMode;
use waxwingusher_config::{InstanceState, RateLimit, Workspace};
use waxwingusher_core::HostState;
use waxwingusher_standins::LinkFaults;

use crate::call::CallKind;
use crate::fleet::{Fleet, HOSTS, STEP};
use crate::sample::{self, DOMAINS, LIMITS};
use crate::upstream::InstanceMode;

/// One action. Hosts, instances, workspaces and keys are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Wait {
        /// How long.
        ms: u64,
    },
    /// Requests of all kinds arrive at all hosts while time passes.
    Load {
        /// How long.
        ms: u64,
        /// How many a second over all hosts.
        per_s: u32,
    },
    /// Requests arrive at one host at once.
    Send {
        /// The host.
        host: usize,
        /// The workspace.
        workspace: usize,
        /// Which of its keys is shown.
        key: usize,
        /// What is asked for.
        kind: CallKind,
        /// How many.
        count: u8,
    },
    /// A process dies.
    Kill(usize),
    /// A process without memory starts, in place of a running one.
    Start(usize),
    /// A planned stop begins: the list calls the host leaving, and it hands
    /// over.
    HandOff(usize),
    /// A process does nothing from now on.
    Pause {
        /// The host.
        host: usize,
        /// Whether the machine is suspended.
        is_suspended: bool,
    },
    /// A paused process goes on.
    Resume(usize),
    /// A link between two hosts is cut in one direction.
    Cut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// A host is cut off from all peers.
    Isolate {
        /// The host.
        host: usize,
        /// Whether it hears nothing either.
        is_bidirectional: bool,
    },
    /// A failure domain is cut off from the others.
    CutDomain {
        /// The failure domain.
        domain: usize,
        /// Whether it hears nothing either.
        is_bidirectional: bool,
    },
    /// All links lose, double and delay messages.
    DegradeLinks {
        /// The part that is lost, in percent.
        loss_percent: u8,
        /// The part that is doubled, in percent.
        duplicate_percent: u8,
        /// The longest delay.
        max_delay_ms: u64,
    },
    /// All links are well.
    MendLinks,
    /// The configuration service is current, stale or away.
    Service(ServiceAvailability),
    /// A host cannot reach the configuration service.
    CutService(usize),
    /// All hosts reach the configuration service.
    MendService,
    /// The platform lists a host, calls it leaving or drops it.
    SetHostEntry {
        /// The host.
        host: usize,
        /// What the list says; nothing if it drops the host.
        state: Option<HostState>,
    },
    /// A workspace gets another rate and burst.
    SetLimit {
        /// The workspace.
        workspace: usize,
        /// The index of the limit.
        limit: usize,
    },
    /// A key is withdrawn, or granted again. The other key always stays.
    ToggleKey {
        /// The workspace.
        workspace: usize,
    },
    /// The configuration calls an instance leaving, or live again.
    ToggleLeaving(usize),
    /// The service shows an earlier publication again.
    Republish(usize),
    /// Instances behave differently.
    SetMode {
        /// The first instance.
        instance: usize,
        /// How many.
        count: usize,
        /// How they behave.
        mode: InstanceMode,
    },
    /// The way from an instance to a host is cut, or mended.
    ToggleUpstreamCut {
        /// The instance.
        instance: usize,
        /// The host.
        host: usize,
    },
    /// All instances are well.
    MendUpstreams,
}

/// How the configuration service serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceAvailability {
    /// Newest values.
    Current,
    /// The values of this moment.
    Stale,
    /// Nothing.
    Away,
}

impl Action {
    /// Carries the action out.
    pub fn apply(self, fleet: &mut Fleet) {
        match self {
            Self::Wait { ms } => fleet.run(Duration::from_millis(ms)),
            Self::Load { ms, per_s } => load(fleet, Duration::from_millis(ms), per_s),
            Self::Send {
                host,
                workspace,
                key,
                kind,
                count,
            } => {
                for _ in 0..count {
                    fleet.request(host, workspace, key, kind);
                }
            }
            Self::Kill(host) => fleet.stop(host),
            Self::Start(host) => fleet.start(host),
            Self::HandOff(host) => hand_off(fleet, host),
            Self::Pause { host, is_suspended } => fleet.pause(host, is_suspended),
            Self::Resume(host) => fleet.resume(host),
            Self::Cut { from, to } => fleet.set_link(from, to, true),
            Self::Isolate {
                host,
                is_bidirectional,
            } => isolate(fleet, is_bidirectional, |one| one == host),
            Self::CutDomain {
                domain,
                is_bidirectional,
            } => {
                isolate(fleet, is_bidirectional, |one| one % DOMAINS == domain);
            }
            Self::DegradeLinks {
                loss_percent,
                duplicate_percent,
                max_delay_ms,
            } => fleet.set_faults(LinkFaults {
                min_delay: Duration::from_micros(500),
                max_delay: Duration::from_millis(max_delay_ms.max(1)),
                loss: f64::from(loss_percent) / 100.0,
                duplication: f64::from(duplicate_percent) / 100.0,
            }),
            Self::MendLinks => fleet.mend_links(),
            other => other.apply_external(fleet),
        }
    }

    /// Carries out what concerns the platform, operators and upstreams.
    fn apply_external(self, fleet: &mut Fleet) {
        match self {
            Self::Service(mode) => fleet.service.set_mode(match mode {
                ServiceAvailability::Current => ServiceMode::Current,
                ServiceAvailability::Stale => ServiceMode::Stale,
                ServiceAvailability::Away => ServiceMode::Away,
            }),
            Self::CutService(host) => {
                let id = fleet.hosts[host].context.id.clone();
                fleet.service.cut(&id);
            }
            Self::MendService => fleet.service.mend_all(),
            Self::SetHostEntry { host, state } => {
                fleet.states[host] = state;
                fleet.publish_list();
            }
            Self::SetLimit { workspace, limit } => set_limit(fleet, workspace, limit),
            Self::ToggleKey { workspace } => toggle_key(fleet, workspace),
            Self::ToggleLeaving(instance) => toggle_leaving(fleet, instance),
            Self::Republish(index) => {
                let index = index % fleet.publications.len();
                fleet.service.publish(&fleet.publications[index]);
            }
            Self::SetMode {
                instance,
                count,
                mode,
            } => {
                for offset in 0..count {
                    let instance = (instance + offset) % sample::INSTANCES;
                    fleet.upstreams.set_mode(instance, mode);
                }
            }
            Self::ToggleUpstreamCut { instance, host } => {
                let id = &fleet.hosts[host].context.id;
                fleet.upstreams.toggle_cut(instance, id);
            }
            _ => fleet.upstreams.mend_all(),
        }
    }
}

fn load(fleet: &mut Fleet, time: Duration, per_s: u32) {
    let end = fleet.elapsed() + time;
    let per_step = f64::from(per_s) * STEP.as_secs_f64();
    while fleet.elapsed() < end && fleet.oracle.violations().is_empty() {
        let extra = fleet.rng.f64() < per_step.fract();
        for _ in 0..per_step as usize + usize::from(extra) {
            let host = fleet.rng.usize(..HOSTS);
            let workspace = fleet.rng.usize(..sample::WORKSPACES);
            let key = fleet.rng.usize(..sample::KEYS);
            let kind = match fleet.rng.u8(..8) {
                0 => CallKind::Submit,
                1 | 2 => CallKind::Keyed(fleet.rng.u8(..40)),
                _ => CallKind::Read,
            };
            fleet.request(host, workspace, key, kind);
        }
        fleet.step();
    }
}

fn hand_off(fleet: &mut Fleet, host: usize) {
    fleet.states[host] = Some(HostState::Leaving);
    fleet.publish_list();
    if fleet.hosts[host].is_paused {
        return;
    }
    if let Some(process) = &mut fleet.hosts[host].process {
        process.hand_off();
    }
}

fn isolate(fleet: &mut Fleet, is_bidirectional: bool, is_inside: impl Fn(usize) -> bool) {
    for from in 0..HOSTS {
        for to in 0..HOSTS {
            if is_inside(from) && !is_inside(to) {
                fleet.set_link(from, to, true);
            }
            if is_inside(to) && !is_inside(from) && is_bidirectional {
                fleet.set_link(from, to, true);
            }
        }
    }
}

fn workspace_mut(fleet: &mut Fleet, index: usize) -> Option<&mut Workspace> {
    let name = sample::workspace_name(index);
    fleet.snapshot.workspaces.get_mut(&name).map(Arc::make_mut)
}

fn set_limit(fleet: &mut Fleet, workspace: usize, limit: usize) {
    let (rate_per_s, burst) = LIMITS[limit % LIMITS.len()];
    if let Some(workspace) = workspace_mut(fleet, workspace) {
        workspace.limit = RateLimit {
            rate_millis_per_s: rate_per_s * 1_000,
            burst,
        };
    }
    fleet.publish();
}

fn toggle_key(fleet: &mut Fleet, index: usize) {
    let digest = sample::key_digest(index, 0);
    if let Some(workspace) = workspace_mut(fleet, index) {
        let digests = &mut workspace.key_digests;
        match digests.iter().position(|one| *one == digest) {
            Some(at) => drop(digests.remove(at)),
            None => digests.push(digest),
        }
    }
    fleet.publish();
}

fn toggle_leaving(fleet: &mut Fleet, index: usize) {
    let service = fleet.snapshot.services.get_mut(&sample::service_name());
    if let Some(service) = service {
        let instance = &mut Arc::make_mut(service).instances[index];
        instance.state = match instance.state {
            InstanceState::Live => InstanceState::Leaving,
            InstanceState::Leaving => InstanceState::Live,
        };
    }
    fleet.publish();
}
