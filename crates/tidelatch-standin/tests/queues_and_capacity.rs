//! Queues that are full or long, and machines that are vacated or idle.

use tidelatch_core::settings::Operator;
use tidelatch_standin::support::assert_trace;
use tidelatch_standin::{World, job};

#[test]
fn production_work_gets_a_machine_that_another_partition_can_vacate() {
    // The cloud has no more; all it had is lent to another team's array.
    let mut world = World::new();
    world.cloud.most = 2;
    world.run_ms = 90_000;
    world.run(3000);
    world.accepted(0, &job(1, 1, "sweep", 4));
    assert!(
        world.run_until(30_000, |w| w.running("job-000001") == 4),
        "{}",
        world.trace()
    );
    world.accepted(0, &job(2, 0, "standing", 1));
    assert!(
        world.run_until(12_000, |w| w.running("job-000002") == 1),
        "{}",
        world.trace()
    );
    world.run(30_000);
    assert_eq!(
        world.running("job-000001"),
        3,
        "the rest of the array goes on, and one of its tasks beside the replica: {}",
        world.trace()
    );
    assert_trace(&world, "vacated_machine");
}

#[test]
fn a_full_queue_is_told_at_once_when_to_come_back() {
    let mut world = World::with(&Operator {
        queue_jobs_per_team: Some(2),
        ..Operator::default()
    });
    world.run(3000);
    world.accepted(0, &job(1, 0, "sweep", 1));
    world.accepted(0, &job(2, 0, "sweep", 1));
    let refused = world.submit(0, &job(3, 0, "sweep", 1));
    let (at, answer) = world
        .answers
        .get(&refused)
        .cloned()
        .expect("answered within the same step");
    assert_eq!((at, answer.status), (world.now, 429));
    assert!(answer.retry_after_s.is_some());
    let known = world.submit(0, &job(2, 0, "sweep", 1));
    assert_eq!(world.status(known), 200, "a job that is known is not refused");
    world.accepted(0, &job(4, 1, "sweep", 1));
}

fn in_zone(mut job: serde_json::Value, zone: &str) -> serde_json::Value {
    job["yard"] = serde_json::json!(zone);
    job
}

#[test]
fn a_crowd_of_jobs_is_searched_in_slices_and_all_of_them_run() {
    // Guard: a slice ends with its budget, what found no machine rests, and the others get their turn.
    let mut world = World::with(&Operator {
        search_budget_s: 0.001,
        ..Operator::default()
    });
    world.cloud.most = 1;
    world.run_ms = 500;
    world.run(3000);
    // The one machine that the cloud has is in zone a, kept by a replica.
    world.accepted(0, &in_zone(job(100, 0, "standing", 1), "a"));
    assert!(
        world.run_until(30_000, |w| w.running("job-000100") > 0),
        "{}",
        world.trace()
    );
    for id in 0..95 {
        // Most jobs want a zone that has no machine; those behind them must not starve.
        let body = if id < 80 {
            in_zone(job(id + 1, 0, "sweep", 60), "b")
        } else {
            in_zone(job(id + 1, 0, "sweep", 2), "a")
        };
        let request = world.submit(0, &body);
        world.run(100);
        assert_eq!(world.status(request), 201, "{}", world.trace());
    }
    let over = |w: &World| {
        (81..96).all(|id| {
            w.store
                .get(&format!("t/j/job-{id:06}"))
                .is_some_and(|j| j["st"] == "done")
        })
    };
    assert!(world.run_until(200_000, over), "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn idle_machines_are_returned() {
    let mut world = World::new();
    world.run(3000);
    world.accepted(0, &job(1, 0, "sweep", 4));
    assert!(
        world.run_until(90_000, |w| !w.cloud.deleted.is_empty() && w.cloud.machines.is_empty()),
        "{}",
        world.trace()
    );
    world.run(2000);
    assert!(world.store.keys("t/m/").is_empty(), "the roster is empty again");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
