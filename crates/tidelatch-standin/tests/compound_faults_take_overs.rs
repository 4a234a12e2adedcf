//! Compound faults around takeovers: no task runs twice and no job is forgotten when owners and leaders change.

mod compound_fault_support;

use compound_fault_support::{
    all_tasks_run, assert_gone_in_time, assert_no_breaches, cancel, cut_off_machines, for_each_machine, job_id, leader,
    states_at_all_controllers, stored_state, with_running_jobs,
};
use tidelatch_core::settings::Operator;
use tidelatch_standin::faults;
use tidelatch_standin::{CANCEL_MS, Delivery, DeploymentSize, World, job};

#[test]
fn ten_changes_of_leader_in_two_minutes_lose_nothing() {
    // Guards against tasks that are lost, run twice or outlive their cancellation when leaders change often. Each
    // takeover asks every machine before it starts older tasks, and ends cancelled ones. In an outage of the state
    // service the entitlement rests on grants of incarnations that have read the store.
    for outage in [false, true] {
        for away_ms in [40, 400, 2500] {
            let case = (outage, away_ms);
            let jobs = [job(1, 0, "standing", 2), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
            let mut world = with_running_jobs(150_000, &jobs);
            for i in 0..10 {
                if outage && i == 3 {
                    world.write_trace("the state service is down");
                    world.store.is_down = true;
                }
                if i == 6 {
                    world.store.is_down = false;
                }
                // If the leader key is gone, a controller that may become leader is restarted instead.
                let crashed = leader(&world).unwrap_or(i % 3);
                world.crash_controller(crashed);
                world.run_for(away_ms);
                world.start_controller(crashed);
                world.run_for(12_000 - away_ms);
                world.cancel(i % 3, "job-000003");
                world.poll((i + 1) % 3, "job-000002");
            }
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000003"), "withdrawn", "{case:?}");
            world.run_for(CANCEL_MS + 2000);
            assert_gone_in_time(&world, "job-000003", case);
            assert!(
                world.poll_unanswered(75_000, &["job-000001", "job-000002"]).is_empty(),
                "{case:?}"
            );
            assert_eq!(world.running_tasks("job-000001"), 2, "{case:?}\n{}", world.trace());
            let is_done = world.run_until(200_000, |w| stored_state(w, "job-000002") == "done");
            assert!(is_done, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn long_tasks_on_unreachable_machines_run_once_when_the_leader_crashes() {
    // Guards against a task that runs twice because its machine cannot be reached during a takeover. Silence is no
    // proof that a task is gone. A task that may be on a machine which has not accepted the new token is started
    // nowhere else before that machine's lease has ended or it is deleted.
    for fault in ["cut", "deaf"] {
        // Both teams have enough capacity to run all of these tasks once more.
        for machine_count in [1, 2] {
            for unreachable_ms in [9000, 22_000, 70_000] {
                let case = (fault, machine_count, unreachable_ms);
                let jobs = [job(1, 0, "sweep", 2), job(2, 1, "standing", 2)];
                let mut world = with_running_jobs(120_000, &jobs);
                let mut machines = world.machines_of("job-000001");
                machines.extend(world.machines_of("job-000002"));
                machines.truncate(machine_count);
                assert_eq!(machines.len(), machine_count);
                let injector = if fault == "cut" {
                    cut_off_machines(&machines)
                } else {
                    for_each_machine(&machines, faults::lose_messages_to_machine)
                };
                world.write_trace(&format!("{fault}: {machines:?}"));
                world.set_fault_injector(injector);
                let crashed = leader(&world).expect("a leader");
                world.crash_controller(crashed);
                world.run_for(300);
                world.start_controller(crashed);
                let owner = world.owner_of_team(0);
                if owner != crashed {
                    world.crash_controller(owner);
                    world.run_for(900);
                    world.start_controller(owner);
                }
                world.run_for(unreachable_ms);
                world.clear_fault_injector();
                let has_recovered =
                    |w: &World| stored_state(w, "job-000001") == "done" && w.running_tasks("job-000002") == 2;
                assert!(world.run_until(260_000, has_recovered), "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn reports_delayed_until_the_next_owner_acts_are_not_taken_for_the_present() {
    // Guards against a new owner that takes old reports for the present state of a machine. A report under an older
    // token, or older than the last one that was accepted, is ignored.
    for delay_ms in [900, 4000, 6000, 12_000, 25_000] {
        for crash_after_ms in [300, 2600] {
            for is_lost in [true, false] {
                let case = (delay_ms, crash_after_ms, is_lost);
                let jobs = [
                    job(1, 0, "standing", 1),
                    job(2, 1, "sweep", 3),
                    job(3, 2, "standing", 3),
                ];
                let mut world = with_running_jobs(40_000, &jobs);
                let owner = world.owner_of_team(0);
                let next_owner = (owner + 1) % 3;
                for (i, w) in world.workers.values_mut().enumerate() {
                    w.controller = (next_owner + i % 2) % 3;
                }
                // At least one report of each machine is from before the start of its further task.
                let until = world.now + 2600;
                world.set_fault_injector(move |l| match l.request {
                    "POST /agent/beat" if l.sent_ms < until && is_lost => Delivery::Late(delay_ms),
                    "POST /agent/beat" if l.sent_ms < until => Delivery::Copied(delay_ms),
                    _ => Delivery::Pass,
                });
                world.run_for(2600);
                let further = [job(4, 0, "sweep", 1), job(5, 1, "sweep", 1), job(6, 2, "sweep", 1)];
                further.iter().for_each(|j| world.submit_until_accepted(next_owner, j));
                let are_running = world.run_until(8000, |w| further.iter().all(|j| all_tasks_run(w, j)));
                assert!(are_running, "{case:?}\n{}", world.trace());
                world.run_for(crash_after_ms);
                let crashed = [owner, leader(&world).unwrap_or(owner)];
                crashed.iter().for_each(|n| world.crash_controller(*n));
                world.cancel(next_owner, "job-000002");
                world.run_for(300);
                crashed.iter().for_each(|n| world.start_controller(*n));
                cancel(&mut world, &[0, 1, 2], "job-000002");
                let has_recovered = |w: &World| {
                    let are_done = further.iter().all(|j| stored_state(w, job_id(j)) == "done");
                    are_done && w.running_tasks("job-000001") == 1 && w.running_tasks("job-000003") == 3
                };
                assert!(world.run_until(120_000, has_recovered), "{case:?}\n{}", world.trace());
                world.run_for(30_000);
                assert_gone_in_time(&world, "job-000002", case);
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn tasks_that_end_before_and_after_a_change_of_leader_are_all_counted() {
    // Guards against completed tasks that are forgotten over a change of leader, so that they run again or their job
    // is never done. A completion is stored before the worker is told to forget it, and a new owner reads that and the
    // workers' reports before it calls a job done.
    for tasks in [2, 3] {
        for two_crash in [false, true] {
            // Time from the end of the first task to the crash.
            for crash_after_ms in [0, 2, 4, 8, 50, 400, 900, 1500, 6000] {
                let case = (tasks, two_crash, crash_after_ms);
                let one_task_at_a_time = DeploymentSize {
                    guaranteed_accelerators: 1.0,
                    max_accelerators: 1.0,
                    ..DeploymentSize::default()
                };
                let mut world = World::with_size(&Operator::default(), one_task_at_a_time);
                world.run_ms = 12_000;
                world.run_for(3000);
                world.submit_until_accepted(0, &job(1, 0, "sweep", tasks));
                world.submit_until_accepted(1, &job(2, 1, "sweep", tasks));
                let has_started = |w: &World| w.running_tasks("job-000001") == 1;
                assert!(world.run_until(30_000, has_started), "{case:?}\n{}", world.trace());
                while world.running_tasks("job-000001") == 1 {
                    world.run_for(1);
                }
                world.run_for(crash_after_ms);
                let owner = world.owner_of_team(0);
                let crashed = if two_crash {
                    vec![owner, (owner + 1) % 3]
                } else {
                    vec![owner]
                };
                crashed.iter().for_each(|n| world.crash_controller(*n));
                world.run_for(400);
                crashed.iter().for_each(|n| world.start_controller(*n));
                let mut controller = 0;
                let are_done = |w: &World| {
                    ["job-000001", "job-000002"]
                        .iter()
                        .all(|id| stored_state(w, id) == "done")
                };
                let until = world.now + 120_000;
                while world.now < until && !are_done(&world) {
                    world.poll(controller % 3, "job-000001");
                    world.poll((controller + 1) % 3, "job-000002");
                    world.run_for(700);
                    controller += 1;
                }
                assert!(are_done(&world), "{case:?}\n{}", world.trace());
                assert_eq!(
                    states_at_all_controllers(&mut world, "job-000001"),
                    ["done"; 3],
                    "{case:?}"
                );
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn controllers_that_all_crash_and_restart_one_by_one_forget_nothing() {
    // Guards against jobs and cancellations that are forgotten when partitions move and return, all controllers crash,
    // and they restart one by one. All that users were told is in the store, incarnations are told apart, and a single
    // controller serves all partitions.
    for away_ms in [30, 400, 900, 5000] {
        for first in 0..3 {
            for others_after_ms in [300, 25_000] {
                let case = (away_ms, first, others_after_ms);
                let jobs = [job(1, 0, "standing", 2), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
                let mut world = with_running_jobs(60_000, &jobs);
                // Each partition moves to another owner and back.
                for controller in [world.owner_of_team(0), world.owner_of_team(1)] {
                    world.crash_controller(controller);
                    world.run_for(away_ms);
                    world.start_controller(controller);
                    world.run_for(away_ms);
                }
                world.cancel(first, "job-000003");
                world.submit((first + 1) % 3, &job(4, 0, "sweep", 2));
                world.run_for(4);
                (0..3).for_each(|n| world.crash_controller(n));
                world.run_for(away_ms);
                world.start_controller(first);
                world.run_for(others_after_ms);
                if others_after_ms > 20_000 {
                    let polls = ["job-000001", "job-000002", "job-000003"].map(|id| world.poll(first, id));
                    world.run_for(2000);
                    let are_answered = polls.iter().all(|p| world.http_status(*p) == 200);
                    assert!(are_answered, "{case:?}\n{}", world.trace());
                }
                (0..3).filter(|n| *n != first).for_each(|n| world.start_controller(n));
                cancel(&mut world, &[0, 1, 2], "job-000003");
                world.run_for(CANCEL_MS + 2000);
                assert_gone_in_time(&world, "job-000003", case);
                let has_recovered =
                    |w: &World| stored_state(w, "job-000002") == "done" && w.running_tasks("job-000001") == 2;
                assert!(world.run_until(150_000, has_recovered), "{case:?}\n{}", world.trace());
                let ids = ["job-000001", "job-000002", "job-000003"];
                assert!(world.poll_unanswered(75_000, &ids).is_empty(), "{case:?}");
                assert_no_breaches(&world, case);
            }
        }
    }
}
