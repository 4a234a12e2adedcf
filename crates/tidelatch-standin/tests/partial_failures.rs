//! Partial failures that the operators added later: answers that do not reach a machine, late copies,
//! controllers without state service and peers, and processes that are back within a moment. Each
//! test names the guard that it is there for.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::Method;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::{assert_no_breaches, assert_trace, with_service};
use tidelatch_standin::{Delivery, Size, World, faults, gang, job};

/// No answer and no command reaches a machine any more; its reports do, and it tells its state.
fn deafen(world: &mut World, machine: &str) {
    world.note(&format!("nothing reaches {machine} any more; its reports arrive"));
    world.meddle(faults::deaf(machine));
}

#[test]
fn work_on_a_machine_that_no_answer_reaches_goes_elsewhere() {
    // Guard: a worker whose lease ends though it is answered, or that never starts what it is sent, is
    // given up. It would be given the same tasks again and again, for it reports and looks empty.
    let mut world = with_service(0);
    let deaf = world.machines_of("job-000001").first().cloned().expect("it runs");
    // The cloud has no other machine: the work runs again only once this one has been returned.
    world.cloud.most = 1;
    deafen(&mut world, &deaf);
    let well = |w: &World| {
        w.running("job-000001") == 2 && !w.machines_of("job-000001").contains(&deaf) && w.cloud.deleted.contains(&deaf)
    };
    assert!(world.run_until(110_000, well), "{}", world.trace());
    // It holds nothing of the team's limit: two more tasks are all that is left of it.
    world.cloud.most = 20;
    world.accepted(1, &job(2, 0, "standing", 2));
    assert!(
        world.run_until(40_000, |w| w.running("job-000002") == 2),
        "{}",
        world.trace()
    );
    assert_trace(&world, "machine_that_no_answer_reaches");
}

#[test]
fn a_machine_that_does_not_take_the_token_does_not_hold_up_a_take_over_for_ever() {
    // Guard: a machine that reports under an old token, and takes no newer one, is deleted. Until then
    // older tasks may be on it, and wait. No controller stands in its zone, and no other machine of it is
    // heard, so nothing says that it has died.
    let mut world = World::new();
    world.run(3000);
    let mut service = job(1, 0, "standing", 2);
    service["yard"] = "b".into();
    world.accepted(0, &service);
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 2),
        "{}",
        world.trace()
    );
    world.accepted(0, &job(2, 0, "sweep", 8));
    let owner = world.owner_of_team(0);
    let deaf = world.machines_of("job-000001").first().cloned().expect("it runs");
    deafen(&mut world, &deaf);
    world.crash(owner);
    world.run(300);
    world.start(owner);
    let done = |w: &World| w.store.get("t/j/job-000002").is_some_and(|j| j["st"] == "done");
    assert!(world.run_until(100_000, done), "{}", world.trace());
    assert!(world.cloud.deleted.contains(&deaf), "{}", world.trace());
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "machine_that_takes_no_token");
}

