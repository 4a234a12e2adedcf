//! Simulates gangs on workers: the phases of one attempt of a gang, as the operators' specification of workers
//! describes them.

use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds after which a task that waits for the other tasks of its gang exits.
pub const GANG_WAIT_MS: u64 = 35_000;
/// Milliseconds after which the tasks of a running gang exit because a task is missing. After the first stop order the
/// other tasks must get theirs within the same time.
pub const GANG_PEER_TIMEOUT_MS: u64 = 5_000;
/// Milliseconds that a stopped task needs to save its progress.
pub const GANG_SAVE_MS: u64 = 2_000;

/// The state of one attempt of a gang.
#[derive(Debug, Clone, Default)]
pub struct GangAttempt {
    /// Whether all its tasks have started together.
    is_running: bool,
    /// Since when a task has been missing.
    incomplete_since: Option<u64>,
    /// When the first task got a stop order.
    first_stop_ms: Option<u64>,
    /// Tasks that got their stop orders in time and with enough grace to save.
    saving: BTreeSet<String>,
    /// Whether a task was stopped too late or with too little grace, so that the gang cannot save.
    cannot_save: bool,
    /// Whether its progress is saved.
    is_saved: bool,
    /// Progress of this attempt since the last checkpoint.
    progress_ms: u64,
    /// When the progress was last updated.
    updated_ms: u64,
}

/// The state of all gangs.
#[derive(Debug, Default)]
pub struct Gangs {
    attempts: BTreeMap<(String, u64), GangAttempt>,
    /// Saved progress in milliseconds, by job.
    pub saved_progress_ms: BTreeMap<String, u64>,
    /// Tasks that have completed and were not yet reported to the world.
    pub done: Vec<String>,
    /// Lines for the trace that were not yet written.
    pub trace_lines: Vec<String>,
    /// Names of workers whose attempts have changed since their last report.
    pub changed_workers: BTreeSet<String>,
}

/// The properties of a gang that its submission specifies.
#[derive(Debug, Clone, Copy)]
pub struct GangTerms {
    /// Number of tasks.
    pub tasks: usize,
    /// Milliseconds of progress after which it is done.
    pub run_ms: u64,
    /// Milliseconds of progress between checkpoints; 0: it writes none.
    pub checkpoint_ms: u64,
}

/// The name of a worker, and a task on it.
type WorkerTask = (String, String);

/// The inputs of one simulation step of one attempt.
struct Step<'a> {
    job: &'a str,
    attempt: u64,
    terms: GangTerms,
    workers: &'a mut BTreeMap<String, Worker>,
    now: u64,
}

impl Gangs {
    /// Handles a stop order for a task. Returns whether the task saves its progress before it ends.
    pub fn begin_stop(&mut self, job: &str, attempt: u64, task: &str, grace_s: f64, now: u64) -> bool {
        let gang = self.attempts.entry((job.to_owned(), attempt)).or_default();
        if !gang.is_running {
            return false;
        }
        let first = *gang.first_stop_ms.get_or_insert(now);
        if grace_s * 1000.0 < GANG_SAVE_MS as f64 || now > first + GANG_PEER_TIMEOUT_MS {
            // A gang whose progress is already saved does not need to save it again.
            gang.cannot_save |= !gang.is_saved;
            return false;
        }
        gang.saving.insert(task.to_owned());
        true
    }

    /// Advances one attempt on all workers that have tasks of it.
    pub fn advance_attempt(
        &mut self,
        key: &(String, u64),
        terms: GangTerms,
        workers: &mut BTreeMap<String, Worker>,
        now: u64,
    ) {
        let mut gang = self.attempts.remove(key).unwrap_or_default();
        let mut step = Step {
            job: &key.0,
            attempt: key.1,
            terms,
            workers,
            now,
        };
        let mut tasks = self.tasks_by_state(&mut step);
        let mut take_in_state = |state: &str| tasks.remove(state).unwrap_or_default();
        if gang.is_running {
            let mut active = take_in_state("running");
            active.extend(take_in_state("flushing"));
            self.advance_running(&mut gang, &mut step, &active);
        } else {
            self.start_or_time_out(&mut gang, &mut step, take_in_state("gathering"));
        }
        self.attempts.insert(key.clone(), gang);
    }

