//! No limit is exceeded over all hosts together, whatever fails.

use std::time::Duration;

use crate::schedule::Schedule;

/// Runs schedules and returns the seeds that exceed the limit, and how many
/// requests were admitted in all.
fn run(seeds: std::ops::Range<u64>, domains: usize, hosts_per_domain: usize) -> (Vec<u64>, u64) {
    let mut failing = Vec::new();
    let mut admitted = 0;
    for seed in seeds {
        let mut schedule = Schedule::new(seed, domains, hosts_per_domain);
        if schedule.run(Duration::from_secs(20)) > 0 {
            failing.push(seed);
        }
        admitted += schedule.admitted();
    }
    (failing, admitted)
}

#[test]
fn three_domains_of_three_hosts_keep_the_bound() {
    let (failing, admitted) = run(0..80, 3, 3);
    assert_eq!(failing, Vec::<u64>::new(), "seeds that exceed the limit");
    assert!(admitted > 80 * 40, "only {admitted} requests were admitted");
}

#[test]
fn one_domain_of_five_hosts_keeps_the_bound() {
    let (failing, admitted) = run(1000..1080, 1, 5);
    assert_eq!(failing, Vec::<u64>::new(), "seeds that exceed the limit");
    assert!(admitted > 80 * 40, "only {admitted} requests were admitted");
}

#[test]
fn two_domains_of_three_hosts_keep_the_bound() {
    let (failing, admitted) = run(2000..2080, 2, 3);
    assert_eq!(failing, Vec::<u64>::new(), "seeds that exceed the limit");
    assert!(admitted > 80 * 40, "only {admitted} requests were admitted");
}

#[test]
fn thirty_six_hosts_keep_the_bound_of_a_small_burst() {
    let mut failing = Vec::new();
    let mut admitted = 0;
    for seed in 3000..3006 {
        let mut schedule = Schedule::new(seed, 4, 9).with_faults(0.001);
        if schedule.run(Duration::from_secs(30)) > 0 {
            failing.push(seed);
        }
        admitted += schedule.admitted();
    }
    assert_eq!(failing, Vec::<u64>::new(), "seeds that exceed the limit");
    assert!(admitted > 6 * 40, "only {admitted} requests were admitted");
}
