//! The `waxwingusher` binary: parses the command line and dispatches.

fn main() {}
