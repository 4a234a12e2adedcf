//! Machines that come up late or never: when others are rented in their place, and what becomes of them.

use tidelatch_standin::{Cloud, World, job};

fn sound(world: &World) {
    assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.trace());
}

/// Machines that were rented so far.
fn rented(world: &World) -> usize {
    world.cloud.machines.len() + world.cloud.deleted.len()
}

#[test]
fn a_machine_that_never_comes_up_is_replaced_before_it_is_given_up() {
    // Guard: a machine later than usual is no room to come (`BootTimes::discounted`).
    let mut world = World::new();
    world.run(3000);
    world.cloud.next_boots = [None].into();
    world.accepted(0, &job(1, 0, "standing", 1));
    assert!(world.run_until(12_000, |w| rented(w) == 2), "{}", world.trace());
    assert!(world.cloud.deleted.is_empty(), "{}", world.trace());
    let runs = |w: &World| w.running("job-000001") == 1;
    assert!(world.run_until(12_000, runs), "{}", world.trace());
    assert_eq!(rented(&world), 2, "{}", world.trace());
    // It is deleted once it is clear that it won't come up: another, rented later, has.
    assert!(
        world.run_until(20_000, |w| w.cloud.deleted.len() == 1),
        "{}",
        world.trace()
    );
    sound(&world);
}

#[test]
fn a_period_of_slow_boots_causes_no_rental_storm_and_no_deletion() {
    // Guard: without one that came up sooner, only a part of the late machines is replaced at a time, and a
    // machine that is wanted is not deleted for being slow with all others.
    let mut world = World::new();
    world.run(3000);
    world.cloud.boot_ms = 5 * Cloud::BOOT_MS;
    for team in 0..3 {
        world.accepted(team as usize, &job(1 + team, team, "sweep", 4));
    }
    world.run(5 * Cloud::BOOT_MS);
    let wanted = 6;
    assert!(rented(&world) <= wanted + 3, "{}", world.trace());
    assert!(world.cloud.deleted.is_empty(), "{}", world.trace());
    for id in 1..=3 {
        let key = format!("t/j/job-{id:06}");
        let done = |w: &World| w.store.get(&key).is_some_and(|j| j["st"] == "done");
        assert!(world.run_until(40_000, done), "{}", world.trace());
    }
    sound(&world);
}

#[test]
fn a_machine_that_comes_up_late_is_used() {
    // Guard: that others were rented in its place is no reason to delete a machine while work waits for it.
    let mut world = World::new();
    world.run(3000);
    world.cloud.most = 1;
    world.cloud.next_boots = [Some(5 * Cloud::BOOT_MS)].into();
    world.accepted(0, &job(1, 0, "standing", 1));
    let runs = |w: &World| w.running("job-000001") == 1;
    assert!(world.run_until(30_000, runs), "{}", world.trace());
    assert_eq!(rented(&world), 1, "{}", world.trace());
    sound(&world);
}
