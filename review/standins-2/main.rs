//! Stand-ins for the platform's store, instances and clients, and the scenarios of the cases
//! that are scripts. Uses the standard library only.
//!
//! Usage: `standins CASE RECORD`, in the repository's root after its build. `TROUBLE=0` in the
//! environment leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run.

mod crash_midway;
mod fleet;
mod instance;
mod load;
mod net;
mod reader_kill;
mod record;
mod silent_store;
mod store;

use std::process::ExitCode;

/// What a scenario has found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {record}: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "silent-store" => silent_store::run(&record, has_trouble),
        "crash-midway" => crash_midway::run(&record, has_trouble),
        "reader-kill" => reader_kill::run(&record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
