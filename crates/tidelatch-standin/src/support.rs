//! What the tests of several files share: worlds to begin with, and checks at the end.

use crate::world::{World, job};
use std::path::Path;

/// Checks that no rule was broken.
///
/// # Panics
///
/// If one was: with the breaches and the trace.
pub fn assert_no_breaches(world: &World) {
    assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.trace());
}

/// Compares a world's trace with the one kept in `traces/` under this name, and checks that no rule was broken.
/// With `UPDATE_TRACES` in the environment the trace is written anew.
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
        std::fs::write(&path, world.trace()).expect("the trace is written");
    }
    let kept = std::fs::read_to_string(&path).expect("the trace is kept");
    assert_eq!(
        kept,
        world.trace(),
        "the trace {name} differs; UPDATE_TRACES=1 writes it anew"
    );
}

/// A world in which a team's service of two replicas, `job-000001`, runs.
///
/// # Panics
///
/// If it does not run within 30 s.
pub fn with_service(team: u32) -> World {
    let mut world = World::new();
    world.run(3000);
    world.accepted(0, &job(1, team, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 2),
        "{}",
        world.trace()
    );
    world
}

/// Whether a job is stored as done.
pub fn is_done(world: &World, id: &str) -> bool {
    world.store.get(&format!("t/j/{id}")).is_some_and(|j| j["st"] == "done")
}
