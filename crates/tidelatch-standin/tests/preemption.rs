//! Preemption within a team at its limit: tasks of lower priority are stopped for production work of the same team.
//!
//! Guards against more preemptions than needed, preemptions before the production work has a machine, and lost
//! checkpoints. The checker of the simulation checks the limit with every event.

use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tidelatch_core::settings::Operator;
use tidelatch_standin::faults;
use tidelatch_standin::{Delivery, DeploymentSize, Message, World, gang, job};

const ARRAY: u32 = 1;
const SERVICE: u32 = 2;
const GANG: u32 = 3;
/// Run time of an array's task: longer than any test waits.
const ARRAY_TASK_MS: u64 = 600_000;
/// Time within which a replica is placed without faults: the stop of another task, its report, the fetch of the image
/// and one or two batches.
const PLACEMENT_MS: u64 = 10_000;

fn job_id(id: u32) -> String {
    format!("job-{id:06}")
}

fn assert_no_breaches(world: &World) {
    assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
}

/// Asserts that exactly `tasks` tasks of a job run within `within_ms`.
fn assert_runs(world: &mut World, id: u32, tasks: usize, within_ms: u64) {
    let up = world.run_until(within_ms, |w| w.running_tasks(&job_id(id)) == tasks);
    assert!(
        up,
        "{} runs {} tasks\n{}",
        job_id(id),
        world.running_tasks(&job_id(id)),
        world.trace()
    );
}

/// Stop orders: task, attempt and grace in milliseconds.
type RecordedStops = Rc<RefCell<BTreeSet<(String, u64, u64)>>>;

fn is_command(message: &Message<'_>) -> bool {
    message.request == "POST /commands"
}

/// Records the stop orders in direct commands, and lets `decide_delivery` decide what happens to each message.
fn record_stops(
    world: &mut World,
    mut decide_delivery: impl FnMut(&Message<'_>) -> Delivery + 'static,
) -> RecordedStops {
    let stops: RecordedStops = Rc::default();
    let recorded = stops.clone();
    world.set_fault_injector(move |message| {
        let orders: Value = match is_command(message) {
            true => serde_json::from_str(message.body).unwrap_or_default(),
            false => Value::Null,
        };
        for order in orders["orders"].as_array().into_iter().flatten() {
            if order["order"] == "kill" {
                let task = order["wagon"].as_str().unwrap_or_default().to_owned();
                let grace_ms = (order["leewayS"].as_f64().unwrap_or(0.0) * 1000.0) as u64;
                let attempt = order["run"].as_u64().unwrap_or(0);
                recorded.borrow_mut().insert((task, attempt, grace_ms));
            }
        }
        decide_delivery(message)
    });
    stops
}

/// Counts the tasks for which a stop order was sent.
fn count_stopped_tasks(stops: &RecordedStops) -> usize {
    let tasks: BTreeSet<String> = stops.borrow().iter().map(|(task, _, _)| task.clone()).collect();
    tasks.len()
}

/// Starts a deployment in which an array fills its team's limit of four accelerators.
fn start_with_array_at_limit(array: &Value) -> World {
    let mut world = World::new();
    world.run_ms = ARRAY_TASK_MS;
    world.run_for(3000);
    world.submit_until_accepted(0, array);
    assert_runs(&mut world, ARRAY, 4, 40_000);
    world.run_for(3000);
    world
}

/// Guards against a team at its limit that loses more array tasks than its service has replicas.
#[test]
fn production_work_of_a_team_at_its_limit_preempts_only_as_many_tasks_as_needed() {
    let mut world = start_with_array_at_limit(&job(ARRAY, 0, "sweep", 40));
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 2));
    assert_runs(&mut world, SERVICE, 2, PLACEMENT_MS);
    world.run_for(60_000);
    assert_eq!(
        count_stopped_tasks(&stops),
        2,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    assert_eq!(world.running_tasks(&job_id(SERVICE)), 2, "{}", world.trace());
    assert_eq!(world.running_tasks(&job_id(ARRAY)), 2, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against a stop with a grace shorter than the time that the task needs to save.
#[test]
fn a_preempted_task_with_checkpoints_gets_time_to_save() {
    let mut array = job(ARRAY, 0, "sweep", 40);
    array["waypointS"] = json!(2.0);
    array["stowS"] = json!(1.5);
    let mut world = start_with_array_at_limit(&array);
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 1));
    assert_runs(&mut world, SERVICE, 1, PLACEMENT_MS);
    assert_eq!(count_stopped_tasks(&stops), 1, "{}", world.trace());
    assert!(
        stops.borrow().iter().all(|(_, _, grace_ms)| *grace_ms >= 1500),
        "{:?}",
        stops.borrow()
    );
    assert_no_breaches(&world);
}

