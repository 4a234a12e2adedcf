//! Machines that change hands with the tasks that run on them: the rules hold for the tasks of both partitions,
//! whatever fails, and the room that is free is used.

use serde_json::json;
use tidelatch_core::settings::Features;
use tidelatch_standin::faults::{self, FaultInjector};
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

/// One task of teams 0 and 1 on a machine each, and nothing more to rent.
const FIRST: [&str; 2] = ["job-000001", "job-000002"];
/// A task of team 2, which finds room on one of these.
const LATER: &str = "job-000003";

/// A machine that holds tasks of two partitions.
struct Shared {
    machine: String,
    /// The job whose task was there before the machine changed hands, and its team.
    tenant: &'static str,
    tenant_team: usize,
}

fn sound(world: &World, case: impl std::fmt::Debug) {
    assert!(
        world.broken.is_empty(),
        "{case:?}: {:?}\n{}",
        world.broken,
        world.trace()
    );
}

/// The cloud has two machines, and a task of another team runs on each.
fn with_two_machines(mut world: World, shape: &str, run_ms: u64) -> World {
    world.run_ms = run_ms;
    world.cloud.most = 2;
    world.run(3000);
    for (team, id) in (0..).zip(FIRST) {
        world.accepted(0, &job(team + 1, team, shape, 1));
        let runs = world.run_until(30_000, |w| w.running(id) == 1);
        assert!(runs, "{}", world.trace());
    }
    world
}

/// A task of a third team has come to one of the two machines.
fn with_shared_machine(shape: &str, run_ms: u64) -> (World, Shared) {
    let mut world = with_two_machines(World::new(), shape, run_ms);
    world.accepted(0, &job(3, 2, shape, 1));
    let runs = world.run_until(90_000, |w| w.running(LATER) == 1);
    assert!(runs, "{}", world.trace());
    let shared = shared_machine(&world);
    (world, shared)
}

fn shared_machine(world: &World) -> Shared {
    let machine = world.machines_of(LATER).pop().expect("a machine");
    let beside = |id: &&str| world.machines_of(id).contains(&machine);
    let tenant_team = FIRST.iter().position(beside).expect("a task beside it");
    Shared {
        machine,
        tenant: FIRST[tenant_team],
        tenant_team,
    }
}

fn starts(world: &World, machine: &str, id: &str) -> usize {
    let start = format!("{machine} starts {id}/0");
    world.trace().matches(&start).count()
}

#[test]
fn whichever_controller_ends_the_tasks_on_a_shared_machine_run_on() {
    // Guards: a new owner of the machine keeps the other partition's task, by the roster; a new owner of that
    // partition asks the machine before it starts the task again.
    for node in 0..3 {
        for away_ms in [300, 25_000] {
            let (mut world, shared) = with_shared_machine("standing", 600_000);
            world.crash(node);
            world.run(away_ms);
            world.start(node);
            world.run(40_000);
            let case = (node, away_ms);
            sound(&world, case);
            for id in [shared.tenant, LATER] {
                assert_eq!(
                    world.machines_of(id),
                    std::slice::from_ref(&shared.machine),
                    "{case:?}\n{}",
                    world.trace()
                );
                assert_eq!(
                    starts(&world, &shared.machine, id),
                    1,
                    "{case:?} {id}\n{}",
                    world.trace()
                );
            }
        }
    }
}

#[test]
fn the_tasks_on_a_shared_machine_run_on_when_its_owner_stood_still_past_its_lease() {
    // Guard: an owner that is back in the same process forgets where the other partition's job was placed on its
    // machines. It took the machine's next report for a second machine with the task, and stopped it.
    for node in 0..3 {
        let (mut world, shared) = with_shared_machine("standing", 600_000);
        world.freeze(node);
        world.run(33_000);
        world.thaw(node);
        world.run(40_000);
        sound(&world, node);
        let trace = world.trace();
        assert!(!trace.contains("is on a second machine"), "{node}\n{trace}");
        for id in [shared.tenant, LATER] {
            assert_eq!(
                world.machines_of(id),
                std::slice::from_ref(&shared.machine),
                "{node}\n{trace}"
            );
            assert_eq!(starts(&world, &shared.machine, id), 1, "{node} {id}\n{trace}");
        }
    }
}

