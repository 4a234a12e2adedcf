//! Reports events to the checker of the protocol's rules, and records the breaches that it finds.

use super::World;
use super::event::Event;
use crate::checker::{Checker, MachineProperties};
use crate::worker::Worker;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// Returns the rule checker, which has seen all events so far.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    /// Returns the milliseconds from the confirmation of a cancellation until the job's last task was gone; see
    /// [`Checker::cancellation_duration_ms`].
    pub fn cancellation_duration_ms(&self, job: &str) -> Option<u64> {
        self.checker.cancellation_duration_ms(job)
    }

    /// Counts the starts of a job's tasks after its cancellation was confirmed to its user.
    pub fn starts_after_cancellation(&self, job: &str) -> u64 {
        self.checker.starts_after_cancellation(job)
    }

    /// Records the breaches that the checker has found since the last call.
    pub(super) fn record_breaches(&mut self) {
        let new = self
            .checker
            .breaches()
            .get(self.recorded_breaches..)
            .unwrap_or_default()
            .to_vec();
        self.recorded_breaches += new.len();
        for text in new {
            self.record_breach(text);
        }
    }

    /// Reports the start orders in a message from a controller to a worker to the checker.
    pub(super) fn count_start_orders(&mut self, body: &str) {
        if !body.contains("\"start\"") {
            return;
        }
        let body: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        let orders = body["orders"].as_array().into_iter().flatten();
        for order in orders.filter(|o| o["order"] == "start") {
            self.checker
                .record_start_order(self.now, order["wagon"].as_str().unwrap_or_default());
        }
    }

    /// Records that a task has completed. Schedules the cancellation of the job if its user wanted to cancel it after
    /// the last task.
    pub(super) fn record_completion(&mut self, task: &str) {
        self.checker.record_completion(task);
        let job = task.split('/').next().unwrap_or_default().to_owned();
        if self.cancel_after_last_task.contains_key(&job)
            && self.checker.is_job_done(&job)
            && let Some((controller, after)) = self.cancel_after_last_task.remove(&job)
        {
            self.schedule(after, Event::CancelEndedJob { controller, job });
        }
    }

    /// Reports the changes on all machines to the checker.
    pub(super) fn observe_machines(&mut self) {
        let known = self.checker.machines().map(str::to_owned);
        let names: BTreeSet<String> = known.chain(self.workers.keys().cloned()).collect();
        for name in names {
            self.observe_machine(&name, &[]);
        }
    }

    /// Reports the changes on a machine to the checker: the attempts that have ended, those that have just been started
    /// (whatever state they are in by now), and those whose image has been fetched.
    pub(super) fn observe_machine(&mut self, name: &str, started: &[(String, u64)]) {
        let now = self.now;
        let Some(w) = self.workers.get(name) else {
            self.checker.record_machine_removed(now, name);
            self.record_breaches();
            return;
        };
        let properties = MachineProperties {
            model: Worker::MODEL.to_owned(),
            zone: w.zone.clone(),
            spot: w.spot,
        };
        let is_active = |key: &(String, u64)| w.attempts.get(key).is_some_and(|a| a.state != "ended");
        let known: BTreeMap<(String, u64), bool> = self
            .checker
            .on_machine(name)
            .map(|(task, attempt, image)| ((task.to_owned(), attempt), image))
            .collect();
        for (task, attempt) in known.keys().filter(|k| !is_active(k)) {
            self.checker.record_end(now, name, task, *attempt);
        }
        self.checker.record_machine(name, properties);
        for (task, attempt) in started {
            self.checker.record_start(now, name, task, *attempt);
        }
        for (key, a) in &w.attempts {
            let (task, attempt) = key;
            let image = known.get(key);
            if a.state == "ended" {
                if started.contains(key) {
                    self.checker.record_end(now, name, task, *attempt);
                }
                continue;
            }
            if image.is_none() && !started.contains(key) {
                self.checker.record_start(now, name, task, *attempt);
            }
            if a.state != "pulling" && image != Some(&true) {
                self.checker.record_image_fetched(now, name, task, *attempt);
            }
        }
        self.record_breaches();
    }

    /// Records a breach of a rule and writes it to the trace.
    pub(super) fn record_breach(&mut self, text: String) {
        self.write_trace(&format!("RULE BROKEN: {text}"));
        self.breaches.push(text);
    }
}
