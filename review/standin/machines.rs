//! The cloud and its machines, each with a worker, by the pages "Controller nodes -> cloud" and "Workers -> controller
//! nodes". Jobs here have no checkpoints and are no gangs.

use crate::http::{self, Request, call, serve};
use crate::json::Json;
use crate::record::Record;
use crate::site::site;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What a worker waits for an answer.
const ANSWER_S: f64 = 4.0;
const STEP: Duration = Duration::from_millis(10);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// An attempt of a task on a machine.
#[derive(Clone)]
struct Attempt {
    state: &'static str,
    cause: &'static str,
    /// When its image is there, or when it completes.
    next: Option<Instant>,
}

/// A machine with its worker.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub spot: bool,
    created: Instant,
    up_at: Instant,
    gone_at: Option<Instant>,
    address: Option<SocketAddr>,
    session: u64,
    tally: u64,
    token: u64,
    lease_from: Instant,
    changed: bool,
    hang_until: Option<Instant>,
    deaf_until: Option<Instant>,
    node: usize,
    attempts: BTreeMap<(String, u64), Attempt>,
    images: BTreeSet<String>,
    /// Bodies of the direct commands that were carried out, in order.
    carried_out: Vec<String>,
}

impl Machine {
    pub fn is_gone(&self) -> bool {
        self.gone_at.is_some()
    }
    fn hangs(&self) -> bool {
        self.hang_until.is_some_and(|until| Instant::now() < until)
    }
    /// Whether answers and direct commands to the machine are lost.
    fn is_deaf(&self) -> bool {
        self.deaf_until.is_some_and(|until| Instant::now() < until)
    }
    /// Whether the worker lists an attempt, in whatever state.
    pub fn lists(&self, task: &str, run: u64) -> bool {
        self.attempts.contains_key(&(task.to_owned(), run))
    }
    fn report(&mut self) -> Json {
        self.tally += 1;
        let wagons = self.attempts.iter().map(|((task, run), a)| {
            let mut fields = vec![
                ("wagon", Json::text(task)),
                ("run", Json::num(run)),
                ("status", Json::text(a.state)),
            ];
            if a.state == "ended" {
                fields.push(("cause", Json::text(a.cause)));
            }
            Json::obj(&fields)
        });
        Json::obj(&[
            ("berth", Json::text(&self.name)),
            (
                "addr",
                Json::text(self.address.map_or(String::new(), |a| a.to_string())),
            ),
            ("model", Json::text(site().model)),
            ("yard", Json::text(&self.zone)),
            ("standby", Json::Bool(self.spot)),
            ("shift", Json::num(self.session)),
            ("tally", Json::num(self.tally)),
            ("baton", Json::num(self.token)),
            ("warningS", Json::Null),
            ("wagons", Json::Arr(wagons.collect())),
        ])
    }
}

struct Cloud {
    /// How many machines each zone has.
    capacity: BTreeMap<String, usize>,
    charters: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, Machine>,
    next: usize,
    /// Calls left, and when that was so.
    rate: (f64, Instant),
    /// The cloud's interface is down.
    down: bool,
}

/// The cloud, its machines, and what their workers know.
#[derive(Clone)]
pub struct Fleet {
    cloud: Arc<Mutex<Cloud>>,
    nodes: Arc<Mutex<Vec<(String, SocketAddr)>>>,
    /// Descriptions that users have uploaded.
    jobs: Arc<Mutex<BTreeMap<String, Json>>>,
    /// Tasks that have completed: their results are kept.
    results: Arc<Mutex<BTreeSet<String>>>,
    record: Record,
    boot_s: f64,
}