#[test]
fn all_controllers_end_and_the_tasks_on_a_shared_machine_run_on() {
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    (0..3).for_each(|node| world.crash(node));
    world.run(2000);
    (0..3).for_each(|node| world.start(node));
    world.run(40_000);
    sound(&world, "all end");
    for id in [shared.tenant, LATER] {
        assert_eq!(starts(&world, &shared.machine, id), 1, "{id}\n{}", world.trace());
    }
}

#[test]
fn the_end_of_a_task_on_a_shared_machine_is_known_to_its_user_and_counts_once() {
    // Guard: the machine's owner neither calls the task done nor lets its worker forget the result; the job's
    // owner, or its successor, finds it there.
    for ends in [None, Some(300), Some(25_000)] {
        let (mut world, shared) = with_shared_machine("sweep", 60_000);
        if let Some(away_ms) = ends {
            // It ends while the task runs, and the next owner learns of what has ended meanwhile.
            let owner = world.owner_of_team(shared.tenant_team);
            world.run(5000);
            world.crash(owner);
            world.run(away_ms);
            world.start(owner);
        }
        let done = |w: &World| w.machines_of(shared.tenant).is_empty() && w.machines_of(LATER).is_empty();
        assert!(world.run_until(120_000, done), "{ends:?}\n{}", world.trace());
        world.run(10_000);
        for id in [shared.tenant, LATER] {
            let asked = world.poll(0, id);
            world.run(2000);
            assert_eq!(world.said(asked), "done", "{ends:?} {id}\n{}", world.trace());
            assert_eq!(
                starts(&world, &shared.machine, id),
                1,
                "{ends:?} {id}\n{}",
                world.trace()
            );
        }
        sound(&world, ends);
    }
}

#[test]
fn a_cancelled_job_on_a_shared_machine_is_gone_in_time_and_leaves_its_room() {
    for cancelled_is_tenant in [true, false] {
        for crash in [false, true] {
            let case = (cancelled_is_tenant, crash);
            let (mut world, shared) = with_shared_machine("standing", 600_000);
            let (id, team) = if cancelled_is_tenant {
                (shared.tenant, shared.tenant_team)
            } else {
                (LATER, 2)
            };
            let asked = world.withdraw(0, id);
            world.run(1000);
            assert_eq!(world.said(asked), "withdrawn", "{case:?}\n{}", world.trace());
            if crash {
                let owner = world.owner_of_team(team);
                world.crash(owner);
                world.run(300);
                world.start(owner);
            }
            world.run(CANCEL_MS);
            assert!(world.machines_of(id).is_empty(), "{case:?}\n{}", world.trace());
            world.accepted(0, &job(4, 2, "standing", 1));
            let used = world.run_until(90_000, |w| w.running("job-000004") == 1);
            assert!(used, "{case:?}\n{}", world.trace());
            sound(&world, case);
        }
    }
}

#[test]
fn a_hand_over_whose_answer_is_lost_or_that_is_carried_out_late_starts_nothing_twice() {
    // Guard: while the change of the roster is in doubt nothing is started on the machine by either.
    for fate in [
        Delivery::AnswerLost,
        Delivery::Late(4000),
        Delivery::Late(12_000),
        Delivery::Lost,
    ] {
        for crash in [false, true] {
            let case = (fate, crash);
            let mut world = with_two_machines(World::new(), "standing", 600_000);
            let until = world.now + 30_000;
            world.meddle(move |l| {
                let hand_over = l.what == "POST /txn" && l.body.contains("\"also\"");
                if hand_over && l.at < until {
                    fate
                } else {
                    Delivery::Pass
                }
            });
            world.accepted(0, &job(3, 2, "standing", 1));
            world.run(26_000);
            if crash {
                let owner = world.owner_of_team(1);
                world.crash(owner);
                world.run(300);
                world.start(owner);
            }
            let runs = world.run_until(90_000, |w| w.running(LATER) == 1);
            assert!(runs, "{case:?}\n{}", world.trace());
            world.run(30_000);
            for id in FIRST {
                assert_eq!(world.running(id), 1, "{case:?} {id}\n{}", world.trace());
            }
            sound(&world, case);
        }
    }
}

