//! The world: three controllers, the services round them, and a network that can be meddled with.

use crate::checker::{Checker, Place, Question};
use crate::cloud::Cloud;
use crate::gang::{self, Gangs, Terms};
use crate::state::{Said, Store};
use crate::worker::Worker;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::fmt::Write as _;
use tidelatch_core::ids::{Incarnation, Partition};
use tidelatch_core::settings::{Features, Operator, Platform, Settings};
use tidelatch_core::{Answer, Controller, Input, Level, Method, Now, Output, PeerReply, PeerRequest, Target};

/// What becomes of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It arrives, and so does its answer.
    Pass,
    /// It never arrives.
    Lost,
    /// It arrives and is carried out; the answer is lost.
    AnswerLost,
    /// It arrives this many milliseconds late; nobody waits for the answer by then.
    Late(u64),
    /// It arrives this many milliseconds late, and is answered then.
    Slow(u64),
    /// It arrives and is carried out; the answer comes this many milliseconds late.
    AnswerLate(u64),
    /// It arrives, and so does its answer; a copy of it comes this many milliseconds late.
    Copied(u64),
    /// It is answered with 503 and not carried out. Where the state service does so, the sender's open
    /// watches wait as in an outage until a request of it gets through again.
    Refused,
}

/// The size of a world.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Teams.
    pub teams: u32,
    /// Accelerators guaranteed to each.
    pub guarantee: f64,
    /// Most accelerators of each.
    pub limit: f64,
    /// Changes a second that the state service takes.
    pub write_rps: f64,
    /// Largest value that it takes, in KiB.
    pub value_kb: f64,
    /// Limits that it will have: changes a second, KiB in a value, changes in a transaction.
    pub next: Option<(f64, f64, u32)>,
    /// Bytes of each team's name, at least.
    pub long_names: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            teams: 3,
            guarantee: 2.0,
            limit: 4.0,
            write_rps: 60.0,
            value_kb: 32.0,
            next: None,
            long_names: 0,
        }
    }
}

/// What the controllers have sent, all together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sent {
    /// Requests to the state service.
    pub state_requests: u64,
    /// Puts and deletes in transactions.
    pub changes: u64,
    /// Bytes of transactions.
    pub state_bytes: u64,
    /// Requests to the cloud.
    pub cloud_calls: u64,
    /// Requests to workers.
    pub commands: u64,
    /// Reports passed on from one controller to another.
    pub relays: u64,
    /// Reports that came in.
    pub beats: u64,
}

/// A message on its way.
#[derive(Debug)]
pub struct Letter<'a> {
    /// Time of sending.
    pub at: u64,
    /// Sender: a controller or a machine.
    pub from: &'a str,
    /// Receiver: `state`, `cloud`, a controller or a machine.
    pub to: &'a str,
    /// Method and path, or the kind of a peer's question.
    pub what: &'a str,
    /// Body.
    pub body: &'a str,
}

