//! Machines that are transferred to another partition while tasks of the earlier owner's teams run on them.
//!
//! Guards against tasks that are started twice, stopped or forgotten because the machine and the job have different
//! owners, under crashes, pauses and lost messages, and against free room on such machines that no partition uses.

use serde_json::json;
use tidelatch_core::settings::Features;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

/// One task of team 0 and one of team 1, on a machine each. The cloud has no other machine.
const FIRST_JOBS: [&str; 2] = ["job-000001", "job-000002"];
/// A task of team 2, which is placed on one of these machines.
const LATER_JOB: &str = "job-000003";

/// A machine that runs tasks of two partitions.
struct SharedMachine {
    machine: String,
    /// The job whose task ran there before the machine was transferred, and its team.
    earlier_job: &'static str,
    earlier_team: usize,
}

fn assert_no_breaches(world: &World, case: impl std::fmt::Debug) {
    assert!(
        world.breaches.is_empty(),
        "{case:?}: {:?}\n{}",
        world.breaches,
        world.trace()
    );
}

/// Starts a task of team 0 and one of team 1 on the two machines of the cloud.
fn with_two_machines(mut world: World, shape: &str, run_ms: u64) -> World {
    world.run_ms = run_ms;
    world.cloud.max_machines = 2;
    world.run_for(3000);
    for (team, id) in (0..).zip(FIRST_JOBS) {
        world.submit_until_accepted(0, &job(team + 1, team, shape, 1));
        let runs = world.run_until(30_000, |w| w.running_tasks(id) == 1);
        assert!(runs, "{}", world.trace());
    }
    world
}

/// Starts a deployment in which a task of a third team shares one of the two machines.
fn with_shared_machine(shape: &str, run_ms: u64) -> (World, SharedMachine) {
    let mut world = with_two_machines(World::new(), shape, run_ms);
    world.submit_until_accepted(0, &job(3, 2, shape, 1));
    let runs = world.run_until(90_000, |w| w.running_tasks(LATER_JOB) == 1);
    assert!(runs, "{}", world.trace());
    let shared = shared_machine(&world);
    (world, shared)
}

/// Finds the machine of the later job and the earlier job on it.
fn shared_machine(world: &World) -> SharedMachine {
    let machine = world.machines_of(LATER_JOB).pop().expect("a machine");
    let is_on_machine = |id: &&str| world.machines_of(id).contains(&machine);
    let earlier_team = FIRST_JOBS
        .iter()
        .position(is_on_machine)
        .expect("a task of team 0 or 1 on it");
    SharedMachine {
        machine,
        earlier_job: FIRST_JOBS[earlier_team],
        earlier_team,
    }
}

/// Counts how often the only task of a job was started on a machine.
fn count_starts(world: &World, machine: &str, id: &str) -> usize {
    let start = format!("{machine} starts {id}/0");
    world.trace().matches(&start).count()
}

/// Guards against a new owner of the machine that stops the other partition's task instead of keeping it by the roster,
/// and against a new owner of that partition that starts the task again before it has polled the machine.
#[test]
fn tasks_on_a_shared_machine_keep_running_when_any_controller_crashes() {
    for controller in 0..3 {
        for down_ms in [300, 25_000] {
            let (mut world, shared) = with_shared_machine("standing", 600_000);
            world.crash_controller(controller);
            world.run_for(down_ms);
            world.start_controller(controller);
            world.run_for(40_000);
            let case = (controller, down_ms);
            assert_no_breaches(&world, case);
            for id in [shared.earlier_job, LATER_JOB] {
                assert_eq!(
                    world.machines_of(id),
                    std::slice::from_ref(&shared.machine),
                    "{case:?}\n{}",
                    world.trace()
                );
                assert_eq!(
                    count_starts(&world, &shared.machine, id),
                    1,
                    "{case:?} {id}\n{}",
                    world.trace()
                );
            }
        }
    }
}

