//! The command line: checks of settings, the JSON schema, the help and errors at the start.
//!
//! Guards against settings that `check` accepts and a controller later rejects, and against errors without the path of
//! the setting.

use std::process::{Command, Output};

/// Runs the program with an unknown `LOG_LEVEL`, which only `serve` reads.
fn run_tidelatch(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tidelatch"))
        .args(args)
        .env("LOG_LEVEL", "loud")
        .output()
        .expect("the program runs")
}

/// Path of the example configuration file.
fn example_path() -> String {
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/example-node.toml").to_owned()
}

/// Guards against a check that stops at the first error, or names no setting: an operator would correct the file in as
/// many rounds as it has errors.
#[test]
fn check_accepts_the_example_and_reports_each_error_of_an_invalid_file() {
    let good = run_tidelatch(&["check", "--config", &example_path()]);
    assert!(good.status.success());
    let text = std::fs::read_to_string(example_path()).expect("the example can be read");
    let bad = std::env::temp_dir().join(format!("tidelatch-bad-{}.toml", std::process::id()));
    std::fs::write(
        &bad,
        text.replace("nodes = 2", "nodes = 5")
            .replace("rps = 3.0", "rps = -1.0")
            .replace("gang_wait_s = 40.0\n", "")
            .replace("value_kb = 8.0", "value_kb = 0.0")
            .replace("txn_ops = 5", "txn_ops = 1"),
    )
    .expect("a temporary file can be written");
    let rejected = run_tidelatch(&["check", "--config", &bad.display().to_string()]);
    std::fs::remove_file(&bad).expect("the temporary file can be removed");
    let output = String::from_utf8_lossy(&rejected.stderr).into_owned();
    assert_eq!(rejected.status.code(), Some(1));
    assert_eq!(output.lines().count(), 5, "{output}");
    for path in [
        "facts.nodes:",
        "facts.cloud.rps:",
        "facts.workers.gang_wait_s:",
        "facts.state.next.value_kb:",
        "facts.state.next.txn_ops:",
    ] {
        assert!(output.contains(path), "{path} in {output}");
    }
    assert!(!run_tidelatch(&["check", "--config", "/no/such/file"]).status.success());
}

/// Guards against failure detection settings that only fail when a controller starts, and against a fleet that needs
/// more sockets than a controller may open.
#[test]
fn check_reports_errors_of_failure_detection_and_missing_sockets() {
    let check = |operator: &str| {
        let file = std::env::temp_dir().join(format!("tidelatch-operator-{}.json", std::process::id()));
        std::fs::write(&file, operator).expect("a temporary file can be written");
        let result = run_tidelatch(&[
            "check",
            "--config",
            &example_path(),
            "--operator",
            &file.display().to_string(),
        ]);
        std::fs::remove_file(&file).expect("the temporary file can be removed");
        result
    };
    let good = check(include_str!("../../../deploy/failure-detection.json"));
    assert!(good.status.success());
    let output = String::from_utf8_lossy(&good.stdout).into_owned();
    // The controllers of the example may open fewer sockets than 6094: `check` says so and still succeeds.
    assert!(output.contains("sockets: 4000 workers would need 6094"), "{output}");
    for (operator, path) in [
        (
            r#"{"failure_detection": {"threshold_phi": 0}}"#,
            "failure_detection.threshold_phi: must lie between",
        ),
        (
            r#"{"failure_detection": {"probe_wait_per_heartbeat": 9}}"#,
            "failure_detection.probe_wait_per_heartbeat: probe_wait_permille:",
        ),
        (
            r#"{"failure_detection": {"threshold": 1}}"#,
            "unknown field `threshold`",
        ),
        (
            r#"{"failure_detection": {"estimator": "guess"}}"#,
            "failure_detection.estimator:",
        ),
    ] {
        let rejected = check(operator);
        let output = String::from_utf8_lossy(&rejected.stderr).into_owned();
        assert_eq!(rejected.status.code(), Some(1));
        assert!(output.contains(path), "{path} in {output}");
    }
}

/// Guards against a schema that is not valid JSON or lacks bounds, and against commands that the help omits.
#[test]
fn schema_prints_json_and_help_lists_the_commands() {
    let schema = run_tidelatch(&["schema"]);
    let value: serde_json::Value = serde_json::from_slice(&schema.stdout).expect("JSON");
    assert_eq!(value["properties"]["batch_tasks"]["minimum"], 1);
    let help = run_tidelatch(&["--help"]);
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    assert!(["serve", "check", "schema"].iter().all(|c| text.contains(c)), "{text}");
}

/// Guards against a misspelled `LOG_LEVEL` that is silently replaced by a default.
#[test]
fn an_unknown_log_level_is_an_error() {
    let rejected = run_tidelatch(&["serve", "--config", &example_path()]);
    assert_eq!(rejected.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&rejected.stderr).contains("LOG_LEVEL: `loud`"));
}
