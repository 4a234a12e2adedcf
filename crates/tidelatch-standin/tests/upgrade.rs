//! Upgrades: controllers of this version beside controllers of the last version without gangs, and a state service that
//! lowers its limits.
//!
//! Guards against records that one version writes and the other cannot read, and against writes that exceed the lowered
//! limits. `kept/before_gangs.json` holds values as the last version without gangs wrote them; the module
//! `before_gangs` at the end of this file defines the records of that version, field by field.

use serde_json::{Value, json};
use std::path::Path;
use tidelatch_core::settings::{Features, Operator};
use tidelatch_standin::support::{assert_no_breaches, assert_trace, is_stored_as_done};
use tidelatch_standin::{Delivery, DeploymentSize, World, gang, job};

/// Starts three controllers of the last version without gangs, and a service that runs.
fn start_last_version(size: DeploymentSize) -> World {
    let mut world = World::with_size(&Operator::default(), size);
    for controller in 0..3 {
        world.crash_controller(controller);
        world.set_features(controller, Features::before_gangs());
        world.start_controller(controller);
    }
    world.run_for(3000);
    world.submit_until_accepted(0, &job(9, 0, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000009") == 2),
        "{}",
        world.trace()
    );
    world
}

/// Crashes a controller and restarts it with the features of another version after `down_ms`.
fn replace_controller(world: &mut World, controller: usize, features: Features, down_ms: u64) {
    world.crash_controller(controller);
    world.set_features(controller, features);
    world.run_for(down_ms);
    world.start_controller(controller);
}

/// Submits a job to one controller after another until it is accepted or `ms` have passed. Returns the statuses of the
/// rejected submissions.
fn submit_until_accepted(world: &mut World, body: &Value, ms: u64) -> Vec<u16> {
    let until = world.now + ms;
    let mut statuses = Vec::new();
    for controller in (0..3).cycle() {
        let request = world.submit(controller, body);
        world.run_for(500);
        let status = world.http_status(request);
        if matches!(status, 200 | 201) || world.now >= until {
            return statuses;
        }
        statuses.push(status);
    }
    statuses
}

/// Guards against a change of a stored format that makes this version lose machines, finished jobs or done tasks that
/// the last version stored.
#[test]
fn values_written_by_the_last_version_without_gangs_are_read() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/kept/before_gangs.json");
    let recorded: Value =
        serde_json::from_str(&std::fs::read_to_string(path).expect("the recorded values can be read")).expect("JSON");
    let size = DeploymentSize {
        guaranteed_accelerators: 60.0,
        max_accelerators: 200.0,
        value_kb: 4.0,
        announced_limits: Some((18.0, 2.0, 4)),
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&Operator::default(), size);
    world.cloud.max_machines = 200;
    let values = recorded["values"].as_object().expect("a field `values`");
    for (key, value) in values
        .iter()
        .filter(|(k, _)| !k.starts_with("t/c/m") && !k.starts_with("t/c/l"))
    {
        world.store.set_key(key, value.clone());
    }
    world.run_for(9000);
    assert!(world.epoch() > recorded["values"]["t/c/epoch"]["n"].as_u64().unwrap_or(0));
    let groups = recorded["values"]
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(k, _)| k.starts_with("t/m/"));
    let machines: usize = groups.map(|(_, v)| v["m"].as_object().map_or(0, |m| m.len())).sum();
    assert!(world.trace().contains("machines in the roster"), "{}", world.trace());
    assert!(
        world.roster().len() >= machines / 2,
        "{} of {machines}",
        world.roster().len()
    );
    let done_bitmap = recorded["values"]["d/1/job-000005/0"].as_str().unwrap_or_default();
    let done_tasks: u64 = done_bitmap
        .chars()
        .filter_map(|c| c.to_digit(16))
        .map(|d| u64::from(d.count_ones()))
        .sum();
    for (id, status) in [
        ("job-000002", "done"),
        ("job-000003", "done"),
        ("job-000004", "withdrawn"),
    ] {
        let poll = world.send_user_request(
            0,
            tidelatch_core::Method::Get,
            &format!("/submissions/{id}"),
            "",
            (id.into(), "health"),
        );
        world.run_for(500);
        assert_eq!(world.job_status(poll), status, "{id}\n{}", world.trace());
    }
    let poll = world.send_user_request(
        1,
        tidelatch_core::Method::Get,
        "/submissions/job-000005",
        "",
        ("job-000005".into(), "health"),
    );
    world.run_for(500);
    let body: Value = world
        .answers
        .get(&poll)
        .and_then(|(_, a)| serde_json::from_str(&a.body).ok())
        .unwrap_or_default();
    assert_eq!(body["done"].as_u64(), Some(done_tasks), "{body}\n{}", world.trace());
    // All later writes fit the announced limits, which are in force from here on.
    world.store.transaction_limits = Some((2048, 4));
    world.run_for(60_000);
    assert!(
        world.store.oversized_transactions.is_empty(),
        "{:?}",
        world.store.oversized_transactions
    );
}

