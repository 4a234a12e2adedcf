//! Checks that this version reads what the version in production has stored. The files in `kept/` are fixtures: values
//! that the commit named in `deploy/service.toml` wrote in a simulated deployment of three controllers. A change that
//! names another commit there has to generate them again with the code of that commit.
//!
//! `before_gangs.json` is from a large deployment, which `tests/upgrade.rs` also uses. `production.json` adds what that
//! one lacks: spot machines, a machine that was handed over, a bitmap in two chunks, and jobs of all priorities.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use tidelatch_core::Method;
use tidelatch_core::jobs::{JobRecord, bits_from_hex};
use tidelatch_core::membership::{EpochRecord, LeaderRecord, MemberRecord};
use tidelatch_core::protocol::MachineTypes;
use tidelatch_core::roster::{BootEntry, GroupRecord};
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::is_stored_as_done;
use tidelatch_standin::{DeploymentSize, World, job};

/// Values as the production commit stored them.
#[derive(Deserialize)]
struct Fixture {
    /// The commit whose code wrote them.
    made_by: String,
    /// The largest value of that deployment's state service, in KiB.
    value_kb: f64,
    /// The values of all keys.
    values: BTreeMap<String, Value>,
}

impl Fixture {
    fn load(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/kept").join(name);
        let text = std::fs::read_to_string(path).expect("the fixture is kept");
        serde_json::from_str(&text).expect("the fixture is valid JSON of this form")
    }

    /// The values whose keys begin with a prefix, with the rest of their keys.
    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let values = self.values.iter();
        values.filter_map(move |(key, value)| Some((key.strip_prefix(prefix)?, value)))
    }

    /// Tasks of a job that are done by its stored bitmap, which is split into chunks of `chunk_bits` bits.
    fn done_tasks(&self, partition: u32, id: &str, chunk_bits: u32) -> BTreeSet<u32> {
        let prefix = format!("d/{partition}/{id}/");
        let mut done = BTreeSet::new();
        for (chunk, bitmap) in self.with_prefix(&prefix) {
            let first = chunk.parse::<u32>().expect("a chunk's number") * chunk_bits;
            let bits = bits_from_hex(bitmap.as_str().expect("hexadecimal digits"));
            done.extend(bits.into_iter().map(|bit| first + bit));
        }
        done
    }

    /// Starts a deployment of this version with these values, but without the keys that are deleted when their
    /// controllers' leases end.
    fn restart(&self) -> World {
        let size = DeploymentSize {
            guaranteed_accelerators: 60.0,
            max_accelerators: 200.0,
            value_kb: self.value_kb,
            ..DeploymentSize::default()
        };
        let mut world = World::with_size(&Operator::default(), size);
        world.cloud.max_machines = 200;
        let is_leased = |key: &str| key == "t/c/leader" || key.starts_with("t/c/member/");
        for (key, value) in self.values.iter().filter(|(key, _)| !is_leased(key)) {
            world.store.set_key(key, value.clone());
        }
        world
    }
}

