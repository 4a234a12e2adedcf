//! Workers on 127.0.0.1: each reports to the controllers and takes commands on a port of its own.

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

/// How often a worker's tasks go on, and it looks whether a report is due.
const STEP: Duration = Duration::from_millis(20);
/// Time that a worker waits for the answer to a report: shorter than the protocol's, as its lease is.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which a task of an array runs.
const RUN_MS: u64 = 1_500;
/// No two reports come closer together.
const REPORT_GAP_MS: u64 = 100;

/// All workers, and what they need to know.
pub(super) struct Fleet {
    clock: Clock,
    pub(super) controllers: Mutex<Vec<(String, SocketAddr)>>,
    pub(super) jobs: Mutex<BTreeMap<String, Value>>,
    pub(super) recorder: Arc<Mutex<Recorder>>,
    workers: Mutex<BTreeMap<String, Worker>>,
    /// What has run where, in order.
    history: Mutex<Vec<ReplicaEvent>>,
}

/// Something that happened to replicas of services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// From a moment on these run, each on a machine.
    Running {
        /// Milliseconds since the beginning.
        at_ms: u64,
        /// The replicas and their machines.
        replicas: BTreeMap<String, String>,
    },
    /// A worker's session ends, and with it what it ran.
    SessionEnded {
        /// Its machine.
        machine: String,
    },
    /// A controller returns a machine.
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

    /// What has run where, in order.
    pub(super) fn history(&self) -> Vec<ReplicaEvent> {
        lock(&self.history).clone()
    }

    fn note(&self, event: ReplicaEvent) {
        lock(&self.history).push(event);
    }

    pub(super) fn running(&self, job: &str) -> usize {
        let workers = lock(&self.workers);
        let tasks = workers.values().flat_map(|worker| &worker.tasks);
        let runs = tasks.filter(|((task, _), attempt)| attempt.state == "running" && task.starts_with(job));
        runs.count()
    }

    pub(super) fn describe(&self) -> String {
        format!("{:#?}", lock(&self.workers))
    }

    /// Machines that a controller has returned are gone with all that is on them.
    pub(super) fn remove_deleted(&self, deleted: &BTreeSet<String>) {
        for name in deleted {
            if !lock(&self.workers).contains_key(name) {
                continue;
            }
            let machine = name.clone();
            self.note(ReplicaEvent::Deleted { machine });
            self.change(name, |worker, _| worker.tasks.clear());
            lock(&self.workers).remove(name);
        }
    }

    /// Changes a worker, and tells the recorder what has come of it; none: it is gone.
    fn change<T>(&self, name: &str, change: impl FnOnce(&mut Worker, &BTreeMap<String, Value>) -> T) -> Option<T> {
        let jobs = lock(&self.jobs);
        let mut workers = lock(&self.workers);
        let worker = workers.get_mut(name)?;
        let before = running_replicas(worker, &jobs);
        let result = change(worker, &jobs);
        let after = running_replicas(worker, &jobs);
        let mut recorder = lock(&self.recorder);
        for replica in after.difference(&before) {
            recorder.replica_runs(replica, name);
        }
        let now_ms = self.clock.now_ms();
        for replica in before.difference(&after) {
            recorder.replica_stops(now_ms, replica, name);
        }
        if before != after {
            let replicas = all_replicas(&workers, &jobs);
            let at_ms = now_ms;
            self.note(ReplicaEvent::Running { at_ms, replicas });
        }
        Some(result)
    }

    /// Tasks go on, and the session ends if no report was answered for too long.
    fn step(&self, name: &str) -> Option<()> {
        let now_ms = self.clock.now_ms();
        let finished = self.change(name, |worker, jobs| {
            if now_ms > worker.lease_start_ms + WORKER_LEASE_MS {
                let machine = name.to_owned();
                self.note(ReplicaEvent::SessionEnded { machine });
                worker.start_next_session(now_ms);
            }
            let run_time = ArrayRunTime {
                run_ms: RUN_MS,
                uneven: true,
            };
            step_tasks(worker, jobs, run_time, now_ms)
        })?;
        let mut recorder = lock(&self.recorder);
        for task in finished {
            recorder.task_completed(&task);
        }
        Some(())
    }

    fn carry_out(&self, name: &str, orders: &Value) {
        let now_ms = self.clock.now_ms();
        self.change(name, |worker, _| {
            for order in orders.as_array().into_iter().flatten() {
                worker.execute_order(order, now_ms, &mut |_, _, _| false);
            }
        });
    }

    /// A command that a controller sent straight to the worker.
    fn command(&self, name: &str, request: &Request) -> Response {
        let report = |worker: &mut Worker| worker.report().to_string();
        if request.path == "/status" {
            let body = self.change(name, |worker, _| report(worker));
            return body.map_or((404, String::new()), |body| (200, body));
        }
        let body: Value = serde_json::from_str(&request.body).unwrap_or(Value::Null);
        let (Some(token), Some(session)) = (body["baton"].as_u64(), body["shift"].as_u64()) else {
            return (400, "{}".to_owned());
        };
        let taken = self.change(name, |worker, _| {
            let taken = token >= worker.token && session == worker.session;
            if taken {
                worker.token = token;
            }
            taken
        });
        if taken == Some(true) {
            self.carry_out(name, &body["orders"]);
        }
        let status = if taken == Some(true) { 200 } else { 409 };
        let body = self.change(name, |worker, _| report(worker)).unwrap_or_default();
        (status, body)
    }

    /// Sends a report, and does what the answer says.
    fn report(&self, name: &str) -> Option<()> {
        let sent_ms = self.clock.now_ms();
        let (body, session, node) = self.change(name, |worker, _| {
            (worker.report().to_string(), worker.session, worker.node)
        })?;
        let controllers = lock(&self.controllers).clone();
        let (_, address) = controllers.get(node % controllers.len().max(1))?;
        let answer = request(*address, "POST", "/agent/beat", &body, ANSWER_TIMEOUT);
        match answer {
            Ok((200, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
                let token = body["baton"].as_u64().unwrap_or(0);
                let taken = self.change(name, |worker, _| {
                    let taken = token >= worker.token && token > 0 && worker.session == session;
                    if taken {
                        worker.token = token;
                        worker.lease_start_ms = sent_ms;
                    }
                    taken
                })?;
                if taken {
                    self.carry_out(name, &body["orders"]);
                }
            }
            Ok((421, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
                let named = controllers.iter().position(|(name, _)| body["dispatcher"] == **name);
                self.change(name, |worker, _| worker.node = named.unwrap_or(worker.node + 1))?;
            }
            _ => self.change(name, |worker, _| worker.node += 1)?,
        }
        Some(())
    }

    /// What a report says of the tasks and the token: a change of it is reported at once.
    fn reported_state(&self, name: &str) -> Option<String> {
        self.change(name, |worker, _| {
            let tasks: Vec<(&String, u64, &str)> = worker
                .tasks
                .iter()
                .map(|((task, attempt), state)| (task, *attempt, state.state))
                .collect();
            json!([worker.session, worker.token, tasks]).to_string()
        })
    }
}

/// Replicas of services that run on a worker.
fn running_replicas(worker: &Worker, jobs: &BTreeMap<String, Value>) -> BTreeSet<String> {
    let running = worker.tasks.iter().filter(|(_, attempt)| attempt.state == "running");
    let of_service = |task: &&String| {
        let job = task.split('/').next().and_then(|job| jobs.get(job));
        job.is_some_and(|job| job["shape"] == "standing")
    };
    running.map(|((task, _), _)| task).filter(of_service).cloned().collect()
}

/// All replicas of services that run, each with its machine.
fn all_replicas(workers: &BTreeMap<String, Worker>, jobs: &BTreeMap<String, Value>) -> BTreeMap<String, String> {
    let mut replicas = BTreeMap::new();
    for worker in workers.values() {
        let running = running_replicas(worker, jobs).into_iter();
        replicas.extend(running.map(|replica| (replica, worker.name.clone())));
    }
    replicas
}

/// A machine boots; its worker runs until the machine is deleted.
pub(super) fn start_worker(fleet: &Arc<Fleet>, name: String, zone: String, spot: bool, boot: Duration) {
    let fleet = fleet.clone();
    thread::spawn(move || {
        thread::sleep(boot);
        let commands = fleet.clone();
        let own_name = name.clone();
        let Ok(address) = serve(Arc::new(move |request| commands.command(&own_name, &request))) else {
            return;
        };
        let now_ms = fleet.clock.now_ms();
        let node = lock(&fleet.workers).len();
        let mut worker = Worker::new(&name, &zone, spot, node, now_ms);
        worker.command_address = Some(address.to_string());
        lock(&fleet.workers).insert(name.clone(), worker);
        let (stepping, stepped_name) = (fleet.clone(), name.clone());
        thread::spawn(move || {
            while stepping.step(&stepped_name).is_some() {
                thread::sleep(STEP);
            }
        });
        run_reports(&fleet, &name);
    });
}

fn run_reports(fleet: &Fleet, name: &str) {
    let mut reported = String::new();
    let mut last_ms = 0;
    while let Some(state) = fleet.reported_state(name) {
        let since_ms = fleet.clock.now_ms().saturating_sub(last_ms);
        let changed = state != reported && since_ms >= REPORT_GAP_MS;
        if changed || since_ms >= REPORT_MS {
            last_ms = fleet.clock.now_ms();
            reported = state;
            if fleet.report(name).is_none() {
                return;
            }
        }
        thread::sleep(STEP);
    }
}
