//! A deployment on 127.0.0.1 to try tidelatch with: state service, cloud and workers are the tests' stand-ins, the three
//! controllers are real processes. Prints a line a second, and leaves no process when it ends.

use clap::Parser;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tidelatch_standin::job;
use tidelatch_standin::loopback::{Clock, Controllers, Services, Users};

const CONTROLLERS: usize = 3;
/// Services that each team starts with, and their replicas.
const SERVICES_OF_A_TEAM: u32 = 2;
const REPLICAS: u32 = 3;
/// Tasks of each array, and seconds between two of them.
const ARRAY_TASKS: u32 = 4;
const ARRAY_EVERY_S: u64 = 10;
/// Seconds after which a killed leader is started again.
const RESTART_AFTER_S: u64 = 15;
/// Name of the drain that `--drain` asks for.
const DRAIN: &str = "playground";

/// Starts a tidelatch deployment on this machine, to play with.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    /// The controllers' program; by default the one beside this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Drain all workers of a machine type (the stand-in cloud has one: m2), two at a time.
    #[arg(long, value_name = "TYPE")]
    drain: Option<String>,
    /// Kill the leader after so many seconds, and start it again later.
    #[arg(long, value_name = "SECONDS")]
    kill_leader_after: Option<u64>,
    /// End after so many seconds; without it on Ctrl-C only.
    #[arg(long = "for", value_name = "SECONDS")]
    end_after: Option<u64>,
}

/// What cannot be had.
#[derive(Debug, thiserror::Error)]
enum PlaygroundError {
    #[error("{0} is no program: build it by `cargo build --release`, or name it by --program")]
    NoProgram(PathBuf),
    #[error("nobody accepts {0}")]
    NotAccepted(String),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Signal(#[from] ctrlc::Error),
}

/// The operators' settings, with a drain if one is asked for. It begins when the first replicas run.
fn operator(drain: Option<&str>) -> Value {
    let rule = |machine_type: &str| {
        json!({ "name": DRAIN, "machine_type": machine_type, "surge": 2, "max_machines": 2,
                "patience_s": 20.0, "delay_s": 15.0 })
    };
    let drains: Vec<Value> = drain.map(rule).into_iter().collect();
    json!({ "failure_detection": {}, "disruption": { "drains": drains } })
}

struct Playground {
    services: Services,
    controllers: Controllers,
    users: Users,
    next_job: u32,
    /// The jobs of each team.
    jobs: Vec<(usize, String)>,
}

impl Playground {
    fn start(options: &Options) -> Result<Self, PlaygroundError> {
        let beside = std::env::current_exe()?.with_file_name("tidelatch");
        let program = options.program.clone().unwrap_or(beside);
        if !program.is_file() {
            return Err(PlaygroundError::NoProgram(program));
        }
        let services = Services::start(Clock::start())?;
        let settings = operator(options.drain.as_deref()).to_string();
        let controllers = Controllers::start(&program, &settings, CONTROLLERS, &services)?;
        let users = Users::start(&controllers.addresses, &services);
        Ok(Self {
            services,
            controllers,
            users,
            next_job: 1,
            jobs: Vec::new(),
        })
    }

    fn submit(&mut self, team: usize, shape: &str, tasks: u32) -> Result<(), PlaygroundError> {
        let body = job(self.next_job, team as u32, shape, tasks);
        let id = body["uid"].as_str().unwrap_or_default().to_owned();
        self.next_job += 1;
        if !self.users.submit(&self.services, &body) {
            return Err(PlaygroundError::NotAccepted(id));
        }
        self.jobs.push((team, id));
        Ok(())
    }

    fn submit_services(&mut self) -> Result<(), PlaygroundError> {
        for team in 0..CONTROLLERS {
            for _ in 0..SERVICES_OF_A_TEAM {
                self.submit(team, "standing", REPLICAS)?;
            }
        }
        Ok(())
    }

    fn introduce(&self) {
        let mut example = job(900_001, 0, "sweep", 2);
        example["consist"] = json!("example");
        for (number, address) in self.controllers.addresses.iter().enumerate() {
            println!("controller berth-{number}: http://{address}");
        }
        if let Some(address) = self.controllers.addresses.first() {
            println!("submit a job of your own:\n  curl -d '{example}' http://{address}/submissions");
            println!("  curl http://{address}/submissions/job-900001");
        }
        // A worker runs what it has been told of; the stand-ins learn of jobs from their users here.
        self.services.upload(&example);
    }

    /// One line on how things stand.
    fn status(&self) -> String {
        let running = |team: usize| -> usize {
            let of_team = self.jobs.iter().filter(|(t, _)| *t == team);
            of_team.map(|(_, job)| self.services.running(job)).sum()
        };
        let teams: Vec<String> = (0..CONTROLLERS)
            .map(|team| format!("team-{team} {}", running(team)))
            .collect();
        let leader = self
            .services
            .leader()
            .map_or("none".to_owned(), |leader| format!("berth-{leader}"));
        let mut line = format!(
            "leader {leader}, epoch {}; machines {}; tasks {}",
            self.services.epoch(),
            self.services.roster().len(),
            teams.join(", ")
        );
        for (what, text) in [("drain", format!("drain {DRAIN}")), ("budget", "; left: ".to_owned())] {
            if let Some(last) = self.last_line(&text) {
                line += &format!("; {what}: {last}");
            }
        }
        line
    }

    /// What follows a text in the latest line that has it, of all logs.
    fn last_line(&self, text: &str) -> Option<String> {
        let logs = self.controllers.logs();
        let lines = logs.lines().filter(|line| line.contains(text));
        let last = lines.max()?;
        Some(last.split(text).nth(1)?.trim_start_matches([':', ' ']).to_owned())
    }
}

fn play(options: &Options) -> Result<(), PlaygroundError> {
    let stop = Arc::new(AtomicBool::new(false));
    let on_signal = stop.clone();
    ctrlc::set_handler(move || on_signal.store(true, Ordering::SeqCst))?;
    let mut playground = Playground::start(options)?;
    playground.introduce();
    playground.submit_services()?;
    let began = Instant::now();
    let mut killed: Option<(usize, u64)> = None;
    let mut second = 0;
    while !stop.load(Ordering::SeqCst) && options.end_after.is_none_or(|end| second < end) {
        if second % ARRAY_EVERY_S == 0 {
            let team = (second / ARRAY_EVERY_S) as usize % CONTROLLERS;
            playground.submit(team, "sweep", ARRAY_TASKS)?;
        }
        if options.kill_leader_after.is_some_and(|after| second >= after)
            && killed.is_none()
            && let Some(leader) = playground.services.leader()
        {
            println!("killing the leader, berth-{leader}");
            playground.controllers.kill(leader)?;
            killed = Some((leader, second));
        }
        if let Some((leader, at)) = killed.filter(|(_, at)| second == at + RESTART_AFTER_S) {
            println!("starting berth-{leader} again, {} s later", second - at);
            playground.controllers.restart(leader)?;
        }
        println!("{second:4} s  {}", playground.status());
        second += 1;
        let next = Duration::from_secs(second);
        while began.elapsed() < next && !stop.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
        }
        // A slow machine shows fewer lines.
        second = second.max(began.elapsed().as_secs());
    }
    Ok(())
}

fn main() -> ExitCode {
    match play(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
