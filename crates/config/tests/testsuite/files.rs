//! Team files for the tests.

use std::path::PathBuf;

use waxwingusher_config::{Snapshot, TeamText, resolve};
use waxwingusher_core::KeyDigest;

pub const STAFF: &str = r#"owner = "staff"

[service.staff-desk]
floor-percent = 50
detection = "careful"

[service.staff-desk.instance.sd-1]
addr = "10.0.0.1:8080"
slots = 6
failure-domain = "howrah"

[service.staff-desk.instance.sd-2]
addr = "10.0.0.2:8080"
slots = 6
failure-domain = "durgapur"

[service.staff-desk.instance.sd-3]
addr = "10.0.0.3:8080"
slots = 6
failure-domain = "durgapur"
state = "leaving"

[route.balances]
service = "staff-desk"
path-prefix = "/balances"
methods = ["GET"]

[route.calendar]
service = "staff-desk"
path-prefix = "/calendar"
access = "open"
open-rate-per-s = 20.5
open-burst = 10
"#;

pub fn file(path: &str, text: &str) -> TeamText {
    TeamText {
        path: PathBuf::from(path),
        text: text.to_owned(),
    }
}

/// Returns a file that declares workspaces with one key each.
pub fn workspaces(names: &[&str]) -> TeamText {
    let mut text = "owner = \"colleges\"\n".to_owned();
    for name in names {
        let digest = KeyDigest::of_key(name.as_bytes());
        text += &format!(
            "[workspace.{name}]\nkey-digests = [\"{digest}\"]\nrate-per-s = 5\nburst = 10\n"
        );
    }
    file("colleges.toml", &text)
}

/// Returns an accepted configuration.
pub fn sample(version: u64) -> Snapshot {
    let files = [file("staff.toml", STAFF), workspaces(&["a", "b", "c"])];
    resolve(&files, version).expect("the sample is accepted")
}
