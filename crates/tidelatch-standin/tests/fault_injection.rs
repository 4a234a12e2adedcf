//! Tests of the fault injectors: each affects the messages that it describes, in the same way for the same seed, and
//! the controllers keep the rules of the protocol under it. The last tests cover what the simulation tells the checker.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::support::{assert_no_breaches, is_stored_as_done, world_with_service};
use tidelatch_standin::{Delivery, Message, World, job};

/// What an injector does with one message.
fn delivery_of(injector: &mut FaultInjector, sent_ms: u64, from: &str, to: &str, request: &str) -> Delivery {
    let body = "{}";
    injector(&Message {
        sent_ms,
        from,
        to,
        request,
        body,
    })
}

/// Whether a controller answers the load balancer's health check with 200.
fn is_healthy(world: &mut World, controller: usize) -> bool {
    let request = world.send_user_request(
        controller,
        tidelatch_core::Method::Get,
        "/up",
        "",
        ("up".into(), "health"),
    );
    world.run_for(10);
    world.http_status(request) == 200
}

/// Cancels a job, at one controller after the other, until the user is told a final state.
fn cancel(world: &mut World, id: &str) -> String {
    for i in 0..40 {
        let request = world.cancel(i % 3, id);
        world.run_for(1500);
        if world.http_status(request) == 200 {
            return world.job_status(request);
        }
    }
    panic!(
        "{id} has no final state after 40 requests to cancel it:\n{}",
        world.trace()
    );
}

#[test]
fn injectors_affect_their_share_of_messages_and_are_repeatable() {
    // Guards against injectors that affect too few, too many or the wrong messages, or that do something else when
    // they are run again with the same seed.
    for (make_injector, what) in [
        (faults::delay_transactions as fn(u64, f64) -> FaultInjector, "POST /txn"),
        (faults::lose_transaction_answers, "POST /txn"),
        (faults::duplicate_reports, "POST /agent/beat"),
    ] {
        let deliveries = |seed: u64| -> Vec<Delivery> {
            let mut injector = make_injector(seed, 0.3);
            (0..1000)
                .map(|at| delivery_of(&mut injector, at, "berth-0", "state", what))
                .collect()
        };
        assert_eq!(deliveries(7), deliveries(7));
        assert_ne!(deliveries(7), deliveries(8));
        let affected: Vec<Delivery> = deliveries(7)
            .into_iter()
            .filter(|delivery| *delivery != Delivery::Pass)
            .collect();
        assert!((200..400).contains(&affected.len()), "{what}: {}", affected.len());
        for delivery in affected {
            let is_expected = match delivery {
                Delivery::Late(ms) => (2_000..12_000).contains(&ms),
                Delivery::Copied(ms) => (2_000..45_000).contains(&ms),
                Delivery::AnswerLost => true,
                _ => false,
            };
            assert!(is_expected, "{delivery:?}");
        }
        let mut injector = make_injector(7, 1.0);
        assert_eq!(
            delivery_of(&mut injector, 0, "berth-0", "cloud", "POST /hosts"),
            Delivery::Pass
        );
    }
}

