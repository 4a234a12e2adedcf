//! Cloud, workers, controllers and users of one deployment, and the record of what was sent, answered and run.

use crate::http::{call, serve, Door, Request, Response};
use crate::json::{quote, Json};
use crate::state::State;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Times of a deployment, in milliseconds, and its teams.
#[derive(Clone)]
pub struct Facts {
    pub report_ms: u64,
    pub lease_ms: u64,
    pub cancel_ms: u64,
    pub zones: Vec<&'static str>,
    pub teams: usize,
    pub gpus: (f64, f64),
    pub list_lag_s: f64,
    pub cores: f64,
    pub ram_mb: f64,
    pub gang: Option<(f64, f64)>,
    /// Requests and changes a second, KiB in a value, changes in a transaction.
    pub state: (f64, f64, f64, u32),
    pub cloud_rps: f64,
}

impl Facts {
    /// As in the brief, Hanbit rail freight, with the team names of the other site.
    pub fn hanbit() -> Self {
        Facts {
            report_ms: 3000,
            cancel_ms: 48_000,
            zones: vec!["busan-east", "daejeon", "seoul-north"],
            teams: 6,
            gpus: (16.0, 70.0),
            list_lag_s: 5.0,
            cores: 0.096,
            state: (80.0, 25.0, 4.0, 8),
            cloud_rps: 2.0,
            ..Self::frostmark()
        }
    }
    /// As in the brief, Frostmark Yards.
    pub fn frostmark() -> Self {
        Facts {
            report_ms: 2500,
            lease_ms: 18_000,
            cancel_ms: 38_000,
            zones: vec!["annex", "north", "quay"],
            teams: 16,
            gpus: (4.0, 12.0),
            list_lag_s: 8.0,
            cores: 0.064,
            ram_mb: 104.0,
            gang: None,
            state: (250.0, 60.0, 32.0, 16),
            cloud_rps: 4.0,
        }
    }
}

/// A machine type of the cloud.
#[derive(Clone)]
pub struct Model {
    pub label: &'static str,
    pub size: [f64; 3],
    pub yards: Vec<&'static str>,
    pub startup_s: f64,
}

#[derive(Clone)]
pub struct Task {
    pub state: &'static str,
    pub cause: &'static str,
    pub next_at: Option<Instant>,
}

pub struct Worker {
    pub model: String,
    pub yard: String,
    pub spot: bool,
    pub shift: u64,
    pub tally: u64,
    pub baton: u64,
    pub tasks: BTreeMap<(String, u64), Task>,
    pub images: BTreeSet<String>,
    pub lease_from: Instant,
    pub node: usize,
    pub addr: String,
    /// Makes no progress, sends nothing and answers nothing.
    pub hangs: bool,
    pub up: bool,
    pub rented: Instant,
    /// `None`: it never comes up.
    pub boot_ms: Option<u64>,
}

#[derive(Default)]
pub struct CloudState {
    pub charters: BTreeMap<String, Vec<String>>,
    pub next: u32,
    /// Machines that may exist, by zone.
    pub room: BTreeMap<String, usize>,
    pub down: bool,
    pub boot_ms: u64,
    /// Of the machines rented next, so many never come up.
    pub never_up: usize,
}

pub struct Shared {
    pub facts: Facts,
    pub models: Vec<Model>,
    pub state: State,
    pub cloud: Mutex<CloudState>,
    pub workers: Mutex<BTreeMap<String, Worker>>,
    /// Bodies of submissions, by id.
    pub jobs: Mutex<BTreeMap<String, Json>>,
    /// How long tasks of a job run; without an entry, until `finish`.
    pub run_ms: Mutex<BTreeMap<String, u64>>,
    pub nodes: Mutex<Vec<SocketAddr>>,
    pub names: Vec<String>,
    pub broken: Mutex<Vec<String>>,
    /// Tasks that have completed.
    pub done: Mutex<BTreeSet<String>>,
    /// What users were told of each job, and when: accepted, done or withdrawn.
    pub told: Mutex<BTreeMap<String, (String, Instant)>>,
    /// Direct commands with a start that were carried out, with their machine, for repeats.
    pub old_starts: Mutex<Vec<(String, String)>>,
    /// Reports sent so far, for late copies.
    pub old_reports: Mutex<Vec<String>>,
    /// The next direct command with a start gets no answer and is carried out so many milliseconds later.
    pub hold_start_ms: Mutex<Option<u64>>,
    /// Commands that are held up at present.
    pub held: AtomicUsize,
    record: Mutex<File>,
    began: Instant,
}

