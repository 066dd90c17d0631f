//! Sample configurations and host lists of a given size.

use std::sync::Arc;
use std::time::Duration;

use waxwingusher_config::{
    Access, Detection, Instance, InstanceState, RateLimit, Route, Service, Snapshot, Workspace,
};
use waxwingusher_core::{FailureDomain, HostEntry, HostId, HostList, HostState, KeyDigest};

/// The size of a configuration.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// The number of services.
    pub services: u32,
    /// The number of instances of all services.
    pub instances: u32,
    /// The number of routes.
    pub routes: u32,
    /// The number of workspaces.
    pub workspaces: u32,
}

impl Size {
    /// The size that the system is designed for.
    pub const DESIGN: Self = Self {
        services: 250,
        instances: 5_300,
        routes: 1_800,
        workspaces: 13_000,
    };

    /// A size that hundreds of simulated hosts in one process can hold.
    pub const SMALL: Self = Self {
        services: 2,
        instances: 10,
        routes: 4,
        workspaces: 40,
    };
}

const TOWNS: [&str; 12] = [
    "asansol",
    "barasat",
    "bardhaman",
    "dharma",
    "durgapur",
    "haldia",
    "howrah",
    "kalyani",
    "kharagpur",
    "malda",
    "salt-lake",
    "siliguri",
];

const KINDS: [&str; 6] = ["balance", "calendar", "order", "fabric", "measure", "leave"];

/// Returns a configuration of a size. The same seed gives the same configuration.
#[must_use]
pub fn snapshot(size: Size, version: u64, seed: u64) -> Snapshot {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut snapshot = Snapshot {
        version,
        ..Snapshot::default()
    };
    for i in 0..size.services {
        let service = service(i, &size, &mut rng);
        snapshot
            .services
            .insert(service.name.clone(), Arc::new(service));
    }
    for i in 0..size.routes {
        let route = route(i, &size, &mut rng);
        snapshot.routes.insert(route.name.clone(), Arc::new(route));
    }
    for i in 0..size.workspaces {
        let workspace = workspace(i, &mut rng);
        snapshot
            .workspaces
            .insert(workspace.name.clone(), Arc::new(workspace));
    }
    snapshot
}

/// Changes the burst of one workspace, or the state of one instance.
pub fn change(snapshot: &mut Snapshot, rng: &mut fastrand::Rng) {
    if rng.bool() {
        let at = rng.usize(..snapshot.workspaces.len());
        if let Some(workspace) = snapshot.workspaces.values_mut().nth(at) {
            let workspace = Arc::make_mut(workspace);
            workspace.limit.burst = workspace.limit.burst % 997 + 1;
        }
        return;
    }
    let at = rng.usize(..snapshot.services.len());
    if let Some(service) = snapshot.services.values_mut().nth(at) {
        let instances = &mut Arc::make_mut(service).instances;
        if let Some(instance) = rng.choice(instances) {
            instance.state = match instance.state {
                InstanceState::Live => InstanceState::Leaving,
                InstanceState::Leaving => InstanceState::Live,
            };
        }
    }
}

/// Returns a list of hosts that are assigned to failure domains round-robin.
#[must_use]
pub fn host_list(hosts: usize, domains: usize, version: u64) -> HostList {
    let entry = |i: usize| HostEntry {
        id: host_id(i),
        peer_addr: ([10, 8, (i / 250) as u8, (i % 250) as u8], 7_400).into(),
        failure_domain: domain(i % domains),
        state: HostState::Live,
    };
    HostList {
        version,
        hosts: (0..hosts).map(entry).collect(),
    }
}

/// Returns the name of a host by its index.
#[must_use]
pub fn host_id(i: usize) -> HostId {
    HostId::new(&format!("entry-{i:03}"))
}

/// Returns the name of a failure domain by its index.
#[must_use]
pub fn domain(i: usize) -> FailureDomain {
    FailureDomain::new(&format!("domain-{i}"))
}

fn service(i: u32, size: &Size, rng: &mut fastrand::Rng) -> Service {
    let name = service_name(i);
    let count = size.instances / size.services + u32::from(i < size.instances % size.services);
    let instance = |k: u32, rng: &mut fastrand::Rng| Instance {
        id: format!("{name}-{k:02}").as_str().into(),
        addr: ([10, (16 + i / 250) as u8, (i % 250) as u8, k as u8], 8_080).into(),
        slots: rng.u32(3..=6),
        failure_domain: domain(rng.usize(..7)),
        state: InstanceState::Live,
    };
    Service {
        name: name.as_str().into(),
        owner: format!("team-{}", i % 40).as_str().into(),
        instances: (0..count).map(|k| instance(k, rng)).collect(),
        floor_percent: 70,
        detection: Detection::Careful,
        health_path: "/health".into(),
    }
}

fn service_name(i: u32) -> String {
    format!("{}-{i:03}", KINDS[i as usize % KINDS.len()])
}

fn route(i: u32, size: &Size, rng: &mut fastrand::Rng) -> Route {
    let service = service_name(rng.u32(..size.services));
    let kind = KINDS[i as usize % KINDS.len()];
    Route {
        name: format!("{kind}-route-{i:04}").as_str().into(),
        service: service.as_str().into(),
        path_prefix: format!("/v1/{kind}/{i}").as_str().into(),
        methods: vec!["GET".into(), "POST".into()],
        idempotent_methods: vec!["GET".into()],
        access: Access::Keyed,
        open_limit: None,
        workspaces: Vec::new(),
        deadline: Duration::from_millis(500 * rng.u64(1..=10)),
    }
}

fn workspace(i: u32, rng: &mut fastrand::Rng) -> Workspace {
    let town = TOWNS[rng.usize(..TOWNS.len())];
    let digest = |rng: &mut fastrand::Rng| KeyDigest::of_key(&rng.u128(..).to_le_bytes());
    let keys = if rng.u8(..10) == 0 { 2 } else { 1 };
    Workspace {
        name: format!("{town}-{i:05}").as_str().into(),
        key_digests: (0..keys).map(|_| digest(rng)).collect(),
        limit: RateLimit {
            rate_millis_per_s: 1_000 * rng.u64(1..=50),
            burst: rng.u32(5..=100),
        },
        weight: 1,
    }
}
