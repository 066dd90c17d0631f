//! Validation of the settings of `serve`.

use std::process::Command;

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let output = Command::new(env!("CARGO_BIN_EXE_waxwingusher"))
        .args([
            "serve",
            "--workers",
            "none",
            "--caller-addr",
            "here",
            "--failure-domain",
            "west",
        ])
        .args(["--failure-domains", "north,south", "--host-id", "host 1"])
        .env_remove("WAXWINGUSHER_FLEET_SECRET")
        .env_remove("WAXWINGUSHER_CONFIG_SERVICE")
        .env("WAXWINGUSHER_FLEET_SECRET_ACCEPTED", "too-short")
        .env("WAXWINGUSHER_OPERATOR_TOKEN", "too-short")
        .output()
        .expect("the program runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for flag in [
        "--workers",
        "--caller-addr",
        "--failure-domain",
        "--host-id",
        "--fleet-secret (",
        "--fleet-secret-accepted",
        "--config-service",
        "--operator-token",
    ] {
        assert!(errors.contains(flag), "{flag} is not named: {errors}");
    }
    assert!(
        errors.contains("1 to 2048"),
        "the allowed range is not named: {errors}"
    );
    assert!(
        !errors.contains("too-short"),
        "a secret is printed: {errors}"
    );
}
