//! A fleet of [`UpstreamSet`] objects in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use waxwingusher_core::{Clock, HostId, InstanceId, ManualClock, ServiceName};
use waxwingusher_protocol::codec::{UDP_OVERHEAD_BYTES, wire_len_bytes};
use waxwingusher_protocol::health::HealthMessage;
use waxwingusher_protocol::{Message, Outgoing};
use waxwingusher_standins::{LinkFaults, Links};
use waxwingusher_upstreams::{
    ChoiceId, ChooseError, ChooseRequest, RequestOrigin, UpstreamResult, UpstreamSet,
    UpstreamSettings,
};

use super::pool::{PoolShape, host_id};

const STEP: Duration = Duration::from_millis(5);
const TICK_STEPS: u64 = 10;
const WORKSPACES: usize = 8;
const ROUTES: usize = 5;

struct Pending {
    host: usize,
    choice_id: ChoiceId,
    origin: RequestOrigin,
    result: UpstreamResult,
}

/// The fleet, its links and the requests in flight.
pub struct Fleet {
    /// The clock of all hosts.
    pub clock: ManualClock,
    /// The hosts.
    pub sets: Vec<UpstreamSet>,
    /// The random generator for traffic and outcomes.
    pub rng: fastrand::Rng,
    /// Bytes that all hosts have sent, with datagram overhead.
    pub sent_bytes: u64,
    links: Links<HealthMessage>,
    host_indexes: HashMap<HostId, usize>,
    pending: BTreeMap<(Instant, u64), Pending>,
    sequence: u64,
    steps: u64,
}

impl Fleet {
    /// Creates a fleet in front of a number of services.
    pub fn new(shape: &PoolShape, services: usize, seed: u64, settings: &UpstreamSettings) -> Self {
        let clock = ManualClock::new();
        let mut rng = fastrand::Rng::with_seed(seed);
        let snapshot = shape.snapshot(services);
        let list = shape.host_list();
        let mut sets = Vec::with_capacity(shape.hosts);
        for index in 0..shape.hosts {
            let shared: Arc<dyn Clock> = Arc::new(clock.clone());
            let mut set = UpstreamSet::new(
                host_id(index),
                shape.domain(index),
                1,
                shared,
                rng.u64(..),
                settings.clone(),
            );
            set.apply_host_list(&list);
            set.apply_snapshot(&snapshot);
            sets.push(set);
        }
        Self {
            clock,
            sets,
            links: Links::new(rng.u64(..), LinkFaults::default()),
            rng,
            sent_bytes: 0,
            host_indexes: (0..shape.hosts).map(|i| (host_id(i), i)).collect(),
            pending: BTreeMap::new(),
            sequence: 0,
            steps: 0,
        }
    }

    /// Advances by one step and returns its length.
    pub fn step(&mut self) -> Duration {
        self.clock.advance(STEP);
        self.steps += 1;
        let now = self.clock.now();
        self.complete_requests(now);
        while let Some(delivery) = self.links.receive(now) {
            let Some(to) = self.host_indexes.get(&delivery.to).copied() else {
                continue;
            };
            let out = self.sets[to].on_message(&delivery.from, 1, &delivery.message);
            self.send(to, now, out);
        }
        for host in 0..self.sets.len() {
            if (self.steps + host as u64).is_multiple_of(TICK_STEPS) {
                let out = self.sets[host].tick();
                self.send(host, now, out);
            }
        }
        STEP
    }

    /// Draws how many requests arrive in one step at a rate.
    pub fn arrivals(&mut self, rate_per_s: f64) -> usize {
        let mut left = rate_per_s * STEP.as_secs_f64();
        let mut count = 0;
        loop {
            left += self.rng.f64().max(f64::MIN_POSITIVE).ln();
            if left < 0.0 {
                return count;
            }
            count += 1;
        }
    }

    /// Draws the origin of a request.
    pub fn origin(&mut self) -> RequestOrigin {
        let workspace = self.rng.usize(..WORKSPACES);
        let route = self.rng.usize(..ROUTES);
        RequestOrigin {
            workspace: format!("workspace-{workspace}").as_str().into(),
            route: format!("route-{route}").as_str().into(),
        }
    }

    /// Sends a request through a host. `outcome` returns the result and the delay
    /// until it is known.
    ///
    /// # Errors
    ///
    /// Returns [`ChooseError`] if the host has no usable instance.
    pub fn request(
        &mut self,
        host: usize,
        service: &ServiceName,
        origin: RequestOrigin,
        outcome: impl FnOnce(&InstanceId, &mut fastrand::Rng) -> (UpstreamResult, Duration),
    ) -> Result<UpstreamResult, ChooseError> {
        let now = self.clock.now();
        let request = ChooseRequest {
            is_idempotent: true,
            exclude: &[],
            deadline: now + Duration::from_secs(5),
        };
        let choice = self.sets[host].choose(service, &request)?;
        let (result, after) = outcome(&choice.instance, &mut self.rng);
        self.sequence += 1;
        let pending = Pending {
            host,
            choice_id: choice.id,
            origin,
            result,
        };
        self.pending.insert((now + after, self.sequence), pending);
        Ok(result)
    }

    fn complete_requests(&mut self, now: Instant) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let done = entry.remove();
            self.sets[done.host].report(done.choice_id, &done.origin, done.result);
        }
    }

    fn send(&mut self, from: usize, now: Instant, out: Vec<Outgoing<HealthMessage>>) {
        let from = host_id(from);
        for outgoing in out {
            let message = Message::Health(outgoing.message.clone());
            let bytes = wire_len_bytes(&from, u64::MAX, &message) + UDP_OVERHEAD_BYTES;
            self.sent_bytes += bytes as u64;
            self.links.send(now, &from, &outgoing.to, outgoing.message);
        }
    }
}
