//! Fake instances with the faults that a host can observe on a connection.

use std::collections::BTreeSet;
use std::time::Duration;

use waxwingusher_core::{HostId, InstanceId};

use crate::call::Call;
use crate::sample::{INSTANCES, instance_id};

/// How long an instance is down after a crash.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// The mean time to an answer of an instance that is not slow.
const ANSWER_TIME: Duration = Duration::from_millis(30);
/// The time to an answer of a slow instance.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(900);

/// How an instance behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceMode {
    /// Answers in time.
    Healthy,
    /// Fails this share of its requests, in percent.
    Failing(u8),
    /// Answers late.
    Slow,
    /// Runs requests, but its answers are lost.
    Silent,
    /// Sheds requests: answers that it did not run them as it is overloaded.
    Shedding,
    /// Answers that it did not run requests as it is about to stop.
    Draining,
}

/// How an instance handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Handling {
    /// Runs the request and answers.
    Answers,
    /// Runs the request and answers with an error.
    Fails,
    /// Runs the request, but the answer is lost.
    LosesAnswer,
    /// Answers that it did not run the request.
    Sheds,
    /// Answers that it drains and did not run the request.
    Drains,
    /// Refuses the connection.
    Refuses,
    /// Crashes while it runs the request, which closes the connection.
    Crashes,
}

impl Handling {
    /// Reports whether the instance runs the request.
    #[must_use]
    pub const fn runs(self) -> bool {
        match self {
            Self::Answers | Self::Fails | Self::LosesAnswer | Self::Crashes => true,
            Self::Sheds | Self::Drains | Self::Refuses => false,
        }
    }
}

/// One instance.
#[derive(Debug, Clone)]
struct FakeInstance {
    mode: InstanceMode,
    down_until: Duration,
    crashes: u64,
    /// Hosts whose requests arrive but whose answers are lost.
    cut_from: BTreeSet<HostId>,
}

/// All instances of the service.
#[derive(Debug)]
pub struct Upstreams {
    instances: Vec<FakeInstance>,
    rng: fastrand::Rng,
}

impl Upstreams {
    /// Creates healthy instances.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let instance = FakeInstance {
            mode: InstanceMode::Healthy,
            down_until: Duration::ZERO,
            crashes: 0,
            cut_from: BTreeSet::new(),
        };
        Self {
            instances: vec![instance; INSTANCES],
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Changes how an instance behaves.
    pub fn set_mode(&mut self, instance: usize, mode: InstanceMode) {
        self.instances[instance].mode = mode;
    }

    /// Cuts the path from an instance to a host, or restores it.
    pub fn toggle_cut(&mut self, instance: usize, host: &HostId) {
        let cuts = &mut self.instances[instance].cut_from;
        if !cuts.remove(host) {
            cuts.insert(host.clone());
        }
    }

    /// Ends all faults of instances.
    pub fn clear_faults(&mut self) {
        for instance in &mut self.instances {
            instance.mode = InstanceMode::Healthy;
            instance.cut_from.clear();
        }
    }

    /// Returns how often an instance has crashed.
    #[must_use]
    pub fn crashes(&self, id: &InstanceId) -> u64 {
        self.index(id).map_or(0, |at| self.instances[at].crashes)
    }

    /// Reports whether an instance accepts connections.
    #[must_use]
    pub fn accepts_connections(&self, id: &InstanceId, now: Duration) -> bool {
        self.index(id)
            .is_some_and(|at| now >= self.instances[at].down_until)
    }

    /// Handles a request whose bytes have arrived, and returns how and when its
    /// handling ends.
    pub fn handle(
        &mut self,
        host: &HostId,
        id: &InstanceId,
        call: &Call,
        now: Duration,
    ) -> (Handling, Duration) {
        let Some(index) = self.index(id) else {
            return (Handling::Refuses, now);
        };
        let draw = self.rng.u8(..100);
        let instance = &mut self.instances[index];
        if now < instance.down_until {
            return (Handling::Refuses, now);
        }
        let handling = match instance.mode {
            InstanceMode::Shedding => Handling::Sheds,
            InstanceMode::Draining => Handling::Drains,
            _ if call.is_crashing() => Handling::Crashes,
            _ if instance.cut_from.contains(host) => Handling::LosesAnswer,
            InstanceMode::Silent => Handling::LosesAnswer,
            InstanceMode::Failing(percent) if draw < percent => Handling::Fails,
            InstanceMode::Healthy | InstanceMode::Slow | InstanceMode::Failing(_) => {
                Handling::Answers
            }
        };
        if handling == Handling::Crashes {
            instance.crashes += 1;
            instance.down_until = now + RESTART_TIME;
        }
        let answer_time = if instance.mode == InstanceMode::Slow {
            SLOW_ANSWER_TIME
        } else {
            ANSWER_TIME.mul_f64(0.5 + self.rng.f64())
        };
        (handling, now + answer_time)
    }

    fn index(&self, id: &InstanceId) -> Option<usize> {
        (0..self.instances.len()).find(|index| instance_id(*index) == *id)
    }
}