#[test]
fn a_shared_machine_that_is_mute_deaf_or_cut_off_breaks_no_rule() {
    // Guard: a task counts as gone only by a report that does not list it, or once the cloud has deleted the
    // machine; until then it is not started elsewhere.
    type Trouble = fn(&str) -> FaultInjector;
    let cut: Trouble = |machine| {
        let cut = machine.to_owned();
        Box::new(move |l| {
            let hit = l.from == cut || l.to == cut;
            if hit { Delivery::Lost } else { Delivery::Pass }
        })
    };
    let kinds: [(&str, Trouble); 3] = [("mute", faults::mute), ("deaf", faults::deaf), ("cut", cut)];
    for (name, trouble) in kinds {
        for crash in [None, Some(0), Some(1), Some(2)] {
            let case = (name, crash);
            let (mut world, shared) = with_shared_machine("standing", 600_000);
            world.cloud.most = 3;
            world.meddle(trouble(&shared.machine));
            world.run(4000);
            if let Some(node) = crash {
                world.crash(node);
                world.run(300);
                world.start(node);
            }
            world.run(60_000);
            world.calm();
            let all_run = |w: &World| [shared.tenant, LATER].iter().all(|id| w.running(id) == 1);
            assert!(world.run_until(90_000, all_run), "{case:?}\n{}", world.trace());
            sound(&world, case);
        }
    }
}

#[test]
fn a_controller_cut_off_from_a_shared_machine_counts_its_task_there() {
    // Guard: the job's owner does not reach the worker; that proves nothing.
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    world.cloud.most = 3;
    let owner = format!("berth-{}", world.owner_of_team(shared.tenant_team));
    let machine = shared.machine.clone();
    world.meddle(move |l| {
        let between = (l.from == owner && l.to == machine) || (l.from == machine && l.to == owner);
        if between { Delivery::Lost } else { Delivery::Pass }
    });
    world.run(60_000);
    assert_eq!(
        world.machines_of(shared.tenant),
        std::slice::from_ref(&shared.machine),
        "{}",
        world.trace()
    );
    assert_eq!(starts(&world, &shared.machine, shared.tenant), 1, "{}", world.trace());
    sound(&world, "cut between the job's owner and the machine");
}

#[test]
fn a_teams_limit_holds_over_machines_of_other_partitions() {
    // Guard: a task counts against its team's limit wherever it is, also after a change of owner, when the
    // machine has not been asked yet.
    for away_ms in [None, Some(300), Some(25_000)] {
        let (mut world, shared) = with_shared_machine("standing", 600_000);
        world.cloud.most = 8;
        // Four accelerators are the limit: three more fit beside the one on the shared machine.
        let mut more = job(4, shared.tenant_team as u32, "sweep", 6);
        more["precedence"] = json!("low");
        if let Some(ms) = away_ms {
            let owner = world.owner_of_team(shared.tenant_team);
            world.accepted((owner + 1) % 3, &more);
            world.crash(owner);
            world.run(ms);
            world.start(owner);
        } else {
            world.accepted(0, &more);
        }
        world.run(60_000);
        assert_eq!(world.running("job-000004"), 3, "{away_ms:?}\n{}", world.trace());
        sound(&world, away_ms);
    }
}

