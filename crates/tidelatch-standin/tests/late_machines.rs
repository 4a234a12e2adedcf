//! Machines that boot late or never: when replacements are rented, and when the late machines are deleted.
//!
//! Guards against work that waits for a machine that never boots, and against rentals and deletions of many machines
//! when all boots are slow.

use tidelatch_standin::{Cloud, World, job};

fn assert_no_breaches(world: &World) {
    assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
}

/// Counts the machines that were rented so far.
fn count_rented(world: &World) -> usize {
    world.cloud.machines.len() + world.cloud.deleted.len()
}

/// Guards against work that waits for a machine that never boots: a machine that is later than usual no longer counts
/// as room to come (`BootTimes`).
#[test]
fn a_machine_that_never_comes_up_is_replaced_before_it_is_deleted() {
    let mut world = World::new();
    world.run_for(3000);
    world.cloud.next_boot_times_ms = [None].into();
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    assert!(world.run_until(12_000, |w| count_rented(w) == 2), "{}", world.trace());
    assert!(world.cloud.deleted.is_empty(), "{}", world.trace());
    let runs = |w: &World| w.running_tasks("job-000001") == 1;
    assert!(world.run_until(12_000, runs), "{}", world.trace());
    assert_eq!(count_rented(&world), 2, "{}", world.trace());
    // The machine is deleted once another one that was rented later has come up.
    assert!(
        world.run_until(20_000, |w| w.cloud.deleted.len() == 1),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against a replacement of every machine when all boots are slow: unless another machine has come up sooner,
/// only a part of the late machines is replaced at a time, and a machine that is needed is not deleted for being as
/// slow as all others.
#[test]
fn slow_boots_cause_few_extra_rentals_and_no_deletion() {
    let mut world = World::new();
    world.run_for(3000);
    world.cloud.boot_ms = 5 * Cloud::BOOT_MS;
    for team in 0..3 {
        world.submit_until_accepted(team as usize, &job(1 + team, team, "sweep", 4));
    }
    world.run_for(5 * Cloud::BOOT_MS);
    let needed = 6;
    assert!(count_rented(&world) <= needed + 3, "{}", world.trace());
    assert!(world.cloud.deleted.is_empty(), "{}", world.trace());
    for id in 1..=3 {
        let key = format!("t/j/job-{id:06}");
        let done = |w: &World| w.store.get(&key).is_some_and(|j| j["st"] == "done");
        assert!(world.run_until(40_000, done), "{}", world.trace());
    }
    assert_no_breaches(&world);
}

/// Guards against the deletion of a late machine while work waits for it, only because replacements were to be rented.
#[test]
fn a_machine_that_comes_up_late_is_used() {
    let mut world = World::new();
    world.run_for(3000);
    world.cloud.max_machines = 1;
    world.cloud.next_boot_times_ms = [Some(5 * Cloud::BOOT_MS)].into();
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    let runs = |w: &World| w.running_tasks("job-000001") == 1;
    assert!(world.run_until(30_000, runs), "{}", world.trace());
    assert_eq!(count_rented(&world), 1, "{}", world.trace());
    assert_no_breaches(&world);
}
