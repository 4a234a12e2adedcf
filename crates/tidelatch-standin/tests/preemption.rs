//! A team at its limit: its work of lower priority is stopped for its production work, no more of it than is
//! needed and not before that has a machine. The world's checker watches the limit throughout.

use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tidelatch_core::settings::Operator;
use tidelatch_standin::faults;
use tidelatch_standin::{Delivery, Message, Size, World, gang, job};

const ARRAY: u32 = 1;
const SERVICE: u32 = 2;
const GANG: u32 = 3;
/// A task of an array runs for longer than any test waits.
const LONG_MS: u64 = 600_000;
/// Within this, a replica is placed where nothing is in the way: stop, report, image and a batch or two.
const SOON_MS: u64 = 10_000;

fn name(id: u32) -> String {
    format!("job-{id:06}")
}

fn sound(world: &World) {
    assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.trace());
}

fn runs(world: &mut World, id: u32, tasks: usize, within_ms: u64) {
    let up = world.run_until(within_ms, |w| w.running(&name(id)) == tasks);
    assert!(
        up,
        "{} runs {} tasks\n{}",
        name(id),
        world.running(&name(id)),
        world.trace()
    );
}

/// Orders to stop, by task and attempt, with the grace that they give.
type Stops = Rc<RefCell<BTreeSet<(String, u64, u64)>>>;

fn is_command(letter: &Message<'_>) -> bool {
    letter.what == "POST /commands"
}

