//! Tells why a request went where it did.

use std::io::{self, Write};
use std::net::SocketAddr;

use argh::FromArgs;
use serde::{Deserialize, Serialize};

use super::operator_client::OperatorClient;
use super::{CmdError, Outcome, print_json};

/// Tell what a host decided on a request. The request id is in the header
/// x-waxwingusher-request-id of a refusal and in the log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    request_id: String,
    /// the operators' address of the host that took the request
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    operator_addr: SocketAddr,
    /// print the decisions as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Decision {
    at_epoch_ms: u64,
    text: String,
}

impl ExplainArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let client = OperatorClient::new(self.operator_addr)?;
        let path = format!("/v1/decisions/{}", self.request_id);
        let decisions: Vec<Decision> = client.get(&path)?;
        if self.json {
            print_json(&decisions)?;
            return Ok(Outcome::Clean);
        }
        let mut out = io::stdout().lock();
        let start_ms = decisions.first().map_or(0, |first| first.at_epoch_ms);
        for decision in &decisions {
            let after_ms = decision.at_epoch_ms.saturating_sub(start_ms);
            writeln!(out, "+{after_ms:>6} ms  {}", decision.text)?;
        }
        Ok(Outcome::Clean)
    }
}
