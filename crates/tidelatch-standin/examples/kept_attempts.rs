//! Measures what it costs that machines keep listing attempts which direct commands have started, and what a newer epoch
//! does about it.
//!
//!     cargo run --release -p tidelatch-standin --example kept_attempts [MACHINES]
//!
//! Arrays of short tasks fill a fleet of 4,000 machines, or of as many as are given, for some minutes. Prints a line for
//! each half minute; all times are simulated.

use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use tidelatch_core::settings::Operator;
use tidelatch_standin::{Delivery, DeploymentSize, World, job};

/// Number of machines of the fleet, if none is given.
const DEFAULT_MACHINES: u32 = 4000;
/// Milliseconds that each task runs.
const RUN_MS: u64 = 20_000;
/// Milliseconds of each line of the output.
const INTERVAL_MS: u64 = 30_000;
/// Number of lines.
const INTERVALS: usize = 14;
/// Number of teams.
const TEAMS: u32 = 6;

/// What was sent in one interval.
#[derive(Debug, Default)]
struct Traffic {
    reports: usize,
    report_bytes: usize,
    largest_report: usize,
    direct_starts: usize,
    transactions: usize,
}

/// Starts a deployment in which arrays have more tasks than the fleet can run at a time.
fn start_fleet(machines: u32) -> World {
    let size = DeploymentSize {
        teams: TEAMS,
        guaranteed_accelerators: f64::from(machines),
        max_accelerators: 2.0 * f64::from(machines),
        write_rps: 120.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&Operator::default(), size);
    world.cloud.max_machines = machines as usize;
    world.run_ms = RUN_MS;
    world.has_uneven_run_times = true;
    world.run_for(3000);
    for team in 0..TEAMS {
        for array in 0..4 {
            let mut body = job(team * 100 + array, team, "sweep", machines * 10 / TEAMS);
            body["runtimeS"] = json!(RUN_MS as f64 / 1000.0);
            world.submit_until_accepted(team as usize % 3, &body);
        }
    }
    world
}

fn main() {
    let machines = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let machines = machines.unwrap_or(DEFAULT_MACHINES);
    let mut world = start_fleet(machines);
    let traffic = Rc::new(RefCell::new(Traffic::default()));
    let seen = traffic.clone();
    world.set_fault_injector(move |message| {
        let mut traffic = seen.borrow_mut();
        match message.request {
            "POST /agent/beat" => {
                traffic.reports += 1;
                traffic.report_bytes += message.body.len();
                traffic.largest_report = traffic.largest_report.max(message.body.len());
            }
            "POST /commands" => traffic.direct_starts += message.body.matches("\"start\"").count(),
            "POST /txn" => traffic.transactions += 1,
            _ => {}
        }
        Delivery::Pass
    });
    println!(
        "| s | epoch | machines up | starts | of them direct | reports | mean bytes | largest | most listed | writes |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut starts_before = 0;
    for _ in 0..INTERVALS {
        *traffic.borrow_mut() = Traffic::default();
        world.run_for(INTERVAL_MS);
        let seen = traffic.borrow();
        let starts = world.trace().matches(" starts job-").count();
        let most_listed = world.workers.values().map(|w| w.attempts.len()).max().unwrap_or(0);
        println!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            world.now / 1000,
            world.epoch(),
            world.workers.len(),
            starts - starts_before,
            seen.direct_starts,
            seen.reports,
            seen.report_bytes / seen.reports.max(1),
            seen.largest_report,
            most_listed,
            seen.transactions,
        );
        starts_before = starts;
    }
    println!("breaches: {:?}", world.breaches);
}
