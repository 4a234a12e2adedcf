//! Compound faults around take-overs: nothing runs twice or is forgotten when owners and leaders change.

mod compound_fault_support;

use compound_fault_support::{
    assert_no_breaches, cancel, each, gone_in_time, leader, runs, said_everywhere, stored, uid, unreached, with_jobs,
};
use tidelatch_core::settings::Operator;
use tidelatch_standin::faults;
use tidelatch_standin::{CANCEL_MS, Delivery, Size, World, job};

#[test]
fn leaders_that_change_ten_times_in_two_minutes_lose_nothing() {
    // Guard: each take-over asks every machine before it starts older tasks, and ends what is cancelled; in an
    // outage the entitlement rests on grants of lives that have read the store.
    for outage in [false, true] {
        for away in [40, 400, 2500] {
            let case = (outage, away);
            let jobs = [job(1, 0, "standing", 2), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
            let mut world = with_jobs(150_000, &jobs);
            for i in 0..10 {
                if outage && i == 3 {
                    world.note("the state service is down");
                    world.store.down = true;
                }
                if i == 6 {
                    world.store.down = false;
                }
                // Without a key of the last one, the change is that of whoever may become leader.
                let ends = leader(&world).unwrap_or(i % 3);
                world.crash(ends);
                world.run(away);
                world.start(ends);
                world.run(12_000 - away);
                world.withdraw(i % 3, "job-000003");
                world.poll((i + 1) % 3, "job-000002");
            }
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000003"), "withdrawn", "{case:?}");
            world.run(CANCEL_MS + 2000);
            gone_in_time(&world, "job-000003", case);
            assert!(
                world.unanswered(75_000, &["job-000001", "job-000002"]).is_empty(),
                "{case:?}"
            );
            assert_eq!(world.running("job-000001"), 2, "{case:?}\n{}", world.trace());
            let over = world.run_until(200_000, |w| stored(w, "job-000002") == "done");
            assert!(over, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn long_tasks_of_machines_that_are_not_reached_when_the_leader_ends_run_once() {
    // Guard: silence is no proof that a task is gone, and what may be on a machine that has not taken the new
    // token is started nowhere else before its lease has ended or it is deleted.
    for trouble in ["cut", "deaf"] {
        // Both teams have room for all of it once more.
        for share in [1, 2] {
            for for_ms in [9000, 22_000, 70_000] {
                let case = (trouble, share, for_ms);
                let jobs = [job(1, 0, "sweep", 2), job(2, 1, "standing", 2)];
                let mut world = with_jobs(120_000, &jobs);
                let mut machines = world.machines_of("job-000001");
                machines.extend(world.machines_of("job-000002"));
                machines.truncate(share);
                assert_eq!(machines.len(), share);
                let lost = if trouble == "cut" {
                    unreached(&machines)
                } else {
                    each(&machines, faults::deaf)
                };
                world.note(&format!("{trouble}: {machines:?}"));
                world.meddle(lost);
                let ends = leader(&world).expect("a leader");
                world.crash(ends);
                world.run(300);
                world.start(ends);
                let owner = world.owner_of_team(0);
                if owner != ends {
                    world.crash(owner);
                    world.run(900);
                    world.start(owner);
                }
                world.run(for_ms);
                world.calm();
                let well = |w: &World| stored(w, "job-000001") == "done" && w.running("job-000002") == 2;
                assert!(world.run_until(260_000, well), "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn reports_that_are_held_back_until_the_next_owner_acts_do_not_speak_for_the_present() {
    // Guard: a report under an older token, or older than the last one that was taken in, tells nothing.
    for held in [900, 4000, 6000, 12_000, 25_000] {
        for before in [300, 2600] {
            for lost in [true, false] {
                let case = (held, before, lost);
                let jobs = [
                    job(1, 0, "standing", 1),
                    job(2, 1, "sweep", 3),
                    job(3, 2, "standing", 3),
                ];
                let mut world = with_jobs(40_000, &jobs);
                let owner = world.owner_of_team(0);
                let next = (owner + 1) % 3;
                for (i, w) in world.workers.values_mut().enumerate() {
                    w.node = (next + i % 2) % 3;
                }
                // One report of each machine at least is from before it has got its further task.
                let until = world.now + 2600;
                world.meddle(move |l| match l.what {
                    "POST /agent/beat" if l.at < until && lost => Delivery::Late(held),
                    "POST /agent/beat" if l.at < until => Delivery::Copied(held),
                    _ => Delivery::Pass,
                });
                world.run(2600);
                let further = [job(4, 0, "sweep", 1), job(5, 1, "sweep", 1), job(6, 2, "sweep", 1)];
                further.iter().for_each(|j| world.accepted(next, j));
                let up = world.run_until(8000, |w| further.iter().all(|j| runs(w, j)));
                assert!(up, "{case:?}\n{}", world.trace());
                world.run(before);
                let ends = [owner, leader(&world).unwrap_or(owner)];
                ends.iter().for_each(|n| world.crash(*n));
                world.withdraw(next, "job-000002");
                world.run(300);
                ends.iter().for_each(|n| world.start(*n));
                cancel(&mut world, &[0, 1, 2], "job-000002");
                let well = |w: &World| {
                    let over = further.iter().all(|j| stored(w, uid(j)) == "done");
                    over && w.running("job-000001") == 1 && w.running("job-000003") == 3
                };
                assert!(world.run_until(120_000, well), "{case:?}\n{}", world.trace());
                world.run(30_000);
                gone_in_time(&world, "job-000002", case);
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn tasks_that_end_far_apart_across_a_change_of_leader_are_all_counted() {
    // Guard: what has completed is stored before the worker is told to forget it, and a new owner reads that
    // and the workers' reports before it calls a job done.
    for tasks in [2, 3] {
        for both in [false, true] {
            // From the end of the first task on.
            for after in [0, 2, 4, 8, 50, 400, 900, 1500, 6000] {
                let case = (tasks, both, after);
                let one_at_a_time = Size {
                    guarantee: 1.0,
                    limit: 1.0,
                    ..Size::default()
                };
                let mut world = World::sized(&Operator::default(), one_at_a_time);
                world.run_ms = 12_000;
                world.run(3000);
                world.accepted(0, &job(1, 0, "sweep", tasks));
                world.accepted(1, &job(2, 1, "sweep", tasks));
                let began = |w: &World| w.running("job-000001") == 1;
                assert!(world.run_until(30_000, began), "{case:?}\n{}", world.trace());
                while world.running("job-000001") == 1 {
                    world.run(1);
                }
                world.run(after);
                let owner = world.owner_of_team(0);
                let ends = if both {
                    vec![owner, (owner + 1) % 3]
                } else {
                    vec![owner]
                };
                ends.iter().for_each(|n| world.crash(*n));
                world.run(400);
                ends.iter().for_each(|n| world.start(*n));
                let mut node = 0;
                let over = |w: &World| ["job-000001", "job-000002"].iter().all(|id| stored(w, id) == "done");
                let until = world.now + 120_000;
                while world.now < until && !over(&world) {
                    world.poll(node % 3, "job-000001");
                    world.poll((node + 1) % 3, "job-000002");
                    world.run(700);
                    node += 1;
                }
                assert!(over(&world), "{case:?}\n{}", world.trace());
                assert_eq!(said_everywhere(&mut world, "job-000001"), ["done"; 3], "{case:?}");
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn controllers_that_hand_over_and_back_all_end_and_return_one_by_one_forget_nothing() {
    // Guard: all that was told is in the store, lives are told apart, and one controller alone serves all.
    for away in [30, 400, 900, 5000] {
        for first in 0..3 {
            for others in [300, 25_000] {
                let case = (away, first, others);
                let jobs = [job(1, 0, "standing", 2), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
                let mut world = with_jobs(60_000, &jobs);
                // Over and back.
                for node in [world.owner_of_team(0), world.owner_of_team(1)] {
                    world.crash(node);
                    world.run(away);
                    world.start(node);
                    world.run(away);
                }
                world.withdraw(first, "job-000003");
                world.submit((first + 1) % 3, &job(4, 0, "sweep", 2));
                world.run(4);
                (0..3).for_each(|n| world.crash(n));
                world.run(away);
                world.start(first);
                world.run(others);
                if others > 20_000 {
                    let polls = ["job-000001", "job-000002", "job-000003"].map(|id| world.poll(first, id));
                    world.run(2000);
                    let answered = polls.iter().all(|p| world.status(*p) == 200);
                    assert!(answered, "{case:?}\n{}", world.trace());
                }
                (0..3).filter(|n| *n != first).for_each(|n| world.start(n));
                cancel(&mut world, &[0, 1, 2], "job-000003");
                world.run(CANCEL_MS + 2000);
                gone_in_time(&world, "job-000003", case);
                let well = |w: &World| stored(w, "job-000002") == "done" && w.running("job-000001") == 2;
                assert!(world.run_until(150_000, well), "{case:?}\n{}", world.trace());
                let ids = ["job-000001", "job-000002", "job-000003"];
                assert!(world.unanswered(75_000, &ids).is_empty(), "{case:?}");
                assert_no_breaches(&world, case);
            }
        }
    }
}
