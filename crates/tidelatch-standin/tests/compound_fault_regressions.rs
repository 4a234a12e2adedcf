//! Compound faults that broke rules elsewhere, one a test. All rules are checked by the world's checker; what a
//! test asserts beside that is what its combination of faults is about.

use std::collections::BTreeSet;
use tidelatch_core::settings::Operator;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::support::assert_no_breaches;
use tidelatch_standin::{CANCEL_MS, Delivery, Size, World, job};

fn id(n: u32) -> String {
    format!("job-{n:06}")
}

/// Whether a job's end is stored.
fn is_over(world: &World, id: &str) -> bool {
    let over = |st: &serde_json::Value| st == "done" || st == "withdrawn";
    world.store.get(&format!("t/j/{id}")).is_some_and(|j| over(&j["st"]))
}

/// Cancels a job at one controller after the other until its user is told how it ended.
fn cancel(world: &mut World, from: usize, id: &str) -> String {
    for i in 0..60 {
        let request = world.withdraw((from + i) % 3, id);
        world.run(1000);
        if world.status(request) == 200 {
            return world.said(request);
        }
    }
    panic!("nobody cancels {id}\n{}", world.trace());
}

/// Users who look closely: whenever one is told of something new, all controllers are asked about the job
/// within the millisecond, and its submission is repeated at all of them.
struct CloseLooks {
    seen: BTreeSet<u64>,
    known: BTreeSet<(String, String)>,
    looks: u32,
}

impl CloseLooks {
    fn new() -> Self {
        Self {
            seen: BTreeSet::new(),
            known: BTreeSet::new(),
            looks: 0,
        }
    }

    fn run(&mut self, world: &mut World, ms: u64, bodies: &[serde_json::Value]) {
        for _ in 0..ms {
            world.run(1);
            let news: Vec<(u64, String)> = world
                .answers
                .iter()
                .filter(|(request, (_, a))| !self.seen.contains(request) && matches!(a.status, 200 | 201))
                .map(|(request, (_, a))| (*request, a.body.clone()))
                .collect();
            for (request, body) in news {
                self.seen.insert(request);
                let body: serde_json::Value = serde_json::from_str(&body).expect("JSON");
                let (job, said) = (
                    body["uid"].as_str().unwrap_or(""),
                    body["status"].as_str().unwrap_or(""),
                );
                // A user may be told the same in other words; only what is new is looked at.
                let word = if said == "running" { "queued" } else { said };
                if !self.known.insert((job.to_owned(), word.to_owned())) {
                    continue;
                }
                self.looks += 1;
                for node in 0..3 {
                    world.poll(node, job);
                    if let Some(body) = bodies.iter().find(|b| b["uid"] == job) {
                        world.submit(node, body);
                    }
                }
            }
        }
    }
}

#[test]
fn close_looks_find_nothing_older_at_any_node() {
    // Guard: only a stored end is told from memory by those who do not own the job; all else is its entitled
    // owner's word or a fresh read. An owner whose own change has no answer yet reads as well.
    for (seed, crash) in [(1, false), (2, false), (3, true), (4, true)] {
        let mut world = World::new();
        world.run_ms = 1500;
        world.run(3000);
        let bodies: Vec<serde_json::Value> = (1..=12).map(|n| job(n, n % 3, "sweep", 1 + n % 2)).collect();
        let mut looks = CloseLooks::new();
        world.accepted(0, &job(90, 0, "sweep", 1));
        looks.run(&mut world, 9000, &bodies);
        let injectors: Vec<FaultInjector> = vec![faults::lost_answers(seed, 0.3), faults::late_copies(seed, 0.2)];
        world.meddle(faults::all(injectors));
        for (n, body) in bodies.iter().enumerate() {
            world.submit(n % 3, body);
            looks.run(&mut world, 300, &bodies);
            if n == 6 && crash {
                let owner = world.owner_of_team(0);
                world.crash(owner);
                looks.run(&mut world, 200, &bodies);
                world.start(owner);
            }
            if n % 3 == 0 {
                // Cancelled at two of them in the same moment.
                let id = body["uid"].as_str().expect("an id");
                world.withdraw(n % 3, id);
                world.withdraw((n + 1) % 3, id);
            }
        }
        looks.run(&mut world, 25_000, &bodies);
        world.calm();
        // What got no answer comes again.
        for (n, body) in bodies.iter().enumerate() {
            world.submit((n + 1) % 3, body);
            looks.run(&mut world, 50, &bodies);
        }
        looks.run(&mut world, 20_000, &bodies);
        assert_no_breaches(&world);
        assert!(
            looks.looks >= 18,
            "seed {seed}: {} looks\n{}",
            looks.looks,
            world.trace()
        );
        let all = (1..=12).all(|n| is_over(&world, &id(n)));
        assert!(all, "seed {seed}\n{}", world.trace());
    }
}