#[test]
fn combined_faults_affect_only_their_messages_and_end() {
    // Guards against injectors that affect messages other than their own, that do not end in time, or that hide each
    // other when they are combined.
    let mut combined = faults::combine(vec![
        faults::limit_to(100..200, faults::lose_reports_of_machine("n-000001")),
        faults::refuse_state_requests(1),
    ]);
    let report = "POST /agent/beat";
    assert_eq!(
        delivery_of(&mut combined, 99, "n-000001", "berth-0", report),
        Delivery::Pass
    );
    assert_eq!(
        delivery_of(&mut combined, 100, "n-000001", "berth-0", report),
        Delivery::Lost
    );
    assert_eq!(
        delivery_of(&mut combined, 199, "n-000001", "berth-0", report),
        Delivery::Lost
    );
    assert_eq!(
        delivery_of(&mut combined, 200, "n-000001", "berth-0", report),
        Delivery::Pass
    );
    assert_eq!(
        delivery_of(&mut combined, 150, "berth-0", "n-000001", "POST /commands"),
        Delivery::Pass
    );
    assert_eq!(
        delivery_of(&mut combined, 150, "berth-1", "state", "POST /txn"),
        Delivery::Refused
    );
    assert_eq!(
        delivery_of(&mut combined, 150, "berth-0", "state", "POST /txn"),
        Delivery::Pass
    );
    assert_eq!(
        delivery_of(&mut combined, 150, "berth-1", "cloud", "POST /hosts"),
        Delivery::Pass
    );
    let mut no_input = faults::lose_messages_to_machine("n-000001");
    assert_eq!(
        delivery_of(&mut no_input, 0, "n-000001", "berth-0", report),
        Delivery::AnswerLost
    );
    assert_eq!(
        delivery_of(&mut no_input, 0, "berth-0", "n-000001", "POST /commands"),
        Delivery::Lost
    );
    let mut cut = faults::isolate_controller(1);
    assert_eq!(
        delivery_of(&mut cut, 0, "berth-1", "state", "POST /txn"),
        Delivery::Lost
    );
    assert_eq!(delivery_of(&mut cut, 0, "berth-1", "berth-2", "relay"), Delivery::Lost);
    assert_eq!(delivery_of(&mut cut, 0, "berth-2", "berth-1", "relay"), Delivery::Lost);
    assert_eq!(delivery_of(&mut cut, 0, "n-000001", "berth-1", report), Delivery::Pass);
    assert_eq!(
        delivery_of(&mut cut, 0, "berth-1", "n-000001", "POST /commands"),
        Delivery::Pass
    );
    assert_eq!(delivery_of(&mut cut, 0, "berth-0", "berth-2", "relay"), Delivery::Pass);
}

/// Runs arrays, a service and a cancellation under late writes, lost answers and late copies of reports. The owner of
/// team 0 crashes in between.
fn run_with_faults(seed: u64) -> World {
    let mut world = World::new();
    world.run_for(3000);
    world.replay_reports_in_next_epoch();
    world.set_fault_injector(faults::limit_to(
        0..80_000,
        faults::combine(vec![
            faults::delay_transactions(seed, 0.05),
            faults::lose_transaction_answers(seed + 1, 0.05),
            faults::duplicate_reports(seed + 2, 0.2),
        ]),
    ));
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    world.submit_until_accepted(1, &job(2, 1, "sweep", 4));
    world.submit_until_accepted(2, &job(3, 2, "sweep", 4));
    world.run_for(8000);
    let owner = world.owner_of_team(0);
    world.crash_controller(owner);
    world.run_for(300);
    world.start_controller(owner);
    world.run_for(10_000);
    let said = cancel(&mut world, "job-000003");
    assert!(said == "withdrawn" || said == "done", "{said}");
    world.run_for(80_000);
    world
}

#[test]
fn a_run_with_many_faults_keeps_the_rules_and_is_repeatable() {
    // Guards against breaches of the rules when late writes, lost answers, copied reports, a crash and a cancellation
    // come together, and against simulations that differ with the same seed.
    for seed in 0..6 {
        let mut world = run_with_faults(seed);
        assert_no_breaches(&world);
        assert_eq!(world.trace(), run_with_faults(seed).trace(), "seed {seed}");
        let jobs = ["job-000001", "job-000002", "job-000003"];
        let unanswered = world.poll_unanswered(75_000, &jobs);
        assert!(unanswered.is_empty(), "seed {seed}: {unanswered:?}\n{}", world.trace());
        assert!(
            is_stored_as_done(&world, "job-000002"),
            "seed {seed}\n{}",
            world.trace()
        );
        assert_eq!(world.running_tasks("job-000001"), 1, "seed {seed}\n{}", world.trace());
        assert_no_breaches(&world);
    }
}

