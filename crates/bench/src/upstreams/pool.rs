//! The configured pools of two users.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use waxwingusher_config::{Detection, Instance, InstanceState, Service, Snapshot};
use waxwingusher_core::{
    FailureDomain, HostEntry, HostId, HostList, HostState, InstanceId, ServiceName,
};

/// The size of one user's pool and of the fleet in front of it.
#[derive(Debug, Clone, Copy)]
pub struct PoolShape {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The number of instances.
    pub instances: usize,
    /// The slots of each instance.
    pub slots: u32,
    /// The detection setting of the service.
    pub detection: Detection,
}

/// The approval desk: few instances, for which false ejections must be rare.
pub const APPROVAL_DESK: PoolShape = PoolShape {
    hosts: 36,
    domains: 4,
    instances: 10,
    slots: 6,
    detection: Detection::Careful,
};

/// The order service, for which detection must be quick.
pub const ORDER_SERVICE: PoolShape = PoolShape {
    hosts: 36,
    domains: 3,
    instances: 15,
    slots: 3,
    detection: Detection::Fast,
};

/// Returns the name of the only service.
pub fn service_name() -> ServiceName {
    ServiceName::new("service-0")
}

/// Returns the name of a host.
pub fn host_id(index: usize) -> HostId {
    HostId::new(&format!("host-{index:03}"))
}

/// Returns the name of an instance.
pub fn instance_id(index: usize) -> InstanceId {
    InstanceId::new(&format!("instance-{index:03}"))
}

/// Returns the index that an instance's name contains.
pub fn instance_index(instance: &InstanceId) -> usize {
    let digits = instance.as_str().rsplit('-').next();
    digits.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl PoolShape {
    /// Returns the failure domain of a host or an instance, assigned round-robin.
    pub fn domain(&self, index: usize) -> FailureDomain {
        FailureDomain::new(&format!("domain-{}", index % self.domains))
    }

    /// Returns the instances of one service.
    pub fn instances(&self) -> Vec<Instance> {
        (0..self.instances)
            .map(|index| Instance {
                id: instance_id(index),
                addr: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
                slots: self.slots,
                failure_domain: self.domain(index),
                state: InstanceState::Live,
            })
            .collect()
    }

    /// Returns a configuration with a number of services of this shape.
    pub fn snapshot(&self, services: usize) -> Snapshot {
        let mut map = BTreeMap::new();
        for index in 0..services {
            let name = ServiceName::new(&format!("service-{index}"));
            let service = Service {
                name: name.clone(),
                owner: Arc::from("bench"),
                instances: self.instances(),
                floor_percent: 70,
                detection: self.detection,
                health_path: Arc::from("/health"),
            };
            map.insert(name, Arc::new(service));
        }
        Snapshot {
            version: 1,
            services: map,
            ..Snapshot::default()
        }
    }

    /// Returns the list of hosts.
    pub fn host_list(&self) -> HostList {
        let hosts = (0..self.hosts).map(|index| HostEntry {
            id: host_id(index),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 20_000 + index as u16)),
            failure_domain: self.domain(index),
            state: HostState::Live,
        });
        HostList {
            version: 1,
            hosts: hosts.collect(),
        }
    }
}
