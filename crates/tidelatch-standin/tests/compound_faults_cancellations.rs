//! Compound faults around cancellations: whatever else happens, what was cancelled is gone in time and stays so.

mod compound_fault_support;

use compound_fault_support::{
    assert_no_breaches, cancel, each, gone_in_time, leader, said_everywhere, stored, unreached, with_jobs,
};
use serde_json::json;
use tidelatch_standin::faults;
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

#[test]
fn jobs_cancelled_through_the_next_leader_end_on_workers_that_reach_the_cut_one_only() {
    // Guard: a controller without state service and peers stops answering workers at the end of its lease,
    // so that these go elsewhere, or end their sessions before the cancellations' time is over.
    for captive in [false, true] {
        for after in [0, 700, 5000] {
            let case = (captive, after);
            let jobs = [job(1, 0, "sweep", 4), job(2, 1, "sweep", 4), job(3, 2, "standing", 2)];
            let mut world = with_jobs(300_000, &jobs);
            let cut = leader(&world).expect("a leader");
            let others = [(cut + 1) % 3, (cut + 2) % 3];
            let name = format!("berth-{cut}");
            world.note(&format!("{name} is cut from the state service and its peers"));
            world.workers.values_mut().for_each(|w| w.node = cut);
            let mut away = faults::cut_off(cut);
            world.meddle(move |l| {
                let worker = |who: &str| who.starts_with("n-");
                let elsewhere = (worker(l.from) && l.to != name) || (worker(l.to) && l.from != name);
                if captive && elsewhere { Delivery::Lost } else { away(l) }
            });
            let next = world.run_until(30_000, |w| leader(w).is_some_and(|l| l != cut));
            assert!(next, "{case:?}\n{}", world.trace());
            world.run(after);
            for id in ["job-000001", "job-000002"] {
                // Users of the cut one are not told anything older or final.
                world.poll(cut, id);
                assert_eq!(cancel(&mut world, &others, id), "withdrawn", "{case:?}");
                world.poll(cut, id);
                world.withdraw(cut, id);
            }
            world.run(CANCEL_MS + 2000);
            assert_no_breaches(&world, case);
            for id in ["job-000001", "job-000002"] {
                gone_in_time(&world, id, case);
            }
            world.calm();
            world.run(40_000);
            assert_eq!(world.running("job-000003"), 2, "{case:?}\n{}", world.trace());
            assert_eq!(said_everywhere(&mut world, "job-000001"), ["withdrawn"; 3], "{case:?}");
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn whatever_meets_the_end_of_a_jobs_last_task_no_answer_goes_back() {
    // Guard: a job's end is written on condition of its record's revision, and only what is stored is told.
    for tasks in [1, 2] {
        for after in [0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 15, 30, 60] {
            for node in 0..3 {
                let case = (tasks, after, node);
                let body = job(1, 0, "sweep", tasks);
                let mut world = World::new();
                world.run(3000);
                world.accepted(0, &body);
                world.cancel_at_end(node, "job-000001", after);
                assert!(
                    world.run_until(60_000, |w| w.checker().all_done("job-000001")),
                    "{case:?}"
                );
                // Users ask and repeat the submission at all nodes, every few milliseconds, all the while.
                for i in 0..24 {
                    world.poll(i % 3, "job-000001");
                    world.submit((i + 1) % 3, &body);
                    world.run(1 + after / 20);
                }
                world.run(3000);
                let asked = world.cancelled_at_end["job-000001"];
                let first = world.said(asked);
                assert_eq!(world.status(asked), 200, "{case:?}\n{}", world.trace());
                assert_eq!(
                    said_everywhere(&mut world, "job-000001"),
                    [first.as_str(); 3],
                    "{case:?}"
                );
                assert_eq!(stored(&world, "job-000001"), first, "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn a_start_or_its_answer_that_is_held_up_does_not_outlive_a_cancellation() {
    // Guard: a machine that a start of a job that is over may still reach is given up before the
    // cancellation's time is over, and no attempt is forgotten there before.
    let spacings = [(0, 20), (2000, 20), (2000, 1000), (14_000, 20), (20_000, 3000)];
    for late in [3000, 9000, 16_000, 25_000, 36_500, 37_500, 39_000, 50_000] {
        for (hang, asked, answer) in spacings.into_iter().flat_map(|(h, a)| [(h, a, false), (h, a, true)]) {
            if answer && late > 9000 {
                // Nobody waits for it by then.
                continue;
            }
            let case = (late, hang, asked, answer);
            let mut world = with_jobs(300_000, &[job(1, 0, "standing", 1)]);
            world.meddle(move |l| {
                let start = l.what == "POST /commands" && l.body.contains("\"start\"");
                match start && l.body.contains("job-000002/0") {
                    true if answer => Delivery::AnswerLate(late),
                    true => Delivery::Late(late),
                    false => Delivery::Pass,
                }
            });
            let machine = world.machines_of("job-000001")[0].clone();
            if hang > 0 {
                world.note(&format!("{machine} hangs"));
                world.workers.get_mut(&machine).expect("a worker").hanging = true;
            }
            // There is room on that machine: it is sent there directly.
            world.accepted(0, &job(2, 0, "sweep", 1));
            world.run(asked);
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000002"), "withdrawn", "{case:?}");
            world.run(hang);
            if let Some(w) = world.workers.get_mut(&machine) {
                w.hanging = false;
            }
            world.note(&format!("{machine} goes on"));
            world.run(60_000);
            assert_no_breaches(&world, case);
            gone_in_time(&world, "job-000002", case);
            assert_eq!(world.running("job-000001"), 1, "{case:?}\n{}", world.trace());
        }
    }
}

#[test]
fn a_team_at_its_limit_keeps_to_it_when_machines_with_cancelled_tasks_cannot_be_asked() {
    // Guard: a task that may still be on a machine counts against its team's limit, also after its job's end
    // and under an owner that has never heard of it.
    for trouble in ["cut", "hang", "deaf"] {
        for share in [1, 2] {
            // When the cancellation is asked for, from the leader's end on.
            for asked in [-1000, -3, 5, 400, 3000, 9000] {
                let case = (trouble, share, asked);
                let (first, second) = (job(1, 0, "sweep", 4), job(2, 0, "sweep", 6));
                let mut world = with_jobs(90_000, &[first, job(3, 1, "sweep", 2), job(4, 2, "sweep", 2)]);
                world.accepted(1, &second);
                let machines: Vec<String> = world.machines_of("job-000001").into_iter().take(share).collect();
                world.note(&format!("{trouble}: {machines:?}"));
                match trouble {
                    "cut" => world.meddle(unreached(&machines)),
                    "deaf" => world.meddle(each(&machines, faults::deaf)),
                    _ => machines.iter().for_each(|m| {
                        world.workers.get_mut(m).expect("a worker").hanging = true;
                    }),
                }
                let owner = world.owner_of_team(0);
                if asked < 0 {
                    world.withdraw(owner, "job-000001");
                    world.run(-asked as u64);
                }
                let ends: Vec<usize> = leader(&world).into_iter().chain([owner]).collect();
                ends.iter().for_each(|n| world.crash(*n));
                world.run(300);
                ends.iter().for_each(|n| world.start(*n));
                world.run(asked.max(0) as u64);
                assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000001"), "withdrawn", "{case:?}");
                world.run(CANCEL_MS + 1000);
                gone_in_time(&world, "job-000001", case);
                world.calm();
                for m in &machines {
                    if let Some(w) = world.workers.get_mut(m) {
                        w.hanging = false;
                    }
                }
                let well = |w: &World| w.running("job-000002") == 4;
                assert!(world.run_until(60_000, well), "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn a_cancelled_job_whose_workers_are_all_mute_is_stopped_by_direct_commands() {
    // Guard: stops go out directly as well, and do not wait for a report.
    for mute_ms in [0, 700, 4000, 9000, 16_000, 30_000] {
        for all in [false, true] {
            let case = (mute_ms, all);
            let jobs = [job(1, 0, "sweep", 4), job(2, 1, "standing", 2), job(3, 2, "sweep", 4)];
            let mut world = with_jobs(300_000, &jobs);
            let mut mute = world.machines_of("job-000001");
            if all {
                mute = world.workers.keys().cloned().collect();
            }
            world.note(&format!("reports of {mute:?} reach nobody any more"));
            world.meddle(each(&mute, faults::mute));
            world.run(mute_ms);
            let before = world.machines_of("job-000001");
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000001"), "withdrawn", "{case:?}");
            world.run(CANCEL_MS + 2000);
            gone_in_time(&world, "job-000001", case);
            let gone = world.gone_after_confirmation("job-000001").unwrap_or(u64::MAX);
            // On the machines that had its tasks by then, the sessions would go on for longer.
            let at_once = mute_ms <= 9000 && !before.is_empty();
            assert!(!at_once || gone <= 5000, "{case:?}: {gone}\n{}", world.trace());
            world.calm();
            world.run(40_000);
            assert_eq!(world.running("job-000002"), 2, "{case:?}\n{}", world.trace());
            assert_eq!(world.running("job-000003"), 4, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_zone_that_is_cut_off_with_a_controller_does_not_keep_cancelled_tasks() {
    // Guard: the controller inside answers reports no longer than its entitlement lasts, so that the leases
    // inside end; outside nothing of it is started anew before they must have.
    for inside in 0..3 {
        for (cut_ms, asked) in [(12_000, 0), (25_000, 0), (25_000, 9000), (60_000, 0), (60_000, 9000)] {
            let case = (inside, cut_ms, asked);
            let mut there = job(1, 0, "sweep", 4);
            there["yard"] = json!("b");
            let mut service = job(2, 1, "standing", 4);
            service["spread"] = json!(true);
            let mut stays = job(3, 2, "sweep", 4);
            stays["yard"] = json!("b");
            let mut world = with_jobs(90_000, &[there, service, stays]);
            let zone: Vec<String> = world
                .workers
                .values_mut()
                .filter(|w| w.zone == "b")
                .map(|w| {
                    w.node = inside;
                    w.name.clone()
                })
                .chain([format!("berth-{inside}")])
                .collect();
            assert!(zone.len() > 4, "{zone:?}");
            world.note(&format!("cut off: {zone:?}"));
            world.cloud.most_in_zone.insert("b".into(), 0);
            world.meddle(move |l| {
                let within = |who: &str| zone.iter().any(|z| z == who);
                if within(l.from) == within(l.to) {
                    Delivery::Pass
                } else {
                    Delivery::Lost
                }
            });
            let outside = [(inside + 1) % 3, (inside + 2) % 3];
            world.run(asked);
            assert_eq!(cancel(&mut world, &outside, "job-000001"), "withdrawn", "{case:?}");
            world.run(cut_ms);
            world.calm();
            world.cloud.most_in_zone.clear();
            world.run(CANCEL_MS + 2000);
            gone_in_time(&world, "job-000001", case);
            let well = |w: &World| stored(w, "job-000003") == "done" && w.running("job-000002") == 4;
            assert!(world.run_until(150_000, well), "{case:?}\n{}", world.trace());
            assert_eq!(said_everywhere(&mut world, "job-000001"), ["withdrawn"; 3], "{case:?}");
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease_and_cancelled_jobs_stay_so() {
    // Guard: what was told as cancelled is stored, and the workers' own leases end the rest; whoever comes back
    // starts nothing of older epochs before every machine is accounted for.
    for away in [15_000, 17_900, 18_600, 26_000, 70_000] {
        for told in [3, 6, 20, 1500] {
            let case = (away, told);
            let jobs = [job(1, 0, "standing", 4), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
            let mut world = with_jobs(40_000, &jobs);
            let asked = world.withdraw(world.owner_of_team(1), "job-000002");
            world.run(told);
            let confirmed = world.said(asked) == "withdrawn";
            (0..3).for_each(|n| world.crash(n));
            world.run(away);
            (0..3).for_each(|n| world.start(n));
            world.run(6000);
            let before = stored(&world, "job-000002");
            assert!(!confirmed || before == "withdrawn", "{case:?}\n{}", world.trace());
            cancel(&mut world, &[0, 1, 2], "job-000002");
            world.run(CANCEL_MS);
            gone_in_time(&world, "job-000002", case);
            let well = |w: &World| stored(w, "job-000003") == "done" && w.running("job-000001") == 4;
            assert!(world.run_until(120_000, well), "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}
