//! Controllers that list the shared keys anew, because their watch failed or because the state service no longer has the
//! changes that they have missed, while machines change hands.
//!
//! Guards against what a list cannot show: the order of the changes since the last watch, and, where it has several
//! pages, the state of all keys at one revision.

use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;
use tidelatch_standin::support::{GroupOrder, assert_no_breaches, hand_over_in_store};
use tidelatch_standin::{Delivery, Message, World, job};

/// Jobs of team 1, of one task each. Two of the tasks are on one machine, and one is on the other.
const JOBS: [&str; 3] = ["job-000001", "job-000002", "job-000003"];
/// A job of team 2, for which the machine with one task is handed over.
const SECOND_JOB: &str = "job-000004";
/// A job of team 0, for which that machine is handed over again.
const THIRD_JOB: &str = "job-000005";
/// Milliseconds for which team 1's controller loses its connections to the state service: less than its lease.
const CUT_MS: u64 = 4000;

/// Two machines with tasks of team 1. The one with a single task of it belongs to team 2's partition now.
struct HandedOver {
    world: World,
    machine: String,
    /// The job of team 1 whose task is on that machine.
    job: &'static str,
}

/// How the controller of team 1 comes to list the shared keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// Its watches fail.
    FailedWatches,
    /// The state service no longer has the changes that it asks for.
    CompactedChanges,
}

/// Where the group that a machine enters with the second hand-over stands in the order of the keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LaterGroup {
    BeforeTheEarlierOne,
    AfterTheEarlierOne,
}

/// Starts a deployment with this page size of the state service, and hands a machine with a task of team 1 to team 2.
fn hand_over_a_machine(max_page_keys: Option<usize>, later_group: LaterGroup) -> HandedOver {
    let mut world = World::new();
    world.run_ms = 600_000;
    world.cloud.max_machines = 2;
    world.store.max_page_keys = max_page_keys;
    world.run_for(3000);
    for (number, id) in (1..).zip(JOBS) {
        submit_and_run(&mut world, number, 1, id);
    }
    // The name of a handed-over machine's group holds the revision of the group that it leaves: two digits for the first
    // hand-over, and three for the second, whose group therefore comes first in the order of the keys.
    while later_group == LaterGroup::BeforeTheEarlierOne && world.store.revision() < 100 {
        world.store.set_key("other/key", json!(true));
    }
    let is_alone = |id: &&&str| {
        let machines = world.machines_of(id);
        JOBS.iter().filter(|other| world.machines_of(other) == machines).count() == 1
    };
    let job = *JOBS
        .iter()
        .find(is_alone)
        .expect("two tasks are on one machine, and one is on the other");
    submit_and_run(&mut world, 4, 2, SECOND_JOB);
    let machine = world.machines_of(SECOND_JOB).pop().expect("a machine");
    assert_eq!(world.machines_of(job), [machine.as_str()], "{}", world.trace());
    HandedOver { world, machine, job }
}

/// Submits a job of one task and waits until it runs.
fn submit_and_run(world: &mut World, number: u32, team: u32, id: &str) {
    world.submit_until_accepted(0, &job(number, team, "standing", 1));
    let runs = world.run_until(60_000, |w| w.running_tasks(id) == 1);
    assert!(runs, "{id}\n{}", world.trace());
}

/// Cancels a job, and waits until its task is gone.
fn cancel(world: &mut World, id: &str) {
    cancel_at(world, 2, id);
}

/// Cancels a job at a controller, and waits until its task is gone.
fn cancel_at(world: &mut World, controller: usize, id: &str) {
    world.cancel(controller, id);
    let is_gone = world.run_until(10_000, |w| w.running_tasks(id) == 0);
    assert!(is_gone, "{id}\n{}", world.trace());
}

/// Whether a message goes from a controller to the state service.
fn is_to_state(message: &Message<'_>, controller: usize) -> bool {
    message.to == "state" && message.from == format!("berth-{controller}")
}

/// Resets a controller's connections to the state service for some time.
fn reset_state_connections(world: &mut World, controller: usize, ms: u64) {
    let cut = world.now..world.now + ms;
    world.set_fault_injector(move |message| {
        if is_to_state(message, controller) && cut.contains(&message.sent_ms) {
            Delivery::Reset
        } else {
            Delivery::Pass
        }
    });
}

