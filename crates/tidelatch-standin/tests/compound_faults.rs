//! Compound faults: two at once, as the operators list them, one trace a line, the spacings swept where they
//! matter. The rules hold without exception; each test names what keeps them.

use serde_json::{Value, json};
use tidelatch_core::Method;
use tidelatch_core::settings::Operator;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::{CANCEL_MS, Delivery, Size, Worker, World, job};

fn assert_no_breaches(world: &World, case: impl std::fmt::Debug) {
    assert!(
        world.broken.is_empty(),
        "{case:?}: {:?}\n{}",
        world.broken,
        world.trace()
    );
}

/// A world in which all tasks of some jobs run, for so long if they are of arrays.
fn with_jobs(run_ms: u64, jobs: &[Value]) -> World {
    let mut world = World::new();
    world.run_ms = run_ms;
    world.run(3000);
    for (i, body) in jobs.iter().enumerate() {
        world.accepted(i % 3, body);
    }
    let up = world.run_until(60_000, |w| jobs.iter().all(|j| runs(w, j)));
    assert!(up, "{}", world.trace());
    world
}

fn uid(body: &Value) -> &str {
    body["uid"].as_str().unwrap_or_default()
}

fn runs(world: &World, body: &Value) -> bool {
    body["wagons"] == world.running(uid(body))
}

fn stored(world: &World, id: &str) -> String {
    let record = world.store.get(&format!("t/j/{id}"));
    record.and_then(|j| j["st"].as_str()).unwrap_or_default().to_owned()
}

/// The leader, by its stored key.
fn leader(world: &World) -> Option<usize> {
    let holder = world.store.get("t/c/leader")?["name"].as_str()?;
    holder.strip_prefix("berth-")?.parse().ok()
}

/// A user cancels at some controllers, one after the other, until one says something final.
fn cancel(world: &mut World, nodes: &[usize], id: &str) -> String {
    for i in 0..60 {
        let asked = world.withdraw(nodes[i % nodes.len()], id);
        world.run(1000);
        if world.status(asked) == 200 {
            return world.said(asked);
        }
    }
    panic!("{id} is not cancelled:\n{}", world.trace());
}

/// What all controllers say of a job, each asked until it answers.
fn said_everywhere(world: &mut World, id: &str) -> Vec<String> {
    let mut words = Vec::new();
    for node in 0..3 {
        for _ in 0..20 {
            let asked = world.poll(node, id);
            world.run(1500);
            if world.status(asked) == 200 {
                words.push(world.said(asked));
                break;
            }
        }
    }
    words
}

/// A cancelled job's tasks are gone in time, and none was sent out after its user was told.
fn gone_in_time(world: &World, id: &str, case: impl std::fmt::Debug) {
    let gone = world.gone_after_confirmation(id);
    assert!(
        gone.is_some_and(|ms| ms <= CANCEL_MS),
        "{case:?}: {id}: {gone:?}\n{}",
        world.trace()
    );
    assert_eq!(
        world.checker().ordered_after(id),
        0,
        "{case:?}: {id}\n{}",
        world.trace()
    );
}

