//! Measures takeovers in the simulated world: without the failure detector, with it, and with takeover preparation.
//!
//!     cargo run --release -p tidelatch-standin --example take_over
//!
//! In each round the owner of a partition with stored completion bitmaps crashes, restarts after a minute, and gets its
//! partition back. Prints a table in Markdown; all times are simulated.

use hdrhistogram::Histogram;
use tidelatch_core::settings::{FailureDetection, Operator};
use tidelatch_standin::{DeploymentSize, World, job};

/// Number of rounds, and of crashes, in each configuration.
const ROUNDS: usize = 20;
/// Number of arrays of each team. Completed tasks of each are stored when the measurement starts.
const ARRAYS_PER_TEAM: u32 = 12;
/// Time from the crash until the owner restarts, and time over which messages are counted before the first crash, in
/// milliseconds.
const ROUND_MS: u64 = 60_000;
/// Interval at which conditions are checked, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;

type MeasurementError = Box<dyn std::error::Error>;

/// Times since the crash, in milliseconds.
struct Times {
    suspected: Histogram<u64>,
    confirmed: Histogram<u64>,
    acting: Histogram<u64>,
    answered: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self, MeasurementError> {
        Ok(Self {
            suspected: Histogram::new(3)?,
            confirmed: Histogram::new(3)?,
            acting: Histogram::new(3)?,
            answered: Histogram::new(3)?,
        })
    }
}

/// Creates a world whose teams have arrays running.
fn start_loaded_world(operator: &Operator) -> World {
    let size = DeploymentSize {
        max_accelerators: 60.0,
        write_rps: 200.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(operator, size);
    world.cloud.max_machines = 60;
    world.run_ms = 20_000;
    world.has_uneven_run_times = true;
    world.run_for(3_000);
    for team in 0..3 {
        for array in 0..ARRAYS_PER_TEAM {
            let mut body = job(team * 100 + array, team, "sweep", 600);
            body["precedence"] = "low".into();
            world.submit_until_accepted(0, &body);
        }
    }
    world.run_for(60_000);
    world
}

/// Returns the time of the first trace line after the offset `from` that contains a text, in milliseconds since
/// `since_ms`.
fn first_line_ms(world: &World, from: usize, text: &str, since_ms: u64) -> Option<u64> {
    let trace = world.trace().get(from..)?;
    let line = trace.lines().find(|line| line.contains(text))?;
    let time: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(((time * 1000.0) as u64).saturating_sub(since_ms))
}

/// Crashes the owner of a team's partition, records the times of the takeover, and restarts the owner.
fn measure_round(world: &mut World, team: usize, times: &mut Times) -> Result<(), MeasurementError> {
    let owner = world.owner_of_team(team);
    let (from, crashed_ms) = (world.trace().len(), world.now);
    world.crash_controller(owner);
    let polled_job = format!("job-{:06}", team * 100);
    let mut answered = None;
    let mut polls = Vec::new();
    while world.now < crashed_ms + ROUND_MS {
        world.run_for(CHECK_INTERVAL_MS);
        let acting = first_line_ms(world, from, &format!("acting for partition {team}"), crashed_ms);
        if acting.is_some() && answered.is_none() {
            let controller = world.owner_of_team(team);
            polls.push(world.poll(controller, &polled_job));
            answered = polls
                .iter()
                .find(|poll| world.http_status(**poll) == 200)
                .map(|_| world.now - crashed_ms);
        }
    }
    let lines = [
        (format!("suspects berth-{owner}"), &mut times.suspected),
        (format!("berth-{owner} is confirmed as gone"), &mut times.confirmed),
        (format!("acting for partition {team}"), &mut times.acting),
    ];
    for (text, histogram) in lines {
        if let Some(ms) = first_line_ms(world, from, &text, crashed_ms) {
            histogram.record(ms)?;
        }
    }
    if let Some(ms) = answered {
        times.answered.record(ms)?;
    }
    world.start_controller(owner);
    world.run_for(20_000);
    Ok(())
}

/// Measures one configuration and returns its row of the table.
fn measure_row(name: &str, operator: &Operator) -> Result<String, MeasurementError> {
    let mut world = start_loaded_world(operator);
    let (sent, from_ms) = (world.message_counts, world.now);
    world.run_for(ROUND_MS);
    let minutes = (world.now - from_ms) as f64 / 60_000.0;
    let messages = (world.message_counts.peer_requests - sent.peer_requests) as f64 / minutes;
    let reads = (world.message_counts.state_requests - sent.state_requests) as f64 / minutes;
    let mut times = Times::new()?;
    for round in 0..ROUNDS {
        measure_round(&mut world, round % 3, &mut times)?;
    }
    if !world.breaches.is_empty() {
        return Err(format!("rules were broken: {:?}", world.breaches).into());
    }
    let format_times = |times: &Histogram<u64>| match times.len() {
        0 => "-".to_owned(),
        _ => format!("{} / {}", times.value_at_quantile(0.5), times.max()),
    };
    Ok(format!(
        "| {name} | {} | {} | {} | {} | {messages:.0} | {reads:.0} |",
        format_times(&times.suspected),
        format_times(&times.confirmed),
        format_times(&times.acting),
        format_times(&times.answered),
    ))
}

fn main() -> Result<(), MeasurementError> {
    let with_detector = |prepare| Operator {
        failure_detection: Some(FailureDetection {
            prepare,
            ..FailureDetection::default()
        }),
        ..Operator::default()
    };
    println!(
        "| ms since the crash, p50 / most | suspected | confirmed | acting | first answer | peer messages a minute | state requests a minute |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    println!("{}", measure_row("without the detector", &Operator::default())?);
    println!("{}", measure_row("detector", &with_detector(false))?);
    println!("{}", measure_row("detector with preparation", &with_detector(true))?);
    Ok(())
}