    /// Returns the attempt's tasks on workers that do not hang, by state. A task whose image has been fetched begins to
    /// wait for the others, and its waiting time starts.
    fn tasks_by_state(&mut self, step: &mut Step<'_>) -> BTreeMap<&'static str, Vec<WorkerTask>> {
        let prefix = format!("{}/", step.job);
        let mut tasks: BTreeMap<&'static str, Vec<WorkerTask>> = BTreeMap::new();
        for (name, w) in step.workers.iter_mut().filter(|(_, w)| !w.is_hanging) {
            for ((task, n), a) in &mut w.attempts {
                if *n != step.attempt || !task.starts_with(&prefix) {
                    continue;
                }
                if a.state == "pulling" && a.transition_ms.is_some_and(|t| t <= step.now) {
                    a.state = "gathering";
                    a.transition_ms = Some(step.now + GANG_WAIT_MS);
                    self.changed_workers.insert(name.clone());
                }
                tasks.entry(a.state).or_default().push((name.clone(), task.clone()));
            }
        }
        tasks
    }

    /// Starts all tasks together once all of them wait. A task that has waited for too long exits.
    fn start_or_time_out(&mut self, gang: &mut GangAttempt, step: &mut Step<'_>, waiting: Vec<WorkerTask>) {
        let (job, attempt, now) = (step.job, step.attempt, step.now);
        let distinct: BTreeSet<&String> = waiting.iter().map(|(_, t)| t).collect();
        if distinct.len() == step.terms.tasks {
            gang.is_running = true;
            gang.updated_ms = now;
            self.set_state(step, &waiting, "running", "");
            let text = format!("{job}: all {} tasks of attempt {attempt} run", step.terms.tasks);
            self.trace_lines.push(text);
            return;
        }
        let timed_out: Vec<WorkerTask> = waiting
            .into_iter()
            .filter(|(name, task)| {
                let worker = step.workers.get(name);
                let a = worker.and_then(|w| w.attempts.get(&(task.clone(), attempt)));
                a.is_some_and(|a| a.transition_ms.is_some_and(|t| t <= now))
            })
            .collect();
        if !timed_out.is_empty() {
            let text = format!("{job}: {} tasks of attempt {attempt} exit: incomplete", timed_out.len());
            self.trace_lines.push(text);
            self.set_state(step, &timed_out, "ended", "incomplete");
        }
    }

    /// Advances a running gang until it is done, has saved its progress, or exits because tasks are missing.
    fn advance_running(&mut self, gang: &mut GangAttempt, step: &mut Step<'_>, active: &[WorkerTask]) {
        if active.is_empty() {
            return;
        }
        let (job, attempt, now) = (step.job, step.attempt, step.now);
        let is_complete = active.len() == step.terms.tasks;
        self.add_progress(gang, step, is_complete);
        let stored = self.saved_progress_ms.get(job).copied().unwrap_or(0);
        let progress = stored + gang.progress_ms;
        if is_complete && gang.first_stop_ms.is_none() && progress >= step.terms.run_ms {
            self.trace_lines.push(format!("{job}: done"));
            self.done.extend(active.iter().map(|(_, task)| task.clone()));
            self.set_state(step, active, "ended", "done");
            return;
        }
        if let Some(stopped_ms) = gang
            .first_stop_ms
            .filter(|_| is_complete && !gang.cannot_save && !gang.is_saved)
            && gang.saving.len() == step.terms.tasks
            && now >= stopped_ms + GANG_SAVE_MS
        {
            gang.is_saved = true;
            self.saved_progress_ms.insert(job.to_owned(), progress);
            self.trace_lines
                .push(format!("{job}: attempt {attempt} is saved at {progress} ms"));
            self.set_state(step, active, "ended", "stopped");
            return;
        }
        let stop_timed_out = gang.first_stop_ms.is_some_and(|at| now > at + GANG_PEER_TIMEOUT_MS);
        if !is_complete || stop_timed_out {
            let since = *gang.incomplete_since.get_or_insert(now);
            if now > since + GANG_PEER_TIMEOUT_MS || stop_timed_out {
                let text = format!("{job}: {} tasks of attempt {attempt} exit: peers", active.len());
                self.trace_lines.push(text);
                self.set_state(step, active, "ended", "peers");
            }
        }
    }

    /// Adds the time since the last update to the progress and stores checkpoints. Progress ends with the first stop
    /// order and with the loss of a task.
    fn add_progress(&mut self, gang: &mut GangAttempt, step: &Step<'_>, is_complete: bool) {
        if is_complete && gang.first_stop_ms.is_none() && gang.incomplete_since.is_none() {
            gang.progress_ms += step.now - gang.updated_ms;
        }
        gang.updated_ms = step.now;
        let stored = self.saved_progress_ms.get(step.job).copied().unwrap_or(0);
        let checkpoint_ms = step.terms.checkpoint_ms;
        if let Some(checkpoints) = (stored + gang.progress_ms).checked_div(checkpoint_ms) {
            let checkpoint_at_ms = checkpoints * checkpoint_ms;
            if checkpoint_at_ms > stored {
                gang.progress_ms = stored + gang.progress_ms - checkpoint_at_ms;
                self.saved_progress_ms.insert(step.job.to_owned(), checkpoint_at_ms);
            }
        }
    }

    /// Puts tasks of the attempt into a state that they do not leave by themselves.
    fn set_state(&mut self, step: &mut Step<'_>, tasks: &[WorkerTask], state: &'static str, cause: &'static str) {
        for (name, task) in tasks {
            let worker = step.workers.get_mut(name);
            let a = worker.and_then(|w| w.attempts.get_mut(&(task.clone(), step.attempt)));
            if let Some(a) = a {
                a.state = state;
                a.cause = cause;
                a.transition_ms = None;
                self.changed_workers.insert(name.clone());
            }
        }
    }
}
