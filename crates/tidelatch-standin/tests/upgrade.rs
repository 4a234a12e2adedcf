//! Two versions side by side, and a state service whose limits fall. `kept/before_gangs.json` holds values as
//! the version before gangs wrote them; the records at the end of this file are that version's, by field.

use serde_json::{Value, json};
use std::path::Path;
use tidelatch_core::settings::{Features, Operator};
use tidelatch_standin::support::{assert_no_breaches, assert_trace, is_done};
use tidelatch_standin::{Delivery, Size, World, gang, job};

/// Three controllers of the version before, with a service that runs.
fn before(size: Size) -> World {
    let mut world = World::sized(&Operator::default(), size);
    for node in 0..3 {
        world.crash(node);
        world.version(node, Features::before_gangs());
        world.start(node);
    }
    world.run(3000);
    world.accepted(0, &job(9, 0, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running("job-000009") == 2),
        "{}",
        world.trace()
    );
    world
}

/// Ends a controller, and lets it come back with another version.
fn replace(world: &mut World, node: usize, features: Features, away: u64) {
    world.crash(node);
    world.version(node, features);
    world.run(away);
    world.start(node);
}

/// Submits until the job is taken; what was said before that.
fn submitted(world: &mut World, body: &Value, ms: u64) -> Vec<u16> {
    let until = world.now + ms;
    let mut said = Vec::new();
    for node in (0..3).cycle() {
        let request = world.submit(node, body);
        world.run(500);
        let status = world.status(request);
        if matches!(status, 200 | 201) || world.now >= until {
            return said;
        }
        said.push(status);
    }
    said
}

#[test]
fn every_value_that_the_version_before_wrote_is_read() {
    let kept = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/kept/before_gangs.json");
    let kept: Value = serde_json::from_str(&std::fs::read_to_string(kept).expect("kept")).expect("JSON");
    let size = Size {
        guarantee: 60.0,
        limit: 200.0,
        value_kb: 4.0,
        next: Some((18.0, 2.0, 4)),
        ..Size::default()
    };
    let mut world = World::sized(&Operator::default(), size);
    world.cloud.most = 200;
    let values = kept["values"].as_object().expect("values");
    for (key, value) in values
        .iter()
        .filter(|(k, _)| !k.starts_with("t/c/m") && !k.starts_with("t/c/l"))
    {
        world.store.put(key, value.clone());
    }
    world.run(9000);
    assert!(world.epoch() > kept["values"]["t/c/epoch"]["n"].as_u64().unwrap_or(0));
    let groups = kept["values"]
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
    let hex = kept["values"]["d/1/job-000005/0"].as_str().unwrap_or_default();
    let bits: u64 = hex
        .chars()
        .filter_map(|c| c.to_digit(16))
        .map(|d| u64::from(d.count_ones()))
        .sum();
    for (id, status) in [
        ("job-000002", "done"),
        ("job-000003", "done"),
        ("job-000004", "withdrawn"),
    ] {
        let polled = world.user(
            0,
            tidelatch_core::Method::Get,
            &format!("/submissions/{id}"),
            "",
            (id.into(), "health"),
        );
        world.run(500);
        assert_eq!(world.said(polled), status, "{id}\n{}", world.trace());
    }
    let polled = world.user(
        1,
        tidelatch_core::Method::Get,
        "/submissions/job-000005",
        "",
        ("job-000005".into(), "health"),
    );
    world.run(500);
    let body: Value = world
        .answers
        .get(&polled)
        .and_then(|(_, a)| serde_json::from_str(&a.body).ok())
        .unwrap_or_default();
    assert_eq!(body["done"].as_u64(), Some(bits), "{body}\n{}", world.trace());
    // What is written from here on fits the coming limits.
    world.store.limits = Some((2048, 4));
    world.run(60_000);
    assert!(world.store.refused.is_empty(), "{:?}", world.store.refused);
}