#[test]
fn late_copies_of_reports_and_commands_change_nothing() {
    // Guard: order by session and sequence number; tokens; what was started by a direct command is not
    // forgotten while a copy of the command may still come.
    let mut world = World::new();
    world.run(3000);
    let n = Rc::new(Cell::new(0u64));
    world.meddle(move |l| {
        n.set(n.get() + 1);
        // Seconds, about a lease, and well over a lease.
        let late = [3_000, 17_000, 26_000, 44_000][n.get() as usize % 4] + 7 * (n.get() % 100);
        let repeated = l.what == "POST /agent/beat" || l.what == "POST /commands" || l.what == "POST /txn";
        if repeated {
            Delivery::Copied(late)
        } else {
            Delivery::Pass
        }
    });
    world.accepted(0, &job(1, 0, "standing", 2));
    for i in 0..6 {
        world.accepted(i as usize % 3, &job(10 + i, i % 3, "sweep", 3));
        world.run(4000);
        if i == 2 {
            let owner = world.owner_of_team(1);
            world.crash(owner);
            world.run(250);
            world.start(owner);
        }
        if i == 4 {
            world.accepted(0, &job(20, 0, "standing", 1));
            world.run(5000);
            let mut told = 0;
            for _ in 0..10 {
                told = world.withdraw(0, "job-000020");
                world.run(1500);
                if world.status(told) == 200 {
                    break;
                }
            }
            assert_eq!(world.said(told), "withdrawn", "{}", world.trace());
        }
    }
    world.run(60_000);
    let jobs = ["job-000001", "job-000010", "job-000013", "job-000015", "job-000020"];
    assert!(world.unanswered(75_000, &jobs).is_empty(), "{}", world.trace());
    for j in [10, 11, 12, 13, 14, 15] {
        let poll = world.poll(0, &format!("job-{j:06}"));
        world.run(1500);
        assert_eq!(world.said(poll), "done", "job {j}\n{}", world.trace());
    }
    // Machines that are gone do not come back by what they once reported.
    world.withdraw(0, "job-000001");
    world.run(60_000);
    assert!(world.roster().is_empty(), "{:?}\n{}", world.roster(), world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_repeated_direct_start_of_a_cancelled_task_finds_it_known() {
    // Guard: an attempt that a direct command started is not forgotten for three leases after the
    // command, for a copy of it would start the task again, long after its user's cancellation.
    let mut world = World::new();
    world.run(3000);
    world.accepted(0, &job(1, 0, "standing", 1));
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 1),
        "{}",
        world.trace()
    );
    let copied = Rc::new(Cell::new(0));
    let count = copied.clone();
    world.meddle(move |l| {
        if l.what == "POST /commands" && l.body.contains("\"start\"") {
            count.set(count.get() + 1);
            return Delivery::Copied(46_000);
        }
        Delivery::Pass
    });
    // It goes to the same machine, which has room, and goes there directly.
    world.accepted(0, &job(2, 0, "standing", 1));
    assert!(
        world.run_until(4000, |w| w.running("job-000002") == 1),
        "{}",
        world.trace()
    );
    assert_eq!(copied.get(), 1, "one direct start\n{}", world.trace());
    let told = world.withdraw(0, "job-000002");
    world.run(1000);
    assert_eq!(world.said(told), "withdrawn", "{}", world.trace());
    world.run(60_000);
    assert_eq!(world.running("job-000001"), 1);
    assert_eq!(
        world.trace().matches("starts job-000002/0").count(),
        1,
        "{}",
        world.trace()
    );
    assert_trace(&world, "repeated_direct_start");
}