/// Guards against an owner that continues in the same process after a lost lease and has forgotten where the other
/// partition's job was placed on its machines. It took the machine's next report for a second machine with the task,
/// and stopped it.
#[test]
fn tasks_on_a_shared_machine_keep_running_when_any_controller_pauses_beyond_its_lease() {
    for controller in 0..3 {
        let (mut world, shared) = with_shared_machine("standing", 600_000);
        world.pause(controller);
        world.run_for(33_000);
        world.resume(controller);
        world.run_for(40_000);
        assert_no_breaches(&world, controller);
        let trace = world.trace();
        assert!(!trace.contains("is on a second machine"), "{controller}\n{trace}");
        for id in [shared.earlier_job, LATER_JOB] {
            assert_eq!(
                world.machines_of(id),
                std::slice::from_ref(&shared.machine),
                "{controller}\n{trace}"
            );
            assert_eq!(
                count_starts(&world, &shared.machine, id),
                1,
                "{controller} {id}\n{trace}"
            );
        }
    }
}

/// Guards against tasks that are started again when all controllers restart and only the roster and the machines know
/// of them.
#[test]
fn tasks_on_a_shared_machine_keep_running_when_all_controllers_crash() {
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    (0..3).for_each(|controller| world.crash_controller(controller));
    world.run_for(2000);
    (0..3).for_each(|controller| world.start_controller(controller));
    world.run_for(40_000);
    assert_no_breaches(&world, "all controllers crash");
    for id in [shared.earlier_job, LATER_JOB] {
        assert_eq!(count_starts(&world, &shared.machine, id), 1, "{id}\n{}", world.trace());
    }
}

/// Guards against a completion that is lost or counted twice: the machine's owner neither marks the task as done nor
/// lets the worker forget the result, so that the job's owner, or its successor, finds it there.
#[test]
fn a_completed_task_on_a_shared_machine_is_reported_and_counted_once() {
    for owner_crash in [None, Some(300), Some(25_000)] {
        let (mut world, shared) = with_shared_machine("sweep", 60_000);
        if let Some(down_ms) = owner_crash {
            // The owner crashes while the task runs, and the next owner learns which tasks have ended in the meantime.
            let owner = world.owner_of_team(shared.earlier_team);
            world.run_for(5000);
            world.crash_controller(owner);
            world.run_for(down_ms);
            world.start_controller(owner);
        }
        let done = |w: &World| w.machines_of(shared.earlier_job).is_empty() && w.machines_of(LATER_JOB).is_empty();
        assert!(world.run_until(120_000, done), "{owner_crash:?}\n{}", world.trace());
        world.run_for(10_000);
        for id in [shared.earlier_job, LATER_JOB] {
            let request = world.poll(0, id);
            world.run_for(2000);
            assert_eq!(
                world.job_status(request),
                "done",
                "{owner_crash:?} {id}\n{}",
                world.trace()
            );
            assert_eq!(
                count_starts(&world, &shared.machine, id),
                1,
                "{owner_crash:?} {id}\n{}",
                world.trace()
            );
        }
        assert_no_breaches(&world, owner_crash);
    }
}

