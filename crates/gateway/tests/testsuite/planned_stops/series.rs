//! Several hosts that stop one after the other while settings and configuration change.

use std::time::{Duration, Instant};

use waxwingusher_gateway::Command;
use waxwingusher_gateway::ports::Change;

use super::callers::call_until_gone;
use super::hosts::{ONE_INSTANCE, Runs, reload, start_instance};
use super::{ALL, BUSY_DELAY, GRACE, LEAD, REFUSED_WITHIN, fault, pairs};
use crate::changing_source::ChangingSource;
use crate::harness::TestHost;

/// The pauses in the middle of requests, as shares of the grace.
const PAUSE_SHARES: &[f64] = &[0.0, 0.02, 0.1, 0.3, 0.34, 0.38, 0.42, 0.46, 0.49];

/// Stops the hosts and returns what failed.
pub fn run_series() -> Vec<String> {
    const HOSTS: usize = 3;
    const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
    let runs = Runs::default();
    let instances = [(); 2].map(|()| start_instance(&runs, false));
    let (mut document, roster) = ONE_INSTANCE.published(&instances);
    let source = ChangingSource::new(document.clone(), roster);
    let first = TestHost::start_with_seeds(&[], source.clone(), GRACE);
    let seeds = [first.peer_addr];
    let mut hosts = vec![first];
    hosts.resize_with(HOSTS, || {
        TestHost::start_with_seeds(&seeds, source.clone(), GRACE)
    });
    let mut callers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for (share, method) in pairs(PAUSE_SHARES, ALL) {
            let addr = host.caller_addr;
            let name = format!("series-{number}-{method}-{share}").to_lowercase();
            let pause = GRACE.mul_f64(share);
            callers.push(std::thread::spawn(move || {
                call_until_gone(addr, &name, method, pause)
            }));
        }
    }
    std::thread::sleep(LEAD);
    let started = Instant::now();
    let mut faults = Vec::new();
    let mut stopped = 0;
    while !hosts.iter().all(|host| host.thread.is_finished()) {
        if stopped < HOSTS && started.elapsed() >= GRACE.mul_f64(0.2) * stopped as u32 {
            hosts[stopped]
                .commands
                .send(Command::Stop)
                .expect("the host runs");
            stopped += 1;
        }
        for host in &hosts {
            reload(host, &seeds, GRACE);
        }
        document.version += 1;
        source.publish(Change::Routing(Ok(document.clone())));
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let took = started.elapsed();
    if took > GRACE.mul_f64(0.4) + GRACE + BUSY_DELAY {
        faults.push(format!("series: the hosts end after {took:?}"));
    }
    for caller in callers {
        for seen in caller.join().expect("the caller ends") {
            let refused_by = seen.whole_at.map(|at| at + REFUSED_WITHIN);
            faults.extend(fault(&seen, &runs, started, refused_by, true));
            if seen.ended_at < started && seen.reply.status != 200 {
                let status = seen.reply.status;
                faults.push(format!("{}: answer {status} before the stops", seen.id));
            }
        }
    }
    faults
}
