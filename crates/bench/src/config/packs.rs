//! Sizes of packs, and the bytes and reads per change, by the rows per pack.

use std::collections::BTreeSet;

use waxwingusher_config::publication::{Encoding, Packing, publish_with};
use waxwingusher_config::{Publication, Snapshot};

use super::sample::{Size, change, snapshot};
use crate::{Bound, Measurement, Scenario, ScenarioResult};

/// The numbers of rows per pack that are compared.
const ROWS_PER_PACK: [u64; 8] = [1, 8, 16, 32, 64, 128, 512, 4_096];

/// The number of changes over which costs are averaged.
const CHANGE_COUNT: u32 = 10;

/// The largest value that the configuration service accepts.
const MAX_SERVICE_VALUE_BYTES: f64 = 1_000_000.0;

/// Measures packings at the design size.
pub struct PackSizes;

impl Scenario for PackSizes {
    fn name(&self) -> &'static str {
        "config/packs"
    }

    fn run(&self, seed: u64) -> ScenarioResult {
        let base = snapshot(Size::DESIGN, 1, seed);
        let mut measurements = Vec::new();
        for encoding in [Encoding::Plain, Encoding::Zlib] {
            for mean_rows_per_pack in ROWS_PER_PACK {
                let packing = Packing {
                    mean_rows_per_pack,
                    encoding,
                };
                measurements.extend(measure(&base, packing, seed));
            }
        }
        ScenarioResult {
            scenario: self.name().into(),
            seed,
            measurements,
        }
    }
}

/// The average cost of a change.
#[derive(Default)]
struct Cost {
    bytes: f64,
    reads: f64,
}

fn measure(base: &Snapshot, packing: Packing, seed: u64) -> Vec<Measurement> {
    let encoding = match packing.encoding {
        Encoding::Plain => "plain",
        Encoding::Zlib => "zlib",
    };
    let label = |what: &str| format!("{encoding}-{:04}-{what}", packing.mean_rows_per_pack);
    let Ok(publication) = publish_with(base, packing) else {
        return vec![Measurement::new(&label("too-large"), 1.0, "flag")];
    };
    let packs = publication.packs.iter().map(|pack| pack.bytes.len());
    let total: usize = packs.clone().sum();
    let largest = packs.max().unwrap_or(0).max(publication.manifest.len());
    let cost = measure_cost(base, &publication, packing, seed);
    let mut largest = Measurement::new(&label("largest-value"), largest as f64, "bytes");
    if packing == Packing::default() {
        largest = largest.bounded(Bound::AtMost(MAX_SERVICE_VALUE_BYTES / 2.0));
    }
    vec![
        Measurement::new(&label("packs"), publication.packs.len() as f64, "packs"),
        Measurement::new(&label("total"), total as f64, "bytes"),
        Measurement::new(
            &label("manifest"),
            publication.manifest.len() as f64,
            "bytes",
        ),
        largest,
        Measurement::new(&label("bytes-per-change"), cost.bytes, "bytes"),
        Measurement::new(&label("reads-per-change"), cost.reads, "reads"),
    ]
}

/// Returns the bytes and reads that a host needs from one version to the next.
fn measure_cost(base: &Snapshot, publication: &Publication, packing: Packing, seed: u64) -> Cost {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut snapshot = base.clone();
    let mut held_packs: BTreeSet<_> = publication.packs.iter().map(|pack| pack.digest).collect();
    let mut cost = Cost::default();
    for _ in 0..CHANGE_COUNT {
        change(&mut snapshot, &mut rng);
        snapshot.version += 1;
        let Ok(next) = publish_with(&snapshot, packing) else {
            continue;
        };
        let fresh = next
            .packs
            .iter()
            .filter(|pack| !held_packs.contains(&pack.digest));
        let sizes: Vec<usize> = fresh.map(|pack| pack.bytes.len()).collect();
        cost.reads += (sizes.len() + 1) as f64 / f64::from(CHANGE_COUNT);
        let bytes = sizes.iter().sum::<usize>() + next.manifest.len();
        cost.bytes += bytes as f64 / f64::from(CHANGE_COUNT);
        held_packs = next.packs.iter().map(|pack| pack.digest).collect();
    }
    cost
}
