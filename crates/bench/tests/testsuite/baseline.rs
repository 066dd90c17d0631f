use waxwingusher_bench::baseline::Baseline;
use waxwingusher_bench::runner::BenchResults;
use waxwingusher_bench::{Bound, Measurement, ScenarioResult};

fn results(measurements: Vec<Measurement>) -> BenchResults {
    BenchResults {
        results: vec![ScenarioResult {
            scenario: "topic/case".into(),
            seed: 1,
            measurements,
        }],
    }
}

fn at_most(value: f64) -> Measurement {
    Measurement::new("detection", value, "s").bounded(Bound::AtMost(5.0))
}

fn at_least(value: f64) -> Measurement {
    Measurement::new("served", value, "share").bounded(Bound::AtLeast(0.9))
}

fn baseline_of(measurements: Vec<Measurement>) -> Baseline {
    let mut baseline = Baseline::default();
    baseline.update(&results(measurements));
    baseline
}

#[test]
fn a_value_beyond_the_margin_is_a_regression_by_name() {
    let baseline = baseline_of(vec![at_most(2.0), at_least(0.99)]);
    let within_margin = baseline.compare(&results(vec![at_most(2.19), at_least(0.9)]));
    assert!(within_margin.passes());
    assert_eq!(within_margin.changed, 2);
    let worse = baseline.compare(&results(vec![at_most(2.21), at_least(0.88)]));
    let names: Vec<_> = worse
        .regressions
        .iter()
        .map(|regression| &*regression.name)
        .collect();
    assert_eq!(names, ["topic/case detection", "topic/case served"]);
    assert!(!worse.passes());
}

#[test]
fn better_values_are_no_regressions() {
    let baseline = baseline_of(vec![at_most(2.0), at_least(0.5)]);
    let better = baseline.compare(&results(vec![at_most(0.1), at_least(1.0)]));
    assert!(better.passes());
}

#[test]
fn a_target_of_zero_allows_no_violation() {
    let refused =
        |count| Measurement::new("over-limit", count, "requests").bounded(Bound::AtMost(0.0));
    let baseline = baseline_of(vec![refused(0.0)]);
    assert!(!baseline.compare(&results(vec![refused(1.0)])).passes());
    assert!(!baseline.compare(&results(vec![refused(f64::NAN)])).passes());
}

#[test]
fn a_missing_value_is_reported_by_name() {
    let baseline = baseline_of(vec![at_most(2.0), at_least(1.0)]);
    let incomplete = baseline.compare(&results(vec![at_most(2.0)]));
    assert_eq!(incomplete.missing, ["topic/case served"]);
    assert!(!incomplete.passes());
}

#[test]
fn timed_values_are_left_out() {
    let timed = |value| Measurement::new("tick", value, "ns").timed();
    let baseline = baseline_of(vec![timed(5.0), at_most(1.0)]);
    let comparison = baseline.compare(&results(vec![timed(50.0), at_most(1.0)]));
    assert_eq!((comparison.equal, comparison.new), (1, 0));
}

#[test]
fn a_baseline_is_restored_from_its_file_and_keeps_other_seeds() {
    let path = std::env::temp_dir().join(format!("baseline-{}.json", std::process::id()));
    let mut baseline = baseline_of(vec![at_most(2.0)]);
    let mut other = results(vec![at_most(3.0)]);
    other.results[0].seed = 2;
    baseline.update(&other);
    baseline.write(&path).expect("it can be written");
    let read = Baseline::read(&path).expect("it can be read");
    std::fs::remove_file(&path).expect("it can be removed");
    assert_eq!(read, baseline);
    assert_eq!(read.compare(&other).equal, 1);
}