#[test]
fn late_reports_of_a_deleted_machine_do_not_bring_it_back() {
    // Guard: a machine in no roster is taken in only if it lives: if it has taken the present token
    // with an answer. Controllers that have all been restarted remember no deletion.
    let mut world = World::new();
    world.run(3000);
    world.accepted(0, &job(1, 0, "sweep", 2));
    let n = Rc::new(Cell::new(0u64));
    world.meddle(move |l| {
        n.set(n.get() + 1);
        let beat = l.what == "POST /agent/beat";
        if beat {
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
    world.run(4000);
    assert!(world.roster().is_empty(), "{}", world.trace());
    for node in 0..3 {
        world.crash(node);
    }
    world.run(300);
    for node in 0..3 {
        world.start(node);
    }
    world.run(80_000);
    assert!(!world.trace().contains("taking it in"), "{}", world.trace());
    assert!(world.roster().is_empty(), "{}", world.trace());
    assert_trace(&world, "late_reports_of_a_deleted_machine");
}

#[test]
fn a_machine_that_was_rented_late_is_taken_in() {
    // The other side of the guard above: a rental that is carried out late brings a machine that lives.
    let mut world = World::new();
    world.run(3000);
    let held = Rc::new(Cell::new(false));
    let once = held.clone();
    world.meddle(move |l| {
        if l.what == "POST /hosts" && !once.get() {
            once.set(true);
            return Delivery::Late(9000);
        }
        // Whoever asked for it is gone by then.
        Delivery::Pass
    });
    let owner = world.owner_of_team(0);
    let request = world.submit(owner, &job(1, 0, "standing", 1));
    assert!(world.run_until(8000, |_| held.get()), "{}", world.trace());
    world.run(200);
    assert_eq!(world.status(request), 201);
    for node in 0..3 {
        world.crash(node);
    }
    world.run(300);
    for node in 0..3 {
        world.start(node);
    }
    assert!(
        world.run_until(60_000, |w| w.running("job-000001") == 1),
        "{}",
        world.trace()
    );
    world.run(60_000);
    // Either it is used, or it was returned; none is paid for and forgotten.
    let mut roster = world.roster();
    roster.sort();
    let rented: Vec<String> = world.cloud.machines.keys().cloned().collect();
    assert_eq!(roster, rented, "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_controller_that_has_only_its_workers_left_steps_down() {
    // Guard: entitlement ends with the lease when no peer can grant anything; and the balancer is
    // told, for its users would be put off without end.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.note(&format!(
        "{name} loses the state service and its peers, but not its workers"
    ));
    world.meddle(move |l| {
        let cut = l.from == name && !l.to.starts_with("n-");
        let peers = l.to == name && l.from.starts_with("berth-");
        if cut || peers { Delivery::Lost } else { Delivery::Pass }
    });
    world.run(16_000);
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    let up = world.user(owner, Method::Get, "/up", "", ("up".into(), "health"));
    let other = world.user((owner + 1) % 3, Method::Get, "/up", "", ("up".into(), "health"));
    world.run(10);
    assert_eq!((world.status(up), world.status(other)), (503, 200), "{}", world.trace());
    world.accepted((owner + 1) % 3, &job(2, 0, "sweep", 2));
    assert!(
        world.run_until(60_000, |w| w
            .store
            .get("t/j/job-000002")
            .is_some_and(|j| j["st"] == "done")),
        "{}",
        world.trace()
    );
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    // The others lose the state service as well, and get it back first.
    world.store.down = true;
    world.run(15_000);
    world.store.down = false;
    world.run(10_000);
    world.calm();
    world.run(20_000);
    assert!(
        world.unanswered(75_000, &["job-000001", "job-000002"]).is_empty(),
        "{}",
        world.trace()
    );
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "only_its_workers_left");
}

/// One controller ends and is back after a moment, at some time after a submission; copies of what it
/// sent before come later.
fn back_in_a_moment(at: u64, away: u64) {
    let mut world = World::new();
    let n = Rc::new(Cell::new(0u64));
    world.meddle(move |l| {
        n.set(n.get() + 1);
        let repeated = matches!(
            l.what,
            "POST /agent/beat" | "POST /commands" | "POST /txn" | "POST /hosts"
        );
        if repeated && n.get().is_multiple_of(3) {
            Delivery::Copied(400 + 1300 * (n.get() % 17))
        } else {
            Delivery::Pass
        }
    });
    // In the middle of the first election for the smallest of times.
    world.run(at.min(60));
    if at <= 60 {
        world.crash(at as usize % 3);
        world.run(away);
        world.start(at as usize % 3);
    }
    world.run(3000);
    world.accepted(0, &job(1, 0, "standing", 2));
    world.accepted(1, &job(2, 1, "sweep", 3));
    let owner = world.owner_of_team(0);
    let pending = world.submit((owner + 1) % 3, &job(3, 0, "sweep", 2));
    world.run(at);
    world.crash(owner);
    world.run(away);
    world.start(owner);
    world.run(at / 2);
    let again = world.submit(owner, &job(3, 0, "sweep", 2));
    world.crash((owner + 1) % 3);
    world.run(away);
    world.start((owner + 1) % 3);
    world.run(40_000);
    world.calm();
    let mut jobs = vec!["job-000001", "job-000002"];
    if [pending, again].iter().any(|r| matches!(world.status(*r), 200 | 201)) {
        jobs.push("job-000003");
    }
    assert!(
        world.unanswered(75_000, &jobs).is_empty(),
        "{at} {away}\n{}",
        world.trace()
    );
    assert_eq!(world.running("job-000001"), 2, "{at} {away}\n{}", world.trace());
    for j in jobs.iter().skip(1) {
        let poll = world.poll(2, j);
        world.run(2000);
        assert_eq!(world.said(poll), "done", "{j} {at} {away}\n{}", world.trace());
    }
    assert!(
        world.broken.is_empty(),
        "{at} {away}: {:?}\n{}",
        world.broken,
        world.trace()
    );
}

#[test]
fn a_controller_is_back_within_a_moment_at_any_time() {
    // Guard: lives of their own; conditions on what a life writes, its own key included; attempts
    // from the epoch; nothing older starts before its machine has taken the new token.
    for at in [3, 12, 18, 40, 203, 250, 1100, 2500, 5950, 6003, 6700] {
        for away in [40, 350, 900] {
            back_in_a_moment(at, away);
        }
    }
}

#[test]
fn a_late_copy_of_an_earlier_lifes_key_changes_nothing() {
    // Guard: a controller's own key is written on condition of its revision. A copy of an earlier life's
    // write put that life back, and the membership changed to and fro.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    let copies = Rc::new(Cell::new(0));
    let count = copies.clone();
    world.meddle(move |l| {
        if l.from == name && l.what == "POST /txn" && l.body.contains("t/c/member/") && count.get() < 1 {
            count.set(1);
            return Delivery::Copied(2500);
        }
        Delivery::Pass
    });
    world.crash(owner);
    world.run(100);
    world.start(owner);
    assert!(world.run_until(1000, |_| copies.get() == 1), "{}", world.trace());
    // Its next life, while the first one's lease is still alive.
    world.crash(owner);
    world.run(100);
    world.start(owner);
    world.run(1500);
    let epoch = world.epoch();
    world.run(30_000);
    assert_eq!(world.epoch(), epoch, "{}", world.trace());
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_large_array_is_not_kept_from_starting_by_small_urgent_ones() {
    // Guard: what nothing has been started of for long comes first within its priority.
    let mut world = World::new();
    world.cloud.most = 2;
    world.run(3000);
    world.accepted(0, &job(1, 0, "sweep", 40));
    let first = |w: &World| w.trace().contains("starts job-000001/");
    let mut began = None;
    for i in 0..80 {
        let mut small = job(100 + i, 0, "sweep", 4);
        small["dueS"] = serde_json::json!(12.0);
        world.submit(0, &small);
        world.run(3000);
        if first(&world) {
            began = Some(world.now);
            break;
        }
    }
    assert!(
        began.is_some_and(|t| t < 200_000),
        "the large one has not begun\n{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

#[test]
fn replicas_move_for_those_that_may_not_run_where_there_is_room() {
    // Guard: spreading leaves the last replica one zone, which is full of services that could run
    // elsewhere. Zone b has room for two, and a first service takes it.
    let mut world = World::sized(
        &Operator::default(),
        Size {
            limit: 16.0,
            guarantee: 16.0,
            ..Size::default()
        },
    );
    world.cloud.most_in_zone.insert("a".into(), 0);
    world.cloud.most_in_zone.insert("b".into(), 1);
    world.run(3000);
    world.accepted(0, &job(1, 0, "standing", 2));
    assert!(
        world.run_until(60_000, |w| w.running("job-000001") == 2),
        "{}",
        world.trace()
    );
    world.cloud.most_in_zone.remove("a");
    let mut spread = job(2, 0, "standing", 2);
    spread["spread"] = true.into();
    world.accepted(0, &spread);
    assert!(
        world.run_until(90_000, |w| w.running("job-000001") == 2 && w.running("job-000002") == 2),
        "{}",
        world.trace()
    );
    assert_trace(&world, "replicas_move_for_others");
}

#[test]
fn a_controller_that_stood_still_for_longer_than_its_lease_does_nothing_on_waking() {
    // Guard: entitlement is looked at with each input, at the time of that input: what lay in the buffers
    // (reports, users' requests, ends of calls, ticks) is met by a controller that may not act any more.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    world.freeze(owner);
    // In its buffers by the time it goes on: a submission, a poll, a cancellation, a health check.
    let submission = world.submit(owner, &job(7, 0, "sweep", 2));
    let cancel = world.user(
        owner,
        Method::Post,
        "/submissions/job-000001/withdraw",
        "",
        ("job-000001".into(), "withdraw"),
    );
    world.run(33_000);
    let next = world.owner_of_team(0);
    assert_ne!(next, owner, "{}", world.trace());
    world.accepted(next, &job(8, 0, "sweep", 2));
    let before = world.sent;
    world.thaw(owner);
    let after = world.sent;
    // No command to a worker, no change in the store, no call to the cloud but to ask for a lease anew.
    assert_eq!(after.commands, before.commands, "{}", world.trace());
    assert_eq!(after.changes, before.changes, "{}", world.trace());
    assert_eq!(after.cloud_calls, before.cloud_calls, "{}", world.trace());
    assert!(!matches!(world.status(submission), 200 | 201), "{}", world.trace());
    assert_ne!(world.said(cancel), "withdrawn", "{}", world.trace());
    let done = |w: &World| w.store.get("t/j/job-000008").is_some_and(|j| j["st"] == "done");
    assert!(world.run_until(60_000, done), "{}", world.trace());
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "stood_still_beyond_its_lease");
}

#[test]
fn many_machines_that_hang_at_once_run_nothing_twice_when_they_go_on() {
    // Guard: silence is no proof that a task is gone. Some go on inside their lease, others past it with
    // a newer session, and a controller is back within a moment in the midst of it, with late copies.
    let mut world = World::sized(
        &Operator::default(),
        Size {
            teams: 3,
            guarantee: 40.0,
            limit: 80.0,
            write_rps: 50.0,
            value_kb: 4.0,
            ..Size::default()
        },
    );
    world.cloud.most = 120;
    world.run_ms = 40_000;
    world.run(3000);
    for i in 0..3 {
        let mut service = job(i, i, "standing", 12);
        service["spread"] = true.into();
        world.accepted(i as usize, &service);
        world.accepted(i as usize, &job(10 + i, i, "sweep", 50));
    }
    let all = |w: &World| (0..3).all(|i| w.running(&format!("job-{i:06}")) == 12);
    assert!(world.run_until(60_000, all), "{}", world.trace());
    let n = Rc::new(Cell::new(0u64));
    world.meddle(move |l| {
        n.set(n.get() + 1);
        match l.what {
            "POST /agent/beat" | "POST /commands" if n.get().is_multiple_of(5) => {
                Delivery::Copied(4000 + 900 * (n.get() % 40))
            }
            _ => Delivery::Pass,
        }
    });
    let names: Vec<String> = world.workers.keys().cloned().collect();
    let hang = |world: &mut World, part: usize, hanging: bool| {
        for name in names.iter().enumerate().filter(|(i, _)| i % 3 == part).map(|(_, n)| n) {
            if let Some(w) = world.workers.get_mut(name) {
                w.hanging = hanging;
            }
        }
    };
    world.note("a third of the machines hang");
    hang(&mut world, 0, true);
    world.run(4000);
    world.note("another third hangs");
    hang(&mut world, 1, true);
    let owner = world.owner_of_team(1);
    world.crash(owner);
    world.run(300);
    world.start(owner);
    world.run(6000);
    world.note("the second third goes on, within its lease");
    hang(&mut world, 1, false);
    world.run(17_000);
    world.note("the first third goes on, past its lease");
    hang(&mut world, 0, false);
    let done = |w: &World| {
        let over = |i: u32| {
            w.store
                .get(&format!("t/j/job-{i:06}"))
                .is_some_and(|j| j["st"] == "done")
        };
        (10..13).all(over) && all(w)
    };
    assert!(world.run_until(120_000, done), "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn after_troubles_of_all_kinds_every_accepted_job_is_answered_for_within_75_s() {
    // Guard: whatever was under way when it began (an end being stored, a question passed on, bitmaps
    // being read), nobody's questions are held for good, however the others fare.
    let mut world = World::new();
    world.run(3000);
    for i in 0..6 {
        let shape = if i % 3 == 0 { "standing" } else { "sweep" };
        world.accepted(i as usize % 3, &job(i, i % 3, shape, 1 + i % 2));
    }
    for i in 6..9 {
        world.accepted(i as usize % 3, &gang(i, i % 3, 2 + i % 2));
    }
    world.run(8000);
    let told = world.withdraw(0, "job-000003");
    world.run(2);
    // All at once: the state service fails for one of them, peers refuse, one crashes in mid-election,
    // and one stands still.
    let n = Rc::new(Cell::new(0u64));
    world.meddle(move |l| {
        n.set(n.get() + 1);
        let peers = l.from.starts_with("berth-") && l.to.starts_with("berth-");
        let refused = l.to == "state" && l.from == "berth-1";
        match () {
            () if peers || refused => Delivery::Lost,
            () if l.to == "state" && n.get().is_multiple_of(7) => Delivery::AnswerLost,
            () => Delivery::Pass,
        }
    });
    world.freeze(2);
    world.run(5000);
    world.crash(0);
    world.run(200);
    world.start(0);
    world.run(900);
    world.crash(0);
    world.run(300);
    world.start(0);
    world.run(20_000);
    world.thaw(2);
    world.run(3000);
    world.calm();
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
    let open = world.unanswered(75_000, &jobs);
    assert!(open.is_empty(), "{open:?}\n{}", world.trace());
    // Accepted and not cancelled: it runs, or it is done.
    let told_withdrawn = world.said(told) == "withdrawn";
    assert_eq!(world.running("job-000000"), 1, "{}", world.trace());
    assert!(told_withdrawn || world.running("job-000003") <= 1, "{}", world.trace());
    for j in jobs.iter().skip(1).filter(|j| **j != "job-000003") {
        let poll = world.poll(0, j);
        world.run(1500);
        assert_eq!(world.said(poll), "done", "{j}\n{}", world.trace());
    }
    assert_no_breaches(&world);
}

#[test]
fn a_machine_that_died_before_a_take_over_holds_it_up_for_little_more_than_a_report() {
    // Guard: until every machine is accounted for, older tasks of the whole partition wait. One that answers
    // no direct question, twice, while others of its zone do, used to be waited for as long as one that
    // had just reported.
    let mut world = World::sized(
        &Operator::default(),
        Size {
            teams: 3,
            guarantee: 40.0,
            limit: 80.0,
            ..Size::default()
        },
    );
    world.cloud.most = 60;
    world.run(3000);
    for i in 0..3 {
        let mut service = job(i, i, "standing", 8);
        service["spread"] = true.into();
        world.accepted(i as usize, &service);
    }
    let all = |w: &World| (0..3).all(|i| w.running(&format!("job-{i:06}")) == 8);
    assert!(world.run_until(40_000, all), "{}", world.trace());
    world.run(5000);
    let dead = world.machines_of("job-000000").first().cloned().expect("it runs");
    if let Some(w) = world.workers.get_mut(&dead) {
        w.hanging = true;
    }
    world.note(&format!("{dead} dies"));
    let owner = world.owner_of_team(0);
    world.crash(owner);
    world.run(300);
    let from = world.trace().len();
    world.start(owner);
    world.run(15_000);
    let told = &world.trace()[from..];
    let waits: Vec<u64> = told
        .lines()
        .filter_map(|l| l.split("accounted for, ").nth(1)?.split(' ').next()?.parse().ok())
        .collect();
    let longest = waits.iter().max().copied().unwrap_or(u64::MAX);
    assert!((2500..5000).contains(&longest), "{waits:?}\n{}", world.trace());
    assert!(world.cloud.deleted.contains(&dead), "{}", world.trace());
    assert!(world.run_until(10_000, all), "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_partition_with_one_machine_in_a_zone_knows_soon_that_it_died() {
    // Guard: that the zone can be reached shows by the controller there, where no other machine of the
    // partition does. It used to take the whole silence limit, 14 s here.
    let size = Size {
        guarantee: 8.0,
        limit: 16.0,
        ..Size::default()
    };
    let mut world = World::sized(&Operator::default(), size);
    world.run(3000);
    let mut there = job(1, 0, "standing", 4);
    there["yard"] = "b".into();
    let mut alone = job(2, 0, "standing", 2);
    alone["yard"] = "a".into();
    world.accepted(0, &there);
    world.accepted(0, &alone);
    let all = |w: &World| w.running("job-000001") == 4 && w.running("job-000002") == 2;
    assert!(world.run_until(40_000, all), "{}", world.trace());
    world.run(3000);
    let dead = world.machines_of("job-000002").first().cloned().expect("it runs");
    if let Some(w) = world.workers.get_mut(&dead) {
        w.hanging = true;
    }
    let owner = world.owner_of_team(0);
    world.crash(owner);
    world.run(300);
    world.start(owner);
    let gone = |w: &World| w.cloud.deleted.contains(&dead);
    assert!(world.run_until(7000, gone), "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_machine_is_not_returned_while_it_alone_knows_what_is_done() {
    // Guard: in an outage of the state service done bits are not stored, and idle machines were returned with the only
    // record of them: their tasks ran a second time. Found by real controllers that were split from the state service.
    let mut world = World::new();
    world.run(3000);
    world.run_ms = 3_000;
    let mut array = job(1, 0, "sweep", 4);
    array["standby"] = true.into();
    world.accepted(0, &array);
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 4),
        "{}",
        world.trace()
    );
    world.store.down = true;
    world.run(40_000);
    assert!(world.cloud.deleted.is_empty(), "{}", world.trace());
    world.store.down = false;
    let done = |w: &World| w.store.get("t/j/job-000001").is_some_and(|j| j["st"] == "done");
    assert!(world.run_until(60_000, done), "{}", world.trace());
    assert_eq!(world.checker().start_orders(), 4, "{}", world.trace());
    assert!(
        world.run_until(60_000, |w| w.cloud.machines.is_empty()),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}