impl Shared {
    pub fn log(&self, text: &str) {
        let t = self.began.elapsed().as_millis();
        let line = format!("{:>4}.{:03} {text}\n", t / 1000, t % 1000);
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }
    pub fn breach(&self, rule: &str, text: &str) {
        self.log(&format!("BROKEN {rule}: {text}"));
        self.broken.lock().unwrap().push(rule.to_owned());
    }
    fn cloud(&self, r: &Request) -> (u16, String) {
        let mut c = self.cloud.lock().unwrap();
        if c.down {
            return (503, "{\"error\":\"trouble\"}".into());
        }
        let body = Json::parse(&r.body).unwrap_or(Json::Null);
        match (r.method.as_str(), r.path.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => {
                let models: Vec<String> = self
                    .models
                    .iter()
                    .map(|m| {
                        let yards: Vec<String> = m.yards.iter().map(|y| quote(y)).collect();
                        format!(
                            "{{\"label\":{},\"vcpus\":{},\"accelerators\":{},\"ramGb\":{},\"localGb\":200,\
                             \"pullGbPerS\":1.0,\"rate\":7.31,\"marketPrice\":3.42,\"startupS\":{},\"yards\":[{}]}}",
                            quote(m.label),
                            m.size[0],
                            m.size[1],
                            m.size[2],
                            m.startup_s,
                            yards.join(",")
                        )
                    })
                    .collect();
                (200, format!("{{\"models\":[{}]}}", models.join(",")))
            }
            ("POST", "/hosts") => {
                let charter = body.get("charter").str().to_owned();
                let names = |n: &[String]| {
                    let n: Vec<String> = n.iter().map(|n| quote(n)).collect();
                    format!("{{\"berths\":[{}]}}", n.join(","))
                };
                if let Some(n) = c.charters.get(&charter) {
                    return (200, names(n));
                }
                let yard = body.get("yard").str().to_owned();
                let used = self.workers.lock().unwrap().values().filter(|w| w.yard == yard).count();
                let room = c.room.get(&yard).copied().unwrap_or(0).saturating_sub(used);
                let number = (body.get("number").u64().unwrap_or(0) as usize).min(room);
                if number == 0 {
                    self.log(&format!("cloud: no capacity in {yard} for {charter}"));
                    return (503, "{\"error\":\"no capacity\"}".into());
                }
                let mut rented = Vec::new();
                for _ in 0..number {
                    c.next += 1;
                    let name = format!("n-{:06}", c.next);
                    let now = Instant::now();
                    let worker = Worker {
                        model: body.get("model").str().to_owned(),
                        yard: yard.clone(),
                        spot: body.get("standby").bool(),
                        shift: 1,
                        tally: 0,
                        baton: 0,
                        tasks: BTreeMap::new(),
                        images: BTreeSet::new(),
                        lease_from: now,
                        node: c.next as usize,
                        addr: String::new(),
                        hangs: false,
                        up: false,
                        rented: now,
                        boot_ms: if c.never_up > 0 { None } else { Some(c.boot_ms) },
                    };
                    if c.never_up > 0 {
                        c.never_up -= 1;
                        self.log(&format!("cloud: {name} will never come up"));
                    }
                    self.workers.lock().unwrap().insert(name.clone(), worker);
                    rented.push(name);
                }
                self.log(&format!("cloud: rented {} in {yard} for {charter}", rented.join(" ")));
                let answer = names(&rented);
                c.charters.insert(charter, rented);
                (200, answer)
            }
            ("POST", "/hosts/delete") => {
                for n in body.get("berths").items() {
                    let gone = self.workers.lock().unwrap().remove(n.str());
                    let tasks: Vec<String> = gone.iter().flat_map(on_machine).collect();
                    self.log(&format!("cloud: {} deleted, with [{}]", n.str(), tasks.join(" ")));
                }
                (200, "{}".into())
            }
            ("GET", "/hosts") => {
                let since = r
                    .path
                    .split("since=")
                    .nth(1)
                    .and_then(|p| p.split('&').next())
                    .unwrap_or("");
                let workers = self.workers.lock().unwrap();
                let berths: Vec<String> = workers
                    .iter()
                    .filter(|(n, _)| n.as_str() > since)
                    .map(|(n, w)| {
                        format!(
                            "{{\"uid\":{},\"addr\":{},\"model\":{},\"yard\":{},\"standby\":{},\"status\":{},\"ageS\":{:.1}}}",
                            quote(n),
                            quote(&w.addr),
                            quote(&w.model),
                            quote(&w.yard),
                            w.spot,
                            if w.up { "\"running\"" } else { "\"starting\"" },
                            w.rented.elapsed().as_secs_f64()
                        )
                    })
                    .collect();
                (200, format!("{{\"berths\":[{}],\"more\":false}}", berths.join(",")))
            }
            _ => (400, "{}".into()),
        }
    }
    fn size(&self, task: &str) -> Option<[f64; 3]> {
        let jobs = self.jobs.lock().unwrap();
        let job = jobs.get(task.split('/').next()?)?;
        Some(["vcpus", "accelerators", "ramGb"].map(|f| job.get(f).f64()))
    }
    fn report(&self, name: &str, w: &mut Worker) -> String {
        w.tally += 1;
        let mut tasks = String::new();
        for ((task, run), t) in &w.tasks {
            let sep = if tasks.is_empty() { "" } else { "," };
            let _ = write!(
                tasks,
                "{sep}{{\"wagon\":{},\"run\":{run},\"status\":\"{}\"",
                quote(task),
                t.state
            );
            if t.state == "ended" {
                let _ = write!(tasks, ",\"cause\":\"{}\"", t.cause);
            }
            tasks.push('}');
        }
        format!(
            "{{\"berth\":{},\"addr\":{},\"model\":{},\"yard\":{},\"standby\":{},\"shift\":{},\"tally\":{},\"baton\":{},\
             \"warningS\":null,\"wagons\":[{tasks}]}}",
            quote(name),
            quote(&w.addr),
            quote(&w.model),
            quote(&w.yard),
            w.spot,
            w.shift,
            w.tally,
            w.baton
        )
    }
    /// Executes the commands of an answer or of a direct command.
    fn execute(&self, name: &str, w: &mut Worker, orders: &Json, how: &str) {
        for o in orders.items() {
            let task = o.get("wagon").str().to_owned();
            let run = o.get("run").u64().unwrap_or(0);
            let key = (task.clone(), run);
            match o.get("order").str() {
                "start" => {
                    if w.tasks.contains_key(&key) {
                        continue;
                    }
                    let busy = w.tasks.iter().any(|((t, _), s)| *t == task && s.state != "ended");
                    let size = self.size(&task);
                    let total = self
                        .models
                        .iter()
                        .find(|m| m.label == w.model)
                        .map_or([0.0; 3], |m| m.size);
                    let mut used = [0.0; 3];
                    for ((t, _), _) in w.tasks.iter().filter(|(_, s)| s.state != "ended") {
                        let s = self.size(t).unwrap_or([0.0; 3]);
                        (0..3).for_each(|i| used[i] += s[i]);
                    }
                    let cause = match size {
                        None => "no_such",
                        Some(_) if busy => "busy",
                        Some(s) if (0..3).any(|i| used[i] + s[i] > total[i] + 1e-6) => "no_room",
                        _ => "",
                    };
                    self.log(&format!("{name}: start {task} run {run} by {how} {cause}"));
                    let ended = !cause.is_empty();
                    let fetch = {
                        let jobs = self.jobs.lock().unwrap();
                        let job = jobs
                            .get(task.split('/').next().unwrap_or(""))
                            .cloned()
                            .unwrap_or(Json::Null);
                        let image = job.get("stock").str().to_owned();
                        if w.images.contains(&image) {
                            0.05
                        } else {
                            job.get("sizeGb").f64()
                        }
                    };
                    let next_at = (!ended).then(|| Instant::now() + Duration::from_secs_f64(fetch));
                    let state = if ended { "ended" } else { "pulling" };
                    w.tasks.insert(key, Task { state, cause, next_at });
                }
                "kill" => {
                    let leeway = o.get("leewayS").f64();
                    let job = task.split('/').next().unwrap_or("").to_owned();
                    let (waypoint, stow) = {
                        let jobs = self.jobs.lock().unwrap();
                        jobs.get(&job)
                            .map_or((0.0, 0.0), |j| (j.get("waypointS").f64(), j.get("stowS").f64()))
                    };
                    if let Some(t) = w.tasks.get_mut(&key).filter(|t| t.state != "ended") {
                        if t.state == "flushing" && leeway > 0.0 {
                            continue;
                        }
                        self.log(&format!("{name}: kill {task} run {run} leeway {leeway} by {how}"));
                        if t.state == "running" && waypoint > 0.0 && leeway >= stow {
                            t.state = "flushing";
                            t.next_at = Some(Instant::now() + Duration::from_secs_f64(stow));
                        } else {
                            t.state = "ended";
                            t.cause = "stopped";
                            t.next_at = None;
                        }
                    }
                }
                "forget" => {
                    if w.tasks.get(&key).is_some_and(|t| t.state == "ended") {
                        w.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }
    /// A request to a worker's own address.
    fn command(&self, name: &str, r: &Request) -> Response {
        let starts = r.body.contains("\"start\"");
        let hold = if starts {
            self.hold_start_ms.lock().unwrap().take()
        } else {
            None
        };
        if let Some(ms) = hold {
            self.log(&format!(
                "{name}: a command is held up for {ms} ms, without an answer: {}",
                r.body
            ));
            self.held.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(ms));
            let _ = self.execute_command(name, r);
            self.log(&format!("{name}: the held command has been carried out"));
            self.held.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        self.execute_command(name, r)
    }
    fn execute_command(&self, name: &str, r: &Request) -> Response {
        loop {
            // A hanging machine answers once it goes on.
            let workers = self.workers.lock().unwrap();
            match workers.get(name) {
                None => return None,
                Some(w) if w.hangs => {}
                Some(_) => break,
            }
            drop(workers);
            thread::sleep(Duration::from_millis(20));
        }
        self.step(name);
        let mut workers = self.workers.lock().unwrap();
        let w = workers.get_mut(name)?;
        if r.path == "/status" {
            return Some((200, self.report(name, w)));
        }
        let body = Json::parse(&r.body)?;
        let (Some(baton), Some(shift)) = (body.get("baton").u64(), body.get("shift").u64()) else {
            return Some((400, "{}".into()));
        };
        if baton < w.baton || shift != w.shift {
            return Some((409, self.report(name, w)));
        }
        w.baton = baton;
        if r.body.contains("\"start\"") {
            self.old_starts.lock().unwrap().push((name.to_owned(), r.body.clone()));
        }
        self.execute(name, w, body.get("orders"), "command");
        Some((200, self.report(name, w)))
    }
    /// Advances a worker's tasks and checks its lease.
    fn step(&self, name: &str) -> Option<()> {
        let mut workers = self.workers.lock().unwrap();
        let now = Instant::now();
        let w = workers.get_mut(name)?;
        if w.hangs {
            return Some(());
        }
        if now.duration_since(w.lease_from) > Duration::from_millis(self.facts.lease_ms) {
            self.log(&format!(
                "{name}: lease over, session {} ends with [{}]",
                w.shift,
                on_machine(w).join(" ")
            ));
            w.tasks.clear();
            w.shift += 1;
            w.lease_from = now;
        }
        let due: Vec<(String, u64)> = w
            .tasks
            .iter()
            .filter(|(_, t)| t.next_at.is_some_and(|at| at <= now))
            .map(|(k, _)| k.clone())
            .collect();
        for key in due {
            let state = workers.get(name)?.tasks.get(&key)?.state;
            if state == "pulling" {
                let others: Vec<String> = workers
                    .iter()
                    .filter(|(n, w)| *n != name && on_machine(w).contains(&key.0))
                    .map(|(n, _)| n.clone())
                    .collect();
                self.log(&format!("{name}: {} run {} starts to run", key.0, key.1));
                self.check_place(name, &key.0, &workers);
                if !others.is_empty() {
                    let text = format!("{} starts on {name} while it is on {}", key.0, others.join(" "));
                    self.breach("ran_twice", &text);
                }
                let job = key.0.split('/').next().unwrap_or("").to_owned();
                let image = {
                    let jobs = self.jobs.lock().unwrap();
                    jobs.get(&job)
                        .map_or(String::new(), |j| j.get("stock").str().to_owned())
                };
                let run_ms = self.run_ms.lock().unwrap().get(&job).copied();
                let w = workers.get_mut(name)?;
                w.images.insert(image);
                let gang = self
                    .jobs
                    .lock()
                    .unwrap()
                    .get(&job)
                    .is_some_and(|j| j.get("shape").str() == "group");
                let t = w.tasks.get_mut(&key)?;
                if gang {
                    // From here on `step_gangs` decides.
                    t.state = "gathering";
                    let wait_s = self.facts.gang.map_or(35.0, |g| g.0);
                    t.next_at = Some(now + Duration::from_secs_f64(wait_s));
                } else {
                    t.state = "running";
                    t.next_at = run_ms.map(|ms| now + Duration::from_millis(ms));
                }
            } else if state == "gathering" {
                self.log(&format!("{name}: {} run {} ends, incomplete", key.0, key.1));
                let t = workers.get_mut(name)?.tasks.get_mut(&key)?;
                (t.state, t.cause, t.next_at) = ("ended", "incomplete", None);
            } else {
                let done = state == "running";
                self.log(&format!(
                    "{name}: {} run {} ends, {}",
                    key.0,
                    key.1,
                    if done { "done" } else { "stopped" }
                ));
                if done {
                    self.done.lock().unwrap().insert(key.0.clone());
                    let id = key.0.split('/').next().unwrap_or("").to_owned();
                    let jobs = self.jobs.lock().unwrap();
                    if let Some(j) = jobs.get(&id).filter(|j| j.get("shape").str() == "group") {
                        let n = j.get("wagons").u64().unwrap_or(0);
                        self.done.lock().unwrap().extend((0..n).map(|i| format!("{id}/{i}")));
                    }
                }
                let t = workers.get_mut(name)?.tasks.get_mut(&key)?;
                t.state = "ended";
                t.cause = if done { "done" } else { "stopped" };
                t.next_at = None;
            }
        }
        Some(())
    }
    /// Gangs: tasks of one attempt start together, end together, and notice when one of them is gone.
    pub fn step_gangs(&self, lost: &mut BTreeMap<(String, u64), Instant>) {
        let jobs: Vec<(String, u64)> = {
            let jobs = self.jobs.lock().unwrap();
            let gangs = jobs.iter().filter(|(_, j)| j.get("shape").str() == "group");
            gangs
                .map(|(id, j)| (id.clone(), j.get("wagons").u64().unwrap_or(1)))
                .collect()
        };
        let mut workers = self.workers.lock().unwrap();
        let now = Instant::now();
        for (id, wagons) in jobs {
            let prefix = format!("{id}/");
            let mut attempts: BTreeMap<u64, Vec<(String, String, &'static str, bool)>> = BTreeMap::new();
            for (n, w) in workers.iter() {
                for ((t, run), s) in w.tasks.iter().filter(|((t, _), _)| t.starts_with(&prefix)) {
                    attempts
                        .entry(*run)
                        .or_default()
                        .push((n.clone(), t.clone(), s.state, w.hangs));
                }
            }
            for (run, tasks) in attempts {
                let gathering = tasks.iter().filter(|t| t.2 == "gathering").count() as u64;
                let running = tasks.iter().filter(|t| t.2 == "running").count() as u64;
                let hung = tasks.iter().any(|t| t.3 && t.2 == "running");
                let key = (id.clone(), run);
                let mut set = |from: &str, state: &'static str, cause: &'static str, at: Option<Instant>| {
                    for (n, t, s, hangs) in &tasks {
                        if *s == from && !hangs {
                            if let Some(t) = workers.get_mut(n).and_then(|w| w.tasks.get_mut(&(t.clone(), run))) {
                                (t.state, t.cause, t.next_at) = (state, cause, at);
                            }
                        }
                    }
                };
                if gathering == wagons && !tasks.iter().any(|t| t.3) {
                    let run_ms = self.run_ms.lock().unwrap().get(&id).copied().unwrap_or(10_000);
                    self.log(&format!("gang {id} run {run} runs"));
                    set("gathering", "running", "", Some(now + Duration::from_millis(run_ms)));
                } else if running > 0
                    && tasks
                        .iter()
                        .any(|t| t.2 == "ended" && self.done.lock().unwrap().contains(&t.1))
                {
                    self.done
                        .lock()
                        .unwrap()
                        .extend((0..wagons).map(|i| format!("{id}/{i}")));
                    set("running", "ended", "done", None);
                } else if running > 0 && (running < wagons || hung) {
                    let since = *lost.entry(key).or_insert(now);
                    let peer_s = self.facts.gang.map_or(5.0, |g| g.1);
                    if now.duration_since(since) > Duration::from_secs_f64(peer_s) {
                        self.log(&format!("gang {id} run {run}: a task is gone, the others end"));
                        set("running", "ended", "peers", None);
                    }
                } else {
                    lost.remove(&key);
                }
            }
        }
    }
    /// Checks the rules for a task that starts on a machine: the team's limit, and where its job allows it to run.
    fn check_place(&self, name: &str, task: &str, workers: &BTreeMap<String, Worker>) {
        let jobs = self.jobs.lock().unwrap();
        let id = task.split('/').next().unwrap_or("");
        let Some(job) = jobs.get(id) else { return };
        let crew = job.get("crew").str();
        let mut used = job.get("accelerators").f64();
        let mut zones: Vec<String> = Vec::new();
        for (n, w) in workers {
            for t in on_machine(w) {
                let other = t.split('/').next().unwrap_or("");
                if (n == name && t == task) || !jobs.contains_key(other) {
                    continue;
                }
                if jobs[other].get("crew").str() == crew {
                    used += jobs[other].get("accelerators").f64();
                }
                if other == id {
                    zones.push(w.yard.clone());
                }
            }
        }
        if used > self.facts.gpus.1 + 1e-6 {
            self.breach("quota", &format!("{crew} uses {used} with {task} on {name}"));
        }
        let Some(w) = workers.get(name) else { return };
        let yard = job.get("yard").str();
        if (!yard.is_empty() && yard != w.yard) || (w.spot && !job.get("standby").bool()) {
            self.breach("wrong_place", &format!("{task} on {name}"));
        }
        if job.get("together").bool() && zones.iter().any(|z| *z != w.yard) {
            self.breach("wrong_place", &format!("{task} on {name}: not together"));
        }
        let most = job.get("wagons").u64().unwrap_or(1).div_ceil(2) as usize;
        if job.get("spread").bool() && zones.iter().filter(|z| **z == w.yard).count() + 1 > most {
            self.breach("wrong_place", &format!("{task} on {name}: not spread"));
        }
    }
    /// Checks an answer to a user against what users were told before the request was sent.
    pub fn check_answer(&self, id: &str, sent: Instant, what: &str, answer: &Option<(u16, String)>) {
        let Some((status, body)) = answer else { return };
        let mut told = self.told.lock().unwrap();
        let before = told
            .get(id)
            .filter(|(_, at)| *at < sent)
            .map(|(s, _)| s.clone())
            .unwrap_or_default();
        if !before.is_empty() && (*status == 404 || (what == "submit" && [400, 422].contains(status))) {
            self.breach("forgotten", &format!("{id}: {what} got {status} after {before}"));
        }
        if ![200, 201].contains(status) {
            return;
        }
        let state = Json::parse(body).map_or(String::new(), |b| b.get("status").str().to_owned());
        let is_final = ["done", "withdrawn"].contains(&before.as_str());
        if is_final && state != before {
            self.breach("went_back", &format!("{id}: {what} got {state} after {before}"));
        }
        if state == "done" && before != "done" {
            let wagons = self
                .jobs
                .lock()
                .unwrap()
                .get(id)
                .map_or(0, |j| j.get("wagons").u64().unwrap_or(0));
            let done = self.done.lock().unwrap();
            if (0..wagons).any(|i| !done.contains(&format!("{id}/{i}"))) {
                self.breach("not_done", &format!("{id}: {what} got done"));
            }
        }
        let state = if ["done", "withdrawn"].contains(&state.as_str()) {
            state
        } else {
            "accepted".to_owned()
        };
        if before.is_empty() || (before == "accepted" && state != before) {
            told.insert(id.to_owned(), (state, Instant::now()));
        }
    }
    /// Finds tasks of cancelled jobs that are still on machines when their time is over.
    pub fn check_cancelled(&self) {
        let over: Vec<String> = {
            let told = self.told.lock().unwrap();
            let over = told
                .iter()
                .filter(|(_, (s, at))| s == "withdrawn" && at.elapsed() > Duration::from_millis(self.facts.cancel_ms));
            over.map(|(id, _)| id.clone()).collect()
        };
        let workers = self.workers.lock().unwrap();
        for (n, w) in workers.iter() {
            for t in on_machine(w) {
                if over.iter().any(|id| t.starts_with(&format!("{id}/"))) {
                    self.breach("ran_cancelled", &format!("{t} is on {n}"));
                }
            }
        }
    }
    /// Sends a report and applies the answer.
    fn send_report(&self, name: &str) -> Option<()> {
        let sent = Instant::now();
        let (body, shift, node) = {
            let mut workers = self.workers.lock().unwrap();
            let w = workers.get_mut(name)?;
            (self.report(name, w), w.shift, w.node)
        };
        let nodes = self.nodes.lock().unwrap().clone();
        let to = nodes[node % nodes.len()];
        self.old_reports.lock().unwrap().push(body.clone());
        let answer = call(to, "POST", "/agent/beat", &body, Duration::from_secs(4));
        let mut workers = self.workers.lock().unwrap();
        let w = workers.get_mut(name)?;
        let mut pause_ms = 0;
        match answer {
            Some((200, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                let baton = body.get("baton").u64().unwrap_or(0);
                if baton >= w.baton && baton > 0 && w.shift == shift && !w.hangs {
                    w.baton = baton;
                    w.lease_from = sent;
                    self.execute(name, w, body.get("orders"), "answer");
                }
            }
            Some((421, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                let to = self.names.iter().position(|n| n == body.get("dispatcher").str());
                match to.filter(|to| *to != node % nodes.len()) {
                    Some(to) => w.node = to,
                    None => {
                        w.node += 1;
                        pause_ms = 1000;
                    }
                }
            }
            _ => {
                w.node += 1;
                pause_ms = 1000;
            }
        }
        drop(workers);
        thread::sleep(Duration::from_millis(pause_ms));
        Some(())
    }
    /// The life of a machine from its boot on.
    fn run_worker(self: &Arc<Self>, name: String) {
        let shared = self.clone();
        let own = name.clone();
        let (address, _) = serve(Arc::new(move |r| shared.command(&own, &r)));
        if let Some(w) = self.workers.lock().unwrap().get_mut(&name) {
            w.addr = address.to_string();
            w.up = true;
            w.lease_from = Instant::now();
        }
        let shared = self.clone();
        let own = name.clone();
        thread::spawn(move || {
            while shared.step(&own).is_some() {
                thread::sleep(Duration::from_millis(20));
            }
        });
        let mut reported = String::new();
        let mut last = Instant::now() - Duration::from_secs(60);
        loop {
            let now = {
                let workers = self.workers.lock().unwrap();
                let Some(w) = workers.get(&name) else { return };
                if w.hangs {
                    reported.clone()
                } else {
                    let tasks: Vec<String> = w
                        .tasks
                        .iter()
                        .map(|((t, r), s)| format!("{t}.{r}.{}", s.state))
                        .collect();
                    format!("{} {} {}", w.shift, w.baton, tasks.join(" "))
                }
            };
            let hangs = self.workers.lock().unwrap().get(&name).is_some_and(|w| w.hangs);
            let changed = now != reported && last.elapsed() >= Duration::from_millis(500);
            if !hangs && (changed || last.elapsed() >= Duration::from_millis(self.facts.report_ms)) {
                last = Instant::now();
                reported = now;
                if self.send_report(&name).is_none() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// The tasks that are on a machine: they have their image and have not ended.
pub fn on_machine(w: &Worker) -> Vec<String> {
    let on = w
        .tasks
        .iter()
        .filter(|(_, t)| ["gathering", "running", "flushing"].contains(&t.state));
    on.map(|((t, _), _)| t.clone()).collect()
}

pub struct World {
    pub shared: Arc<Shared>,
    pub doors: Vec<Arc<Door>>,
    children: Vec<Option<Child>>,
    run: Vec<String>,
    configs: Vec<PathBuf>,
    folder: PathBuf,
    pub trouble: bool,
}

/// A free port below the range from which outgoing connections take theirs.
fn free_port() -> u16 {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::SeqCst) + std::process::id() as usize * 31;
        let port = 10_000 + (n % 22_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl World {
    /// Starts state service, cloud and controllers, and waits until they are ready.
    pub fn start(case: &Path, facts: Facts, models: Vec<Model>, room: &[(&str, usize)], boot_ms: u64) -> World {
        let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP"));
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let record = File::create(case.join("record.txt")).expect("record.txt");
        let names: Vec<String> = (0..3).map(|i| format!("berth-{i}")).collect();
        let cloud = CloudState {
            room: room.iter().map(|(z, n)| ((*z).to_owned(), *n)).collect(),
            boot_ms,
            ..CloudState::default()
        };
        let shared = Arc::new(Shared {
            facts: facts.clone(),
            models,
            state: State::default(),
            cloud: Mutex::new(cloud),
            workers: Mutex::default(),
            jobs: Mutex::default(),
            run_ms: Mutex::default(),
            nodes: Mutex::default(),
            names: names.clone(),
            broken: Mutex::default(),
            done: Mutex::default(),
            told: Mutex::default(),
            old_starts: Mutex::default(),
            old_reports: Mutex::default(),
            hold_start_ms: Mutex::default(),
            held: AtomicUsize::new(0),
            record: Mutex::new(record),
            began: Instant::now(),
        });
        shared.log(&format!("trouble: {trouble}"));
        let s = shared.clone();
        let (cloud_addr, _) = serve(Arc::new(move |r| Some(s.cloud(&r))));
        let mut doors = Vec::new();
        let mut state_addrs = Vec::new();
        for i in 0..3 {
            let s = shared.clone();
            let (address, door) = serve(Arc::new(move |r| s.state.request(i, r)));
            doors.push(door);
            state_addrs.push(address);
        }
        let s = shared.clone();
        thread::spawn(move || loop {
            s.state.expire();
            thread::sleep(Duration::from_millis(10));
        });
        let s = shared.clone();
        thread::spawn(move || {
            let mut lost = BTreeMap::new();
            loop {
                s.step_gangs(&mut lost);
                thread::sleep(Duration::from_millis(50));
            }
        });
        let s = shared.clone();
        thread::spawn(move || {
            let mut known = BTreeSet::new();
            loop {
                let due: Vec<String> = {
                    let workers = s.workers.lock().unwrap();
                    let due = workers.iter().filter(|(n, w)| {
                        let is_due = w
                            .boot_ms
                            .is_some_and(|ms| w.rented.elapsed() >= Duration::from_millis(ms));
                        !known.contains(*n) && is_due
                    });
                    due.map(|(n, _)| n.clone()).collect()
                };
                for name in due {
                    known.insert(name.clone());
                    let s = s.clone();
                    thread::spawn(move || s.run_worker(name));
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        let ports: Vec<(u16, u16)> = (0..3).map(|_| (free_port(), free_port())).collect();
        let mut configs = Vec::new();
        for i in 0..3 {
            let mut t = format!(
                "host_name = \"{}\"\narea = \"{}\"\napi_addr = \"127.0.0.1:{}\"\npeer_listen = \"127.0.0.1:{}\"\n",
                names[i], facts.zones[i], ports[i].0, ports[i].1
            );
            for j in (0..3).filter(|j| *j != i) {
                let _ = write!(
                    t,
                    "\n[[siblings]]\nhost_name = \"{}\"\narea = \"{}\"\naddress = \"127.0.0.1:{}\"\n",
                    names[j], facts.zones[j], ports[j].1
                );
            }
            let zones: Vec<String> = facts.zones.iter().map(|z| quote(z)).collect();
            let _ = write!(
                t,
                "\n[outside]\ncloud = \"{cloud_addr}\"\nstate = \"{}\"\n\n[facts]\nnodes = 3\nzones = [{}]\nskew_ms = 25.0\n",
                state_addrs[i],
                zones.join(", ")
            );
            for k in 0..facts.teams {
                let _ = write!(
                    t,
                    "\n[[facts.teams]]\nname = \"yard-crew-{k:02}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {:?}\ngpus_max = {:?}\n",
                    facts.gpus.0, facts.gpus.1
                );
            }
            t.push_str(
                "\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"reefer-vision\"\nwithin_s = 10.0\nshare = 0.85\n\
                 \n[[facts.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.82\n",
            );
            let _ = write!(
                t,
                "\n[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ncancel_s = {:?}\n",
                facts.report_ms as f64 / 1000.0,
                facts.lease_ms as f64 / 1000.0,
                facts.cancel_ms as f64 / 1000.0
            );
            if let Some((wait, peer)) = facts.gang {
                let _ = write!(t, "gang_wait_s = {wait:?}\ngang_peer_s = {peer:?}\n");
            }
            let _ = write!(
                t,
                "\n[facts.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\
                 \n[facts.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\
                 \n[facts.machine_limits]\ncores = {:?}\nram_mb = {:?}\nsockets = 1800\n",
                facts.state.0,
                facts.state.1,
                facts.state.2,
                facts.state.3,
                facts.cloud_rps,
                facts.list_lag_s,
                facts.cores,
                facts.ram_mb
            );
            let path = folder.join(format!("{}.toml", names[i]));
            std::fs::write(&path, t).expect("settings");
            configs.push(path);
        }
        *shared.nodes.lock().unwrap() = ports
            .iter()
            .map(|(api, _)| SocketAddr::from(([127, 0, 0, 1], *api)))
            .collect();
        let deploy = std::fs::read_to_string("deploy/service.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("its run");
        let run: Vec<String> = run.trim_matches('"').split_whitespace().map(str::to_owned).collect();
        let mut world = World {
            shared,
            doors,
            children: vec![None, None, None],
            run,
            configs,
            folder,
            trouble,
        };
        (0..3).for_each(|i| world.spawn(i));
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..3).all(|i| world.is_up(i)) || world.shared.state.get("t/c/epoch").is_null() {
            if Instant::now() > until {
                world.cannot_run("the controllers are not ready after 20 s");
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_millis(3000));
        world
    }
    pub fn spawn(&mut self, i: usize) {
        let path = self.folder.join(format!("berth-{i}.log"));
        let log = File::options().create(true).append(true).open(path).expect("a log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&self.configs[i])
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a controller");
        // The script ends what is left by this.
        let pid = self.folder.join(format!("{}.pid", child.id()));
        let _ = std::fs::write(pid, format!("{}\n", child.id()));
        self.shared.log(&format!("berth-{i} started"));
        self.children[i] = Some(child);
    }
    pub fn kill(&mut self, i: usize) {
        if let Some(mut c) = self.children[i].take() {
            let _ = c.kill();
            let _ = c.wait();
            let _ = std::fs::remove_file(self.folder.join(format!("{}.pid", c.id())));
            self.shared.log(&format!("berth-{i} killed"));
        }
    }
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(c) = &self.children[i] {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(c.id().to_string())
                .status();
            self.shared.log(&format!("berth-{i}: {signal}"));
        }
    }
    pub fn is_up(&self, i: usize) -> bool {
        let to = self.shared.nodes.lock().unwrap()[i];
        call(to, "GET", "/up", "", Duration::from_secs(1)).is_some_and(|(s, _)| s == 200)
    }
    /// A request of a user to one controller.
    pub fn user(&self, i: usize, method: &str, path: &str, body: &str, wait_s: u64) -> Option<(u16, String)> {
        let to = self.shared.nodes.lock().unwrap()[i];
        let answer = call(to, method, path, body, Duration::from_secs(wait_s));
        let text = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
        self.shared.log(&format!("user -> berth-{i}: {method} {path}: {text}"));
        answer
    }
    /// Submits a job until it is accepted; the user tries one controller after the other.
    pub fn submit(&self, job: &str) -> bool {
        let body = Json::parse(job).expect("a job");
        let id = body.get("uid").str().to_owned();
        self.shared.jobs.lock().unwrap().insert(id, body);
        for attempt in 0..40 {
            match self.user(attempt % 3, "POST", "/submissions", job, 5) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }
    pub fn finish(&self, machine: &str, task: &str) {
        if let Some(w) = self.shared.workers.lock().unwrap().get_mut(machine) {
            for ((t, _), s) in w.tasks.iter_mut() {
                if t == task && s.state == "running" {
                    s.next_at = Some(Instant::now());
                }
            }
        }
    }
    /// The network delivers once more a command that was carried out.
    pub fn repeat_start(&self, machine: &str, body: &str) -> bool {
        let addr = self.shared.workers.lock().unwrap().get(machine).map(|w| w.addr.clone());
        let Some(to) = addr.and_then(|a| a.parse().ok()) else {
            return false;
        };
        let answer = call(to, "POST", "/commands", body, Duration::from_secs(2));
        let status = answer.map_or(0, |(s, _)| s);
        self.shared
            .log(&format!("{machine}: the network repeats {body}: {status}"));
        status == 200
    }
    /// Tasks that run, by machine.
    pub fn running(&self) -> BTreeMap<String, Vec<String>> {
        self.shared
            .workers
            .lock()
            .unwrap()
            .iter()
            .map(|(n, w)| (n.clone(), on_machine(w)))
            .collect()
    }
    /// The partition to which the roster assigns a machine: that of the newest group that lists it.
    pub fn partition_of(&self, machine: &str) -> Option<u64> {
        let groups = self.shared.state.list("t/m/");
        let listed = groups.iter().filter(|(_, g)| !g.get("m").get(machine).is_null());
        listed.map(|(_, g)| g.get("part").u64().unwrap_or(99)).last()
    }
    pub fn leader(&self) -> Option<usize> {
        let record = self.shared.state.get("t/c/leader");
        record
            .fields()
            .iter()
            .find_map(|(_, v)| self.shared.names.iter().position(|n| n == v.str()))
    }
    pub fn wait(&self, what: &str, seconds: u64, mut holds: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.shared.log(&format!("not seen within {seconds} s: {what}"));
        false
    }
    pub fn cannot_run(&mut self, why: &str) -> ! {
        self.shared.log(&format!("CANNOT RUN: {why}"));
        self.end_all();
        std::process::exit(2)
    }
    pub fn end_all(&mut self) {
        for i in 0..3 {
            self.signal(i, "CONT");
            self.kill(i);
        }
    }
    /// Ends all processes and exits with the case's result.
    pub fn finish_case(&mut self) -> ! {
        let broken = self.shared.broken.lock().unwrap().clone();
        self.shared.log(&format!(
            "result: {}",
            if broken.is_empty() {
                "held".to_owned()
            } else {
                broken.join(" ")
            }
        ));
        self.end_all();
        std::process::exit(i32::from(!broken.is_empty()))
    }
}

/// A job as users send it.
pub fn job(id: &str, team: usize, shape: &str, precedence: &str, tasks: u32, gpus: f64, image: &str) -> String {
    format!(
        "{{\"uid\":\"{id}\",\"consist\":\"{}\",\"crew\":\"yard-crew-{team:02}\",\"shape\":\"{shape}\",\
         \"precedence\":\"{precedence}\",\"wagons\":{tasks},\"vcpus\":8.0,\"accelerators\":{gpus:?},\"ramGb\":43.0,\
         \"stock\":\"{image}\",\"sizeGb\":1.0,\"models\":null,\"yard\":null,\"together\":false,\"spread\":false,\
         \"standby\":false,\"runtimeS\":{},\"waypointS\":0.0,\"stowS\":0.0,\"dueS\":null}}",
        if shape == "standing" {
            "reefer-vision"
        } else {
            "thaw-replay"
        },
        if shape == "standing" { "0.0" } else { "50.0" },
    )
}