/// Guards against a preemption of the task with the most work to lose while another would lose less.
#[test]
fn the_task_that_loses_least_work_is_preempted_first() {
    // The second array starts 30 s later, so its task has less work to lose.
    let mut world = World::new();
    world.run_ms = ARRAY_TASK_MS;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(ARRAY, 0, "sweep", 3));
    assert_runs(&mut world, ARRAY, 3, 40_000);
    world.run_for(30_000);
    world.submit_until_accepted(0, &job(3, 0, "sweep", 1));
    assert_runs(&mut world, 3, 1, 40_000);
    world.run_for(3000);
    world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 1));
    assert_runs(&mut world, SERVICE, 1, PLACEMENT_MS);
    assert_eq!(world.running_tasks(&job_id(ARRAY)), 3, "{}", world.trace());
    assert_eq!(world.running_tasks(&job_id(3)), 0, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against preemptions for the limit of a team that is below it.
#[test]
fn no_task_of_a_team_below_its_limit_is_preempted() {
    // The service cannot run on the array's machines, so that only the limit could be a reason to preempt tasks.
    let mut world = World::new();
    world.run_ms = ARRAY_TASK_MS;
    world.run_for(3000);
    let mut array = job(ARRAY, 0, "sweep", 2);
    array["yard"] = "a".into();
    world.submit_until_accepted(0, &array);
    assert_runs(&mut world, ARRAY, 2, 40_000);
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    let mut service = job(SERVICE, 0, "standing", 2);
    service["yard"] = "b".into();
    world.submit_until_accepted(0, &service);
    assert_runs(&mut world, SERVICE, 2, 20_000);
    world.run_for(20_000);
    assert_eq!(
        count_stopped_tasks(&stops),
        0,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    assert_eq!(world.running_tasks(&job_id(ARRAY)), 2, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against tasks of equal priority that preempt each other in turns.
#[test]
fn work_of_the_same_priority_is_not_preempted() {
    let mut array = job(ARRAY, 0, "sweep", 40);
    array["precedence"] = "prod".into();
    let mut world = start_with_array_at_limit(&array);
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 1));
    world.run_for(30_000);
    assert_eq!(
        count_stopped_tasks(&stops),
        0,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against tasks that are stopped for a service which then finds no machine.
#[test]
fn nothing_is_preempted_before_there_is_a_machine() {
    // The array's machines are in zone a, and the cloud has none in zone b, where the service has to run.
    let mut array = job(ARRAY, 0, "sweep", 40);
    array["yard"] = "a".into();
    let mut world = start_with_array_at_limit(&array);
    world.cloud.max_machines_by_zone.insert("b".into(), 0);
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    let mut service = job(SERVICE, 0, "standing", 1);
    service["yard"] = "b".into();
    world.submit_until_accepted(0, &service);
    world.run_for(30_000);
    assert_eq!(
        count_stopped_tasks(&stops),
        0,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    assert_eq!(world.running_tasks(&job_id(ARRAY)), 4, "{}", world.trace());
    // As soon as the cloud has a machine, it is rented and one task is preempted.
    world.cloud.max_machines_by_zone.clear();
    assert_runs(&mut world, SERVICE, 1, 40_000);
    world.run_for(30_000);
    assert_eq!(
        count_stopped_tasks(&stops),
        1,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    assert_eq!(world.running_tasks(&job_id(ARRAY)), 3, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Starts a deployment in which a gang of two and an array fill their team's limit. The array starts `array_lead_ms`
/// before the gang. The gang saves every two seconds, or never.
fn start_with_gang_and_array(array_tasks: u32, array_lead_ms: u64, saves: bool) -> World {
    let size = DeploymentSize {
        max_accelerators: f64::from(2 + array_tasks),
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&Operator::default(), size);
    world.run_ms = ARRAY_TASK_MS;
    world.run_for(3000);
    if array_tasks > 0 {
        world.submit_until_accepted(0, &job(ARRAY, 0, "sweep", array_tasks));
        assert_runs(&mut world, ARRAY, array_tasks as usize, 40_000);
        world.run_for(array_lead_ms);
    }
    let mut body = gang(GANG, 0, 2);
    body["accelerators"] = json!(1.0);
    if !saves {
        body["waypointS"] = json!(0.0);
        body["stowS"] = json!(0.0);
    }
    world.submit_until_accepted(0, &body);
    assert_runs(&mut world, GANG, 2, 40_000);
    world.run_for(4000);
    world
}

/// Guards against a gang of which only one task is stopped, while the others lose their work and keep their machines.
#[test]
fn a_gang_is_preempted_as_a_whole() {
    let mut world = start_with_gang_and_array(0, 0, true);
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 1));
    assert_runs(&mut world, SERVICE, 1, 15_000);
    world.run_for(10_000);
    assert_eq!(world.running_tasks(&job_id(GANG)), 0, "{}", world.trace());
    assert_eq!(
        count_stopped_tasks(&stops),
        2,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    // All tasks received the stop in time and with enough grace, so that their progress is saved.
    let saved = world.gangs.saved_progress_ms.get(&job_id(GANG));
    assert!(saved.is_some_and(|ms| *ms > 0), "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against a preempted gang without checkpoints, whose tasks would all lose their work, where a single task
/// would do.
#[test]
fn a_single_task_that_loses_less_is_preempted_before_a_gang() {
    let mut world = start_with_gang_and_array(1, 0, false);
    world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 1));
    assert_runs(&mut world, SERVICE, 1, 15_000);
    assert_eq!(world.running_tasks(&job_id(GANG)), 2, "{}", world.trace());
    assert_eq!(world.running_tasks(&job_id(ARRAY)), 0, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against a second task that is preempted because the answer to the first stop was lost.
#[test]
fn a_stop_with_a_lost_answer_leads_to_no_second_preemption() {
    for answered_every in [2, 3] {
        let mut world = start_with_array_at_limit(&job(ARRAY, 0, "sweep", 40));
        let mut count = 0;
        let stops = record_stops(&mut world, move |message| {
            let is_direct_command = is_command(message);
            count += u32::from(is_direct_command);
            if is_direct_command && count % answered_every != 0 {
                Delivery::AnswerLost
            } else {
                Delivery::Pass
            }
        });
        world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 2));
        assert_runs(&mut world, SERVICE, 2, 30_000);
        world.run_for(20_000);
        assert_eq!(
            count_stopped_tasks(&stops),
            2,
            "{answered_every}: {:?}\n{}",
            stops.borrow(),
            world.trace()
        );
        assert_no_breaches(&world);
    }
}

/// Guards against production work that waits for a preempted task whose machine hangs during its save.
#[test]
fn a_machine_that_hangs_during_a_save_does_not_delay_production_work() {
    // The gang would lose less than the array, so it is preempted first, and one of its machines hangs during the save.
    // Its tasks count against the limit until they are known to be gone; a task of the array is preempted in the
    // meantime.
    let mut world = start_with_gang_and_array(2, 60_000, true);
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 1));
    let is_stopping = world.run_until(PLACEMENT_MS, |w| w.running_tasks(&job_id(GANG)) < 2);
    assert!(is_stopping, "{}", world.trace());
    let machine = world.machines_of(&job_id(GANG)).first().cloned().unwrap_or_default();
    if let Some(w) = world.workers.get_mut(&machine) {
        w.is_hanging = true;
    }
    assert_runs(&mut world, SERVICE, 1, 14_000);
    assert_eq!(world.running_tasks(&job_id(ARRAY)), 1, "{}", world.trace());
    assert_eq!(
        count_stopped_tasks(&stops),
        3,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    if let Some(w) = world.workers.get_mut(&machine) {
        w.is_hanging = false;
    }
    world.run_for(20_000);
    assert_eq!(world.running_tasks(&job_id(SERVICE)), 1, "{}", world.trace());
    assert_no_breaches(&world);
}

/// Guards against preemptions by a new owner that knows too little: what runs on a machine that has not reported yet is
/// unknown.
#[test]
fn a_machine_that_has_not_reported_to_a_new_owner_causes_no_preemption() {
    // A machine that has not reported counts as full of tasks of each team. That is no reason to preempt under the
    // limit: here the team uses three of its four accelerators.
    let mut world = World::new();
    world.run_ms = ARRAY_TASK_MS;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(ARRAY, 0, "sweep", 3));
    assert_runs(&mut world, ARRAY, 3, 40_000);
    let task_count = |w: &tidelatch_standin::Worker| w.attempts.len();
    let half_full = world.workers.values().find(|w| task_count(w) == 1);
    let half_full = half_full.map(|w| w.name.clone()).expect("one machine has one task");
    let owner = world.owner_of_team(0);
    let successor = (owner + 1) % 3;
    let stops = record_stops(&mut world, faults::lose_messages_to_machine(&half_full));
    world.crash_controller(owner);
    let epoch = world.epoch();
    assert!(world.run_until(20_000, |w| w.epoch() > epoch), "{}", world.trace());
    world.submit_until_accepted(successor, &job(SERVICE, 0, "standing", 1));
    world.run_for(8000);
    assert_eq!(
        count_stopped_tasks(&stops),
        0,
        "{:?}\n{}",
        stops.borrow(),
        world.trace()
    );
    world.clear_fault_injector();
    world.start_controller(owner);
    assert_runs(&mut world, SERVICE, 1, 60_000);
    assert_no_breaches(&world);
}

/// Guards against a team that exceeds its limit, or a service that is never completed, because the owner crashes
/// between the stops and the starts.
#[test]
fn the_limit_holds_when_the_owner_crashes_at_any_step_of_a_preemption() {
    for crash_after_ms in [0, 50, 200, 500, 1000, 2000, 4000] {
        let mut array = job(ARRAY, 0, "sweep", 40);
        array["waypointS"] = json!(2.0);
        array["stowS"] = json!(1.5);
        let mut world = start_with_array_at_limit(&array);
        world.submit_until_accepted(0, &job(SERVICE, 0, "standing", 3));
        world.run_for(crash_after_ms);
        let owner = world.owner_of_team(0);
        world.crash_controller(owner);
        world.run_for(6000);
        world.start_controller(owner);
        assert_runs(&mut world, SERVICE, 3, 60_000);
        world.run_for(10_000);
        assert_eq!(
            world.running_tasks(&job_id(SERVICE)),
            3,
            "{crash_after_ms}\n{}",
            world.trace()
        );
        assert_no_breaches(&world);
    }
}

/// Starts a service whose image is on a machine without further room, because a task of an array runs there too.
/// Another machine has room, and fetches an image of `gigabytes` in as many seconds. Then starts a second service with
/// the same image, which should start within two seconds. Returns whether it runs beside the first one, and how many
/// tasks were stopped for it.
fn start_second_service(gigabytes: f64) -> (bool, usize) {
    let size = DeploymentSize {
        start_within_s: 2.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&Operator::default(), size);
    world.run_ms = ARRAY_TASK_MS;
    world.run_for(3000);
    let mut service = job(SERVICE, 0, "standing", 1);
    service["stock"] = json!("camera");
    service["sizeGb"] = json!(gigabytes);
    world.submit_until_accepted(0, &service);
    assert_runs(&mut world, SERVICE, 1, 40_000);
    let mut array = job(ARRAY, 0, "sweep", 2);
    array["consist"] = json!("audit");
    world.submit_until_accepted(0, &array);
    assert_runs(&mut world, ARRAY, 2, 40_000);
    let with_image = world.machines_of(&job_id(SERVICE));
    assert!(
        world.machines_of(&job_id(ARRAY)).contains(&with_image[0]),
        "{}",
        world.trace()
    );
    let stops = record_stops(&mut world, |_| Delivery::Pass);
    service["uid"] = json!(job_id(GANG));
    world.submit_until_accepted(0, &service);
    assert_runs(&mut world, GANG, 1, PLACEMENT_MS);
    assert_runs(&mut world, ARRAY, 2, PLACEMENT_MS);
    assert_no_breaches(&world);
    (
        world.machines_of(&job_id(GANG)) == with_image,
        count_stopped_tasks(&stops),
    )
}

/// Guards against a replica that misses its objective for the start because it fetches an image that another machine
/// has.
#[test]
fn a_replica_without_time_to_fetch_preempts_a_task_on_a_machine_with_its_image() {
    assert_eq!(start_second_service(4.0), (true, 1));
}

/// Guards against a preemption for a replica that can fetch its image in time.
#[test]
fn a_replica_with_time_to_fetch_preempts_nothing() {
    assert_eq!(start_second_service(1.0), (false, 0));
}
