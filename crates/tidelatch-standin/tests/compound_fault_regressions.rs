//! Compound faults that have broken rules elsewhere, one in each test. The checker of the simulation checks all rules.
//! The further assertions of a test are specific to its combination of faults.

use std::collections::BTreeSet;
use tidelatch_core::settings::Operator;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::support::assert_no_breaches;
use tidelatch_standin::{CANCEL_MS, Delivery, DeploymentSize, World, job};

/// The id of job `n`.
fn id(n: u32) -> String {
    format!("job-{n:06}")
}

/// Whether a job's end is stored.
fn is_over(world: &World, id: &str) -> bool {
    let is_final = |st: &serde_json::Value| st == "done" || st == "withdrawn";
    world
        .store
        .get(&format!("t/j/{id}"))
        .is_some_and(|j| is_final(&j["st"]))
}

/// Cancels a job, at one controller after the other, until its user is told its final state. Returns that state.
fn cancel(world: &mut World, from: usize, id: &str) -> String {
    for i in 0..60 {
        let request = world.cancel((from + i) % 3, id);
        world.run_for(1000);
        if world.http_status(request) == 200 {
            return world.job_status(request);
        }
    }
    panic!(
        "{id} has no final state after 60 requests to cancel it\n{}",
        world.trace()
    );
}

/// Users who check each answer: whenever one is told a new state of a job, all controllers are asked about the job
/// within the same millisecond, and its submission is repeated at all of them.
struct FollowUps {
    /// Requests whose answers have been read.
    read_requests: BTreeSet<u64>,
    /// Pairs of job and state that users have been told.
    told_states: BTreeSet<(String, String)>,
    /// How often a new state was followed up.
    count: u32,
}

impl FollowUps {
    fn new() -> Self {
        Self {
            read_requests: BTreeSet::new(),
            told_states: BTreeSet::new(),
            count: 0,
        }
    }

    /// Runs the simulation for `ms`, and follows up the answers to users after each millisecond.
    fn run(&mut self, world: &mut World, ms: u64, bodies: &[serde_json::Value]) {
        for _ in 0..ms {
            world.run_for(1);
            let new_answers: Vec<(u64, String)> = world
                .answers
                .iter()
                .filter(|(request, (_, a))| !self.read_requests.contains(request) && matches!(a.status, 200 | 201))
                .map(|(request, (_, a))| (*request, a.body.clone()))
                .collect();
            for (request, body) in new_answers {
                self.read_requests.insert(request);
                let body: serde_json::Value = serde_json::from_str(&body).expect("JSON");
                let (job, said) = (
                    body["uid"].as_str().unwrap_or(""),
                    body["status"].as_str().unwrap_or(""),
                );
                // `running` and `queued` count as the same state. Only a new state is followed up.
                let state = if said == "running" { "queued" } else { said };
                if !self.told_states.insert((job.to_owned(), state.to_owned())) {
                    continue;
                }
                self.count += 1;
                for controller in 0..3 {
                    world.poll(controller, job);
                    if let Some(body) = bodies.iter().find(|b| b["uid"] == job) {
                        world.submit(controller, body);
                    }
                }
            }
        }
    }
}

#[test]
fn answers_right_after_a_change_are_not_older_at_any_controller() {
    // Guards against users who are told an older state than other users were told before. Controllers that do not own
    // a job tell only its stored end from memory. All else is the answer of the job's entitled owner, or comes from a
    // fresh read. An owner whose own change has not been answered yet reads as well.
    for (seed, crash) in [(1, false), (2, false), (3, true), (4, true)] {
        let mut world = World::new();
        world.run_ms = 1500;
        world.run_for(3000);
        let bodies: Vec<serde_json::Value> = (1..=12).map(|n| job(n, n % 3, "sweep", 1 + n % 2)).collect();
        let mut follow_ups = FollowUps::new();
        world.submit_until_accepted(0, &job(90, 0, "sweep", 1));
        follow_ups.run(&mut world, 9000, &bodies);
        let injectors: Vec<FaultInjector> = vec![
            faults::lose_transaction_answers(seed, 0.3),
            faults::duplicate_reports(seed, 0.2),
        ];
        world.set_fault_injector(faults::combine(injectors));
        for (n, body) in bodies.iter().enumerate() {
            world.submit(n % 3, body);
            follow_ups.run(&mut world, 300, &bodies);
            if n == 6 && crash {
                let owner = world.owner_of_team(0);
                world.crash_controller(owner);
                follow_ups.run(&mut world, 200, &bodies);
                world.start_controller(owner);
            }
            if n % 3 == 0 {
                // The job is cancelled at two controllers at the same time.
                let id = body["uid"].as_str().expect("an id");
                world.cancel(n % 3, id);
                world.cancel((n + 1) % 3, id);
            }
        }
        follow_ups.run(&mut world, 25_000, &bodies);
        world.clear_fault_injector();
        // The submissions are repeated, in case they got no answer.
        for (n, body) in bodies.iter().enumerate() {
            world.submit((n + 1) % 3, body);
            follow_ups.run(&mut world, 50, &bodies);
        }
        follow_ups.run(&mut world, 20_000, &bodies);
        assert_no_breaches(&world);
        assert!(
            follow_ups.count >= 18,
            "seed {seed}: {} states followed up\n{}",
            follow_ups.count,
            world.trace()
        );
        let all_are_over = (1..=12).all(|n| is_over(&world, &id(n)));
        assert!(all_are_over, "seed {seed}\n{}", world.trace());
    }
}

