//! The failures that the service must get through without breaking a rule, each with the guard that
//! it is there for. Traces of them are kept under `traces/`; `UPDATE_TRACES=1` writes them anew.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_standin::support::{assert_trace, with_service};
use tidelatch_standin::{Delivery, World, job};

#[test]
fn a_quiet_day_runs_a_service_and_an_array() {
    let mut world = with_service(0);
    world.accepted(1, &job(2, 1, "sweep", 3));
    assert!(
        world.run_until(60_000, |w| w
            .store
            .get("t/j/job-000002")
            .is_some_and(|j| j["st"] == "done")),
        "{}",
        world.trace()
    );
    let poll = world.poll(2, "job-000002");
    world.run(300);
    assert_eq!(world.said(poll), "done");
    let unknown = world.poll(0, "job-999999");
    world.run(300);
    assert_eq!(world.status(unknown), 404);
    assert_trace(&world, "quiet_day");
}

#[test]
fn a_lost_answer_to_an_acceptance_is_settled_by_a_read() {
    // Guard: an unknown outcome of the acceptance is read from the store, not guessed.
    let mut world = World::new();
    world.run(3000);
    world.meddle(|l| match l.what {
        "POST /txn" if l.body.contains("t/j/") => Delivery::AnswerLost,
        _ => Delivery::Pass,
    });
    let first = world.submit(0, &job(1, 0, "sweep", 1));
    world.run(3000);
    assert_eq!(world.status(first), 200, "{}", world.trace());
    world.calm();
    let again = world.submit(2, &job(1, 0, "sweep", 1));
    world.run(500);
    assert_eq!(world.status(again), 200, "{}", world.trace());
    assert_eq!(world.store.keys("t/j/").len(), 1);
    assert_trace(&world, "lost_answer_to_an_acceptance");
}

