//! What grows with machines, tasks and jobs, as counts: never wall time.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use tidelatch_core::settings::{Disruption, Operator};
use tidelatch_standin::{Size, World, job};

/// Six teams, hundreds of machines, thousands of tasks: services and arrays that arrive together.
fn a_large_day() -> World {
    let mut world = World::sized(
        &Operator::default(),
        Size {
            teams: 6,
            guarantee: 60.0,
            limit: 400.0,
            write_rps: 25.0,
            value_kb: 4.0,
            ..Size::default()
        },
    );
    world.cloud.most = 300;
    world.run_ms = 20_000;
    world.run(3000);
    let mut put_off = Vec::new();
    for i in 0..40 {
        let service = i % 4 == 0;
        let (shape, tasks) = if service { ("standing", 8) } else { ("sweep", 60) };
        let mut body: Value = job(i, i % 6, shape, tasks);
        body["precedence"] = if service { "prod" } else { "low" }.into();
        body["runtimeS"] = if service { 0.0 } else { 20.0 }.into();
        // They come faster than the state service takes changes; who is put off comes back.
        let asked = world.submit(i as usize % 3, &body);
        world.run(40);
        if world.status(asked) != 201 {
            put_off.push((i as usize % 3, body));
        }
    }
    for (node, body) in put_off {
        world.accepted(node, &body);
    }
    world
}

fn all_done(world: &World) -> bool {
    (0..40).filter(|i| i % 4 != 0).all(|i| {
        world
            .store
            .get(&format!("t/j/job-{i:06}"))
            .is_some_and(|j| j["st"] == "done")
    })
}

