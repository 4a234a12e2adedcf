//! Simulates workers on 127.0.0.1. Each one reports to the controllers and accepts commands on its own port.

use super::http::{Request, Response, request, serve};
use super::{Clock, REPORT_MS, Recorder, WORKER_LEASE_MS, lock};
use crate::worker::Worker;
use crate::world::{ArrayRunTime, step_tasks};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a worker advances its tasks and checks whether a report is due.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a report. It is shorter than the protocol's timeout because the lease is shorter, too.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum run time of a task of an array, in milliseconds. Tasks run for up to twice as long, depending on their
/// index.
const TASK_RUN_MS: u64 = 1_500;
/// Minimum interval between two reports, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 100;

/// All workers, and the state that they share.
pub(super) struct Fleet {
    clock: Clock,
    pub(super) controllers: Mutex<Vec<(String, SocketAddr)>>,
    pub(super) jobs: Mutex<BTreeMap<String, Value>>,
    pub(super) recorder: Arc<Mutex<Recorder>>,
    workers: Mutex<BTreeMap<String, Worker>>,
    /// The events of replicas, in order.
    history: Mutex<Vec<ReplicaEvent>>,
}

/// An event that affects replicas of services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// The set of running replicas has changed.
    Running {
        /// Milliseconds since the beginning.
        at_ms: u64,
        /// All running replicas, each with its machine.
        replicas: BTreeMap<String, String>,
    },
    /// A worker's session has ended, and with it all its tasks.
    SessionEnded {
        /// The worker's machine.
        machine: String,
    },
    /// A controller has returned a machine to the cloud.
    Deleted {
        /// The machine.
        machine: String,
    },
}

