//! Jobs that fail on every machine because of an error in their description or program, beside faulty machines that
//! fail every job.
//!
//! Guards against healthy machines that are taken out of service because of failing jobs, and against healthy jobs that
//! are retried less often because of faulty machines.

use serde_json::{Value, json};
use tidelatch_core::settings::Operator;
use tidelatch_standin::{DeploymentSize, World, job};

const FAILING_JOB: &str = "job-000001";
const TEAM_LIMIT: f64 = 24.0;
/// Text in the log line about a machine that was detected as faulty.
const FAULTY_LOG_TEXT: &str = "not used any more";

fn assert_no_breaches(world: &World) {
    assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
}

/// Starts a deployment whose teams may use all of its machines.
fn start() -> World {
    let size = DeploymentSize {
        guaranteed_accelerators: TEAM_LIMIT / 2.0,
        max_accelerators: TEAM_LIMIT,
        ..DeploymentSize::default()
    };
    // Machines boot in seconds here. With the default, idle machines would be returned before they are detected as
    // faulty.
    let operator = Operator {
        idle_per_boot: 40.0,
        ..Operator::default()
    };
    let mut world = World::with_size(&operator, size);
    world.run_for(3000);
    world
}

/// Describes an array whose tasks fail on every machine.
fn failing_array(id: u32, tasks: u32) -> Value {
    let mut body = job(id, 0, "sweep", tasks);
    body["broken"] = json!(true);
    body
}

fn is_done(world: &World, id: &str) -> bool {
    let record = world.store.get(&format!("t/j/{id}"));
    record.is_some_and(|j| j["st"] == "done")
}

/// Counts the starts of tasks of a job in a trace.
fn count_starts(trace: &str, id: &str) -> usize {
    trace.matches(&format!("starts {id}/")).count()
}