#[test]
fn an_end_whose_answer_is_lost_is_honoured_from_the_moment_it_is_sent() {
    // Guard: others may tell of it at once. Its writer starts nothing more, stops what runs, and answers
    // nothing older from its memory.
    let mut world = World::new();
    world.run_ms = 300_000;
    world.run(3000);
    world.accepted(0, &job(1, 0, "sweep", 4));
    assert!(
        world.run_until(20_000, |w| w.running("job-000001") >= 2),
        "{}",
        world.trace()
    );
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.meddle(move |l| {
        let end = l.from == name && l.what == "POST /txn" && l.body.contains("withdrawn");
        // Its watch is behind as well.
        let watch = l.from == name && l.what.starts_with("GET /changes");
        match (end, watch) {
            (true, _) => Delivery::AnswerLost,
            (_, true) => Delivery::Lost,
            _ => Delivery::Pass,
        }
    });
    world.run(6000);
    world.withdraw(owner, "job-000001");
    world.run(10);
    for _ in 0..20 {
        for node in 0..3 {
            world.poll(node, "job-000001");
        }
        world.run(20);
    }
    let told = world.answers.values().filter(|(_, a)| a.body.contains("withdrawn"));
    assert!(told.count() > 3, "{}", world.trace());
    world.run(4000);
    assert!(world.machines_of("job-000001").is_empty(), "{}", world.trace());
    assert_eq!(world.checker().ordered_after("job-000001"), 0, "{}", world.trace());
    world.calm();
    world.run(20_000);
    assert_no_breaches(&world);
}

#[test]
fn full_teams_with_hanging_machines_and_cancellations_keep_their_limits_over_a_change_of_leader() {
    // Guard: a cancelled task counts against its team's limit until there is evidence, whoever owns it by then;
    // and the evidence is made in time, so that nobody waits for its room for ever.
    for (crash_ms, back_ms) in [(10, 300), (3000, 6000), (12_000, 300)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run(3000);
        for team in 0..3 {
            world.accepted(0, &job(team + 1, team, "sweep", 4));
        }
        let full = |w: &World| (1..=3).all(|n| w.running(&id(n)) == 4);
        assert!(world.run_until(40_000, full), "{}", world.trace());
        for team in 0..3 {
            // These wait for the room of the others.
            world.accepted(0, &job(team + 11, team, "sweep", 4));
        }
        let leader = world.owner_of_team(0);
        let mut stuck = Vec::new();
        for n in 1..=3 {
            let machine = world
                .machines_of(&id(n))
                .first()
                .cloned()
                .expect("the job runs on a machine");
            world.note(&format!("{machine} hangs"));
            world.workers.get_mut(&machine).expect("a worker").hanging = true;
            stuck.push(machine);
        }
        for n in 1..=3 {
            world.withdraw(1, &id(n));
        }
        world.run(crash_ms);
        world.crash(leader);
        world.run(back_ms);
        world.start(leader);
        for n in 1..=3 {
            assert_eq!(cancel(&mut world, 1, &id(n)), "withdrawn");
        }
        world.run(CANCEL_MS);
        assert_no_breaches(&world);
        for machine in &stuck {
            assert!(world.cloud.deleted.contains(machine), "{machine}\n{}", world.trace());
        }
        let full = |w: &World| (11..=13).all(|n| w.running(&id(n)) == 4);
        assert!(world.run_until(30_000, full), "{}", world.trace());
        assert_no_breaches(&world);
    }
}