impl Fleet {
    /// `capacity` holds the number of machines of each zone.
    pub fn start(record: &Record, capacity: &[(&str, usize)]) -> std::io::Result<(SocketAddr, Fleet)> {
        let fleet = Fleet {
            cloud: Arc::new(Mutex::new(Cloud {
                capacity: capacity.iter().map(|(z, n)| ((*z).to_owned(), *n)).collect(),
                charters: BTreeMap::new(),
                machines: BTreeMap::new(),
                next: 0,
                rate: (2.0 * site().cloud_rps, Instant::now()),
                down: false,
            })),
            nodes: Arc::default(),
            jobs: Arc::default(),
            results: Arc::default(),
            record: record.clone(),
            boot_s: 0.6 * site().boot_s,
        };
        let serving = fleet.clone();
        let address = serve(Arc::new(move |request| {
            // A call to the cloud takes a while.
            sleep(Duration::from_millis(100));
            Some(serving.cloud_call(request))
        }))?;
        Ok((address, fleet))
    }

    pub fn set_nodes(&self, nodes: Vec<(String, SocketAddr)>) {
        *self.nodes.lock().unwrap() = nodes;
    }

    pub fn upload(&self, job: &Json) {
        self.jobs
            .lock()
            .unwrap()
            .insert(job.get("uid").str().to_owned(), job.clone());
    }