#[test]
fn an_end_whose_answer_is_lost_applies_from_the_moment_it_is_sent() {
    // Guards against a controller that acts on an older state while its write of a job's end has no answer. Others may
    // tell users of the end at once, so that its writer starts nothing more, stops what runs, and answers nothing
    // older from its memory.
    let mut world = World::new();
    world.run_ms = 300_000;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 4));
    assert!(
        world.run_until(20_000, |w| w.running_tasks("job-000001") >= 2),
        "{}",
        world.trace()
    );
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.set_fault_injector(move |l| {
        let is_end = l.from == name && l.request == "POST /txn" && l.body.contains("withdrawn");
        // The owner's watch is lost as well.
        let is_watch = l.from == name && l.request.starts_with("GET /changes");
        match (is_end, is_watch) {
            (true, _) => Delivery::AnswerLost,
            (_, true) => Delivery::Lost,
            _ => Delivery::Pass,
        }
    });
    world.run_for(6000);
    world.cancel(owner, "job-000001");
    world.run_for(10);
    for _ in 0..20 {
        for controller in 0..3 {
            world.poll(controller, "job-000001");
        }
        world.run_for(20);
    }
    let told = world.answers.values().filter(|(_, a)| a.body.contains("withdrawn"));
    assert!(told.count() > 3, "{}", world.trace());
    world.run_for(4000);
    assert!(world.machines_of("job-000001").is_empty(), "{}", world.trace());
    assert_eq!(
        world.checker().start_orders_after_cancellation("job-000001"),
        0,
        "{}",
        world.trace()
    );
    world.clear_fault_injector();
    world.run_for(20_000);
    assert_no_breaches(&world);
}

#[test]
fn teams_at_their_limits_with_hanging_machines_keep_them_over_a_change_of_leader() {
    // Guards against a team that exceeds its limit, or is kept below it forever, after cancelled tasks stayed on
    // hanging machines and the leader changed. A cancelled task counts against the limit until there is evidence that
    // it is gone, whoever owns it by then. The evidence is produced in time, so that nobody waits for the task's
    // capacity forever.
    for (crash_ms, back_ms) in [(10, 300), (3000, 6000), (12_000, 300)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run_for(3000);
        for team in 0..3 {
            world.submit_until_accepted(0, &job(team + 1, team, "sweep", 4));
        }
        let are_at_limit = |w: &World| (1..=3).all(|n| w.running_tasks(&id(n)) == 4);
        assert!(world.run_until(40_000, are_at_limit), "{}", world.trace());
        for team in 0..3 {
            // These jobs wait for the capacity that the others use.
            world.submit_until_accepted(0, &job(team + 11, team, "sweep", 4));
        }
        let leader = world.owner_of_team(0);
        let mut hanging = Vec::new();
        for n in 1..=3 {
            let machine = world
                .machines_of(&id(n))
                .first()
                .cloned()
                .expect("the job runs on a machine");
            world.write_trace(&format!("{machine} hangs"));
            world.workers.get_mut(&machine).expect("a worker").is_hanging = true;
            hanging.push(machine);
        }
        for n in 1..=3 {
            world.cancel(1, &id(n));
        }
        world.run_for(crash_ms);
        world.crash_controller(leader);
        world.run_for(back_ms);
        world.start_controller(leader);
        for n in 1..=3 {
            assert_eq!(cancel(&mut world, 1, &id(n)), "withdrawn");
        }
        world.run_for(CANCEL_MS);
        assert_no_breaches(&world);
        for machine in &hanging {
            assert!(world.cloud.deleted.contains(machine), "{machine}\n{}", world.trace());
        }
        let are_at_limit = |w: &World| (11..=13).all(|n| w.running_tasks(&id(n)) == 4);
        assert!(world.run_until(30_000, are_at_limit), "{}", world.trace());
        assert_no_breaches(&world);
    }
}

