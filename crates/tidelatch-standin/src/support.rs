//! Helpers shared by several test files: prepared worlds, and assertions for the end of a test.

use crate::world::{World, job};
use serde_json::json;
use std::path::Path;

/// Asserts that no rule was broken.
///
/// # Panics
///
/// If a rule was broken. The message contains the breaches and the trace.
pub fn assert_no_breaches(world: &World) {
    assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
}

/// Asserts that a world's trace equals the stored one, `traces/NAME.txt`, and that no rule was broken. If the
/// environment variable `UPDATE_TRACES` is set, writes the stored trace first.
///
/// # Panics
///
/// If the traces differ, or a rule was broken.
pub fn assert_trace(world: &World, name: &str) {
    assert_no_breaches(world);
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("traces")
        .join(format!("{name}.txt"));
    if std::env::var_os("UPDATE_TRACES").is_some() {
        std::fs::write(&path, world.trace()).expect("the trace file can be written");
    }
    let stored = std::fs::read_to_string(&path).expect("the trace file can be read");
    assert_eq!(
        stored,
        world.trace(),
        "the trace {name} differs from the stored one; UPDATE_TRACES=1 replaces the stored one"
    );
}

/// Returns a world in which `job-000001`, a service of a team with two replicas, runs.
///
/// # Panics
///
/// If the service does not run within 30 s.
pub fn world_with_service(team: u32) -> World {
    let mut world = World::new();
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, team, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 2),
        "{}",
        world.trace()
    );
    world
}

/// Returns whether the state service stores a job as done.
pub fn is_stored_as_done(world: &World, id: &str) -> bool {
    world.store.get(&format!("t/j/{id}")).is_some_and(|j| j["st"] == "done")
}

/// The order of the two machine groups in a transaction that hands a machine over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupOrder {
    /// The group that the machine enters comes first, as controllers write it.
    NewGroupFirst,
    /// The group that the machine leaves comes first.
    OldGroupFirst,
}

/// Writes to the state service what a machine's owner would write to hand the machine over to a partition with the
/// tasks on it, in one transaction.
///
/// # Panics
///
/// If no machine group lists the machine.
pub fn hand_over_in_store(world: &mut World, machine: &str, to: u64, order: GroupOrder) {
    let groups = world.store.keys("t/m/");
    let lists_machine = |key: &&String| world.store.get(key).is_some_and(|g| !g["m"][machine].is_null());
    let key = groups.iter().find(lists_machine).expect("the machine's group").clone();
    let mut remaining = world.store.get(&key).expect("a group").clone();
    let mut moved = remaining.clone();
    moved["part"] = json!(to);
    let mut also = remaining["also"].as_array().cloned().unwrap_or_default();
    also.push(remaining["part"].clone());
    also.retain(|partition| *partition != json!(to));
    moved["also"] = json!(also);
    let worker = &world.workers[machine];
    moved["m"] = json!({ machine: [worker.session, worker.sequence] });
    if let Some(machines) = remaining["m"].as_object_mut() {
        machines.remove(machine);
    }
    remaining["left"] = json!(true);
    let conditions = json!([{ "k": key, "stamp": world.store.key_revision(&key) }]);
    let mut changes = vec![
        json!({ "write": format!("{key}.moved"), "value": moved }),
        json!({ "write": key, "value": remaining }),
    ];
    if order == GroupOrder::OldGroupFirst {
        changes.reverse();
    }
    let body = json!({ "if": conditions, "then": changes }).to_string();
    world.store.request(world.now, "POST", "/txn", &body);
}
