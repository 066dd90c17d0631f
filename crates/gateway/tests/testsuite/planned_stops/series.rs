//! Several hosts that stop one after the other while settings and configuration change.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use waxwingusher_gateway::Command;
use waxwingusher_gateway::ports::{Change, ReloadableSettings};

use super::callers::{Runs, call_until_gone, start_instance};
use super::{ALL, BUSY_DELAY, GRACE, LEAD, REFUSED_WITHIN, Setup, fault, published};
use crate::changing_source::ChangingSource;
use crate::harness::TestHost;

/// Stops several hosts one after the other while settings and configuration change.
pub fn run_series(pause_shares: &[f64]) -> Vec<String> {
    const HOSTS: usize = 3;
    const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
    let (runs, attempts) = (Runs::default(), Runs::default());
    let instances = [(); 2].map(|()| start_instance(&runs, &attempts));
    let (mut document, roster) = published(Setup::OneInstance, &instances.each_ref());
    let source = ChangingSource::new(document.clone(), roster);
    let mut hosts: Vec<TestHost> = Vec::new();
    for _ in 0..HOSTS {
        let seeds: Vec<SocketAddr> = hosts
            .first()
            .map(|host| host.peer_addr)
            .into_iter()
            .collect();
        hosts.push(TestHost::start_with_seeds(&seeds, source.clone(), GRACE));
    }
    let seeds = vec![hosts[0].peer_addr];
    let mut callers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for (share, kind) in pause_shares
            .iter()
            .flat_map(|share| ALL.iter().map(move |kind| (*share, *kind)))
        {
            let addr = host.caller_addr;
            let name = format!("series-{number}-{kind:?}-{share}").to_lowercase();
            let pause = GRACE.mul_f64(share);
            callers.push(std::thread::spawn(move || {
                call_until_gone(addr, &name, kind, pause)
            }));
        }
    }
    std::thread::sleep(LEAD);
    let started = Instant::now();
    let mut failed = Vec::new();
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
            // A host that stops takes no commands.
            let _ = host.commands.send(Command::Reload(ReloadableSettings {
                seeds: seeds.clone(),
                retry_budget: TestHost::settings(&[], GRACE).retry_budget,
                stop_grace: GRACE,
            }));
        }
        document.version += 1;
        source.publish(Change::Routing(Ok(document.clone())));
        std::thread::sleep(CHANGE_INTERVAL);
    }
    if started.elapsed() > GRACE.mul_f64(0.4) + GRACE + BUSY_DELAY {
        failed.push(format!(
            "series: the hosts end after {:?}",
            started.elapsed()
        ));
    }
    for caller in callers {
        for seen in caller.join().expect("the caller ends") {
            let refused_by = seen.whole_at.map(|at| at + REFUSED_WITHIN);
            if let Some(fault) = fault(&seen, &runs, started, refused_by, true) {
                failed.push(format!("{}: {fault}", seen.id));
            }
            if seen.ended_at < started && seen.reply.status != 200 {
                failed.push(format!(
                    "{}: answer {} before the stops",
                    seen.id, seen.reply.status
                ));
            }
        }
    }
    failed
}
