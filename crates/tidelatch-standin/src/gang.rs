//! How workers play gangs: the phases of one attempt, as the operators' page has them.

use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a task that waits for the others gives up.
pub const WAIT_MS: u64 = 35_000;
/// Time within which tasks notice that one is gone, and within which all must be told to stop.
pub const PEER_MS: u64 = 5_000;
/// Time that a stopped task needs to save.
pub const SAVE_MS: u64 = 2_000;

/// One attempt of a gang.
#[derive(Debug, Clone, Default)]
pub struct Play {
    /// All of its tasks have started together.
    running: bool,
    /// Since when one of them has been missing.
    broken: Option<u64>,
    /// When the first was told to stop.
    stop_at: Option<u64>,
    /// Who was told in time, with time enough.
    told: BTreeSet<String>,
    /// A task was stopped with too little grace.
    spoilt: bool,
    /// Its progress is safe.
    saved: bool,
    /// Progress of this attempt when it was last looked at, and when that was.
    ran_ms: u64,
    seen_at: u64,
}

/// What all gangs have come to.
#[derive(Debug, Default)]
pub struct Gangs {
    plays: BTreeMap<(String, u64), Play>,
    /// Progress that is stored, by job.
    pub saved_ms: BTreeMap<String, u64>,
    /// Tasks that have completed.
    pub done: Vec<String>,
    /// What happened, for the trace.
    pub news: Vec<String>,
    /// Workers on which something has changed.
    pub changed: BTreeSet<String>,
}

/// A gang, as the world knows it from its submission.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Its tasks.
    pub tasks: usize,
    /// Milliseconds that it runs.
    pub run_ms: u64,
    /// Milliseconds between checkpoints; 0: none.
    pub checkpoint_ms: u64,
}

/// A worker's name and a task on it.
type WorkerTask = (String, String);

/// One look at an attempt of a gang.
struct Round<'a> {
    job: &'a str,
    attempt: u64,
    terms: Terms,
    workers: &'a mut BTreeMap<String, Worker>,
    now: u64,
}

impl Gangs {
    /// A task was told to stop. True: it saves first.
    pub fn told(&mut self, job: &str, attempt: u64, task: &str, grace_s: f64, now: u64) -> bool {
        let play = self.plays.entry((job.to_owned(), attempt)).or_default();
        if !play.running {
            return false;
        }
        let first = *play.stop_at.get_or_insert(now);
        if grace_s * 1000.0 < SAVE_MS as f64 || now > first + PEER_MS {
            play.spoilt |= !play.saved;
            return false;
        }
        play.told.insert(task.to_owned());
        true
    }

    /// Lets one attempt go on, on all workers that have tasks of it.
    pub fn go_on(&mut self, key: &(String, u64), terms: Terms, workers: &mut BTreeMap<String, Worker>, now: u64) {
        let mut play = self.plays.remove(key).unwrap_or_default();
        let mut round = Round {
            job: &key.0,
            attempt: key.1,
            terms,
            workers,
            now,
        };
        let mut tasks = self.tasks_by_state(&mut round);
        let mut in_state = |state: &str| tasks.remove(state).unwrap_or_default();
        if play.running {
            let mut left = in_state("running");
            left.extend(in_state("flushing"));
            self.proceed(&mut play, &mut round, &left);
        } else {
            self.start_or_give_up(&mut play, &mut round, in_state("gathering"));
        }
        self.plays.insert(key.clone(), play);
    }

