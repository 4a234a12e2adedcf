//! Heartbeats that no version of this program sends: the controller answers each of them, but does not use them as
//! evidence about other controllers.

use serde_json::json;
use tidelatch_core::ids::Incarnation;
use tidelatch_core::settings::{FailureDetection, Features, Operator, Settings};
use tidelatch_core::{CancellationNotice, Controller, Input, Level, Now, Output, PeerReply, PeerRequest};
use tidelatch_failure_detector::{
    Claim, Heartbeat, Incarnation as MemberIncarnation, IncarnationId, MemberId, Opinion,
};

/// The controller `berth-0` of three, with failure detection and incarnation 7.
fn controller() -> Controller {
    let peer = |i: u32| json!({ "host_name": format!("berth-{i}"), "address": format!("10.0.0.{i}:8081") });
    let platform = json!({
        "host_name": "berth-0", "area": "a", "api_addr": "10.0.0.9:8080", "peer_listen": "10.0.0.9:8081",
        "siblings": [peer(1), peer(2)], "outside": { "cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379" },
        "facts": {
            "nodes": 3, "zones": ["a"], "teams": [{ "name": "team" }],
            "workers": { "report_s": 2.5, "lease_s": 18.0, "cancel_s": 38.0 },
            "state": { "rps": 250.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 16 },
            "cloud": { "rps": 4.0, "list_lag_s": 8.0 },
            "machine_limits": { "cores": 0.1, "ram_mb": 100.0, "sockets": 1000 }
        }
    });
    let settings = Settings {
        platform: serde_json::from_value(platform).expect("valid platform settings"),
        operator: Operator {
            failure_detection: Some(FailureDetection::default()),
            ..Operator::default()
        },
        features: Features::default(),
    };
    Controller::new(settings, Incarnation(7), Now { ms: 1, wall_ms: 1 })
}

fn heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        from: MemberId::new(""),
        incarnation: MemberIncarnation {
            id: IncarnationId(incarnation),
            refutation_count: 0,
        },
        sequence,
        claims: Vec::new(),
        probe: None,
    }
}

/// A claim that a member is suspected, with `number` as its incarnation, refutation and time.
fn claim(member: &str, number: u64) -> Claim {
    Claim {
        member: MemberId::new(member),
        incarnation: MemberIncarnation {
            id: IncarnationId(number),
            refutation_count: number,
        },
        opinion: Opinion::Suspected,
        heard_ago_ms: number,
    }
}

/// Delivers a heartbeat, asserts that it is answered, and returns the log lines.
fn deliver_heartbeat(controller: &mut Controller, ms: u64, from: &str, heartbeat: Heartbeat) -> Vec<(Level, String)> {
    let request = PeerRequest::Heartbeat {
        name: from.to_owned(),
        entitled: true,
        wants_grant: false,
        relies_on_grant: false,
        digests: Vec::new(),
        cancellations: CancellationNotice::default(),
        detector_heartbeat: Some(heartbeat),
        permits: None,
    };
    let input = Input::PeerRequest { id: ms, request };
    let outputs = controller.step(Now { ms, wall_ms: ms }, input);
    let is_answer = |output: &Output| {
        matches!(
            output,
            Output::PeerReply {
                reply: PeerReply::Heartbeat { .. },
                ..
            }
        )
    };
    assert!(outputs.iter().any(is_answer));
    let lines = outputs.into_iter().filter_map(|output| match output {
        Output::Log { level, text } => Some((level, text)),
        _ => None,
    });
    lines.collect()
}

#[test]
fn invalid_heartbeats_are_answered_and_logged_but_not_used_as_evidence() {
    let mut controller = controller();
    deliver_heartbeat(&mut controller, 100, "berth-1", heartbeat(11, 5));
    let mut too_many_claims = heartbeat(11, 6);
    too_many_claims.claims = vec![claim("berth-2", 1); 10_000];
    let mut impossible_claims = heartbeat(11, u64::MAX);
    impossible_claims.claims = vec![
        claim("nobody", u64::MAX),
        claim("berth-2", u64::MAX),
        claim("berth-1", 0),
    ];
    impossible_claims.probe = Some(MemberId::new("x".repeat(100_000)));
    for (from, message, reason) in [
        ("stranger", heartbeat(1, 1), "is not a member"),
        ("berth-0", heartbeat(7, 1), "came back"),
        ("berth-1", heartbeat(0, 9), "sent no incarnation"),
        ("berth-1", heartbeat(11, 5), "has come before"),
        ("berth-1", too_many_claims, "are taken"),
        ("berth-1", impossible_claims, "counts as no evidence"),
    ] {
        let lines = deliver_heartbeat(&mut controller, 200, from, message);
        assert!(
            lines.iter().any(|(_, text)| text.contains(reason)),
            "{reason}: {lines:?}"
        );
        assert!(lines.iter().all(|(level, _)| *level == Level::Debug), "{lines:?}");
    }
    // A claim that another incarnation of this controller is suspected needs no refutation.
    let mut claim_about_other_incarnation = heartbeat(21, 1);
    claim_about_other_incarnation.claims = vec![claim("berth-0", 8)];
    let lines = deliver_heartbeat(&mut controller, 300, "berth-2", claim_about_other_incarnation);
    assert!(lines.iter().all(|(_, text)| !text.contains("refuted")), "{lines:?}");
}
