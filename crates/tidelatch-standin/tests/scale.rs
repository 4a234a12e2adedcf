//! Costs that grow with the numbers of machines, tasks and jobs, measured as counts of writes, calls and evaluations,
//! never as wall time.
//!
//! Guards against changes that make a controller's work per machine or task grow with the size of the deployment.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use tidelatch_core::settings::{Disruption, Operator};
use tidelatch_standin::{DeploymentSize, World, job};

/// Starts a deployment of six teams and up to 300 machines, with services and arrays of thousands of tasks that are
/// submitted at about the same time.
fn start_large_workload() -> World {
    let mut world = World::with_size(
        &Operator::default(),
        DeploymentSize {
            teams: 6,
            guaranteed_accelerators: 60.0,
            max_accelerators: 400.0,
            write_rps: 25.0,
            value_kb: 4.0,
            ..DeploymentSize::default()
        },
    );
    world.cloud.max_machines = 300;
    world.run_ms = 20_000;
    world.run_for(3000);
    let mut rejected = Vec::new();
    for i in 0..40 {
        let service = i % 4 == 0;
        let (shape, tasks) = if service { ("standing", 8) } else { ("sweep", 60) };
        let mut body: Value = job(i, i % 6, shape, tasks);
        body["precedence"] = if service { "prod" } else { "low" }.into();
        body["runtimeS"] = if service { 0.0 } else { 20.0 }.into();
        // The jobs arrive faster than the state service accepts writes. Rejected ones are submitted again.
        let request = world.submit(i as usize % 3, &body);
        world.run_for(40);
        if world.http_status(request) != 201 {
            rejected.push((i as usize % 3, body));
        }
    }
    for (controller, body) in rejected {
        world.submit_until_accepted(controller, &body);
    }
    world
}

/// Whether all arrays of the large workload are done.
fn all_done(world: &World) -> bool {
    (0..40).filter(|i| i % 4 != 0).all(|i| {
        world
            .store
            .get(&format!("t/j/job-{i:06}"))
            .is_some_and(|j| j["st"] == "done")
    })
}

