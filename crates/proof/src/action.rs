//! Actions of callers, operators, the platform and faults on the fleet.

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
    /// Advances the virtual time.
    Wait {
        /// The duration.
        ms: u64,
    },
    /// Sends requests of all kinds to all hosts while time advances.
    Load {
        /// The duration.
        ms: u64,
        /// Requests per second over all hosts.
        per_s: u32,
    },
    /// Sends requests to one host at once.
    Send {
        /// The host.
        host: usize,
        /// The workspace.
        workspace: usize,
        /// The index of the key among those of the workspace.
        key: usize,
        /// The kind of request.
        kind: CallKind,
        /// The number of requests.
        count: u8,
    },
    /// Kills a process.
    Kill(usize),
    /// Starts a process without state, in place of a running one.
    Start(usize),
    /// Begins a planned stop: the list marks the host as leaving, and the host
    /// hands off its rights and records.
    HandOff(usize),
    /// Pauses a process.
    Pause {
        /// The host.
        host: usize,
        /// Whether the whole machine is suspended.
        is_suspended: bool,
    },
    /// Resumes a paused process.
    Resume(usize),
    /// Cuts the link between two hosts in one direction.
    Cut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// Cuts a host off from all peers.
    Isolate {
        /// The host.
        host: usize,
        /// Whether it receives nothing either.
        is_bidirectional: bool,
    },
    /// Cuts a failure domain off from the others.
    CutDomain {
        /// The failure domain.
        domain: usize,
        /// Whether it receives nothing either.
        is_bidirectional: bool,
    },
    /// Makes all links lose, duplicate and delay messages.
    DegradeLinks {
        /// The share of lost messages, in percent.
        loss_percent: u8,
        /// The share of duplicated messages, in percent.
        duplicate_percent: u8,
        /// The longest delay.
        max_delay_ms: u64,
    },
    /// Restores all links.
    RestoreLinks,
    /// Makes the configuration service current, stale or unavailable.
    Service(ServiceAvailability),
    /// Cuts a host off from the configuration service.
    CutService(usize),
    /// Lets all hosts reach the configuration service again.
    RestoreService,
    /// Lists a host, marks it as leaving or drops it from the host list.
    SetHostEntry {
        /// The host.
        host: usize,
        /// The state in the list; `None` drops the host.
        state: Option<HostState>,
    },
    /// Changes rate and burst of a workspace.
    SetLimit {
        /// The workspace.
        workspace: usize,
        /// The index of the limit in [`LIMITS`].
        limit: usize,
    },
    /// Withdraws a key, or grants it again. The other key always stays valid.
    ToggleKey {
        /// The workspace.
        workspace: usize,
    },
    /// Marks an instance in the configuration as leaving, or as live again.
    ToggleLeaving(usize),
    /// Makes the configuration service serve an earlier publication again.
    Republish(usize),
    /// Changes how consecutive instances behave.
    SetMode {
        /// The first instance.
        instance: usize,
        /// The number of instances.
        count: usize,
        /// The behavior.
        mode: InstanceMode,
    },
    /// Cuts the path from an instance to a host, or restores it.
    ToggleUpstreamCut {
        /// The instance.
        instance: usize,
        /// The host.
        host: usize,
    },
    /// Ends all faults of instances.
    RestoreUpstreams,
}

/// What the configuration service serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceAvailability {
    /// The newest values.
    Current,
    /// The values at the moment of the change, from then on.
    Stale,
    /// Nothing.
    Unavailable,
}

impl Action {
    /// Applies the action to the fleet.
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
            Self::RestoreLinks => fleet.restore_links(),
            other => other.apply_external(fleet),
        }
    }

    /// Applies an action of the platform, operators or upstreams.
    fn apply_external(self, fleet: &mut Fleet) {
        match self {
            Self::Service(mode) => fleet.service.set_mode(match mode {
                ServiceAvailability::Current => ServiceMode::Current,
                ServiceAvailability::Stale => ServiceMode::Stale,
                ServiceAvailability::Unavailable => ServiceMode::Unavailable,
            }),
            Self::CutService(host) => {
                let id = fleet.hosts[host].context.id.clone();
                fleet.service.cut(&id);
            }
            Self::RestoreService => fleet.service.heal_all(),
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
            _ => fleet.upstreams.clear_faults(),
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
