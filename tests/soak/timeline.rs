//! When which condition held in a run, and the checks that depend on it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::callers::Outcome;
use crate::instances::{Arrival, RunRecords};
use crate::plan::DOMAINS;

/// From this long after an order to evacuate a failure domain was acknowledged, no
/// request reaches its instances from a host in touch with the store.
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);
/// A host counts as in touch again this long after a fault between it and the store, and
/// as undisturbed this long after a fault at it or at an instance.
const IN_TOUCH_WITHIN: Duration = Duration::from_secs(5);
/// How long before the end of a process a request must be sent to be answered.
const SENT_BEFORE_END: Duration = Duration::from_millis(100);
/// The limit for cold instances that the configuration states.
pub const COLD_START: Duration = Duration::from_secs(3);
pub const COLD_PER_S: f64 = 3.3;
/// The users' rule on cold instances: one and a half times their rate and 8 requests in
/// any second.
const COLD_WINDOW: Duration = Duration::from_secs(1);
const COLD_OVERSHOOT: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;

/// A condition that a check depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The path of a host to the store is disturbed.
    StorePath(usize),
    /// The store itself fails.
    Store,
    /// A host's process is stopped with SIGSTOP.
    Paused(usize),
    /// A host's process was killed.
    Killed(usize),
    /// A host got SIGTERM, and its process has not ended.
    Stopping(usize),
    /// The path to an instance is disturbed, for all hosts.
    InstancePath(usize),
    /// A host runs the other build, which may know neither evacuations nor cold limits.
    OtherBuild(usize),
    /// An order to evacuate a failure domain is in force.
    Evacuated(usize),
}

#[derive(Debug)]
struct Span {
    condition: Condition,
    from: Instant,
    until: Option<Instant>,
}

/// When conditions held and instances started cold.
#[derive(Debug, Default)]
pub struct Timeline {
    spans: Vec<Span>,
    /// The ids of instances that started cold, and since when they are.
    cold_starts: Vec<(String, Instant)>,
}

impl Timeline {
    pub fn begin(&mut self, condition: Condition) {
        self.spans.push(Span {
            condition,
            from: Instant::now(),
            until: None,
        });
    }

    /// Ends the first span of a condition that has not ended; each fault has its own.
    pub fn end(&mut self, condition: Condition) {
        let mut spans = self.spans.iter_mut();
        let open = spans.find(|span| span.condition == condition && span.until.is_none());
        if let Some(span) = open {
            span.until = Some(Instant::now());
        }
    }

