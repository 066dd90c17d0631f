//! Shows the decisions that hosts made on a request.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use waxwingusher_gateway::explain::{Explanation, explain};

use super::operator_client::OperatorClient;
use super::{CmdError, Outcome, print_json};

/// Show the decisions that hosts made on a request. The request id is in the
/// header x-waxwingusher-request-id of a refusal and in the log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request id
    #[argh(positional)]
    request_id: String,
    /// logs of `gateway` hosts to read instead of asking a host; - for standard
    /// input
    #[argh(option)]
    logs: Option<PathBuf>,
    /// the operators' address of the host that received the request
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
    /// Prints the decisions. The outcome is `Findings` if logs are read and hold
    /// no record of the request.
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let (decisions, outcome) = match &self.logs {
            Some(path) => self.read_logs(path)?,
            None => (self.fetch_decisions()?, Outcome::Clean),
        };
        if self.json {
            print_json(&decisions)?;
            return Ok(outcome);
        }
        let mut out = io::stdout().lock();
        let start_ms = decisions.first().map_or(0, |first| first.at_epoch_ms);
        for decision in &decisions {
            let elapsed_ms = decision.at_epoch_ms.saturating_sub(start_ms);
            writeln!(out, "+{elapsed_ms:>6} ms  {}", decision.text)?;
        }
        Ok(outcome)
    }

    fn fetch_decisions(&self) -> Result<Vec<Decision>, CmdError> {
        let client = OperatorClient::new(self.operator_addr)?;
        let path = format!("/v1/decisions/{}", self.request_id);
        Ok(client.get(&path)?)
    }

    fn read_logs(&self, path: &Path) -> Result<(Vec<Decision>, Outcome), CmdError> {
        let read_error = |source| CmdError::Read {
            path: path.to_owned(),
            source,
        };
        let explanation = if path == Path::new("-") {
            explain(&self.request_id, io::stdin().lock().lines())
        } else {
            let file = File::open(path).map_err(read_error)?;
            explain(&self.request_id, BufReader::new(file).lines())
        };
        let explanation = explanation.map_err(read_error)?;
        report_gaps(&explanation);
        let outcome = if explanation.steps.is_empty() {
            eprintln!("no record of request '{}'", self.request_id);
            Outcome::Findings
        } else {
            Outcome::Clean
        };
        let steps = explanation.steps.into_iter().map(|step| {
            let mut text = format!("{}: {}", step.host, step.description);
            for fact in step.context {
                text += &format!("\n{:13}{fact}", "");
            }
            Decision {
                at_epoch_ms: step.unix_ms,
                text,
            }
        });
        Ok((steps.collect(), outcome))
    }
}

/// Reports lines that could not be read and records that hosts suppressed;
/// records of the request may be among them.
fn report_gaps(explanation: &Explanation) {
    if explanation.unreadable_lines > 0 {
        eprintln!(
            "{} lines are not log records of a host",
            explanation.unreadable_lines
        );
    }
    if explanation.suppressed_records > 0 {
        eprintln!(
            "{} records were suppressed by hosts",
            explanation.suppressed_records
        );
    }
}
