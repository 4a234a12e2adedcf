//! Partial failures: answers that do not reach a machine, late copies of messages, controllers without the state
//! service and their peers, and processes that are back within a moment. The comment at the head of each test names
//! the failure and what prevents it.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::Method;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::{assert_no_breaches, assert_trace, world_with_service};
use tidelatch_standin::{Delivery, DeploymentSize, World, faults, gang, job};

/// Loses every answer and command to a machine. Its reports still arrive, and it still tells its state.
fn lose_messages_to(world: &mut World, machine: &str) {
    world.write_trace(&format!("nothing reaches {machine} any more; its reports arrive"));
    world.set_fault_injector(faults::lose_messages_to_machine(machine));
}

#[test]
fn work_on_a_machine_that_no_answer_reaches_moves_elsewhere() {
    // Guards against a machine that is given the same tasks again and again, because it reports and looks empty, but
    // no answer reaches it. A worker whose lease ends though it is answered, or that never starts what it is sent, is
    // given up.
    let mut world = world_with_service(0);
    let without_answers = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    // The cloud has no other machine: the work runs again only once this one has been returned.
    world.cloud.max_machines = 1;
    lose_messages_to(&mut world, &without_answers);
    let has_moved = |w: &World| {
        w.running_tasks("job-000001") == 2
            && !w.machines_of("job-000001").contains(&without_answers)
            && w.cloud.deleted.contains(&without_answers)
    };
    assert!(world.run_until(110_000, has_moved), "{}", world.trace());
    // The deleted machine does not count against the team's limit: two more tasks use up what is left of it.
    world.cloud.max_machines = 20;
    world.submit_until_accepted(1, &job(2, 0, "standing", 2));
    assert!(
        world.run_until(40_000, |w| w.running_tasks("job-000002") == 2),
        "{}",
        world.trace()
    );
    assert_trace(&world, "machine_that_no_answer_reaches");
}

#[test]
fn a_machine_that_does_not_accept_the_token_delays_a_takeover_for_a_limited_time() {
    // Guards against a takeover that never finishes because a machine reports under an old token and accepts no newer
    // one. Such a machine is deleted. Until then older tasks may be on it, and wait. No controller is in its zone, and
    // no other machine of the zone is heard from, so nothing says that the machine has died.
    let mut world = World::new();
    world.run_for(3000);
    let mut service = job(1, 0, "standing", 2);
    service["yard"] = "b".into();
    world.submit_until_accepted(0, &service);
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 2),
        "{}",
        world.trace()
    );
    world.submit_until_accepted(0, &job(2, 0, "sweep", 8));
    let owner = world.owner_of_team(0);
    let without_answers = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    lose_messages_to(&mut world, &without_answers);
    world.crash_controller(owner);
    world.run_for(300);
    world.start_controller(owner);
    let done = |w: &World| w.store.get("t/j/job-000002").is_some_and(|j| j["st"] == "done");
    assert!(world.run_until(100_000, done), "{}", world.trace());
    assert!(world.cloud.deleted.contains(&without_answers), "{}", world.trace());
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "machine_that_takes_no_token");
}

