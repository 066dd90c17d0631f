//! Injection of faults into a simulated fleet.

use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{FailureDomain, HostId, HostList, HostState};
use waxwingusher_standins::LinkFaults;

use super::fault::{Fault, Listing};
use super::fleet::{Event, Fleet};

/// The time from a host being listed as leaving to its hand-off.
const LEAVING_NOTICE: Duration = Duration::from_millis(500);

/// The longest time that a stopping process runs after its hand-off began.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a stopping process checks whether its hand-off is complete.
const STOP_CHECK: Duration = Duration::from_millis(50);

impl Fleet {
    pub(super) fn on_fault_event(&mut self, event: Event) {
        match event {
            Event::Fault(fault) => self.on_fault(fault),
            Event::Start { host } => self.start(&host),
            Event::HandOff { host } => self.on_hand_off(&host),
            Event::Halt {
                host,
                at_latest,
                replaced_after,
            } => self.on_halt(&host, at_latest, replaced_after),
            Event::Publish { host, state } => self.publish(&host, state),
            Event::HealLink { from, to } => self.links.heal(&from, &to),
            Event::RestoreLinks => self.links.set_faults(LinkFaults::default()),
            _ => {}
        }
    }

    /// Reads the host list. While no host can read it, confirms its own version if
    /// no peer has seen a newer one.
    pub(super) fn on_read(&mut self, host: &HostId, incarnation: u64) {
        let now = self.now();
        let lag = self.settings.attempt.list_lag.mul_f64(self.rng.f64());
        let list = self.list_at(now.checked_sub(lag).unwrap_or(now));
        let is_list_unavailable = self.list_unavailable_until.is_some_and(|until| until > now);
        let newest_seen_version = self.newest_seen_version();
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        let reads_fail = member.reads_fail_until.is_some_and(|until| until > now);
        let Some(process) = member.process(incarnation) else {
            return;
        };
        if is_list_unavailable {
            if process.seen_version == newest_seen_version {
                process.registry.confirm_host_list(newest_seen_version);
            }
        } else if !reads_fail && list.version >= process.seen_version {
            process.seen_version = list.version;
            process.registry.apply_host_list(&list);
            process.registry.confirm_host_list(list.version);
            process.is_ready |= process.registry.report().is_list_trusted;
        }
        let interval = self.settings.read_interval;
        let host = host.clone();
        self.schedule(interval, Event::Read { host, incarnation });
    }

    fn on_fault(&mut self, fault: Fault) {
        log::trace!("fleet: {:?} {fault:?}", self.time.elapsed());
        let now = self.now();
        match fault {
            Fault::Kill {
                host,
                replaced_after,
                listing,
            } => self.kill(&host, replaced_after, listing),
            Fault::Stop {
                host,
                hands_off_records,
                replaced_after,
                listing,
            } => self.stop(&host, hands_off_records, replaced_after, listing),
            Fault::Pause { host, time } => self.pause(&host, now + time),
            Fault::Suspend { host, time } => self.suspend(&host, time),
            Fault::CutLink { from, to, time } => self.cut(&from, &to, time),
            Fault::CutDomain {
                domain,
                both_ways,
                time,
            } => self.cut_domain(&domain, both_ways, time),
            Fault::FaultyLinks { faults, time } => {
                self.links.set_faults(faults);
                self.schedule(time, Event::RestoreLinks);
            }
            Fault::ListUnavailable { time } => self.list_unavailable_until = Some(now + time),
            Fault::ReadsFail { host, time } => self.fail_reads(&host, now + time),
            Fault::Delist { host, time } => {
                self.publish(&host, None);
                let state = Some(HostState::Live);
                self.schedule(time, Event::Publish { host, state });
            }
            Fault::Add { domain } => {
                self.add_host(domain);
            }
        }
    }