#[test]
fn hundreds_of_machines_and_thousands_of_tasks_cost_few_changes_and_evaluations() {
    let mut world = a_large_day();
    let ready = world.run_until(45_000, |w| w.workers.len() >= 250);
    assert!(ready, "{} machines are up", world.workers.len());
    let machines = world.cloud.machines.len() as u64;
    // Guard: machines that come up together share a change. A rental entry and a first report of each
    // used to cost two, and a quarter of a minute's budget went on 200 machines.
    let up = world.sent;
    assert!(up.changes < machines, "{} changes for {machines} machines", up.changes);
    assert!(up.cloud_calls < 120, "{} cloud calls", up.cloud_calls);
    assert!(world.run_until(240_000, all_done), "{}", world.trace());
    let sent = world.sent;
    let tasks: u64 = 10 * 8 + 30 * 60;
    // Acceptances, ends, bitmaps, and machines that come and go.
    assert!(
        sent.changes < 3 * machines + 10 * 40,
        "{} changes for {tasks} tasks on {machines} machines",
        sent.changes
    );
    // Guard: a report goes to its owner; it is not passed on for ever.
    assert!(
        sent.relays * 20 < sent.beats,
        "{} of {} reports passed on",
        sent.relays,
        sent.beats
    );
    assert!(
        sent.commands < 3 * tasks,
        "{} commands for {tasks} tasks",
        sent.commands
    );
    // Guard: machines without room for anything that waits are not looked at.
    let each = world.evaluations() / tasks;
    assert!(each < 4 * machines, "{each} looks at a machine for each task");
    let largest = world
        .store
        .keys("t/")
        .iter()
        .map(|k| world.store.get(k).map_or(0, |v| v.to_string().len()))
        .max();
    assert!(largest < Some(4096), "{largest:?} bytes in one value");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_take_over_of_hundreds_of_machines_is_accounted_for_in_seconds() {
    // Guard: machines are asked directly and all at once, within the sockets; those that are still
    // booting hold nobody up.
    let mut world = a_large_day();
    assert!(world.run_until(45_000, |w| w.workers.len() >= 200), "{}", world.trace());
    let owner = world.owner_of_team(0);
    world.crash(owner);
    world.run(12_000);
    let lines = world.trace().matches("every machine is accounted for").count();
    assert!(lines >= 4, "{}", world.trace());
    world.start(owner);
    assert!(world.run_until(240_000, all_done), "{}", world.trace());
    let services: usize = (0..40).step_by(4).map(|i| world.running(&format!("job-{i:06}"))).sum();
    assert_eq!(services, 80);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// Looks at machines within 20 s, for each service that waits and each machine, in a deployment that is full
/// of replicas: any of them might make room in its zone, and none finds any in the other.
fn looks_for_what_is_stuck(machines: u32) -> f64 {
    let mut world = World::sized(
        &Operator::default(),
        Size {
            teams: 3,
            guarantee: 1000.0,
            limit: 5000.0,
            write_rps: 200.0,
            value_kb: 4.0,
            ..Size::default()
        },
    );
    world.cloud.most = machines as usize;
    world.run(3000);
    let (full, stuck) = (machines / 4, machines / 16);
    for i in 0..full {
        world.accepted(i as usize % 3, &job(i, i % 3, "standing", 8));
    }
    // Until all have run for longer than a worker's lease: before that none is moved.
    world.run(60_000);
    for i in full..full + stuck {
        let mut body = job(i, i % 3, "standing", 8);
        body["spread"] = true.into();
        world.accepted(i as usize % 3, &body);
    }
    let before = world.evaluations();
    world.run(20_000);
    let waiting = (full..full + stuck).filter(|i| world.running(&format!("job-{i:06}")) < 8);
    assert!(waiting.count() as u32 * 2 > stuck, "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    (world.evaluations() - before) as f64 / f64::from(stuck * machines)
}

#[test]
fn what_is_stuck_costs_no_more_for_each_machine_in_a_larger_deployment() {
    // Guard: a controller of 700 machines once asked, for each replica that waited and each that might make
    // room for it, every machine that this one might go to. That took longer than its lease.
    let (small, large) = (looks_for_what_is_stuck(64), looks_for_what_is_stuck(256));
    assert!(large < 2.0 * small, "{small} and {large} looks");
}

#[test]
fn replicas_that_preempt_cost_few_counts_of_what_shares_a_budget() {
    // Guard: of tasks on a machine that would lose the same, those whose budget permits it are stopped first. What
    // runs of all jobs that share the budget was counted anew for each comparison, on each machine and for each
    // replica that found no room: seconds of a controller's processor in one batch.
    let operator = Operator {
        disruption: Some(Disruption::default()),
        ..Operator::default()
    };
    let size = Size {
        guarantee: 0.0,
        limit: 1000.0,
        ..Size::default()
    };
    let mut world = World::sized(&operator, size);
    let machines = 24;
    world.cloud.most = machines;
    world.run_ms = 600_000;
    world.run(3000);
    // They fill all machines.
    for i in 0..4 {
        world.accepted(0, &job(i, 0, "sweep", 40));
    }
    world.run(60_000);
    let before = world.census_count();
    let replicas = 8;
    world.accepted(0, &job(10, 0, "standing", replicas));
    let up = world.run_until(30_000, |w| w.running("job-000010") == replicas as usize);
    assert!(up, "{}", world.trace());
    assert!(world.trace().contains("to make room"), "{}", world.trace());
    let censuses = world.census_count() - before;
    assert!(censuses < machines as u64, "{censuses} counts for {replicas} replicas");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// What a fleet of some size has cost, in counts.
#[derive(Debug)]
struct FleetCosts {
    changes_to_rent: f64,
    cloud_calls_to_rent: u64,
    changes_to_recover: f64,
    looks_to_recover: f64,
    relays_per_report: f64,
    largest_value: usize,
}

/// Lets time pass in long steps until something holds: each step looks at all machines.
fn run_in_steps(world: &mut World, seconds: u32, holds: impl Fn(&World) -> bool) -> bool {
    (0..seconds * 2).any(|_| {
        world.run(500);
        holds(world)
    })
}

/// Rents a fleet for services that fill it, within some seconds, and returns whether all of their replicas run.
fn rent_fleet(world: &mut World, machines: u32, seconds: u32) -> impl Fn(&World) -> bool + Copy + use<> {
    const REPLICAS_PER_JOB: u32 = 100;
    // As many again are there to be rented in the place of those that are lost or drained.
    world.cloud.most = 2 * machines as usize;
    world.run(3000);
    let jobs = machines * 2 / REPLICAS_PER_JOB;
    for i in 0..jobs {
        let body = job(i, i % 6, "standing", REPLICAS_PER_JOB);
        world.accepted(i as usize % 3, &body);
    }
    let replicas = (jobs * REPLICAS_PER_JOB) as usize;
    let all_run = move |w: &World| (0..jobs).map(|i| w.running(&format!("job-{i:06}"))).sum::<usize>() == replicas;
    assert!(
        run_in_steps(world, seconds, all_run),
        "{} machines up",
        world.workers.len()
    );
    all_run
}

/// Rents a fleet for services that fill it, lets the owner of a partition end, and then a third of the machines.
fn play_fleet(machines: u32) -> FleetCosts {
    let mut world = World::sized(
        &Operator::default(),
        Size {
            teams: 6,
            guarantee: f64::from(machines),
            limit: 2.0 * f64::from(machines),
            write_rps: 120.0,
            ..Size::default()
        },
    );
    let all_run = rent_fleet(&mut world, machines, 600);
    let per_machine = |count: u64| count as f64 / f64::from(machines);
    let changes_to_rent = per_machine(world.sent.changes);
    let cloud_calls_to_rent = world.sent.cloud_calls;

    // A take-over, with the partition's machines in use.
    let before = world.trace().matches("every machine is accounted for").count();
    world.crash(world.owner_of_team(0));
    let accounted = |w: &World| w.trace().matches("every machine is accounted for").count() > before;
    assert!(run_in_steps(&mut world, 20, accounted), "the take-over hangs");

    // A third of the machines is gone from one moment to the next.
    let (changes, looks) = (world.sent.changes, world.evaluations());
    let lost: Vec<String> = world.workers.keys().step_by(3).cloned().collect();
    for name in &lost {
        world.workers.remove(name);
        world.cloud.machines.remove(name);
    }
    world.run(1);
    assert!(run_in_steps(&mut world, 600, all_run), "replicas are missing");
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let keys = world.store.keys("t/");
    let sizes = keys.iter().filter_map(|key| world.store.get(key));
    FleetCosts {
        changes_to_rent,
        cloud_calls_to_rent,
        changes_to_recover: (world.sent.changes - changes) as f64 / lost.len() as f64,
        looks_to_recover: (world.evaluations() - looks) as f64 / lost.len() as f64 / f64::from(machines),
        relays_per_report: world.sent.relays as f64 / world.sent.beats as f64,
        largest_value: sizes.map(|value| value.to_string().len()).max().unwrap_or(0),
    }
}

#[test]
fn a_fleet_of_four_thousand_machines_costs_no_more_for_each_than_a_small_one() {
    for machines in [600, 4_000] {
        let costs = play_fleet(machines);
        println!("{machines} machines: {costs:?}");
        // Guard: what a machine costs does not grow with the fleet. A look at each machine for each lost replica is
        // the search itself; there are two replicas to a machine.
        assert!(costs.changes_to_rent < 0.25, "{costs:?}");
        assert!(costs.cloud_calls_to_rent < 20 + u64::from(machines) / 25, "{costs:?}");
        assert!(costs.changes_to_recover < 0.6, "{costs:?}");
        assert!(costs.looks_to_recover < 4.0, "{costs:?}");
        assert!(costs.relays_per_report < 0.05, "{costs:?}");
        assert!(costs.largest_value < 8 * 1024, "{costs:?}");
    }
}

/// What a drain of some machines of a fleet has cost, in counts.
#[derive(Debug)]
struct DrainCosts {
    drained: usize,
    changes: f64,
    looks: f64,
    stored_bytes: usize,
    largest_value: usize,
}

/// A fleet with a service of 100 replicas for each 50 machines, of which 32 at a time are drained for 40 s.
fn play_drain(machines: u32) -> DrainCosts {
    let drain = json!({ "name": "all", "surge": 32, "max_machines": 32, "delay_s": 100.0 });
    let settings = json!({ "disruption": { "drains": [drain] } });
    let operator: Operator = serde_json::from_value(settings).expect("in form");
    let size = Size {
        teams: 6,
        guarantee: f64::from(machines),
        limit: 2.0 * f64::from(machines),
        write_rps: 120.0,
        value_kb: 2.0,
        ..Size::default()
    };
    let mut world = World::sized(&operator, size);
    let all_run = rent_fleet(&mut world, machines, 95);
    let before: BTreeSet<String> = world.roster().into_iter().collect();
    world.run(100_000 - world.now);
    assert!(all_run(&world), "replicas are missing before the drain");
    let (changes, looks) = (world.sent.changes, world.evaluations());
    world.run(40_000);
    let after: BTreeSet<String> = world.roster().into_iter().collect();
    let drained = before.difference(&after).count();
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    let keys = world.store.keys("t/d/");
    let sizes: Vec<usize> = keys
        .iter()
        .filter_map(|key| Some(world.store.get(key)?.to_string().len()))
        .collect();
    DrainCosts {
        drained,
        changes: (world.sent.changes - changes) as f64 / drained as f64,
        looks: (world.evaluations() - looks) as f64 / drained as f64 / f64::from(machines),
        stored_bytes: sizes.iter().sum(),
        largest_value: sizes.into_iter().max().unwrap_or(0),
    }
}

#[test]
fn a_drain_of_four_thousand_machines_stores_little_and_costs_no_more_for_each_than_a_small_one() {
    for machines in [600, 4_000] {
        let costs = play_drain(machines);
        println!("{machines} machines: {costs:?}");
        assert!(costs.drained >= 10, "{costs:?}");
        // Guard: a head for each machine that is done; its leaving, and the renting and coming up of replacements, of which
        // more are under way than machines are done.
        assert!(costs.changes < 6.0, "{costs:?}");
        assert!(costs.looks < 20.0, "{costs:?}");
        assert!(costs.stored_bytes < 3 * 1024, "{costs:?}");
        assert!(costs.largest_value < 2 * 1024, "{costs:?}");
    }
}