/// Frees a place on the other machine of team 1, which its task on the handed-over machine would take if it counted as
/// gone, and checks that this task was started once.
fn assert_task_is_not_started_again(mut handed: HandedOver, case: impl std::fmt::Debug) {
    let world = &mut handed.world;
    let other = *JOBS.iter().find(|id| **id != handed.job).expect("another job");
    cancel(world, other);
    world.run_for(20_000);
    let starts = format!(" starts {}/0", handed.job);
    assert_eq!(world.trace().matches(&starts).count(), 1, "{case:?}\n{}", world.trace());
    assert_eq!(
        world.machines_of(handed.job),
        [handed.machine.as_str()],
        "{case:?}\n{}",
        world.trace()
    );
    assert_no_breaches(world);
}

/// Guards against a task that runs on two machines: its controller was cut from the state service while the machine
/// went on to a third partition, listed the keys, and found the machine's earlier group without it.
#[test]
fn a_listing_does_not_release_tasks_on_a_machine_that_was_handed_on_during_a_cut() {
    for cause in [Cause::FailedWatches, Cause::CompactedChanges] {
        for (max_page_keys, later_group) in [
            (None, LaterGroup::AfterTheEarlierOne),
            (None, LaterGroup::BeforeTheEarlierOne),
            (Some(1), LaterGroup::AfterTheEarlierOne),
        ] {
            let case = (cause, max_page_keys, later_group);
            let mut handed = hand_over_a_machine(max_page_keys, later_group);
            let world = &mut handed.world;
            let controller = world.owner_of_team(1);
            cancel(world, SECOND_JOB);
            match cause {
                Cause::FailedWatches => reset_state_connections(world, controller, CUT_MS),
                Cause::CompactedChanges => world.pause(controller),
            }
            world.submit_until_accepted(2, &job(5, 0, "standing", 1));
            let start = format!("{} starts {THIRD_JOB}/0", handed.machine);
            let is_handed_on = world.run_until(CUT_MS - 500, |w| w.trace().contains(&start));
            assert!(is_handed_on, "{case:?}\n{}", world.trace());
            if cause == Cause::CompactedChanges {
                world.store.compacted_revision = world.store.revision();
                world.resume(controller);
            }
            world.run_for(10_000);
            assert_task_is_not_started_again(handed, case);
        }
    }
}

/// Guards against a task that runs on two machines: in a batch of the watch, the group that its machine left came before
/// the one that it entered. The operators' pages set no order within a transaction.
#[test]
fn a_watch_does_not_release_tasks_on_a_machine_whose_old_group_comes_first() {
    for order in [GroupOrder::NewGroupFirst, GroupOrder::OldGroupFirst] {
        let mut handed = hand_over_a_machine(None, LaterGroup::AfterTheEarlierOne);
        cancel(&mut handed.world, SECOND_JOB);
        hand_over_in_store(&mut handed.world, &handed.machine, 0, order);
        handed.world.run_for(5000);
        let trace = handed.world.trace();
        assert!(!trace.contains("its roster entry is gone"), "{order:?}\n{trace}");
        assert_task_is_not_started_again(handed, order);
    }
}

