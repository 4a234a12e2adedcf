//! Controllers that restart within a moment, are paused for longer than their lease, or meet messages of their earlier
//! incarnations. The comment at the head of each test names the failure and what prevents it.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::Method;
use tidelatch_standin::support::{assert_no_breaches, assert_trace, world_with_service};
use tidelatch_standin::{Delivery, World, job};

/// Crashes one controller `crash_at_ms` after a submission and restarts it after `away_ms`, then another
/// one. Copies of some of the messages of all controllers and workers arrive later.
fn run_with_quick_restarts(crash_at_ms: u64, away_ms: u64) {
    let mut world = World::new();
    let n = Rc::new(Cell::new(0u64));
    world.set_fault_injector(move |l| {
        n.set(n.get() + 1);
        let is_copied = matches!(
            l.request,
            "POST /agent/beat" | "POST /commands" | "POST /txn" | "POST /hosts"
        );
        if is_copied && n.get().is_multiple_of(3) {
            Delivery::Copied(400 + 1300 * (n.get() % 17))
        } else {
            Delivery::Pass
        }
    });
    // With the smallest values of `crash_at_ms`, the first crash is in the middle of the first election.
    world.run_for(crash_at_ms.min(60));
    if crash_at_ms <= 60 {
        world.crash_controller(crash_at_ms as usize % 3);
        world.run_for(away_ms);
        world.start_controller(crash_at_ms as usize % 3);
    }
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 2));
    world.submit_until_accepted(1, &job(2, 1, "sweep", 3));
    let owner = world.owner_of_team(0);
    let pending = world.submit((owner + 1) % 3, &job(3, 0, "sweep", 2));
    world.run_for(crash_at_ms);
    world.crash_controller(owner);
    world.run_for(away_ms);
    world.start_controller(owner);
    world.run_for(crash_at_ms / 2);
    let repetition = world.submit(owner, &job(3, 0, "sweep", 2));
    world.crash_controller((owner + 1) % 3);
    world.run_for(away_ms);
    world.start_controller((owner + 1) % 3);
    world.run_for(40_000);
    world.clear_fault_injector();
    let mut jobs = vec!["job-000001", "job-000002"];
    if [pending, repetition]
        .iter()
        .any(|r| matches!(world.http_status(*r), 200 | 201))
    {
        jobs.push("job-000003");
    }
    assert!(
        world.poll_unanswered(75_000, &jobs).is_empty(),
        "{crash_at_ms} {away_ms}\n{}",
        world.trace()
    );
    assert_eq!(
        world.running_tasks("job-000001"),
        2,
        "{crash_at_ms} {away_ms}\n{}",
        world.trace()
    );
    for j in jobs.iter().skip(1) {
        let poll = world.poll(2, j);
        world.run_for(2000);
        assert_eq!(
            world.job_status(poll),
            "done",
            "{j} {crash_at_ms} {away_ms}\n{}",
            world.trace()
        );
    }
    assert!(
        world.breaches.is_empty(),
        "{crash_at_ms} {away_ms}: {:?}\n{}",
        world.breaches,
        world.trace()
    );
}

#[test]
fn a_controller_restarts_within_a_moment_at_any_time() {
    // Guards against jobs and tasks that are lost or run twice, when controllers crash at any time after a submission,
    // restart within a moment and meet copies of messages of their earlier incarnations. Each incarnation has an
    // identity of its own. All that it writes is conditional, its own key included. Attempts are numbered from the
    // epoch. No older task starts before its machine has accepted the new token.
    for crash_at_ms in [3, 12, 18, 40, 203, 250, 1100, 2500, 5950, 6003, 6700] {
        for away_ms in [40, 350, 900] {
            run_with_quick_restarts(crash_at_ms, away_ms);
        }
    }
}

#[test]
fn a_late_copy_of_an_earlier_incarnations_key_changes_nothing() {
    // Guards against a late copy of an earlier incarnation's write, which put that incarnation back, so that the
    // membership changed to and fro. A controller writes its own key on condition of the key's revision.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    let copies = Rc::new(Cell::new(0));
    let count = copies.clone();
    world.set_fault_injector(move |l| {
        if l.from == name && l.request == "POST /txn" && l.body.contains("t/c/member/") && count.get() < 1 {
            count.set(1);
            return Delivery::Copied(2500);
        }
        Delivery::Pass
    });
    world.crash_controller(owner);
    world.run_for(100);
    world.start_controller(owner);
    assert!(world.run_until(1000, |_| copies.get() == 1), "{}", world.trace());
    // The next incarnation starts while the lease of the first one has not ended.
    world.crash_controller(owner);
    world.run_for(100);
    world.start_controller(owner);
    world.run_for(1500);
    let epoch = world.epoch();
    world.run_for(30_000);
    assert_eq!(world.epoch(), epoch, "{}", world.trace());
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_no_breaches(&world);
}

#[test]
fn a_controller_paused_for_longer_than_its_lease_does_nothing_on_resuming() {
    // Guards against a controller that acts on old input after a long pause. The entitlement is checked with each
    // input, at the time of that input. Whatever waited in the buffers (reports, users' requests, ends of calls,
    // ticks) is handled by a controller that may no longer act.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    world.pause(owner);
    // A submission and a cancellation wait in its buffers when it resumes.
    let submission = world.submit(owner, &job(7, 0, "sweep", 2));
    let cancellation = world.send_user_request(
        owner,
        Method::Post,
        "/submissions/job-000001/withdraw",
        "",
        ("job-000001".into(), "withdraw"),
    );
    world.run_for(33_000);
    let next_owner = world.owner_of_team(0);
    assert_ne!(next_owner, owner, "{}", world.trace());
    world.submit_until_accepted(next_owner, &job(8, 0, "sweep", 2));
    let before = world.message_counts;
    world.resume(owner);
    let after = world.message_counts;
    // It sends no command to a worker, no change to the state service and no call to the cloud. It may only ask for a
    // new lease.
    assert_eq!(after.commands, before.commands, "{}", world.trace());
    assert_eq!(after.state_changes, before.state_changes, "{}", world.trace());
    assert_eq!(after.cloud_calls, before.cloud_calls, "{}", world.trace());
    assert!(!matches!(world.http_status(submission), 200 | 201), "{}", world.trace());
    assert_ne!(world.job_status(cancellation), "withdrawn", "{}", world.trace());
    let is_done = |w: &World| w.store.get("t/j/job-000008").is_some_and(|j| j["st"] == "done");
    assert!(world.run_until(60_000, is_done), "{}", world.trace());
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert_trace(&world, "stood_still_beyond_its_lease");
}
