//! The configuration commands: output, exit codes and written files.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

const VALID_TEAM_FILE: &str = r#"owner = "staff"
[service.desk]
[service.desk.instance.a]
addr = "10.0.0.1:80"
slots = 3
failure-domain = "howrah"
[route.desk]
service = "desk"
path-prefix = "/desk"
"#;

/// A directory that is removed when the test ends.
struct ScratchDir(PathBuf);

impl ScratchDir {
    fn new(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("commands-{name}"));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(dir.join("team/sub")).expect("the directory is created");
        Self(dir)
    }

    fn write(&self, text: &str) {
        let path = self.0.join("team/sub/waxwingusher.toml");
        fs::write(path, text).expect("the file is written");
    }

    /// Runs the binary and returns its exit code, output and error output.
    fn run(&self, args: &[&str]) -> (i32, String, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_waxwingusher"))
            .args(args)
            .current_dir(&self.0)
            .output()
            .expect("the binary runs");
        let text = |bytes| String::from_utf8(bytes).expect("the output is text");
        let code = output.status.code().expect("the binary exits");
        (code, text(output.stdout), text(output.stderr))
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn check_names_file_and_line_and_exits_with_1() {
    let dir = ScratchDir::new("check");
    dir.write(&VALID_TEAM_FILE.replace("slots = 3", "slots = 0"));
    let (code, out, _) = dir.run(&["check", "team"]);
    assert_eq!(code, 1);
    assert!(
        out.contains("team/sub/waxwingusher.toml:5: error: `slots` is 0"),
        "{out}"
    );
    let (code, out, _) = dir.run(&["check", "--json", "team/sub/waxwingusher.toml"]);
    let json: serde_json::Value = serde_json::from_str(&out).expect("it is JSON");
    assert_eq!(code, 1);
    assert_eq!(json["accepted"], false);
    assert_eq!(json["findings"][0]["location"]["line"], 5);
    dir.write(VALID_TEAM_FILE);
    assert_eq!(dir.run(&["check", "team"]).0, 0);
}

#[test]
fn a_wrong_command_line_exits_with_2() {
    let dir = ScratchDir::new("usage");
    for args in [
        &["check"][..],
        &["chek"],
        &["collect", "team"],
        &["diff", "team"],
        &["check", "none"],
    ] {
        assert_eq!(dir.run(args).0, 2, "{args:?}");
    }
    assert_eq!(dir.run(&["--help"]).0, 0);
}

#[test]
fn collect_writes_nothing_unless_all_files_are_accepted() {
    let dir = ScratchDir::new("collect");
    dir.write(&VALID_TEAM_FILE.replace("service = \"desk\"", "service = \"dusk\""));
    let (code, out, _) = dir.run(&["collect", "team", "--out", "out"]);
    assert_eq!(code, 1);
    assert!(out.contains("nothing written"), "{out}");
    assert!(!dir.0.join("out").exists());
    dir.write(VALID_TEAM_FILE);
    let (code, out, _) = dir.run(&["collect", "team", "--out", "out"]);
    assert_eq!(code, 0);
    assert!(out.contains("version 1, "), "{out}");
    let manifest = fs::read(dir.0.join("out/config/manifest")).expect("the manifest is written");
    let (_, out, _) = dir.run(&["collect", "team", "--out", "out", "--json"]);
    assert!(out.contains(r#""is-new":false"#), "{out}");
    assert_eq!(
        fs::read(dir.0.join("out/config/manifest")).expect("the manifest exists"),
        manifest
    );
}

#[test]
fn diff_shows_changes_before_they_are_published() {
    let dir = ScratchDir::new("diff");
    dir.write(VALID_TEAM_FILE);
    dir.run(&["collect", "team", "--out", "old"]);
    assert_eq!(
        dir.run(&["diff", "team", "--against", "old"]),
        (0, String::new(), String::new())
    );
    dir.write(&VALID_TEAM_FILE.replace("slots = 3", "slots = 4"));
    let (code, out, _) = dir.run(&["diff", "team", "--against", "old"]);
    assert_eq!(
        (code, &*out),
        (1, "~ instance/desk/a\n    instance.slots: 3 -> 4\n")
    );
    dir.run(&["collect", "team", "--out", "new"]);
    let (code, out, _) = dir.run(&["diff", "old", "new", "--json"]);
    assert_eq!(code, 1);
    assert!(
        out.contains(r#""field":"instance.slots","old":3,"new":4"#),
        "{out}"
    );
}

#[test]
fn keys_differ_and_their_digests_are_accepted() {
    let dir = ScratchDir::new("key");
    let generate_key = || {
        let (code, out, _) = dir.run(&["key", "--json"]);
        assert_eq!(code, 0);
        serde_json::from_str::<serde_json::Value>(&out).expect("it is JSON")
    };
    let (first, second) = (generate_key(), generate_key());
    assert_ne!(first["key"], second["key"]);
    let workspace = format!(
        "[workspace.w]\nkey-digests = [{}, {}]\nrate-per-s = 1\nburst = 1\n",
        first["digest"], second["digest"]
    );
    dir.write(&format!("{VALID_TEAM_FILE}{workspace}"));
    assert_eq!(dir.run(&["check", "team"]).0, 0);
    let key = &first["key"];
    dir.write(&format!(
        "{VALID_TEAM_FILE}[workspace.w]\nkey-digests = [{key}]\nrate-per-s = 1\nburst = 1\n"
    ));
    let (code, out, error) = dir.run(&["check", "team"]);
    assert_eq!(code, 1);
    assert!(
        !out.contains(key.as_str().expect("text")) && !error.contains("wx-"),
        "{out}"
    );
}

#[test]
fn the_examples_are_accepted_together() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    let output = Command::new(env!("CARGO_BIN_EXE_waxwingusher"))
        .args([
            "check",
            &format!("{examples}/leave-portal.waxwingusher.toml"),
        ])
        .arg(format!("{examples}/tailoring.waxwingusher.toml"))
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{output:?}");
}
