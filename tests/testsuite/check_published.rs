//! `waxwingusher check-published`: output and exit codes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

const CLEAN: &str = r#"{
  "version": "r7",
  "routes": [
    { "name": "read", "host": "shop.example", "prefix": "/read/", "kind": "safe",
      "timeout-ms": 2000, "target-latency-ms": 1000, "service": "a", "max-attempts": 2 }
  ],
  "services": [ { "name": "a", "health-check-path": "/h", "max-connections": 30 } ],
  "tenants": [
    { "name": "acme", "api-keys": ["secret-1"], "requests-per-s": 40, "burst": 40 }
  ],
  "limits": { "max-header-bytes": 16384, "max-body-bytes": 1048576,
    "header-timeout-ms": 3000, "idle-timeout-ms": 15000 }
}
"#;

/// Writes a file whose name is unique to a test.
fn write(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("check-published-{name}"));
    fs::write(&path, text).expect("the file is written");
    path
}

/// Runs the command and returns its exit code, output and error output.
fn run(args: &[&str], file: &Path) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwingusher"))
        .arg("check-published")
        .args(args)
        .arg(file)
        .output()
        .expect("the binary runs");
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    let code = output.status.code().expect("the binary exits");
    (code, text(output.stdout), text(output.stderr))
}

#[test]
fn a_clean_file_exits_with_0() {
    let (code, out, _) = run(&[], &write("clean", CLEAN));
    assert_eq!(code, 0, "{out}");
    assert_eq!(
        out,
        "version r7, 1 routes, 1 services, 1 workspaces: 0 findings\n"
    );
}

/// A warning counts, too, so that a pipeline stops at it.
#[test]
fn findings_name_file_line_and_column_and_exit_with_1() {
    let text = CLEAN.replace("\"timeout-ms\": 2000", "\"timeout-ms\": 20");
    let path = write("findings", &text);
    let (code, out, _) = run(&[], &path);
    assert_eq!(code, 1);
    let expected = format!(
        "{}:4:5: warning: route `read`: the timeout of 20 ms is below the latency target of \
         1000 ms\n",
        path.display()
    );
    assert!(out.starts_with(&expected), "{out}");
}

#[test]
fn json_has_the_findings_with_codes_and_positions() {
    let text = CLEAN.replace("\"service\": \"a\"", "\"service\": \"b\"");
    let (code, out, _) = run(&["--format", "json"], &write("json", &text));
    assert_eq!(code, 1);
    let report: Value = serde_json::from_str(&out).expect("JSON");
    let finding = &report["findings"][1];
    assert_eq!(finding["code"], "unknown-service");
    assert_eq!(finding["severity"], "error");
    assert_eq!(
        (&finding["line"], &finding["column"]),
        (&4.into(), &5.into())
    );
    assert_eq!(
        (&finding["entry"], &finding["name"]),
        (&"route".into(), &"read".into())
    );
    assert_eq!(finding["service"], "b");
    assert_eq!(report["findings"][0]["code"], "unused-service");
    assert!(report["changes"].is_null());
}

/// Keys must not get into a terminal or a log.
#[test]
fn changes_are_listed_without_keys_and_do_not_count_as_findings() {
    let old = write("old", CLEAN);
    let text = CLEAN
        .replace("r7", "r8")
        .replace("secret-1", "secret-2")
        .replace("\"requests-per-s\": 40", "\"requests-per-s\": 50");
    let new = write("new", &text);
    let old = old.to_str().expect("text");
    let (code, out, _) = run(&["--against", old], &new);
    assert_eq!(code, 0, "{out}");
    assert!(out.starts_with("~ workspace/acme\n"), "{out}");
    assert!(out.contains("    requests-per-s: 40.0 -> 50.0\n"), "{out}");
    assert!(out.contains("    keys: [\"sha256:"), "{out}");
    assert!(!out.contains("secret"), "{out}");
    let (code, out, _) = run(&["--against", old, "--format", "json"], &new);
    assert_eq!(code, 0, "{out}");
    let report: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(report["changes"]["changes"][0]["entry"], "workspace/acme");
    let (code, out, _) = run(&["--against", old], Path::new(old));
    assert_eq!(code, 1, "the same version again: {out}");
    assert!(out.contains("the version must be greater than r7"), "{out}");
}

#[test]
fn what_cannot_be_read_exits_with_2() {
    let clean = write("readable", CLEAN);
    let broken = write("broken", &CLEAN[..200]);
    let (code, out, error) = run(&[], &broken);
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(
        error.contains("broken: ") && error.contains("line 5"),
        "{error}"
    );
    let version = write("version", &CLEAN.replace("r7", "seven"));
    let (code, _, error) = run(&[], &version);
    assert_eq!(code, 2);
    assert!(error.contains("`seven`"), "{error}");
    let missing = Path::new("/nonexistent/config.json");
    assert_eq!(run(&[], missing).0, 2);
    let broken = broken.to_str().expect("text");
    assert_eq!(run(&["--against", broken], &clean).0, 2);
    assert_eq!(run(&["--format", "xml"], &clean).0, 2);
    assert_eq!(run(&[], Path::new("--unknown")).0, 2);
}
