//! What the tests of compound faults share: worlds to begin with, cancellations, and checks at the end.

// Each file of tests uses a part of this.
#![allow(dead_code)]

use serde_json::Value;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::{CANCEL_MS, Delivery, World};

/// Checks that no rule was broken in a case of a test.
pub fn assert_no_breaches(world: &World, case: impl std::fmt::Debug) {
    assert!(
        world.broken.is_empty(),
        "{case:?}: {:?}\n{}",
        world.broken,
        world.trace()
    );
}

/// A world in which all tasks of some jobs run, for so long if they are of arrays.
pub fn with_jobs(run_ms: u64, jobs: &[Value]) -> World {
    let mut world = World::new();
    world.run_ms = run_ms;
    world.run(3000);
    for (i, body) in jobs.iter().enumerate() {
        world.accepted(i % 3, body);
    }
    let up = world.run_until(60_000, |w| jobs.iter().all(|j| runs(w, j)));
    assert!(up, "{}", world.trace());
    world
}

/// A submission's id.
pub fn uid(body: &Value) -> &str {
    body["uid"].as_str().unwrap_or_default()
}

/// Whether all tasks of a job run.
pub fn runs(world: &World, body: &Value) -> bool {
    body["wagons"] == world.running(uid(body))
}

/// A job's state by its stored record; empty: there is none.
pub fn stored(world: &World, id: &str) -> String {
    let record = world.store.get(&format!("t/j/{id}"));
    record.and_then(|j| j["st"].as_str()).unwrap_or_default().to_owned()
}

/// The leader, by its stored key.
pub fn leader(world: &World) -> Option<usize> {
    let holder = world.store.get("t/c/leader")?["name"].as_str()?;
    holder.strip_prefix("berth-")?.parse().ok()
}

/// A user cancels at some controllers, one after the other, until one says something final.
pub fn cancel(world: &mut World, nodes: &[usize], id: &str) -> String {
    for i in 0..60 {
        let asked = world.withdraw(nodes[i % nodes.len()], id);
        world.run(1000);
        if world.status(asked) == 200 {
            return world.said(asked);
        }
    }
    panic!("{id} is not cancelled:\n{}", world.trace());
}

/// What all controllers say of a job, each asked until it answers.
pub fn said_everywhere(world: &mut World, id: &str) -> Vec<String> {
    let mut words = Vec::new();
    for node in 0..3 {
        for _ in 0..20 {
            let asked = world.poll(node, id);
            world.run(1500);
            if world.status(asked) == 200 {
                words.push(world.said(asked));
                break;
            }
        }
    }
    words
}

/// A cancelled job's tasks are gone in time, and none was sent out after its user was told.
pub fn gone_in_time(world: &World, id: &str, case: impl std::fmt::Debug) {
    let gone = world.gone_after_confirmation(id);
    assert!(
        gone.is_some_and(|ms| ms <= CANCEL_MS),
        "{case:?}: {id}: {gone:?}\n{}",
        world.trace()
    );
    assert_eq!(
        world.checker().ordered_after(id),
        0,
        "{case:?}: {id}\n{}",
        world.trace()
    );
}

/// Nothing comes from some machines, and nothing reaches them.
pub fn unreached(machines: &[String]) -> FaultInjector {
    let cut = machines.to_vec();
    Box::new(move |l| {
        if cut.iter().any(|m| m == l.from || m == l.to) {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// The same trouble for each of some machines.
pub fn each(machines: &[String], trouble: fn(&str) -> FaultInjector) -> FaultInjector {
    faults::all(machines.iter().map(|m| trouble(m)).collect())
}
