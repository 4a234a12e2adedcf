//! Heartbeats of other controllers that no version of this program sends: each is answered, and none is evidence.

use serde_json::json;
use tidelatch_core::ids::Incarnation;
use tidelatch_core::settings::{FailureDetection, Features, Operator, Settings};
use tidelatch_core::{CancellationNotice, Controller, Input, Level, Now, Output, PeerReply, PeerRequest};
use tidelatch_failure_detector::{Claim, Heartbeat, Incarnation as MemberIncarnation, Life, MemberId, Opinion};

fn controller() -> Controller {
    let sibling = |i: u32| json!({ "host_name": format!("berth-{i}"), "address": format!("10.0.0.{i}:8081") });
    let platform = json!({
        "host_name": "berth-0", "area": "a", "api_addr": "10.0.0.9:8080", "peer_listen": "10.0.0.9:8081",
        "siblings": [sibling(1), sibling(2)], "outside": { "cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379" },
        "facts": {
            "nodes": 3, "zones": ["a"], "teams": [{ "name": "team" }],
            "workers": { "report_s": 2.5, "lease_s": 18.0, "cancel_s": 38.0 },
            "state": { "rps": 250.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 16 },
            "cloud": { "rps": 4.0, "list_lag_s": 8.0 },
            "machine_limits": { "cores": 0.1, "ram_mb": 100.0, "sockets": 1000 }
        }
    });
    let settings = Settings {
        platform: serde_json::from_value(platform).expect("in form"),
        operator: Operator {
            failure_detection: Some(FailureDetection::default()),
            ..Operator::default()
        },
        features: Features::default(),
    };
    Controller::new(settings, Incarnation(7), Now { ms: 1, wall_ms: 1 })
}

fn liveness(life: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        from: MemberId::new(""),
        incarnation: MemberIncarnation {
            life: Life(life),
            refutation: 0,
        },
        sequence,
        claims: Vec::new(),
        probe: None,
    }
}

fn claim(about: &str, number: u64) -> Claim {
    Claim {
        member: MemberId::new(about),
        incarnation: MemberIncarnation {
            life: Life(number),
            refutation: number,
        },
        opinion: Opinion::Suspected,
        heard_ago_ms: number,
    }
}

/// Feeds a heartbeat, and returns what was logged; it must be answered.
fn feed(controller: &mut Controller, ms: u64, from: &str, liveness: Heartbeat) -> Vec<(Level, String)> {
    let request = PeerRequest::Heartbeat {
        name: from.to_owned(),
        entitled: true,
        wants_grant: false,
        relies_on_grant: false,
        digests: Vec::new(),
        cancellations: CancellationNotice::default(),
        detector_heartbeat: Some(liveness),
        permits: None,
    };
    let input = Input::PeerRequest { id: ms, request };
    let outputs = controller.step(Now { ms, wall_ms: ms }, input);
    let answered = |output: &Output| {
        matches!(
            output,
            Output::PeerReply {
                reply: PeerReply::Heartbeat { .. },
                ..
            }
        )
    };
    assert!(outputs.iter().any(answered));
    let lines = outputs.into_iter().filter_map(|output| match output {
        Output::Log { level, text } => Some((level, text)),
        _ => None,
    });
    lines.collect()
}

#[test]
fn what_no_controller_sends_is_answered_logged_and_no_evidence() {
    let mut controller = controller();
    feed(&mut controller, 100, "berth-1", liveness(11, 5));
    let mut many = liveness(11, 6);
    many.claims = vec![claim("berth-2", 1); 10_000];
    let mut strange = liveness(11, u64::MAX);
    strange.claims = vec![
        claim("nobody", u64::MAX),
        claim("berth-2", u64::MAX),
        claim("berth-1", 0),
    ];
    strange.probe = Some(MemberId::new("x".repeat(100_000)));
    for (from, message, reason) in [
        ("stranger", liveness(1, 1), "is no member"),
        ("berth-0", liveness(7, 1), "came back"),
        ("berth-1", liveness(0, 9), "tells no life"),
        ("berth-1", liveness(11, 5), "has come before"),
        ("berth-1", many, "are taken"),
        ("berth-1", strange, "counts as no evidence"),
    ] {
        let lines = feed(&mut controller, 200, from, message);
        assert!(
            lines.iter().any(|(_, text)| text.contains(reason)),
            "{reason}: {lines:?}"
        );
        assert!(lines.iter().all(|(level, _)| *level == Level::Debug), "{lines:?}");
    }
    // A claim that this controller is suspected in another life asks for no refutation.
    let mut other_life = liveness(21, 1);
    other_life.claims = vec![claim("berth-0", 8)];
    let lines = feed(&mut controller, 300, "berth-2", other_life);
    assert!(lines.iter().all(|(_, text)| !text.contains("refuted")), "{lines:?}");
}
