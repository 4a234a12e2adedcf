//! Requests that the network delivers a second time, long after they were carried out, while machines have changed
//! hands in between. The checker of the simulation checks all rules.

use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::{GroupOrder, assert_no_breaches, hand_over_in_store};
use tidelatch_standin::{CANCEL_MS, Delivery, Message, World, job};

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

/// Starts a deployment with these network faults whose first machine is idle, in the partition of team 0.
fn world_with_idle_machine(
    max_machines: usize,
    injector: impl FnMut(&Message<'_>) -> Delivery + 'static,
) -> (World, String) {
    // Idle machines stay for a minute.
    let operator = Operator {
        idle_per_boot: 20.0,
        ..Operator::default()
    };
    let mut world = World::with_operator(&operator);
    world.set_fault_injector(injector);
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
    let (mut world, machine) = world_with_idle_machine(2, |_| Delivery::Pass);
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
    let (mut world, machine) = world_with_idle_machine(1, |_| Delivery::Pass);
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

/// The machine that is rented first.
const FIRST_MACHINE: &str = "n-000001";
/// When the repeat of the transaction that entered the first machine in the roster arrives, in milliseconds.
const ROSTER_REPEAT_AT_MS: u64 = 36_000;

/// Whether a message is the transaction that enters the first machine in the roster as one that was rented.
fn is_first_roster_write(message: &Message<'_>) -> bool {
    message.request == "POST /txn" && message.body.contains(&format!("\"write\":\"t/m/{FIRST_MACHINE}\""))
}

/// Has the network deliver the first machine's roster transaction a second time at `ROSTER_REPEAT_AT_MS`, and lose all
/// commands and answers to that machine from shortly before then on, for less than a worker's lease.
fn repeat_roster_write_with_deaf_machine() -> impl FnMut(&Message<'_>) -> Delivery + 'static {
    let deaf = ROSTER_REPEAT_AT_MS - 300..ROSTER_REPEAT_AT_MS + 15_700;
    let mut is_repeated = false;
    move |message| {
        let is_to_machine = message.to == FIRST_MACHINE;
        if deaf.contains(&message.sent_ms) && (is_to_machine || message.from == FIRST_MACHINE) {
            return if is_to_machine {
                Delivery::Lost
            } else {
                Delivery::AnswerLost
            };
        }
        if is_first_roster_write(message) && !std::mem::replace(&mut is_repeated, true) {
            return Delivery::Copied(ROSTER_REPEAT_AT_MS - message.sent_ms);
        }
        Delivery::Pass
    }
}

/// Guards against a task that runs on two machines because the repeated write of a new machine group, which had been
/// deleted when its machine was lent, took the machine back and hid it from the takeover of its owner.
#[test]
fn a_repeated_write_of_a_deleted_machine_group_does_not_hide_a_lent_machine_from_a_takeover() {
    let (mut world, machine) = world_with_idle_machine(2, repeat_roster_write_with_deaf_machine());
    assert_eq!(machine, FIRST_MACHINE);
    assert_eq!(run_job(&mut world, 1, 1, "sweep"), machine, "{}", world.trace());
    assert_eq!(owner_of_machine(&world, &machine), Some(1), "{}", world.trace());
    // The same partition has a second machine, which is idle.
    assert_ne!(run_job(&mut world, 2, 1, "sweep"), machine, "{}", world.trace());
    cancel(&mut world, "job-000002");
    let crash_at = ROSTER_REPEAT_AT_MS - 300;
    assert!(
        world.now + 1000 < crash_at,
        "the repeat came too early\n{}",
        world.trace()
    );
    world.run_for(crash_at - world.now);
    for controller in 0..3 {
        world.crash_controller(controller);
    }
    world.run_for(6000);
    assert_eq!(owner_of_machine(&world, &machine), Some(1), "{}", world.trace());
    for controller in 0..3 {
        world.start_controller(controller);
    }
    world.run_for(60_000);
    assert_no_breaches(&world);
}

/// Guards against a machine that is taken from its owner, and whose tasks are stopped, by the first copy of the write of
/// its first machine group, which is carried out after the second one and after the group has been deleted.
#[test]
fn a_late_write_of_a_deleted_machine_group_does_not_take_a_lent_machine_from_its_owner() {
    let mut is_delayed = false;
    let injector = move |message: &Message<'_>| {
        if is_first_roster_write(message) && !std::mem::replace(&mut is_delayed, true) {
            return Delivery::Late(30_000);
        }
        Delivery::Pass
    };
    let (mut world, machine) = world_with_idle_machine(1, injector);
    assert_eq!(run_job(&mut world, 1, 1, "sweep"), machine, "{}", world.trace());
    world.run_for(40_000);
    assert!(
        world.now > 45_000,
        "the late write has not arrived yet\n{}",
        world.trace()
    );
    assert_eq!(owner_of_machine(&world, &machine), Some(1), "{}", world.trace());
    let starts = world.trace().matches("starts job-000001/0").count();
    assert_eq!((starts, world.running_tasks("job-000001")), (1, 1), "{}", world.trace());
    assert_no_breaches(&world);
}

/// Machine groups that are stored.
fn stored_groups(world: &World) -> usize {
    world.store.keys("t/m/").len()
}

/// Guards against a state service that fills up with machine groups without machines: each machine that is lent leaves
/// one behind, which is kept only until no copy of a write can create it again.
#[test]
fn machine_groups_without_machines_are_deleted_while_one_controller_leads() {
    let (mut world, machine) = world_with_idle_machine(1, |_| Delivery::Pass);
    for id in 100..180 {
        let team = (id + 1) % 2;
        assert_eq!(run_job(&mut world, id, team, "sweep"), machine, "{}", world.trace());
        cancel(&mut world, &format!("job-{id:06}"));
        world.run_for(2500);
    }
    assert!(
        world.run_until(60_000, |w| stored_groups(w) < 32),
        "{} groups\n{}",
        stored_groups(&world),
        world.trace()
    );
    assert_eq!(world.epoch(), 1, "{}", world.trace());
    assert_eq!(world.trace().matches("became leader").count(), 1, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against groups without machines that stay for ever in a small deployment, where few machines are lent. They
/// can be deleted once the epoch has changed.
#[test]
fn machine_groups_without_machines_are_deleted_after_a_change_of_epoch() {
    let (mut world, machine) = world_with_idle_machine(1, |_| Delivery::Pass);
    assert_eq!(run_job(&mut world, 1, 1, "sweep"), machine, "{}", world.trace());
    world.run_for(30_000);
    assert_eq!(stored_groups(&world), 2, "the empty group is kept\n{}", world.trace());
    let controller = world.owner_of_team(2);
    world.crash_controller(controller);
    world.run_for(10_000);
    world.start_controller(controller);
    assert!(
        world.run_until(30_000, |w| stored_groups(w) == 1),
        "{:?}\n{}",
        world.store.keys("t/m/"),
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against a machine that the roster lists for good although the cloud has deleted it, because the write of its
/// machine group was repeated after its deletion. Its group is not kept, as no machine has left it for another one.
#[test]
fn a_repeated_write_of_the_group_of_a_deleted_machine_leaves_nothing_behind() {
    let mut world = World::new();
    let mut is_repeated = false;
    world.set_fault_injector(move |message| {
        if is_first_roster_write(message) && !std::mem::replace(&mut is_repeated, true) {
            return Delivery::Copied(40_000);
        }
        Delivery::Pass
    });
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 1));
    let is_deleted = |w: &World| w.cloud.deleted.contains(FIRST_MACHINE) && w.roster().is_empty();
    assert!(world.run_until(30_000, is_deleted), "{}", world.trace());
    world.submit_until_accepted(0, &job(2, 0, "standing", 1));
    let is_back = world.run_until(30_000, |w| w.roster().contains(&FIRST_MACHINE.to_owned()));
    assert!(is_back, "{}", world.trace());
    let is_gone = world.run_until(60_000, |w| !w.roster().contains(&FIRST_MACHINE.to_owned()));
    assert!(is_gone, "{}", world.trace());
    assert_eq!(world.running_tasks("job-000002"), 1, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Ages of a repeated start in milliseconds: just over three workers' leases, five minutes, and half an hour.
const REPEAT_AGES_MS: [u64; 3] = [57_000, 300_000, 1_800_000];

/// Has the task of `REPEATED_JOB` started on an idle machine by a direct command that is delivered again `age_ms` later.
/// Returns the time by which that has been, in milliseconds.
fn start_with_repeat(world: &mut World, machine: &str, age_ms: u64) -> u64 {
    let sent = repeat_direct_start(world, age_ms);
    world.submit_until_accepted(0, &whole_machine_job(2, 0, "sweep"));
    let runs = world.run_until(5000, |w| w.running_tasks(REPEATED_JOB) == 1);
    assert!(runs, "{}", world.trace());
    assert_eq!(world.machines_of(REPEATED_JOB), [machine]);
    assert_eq!(sent.get(), 1, "one direct start\n{}", world.trace());
    world.now + age_ms
}

/// Guards against a task of a cancelled job that starts because its attempt was forgotten after some time, although
/// the worker still accepts the command that started it.
#[test]
fn a_repeated_direct_start_of_a_cancelled_job_has_no_effect_at_any_age() {
    for age_ms in REPEAT_AGES_MS {
        let (mut world, machine) = world_with_idle_machine(1, |_| Delivery::Pass);
        let repeated_at = start_with_repeat(&mut world, &machine, age_ms);
        cancel(&mut world, REPEATED_JOB);
        // Another job keeps the machine in use.
        world.submit_until_accepted(0, &job(3, 0, "standing", 1));
        world.run_for(repeated_at + 5000 - world.now);
        let start = format!("{machine} starts {REPEATED_JOB}/0");
        assert_eq!(world.trace().matches(&start).count(), 1, "{age_ms}\n{}", world.trace());
        assert_no_breaches(&world);
    }
}

/// Guards against a task that runs on two machines because its first attempt was forgotten after some time, although
/// the worker still accepts the command that started it.
#[test]
fn a_repeated_direct_start_has_no_effect_at_any_age_while_its_task_runs_elsewhere() {
    for age_ms in REPEAT_AGES_MS {
        let (mut world, machine) = world_with_idle_machine(2, |_| Delivery::Pass);
        world.run_ms = 7_200_000;
        let repeated_at = start_with_repeat(&mut world, &machine, age_ms);
        // Production work of the same team takes the machine, and the task goes on elsewhere.
        assert_eq!(run_job(&mut world, 3, 0, "standing"), machine, "{}", world.trace());
        let has_moved = world.run_until(30_000, |w| w.running_tasks(REPEATED_JOB) == 1);
        assert!(has_moved, "{}", world.trace());
        cancel(&mut world, "job-000003");
        world.submit_until_accepted(0, &job(4, 0, "standing", 1));
        world.run_for(repeated_at + 5000 - world.now);
        let start = format!("{machine} starts {REPEATED_JOB}/0");
        assert_eq!(world.trace().matches(&start).count(), 1, "{age_ms}\n{}", world.trace());
        assert_no_breaches(&world);
    }
}

/// A job with this many tasks, of which ten fit on a machine.
fn small_tasks(id: u32, team: u32, tasks: u32) -> Value {
    let mut submission = job(id, team, "sweep", tasks);
    submission["vcpus"] = json!(2.0);
    submission["accelerators"] = json!(0.0);
    submission["ramGb"] = json!(1.0);
    submission
}

/// Guards against machines that list ended attempts for ever, and against a repeated start that is executed once they
/// are forgotten: with a newer epoch, which changes no owner, the machine refuses what came before it.
#[test]
fn ended_attempts_are_forgotten_once_the_epoch_is_raised_and_repeats_are_refused() {
    let (mut world, machine) = world_with_idle_machine(1, |_| Delivery::Pass);
    let repeated_at = start_with_repeat(&mut world, &machine, 420_000);
    cancel(&mut world, REPEATED_JOB);
    let owners = world.store.get("t/c/epoch").expect("an epoch")["parts"].clone();
    world.submit_until_accepted(0, &job(3, 0, "standing", 1));
    world.run_ms = 1000;
    world.submit_until_accepted(0, &small_tasks(4, 0, 400));
    let listed = |w: &World| w.workers.get(&machine).map_or(0, |worker| worker.attempts.len());
    assert!(world.run_until(120_000, |w| listed(w) > 100), "{}", world.trace());
    assert_eq!(world.epoch(), 1, "{}", world.trace());
    let is_forgotten = |w: &World| w.epoch() == 2 && listed(w) < 20;
    assert!(
        world.run_until(200_000, is_forgotten),
        "{} attempts\n{}",
        listed(&world),
        world.trace()
    );
    assert_eq!(world.store.get("t/c/epoch").expect("an epoch")["parts"], owners);
    let lists_repeated = world.workers[&machine]
        .attempts
        .keys()
        .any(|(task, _)| task.starts_with(REPEATED_JOB));
    assert!(!lists_repeated, "{}", world.trace());
    world.run_for(repeated_at + 5000 - world.now);
    let start = format!("{machine} starts {REPEATED_JOB}/0");
    let starts = world.trace().matches(&start).count();
    assert_eq!((starts, world.running_tasks("job-000003")), (1, 1), "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against starts that wait for reports for good, and against attempts that are forgotten after all, while the
/// epoch cannot be raised because the state service is out.
#[test]
fn ended_attempts_stay_listed_while_the_epoch_cannot_be_raised() {
    let (mut world, machine) = world_with_idle_machine(1, |_| Delivery::Pass);
    let repeated_at = start_with_repeat(&mut world, &machine, 300_000);
    cancel(&mut world, REPEATED_JOB);
    world.submit_until_accepted(0, &job(3, 0, "standing", 1));
    world.run_ms = 1000;
    world.submit_until_accepted(0, &small_tasks(4, 0, 1000));
    assert!(
        world.run_until(60_000, |w| w.running_tasks("job-000004") > 0),
        "{}",
        world.trace()
    );
    world.store.is_down = true;
    world.run_for(repeated_at + 5000 - world.now);
    let start = format!("{machine} starts {REPEATED_JOB}/0");
    assert_eq!(world.trace().matches(&start).count(), 1, "{}", world.trace());
    world.store.is_down = false;
    let is_done = |w: &World| w.store.get("t/j/job-000004").is_some_and(|j| j["st"] == "done");
    assert!(world.run_until(600_000, is_done), "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against a task of a cancelled job that starts because a takeover and a hand-over came in one batch of the
/// watch: the new owner took what the machine's previous owner had started under the same epoch for older.
#[test]
fn a_repeated_direct_start_has_no_effect_on_a_machine_handed_over_after_the_epoch_of_a_takeover() {
    let (mut world, machine) = world_with_idle_machine(1, |_| Delivery::Pass);
    world.submit_until_accepted(0, &job(3, 0, "standing", 1));
    world.crash_controller(1);
    world.run_for(12_000);
    // The returning controller stands still from the moment at which the leader can give its partition back.
    world.start_controller(1);
    while world.store.get("t/c/member/berth-1").is_none() {
        world.run_for(1);
    }
    world.pause(1);
    let is_given_back = |w: &World| {
        w.store
            .get("t/c/epoch")
            .is_some_and(|e| e["parts"][1]["owner"] == "berth-1")
    };
    assert!(world.run_until(2000, is_given_back), "{}", world.trace());
    let sent = repeat_direct_start(&mut world, 30_000);
    world.submit_until_accepted(0, &job(2, 0, "sweep", 1));
    let runs = world.run_until(4000, |w| w.running_tasks(REPEATED_JOB) == 1);
    assert!(runs && sent.get() == 1, "{}", world.trace());
    cancel(&mut world, REPEATED_JOB);
    world.run_for(100);
    hand_over_in_store(&mut world, &machine, 1, GroupOrder::NewGroupFirst);
    assert_eq!(owner_of_machine(&world, &machine), Some(1), "{}", world.trace());
    world.resume(1);
    world.run_for(45_000);
    let acts = world
        .trace()
        .matches("berth-1: acting for partition 1: 0 unfinished jobs, 1 machines")
        .count();
    assert_eq!(acts, 1, "{}", world.trace());
    let start = format!("{machine} starts {REPEATED_JOB}/0");
    assert_eq!(world.trace().matches(&start).count(), 1, "{}", world.trace());
    assert_no_breaches(&world);
}