/// Guards against a task that runs on two machines: its machine went on to a third partition between two pages of a
/// list, and stood on neither.
#[test]
fn a_listing_does_not_release_tasks_on_a_machine_that_moved_between_two_pages() {
    let mut handed = hand_over_a_machine(Some(1), LaterGroup::BeforeTheEarlierOne);
    let world = &mut handed.world;
    let controller = world.owner_of_team(1);
    let groups = world.store.keys("t/m/");
    let is_first_group = |key: &&String| world.store.get(key).is_some_and(|g| !g["m"][&handed.machine].is_null());
    let earlier_group = groups.iter().find(is_first_group).expect("the machine's group").clone();
    // A group without machines stands between the two, and is the last key on the page before the machine's.
    let empty_group = format!("t/m/{}.11.9", handed.machine);
    let record = json!({ "part": 1, "model": "m2", "zone": "a", "spot": false, "left": true, "m": {} });
    world.store.set_key(&empty_group, record);
    cancel(world, SECOND_JOB);
    // The page that follows the empty group is held back until the machine has moved, and the move until that page is asked
    // for.
    let (is_listing, has_moved) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let (listing, moved) = (is_listing.clone(), has_moved.clone());
    let cut = world.now..world.now + 1000;
    let page = format!("since={empty_group}");
    let change = format!("\"write\":\"{earlier_group}\"");
    world.set_fault_injector(move |message| {
        if is_to_state(message, controller) && cut.contains(&message.sent_ms) {
            return Delivery::Reset;
        }
        if is_to_state(message, controller) && message.request.starts_with("GET") && message.request.ends_with(&page) {
            listing.set(true);
            return Delivery::Slow(1500);
        }
        if message.request == "POST /txn" && message.body.contains(&change) {
            if !listing.get() {
                return Delivery::Refused;
            }
            moved.set(true);
        }
        Delivery::Pass
    });
    world.submit_until_accepted(2, &job(5, 0, "standing", 1));
    let runs = world.run_until(30_000, |w| w.running_tasks(THIRD_JOB) == 1);
    assert!(runs && is_listing.get() && has_moved.get(), "{}", world.trace());
    let later_group = world.store.keys("t/m/").into_iter().find(|key| {
        let group = world.store.get(key);
        *key != earlier_group && group.is_some_and(|g| !g["m"][&handed.machine].is_null())
    });
    let later_group = later_group.expect("the machine's later group");
    assert!(
        later_group < empty_group && empty_group < earlier_group,
        "{later_group}, {earlier_group}"
    );
    world.run_for(10_000);
    assert_task_is_not_started_again(handed, "between two pages");
}

/// Guards against tasks that are taken for gone because their machine came back to their own partition during a cut.
#[test]
fn a_listing_does_not_release_tasks_on_a_machine_that_came_back_during_a_cut() {
    for max_page_keys in [None, Some(1)] {
        let mut handed = hand_over_a_machine(max_page_keys, LaterGroup::AfterTheEarlierOne);
        let world = &mut handed.world;
        let controller = world.owner_of_team(1);
        cancel(world, SECOND_JOB);
        let groups = world.store.keys("t/m/").len();
        // Only the hand-over back to team 1's partition creates another machine group. The controller loses its
        // connections shortly before it, and its connections are back when it has been carried out.
        let is_cut = Rc::new(Cell::new(false));
        let cut = is_cut.clone();
        world.set_fault_injector(move |message| {
            let is_hand_over = message.request == "POST /txn" && message.body.contains("\"part\":1");
            if is_hand_over && !is_to_state(message, controller) && !cut.replace(true) {
                return Delivery::Refused;
            }
            if is_to_state(message, controller) && cut.get() {
                return Delivery::Reset;
            }
            Delivery::Pass
        });
        let is_back = world.run_until(60_000, |w| w.store.keys("t/m/").len() > groups);
        assert!(is_back && is_cut.get(), "{}", world.trace());
        world.run_for(1000);
        world.clear_fault_injector();
        world.run_for(5000);
        assert_task_is_not_started_again(handed, max_page_keys);
    }
}

