//! The simulated deployment: its size, the controllers' settings, and submissions for tests.

use crate::gang::{GANG_PEER_TIMEOUT_MS, GANG_SAVE_MS, GANG_WAIT_MS};
use serde_json::{Value, json};
use tidelatch_core::settings::{Features, Operator, Platform, Settings};

/// The size and the limits of a simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentSize {
    /// Number of controllers.
    pub controllers: usize,
    /// Number of teams.
    pub teams: u32,
    /// Accelerators guaranteed to each team.
    pub guaranteed_accelerators: f64,
    /// Maximum number of accelerators of each team.
    pub max_accelerators: f64,
    /// Changes per second that the state service accepts, by the settings.
    pub write_rps: f64,
    /// Largest value that the state service accepts, in KiB, by the settings.
    pub value_kb: f64,
    /// Future limits of the state service: changes per second, KiB per value, changes per transaction.
    pub announced_limits: Option<(f64, f64, u32)>,
    /// Minimum length of team names in bytes. Shorter names are padded.
    pub min_team_name_bytes: usize,
    /// Objective for the start of tasks of the class `c`, that of all jobs made by [`job`], in seconds; 0: there is no
    /// such objective.
    pub start_within_s: f64,
}

impl Default for DeploymentSize {
    fn default() -> Self {
        Self {
            controllers: 3,
            teams: 3,
            guaranteed_accelerators: 2.0,
            max_accelerators: 4.0,
            write_rps: 60.0,
            value_kb: 32.0,
            announced_limits: None,
            min_team_name_bytes: 0,
            start_within_s: 0.0,
        }
    }
}

/// Builds the settings of one controller.
pub(super) fn controller_settings(index: usize, operator: &Operator, size: &DeploymentSize) -> Settings {
    let siblings: Vec<Value> = (0..size.controllers)
        .filter(|i| *i != index)
        .map(|i| json!({ "host_name": format!("berth-{i}"), "area": "a", "address": format!("10.0.0.{}:8081", i + 1) }))
        .collect();
    let teams: Vec<Value> = (0..size.teams)
        .map(|i| {
            json!({ "name": team_name(i, size),
                "gpus": size.guaranteed_accelerators, "gpus_max": size.max_accelerators })
        })
        .collect();
    let objectives = if size.start_within_s > 0.0 {
        json!([{ "kind": "wait", "class": "c", "within_s": size.start_within_s }])
    } else {
        json!([])
    };
    let platform = json!({
        "host_name": format!("berth-{index}"), "area": "a",
        "api_addr": format!("10.0.0.{}:8080", index + 1), "peer_listen": format!("10.0.0.{}:8081", index + 1),
        "siblings": siblings, "outside": { "cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379" },
        "facts": {
            "nodes": size.controllers, "zones": ["a", "b"], "skew_ms": 25.0, "teams": teams, "objectives": objectives,
            "workers": { "report_s": 2.5, "lease_s": 18.0, "cancel_s": 38.0,
                "gang_wait_s": GANG_WAIT_MS as f64 / 1000.0, "gang_peer_s": GANG_PEER_TIMEOUT_MS as f64 / 1000.0 },
            "state": { "rps": 250.0, "write_rps": size.write_rps, "value_kb": size.value_kb, "txn_ops": 16,
                "next": size.announced_limits
                    .map(|(rps, kb, ops)| json!({ "write_rps": rps, "value_kb": kb, "txn_ops": ops })) },
            "cloud": { "rps": 4.0, "list_lag_s": 8.0 },
            "machine_limits": { "cores": 0.1, "ram_mb": 100.0, "sockets": 1000 }
        }
    });
    let platform: Platform =
        serde_json::from_value(platform).expect("the simulated deployment's settings can be parsed");
    assert!(
        platform.faults().is_empty(),
        "the simulated deployment's settings are valid"
    );
    Settings {
        platform,
        operator: operator.clone(),
        features: Features::default(),
    }
}

/// Returns the name of a team, padded to the minimum length.
pub(super) fn team_name(i: u32, size: &DeploymentSize) -> String {
    let name = format!("team-{i}");
    format!("{name:x<width$}", width = size.min_team_name_bytes)
}

/// Builds the submission of a gang in one zone. Its tasks need CPUs but no accelerators, six of them fit on a machine,
/// and the gang writes a checkpoint every two seconds.
pub fn gang(id: u32, team: u32, tasks: u32) -> Value {
    let mut job = job(id, team, "group", tasks);
    job["accelerators"] = json!(0.0);
    job["vcpus"] = json!(4.0);
    job["ramGb"] = json!(10.0);
    job["together"] = json!(true);
    job["waypointS"] = json!(2.0);
    job["stowS"] = json!(GANG_SAVE_MS as f64 / 1000.0);
    job
}

/// Builds the submission of an array (`sweep`) or a service (`standing`) whose tasks need one accelerator each.
pub fn job(id: u32, team: u32, shape: &str, tasks: u32) -> Value {
    json!({
        "uid": format!("job-{id:06}"), "consist": "c", "crew": format!("team-{team}"), "shape": shape,
        "precedence": if shape == "standing" { "prod" } else { "normal" }, "wagons": tasks,
        "vcpus": 8.0, "accelerators": 1.0, "ramGb": 40.0, "stock": "img", "sizeGb": 1.0, "models": null,
        "yard": null, "together": false, "spread": false, "standby": false, "runtimeS": 5.0,
        "waypointS": 0.0, "stowS": 0.0, "dueS": null
    })
}