#[test]
fn late_copies_of_reports_and_commands_change_nothing() {
    // Guards against late copies of reports, commands and transactions that take effect a second time. They are
    // recognised by session and sequence number and by token, and what a direct command started is not forgotten while
    // a copy of the command may still come.
    let mut world = World::new();
    world.run_for(3000);
    let n = Rc::new(Cell::new(0u64));
    world.set_fault_injector(move |l| {
        n.set(n.get() + 1);
        // Copies come after a few seconds, after about a lease, and after well over a lease.
        let late = [3_000, 17_000, 26_000, 44_000][n.get() as usize % 4] + 7 * (n.get() % 100);
        let repeated = l.request == "POST /agent/beat" || l.request == "POST /commands" || l.request == "POST /txn";
        if repeated {
            Delivery::Copied(late)
        } else {
            Delivery::Pass
        }
    });
    world.submit_until_accepted(0, &job(1, 0, "standing", 2));
    for i in 0..6 {
        world.submit_until_accepted(i as usize % 3, &job(10 + i, i % 3, "sweep", 3));
        world.run_for(4000);
        if i == 2 {
            let owner = world.owner_of_team(1);
            world.crash_controller(owner);
            world.run_for(250);
            world.start_controller(owner);
        }
        if i == 4 {
            world.submit_until_accepted(0, &job(20, 0, "standing", 1));
            world.run_for(5000);
            let mut cancellation = 0;
            for _ in 0..10 {
                cancellation = world.cancel(0, "job-000020");
                world.run_for(1500);
                if world.http_status(cancellation) == 200 {
                    break;
                }
            }
            assert_eq!(world.job_status(cancellation), "withdrawn", "{}", world.trace());
        }
    }
    world.run_for(60_000);
    let jobs = ["job-000001", "job-000010", "job-000013", "job-000015", "job-000020"];
    assert!(world.poll_unanswered(75_000, &jobs).is_empty(), "{}", world.trace());
    for j in [10, 11, 12, 13, 14, 15] {
        let poll = world.poll(0, &format!("job-{j:06}"));
        world.run_for(1500);
        assert_eq!(world.job_status(poll), "done", "job {j}\n{}", world.trace());
    }
    // Late copies of their reports do not bring back machines that are gone.
    world.cancel(0, "job-000001");
    world.run_for(60_000);
    assert!(world.roster().is_empty(), "{:?}\n{}", world.roster(), world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_repeated_direct_start_of_a_cancelled_task_is_recognised() {
    // Guards against a late copy of a direct command that starts a task again, long after its user's cancellation. An
    // attempt that a direct command started is not forgotten before the worker has seen a newer epoch or session.
    let mut world = World::new();
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 1),
        "{}",
        world.trace()
    );
    let copied = Rc::new(Cell::new(0));
    let count = copied.clone();
    world.set_fault_injector(move |l| {
        if l.request == "POST /commands" && l.body.contains("\"start\"") {
            count.set(count.get() + 1);
            return Delivery::Copied(46_000);
        }
        Delivery::Pass
    });
    // The task goes to the same machine, which has room, by a direct command.
    world.submit_until_accepted(0, &job(2, 0, "standing", 1));
    assert!(
        world.run_until(4000, |w| w.running_tasks("job-000002") == 1),
        "{}",
        world.trace()
    );
    assert_eq!(copied.get(), 1, "one direct start\n{}", world.trace());
    let cancellation = world.cancel(0, "job-000002");
    world.run_for(1000);
    assert_eq!(world.job_status(cancellation), "withdrawn", "{}", world.trace());
    world.run_for(60_000);
    assert_eq!(world.running_tasks("job-000001"), 1);
    assert_eq!(
        world.trace().matches("starts job-000002/0").count(),
        1,
        "{}",
        world.trace()
    );
    assert_trace(&world, "repeated_direct_start");
}

#[test]
fn late_reports_of_a_deleted_machine_do_not_add_it_to_the_roster() {
    // Guards against late copies of reports that bring a deleted machine back into the roster. Controllers that have
    // all been restarted remember no deletion. A machine in no roster is therefore taken in only if it is alive: if it
    // has accepted the present token with an answer.
    let mut world = World::new();
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 2));
    let n = Rc::new(Cell::new(0u64));
    world.set_fault_injector(move |l| {
        n.set(n.get() + 1);
        let is_report = l.request == "POST /agent/beat";
        if is_report {
            Delivery::Copied(30_000 + 900 * (n.get() % 20))
        } else {
            Delivery::Pass
        }
    });
    assert!(
        world.run_until(30_000, |w| !w.cloud.deleted.is_empty()),
        "{}",
        world.trace()
    );
    world.run_for(4000);
    assert!(world.roster().is_empty(), "{}", world.trace());
    for controller in 0..3 {
        world.crash_controller(controller);
    }
    world.run_for(300);
    for controller in 0..3 {
        world.start_controller(controller);
    }
    world.run_for(80_000);
    assert!(!world.trace().contains("taking it in"), "{}", world.trace());
    assert!(world.roster().is_empty(), "{}", world.trace());
    assert_trace(&world, "late_reports_of_a_deleted_machine");
}

