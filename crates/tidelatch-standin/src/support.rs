//! Helpers shared by several test files: prepared worlds, and assertions for the end of a test.

use crate::world::{World, job};
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
