//! Failures that the service must survive without breaking a rule of the protocol. The comment at the head of each
//! test names the failure and what prevents it. Expected traces are kept under `traces/`; `UPDATE_TRACES=1` writes
//! them anew.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_standin::support::{assert_trace, world_with_service};
use tidelatch_standin::{Delivery, World, job};

#[test]
fn a_service_and_an_array_run_without_faults() {
    // The baseline without faults: a service and an array run, a user is told that the array is done, and a request
    // about an unknown job is answered with 404.
    let mut world = world_with_service(0);
    world.submit_until_accepted(1, &job(2, 1, "sweep", 3));
    assert!(
        world.run_until(60_000, |w| w
            .store
            .get("t/j/job-000002")
            .is_some_and(|j| j["st"] == "done")),
        "{}",
        world.trace()
    );
    let poll = world.poll(2, "job-000002");
    world.run_for(300);
    assert_eq!(world.job_status(poll), "done");
    let unknown = world.poll(0, "job-999999");
    world.run_for(300);
    assert_eq!(world.http_status(unknown), 404);
    assert_trace(&world, "quiet_day");
}

#[test]
fn an_acceptance_without_an_answer_is_resolved_by_a_read() {
    // Guards against a submission that is lost or stored twice because the answer to the storing transaction was lost.
    // The controller reads the unknown outcome from the state service and does not guess it.
    let mut world = World::new();
    world.run_for(3000);
    world.set_fault_injector(|l| match l.request {
        "POST /txn" if l.body.contains("t/j/") => Delivery::AnswerLost,
        _ => Delivery::Pass,
    });
    let first = world.submit(0, &job(1, 0, "sweep", 1));
    world.run_for(3000);
    assert_eq!(world.http_status(first), 200, "{}", world.trace());
    world.clear_fault_injector();
    let again = world.submit(2, &job(1, 0, "sweep", 1));
    world.run_for(500);
    assert_eq!(world.http_status(again), 200, "{}", world.trace());
    assert_eq!(world.store.keys("t/j/").len(), 1);
    assert_trace(&world, "lost_answer_to_an_acceptance");
}