impl Fleet {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            controllers: Mutex::default(),
            jobs: Mutex::default(),
            recorder: Arc::default(),
            workers: Mutex::default(),
            history: Mutex::default(),
        }
    }

    /// Returns the events of replicas, in order.
    pub(super) fn history(&self) -> Vec<ReplicaEvent> {
        lock(&self.history).clone()
    }

    fn record_event(&self, event: ReplicaEvent) {
        lock(&self.history).push(event);
    }

    pub(super) fn running(&self, job: &str) -> usize {
        let workers = lock(&self.workers);
        let tasks = workers.values().flat_map(|worker| &worker.attempts);
        let runs = tasks.filter(|((task, _), attempt)| attempt.state == "running" && task.starts_with(job));
        runs.count()
    }

    pub(super) fn describe(&self) -> String {
        format!("{:#?}", lock(&self.workers))
    }

    /// Removes the workers of machines that a controller has returned, with all their tasks.
    pub(super) fn remove_deleted(&self, deleted: &BTreeSet<String>) {
        for name in deleted {
            if !lock(&self.workers).contains_key(name) {
                continue;
            }
            let machine = name.clone();
            self.record_event(ReplicaEvent::Deleted { machine });
            self.update_worker(name, |worker, _| worker.attempts.clear());
            lock(&self.workers).remove(name);
        }
    }

    /// Applies a change to a worker, and reports the replicas that start or stop by it to the recorder. Returns `None`
    /// if the worker is gone.
    fn update_worker<T>(
        &self,
        name: &str,
        change: impl FnOnce(&mut Worker, &BTreeMap<String, Value>) -> T,
    ) -> Option<T> {
        let jobs = lock(&self.jobs);
        let mut workers = lock(&self.workers);
        let worker = workers.get_mut(name)?;
        let replicas_before = running_replicas(worker, &jobs);
        let result = change(worker, &jobs);
        let replicas_after = running_replicas(worker, &jobs);
        let mut recorder = lock(&self.recorder);
        for replica in replicas_after.difference(&replicas_before) {
            recorder.record_replica_start(replica, name);
        }
        let now_ms = self.clock.now_ms();
        for replica in replicas_before.difference(&replicas_after) {
            recorder.record_replica_stop(now_ms, replica, name);
        }
        if replicas_before != replicas_after {
            let replicas = all_replicas(&workers, &jobs);
            let at_ms = now_ms;
            self.record_event(ReplicaEvent::Running { at_ms, replicas });
        }
        Some(result)
    }

    /// Advances a worker's tasks, and ends its session if its lease has expired. Returns `None` if the worker is gone.
    fn step_worker(&self, name: &str) -> Option<()> {
        let now_ms = self.clock.now_ms();
        let finished = self.update_worker(name, |worker, jobs| {
            if now_ms > worker.lease_start_ms + WORKER_LEASE_MS {
                let machine = name.to_owned();
                self.record_event(ReplicaEvent::SessionEnded { machine });
                worker.start_next_session(now_ms);
            }
            let run_time = ArrayRunTime {
                run_ms: TASK_RUN_MS,
                is_uneven: true,
            };
            step_tasks(worker, jobs, run_time, now_ms)
        })?;
        let mut recorder = lock(&self.recorder);
        for task in finished {
            recorder.record_completion(&task);
        }
        Some(())
    }

    fn execute_orders(&self, name: &str, orders: &Value) {
        let now_ms = self.clock.now_ms();
        self.update_worker(name, |worker, _| {
            for order in orders.as_array().into_iter().flatten() {
                worker.execute_order(order, now_ms, &mut |_, _, _| false);
            }
        });
    }

    /// Handles a command that a controller has sent directly to a worker.
    fn handle_command(&self, name: &str, request: &Request) -> Response {
        let report = |worker: &mut Worker| worker.report().to_string();
        if request.path == "/status" {
            let body = self.update_worker(name, |worker, _| report(worker));
            return body.map_or((404, String::new()), |body| (200, body));
        }
        let body: Value = serde_json::from_str(&request.body).unwrap_or(Value::Null);
        let (Some(token), Some(session)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return (400, "{}".to_owned());
        };
        let accepted = self.update_worker(name, |worker, _| {
            let accepted = token >= worker.token && session == worker.session;
            if accepted {
                worker.token = token;
            }
            accepted
        });
        if accepted == Some(true) {
            self.execute_orders(name, &body["orders"]);
        }
        let status = if accepted == Some(true) { 200 } else { 409 };
        let body = self.update_worker(name, |worker, _| report(worker)).unwrap_or_default();
        (status, body)
    }

    /// Sends a worker's report and applies the answer. Returns `None` if the worker is gone or has no controller.
    fn send_report(&self, name: &str) -> Option<()> {
        let sent_ms = self.clock.now_ms();
        let (body, session, controller) = self.update_worker(name, |worker, _| {
            (worker.report().to_string(), worker.session, worker.controller)
        })?;
        let controllers = lock(&self.controllers).clone();
        let (_, address) = controllers.get(controller % controllers.len().max(1))?;
        let answer = request(*address, "POST", "/agent/beat", &body, REPORT_TIMEOUT);
        match answer {
            Ok((200, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
                let token = body["baton"].as_u64().unwrap_or(0);
                let accepted = self.update_worker(name, |worker, _| {
                    let accepted = token >= worker.token && token > 0 && worker.session == session;
                    if accepted {
                        worker.token = token;
                        worker.lease_start_ms = sent_ms;
                    }
                    accepted
                })?;
                if accepted {
                    self.execute_orders(name, &body["orders"]);
                }
            }
            Ok((421, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
                let named = controllers.iter().position(|(name, _)| body["dispatcher"] == **name);
                self.update_worker(name, |worker, _| {
                    worker.controller = named.unwrap_or(worker.controller + 1)
                })?;
            }
            _ => self.update_worker(name, |worker, _| worker.controller += 1)?,
        }
        Some(())
    }

    /// Returns the session, the token and the tasks as text. The worker reports at once when it changes.
    fn reported_state(&self, name: &str) -> Option<String> {
        self.update_worker(name, |worker, _| {
            let tasks: Vec<(&String, u64, &str)> = worker
                .attempts
                .iter()
                .map(|((task, attempt), state)| (task, *attempt, state.state))
                .collect();
            json!([worker.session, worker.token, tasks]).to_string()
        })
    }
}

/// Returns the replicas of services that run on a worker.
fn running_replicas(worker: &Worker, jobs: &BTreeMap<String, Value>) -> BTreeSet<String> {
    let running = worker.attempts.iter().filter(|(_, attempt)| attempt.state == "running");
    let of_service = |task: &&String| {
        let job = task.split('/').next().and_then(|job| jobs.get(job));
        job.is_some_and(|job| job["shape"] == "standing")
    };
    running.map(|((task, _), _)| task).filter(of_service).cloned().collect()
}

/// Returns all replicas of services that run, each with its machine.
fn all_replicas(workers: &BTreeMap<String, Worker>, jobs: &BTreeMap<String, Value>) -> BTreeMap<String, String> {
    let mut replicas = BTreeMap::new();
    for worker in workers.values() {
        let running = running_replicas(worker, jobs).into_iter();
        replicas.extend(running.map(|replica| (replica, worker.name.clone())));
    }
    replicas
}

/// Starts a machine: its worker appears after the boot time and runs until the machine is deleted.
pub(super) fn start_worker(fleet: &Arc<Fleet>, name: String, zone: String, spot: bool, boot: Duration) {
    let fleet = fleet.clone();
    thread::spawn(move || {
        thread::sleep(boot);
        let commands = fleet.clone();
        let own_name = name.clone();
        let Ok(address) = serve(Arc::new(move |request| commands.handle_command(&own_name, &request))) else {
            return;
        };
        let now_ms = fleet.clock.now_ms();
        let controller = lock(&fleet.workers).len();
        let mut worker = Worker::new(&name, &zone, spot, controller, now_ms);
        worker.command_address = Some(address.to_string());
        lock(&fleet.workers).insert(name.clone(), worker);
        let (stepping, stepped_name) = (fleet.clone(), name.clone());
        thread::spawn(move || {
            while stepping.step_worker(&stepped_name).is_some() {
                thread::sleep(STEP_INTERVAL);
            }
        });
        send_reports(&fleet, &name);
    });
}

/// Sends a worker's reports until it is gone: periodically, and at once when the reported state changes.
fn send_reports(fleet: &Fleet, name: &str) {
    let mut reported = String::new();
    let mut last_ms = 0;
    while let Some(state) = fleet.reported_state(name) {
        let elapsed_ms = fleet.clock.now_ms().saturating_sub(last_ms);
        let has_changed = state != reported && elapsed_ms >= MIN_REPORT_INTERVAL_MS;
        if has_changed || elapsed_ms >= REPORT_MS {
            last_ms = fleet.clock.now_ms();
            reported = state;
            if fleet.send_report(name).is_none() {
                return;
            }
        }
        thread::sleep(STEP_INTERVAL);
    }
}