#[test]
fn cancellations_meet_work_that_changes_hands_there_and_back() {
    // Guard: the new owner stops tasks of ended jobs on every machine that reports, also those that came with
    // direct starts still in flight; and an end that was asked of the old one is asked again of the new one.
    for (away, lead) in [(300, 0), (300, 40), (900, 400), (8000, 0), (8000, 7000), (12_000, 9000)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run(3000);
        world.accepted(0, &job(1, 0, "sweep", 2));
        assert!(
            world.run_until(30_000, |w| w.running("job-000001") == 2),
            "{}",
            world.trace()
        );
        let owner = world.owner_of_team(0);
        let name = format!("berth-{owner}");
        // Direct commands of the old owner are held up for seconds.
        let slow = name.clone();
        world.meddle(move |l| {
            if l.from == slow && l.what == "POST /commands" {
                Delivery::Late(9000)
            } else {
                Delivery::Pass
            }
        });
        world.accepted(0, &job(2, 0, "sweep", 2));
        world.run(300);
        world.crash(owner);
        world.run(away.min(lead));
        let first = world.withdraw((owner + 1) % 3, "job-000001");
        world.withdraw((owner + 2) % 3, "job-000002");
        world.run(away - away.min(lead));
        world.start(owner);
        let _ = first;
        for n in 1..=2 {
            assert_eq!(cancel(&mut world, owner + 1, &id(n)), "withdrawn", "{}", world.trace());
        }
        world.calm();
        world.run(CANCEL_MS);
        assert_no_breaches(&world);
        for n in 1..=2 {
            assert_eq!(world.checker().ordered_after(&id(n)), 0, "{}", world.trace());
            let ms = world.gone_after_confirmation(&id(n));
            assert!(ms.is_some_and(|ms| ms < CANCEL_MS), "{ms:?}\n{}", world.trace());
        }
    }
}

#[test]
fn machines_that_are_up_at_once_get_work_only_once_their_entries_are_clear() {
    // Guard: rental, machine group, boot batch, first start, in this order. A machine whose entry is in doubt gets nothing, for
    // a new owner would not know that it holds tasks.
    for seed in 1..=6 {
        let mut world = World::new();
        world.run_ms = 8000;
        world.run(3000);
        let mut injectors: Vec<FaultInjector> = vec![faults::late_writes(seed, 0.4)];
        if seed % 2 == 0 {
            injectors.push(faults::lost_answers(seed, 0.3));
        }
        world.meddle(faults::all(injectors));
        for n in 1..=4 {
            world.submit(n as usize % 3, &job(n, n % 3, "sweep", 3));
        }
        // Machines boot in 3 s; the leader ends while their entries are on their way.
        world.run(1500 + 700 * seed);
        let leader = world.owner_of_team(0);
        world.crash(leader);
        world.run(if seed % 3 == 0 { 300 } else { 9000 });
        world.start(leader);
        for n in 1..=4 {
            world.submit(1, &job(n, n % 3, "sweep", 3));
        }
        world.run(20_000);
        // All that holds tasks stands in the roster.
        let roster: BTreeSet<String> = world.roster().into_iter().collect();
        for n in 1..=4 {
            for m in world.machines_of(&id(n)) {
                assert!(roster.contains(&m), "seed {seed}: {m}\n{}", world.trace());
            }
        }
        world.calm();
        for n in 1..=4 {
            world.accepted(1, &job(n, n % 3, "sweep", 3));
        }
        let all = |w: &World| (1..=4).all(|n| is_over(w, &id(n)));
        assert!(world.run_until(90_000, all), "seed {seed}\n{}", world.trace());
        assert_no_breaches(&world);
    }
}