/// Notes the direct orders to stop, and lets something else decide the fate of messages.
fn watch_stops(world: &mut World, mut fate: impl FnMut(&Message<'_>) -> Delivery + 'static) -> Stops {
    let stops: Stops = Rc::default();
    let seen = stops.clone();
    world.meddle(move |l| {
        let orders: Value = match is_command(l) {
            true => serde_json::from_str(l.body).unwrap_or_default(),
            false => Value::Null,
        };
        for order in orders["orders"].as_array().into_iter().flatten() {
            if order["order"] == "kill" {
                let task = order["wagon"].as_str().unwrap_or_default().to_owned();
                let grace_ms = (order["leewayS"].as_f64().unwrap_or(0.0) * 1000.0) as u64;
                let attempt = order["run"].as_u64().unwrap_or(0);
                seen.borrow_mut().insert((task, attempt, grace_ms));
            }
        }
        fate(l)
    });
    stops
}

/// Tasks that were told to stop.
fn stopped(stops: &Stops) -> usize {
    let tasks: BTreeSet<String> = stops.borrow().iter().map(|(task, _, _)| task.clone()).collect();
    tasks.len()
}

/// A world in which an array fills its team's limit of four accelerators.
fn at_limit(array: &Value) -> World {
    let mut world = World::new();
    world.run_ms = LONG_MS;
    world.run(3000);
    world.accepted(0, array);
    runs(&mut world, ARRAY, 4, 40_000);
    world.run(3000);
    world
}

#[test]
fn production_work_of_a_team_at_its_limit_stops_no_more_than_it_needs() {
    let mut world = at_limit(&job(ARRAY, 0, "sweep", 40));
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    world.accepted(0, &job(SERVICE, 0, "standing", 2));
    runs(&mut world, SERVICE, 2, SOON_MS);
    world.run(60_000);
    assert_eq!(stopped(&stops), 2, "{:?}\n{}", stops.borrow(), world.trace());
    assert_eq!(world.running(&name(SERVICE)), 2, "{}", world.trace());
    assert_eq!(world.running(&name(ARRAY)), 2, "{}", world.trace());
    sound(&world);
}

#[test]
fn a_task_that_saves_is_given_its_time() {
    let mut array = job(ARRAY, 0, "sweep", 40);
    array["waypointS"] = json!(2.0);
    array["stowS"] = json!(1.5);
    let mut world = at_limit(&array);
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    world.accepted(0, &job(SERVICE, 0, "standing", 1));
    runs(&mut world, SERVICE, 1, SOON_MS);
    assert_eq!(stopped(&stops), 1, "{}", world.trace());
    assert!(
        stops.borrow().iter().all(|(_, _, grace_ms)| *grace_ms >= 1500),
        "{:?}",
        stops.borrow()
    );
    sound(&world);
}

#[test]
fn what_loses_least_is_stopped_first() {
    // The second array has run for half a minute less.
    let mut world = World::new();
    world.run_ms = LONG_MS;
    world.run(3000);
    world.accepted(0, &job(ARRAY, 0, "sweep", 3));
    runs(&mut world, ARRAY, 3, 40_000);
    world.run(30_000);
    world.accepted(0, &job(3, 0, "sweep", 1));
    runs(&mut world, 3, 1, 40_000);
    world.run(3000);
    world.accepted(0, &job(SERVICE, 0, "standing", 1));
    runs(&mut world, SERVICE, 1, SOON_MS);
    assert_eq!(world.running(&name(ARRAY)), 3, "{}", world.trace());
    assert_eq!(world.running(&name(3)), 0, "{}", world.trace());
    sound(&world);
}

#[test]
fn a_team_that_is_not_at_its_limit_is_not_touched() {
    // The service cannot use the array's machines, so that only the limit could be a reason to stop tasks.
    let mut world = World::new();
    world.run_ms = LONG_MS;
    world.run(3000);
    let mut array = job(ARRAY, 0, "sweep", 2);
    array["yard"] = "a".into();
    world.accepted(0, &array);
    runs(&mut world, ARRAY, 2, 40_000);
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    let mut service = job(SERVICE, 0, "standing", 2);
    service["yard"] = "b".into();
    world.accepted(0, &service);
    runs(&mut world, SERVICE, 2, 20_000);
    world.run(20_000);
    assert_eq!(stopped(&stops), 0, "{:?}\n{}", stops.borrow(), world.trace());
    assert_eq!(world.running(&name(ARRAY)), 2, "{}", world.trace());
    sound(&world);
}

#[test]
fn work_of_the_same_priority_is_not_stopped() {
    let mut array = job(ARRAY, 0, "sweep", 40);
    array["precedence"] = "prod".into();
    let mut world = at_limit(&array);
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    world.accepted(0, &job(SERVICE, 0, "standing", 1));
    world.run(30_000);
    assert_eq!(stopped(&stops), 0, "{:?}\n{}", stops.borrow(), world.trace());
    sound(&world);
}

#[test]
fn nothing_is_stopped_before_there_is_a_machine() {
    // The array's machines are in the other zone, and the cloud has none where the service has to be.
    let mut array = job(ARRAY, 0, "sweep", 40);
    array["yard"] = "a".into();
    let mut world = at_limit(&array);
    world.cloud.most_in_zone.insert("b".into(), 0);
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    let mut service = job(SERVICE, 0, "standing", 1);
    service["yard"] = "b".into();
    world.accepted(0, &service);
    world.run(30_000);
    assert_eq!(stopped(&stops), 0, "{:?}\n{}", stops.borrow(), world.trace());
    assert_eq!(world.running(&name(ARRAY)), 4, "{}", world.trace());
    // As soon as there is one, it is rented, and one task yields.
    world.cloud.most_in_zone.clear();
    runs(&mut world, SERVICE, 1, 40_000);
    world.run(30_000);
    assert_eq!(stopped(&stops), 1, "{:?}\n{}", stops.borrow(), world.trace());
    assert_eq!(world.running(&name(ARRAY)), 3, "{}", world.trace());
    sound(&world);
}

/// A world in which a gang of two runs beside an array, and they fill their team's limit. The gang saves every
/// two seconds, or never.
fn with_gang(array_tasks: u32, array_ran_ms: u64, saves: bool) -> World {
    let size = Size {
        limit: f64::from(2 + array_tasks),
        ..Size::default()
    };
    let mut world = World::sized(&Operator::default(), size);
    world.run_ms = LONG_MS;
    world.run(3000);
    if array_tasks > 0 {
        world.accepted(0, &job(ARRAY, 0, "sweep", array_tasks));
        runs(&mut world, ARRAY, array_tasks as usize, 40_000);
        world.run(array_ran_ms);
    }
    let mut body = gang(GANG, 0, 2);
    body["accelerators"] = json!(1.0);
    if !saves {
        body["waypointS"] = json!(0.0);
        body["stowS"] = json!(0.0);
    }
    world.accepted(0, &body);
    runs(&mut world, GANG, 2, 40_000);
    world.run(4000);
    world
}

#[test]
fn a_gang_is_stopped_as_a_whole() {
    let mut world = with_gang(0, 0, true);
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    world.accepted(0, &job(SERVICE, 0, "standing", 1));
    runs(&mut world, SERVICE, 1, 15_000);
    world.run(10_000);
    assert_eq!(world.running(&name(GANG)), 0, "{}", world.trace());
    assert_eq!(stopped(&stops), 2, "{:?}\n{}", stops.borrow(), world.trace());
    // All were told in time and with time enough, so that what was done is saved.
    let saved = world.gangs.saved_ms.get(&name(GANG));
    assert!(saved.is_some_and(|ms| *ms > 0), "{}", world.trace());
    sound(&world);
}

#[test]
fn a_gang_is_spared_where_a_single_task_loses_less() {
    let mut world = with_gang(1, 0, false);
    world.accepted(0, &job(SERVICE, 0, "standing", 1));
    runs(&mut world, SERVICE, 1, 15_000);
    assert_eq!(world.running(&name(GANG)), 2, "{}", world.trace());
    assert_eq!(world.running(&name(ARRAY)), 0, "{}", world.trace());
    sound(&world);
}

#[test]
fn a_stop_whose_answer_is_lost_is_not_made_good_by_another() {
    for every in [2, 3] {
        let mut world = at_limit(&job(ARRAY, 0, "sweep", 40));
        let mut count = 0;
        let stops = watch_stops(&mut world, move |l| {
            let hit = is_command(l);
            count += u32::from(hit);
            if hit && count % every != 0 {
                Delivery::AnswerLost
            } else {
                Delivery::Pass
            }
        });
        world.accepted(0, &job(SERVICE, 0, "standing", 2));
        runs(&mut world, SERVICE, 2, 30_000);
        world.run(20_000);
        assert_eq!(stopped(&stops), 2, "{every}: {:?}\n{}", stops.borrow(), world.trace());
        sound(&world);
    }
}

#[test]
fn a_machine_that_hangs_while_it_saves_does_not_hold_production_work_up() {
    // The gang loses less than the array, and its machine hangs with the stop. Its tasks count under the limit
    // until they are proven gone; one of the array yields meanwhile.
    let mut world = with_gang(2, 60_000, true);
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    world.accepted(0, &job(SERVICE, 0, "standing", 1));
    let told = world.run_until(SOON_MS, |w| w.running(&name(GANG)) < 2);
    assert!(told, "{}", world.trace());
    let machine = world.machines_of(&name(GANG)).first().cloned().unwrap_or_default();
    if let Some(w) = world.workers.get_mut(&machine) {
        w.hanging = true;
    }
    runs(&mut world, SERVICE, 1, 14_000);
    assert_eq!(world.running(&name(ARRAY)), 1, "{}", world.trace());
    assert_eq!(stopped(&stops), 3, "{:?}\n{}", stops.borrow(), world.trace());
    if let Some(w) = world.workers.get_mut(&machine) {
        w.hanging = false;
    }
    world.run(20_000);
    assert_eq!(world.running(&name(SERVICE)), 1, "{}", world.trace());
    sound(&world);
}

#[test]
fn no_work_is_stopped_because_a_machine_has_not_reported_to_a_new_owner() {
    // Such a machine counts as full of each team, which is no reason to make room under the limit: here the
    // team uses three of its four.
    let mut world = World::new();
    world.run_ms = LONG_MS;
    world.run(3000);
    world.accepted(0, &job(ARRAY, 0, "sweep", 3));
    runs(&mut world, ARRAY, 3, 40_000);
    let running_on = |w: &tidelatch_standin::Worker| w.tasks.len();
    let half_full = world.workers.values().find(|w| running_on(w) == 1);
    let half_full = half_full.map(|w| w.name.clone()).expect("one machine has one task");
    let owner = world.owner_of_team(0);
    let next = (owner + 1) % 3;
    let stops = watch_stops(&mut world, faults::deaf(&half_full));
    world.crash(owner);
    let epoch = world.epoch();
    assert!(world.run_until(20_000, |w| w.epoch() > epoch), "{}", world.trace());
    world.accepted(next, &job(SERVICE, 0, "standing", 1));
    world.run(8000);
    assert_eq!(stopped(&stops), 0, "{:?}\n{}", stops.borrow(), world.trace());
    world.calm();
    world.start(owner);
    runs(&mut world, SERVICE, 1, 60_000);
    sound(&world);
}

#[test]
fn the_limit_holds_whenever_the_owner_ends_during_the_stops() {
    for after in [0, 50, 200, 500, 1000, 2000, 4000] {
        let mut array = job(ARRAY, 0, "sweep", 40);
        array["waypointS"] = json!(2.0);
        array["stowS"] = json!(1.5);
        let mut world = at_limit(&array);
        world.accepted(0, &job(SERVICE, 0, "standing", 3));
        world.run(after);
        let owner = world.owner_of_team(0);
        world.crash(owner);
        world.run(6000);
        world.start(owner);
        runs(&mut world, SERVICE, 3, 60_000);
        world.run(10_000);
        assert_eq!(world.running(&name(SERVICE)), 3, "{after}\n{}", world.trace());
        sound(&world);
    }
}

/// A service has brought its image to a machine whose other place an array's task has taken; another machine has
/// room, and fetches an image of `gigabytes` in as many seconds. A second service comes, which should start within
/// two seconds. Whether it runs beside the first one, and what was stopped for it, is returned.
fn second_service_of_an_image(gigabytes: f64) -> (bool, usize) {
    let size = Size {
        start_within_s: 2.0,
        ..Size::default()
    };
    let mut world = World::sized(&Operator::default(), size);
    world.run_ms = LONG_MS;
    world.run(3000);
    let mut service = job(SERVICE, 0, "standing", 1);
    service["stock"] = json!("camera");
    service["sizeGb"] = json!(gigabytes);
    world.accepted(0, &service);
    runs(&mut world, SERVICE, 1, 40_000);
    let mut array = job(ARRAY, 0, "sweep", 2);
    array["consist"] = json!("audit");
    world.accepted(0, &array);
    runs(&mut world, ARRAY, 2, 40_000);
    let with_image = world.machines_of(&name(SERVICE));
    assert!(
        world.machines_of(&name(ARRAY)).contains(&with_image[0]),
        "{}",
        world.trace()
    );
    let stops = watch_stops(&mut world, |_| Delivery::Pass);
    service["uid"] = json!(name(GANG));
    world.accepted(0, &service);
    runs(&mut world, GANG, 1, SOON_MS);
    runs(&mut world, ARRAY, 2, SOON_MS);
    sound(&world);
    (world.machines_of(&name(GANG)) == with_image, stopped(&stops))
}

#[test]
fn a_replica_that_has_no_time_to_fetch_gets_room_where_its_image_is() {
    assert_eq!(second_service_of_an_image(4.0), (true, 1));
}

#[test]
fn nothing_is_stopped_for_a_replica_that_has_time_to_fetch() {
    assert_eq!(second_service_of_an_image(1.0), (false, 0));
}
