//! A simulated worker: its tasks, its fencing token, its session and its lease.

use serde_json::{Value, json};
use std::collections::BTreeMap;

/// One attempt of a task on a worker.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// `pulling`, `gathering`, `running`, `flushing` or `ended`.
    pub state: &'static str,
    /// The cause of its end. It is reported only once the attempt has ended.
    pub cause: &'static str,
    /// When it moves to the next state by itself, in milliseconds.
    pub transition_ms: Option<u64>,
}

/// A worker and the state that it reports.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The name of its machine.
    pub name: String,
    /// The zone of its machine.
    pub zone: String,
    /// Whether its machine is a spot machine.
    pub spot: bool,
    /// Number of its current session. A session ends with the worker's lease.
    pub session: u64,
    /// Sequence number of its last report in this session.
    pub sequence: u64,
    /// Highest fencing token seen; orders with a lower one are ignored.
    pub token: u64,
    /// Its attempts, by task and attempt number.
    pub attempts: BTreeMap<(String, u64), Attempt>,
    /// Start of its current lease, in milliseconds: when its session began or its last report was answered. On the
    /// loopback interface the time at which that report was sent counts.
    pub lease_start_ms: u64,
    /// Number of the controller that it reports to.
    pub controller: usize,
    /// Whether it hangs: it makes no progress, sends nothing and answers nothing.
    pub is_hanging: bool,
    /// Sequence number of the report whose answer it waits for.
    pub unanswered_sequence: Option<u64>,
    /// Whether it fails every task that it starts.
    pub is_faulty: bool,
    /// Address at which it accepts commands. `None`: an address made from its name, for the simulated network.
    pub command_address: Option<String>,
}

impl Worker {
    /// Machine type of all workers.
    pub const MODEL: &'static str = "m2";
    /// Milliseconds that fetching an image takes.
    pub const IMAGE_FETCH_MS: u64 = 1000;

    /// Creates a worker that has just booted and reports to this controller first.
    pub fn new(name: &str, zone: &str, spot: bool, controller: usize, now: u64) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            spot,
            session: 1,
            sequence: 0,
            token: 0,
            attempts: BTreeMap::new(),
            lease_start_ms: now,
            controller,
            is_hanging: false,
            unanswered_sequence: None,
            is_faulty: false,
            command_address: None,
        }
    }

    /// Builds its next report, which has a new sequence number.
    pub fn report(&mut self) -> Value {
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .attempts
            .iter()
            .map(|((task, attempt), a)| {
                let mut v = json!({ "wagon": task, "run": attempt, "status": a.state });
                if a.state == "ended" {
                    v["cause"] = json!(a.cause);
                }
                v
            })
            .collect();
        let command_address = self
            .command_address
            .clone()
            .unwrap_or_else(|| format!("{}:9000", self.name));
        json!({
            "berth": self.name, "addr": command_address, "model": Self::MODEL, "yard": self.zone,
            "standby": self.spot, "shift": self.session, "tally": self.sequence, "baton": self.token,
            "warningS": null, "wagons": tasks
        })
    }

    /// Returns whether it has an attempt of the task that has not ended.
    pub fn has_active_task(&self, task: &str) -> bool {
        self.attempts.iter().any(|((t, _), a)| t == task && a.state != "ended")
    }

    /// Executes one order. Returns the task and attempt if the order starts one. `begin_save` decides whether a running
    /// task that is stopped saves its progress first; it gets the task, the attempt and the grace in seconds.
    pub fn execute_order(
        &mut self,
        order: &Value,
        now: u64,
        begin_save: &mut dyn FnMut(&str, u64, f64) -> bool,
    ) -> Option<(String, u64)> {
        let task = order["wagon"].as_str().unwrap_or_default().to_owned();
        let key = (task.clone(), order["run"].as_u64().unwrap_or(0));
        match order["order"].as_str() {
            Some("start") => {
                if self.attempts.contains_key(&key) {
                    return None;
                }
                let already_running = self.has_active_task(&task);
                self.attempts.insert(
                    key.clone(),
                    Attempt {
                        state: if already_running { "ended" } else { "pulling" },
                        cause: "busy",
                        transition_ms: (!already_running).then_some(now + Self::IMAGE_FETCH_MS),
                    },
                );
                (!already_running).then_some(key)
            }
            Some("kill") => {
                let grace_s = order["leewayS"].as_f64().unwrap_or(0.0);
                if let Some(a) = self.attempts.get_mut(&key).filter(|a| a.state != "ended") {
                    if a.state == "flushing" && grace_s > 0.0 {
                        return None;
                    }
                    if a.state == "running" && begin_save(&task, key.1, grace_s) {
                        a.state = "flushing";
                        a.transition_ms = None;
                        return None;
                    }
                    a.state = "ended";
                    a.cause = "stopped";
                    a.transition_ms = None;
                }
                None
            }
            Some("forget") => {
                if self.attempts.get(&key).is_some_and(|a| a.state == "ended") {
                    self.attempts.remove(&key);
                }
                None
            }
            _ => None,
        }
    }

    /// Begins the next session after its lease has ended: all its attempts are killed and forgotten.
    pub fn start_next_session(&mut self, now: u64) {
        self.attempts.clear();
        self.session += 1;
        self.sequence = 0;
        self.lease_start_ms = now;
    }
}
