//! A simulated deployment whose machines are drained, and a recorder that checks the interruptions of its services
//! against budgets.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::collections::BTreeMap;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::{assert_no_breaches, is_stored_as_done};
use tidelatch_standin::{DeploymentSize, InterruptionRecorder, World, job};

/// A controller's lease in the stand-in's deployment.
pub const LEASE_MS: u64 = 7_200;
/// Time within which a drain of a few machines has to end after the last fault.
pub const DRAIN_MS: u64 = 900_000;
/// Time for which permits that were granted before the loss of a machine may still lead to a stop: a lease, and the
/// longest delay of a command that the tests cause.
pub const GRACE_MS: u64 = LEASE_MS + 20_000;
/// Replicas of each service.
pub const REPLICAS: usize = 3;

/// Returns operators' settings with these disruption settings.
pub fn operator(disruption: &Value) -> Operator {
    let operator = json!({ "disruption": disruption, "failure_detection": { "prepare": true } });
    let operator: Operator = serde_json::from_value(operator).expect("the settings are valid");
    assert_eq!(operator.faults(), []);
    operator
}

/// Returns operators' settings with one drain.
pub fn with_drain(drain: &Value) -> Operator {
    operator(&json!({ "drains": [drain] }))
}

/// A deployment in which each team has two running services. By default one replica of a team may be unavailable.
pub struct Deployment {
    pub world: World,
    pub recorder: InterruptionRecorder,
    pub services: Vec<String>,
    pub arrays: Vec<String>,
    pub controllers: usize,
    sessions: BTreeMap<String, u64>,
}

impl Deployment {
    /// Starts controllers with budgets and without drains, and waits until all replicas run.
    pub fn start(controllers: usize) -> Self {
        let size = DeploymentSize {
            controllers,
            teams: controllers as u32,
            // Nothing is preempted for a guarantee.
            guaranteed_accelerators: 0.0,
            max_accelerators: 40.0,
            write_rps: 200.0,
            ..DeploymentSize::default()
        };
        let mut world = World::with_size(&operator(&json!({})), size);
        world.cloud.max_machines = 60;
        world.run_for(5_000);
        let mut deployment = Self {
            world,
            recorder: InterruptionRecorder::new(GRACE_MS),
            services: Vec::new(),
            arrays: Vec::new(),
            controllers,
            sessions: BTreeMap::new(),
        };
        for team in 0..controllers as u32 {
            let jobs = [10 * team + 1, 10 * team + 2].map(|id| deployment.submit_service(id, team));
            let job_ids: Vec<&str> = jobs.iter().map(String::as_str).collect();
            deployment.recorder.set_budget(&format!("team-{team}"), &job_ids, 1);
        }
        assert!(
            deployment.run_until(120_000, Self::all_replicas_run),
            "{}",
            deployment.trace()
        );
        deployment
    }

    /// Submits a service of a team and returns its id.
    fn submit_service(&mut self, id: u32, team: u32) -> String {
        self.world
            .submit_until_accepted(0, &job(id, team, "standing", REPLICAS as u32));
        let name = format!("job-{id:06}");
        self.services.push(name.clone());
        name
    }

    /// Submits an array of a team.
    pub fn submit_array(&mut self, id: u32, team: u32, tasks: u32) {
        self.world.submit_until_accepted(0, &job(id, team, "sweep", tasks));
        // Accepting the job took simulated time, in which replicas may have stopped.
        self.sample();
        self.arrays.push(format!("job-{id:06}"));
    }

    /// Crashes all controllers and restarts them with these settings.
    pub fn restart_all(&mut self, operator: &Operator) {
        for controller in 0..self.controllers {
            self.world.crash_controller(controller);
            self.world.set_operator(controller, operator);
        }
        self.run(200);
        for controller in 0..self.controllers {
            self.world.start_controller(controller);
        }
    }

