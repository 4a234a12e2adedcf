//! Advances the gangs on the workers. All tasks of a gang advance in the same step, on whichever machines they are.

use super::World;
use super::event::Event;
use crate::gang::{GangTerms, Gangs};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds between two steps of all gangs.
pub(super) const GANG_STEP_INTERVAL_MS: u64 = 100;
/// Minimum milliseconds between two reports that a worker sends because a gang on it has changed.
const MIN_GANG_REPORT_INTERVAL_MS: u64 = 500;

impl World {
    /// Advances all gangs by one step. Workers whose tasks have changed report at once.
    pub(super) fn step_gangs(&mut self) {
        for key in self.gangs_on_machines() {
            let Some(job) = self.jobs.get(&key.0) else { continue };
            let terms = GangTerms {
                tasks: job["wagons"].as_u64().unwrap_or(0) as usize,
                run_ms: self.run_ms,
                checkpoint_ms: (job["waypointS"].as_f64().unwrap_or(0.0) * 1000.0) as u64,
            };
            self.gangs.advance_attempt(&key, terms, &mut self.workers, self.now);
        }
        for name in self.gangs.changed_workers.clone() {
            self.observe_machine(&name, &[]);
        }
        for task in std::mem::take(&mut self.gangs.done) {
            self.record_completion(&task);
        }
        for text in std::mem::take(&mut self.gangs.trace_lines) {
            self.write_trace(&text);
        }
        self.report_changed_gangs();
        self.schedule(GANG_STEP_INTERVAL_MS, Event::StepGangs);
    }

    /// Returns the gangs that have tasks on machines, by job and attempt.
    fn gangs_on_machines(&self) -> BTreeSet<(String, u64)> {
        let mut keys = BTreeSet::new();
        for w in self.workers.values() {
            for ((task, attempt), _) in w.attempts.iter().filter(|(_, a)| a.state != "ended") {
                let job = task.split('/').next().unwrap_or_default();
                if self.jobs.get(job).is_some_and(|j| j["shape"] == "group") {
                    keys.insert((job.to_owned(), *attempt));
                }
            }
        }
        keys
    }

    /// Sends the reports of workers on which a gang has changed. A worker that hangs, waits for an answer, or sent such
    /// a report less than [`MIN_GANG_REPORT_INTERVAL_MS`] ago reports later.
    fn report_changed_gangs(&mut self) {
        let now = self.now;
        let changed = std::mem::take(&mut self.gangs.changed_workers);
        for name in changed {
            let reported_recently = self
                .gang_reported_at
                .get(&name)
                .is_some_and(|t| now < t + MIN_GANG_REPORT_INTERVAL_MS);
            let can_report = self
                .workers
                .get(&name)
                .is_some_and(|w| !w.is_hanging && w.unanswered_sequence.is_none());
            if can_report && !reported_recently {
                self.gang_reported_at.insert(name.clone(), now);
                self.send_report(&name);
            } else if self.workers.contains_key(&name) {
                self.gangs.changed_workers.insert(name);
            }
        }
    }
}

/// Handles a stop order for a task (task, attempt, grace in seconds). Returns whether it saves its progress first: only
/// tasks of a running gang do.
pub(super) fn begin_task_stop(
    gangs: &mut Gangs,
    jobs: &BTreeMap<String, Value>,
    stop: (&str, u64, f64),
    now: u64,
) -> bool {
    let (task, attempt, grace_s) = stop;
    let job = task.split('/').next().unwrap_or_default();
    let gang = jobs.get(job).is_some_and(|j| j["shape"] == "group");
    gang && gangs.begin_stop(job, attempt, task, grace_s, now)
}
