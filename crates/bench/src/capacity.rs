//! How the cost of each subsystem grows with its size, measured at four sizes.

use std::time::Instant;

use waxwingusher_config::{Manifest, assemble, publish};
use waxwingusher_limits::KeyIndex;

use crate::config::propagation;
use crate::config::sample::{self, Size};
use crate::scenario::{Measurement, Scenario, ScenarioResult};
use crate::{attempts, limits, membership, upstreams};

/// Hosts of the fleet: an eighth, a quarter, a half and all of the design size.
const HOSTS: [usize; 4] = [55, 110, 220, 440];
/// Hosts in each of the seven failure domains.
const HOSTS_PER_DOMAIN: [usize; 4] = [4, 8, 16, 32];
/// Workspaces in the configuration.
const WORKSPACES: [usize; 4] = [1_625, 3_250, 6_500, 13_000];
/// Requests with an idempotency key per second and host.
const KEYED_PER_S: [usize; 4] = [25, 50, 100, 200];
/// The number of assemblies over which the time is averaged.
const ASSEMBLIES: u32 = 5;

/// Returns the scenarios of this topic.
#[must_use]
pub fn scenarios() -> Vec<Box<dyn Scenario>> {
    let hosts_of_domains = |per_domain: usize| per_domain * 7;
    vec![
        Box::new(Slope {
            name: "capacity/limits-by-hosts",
            sizes: HOSTS_PER_DOMAIN,
            unit_of: hosts_of_domains,
            measure: limits::design_size::measure_hosts,
        }),
        Box::new(Slope {
            name: "capacity/liveness-by-hosts",
            sizes: HOSTS,
            unit_of: std::convert::identity,
            measure: membership::measure_hosts,
        }),
        Box::new(Slope {
            name: "capacity/distribution-by-hosts",
            sizes: HOSTS,
            unit_of: std::convert::identity,
            measure: propagation::measure_hosts,
        }),
        Box::new(Slope {
            name: "capacity/health-by-hosts",
            sizes: HOSTS,
            unit_of: std::convert::identity,
            measure: upstreams::cost::measure_hosts,
        }),
        Box::new(Slope {
            name: "capacity/attempts-by-requests",
            sizes: KEYED_PER_S,
            unit_of: std::convert::identity,
            measure: attempts::cost::measure_requests,
        }),
        Box::new(Slope {
            name: "capacity/config-by-workspaces",
            sizes: WORKSPACES,
            unit_of: std::convert::identity,
            measure: measure_configuration,
        }),
    ]
}

/// Measures the same quantities at four sizes and fits a line to each.
struct Slope {
    name: &'static str,
    sizes: [usize; 4],
    /// Converts a size to the unit in which the slope is expressed.
    unit_of: fn(usize) -> usize,
    measure: fn(usize, u64) -> Vec<Measurement>,
}

impl Scenario for Slope {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let mut series: Vec<Series> = Vec::new();
        for size in self.sizes {
            let at = (self.unit_of)(size) as f64;
            for measurement in (self.measure)(size, seed) {
                push(&mut series, at, &measurement);
            }
        }
        ScenarioResult {
            scenario: self.name.into(),
            seed,
            measurements: series.iter().flat_map(Series::measurements).collect(),
        }
    }
}

/// The values of one measurement at all sizes.
struct Series {
    name: String,
    unit: String,
    is_timed: bool,
    points: Vec<Point>,
}

#[derive(Clone, Copy)]
struct Point {
    at: f64,
    value: f64,
}

impl Series {
    /// Returns the value at each size and the slope of the fitted line.
    fn measurements(&self) -> Vec<Measurement> {
        let mut measurements = Vec::new();
        for point in &self.points {
            let name = format!("{}@{}", self.name, point.at);
            measurements.push(Measurement::new(&name, point.value, &self.unit));
        }
        let slope = self.slope();
        let name = format!("{}-slope", self.name);
        let unit = format!("{} for each", self.unit);
        measurements.push(Measurement::new(&name, slope, &unit));
        for measurement in &mut measurements {
            measurement.is_timed = self.is_timed;
        }
        measurements
    }

    /// Returns the slope of the least-squares line.
    fn slope(&self) -> f64 {
        let count = self.points.len() as f64;
        let mean_at = self.points.iter().map(|point| point.at).sum::<f64>() / count;
        let mean = self.points.iter().map(|point| point.value).sum::<f64>() / count;
        let mut covariance = 0.0;
        let mut variance = 0.0;
        for point in &self.points {
            covariance += (point.at - mean_at) * (point.value - mean);
            variance += (point.at - mean_at).powi(2);
        }
        if variance == 0.0 {
            0.0
        } else {
            covariance / variance
        }
    }
}

fn push(series: &mut Vec<Series>, at: f64, measurement: &Measurement) {
    let point = Point {
        at,
        value: measurement.value,
    };
    let known = series.iter_mut().find(|one| *one.name == *measurement.name);
    if let Some(known) = known {
        known.points.push(point);
        return;
    }
    series.push(Series {
        name: measurement.name.to_string(),
        unit: measurement.unit.to_string(),
        is_timed: measurement.is_timed,
        points: vec![point],
    });
}

/// Measures a configuration with a number of workspaces, and with services,
/// instances and routes in proportion to the design size.
fn measure_configuration(workspaces: usize, seed: u64) -> Vec<Measurement> {
    let part = |of_design: u32| (of_design as usize * workspaces / WORKSPACES[3]) as u32;
    let size = Size {
        services: part(Size::DESIGN.services).max(1),
        instances: part(Size::DESIGN.instances).max(1),
        routes: part(Size::DESIGN.routes).max(1),
        workspaces: part(Size::DESIGN.workspaces),
    };
    let snapshot = sample::snapshot(size, 1, seed);
    let Ok(publication) = publish(&snapshot) else {
        return Vec::new();
    };
    let Ok(manifest) = Manifest::parse(&publication.manifest) else {
        return Vec::new();
    };
    let packs: usize = publication.packs.iter().map(|pack| pack.bytes.len()).sum();
    let started = Instant::now();
    for _ in 0..ASSEMBLIES {
        if let Ok(copy) = assemble(&manifest, &publication.packs) {
            drop(KeyIndex::new(&copy));
        }
    }
    let assembly_ms = started.elapsed().as_secs_f64() * 1_000.0 / f64::from(ASSEMBLIES);
    vec![
        Measurement::new("published", packs as f64, "bytes"),
        Measurement::new("packs", publication.packs.len() as f64, "packs"),
        Measurement::new("assembly", assembly_ms, "ms").timed(),
    ]
}
