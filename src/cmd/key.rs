//! Generates a caller's key.

use std::io::{self, Write};

use argh::FromArgs;
use serde::Serialize;
use waxwingusher_config::key::new_key;
use waxwingusher_core::KeyDigest;

use super::{CmdError, Outcome, print_json};

/// Generate a key for a caller, and the digest to write into the workspace's
/// file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// print the key and the digest as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Report {
    key: String,
    digest: String,
}

impl KeyArgs {
    pub fn run(&self) -> Result<Outcome, CmdError> {
        let key = new_key().map_err(CmdError::Random)?;
        let digest = KeyDigest::of_key(key.as_bytes()).to_string();
        if self.json {
            print_json(&Report { key, digest })?;
            return Ok(Outcome::Clean);
        }
        let mut out = io::stdout().lock();
        writeln!(out, "key:    {key}")?;
        writeln!(out, "digest: {digest}")?;
        Ok(Outcome::Clean)
    }
}
