//! Requests that the network delivers a second time, long after they were carried out, while machines have changed
//! hands in between. The checker of the simulation checks all rules.

use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::assert_no_breaches;
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

/// The job whose start is repeated.
const REPEATED_JOB: &str = "job-000002";

/// A submission whose only task takes a whole machine.
fn whole_machine_job(id: u32, team: u32, shape: &str) -> Value {
    let mut submission = job(id, team, shape, 1);
    submission["vcpus"] = json!(24.0);
    submission["accelerators"] = json!(2.0);
    submission["ramGb"] = json!(144.0);
    submission
}

/// Submits a job whose only task takes a whole machine, and waits until it runs. Returns its machine.
fn run_job(world: &mut World, id: u32, team: u32, shape: &str) -> String {
    world.submit_until_accepted(0, &whole_machine_job(id, team, shape));
    let name = format!("job-{id:06}");
    let runs = world.run_until(30_000, |w| w.running_tasks(&name) == 1);
    assert!(runs, "{name} does not run\n{}", world.trace());
    world.machines_of(&name).pop().expect("a machine")
}

/// Cancels a job and waits until its user is told.
fn cancel(world: &mut World, id: &str) {
    for controller in 0..30 {
        let request = world.cancel(controller % 3, id);
        world.run_for(300);
        if world.http_status(request) == 200 {
            return;
        }
    }
    panic!("{id} is not cancelled\n{}", world.trace());
}

/// The partition that owns a machine, by the stored roster: that of the machine group with the latest revision.
fn owner_of_machine(world: &World, machine: &str) -> Option<u64> {
    let groups = world.store.keys("t/m/");
    let with_machine = groups.iter().filter_map(|key| {
        let record = world.store.get(key)?;
        record["m"].get(machine)?;
        Some((world.store.key_revision(key), record["part"].as_u64()?))
    });
    with_machine.max().map(|(_, partition)| partition)
}

/// Starts a deployment whose first machine is idle, in the partition of team 0.
fn world_with_idle_machine(max_machines: usize) -> (World, String) {
    // Idle machines stay for a minute.
    let operator = Operator {
        idle_per_boot: 20.0,
        ..Operator::default()
    };
    let mut world = World::with_operator(&operator);
    world.run_ms = 600_000;
    world.cloud.max_machines = max_machines;
    world.run_for(3000);
    let machine = run_job(&mut world, 90, 0, "sweep");
    cancel(&mut world, "job-000090");
    world.run_for(3000);
    assert_eq!(owner_of_machine(&world, &machine), Some(0), "{}", world.trace());
    (world, machine)
}

/// Has the network deliver the direct command that starts the task of `REPEATED_JOB` a second time, `delay_ms` after
/// it was sent. Returns how often the command was sent.
fn repeat_direct_start(world: &mut World, delay_ms: u64) -> Rc<Cell<u32>> {
    let sent = Rc::new(Cell::new(0));
    let count = sent.clone();
    world.set_fault_injector(move |message| {
        let is_start = message.request == "POST /commands" && message.body.contains("\"start\"");
        if !is_start || !message.body.contains(REPEATED_JOB) || count.get() > 0 {
            return Delivery::Pass;
        }
        count.set(count.get() + 1);
        Delivery::Copied(delay_ms)
    });
    sent
}

/// Guards against a task that runs on two machines because its first machine was lent to another partition and came
/// back, and the attempt that a direct command had started there was forgotten on its return.
#[test]
fn a_repeated_direct_start_has_no_effect_after_its_machine_was_lent_and_returned() {
    let (mut world, machine) = world_with_idle_machine(2);
    world.cloud.boot_ms = 6000;
    let sent = repeat_direct_start(&mut world, 45_000);
    world.submit_until_accepted(0, &whole_machine_job(2, 0, "sweep"));
    assert!(
        world.run_until(5000, |w| w.running_tasks(REPEATED_JOB) == 1),
        "{}",
        world.trace()
    );
    assert_eq!(world.machines_of(REPEATED_JOB), [machine.as_str()]);
    let repeated_at = world.now + 45_000;
    // Production work of the same team takes the machine, and the task goes on elsewhere.
    assert_eq!(run_job(&mut world, 3, 0, "standing"), machine, "{}", world.trace());
    let moved = world.run_until(20_000, |w| w.running_tasks(REPEATED_JOB) == 1);
    assert!(moved, "{}", world.trace());
    cancel(&mut world, "job-000003");
    world.run_for(2500);
    // The machine goes to another team's partition and back.
    for (id, team) in [(4, 1), (5, 0)] {
        assert_eq!(run_job(&mut world, id, team, "sweep"), machine, "{}", world.trace());
        assert_eq!(
            owner_of_machine(&world, &machine),
            Some(team.into()),
            "{}",
            world.trace()
        );
        cancel(&mut world, &format!("job-{id:06}"));
        world.run_for(2500);
    }
    assert!(
        world.now + 5000 < repeated_at,
        "the repeat came too early\n{}",
        world.trace()
    );
    world.run_for(repeated_at + 5000 - world.now);
    assert_eq!(sent.get(), 1, "one direct start\n{}", world.trace());
    let start = format!("{machine} starts {REPEATED_JOB}/0");
    assert_eq!(world.trace().matches(&start).count(), 1, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against a task of a cancelled job that starts long after its user was told, because its machine was lent
/// meanwhile and the new owner had the attempt forgotten at once, as one of a job that is over.
#[test]
fn a_repeated_direct_start_of_a_cancelled_job_has_no_effect_on_a_lent_machine() {
    let (mut world, machine) = world_with_idle_machine(1);
    let sent = repeat_direct_start(&mut world, CANCEL_MS + 7000);
    world.submit_until_accepted(0, &whole_machine_job(2, 0, "sweep"));
    assert!(
        world.run_until(5000, |w| w.running_tasks(REPEATED_JOB) == 1),
        "{}",
        world.trace()
    );
    cancel(&mut world, REPEATED_JOB);
    assert_eq!(run_job(&mut world, 4, 1, "sweep"), machine, "{}", world.trace());
    assert_eq!(owner_of_machine(&world, &machine), Some(1), "{}", world.trace());
    world.run_for(5000);
    cancel(&mut world, "job-000004");
    world.submit_until_accepted(0, &job(5, 1, "standing", 1));
    world.run_for(CANCEL_MS + 10_000);
    assert_eq!(sent.get(), 1, "one direct start\n{}", world.trace());
    let start = format!("{machine} starts {REPEATED_JOB}/0");
    assert_eq!(world.trace().matches(&start).count(), 1, "{}", world.trace());
    assert_no_breaches(&world);
}
