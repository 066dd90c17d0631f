//! The `waxwingusher` binary: parses the command line and dispatches.

mod cmd;

use std::io::Write;
use std::process::ExitCode;

use argh::FromArgs;
use mimalloc::MiMalloc;

use crate::cmd::{
    CmdError, Outcome, bench, check, check_published, collect, demo, diff, explain, gateway, key,
    load, serve, status,
};

/// Returns freed memory to the system also where other memory in use lies behind it.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// A proxy fleet for upstreams with gray failures.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
#[expect(clippy::large_enum_variant, reason = "the process holds one value")]
enum Command {
    Bench(bench::BenchArgs),
    Check(check::CheckArgs),
    CheckPublished(check_published::CheckPublishedArgs),
    Collect(collect::CollectArgs),
    Demo(demo::DemoArgs),
    Diff(diff::DiffArgs),
    Explain(explain::ExplainArgs),
    Gateway(gateway::GatewayArgs),
    Key(key::KeyArgs),
    Load(load::LoadArgs),
    Serve(serve::ServeArgs),
    Status(status::StatusArgs),
}

impl Command {
    fn run(&self) -> Result<Outcome, CmdError> {
        match self {
            Self::Bench(args) => args.run(),
            Self::Check(args) => args.run(),
            Self::CheckPublished(args) => args.run(),
            Self::Collect(args) => args.run(),
            Self::Demo(args) => args.run(),
            Self::Diff(args) => args.run(),
            Self::Explain(args) => args.run(),
            Self::Gateway(args) => args.run(),
            Self::Key(args) => args.run(),
            Self::Load(args) => args.run(),
            Self::Serve(args) => args.run(),
            Self::Status(args) => args.run(),
        }
    }
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(exit) => return exit,
    };
    match args.command.run() {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "waxwingusher: {error}");
            error.exit_code()
        }
    }
}

fn parse_args() -> Result<Args, ExitCode> {
    let args: Vec<String> = std::env::args_os()
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (command, rest) = args.split_first().unwrap_or((&"waxwingusher", &[]));
    Args::from_args(&[command], rest).map_err(|early_exit| match early_exit.status {
        Ok(()) => {
            let _ = writeln!(std::io::stdout(), "{}", early_exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            let _ = writeln!(std::io::stderr(), "{}", early_exit.output);
            ExitCode::from(cmd::EXIT_USAGE)
        }
    })
}