#[test]
fn a_controller_refused_by_the_state_service_loses_its_partitions() {
    // Guards against a controller that goes on acting, or stays healthy for the load balancer, while the state service
    // refuses it alone: its leases run out, and its watches hear of nothing.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let before = world.epoch();
    let name = format!("berth-{owner}");
    world.write_trace(&format!("the state service refuses {name} alone"));
    world.set_fault_injector(faults::refuse_state_requests(owner));
    // The state service still answers the others, which go on without the refused controller.
    world.run_for(25_000);
    assert!(world.epoch() > before, "{}", world.trace());
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    assert!(!is_healthy(&mut world, owner), "{}", world.trace());
    assert!(is_healthy(&mut world, (owner + 1) % 3), "{}", world.trace());
    world.submit_until_accepted((owner + 1) % 3, &job(2, 0, "sweep", 2));
    let is_finished = world.run_until(60_000, |w| is_stored_as_done(w, "job-000002"));
    assert!(is_finished, "{}", world.trace());
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    world.clear_fault_injector();
    world.run_for(20_000);
    assert!(is_healthy(&mut world, owner), "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_refused_write_is_not_carried_out() {
    // Guards against a fault injector that answers a write with a refusal and carries it out nevertheless.
    let mut world = World::new();
    world.run_for(3000);
    let team = (0..3).find(|t| world.owner_of_team(*t) == 2).expect("it owns a team");
    // Submissions that are passed on are lost, so that no peer stores the job either.
    let mut refused = faults::refuse_state_requests(2);
    world.set_fault_injector(move |m| match m.request {
        "submit" => Delivery::Lost,
        _ => refused(m),
    });
    let request = world.submit(2, &job(1, team as u32, "sweep", 1));
    world.run_for(400);
    assert_eq!(world.store.get("t/j/job-000001"), None, "{}", world.trace());
    assert_ne!(world.http_status(request), 201, "{}", world.trace());
    world.clear_fault_injector();
    world.submit_until_accepted(2, &job(1, team as u32, "sweep", 1));
    assert!(world.store.get("t/j/job-000001").is_some(), "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn an_open_watch_of_a_refused_controller_receives_no_changes() {
    // Guards against a fault injector that refuses the requests of a controller but still sends changes to its open
    // watch.
    // Returns how often a controller opens a watch in 3 s while jobs of others are written, refused or not. A watch
    // that receives a change ends, and is opened again.
    let count_opened_watches = |refused: bool| {
        let mut world = World::new();
        world.run_for(3000);
        let count = Rc::new(Cell::new(0));
        let counter = count.clone();
        world.set_fault_injector(move |l| {
            if l.from == "berth-2" && l.request.starts_with("GET /changes") {
                counter.set(counter.get() + 1);
            }
            // Its requests for leases and its writes are refused. It can still open watches.
            let watch = l.request.starts_with("GET /changes");
            if refused && l.from == "berth-2" && l.to == "state" && !watch {
                Delivery::Refused
            } else {
                Delivery::Pass
            }
        });
        // Within this time the controller has sent a request that was refused.
        world.run_for(2500);
        let before = count.get();
        for i in 0..3 {
            for team in 0..3 {
                if world.owner_of_team(team) != 2 {
                    world.submit(
                        world.owner_of_team(team),
                        &job(10 * i + team as u32, team as u32, "sweep", 1),
                    );
                }
            }
            world.run_for(1000);
        }
        assert_no_breaches(&world);
        count.get() - before
    };
    let (when_served, when_refused) = (count_opened_watches(false), count_opened_watches(true));
    assert!(when_served > 0, "{when_served}");
    assert_eq!(when_refused, 0);
}

#[test]
fn work_on_a_machine_that_receives_nothing_moves_elsewhere() {
    // Guards against tasks that stay assigned to a machine whose reports arrive, but which no answer and no command
    // reaches.
    let mut world = world_with_service(0);
    let machine = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    world.write_trace(&format!("nothing reaches {machine} any more; its reports arrive"));
    world.set_fault_injector(faults::lose_messages_to_machine(&machine));
    let has_moved = |w: &World| w.running_tasks("job-000001") == 2 && !w.machines_of("job-000001").contains(&machine);
    assert!(world.run_until(110_000, has_moved), "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_cancelled_job_on_a_machine_whose_reports_are_lost_ends_in_time() {
    // Guards against cancelled tasks that go on running because their machine's reports reach no controller.
    let mut world = world_with_service(0);
    let machine = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    world.write_trace(&format!("reports of {machine} reach nobody any more"));
    world.set_fault_injector(faults::lose_reports_of_machine(&machine));
    world.run_for(1000);
    assert_eq!(cancel(&mut world, "job-000001"), "withdrawn");
    world.run_for(60_000);
    let gone = world.cancellation_duration_ms("job-000001");
    assert!(gone.is_some_and(|ms| ms <= 38_000), "{gone:?}\n{}", world.trace());
    assert_eq!(world.starts_after_cancellation("job-000001"), 0, "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn earlier_reports_are_repeated_to_all_controllers_when_an_epoch_begins() {
    // Guards against a simulation that repeats no earlier reports when an epoch begins, and against controllers that
    // take such copies for the present state.
    let mut world = world_with_service(0);
    world.replay_reports_in_next_epoch();
    world.submit_until_accepted(0, &job(2, 0, "sweep", 4));
    world.run_for(8000);
    let before = world.epoch();
    let owner = world.owner_of_team(0);
    world.crash_controller(owner);
    assert!(
        world.run_until(40_000, |w| w.epoch() > before && w.trace().contains("come again")),
        "{}",
        world.trace()
    );
    assert!(!world.trace().contains(" 0 reports of before"), "{}", world.trace());
    world.start_controller(owner);
    let is_finished = world.run_until(60_000, |w| {
        is_stored_as_done(w, "job-000002") && w.running_tasks("job-000001") == 2
    });
    assert!(is_finished, "{}", world.trace());
    world.run_for(40_000);
    assert_no_breaches(&world);
}

#[test]
fn a_cancellation_at_the_end_of_the_last_task_gets_one_final_answer() {
    // Guards against users who are told different final states of a job that is cancelled 0 to 500 ms after its last
    // task has ended, and against tasks that start afterwards.
    for after in [0, 1, 2, 3, 5, 10, 50, 500] {
        for controller in 0..3 {
            let mut world = World::new();
            world.run_for(3000);
            world.submit_until_accepted(0, &job(1, 0, "sweep", 2));
            world.cancel_after_last_task(controller, "job-000001", after);
            let cancelled = world.run_until(60_000, |w| w.cancellation_requests_at_end.contains_key("job-000001"));
            assert!(cancelled, "{after}\n{}", world.trace());
            let request = world.cancellation_requests_at_end["job-000001"];
            world.run_for(3000);
            let first = match world.http_status(request) {
                200 => world.job_status(request),
                _ => cancel(&mut world, "job-000001"),
            };
            assert!(first == "done" || first == "withdrawn", "{first}\n{}", world.trace());
            for controller in 0..3 {
                let poll = world.poll(controller, "job-000001");
                world.run_for(1500);
                assert_eq!(world.job_status(poll), first, "{after}\n{}", world.trace());
            }
            world.run_for(40_000);
            assert_eq!(
                world.starts_after_cancellation("job-000001"),
                0,
                "{after}\n{}",
                world.trace()
            );
            assert_no_breaches(&world);
        }
    }
}

#[test]
fn a_controller_cut_off_from_the_state_service_and_its_peers_steps_down() {
    // Guards against a controller that goes on acting, or stays healthy for the load balancer, though it reaches
    // neither the state service nor its peers.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    world.write_trace(&format!("berth-{owner} is cut from the state service and its peers"));
    world.set_fault_injector(faults::isolate_controller(owner));
    world.run_for(25_000);
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    assert!(!is_healthy(&mut world, owner), "{}", world.trace());
    world.clear_fault_injector();
    world.run_for(20_000);
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn the_simulation_tells_the_checker_of_a_task_on_a_second_machine() {
    // Guards against a checker that misses a task on two machines: the simulation looks at the machines itself, so
    // that it also sees what a test changes on a machine by hand.
    let mut world = world_with_service(0);
    let on = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    let mut second = world.workers[&on].clone();
    second.name = "n-900000".to_owned();
    world.workers.insert("n-900000".to_owned(), second);
    world.run_for(0);
    assert!(
        world.breaches.iter().any(|b| b.starts_with("ran_twice: job-000001/")),
        "{:?}",
        world.breaches
    );
    assert!(world.trace().contains("RULE BROKEN: ran_twice"), "{}", world.trace());
}

#[test]
fn the_simulation_tells_the_checker_when_the_last_task_of_a_cancelled_job_is_gone() {
    // Guards against a wrong measurement of how long a cancelled job stays on its machines.
    let mut world = world_with_service(0);
    assert_eq!(world.cancellation_duration_ms("job-000001"), None);
    // A cancellation stops tasks at once by direct commands. Without these the tasks end with the answers to the
    // next reports.
    world.set_fault_injector(|l| {
        if l.request == "POST /commands" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    assert_eq!(cancel(&mut world, "job-000001"), "withdrawn");
    let gone = |w: &World| w.machines_of("job-000001").is_empty();
    assert!(world.run_until(38_000, gone), "{}", world.trace());
    let ms = world.cancellation_duration_ms("job-000001");
    assert!(ms.is_some_and(|ms| ms > 0 && ms < 20_000), "{ms:?}\n{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn the_simulation_tells_the_checker_when_tasks_end_with_the_lease_of_their_worker() {
    // Guards against ends of tasks that the checker learns of too late. The lease ends within one long run, during
    // which only the simulation itself looks at the machines.
    let mut world = world_with_service(0);
    let cut = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    world.write_trace(&format!("nothing comes from {cut}, and nothing reaches it"));
    let ended = Rc::new(Cell::new(0));
    let seen = ended.clone();
    let machine = cut.clone();
    world.set_fault_injector(move |l| {
        // The worker sends the first report of its next session when its lease has ended.
        if l.from == machine && l.body.contains("\"shift\":2,") && seen.get() == 0 {
            seen.set(l.sent_ms);
        }
        if l.from == machine || l.to == machine {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    assert_eq!(cancel(&mut world, "job-000001"), "withdrawn");
    world.cloud.is_down = true;
    world.run_for(60_000);
    let confirmations = world.answers.values().filter(|(_, a)| a.body.contains("withdrawn"));
    let confirmed_at = confirmations
        .map(|(at, _)| *at)
        .min()
        .expect("the user was told that the job is cancelled");
    assert!(ended.get() > confirmed_at, "{}", world.trace());
    let gone = world.cancellation_duration_ms("job-000001");
    assert_eq!(gone, Some(ended.get() - confirmed_at), "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn the_simulation_tells_the_checker_of_orders_to_start() {
    // Guards against orders to start a task that the checker does not count.
    let mut world = World::new();
    world.run_for(3000);
    assert_eq!(world.checker().start_order_count(), 0);
    // Orders go out with the answers to reports, and directly to a machine that has room.
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    let up = world.run_until(30_000, |w| w.running_tasks("job-000001") == 1);
    assert!(up, "{}", world.trace());
    let with_answers = world.checker().start_order_count();
    assert!(with_answers > 0, "{}", world.trace());
    let direct = world.message_counts.commands;
    world.submit_until_accepted(0, &job(2, 0, "standing", 1));
    let up = world.run_until(4000, |w| w.running_tasks("job-000002") == 1);
    assert!(up, "{}", world.trace());
    assert!(world.message_counts.commands > direct, "{}", world.trace());
    assert!(world.checker().start_order_count() > with_answers, "{}", world.trace());
    assert_eq!(cancel(&mut world, "job-000002"), "withdrawn");
    world.run_for(40_000);
    assert_eq!(
        world.checker().start_orders_after_cancellation("job-000002"),
        0,
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}