/// Guards against tasks of a cancelled job that keep running on a machine of another partition, and against their room
/// that stays unused, also when the owner crashes after the cancellation.
#[test]
fn a_cancelled_job_leaves_a_shared_machine_in_time_and_frees_its_room() {
    for cancelled_is_tenant in [true, false] {
        for crash in [false, true] {
            let case = (cancelled_is_tenant, crash);
            let (mut world, shared) = with_shared_machine("standing", 600_000);
            let (id, team) = if cancelled_is_tenant {
                (shared.earlier_job, shared.earlier_team)
            } else {
                (LATER_JOB, 2)
            };
            let request = world.cancel(0, id);
            world.run_for(1000);
            assert_eq!(world.job_status(request), "withdrawn", "{case:?}\n{}", world.trace());
            if crash {
                let owner = world.owner_of_team(team);
                world.crash_controller(owner);
                world.run_for(300);
                world.start_controller(owner);
            }
            world.run_for(CANCEL_MS);
            assert!(world.machines_of(id).is_empty(), "{case:?}\n{}", world.trace());
            world.submit_until_accepted(0, &job(4, 2, "standing", 1));
            let used = world.run_until(90_000, |w| w.running_tasks("job-000004") == 1);
            assert!(used, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

/// Guards against a task that is started on the machine by either owner while the outcome of the roster change is
/// unknown.
#[test]
fn a_machine_transfer_with_a_lost_answer_or_a_late_write_starts_no_task_twice() {
    for delivery in [
        Delivery::AnswerLost,
        Delivery::Late(4000),
        Delivery::Late(12_000),
        Delivery::Lost,
    ] {
        for crash in [false, true] {
            let case = (delivery, crash);
            let mut world = with_two_machines(World::new(), "standing", 600_000);
            let until = world.now + 30_000;
            world.set_fault_injector(move |message| {
                let is_transfer = message.request == "POST /txn" && message.body.contains("\"also\"");
                if is_transfer && message.sent_ms < until {
                    delivery
                } else {
                    Delivery::Pass
                }
            });
            world.submit_until_accepted(0, &job(3, 2, "standing", 1));
            world.run_for(26_000);
            if crash {
                let owner = world.owner_of_team(1);
                world.crash_controller(owner);
                world.run_for(300);
                world.start_controller(owner);
            }
            let runs = world.run_until(90_000, |w| w.running_tasks(LATER_JOB) == 1);
            assert!(runs, "{case:?}\n{}", world.trace());
            world.run_for(30_000);
            for id in FIRST_JOBS {
                assert_eq!(world.running_tasks(id), 1, "{case:?} {id}\n{}", world.trace());
            }
            assert_no_breaches(&world, case);
        }
    }
}

/// Guards against a task that is started elsewhere while it may still run: it counts as gone only by a report that does
/// not list it, or once the cloud has deleted the machine. The machine sends nothing, receives nothing, or both.
#[test]
fn a_shared_machine_with_lost_messages_breaks_no_rule() {
    type Fault = fn(&str) -> FaultInjector;
    let cut: Fault = |machine| {
        let cut = machine.to_owned();
        Box::new(move |message| {
            let is_lost = message.from == cut || message.to == cut;
            if is_lost { Delivery::Lost } else { Delivery::Pass }
        })
    };
    let kinds: [(&str, Fault); 3] = [
        ("mute", faults::lose_reports_of_machine),
        ("deaf", faults::lose_messages_to_machine),
        ("cut", cut),
    ];
    for (name, fault) in kinds {
        for crash in [None, Some(0), Some(1), Some(2)] {
            let case = (name, crash);
            let (mut world, shared) = with_shared_machine("standing", 600_000);
            world.cloud.max_machines = 3;
            world.set_fault_injector(fault(&shared.machine));
            world.run_for(4000);
            if let Some(controller) = crash {
                world.crash_controller(controller);
                world.run_for(300);
                world.start_controller(controller);
            }
            world.run_for(60_000);
            world.clear_fault_injector();
            let all_run = |w: &World| {
                [shared.earlier_job, LATER_JOB]
                    .iter()
                    .all(|id| w.running_tasks(id) == 1)
            };
            assert!(world.run_until(90_000, all_run), "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

/// Guards against a job's owner that does not reach the worker and takes that as a proof that the task is gone.
#[test]
fn a_controller_that_cannot_reach_a_shared_machine_does_not_restart_its_task() {
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    world.cloud.max_machines = 3;
    let owner = format!("berth-{}", world.owner_of_team(shared.earlier_team));
    let machine = shared.machine.clone();
    world.set_fault_injector(move |message| {
        let is_between_them =
            (message.from == owner && message.to == machine) || (message.from == machine && message.to == owner);
        if is_between_them {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(60_000);
    assert_eq!(
        world.machines_of(shared.earlier_job),
        std::slice::from_ref(&shared.machine),
        "{}",
        world.trace()
    );
    assert_eq!(
        count_starts(&world, &shared.machine, shared.earlier_job),
        1,
        "{}",
        world.trace()
    );
    assert_no_breaches(&world, "cut between the job's owner and the machine");
}

/// Guards against a team that exceeds its limit: a task counts wherever it runs, also after a change of owner, before
/// the machine has been polled.
#[test]
fn the_limit_of_a_team_includes_tasks_on_machines_of_other_partitions() {
    for down_ms in [None, Some(300), Some(25_000)] {
        let (mut world, shared) = with_shared_machine("standing", 600_000);
        world.cloud.max_machines = 8;
        // The limit is four accelerators: three more tasks fit beside the one on the shared machine.
        let mut more = job(4, shared.earlier_team as u32, "sweep", 6);
        more["precedence"] = json!("low");
        if let Some(ms) = down_ms {
            let owner = world.owner_of_team(shared.earlier_team);
            world.submit_until_accepted((owner + 1) % 3, &more);
            world.crash_controller(owner);
            world.run_for(ms);
            world.start_controller(owner);
        } else {
            world.submit_until_accepted(0, &more);
        }
        world.run_for(60_000);
        assert_eq!(world.running_tasks("job-000004"), 3, "{down_ms:?}\n{}", world.trace());
        assert_no_breaches(&world, down_ms);
    }
}

/// Guards against an exceeded limit after a change of owner: a newly accepted job starts at once, when the team's task
/// on the other partition's machine is not known yet.
#[test]
fn a_machine_not_yet_polled_counts_as_full_of_tasks_of_the_new_owners_teams() {
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    world.cloud.max_machines = 8;
    let controller = world.owner_of_team(shared.earlier_team);
    let (owner, machine) = (format!("berth-{controller}"), shared.machine.clone());
    world.crash_controller(controller);
    world.run_for(300);
    world.start_controller(controller);
    world.set_fault_injector(move |message| {
        let is_between_them =
            (message.from == owner && message.to == machine) || (message.from == machine && message.to == owner);
        if is_between_them {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(3000);
    world.submit_until_accepted(controller, &job(4, shared.earlier_team as u32, "sweep", 6));
    world.run_for(30_000);
    assert_eq!(world.running_tasks("job-000004"), 2, "{}", world.trace());
    world.clear_fault_injector();
    world.run_for(10_000);
    assert_eq!(world.running_tasks("job-000004"), 3, "{}", world.trace());
    assert_no_breaches(&world, "machine not polled yet");
}

/// Guards against a machine that stays with a partition without tasks on it: nobody could move the remaining task and
/// return the machine.
#[test]
fn a_machine_with_tasks_of_one_other_partition_only_is_transferred_to_it() {
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    let request = world.cancel(0, LATER_JOB);
    world.run_for(1000);
    assert_eq!(world.job_status(request), "withdrawn");
    world.run_for(60_000);
    let back = format!(
        "{} goes to partition {}, whose tasks alone are on it",
        shared.machine, shared.earlier_team
    );
    assert!(world.trace().contains(&back), "{}", world.trace());
    let groups = world.store.keys("t/m/");
    let groups_of_partition = groups
        .iter()
        .filter_map(|k| world.store.get(k))
        .filter(|r| r["part"] == shared.earlier_team);
    assert!(
        groups_of_partition
            .clone()
            .any(|r| r["m"].get(&shared.machine).is_some() && r.get("also").is_none()),
        "{:?}\n{}",
        groups,
        world.trace()
    );
    assert_eq!(
        count_starts(&world, &shared.machine, shared.earlier_job),
        1,
        "{}",
        world.trace()
    );
    assert_no_breaches(&world, "machine transferred back");
}

/// Guards against a machine shared during an upgrade with a controller of a version that does not support shared
/// machines.
#[test]
fn no_machine_is_shared_while_a_controller_does_not_support_it() {
    let before = Features {
        shared_machines: false,
        ..Features::default()
    };
    let mut world = World::new();
    world.crash_controller(1);
    world.set_features(1, before);
    world.start_controller(1);
    let mut world = with_two_machines(world, "standing", 600_000);
    world.submit_until_accepted(0, &job(3, 2, "standing", 1));
    world.run_for(60_000);
    assert!(!world.trace().contains("goes to partition"), "{}", world.trace());
    assert!(
        !world.trace().contains(&format!("starts {LATER_JOB}")),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world, "with a controller without shared machines");
    // After the upgrade of that controller the free room is used.
    world.crash_controller(1);
    world.set_features(1, Features::default());
    world.start_controller(1);
    let runs = world.run_until(90_000, |w| w.running_tasks(LATER_JOB) == 1);
    assert!(runs, "{}", world.trace());
    assert_no_breaches(&world, "after the upgrade");
}

/// Guards against a rollback to a version that does not know of its partition's task on a machine of another partition,
/// and would start it again.
#[test]
fn a_controller_without_shared_machines_owns_nothing_while_a_machine_is_shared() {
    for controller in 0..3 {
        let (mut world, shared) = with_shared_machine("sweep", 90_000);
        // The partition has free room on another machine, on which the controller could start the task at once.
        world.cloud.max_machines = 4;
        world.submit_until_accepted(0, &job(4, shared.earlier_team as u32, "standing", 1));
        let runs = world.run_until(30_000, |w| w.running_tasks("job-000004") == 1);
        assert!(runs, "{controller}\n{}", world.trace());
        world.crash_controller(controller);
        let before = Features {
            shared_machines: false,
            ..Features::default()
        };
        world.set_features(controller, before);
        world.run_for(300);
        world.start_controller(controller);
        world.run_for(5000);
        let done = |w: &World| w.roster().is_empty() || w.machines_of(shared.earlier_job).is_empty();
        assert!(world.run_until(120_000, done), "{controller}\n{}", world.trace());
        world.run_for(30_000);
        assert_no_breaches(&world, controller);
    }
}

/// Guards against a cancelled task of another partition that stays on a hanging machine for too long, because the
/// machine's owner was restarted, does not know what is on the machine, and counts only cancellations of its own teams.
#[test]
fn a_restarted_owner_deletes_a_hanging_machine_in_time_for_another_partitions_cancellation() {
    let mut world = World::new();
    world.run_ms = 600_000;
    world.cloud.max_machines = 3;
    world.run_for(3000);
    // Team 2 has a machine of its own, which is full.
    let mut whole_machine = job(4, 2, "standing", 1);
    whole_machine["accelerators"] = json!(2.0);
    for submission in [whole_machine, job(1, 0, "standing", 1), job(2, 1, "standing", 1)] {
        world.submit_until_accepted(0, &submission);
        let id = submission["uid"].as_str().expect("an id").to_owned();
        let runs = world.run_until(30_000, |w| w.running_tasks(&id) == 1);
        assert!(runs, "{}", world.trace());
    }
    world.submit_until_accepted(0, &job(3, 2, "standing", 1));
    let runs = world.run_until(90_000, |w| w.running_tasks(LATER_JOB) == 1);
    assert!(runs, "{}", world.trace());
    let shared = shared_machine(&world);
    for worker in world.workers.values_mut() {
        worker.is_hanging = true;
    }
    let owner = world.owner_of_team(2);
    let cancellation = world.cancel(world.owner_of_team(shared.earlier_team), shared.earlier_job);
    world.run_for(8000);
    assert_eq!(world.job_status(cancellation), "withdrawn", "{}", world.trace());
    assert!(!world.trace().contains("giving it up"), "{}", world.trace());
    world.crash_controller(owner);
    world.run_for(6000);
    world.start_controller(owner);
    world.run_for(CANCEL_MS);
    assert_no_breaches(&world, shared.earlier_job);
    assert!(world.cloud.deleted.contains(&shared.machine), "{}", world.trace());
}