#[test]
fn old_reports_that_come_with_a_new_leader_are_no_evidence_and_no_sign_of_life() {
    // Guard: session, number and token. Copies that every controller gets just as an epoch begins neither free
    // room nor keep a machine that has died in the meantime from being given up.
    for back_ms in [None, Some(300), Some(9000)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run(3000);
        world.keep_reports();
        for team in 0..3 {
            world.accepted(0, &job(team + 1, team, "sweep", 4));
        }
        let full = |w: &World| (1..=3).all(|n| w.running(&id(n)) == 4);
        assert!(world.run_until(40_000, full), "{}", world.trace());
        world.run(5000);
        let dead = world
            .machines_of("job-000001")
            .first()
            .cloned()
            .expect("the job runs on a machine");
        world.note(&format!("{dead} dies"));
        world.workers.get_mut(&dead).expect("a worker").hanging = true;
        let owner = world.owner_of_team(0);
        // Copies of what it said before go on coming, to everybody.
        let (machine, count) = (dead.clone(), std::cell::Cell::new(0));
        world.meddle(move |l| {
            count.set(count.get() + 1);
            let copies = l.what == "POST /agent/beat" && l.from != machine && count.get() % 3 == 0;
            if copies { Delivery::Copied(9000) } else { Delivery::Pass }
        });
        world.crash(owner);
        if let Some(ms) = back_ms {
            world.run(ms);
            world.start(owner);
        }
        let since = world.now;
        let given_up = |w: &World| w.cloud.deleted.contains(&dead);
        assert!(world.run_until(45_000, given_up), "{}", world.trace());
        let ms = world.now - since;
        assert!(ms < 30_000, "after {ms} ms\n{}", world.trace());
        assert!(world.run_until(40_000, full), "{}", world.trace());
        assert_no_breaches(&world);
    }
}

#[test]
fn one_task_jobs_four_a_second_leave_room_for_others_and_stay_within_the_writes() {
    // Guard: an acceptance and an end cost a change each, a cancellation no more; greetings that tell of
    // cancellations are few; others are served meanwhile.
    let mut world = World::sized(
        &Operator::default(),
        Size {
            teams: 6,
            guarantee: 20.0,
            limit: 60.0,
            write_rps: 25.0,
            value_kb: 4.0,
            ..Size::default()
        },
    );
    world.cloud.most = 120;
    world.run_ms = 6000;
    world.run(3000);
    world.accepted(0, &job(9001, 1, "standing", 4));
    world.accepted(0, &job(9002, 2, "sweep", 40));
    let sent = world.sent;
    let from = world.now;
    let mut put_off = Vec::new();
    let mut asked: Vec<(u32, u64)> = Vec::new();
    for n in 1..=360u32 {
        let node = n as usize % 3;
        let body = job(n, n % 6, "sweep", 1);
        let request = world.submit(node, &body);
        world.run(250);
        if world.status(request) != 201 {
            put_off.push(body);
        } else if n % 4 == 0 {
            asked.push((n, world.withdraw((node + 1) % 3, &id(n))));
        }
        if n % 8 == 0 {
            world.poll(node, &id(n / 2));
        }
    }
    let seconds = (world.now - from) / 1000;
    assert!(put_off.len() < 20, "{} put off", put_off.len());
    for body in put_off {
        world.accepted(0, &body);
    }
    let changes = (world.sent.changes - sent.changes) as f64 / seconds as f64;
    assert!(changes < 20.0, "{changes} changes a second");
    let requests = (world.sent.state_requests - sent.state_requests) as f64 / seconds as f64;
    assert!(requests < 80.0, "{requests} requests a second");
    let all = |w: &World| (1..=360).all(|n| is_over(w, &id(n))) && is_over(w, "job-009002");
    assert!(world.run_until(120_000, all), "{}", world.trace());
    assert_eq!(world.running("job-009001"), 4, "{}", world.trace());
    for (n, request) in asked {
        let said = world.said(request);
        assert!(said == "withdrawn" || said == "done", "{n}: {said}");
    }
    assert_no_breaches(&world);
}

#[test]
fn a_team_at_its_limit_keeps_room_for_its_production_work() {
    // Guard: each place that the array frees was retaken by the array, on machines that the service may not
    // use; and nothing was rented for what had no room under the limit.
    let mut world = World::new();
    world.run(3000);
    let mut array = job(1, 0, "sweep", 400);
    array["yard"] = "a".into();
    world.accepted(0, &array);
    assert!(
        world.run_until(40_000, |w| w.running("job-000001") == 4),
        "{}",
        world.trace()
    );
    let mut service = job(2, 0, "standing", 2);
    service["yard"] = "b".into();
    world.accepted(0, &service);
    assert!(
        world.run_until(40_000, |w| w.running("job-000002") == 2),
        "{}",
        world.trace()
    );
    assert!(!is_over(&world, "job-000001"), "{}", world.trace());
    world.run(20_000);
    assert_eq!(world.running("job-000002"), 2, "{}", world.trace());
    assert_no_breaches(&world);
}
