//! The protocol's rules, checked over a history of events.
//!
//! The checker knows nothing of controllers: it is told what users asked and were answered, and what
//! happened on machines. A breach is listed once, as `rule: detail`.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a job about which no question was answered counts as forgotten.
pub const SILENCE_MS: u64 = 75_000;
/// Questions further apart than this are not the questions of a user who goes on asking.
pub const QUESTION_GAP_MS: u64 = 20_000;

/// What a job's terms say about a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Machine type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
}

/// What a user asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Question {
    /// A submission, or its repetition.
    Submit,
    /// A query.
    Poll,
    /// A cancellation.
    Withdraw,
}

/// What happened after a user was told that a job is cancelled.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    /// When its user was told.
    at: u64,
    /// When its last task was gone, if none is on a machine.
    gone: Option<u64>,
    /// Starts of its tasks since then.
    started: u64,
    /// Starts that a controller ordered since then.
    ordered: u64,
}

/// A run of questions about a job that nobody answered.
#[derive(Debug, Clone, Copy)]
struct Silence {
    first: u64,
    last: u64,
    /// Questions about this job in it.
    own: u64,
    /// Questions and answers about all jobs before it.
    asked_before: u64,
    answered_before: u64,
    reported: bool,
}

/// One attempt on one machine.
type Attempt = (String, u64);