type Meddler = Box<dyn FnMut(&Letter<'_>) -> Fate>;

enum Event {
    Tick(usize, u64),
    Arrive {
        node: usize,
        life: u64,
        call: u64,
        to: String,
        method: &'static str,
        path: String,
        body: String,
        answered: Option<u64>,
    },
    Back {
        node: usize,
        life: u64,
        call: u64,
        result: Option<(u16, String)>,
    },
    Watch {
        node: usize,
        life: u64,
        call: u64,
        prefix: String,
        since: u64,
        until: u64,
    },
    PeerArrive {
        from: usize,
        life: u64,
        call: u64,
        to: usize,
        request: PeerRequest,
        answered: Option<u64>,
    },
    PeerBack {
        node: usize,
        life: u64,
        call: u64,
        result: Option<PeerReply>,
    },
    Boot(String),
    Work(String),
    Gangs,
    BeatArrive {
        node: usize,
        body: String,
        worker: String,
        beat: u64,
        answered: Option<u64>,
    },
    Withdraw {
        node: usize,
        job: String,
    },
    BeatBack {
        worker: String,
        beat: u64,
        result: Option<(u16, String)>,
    },
}

struct Node {
    core: Option<Controller>,
    life: u64,
    settings: Settings,
    open: HashSet<u64>,
    /// While it stands still: what has come in since.
    still: Option<Vec<Input>>,
    /// The state service answered its last request with 503, and only its.
    refused: bool,
}

enum Asked {
    User,
    Worker {
        worker: String,
        beat: u64,
        answered: Option<u64>,
    },
    Peer {
        node: usize,
        life: u64,
        call: u64,
        answered: Option<u64>,
    },
}

/// Everything, at one moment.
pub struct World {
    /// Milliseconds since the beginning.
    pub now: u64,
    /// The state service.
    pub store: Store,
    /// The cloud.
    pub cloud: Cloud,
    /// Workers that are up.
    pub workers: BTreeMap<String, Worker>,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Answers that users got, by request.
    pub answers: BTreeMap<u64, (u64, Answer)>,
    /// Milliseconds that a task of an array runs.
    pub run_ms: u64,
    /// An array's tasks run for up to twice as long, each by its number.
    pub uneven: bool,
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
    asked: BTreeMap<u64, Asked>,
    next_request: u64,
    meddler: Meddler,
    jobs: BTreeMap<String, Value>,
    /// How workers play gangs.
    pub gangs: Gangs,
    playing: bool,
    beaten: BTreeMap<String, u64>,
    asked_about: BTreeMap<u64, (String, &'static str)>,
    checker: Checker,
    /// How many of the checker's breaches are in `broken`.
    judged: usize,
    /// Jobs to be cancelled when their last task ends: at which controller, and how much later.
    cancel_at_end: BTreeMap<String, (usize, u64)>,
    /// Cancellations that were asked for when a job's last task had ended, by job.
    pub cancelled_at_end: BTreeMap<String, u64>,
    /// Copies of reports that wait for the next epoch, while they are kept.
    kept: Option<VecDeque<String>>,
    kept_epoch: u64,
    trace: String,
    size: Size,
    /// What the controllers have sent so far.
    pub sent: Sent,
}

const LEASE_MS: u64 = 18_000;
const REPORT_MS: u64 = 2_500;
const CANCEL_MS: u64 = 38_000;
/// Most copies of reports that are kept for the next epoch.
const KEPT_REPORTS: usize = 60;

fn settings(index: usize, operator: &Operator, size: &Size) -> Settings {
    let siblings: Vec<Value> = (0..3)
        .filter(|i| *i != index)
        .map(|i| json!({ "host_name": format!("berth-{i}"), "area": "a", "address": format!("10.0.0.{}:8081", i + 1) }))
        .collect();
    let teams: Vec<Value> = (0..size.teams)
        .map(|i| json!({ "name": team_name(i, size), "gpus": size.guarantee, "gpus_max": size.limit }))
        .collect();
    let platform = json!({
        "host_name": format!("berth-{index}"), "area": "a",
        "api_addr": format!("10.0.0.{}:8080", index + 1), "peer_listen": format!("10.0.0.{}:8081", index + 1),
        "siblings": siblings, "outside": { "cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379" },
        "facts": {
            "nodes": 3, "zones": ["a", "b"], "skew_ms": 25.0, "teams": teams,
            "workers": { "report_s": 2.5, "lease_s": 18.0, "cancel_s": 38.0,
                "gang_wait_s": gang::WAIT_MS as f64 / 1000.0, "gang_peer_s": gang::PEER_MS as f64 / 1000.0 },
            "state": { "rps": 250.0, "write_rps": size.write_rps, "value_kb": size.value_kb, "txn_ops": 16,
                "next": size.next.map(|(rps, kb, ops)| json!({ "write_rps": rps, "value_kb": kb, "txn_ops": ops })) },
            "cloud": { "rps": 4.0, "list_lag_s": 8.0 },
            "machine_limits": { "cores": 0.1, "ram_mb": 100.0, "sockets": 1000 }
        }
    });
    let platform: Platform = serde_json::from_value(platform).expect("the stand-in's own settings are in form");
    assert!(platform.faults().is_empty(), "the stand-in's own settings are in order");
    Settings {
        platform,
        operator: operator.clone(),
        features: tidelatch_core::settings::Features::default(),
    }
}

fn team_name(i: u32, size: &Size) -> String {
    let name = format!("team-{i}");
    format!("{name:x<width$}", width = size.long_names)
}

/// A submission: a gang of tasks in one zone that need processors only, six to a machine, with a checkpoint
/// every two seconds.
pub fn gang(id: u32, team: u32, tasks: u32) -> Value {
    let mut job = job(id, team, "group", tasks);
    job["accelerators"] = json!(0.0);
    job["vcpus"] = json!(4.0);
    job["ramGb"] = json!(10.0);
    job["together"] = json!(true);
    job["waypointS"] = json!(2.0);
    job["stowS"] = json!(gang::SAVE_MS as f64 / 1000.0);
    job
}

/// A submission: an array or a service of tasks with one accelerator each.
pub fn job(id: u32, team: u32, shape: &str, tasks: u32) -> Value {
    json!({
        "uid": format!("job-{id:06}"), "consist": "c", "crew": format!("team-{team}"), "shape": shape,
        "precedence": if shape == "standing" { "prod" } else { "normal" }, "wagons": tasks,
        "vcpus": 8.0, "accelerators": 1.0, "ramGb": 40.0, "stock": "img", "sizeGb": 1.0, "models": null,
        "yard": null, "together": false, "spread": false, "standby": false, "runtimeS": 5.0,
        "waypointS": 0.0, "stowS": 0.0, "dueS": null
    })
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}

impl World {
    /// Three controllers that have just been started.
    pub fn new() -> Self {
        Self::with(&Operator::default())
    }

    /// Three controllers with settings of the operators' own.
    pub fn with(operator: &Operator) -> Self {
        Self::sized(operator, Size::default())
    }

    /// Three controllers of a deployment of some size.
    pub fn sized(operator: &Operator, size: Size) -> Self {
        let mut world = Self {
            now: 0,
            store: Store::default(),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            broken: Vec::new(),
            answers: BTreeMap::new(),
            run_ms: 5000,
            uneven: false,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            asked: BTreeMap::new(),
            next_request: 1,
            meddler: Box::new(|_| Fate::Pass),
            jobs: BTreeMap::new(),
            gangs: Gangs::default(),
            playing: false,
            beaten: BTreeMap::new(),
            asked_about: BTreeMap::new(),
            checker: Checker::new(CANCEL_MS),
            judged: 0,
            cancel_at_end: BTreeMap::new(),
            cancelled_at_end: BTreeMap::new(),
            kept: None,
            kept_epoch: 0,
            trace: String::new(),
            size,
            sent: Sent::default(),
        };
        for i in 0..size.teams {
            world.checker.limit(&team_name(i, &size), size.limit);
        }
        for i in 0..3 {
            world.nodes.push(Node {
                core: None,
                life: 0,
                settings: settings(i, operator, &size),
                open: HashSet::new(),
                still: None,
                refused: false,
            });
            world.start(i);
        }
        world
    }

    /// Decides the fate of every message from now on.
    pub fn meddle(&mut self, meddler: impl FnMut(&Letter<'_>) -> Fate + 'static) {
        self.meddler = Box::new(meddler);
    }

    /// Lets every message pass again.
    pub fn calm(&mut self) {
        self.meddler = Box::new(|_| Fate::Pass);
    }

    /// From its next start on, a controller knows what the version before gangs did, or what this one does.
    pub fn version(&mut self, node: usize, features: Features) {
        if let Some(n) = self.nodes.get_mut(node) {
            n.settings.features = features;
        }
    }

    /// Starts a controller, as a new life.
    pub fn start(&mut self, node: usize) {
        let now = Now {
            ms: self.now,
            wall_ms: self.now,
        };
        let Some(n) = self.nodes.get_mut(node) else { return };
        n.life += 1;
        n.open.clear();
        n.still = None;
        n.refused = false;
        let inc = Incarnation((node as u64 + 1) * 1_000_000 + n.life * 1000);
        n.core = Some(Controller::new(n.settings.clone(), inc, now));
        let life = n.life;
        self.note(&format!("berth-{node} starts"));
        self.push(1, Event::Tick(node, life));
    }

    /// A controller stands still while its clocks run on; what comes in stays in its buffers.
    pub fn freeze(&mut self, node: usize) {
        self.note(&format!("berth-{node} stands still"));
        if let Some(n) = self.nodes.get_mut(node) {
            n.still = Some(Vec::new());
        }
    }

    /// It goes on, with all that has come in meanwhile.
    pub fn thaw(&mut self, node: usize) {
        self.note(&format!("berth-{node} goes on"));
        let inputs = self.nodes.get_mut(node).and_then(|n| n.still.take());
        for input in inputs.unwrap_or_default() {
            self.feed(node, input);
        }
        self.check_owners();
    }

    /// Ends a controller with no warning.
    pub fn crash(&mut self, node: usize) {
        if let Some(n) = self.nodes.get_mut(node) {
            n.core = None;
            n.life += 1;
        }
        self.note(&format!("berth-{node} crashes"));
    }

    /// Writes a line into the trace.
    pub fn note(&mut self, text: &str) {
        let (s, ms) = (self.now / 1000, self.now % 1000);
        let _ = writeln!(self.trace, "{s:4}.{ms:03}  {text}");
    }

    /// The trace so far.
    pub fn trace(&self) -> &str {
        &self.trace
    }

    fn push(&mut self, after: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        // A test may have changed machines.
        self.look_at_machines();
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), event)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.expire_leases();
            self.happen(event);
            self.check_owners();
            self.checker.passes(self.now);
            self.judge();
            self.deliver_kept();
        }
        self.now = until;
        self.expire_leases();
        self.checker.passes(self.now);
        self.judge();
    }

    /// The protocol's checker, which has seen all that happened.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    /// Milliseconds from the confirmation of a cancellation until the job's last task was gone.
    pub fn gone_after_confirmation(&self, job: &str) -> Option<u64> {
        self.checker.gone_after_confirmation(job)
    }

    /// Starts of a job's tasks after its user was told that it is cancelled.
    pub fn started_after(&self, job: &str) -> u64 {
        self.checker.started_after(job)
    }

    /// A user will cancel a job, at some controller, so many milliseconds after its last task has ended.
    /// The request is in [`World::cancelled_at_end`] from then on.
    pub fn cancel_at_end(&mut self, node: usize, job: &str, after: u64) {
        self.cancel_at_end.insert(job.to_owned(), (node, after));
    }

    /// From now on copies of the last reports are kept. Whenever an epoch begins, every controller gets those
    /// that were kept before it, and new ones are kept.
    pub fn keep_reports(&mut self) {
        self.kept = Some(VecDeque::new());
        self.kept_epoch = self.epoch();
    }

    fn deliver_kept(&mut self) {
        if self.kept.is_none() {
            return;
        }
        let epoch = self.epoch();
        if epoch <= self.kept_epoch {
            return;
        }
        self.kept_epoch = epoch;
        let bodies = self.kept.replace(VecDeque::new()).unwrap_or_default();
        self.note(&format!("epoch {epoch}: {} reports of before come again", bodies.len()));
        for body in bodies {
            for node in 0..self.nodes.len() {
                self.push(
                    1,
                    Event::BeatArrive {
                        node,
                        body: body.clone(),
                        worker: String::new(),
                        beat: 0,
                        answered: None,
                    },
                );
            }
        }
    }

    /// Lets time pass until something holds, for at most `ms`; whether it came to hold.
    pub fn run_until(&mut self, ms: u64, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let until = self.now + ms;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run(20);
        }
        holds(self)
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        self.store.expire(now);
    }

    /// Submits a job to a controller.
    pub fn submit(&mut self, node: usize, body: &Value) -> u64 {
        let id = body["uid"].as_str().unwrap_or_default().to_owned();
        self.jobs.insert(id.clone(), body.clone());
        self.checker.submitted(body);
        self.note(&format!("a user submits {id} to berth-{node}"));
        if body["shape"] == "group" && !self.playing {
            self.playing = true;
            self.push(100, Event::Gangs);
        }
        self.user(node, Method::Post, "/submissions", &body.to_string(), (id, "submit"))
    }

    /// Asks a controller about a job.
    pub fn poll(&mut self, node: usize, id: &str) -> u64 {
        self.user(
            node,
            Method::Get,
            &format!("/submissions/{id}"),
            "",
            (id.to_owned(), "poll"),
        )
    }

    /// Cancels a job.
    pub fn withdraw(&mut self, node: usize, id: &str) -> u64 {
        self.note(&format!("a user cancels {id} at berth-{node}"));
        let path = format!("/submissions/{id}/withdraw");
        self.user(node, Method::Post, &path, "", (id.to_owned(), "withdraw"))
    }

    /// Any request of a user.
    pub fn user(&mut self, node: usize, method: Method, path: &str, body: &str, about: (String, &'static str)) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        self.asked.insert(id, Asked::User);
        let cancels = path
            .strip_prefix("/submissions/")
            .and_then(|p| p.strip_suffix("/withdraw"));
        if let Some(job) = cancels.filter(|_| method == Method::Post) {
            self.checker.asked(self.now, job, Question::Withdraw);
        } else if about.1 == "submit" {
            self.checker.asked(self.now, &about.0, Question::Submit);
        } else if about.1 == "poll" {
            self.checker.asked(self.now, &about.0, Question::Poll);
        }
        self.asked_about.insert(id, about);
        self.feed(
            node,
            Input::Request {
                id,
                method,
                path: path.to_owned(),
                body: body.as_bytes().to_vec(),
            },
        );
        id
    }

    /// Status of a user's answer; 0: none yet.
    pub fn status(&self, request: u64) -> u16 {
        self.answers.get(&request).map_or(0, |(_, a)| a.status)
    }

    /// The `status` field of a user's answer.
    pub fn said(&self, request: u64) -> String {
        self.answers
            .get(&request)
            .and_then(|(_, a)| serde_json::from_str::<Value>(&a.body).ok())
            .and_then(|v| v["status"].as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// Submits and waits until the job is accepted.
    pub fn accepted(&mut self, node: usize, body: &Value) {
        for _ in 0..20 {
            let request = self.submit(node, body);
            self.run(500);
            if matches!(self.status(request), 200 | 201) {
                return;
            }
            self.run(500);
        }
        panic!("not accepted:\n{}", self.trace);
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

    /// Lets time pass while users ask about jobs, one controller after the other, and returns the
    /// jobs that nobody answered for.
    pub fn unanswered(&mut self, ms: u64, jobs: &[&str]) -> Vec<String> {
        let until = self.now + ms;
        let mut open: BTreeMap<String, Vec<u64>> = jobs.iter().map(|j| ((*j).to_owned(), Vec::new())).collect();
        let mut node = 0;
        while self.now < until {
            for (job, asked) in &mut open {
                let polled = self.poll(node, job);
                asked.push(polled);
                node = (node + 1) % 3;
            }
            self.run(3000);
        }
        let answered = |r: &u64| self.status(*r) == 200;
        open.into_iter()
            .filter(|(_, asked)| !asked.iter().any(answered))
            .map(|(job, _)| job)
            .collect()
    }

    /// The machines in the stored roster.
    pub fn roster(&self) -> Vec<String> {
        let racks = self.store.keys("t/m/");
        let machines = racks.iter().filter_map(|k| self.store.get(k)?["m"].as_object());
        machines.flat_map(|m| m.keys().cloned()).collect()
    }

    /// How often controllers looked at a machine for a task.
    pub fn evaluations(&self) -> u64 {
        self.nodes
            .iter()
            .flat_map(|n| &n.core)
            .map(Controller::evaluations)
            .sum()
    }

    /// A team's name.
    pub fn team(&self, at: usize) -> String {
        team_name(at as u32, &self.size)
    }

    /// The controller that owns a team, by the stored epoch.
    pub fn owner_of_team(&self, team: usize) -> usize {
        let owner = self
            .store
            .get("t/c/epoch")
            .and_then(|e| e["parts"][team]["owner"].as_str().map(str::to_owned))
            .unwrap_or_default();
        owner.strip_prefix("berth-").and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.store.get("t/c/epoch").and_then(|e| e["n"].as_u64()).unwrap_or(0)
    }

    fn feed(&mut self, node: usize, input: Input) {
        let now = Now {
            ms: self.now,
            wall_ms: self.now,
        };
        let Some(n) = self.nodes.get_mut(node) else { return };
        if let Some(still) = &mut n.still {
            still.push(input);
            return;
        }
        let life = n.life;
        let outputs = match &mut n.core {
            Some(core) => core.step(now, input),
            None => return,
        };
        for output in outputs {
            self.carry_out(node, life, output);
        }
    }

    fn carry_out(&mut self, node: usize, life: u64, output: Output) {
        let name = format!("berth-{node}");
        match output {
            Output::Log {
                level: Level::Debug, ..
            } => {}
            Output::Log { text, .. } => self.note(&format!("{name}: {text}")),
            Output::Answer { id, answer } => match self.asked.remove(&id) {
                Some(Asked::User) => self.tell_user(node, id, answer),
                Some(Asked::Worker {
                    worker,
                    beat,
                    answered: Some(after),
                }) => {
                    self.ordered(&answer.body);
                    self.push(
                        after,
                        Event::BeatBack {
                            worker,
                            beat,
                            result: Some((answer.status, answer.body)),
                        },
                    );
                }
                _ => {}
            },
            Output::Tell { id, reply } => {
                if let Some(Asked::Peer {
                    node,
                    life,
                    call,
                    answered: Some(after),
                }) = self.asked.remove(&id)
                {
                    self.push(
                        after,
                        Event::PeerBack {
                            node,
                            life,
                            call,
                            result: Some(reply),
                        },
                    );
                }
            }
            Output::Call {
                id,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let to = match &target {
                    Target::State => "state".to_owned(),
                    Target::Cloud => "cloud".to_owned(),
                    Target::Worker(addr) => addr.split(':').next().unwrap_or_default().to_owned(),
                };
                let method = match method {
                    Method::Get => "GET",
                    Method::Post => "POST",
                    Method::Delete => "DELETE",
                };
                let what = format!("{method} {path}");
                match &target {
                    Target::State => {
                        self.sent.state_requests += 1;
                        self.sent.state_bytes += body.len() as u64;
                        let ops = serde_json::from_str::<Value>(&body).unwrap_or(Value::Null);
                        self.sent.changes += ops["then"].as_array().map_or(0, Vec::len) as u64;
                    }
                    Target::Cloud => self.sent.cloud_calls += 1,
                    Target::Worker(_) => {
                        self.sent.commands += 1;
                        self.ordered(&body);
                    }
                }
                let fate = self.fate(&name, &to, &what, &body);
                if let Some(n) = self.nodes.get_mut(node) {
                    n.open.insert(id);
                    if target == Target::State {
                        n.refused = fate == Fate::Refused;
                    }
                }
                if fate == Fate::Refused {
                    self.push(
                        2,
                        Event::Back {
                            node,
                            life,
                            call: id,
                            result: Some((503, json!({ "error": "trouble" }).to_string())),
                        },
                    );
                }
                self.push(
                    timeout_ms,
                    Event::Back {
                        node,
                        life,
                        call: id,
                        result: None,
                    },
                );
                if let Fate::Copied(late) = fate {
                    self.push(
                        late,
                        Event::Arrive {
                            node,
                            life,
                            call: id,
                            to: to.clone(),
                            method,
                            path: path.clone(),
                            body: body.clone(),
                            answered: None,
                        },
                    );
                }
                if let Some(after) = delay(fate) {
                    self.push(
                        after,
                        Event::Arrive {
                            node,
                            life,
                            call: id,
                            to,
                            method,
                            path,
                            body,
                            answered: answered(fate),
                        },
                    );
                }
            }
            Output::Ask {
                id,
                to,
                request,
                timeout_ms,
            } => {
                let kind = match &request {
                    PeerRequest::Relay { .. } => {
                        self.sent.relays += 1;
                        "relay"
                    }
                    PeerRequest::Forward { .. } => "forward",
                    PeerRequest::Hello { .. } => "hello",
                };
                let fate = self.fate(&name, to.as_str(), kind, "");
                let timeout_ms = if fate == Fate::Refused { 2 } else { timeout_ms };
                if let Some(n) = self.nodes.get_mut(node) {
                    n.open.insert(id);
                }
                self.push(
                    timeout_ms,
                    Event::PeerBack {
                        node,
                        life,
                        call: id,
                        result: None,
                    },
                );
                let to = to
                    .as_str()
                    .strip_prefix("berth-")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                if let Some(after) = delay(fate) {
                    self.push(
                        after,
                        Event::PeerArrive {
                            from: node,
                            life,
                            call: id,
                            to,
                            request,
                            answered: answered(fate),
                        },
                    );
                }
            }
        }
    }

    fn fate(&mut self, from: &str, to: &str, what: &str, body: &str) -> Fate {
        let letter = Letter {
            at: self.now,
            from,
            to,
            what,
            body,
        };
        let fate = (self.meddler)(&letter);
        if !matches!(fate, Fate::Pass | Fate::Copied(_) | Fate::Slow(_)) && !what.starts_with("hello") {
            let path: String = what.chars().take(60).collect();
            self.note(&format!("({from} to {to}, {path}: {fate:?})"));
        }
        fate
    }

    fn tell_user(&mut self, node: usize, id: u64, answer: Answer) {
        let Some((job, kind)) = self.asked_about.get(&id).cloned() else {
            return;
        };
        let said = serde_json::from_str::<Value>(&answer.body)
            .ok()
            .and_then(|v| v["status"].as_str().map(str::to_owned))
            .unwrap_or_default();
        self.note(&format!("berth-{node} answers {kind} {job}: {} {said}", answer.status));
        if kind != "health" {
            self.checker.answered(self.now, &job, answer.status, &said);
            self.judge();
        }
        self.answers.insert(id, (self.now, answer));
    }

    /// Writes down what the checker has found since it was last asked.
    fn judge(&mut self) {
        let new = self.checker.breaches().get(self.judged..).unwrap_or_default().to_vec();
        self.judged += new.len();
        for text in new {
            self.breach(text);
        }
    }

    /// A controller sends orders to a worker: the checker counts the starts among them.
    fn ordered(&mut self, body: &str) {
        if !body.contains("\"start\"") {
            return;
        }
        let body: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let orders = body["orders"].as_array().into_iter().flatten();
        for order in orders.filter(|o| o["order"] == "start") {
            self.checker
                .ordered(self.now, order["wagon"].as_str().unwrap_or_default());
        }
    }

    /// A task has completed; its user may have waited for that to cancel the job.
    fn completed(&mut self, task: &str) {
        self.checker.task_done(task);
        let job = task.split('/').next().unwrap_or_default().to_owned();
        if self.cancel_at_end.contains_key(&job)
            && self.checker.all_done(&job)
            && let Some((node, after)) = self.cancel_at_end.remove(&job)
        {
            self.push(after, Event::Withdraw { node, job });
        }
    }

    /// The checker is told what has changed on all machines.
    fn look_at_machines(&mut self) {
        let known = self.checker.machines().map(str::to_owned);
        let names: BTreeSet<String> = known.chain(self.workers.keys().cloned()).collect();
        for name in names {
            self.look_at(&name, &[]);
        }
    }

    /// The checker is told what has changed on a machine: what has ended, what has just been started there,
    /// in whatever state it is by now, and what has got its image.
    fn look_at(&mut self, name: &str, started: &[(String, u64)]) {
        let now = self.now;
        let Some(w) = self.workers.get(name) else {
            self.checker.machine_gone(now, name);
            self.judge();
            return;
        };
        let place = Place {
            model: Worker::MODEL.to_owned(),
            zone: w.zone.clone(),
            spot: w.spot,
        };
        let lives = |key: &(String, u64)| w.tasks.get(key).is_some_and(|a| a.state != "ended");
        let known: BTreeMap<(String, u64), bool> = self
            .checker
            .on_machine(name)
            .map(|(task, attempt, image)| ((task.to_owned(), attempt), image))
            .collect();
        for (task, attempt) in known.keys().filter(|k| !lives(k)) {
            self.checker.ended(now, name, task, *attempt);
        }
        self.checker.machine(name, place);
        for (task, attempt) in started {
            self.checker.started(now, name, task, *attempt);
        }
        for (key, a) in &w.tasks {
            let (task, attempt) = key;
            let image = known.get(key);
            if a.state == "ended" {
                if started.contains(key) {
                    self.checker.ended(now, name, task, *attempt);
                }
                continue;
            }
            if image.is_none() && !started.contains(key) {
                self.checker.started(now, name, task, *attempt);
            }
            if a.state != "pulling" && image != Some(&true) {
                self.checker.has_image(now, name, task, *attempt);
            }
        }
        self.judge();
    }

    fn breach(&mut self, text: String) {
        self.note(&format!("RULE BROKEN: {text}"));
        self.broken.push(text);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => {
                if self.alive(node, life) {
                    self.feed(node, Input::Tick);
                    self.push(100, Event::Tick(node, life));
                }
            }
            Event::Arrive {
                node,
                life,
                call,
                to,
                method,
                path,
                body,
                answered,
            } => self.arrive((node, life, call), &to, method, &path, &body, answered),
            Event::Back {
                node,
                life,
                call,
                result,
            } => {
                if self.alive(node, life) && self.nodes.get_mut(node).is_some_and(|n| n.open.remove(&call)) {
                    let result = result.map(|(s, b)| (s, b.into_bytes()));
                    self.feed(node, Input::Reply { call, result });
                }
            }
            Event::Watch {
                node,
                life,
                call,
                prefix,
                since,
                until,
            } => {
                if !self.alive(node, life) {
                    return;
                }
                let waits = self.store.down || self.nodes.get(node).is_some_and(|n| n.refused);
                let news = if waits { None } else { self.store.news(&prefix, since) };
                let over = self.now >= until && !waits;
                match news {
                    None if !over => self.push(
                        5,
                        Event::Watch {
                            node,
                            life,
                            call,
                            prefix,
                            since,
                            until,
                        },
                    ),
                    news => {
                        let news = news.unwrap_or_else(|| json!({ "ledger": self.store.revision(), "news": [] }));
                        self.push(
                            2,
                            Event::Back {
                                node,
                                life,
                                call,
                                result: Some((200, news.to_string())),
                            },
                        );
                    }
                }
            }
            Event::PeerArrive {
                from,
                life,
                call,
                to,
                request,
                answered,
            } => {
                let id = self.next_request;
                self.next_request += 1;
                self.asked.insert(
                    id,
                    Asked::Peer {
                        node: from,
                        life,
                        call,
                        answered,
                    },
                );
                self.feed(to, Input::PeerRequest { id, request });
            }
            Event::PeerBack {
                node,
                life,
                call,
                result,
            } => {
                if self.alive(node, life) && self.nodes.get_mut(node).is_some_and(|n| n.open.remove(&call)) {
                    self.feed(node, Input::PeerReply { call, result });
                }
            }
            Event::Boot(name) => {
                let Some((zone, spot)) = self.cloud.machines.get(&name).cloned() else {
                    return;
                };
                let node = self.workers.len() % 3;
                let worker = Worker::new(&name, &zone, spot, node, self.now);
                self.workers.insert(name.clone(), worker);
                self.look_at(&name, &[]);
                self.push(1, Event::Work(name));
            }
            Event::Work(name) => self.work(&name),
            Event::Gangs => self.play_gangs(),
            Event::Withdraw { node, job } => {
                let request = self.withdraw(node, &job);
                self.cancelled_at_end.insert(job, request);
            }
            Event::BeatArrive {
                node,
                body,
                worker,
                beat,
                answered,
            } => {
                let id = self.next_request;
                self.next_request += 1;
                self.asked.insert(id, Asked::Worker { worker, beat, answered });
                self.feed(
                    node,
                    Input::Request {
                        id,
                        method: Method::Post,
                        path: "/agent/beat".into(),
                        body: body.into_bytes(),
                    },
                );
            }
            Event::BeatBack { worker, beat, result } => self.beat_back(&worker, beat, result),
        }
    }

    fn alive(&self, node: usize, life: u64) -> bool {
        self.nodes.get(node).is_some_and(|n| n.core.is_some() && n.life == life)
    }

    fn arrive(
        &mut self,
        from: (usize, u64, u64),
        to: &str,
        method: &'static str,
        path: &str,
        body: &str,
        answered: Option<u64>,
    ) {
        let (node, life, call) = from;
        let result = match to {
            "state" => match self.store.request(self.now, method, path, body) {
                Said::Now(status, body) => (status, body.to_string()),
                Said::Later(prefix, since, until) => {
                    self.push(
                        1,
                        Event::Watch {
                            node,
                            life,
                            call,
                            prefix,
                            since,
                            until,
                        },
                    );
                    return;
                }
            },
            "cloud" => {
                let (status, body, rented) = self.cloud.request(method, path, body);
                for name in rented {
                    if let Some(after) = self.cloud.next_boot() {
                        self.push(after, Event::Boot(name));
                    }
                }
                let gone: Vec<String> = self
                    .workers
                    .keys()
                    .filter(|w| !self.cloud.machines.contains_key(*w))
                    .cloned()
                    .collect();
                for w in gone {
                    self.workers.remove(&w);
                    self.look_at(&w, &[]);
                }
                (status, body.to_string())
            }
            machine => match self.direct(machine, path, body) {
                Some(result) => result,
                None => return,
            },
        };
        if let Some(after) = answered {
            self.push(
                after,
                Event::Back {
                    node,
                    life,
                    call,
                    result: Some(result),
                },
            );
        }
    }

    /// A direct command at a worker.
    fn direct(&mut self, machine: &str, path: &str, body: &str) -> Option<(u16, String)> {
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
        let gangs = &mut self.gangs;
        let jobs = &self.jobs;
        let mut saves = |task: &str, attempt: u64, grace_s: f64| told(gangs, jobs, (task, attempt, grace_s), now);
        for order in body["orders"].as_array().into_iter().flatten() {
            started.extend(w.order(order, now, &mut saves));
        }
        let report = w.report().to_string();
        self.started(machine, &started);
        Some((200, report))
    }

    /// A worker goes on with its tasks, and reports.
    fn work(&mut self, name: &str) {
        let now = self.now;
        let (run_ms, uneven) = (self.run_ms, self.uneven);
        let services: BTreeSet<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j["shape"] == "standing")
            .map(|(id, _)| id.clone())
            .collect();
        let Some(w) = self.workers.get_mut(name) else { return };
        let mut finished = Vec::new();
        if !w.hanging {
            if now > w.answered + LEASE_MS {
                w.next_session(now);
                w.waiting = None;
            }
            let sick = w.sick;
            for ((task, _), a) in &mut w.tasks {
                // Gangs are played by themselves.
                let job = task.split('/').next().and_then(|j| self.jobs.get(j));
                let gang = job.is_some_and(|j| j["shape"] == "group");
                if sick && a.state != "ended" {
                    a.state = "ended";
                    a.why = "error";
                    a.next = None;
                }
                if !gang && a.next.is_some_and(|t| t <= now) {
                    if a.state == "pulling" {
                        a.state = "running";
                        let service = task.split('/').next().is_some_and(|j| services.contains(j));
                        let number: u64 = task.split('/').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
                        let more = if uneven { number * 1300 % run_ms } else { 0 };
                        a.next = (!service).then_some(now + run_ms + more);
                    } else {
                        let broken = job.is_some_and(|j| j["broken"] == true);
                        a.state = "ended";
                        a.why = if broken { "error" } else { "done" };
                        a.next = None;
                        if !broken {
                            finished.push(task.clone());
                        }
                    }
                }
            }
        }
        self.look_at(name, &[]);
        for task in finished {
            self.completed(&task);
        }
        let due = self
            .workers
            .get(name)
            .is_some_and(|w| !w.hanging && w.waiting.is_none());
        if due {
            self.beat(name);
        }
        self.push(REPORT_MS, Event::Work(name.to_owned()));
    }

    /// Tells a machine to stop all that runs on it, with some grace, as a controller did that has ended since.
    pub fn stop_on(&mut self, machine: &str, grace_s: f64) {
        let now = self.now;
        let (gangs, jobs) = (&mut self.gangs, &self.jobs);
        let mut saves = |task: &str, attempt: u64, grace_s: f64| told(gangs, jobs, (task, attempt, grace_s), now);
        if let Some(w) = self.workers.get_mut(machine) {
            for (task, attempt) in w.tasks.keys().cloned().collect::<Vec<_>>() {
                let order = json!({ "order": "kill", "wagon": task, "run": attempt, "leewayS": grace_s });
                w.order(&order, now, &mut saves);
            }
        }
        self.note(&format!("{machine} was told to stop all"));
        self.look_at(machine, &[]);
    }

    /// Lets all gangs go on; a worker whose tasks have changed reports at once.
    fn play_gangs(&mut self) {
        let now = self.now;
        let mut keys: BTreeSet<(String, u64)> = BTreeSet::new();
        for w in self.workers.values() {
            for ((task, attempt), _) in w.tasks.iter().filter(|(_, a)| a.state != "ended") {
                let job = task.split('/').next().unwrap_or_default();
                if self.jobs.get(job).is_some_and(|j| j["shape"] == "group") {
                    keys.insert((job.to_owned(), *attempt));
                }
            }
        }
        for key in keys {
            let Some(job) = self.jobs.get(&key.0) else { continue };
            let terms = Terms {
                tasks: job["wagons"].as_u64().unwrap_or(0) as usize,
                run_ms: self.run_ms,
                checkpoint_ms: (job["waypointS"].as_f64().unwrap_or(0.0) * 1000.0) as u64,
            };
            self.gangs.go_on(&key, terms, &mut self.workers, now);
        }
        for name in self.gangs.changed.clone() {
            self.look_at(&name, &[]);
        }
        for task in std::mem::take(&mut self.gangs.done) {
            self.completed(&task);
        }
        for text in std::mem::take(&mut self.gangs.news) {
            self.note(&text);
        }
        let changed = std::mem::take(&mut self.gangs.changed);
        for name in changed {
            let lately = self.beaten.get(&name).is_some_and(|t| now < t + 500);
            let free = self
                .workers
                .get(&name)
                .is_some_and(|w| !w.hanging && w.waiting.is_none());
            if free && !lately {
                self.beaten.insert(name.clone(), now);
                self.beat(&name);
            } else if self.workers.contains_key(&name) {
                self.gangs.changed.insert(name);
            }
        }
        self.push(100, Event::Gangs);
    }

    fn beat(&mut self, name: &str) {
        let Some(w) = self.workers.get_mut(name) else { return };
        let body = w.report().to_string();
        let (node, beat) = (w.node, w.seq);
        w.waiting = Some(beat);
        let to = format!("berth-{node}");
        let fate = self.fate(name, &to, "POST /agent/beat", &body);
        self.sent.beats += 1;
        if let Some(kept) = &mut self.kept {
            kept.push_back(body.clone());
            while kept.len() > KEPT_REPORTS {
                kept.pop_front();
            }
        }
        let up = self.nodes.get(node).is_some_and(|n| n.core.is_some());
        if let Fate::Copied(late) = fate {
            self.push(
                late,
                Event::BeatArrive {
                    node,
                    body: body.clone(),
                    worker: name.to_owned(),
                    beat,
                    answered: None,
                },
            );
        }
        if let Some(after) = delay(fate).filter(|_| up) {
            self.push(
                after,
                Event::BeatArrive {
                    node,
                    body,
                    worker: name.to_owned(),
                    beat,
                    answered: answered(fate),
                },
            );
        }
        // A refused connection shows at once, and so does a 503; silence after 4 s.
        let patience = if up && fate != Fate::Refused { 4000 } else { 2 };
        self.push(
            patience,
            Event::BeatBack {
                worker: name.to_owned(),
                beat,
                result: None,
            },
        );
    }

    fn beat_back(&mut self, name: &str, beat: u64, result: Option<(u16, String)>) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        if w.waiting != Some(beat) || w.hanging {
            return;
        }
        w.waiting = None;
        let mut started = Vec::new();
        match result {
            Some((200, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
                let token = body["baton"].as_u64().unwrap_or(0);
                if token >= w.token && token > 0 {
                    w.token = token;
                    w.answered = now;
                    let gangs = &mut self.gangs;
                    let jobs = &self.jobs;
                    let mut saves =
                        |task: &str, attempt: u64, grace_s: f64| told(gangs, jobs, (task, attempt, grace_s), now);
                    for order in body["orders"].as_array().into_iter().flatten() {
                        started.extend(w.order(order, now, &mut saves));
                    }
                }
            }
            Some((421, body)) => {
                let to = serde_json::from_str::<Value>(&body)
                    .ok()
                    .and_then(|v| v["dispatcher"].as_str()?.strip_prefix("berth-")?.parse().ok());
                w.node = to.unwrap_or((w.node + 1) % 3);
            }
            _ => w.node = (w.node + 1) % 3,
        }
        self.started(name, &started);
    }

    /// No two controllers may act for a partition at a time.
    fn check_owners(&mut self) {
        for p in 0..3 {
            let acts = |n: &Node| n.core.as_ref().is_some_and(|c| c.acts_at(self.now, Partition(p)));
            if self.nodes.iter().filter(|n| acts(n)).count() > 1 {
                self.breach(format!("two controllers act for partition {p}"));
            }
        }
    }

    /// Tasks have started on a machine: the rules are checked.
    fn started(&mut self, machine: &str, started: &[(String, u64)]) {
        for (task, _) in started {
            self.note(&format!("{machine} starts {task}"));
        }
        self.look_at(machine, started);
    }
}

/// A task was told to stop: only a gang's that runs saves first.
fn told(gangs: &mut Gangs, jobs: &BTreeMap<String, Value>, stop: (&str, u64, f64), now: u64) -> bool {
    let (task, attempt, grace_s) = stop;
    let job = task.split('/').next().unwrap_or_default();
    let gang = jobs.get(job).is_some_and(|j| j["shape"] == "group");
    gang && gangs.told(job, attempt, task, grace_s, now)
}

/// How long an answer is under way, if there is one.
fn answered(fate: Fate) -> Option<u64> {
    match fate {
        Fate::Pass | Fate::Copied(_) | Fate::Slow(_) => Some(2),
        Fate::AnswerLate(ms) => Some(ms),
        Fate::Lost | Fate::AnswerLost | Fate::Late(_) | Fate::Refused => None,
    }
}

fn delay(fate: Fate) -> Option<u64> {
    match fate {
        Fate::Pass | Fate::AnswerLost | Fate::AnswerLate(_) | Fate::Copied(_) => Some(2),
        Fate::Late(ms) | Fate::Slow(ms) => Some(ms),
        Fate::Lost | Fate::Refused => None,
    }
}
