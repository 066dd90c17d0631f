//! Parsing of services and instances.

use std::net::SocketAddr;
use std::sync::Arc;

use waxwingusher_core::{FailureDomain, InstanceId, ServiceName};

use super::{TeamFile, convert_integer, read_choice, read_or_default, report_out_of_range};
use crate::location::Item;
use crate::model::{Detection, Instance, InstanceState, Service};
use crate::table::{NamedTable, Source, Table};

const SERVICE_KEYS: &[&str] = &["floor-percent", "detection", "health-path", "instance"];
const INSTANCE_KEYS: &[&str] = &["addr", "slots", "failure-domain", "state"];

const DEFAULT_FLOOR_PERCENT: u8 = 70;
const DEFAULT_HEALTH_PATH: &str = "/health";

const DETECTIONS: &[(&str, Detection)] =
    &[("careful", Detection::Careful), ("fast", Detection::Fast)];
const STATES: &[(&str, InstanceState)] = &[
    ("live", InstanceState::Live),
    ("leaving", InstanceState::Leaving),
];

impl TeamFile {
    pub(super) fn read_service(
        &mut self,
        source: &mut Source<'_>,
        named: &NamedTable<'_, '_>,
    ) -> Option<Service> {
        let table = Table::new(source, named.table, named.offset, SERVICE_KEYS);
        let name = ServiceName::new(&named.name);
        let item = Item::Service(name.clone());
        self.record_keys(source, &table, &item, SERVICE_KEYS);
        let floor_percent = read_floor(source, &table);
        let detection = read_choice(source, &table, "detection", DETECTIONS).unwrap_or_default();
        let health_path = table
            .string(source, "health-path")
            .map_or_else(|| Arc::from(DEFAULT_HEALTH_PATH), |path| path.value);
        let mut instances = Vec::new();
        for instance in table.tables(source, "instance") {
            instances.extend(self.read_instance(source, &name, &instance));
        }
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        Some(Service {
            name,
            owner: self.owner.clone(),
            instances,
            floor_percent: floor_percent?,
            detection,
            health_path,
        })
    }

    fn read_instance(
        &mut self,
        source: &mut Source<'_>,
        service: &ServiceName,
        named: &NamedTable<'_, '_>,
    ) -> Option<Instance> {
        let id = InstanceId::new(&named.name);
        let item = Item::Instance(service.clone(), id.clone());
        self.declare(source, named, item.clone());
        let table = Table::new(source, named.table, named.offset, INSTANCE_KEYS);
        self.record_keys(source, &table, &item, INSTANCE_KEYS);
        let addr = read_addr(source, &table);
        let slots = read_slots(source, &table);
        let failure_domain = read_failure_domain(source, &table);
        let state = read_choice(source, &table, "state", STATES).unwrap_or_default();
        Some(Instance {
            id,
            addr: addr?,
            slots: slots?,
            failure_domain: failure_domain?,
            state,
        })
    }
}

fn read_floor(source: &mut Source<'_>, table: &Table<'_, '_>) -> Option<u8> {
    const ALLOWED: &str = "0 to 100 percent";
    let default = DEFAULT_FLOOR_PERCENT;
    read_or_default(source, table, "floor-percent", ALLOWED, default)
}

fn read_addr(source: &mut Source<'_>, table: &Table<'_, '_>) -> Option<SocketAddr> {
    const ALLOWED: &str = "an IP number and a port, such as \"10.0.0.1:8080\"";
    if table.offset_of("addr").is_none() {
        table.report_missing(source, "addr", ALLOWED);
    }
    let written = table.string(source, "addr")?;
    let parsed = written.value.parse().ok();
    if parsed.is_none() {
        report_out_of_range(source, written.offset, "addr", &*written.value, ALLOWED);
    }
    parsed
}

fn read_slots(source: &mut Source<'_>, table: &Table<'_, '_>) -> Option<u32> {
    const ALLOWED: &str = "1 to 4294967295 requests at once";
    if table.offset_of("slots").is_none() {
        table.report_missing(source, "slots", ALLOWED);
    }
    let slots = table.integer(source, "slots")?;
    convert_integer(source, &slots, "slots", ALLOWED)
}

fn read_failure_domain(source: &mut Source<'_>, table: &Table<'_, '_>) -> Option<FailureDomain> {
    const ALLOWED: &str = "the name of a failure domain";
    if table.offset_of("failure-domain").is_none() {
        table.report_missing(source, "failure-domain", ALLOWED);
    }
    let written = table.string(source, "failure-domain")?;
    Some(FailureDomain::new(&written.value))
}