#[test]
fn a_machine_that_was_rented_late_is_taken_in() {
    // Guards against a machine that is paid for and forgotten, because its rental is carried out late, after a crash
    // of all controllers. Unlike the deleted machine in the test above it is alive, and so it is taken in.
    let mut world = World::new();
    world.run_for(3000);
    let held = Rc::new(Cell::new(false));
    let once = held.clone();
    world.set_fault_injector(move |l| {
        if l.request == "POST /hosts" && !once.get() {
            once.set(true);
            return Delivery::Late(9000);
        }
        // The rental is carried out after the controller that asked for it has crashed.
        Delivery::Pass
    });
    let owner = world.owner_of_team(0);
    let request = world.submit(owner, &job(1, 0, "standing", 1));
    assert!(world.run_until(8000, |_| held.get()), "{}", world.trace());
    world.run_for(200);
    assert_eq!(world.http_status(request), 201);
    for controller in 0..3 {
        world.crash_controller(controller);
    }
    world.run_for(300);
    for controller in 0..3 {
        world.start_controller(controller);
    }
    assert!(
        world.run_until(60_000, |w| w.running_tasks("job-000001") == 1),
        "{}",
        world.trace()
    );
    world.run_for(60_000);
    // The machine is in use or has been returned. No machine is paid for and forgotten.
    let mut roster = world.roster();
    roster.sort();
    let rented: Vec<String> = world.cloud.machines.keys().cloned().collect();
    assert_eq!(roster, rented, "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_controller_that_reaches_only_its_workers_steps_down() {
    // Guards against a controller that goes on acting after it has lost the state service and its peers. Its
    // entitlement ends with its lease when no peer can grant anything. The load balancer is told, because the
    // controller's users would otherwise be told to retry without end.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.write_trace(&format!(
        "{name} loses the state service and its peers, but not its workers"
    ));
    world.set_fault_injector(move |l| {
        let cut = l.from == name && !l.to.starts_with("n-");
        let peers = l.to == name && l.from.starts_with("berth-");
        if cut || peers { Delivery::Lost } else { Delivery::Pass }
    });
    world.run_for(16_000);
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    let up = world.send_user_request(owner, Method::Get, "/up", "", ("up".into(), "health"));
    let other = world.send_user_request((owner + 1) % 3, Method::Get, "/up", "", ("up".into(), "health"));
    world.run_for(10);
    assert_eq!(
        (world.http_status(up), world.http_status(other)),
        (503, 200),
        "{}",
        world.trace()
    );
    world.submit_until_accepted((owner + 1) % 3, &job(2, 0, "sweep", 2));
    assert!(
        world.run_until(60_000, |w| w
            .store
            .get("t/j/job-000002")
            .is_some_and(|j| j["st"] == "done")),
        "{}",
        world.trace()
    );
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    // The others lose the state service as well, and reach it again before this controller does.
    world.store.is_down = true;
    world.run_for(15_000);
    world.store.is_down = false;
    world.run_for(10_000);
    world.clear_fault_injector();
    world.run_for(20_000);
    assert!(
        world.poll_unanswered(75_000, &["job-000001", "job-000002"]).is_empty(),
        "{}",
        world.trace()
    );
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "only_its_workers_left");
}

