//! The plan of an emulated fleet.

use std::time::Duration;

/// The size and the timing of an emulated fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Names of the failure domains.
    pub failure_domains: Vec<String>,
    /// Hosts in each failure domain.
    pub hosts_per_domain: usize,
    /// Instances of the service in each failure domain.
    pub instances_per_domain: usize,
    /// Slots of an instance.
    pub slots: u32,
    /// How long an instance takes for a request.
    pub service_time: Duration,
    /// The share of all slots that stays in use, in percent.
    pub floor_percent: u8,
    /// The workspaces.
    pub workspaces: Vec<WorkspacePlan>,
    /// How long a loan of rate and burst lasts.
    pub loan_term: Duration,
    /// How long a request may wait for a loan.
    pub loan_wait: Duration,
    /// How long after its start the fleet opens to callers.
    pub opens_after: Duration,
    /// How long an operation with an idempotency key runs at most once.
    pub attempt_window: Duration,
    /// Threads of a host that forward requests.
    pub workers: usize,
}

/// A workspace of an emulated fleet.
#[derive(Debug, Clone)]
pub struct WorkspacePlan {
    /// The name.
    pub name: String,
    /// The caller's key.
    pub key: String,
    /// Further valid keys.
    pub other_keys: Vec<String>,
    /// Requests per second.
    pub rate_per_s: f64,
    /// The burst in requests.
    pub burst: u32,
}

impl WorkspacePlan {
    /// Creates a workspace whose key is derived from its name.
    #[must_use]
    pub fn new(name: &str, rate_per_s: f64, burst: u32) -> Self {
        Self {
            name: name.to_owned(),
            key: format!("emulated-key-of-{name}"),
            other_keys: Vec::new(),
            rate_per_s,
            burst,
        }
    }
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            failure_domains: vec!["north".to_owned(), "south".to_owned()],
            hosts_per_domain: 3,
            instances_per_domain: 3,
            slots: 6,
            service_time: Duration::from_millis(2),
            floor_percent: 50,
            workspaces: vec![
                WorkspacePlan::new("lecturers", 400.0, 100),
                WorkspacePlan::new("payroll", 200.0, 50),
            ],
            loan_term: Duration::from_secs(1),
            loan_wait: Duration::from_millis(300),
            opens_after: Duration::from_secs(2),
            attempt_window: Duration::from_secs(30),
            workers: 16,
        }
    }
}