/// Guards against a task that runs on two machines: a list's first page told the owner of a partition of an epoch that
/// gave the partition to another controller, and until the last page it started tasks of the partition under that
/// epoch.
#[test]
fn a_listing_does_not_let_the_previous_owner_act_under_the_next_owners_epoch() {
    let mut world = World::new();
    world.run_ms = 600_000;
    world.run_for(3000);
    // The partition's owner must not be the leader, which writes the epoch.
    world.crash_controller(0);
    assert!(
        world.run_until(20_000, |w| w.leader().is_some_and(|l| l != 0)),
        "{}",
        world.trace()
    );
    world.start_controller(0);
    world.run_for(10_000);
    let leader = world.leader().expect("a leader");
    let successor = 3 - leader;
    let team = successor as u32;
    world.crash_controller(successor);
    let is_taken_over = |w: &World| w.owner_of_team(successor) == 0;
    assert!(world.run_until(20_000, is_taken_over), "{}", world.trace());
    // Two machines of the partition, with room for one task each.
    for number in 1..=4 {
        submit_and_run(&mut world, number, team, &format!("job-{number:06}"));
    }
    let machines: Vec<String> = ["job-000001", "job-000003"]
        .iter()
        .flat_map(|id| world.machines_of(id))
        .collect();
    assert_ne!(machines[0], machines[1], "{}", world.trace());
    for id in ["job-000002", "job-000004"] {
        cancel_at(&mut world, leader, id);
    }
    // The previous owner's connections are reset, and it lists the keys page by page while its successor comes back and
    // a job is accepted.
    world.store.max_page_keys = Some(1);
    world.start_controller(successor);
    let successor_started = world.now;
    let page_count = Rc::new(Cell::new(0));
    let pages = page_count.clone();
    let name = format!("berth-{successor}");
    let successor_name = name.clone();
    let mut wrongly_used_machine = None;
    world.set_fault_injector(move |message| {
        let is_from_previous_owner = message.from == "berth-0";
        if is_from_previous_owner && message.request == "POST /commands" && message.body.contains("job-000005") {
            wrongly_used_machine = Some(message.to.to_owned());
        }
        // The successor does not learn from the machine at once what the previous owner has started on it.
        let is_hidden = |name: &str| wrongly_used_machine.as_deref() == Some(name);
        let is_relay = message.request == "relay" && message.to == successor_name;
        if (message.from == successor_name && is_hidden(message.to)) || is_hidden(message.from) || is_relay {
            return Delivery::Lost;
        }
        if !is_from_previous_owner || message.to != "state" {
            return Delivery::Pass;
        }
        if message.sent_ms < successor_started + 3000 {
            return Delivery::Reset;
        }
        if message.request.starts_with("GET /store?") {
            pages.set(pages.get() + 1);
            return Delivery::Slow(150);
        }
        Delivery::Pass
    });
    let is_successors = |w: &World| {
        w.store
            .get("t/c/epoch")
            .is_some_and(|e| e["parts"][successor]["owner"] == name)
    };
    assert!(world.run_until(3000, is_successors), "{}", world.trace());
    world.submit_until_accepted(leader, &job(5, team, "standing", 1));
    world.run_for(20_000);
    assert!(page_count.get() > 5, "{}", world.trace());
    assert_eq!(
        world.trace().matches(" starts job-000005/0").count(),
        1,
        "{}",
        world.trace()
    );
    assert_no_breaches(&world);
}

/// Guards against boot batches that stay known for good after they were deleted during a cut: a leader would delete them
/// again and again.
#[test]
fn a_listing_drops_boot_batches_that_were_deleted_during_a_cut() {
    let mut world = World::new();
    world.run_ms = 2000;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 1));
    let is_up = |w: &World| !w.store.keys("t/u/").is_empty();
    assert!(world.run_until(30_000, is_up), "{}", world.trace());
    let batch = world.store.keys("t/u/").pop().expect("a boot batch");
    // The machine is returned when the job is done, and its boot batch deleted.
    let is_cut = Rc::new(Cell::new(true));
    let deletions = Rc::new(Cell::new(0));
    let (cut, deleted) = (is_cut.clone(), deletions.clone());
    let deletion = format!("\"delete\":\"{batch}\"");
    world.set_fault_injector(move |message| {
        if message.request == "POST /txn" && message.body.contains(&deletion) {
            deleted.set(deleted.get() + 1);
        }
        if is_to_state(message, 1) && cut.get() {
            Delivery::Reset
        } else {
            Delivery::Pass
        }
    });
    let is_gone = |w: &World| w.store.get(&batch).is_none();
    assert!(world.run_until(90_000, is_gone), "{}", world.trace());
    assert_eq!(deletions.get(), 1, "{}", world.trace());
    is_cut.set(false);
    world.run_for(10_000);
    // The controller that was cut off becomes the leader.
    world.crash_controller(0);
    world.crash_controller(2);
    assert!(world.run_until(20_000, |w| w.leader() == Some(1)), "{}", world.trace());
    world.run_for(60_000);
    assert_eq!(deletions.get(), 1, "{}", world.trace());
    assert_no_breaches(&world);
}