/// Guards against a verdict from the failures of one job or on one machine only: they are compared over several
/// machines and jobs (module `failures`). The faulty machine is returned; the failing job is retried ever more rarely,
/// one task at a time; all other machines and jobs continue.
#[test]
fn a_failing_array_is_distinguished_from_a_faulty_machine() {
    let mut world = start();
    // As many machines as the team may fill: without the faulty one some of its work would have to wait.
    world.cloud.max_machines = 12;
    for id in [2, 3] {
        world.submit_until_accepted(0, &job(id, 0, "sweep", 60));
    }
    let running = |w: &World| w.running_tasks("job-000002") + w.running_tasks("job-000003") >= 12;
    assert!(world.run_until(30_000, running), "{}", world.trace());
    let faulty_machine = world.machines_of("job-000002").first().cloned().expect("it runs");
    if let Some(w) = world.workers.get_mut(&faulty_machine) {
        w.is_faulty = true;
    }
    world.submit_until_accepted(1, &failing_array(1, 60));
    let done = |w: &World| is_done(w, "job-000002") && is_done(w, "job-000003");
    assert!(world.run_until(120_000, done), "{}", world.trace());
    assert!(
        world.run_until(10_000, |w| w.cloud.deleted.contains(&faulty_machine)),
        "{}",
        world.trace()
    );
    // All other machines are free for the failing job now, and it is soon suspected of failing everywhere.
    world.run_for(30_000);
    let trace_start = world.trace().len();
    for id in 4..8 {
        world.submit_until_accepted(2, &job(id, 0, "sweep", 6));
        let key = format!("job-{id:06}");
        assert!(world.run_until(40_000, |w| is_done(w, &key)), "{}", world.trace());
        assert!(world.running_tasks(FAILING_JOB) <= 1, "{}", world.trace());
    }
    let observed_s = 30;
    world.run_for(observed_s * 1000);
    let retries = count_starts(&world.trace()[trace_start..], FAILING_JOB);
    assert!((1..=6).contains(&retries), "{retries} starts\n{}", world.trace());
    // Only the faulty machine is taken out of service.
    let faulty: Vec<&str> = world
        .trace()
        .lines()
        .filter(|line| line.contains(FAULTY_LOG_TEXT))
        .collect();
    assert!(
        faulty.len() == 1 && faulty[0].contains(&faulty_machine),
        "{faulty:?}\n{}",
        world.trace()
    );
    // The failing job stays known until it is cancelled, and its cancellation stays known as well.
    let request = world.poll(0, FAILING_JOB);
    world.run_for(1000);
    assert!(
        matches!(world.job_status(request).as_str(), "queued" | "running"),
        "{}",
        world.trace()
    );
    let request = world.cancel(1, FAILING_JOB);
    world.run_for(3000);
    assert_eq!(world.job_status(request), "withdrawn", "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against machines that are marked as faulty by jobs that fail everywhere: only jobs that succeed elsewhere
/// count against a machine, however long others take to fail.
#[test]
fn two_failing_jobs_that_share_each_machine_make_none_faulty() {
    let mut world = start();
    world.submit_until_accepted(0, &job(3, 0, "sweep", 12));
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000003")),
        "{}",
        world.trace()
    );
    for id in [1, 2] {
        world.submit_until_accepted(0, &failing_array(id, 1));
    }
    world.run_for(60_000);
    assert!(!world.trace().contains(FAULTY_LOG_TEXT), "{}", world.trace());
    world.submit_until_accepted(0, &job(4, 0, "sweep", 12));
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000004")),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against machines that are marked as faulty by arrays that succeed on no machine: such jobs do not count as
/// evidence (module `failures`).
#[test]
fn two_failing_arrays_make_no_shared_machine_faulty() {
    let mut world = start();
    world.submit_until_accepted(0, &failing_array(1, 30));
    world.submit_until_accepted(0, &failing_array(2, 30));
    world.run_for(40_000);
    world.submit_until_accepted(0, &job(3, 0, "sweep", 12));
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000003")),
        "{}",
        world.trace()
    );
    assert!(!world.trace().contains(FAULTY_LOG_TEXT), "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against a job that is taken for a failing one because of many faulty machines: a job that has succeeded on
/// any machine is not, on however many machines it fails.
#[test]
fn an_array_that_fails_on_many_faulty_machines_is_not_slowed_down() {
    let mut world = start();
    world.submit_until_accepted(0, &job(2, 0, "sweep", 60));
    assert!(
        world.run_until(40_000, |w| w.running_tasks("job-000002") >= 16),
        "{}",
        world.trace()
    );
    // Lets some tasks complete.
    world.run_for(world.run_ms + 3000);
    let machines = world.machines_of("job-000002");
    for id in machines.iter().take(4) {
        if let Some(w) = world.workers.get_mut(id) {
            w.is_faulty = true;
        }
    }
    assert!(
        world.run_until(60_000, |w| is_done(w, "job-000002")),
        "{}",
        world.trace()
    );
    assert!(
        !world.trace().contains("fails on several machines"),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against retries on the same faulty machines: a job of one task that fails on three of them looks like a
/// failing job, and its few retries must not go back to those machines (module `failures`).
#[test]
fn a_one_task_job_that_fails_on_faulty_machines_is_retried_on_others() {
    let mut world = start();
    world.cloud.max_machines = 8;
    world.submit_until_accepted(0, &job(2, 0, "sweep", 16));
    let machines = |w: &World| w.machines_of("job-000002");
    assert!(world.run_until(40_000, |w| machines(w).len() == 8), "{}", world.trace());
    let all = machines(&world);
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000002")),
        "{}",
        world.trace()
    );
    // Four faulty machines in different positions, because the first attempts may go to any of the eight.
    for faulty_positions in [[0, 1, 2, 3], [4, 5, 6, 7], [0, 2, 4, 6], [1, 3, 5, 7]] {
        for (index, name) in all.iter().enumerate() {
            if let Some(worker) = world.workers.get_mut(name) {
                worker.is_faulty = faulty_positions.contains(&index);
            }
        }
        let id = 10 + faulty_positions[0] * 10 + faulty_positions[1];
        world.submit_until_accepted(0, &job(id as u32, 0, "sweep", 1));
        let key = format!("job-{id:06}");
        assert!(
            world.run_until(60_000, |w| is_done(w, &key)),
            "{faulty_positions:?}\n{}",
            world.trace()
        );
    }
    assert_no_breaches(&world);
}