#[test]
fn a_large_array_starts_despite_a_stream_of_small_urgent_arrays() {
    // Guards against starvation of a large array by small ones with near due times that keep coming. Jobs of which
    // nothing has started for long come first within their priority.
    let mut world = World::new();
    world.cloud.max_machines = 2;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 40));
    let has_started = |w: &World| w.trace().contains("starts job-000001/");
    let mut started_at = None;
    for i in 0..80 {
        let mut small_array = job(100 + i, 0, "sweep", 4);
        small_array["dueS"] = serde_json::json!(12.0);
        world.submit(0, &small_array);
        world.run_for(3000);
        if has_started(&world) {
            started_at = Some(world.now);
            break;
        }
    }
    assert!(
        started_at.is_some_and(|t| t < 200_000),
        "the large array has not started\n{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

#[test]
fn replicas_move_to_make_room_for_replicas_bound_to_a_full_zone() {
    // Guards against a replica that never starts: spreading leaves the last replica one zone, which is full of
    // services that could run elsewhere. Zone b has room for two, and a first service takes it.
    let mut world = World::with_size(
        &Operator::default(),
        DeploymentSize {
            max_accelerators: 16.0,
            guaranteed_accelerators: 16.0,
            ..DeploymentSize::default()
        },
    );
    world.cloud.max_machines_by_zone.insert("a".into(), 0);
    world.cloud.max_machines_by_zone.insert("b".into(), 1);
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 2));
    assert!(
        world.run_until(60_000, |w| w.running_tasks("job-000001") == 2),
        "{}",
        world.trace()
    );
    world.cloud.max_machines_by_zone.remove("a");
    let mut spread = job(2, 0, "standing", 2);
    spread["spread"] = true.into();
    world.submit_until_accepted(0, &spread);
    assert!(
        world.run_until(90_000, |w| w.running_tasks("job-000001") == 2
            && w.running_tasks("job-000002") == 2),
        "{}",
        world.trace()
    );
    assert_trace(&world, "replicas_move_for_others");
}

#[test]
fn every_accepted_job_is_answered_for_within_75_s_after_many_faults() {
    // Guards against requests of users that are held forever, because of what was under way when the faults began: an
    // end being stored, a request that was passed on, bitmaps being read. This must not depend on how the requests of
    // others fare.
    let mut world = World::new();
    world.run_for(3000);
    for i in 0..6 {
        let shape = if i % 3 == 0 { "standing" } else { "sweep" };
        world.submit_until_accepted(i as usize % 3, &job(i, i % 3, shape, 1 + i % 2));
    }
    for i in 6..9 {
        world.submit_until_accepted(i as usize % 3, &gang(i, i % 3, 2 + i % 2));
    }
    world.run_for(8000);
    let cancellation = world.cancel(0, "job-000003");
    world.run_for(2);
    // All at once: one controller does not reach the state service, messages between peers are lost, one controller
    // crashes in the middle of an election, and one stands still.
    let n = Rc::new(Cell::new(0u64));
    world.set_fault_injector(move |l| {
        n.set(n.get() + 1);
        let peers = l.from.starts_with("berth-") && l.to.starts_with("berth-");
        let refused = l.to == "state" && l.from == "berth-1";
        match () {
            () if peers || refused => Delivery::Lost,
            () if l.to == "state" && n.get().is_multiple_of(7) => Delivery::AnswerLost,
            () => Delivery::Pass,
        }
    });
    world.pause(2);
    world.run_for(5000);
    world.crash_controller(0);
    world.run_for(200);
    world.start_controller(0);
    world.run_for(900);
    world.crash_controller(0);
    world.run_for(300);
    world.start_controller(0);
    world.run_for(20_000);
    world.resume(2);
    world.run_for(3000);
    world.clear_fault_injector();
    let jobs = [
        "job-000000",
        "job-000001",
        "job-000002",
        "job-000003",
        "job-000004",
        "job-000005",
        "job-000006",
        "job-000007",
        "job-000008",
    ];
    let unanswered = world.poll_unanswered(75_000, &jobs);
    assert!(unanswered.is_empty(), "{unanswered:?}\n{}", world.trace());
    // A job that was accepted and not cancelled runs, or it is done.
    let is_cancelled = world.job_status(cancellation) == "withdrawn";
    assert_eq!(world.running_tasks("job-000000"), 1, "{}", world.trace());
    assert!(
        is_cancelled || world.running_tasks("job-000003") <= 1,
        "{}",
        world.trace()
    );
    for j in jobs.iter().skip(1).filter(|j| **j != "job-000003") {
        let poll = world.poll(0, j);
        world.run_for(1500);
        assert_eq!(world.job_status(poll), "done", "{j}\n{}", world.trace());
    }
    assert_no_breaches(&world);
}
