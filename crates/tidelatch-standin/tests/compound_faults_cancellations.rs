//! Compound faults around cancellations: whatever else happens, cancelled tasks are gone in time and do not come back.

mod compound_fault_support;

use compound_fault_support::{
    assert_gone_in_time, assert_no_breaches, cancel, cut_off_machines, for_each_machine, leader,
    states_at_all_controllers, stored_state, with_running_jobs,
};
use serde_json::json;
use tidelatch_standin::faults;
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

#[test]
fn jobs_cancelled_through_the_next_leader_end_on_workers_that_reach_only_the_cut_off_one() {
    // Guards against cancelled tasks on workers that report to a controller without the state service and peers. It
    // stops answering workers at the end of its lease, so that they report to another controller, or end their
    // sessions before the time of the cancellations is over.
    for only_cut_off_reachable in [false, true] {
        for after_ms in [0, 700, 5000] {
            let case = (only_cut_off_reachable, after_ms);
            let jobs = [job(1, 0, "sweep", 4), job(2, 1, "sweep", 4), job(3, 2, "standing", 2)];
            let mut world = with_running_jobs(300_000, &jobs);
            let cut_off = leader(&world).expect("a leader");
            let others = [(cut_off + 1) % 3, (cut_off + 2) % 3];
            let name = format!("berth-{cut_off}");
            world.write_trace(&format!("{name} is cut from the state service and its peers"));
            world.workers.values_mut().for_each(|w| w.controller = cut_off);
            let mut cut_off_fault = faults::isolate_controller(cut_off);
            world.set_fault_injector(move |l| {
                let worker = |who: &str| who.starts_with("n-");
                let elsewhere = (worker(l.from) && l.to != name) || (worker(l.to) && l.from != name);
                if only_cut_off_reachable && elsewhere {
                    Delivery::Lost
                } else {
                    cut_off_fault(l)
                }
            });
            let is_replaced = world.run_until(30_000, |w| leader(w).is_some_and(|l| l != cut_off));
            assert!(is_replaced, "{case:?}\n{}", world.trace());
            world.run_for(after_ms);
            for id in ["job-000001", "job-000002"] {
                // Users of the cut-off controller must not be told an older or a final state.
                world.poll(cut_off, id);
                assert_eq!(cancel(&mut world, &others, id), "withdrawn", "{case:?}");
                world.poll(cut_off, id);
                world.cancel(cut_off, id);
            }
            world.run_for(CANCEL_MS + 2000);
            assert_no_breaches(&world, case);
            for id in ["job-000001", "job-000002"] {
                assert_gone_in_time(&world, id, case);
            }
            world.clear_fault_injector();
            world.run_for(40_000);
            assert_eq!(world.running_tasks("job-000003"), 2, "{case:?}\n{}", world.trace());
            assert_eq!(
                states_at_all_controllers(&mut world, "job-000001"),
                ["withdrawn"; 3],
                "{case:?}"
            );
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_cancellation_around_the_end_of_the_last_task_never_reverts_an_answer() {
    // Guards against a final state that changes after a user was told, when a cancellation, polls and repeated
    // submissions meet the end of a job's last task. A job's end is written conditionally on the revision of its
    // record, and users are told only what is stored.
    for tasks in [1, 2] {
        for after_ms in [0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 15, 30, 60] {
            for controller in 0..3 {
                let case = (tasks, after_ms, controller);
                let body = job(1, 0, "sweep", tasks);
                let mut world = World::new();
                world.run_for(3000);
                world.submit_until_accepted(0, &body);
                world.cancel_after_last_task(controller, "job-000001", after_ms);
                assert!(
                    world.run_until(60_000, |w| w.checker().is_job_done("job-000001")),
                    "{case:?}"
                );
                // Meanwhile users poll and repeat the submission at all controllers every few milliseconds.
                for i in 0..24 {
                    world.poll(i % 3, "job-000001");
                    world.submit((i + 1) % 3, &body);
                    world.run_for(1 + after_ms / 20);
                }
                world.run_for(3000);
                let request = world.cancellation_requests_at_end["job-000001"];
                let first = world.job_status(request);
                assert_eq!(world.http_status(request), 200, "{case:?}\n{}", world.trace());
                assert_eq!(
                    states_at_all_controllers(&mut world, "job-000001"),
                    [first.as_str(); 3],
                    "{case:?}"
                );
                assert_eq!(stored_state(&world, "job-000001"), first, "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn a_delayed_start_or_answer_does_not_outlive_a_cancellation() {
    // Guards against a task that a delayed direct command starts after its job was cancelled. A machine that a start
    // of an ended job may still reach is given up before the time of the cancellation is over, and no attempt is
    // forgotten there before.
    let cases = [(0, 20), (2000, 20), (2000, 1000), (14_000, 20), (20_000, 3000)];
    for late_ms in [3000, 9000, 16_000, 25_000, 36_500, 37_500, 39_000, 50_000] {
        for (hang_ms, cancel_after_ms, delays_answer) in
            cases.into_iter().flat_map(|(h, a)| [(h, a, false), (h, a, true)])
        {
            if delays_answer && late_ms > 9000 {
                // By then the controller no longer waits for the answer.
                continue;
            }
            let case = (late_ms, hang_ms, cancel_after_ms, delays_answer);
            let mut world = with_running_jobs(300_000, &[job(1, 0, "standing", 1)]);
            world.set_fault_injector(move |l| {
                let is_start = l.request == "POST /commands" && l.body.contains("\"start\"");
                match is_start && l.body.contains("job-000002/0") {
                    true if delays_answer => Delivery::AnswerLate(late_ms),
                    true => Delivery::Late(late_ms),
                    false => Delivery::Pass,
                }
            });
            let machine = world.machines_of("job-000001")[0].clone();
            if hang_ms > 0 {
                world.write_trace(&format!("{machine} hangs"));
                world.workers.get_mut(&machine).expect("a worker").is_hanging = true;
            }
            // That machine has room, so the start is sent there directly.
            world.submit_until_accepted(0, &job(2, 0, "sweep", 1));
            world.run_for(cancel_after_ms);
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000002"), "withdrawn", "{case:?}");
            world.run_for(hang_ms);
            if let Some(w) = world.workers.get_mut(&machine) {
                w.is_hanging = false;
            }
            world.write_trace(&format!("{machine} goes on"));
            world.run_for(60_000);
            assert_no_breaches(&world, case);
            assert_gone_in_time(&world, "job-000002", case);
            assert_eq!(world.running_tasks("job-000001"), 1, "{case:?}\n{}", world.trace());
        }
    }
}

#[test]
fn a_team_keeps_its_limit_when_machines_with_cancelled_tasks_cannot_be_reached() {
    // Guards against a team that exceeds its limit because its cancelled tasks are taken for gone. A task that may
    // still be on a machine counts against the limit, also after the end of its job, and under an owner that has never
    // heard of it.
    for fault in ["cut", "hang", "deaf"] {
        for machine_count in [1, 2] {
            // Time of the cancellation, from the crash of the leader on. A negative time is before the crash.
            for cancel_at_ms in [-1000, -3, 5, 400, 3000, 9000] {
                let case = (fault, machine_count, cancel_at_ms);
                let (first, second) = (job(1, 0, "sweep", 4), job(2, 0, "sweep", 6));
                let mut world = with_running_jobs(90_000, &[first, job(3, 1, "sweep", 2), job(4, 2, "sweep", 2)]);
                world.submit_until_accepted(1, &second);
                let machines: Vec<String> = world
                    .machines_of("job-000001")
                    .into_iter()
                    .take(machine_count)
                    .collect();
                world.write_trace(&format!("{fault}: {machines:?}"));
                match fault {
                    "cut" => world.set_fault_injector(cut_off_machines(&machines)),
                    "deaf" => world.set_fault_injector(for_each_machine(&machines, faults::lose_messages_to_machine)),
                    _ => machines.iter().for_each(|m| {
                        world.workers.get_mut(m).expect("a worker").is_hanging = true;
                    }),
                }
                let owner = world.owner_of_team(0);
                if cancel_at_ms < 0 {
                    world.cancel(owner, "job-000001");
                    world.run_for(-cancel_at_ms as u64);
                }
                let crashed: Vec<usize> = leader(&world).into_iter().chain([owner]).collect();
                crashed.iter().for_each(|n| world.crash_controller(*n));
                world.run_for(300);
                crashed.iter().for_each(|n| world.start_controller(*n));
                world.run_for(cancel_at_ms.max(0) as u64);
                assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000001"), "withdrawn", "{case:?}");
                world.run_for(CANCEL_MS + 1000);
                assert_gone_in_time(&world, "job-000001", case);
                world.clear_fault_injector();
                for m in &machines {
                    if let Some(w) = world.workers.get_mut(m) {
                        w.is_hanging = false;
                    }
                }
                let has_recovered = |w: &World| w.running_tasks("job-000002") == 4;
                assert!(world.run_until(60_000, has_recovered), "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn a_cancelled_job_whose_workers_reports_are_lost_is_stopped_by_direct_commands() {
    // Guards against cancelled tasks that keep running because the reports of their workers are lost. Stops are also
    // sent as direct commands, and do not wait for a report.
    for mute_ms in [0, 700, 4000, 9000, 16_000, 30_000] {
        for all in [false, true] {
            let case = (mute_ms, all);
            let jobs = [job(1, 0, "sweep", 4), job(2, 1, "standing", 2), job(3, 2, "sweep", 4)];
            let mut world = with_running_jobs(300_000, &jobs);
            let mut machines = world.machines_of("job-000001");
            if all {
                machines = world.workers.keys().cloned().collect();
            }
            world.write_trace(&format!("reports of {machines:?} reach nobody any more"));
            world.set_fault_injector(for_each_machine(&machines, faults::lose_reports_of_machine));
            world.run_for(mute_ms);
            let before = world.machines_of("job-000001");
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000001"), "withdrawn", "{case:?}");
            world.run_for(CANCEL_MS + 2000);
            assert_gone_in_time(&world, "job-000001", case);
            let gone = world.cancellation_duration_ms("job-000001").unwrap_or(u64::MAX);
            // If its tasks were still on machines, only direct commands can end them so soon: the sessions there
            // would last longer.
            let must_end_at_once = mute_ms <= 9000 && !before.is_empty();
            assert!(!must_end_at_once || gone <= 5000, "{case:?}: {gone}\n{}", world.trace());
            world.clear_fault_injector();
            world.run_for(40_000);
            assert_eq!(world.running_tasks("job-000002"), 2, "{case:?}\n{}", world.trace());
            assert_eq!(world.running_tasks("job-000003"), 4, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_zone_that_is_cut_off_with_a_controller_does_not_keep_cancelled_tasks() {
    // Guards against cancelled tasks that keep running in a zone that is cut off together with a controller. That
    // controller answers reports no longer than its entitlement lasts, so that the leases of the workers inside end.
    // Outside, none of the zone's tasks is started again before these leases must have ended.
    for inside in 0..3 {
        for (cut_ms, cancel_after_ms) in [(12_000, 0), (25_000, 0), (25_000, 9000), (60_000, 0), (60_000, 9000)] {
            let case = (inside, cut_ms, cancel_after_ms);
            let mut cancelled_array = job(1, 0, "sweep", 4);
            cancelled_array["yard"] = json!("b");
            let mut service = job(2, 1, "standing", 4);
            service["spread"] = json!(true);
            let mut other_array = job(3, 2, "sweep", 4);
            other_array["yard"] = json!("b");
            let mut world = with_running_jobs(90_000, &[cancelled_array, service, other_array]);
            let zone: Vec<String> = world
                .workers
                .values_mut()
                .filter(|w| w.zone == "b")
                .map(|w| {
                    w.controller = inside;
                    w.name.clone()
                })
                .chain([format!("berth-{inside}")])
                .collect();
            assert!(zone.len() > 4, "{zone:?}");
            world.write_trace(&format!("cut off: {zone:?}"));
            world.cloud.max_machines_by_zone.insert("b".into(), 0);
            world.set_fault_injector(move |l| {
                let is_inside = |who: &str| zone.iter().any(|z| z == who);
                if is_inside(l.from) == is_inside(l.to) {
                    Delivery::Pass
                } else {
                    Delivery::Lost
                }
            });
            let outside = [(inside + 1) % 3, (inside + 2) % 3];
            world.run_for(cancel_after_ms);
            assert_eq!(cancel(&mut world, &outside, "job-000001"), "withdrawn", "{case:?}");
            world.run_for(cut_ms);
            world.clear_fault_injector();
            world.cloud.max_machines_by_zone.clear();
            world.run_for(CANCEL_MS + 2000);
            assert_gone_in_time(&world, "job-000001", case);
            let has_recovered =
                |w: &World| stored_state(w, "job-000003") == "done" && w.running_tasks("job-000002") == 4;
            assert!(world.run_until(150_000, has_recovered), "{case:?}\n{}", world.trace());
            assert_eq!(
                states_at_all_controllers(&mut world, "job-000001"),
                ["withdrawn"; 3],
                "{case:?}"
            );
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn cancelled_jobs_stay_cancelled_when_all_controllers_are_down_for_longer_than_a_lease() {
    // Guards against cancelled jobs that run again after all controllers were down. A confirmed cancellation is
    // stored, and the workers' own leases end what still runs. A restarted controller starts no task of an older epoch
    // before every machine is accounted for.
    for down_ms in [15_000, 17_900, 18_600, 26_000, 70_000] {
        for told_ms in [3, 6, 20, 1500] {
            let case = (down_ms, told_ms);
            let jobs = [job(1, 0, "standing", 4), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
            let mut world = with_running_jobs(40_000, &jobs);
            let request = world.cancel(world.owner_of_team(1), "job-000002");
            world.run_for(told_ms);
            let is_confirmed = world.job_status(request) == "withdrawn";
            (0..3).for_each(|n| world.crash_controller(n));
            world.run_for(down_ms);
            (0..3).for_each(|n| world.start_controller(n));
            world.run_for(6000);
            let before = stored_state(&world, "job-000002");
            assert!(!is_confirmed || before == "withdrawn", "{case:?}\n{}", world.trace());
            cancel(&mut world, &[0, 1, 2], "job-000002");
            world.run_for(CANCEL_MS);
            assert_gone_in_time(&world, "job-000002", case);
            let has_recovered =
                |w: &World| stored_state(w, "job-000003") == "done" && w.running_tasks("job-000001") == 4;
            assert!(world.run_until(120_000, has_recovered), "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}
