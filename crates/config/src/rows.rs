//! The configuration as a sorted list of rows, which packs consist of.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use waxwingusher_core::ServiceName;

use crate::location::Item;
use crate::model::{Detection, Instance, Route, Service, Snapshot, Workspace};

/// The largest encoded row, in bytes.
pub const MAX_ROW_BYTES: usize = 128 * 1024;

/// A service without its instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    name: ServiceName,
    owner: Arc<str>,
    floor_percent: u8,
    detection: Detection,
    health_path: Arc<str>,
}

/// An instance with the service that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    service: ServiceName,
    instance: Instance,
}

/// One published entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Row {
    /// A service.
    Service(ServiceRow),
    /// An instance of a service.
    Instance(InstanceRow),
    /// A route.
    Route(Arc<Route>),
    /// A workspace.
    Workspace(Arc<Workspace>),
}

impl Row {
    /// Returns the key that rows are sorted by.
    pub fn key(&self) -> String {
        match self {
            Self::Service(row) => format!("service/{}", row.name),
            Self::Instance(row) => format!("instance/{}/{}", row.service, row.instance.id),
            Self::Route(route) => format!("route/{}", route.name),
            Self::Workspace(workspace) => format!("workspace/{}", workspace.name),
        }
    }

    /// Returns the item that the row declares.
    pub fn item(&self) -> Item {
        match self {
            Self::Service(row) => Item::Service(row.name.clone()),
            Self::Instance(row) => Item::Instance(row.service.clone(), row.instance.id.clone()),
            Self::Route(route) => Item::Route(route.name.clone()),
            Self::Workspace(workspace) => Item::Workspace(workspace.name.clone()),
        }
    }

    /// Returns the row's values by field; a nested value has its path, separated by
    /// dots.
    pub fn fields(&self) -> BTreeMap<String, Value> {
        let mut fields = BTreeMap::new();
        if let Ok(Value::Object(kinds)) = serde_json::to_value(self) {
            for value in kinds.values() {
                flatten("", value, &mut fields);
            }
        }
        fields
    }

    /// Returns the size of the encoded row.
    pub fn encoded_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}

fn flatten(path: &str, value: &Value, fields: &mut BTreeMap<String, Value>) {
    let Value::Object(object) = value else {
        fields.insert(path.to_owned(), value.clone());
        return;
    };
    for (name, value) in object {
        let separator = if path.is_empty() { "" } else { "." };
        flatten(&format!("{path}{separator}{name}"), value, fields);
    }
}

/// Returns all rows of a configuration, sorted by key.
pub fn rows_of(snapshot: &Snapshot) -> Vec<Row> {
    let mut rows = Vec::new();
    for service in snapshot.services.values() {
        rows.push(Row::Service(ServiceRow {
            name: service.name.clone(),
            owner: service.owner.clone(),
            floor_percent: service.floor_percent,
            detection: service.detection,
            health_path: service.health_path.clone(),
        }));
        for instance in &service.instances {
            rows.push(Row::Instance(InstanceRow {
                service: service.name.clone(),
                instance: instance.clone(),
            }));
        }
    }
    rows.extend(snapshot.routes.values().cloned().map(Row::Route));
    rows.extend(snapshot.workspaces.values().cloned().map(Row::Workspace));
    rows.sort_by_cached_key(Row::key);
    rows
}

/// An instance row names a service that has no row.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("instance `{instance}` belongs to service `{service}`, which has no row")]
pub struct OrphanInstance {
    service: ServiceName,
    instance: String,
}

/// Builds the configuration from its rows, which may be in any order.
///
/// # Errors
///
/// Returns an error if an instance belongs to no service.
pub fn snapshot_of(version: u64, rows: Vec<Row>) -> Result<Snapshot, OrphanInstance> {
    let mut snapshot = Snapshot {
        version,
        ..Snapshot::default()
    };
    let mut instances = Vec::new();
    let mut services = BTreeMap::new();
    for row in rows {
        match row {
            Row::Service(row) => {
                services.insert(row.name.clone(), service_of(row));
            }
            Row::Instance(row) => instances.push(row),
            Row::Route(route) => {
                snapshot.routes.insert(route.name.clone(), route);
            }
            Row::Workspace(workspace) => {
                let name = workspace.name.clone();
                snapshot.workspaces.insert(name, workspace);
            }
        }
    }
    for row in instances {
        let Some(service) = services.get_mut(&row.service) else {
            return Err(OrphanInstance {
                service: row.service,
                instance: row.instance.id.to_string(),
            });
        };
        service.instances.push(row.instance);
    }
    for (name, mut service) in services {
        service.instances.sort_by(|a, b| a.id.cmp(&b.id));
        snapshot.services.insert(name, Arc::new(service));
    }
    Ok(snapshot)
}

fn service_of(row: ServiceRow) -> Service {
    Service {
        name: row.name,
        owner: row.owner,
        instances: Vec::new(),
        floor_percent: row.floor_percent,
        detection: row.detection,
        health_path: row.health_path,
    }
}

/// Serialization of key digests as strings, as in the teams' files.
pub mod digest_strings {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};
    use waxwingusher_core::KeyDigest;

    /// Serializes digests as strings.
    pub fn serialize<S: Serializer>(
        digests: &[KeyDigest],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(digests.iter().map(ToString::to_string))
    }

    /// Deserializes digests from strings.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<KeyDigest>, D::Error> {
        let texts = Vec::<String>::deserialize(deserializer)?;
        let digests = texts.iter().map(|text| KeyDigest::parse(text));
        digests.collect::<Result<_, _>>().map_err(D::Error::custom)
    }
}