#[test]
fn what_is_written_while_the_version_before_lives_is_read_by_it() {
    let size = Size {
        limit: 20.0,
        ..Size::default()
    };
    let mut world = before(size);
    for node in [1, 2] {
        replace(&mut world, node, Features::default(), 6000);
        world.run(9000);
    }
    for i in 1..4 {
        world.accepted(
            i as usize % 3,
            &job(i, i % 3, if i == 1 { "standing" } else { "sweep" }, 12),
        );
    }
    world.run(20_000);
    let keys = world.store.keys("");
    assert!(keys.iter().any(|k| k.starts_with("t/u/")), "{keys:?}");
    for key in keys {
        let value = world.store.get(&key).cloned().unwrap_or_default();
        let fault = match key.split('/').take(2).collect::<Vec<_>>().as_slice() {
            ["t", "j"] => was::check::<was::JobRecord>(&value),
            ["t", "m"] => was::check::<was::GroupRecord>(&value),
            ["t", "u"] => was::check::<std::collections::BTreeMap<String, was::BootEntry>>(&value),
            ["t", "c"] if key.contains("member") => was::check::<was::MemberRecord>(&value),
            ["t", "c"] if key.contains("leader") => was::check::<was::LeaderRecord>(&value),
            ["t", "c"] => was::check::<was::EpochRecord>(&value),
            ["t", "y" | "s"] => None,
            _ if key.starts_with("d/") => (!value.is_string()).then(|| "no text".to_owned()),
            _ => Some("a key that it does not know".to_owned()),
        };
        assert_eq!(fault, None, "{key}: {value}");
    }
    assert_no_breaches(&world);
}

#[test]
fn gangs_are_taken_once_all_know_them_whatever_the_order() {
    // Guard: a controller of the version before cannot read what is stored of a gang; so none is accepted
    // while one lives, and users are told at once when to come back.
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        for away in [100, 6000] {
            let mut world = before(Size::default());
            for (i, node) in order.into_iter().enumerate() {
                let request = world.submit(node, &gang(1, 1, 2));
                world.run(500);
                assert!(
                    matches!(world.status(request), 400 | 503),
                    "{order:?} {i}\n{}",
                    world.trace()
                );
                replace(&mut world, node, Features::default(), away);
                world.run(5000);
                if i == 1 {
                    // The one that is left ends before its turn, and comes back as it was.
                    let old = order[2];
                    world.crash(old);
                    world.run(300);
                    world.start(old);
                    world.run(5000);
                    let request = world.submit(order[0], &gang(1, 1, 2));
                    world.run(500);
                    assert_eq!(world.status(request), 503, "{order:?}\n{}", world.trace());
                }
            }
            submitted(&mut world, &gang(2, 1, 2), 20_000);
            assert!(
                world.run_until(60_000, |w| is_done(w, "job-000002")),
                "{order:?}\n{}",
                world.trace()
            );
            let starts = world.trace().matches("starts job-000009/").count();
            assert_eq!(starts, 2, "the service ran on\n{}", world.trace());
            assert_no_breaches(&world);
        }
    }
}