/// Nothing comes from some machines, and nothing reaches them.
fn unreached(machines: &[String]) -> FaultInjector {
    let cut = machines.to_vec();
    Box::new(move |l| {
        if cut.iter().any(|m| m == l.from || m == l.to) {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

fn each(machines: &[String], trouble: fn(&str) -> FaultInjector) -> FaultInjector {
    faults::all(machines.iter().map(|m| trouble(m)).collect())
}

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
fn transactions_that_are_carried_out_after_newer_ones_change_nothing_that_was_told() {
    // Guard: each transaction is on condition of the revisions that it was made from: the record's own, the
    // epoch's, its machine group's. What has no answer counts as open until a read or a repetition tells.
    for seed in 0..24 {
        let mut world = World::new();
        world.run_ms = 7000;
        world.run(3000);
        let late = faults::late_writes(seed, if seed % 2 == 0 { 0.15 } else { 0.4 });
        world.meddle(faults::during(0..70_000, late));
        let mut jobs = vec![job(1, 0, "standing", 2)];
        jobs.extend((2..8).map(|i| job(i, i % 3, "sweep", 1 + i % 3)));
        for (i, body) in jobs.iter().enumerate() {
            // Asked again and again, at different nodes, as the load balancer would have it.
            for again in 0..30 {
                let asked = world.submit((i + again) % 3, body);
                world.run(700);
                if matches!(world.status(asked), 200 | 201) {
                    break;
                }
            }
            if i == 3 {
                let owner = world.owner_of_team(1);
                world.crash(owner);
                world.run(400);
                world.start(owner);
            }
            if i == 5 {
                world.withdraw(i % 3, "job-000003");
            }
            world.withdraw(i % 3, "job-000005");
            world.run(2500);
        }
        world.run(70_000);
        cancel(&mut world, &[0, 1, 2], "job-000005");
        let ids: Vec<&str> = jobs.iter().map(uid).collect();
        assert!(world.unanswered(75_000, &ids).is_empty(), "{seed}\n{}", world.trace());
        for id in &ids[1..] {
            let word = stored(&world, id);
            assert!(word == "done" || word == "withdrawn", "{seed} {id}\n{}", world.trace());
            assert_eq!(said_everywhere(&mut world, id), [word.as_str(); 3], "{seed} {id}");
        }
        assert_eq!(world.running("job-000001"), 2, "{seed}\n{}", world.trace());
        // No machine is paid for that is in no machine group, and none is in a machine group that is gone.
        let mut roster = world.roster();
        roster.sort();
        let rented: Vec<String> = world.cloud.machines.keys().cloned().collect();
        assert_eq!(roster, rented, "{seed}\n{}", world.trace());
        assert_no_breaches(&world, seed);
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
fn users_cancel_and_ask_at_all_nodes_while_the_state_service_is_slow_or_refuses() {
    // Guard: nobody is told of an end that is not stored, nor of one that only one controller knows; a question
    // that is passed on is answered once, and grants carry the cancellations.
    for slow in [0, 150, 900, 1800] {
        for alone in [300, 4000, 9000] {
            let case = (slow, alone);
            let jobs = [job(1, 0, "sweep", 4), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
            let mut world = with_jobs(300_000, &jobs);
            let refused = leader(&world).expect("a leader");
            let name = format!("berth-{refused}");
            let from = world.now + 3000;
            let mut n = 0;
            world.meddle(move |l| {
                n += 1;
                if l.to != "state" {
                    Delivery::Pass
                } else if l.from == name && l.at >= from {
                    Delivery::Refused
                } else if slow > 0 && n % 3 != 0 {
                    Delivery::Slow(slow)
                } else {
                    Delivery::Pass
                }
            });
            let ask = |world: &mut World, ms: u64| {
                let until = world.now + ms;
                let mut i = 0;
                while world.now < until {
                    world.poll(i % 3, "job-000001");
                    world.withdraw((i + 1) % 3, "job-000001");
                    world.poll((i + 2) % 3, "job-000002");
                    world.submit(i % 3, &jobs[2]);
                    world.run(170);
                    i += 1;
                }
            };
            world.run(2950);
            ask(&mut world, 50 + alone);
            world.note("the state service is down");
            world.store.down = true;
            world.withdraw(refused, "job-000002");
            ask(&mut world, 300);
            world.run(CANCEL_MS + 7000);
            world.store.down = false;
            world.calm();
            ask(&mut world, 2000);
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000001"), "withdrawn", "{case:?}");
            world.run(CANCEL_MS + 2000);
            gone_in_time(&world, "job-000001", case);
            assert_eq!(said_everywhere(&mut world, "job-000001"), ["withdrawn"; 3], "{case:?}");
            assert_eq!(world.running("job-000003"), 4, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn jobs_bound_to_one_zone_that_lose_machines_go_on_there_or_move_whole() {
    // Guard: a job whose tasks belong together counts those that may still be on a lost machine, and a machine's
    // zone is looked at for each start.
    for how in ["hang", "taken", "cut"] {
        for share in [1, 2] {
            for (room, change) in [(true, false), (false, false), (true, true), (false, true)] {
                let case = (how, share, room, change);
                let mut array = job(1, 0, "sweep", 3);
                array["together"] = json!(true);
                let mut bound = job(2, 1, "sweep", 3);
                bound["yard"] = json!("b");
                let mut service = job(3, 2, "standing", 3);
                service["together"] = json!(true);
                let mut world = with_jobs(60_000, &[array, bound, service]);
                let zone_of = |w: &World, j: u32| {
                    let machine = w.machines_of(&format!("job-00000{j}"))[0].clone();
                    w.workers[&machine].zone.clone()
                };
                // Each team has a machine with room in the other zone, too.
                for team in 0..3 {
                    let here = zone_of(&world, team + 1);
                    let mut other = job(team + 4, team, "standing", 1);
                    other["yard"] = json!(if here == "a" { "b" } else { "a" });
                    world.accepted(0, &other);
                }
                let others = |w: &World| (4..7).all(|j| w.running(&format!("job-00000{j}")) == 1);
                assert!(world.run_until(30_000, others), "{case:?}\n{}", world.trace());
                let lost: Vec<String> = (1..=3)
                    .flat_map(|j| world.machines_of(&format!("job-00000{j}")).into_iter().take(share))
                    .collect();
                if !room {
                    // Nothing more is to be had where they are.
                    let zone = world.workers[&lost[0]].zone.clone();
                    world.cloud.most_in_zone.insert(zone, 0);
                }
                world.note(&format!("{how}: {lost:?}"));
                for name in &lost {
                    match how {
                        "hang" => world.workers.get_mut(name).expect("a worker").hanging = true,
                        "taken" => {
                            world.workers.remove(name);
                            world.cloud.machines.remove(name);
                        }
                        _ => {}
                    }
                }
                if how == "cut" {
                    world.meddle(unreached(&lost));
                }
                if change {
                    let ends = leader(&world).expect("a leader");
                    world.crash(ends);
                    world.run(300);
                    world.start(ends);
                }
                world.run(45_000);
                world.calm();
                for name in &lost {
                    if let Some(w) = world.workers.get_mut(name) {
                        w.hanging = false;
                    }
                }
                world.cloud.most_in_zone.clear();
                let over = |w: &World| ["job-000001", "job-000002"].iter().all(|id| stored(w, id) == "done");
                let well = |w: &World| over(w) && w.running("job-000003") == 3;
                assert!(world.run_until(200_000, well), "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
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

/// Bodies that no job can have, each with what is changed of a right one.
fn odd_bodies(id: u32) -> Vec<Value> {
    let fields = [
        ("crew", json!("nobody")),
        ("crew", json!(7)),
        ("crew", Value::Null),
        ("wagons", json!(0)),
        ("wagons", json!(100_001)),
        ("wagons", json!(-1)),
        ("wagons", json!("4")),
        ("shape", json!("circle")),
        ("precedence", json!(["low"])),
        ("vcpus", json!(1000.0)),
        ("vcpus", json!(-8.0)),
        ("accelerators", json!(3.0)),
        ("ramGb", json!("much")),
        ("models", json!(["m9"])),
        ("models", json!("m2")),
        ("yard", json!("z")),
        ("yard", json!({ "a": 1 })),
        ("together", json!("yes")),
        ("sizeGb", json!(-1.0)),
        ("runtimeS", Value::Null),
        ("stowS", json!([])),
        ("dueS", json!("soon")),
    ];
    let mut all: Vec<Value> = fields
        .into_iter()
        .map(|(field, value)| {
            let mut body = job(id, 0, "sweep", 2);
            body[field] = value;
            body
        })
        .collect();
    for field in [
        "consist",
        "crew",
        "shape",
        "precedence",
        "wagons",
        "vcpus",
        "accelerators",
        "ramGb",
        "stock",
        "sizeGb",
        "together",
        "spread",
        "standby",
        "runtimeS",
        "waypointS",
        "stowS",
    ] {
        let mut body = job(id, 0, "sweep", 2);
        body.as_object_mut().expect("an object").remove(field);
        all.push(body);
    }
    // A service that is more than its team's limit.
    all.push(job(id, 0, "standing", 5));
    all
}

/// Sends a body as it is, and returns the answer's status.
fn send(world: &mut World, node: usize, body: &str, id: &str) -> u16 {
    let asked = world.user(node, Method::Post, "/submissions", body, (id.to_owned(), "submit"));
    world.run(30);
    world.status(asked)
}

#[test]
fn jobs_that_cannot_run_or_lack_a_field_are_refused_unless_their_id_was_accepted() {
    // Guard: a submission is refused for good only after a read of the store has found no job of its id.
    let mut world = World::new();
    world.run(4000);
    let accepted = job(1, 0, "sweep", 2);
    let service = job(2, 1, "standing", 1);
    world.accepted(0, &accepted);
    world.accepted(0, &service);
    let odd_of_accepted = odd_bodies(1);
    for (i, body) in odd_bodies(900).iter().enumerate() {
        for node in [0, 1, 2, i % 3] {
            let status = send(&mut world, node, &body.to_string(), "job-000900");
            assert!(matches!(status, 400 | 422), "{status} to {body}\n{}", world.trace());
        }
        let status = send(&mut world, i % 3, &odd_of_accepted[i].to_string(), "job-000001");
        assert_eq!(status, 200, "{}\n{}", odd_of_accepted[i], world.trace());
    }
    assert!(world.store.get("t/j/job-000900").is_none(), "{}", world.trace());
    // Right after an acceptance, at controllers that have not read of it yet.
    for i in 0..6 {
        let body = job(10 + i, i % 3, "sweep", 1);
        let first = world.submit(i as usize % 3, &body);
        while world.status(first) == 0 {
            world.run(1);
        }
        assert_eq!(world.status(first), 201, "{}", world.trace());
        for (at, node) in [(1, (i + 1) % 3), (5, (i + 2) % 3)] {
            let mut odd = body.clone();
            odd["wagons"] = json!(0);
            let status = send(&mut world, node as usize, &odd.to_string(), uid(&body));
            assert_eq!(status, 200, "{}", world.trace());
            world.run(at);
        }
    }
    let done = |w: &World| stored(w, "job-000001") == "done";
    assert!(world.run_until(60_000, done), "{}", world.trace());
    // After its end, right after a controller's start, and while the state service is out.
    for (i, body) in odd_of_accepted.iter().enumerate() {
        let node = i % 3;
        world.store.down = i % 4 == 3;
        if i % 5 == 4 {
            world.crash(node);
            world.run(20);
            world.start(node);
        }
        for wait in [1, 5, 40] {
            world.run(wait);
            let status = send(&mut world, node, &body.to_string(), "job-000001");
            assert!(matches!(status, 0 | 200 | 503), "{status} to {body}\n{}", world.trace());
            let unfit = json!({ "uid": "job-000002" }).to_string();
            let status = send(&mut world, node, &unfit, "job-000002");
            assert!(matches!(status, 0 | 200 | 503), "{status}\n{}", world.trace());
        }
    }
    world.store.down = false;
    world.run(20_000);
    for node in 0..3 {
        let late = [world.withdraw(node, "job-000001"), world.poll(node, "job-000001")];
        let unknown = [world.withdraw(node, "job-000900"), world.poll(node, "job-000900")];
        world.run(200);
        for asked in late {
            assert_eq!((world.status(asked), world.said(asked).as_str()), (200, "done"));
        }
        for asked in unknown {
            assert_eq!(world.status(asked), 404, "{}", world.trace());
        }
    }
    assert!(
        world.run_until(30_000, |w| w.running("job-000002") == 1),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world, "");
}

#[test]
fn what_is_no_request_at_all_ends_no_controller() {
    // Guard: nothing that comes from outside is taken for granted; whatever is not in form is refused.
    let mut world = World::new();
    world.run(4000);
    world.accepted(0, &job(1, 0, "standing", 1));
    let mut long = job(900, 0, "sweep", 1);
    long["consist"] = json!("x".repeat(70_000));
    let bodies = [
        String::new(),
        "null".into(),
        "[]".into(),
        "17".into(),
        "\"job-000900\"".into(),
        "{".into(),
        "{}".into(),
        "{\"uid\":null}".into(),
        "{\"uid\":17}".into(),
        "{\"uid\":\"\"}".into(),
        "{\"uid\":\"job-000900/../../x y\"}".into(),
        format!("{{\"uid\":\"{}\"}}", "j".repeat(500)),
        "{\"uid\":\"job-000900\",\"wagons\":1e999}".into(),
        "{\"uid\":\"job-000900\",\"wagons\":99999999999999999999999}".into(),
        "[".repeat(60_000),
        "{\"a\":".repeat(20_000),
        "x".repeat(1_000_000),
        "\u{0}\u{1}\u{fffd}".into(),
        long.to_string(),
    ];
    // Those that are in form may be answered as those of any machine that nobody knows.
    let most = u64::MAX;
    let wild = json!({ "berth": "n-9", "addr": "n-9:1", "model": "m2", "yard": "a", "standby": false,
        "shift": most, "tally": most, "baton": most,
        "wagons": [{ "wagon": "//", "run": 0, "status": "odd" }] });
    let empty = json!({ "berth": "", "addr": "", "model": "", "yard": "", "standby": true,
        "shift": 0, "tally": 0, "baton": 0, "wagons": [] });
    let (wild, empty) = (wild.to_string(), empty.to_string());
    let beats = [
        (r#"{"berth":"n-000001"}"#, false),
        (r#"{"berth":17,"wagons":{}}"#, false),
        (&empty, true),
        (&wild, true),
    ];
    for node in 0..3 {
        for body in &bodies {
            let status = send(&mut world, node, body, "job-000900");
            assert!(matches!(status, 400 | 422), "{status} to {body:.80}");
        }
        for (body, formed) in bodies.iter().map(|b| (b.as_str(), false)).chain(beats) {
            let asked = world.user(node, Method::Post, "/agent/beat", body, ("beat".into(), "health"));
            world.run(30);
            let status = world.status(asked);
            assert!(formed || status != 200, "{status} to {body:.80}");
        }
        for path in [
            "/submissions/",
            "/submissions//withdraw",
            "/submissions/%00",
            "/",
            "",
            "/store/x",
        ] {
            for method in [Method::Get, Method::Post, Method::Delete] {
                let asked = world.user(node, method, path, "", ("odd".into(), "health"));
                world.run(30);
                let status = world.status(asked);
                assert!((400..500).contains(&status), "{status} to {path}");
            }
        }
    }
    world.run(10_000);
    assert!(
        world.unanswered(20_000, &["job-000001"]).is_empty(),
        "{}",
        world.trace()
    );
    assert_eq!(world.running("job-000001"), 1, "{}", world.trace());
    assert_no_breaches(&world, "");
}

#[test]
fn once_faults_are_over_no_job_waits_where_there_is_room_and_none_is_unanswered() {
    // Guard: whatever a trouble leaves behind (a machine in doubt, a reservation, a job that rests) is looked at
    // again in time.
    for seed in 0..8u64 {
        let jobs: Vec<Value> = (0..12)
            .map(|i| {
                let mut body = job(i + 1, i % 3, if i < 3 { "standing" } else { "sweep" }, 1 + i % 4);
                body["together"] = json!(i == 7);
                body
            })
            .collect();
        let mut world = World::new();
        world.run_ms = 9000;
        world.cloud.most = 8;
        world.run(3000);
        for (i, body) in jobs.iter().enumerate() {
            world.accepted(i % 3, body);
        }
        world.run(6000);
        let busy: Vec<String> = world.workers.keys().cloned().collect();
        let from = world.now;
        let mut injectors = vec![
            faults::late_writes(seed, 0.1),
            faults::late_copies(seed, 0.2),
            faults::lost_answers(seed + 100, 0.1),
        ];
        for (i, m) in busy.iter().enumerate() {
            match (seed + i as u64) % 5 {
                0 => injectors.push(faults::mute(m)),
                1 => injectors.push(faults::deaf(m)),
                2 => injectors.push(unreached(std::slice::from_ref(m))),
                _ => {}
            }
        }
        let node = seed as usize % 3;
        injectors.push(faults::during(from + 20_000..from + 40_000, faults::cut_off(node)));
        world.meddle(faults::during(from..from + 60_000, faults::all(injectors)));
        world.run(10_000);
        world.crash((node + 1) % 3);
        world.run(500);
        world.start((node + 1) % 3);
        world.run(52_000);
        world.calm();
        // How long each job has waited though it need not.
        let mut since = vec![None; jobs.len()];
        let over = world.now + 200_000;
        let mut at = 0;
        let mut polls = vec![Vec::new(); jobs.len()];
        while world.now < over {
            for (i, body) in jobs.iter().enumerate() {
                let id = uid(body);
                if at % 6 == 0 {
                    let asked = world.poll((at / 6 + i) % 3, id);
                    polls[i].push((world.now, asked));
                }
                let used: usize = jobs
                    .iter()
                    .filter(|j| j["crew"] == body["crew"])
                    .map(|j| on(&world, uid(j)))
                    .sum();
                let waits = on(&world, id) == 0 && !world.checker().all_done(id);
                let room = world.workers.values().any(|w| !w.hanging && tasks_on(w) < 2);
                if waits && room && used < 4 {
                    let began: u64 = *since[i].get_or_insert(world.now);
                    assert!(world.now - began < 90_000, "{seed}: {id} waits\n{}", world.trace());
                } else {
                    since[i] = None;
                }
            }
            world.run(500);
            at += 1;
        }
        for (i, asked) in polls.iter().enumerate() {
            let mut last = asked[0].0;
            for (at, _) in asked.iter().filter(|(_, r)| world.status(*r) == 200) {
                assert!(at - last < 75_000, "{seed}: {}\n{}", uid(&jobs[i]), world.trace());
                last = *at;
            }
            assert!(over - last < 75_000, "{seed}: {}\n{}", uid(&jobs[i]), world.trace());
        }
        for body in &jobs[3..] {
            assert_eq!(stored(&world, uid(body)), "done", "{seed}\n{}", world.trace());
        }
        assert_no_breaches(&world, seed);
    }
}

/// Tasks on a machine, in whatever state but ended.
fn tasks_on(worker: &Worker) -> usize {
    worker.tasks.values().filter(|a| a.state != "ended").count()
}

/// Tasks of a job that are on machines.
fn on(world: &World, id: &str) -> usize {
    let prefix = format!("{id}/");
    let tasks = world.workers.values().flat_map(|w| &w.tasks);
    tasks
        .filter(|((task, _), a)| task.starts_with(&prefix) && a.state != "ended")
        .count()
}

#[test]
fn a_late_read_that_found_no_job_is_not_told_once_the_job_is_known() {
    // Guard: by the time at which a read
    // comes back, this very controller may have accepted the job, and told its user.
    for late in [20, 150, 900] {
        for question in ["poll", "withdraw", "odd"] {
            let case = (late, question);
            let mut world = World::new();
            world.run(4000);
            let node = world.owner_of_team(0);
            world.meddle(move |l| {
                if l.what.starts_with("GET /store/t/j/") {
                    Delivery::AnswerLate(late)
                } else {
                    Delivery::Pass
                }
            });
            let body = job(1, 0, "sweep", 1);
            match question {
                "poll" => world.poll(node, "job-000001"),
                "withdraw" => world.withdraw(node, "job-000001"),
                _ => {
                    let odd = json!({ "uid": "job-000001" }).to_string();
                    let about = ("job-000001".to_owned(), "submit");
                    world.user(node, Method::Post, "/submissions", &odd, about)
                }
            };
            // The same user's submission, or its repetition, on another connection.
            world.run(3);
            let accepted = world.submit(node, &body);
            world.run(1500);
            assert_eq!(world.status(accepted), 201, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_late_answer_of_a_jobs_owner_is_not_passed_on_once_its_end_is_known() {
    // Guard: by the time at which the owner's answer
    // arrives, this controller may have read the job's end from the watch, and told users of it.
    for late in [3, 5, 20, 100, 300, 450] {
        for submits in [false, true] {
            for node in 1..3 {
                for ends in [false, true] {
                    let case = (late, submits, node, ends);
                    let body = job(1, 0, "sweep", 2);
                    let mut world = with_jobs(if ends { 4000 } else { 300_000 }, std::slice::from_ref(&body));
                    let asks = (world.owner_of_team(0) + node) % 3;
                    let mut answers = 0;
                    world.meddle(move |l| {
                        answers += u64::from(l.what == "forward");
                        // The first question's answer is late; the others' are not.
                        if l.what == "forward" && answers % 2 == 1 {
                            Delivery::AnswerLate(late)
                        } else {
                            Delivery::Pass
                        }
                    });
                    if ends {
                        // Asked every few milliseconds round the end of its last task.
                        while !world.checker().all_done("job-000001") {
                            world.run(1);
                        }
                    }
                    let first = if submits {
                        world.submit(asks, &body)
                    } else {
                        world.poll(asks, "job-000001")
                    };
                    if !ends {
                        world.withdraw(asks, "job-000001");
                    }
                    for _ in 0..60 {
                        world.poll(asks, "job-000001");
                        world.run(10);
                    }
                    assert!(matches!(world.status(first), 200 | 503), "{case:?}\n{}", world.trace());
                    assert_no_breaches(&world, case);
                }
            }
        }
    }
}

#[test]
fn an_answer_that_lay_in_the_buffers_of_a_controller_that_stood_still_is_not_passed_on() {
    // Guard: an answer of another controller, or of the state service, is as old as it is. What is
    // lay in the buffers while this controller stood still tells nothing. Less than a quarter of a report cannot be
    // told from a slow network or a busy processor.
    for still_ms in [1000, 1900, 4000] {
        for cancel_first in [true, false] {
            for node in 1..3 {
                let case = (still_ms, node, cancel_first);
                let mut world = with_jobs(300_000, &[job(1, 0, "sweep", 2)]);
                let owner = world.owner_of_team(0);
                let asks = (owner + node) % 3;
                if cancel_first {
                    world.poll(asks, "job-000001");
                } else {
                    world.submit(asks, &job(1, 0, "sweep", 2));
                }
                world.run(1);
                // The question has been passed on; its answer comes while nobody reads it.
                world.freeze(asks);
                world.run(20);
                let told = world.withdraw(owner, "job-000001");
                world.run(50);
                assert_eq!(world.said(told), "withdrawn", "{case:?}\n{}", world.trace());
                world.run(still_ms);
                world.thaw(asks);
                world.run(2000);
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn a_job_does_not_wait_while_there_is_room_on_a_machine_that_another_team_uses() {
    // The page: "no job is left waiting for 90 s while a machine that fits has room and its team is under its
    // limit". The cloud has no more machines, and each of two teams has one task on a machine with room for two.
    for shape in ["standing", "sweep"] {
        for change in [false, true] {
            let case = (shape, change);
            let mut world = World::new();
            world.run_ms = 600_000;
            world.cloud.most = 2;
            world.run(3000);
            world.accepted(0, &job(1, 0, shape, 1));
            let first = world.run_until(30_000, |w| w.running("job-000001") == 1);
            assert!(first, "{case:?}\n{}", world.trace());
            world.accepted(0, &job(2, 1, shape, 1));
            let second = world.run_until(30_000, |w| w.running("job-000002") == 1);
            assert!(second, "{case:?}\n{}", world.trace());
            if change {
                let owner = world.owner_of_team(2);
                world.crash(owner);
                world.run(300);
                world.start(owner);
            }
            world.accepted(0, &job(3, 2, shape, 1));
            let third = world.run_until(90_000, |w| w.running("job-000003") == 1);
            assert!(third, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}