    fn kill(&mut self, host: &HostId, replaced_after: Option<Duration>, listing: Listing) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        member.process = None;
        member.paused_until = None;
        self.schedule_listing(host, listing);
        if let Some(after) = replaced_after {
            self.schedule(after, Event::Start { host: host.clone() });
        }
    }

    fn stop(
        &mut self,
        host: &HostId,
        hands_off_records: bool,
        replaced_after: Option<Duration>,
        listing: Listing,
    ) {
        if !hands_off_records {
            self.kill(host, replaced_after, listing);
            return;
        }
        self.publish(host, Some(HostState::Leaving));
        let notice = LEAVING_NOTICE;
        let host_id = host.clone();
        self.schedule(notice, Event::HandOff { host: host_id });
        let halt = Event::Halt {
            host: host.clone(),
            at_latest: self.now() + notice + STOP_TIMEOUT,
            replaced_after,
        };
        self.schedule(notice + STOP_CHECK, halt);
        self.schedule_listing(host, listing);
        if listing == Listing::Kept {
            let state = Some(HostState::Live);
            let host = host.clone();
            self.schedule(STOP_TIMEOUT, Event::Publish { host, state });
        }
    }

    fn on_hand_off(&mut self, host: &HostId) {
        let process = self
            .members
            .get_mut(host)
            .and_then(|member| member.process.as_mut());
        let Some(process) = process else {
            return;
        };
        process.is_draining = true;
        let outgoing = process.registry.hand_off();
        self.send_all(host, outgoing);
    }

    /// Ends a stopping process once its hand-off and its requests are complete.
    fn on_halt(&mut self, host: &HostId, at_latest: Instant, replaced_after: Option<Duration>) {
        let now = self.now();
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        let Some(process) = &member.process else {
            return;
        };
        let is_done = process.registry.hand_off_progress().is_done() && process.sends.is_empty();
        if !is_done && now < at_latest {
            let host = host.clone();
            let halt = Event::Halt {
                host,
                at_latest,
                replaced_after,
            };
            self.schedule(STOP_CHECK, halt);
            return;
        }
        member.process = None;
        if let Some(after) = replaced_after {
            self.schedule(after, Event::Start { host: host.clone() });
        }
    }

    fn schedule_listing(&mut self, host: &HostId, listing: Listing) {
        let Listing::RemovedAfter(after) = listing else {
            return;
        };
        let host = host.clone();
        self.schedule(after, Event::Publish { host, state: None });
    }

    fn pause(&mut self, host: &HostId, until: Instant) {
        if let Some(member) = self.members.get_mut(host) {
            member.paused_until = Some(until);
        }
    }

    fn suspend(&mut self, host: &HostId, time: Duration) {
        if let Some(member) = self.members.get(host) {
            member.clock.suspend(time);
        }
        self.pause(host, self.now() + time);
    }

    fn fail_reads(&mut self, host: &HostId, until: Instant) {
        if let Some(member) = self.members.get_mut(host) {
            member.reads_fail_until = Some(until);
        }
    }

    fn cut(&mut self, from: &HostId, to: &HostId, time: Duration) {
        self.links.cut(from, to);
        let (from, to) = (from.clone(), to.clone());
        self.schedule(time, Event::HealLink { from, to });
    }

    fn cut_domain(&mut self, domain: &FailureDomain, both_ways: bool, time: Duration) {
        let (inside, outside): (Vec<_>, Vec<_>) = self
            .members
            .values()
            .partition(|member| &member.domain == domain);
        let ids = |members: Vec<&super::member::Member>| -> Vec<HostId> {
            members.iter().map(|member| member.id.clone()).collect()
        };
        let (inside, outside) = (ids(inside), ids(outside));
        for inner in &inside {
            for outer in &outside {
                self.cut(inner, outer, time);
                if both_ways {
                    self.cut(outer, inner, time);
                }
            }
        }
    }

    /// Returns the latest list that was published by an instant.
    fn list_at(&self, at: Instant) -> Arc<HostList> {
        let mut published = self.published.iter().rev();
        let found = published.find(|(since, _)| *since <= at);
        found
            .or(self.published.first())
            .map_or_else(Arc::default, |(_, list)| Arc::clone(list))
    }

    fn newest_seen_version(&self) -> u64 {
        let processes = self
            .members
            .values()
            .filter_map(|member| member.process.as_ref());
        let seen = processes.map(|process| process.seen_version);
        seen.max().unwrap_or_default()
    }
}
