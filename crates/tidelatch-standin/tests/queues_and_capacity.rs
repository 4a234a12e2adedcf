//! Full and long queues, and machines that are vacated or idle.
//!
//! Guards against jobs that starve in a queue, and against machines that stay with work of lower priority or without
//! work.

use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::assert_trace;
use tidelatch_standin::{Delivery, World, job};

/// Guards against production work that waits for machines which all run tasks of lower priority in another partition.
#[test]
fn production_work_gets_a_machine_that_another_partition_vacates() {
    // All machines of the cloud run tasks of another team's array.
    let mut world = World::new();
    world.cloud.max_machines = 2;
    world.run_ms = 90_000;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 1, "sweep", 4));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000001") == 4),
        "{}",
        world.trace()
    );
    world.submit_until_accepted(0, &job(2, 0, "standing", 1));
    assert!(
        world.run_until(12_000, |w| w.running_tasks("job-000002") == 1),
        "{}",
        world.trace()
    );
    world.run_for(30_000);
    assert_eq!(
        world.running_tasks("job-000001"),
        3,
        "three tasks of the array should run, one of them beside the replica: {}",
        world.trace()
    );
    assert_trace(&world, "vacated_machine");
}

/// Guards against users who wait for an answer, or do not learn when to retry, while the queue of their team is full.
#[test]
fn a_submission_to_a_full_queue_is_rejected_at_once_with_a_retry_time() {
    let mut world = World::with_operator(&Operator {
        queue_jobs_per_team: Some(2),
        ..Operator::default()
    });
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 1));
    world.submit_until_accepted(0, &job(2, 0, "sweep", 1));
    let refused = world.submit(0, &job(3, 0, "sweep", 1));
    let (answered_at, answer) = world
        .answers
        .get(&refused)
        .cloned()
        .expect("the answer should come within the same step");
    assert_eq!((answered_at, answer.status), (world.now, 429));
    assert!(answer.retry_after_s.is_some());
    let known = world.submit(0, &job(2, 0, "sweep", 1));
    assert_eq!(
        world.http_status(known),
        200,
        "a job that is already known should not be rejected"
    );
    world.submit_until_accepted(0, &job(4, 1, "sweep", 1));
}

fn in_zone(mut job: serde_json::Value, zone: &str) -> serde_json::Value {
    job["yard"] = serde_json::json!(zone);
    job
}

/// Guards against a search that spends its whole budget on jobs without a machine: a batch ends when the search budget
/// is used up, jobs that found no machine are not searched again at once, and the others get their turn.
#[test]
fn jobs_behind_many_unplaceable_ones_run() {
    let mut world = World::with_operator(&Operator {
        search_budget_s: 0.001,
        ..Operator::default()
    });
    world.cloud.max_machines = 1;
    world.run_ms = 500;
    world.run_for(3000);
    // The only machine of the cloud is in zone a, and a replica keeps it rented.
    world.submit_until_accepted(0, &in_zone(job(100, 0, "standing", 1), "a"));
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000100") > 0),
        "{}",
        world.trace()
    );
    for id in 0..95 {
        // 80 jobs need a zone that has no machine. The jobs behind them must not starve.
        let body = if id < 80 {
            in_zone(job(id + 1, 0, "sweep", 60), "b")
        } else {
            in_zone(job(id + 1, 0, "sweep", 2), "a")
        };
        let request = world.submit(0, &body);
        world.run_for(100);
        assert_eq!(world.http_status(request), 201, "{}", world.trace());
    }
    let all_done = |w: &World| {
        (81..96).all(|id| {
            w.store
                .get(&format!("t/j/job-{id:06}"))
                .is_some_and(|j| j["st"] == "done")
        })
    };
    assert!(world.run_until(200_000, all_done), "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Guards against machines that stay rented, or in the roster, when there is no work left.
#[test]
fn idle_machines_are_returned() {
    let mut world = World::new();
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 4));
    assert!(
        world.run_until(90_000, |w| !w.cloud.deleted.is_empty() && w.cloud.machines.is_empty()),
        "{}",
        world.trace()
    );
    world.run_for(2000);
    assert!(world.store.keys("t/m/").is_empty(), "the roster should be empty");
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Guards against reports that no controller accepts, after which a machine's lease ends and all its tasks are killed: an
/// array of short, small tasks makes the worker list thousands of ended attempts, if each was started by a direct
/// command. A request body has at most 64 KiB.
#[test]
fn an_array_of_short_tasks_does_not_make_reports_longer_than_a_request_may_be() {
    const MAX_REQUEST_BYTES: usize = 64 * 1024;
    let mut world = World::new();
    world.cloud.max_machines = 1;
    world.run_ms = 500;
    world.run_for(3000);
    let largest = Rc::new(Cell::new(0));
    let seen = largest.clone();
    world.set_fault_injector(move |message| {
        if message.request == "POST /agent/beat" {
            seen.set(seen.get().max(message.body.len()));
        }
        Delivery::Pass
    });
    let mut replica = job(1, 0, "standing", 1);
    replica["vcpus"] = json!(4.0);
    world.submit_until_accepted(0, &replica);
    let mut census = job(2, 0, "sweep", 3000);
    for (field, amount) in [("vcpus", 0.2), ("accelerators", 0.0), ("ramGb", 1.0)] {
        census[field] = json!(amount);
    }
    world.submit_until_accepted(0, &census);
    let is_done = |w: &World| w.store.get("t/j/job-000002").is_some_and(|j| j["st"] == "done");
    assert!(world.run_until(400_000, is_done), "{}", world.trace());
    assert!(largest.get() <= MAX_REQUEST_BYTES, "{} bytes", largest.get());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}
