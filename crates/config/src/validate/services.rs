//! Validation of services and their instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Violation;
use crate::location::{Item, Subject};
use crate::model::{InstanceState, Service, Snapshot};
use crate::problem::Problem;

pub fn validate(snapshot: &Snapshot, violations: &mut Vec<Violation>) {
    for service in snapshot.services.values() {
        check_floor(service, violations);
        check_instances(service, violations);
        if let Some(problem) = bad_path("health-path", &service.health_path) {
            let subject = Subject::of_key(Item::Service(service.name.clone()), "health-path");
            violations.push(Violation::error(subject, problem));
        }
    }
}

/// Returns a problem if the path is invalid.
pub fn bad_path(key: &'static str, path: &Arc<str>) -> Option<Problem> {
    let is_bad = !path.starts_with('/')
        || path.contains(['?', '#'])
        || path.contains(|c: char| c.is_whitespace() || c.is_control());
    is_bad.then(|| Problem::BadPath {
        key,
        path: path.clone(),
    })
}

fn check_floor(service: &Service, violations: &mut Vec<Violation>) {
    let item = Item::Service(service.name.clone());
    let subject = Subject::of_key(item, "floor-percent");
    let floor_percent = service.floor_percent;
    if floor_percent > 100 {
        let problem = Problem::OutOfRange {
            key: "floor-percent",
            value: floor_percent.to_string(),
            allowed: "0 to 100 percent",
        };
        violations.push(Violation::error(subject, problem));
        return;
    }
    let live = service
        .instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Live);
    let live_slots: Vec<u32> = live.map(|instance| instance.slots).collect();
    let Some(&smallest) = live_slots.iter().min() else {
        let service = service.name.to_string();
        violations.push(Violation::warning(subject, Problem::NoInstance { service }));
        return;
    };
    let slots: u64 = live_slots.iter().map(|slots| u64::from(*slots)).sum();
    let after_ejection = (slots - u64::from(smallest)) * 100;
    if after_ejection < slots * u64::from(floor_percent) {
        let problem = Problem::FloorAllowsNoEjection {
            floor_percent,
            slots,
            smallest,
        };
        violations.push(Violation::warning(subject, problem));
    }
}

fn check_instances(service: &Service, violations: &mut Vec<Violation>) {
    let mut addresses: HashMap<SocketAddr, &str> = HashMap::new();
    for instance in &service.instances {
        let item = Item::Instance(service.name.clone(), instance.id.clone());
        if instance.slots == 0 {
            let problem = Problem::zero_not_allowed("slots", "1 to 4294967295 requests at once");
            violations.push(Violation::error(
                Subject::of_key(item.clone(), "slots"),
                problem,
            ));
        }
        if let Some(other) = addresses.insert(instance.addr, instance.id.as_str()) {
            let problem = Problem::SharedAddress {
                instance: instance.id.to_string(),
                other: other.to_owned(),
            };
            violations.push(Violation::error(Subject::of_key(item, "addr"), problem));
        }
    }
}