    fn lock(&self) -> MutexGuard<'_, Cloud> {
        self.cloud.lock().unwrap()
    }

    /// Begins or ends an outage of the cloud's interface.
    pub fn set_down(&self, down: bool) {
        self.record.log(format!("cloud: its interface is down: {down}"));
        self.lock().down = down;
    }

    /// Calls `read` with a machine.
    pub fn with<T>(&self, name: &str, read: impl FnOnce(&mut Machine) -> T) -> Option<T> {
        self.lock().machines.get_mut(name).map(read)
    }

    /// The machine stops for a while: it runs nothing, sends nothing and answers nothing.
    pub fn hang(&self, name: &str, s: f64) {
        self.record.log(format!("{name} hangs for {s} s"));
        self.with(name, |m| m.hang_until = Some(Instant::now() + secs(s)));
    }

    /// The machine's reports arrive; answers and direct commands to it are lost for a while.
    pub fn deafen(&self, name: &str, s: f64) {
        self.record.log(format!("{name} hears nothing for {s} s"));
        self.with(name, |m| m.deaf_until = Some(Instant::now() + secs(s)));
    }

    /// Attempts of a task that were started on a machine and are listed there.
    pub fn runs(&self, name: &str, task: &str) -> Vec<u64> {
        let runs = |m: &mut Machine| {
            m.attempts
                .keys()
                .filter(|(t, _)| t == task)
                .map(|(_, run)| *run)
                .collect()
        };
        self.with(name, runs).unwrap_or_default()
    }

    /// The network delivers once more the direct command that started an attempt. Returns the worker's status.
    pub fn repeat_start(&self, name: &str, task: &str, run: u64) -> Option<u16> {
        let is_start = |body: &String| {
            let body = Json::parse(body).unwrap_or(Json::Null);
            body.get("orders").arr().iter().any(|o| {
                o.get("order").str() == "start" && o.get("wagon").str() == task && o.get("run").u64() == Some(run)
            })
        };
        let (address, body) = self.with(name, |m| {
            Some((m.address?, m.carried_out.iter().find(|b| is_start(b))?.clone()))
        })??;
        self.record
            .log(format!("network: delivers again to {name}: POST /commands {body}"));
        let answer = call(address, "POST", "/commands", &body, secs(2.0)).ok()?;
        self.record.log(format!(
            "{name} answers the repeated command: {} {}",
            answer.0, answer.1
        ));
        Some(answer.0)
    }

    // The cloud.

    fn cloud_call(&self, request: &Request) -> (u16, String) {
        let now = Instant::now();
        {
            // Bursts worth two seconds are allowed.
            let mut cloud = self.lock();
            if cloud.down {
                return (503, Json::obj(&[("error", Json::text("trouble"))]).to_string());
            }
            let (left, at) = cloud.rate;
            let rps = site().cloud_rps;
            let left = (left + (now - at).as_secs_f64() * rps).min(2.0 * rps);
            cloud.rate = (if left >= 1.0 { left - 1.0 } else { left }, now);
            if left < 1.0 {
                return (429, "{}".to_owned());
            }
        }
        let route = request.path.split('?').next().unwrap_or("");
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), route) {
            ("GET", "/machine_types") => {
                let zones: Vec<Json> = self.lock().capacity.keys().map(Json::text).collect();
                let model = Json::obj(&[
                    ("label", Json::text(site().model)),
                    ("vcpus", Json::num(site().size[0])),
                    ("accelerators", Json::num(site().size[1])),
                    ("ramGb", Json::num(site().size[2])),
                    ("localGb", Json::num(site().cache_gb)),
                    ("pullGbPerS", Json::num(1.0)),
                    ("rate", Json::num(site().price[0])),
                    ("marketPrice", Json::num(site().price[1])),
                    ("startupS", Json::num(site().boot_s)),
                    ("yards", Json::Arr(zones)),
                ]);
                (200, Json::obj(&[("models", Json::Arr(vec![model]))]).to_string())
            }
            ("POST", "/hosts") => self.rent(&body),
            ("POST", "/hosts/delete") => {
                for name in body.get("berths").arr() {
                    self.delete(name.str());
                }
                (200, "{}".to_owned())
            }
            ("GET", "/hosts") => (200, self.list(&request.path)),
            _ => (400, "{}".to_owned()),
        }
    }

    fn rent(&self, body: &Json) -> (u16, String) {
        let names = |list: &[String]| {
            let names = list.iter().map(Json::text).collect();
            Json::obj(&[("berths", Json::Arr(names))]).to_string()
        };
        let (charter, zone) = (body.get("charter").str().to_owned(), body.get("yard").str().to_owned());
        let spot = *body.get("standby") == Json::Bool(true);
        let mut cloud = self.lock();
        if let Some(known) = cloud.charters.get(&charter) {
            return (200, names(known));
        }
        let taken = cloud
            .machines
            .values()
            .filter(|m| !m.is_gone() && m.zone == zone)
            .count();
        let free = cloud.capacity.get(&zone).map_or(0, |n| n.saturating_sub(taken));
        let count = free.min(body.get("number").u64().unwrap_or(0) as usize).min(50);
        if count == 0 {
            return (503, Json::obj(&[("error", Json::text("no capacity"))]).to_string());
        }
        let mut rented = Vec::new();
        for _ in 0..count {
            cloud.next += 1;
            let node = cloud.next;
            let name = format!("n-{node:06}");
            let now = Instant::now();
            cloud.machines.insert(
                name.clone(),
                Machine {
                    name: name.clone(),
                    zone: zone.clone(),
                    spot,
                    created: now,
                    up_at: now + secs(self.boot_s),
                    gone_at: None,
                    address: None,
                    session: 1,
                    tally: 0,
                    token: 0,
                    lease_from: now,
                    changed: false,
                    hang_until: None,
                    deaf_until: None,
                    node,
                    attempts: BTreeMap::new(),
                    images: BTreeSet::new(),
                    carried_out: Vec::new(),
                },
            );
            self.record.log(format!("cloud: rents {name} in {zone}"));
            rented.push(name);
        }
        let answer = names(&rented);
        cloud.charters.insert(charter, rented.clone());
        drop(cloud);
        for name in rented {
            let fleet = self.clone();
            spawn(move || fleet.run_machine(&name));
        }
        (200, answer)
    }

    fn delete(&self, name: &str) {
        let off = self.with(name, |m| {
            if m.gone_at.is_some() {
                return Vec::new();
            }
            m.gone_at = Some(Instant::now());
            self.record.log(format!("cloud: deletes {name}"));
            std::mem::take(&mut m.attempts).into_iter().collect()
        });
        for ((task, run), a) in off.unwrap_or_default() {
            if a.state == "running" {
                self.record.task_off(&task, run, name, "its machine is gone");
            }
        }
    }

    fn list(&self, path: &str) -> String {
        let since = path
            .split("since=")
            .nth(1)
            .and_then(|s| s.split('&').next())
            .unwrap_or("");
        let cloud = self.lock();
        let (now, lag) = (Instant::now(), secs(site().list_lag_s));
        let at_that_time = |m: &&Machine| now - m.created > lag && m.gone_at.is_none_or(|t| now - t < lag);
        let machines = cloud
            .machines
            .values()
            .filter(at_that_time)
            .filter(|m| m.name.as_str() > since);
        let berths = machines.map(|m| {
            let up = now - lag >= m.up_at;
            Json::obj(&[
                ("uid", Json::text(&m.name)),
                ("addr", Json::text(m.address.map_or(String::new(), |a| a.to_string()))),
                ("model", Json::text(site().model)),
                ("yard", Json::text(&m.zone)),
                ("standby", Json::Bool(m.spot)),
                ("status", Json::text(if up { "running" } else { "starting" })),
                ("ageS", Json::num((now - m.created - lag).as_secs_f64())),
            ])
        });
        Json::obj(&[("berths", Json::Arr(berths.collect())), ("more", Json::Bool(false))]).to_string()
    }

    // The workers.

    fn run_machine(&self, name: &str) {
        sleep(secs(self.boot_s));
        let serving = (self.clone(), name.to_owned());
        let Ok(address) = serve(Arc::new(move |request| serving.0.command(&serving.1, request))) else {
            return;
        };
        self.with(name, |m| {
            m.address = Some(address);
            m.lease_from = Instant::now();
        });
        self.record.log(format!("{name} is up"));
        let reporting = (self.clone(), name.to_owned());
        spawn(move || reporting.0.report_for_ever(&reporting.1));
        while self.step(name) {
            sleep(STEP);
        }
    }

    /// Lets the time pass on a machine. False once it is gone.
    fn step(&self, name: &str) -> bool {
        let now = Instant::now();
        let mut events: Vec<(String, u64, Option<&str>)> = Vec::new();
        let there = self.with(name, |m| {
            if m.is_gone() {
                return false;
            }
            if m.hangs() {
                return true;
            }
            if now - m.lease_from > secs(site().lease_s) {
                for ((task, run), a) in std::mem::take(&mut m.attempts) {
                    if a.state == "running" {
                        events.push((task, run, Some("the worker's lease has ended")));
                    }
                }
                m.session += 1;
                m.lease_from = now;
                m.changed = true;
            }
            for ((task, run), a) in m.attempts.iter_mut().filter(|(_, a)| a.next.is_some_and(|t| t <= now)) {
                let job = task.split('/').next().unwrap_or("");
                let jobs = self.jobs.lock().unwrap();
                let job = jobs.get(job).unwrap_or(&Json::Null);
                m.changed = true;
                a.next = None;
                if a.state == "running" {
                    (a.state, a.cause) = ("ended", "done");
                    self.results.lock().unwrap().insert(task.clone());
                    events.push((task.clone(), *run, Some("done")));
                    continue;
                }
                m.images.insert(job.get("stock").str().to_owned());
                if self.results.lock().unwrap().contains(task) {
                    (a.state, a.cause) = ("ended", "done");
                    continue;
                }
                a.state = "running";
                a.next = (job.get("shape").str() == "sweep").then(|| now + secs(job.get("runtimeS").f64()));
                events.push((task.clone(), *run, None));
            }
            true
        });
        for (task, run, off) in events {
            match off {
                Some(why) => self.record.task_off(&task, run, name, why),
                None => self.record.task_on(&task, run, name),
            }
        }
        there == Some(true)
    }

    /// Answers `/commands` and `/status`. A machine that hangs answers once it goes on; one that is gone never.
    fn command(&self, name: &str, request: &Request) -> Option<(u16, String)> {
        while self.with(name, |m| m.hangs() && !m.is_gone()) == Some(true) {
            sleep(STEP);
        }
        if self.with(name, |m| m.is_deaf()) == Some(true) {
            // The command is lost on its way, and its sender waits in vain.
            self.record
                .log(format!("lost on its way to {name}: {} {}", request.path, request.body));
            sleep(secs(10.0));
            return None;
        }
        // Whatever the machine missed while it hung comes first: its lease may have ended.
        if !self.step(name) {
            return None;
        }
        if request.path == "/status" {
            return self.with(name, |m| (200, m.report().to_string()));
        }
        let body = Json::parse(&request.body)?;
        let (Some(token), Some(shift)) = (body.get("baton").u64(), body.get("shift").u64()) else {
            return Some((400, "{}".to_owned()));
        };
        let matches = self.with(name, |m| {
            let matches = token >= m.token && shift == m.session;
            if matches {
                m.changed |= token > m.token;
                m.token = token;
                if !body.get("orders").arr().is_empty() {
                    m.carried_out.push(request.body.clone());
                }
            }
            matches
        })?;
        if matches {
            if !body.get("orders").arr().is_empty() {
                self.record
                    .log(format!("{name} carries out direct command: {}", request.body));
            }
            self.carry_out(name, body.get("orders"));
        }
        self.with(name, |m| (if matches { 200 } else { 409 }, m.report().to_string()))
    }

    fn carry_out(&self, name: &str, orders: &Json) {
        for order in orders.arr() {
            let key = (order.get("wagon").str().to_owned(), order.get("run").u64().unwrap_or(0));
            match order.get("order").str() {
                "start" => self.start_task(name, key),
                "kill" => {
                    let was = self.with(name, |m| {
                        let a = m.attempts.get_mut(&key).filter(|a| a.state != "ended")?;
                        let was = a.state;
                        *a = Attempt {
                            state: "ended",
                            cause: "stopped",
                            next: None,
                        };
                        m.changed = true;
                        Some(was)
                    });
                    if was.flatten() == Some("running") {
                        self.record.task_off(&key.0, key.1, name, "stopped");
                    }
                }
                "forget" => {
                    self.record.log(format!("{name} forgets {} run {}", key.0, key.1));
                    self.with(name, |m| {
                        if m.attempts.get(&key).is_some_and(|a| a.state == "ended") {
                            m.attempts.remove(&key);
                        }
                    });
                }
                _ => {}
            }
        }
    }

    fn start_task(&self, name: &str, key: (String, u64)) {
        let jobs = self.jobs.lock().unwrap().clone();
        let size = |task: &str| {
            let job = jobs
                .get(task.split('/').next().unwrap_or(""))
                .cloned()
                .unwrap_or(Json::Null);
            [
                job.get("vcpus").f64(),
                job.get("accelerators").f64(),
                job.get("ramGb").f64(),
            ]
        };
        let (job, index) = key.0.split_once('/').unwrap_or((&key.0, ""));
        let known = jobs.get(job).filter(|job| {
            index
                .parse::<u64>()
                .is_ok_and(|i| i < job.get("wagons").u64().unwrap_or(0))
        });
        self.with(name, |m| {
            if m.attempts.contains_key(&key) {
                return;
            }
            m.changed = true;
            let mut used = [0.0; 3];
            for ((task, _), _) in m.attempts.iter().filter(|(_, a)| a.state != "ended") {
                used.iter_mut().zip(size(task)).for_each(|(u, s)| *u += s);
            }
            let full = used
                .iter()
                .zip(size(&key.0))
                .zip(site().size)
                .any(|((u, s), t)| u + s > t + 1e-6);
            let busy = m
                .attempts
                .iter()
                .any(|((task, _), a)| *task == key.0 && a.state != "ended");
            let attempt = match known {
                None => Attempt {
                    state: "ended",
                    cause: "no_such",
                    next: None,
                },
                Some(_) if busy => Attempt {
                    state: "ended",
                    cause: "busy",
                    next: None,
                },
                Some(_) if full => Attempt {
                    state: "ended",
                    cause: "no_room",
                    next: None,
                },
                Some(job) => {
                    let cached = m.images.contains(job.get("stock").str());
                    let fetch_s = if cached { 0.0 } else { job.get("sizeGb").f64() };
                    Attempt {
                        state: "pulling",
                        cause: "",
                        next: Some(Instant::now() + secs(fetch_s)),
                    }
                }
            };
            m.attempts.insert(key.clone(), attempt);
        });
    }

    /// Reports every `report_s`, give or take a quarter, and on changes, no more often than every half second.
    fn report_for_ever(&self, name: &str) {
        let mut due = Instant::now();
        let mut last = Instant::now() - secs(1.0);
        let mut number: u64 = name.bytes().map(u64::from).sum();
        loop {
            let now = Instant::now();
            let ready = self.with(name, |m| {
                if m.is_gone() {
                    return None;
                }
                Some(!m.hangs() && (now >= due || (m.changed && now - last >= secs(0.5))))
            });
            match ready.flatten() {
                None => return,
                Some(false) => {
                    sleep(STEP);
                    continue;
                }
                Some(true) => {}
            }
            // A number between 0 and 1 that varies from report to report.
            number = number
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let part = (number >> 33) as f64 / (1u64 << 31) as f64;
            last = now;
            due = now + secs(site().report_s * (0.75 + 0.5 * part));
            if !self.report_once(name, now) {
                due = Instant::now() + secs(1.0);
            }
        }
    }

    /// Sends one report. False if the next node is to be tried a second later.
    fn report_once(&self, name: &str, sent: Instant) -> bool {
        let nodes = self.nodes.lock().unwrap().clone();
        let taken = self.with(name, |m| {
            m.changed = false;
            (m.report().to_string(), m.session, m.node % nodes.len().max(1))
        });
        let Some((body, session, node)) = taken else {
            return true;
        };
        let Some((_, address)) = nodes.get(node) else {
            return false;
        };
        let answer = http::call(*address, "POST", "/agent/beat", &body, secs(ANSWER_S));
        if answer.as_ref().map_or(0, |a| a.0) != 200 {
            let status = answer.as_ref().map_or("no answer".to_owned(), |a| a.0.to_string());
            self.record
                .log(format!("{name} reports {} bytes to berth-{node}: {status}", body.len()));
        }
        while self.with(name, |m| m.hangs() && !m.is_gone()) == Some(true) {
            sleep(STEP);
        }
        if !self.step(name) {
            return true;
        }
        if answer.is_ok() && self.with(name, |m| m.is_deaf()) == Some(true) {
            // The answer is lost, and the worker waits in vain.
            self.record
                .log(format!("lost on its way to {name}: the answer to a report: {answer:?}"));
            sleep(secs(ANSWER_S).saturating_sub(sent.elapsed()));
        }
        let in_time = sent.elapsed() < secs(ANSWER_S);
        match answer.ok().filter(|_| in_time) {
            Some((200, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                let token = body.get("baton").u64();
                let valid = self.with(name, |m| {
                    let valid = token.is_some_and(|t| t >= m.token) && session == m.session;
                    if valid {
                        m.changed |= token > Some(m.token);
                        m.token = token.unwrap_or(m.token);
                        m.lease_from = m.lease_from.max(sent);
                    }
                    valid
                });
                if valid == Some(true) {
                    if !body.get("orders").arr().is_empty() {
                        self.record
                            .log(format!("{name} carries out with the answer to a report: {body}"));
                    }
                    self.carry_out(name, body.get("orders"));
                }
                true
            }
            Some((421, body)) => {
                let to = Json::parse(&body)
                    .unwrap_or(Json::Null)
                    .get("dispatcher")
                    .str()
                    .to_owned();
                let at = nodes.iter().position(|(n, _)| *n == to).filter(|at| *at != node);
                self.with(name, |m| {
                    m.node = at.unwrap_or(node + 1);
                    m.changed |= at.is_some();
                });
                at.is_some()
            }
            _ => {
                self.with(name, |m| m.node = node + 1);
                false
            }
        }
    }
}