/// Guards against a field or key that this version adds while a controller of the last version still serves, which then
/// fails to decode the record.
#[test]
fn records_written_during_an_upgrade_can_be_read_by_the_last_version() {
    let size = DeploymentSize {
        max_accelerators: 20.0,
        ..DeploymentSize::default()
    };
    let mut world = start_last_version(size);
    for controller in [1, 2] {
        replace_controller(&mut world, controller, Features::default(), 6000);
        world.run_for(9000);
    }
    for i in 1..4 {
        world.submit_until_accepted(
            i as usize % 3,
            &job(i, i % 3, if i == 1 { "standing" } else { "sweep" }, 12),
        );
    }
    world.run_for(20_000);
    let keys = world.store.keys("");
    assert!(keys.iter().any(|k| k.starts_with("t/u/")), "{keys:?}");
    for key in keys {
        let value = world.store.get(&key).cloned().unwrap_or_default();
        let error = match key.split('/').take(2).collect::<Vec<_>>().as_slice() {
            ["t", "j"] => before_gangs::decode_error::<before_gangs::JobRecord>(&value),
            ["t", "m"] => before_gangs::decode_error::<before_gangs::GroupRecord>(&value),
            ["t", "u"] => {
                before_gangs::decode_error::<std::collections::BTreeMap<String, before_gangs::BootEntry>>(&value)
            }
            ["t", "c"] if key.contains("member") => before_gangs::decode_error::<before_gangs::MemberRecord>(&value),
            ["t", "c"] if key.contains("leader") => before_gangs::decode_error::<before_gangs::LeaderRecord>(&value),
            ["t", "c"] => before_gangs::decode_error::<before_gangs::EpochRecord>(&value),
            ["t", "y" | "s"] => None,
            _ if key.starts_with("d/") => (!value.is_string()).then(|| "the value is not a string".to_owned()),
            _ => Some("that version does not know the key".to_owned()),
        };
        assert_eq!(error, None, "{key}: {value}");
    }
    assert_no_breaches(&world);
}

/// Guards against a stored gang that a controller of the last version cannot read: no gang is accepted while such a
/// controller serves, and users are told at once when to retry. The controllers are upgraded in every order, with short
/// and long restarts.
#[test]
fn gangs_are_accepted_once_all_controllers_support_them_in_any_upgrade_order() {
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        for down_ms in [100, 6000] {
            let mut world = start_last_version(DeploymentSize::default());
            for (position, controller) in order.into_iter().enumerate() {
                let request = world.submit(controller, &gang(1, 1, 2));
                world.run_for(500);
                assert!(
                    matches!(world.http_status(request), 400 | 503),
                    "{order:?} {position}\n{}",
                    world.trace()
                );
                replace_controller(&mut world, controller, Features::default(), down_ms);
                world.run_for(5000);
                if position == 1 {
                    // The last controller of the old version crashes before its upgrade and restarts with the old
                    // version.
                    let last_old = order[2];
                    world.crash_controller(last_old);
                    world.run_for(300);
                    world.start_controller(last_old);
                    world.run_for(5000);
                    let request = world.submit(order[0], &gang(1, 1, 2));
                    world.run_for(500);
                    assert_eq!(world.http_status(request), 503, "{order:?}\n{}", world.trace());
                }
            }
            submit_until_accepted(&mut world, &gang(2, 1, 2), 20_000);
            assert!(
                world.run_until(60_000, |w| is_stored_as_done(w, "job-000002")),
                "{order:?}\n{}",
                world.trace()
            );
            let starts = world.trace().matches("starts job-000009/").count();
            assert_eq!(starts, 2, "the service should not be restarted\n{}", world.trace());
            assert_no_breaches(&world);
        }
    }
}