#[test]
fn cancelled_jobs_end_when_their_partition_changes_owner_and_returns() {
    // Guards against cancelled tasks that keep running when their partition moves to another owner and back. The new
    // owner stops tasks of ended jobs on every machine that reports, also those that came with direct starts still in
    // flight. A cancellation that was requested of the old owner is requested of the new one again.
    for (away_ms, cancel_after_ms) in [(300, 0), (300, 40), (900, 400), (8000, 0), (8000, 7000), (12_000, 9000)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run_for(3000);
        world.submit_until_accepted(0, &job(1, 0, "sweep", 2));
        assert!(
            world.run_until(30_000, |w| w.running_tasks("job-000001") == 2),
            "{}",
            world.trace()
        );
        let owner = world.owner_of_team(0);
        let name = format!("berth-{owner}");
        // Direct commands of the old owner are delayed by seconds.
        let old_owner = name.clone();
        world.set_fault_injector(move |l| {
            if l.from == old_owner && l.request == "POST /commands" {
                Delivery::Late(9000)
            } else {
                Delivery::Pass
            }
        });
        world.submit_until_accepted(0, &job(2, 0, "sweep", 2));
        world.run_for(300);
        world.crash_controller(owner);
        world.run_for(away_ms.min(cancel_after_ms));
        let first = world.cancel((owner + 1) % 3, "job-000001");
        world.cancel((owner + 2) % 3, "job-000002");
        world.run_for(away_ms - away_ms.min(cancel_after_ms));
        world.start_controller(owner);
        let _ = first;
        for n in 1..=2 {
            assert_eq!(cancel(&mut world, owner + 1, &id(n)), "withdrawn", "{}", world.trace());
        }
        world.clear_fault_injector();
        world.run_for(CANCEL_MS);
        assert_no_breaches(&world);
        for n in 1..=2 {
            assert_eq!(
                world.checker().start_orders_after_cancellation(&id(n)),
                0,
                "{}",
                world.trace()
            );
            let ms = world.cancellation_duration_ms(&id(n));
            assert!(ms.is_some_and(|ms| ms < CANCEL_MS), "{ms:?}\n{}", world.trace());
        }
    }
}

#[test]
fn machines_get_tasks_only_once_their_roster_entries_are_confirmed() {
    // Guards against tasks on machines that a new owner does not know of. The order is rental, machine group, boot
    // batch, first start. A machine whose entry is in doubt gets no task, because a new owner would not know that it
    // holds tasks.
    for seed in 1..=6 {
        let mut world = World::new();
        world.run_ms = 8000;
        world.run_for(3000);
        let mut injectors: Vec<FaultInjector> = vec![faults::delay_transactions(seed, 0.4)];
        if seed % 2 == 0 {
            injectors.push(faults::lose_transaction_answers(seed, 0.3));
        }
        world.set_fault_injector(faults::combine(injectors));
        for n in 1..=4 {
            world.submit(n as usize % 3, &job(n, n % 3, "sweep", 3));
        }
        // Machines boot in 3 s. The leader crashes while their entries are being written.
        world.run_for(1500 + 700 * seed);
        let leader = world.owner_of_team(0);
        world.crash_controller(leader);
        world.run_for(if seed % 3 == 0 { 300 } else { 9000 });
        world.start_controller(leader);
        for n in 1..=4 {
            world.submit(1, &job(n, n % 3, "sweep", 3));
        }
        world.run_for(20_000);
        // Every machine with tasks is in the roster.
        let roster: BTreeSet<String> = world.roster().into_iter().collect();
        for n in 1..=4 {
            for m in world.machines_of(&id(n)) {
                assert!(roster.contains(&m), "seed {seed}: {m}\n{}", world.trace());
            }
        }
        world.clear_fault_injector();
        for n in 1..=4 {
            world.submit_until_accepted(1, &job(n, n % 3, "sweep", 3));
        }
        let are_over = |w: &World| (1..=4).all(|n| is_over(w, &id(n)));
        assert!(world.run_until(90_000, are_over), "seed {seed}\n{}", world.trace());
        assert_no_breaches(&world);
    }
}