#[test]
fn a_known_job_is_never_refused_whatever_its_body_says() {
    // Guard: before 400 or 422 the store is read, for this controller may not have heard of the job.
    let mut world = World::new();
    world.run(3000);
    world.meddle(|l| {
        let deaf = l.from == "berth-1" && l.what.starts_with("GET /changes");
        if deaf { Delivery::Lost } else { Delivery::Pass }
    });
    world.run(10_000);
    world.accepted(0, &job(1, 0, "sweep", 1));
    world.run(200);
    let mut odd = job(1, 0, "sweep", 1);
    odd["wagons"] = serde_json::json!(0);
    let request = world.submit(1, &odd);
    world.run(500);
    assert_eq!(world.status(request), 200, "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_take_over_with_a_silent_machine_starts_nothing_twice() {
    // Guard: no older task starts while a machine of the roster is not accounted for.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let machines = world.machines_of("job-000001");
    let silent = machines.first().cloned().expect("a machine runs the service");
    // The machine is cut off, and keeps running its tasks; then its controller crashes for good.
    let cut = silent.clone();
    world.meddle(move |l| {
        if l.from == cut || l.to == cut {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.crash(owner);
    world.run(12_000);
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    assert!(world.workers.contains_key(&silent), "not given up yet");
    world.run(40_000);
    assert!(world.cloud.deleted.contains(&silent), "{}", world.trace());
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "take_over_with_a_silent_machine");
}

#[test]
fn a_deposed_controller_starts_nothing_late() {
    // Guard: entitlement ends before the lease; and answers under an older token are dropped.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    let cut = name.clone();
    // The owner alone is refused by the state service. Its workers still reach it.
    world.meddle(move |l| {
        if l.from == cut && l.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run(4000);
    let submit = world.submit((owner + 1) % 3, &job(2, 0, "sweep", 2));
    world.run(30_000);
    assert!(matches!(world.status(submit), 200 | 201), "{}", world.trace());
    assert_ne!(world.owner_of_team(0), owner);
    assert!(
        world.store.get("t/j/job-000002").is_some_and(|j| j["st"] == "done"),
        "{}",
        world.trace()
    );
    world.calm();
    world.run(10_000);
    assert_eq!(world.owner_of_team(0), owner, "it comes home once it is well");
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "deposed_controller");
}

#[test]
fn a_late_beat_changes_nothing() {
    // Guard: a report with an older session or number is no evidence of anything.
    let mut world = World::new();
    world.run(3000);
    world.accepted(0, &job(1, 0, "standing", 1));
    assert!(
        world.run_until(25_000, |w| w.running("job-000001") == 1),
        "{}",
        world.trace()
    );
    // One beat of its machine arrives half a minute late (and between two others), when more has been started there.
    let delayed = Rc::new(Cell::new(0));
    let count = delayed.clone();
    world.meddle(move |l| {
        if l.what == "POST /agent/beat" && l.from == "n-000001" && count.get() < 1 {
            count.set(1);
            return Delivery::Late(32_700);
        }
        Delivery::Pass
    });
    world.run(6000);
    world.accepted(0, &job(2, 0, "standing", 1));
    assert!(
        world.run_until(25_000, |w| w.running("job-000002") == 1),
        "{}",
        world.trace()
    );
    // A second machine with room, where a task believed lost would be started once more.
    world.accepted(0, &job(3, 0, "standing", 1));
    assert!(
        world.run_until(15_000, |w| w.running("job-000003") == 1),
        "{}",
        world.trace()
    );
    world.run(30_000);
    assert_eq!(delayed.get(), 1, "{}", world.trace());
    assert_eq!(world.running("job-000002"), 1, "{}", world.trace());
    assert_trace(&world, "late_beat");
}

#[test]
fn a_live_owner_that_has_not_heard_of_the_new_epoch_is_waited_for() {
    // Guard: a partition that comes home is not acted for before its last owner, which is alive, has
    // acknowledged the epoch: until then that owner goes on telling users what it knows.
    let mut world = with_service(0);
    let home = world.owner_of_team(0);
    world.crash(home);
    world.run(12_000);
    let guest = world.owner_of_team(0);
    assert_ne!(guest, home);
    world.run_ms = 12_000;
    world.accepted(guest, &job(2, 0, "sweep", 1));
    assert!(
        world.run_until(30_000, |w| w.running("job-000002") == 1),
        "{}",
        world.trace()
    );
    let deaf = format!("berth-{guest}");
    world.meddle(move |l| {
        if l.from == deaf && l.what.starts_with("GET /changes") {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run(4000);
    world.start(home);
    for _ in 0..12 {
        world.run(2000);
        world.poll(home, "job-000002");
        world.run(300);
        world.poll(guest, "job-000002");
        world.run(300);
    }
    world.calm();
    world.run(20_000);
    let poll = world.poll(guest, "job-000002");
    world.run(500);
    assert_eq!(world.said(poll), "done", "{}", world.trace());
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    let tries = world.trace().matches("raising the epoch to 3").count();
    assert!(
        tries <= 12,
        "a leader that hears nothing must not burn the budget of changes: {tries} tries"
    );
    assert_trace(&world, "live_owner_is_waited_for");
}

#[test]
fn an_answer_that_is_lost_starts_the_task_again_and_not_twice() {
    // Guard: a start sent with a beat's answer is gone only if a later beat comes without it.
    let mut world = World::new();
    world.run(3000);
    let lost = Rc::new(Cell::new(0));
    let count = lost.clone();
    world.meddle(move |l| {
        if l.what == "POST /agent/beat" && l.at > 5000 && count.get() < 4 {
            count.set(count.get() + 1);
            return Delivery::AnswerLost;
        }
        Delivery::Pass
    });
    world.accepted(0, &job(1, 0, "standing", 3));
    assert!(
        world.run_until(60_000, |w| w.running("job-000001") == 3),
        "{}",
        world.trace()
    );
    world.run(20_000);
    assert_eq!(world.running("job-000001"), 3);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_withdrawal_that_races_a_start_wins() {
    // Guard: nothing starts once the withdrawal is being stored, and what started is stopped.
    let mut world = with_service(0);
    world.accepted(0, &job(2, 0, "standing", 2));
    let mut told = 0;
    for _ in 0..5 {
        let request = world.withdraw(1, "job-000002");
        world.run(1500);
        if world.status(request) == 200 {
            told = request;
            break;
        }
    }
    assert_eq!(world.said(told), "withdrawn", "{}", world.trace());
    world.run(45_000);
    assert!(world.machines_of("job-000002").is_empty(), "{}", world.trace());
    let poll = world.poll(2, "job-000002");
    world.run(500);
    assert_eq!(world.said(poll), "withdrawn");
    // Now with a machine that has room, and withdrawals round the moment of the start.
    world.accepted(0, &job(3, 0, "standing", 1));
    assert!(
        world.run_until(30_000, |w| w.running("job-000003") == 1),
        "{}",
        world.trace()
    );
    let owner = world.owner_of_team(0);
    for (id, wait) in [(4, 100), (5, 190), (6, 202), (7, 206), (8, 1000)] {
        let request = world.submit(owner, &job(id, 0, "standing", 1));
        world.run(wait);
        assert_eq!(world.status(request), 201, "{}", world.trace());
        let name = format!("job-{id:06}");
        let request = world.withdraw(owner, &name);
        world.run(20);
        assert_eq!(world.said(request), "withdrawn", "{}", world.trace());
        let starts = |w: &World| w.trace().matches(&format!("starts {name}/")).count();
        let begun = starts(&world);
        world.run(6000);
        assert_eq!(starts(&world), begun, "{}", world.trace());
        assert!(world.machines_of(&name).is_empty(), "{}", world.trace());
    }
    assert_trace(&world, "withdrawal_races_a_start");
}

#[test]
fn a_withdrawal_that_races_the_last_completion_gets_one_answer() {
    // Guard: the end of a job is one conditional write; what it says is what everyone is told.
    let mut world = with_service(0);
    world.accepted(0, &job(2, 0, "sweep", 1));
    assert!(
        world.run_until(30_000, |w| w.running("job-000002") == 1),
        "{}",
        world.trace()
    );
    // Ends are carried out, but their answers are lost for a while.
    let until = world.now + 12_000;
    world.meddle(move |l| match l.what {
        "POST /txn" if l.at < until && l.body.contains("\"st\":") => Delivery::AnswerLost,
        _ => Delivery::Pass,
    });
    world.run(5200);
    let owner = world.owner_of_team(0);
    let request = world.withdraw(owner, "job-000002");
    world.run(20_000);
    let again = world.withdraw((owner + 1) % 3, "job-000002");
    let poll = world.poll(owner, "job-000002");
    world.run(1000);
    assert!(matches!(world.status(request), 200 | 503));
    assert_eq!(world.status(again), 200, "{}", world.trace());
    assert_eq!(world.said(again), world.said(poll));
    assert_trace(&world, "withdrawal_races_the_last_completion");
}

#[test]
fn a_restart_within_the_lease_is_a_new_life() {
    // Guard: each life has a number of its own, so that it takes over from its predecessor.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let epoch = world.epoch();
    world.crash(owner);
    world.run(200);
    world.start(owner);
    world.run(5000);
    assert!(world.epoch() > epoch, "{}", world.trace());
    assert_eq!(world.owner_of_team(0), owner);
    world.run(20_000);
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "restart_within_the_lease");
}

#[test]
fn a_full_team_with_a_machine_out_of_reach_starts_nothing_more() {
    // Guard: tasks count against the limit until they are proven gone.
    let mut world = World::new();
    world.run(3000);
    world.accepted(0, &job(1, 0, "standing", 4));
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 4),
        "{}",
        world.trace()
    );
    let cut = world.machines_of("job-000001").first().cloned().expect("a machine");
    world.meddle(move |l| {
        if l.from == cut || l.to == cut {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.accepted(1, &job(2, 0, "sweep", 2));
    world.run(60_000);
    world.calm();
    world.run(20_000);
    assert_eq!(world.running("job-000001"), 4, "{}", world.trace());
    assert_trace(&world, "full_team_with_a_machine_out_of_reach");
}

#[test]
fn all_controllers_crash_and_the_work_goes_on() {
    let mut world = with_service(2);
    for i in 0..3 {
        world.crash(i);
    }
    world.run(3000);
    for i in 0..3 {
        world.start(i);
    }
    world.run(15_000);
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "no worker's lease ended"
    );
    let poll = world.poll(1, "job-000001");
    world.run(500);
    assert_eq!(world.said(poll), "running", "{}", world.trace());
    assert_trace(&world, "all_controllers_crash");
}

#[test]
fn a_worker_cut_from_its_controller_is_served_through_another() {
    // Guard: any entitled controller may answer, and passes the report on to the owner.
    let mut world = with_service(0);
    let owner = format!("berth-{}", world.owner_of_team(0));
    let machines = world.machines_of("job-000001");
    let cut = machines.clone();
    world.meddle(move |l| {
        let between =
            (cut.iter().any(|m| m == l.from) && l.to == owner) || (cut.iter().any(|m| m == l.to) && l.from == owner);
        if between { Delivery::Lost } else { Delivery::Pass }
    });
    world.run(60_000);
    assert_eq!(world.machines_of("job-000001"), machines, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "no worker's lease ended"
    );
    let request = world.withdraw(1, "job-000001");
    world.run(35_000);
    assert_eq!(world.said(request), "withdrawn", "{}", world.trace());
    assert!(world.machines_of("job-000001").is_empty(), "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_direct_start_without_an_answer_stays_where_it_may_arrive() {
    // Guard: such a start is pinned to its machine; it is neither started elsewhere, nor forgotten
    // once it has ended, until a newer token or session fences the command that is still out.
    let mut world = World::new();
    world.run(3000);
    world.accepted(0, &job(1, 0, "standing", 1));
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 1),
        "{}",
        world.trace()
    );
    world.run(6000);
    // A second machine with room, and the first one's direct commands are held back; its beats too,
    // for a while, so that the start cannot be sent again.
    world.accepted(0, &job(2, 0, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running("job-000002") == 2),
        "{}",
        world.trace()
    );
    let sent = Rc::new(Cell::new(0));
    let count = sent.clone();
    world.meddle(move |l| {
        if l.what == "POST /commands" && l.body.contains("\"start\"") && count.get() < 1 {
            count.set(1);
            return Delivery::Late(25_000);
        }
        Delivery::Pass
    });
    world.accepted(0, &job(3, 0, "sweep", 1));
    world.run(60_000);
    assert_eq!(sent.get(), 1, "{}", world.trace());
    assert!(
        world.store.get("t/j/job-000003").is_some_and(|j| j["st"] == "done"),
        "{}",
        world.trace()
    );
    // It was sent again with a beat, ran, and the late copy found it known: nothing ran after the end.
    assert_eq!(
        world.trace().matches("starts job-000003/0").count(),
        1,
        "{}",
        world.trace()
    );
    assert_trace(&world, "direct_start_without_an_answer");
}

#[test]
fn a_controller_that_comes_back_from_a_cut_does_not_wait_for_its_old_watch() {
    // Guard: from an incident. The partition had been given back to it, and had no owner for 7 s,
    // until the watch that went out before the cut had run out of time.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.meddle(move |l| {
        if l.from == name && l.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run(18_500);
    assert_ne!(world.owner_of_team(0), owner);
    world.calm();
    let epoch = world.epoch();
    assert!(world.run_until(8000, |w| w.epoch() > epoch), "{}", world.trace());
    world.run(1500);
    let acting = format!("berth-{owner}: epoch {}: taking over partition 0", world.epoch());
    assert!(world.trace().contains(&acting), "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
