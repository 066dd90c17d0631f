//! The configuration and the settings of the fleet.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use waxwingusher_attempts::AttemptSettings;
use waxwingusher_bench::config::sample;
use waxwingusher_config::{
    Access, Detection, Instance, InstanceState, RateLimit, Route, Service, Snapshot, Workspace,
};
use waxwingusher_core::{FailureDomain, InstanceId, KeyDigest, ServiceName, WorkspaceName};
use waxwingusher_limits::LimiterSettings;

/// The number of failure domains.
pub const DOMAINS: usize = 3;
/// The number of workspaces in the configuration.
pub const WORKSPACES: usize = 2;
/// The number of keys that each workspace may have.
pub const KEYS: usize = 2;
/// The number of instances of the only service.
pub const INSTANCES: usize = 10;
/// Limits that actions switch between, as a rate per second and a burst.
pub const LIMITS: [(u64, u32); 4] = [(20, 6), (5, 3), (60, 40), (10, 12)];
/// How long after its start the fleet admits requests.
pub const OPENS_AFTER: Duration = Duration::from_secs(12);
/// How long the fleet runs before the first action. A host list that is
/// published soon after the opening revokes the rights of the opening.
pub const WARM_UP: Duration = Duration::from_secs(32);
/// How long an operation with an idempotency key runs at most once.
pub const ATTEMPT_WINDOW: Duration = Duration::from_secs(20);

/// Returns the settings of the limiter.
#[must_use]
pub fn limiter_settings() -> LimiterSettings {
    let domains: Vec<FailureDomain> = (0..DOMAINS).map(sample::domain).collect();
    LimiterSettings {
        opened_at: Some(opens_at()),
        ..LimiterSettings::new(domains)
    }
}

/// Returns the settings of the attempt records.
#[must_use]
pub fn attempt_settings() -> AttemptSettings {
    AttemptSettings {
        window: ATTEMPT_WINDOW,
        opened_at: Some(opens_at()),
        ..AttemptSettings::default()
    }
}

fn opens_at() -> SystemTime {
    SystemTime::UNIX_EPOCH + OPENS_AFTER
}

/// Returns the name of a workspace.
#[must_use]
pub fn workspace_name(index: usize) -> WorkspaceName {
    WorkspaceName::new(&format!("college-{index}"))
}

/// Returns the digest of a workspace's key.
#[must_use]
pub fn key_digest(workspace: usize, key: usize) -> KeyDigest {
    KeyDigest::of_key(format!("key {key} of college {workspace}").as_bytes())
}

/// Returns the name of the service.
#[must_use]
pub fn service_name() -> ServiceName {
    ServiceName::new("approval-desk")
}

/// Returns the name of an instance.
#[must_use]
pub fn instance_id(index: usize) -> InstanceId {
    InstanceId::new(&format!("approval-desk-{index:02}"))
}

/// Returns the configuration with which the fleet starts.
#[must_use]
pub fn first_snapshot() -> Snapshot {
    let mut snapshot = Snapshot {
        version: 1,
        ..Snapshot::default()
    };
    let service = service();
    snapshot
        .services
        .insert(service.name.clone(), Arc::new(service));
    let route = route();
    snapshot.routes.insert(route.name.clone(), Arc::new(route));
    for index in 0..WORKSPACES {
        let workspace = workspace(index);
        snapshot
            .workspaces
            .insert(workspace.name.clone(), Arc::new(workspace));
    }
    snapshot
}

fn workspace(index: usize) -> Workspace {
    let (rate_per_s, burst) = LIMITS[0];
    Workspace {
        name: workspace_name(index),
        key_digests: (0..KEYS).map(|key| key_digest(index, key)).collect(),
        limit: RateLimit {
            rate_millis_per_s: rate_per_s * 1_000,
            burst,
        },
        weight: 1,
    }
}

fn route() -> Route {
    Route {
        name: "approvals".into(),
        service: service_name(),
        path_prefix: "/approvals".into(),
        methods: vec!["GET".into(), "POST".into()],
        idempotent_methods: vec!["GET".into()],
        access: Access::Keyed,
        open_limit: None,
        workspaces: Vec::new(),
        deadline: Duration::from_secs(2),
    }
}

fn service() -> Service {
    let instance = |index: usize| Instance {
        id: instance_id(index),
        addr: ([10, 16, 0, index as u8], 8_080).into(),
        slots: 6,
        failure_domain: sample::domain(index % DOMAINS),
        state: InstanceState::Live,
    };
    Service {
        name: service_name(),
        owner: "leave-team".into(),
        instances: (0..INSTANCES).map(instance).collect(),
        floor_percent: 70,
        detection: Detection::Fast,
        health_path: "/health".into(),
    }
}
