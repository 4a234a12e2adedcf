//! The workers: booting, going on with tasks, and commands sent to them directly.

use super::World;
use super::event::Event;
use super::gangs::begin_task_stop;
use crate::worker::{Attempt, Worker};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Milliseconds without an answered report after which a worker ends its session.
const LEASE_MS: u64 = 18_000;
/// Milliseconds between two reports of a worker.
const REPORT_MS: u64 = 2_500;

impl World {
    /// A machine has booted: its worker begins to report.
    pub(super) fn boot(&mut self, name: String) {
        let Some((zone, spot)) = self.cloud.machines.get(&name).cloned() else {
            return;
        };
        let node = self.workers.len() % self.nodes.len();
        let worker = Worker::new(&name, &zone, spot, node, self.now);
        self.workers.insert(name.clone(), worker);
        self.observe_machine(&name, &[]);
        self.schedule(1, Event::Work(name));
    }

    /// A direct command at a worker.
    pub(super) fn direct_command(&mut self, machine: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let now = self.now;
        let w = self.workers.get_mut(machine).filter(|w| !w.hanging)?;
        if path == "/status" {
            return Some((200, w.report().to_string()));
        }
        let body: Value = serde_json::from_str(body).ok()?;
        let (Some(token), Some(session)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return Some((400, "{}".into()));
        };
        if token < w.token || session != w.session {
            return Some((409, w.report().to_string()));
        }
        w.token = token;
        let mut started = Vec::new();
        let (gangs, jobs) = (&mut self.gangs, &self.jobs);
        let mut begin_save =
            |task: &str, attempt: u64, grace_s: f64| begin_task_stop(gangs, jobs, (task, attempt, grace_s), now);
        for order in body["orders"].as_array().into_iter().flatten() {
            started.extend(w.execute_order(order, now, &mut begin_save));
        }
        let report = w.report().to_string();
        self.started(machine, &started);
        Some((200, report))
    }

    /// A worker goes on with its tasks, and reports.
    pub(super) fn work(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        let mut finished = Vec::new();
        if !w.hanging {
            if now > w.lease_start_ms + LEASE_MS {
                w.start_next_session(now);
                w.waiting = None;
            }
            let pace = Pace {
                run_ms: self.run_ms,
                uneven: self.uneven,
            };
            finished = continue_tasks(w, &self.jobs, pace, now);
        }
        self.observe_machine(name, &[]);
        for task in finished {
            self.completed(&task);
        }
        let due = self
            .workers
            .get(name)
            .is_some_and(|w| !w.hanging && w.waiting.is_none());
        if due {
            self.send_report(name);
        }
        self.schedule(REPORT_MS, Event::Work(name.to_owned()));
    }

    /// Tells a machine to stop all that runs on it, with some grace, as a controller did that has ended since.
    pub fn stop_on(&mut self, machine: &str, grace_s: f64) {
        let now = self.now;
        let (gangs, jobs) = (&mut self.gangs, &self.jobs);
        let mut begin_save =
            |task: &str, attempt: u64, grace_s: f64| begin_task_stop(gangs, jobs, (task, attempt, grace_s), now);
        if let Some(w) = self.workers.get_mut(machine) {
            for (task, attempt) in w.tasks.keys().cloned().collect::<Vec<_>>() {
                let order = json!({ "order": "kill", "wagon": task, "run": attempt, "leewayS": grace_s });
                w.execute_order(&order, now, &mut begin_save);
            }
        }
        self.note(&format!("{machine} was told to stop all"));
        self.observe_machine(machine, &[]);
    }

    /// Tasks have started on a machine: the rules are checked.
    pub(super) fn started(&mut self, machine: &str, started: &[(String, u64)]) {
        for (task, _) in started {
            self.note(&format!("{machine} starts {task}"));
        }
        self.observe_machine(machine, started);
    }

    /// Number of a job's tasks that run.
    pub fn running(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        self.workers
            .values()
            .flat_map(|w| w.tasks.iter())
            .filter(|((t, _), a)| t.starts_with(&prefix) && a.state == "running")
            .count()
    }

    /// All tasks that run, each with its machine.
    pub fn running_units(&self) -> BTreeMap<String, String> {
        let mut units = BTreeMap::new();
        for worker in self.workers.values() {
            let running = worker.tasks.iter().filter(|(_, attempt)| attempt.state == "running");
            units.extend(running.map(|((task, _), _)| (task.clone(), worker.name.clone())));
        }
        units
    }

    /// The machines that have a job's tasks.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let prefix = format!("{id}/");
        self.workers
            .values()
            .filter(|w| {
                w.tasks
                    .iter()
                    .any(|((t, _), a)| t.starts_with(&prefix) && a.state != "ended")
            })
            .map(|w| w.name.clone())
            .collect()
    }
}

/// How long tasks of arrays run.
#[derive(Clone, Copy)]
pub(crate) struct Pace {
    pub(crate) run_ms: u64,
    /// Each runs for up to twice as long, by its number.
    pub(crate) uneven: bool,
}

impl Pace {
    /// How long a task runs, by its full name.
    fn of(self, task: &str) -> u64 {
        let number: u64 = task.split('/').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let more = if self.uneven { number * 1300 % self.run_ms } else { 0 };
        self.run_ms + more
    }
}

/// Lets a worker's tasks go on, and returns those that have finished. Gangs are left out: they are played
/// by themselves.
pub(crate) fn continue_tasks(worker: &mut Worker, jobs: &BTreeMap<String, Value>, pace: Pace, now: u64) -> Vec<String> {
    let mut finished = Vec::new();
    let sick = worker.sick;
    for ((task, _), attempt) in &mut worker.tasks {
        let job = task.split('/').next().and_then(|j| jobs.get(j));
        let gang = job.is_some_and(|j| j["shape"] == "group");
        if sick && attempt.state != "ended" {
            end(attempt, "error");
        }
        if gang || attempt.transition_ms.is_none_or(|at| at > now) {
            continue;
        }
        if attempt.state == "pulling" {
            let service = job.is_some_and(|j| j["shape"] == "standing");
            attempt.state = "running";
            attempt.transition_ms = (!service).then(|| now + pace.of(task));
        } else if job.is_some_and(|j| j["broken"] == true) {
            end(attempt, "error");
        } else {
            end(attempt, "done");
            finished.push(task.clone());
        }
    }
    finished
}

fn end(attempt: &mut Attempt, why: &'static str) {
    attempt.state = "ended";
    attempt.cause = why;
    attempt.transition_ms = None;
}