/// Looks at every event and collects the breaches.
#[derive(Debug, Default)]
pub struct Checker {
    cancel_ms: u64,
    now: u64,
    limits: BTreeMap<String, f64>,
    jobs: BTreeMap<String, Value>,
    /// Status word that users were told last, by job; a job is in it once it was accepted.
    told: BTreeMap<String, String>,
    asked_to_cancel: BTreeSet<String>,
    confirmations: BTreeMap<String, Confirmation>,
    silences: BTreeMap<String, Silence>,
    asked: u64,
    answered: u64,
    start_orders: u64,
    done: BTreeSet<String>,
    places: BTreeMap<String, Place>,
    /// Attempts that are on machines, with whether they have their image.
    on: BTreeMap<String, BTreeMap<Attempt, bool>>,
    /// Where a job's attempts are.
    of_job: BTreeMap<String, BTreeSet<(String, Attempt)>>,
    breaches: Vec<String>,
    listed: BTreeSet<String>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Checker {
    /// A history that begins; `cancel_ms` after its user was told, nothing of a cancelled job may be left.
    pub fn new(cancel_ms: u64) -> Self {
        Self {
            cancel_ms,
            ..Self::default()
        }
    }

    /// The breaches so far, each as `rule: detail`.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Starts of a job's tasks after its user was told that it is cancelled. A command that was in flight
    /// by then may still be carried out, so this is a count and no breach.
    pub fn started_after(&self, job: &str) -> u64 {
        self.confirmations.get(job).map_or(0, |c| c.started)
    }

    /// Starts of a job's tasks that a controller ordered after its user was told that it is cancelled.
    pub fn ordered_after(&self, job: &str) -> u64 {
        self.confirmations.get(job).map_or(0, |c| c.ordered)
    }

    /// Orders to start a task that controllers have sent, for all jobs.
    pub fn start_orders(&self) -> u64 {
        self.start_orders
    }

    /// Milliseconds from the confirmation of a cancellation until the job's last task was gone; none while
    /// one is on a machine, and for a job that is not cancelled.
    pub fn gone_after_confirmation(&self, job: &str) -> Option<u64> {
        let c = self.confirmations.get(job)?;
        Some(c.gone?.saturating_sub(c.at))
    }

    /// All jobs whose users were told that they are cancelled.
    pub fn confirmed(&self) -> impl Iterator<Item = &str> {
        self.confirmations.keys().map(String::as_str)
    }

    /// Most accelerators that a team may use.
    pub fn limit(&mut self, team: &str, accelerators: f64) {
        self.limits.insert(team.to_owned(), accelerators);
    }

    /// Time passes.
    pub fn passes(&mut self, now: u64) {
        self.now = now;
        let late: Vec<String> = self
            .confirmations
            .iter()
            .filter(|(_, c)| c.gone.is_none() && now > c.at + self.cancel_ms)
            .map(|(j, _)| j.clone())
            .collect();
        for job in late {
            self.breach(format!("ran_cancelled: {job} is still on a machine"));
        }
        let silent: Vec<String> = self
            .silences
            .iter()
            .filter(|(_, s)| !s.reported && now >= s.first + SILENCE_MS && now <= s.last + QUESTION_GAP_MS)
            .filter(|(_, s)| {
                let others = (self.asked - s.asked_before).saturating_sub(s.own);
                let answered = self.answered - s.answered_before;
                others > 0 && 2 * answered > others
            })
            .map(|(j, _)| j.clone())
            .collect();
        for job in silent {
            if let Some(s) = self.silences.get_mut(&job) {
                s.reported = true;
            }
            self.breach(format!("forgotten: no question about {job} is answered"));
        }
    }

    /// A user submits a job. Its terms are those of the submission that was accepted.
    pub fn submitted(&mut self, body: &Value) {
        let job = body["uid"].as_str().unwrap_or_default();
        if !self.told.contains_key(job) {
            self.jobs.insert(job.to_owned(), body.clone());
        }
    }

    /// A user asks something about a job.
    pub fn asked(&mut self, now: u64, job: &str, question: Question) {
        self.passes(now);
        if question == Question::Withdraw {
            self.asked_to_cancel.insert(job.to_owned());
        }
        if !self.told.contains_key(job) {
            return;
        }
        let new = Silence {
            first: now,
            last: now,
            own: 0,
            asked_before: self.asked,
            answered_before: self.answered,
            reported: false,
        };
        let s = self.silences.entry(job.to_owned()).or_insert(new);
        if now > s.last + QUESTION_GAP_MS {
            *s = new;
        }
        s.last = now;
        s.own += 1;
        self.asked += 1;
    }

    /// A user is answered about a job: a status, and a status word where there is one.
    pub fn answered(&mut self, now: u64, job: &str, status: u16, said: &str) {
        self.passes(now);
        let before = self.told.get(job).cloned();
        let accepted = before.is_some();
        let before = before.unwrap_or_default();
        match status {
            404 if accepted => self.breach(format!("forgotten: {job}")),
            400 | 422 if accepted => self.breach(format!("forgotten: {job} answered {status}")),
            200 | 201 => {
                if accepted {
                    self.answered += 1;
                }
                self.silences.remove(job);
                if !self.jobs.contains_key(job) {
                    self.breach(format!("invented: {job}"));
                }
                if matches!(before.as_str(), "done" | "withdrawn") && said != before {
                    self.breach(format!("went_back: {job} from {before} to {said}"));
                }
                if said == "withdrawn" && !self.asked_to_cancel.contains(job) {
                    self.breach(format!("went_back: {job} is withdrawn, its user never cancelled it"));
                }
                if said == "done" && !self.all_done(job) {
                    self.breach(format!("not_done: {job}"));
                }
                if said == "withdrawn" {
                    let gone = self.of_job.get(job).is_none_or(BTreeSet::is_empty).then_some(now);
                    self.confirmations.entry(job.to_owned()).or_insert(Confirmation {
                        at: now,
                        gone,
                        started: 0,
                        ordered: 0,
                    });
                }
                self.told.insert(job.to_owned(), said.to_owned());
            }
            _ => {}
        }
    }

    /// Whether all tasks of a job have completed.
    pub fn all_done(&self, job: &str) -> bool {
        let tasks = self.jobs.get(job).and_then(|j| j["wagons"].as_u64()).unwrap_or(0);
        (0..tasks).all(|i| self.done.contains(&format!("{job}/{i}")))
    }

    /// A task has completed.
    pub fn task_done(&mut self, task: &str) {
        self.done.insert(task.to_owned());
    }

    /// A machine is up.
    pub fn machine(&mut self, name: &str, place: Place) {
        self.places.insert(name.to_owned(), place);
    }

    /// A controller sends an order to start a task.
    pub fn ordered(&mut self, now: u64, task: &str) {
        self.passes(now);
        self.start_orders += 1;
        if let Some(c) = self.confirmations.get_mut(job_of(task)) {
            c.ordered += 1;
        }
    }

    /// A machine has begun with a task: it fetches its image, if it does not have it.
    pub fn started(&mut self, now: u64, machine: &str, task: &str, attempt: u64) {
        self.passes(now);
        let job = job_of(task).to_owned();
        let key = (task.to_owned(), attempt);
        let tasks = self.on.entry(machine.to_owned()).or_default();
        tasks.insert(key.clone(), false);
        self.of_job
            .entry(job.clone())
            .or_default()
            .insert((machine.to_owned(), key));
        if let Some(c) = self.confirmations.get_mut(&job) {
            c.gone = None;
            c.started += 1;
            if now > c.at + self.cancel_ms {
                self.breach(format!("ran_cancelled: {task} starts"));
            }
        }
        self.check_start(machine, task, &job);
    }

    /// A machine has the image of a task, which runs or waits for the others of its gang.
    pub fn has_image(&mut self, now: u64, machine: &str, task: &str, attempt: u64) {
        let key = (task.to_owned(), attempt);
        let had = self.on.get(machine).and_then(|tasks| tasks.get(&key)).copied();
        match had {
            Some(true) => return,
            // Nothing was heard of its start.
            None => self.started(now, machine, task, attempt),
            Some(false) => {
                self.passes(now);
                self.check_start(machine, task, job_of(task));
            }
        }
        self.on.entry(machine.to_owned()).or_default().insert(key, true);
    }

    /// A task has ended on a machine, or was killed or forgotten there.
    pub fn ended(&mut self, now: u64, machine: &str, task: &str, attempt: u64) {
        self.passes(now);
        self.leaves(machine, &(task.to_owned(), attempt));
    }

    /// A machine is gone, and all that was on it.
    pub fn machine_gone(&mut self, now: u64, machine: &str) {
        self.passes(now);
        for key in self.on.remove(machine).unwrap_or_default().into_keys() {
            self.leaves(machine, &key);
        }
        self.places.remove(machine);
    }

    /// The attempts on a machine, with whether they have their image.
    pub fn on_machine(&self, machine: &str) -> impl Iterator<Item = (&str, u64, bool)> {
        let tasks = self.on.get(machine).into_iter().flatten();
        tasks.map(|((task, attempt), image)| (task.as_str(), *attempt, *image))
    }

    /// The machines that something is on.
    pub fn machines(&self) -> impl Iterator<Item = &str> {
        self.on.keys().map(String::as_str)
    }

    fn leaves(&mut self, machine: &str, key: &Attempt) {
        if let Some(tasks) = self.on.get_mut(machine) {
            tasks.remove(key);
            if tasks.is_empty() {
                self.on.remove(machine);
            }
        }
        let job = job_of(&key.0);
        let Some(held) = self.of_job.get_mut(job) else { return };
        let was = held.remove(&(machine.to_owned(), key.clone()));
        if held.is_empty() {
            self.of_job.remove(job);
            if let Some(c) = self.confirmations.get_mut(job).filter(|_| was) {
                c.gone = Some(self.now);
            }
        }
    }

    /// A task starts: it may be nowhere else, and its team and its place must be right.
    fn check_start(&mut self, machine: &str, task: &str, job: &str) {
        let held = self.of_job.get(job).cloned().unwrap_or_default();
        if held.iter().any(|(m, (t, _))| t == task && m != machine) {
            self.breach(format!("ran_twice: {task}"));
        }
        let Some(terms) = self.jobs.get(job).cloned() else {
            return;
        };
        let mut wrong = Vec::new();
        if let Some(place) = self.places.get(machine) {
            let Place { model, zone, spot } = place;
            if terms["models"]
                .as_array()
                .is_some_and(|models| !models.iter().any(|m| m == model.as_str()))
            {
                wrong.push(format!("wrong_place: {task} starts on a {model}"));
            }
            if terms["yard"].as_str().is_some_and(|z| z != zone) {
                wrong.push(format!("wrong_place: {task} starts in {zone}"));
            }
            if *spot && terms["standby"] != true {
                wrong.push(format!("wrong_place: {task} starts on a spot machine"));
            }
            let zone_of = |m: &str| self.places.get(m).map(|p| p.zone.as_str());
            if terms["together"] == true && held.iter().any(|(m, _)| zone_of(m).is_some_and(|z| z != zone)) {
                wrong.push(format!(
                    "wrong_place: {task} starts in {zone}, others of it are elsewhere"
                ));
            }
            if terms["spread"] == true {
                let here = held.iter().filter(|(m, _)| zone_of(m) == Some(zone));
                let here: BTreeSet<&str> = here.map(|(_, (t, _))| t.as_str()).collect();
                let tasks = terms["wagons"].as_u64().unwrap_or(0);
                if here.len() as u64 > tasks.div_ceil(2) {
                    wrong.push(format!(
                        "wrong_place: {task} starts in {zone}, which has {} of {tasks} tasks",
                        here.len()
                    ));
                }
            }
        }
        for text in wrong {
            self.breach(text);
        }
        let team = terms["crew"].as_str().unwrap_or_default();
        let takes = |job: &str| {
            let terms = self.jobs.get(job).filter(|j| j["crew"] == team);
            terms.and_then(|j| j["accelerators"].as_f64()).unwrap_or(0.0)
        };
        let used: f64 = self.of_job.iter().map(|(j, held)| takes(j) * held.len() as f64).sum();
        let limit = self.limits.get(team).copied().unwrap_or(0.0);
        if used > limit {
            self.breach(format!("quota: {team} uses {used} of {limit}"));
        }
    }

    fn breach(&mut self, text: String) {
        if self.listed.insert(text.clone()) {
            self.breaches.push(text);
        }
    }
}
