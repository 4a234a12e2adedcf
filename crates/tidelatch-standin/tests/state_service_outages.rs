//! The state service is away, refuses some controllers, or its watches fail: what controllers may still do, and how they
//! catch up. Each test names the guard that it is there for.

use tidelatch_standin::support::{assert_trace, with_service};
use tidelatch_standin::{Delivery, World, job};

#[test]
fn a_short_state_outage_costs_no_task() {
    // Guard: leases have their full time again after an outage, so the same life goes on.
    let mut world = with_service(0);
    let epoch = world.epoch();
    world.note("the state service goes down");
    world.store.down = true;
    world.run(12_000);
    let refused = world.submit(0, &job(2, 0, "sweep", 1));
    world.run(500);
    assert_eq!(world.status(refused), 503, "answered at once");
    assert!(
        world
            .answers
            .get(&refused)
            .is_some_and(|(_, a)| a.retry_after_s.is_some())
    );
    world.store.down = false;
    world.note("the state service is back");
    world.run(10_000);
    assert_eq!(world.epoch(), epoch);
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "no worker's lease ended"
    );
    assert_trace(&world, "short_state_outage");
}

#[test]
fn a_long_state_outage_costs_no_task() {
    // Guard: under the grants of all peers a controller goes on answering beats, and no gap lies
    // between its lease and the grants.
    let mut world = with_service(0);
    world.accepted(1, &job(2, 1, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running("job-000002") == 2),
        "{}",
        world.trace()
    );
    let epoch = world.epoch();
    world.note("the state service goes down");
    world.store.down = true;
    world.run(60_000);
    world.store.down = false;
    world.note("the state service is back");
    world.run(10_000);
    assert_eq!(world.epoch(), epoch, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "no worker's lease ended"
    );
    assert_eq!(world.running("job-000001") + world.running("job-000002"), 4);
    assert_trace(&world, "long_state_outage");
}

#[test]
fn a_crash_in_a_long_state_outage_costs_only_what_must_be() {
    // The peers' grants last for a controller's lease, so a restart in between is bridged.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    world.store.down = true;
    world.run(12_000);
    world.crash((owner + 1) % 3);
    world.run(5000);
    world.start((owner + 1) % 3);
    world.run(25_000);
    assert!(world.workers.values().all(|w| w.session == 1), "{}", world.trace());
    world.store.down = false;
    world.run(20_000);
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// All controllers are refused, each by itself, so that leases run out in the store; then all but the
/// owner of team 0 are served again. Two controllers must never act for its partition.
fn refused_one_by_one(restart_others: bool) -> World {
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.note("every controller is refused by the state service, each by itself");
    world.meddle(|l| {
        if l.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run(20_000);
    if restart_others {
        for other in (0..3).filter(|i| *i != owner) {
            world.crash(other);
            world.start(other);
        }
    }
    world.note("all but the owner are served again, and the owner is cut off from them");
    world.meddle(move |l| {
        if l.from == name || l.to == name {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run(30_000);
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    world.calm();
    world.run(30_000);
    assert_eq!(world.running("job-000001"), 2, "{}", world.trace());
    world
}

#[test]
fn a_grant_is_kept_by_those_who_are_served_again() {
    // Guard: whoever has granted neither leads nor raises an epoch until that is over.
    assert_trace(&refused_one_by_one(false), "grants_are_kept");
}

#[test]
fn a_grant_is_kept_even_if_it_may_be_forgotten() {
    // Guard: a new process leads only once all peers rely on nothing, or the longest grant is over.
    assert_trace(&refused_one_by_one(true), "grants_may_be_forgotten");
}

#[test]
fn the_grant_of_one_peer_is_not_enough() {
    // Guard: any peer could change the membership, so every one of them has to grant.
    let mut world = with_service(0);
    let owner = world.owner_of_team(0);
    let (refused, served) = (
        format!("berth-{}", (owner + 1) % 3),
        format!("berth-{}", (owner + 2) % 3),
    );
    let name = format!("berth-{owner}");
    world.meddle(move |l| {
        let without_state = l.to == "state" && (l.from == name || l.from == refused);
        let cut = (l.from == name && l.to == served) || (l.from == served && l.to == name);
        if without_state || cut {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run(30_000);
    assert_eq!(world.owner_of_team(0), (owner + 2) % 3, "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_watch_that_is_too_old_is_replaced_by_reading_the_keys_again() {
    // Guard: 410 means that changes were missed; what is gone must go, what is new must come.
    let mut world = with_service(0);
    world.meddle(|l| {
        let deaf = l.from == "berth-1" && l.what.starts_with("GET /changes");
        if deaf { Delivery::Lost } else { Delivery::Pass }
    });
    world.run(10_000);
    world.accepted(0, &job(2, 1, "sweep", 1));
    let request = world.withdraw(0, "job-000001");
    world.run(1000);
    assert_eq!(world.said(request), "withdrawn", "{}", world.trace());
    world.run(15_000);
    let machines = world.store.keys("t/m/").len();
    world.store.kept_from = world.store.revision();
    world.calm();
    assert!(
        world.run_until(40_000, |w| w
            .store
            .get("t/j/job-000002")
            .is_some_and(|j| j["st"] == "done")),
        "the owner learns of a job that it had not heard of: {}",
        world.trace()
    );
    let poll = world.poll(1, "job-000001");
    world.run(300);
    assert_eq!(world.said(poll), "withdrawn");
    assert!(machines <= 1, "the service's machine has been returned");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_watch_that_never_answers_is_made_up_for_by_reading_the_keys() {
    // Guard: a watch's answer has no size limit, so one may be too long for a controller for good.
    let mut world = World::new();
    world.run(3000);
    world.meddle(|l| {
        let deaf = l.from == "berth-1" && l.what.starts_with("GET /changes");
        if deaf { Delivery::AnswerLost } else { Delivery::Pass }
    });
    world.run(10_000);
    world.accepted(0, &job(1, 1, "sweep", 1));
    assert!(
        world.run_until(120_000, |w| w
            .store
            .get("t/j/job-000001")
            .is_some_and(|j| j["st"] == "done")),
        "{}",
        world.trace()
    );
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
