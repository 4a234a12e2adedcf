//! Simulates the workers: they boot, advance their tasks, report, and accept direct commands.

use super::World;
use super::event::Event;
use super::gangs::begin_task_stop;
use crate::worker::{Attempt, Worker};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Length of a worker's lease: a worker ends its session if no report was answered for this many milliseconds.
const WORKER_LEASE_MS: u64 = 18_000;
/// Milliseconds between two periodic reports of a worker.
const REPORT_INTERVAL_MS: u64 = 2_500;

impl World {
    /// Creates the worker of a machine that has booted, and schedules its first report.
    pub(super) fn boot_machine(&mut self, name: String) {
        let Some((zone, spot)) = self.cloud.machines.get(&name).cloned() else {
            return;
        };
        let controller = self.workers.len() % self.controllers.len();
        let worker = Worker::new(&name, &zone, spot, controller, self.now);
        self.workers.insert(name.clone(), worker);
        self.observe_machine(&name, &[]);
        self.schedule(1, Event::StepWorker(name));
    }

    /// Executes a direct command at a worker. Returns status and body, or `None` if the worker does not answer.
    pub(super) fn direct_command(&mut self, machine: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let now = self.now;
        let w = self.workers.get_mut(machine).filter(|w| !w.is_hanging)?;
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
        self.record_starts(machine, &started);
        Some((200, report))
    }

    /// Advances a worker's tasks, ends its session if the lease has expired, and sends its report.
    pub(super) fn step_worker(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        let mut finished = Vec::new();
        if !w.is_hanging {
            if now > w.lease_start_ms + WORKER_LEASE_MS {
                w.start_next_session(now);
                w.unanswered_sequence = None;
            }
            let run_time = ArrayRunTime {
                run_ms: self.run_ms,
                is_uneven: self.has_uneven_run_times,
            };
            finished = step_tasks(w, &self.jobs, run_time, now);
        }
        self.observe_machine(name, &[]);
        for task in finished {
            self.record_completion(&task);
        }
        let due = self
            .workers
            .get(name)
            .is_some_and(|w| !w.is_hanging && w.unanswered_sequence.is_none());
        if due {
            self.send_report(name);
        }
        self.schedule(REPORT_INTERVAL_MS, Event::StepWorker(name.to_owned()));
    }

    /// Gives a machine stop orders for all its tasks, with a grace in seconds, as if a controller had sent them and
    /// crashed afterwards.
    pub fn send_stop_orders(&mut self, machine: &str, grace_s: f64) {
        let now = self.now;
        let (gangs, jobs) = (&mut self.gangs, &self.jobs);
        let mut begin_save =
            |task: &str, attempt: u64, grace_s: f64| begin_task_stop(gangs, jobs, (task, attempt, grace_s), now);
        if let Some(w) = self.workers.get_mut(machine) {
            for (task, attempt) in w.attempts.keys().cloned().collect::<Vec<_>>() {
                let order = json!({ "order": "kill", "wagon": task, "run": attempt, "leewayS": grace_s });
                w.execute_order(&order, now, &mut begin_save);
            }
        }
        self.write_trace(&format!("{machine} gets stop orders for all its tasks"));
        self.observe_machine(machine, &[]);
    }

    /// Records the starts of tasks on a machine in the trace and reports them to the checker.
    pub(super) fn record_starts(&mut self, machine: &str, started: &[(String, u64)]) {
        for (task, _) in started {
            self.write_trace(&format!("{machine} starts {task}"));
        }
        self.observe_machine(machine, started);
    }

    /// Returns the number of a job's tasks that run.
    pub fn running_tasks(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        self.workers
            .values()
            .flat_map(|w| w.attempts.iter())
            .filter(|((t, _), a)| t.starts_with(&prefix) && a.state == "running")
            .count()
    }

    /// Returns all tasks that run, each with its machine.
    pub fn machines_by_running_task(&self) -> BTreeMap<String, String> {
        let mut units = BTreeMap::new();
        for worker in self.workers.values() {
            let running = worker.attempts.iter().filter(|(_, attempt)| attempt.state == "running");
            units.extend(running.map(|((task, _), _)| (task.clone(), worker.name.clone())));
        }
        units
    }

    /// Returns the machines that have tasks of a job that have not ended.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let prefix = format!("{id}/");
        self.workers
            .values()
            .filter(|w| {
                w.attempts
                    .iter()
                    .any(|((t, _), a)| t.starts_with(&prefix) && a.state != "ended")
            })
            .map(|w| w.name.clone())
            .collect()
    }
}

/// Run time of the tasks of arrays.
#[derive(Clone, Copy)]
pub(crate) struct ArrayRunTime {
    pub(crate) run_ms: u64,
    /// Whether tasks run for up to twice as long, depending on their index.
    pub(crate) is_uneven: bool,
}

impl ArrayRunTime {
    /// Returns the milliseconds for which a task runs, by its full name.
    fn task_run_ms(self, task: &str) -> u64 {
        let index: u64 = task.split('/').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let extra_ms = if self.is_uneven { index * 1300 % self.run_ms } else { 0 };
        self.run_ms + extra_ms
    }
}

/// Advances a worker's tasks and returns those that have completed. Tasks of gangs are skipped: `World::step_gangs`
/// advances them.
pub(crate) fn step_tasks(
    worker: &mut Worker,
    jobs: &BTreeMap<String, Value>,
    run_time: ArrayRunTime,
    now: u64,
) -> Vec<String> {
    let mut finished = Vec::new();
    let is_faulty = worker.is_faulty;
    for ((task, _), attempt) in &mut worker.attempts {
        let job = task.split('/').next().and_then(|j| jobs.get(j));
        let gang = job.is_some_and(|j| j["shape"] == "group");
        if is_faulty && attempt.state != "ended" {
            end_attempt(attempt, "error");
        }
        if gang || attempt.transition_ms.is_none_or(|at| at > now) {
            continue;
        }
        if attempt.state == "pulling" {
            let service = job.is_some_and(|j| j["shape"] == "standing");
            attempt.state = "running";
            attempt.transition_ms = (!service).then(|| now + run_time.task_run_ms(task));
        } else if job.is_some_and(|j| j["broken"] == true) {
            end_attempt(attempt, "error");
        } else {
            end_attempt(attempt, "done");
            finished.push(task.clone());
        }
    }
    finished
}

fn end_attempt(attempt: &mut Attempt, cause: &'static str) {
    attempt.state = "ended";
    attempt.cause = cause;
    attempt.transition_ms = None;
}
