//! Measures take-overs in the stand-in's world: without the failure detector, with it, and with its preparation.
//!
//!     cargo run --release -p tidelatch-standin --example take_over
//!
//! In each round the owner of a partition with stored bitmaps crashes, comes back after a minute, and is given its
//! partition again. Prints a table in Markdown; all times are simulated.

use hdrhistogram::Histogram;
use tidelatch_core::settings::{FailureDetection, Operator};
use tidelatch_standin::{Size, World, job};

/// Owners that crash.
const ROUNDS: usize = 20;
/// Arrays of each team, with done tasks on record.
const ARRAYS: u32 = 12;
/// Time that a round has until the owner comes back.
const ROUND_MS: u64 = 60_000;
/// Step in which conditions are looked at.
const STEP_MS: u64 = 10;

type Failure = Box<dyn std::error::Error>;

struct Times {
    suspected: Histogram<u64>,
    confirmed: Histogram<u64>,
    acting: Histogram<u64>,
    answered: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self, Failure> {
        Ok(Self {
            suspected: Histogram::new(3)?,
            confirmed: Histogram::new(3)?,
            acting: Histogram::new(3)?,
            answered: Histogram::new(3)?,
        })
    }
}

fn busy_world(operator: &Operator) -> World {
    let size = Size {
        limit: 60.0,
        write_rps: 200.0,
        ..Size::default()
    };
    let mut world = World::sized(operator, size);
    world.cloud.most = 60;
    world.run_ms = 20_000;
    world.uneven = true;
    world.run(3_000);
    for team in 0..3 {
        for array in 0..ARRAYS {
            let mut body = job(team * 100 + array, team, "sweep", 600);
            body["precedence"] = "low".into();
            world.accepted(0, &body);
        }
    }
    world.run(60_000);
    world
}

/// Times, in milliseconds since the crash, of the first line after it with each text.
fn first_line_ms(world: &World, from: usize, text: &str, since_ms: u64) -> Option<u64> {
    let trace = world.trace().get(from..)?;
    let line = trace.lines().find(|line| line.contains(text))?;
    let time: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(((time * 1000.0) as u64).saturating_sub(since_ms))
}

fn play_round(world: &mut World, team: usize, times: &mut Times) -> Result<(), Failure> {
    let owner = world.owner_of_team(team);
    let (from, crashed_ms) = (world.trace().len(), world.now);
    world.crash(owner);
    let asked_job = format!("job-{:06}", team * 100);
    let mut answered = None;
    let mut questions = Vec::new();
    while world.now < crashed_ms + ROUND_MS {
        world.run(STEP_MS);
        let acting = first_line_ms(world, from, &format!("acting for partition {team}"), crashed_ms);
        if acting.is_some() && answered.is_none() {
            let node = world.owner_of_team(team);
            questions.push(world.poll(node, &asked_job));
            answered = questions
                .iter()
                .find(|question| world.status(**question) == 200)
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
    world.start(owner);
    world.run(20_000);
    Ok(())
}

fn row(name: &str, operator: &Operator) -> Result<String, Failure> {
    let mut world = busy_world(operator);
    let (sent, from_ms) = (world.sent, world.now);
    world.run(ROUND_MS);
    let minutes = (world.now - from_ms) as f64 / 60_000.0;
    let messages = (world.sent.peer_requests - sent.peer_requests) as f64 / minutes;
    let reads = (world.sent.state_requests - sent.state_requests) as f64 / minutes;
    let mut times = Times::new()?;
    for round in 0..ROUNDS {
        play_round(&mut world, round % 3, &mut times)?;
    }
    if !world.broken.is_empty() {
        return Err(format!("rules were broken: {:?}", world.broken).into());
    }
    let shown = |times: &Histogram<u64>| match times.len() {
        0 => "-".to_owned(),
        _ => format!("{} / {}", times.value_at_quantile(0.5), times.max()),
    };
    Ok(format!(
        "| {name} | {} | {} | {} | {} | {messages:.0} | {reads:.0} |",
        shown(&times.suspected),
        shown(&times.confirmed),
        shown(&times.acting),
        shown(&times.answered),
    ))
}

fn main() -> Result<(), Failure> {
    let detecting = |prepare| Operator {
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
    println!("{}", row("without the detector", &Operator::default())?);
    println!("{}", row("detector", &detecting(false))?);
    println!("{}", row("detector with preparation", &detecting(true))?);
    Ok(())
}