/// Guards against writes, cloud calls, relays, commands, evaluations or values that grow faster than the numbers of
/// machines and tasks.
#[test]
fn hundreds_of_machines_and_thousands_of_tasks_cost_few_writes_and_evaluations() {
    let mut world = start_large_workload();
    let ready = world.run_until(45_000, |w| w.workers.len() >= 250);
    assert!(ready, "{} machines are up", world.workers.len());
    let machines = world.cloud.machines.len() as u64;
    // Machines that come up together share a write. A rental entry and a first report of each machine used to cost two
    // writes, and 200 machines used up a quarter of a minute's write budget.
    let sent_until_up = world.message_counts;
    assert!(
        sent_until_up.state_changes < machines,
        "{} changes for {machines} machines",
        sent_until_up.state_changes
    );
    assert!(
        sent_until_up.cloud_calls < 120,
        "{} cloud calls",
        sent_until_up.cloud_calls
    );
    assert!(world.run_until(240_000, all_done), "{}", world.trace());
    let sent = world.message_counts;
    let tasks: u64 = 10 * 8 + 30 * 60;
    // Writes for acceptances, ends and bitmaps of jobs, and for machines that are rented and returned.
    assert!(
        sent.state_changes < 3 * machines + 10 * 40,
        "{} changes for {tasks} tasks on {machines} machines",
        sent.state_changes
    );
    // Workers learn the owner of their partition and report to it, so that few reports are relayed.
    assert!(
        sent.relayed_reports * 20 < sent.reports,
        "{} of {} reports passed on",
        sent.relayed_reports,
        sent.reports
    );
    assert!(
        sent.commands < 3 * tasks,
        "{} commands for {tasks} tasks",
        sent.commands
    );
    // Machines without room for any waiting task are not evaluated.
    let evaluations_per_task = world.machine_evaluations() / tasks;
    assert!(
        evaluations_per_task < 4 * machines,
        "{evaluations_per_task} evaluations of machines for each task"
    );
    let largest = world
        .store
        .keys("t/")
        .iter()
        .map(|k| world.store.get(k).map_or(0, |v| v.to_string().len()))
        .max();
    assert!(largest < Some(4096), "{largest:?} bytes in one value");
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Guards against a takeover that polls machines one after the other, opens too many sockets or waits for machines that
/// are still booting: machines are polled directly and all at once, within the limit of sockets.
#[test]
fn a_takeover_of_hundreds_of_machines_takes_seconds() {
    let mut world = start_large_workload();
    assert!(world.run_until(45_000, |w| w.workers.len() >= 200), "{}", world.trace());
    let owner = world.owner_of_team(0);
    world.crash_controller(owner);
    world.run_for(12_000);
    let lines = world.trace().matches("every machine is accounted for").count();
    assert!(lines >= 4, "{}", world.trace());
    world.start_controller(owner);
    assert!(world.run_until(240_000, all_done), "{}", world.trace());
    let services: usize = (0..40)
        .step_by(4)
        .map(|i| world.running_tasks(&format!("job-{i:06}")))
        .sum();
    assert_eq!(services, 80);
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Returns the evaluations within 20 s, for each waiting service and each machine, in a deployment full of replicas.
/// Moving any of them could make room in its zone, but none finds room in the other zone.
fn evaluations_of_waiting_replicas(machines: u32) -> f64 {
    let mut world = World::with_size(
        &Operator::default(),
        DeploymentSize {
            teams: 3,
            guaranteed_accelerators: 1000.0,
            max_accelerators: 5000.0,
            write_rps: 200.0,
            value_kb: 4.0,
            ..DeploymentSize::default()
        },
    );
    world.cloud.max_machines = machines as usize;
    world.run_for(3000);
    let (running_jobs, waiting_jobs) = (machines / 4, machines / 16);
    for i in 0..running_jobs {
        world.submit_until_accepted(i as usize % 3, &job(i, i % 3, "standing", 8));
    }
    // Replicas are moved only after they have run for longer than a worker's lease.
    world.run_for(60_000);
    for i in running_jobs..running_jobs + waiting_jobs {
        let mut body = job(i, i % 3, "standing", 8);
        body["spread"] = true.into();
        world.submit_until_accepted(i as usize % 3, &body);
    }
    let before = world.machine_evaluations();
    world.run_for(20_000);
    let incomplete =
        (running_jobs..running_jobs + waiting_jobs).filter(|i| world.running_tasks(&format!("job-{i:06}")) < 8);
    assert!(incomplete.count() as u32 * 2 > waiting_jobs, "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
    (world.machine_evaluations() - before) as f64 / f64::from(waiting_jobs * machines)
}

/// Guards against a search that takes longer than a lease: a controller of 700 machines once evaluated, for each
/// waiting replica and each replica that could make room for it, every machine to which the latter could move.
#[test]
fn waiting_replicas_cost_no_more_evaluations_per_machine_in_a_larger_deployment() {
    let (small, large) = (
        evaluations_of_waiting_replicas(64),
        evaluations_of_waiting_replicas(256),
    );
    assert!(large < 2.0 * small, "{small} and {large} evaluations");
}

/// Guards against seconds of CPU time in one batch. Of the tasks on a machine that would lose the same, those whose
/// budget permits it are stopped first. The running units of all jobs that share the budget were counted anew for each
/// comparison, on each machine and for each replica that found no room.
#[test]
fn preempting_replicas_cause_few_counts_of_the_units_of_a_budget() {
    let operator = Operator {
        disruption: Some(Disruption::default()),
        ..Operator::default()
    };
    let size = DeploymentSize {
        guaranteed_accelerators: 0.0,
        max_accelerators: 1000.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&operator, size);
    let machines = 24;
    world.cloud.max_machines = machines;
    world.run_ms = 600_000;
    world.run_for(3000);
    // The arrays fill all machines.
    for i in 0..4 {
        world.submit_until_accepted(0, &job(i, 0, "sweep", 40));
    }
    world.run_for(60_000);
    let before = world.budget_counts();
    let replicas = 8;
    world.submit_until_accepted(0, &job(10, 0, "standing", replicas));
    let all_run = world.run_until(30_000, |w| w.running_tasks("job-000010") == replicas as usize);
    assert!(all_run, "{}", world.trace());
    assert!(world.trace().contains("to make room"), "{}", world.trace());
    let counts = world.budget_counts() - before;
    assert!(counts < machines as u64, "{counts} counts for {replicas} replicas");
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Costs of a fleet, as counts. All but `cloud_calls_to_rent` and `largest_value`, which is in bytes, are ratios per
/// machine or per report.
#[derive(Debug)]
struct FleetCosts {
    changes_to_rent: f64,
    cloud_calls_to_rent: u64,
    changes_to_recover: f64,
    evaluations_to_recover: f64,
    relays_per_report: f64,
    largest_value: usize,
}

/// Lets time pass in steps of 500 ms until a condition is met, because each check looks at all machines.
fn run_until_in_half_seconds(world: &mut World, seconds: u32, condition: impl Fn(&World) -> bool) -> bool {
    (0..seconds * 2).any(|_| {
        world.run_for(500);
        condition(world)
    })
}

/// Submits services that fill a fleet, waits until all their replicas run, for at most `seconds`, and returns a
/// function that checks this.
fn rent_fleet(world: &mut World, machines: u32, seconds: u32) -> impl Fn(&World) -> bool + Copy + use<> {
    const REPLICAS_PER_JOB: u32 = 100;
    // The cloud has as many machines again as replacements of lost or drained ones.
    world.cloud.max_machines = 2 * machines as usize;
    world.run_for(3000);
    let jobs = machines * 2 / REPLICAS_PER_JOB;
    for i in 0..jobs {
        let body = job(i, i % 6, "standing", REPLICAS_PER_JOB);
        world.submit_until_accepted(i as usize % 3, &body);
    }
    let replicas = (jobs * REPLICAS_PER_JOB) as usize;
    let all_run = move |w: &World| {
        (0..jobs)
            .map(|i| w.running_tasks(&format!("job-{i:06}")))
            .sum::<usize>()
            == replicas
    };
    assert!(
        run_until_in_half_seconds(world, seconds, all_run),
        "{} machines up",
        world.workers.len()
    );
    all_run
}

/// Rents a fleet for services that fill it, crashes the owner of a partition, and then loses a third of the machines.
fn measure_fleet(machines: u32) -> FleetCosts {
    let mut world = World::with_size(
        &Operator::default(),
        DeploymentSize {
            teams: 6,
            guaranteed_accelerators: f64::from(machines),
            max_accelerators: 2.0 * f64::from(machines),
            write_rps: 120.0,
            ..DeploymentSize::default()
        },
    );
    let all_run = rent_fleet(&mut world, machines, 600);
    let per_machine = |count: u64| count as f64 / f64::from(machines);
    let changes_to_rent = per_machine(world.message_counts.state_changes);
    let cloud_calls_to_rent = world.message_counts.cloud_calls;

    // A takeover while the partition's machines are in use.
    let before = world.trace().matches("every machine is accounted for").count();
    world.crash_controller(world.owner_of_team(0));
    let is_accounted_for = |w: &World| w.trace().matches("every machine is accounted for").count() > before;
    assert!(
        run_until_in_half_seconds(&mut world, 20, is_accounted_for),
        "the takeover does not end"
    );

    // A third of the machines is lost at once.
    let (changes, evaluations) = (world.message_counts.state_changes, world.machine_evaluations());
    let lost: Vec<String> = world.workers.keys().step_by(3).cloned().collect();
    for name in &lost {
        world.workers.remove(name);
        world.cloud.machines.remove(name);
    }
    world.run_for(1);
    assert!(
        run_until_in_half_seconds(&mut world, 600, all_run),
        "replicas are missing"
    );
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
    let keys = world.store.keys("t/");
    let sizes = keys.iter().filter_map(|key| world.store.get(key));
    FleetCosts {
        changes_to_rent,
        cloud_calls_to_rent,
        changes_to_recover: (world.message_counts.state_changes - changes) as f64 / lost.len() as f64,
        evaluations_to_recover: (world.machine_evaluations() - evaluations) as f64
            / lost.len() as f64
            / f64::from(machines),
        relays_per_report: world.message_counts.relayed_reports as f64 / world.message_counts.reports as f64,
        largest_value: sizes.map(|value| value.to_string().len()).max().unwrap_or(0),
    }
}

/// Guards against costs of renting, takeover and recovery that grow with the size of the fleet.
#[test]
fn the_costs_per_machine_do_not_grow_up_to_four_thousand_machines() {
    for machines in [600, 4_000] {
        let costs = measure_fleet(machines);
        println!("{machines} machines: {costs:?}");
        // What a machine costs does not grow with the fleet. One evaluation of each machine for each lost replica is
        // the search itself, and a machine has two replicas.
        assert!(costs.changes_to_rent < 0.25, "{costs:?}");
        assert!(costs.cloud_calls_to_rent < 20 + u64::from(machines) / 25, "{costs:?}");
        assert!(costs.changes_to_recover < 0.6, "{costs:?}");
        assert!(costs.evaluations_to_recover < 4.0, "{costs:?}");
        assert!(costs.relays_per_report < 0.05, "{costs:?}");
        assert!(costs.largest_value < 8 * 1024, "{costs:?}");
    }
}

/// Costs of a drain, as counts per drained machine and as bytes of its records.
#[derive(Debug)]
struct DrainCosts {
    drained: usize,
    changes: f64,
    evaluations: f64,
    stored_bytes: usize,
    largest_value: usize,
}

/// Runs a fleet with a service of 100 replicas for each 50 machines, and drains up to 32 machines at a time for 40 s.
fn measure_drain(machines: u32) -> DrainCosts {
    let drain = json!({ "name": "all", "surge": 32, "max_machines": 32, "delay_s": 100.0 });
    let settings = json!({ "disruption": { "drains": [drain] } });
    let operator: Operator = serde_json::from_value(settings).expect("the settings are valid");
    let size = DeploymentSize {
        teams: 6,
        guaranteed_accelerators: f64::from(machines),
        max_accelerators: 2.0 * f64::from(machines),
        write_rps: 120.0,
        value_kb: 2.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&operator, size);
    let all_run = rent_fleet(&mut world, machines, 95);
    let before: BTreeSet<String> = world.roster().into_iter().collect();
    world.run_for(100_000 - world.now);
    assert!(all_run(&world), "replicas are missing before the drain");
    let (changes, evaluations) = (world.message_counts.state_changes, world.machine_evaluations());
    world.run_for(40_000);
    let after: BTreeSet<String> = world.roster().into_iter().collect();
    let drained = before.difference(&after).count();
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
    let keys = world.store.keys("t/d/");
    let sizes: Vec<usize> = keys
        .iter()
        .filter_map(|key| Some(world.store.get(key)?.to_string().len()))
        .collect();
    DrainCosts {
        drained,
        changes: (world.message_counts.state_changes - changes) as f64 / drained as f64,
        evaluations: (world.machine_evaluations() - evaluations) as f64 / drained as f64 / f64::from(machines),
        stored_bytes: sizes.iter().sum(),
        largest_value: sizes.into_iter().max().unwrap_or(0),
    }
}

/// Guards against records, writes and evaluations of a drain that grow with the size of the fleet.
#[test]
fn the_costs_of_a_drain_per_machine_do_not_grow_up_to_four_thousand_machines() {
    for machines in [600, 4_000] {
        let costs = measure_drain(machines);
        println!("{machines} machines: {costs:?}");
        assert!(costs.drained >= 10, "{costs:?}");
        // Writes for each drained machine: the record of the drain, the machine's removal, and the rental and first
        // report of replacements, of which more are under way than machines are done.
        assert!(costs.changes < 6.0, "{costs:?}");
        assert!(costs.evaluations < 20.0, "{costs:?}");
        assert!(costs.stored_bytes < 3 * 1024, "{costs:?}");
        assert!(costs.largest_value < 2 * 1024, "{costs:?}");
    }
}