/// Guards against jobs that are lost or stopped when controllers crash and the leader loses the state service in the
/// middle of an upgrade.
#[test]
fn an_upgrade_with_a_crash_and_a_network_cut_loses_no_job() {
    let mut world = start_last_version(DeploymentSize::default());
    world.submit_until_accepted(1, &job(3, 1, "sweep", 6));
    replace_controller(&mut world, 0, Features::default(), 6000);
    world.run_for(3000);
    // The leader is now berth-1, of the old version. It is disconnected from the state service.
    world.set_fault_injector(|message| {
        if message.from == "berth-1" && message.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(9000);
    world.clear_fault_injector();
    replace_controller(&mut world, 1, Features::default(), 200);
    world.run_for(700);
    world.crash_controller(0);
    world.run_for(300);
    world.start_controller(0);
    world.run_for(500);
    world.crash_controller(2);
    world.run_for(6000);
    world.start_controller(2);
    world.run_for(9000);
    replace_controller(&mut world, 2, Features::default(), 6000);
    submit_until_accepted(&mut world, &gang(2, 2, 3), 30_000);
    assert!(
        world.run_until(60_000, |w| is_stored_as_done(w, "job-000002")),
        "{}",
        world.trace()
    );
    assert!(
        world.run_until(60_000, |w| is_stored_as_done(w, "job-000003")),
        "{}",
        world.trace()
    );
    assert_eq!(world.running_tasks("job-000009"), 2, "{}", world.trace());
    assert_trace(&world, "upgrade_with_a_crash_and_a_cut");
}

/// Guards against gangs that are rejected for ever because of a controller of the last version that has crashed and
/// does not return.
#[test]
fn a_controller_that_never_returns_does_not_block_gangs() {
    let mut world = start_last_version(DeploymentSize::default());
    for controller in [0, 1] {
        replace_controller(&mut world, controller, Features::default(), 1000);
        world.run_for(9000);
    }
    world.crash_controller(2);
    let crashed_at = world.now;
    submit_until_accepted(&mut world, &gang(1, 0, 2), 20_000);
    assert!(world.store.get("t/j/job-000001").is_some(), "{}", world.trace());
    assert!(
        world.now < crashed_at + 9000,
        "accepted {} ms after the crash",
        world.now - crashed_at
    );
    assert_no_breaches(&world);
}

/// Guards against a record with an unknown shape that turns an accepted job into a 404, when the owner of its team is
/// rolled back to the last version.
#[test]
fn a_gang_stays_known_after_a_rollback_of_its_owner() {
    let mut world = start_last_version(DeploymentSize::default());
    for controller in 0..3 {
        replace_controller(&mut world, controller, Features::default(), 1000);
        world.run_for(3000);
    }
    world.run_ms = 30_000;
    submit_until_accepted(&mut world, &gang(1, 1, 2), 20_000);
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 2),
        "{}",
        world.trace()
    );
    let owner = world.owner_of_team(1);
    replace_controller(&mut world, owner, Features::before_gangs(), 500);
    world.run_for(15_000);
    for controller in 0..3 {
        let poll = world.poll(controller, "job-000001");
        world.run_for(2000);
        assert!(matches!(world.http_status(poll), 200 | 503), "{}", world.trace());
    }
    let request = world.submit((owner + 1) % 3, &gang(2, 1, 2));
    world.run_for(500);
    assert_eq!(world.http_status(request), 503, "{}", world.trace());
    replace_controller(&mut world, owner, Features::default(), 500);
    world.run_ms = 3000;
    assert!(
        world.run_until(90_000, |w| is_stored_as_done(w, "job-000001")),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against a 404 for a job whose record has values that this version does not know: the record still tells its
/// state.
#[test]
fn a_job_record_of_a_later_version_is_reported() {
    let mut world = World::new();
    let record = json!({ "epoch": 1, "at": 0, "st": "queued", "n": 2, "team": "team-0", "size": [1.0, 0.0, 1.0],
        "spec": { "shape": "swarm" } });
    world.store.set_key("t/j/job-000777", record);
    world.run_for(3000);
    let poll = world.send_user_request(
        0,
        tidelatch_core::Method::Get,
        "/submissions/job-000777",
        "",
        ("job-000777".into(), "health"),
    );
    world.run_for(500);
    assert_eq!(
        (world.http_status(poll), world.job_status(poll)),
        (200, "queued".to_owned()),
        "{}",
        world.trace()
    );
}

/// The smallest limits that are expected of a state service, with the longest names of teams.
fn smallest_limits() -> DeploymentSize {
    DeploymentSize {
        teams: 16,
        guaranteed_accelerators: 10.0,
        max_accelerators: 60.0,
        write_rps: 25.0,
        value_kb: 4.0,
        announced_limits: Some((18.0, 2.0, 4)),
        min_team_name_bytes: 150,
        ..DeploymentSize::default()
    }
}

/// Replaces the team of a job by the team with this index.
fn with_team(world: &World, body: Value, index: usize) -> Value {
    let mut body = body;
    body["crew"] = json!(world.team_name(index));
    body
}

/// Guards against values and transactions larger than the announced limits: the limits are lowered without notice, so
/// nothing larger is ever sent.
#[test]
fn values_fit_two_kib_and_transactions_four_changes() {
    let mut world = World::with_size(&Operator::default(), smallest_limits());
    world.cloud.max_machines = 150;
    world.cloud.machine_name_prefix = format!("n-{}-", "long-name-".repeat(5));
    world.store.transaction_limits = Some((2048, 4));
    world.run_for(3000);
    for i in 0..16u32 {
        let body = match i % 4 {
            0 => job(i + 1, 0, "standing", 6),
            1 => gang(i + 1, 0, 5),
            _ => job(i + 1, 0, "sweep", 30),
        };
        let body = with_team(&world, body, i as usize);
        world.submit_until_accepted(i as usize % 3, &body);
    }
    world.run_for(40_000);
    let owner = world.owner_of_team(0);
    world.crash_controller(owner);
    world.run_for(8000);
    world.start_controller(owner);
    let all_done = |w: &World| {
        (0..16)
            .filter(|i| i % 4 != 0)
            .all(|i| is_stored_as_done(w, &format!("job-{:06}", i + 1)))
    };
    assert!(world.run_until(240_000, all_done), "{}", world.trace());
    world.run_for(9000);
    for i in [1, 5, 9, 13] {
        world.cancel(0, &format!("job-{i:06}"));
    }
    world.run_for(120_000);
    assert!(
        world.store.oversized_transactions.is_empty(),
        "{:?}",
        world.store.oversized_transactions.first()
    );
    let (bytes, changes) = world.store.largest_transaction;
    assert!(bytes > 500 && changes > 1, "{bytes} bytes, {changes} changes");
    assert!(
        world.roster().len() < 10,
        "idle machines should be returned: {}\n{}",
        world.roster().len(),
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against an accepted job whose description does not fit a value under the announced limits.
#[test]
fn a_description_too_long_to_be_stored_is_rejected_at_once() {
    let mut world = World::with_size(&Operator::default(), smallest_limits());
    world.run_for(3000);
    let mut long_body = with_team(&world, job(1, 0, "sweep", 1), 0);
    long_body["models"] = json!(vec!["m2".to_owned() + &"x".repeat(60); 40]);
    long_body["models"][0] = json!("m2");
    let request = world.submit(0, &long_body);
    world.run_for(500);
    assert_eq!(world.http_status(request), 422, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against full group records of the last version: they stay readable, but no value of their size can be written
/// any more. A machine that leaves such a group, for another partition or for good, still has to leave the roster.
#[test]
fn full_group_records_of_the_last_version_are_split_after_limits_are_lowered() {
    let size = DeploymentSize {
        guaranteed_accelerators: 100.0,
        max_accelerators: 200.0,
        announced_limits: Some((42.0, 2.0, 4)),
        ..DeploymentSize::default()
    };
    let mut world = start_last_version(size);
    world.cloud.max_machines = 120;
    world.cloud.machine_name_prefix = format!("n-{}-", "long-name-".repeat(12));
    world.submit_until_accepted(0, &job(1, 0, "standing", 180));
    assert!(
        world.run_until(60_000, |w| w.running_tasks("job-000001") == 180),
        "{}",
        world.trace()
    );
    let largest = world
        .store
        .keys("t/m/")
        .iter()
        .filter_map(|k| world.store.get(k))
        .map(|v| v.to_string().len())
        .max();
    assert!(largest > Some(5000), "{largest:?}");
    for controller in 0..3 {
        replace_controller(&mut world, controller, Features::default(), 500);
        world.run_for(2000);
    }
    world.store.transaction_limits = Some((2048, 4));
    world.run_for(15_000);
    assert_eq!(world.running_tasks("job-000001"), 180, "{}", world.trace());
    let machines = world.roster().len();
    // A single machine fails.
    let failed_machine = world.machines_of("job-000001").into_iter().nth(7).expect("it runs");
    if let Some(w) = world.workers.get_mut(&failed_machine) {
        w.is_hanging = true;
    }
    let has_left = |w: &World| !w.roster().contains(&failed_machine);
    assert!(world.run_until(60_000, has_left), "{}", world.trace());
    assert!(
        world.roster().len() + 3 >= machines,
        "only the failed machine should leave the roster"
    );
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 180),
        "{}",
        world.trace()
    );
    // The groups were split in several transactions, whose step records are deleted afterwards; no machine changed its
    // partition.
    assert!(
        !world.trace().contains("handed to another partition"),
        "{}",
        world.trace()
    );
    assert!(world.trace().contains("in steps"), "{}", world.trace());
    assert!(
        world.run_until(20_000, |w| w.store.keys("t/s/").is_empty()),
        "{:?}",
        world.store.keys("t/s/")
    );
    // A takeover of the partly split groups finds all machines. They are returned once the job is cancelled.
    let owner = world.owner_of_team(0);
    world.crash_controller(owner);
    world.run_for(9000);
    world.start_controller(owner);
    world.run_for(9000);
    assert_eq!(world.running_tasks("job-000001"), 180, "{}", world.trace());
    world.cancel(0, "job-000001");
    assert!(
        world.run_until(120_000, |w| w.roster().len() <= 2),
        "{}\n{}",
        world.roster().len(),
        world.trace()
    );
    assert!(
        world.store.oversized_transactions.is_empty(),
        "{:?}",
        world.store.oversized_transactions.first()
    );
    assert_no_breaches(&world);
}

/// Guards against a transaction that was rejected as too large and is sent again unchanged for ever, when the limit is
/// below the announced one.
#[test]
fn a_limit_below_the_announced_one_is_discovered() {
    let size = DeploymentSize {
        guaranteed_accelerators: 100.0,
        max_accelerators: 200.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&Operator::default(), size);
    world.cloud.max_machines = 120;
    world.store.transaction_limits = Some((400, 2));
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 120));
    assert!(
        world.run_until(90_000, |w| w.running_tasks("job-000001") == 120),
        "{}",
        world.trace()
    );
    world.cancel(0, "job-000001");
    assert!(world.run_until(120_000, |w| w.roster().is_empty()), "{}", world.trace());
    let refused = world.store.oversized_transactions.len();
    assert!((1..20).contains(&refused), "{refused}");
    assert_no_breaches(&world);
}

/// Guards against leases and jobs that are lost to 429 answers when the state service lowers its write rate to the
/// announced one.
#[test]
fn a_lowered_write_rate_loses_no_lease_and_no_job() {
    let size = DeploymentSize {
        guaranteed_accelerators: 60.0,
        max_accelerators: 120.0,
        write_rps: 25.0,
        value_kb: 4.0,
        announced_limits: Some((12.0, 2.0, 4)),
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&Operator::default(), size);
    world.cloud.max_machines = 150;
    world.store.max_changes_per_s = Some(12.0);
    world.run_for(3000);
    for i in 1..40u32 {
        let body = if i % 3 == 0 {
            gang(i, i % 3, 3)
        } else {
            job(i, i % 3, "sweep", 10)
        };
        submit_until_accepted(&mut world, &body, 30_000);
    }
    let all_done = |w: &World| (1..40).all(|i| is_stored_as_done(w, &format!("job-{i:06}")));
    assert!(world.run_until(240_000, all_done), "{}", world.trace());
    assert!(!world.trace().contains("lease lost"), "{}", world.trace());
    let throttled = world.store.throttled_requests;
    assert!(
        (1..14).contains(&throttled),
        "{throttled} of {} requests got 429",
        world.message_counts.state_requests
    );
    assert_no_breaches(&world);
}

/// The records of the last version without gangs, field by field.
mod before_gangs {
    use serde::Deserialize;
    use serde_json::Value;
    use std::collections::BTreeMap;

    /// Returns the error with which that version fails to decode a value.
    pub fn decode_error<T: for<'de> Deserialize<'de>>(value: &Value) -> Option<String> {
        serde_json::from_value::<T>(value.clone())
            .err()
            .map(|error| error.to_string())
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct MemberRecord {
        inc: u64,
        ack: u64,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct LeaderRecord {
        name: String,
        inc: u64,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct PartitionOwner {
        owner: String,
        inc: u64,
        since: u64,
        #[serde(default)]
        wait: Vec<LeaderRecord>,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct EpochRecord {
        n: u64,
        parts: Vec<PartitionOwner>,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct GroupRecord {
        part: u32,
        model: String,
        zone: String,
        spot: bool,
        #[serde(default)]
        at: u64,
        m: BTreeMap<String, (u64, u64)>,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct BootEntry {
        addr: String,
        seen: (u64, u64),
    }

    #[derive(Deserialize)]
    #[allow(dead_code, non_camel_case_types)]
    pub enum JobState {
        queued,
        done,
        withdrawn,
    }

    #[derive(Deserialize)]
    #[allow(dead_code, non_camel_case_types)]
    pub enum Shape {
        sweep,
        standing,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct JobSpec {
        consist: String,
        crew: String,
        shape: Shape,
        precedence: String,
        wagons: u32,
        vcpus: f64,
        accelerators: f64,
        #[serde(rename = "ramGb")]
        ram_gb: f64,
        together: bool,
        spread: bool,
        standby: bool,
        stock: String,
        #[serde(rename = "sizeGb")]
        size_gb: f64,
        #[serde(rename = "runtimeS")]
        runtime_s: f64,
        #[serde(rename = "waypointS")]
        waypoint_s: f64,
        #[serde(rename = "stowS")]
        stow_s: f64,
    }

    #[derive(Deserialize)]
    #[allow(dead_code)]
    pub struct JobRecord {
        epoch: u64,
        at: u64,
        st: JobState,
        n: u32,
        team: String,
        size: [f64; 3],
        #[serde(default)]
        spec: Option<JobSpec>,
    }
}