    /// Reports whether a condition holds.
    pub fn holds(&self, condition: Condition) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| span.condition == condition && span.until.is_none())
    }

    pub fn record_cold_start(&mut self, id: String) {
        self.cold_starts.push((id, Instant::now()));
    }

    /// Returns the requests that reached an evacuated instance too late, and how long
    /// orders were binding for hosts in touch, summed over hosts. The sender is
    /// taken from the hosts' logs (request, instance), since the instance sees only a
    /// proxy; an arrival that no log names may be of any host.
    pub fn check_evacuations(
        &self,
        arrivals: &[Arrival],
        senders: &HashMap<(String, String), Vec<usize>>,
        hosts: usize,
    ) -> (Vec<String>, Duration) {
        let any_host: Vec<usize> = (0..hosts).collect();
        let mut violations = Vec::new();
        let mut bound_for = Duration::ZERO;
        for span in &self.spans {
            let Condition::Evacuated(domain) = span.condition else {
                continue;
            };
            let (from, until) = (span.from + EVACUATED_WITHIN, span.until);
            let until = until.unwrap_or_else(Instant::now);
            let domain_arrivals = arrivals
                .iter()
                .filter(|arrival| arrival.number % DOMAINS == domain);
            for arrival in domain_arrivals.filter(|arrival| (from..until).contains(&arrival.at)) {
                let key = (arrival.request.clone(), arrival.instance.clone());
                let possible = senders.get(&key).unwrap_or(&any_host);
                if possible
                    .iter()
                    .all(|host| self.is_in_touch(*host, arrival.at))
                {
                    let after = arrival.at - span.from;
                    violations.push(format!(
                        "{} of hosts {possible:?} reached {} {after:?} after the order to \
                         evacuate domain {domain}",
                        arrival.request, arrival.instance
                    ));
                }
            }
            let step = Duration::from_millis(50);
            let mut at = from;
            while at < until {
                let in_touch = any_host.iter().filter(|host| self.is_in_touch(**host, at));
                bound_for += step * u32::try_from(in_touch.count()).unwrap_or(0);
                at += step;
            }
        }
        (violations, bound_for)
    }

    /// Returns the requests that were sent whole and ran, and that a planned stop cut without
    /// an answer, and how many requests were checked. Faults at the host or at an instance
    /// that the request reached excuse a cut, those of the store do not.
    pub fn check_stops(&self, outcomes: &[Outcome], records: &RunRecords) -> (Vec<String>, usize) {
        let mut reached: HashMap<&str, Vec<usize>> = HashMap::new();
        for arrival in &records.arrivals {
            let instances = reached.entry(&arrival.request).or_default();
            instances.push(arrival.number);
        }
        let mut violations = Vec::new();
        let mut checked = 0;
        for span in &self.spans {
            let (Condition::Stopping(host), Some(until)) = (span.condition, span.until) else {
                continue;
            };
            for outcome in outcomes.iter().filter(|outcome| outcome.host == host) {
                let (Some(sent_at), Some(instances)) =
                    (outcome.sent_at, reached.get(outcome.id.as_str()))
                else {
                    continue;
                };
                let is_in_stop =
                    sent_at + SENT_BEFORE_END <= until && outcome.ended_at >= span.from;
                if !is_in_stop
                    || !records.runs.contains_key(&outcome.id)
                    || records.broken_off.contains(&outcome.id)
                    || self.is_disturbed(host, instances, sent_at, outcome.ended_at)
                {
                    continue;
                }
                checked += 1;
                if outcome.status == 0 {
                    let kind = if outcome.is_idempotent {
                        "safe"
                    } else {
                        "unsafe"
                    };
                    violations.push(format!(
                        "cut at a planned stop: {kind} {} at host {host} ran, sent whole {:?} and cut \
                         {:?} before the process ended",
                        outcome.id,
                        until - sent_at,
                        until.saturating_duration_since(outcome.ended_at)
                    ));
                }
            }
        }
        (violations, checked)
    }

    /// Reports whether a fault touched a host or instances [`IN_TOUCH_WITHIN`] before a
    /// request was sent, or until it ended.
    fn is_disturbed(
        &self,
        host: usize,
        instances: &[usize],
        sent_at: Instant,
        ended_at: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| {
            let is_near = match span.condition {
                Condition::Paused(other)
                | Condition::Killed(other)
                | Condition::OtherBuild(other) => other == host,
                Condition::InstancePath(instance) => instances.contains(&instance),
                _ => false,
            };
            is_near && span.overlaps(sent_at - IN_TOUCH_WITHIN, ended_at)
        })
    }

    /// Returns the cold instances that got too many requests within a second. A fleet
    /// with hosts of another build keeps no bound.
    pub fn check_cold_starts(&self, arrivals: &[Arrival]) -> Vec<String> {
        let bound = COLD_PER_S * COLD_OVERSHOOT * COLD_WINDOW.as_secs_f64() + COLD_SLACK;
        let mut violations = Vec::new();
        for (id, from) in &self.cold_starts {
            let (from, until) = (*from, *from + COLD_START);
            let mut spans = self.spans.iter();
            if spans.any(|span| {
                matches!(span.condition, Condition::OtherBuild(_)) && span.overlaps(from, until)
            }) {
                continue;
            }
            let times = arrivals.iter().filter(|arrival| arrival.instance == *id);
            let times = times.map(|arrival| arrival.at);
            let times: Vec<Instant> = times.filter(|at| (from..until).contains(at)).collect();
            let counts = times.iter().map(|first| {
                let window = *first..*first + COLD_WINDOW;
                times.iter().filter(|at| window.contains(at)).count()
            });
            let most = u32::try_from(counts.max().unwrap_or(0)).unwrap_or(u32::MAX);
            if f64::from(most) > bound {
                violations.push(format!(
                    "{most} requests within {COLD_WINDOW:?} at the cold instance {id}"
                ));
            }
        }
        violations
    }

    /// Reports whether a host knew at a time what the store had acknowledged
    /// [`IN_TOUCH_WITHIN`] before.
    fn is_in_touch(&self, host: usize, at: Instant) -> bool {
        let disturbances = [
            Condition::StorePath(host),
            Condition::Store,
            Condition::Paused(host),
            Condition::OtherBuild(host),
        ];
        let mut spans = self.spans.iter();
        !spans.any(|span| {
            disturbances.contains(&span.condition) && span.overlaps(at - IN_TOUCH_WITHIN, at)
        })
    }
}

impl Span {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}