    /// The events of the simulation, one a line.
    pub fn trace(&self) -> &str {
        self.world.trace()
    }

    /// Whether every service has all its replicas running.
    pub fn all_replicas_run(&self) -> bool {
        self.services
            .iter()
            .all(|job| self.world.running_tasks(job) == REPLICAS)
    }

    /// Removes a machine and its worker, and tells the recorder that this was a loss.
    pub fn lose_machine(&mut self, machine: &str) {
        self.recorder.record_machine_lost(machine);
        self.world.write_trace(&format!("the test loses {machine}"));
        self.world.cloud.machines.remove(machine);
        self.world.workers.remove(machine);
    }

    /// Tells the recorder which replicas run and which machines were lost.
    fn sample(&mut self) {
        let mut running = self.world.machines_by_running_task();
        running.retain(|unit, _| self.services.iter().any(|job| unit.starts_with(job.as_str())));
        self.record_losses();
        self.recorder.record_running_units(self.world.now, running);
    }

    /// Tells the recorder of machines that controllers gave up as failed and of sessions that ended: what ran there was
    /// not stopped by choice.
    fn record_losses(&mut self) {
        let sessions: BTreeMap<String, u64> = self
            .world
            .workers
            .values()
            .map(|w| (w.name.clone(), w.session))
            .collect();
        let before = std::mem::replace(&mut self.sessions, sessions);
        for (machine, session) in before {
            match self.sessions.get(&machine) {
                Some(now) if *now > session => self.recorder.record_session_lost(&machine),
                Some(_) => {}
                None => {
                    let lines = self.world.trace().lines();
                    let lines_of_machine = lines.filter(|line| line.contains(&format!("{machine}: ")));
                    if lines_of_machine.into_iter().any(|line| line.ends_with("giving it up")) {
                        self.recorder.record_machine_lost(&machine);
                    }
                }
            }
        }
    }

    /// Lets `ms` milliseconds pass, and samples what runs every 20 ms.
    pub fn run(&mut self, ms: u64) {
        let until = self.world.now + ms;
        while self.world.now < until {
            self.world.run_for(20.min(until - self.world.now));
            self.sample();
        }
    }

    /// Lets time pass until a condition is met, for at most `ms` milliseconds. Returns whether it is.
    pub fn run_until(&mut self, ms: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let until = self.world.now + ms;
        while self.world.now < until {
            if condition(self) {
                return true;
            }
            self.run(100);
        }
        condition(self)
    }

    /// The stored record of a drain.
    pub fn drain_record(&self, drain: &str) -> Option<Value> {
        self.world.store.get(&format!("t/d/{drain}")).cloned()
    }

    /// Whether a drain is stored as done.
    pub fn is_done(&self, drain: &str) -> bool {
        self.drain_record(drain).is_some_and(|record| record["done"] == true)
    }

    /// Counts the lines of the trace that contain a text.
    pub fn count_trace_lines(&self, text: &str) -> usize {
        self.trace().lines().filter(|line| line.contains(text)).count()
    }

    /// Asserts that the drain ends, that all accepted work then runs or is done, and that no budget was exceeded.
    pub fn assert_drain_ends(&mut self, drain: &str, case: &str) {
        let ended = self.run_until(DRAIN_MS, |d| d.is_done(drain));
        assert!(ended, "{case}: the drain has not ended\n{}", self.trace());
        let recovered =
            |d: &Self| d.all_replicas_run() && d.arrays.iter().all(|array| is_stored_as_done(&d.world, array));
        assert!(self.run_until(150_000, recovered), "{case}\n{}", self.trace());
        self.assert_within_budgets(case);
    }

    /// Asserts that no budget was exceeded and no rule was broken.
    pub fn assert_within_budgets(&self, case: &str) {
        assert_eq!(self.recorder.budget_violations(), [], "{case}\n{}", self.trace());
        assert_no_breaches(&self.world);
    }
}
