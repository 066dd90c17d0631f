//! Shows the fleet as one host sees it.

use std::io::{self, Write};
use std::net::SocketAddr;

use argh::FromArgs;
use serde::{Deserialize, Serialize};

use super::operator_client::OperatorClient;
use super::{CmdError, Outcome, print_json};

/// Show the hosts and the services of the fleet as one host sees them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// the operators' address of any host
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    operator_addr: SocketAddr,
    /// print the status as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Status {
    hosts: Vec<HostRow>,
    services: Vec<ServiceRow>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct HostRow {
    host: String,
    failure_domain: String,
    listed_as: String,
    liveness: String,
    config_version: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceRow {
    service: String,
    required_slots: u64,
    in_use_slots: u64,
    instances: Vec<InstanceRow>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct InstanceRow {
    instance: String,
    slots: u32,
    status: String,
    avoided: bool,
    in_flight: u32,
}

impl StatusArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let client = OperatorClient::new(self.operator_addr)?;
        let status = Status {
            hosts: client.get("/v1/hosts")?,
            services: client.get("/v1/services")?,
        };
        if self.json {
            print_json(&status)?;
        } else {
            print_table(&status)?;
        }
        Ok(Outcome::Clean)
    }
}

fn print_table(status: &Status) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{:<24} {:<20} {:<8} {:<8} {:>8}",
        "HOST", "FAILURE DOMAIN", "LISTED", "SEEN", "CONFIG"
    )?;
    for host in &status.hosts {
        let version = host
            .config_version
            .map_or("-".to_owned(), |v| v.to_string());
        writeln!(
            out,
            "{:<24} {:<20} {:<8} {:<8} {version:>8}",
            host.host, host.failure_domain, host.listed_as, host.liveness
        )?;
    }
    for service in &status.services {
        writeln!(
            out,
            "\nSERVICE {}: {} slots in use, {} required",
            service.service, service.in_use_slots, service.required_slots
        )?;
        for instance in &service.instances {
            let avoided = if instance.avoided {
                ", avoided here"
            } else {
                ""
            };
            writeln!(
                out,
                "  {:<24} {:<8} {} of {} slots{avoided}",
                instance.instance, instance.status, instance.in_flight, instance.slots
            )?;
        }
    }
    Ok(())
}