#[test]
fn an_upgrade_with_a_crash_and_a_cut_between_breaks_nothing() {
    let mut world = before(Size::default());
    world.accepted(1, &job(3, 1, "sweep", 6));
    replace(&mut world, 0, Features::default(), 6000);
    world.run(3000);
    // The leader by now is of the version before; it is cut off from the state service.
    world.meddle(|l| {
        if l.from == "berth-1" && l.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run(9000);
    world.calm();
    replace(&mut world, 1, Features::default(), 200);
    world.run(700);
    world.crash(0);
    world.run(300);
    world.start(0);
    world.run(500);
    world.crash(2);
    world.run(6000);
    world.start(2);
    world.run(9000);
    replace(&mut world, 2, Features::default(), 6000);
    submitted(&mut world, &gang(2, 2, 3), 30_000);
    assert!(
        world.run_until(60_000, |w| is_done(w, "job-000002")),
        "{}",
        world.trace()
    );
    assert!(
        world.run_until(60_000, |w| is_done(w, "job-000003")),
        "{}",
        world.trace()
    );
    assert_eq!(world.running("job-000009"), 2, "{}", world.trace());
    assert_trace(&world, "upgrade_with_a_crash_and_a_cut");
}

#[test]
fn a_controller_that_is_gone_for_good_does_not_keep_gangs_out() {
    let mut world = before(Size::default());
    for node in [0, 1] {
        replace(&mut world, node, Features::default(), 1000);
        world.run(9000);
    }
    world.crash(2);
    let gone = world.now;
    submitted(&mut world, &gang(1, 0, 2), 20_000);
    assert!(world.store.get("t/j/job-000001").is_some(), "{}", world.trace());
    assert!(world.now < gone + 9000, "{} ms after it went", world.now - gone);
    assert_no_breaches(&world);
}

#[test]
fn a_gang_stays_known_when_the_version_before_comes_back() {
    // Guard: an unknown word in a stored record never turns an accepted job into 404.
    let mut world = before(Size::default());
    for node in 0..3 {
        replace(&mut world, node, Features::default(), 1000);
        world.run(3000);
    }
    world.run_ms = 30_000;
    submitted(&mut world, &gang(1, 1, 2), 20_000);
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 2),
        "{}",
        world.trace()
    );
    let owner = world.owner_of_team(1);
    replace(&mut world, owner, Features::before_gangs(), 500);
    world.run(15_000);
    for node in 0..3 {
        let polled = world.poll(node, "job-000001");
        world.run(2000);
        assert!(matches!(world.status(polled), 200 | 503), "{}", world.trace());
    }
    let request = world.submit((owner + 1) % 3, &gang(2, 1, 2));
    world.run(500);
    assert_eq!(world.status(request), 503, "{}", world.trace());
    replace(&mut world, owner, Features::default(), 500);
    world.run_ms = 3000;
    assert!(
        world.run_until(90_000, |w| is_done(w, "job-000001")),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

#[test]
fn a_job_of_a_later_version_is_known() {
    // Guard: a record with words that this version does not know still tells the job's state.
    let mut world = World::new();
    let record = json!({ "epoch": 1, "at": 0, "st": "queued", "n": 2, "team": "team-0", "size": [1.0, 0.0, 1.0],
        "spec": { "shape": "swarm" } });
    world.store.put("t/j/job-000777", record);
    world.run(3000);
    let polled = world.user(
        0,
        tidelatch_core::Method::Get,
        "/submissions/job-000777",
        "",
        ("job-000777".into(), "health"),
    );
    world.run(500);
    assert_eq!(
        (world.status(polled), world.said(polled)),
        (200, "queued".to_owned()),
        "{}",
        world.trace()
    );
}

/// The tightest that is expected, with the longest names.
fn tight() -> Size {
    Size {
        teams: 16,
        guarantee: 10.0,
        limit: 60.0,
        write_rps: 25.0,
        value_kb: 4.0,
        next: Some((18.0, 2.0, 4)),
        long_names: 150,
        ..Size::default()
    }
}

fn team(world: &World, body: Value, at: usize) -> Value {
    let mut body = body;
    body["crew"] = json!(world.team(at));
    body
}

#[test]
fn everything_that_is_written_fits_two_kib_and_four_changes() {
    // Guard: the limits fall without notice, so nothing larger is ever sent.
    let mut world = World::sized(&Operator::default(), tight());
    world.cloud.most = 150;
    world.cloud.prefix = format!("n-{}-", "long-name-".repeat(5));
    world.store.limits = Some((2048, 4));
    world.run(3000);
    for i in 0..16u32 {
        let body = match i % 4 {
            0 => job(i + 1, 0, "standing", 6),
            1 => gang(i + 1, 0, 5),
            _ => job(i + 1, 0, "sweep", 30),
        };
        let body = team(&world, body, i as usize);
        world.accepted(i as usize % 3, &body);
    }
    world.run(40_000);
    let owner = world.owner_of_team(0);
    world.crash(owner);
    world.run(8000);
    world.start(owner);
    let over = |w: &World| {
        (0..16)
            .filter(|i| i % 4 != 0)
            .all(|i| is_done(w, &format!("job-{:06}", i + 1)))
    };
    assert!(world.run_until(240_000, over), "{}", world.trace());
    world.run(9000);
    for i in [1, 5, 9, 13] {
        world.withdraw(0, &format!("job-{i:06}"));
    }
    world.run(120_000);
    assert!(world.store.refused.is_empty(), "{:?}", world.store.refused.first());
    let (bytes, changes) = world.store.largest;
    assert!(bytes > 500 && changes > 1, "{bytes} bytes, {changes} changes");
    assert!(
        world.roster().len() < 10,
        "machines were returned: {}\n{}",
        world.roster().len(),
        world.trace()
    );
    assert_no_breaches(&world);
}

#[test]
fn what_is_too_long_to_be_stored_is_refused_at_once() {
    let mut world = World::sized(&Operator::default(), tight());
    world.run(3000);
    let mut long = team(&world, job(1, 0, "sweep", 1), 0);
    long["models"] = json!(vec!["m2".to_owned() + &"x".repeat(60); 40]);
    long["models"][0] = json!("m2");
    let request = world.submit(0, &long);
    world.run(500);
    assert_eq!(world.status(request), 422, "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn full_groups_of_the_version_before_are_taken_apart_once_limits_have_fallen() {
    // Guard: they stay readable, but no value of their size can be written. A machine that leaves one, for
    // another partition or for good, still has to leave the roster.
    let size = Size {
        guarantee: 100.0,
        limit: 200.0,
        next: Some((42.0, 2.0, 4)),
        ..Size::default()
    };
    let mut world = before(size);
    world.cloud.most = 120;
    world.cloud.prefix = format!("n-{}-", "long-name-".repeat(12));
    world.accepted(0, &job(1, 0, "standing", 180));
    assert!(
        world.run_until(60_000, |w| w.running("job-000001") == 180),
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
    for node in 0..3 {
        replace(&mut world, node, Features::default(), 500);
        world.run(2000);
    }
    world.store.limits = Some((2048, 4));
    world.run(15_000);
    assert_eq!(world.running("job-000001"), 180, "{}", world.trace());
    let machines = world.roster().len();
    // One of them dies, alone.
    let victim = world.machines_of("job-000001").into_iter().nth(7).expect("it runs");
    if let Some(w) = world.workers.get_mut(&victim) {
        w.hanging = true;
    }
    let gone = |w: &World| !w.roster().contains(&victim);
    assert!(world.run_until(60_000, gone), "{}", world.trace());
    assert!(world.roster().len() + 3 >= machines, "nothing else has left");
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 180),
        "{}",
        world.trace()
    );
    // Steps were taken, and no trace of them is left; nothing has changed for the machines.
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
    // A take-over in the middle of what is left finds them all; then they go.
    let owner = world.owner_of_team(0);
    world.crash(owner);
    world.run(9000);
    world.start(owner);
    world.run(9000);
    assert_eq!(world.running("job-000001"), 180, "{}", world.trace());
    world.withdraw(0, "job-000001");
    assert!(
        world.run_until(120_000, |w| w.roster().len() <= 2),
        "{}\n{}",
        world.roster().len(),
        world.trace()
    );
    assert!(world.store.refused.is_empty(), "{:?}", world.store.refused.first());
    assert_no_breaches(&world);
}

#[test]
fn a_limit_below_the_one_that_was_told_is_found_out() {
    // Guard: a change that was refused as too large is not sent again unchanged for ever.
    let size = Size {
        guarantee: 100.0,
        limit: 200.0,
        ..Size::default()
    };
    let mut world = World::sized(&Operator::default(), size);
    world.cloud.most = 120;
    world.store.limits = Some((400, 2));
    world.run(3000);
    world.accepted(0, &job(1, 0, "standing", 120));
    assert!(
        world.run_until(90_000, |w| w.running("job-000001") == 120),
        "{}",
        world.trace()
    );
    world.withdraw(0, "job-000001");
    assert!(world.run_until(120_000, |w| w.roster().is_empty()), "{}", world.trace());
    let refused = world.store.refused.len();
    assert!((1..20).contains(&refused), "{refused}");
    assert_no_breaches(&world);
}

#[test]
fn a_rate_that_falls_costs_no_lease_and_no_job() {
    let size = Size {
        guarantee: 60.0,
        limit: 120.0,
        write_rps: 25.0,
        value_kb: 4.0,
        next: Some((12.0, 2.0, 4)),
        ..Size::default()
    };
    let mut world = World::sized(&Operator::default(), size);
    world.cloud.most = 150;
    world.store.rate = Some(12.0);
    world.run(3000);
    for i in 1..40u32 {
        let body = if i % 3 == 0 {
            gang(i, i % 3, 3)
        } else {
            job(i, i % 3, "sweep", 10)
        };
        submitted(&mut world, &body, 30_000);
    }
    let over = |w: &World| (1..40).all(|i| is_done(w, &format!("job-{i:06}")));
    assert!(world.run_until(240_000, over), "{}", world.trace());
    assert!(!world.trace().contains("lease lost"), "{}", world.trace());
    let slowed = world.store.slowed;
    assert!(
        (1..14).contains(&slowed),
        "{slowed} of {} requests got 429",
        world.sent.state_requests
    );
    assert_no_breaches(&world);
}

/// The records of the version before gangs, field by field.
mod was {
    use serde::Deserialize;
    use serde_json::Value;
    use std::collections::BTreeMap;

    /// What is wrong with a value in that version's eyes.
    pub fn check<T: for<'de> Deserialize<'de>>(value: &Value) -> Option<String> {
        serde_json::from_value::<T>(value.clone())
            .err()
            .map(|fault| fault.to_string())
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
    pub struct Holding {
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
        parts: Vec<Holding>,
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
    pub enum Stored {
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
        st: Stored,
        n: u32,
        team: String,
        size: [f64; 3],
        #[serde(default)]
        spec: Option<JobSpec>,
    }
}