/// All fixtures with their file names.
fn fixtures() -> [(&'static str, Fixture); 2] {
    ["before_gangs.json", "production.json"].map(|name| (name, Fixture::load(name)))
}

/// Reads a value as a record of this version, and checks that no part of it was ignored.
fn assert_reads_completely<T: DeserializeOwned + Serialize>(key: &str, value: &Value) {
    let record: T = serde_json::from_value(value.clone()).unwrap_or_else(|fault| panic!("{key}: {fault}: {value}"));
    let written = serde_json::to_value(&record).expect("a record is JSON");
    assert_eq!(written, *value, "{key}");
}

/// The body of a controller's answer to a poll of a job.
fn poll_job(world: &mut World, id: &str) -> Value {
    let path = format!("/submissions/{id}");
    let polled = world.send_user_request(0, Method::Get, &path, "", (id.to_owned(), "health"));
    world.run_for(500);
    let answer = world.answers.get(&polled);
    let body = answer.and_then(|(_, answer)| serde_json::from_str(&answer.body).ok());
    body.unwrap_or_else(|| panic!("{id}: no answer\n{}", world.trace()))
}

#[test]
fn the_fixtures_are_of_the_commit_in_production() {
    // Guards against fixtures of an older version than the one in production, after another commit was deployed.
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/service.toml");
    let deploy = std::fs::read_to_string(path).expect("the deploy file");
    let production = deploy
        .lines()
        .find_map(|line| line.strip_prefix("production = \"")?.strip_suffix('"'))
        .expect("the deploy file names the commit in production");
    for (name, fixture) in fixtures() {
        assert_eq!(fixture.made_by, production, "{name}");
    }
}

#[test]
fn the_fixtures_hold_every_kind_of_value_that_production_stores() {
    // Guards against fixtures that lack a kind of key, a state or a field, so that the other tests do not cover it.
    let all: Vec<Fixture> = fixtures().into_iter().map(|(_, fixture)| fixture).collect();
    let values = |prefix: &'static str| all.iter().flat_map(move |fixture| fixture.with_prefix(prefix));
    for prefix in [
        "t/c/epoch",
        "t/c/leader",
        "t/c/member/",
        "t/y",
        "t/j/",
        "t/m/",
        "t/u/",
        "d/",
    ] {
        assert!(values(prefix).next().is_some(), "no key under {prefix}");
    }
    for state in ["queued", "done", "withdrawn"] {
        assert!(values("t/j/").any(|(_, job)| job["st"] == state), "no job is {state}");
    }
    for (field, values_of_field) in [
        ("shape", ["sweep", "standing"].as_slice()),
        ("precedence", &["prod", "urgent", "normal", "low"]),
    ] {
        for word in values_of_field {
            assert!(
                values("t/j/").any(|(_, job)| job["spec"][field] == *word),
                "{field}: {word}"
            );
        }
    }
    for field in ["yard", "models", "dueS"] {
        assert!(values("t/j/").any(|(_, job)| !job["spec"][field].is_null()), "{field}");
    }
    assert!(values("t/m/").any(|(_, group)| group["spot"] == true), "spot machines");
    assert!(
        values("t/m/").any(|(name, _)| name.contains('.')),
        "a machine that was handed over"
    );
    assert!(values("d/").any(|(key, _)| key.ends_with("/1")), "a second chunk");
    let mut epochs = values("t/c/epoch");
    let has_waiting_owner = |epoch: &Value| {
        epoch["parts"]
            .as_array()
            .is_some_and(|p| p.iter().any(|p| p["wait"] != Value::Array(Vec::new())))
    };
    assert!(
        epochs.any(|(_, epoch)| has_waiting_owner(epoch)),
        "a partition whose owner waits for another controller"
    );
}

#[test]
fn every_field_that_production_stored_is_read() {
    // Guards against a field that this version cannot read or drops: each value is read as a record and has to be the
    // same when it is written again.
    for (_, fixture) in fixtures() {
        for (key, value) in &fixture.values {
            match key.split('/').take(3).collect::<Vec<_>>().as_slice() {
                ["t", "c", "epoch"] => assert_reads_completely::<EpochRecord>(key, value),
                ["t", "c", "leader"] => assert_reads_completely::<LeaderRecord>(key, value),
                ["t", "c", "member"] => assert_reads_completely::<MemberRecord>(key, value),
                ["t", "y"] => assert_reads_completely::<MachineTypes>(key, value),
                ["t", "j", _] => assert_reads_completely::<JobRecord>(key, value),
                ["t", "m", _] => assert_reads_completely::<GroupRecord>(key, value),
                ["t", "u", _] => assert_reads_completely::<BTreeMap<String, BootEntry>>(key, value),
                ["d", _, _] => assert!(!bits_from_hex(value.as_str().expect(key)).is_empty(), "{key}"),
                _ => panic!("{key}: unknown kind of key"),
            }
        }
    }
}

#[test]
fn each_partition_is_taken_over_with_its_jobs_and_machines() {
    // Guards against jobs or machines that a takeover by this version overlooks in the records of production.
    for (name, fixture) in fixtures() {
        let mut world = fixture.restart();
        world.run_for(9000);
        let before = fixture.values["t/c/epoch"]["n"].as_u64();
        assert!(Some(world.epoch()) > before, "{name}");
        for partition in 0..3 {
            let machines: usize = fixture
                .with_prefix("t/m/")
                .filter(|(_, group)| group["part"] == partition)
                .map(|(_, group)| group["m"].as_object().map_or(0, |machines| machines.len()))
                .sum();
            let team = format!("team-{partition}");
            let is_unfinished = |(_, job): &(&str, &Value)| job["team"] == team && job["st"] == "queued";
            let jobs = fixture.with_prefix("t/j/").filter(is_unfinished).count();
            let expected_line =
                format!("acting for partition {partition}: {jobs} unfinished jobs, {machines} machines in the roster");
            assert!(
                world.trace().contains(&expected_line),
                "{name}: {expected_line}\n{}",
                world.trace()
            );
        }
    }
}

#[test]
fn users_are_told_what_production_stored_of_their_jobs() {
    // Guards against users who are told another state after the upgrade than production stored.
    for (name, fixture) in fixtures() {
        let mut world = fixture.restart();
        world.run_for(9000);
        for (id, record) in fixture.with_prefix("t/j/") {
            let said = poll_job(&mut world, id);
            let stored = record["st"].as_str().expect("a state");
            // A job that was stored as queued may run by now.
            let is_expected = said["status"] == stored || (stored == "queued" && said["status"] == "running");
            assert!(is_expected, "{name}: {id}: {said}, stored {record}");
            if stored == "done" {
                assert_eq!(said["done"], record["n"], "{name}: {id}");
            }
        }
    }
}

#[test]
fn tasks_that_production_counted_as_done_do_not_run_again() {
    // Guards against completed tasks that run again, because this version reads the stored bitmaps, or their division
    // into chunks, differently.
    let fixture = Fixture::load("production.json");
    let chunk_bits = (fixture.value_kb * 1024.0 * 0.75) as u32 * 4;
    let done = fixture.done_tasks(1, "job-000002", chunk_bits);
    assert!(
        done.range(chunk_bits..).next().is_some(),
        "the second chunk has tasks that are done"
    );
    let mut world = fixture.restart();
    world.run_for(9000);
    let said = poll_job(&mut world, "job-000002");
    assert_eq!(said["done"].as_u64(), Some(done.len() as u64), "{}", world.trace());
    assert!(
        world.run_until(200_000, |w| is_stored_as_done(w, "job-000007")
            && is_stored_as_done(w, "job-000008")),
        "{}",
        world.trace()
    );
    let started: Vec<u32> = world
        .trace()
        .split("starts job-000002/")
        .skip(1)
        .filter_map(|rest| rest.split_whitespace().next()?.parse().ok())
        .collect();
    assert!(!started.is_empty(), "{}", world.trace());
    assert!(started.iter().all(|task| !done.contains(task)), "{started:?}");
}

#[test]
fn stored_machine_types_are_used_while_the_cloud_is_down() {
    // Guards against submissions that are refused after an upgrade while the cloud is down: the machine types that
    // production stored are enough to accept them.
    let fixture = Fixture::load("production.json");
    let mut world = fixture.restart();
    world.cloud.is_down = true;
    world.run_for(9000);
    let request = world.submit(0, &job(50, 0, "sweep", 1));
    world.run_for(500);
    assert_eq!(world.http_status(request), 201, "{}", world.trace());
}