#[test]
fn a_resubmission_with_an_invalid_body_is_not_refused_if_its_job_is_accepted() {
    // Guards against a 400 or 422 for a job that another controller has accepted. The watch of this controller is cut,
    // so it may not have heard of the job: it has to read the state service before such an answer.
    let mut world = World::new();
    world.run_for(3000);
    world.set_fault_injector(|l| {
        let without_watch = l.from == "berth-1" && l.request.starts_with("GET /changes");
        if without_watch { Delivery::Lost } else { Delivery::Pass }
    });
    world.run_for(10_000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 1));
    world.run_for(200);
    let mut invalid = job(1, 0, "sweep", 1);
    invalid["wagons"] = serde_json::json!(0);
    let request = world.submit(1, &invalid);
    world.run_for(500);
    assert_eq!(world.http_status(request), 200, "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

#[test]
fn a_takeover_with_an_unresponsive_machine_starts_no_task_twice() {
    // Guards against a task that runs on two machines: its machine is unreachable but still runs it when another
    // controller takes over the partition. No older task starts while a machine of the roster is not accounted for.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let machines = world.machines_of("job-000001");
    let unresponsive = machines.first().cloned().expect("a machine runs the service");
    // The machine is cut off and keeps running its tasks. Then its controller crashes and is not restarted.
    let cut_off = unresponsive.clone();
    world.set_fault_injector(move |l| {
        if l.from == cut_off || l.to == cut_off {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.crash_controller(owner);
    world.run_for(12_000);
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    assert!(
        world.workers.contains_key(&unresponsive),
        "the machine has not been given up yet"
    );
    world.run_for(40_000);
    assert!(world.cloud.deleted.contains(&unresponsive), "{}", world.trace());
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "take_over_with_a_silent_machine");
}

#[test]
fn a_deposed_controller_starts_no_task_late() {
    // Guards against a controller that has lost its lease, still reaches its workers and starts tasks that the new
    // owner starts too. Its entitlement ends before its lease, and answers under an older token are dropped.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    let cut_off = name.clone();
    // Only the owner is cut off from the state service. Its workers still reach it.
    world.set_fault_injector(move |l| {
        if l.from == cut_off && l.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(4000);
    let submit = world.submit((owner + 1) % 3, &job(2, 0, "sweep", 2));
    world.run_for(30_000);
    assert!(matches!(world.http_status(submit), 200 | 201), "{}", world.trace());
    assert_ne!(world.owner_of_team(0), owner);
    assert!(
        world.store.get("t/j/job-000002").is_some_and(|j| j["st"] == "done"),
        "{}",
        world.trace()
    );
    world.clear_fault_injector();
    world.run_for(10_000);
    assert_eq!(
        world.owner_of_team(0),
        owner,
        "the partition returns to its home controller once that has recovered"
    );
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "deposed_controller");
}

#[test]
fn a_late_report_changes_nothing() {
    // Guards against a task that is started twice because a late report, sent before the task started, does not list
    // it. A report with an older session or sequence number is no evidence of anything.
    let mut world = World::new();
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    assert!(
        world.run_until(25_000, |w| w.running_tasks("job-000001") == 1),
        "{}",
        world.trace()
    );
    // One report of its machine arrives half a minute late, between two newer ones, after another task was started
    // there.
    let delayed = Rc::new(Cell::new(0));
    let count = delayed.clone();
    world.set_fault_injector(move |l| {
        if l.request == "POST /agent/beat" && l.from == "n-000001" && count.get() < 1 {
            count.set(1);
            return Delivery::Late(32_700);
        }
        Delivery::Pass
    });
    world.run_for(6000);
    world.submit_until_accepted(0, &job(2, 0, "standing", 1));
    assert!(
        world.run_until(25_000, |w| w.running_tasks("job-000002") == 1),
        "{}",
        world.trace()
    );
    // A second machine with room, on which a task that is believed lost would be started again.
    world.submit_until_accepted(0, &job(3, 0, "standing", 1));
    assert!(
        world.run_until(15_000, |w| w.running_tasks("job-000003") == 1),
        "{}",
        world.trace()
    );
    world.run_for(30_000);
    assert_eq!(delayed.get(), 1, "{}", world.trace());
    assert_eq!(world.running_tasks("job-000002"), 1, "{}", world.trace());
    assert_trace(&world, "late_beat");
}

#[test]
fn a_takeover_waits_for_a_live_owner_that_has_not_heard_of_the_new_epoch() {
    // Guards against two controllers that give users different answers. A partition returns to its home controller
    // while its last owner is alive but hears nothing of the new epoch. The home controller does not act for the
    // partition before that owner has acknowledged the epoch: until then the owner goes on telling users what it
    // knows.
    let mut world = world_with_service(0);
    let home_controller = world.owner_of_team(0);
    world.crash_controller(home_controller);
    world.run_for(12_000);
    let last_owner = world.owner_of_team(0);
    assert_ne!(last_owner, home_controller);
    world.run_ms = 12_000;
    world.submit_until_accepted(last_owner, &job(2, 0, "sweep", 1));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000002") == 1),
        "{}",
        world.trace()
    );
    let without_watch = format!("berth-{last_owner}");
    world.set_fault_injector(move |l| {
        if l.from == without_watch && l.request.starts_with("GET /changes") {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(4000);
    world.start_controller(home_controller);
    for _ in 0..12 {
        world.run_for(2000);
        world.poll(home_controller, "job-000002");
        world.run_for(300);
        world.poll(last_owner, "job-000002");
        world.run_for(300);
    }
    world.clear_fault_injector();
    world.run_for(20_000);
    let poll = world.poll(last_owner, "job-000002");
    world.run_for(500);
    assert_eq!(world.job_status(poll), "done", "{}", world.trace());
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    let attempts = world.trace().matches("raising the epoch to 3").count();
    assert!(
        attempts <= 12,
        "a leader that hears nothing must not use up the budget of changes: {attempts} attempts"
    );
    assert_trace(&world, "live_owner_is_waited_for");
}

#[test]
fn a_start_whose_answer_is_lost_is_repeated_and_runs_once() {
    // Guards against a task that never starts, or starts twice, after the answer to a report was lost together with
    // the start that it carried. The start counts as lost only if a later report comes without the task.
    let mut world = World::new();
    world.run_for(3000);
    let lost = Rc::new(Cell::new(0));
    let count = lost.clone();
    world.set_fault_injector(move |l| {
        if l.request == "POST /agent/beat" && l.sent_ms > 5000 && count.get() < 4 {
            count.set(count.get() + 1);
            return Delivery::AnswerLost;
        }
        Delivery::Pass
    });
    world.submit_until_accepted(0, &job(1, 0, "standing", 3));
    assert!(
        world.run_until(60_000, |w| w.running_tasks("job-000001") == 3),
        "{}",
        world.trace()
    );
    world.run_for(20_000);
    assert_eq!(world.running_tasks("job-000001"), 3);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

#[test]
fn a_cancellation_that_races_a_start_wins() {
    // Guards against a task that starts after its user was told that the job is cancelled. Nothing starts once the
    // cancellation is being stored, and what has started is stopped.
    let mut world = world_with_service(0);
    world.submit_until_accepted(0, &job(2, 0, "standing", 2));
    let mut confirmed = 0;
    for _ in 0..5 {
        let request = world.cancel(1, "job-000002");
        world.run_for(1500);
        if world.http_status(request) == 200 {
            confirmed = request;
            break;
        }
    }
    assert_eq!(world.job_status(confirmed), "withdrawn", "{}", world.trace());
    world.run_for(45_000);
    assert!(world.machines_of("job-000002").is_empty(), "{}", world.trace());
    let poll = world.poll(2, "job-000002");
    world.run_for(500);
    assert_eq!(world.job_status(poll), "withdrawn");
    // Now with a machine that has room, and cancellations shortly before and after the start.
    world.submit_until_accepted(0, &job(3, 0, "standing", 1));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000003") == 1),
        "{}",
        world.trace()
    );
    let owner = world.owner_of_team(0);
    for (id, wait) in [(4, 100), (5, 190), (6, 202), (7, 206), (8, 1000)] {
        let request = world.submit(owner, &job(id, 0, "standing", 1));
        world.run_for(wait);
        assert_eq!(world.http_status(request), 201, "{}", world.trace());
        let name = format!("job-{id:06}");
        let request = world.cancel(owner, &name);
        world.run_for(20);
        assert_eq!(world.job_status(request), "withdrawn", "{}", world.trace());
        let starts = |w: &World| w.trace().matches(&format!("starts {name}/")).count();
        let starts_before = starts(&world);
        world.run_for(6000);
        assert_eq!(starts(&world), starts_before, "{}", world.trace());
        assert!(world.machines_of(&name).is_empty(), "{}", world.trace());
    }
    assert_trace(&world, "withdrawal_races_a_start");
}

#[test]
fn a_cancellation_that_races_the_last_completion_gets_one_answer() {
    // Guards against different answers about one job that is cancelled while its last task completes and the answers
    // to the writes are lost. The end of a job is one conditional write, and every user is told the end that it
    // stored.
    let mut world = world_with_service(0);
    world.submit_until_accepted(0, &job(2, 0, "sweep", 1));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000002") == 1),
        "{}",
        world.trace()
    );
    // For a while, transactions that store the end of a job are carried out, but their answers are lost.
    let until = world.now + 12_000;
    world.set_fault_injector(move |l| match l.request {
        "POST /txn" if l.sent_ms < until && l.body.contains("\"st\":") => Delivery::AnswerLost,
        _ => Delivery::Pass,
    });
    world.run_for(5200);
    let owner = world.owner_of_team(0);
    let request = world.cancel(owner, "job-000002");
    world.run_for(20_000);
    let again = world.cancel((owner + 1) % 3, "job-000002");
    let poll = world.poll(owner, "job-000002");
    world.run_for(1000);
    assert!(matches!(world.http_status(request), 200 | 503));
    assert_eq!(world.http_status(again), 200, "{}", world.trace());
    assert_eq!(world.job_status(again), world.job_status(poll));
    assert_trace(&world, "withdrawal_races_the_last_completion");
}

#[test]
fn a_restart_within_the_lease_is_a_new_incarnation() {
    // Guards against a restarted controller that is taken for its predecessor because that one's lease has not ended.
    // Each incarnation has a number of its own, so that it takes over from its predecessor.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let epoch = world.epoch();
    world.crash_controller(owner);
    world.run_for(200);
    world.start_controller(owner);
    world.run_for(5000);
    assert!(world.epoch() > epoch, "{}", world.trace());
    assert_eq!(world.owner_of_team(0), owner);
    world.run_for(20_000);
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "restart_within_the_lease");
}

#[test]
fn a_team_at_its_limit_with_an_unreachable_machine_starts_no_more_tasks() {
    // Guards against a team that exceeds its limit because tasks on an unreachable machine are taken for ended. Tasks
    // count against the limit until they are proven gone.
    let mut world = World::new();
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 4));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 4),
        "{}",
        world.trace()
    );
    let cut_off = world.machines_of("job-000001").first().cloned().expect("a machine");
    world.set_fault_injector(move |l| {
        if l.from == cut_off || l.to == cut_off {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.submit_until_accepted(1, &job(2, 0, "sweep", 2));
    world.run_for(60_000);
    world.clear_fault_injector();
    world.run_for(20_000);
    assert_eq!(world.running_tasks("job-000001"), 4, "{}", world.trace());
    assert_trace(&world, "full_team_with_a_machine_out_of_reach");
}

#[test]
fn tasks_survive_a_crash_of_all_controllers() {
    // Guards against tasks that are lost when all controllers crash and are back before the workers' leases end.
    let mut world = world_with_service(2);
    for i in 0..3 {
        world.crash_controller(i);
    }
    world.run_for(3000);
    for i in 0..3 {
        world.start_controller(i);
    }
    world.run_for(15_000);
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "every worker is still in its first session"
    );
    let poll = world.poll(1, "job-000001");
    world.run_for(500);
    assert_eq!(world.job_status(poll), "running", "{}", world.trace());
    assert_trace(&world, "all_controllers_crash");
}

#[test]
fn a_worker_cut_off_from_its_controller_is_served_through_another() {
    // Guards against workers whose leases end because they cannot reach the controller that owns their machines. Any
    // entitled controller may answer a report, and passes it on to the owner.
    let mut world = world_with_service(0);
    let owner = format!("berth-{}", world.owner_of_team(0));
    let machines = world.machines_of("job-000001");
    let cut_off = machines.clone();
    world.set_fault_injector(move |l| {
        let between = (cut_off.iter().any(|m| m == l.from) && l.to == owner)
            || (cut_off.iter().any(|m| m == l.to) && l.from == owner);
        if between { Delivery::Lost } else { Delivery::Pass }
    });
    world.run_for(60_000);
    assert_eq!(world.machines_of("job-000001"), machines, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "every worker is still in its first session"
    );
    let request = world.cancel(1, "job-000001");
    world.run_for(35_000);
    assert_eq!(world.job_status(request), "withdrawn", "{}", world.trace());
    assert!(world.machines_of("job-000001").is_empty(), "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

#[test]
fn a_direct_start_without_an_answer_is_pinned_to_its_machine() {
    // Guards against a task that runs twice because the direct command to start it arrives late. Such a start is
    // pinned to its machine: it is neither started elsewhere, nor forgotten once it has ended, until a newer token or
    // session fences the command that is still in flight.
    let mut world = World::new();
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 1),
        "{}",
        world.trace()
    );
    world.run_for(6000);
    // A second machine gets room. Then the first direct command to start a task is held back.
    world.submit_until_accepted(0, &job(2, 0, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000002") == 2),
        "{}",
        world.trace()
    );
    let sent = Rc::new(Cell::new(0));
    let count = sent.clone();
    world.set_fault_injector(move |l| {
        if l.request == "POST /commands" && l.body.contains("\"start\"") && count.get() < 1 {
            count.set(1);
            return Delivery::Late(25_000);
        }
        Delivery::Pass
    });
    world.submit_until_accepted(0, &job(3, 0, "sweep", 1));
    world.run_for(60_000);
    assert_eq!(sent.get(), 1, "{}", world.trace());
    assert!(
        world.store.get("t/j/job-000003").is_some_and(|j| j["st"] == "done"),
        "{}",
        world.trace()
    );
    // The start was sent again with the answer to a report, and the task ran. The worker recognised the late
    // command, so nothing ran after the end.
    assert_eq!(
        world.trace().matches("starts job-000003/0").count(),
        1,
        "{}",
        world.trace()
    );
    assert_trace(&world, "direct_start_without_an_answer");
}

#[test]
fn a_reconnected_controller_does_not_wait_for_its_old_watch() {
    // Guards against a partition without an owner, as in an incident: it had been given back to a controller that
    // reached the state service again, and had no owner for 7 s, until the watch that was opened before the
    // disconnection had timed out.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.set_fault_injector(move |l| {
        if l.from == name && l.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(18_500);
    assert_ne!(world.owner_of_team(0), owner);
    world.clear_fault_injector();
    let epoch = world.epoch();
    assert!(world.run_until(8000, |w| w.epoch() > epoch), "{}", world.trace());
    world.run_for(1500);
    let takeover_line = format!("berth-{owner}: epoch {}: taking over partition 0", world.epoch());
    assert!(world.trace().contains(&takeover_line), "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}
