//! Controllers that are back within a moment, stand still for longer than their lease, or meet messages of their earlier
//! lives. Each test names the guard that it is there for.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::Method;
use tidelatch_standin::support::{assert_no_breaches, assert_trace, with_service};
use tidelatch_standin::{Delivery, World, job};

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
