//! A deployment whose machines are drained, and the recorder that watches its services.

// Each file of tests uses a part of this.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::collections::BTreeMap;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::{assert_no_breaches, is_done};
use tidelatch_standin::{InterruptionRecorder, Size, World, job};

/// A controller's lease in the stand-in's deployment.
pub const LEASE_MS: u64 = 7_200;
/// Time for a drain of a few machines, once there are no faults any more.
pub const DRAIN_MS: u64 = 900_000;
/// Time for which permits that were granted before a loss may lead to a stop: a lease, and the longest delay of a
/// command that tests cause.
pub const GRACE_MS: u64 = LEASE_MS + 20_000;
/// Replicas of each service.
pub const REPLICAS: usize = 3;

/// The operators' settings with some disruption settings.
pub fn operator(disruption: &Value) -> Operator {
    let operator = json!({ "disruption": disruption, "failure_detection": { "prepare": true } });
    let operator: Operator = serde_json::from_value(operator).expect("the settings are in form");
    assert_eq!(operator.faults(), []);
    operator
}

/// The operators' settings with one drain.
pub fn with_drain(drain: &Value) -> Operator {
    operator(&json!({ "drains": [drain] }))
}

/// A deployment in which each team has two services, which run. By default one replica of a team may be away.
pub struct Deployment {
    pub world: World,
    pub recorder: InterruptionRecorder,
    pub services: Vec<String>,
    pub arrays: Vec<String>,
    pub controllers: usize,
    sessions: BTreeMap<String, u64>,
}

impl Deployment {
    /// Starts controllers with budgets and without drains.
    pub fn start(controllers: usize) -> Self {
        let size = Size {
            controllers,
            teams: controllers as u32,
            // Nothing is preempted for a guarantee.
            guarantee: 0.0,
            limit: 40.0,
            write_rps: 200.0,
            ..Size::default()
        };
        let mut world = World::sized(&operator(&json!({})), size);
        world.cloud.most = 60;
        world.run(5_000);
        let mut deployment = Self {
            world,
            recorder: InterruptionRecorder::new(GRACE_MS),
            services: Vec::new(),
            arrays: Vec::new(),
            controllers,
            sessions: BTreeMap::new(),
        };
        for team in 0..controllers as u32 {
            let names = [10 * team + 1, 10 * team + 2].map(|id| deployment.submit_service(id, team));
            let jobs: Vec<&str> = names.iter().map(String::as_str).collect();
            deployment.recorder.limit(&format!("team-{team}"), &jobs, 1);
        }
        assert!(deployment.run_until(120_000, Self::all_run), "{}", deployment.trace());
        deployment
    }

    fn submit_service(&mut self, id: u32, team: u32) -> String {
        self.world.accepted(0, &job(id, team, "standing", REPLICAS as u32));
        let name = format!("job-{id:06}");
        self.services.push(name.clone());
        name
    }

    /// Submits an array of a team.
    pub fn submit_array(&mut self, id: u32, team: u32, tasks: u32) {
        self.world.accepted(0, &job(id, team, "sweep", tasks));
        // Time has passed.
        self.sample();
        self.arrays.push(format!("job-{id:06}"));
    }

    /// All controllers end, and begin again with these settings.
    pub fn restart_all(&mut self, operator: &Operator) {
        for node in 0..self.controllers {
            self.world.crash(node);
            self.world.operator(node, operator);
        }
        self.run(200);
        for node in 0..self.controllers {
            self.world.start(node);
        }
    }

    pub fn trace(&self) -> &str {
        self.world.trace()
    }

    pub fn all_run(&self) -> bool {
        self.services.iter().all(|job| self.world.running(job) == REPLICAS)
    }

    /// A machine is lost with all that is on it, by the test.
    pub fn lose_machine(&mut self, machine: &str) {
        self.recorder.machine_lost(machine);
        self.world.note(&format!("the test loses {machine}"));
        self.world.cloud.machines.remove(machine);
        self.world.workers.remove(machine);
    }

    fn sample(&mut self) {
        let mut running = self.world.running_units();
        running.retain(|unit, _| self.services.iter().any(|job| unit.starts_with(job.as_str())));
        self.note_losses();
        self.recorder.sample(self.world.now, running);
    }

    /// Machines that controllers gave up on evidence, and sessions that ended, were not stopped by choice.
    fn note_losses(&mut self) {
        let sessions: BTreeMap<String, u64> = self
            .world
            .workers
            .values()
            .map(|w| (w.name.clone(), w.session))
            .collect();
        let before = std::mem::replace(&mut self.sessions, sessions);
        for (machine, session) in before {
            match self.sessions.get(&machine) {
                Some(now) if *now > session => self.recorder.session_lost(&machine),
                Some(_) => {}
                None => {
                    let lines = self.world.trace().lines();
                    let of_machine = lines.filter(|line| line.contains(&format!("{machine}: ")));
                    if of_machine.into_iter().any(|line| line.ends_with("giving it up")) {
                        self.recorder.machine_lost(&machine);
                    }
                }
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.world.now + ms;
        while self.world.now < until {
            self.world.run(20.min(until - self.world.now));
            self.sample();
        }
    }

    pub fn run_until(&mut self, ms: u64, holds: impl Fn(&Self) -> bool) -> bool {
        let until = self.world.now + ms;
        while self.world.now < until {
            if holds(self) {
                return true;
            }
            self.run(100);
        }
        holds(self)
    }

    pub fn head(&self, drain: &str) -> Option<Value> {
        self.world.store.get(&format!("t/d/{drain}")).cloned()
    }

    pub fn is_done(&self, drain: &str) -> bool {
        self.head(drain).is_some_and(|head| head["done"] == true)
    }

    /// How often something stands in the trace.
    pub fn says(&self, text: &str) -> usize {
        self.trace().lines().filter(|line| line.contains(text)).count()
    }

    /// The drain ends, all that was accepted runs or is done, and nothing went beyond a budget.
    pub fn assert_ends(&mut self, drain: &str, case: &str) {
        let ended = self.run_until(DRAIN_MS, |d| d.is_done(drain));
        assert!(ended, "{case}: the drain does not end\n{}", self.trace());
        let recovered = |d: &Self| d.all_run() && d.arrays.iter().all(|array| is_done(&d.world, array));
        assert!(self.run_until(150_000, recovered), "{case}\n{}", self.trace());
        self.assert_within_budgets(case);
    }

    pub fn assert_within_budgets(&self, case: &str) {
        assert_eq!(self.recorder.excesses(), [], "{case}\n{}", self.trace());
        assert_no_breaches(&self.world);
    }
}
