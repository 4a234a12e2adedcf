//! Validation of settings: valid settings have no faults, and each invalid setting is reported with its path.

use serde_json::{Value, json};
use tidelatch_core::settings::{Disruption, FailureDetection, Features, Operator, Platform, Settings};

/// Platform settings of a deployment with one controller, two zones and these teams.
fn platform(teams: Value) -> Platform {
    let platform = json!({
        "host_name": "berth-0", "area": "a", "api_addr": "10.0.0.1:8080", "peer_listen": "10.0.0.1:8081",
        "siblings": [], "outside": { "cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379" },
        "facts": {
            "nodes": 1, "zones": ["a", "b"], "skew_ms": 25.0, "teams": teams,
            "workers": { "report_s": 2.5, "lease_s": 18.0, "cancel_s": 38.0 },
            "state": { "rps": 250.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 16 },
            "cloud": { "rps": 4.0, "list_lag_s": 8.0 },
            "machine_limits": { "cores": 0.1, "ram_mb": 100.0, "sockets": 1000 }
        }
    });
    serde_json::from_value(platform).expect("the settings have the right form")
}

fn fault_paths(platform: &Platform) -> Vec<String> {
    platform.faults().into_iter().map(|fault| fault.path).collect()
}

#[test]
fn a_team_may_have_no_guarantee_and_no_limit() {
    let teams = json!([
        { "name": "guests" },
        { "name": "visitors", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0 },
        { "name": "limited", "gpus_max": 4.0 },
        { "name": "guaranteed", "gpus": 4.0 },
    ]);
    assert_eq!(fault_paths(&platform(teams)), Vec::<String>::new());
}

#[test]
fn invalid_teams_are_reported_with_their_paths() {
    let teams = json!([
        { "name": "a", "gpus": 4.0, "gpus_max": 2.0 },
        { "name": "b", "cpus": -1.0 },
        { "name": "" },
        { "name": "a" },
    ]);
    let expected = [
        "facts.teams[0].gpus",
        "facts.teams[1].cpus",
        "facts.teams[2].name",
        "facts.teams[3].name",
    ];
    let mut found = fault_paths(&platform(teams));
    found.sort();
    assert_eq!(found, expected);
}

/// Paths of the faults of the operators' settings after `set` has made one value invalid.
fn operator_fault_paths(valid: &Value, set: impl Fn(&mut Value)) -> Vec<String> {
    let mut settings = valid.clone();
    set(&mut settings);
    let operator: Operator = serde_json::from_value(settings).expect("settings of the right form");
    operator.faults().into_iter().map(|fault| fault.path).collect()
}

#[test]
fn the_range_of_each_numeric_operator_setting_is_checked() {
    let operator = Operator {
        failure_detection: Some(FailureDetection::default()),
        disruption: Some(Disruption::default()),
        ..Operator::default()
    };
    let valid = serde_json::to_value(operator).expect("JSON");
    for (name, value) in valid.as_object().expect("an object") {
        let Some(inner) = value.as_object() else {
            let found = operator_fault_paths(&valid, |settings| settings[name] = json!(1_000_000));
            assert_eq!(found, [name.as_str()]);
            continue;
        };
        // Enum and boolean settings have no range: parsing refuses any other value.
        for (field, _) in inner.iter().filter(|(_, value)| value.is_number()) {
            // `local_health_most` is a `u8`: 255 is its largest value.
            let too_large = if field == "local_health_most" { 255 } else { 1_000_000 };
            let found = operator_fault_paths(&valid, |settings| settings[name][field] = json!(too_large));
            assert_eq!(found, [format!("{name}.{field}")]);
        }
    }
}

#[test]
fn failure_detection_that_does_not_fit_the_deployment_is_reported_with_its_path() {
    let deployment_fault_paths = |operator: Operator| {
        let settings = Settings {
            platform: platform(json!([])),
            operator,
            features: Features::default(),
        };
        settings
            .faults()
            .into_iter()
            .map(|fault| fault.path)
            .collect::<Vec<String>>()
    };
    let detection = Some(FailureDetection::default());
    // A lease of 1.8 s with one heartbeat per second is too short.
    let short_lease = Operator {
        failure_detection: detection.clone(),
        controller_lease_per_worker_lease: 0.1,
        ..Operator::default()
    };
    assert_eq!(
        deployment_fault_paths(short_lease),
        ["controller_lease_per_worker_lease"]
    );
    let slow_probes = Operator {
        failure_detection: Some(FailureDetection {
            probe_wait_per_heartbeat: 9.0,
            ..FailureDetection::default()
        }),
        ..Operator::default()
    };
    assert_eq!(
        deployment_fault_paths(slow_probes),
        ["failure_detection.probe_wait_per_heartbeat"]
    );
    let default_detection = Operator {
        failure_detection: detection,
        ..Operator::default()
    };
    assert_eq!(deployment_fault_paths(default_detection), Vec::<String>::new());
}

