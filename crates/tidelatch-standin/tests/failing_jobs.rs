//! Jobs that were submitted with a mistake and fail on every machine, beside machines that fail every job.

use serde_json::{Value, json};
use tidelatch_core::settings::Operator;
use tidelatch_standin::{Size, World, job};

const BROKEN: &str = "job-000001";
const TEAM_LIMIT: f64 = 24.0;
const FAULTY: &str = "not used any more";

fn sound(world: &World) {
    assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.trace());
}

/// A world whose teams may use all of its machines.
fn world() -> World {
    let size = Size {
        guarantee: TEAM_LIMIT / 2.0,
        limit: TEAM_LIMIT,
        ..Size::default()
    };
    // Machines boot in seconds here: without that, idle ones would be returned before they are judged.
    let operator = Operator {
        idle_per_boot: 40.0,
        ..Operator::default()
    };
    let mut world = World::sized(&operator, size);
    world.run(3000);
    world
}

/// An array whose tasks fail on every machine.
fn broken(id: u32, tasks: u32) -> Value {
    let mut body = job(id, 0, "sweep", tasks);
    body["broken"] = json!(true);
    body
}

fn is_done(world: &World, id: &str) -> bool {
    let record = world.store.get(&format!("t/j/{id}"));
    record.is_some_and(|j| j["st"] == "done")
}

fn starts(trace: &str, id: &str) -> usize {
    trace.matches(&format!("starts {id}/")).count()
}

#[test]
fn a_broken_array_beside_a_sick_machine_is_told_from_it() {
    // Guard: evidence over several machines and jobs (`failures`). The machine is returned; the job is
    // retried ever more rarely, one task at a time; the other machines and jobs go on.
    let mut world = world();
    // As many machines as the team may fill: without the sick one its work would have to wait.
    world.cloud.most = 12;
    for id in [2, 3] {
        world.accepted(0, &job(id, 0, "sweep", 60));
    }
    let running = |w: &World| w.running("job-000002") + w.running("job-000003") >= 12;
    assert!(world.run_until(30_000, running), "{}", world.trace());
    let sick = world.machines_of("job-000002").first().cloned().expect("it runs");
    if let Some(w) = world.workers.get_mut(&sick) {
        w.sick = true;
    }
    world.accepted(1, &broken(1, 60));
    let done = |w: &World| is_done(w, "job-000002") && is_done(w, "job-000003");
    assert!(world.run_until(120_000, done), "{}", world.trace());
    assert!(
        world.run_until(10_000, |w| w.cloud.deleted.contains(&sick)),
        "{}",
        world.trace()
    );
    // All other machines are free for it now, and it is suspected soon.
    world.run(30_000);
    let from = world.trace().len();
    for id in 4..8 {
        world.accepted(2, &job(id, 0, "sweep", 6));
        let key = format!("job-{id:06}");
        assert!(world.run_until(40_000, |w| is_done(w, &key)), "{}", world.trace());
        assert!(world.running(BROKEN) <= 1, "{}", world.trace());
    }
    let passed_s = 30;
    world.run(passed_s * 1000);
    let later = starts(&world.trace()[from..], BROKEN);
    assert!((1..=6).contains(&later), "{later} starts\n{}", world.trace());
    // One machine is at fault, and no other.
    let faulty: Vec<&str> = world.trace().lines().filter(|l| l.contains(FAULTY)).collect();
    assert!(
        faulty.len() == 1 && faulty[0].contains(&sick),
        "{faulty:?}\n{}",
        world.trace()
    );
    // The job stays known until it is cancelled, and then it remains so.
    let asked = world.poll(0, BROKEN);
    world.run(1000);
    assert!(
        matches!(world.said(asked).as_str(), "queued" | "running"),
        "{}",
        world.trace()
    );
    let asked = world.withdraw(1, BROKEN);
    world.run(3000);
    assert_eq!(world.said(asked), "withdrawn", "{}", world.trace());
    sound(&world);
}

#[test]
fn two_broken_jobs_that_share_each_machine_condemn_none() {
    // Guard: only jobs that succeed elsewhere speak against a machine, however long others take to fail.
    let mut world = world();
    world.accepted(0, &job(3, 0, "sweep", 12));
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000003")),
        "{}",
        world.trace()
    );
    for id in [1, 2] {
        world.accepted(0, &broken(id, 1));
    }
    world.run(60_000);
    assert!(!world.trace().contains(FAULTY), "{}", world.trace());
    world.accepted(0, &job(4, 0, "sweep", 12));
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000004")),
        "{}",
        world.trace()
    );
    sound(&world);
}

#[test]
fn two_broken_arrays_condemn_no_machine_that_they_share() {
    // Guard: jobs that succeed nowhere say nothing of a machine (`detect_faulty_machines`).
    let mut world = world();
    world.accepted(0, &broken(1, 30));
    world.accepted(0, &broken(2, 30));
    world.run(40_000);
    world.accepted(0, &job(3, 0, "sweep", 12));
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000003")),
        "{}",
        world.trace()
    );
    assert!(!world.trace().contains(FAULTY), "{}", world.trace());
    sound(&world);
}

#[test]
fn an_array_that_fails_on_many_sick_machines_is_not_held_back() {
    // Guard: a job that has succeeded anywhere has no mistake, on however many machines it fails.
    let mut world = world();
    world.accepted(0, &job(2, 0, "sweep", 60));
    assert!(
        world.run_until(40_000, |w| w.running("job-000002") >= 16),
        "{}",
        world.trace()
    );
    // Some are done by then.
    world.run(world.run_ms + 3000);
    let machines = world.machines_of("job-000002");
    for id in machines.iter().take(4) {
        if let Some(w) = world.workers.get_mut(id) {
            w.sick = true;
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
    sound(&world);
}

#[test]
fn a_small_job_that_fails_on_sick_machines_is_retried_on_others() {
    // Guard: a job of one task that fails on three sick machines looks like one with a mistake, and its few
    // retries must not go back to those (`failed_machine_indices`).
    let mut world = world();
    world.cloud.most = 8;
    world.accepted(0, &job(2, 0, "sweep", 16));
    let machines = |w: &World| w.machines_of("job-000002");
    assert!(world.run_until(40_000, |w| machines(w).len() == 8), "{}", world.trace());
    let all = machines(&world);
    assert!(
        world.run_until(40_000, |w| is_done(w, "job-000002")),
        "{}",
        world.trace()
    );
    // Whichever four of them the first tries go to.
    for sick in [[0, 1, 2, 3], [4, 5, 6, 7], [0, 2, 4, 6], [1, 3, 5, 7]] {
        for (at, name) in all.iter().enumerate() {
            if let Some(worker) = world.workers.get_mut(name) {
                worker.sick = sick.contains(&at);
            }
        }
        let id = 10 + sick[0] * 10 + sick[1];
        world.accepted(0, &job(id as u32, 0, "sweep", 1));
        let key = format!("job-{id:06}");
        assert!(
            world.run_until(60_000, |w| is_done(w, &key)),
            "{sick:?}\n{}",
            world.trace()
        );
    }
    sound(&world);
}