#[test]
fn old_reports_at_a_change_of_leader_are_no_evidence() {
    // Guards against old reports that are taken for the present state. Every controller gets copies of them just as an
    // epoch begins. By their session, number and token they neither free capacity, nor keep a machine that has died in
    // the meantime from being given up.
    for back_ms in [None, Some(300), Some(9000)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run_for(3000);
        world.replay_reports_in_next_epoch();
        for team in 0..3 {
            world.submit_until_accepted(0, &job(team + 1, team, "sweep", 4));
        }
        let are_at_limit = |w: &World| (1..=3).all(|n| w.running_tasks(&id(n)) == 4);
        assert!(world.run_until(40_000, are_at_limit), "{}", world.trace());
        world.run_for(5000);
        let dead = world
            .machines_of("job-000001")
            .first()
            .cloned()
            .expect("the job runs on a machine");
        world.write_trace(&format!("{dead} dies"));
        world.workers.get_mut(&dead).expect("a worker").is_hanging = true;
        let owner = world.owner_of_team(0);
        // Copies of earlier reports go on arriving.
        let (machine, count) = (dead.clone(), std::cell::Cell::new(0));
        world.set_fault_injector(move |l| {
            count.set(count.get() + 1);
            let is_copied = l.request == "POST /agent/beat" && l.from != machine && count.get() % 3 == 0;
            if is_copied {
                Delivery::Copied(9000)
            } else {
                Delivery::Pass
            }
        });
        world.crash_controller(owner);
        if let Some(ms) = back_ms {
            world.run_for(ms);
            world.start_controller(owner);
        }
        let since = world.now;
        let is_given_up = |w: &World| w.cloud.deleted.contains(&dead);
        assert!(world.run_until(45_000, is_given_up), "{}", world.trace());
        let ms = world.now - since;
        assert!(ms < 30_000, "after {ms} ms\n{}", world.trace());
        assert!(world.run_until(40_000, are_at_limit), "{}", world.trace());
        assert_no_breaches(&world);
    }
}

#[test]
fn four_one_task_jobs_a_second_stay_within_the_write_budget() {
    // Guards against many small jobs that use up the writes of the state service. An acceptance and an end cost one
    // change each, a cancellation no more. Hello messages that tell of cancellations are few. Other jobs are served
    // meanwhile.
    let mut world = World::with_size(
        &Operator::default(),
        DeploymentSize {
            teams: 6,
            guaranteed_accelerators: 20.0,
            max_accelerators: 60.0,
            write_rps: 25.0,
            value_kb: 4.0,
            ..DeploymentSize::default()
        },
    );
    world.cloud.max_machines = 120;
    world.run_ms = 6000;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(9001, 1, "standing", 4));
    world.submit_until_accepted(0, &job(9002, 2, "sweep", 40));
    let sent = world.message_counts;
    let from = world.now;
    let mut not_accepted = Vec::new();
    let mut cancellations: Vec<(u32, u64)> = Vec::new();
    for n in 1..=360u32 {
        let controller = n as usize % 3;
        let body = job(n, n % 6, "sweep", 1);
        let request = world.submit(controller, &body);
        world.run_for(250);
        if world.http_status(request) != 201 {
            not_accepted.push(body);
        } else if n % 4 == 0 {
            cancellations.push((n, world.cancel((controller + 1) % 3, &id(n))));
        }
        if n % 8 == 0 {
            world.poll(controller, &id(n / 2));
        }
    }
    let seconds = (world.now - from) / 1000;
    assert!(
        not_accepted.len() < 20,
        "{} jobs were not accepted at once",
        not_accepted.len()
    );
    for body in not_accepted {
        world.submit_until_accepted(0, &body);
    }
    let changes = (world.message_counts.state_changes - sent.state_changes) as f64 / seconds as f64;
    assert!(changes < 20.0, "{changes} changes a second");
    let requests = (world.message_counts.state_requests - sent.state_requests) as f64 / seconds as f64;
    assert!(requests < 80.0, "{requests} requests a second");
    let are_over = |w: &World| (1..=360).all(|n| is_over(w, &id(n))) && is_over(w, "job-009002");
    assert!(world.run_until(120_000, are_over), "{}", world.trace());
    assert_eq!(world.running_tasks("job-009001"), 4, "{}", world.trace());
    for (n, request) in cancellations {
        let said = world.job_status(request);
        assert!(said == "withdrawn" || said == "done", "{n}: {said}");
    }
    assert_no_breaches(&world);
}

#[test]
fn a_team_at_its_limit_keeps_capacity_for_its_production_jobs() {
    // Guards against a service that is starved by an array of its own team. The array retook each place that it freed,
    // on machines that the service may not use, and nothing was rented for tasks without room under the limit.
    let mut world = World::new();
    world.run_for(3000);
    let mut array = job(1, 0, "sweep", 400);
    array["yard"] = "a".into();
    world.submit_until_accepted(0, &array);
    assert!(
        world.run_until(40_000, |w| w.running_tasks("job-000001") == 4),
        "{}",
        world.trace()
    );
    let mut service = job(2, 0, "standing", 2);
    service["yard"] = "b".into();
    world.submit_until_accepted(0, &service);
    assert!(
        world.run_until(40_000, |w| w.running_tasks("job-000002") == 2),
        "{}",
        world.trace()
    );
    assert!(!is_over(&world, "job-000001"), "{}", world.trace());
    world.run_for(20_000);
    assert_eq!(world.running_tasks("job-000002"), 2, "{}", world.trace());
    assert_no_breaches(&world);
}
