//! The command line, as an operator uses it.

use std::process::{Command, Output};

fn tidelatch(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tidelatch"))
        .args(args)
        .env("LOG_LEVEL", "loud")
        .output()
        .expect("the program runs")
}

fn example() -> String {
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/example-node.toml").to_owned()
}

#[test]
fn check_accepts_the_example_and_names_each_fault_of_a_bad_file() {
    let good = tidelatch(&["check", "--config", &example()]);
    assert!(good.status.success());
    let text = std::fs::read_to_string(example()).expect("the example is there");
    let bad = std::env::temp_dir().join(format!("tidelatch-bad-{}.toml", std::process::id()));
    std::fs::write(
        &bad,
        text.replace("nodes = 2", "nodes = 5")
            .replace("rps = 3.0", "rps = -1.0")
            .replace("gang_wait_s = 40.0\n", "")
            .replace("value_kb = 8.0", "value_kb = 0.0")
            .replace("txn_ops = 5", "txn_ops = 1"),
    )
    .expect("a temporary file");
    let refused = tidelatch(&["check", "--config", &bad.display().to_string()]);
    std::fs::remove_file(&bad).expect("it can be removed");
    let said = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert_eq!(refused.status.code(), Some(1));
    assert_eq!(said.lines().count(), 5, "{said}");
    for path in [
        "facts.nodes:",
        "facts.cloud.rps:",
        "facts.workers.gang_wait_s:",
        "facts.state.next.value_kb:",
        "facts.state.next.txn_ops:",
    ] {
        assert!(said.contains(path), "{path} in {said}");
    }
    assert!(!tidelatch(&["check", "--config", "/no/such/file"]).status.success());
}

#[test]
fn check_names_faults_of_the_failure_detector_and_what_a_large_fleet_needs() {
    let check = |operator: &str| {
        let file = std::env::temp_dir().join(format!("tidelatch-operator-{}.json", std::process::id()));
        std::fs::write(&file, operator).expect("a temporary file");
        let result = tidelatch(&[
            "check",
            "--config",
            &example(),
            "--operator",
            &file.display().to_string(),
        ]);
        std::fs::remove_file(&file).expect("it can be removed");
        result
    };
    let good = check(include_str!("../../../deploy/failure-detection.json"));
    assert!(good.status.success());
    let said = String::from_utf8_lossy(&good.stdout).into_owned();
    // The example's controllers have fewer sockets than that.
    assert!(said.contains("sockets: 4000 workers would need 6094"), "{said}");
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
        let refused = check(operator);
        let said = String::from_utf8_lossy(&refused.stderr).into_owned();
        assert_eq!(refused.status.code(), Some(1));
        assert!(said.contains(path), "{path} in {said}");
    }
}

#[test]
fn schema_prints_json_and_help_names_the_commands() {
    let schema = tidelatch(&["schema"]);
    let value: serde_json::Value = serde_json::from_slice(&schema.stdout).expect("JSON");
    assert_eq!(value["properties"]["batch_tasks"]["minimum"], 1);
    let help = tidelatch(&["--help"]);
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    assert!(["serve", "check", "schema"].iter().all(|c| text.contains(c)), "{text}");
}

#[test]
fn a_bad_log_level_is_an_error() {
    let refused = tidelatch(&["serve", "--config", &example()]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("LOG_LEVEL: `loud`"));
}
