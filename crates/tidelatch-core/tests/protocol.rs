//! Parsing of submissions and reports in the form in which they arrive on the wire.

use serde_json::Value;
use tidelatch_core::protocol::{Malformed, Report, TaskState, parse_submission};

/// A valid submission without its optional fields, and with one unknown field.
fn valid_submission() -> Value {
    serde_json::json!({
        "uid": "job-000412", "consist": "train", "crew": "vision", "shape": "sweep", "precedence": "urgent",
        "wagons": 16, "vcpus": 8.0, "accelerators": 1.0, "ramGb": 64.0, "stock": "img-07", "sizeGb": 6.2,
        "together": true, "spread": false, "standby": true, "runtimeS": 240.0, "waypointS": 30.0, "stowS": 4.0,
        "later": "ignored"
    })
}

#[test]
fn a_submission_may_omit_nullable_fields() {
    let (id, spec) = parse_submission(valid_submission().to_string().as_bytes()).expect("well formed");
    assert_eq!(
        (id.as_str(), spec.tasks, spec.deadline_s, spec.models),
        ("job-000412", 16, None, None)
    );
}

#[test]
fn each_invalid_field_is_named_in_the_error() {
    let cases = [
        ("uid", serde_json::json!("train-1")),
        ("uid", serde_json::json!("job-")),
        ("wagons", serde_json::json!(0)),
        ("wagons", serde_json::json!(100_001)),
        ("wagons", serde_json::json!(1.5)),
        ("vcpus", serde_json::json!(-1.0)),
        ("ramGb", serde_json::json!("much")),
        ("shape", serde_json::json!("heap")),
        ("precedence", Value::Null),
        ("together", serde_json::json!("yes")),
        ("models", serde_json::json!("g8")),
        ("models", serde_json::json!([8])),
        ("dueS", serde_json::json!(-5)),
    ];
    for (field, value) in cases {
        let mut body = valid_submission();
        body[field] = value.clone();
        let fault = parse_submission(body.to_string().as_bytes()).expect_err("malformed");
        assert_eq!(fault, Malformed::Field(field), "{field} = {value}");
    }
    for body in ["", "[1]", "{\"uid\":", "1e999"] {
        assert_eq!(parse_submission(body.as_bytes()), Err(Malformed::NotAnObject), "{body}");
    }
}

#[test]
fn a_report_with_an_unknown_task_state_is_accepted() {
    let body = r#"{"berth":"n-1","addr":"a:1","model":"m","yard":"z","shift":1,"tally":2,"baton":3,
        "wagons":[{"wagon":"job-1/0","run":1,"status":"loading"}]}"#;
    let report: Report = serde_json::from_str(body).expect("a valid report");
    assert_eq!(report.tasks.first().map(|task| task.state), Some(TaskState::Other));
}
