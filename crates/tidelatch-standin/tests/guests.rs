//! Teams without a guarantee and without a limit.
//!
//! Guards against work of such teams that is never run, and against a very large array or many one-task jobs of theirs
//! that delay other jobs or use up the write budget of the state service.

use serde_json::{Value, json};
use tidelatch_core::settings::Operator;
use tidelatch_standin::{DeploymentSize, World, job};

const TEAM_WITHOUT_GUARANTEE: u32 = 1;
const SERVICE: u32 = 9000;
/// Writes per second that the state service accepts.
const WRITE_RPS: f64 = 25.0;

fn job_id(id: u32) -> String {
    format!("job-{id:06}")
}

fn assert_no_breaches(world: &World) {
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Starts a deployment in which no team has a guarantee or a limit, with a small state service.
fn start() -> World {
    let size = DeploymentSize {
        guaranteed_accelerators: 0.0,
        max_accelerators: 0.0,
        write_rps: WRITE_RPS,
        value_kb: 4.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&Operator::default(), size);
    world.run_ms = 4000;
    world.run_for(3000);
    world
}

/// Describes an array of a team without a guarantee, with tiny tasks of low priority.
fn tiny_array(id: u32, tasks: u32) -> Value {
    let mut body = job(id, TEAM_WITHOUT_GUARANTEE, "sweep", tasks);
    body["vcpus"] = json!(0.25);
    body["accelerators"] = json!(0.0);
    body["ramGb"] = json!(1.35);
    body["precedence"] = "low".into();
    body["standby"] = json!(true);
    body["runtimeS"] = json!(4.0);
    body["sizeGb"] = json!(0.5);
    body
}

/// Describes a service of `team` whose replicas need no accelerators.
fn service(team: u32, tasks: u32) -> Value {
    let mut body = job(SERVICE, team, "standing", tasks);
    body["accelerators"] = json!(0.0);
    body
}

fn is_done(world: &World, id: u32) -> bool {
    let record = world.store.get(&format!("t/j/{}", job_id(id)));
    record.is_some_and(|j| j["st"] == "done")
}

/// Milliseconds until a user's submission is answered with 201.
fn accepted_after(world: &mut World, controller: usize, body: &Value) -> u64 {
    let from = world.now;
    let request = world.submit(controller, body);
    let answered = world.run_until(5000, |w| w.http_status(request) == 201);
    assert!(answered, "{}: {}", body["uid"], world.http_status(request));
    world.now - from
}

/// Submits a job again 1 s after each 503, as users do. A controller that has just stored many completed jobs answers
/// so.
fn submit_until_accepted(world: &mut World, controller: usize, body: &Value) {
    for _ in 0..8 {
        let request = world.submit(controller, body);
        world.run_for(50);
        match world.http_status(request) {
            201 | 200 => return,
            503 => world.run_for(1000),
            status => panic!("{}: {status}", body["uid"]),
        }
    }
    panic!("{}: no submission was accepted", body["uid"]);
}

/// Guards against an array of 20,000 tasks that delays submissions and services of others, or uses half of the write
/// budget.
#[test]
fn a_very_large_array_delays_no_other_job_and_uses_few_writes() {
    let mut world = start();
    accepted_after(&mut world, 0, &tiny_array(1, 20_000));
    assert!(
        world.run_until(60_000, |w| w.running_tasks(&job_id(1)) > 100),
        "{}",
        world.running_tasks(&job_id(1))
    );
    // While the array runs, submissions are answered and a service starts as quickly as without it.
    let (changes, from) = (world.message_counts.state_changes, world.now);
    for (i, id) in (100..120).enumerate() {
        let accepted_ms = accepted_after(&mut world, i % 3, &tiny_array(id, 1));
        assert!(accepted_ms < 500, "{id}: accepted after {accepted_ms} ms");
        world.run_for(500);
    }
    let writes_per_s = (world.message_counts.state_changes - changes) as f64 * 1000.0 / (world.now - from) as f64;
    assert!(
        writes_per_s < WRITE_RPS / 2.0,
        "{writes_per_s} changes a second of {WRITE_RPS}"
    );
    assert_eq!(
        accepted_after(&mut world, 0, &service(TEAM_WITHOUT_GUARANTEE, 2)) / 500,
        0
    );
    let is_up = world.run_until(10_000, |w| w.running_tasks(&job_id(SERVICE)) == 2);
    assert!(is_up, "{} replicas", world.running_tasks(&job_id(SERVICE)));
    assert!(
        !is_done(&world, 1),
        "the array ended before the measurement was complete"
    );
    assert!(
        world.run_until(600_000, |w| is_done(w, 1)),
        "{} run",
        world.running_tasks(&job_id(1))
    );
    assert!((100..120).all(|id| is_done(&world, id)));
    assert_no_breaches(&world);
}

/// Guards against 240 one-task jobs that use up the write budget, so that a service submitted among them starts late or
/// some of the jobs never run.
#[test]
fn many_one_task_jobs_complete_and_delay_no_other_job() {
    let mut world = start();
    for id in 1..=240 {
        submit_until_accepted(&mut world, (id % 3) as usize, &tiny_array(id, 1));
        world.run_for(250);
        if id == 120 {
            assert!(accepted_after(&mut world, 0, &service(TEAM_WITHOUT_GUARANTEE, 2)) < 500);
        }
    }
    let running = world.running_tasks(&job_id(SERVICE));
    assert_eq!(
        running, 2,
        "{running} replicas run half a minute after they were submitted"
    );
    world.run_for(20_000);
    let unfinished: Vec<u32> = (1..=240).filter(|id| !is_done(&world, *id)).collect();
    assert!(unfinished.is_empty(), "{unfinished:?}\n{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against a job with large tasks that never starts because smaller tasks take all free room.
#[test]
fn the_largest_job_of_a_team_without_guarantee_starts_under_overload() {
    // Two machines, which an array of many tasks keeps full.
    let mut world = start();
    world.cloud.max_machines = 2;
    world.run_ms = 20_000;
    let mut other = tiny_array(1, 200);
    other["vcpus"] = json!(4.0);
    accepted_after(&mut world, 0, &other);
    assert!(
        world.run_until(60_000, |w| w.running_tasks(&job_id(1)) >= 6),
        "{}",
        world.running_tasks(&job_id(1))
    );
    let mut largest = tiny_array(2, 300);
    largest["vcpus"] = json!(8.0);
    accepted_after(&mut world, 0, &largest);
    assert!(
        world.run_until(240_000, |w| w.running_tasks(&job_id(2)) > 0),
        "{}",
        world.running_tasks(&job_id(2))
    );
    assert_no_breaches(&world);
}