/// Paths of the faults of disruption settings in a deployment with the team `shop`, the class `web` and two zones.
fn disruption_fault_paths(disruption: Value) -> Vec<String> {
    let mut platform = platform(json!([{ "name": "shop" }]));
    let objectives = json!([{ "kind": "wait", "class": "web", "within_s": 10.0 }]);
    platform.facts.objectives = serde_json::from_value(objectives).expect("valid objectives");
    let operator: Operator =
        serde_json::from_value(json!({ "disruption": disruption })).expect("settings of the right form");
    let value_faults = operator.faults();
    let settings = Settings {
        platform,
        operator,
        features: Features::default(),
    };
    let faults = value_faults.into_iter().chain(settings.faults());
    faults.map(|fault| fault.path).collect()
}

#[test]
fn invalid_budgets_and_drains_are_reported_with_their_paths() {
    let budget = |team: &str, rest: Value| {
        let mut rule = json!({ "team": team });
        rule.as_object_mut()
            .expect("an object")
            .extend(rest.as_object().expect("an object").clone());
        disruption_fault_paths(json!({ "budgets": [rule] }))
    };
    assert_eq!(
        budget("sh*", json!({ "max_unavailable": 1, "classes": ["w?b", "web"] })),
        Vec::<String>::new()
    );
    assert_eq!(
        budget("none*", json!({ "max_unavailable": 1 })),
        ["disruption.budgets[0].team"]
    );
    assert_eq!(
        budget("", json!({ "max_unavailable": 1 })),
        ["disruption.budgets[0].team"; 2]
    );
    let unknown = json!({ "max_unavailable": 1, "classes": ["web", "train"] });
    assert_eq!(budget("shop", unknown), ["disruption.budgets[0].classes[1]"]);
    assert_eq!(
        budget("shop", json!({ "max_unavailable": "101%" })),
        ["disruption.budgets[0].max_unavailable"]
    );
    assert_eq!(
        budget("shop", json!({ "min_available": 200_000 })),
        ["disruption.budgets[0].min_available"]
    );
    assert_eq!(
        budget("shop", json!({ "min_available": 1, "max_unavailable": 1 })),
        ["disruption.budgets[0]"]
    );
    assert_eq!(budget("shop", json!({})), ["disruption.budgets[0]"]);

    let drain = |drain: Value| disruption_fault_paths(json!({ "drains": [drain] }));
    assert_eq!(
        drain(json!({ "name": "d-1", "machine_type": "m2", "zone": "b" })),
        Vec::<String>::new()
    );
    assert_eq!(drain(json!({ "name": "a/b" })), ["disruption.drains[0].name"]);
    assert_eq!(drain(json!({ "name": "" })), ["disruption.drains[0].name"]);
    assert_eq!(
        drain(json!({ "name": "d", "zone": "c" })),
        ["disruption.drains[0].zone"]
    );
    assert_eq!(
        drain(json!({ "name": "d", "machine_type": "" })),
        ["disruption.drains[0].machine_type"]
    );
    assert_eq!(
        drain(json!({ "name": "d", "max_machines": 0 })),
        ["disruption.drains[0].max_machines"]
    );
    assert_eq!(
        drain(json!({ "name": "d", "surge": 1_001 })),
        ["disruption.drains[0].surge"]
    );
    assert_eq!(
        drain(json!({ "name": "d", "patience_s": -1.0 })),
        ["disruption.drains[0].patience_s"]
    );
    assert_eq!(
        drain(json!({ "name": "d", "delay_s": 1e9 })),
        ["disruption.drains[0].delay_s"]
    );
    let twice = json!({ "drains": [{ "name": "d" }, { "name": "d" }] });
    assert_eq!(disruption_fault_paths(twice), ["disruption.drains[1].name"]);
}

#[test]
fn a_drain_that_a_budget_would_block_for_ever_is_refused() {
    for budget_of_zero in [json!({ "max_unavailable": "0%" }), json!({ "min_available": "100%" })] {
        let mut rule = budget_of_zero.clone();
        rule["team"] = json!("shop");
        let with_surge = |surge: u32| json!({ "budgets": [rule], "drains": [{ "name": "d", "surge": surge }] });
        assert_eq!(disruption_fault_paths(with_surge(0)), ["disruption.drains[0].surge"]);
        assert_eq!(disruption_fault_paths(with_surge(1)), Vec::<String>::new());
    }
}