    /// The attempt's tasks on workers that do not hang. What has been fetched waits; its time begins.
    fn tasks_by_state(&mut self, round: &mut Round<'_>) -> BTreeMap<&'static str, Vec<WorkerTask>> {
        let prefix = format!("{}/", round.job);
        let mut tasks: BTreeMap<&'static str, Vec<WorkerTask>> = BTreeMap::new();
        for (name, w) in round.workers.iter_mut().filter(|(_, w)| !w.hanging) {
            for ((task, n), a) in &mut w.tasks {
                if *n != round.attempt || !task.starts_with(&prefix) {
                    continue;
                }
                if a.state == "pulling" && a.next.is_some_and(|t| t <= round.now) {
                    a.state = "gathering";
                    a.next = Some(round.now + WAIT_MS);
                    self.changed.insert(name.clone());
                }
                tasks.entry(a.state).or_default().push((name.clone(), task.clone()));
            }
        }
        tasks
    }

    /// All tasks start together once all wait; one that has waited for too long exits.
    fn start_or_give_up(&mut self, play: &mut Play, round: &mut Round<'_>, waiting: Vec<WorkerTask>) {
        let (job, attempt, now) = (round.job, round.attempt, round.now);
        let distinct: BTreeSet<&String> = waiting.iter().map(|(_, t)| t).collect();
        if distinct.len() == round.terms.tasks {
            play.running = true;
            play.seen_at = now;
            self.set_state(round, &waiting, "running", "");
            let text = format!("{job}: all {} tasks of attempt {attempt} run", round.terms.tasks);
            self.news.push(text);
            return;
        }
        let late: Vec<WorkerTask> = waiting
            .into_iter()
            .filter(|(name, task)| {
                let worker = round.workers.get(name);
                let a = worker.and_then(|w| w.tasks.get(&(task.clone(), attempt)));
                a.is_some_and(|a| a.next.is_some_and(|t| t <= now))
            })
            .collect();
        if !late.is_empty() {
            let text = format!("{job}: {} tasks of attempt {attempt} exit: incomplete", late.len());
            self.news.push(text);
            self.set_state(round, &late, "ended", "incomplete");
        }
    }

    /// A gang that runs makes progress, until it is done, is saved, or falls apart.
    fn proceed(&mut self, play: &mut Play, round: &mut Round<'_>, left: &[WorkerTask]) {
        if left.is_empty() {
            return;
        }
        let (job, attempt, now) = (round.job, round.attempt, round.now);
        let whole = left.len() == round.terms.tasks;
        self.add_progress(play, round, whole);
        let stored = self.saved_ms.get(job).copied().unwrap_or(0);
        let progress = stored + play.ran_ms;
        if whole && play.stop_at.is_none() && progress >= round.terms.run_ms {
            self.news.push(format!("{job}: done"));
            self.done.extend(left.iter().map(|(_, task)| task.clone()));
            self.set_state(round, left, "ended", "done");
            return;
        }
        if let Some(at) = play.stop_at.filter(|_| whole && !play.spoilt && !play.saved)
            && play.told.len() == round.terms.tasks
            && now >= at + SAVE_MS
        {
            play.saved = true;
            self.saved_ms.insert(job.to_owned(), progress);
            self.news
                .push(format!("{job}: attempt {attempt} is saved at {progress} ms"));
            self.set_state(round, left, "ended", "stopped");
            return;
        }
        let untold = play.stop_at.is_some_and(|at| now > at + PEER_MS);
        if !whole || untold {
            let since = *play.broken.get_or_insert(now);
            if now > since + PEER_MS || untold {
                let text = format!("{job}: {} tasks of attempt {attempt} exit: peers", left.len());
                self.news.push(text);
                self.set_state(round, left, "ended", "peers");
            }
        }
    }

    /// Counts progress, which stops with the first stop and with the loss of a task, and stores checkpoints.
    fn add_progress(&mut self, play: &mut Play, round: &Round<'_>, whole: bool) {
        if whole && play.stop_at.is_none() && play.broken.is_none() {
            play.ran_ms += round.now - play.seen_at;
        }
        play.seen_at = round.now;
        let stored = self.saved_ms.get(round.job).copied().unwrap_or(0);
        let checkpoint_ms = round.terms.checkpoint_ms;
        if let Some(passed) = (stored + play.ran_ms).checked_div(checkpoint_ms) {
            let at = passed * checkpoint_ms;
            if at > stored {
                play.ran_ms = stored + play.ran_ms - at;
                self.saved_ms.insert(round.job.to_owned(), at);
            }
        }
    }

    /// Puts tasks of the attempt into a state in which they stay by themselves.
    fn set_state(&mut self, round: &mut Round<'_>, tasks: &[WorkerTask], state: &'static str, why: &'static str) {
        for (name, task) in tasks {
            let worker = round.workers.get_mut(name);
            let a = worker.and_then(|w| w.tasks.get_mut(&(task.clone(), round.attempt)));
            if let Some(a) = a {
                a.state = state;
                a.why = why;
                a.next = None;
                self.changed.insert(name.clone());
            }
        }
    }
}
