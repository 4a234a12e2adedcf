//! Failures of the state service: it is down, does not answer some controllers, or its watches fail. The tests cover
//! what controllers may still do, and how they catch up. The comment at the head of each test names the failure and
//! what prevents it.

use tidelatch_standin::support::{assert_trace, world_with_service};
use tidelatch_standin::{Delivery, World, job};

#[test]
fn a_short_outage_ends_no_task() {
    // Guards against controllers that lose their leases in a short outage. Leases have their full time again after an
    // outage, so that the same incarnation goes on.
    let mut world = world_with_service(0);
    let epoch = world.epoch();
    world.write_trace("the state service goes down");
    world.store.is_down = true;
    world.run_for(12_000);
    let refused = world.submit(0, &job(2, 0, "sweep", 1));
    world.run_for(500);
    assert_eq!(
        world.http_status(refused),
        503,
        "a submission in the outage is refused at once"
    );
    assert!(
        world
            .answers
            .get(&refused)
            .is_some_and(|(_, a)| a.retry_after_s.is_some())
    );
    world.store.is_down = false;
    world.write_trace("the state service is back");
    world.run_for(10_000);
    assert_eq!(world.epoch(), epoch);
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "every worker is still in its first session"
    );
    assert_trace(&world, "short_state_outage");
}

#[test]
fn a_long_outage_ends_no_task() {
    // Guards against workers whose leases end in an outage that is longer than a controller's lease. With the grants
    // of all its peers a controller goes on answering reports, and there is no gap between its lease and the grants.
    let mut world = world_with_service(0);
    world.submit_until_accepted(1, &job(2, 1, "standing", 2));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000002") == 2),
        "{}",
        world.trace()
    );
    let epoch = world.epoch();
    world.write_trace("the state service goes down");
    world.store.is_down = true;
    world.run_for(60_000);
    world.store.is_down = false;
    world.write_trace("the state service is back");
    world.run_for(10_000);
    assert_eq!(world.epoch(), epoch, "{}", world.trace());
    assert!(
        world.workers.values().all(|w| w.session == 1),
        "every worker is still in its first session"
    );
    assert_eq!(world.running_tasks("job-000001") + world.running_tasks("job-000002"), 4);
    assert_trace(&world, "long_state_outage");
}

#[test]
fn a_restart_of_a_peer_in_a_long_outage_ends_no_task() {
    // Guards against tasks that end because a peer restarts in the outage and grants nothing meanwhile. The peers'
    // grants last for a controller's lease, which is longer than the restart takes.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    world.store.is_down = true;
    world.run_for(12_000);
    world.crash_controller((owner + 1) % 3);
    world.run_for(5000);
    world.start_controller((owner + 1) % 3);
    world.run_for(25_000);
    assert!(world.workers.values().all(|w| w.session == 1), "{}", world.trace());
    world.store.is_down = false;
    world.run_for(20_000);
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Cuts each controller off from the state service, so that leases run out in the store. Then all but the owner of
/// team 0 reach it again. Two controllers must never act for that team's partition.
fn run_with_grants_in_an_outage(restart_others: bool) -> World {
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let name = format!("berth-{owner}");
    world.write_trace("every controller is refused by the state service, each by itself");
    world.set_fault_injector(|l| {
        if l.to == "state" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(20_000);
    if restart_others {
        for other in (0..3).filter(|i| *i != owner) {
            world.crash_controller(other);
            world.start_controller(other);
        }
    }
    world.write_trace("all but the owner are served again, and the owner is cut off from them");
    world.set_fault_injector(move |l| {
        if l.from == name || l.to == name {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(30_000);
    assert_ne!(world.owner_of_team(0), owner, "{}", world.trace());
    world.clear_fault_injector();
    world.run_for(30_000);
    assert_eq!(world.running_tasks("job-000001"), 2, "{}", world.trace());
    world
}

#[test]
fn a_grant_is_kept_by_controllers_that_are_served_again() {
    // Guards against two controllers that act for one partition: the owner acts under grants of peers which the state
    // service serves again. A controller that has granted neither leads nor raises an epoch until its grant is over.
    assert_trace(&run_with_grants_in_an_outage(false), "grants_are_kept");
}

#[test]
fn a_grant_is_kept_over_a_restart_of_those_who_granted() {
    // Guards against two controllers that act for one partition, because those that granted have restarted and know
    // nothing of it. A new process leads only once all peers rely on no grant, or the longest grant is over.
    assert_trace(&run_with_grants_in_an_outage(true), "grants_may_be_forgotten");
}

#[test]
fn the_grant_of_one_peer_is_not_enough() {
    // Guards against two controllers that act for one partition: the owner has the grant of one peer, and another
    // peer, which granted nothing, changes the membership. Any peer could do so, so every one of them has to grant.
    let mut world = world_with_service(0);
    let owner = world.owner_of_team(0);
    let (refused, served) = (
        format!("berth-{}", (owner + 1) % 3),
        format!("berth-{}", (owner + 2) % 3),
    );
    let name = format!("berth-{owner}");
    world.set_fault_injector(move |l| {
        let is_refused = l.to == "state" && (l.from == name || l.from == refused);
        let is_cut_off = (l.from == name && l.to == served) || (l.from == served && l.to == name);
        if is_refused || is_cut_off {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    });
    world.run_for(30_000);
    assert_eq!(world.owner_of_team(0), (owner + 2) % 3, "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

#[test]
fn a_watch_that_is_too_old_is_replaced_by_reading_the_keys_again() {
    // Guards against changes that a controller never learns of because its watch was interrupted for too long. A 410
    // means that changes were missed: all keys are read again, deleted ones are forgotten and new ones are added.
    let mut world = world_with_service(0);
    world.set_fault_injector(|l| {
        let is_watch = l.from == "berth-1" && l.request.starts_with("GET /changes");
        if is_watch { Delivery::Lost } else { Delivery::Pass }
    });
    world.run_for(10_000);
    world.submit_until_accepted(0, &job(2, 1, "sweep", 1));
    let request = world.cancel(0, "job-000001");
    world.run_for(1000);
    assert_eq!(world.job_status(request), "withdrawn", "{}", world.trace());
    world.run_for(15_000);
    let machines = world.store.keys("t/m/").len();
    world.store.compacted_revision = world.store.revision();
    world.clear_fault_injector();
    assert!(
        world.run_until(40_000, |w| w
            .store
            .get("t/j/job-000002")
            .is_some_and(|j| j["st"] == "done")),
        "the owner learns of the job that its watch missed: {}",
        world.trace()
    );
    let poll = world.poll(1, "job-000001");
    world.run_for(300);
    assert_eq!(world.job_status(poll), "withdrawn");
    assert!(machines <= 1, "the machine of the cancelled service has been returned");
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

#[test]
fn a_watch_that_never_answers_is_replaced_by_reading_the_keys() {
    // Guards against a controller that learns of no change because no answer to its watch arrives. The answer has no
    // size limit, so it may be too long for a controller every time.
    let mut world = World::new();
    world.run_for(3000);
    world.set_fault_injector(|l| {
        let is_watch = l.from == "berth-1" && l.request.starts_with("GET /changes");
        if is_watch { Delivery::AnswerLost } else { Delivery::Pass }
    });
    world.run_for(10_000);
    world.submit_until_accepted(0, &job(1, 1, "sweep", 1));
    assert!(
        world.run_until(120_000, |w| w
            .store
            .get("t/j/job-000001")
            .is_some_and(|j| j["st"] == "done")),
        "{}",
        world.trace()
    );
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}
