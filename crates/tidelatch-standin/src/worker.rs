//! A worker: its tasks, its token, its session and its lease.

use serde_json::{Value, json};
use std::collections::BTreeMap;

/// One attempt on a worker.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// `pulling`, `gathering`, `running`, `flushing` or `ended`.
    pub state: &'static str,
    /// Why it ended.
    pub why: &'static str,
    /// When it goes on to the next state by itself.
    pub next: Option<u64>,
}

/// A worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The machine's name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Session.
    pub session: u64,
    /// Sequence number of its last message.
    pub seq: u64,
    /// Highest token seen.
    pub token: u64,
    /// What it has, by task and attempt.
    pub tasks: BTreeMap<(String, u64), Attempt>,
    /// When the last answered report was sent, or its session began.
    pub answered: u64,
    /// The controller that it reports to.
    pub node: usize,
    /// It does nothing while it hangs.
    pub hanging: bool,
    /// Number of the report that is under way.
    pub waiting: Option<u64>,
    /// It fails every task that it starts.
    pub sick: bool,
    /// Where it takes commands; none: a made-up address by its name.
    pub address: Option<String>,
}

impl Worker {
    /// Machine type of all workers.
    pub const MODEL: &'static str = "m2";
    /// Time to fetch an image.
    pub const FETCH_MS: u64 = 1000;

    /// A worker that has just come up.
    pub fn new(name: &str, zone: &str, spot: bool, node: usize, now: u64) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            spot,
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            answered: now,
            node,
            hanging: false,
            waiting: None,
            sick: false,
            address: None,
        }
    }

    /// Its report; each has a number of its own.
    pub fn report(&mut self) -> Value {
        self.seq += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|((task, attempt), a)| {
                let mut v = json!({ "wagon": task, "run": attempt, "status": a.state });
                if a.state == "ended" {
                    v["cause"] = json!(a.why);
                }
                v
            })
            .collect();
        let address = self.address.clone().unwrap_or_else(|| format!("{}:9000", self.name));
        json!({
            "berth": self.name, "addr": address, "model": Self::MODEL, "yard": self.zone,
            "standby": self.spot, "shift": self.session, "tally": self.seq, "baton": self.token,
            "warningS": null, "wagons": tasks
        })
    }

    /// Whether it has a task that has not ended.
    pub fn has(&self, task: &str) -> bool {
        self.tasks.iter().any(|((t, _), a)| t == task && a.state != "ended")
    }

    /// Carries out one order; a start that begins is returned. `saves` says whether a task that is told to
    /// stop, with this grace, saves first.
    pub fn order(
        &mut self,
        order: &Value,
        now: u64,
        saves: &mut dyn FnMut(&str, u64, f64) -> bool,
    ) -> Option<(String, u64)> {
        let task = order["wagon"].as_str().unwrap_or_default().to_owned();
        let key = (task.clone(), order["run"].as_u64().unwrap_or(0));
        match order["order"].as_str() {
            Some("start") => {
                if self.tasks.contains_key(&key) {
                    return None;
                }
                let busy = self.has(&task);
                self.tasks.insert(
                    key.clone(),
                    Attempt {
                        state: if busy { "ended" } else { "pulling" },
                        why: "busy",
                        next: (!busy).then_some(now + Self::FETCH_MS),
                    },
                );
                (!busy).then_some(key)
            }
            Some("kill") => {
                let grace_s = order["leewayS"].as_f64().unwrap_or(0.0);
                if let Some(a) = self.tasks.get_mut(&key).filter(|a| a.state != "ended") {
                    if a.state == "flushing" && grace_s > 0.0 {
                        return None;
                    }
                    if a.state == "running" && saves(&task, key.1, grace_s) {
                        a.state = "flushing";
                        a.next = None;
                        return None;
                    }
                    a.state = "ended";
                    a.why = "stopped";
                    a.next = None;
                }
                None
            }
            Some("forget") => {
                if self.tasks.get(&key).is_some_and(|a| a.state == "ended") {
                    self.tasks.remove(&key);
                }
                None
            }
            _ => None,
        }
    }

    /// Its lease has ended: everything is killed and forgotten.
    pub fn next_session(&mut self, now: u64) {
        self.tasks.clear();
        self.session += 1;
        self.seq = 0;
        self.answered = now;
    }
}
