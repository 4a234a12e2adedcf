//! Runs a demo deployment on 127.0.0.1: the state service, the cloud and the workers are the simulated ones of the
//! tests, the three controllers are real processes. Prints a status line every second, and ends all its processes when
//! it ends.

use clap::Parser;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tidelatch_standin::job;
use tidelatch_standin::loopback::{Clock, Controllers, Services, Users};

/// Number of controllers, and of teams.
const CONTROLLERS: usize = 3;
/// Number of services that each team starts with.
const SERVICES_PER_TEAM: u32 = 2;
/// Number of replicas of each service.
const REPLICAS_PER_SERVICE: u32 = 3;
/// Number of tasks of each array.
const TASKS_PER_ARRAY: u32 = 4;
/// Interval between the submissions of two arrays, in seconds.
const ARRAY_INTERVAL_S: u64 = 10;
/// Delay in seconds after which a killed leader is started again.
const RESTART_DELAY_S: u64 = 15;
/// Name of the drain that `--drain` requests.
const DRAIN_NAME: &str = "playground";

/// Starts a tidelatch demo deployment on this machine.
#[derive(Parser)]
#[command(version, about)]
struct Options {
    /// Path of the controller program; by default `tidelatch` in the directory of this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Drain all workers of a machine type (the simulated cloud has one: m2), two at a time.
    #[arg(long, value_name = "TYPE")]
    drain: Option<String>,
    /// Kill the leader after this many seconds, and start it again 15 s later.
    #[arg(long, value_name = "SECONDS")]
    kill_leader_after: Option<u64>,
    /// End after this many seconds; without this option, only on Ctrl-C.
    #[arg(long = "for", value_name = "SECONDS")]
    end_after: Option<u64>,
}

/// The reasons for which the playground fails.
#[derive(Debug, thiserror::Error)]
enum PlaygroundError {
    #[error("{0} is not a program: build it with `cargo build --release`, or pass its path with --program")]
    ProgramNotFound(PathBuf),
    #[error("no controller accepted {0}")]
    NotAccepted(String),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Signal(#[from] ctrlc::Error),
}

/// Builds the operators' settings, with a drain if one is requested. The drain starts after 15 s, when the first
/// replicas run.
fn operator_settings(drain: Option<&str>) -> Value {
    let rule = |machine_type: &str| {
        json!({ "name": DRAIN_NAME, "machine_type": machine_type, "surge": 2, "max_machines": 2,
                "patience_s": 20.0, "delay_s": 15.0 })
    };
    let drains: Vec<Value> = drain.map(rule).into_iter().collect();
    json!({ "failure_detection": {}, "disruption": { "drains": drains } })
}

/// The running demo deployment.
struct Playground {
    services: Services,
    controllers: Controllers,
    users: Users,
    next_job: u32,
    /// The submitted jobs, each with its team.
    jobs: Vec<(usize, String)>,
}

impl Playground {
    fn start(options: &Options) -> Result<Self, PlaygroundError> {
        let default_program = std::env::current_exe()?.with_file_name("tidelatch");
        let program = options.program.clone().unwrap_or(default_program);
        if !program.is_file() {
            return Err(PlaygroundError::ProgramNotFound(program));
        }
        let services = Services::start(Clock::start())?;
        let settings = operator_settings(options.drain.as_deref()).to_string();
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
            for _ in 0..SERVICES_PER_TEAM {
                self.submit(team, "standing", REPLICAS_PER_SERVICE)?;
            }
        }
        Ok(())
    }

    fn print_instructions(&self) {
        let mut example = job(900_001, 0, "sweep", 2);
        example["consist"] = json!("example");
        for (number, address) in self.controllers.addresses.iter().enumerate() {
            println!("controller berth-{number}: http://{address}");
        }
        if let Some(address) = self.controllers.addresses.first() {
            println!("submit a job of your own:\n  curl -d '{example}' http://{address}/submissions");
            println!("  curl http://{address}/submissions/job-900001");
        }
        // The simulated workers need the submission of each job. The user submits this job with curl, so it is
        // registered here.
        self.services.register_job(&example);
    }

    /// Builds the status line: leader, epoch, machines, running tasks, and the state of the drain and of the budgets.
    fn status_line(&self) -> String {
        let running = |team: usize| -> usize {
            let of_team = self.jobs.iter().filter(|(t, _)| *t == team);
            of_team.map(|(_, job)| self.services.running_tasks(job)).sum()
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
        for (what, text) in [
            ("drain", format!("drain {DRAIN_NAME}")),
            ("budget", "; left: ".to_owned()),
        ] {
            if let Some(last) = self.last_line(&text) {
                line += &format!("; {what}: {last}");
            }
        }
        line
    }

    /// Returns the part after `text` of the latest log line of all controllers that contains it.
    fn last_line(&self, text: &str) -> Option<String> {
        let logs = self.controllers.logs();
        let lines = logs.lines().filter(|line| line.contains(text));
        let last = lines.max()?;
        Some(last.split(text).nth(1)?.trim_start_matches([':', ' ']).to_owned())
    }
}

fn run(options: &Options) -> Result<(), PlaygroundError> {
    let stop = Arc::new(AtomicBool::new(false));
    let on_signal = stop.clone();
    ctrlc::set_handler(move || on_signal.store(true, Ordering::SeqCst))?;
    let mut playground = Playground::start(options)?;
    playground.print_instructions();
    playground.submit_services()?;
    let started = Instant::now();
    let mut killed: Option<(usize, u64)> = None;
    let mut second = 0;
    while !stop.load(Ordering::SeqCst) && options.end_after.is_none_or(|end| second < end) {
        if second % ARRAY_INTERVAL_S == 0 {
            let team = (second / ARRAY_INTERVAL_S) as usize % CONTROLLERS;
            playground.submit(team, "sweep", TASKS_PER_ARRAY)?;
        }
        if options.kill_leader_after.is_some_and(|after| second >= after)
            && killed.is_none()
            && let Some(leader) = playground.services.leader()
        {
            println!("killing the leader, berth-{leader}");
            playground.controllers.kill(leader)?;
            killed = Some((leader, second));
        }
        if let Some((leader, at)) = killed.filter(|(_, at)| second == at + RESTART_DELAY_S) {
            println!("starting berth-{leader} again, {} s later", second - at);
            playground.controllers.restart(leader)?;
        }
        println!("{second:4} s  {}", playground.status_line());
        second += 1;
        let next = Duration::from_secs(second);
        while started.elapsed() < next && !stop.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
        }
        // On a slow machine, skip the seconds that have already passed.
        second = second.max(started.elapsed().as_secs());
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