#[test]
fn a_machine_that_has_not_been_asked_counts_as_full_of_the_new_owners_teams() {
    // Guard: what is accepted after a change of owner starts at once, and the team's task on the other
    // partition's machine is not known yet.
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    world.cloud.most = 8;
    let node = world.owner_of_team(shared.tenant_team);
    let (owner, machine) = (format!("berth-{node}"), shared.machine.clone());
    world.crash(node);
    world.run(300);
    world.start(node);
    world.meddle(move |l| {
        let between = (l.from == owner && l.to == machine) || (l.from == machine && l.to == owner);
        if between { Delivery::Lost } else { Delivery::Pass }
    });
    world.run(3000);
    world.accepted(node, &job(4, shared.tenant_team as u32, "sweep", 6));
    world.run(30_000);
    assert_eq!(world.running("job-000004"), 2, "{}", world.trace());
    world.calm();
    world.run(10_000);
    assert_eq!(world.running("job-000004"), 3, "{}", world.trace());
    sound(&world, "not asked yet");
}

#[test]
fn a_machine_on_which_only_another_partitions_task_is_left_goes_back_to_it() {
    // Guard: else nobody could move that task and return the machine.
    let (mut world, shared) = with_shared_machine("standing", 600_000);
    let asked = world.withdraw(0, LATER);
    world.run(1000);
    assert_eq!(world.said(asked), "withdrawn");
    world.run(60_000);
    let back = format!(
        "{} goes to partition {}, whose tasks alone are on it",
        shared.machine, shared.tenant_team
    );
    assert!(world.trace().contains(&back), "{}", world.trace());
    let groups = world.store.keys("t/m/");
    let owned = groups
        .iter()
        .filter_map(|k| world.store.get(k))
        .filter(|r| r["part"] == shared.tenant_team);
    assert!(
        owned
            .clone()
            .any(|r| r["m"].get(&shared.machine).is_some() && r.get("also").is_none()),
        "{:?}\n{}",
        groups,
        world.trace()
    );
    assert_eq!(starts(&world, &shared.machine, shared.tenant), 1, "{}", world.trace());
    sound(&world, "returned");
}

#[test]
fn machines_stay_with_their_tasks_while_a_controller_is_of_a_version_that_does_not_know_it() {
    let before = Features {
        shared_machines: false,
        ..Features::default()
    };
    let mut world = World::new();
    world.crash(1);
    world.version(1, before);
    world.start(1);
    let mut world = with_two_machines(world, "standing", 600_000);
    world.accepted(0, &job(3, 2, "standing", 1));
    world.run(60_000);
    assert!(!world.trace().contains("goes to partition"), "{}", world.trace());
    assert!(!world.trace().contains(&format!("starts {LATER}")), "{}", world.trace());
    sound(&world, "beside the version before");
    // Once it is replaced, the room is used.
    world.crash(1);
    world.version(1, Features::default());
    world.start(1);
    let runs = world.run_until(90_000, |w| w.running(LATER) == 1);
    assert!(runs, "{}", world.trace());
    sound(&world, "after the upgrade");
}

#[test]
fn a_controller_of_the_version_before_owns_nothing_while_a_machine_is_shared() {
    // Guard: it would not know of its partition's task on another's machine, and start that again.
    for node in 0..3 {
        let (mut world, shared) = with_shared_machine("sweep", 90_000);
        // Its partition has room elsewhere, on which it could start the task at once.
        world.cloud.most = 4;
        world.accepted(0, &job(4, shared.tenant_team as u32, "standing", 1));
        let runs = world.run_until(30_000, |w| w.running("job-000004") == 1);
        assert!(runs, "{node}\n{}", world.trace());
        world.crash(node);
        let before = Features {
            shared_machines: false,
            ..Features::default()
        };
        world.version(node, before);
        world.run(300);
        world.start(node);
        world.run(5000);
        let done = |w: &World| w.roster().is_empty() || w.machines_of(shared.tenant).is_empty();
        assert!(world.run_until(120_000, done), "{node}\n{}", world.trace());
        world.run(30_000);
        sound(&world, node);
    }
}
