//! Helpers of the tests of compound faults: initial deployments, cancellations, and checks at the end.

// Each test file uses only a part of these helpers.
#![allow(dead_code)]

use serde_json::Value;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::{CANCEL_MS, Delivery, World};

/// Checks that no rule was broken. `case` names the test case in the message.
pub fn assert_no_breaches(world: &World, case: impl std::fmt::Debug) {
    assert!(
        world.breaches.is_empty(),
        "{case:?}: {:?}\n{}",
        world.breaches,
        world.trace()
    );
}

/// A simulated deployment in which all tasks of these jobs run. Tasks of arrays run for `run_ms`.
pub fn with_running_jobs(run_ms: u64, jobs: &[Value]) -> World {
    let mut world = World::new();
    world.run_ms = run_ms;
    world.run_for(3000);
    for (i, body) in jobs.iter().enumerate() {
        world.submit_until_accepted(i % 3, body);
    }
    let are_running = world.run_until(60_000, |w| jobs.iter().all(|j| all_tasks_run(w, j)));
    assert!(are_running, "{}", world.trace());
    world
}

/// The id of a submitted job.
pub fn job_id(body: &Value) -> &str {
    body["uid"].as_str().unwrap_or_default()
}

/// Whether all tasks of a job run at present.
pub fn all_tasks_run(world: &World, body: &Value) -> bool {
    body["wagons"] == world.running_tasks(job_id(body))
}

/// A job's state in its stored record, or an empty string if there is no record.
pub fn stored_state(world: &World, id: &str) -> String {
    let record = world.store.get(&format!("t/j/{id}"));
    record.and_then(|j| j["st"].as_str()).unwrap_or_default().to_owned()
}

/// The number of the controller that the stored leader key names, if there is one.
pub fn leader(world: &World) -> Option<usize> {
    let holder = world.store.get("t/c/leader")?["name"].as_str()?;
    holder.strip_prefix("berth-")?.parse().ok()
}

/// Cancels a job at these controllers, one after the other, until one answers with a final state. Returns that state.
pub fn cancel(world: &mut World, controllers: &[usize], id: &str) -> String {
    for i in 0..60 {
        let request = world.cancel(controllers[i % controllers.len()], id);
        world.run_for(1000);
        if world.http_status(request) == 200 {
            return world.job_status(request);
        }
    }
    panic!(
        "{id} has no final state after 60 requests to cancel it:\n{}",
        world.trace()
    );
}

/// The state of a job that each controller tells its users. Each controller is asked until it answers, at most 20
/// times.
pub fn states_at_all_controllers(world: &mut World, id: &str) -> Vec<String> {
    let mut states = Vec::new();
    for controller in 0..3 {
        for _ in 0..20 {
            let request = world.poll(controller, id);
            world.run_for(1500);
            if world.http_status(request) == 200 {
                states.push(world.job_status(request));
                break;
            }
        }
    }
    states
}

/// Checks that the tasks of a cancelled job were gone in time, and that no start was ordered after its user was
/// told.
pub fn assert_gone_in_time(world: &World, id: &str, case: impl std::fmt::Debug) {
    let gone = world.cancellation_duration_ms(id);
    assert!(
        gone.is_some_and(|ms| ms <= CANCEL_MS),
        "{case:?}: {id}: {gone:?}\n{}",
        world.trace()
    );
    assert_eq!(
        world.checker().start_orders_after_cancellation(id),
        0,
        "{case:?}: {id}\n{}",
        world.trace()
    );
}

/// A fault that loses all messages to and from these machines.
pub fn cut_off_machines(machines: &[String]) -> FaultInjector {
    let cut_off = machines.to_vec();
    Box::new(move |l| {
        if cut_off.iter().any(|m| m == l.from || m == l.to) {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// The same fault for each of these machines.
pub fn for_each_machine(machines: &[String], fault: fn(&str) -> FaultInjector) -> FaultInjector {
    faults::combine(machines.iter().map(|m| fault(m)).collect())
}
