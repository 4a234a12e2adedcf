//! Checks the protocol's rules over a history of events.
//!
//! The checker does not know the controllers. It is given the users' requests, the answers to them, and the events on
//! machines. Each distinct breach is recorded once, as `rule: detail`. All times are in milliseconds. The rules are
//! named after their breach:
//!
//! - `forgotten`: an accepted job is unknown or rejected later, or no request about it is answered.
//! - `invented`: an answer shows a job that no user submitted.
//! - `went_back`: a done or cancelled job has another status later, or a job is cancelled without its user's request.
//! - `not_done`: a job is reported as done before its tasks are.
//! - `ran_cancelled`: a cancelled job is still on a machine, or starts, after the time allowed for cancellations.
//! - `ran_twice`: a task starts on a machine while another machine has it.
//! - `wrong_place`: a task starts on a machine that its placement constraints exclude.
//! - `quota`: the accelerators of a team's tasks on machines exceed its limit.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A job counts as forgotten if no request about it was answered for this long although its users kept asking, and more
/// than half of the requests about other jobs were answered in that time.
pub const UNANSWERED_LIMIT_MS: u64 = 75_000;
/// Longest time between two requests about a job that still belong to one series of repeated requests.
pub const MAX_REQUEST_GAP_MS: u64 = 20_000;

/// The properties of a machine that a job's placement constraints refer to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineProperties {
    /// The machine type.
    pub model: String,
    /// The zone that the machine is in.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A kind of user request about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UserRequest {
    /// A submission, or a retry of one.
    Submit,
    /// A status query.
    Query,
    /// A cancellation request.
    Cancel,
}

/// What happened after a user received the confirmation that a job is cancelled.
#[derive(Debug, Clone, Copy)]
struct CancelConfirmation {
    /// When the user received the confirmation.
    confirmed_ms: u64,
    /// When the job's last task left its machine; `None` while a task is on a machine.
    gone_ms: Option<u64>,
    /// Starts of the job's tasks since the confirmation.
    starts: u64,
    /// Start orders that controllers sent for the job since the confirmation.
    ordered_starts: u64,
}

/// A series of requests about one job that no controller answered.
#[derive(Debug, Clone, Copy)]
struct UnansweredRequests {
    first: u64,
    last: u64,
    /// Requests about this job in the series.
    of_this_job: u64,
    /// Requests and answers about all jobs before the series began.
    requests_before: u64,
    answers_before: u64,
    reported: bool,
}

/// A task and the number of its attempt.
type AttemptKey = (String, u64);

/// Checks every event against the rules and collects the breaches.
#[derive(Debug, Default)]
pub struct Checker {
    cancel_ms: u64,
    now: u64,
    team_limits: BTreeMap<String, f64>,
    jobs: BTreeMap<String, Value>,
    /// The status word that users received last, by job. A job has an entry once it was accepted.
    last_status: BTreeMap<String, String>,
    cancel_requested: BTreeSet<String>,
    confirmations: BTreeMap<String, CancelConfirmation>,
    unanswered: BTreeMap<String, UnansweredRequests>,
    requests: u64,
    answers: u64,
    start_order_count: u64,
    done: BTreeSet<String>,
    machine_properties: BTreeMap<String, MachineProperties>,
    /// The attempts on each machine, and whether each has fetched its image.
    attempts_by_machine: BTreeMap<String, BTreeMap<AttemptKey, bool>>,
    /// The machines and attempts of each job.
    attempts_by_job: BTreeMap<String, BTreeSet<(String, AttemptKey)>>,
    breaches: Vec<String>,
    recorded: BTreeSet<String>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Checker {
    /// Creates a checker for an empty history. No task of a cancelled job may remain `cancel_ms` after the user
    /// received the confirmation.
    pub fn new(cancel_ms: u64) -> Self {
        Self {
            cancel_ms,
            ..Self::default()
        }
    }

    /// Returns the breaches so far, each as `rule: detail`.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Counts the starts of a job's tasks after its cancellation was confirmed. A command that was in flight at that
    /// time may still be carried out, so such a start is counted and is not a breach.
    pub fn starts_after_cancellation(&self, job: &str) -> u64 {
        self.confirmations.get(job).map_or(0, |c| c.starts)
    }

    /// Counts the start orders that controllers sent for a job after its cancellation was confirmed.
    pub fn start_orders_after_cancellation(&self, job: &str) -> u64 {
        self.confirmations.get(job).map_or(0, |c| c.ordered_starts)
    }

    /// Counts the start orders that controllers have sent for all jobs.
    pub fn start_order_count(&self) -> u64 {
        self.start_order_count
    }

    /// Returns the milliseconds from the confirmation of a cancellation until the job's last task was gone. Returns
    /// `None` while a task is on a machine, and for a job whose cancellation was not confirmed.
    pub fn cancellation_duration_ms(&self, job: &str) -> Option<u64> {
        let c = self.confirmations.get(job)?;
        Some(c.gone_ms?.saturating_sub(c.confirmed_ms))
    }

    /// Returns all jobs whose cancellation was confirmed to their users.
    pub fn confirmed_cancellations(&self) -> impl Iterator<Item = &str> {
        self.confirmations.keys().map(String::as_str)
    }

    /// Sets the maximum number of accelerators that a team may use at a time.
    pub fn set_team_limit(&mut self, team: &str, accelerators: f64) {
        self.team_limits.insert(team.to_owned(), accelerators);
    }

    /// Advances the time to `now` and checks the rules that have deadlines.
    pub fn advance_time(&mut self, now: u64) {
        self.now = now;
        let overdue: Vec<String> = self
            .confirmations
            .iter()
            .filter(|(_, c)| c.gone_ms.is_none() && now > c.confirmed_ms + self.cancel_ms)
            .map(|(j, _)| j.clone())
            .collect();
        for job in overdue {
            self.breach(format!("ran_cancelled: {job} is still on a machine"));
        }
        let ignored: Vec<String> = self
            .unanswered
            .iter()
            .filter(|(_, s)| !s.reported && now >= s.first + UNANSWERED_LIMIT_MS && now <= s.last + MAX_REQUEST_GAP_MS)
            .filter(|(_, s)| {
                let others = (self.requests - s.requests_before).saturating_sub(s.of_this_job);
                let answered = self.answers - s.answers_before;
                others > 0 && 2 * answered > others
            })
            .map(|(j, _)| j.clone())
            .collect();
        for job in ignored {
            if let Some(s) = self.unanswered.get_mut(&job) {
                s.reported = true;
            }
            self.breach(format!("forgotten: no request about {job} is answered"));
        }
    }

    /// Records that a user submits a job. The last submission before the acceptance defines the job; later ones
    /// do not change it.
    pub fn record_submission(&mut self, body: &Value) {
        let job = body["uid"].as_str().unwrap_or_default();
        if !self.last_status.contains_key(job) {
            self.jobs.insert(job.to_owned(), body.clone());
        }
    }

    /// Records that a user sends a request about a job.
    pub fn record_request(&mut self, now: u64, job: &str, request: UserRequest) {
        self.advance_time(now);
        if request == UserRequest::Cancel {
            self.cancel_requested.insert(job.to_owned());
        }
        if !self.last_status.contains_key(job) {
            return;
        }
        let new = UnansweredRequests {
            first: now,
            last: now,
            of_this_job: 0,
            requests_before: self.requests,
            answers_before: self.answers,
            reported: false,
        };
        let s = self.unanswered.entry(job.to_owned()).or_insert(new);
        if now > s.last + MAX_REQUEST_GAP_MS {
            *s = new;
        }
        s.last = now;
        s.of_this_job += 1;
        self.requests += 1;
    }

    /// Records the answer to a user's request about a job: the HTTP status, and the job's status word or an empty
    /// string.
    pub fn record_answer(&mut self, now: u64, job: &str, status: u16, job_status: &str) {
        self.advance_time(now);
        let previous = self.last_status.get(job).cloned();
        let accepted = previous.is_some();
        let previous = previous.unwrap_or_default();
        match status {
            404 if accepted => self.breach(format!("forgotten: {job}")),
            400 | 422 if accepted => self.breach(format!("forgotten: {job} answered {status}")),
            200 | 201 => {
                if accepted {
                    self.answers += 1;
                }
                self.unanswered.remove(job);
                if !self.jobs.contains_key(job) {
                    self.breach(format!("invented: {job}"));
                }
                if matches!(previous.as_str(), "done" | "withdrawn") && job_status != previous {
                    self.breach(format!("went_back: {job} from {previous} to {job_status}"));
                }
                if job_status == "withdrawn" && !self.cancel_requested.contains(job) {
                    self.breach(format!("went_back: {job} is withdrawn, its user never cancelled it"));
                }
                if job_status == "done" && !self.is_job_done(job) {
                    self.breach(format!("not_done: {job}"));
                }
                if job_status == "withdrawn" {
                    let gone_ms = self
                        .attempts_by_job
                        .get(job)
                        .is_none_or(BTreeSet::is_empty)
                        .then_some(now);
                    self.confirmations.entry(job.to_owned()).or_insert(CancelConfirmation {
                        confirmed_ms: now,
                        gone_ms,
                        starts: 0,
                        ordered_starts: 0,
                    });
                }
                self.last_status.insert(job.to_owned(), job_status.to_owned());
            }
            _ => {}
        }
    }

    /// Returns whether all tasks of a job have completed.
    pub fn is_job_done(&self, job: &str) -> bool {
        let tasks = self.jobs.get(job).and_then(|j| j["wagons"].as_u64()).unwrap_or(0);
        (0..tasks).all(|i| self.done.contains(&format!("{job}/{i}")))
    }

    /// Records that a task has completed.
    pub fn record_completion(&mut self, task: &str) {
        self.done.insert(task.to_owned());
    }

    /// Records that a machine is up, and its properties.
    pub fn record_machine(&mut self, name: &str, properties: MachineProperties) {
        self.machine_properties.insert(name.to_owned(), properties);
    }

    /// Records that a controller sends an order to start a task.
    pub fn record_start_order(&mut self, now: u64, task: &str) {
        self.advance_time(now);
        self.start_order_count += 1;
        if let Some(c) = self.confirmations.get_mut(job_of(task)) {
            c.ordered_starts += 1;
        }
    }

    /// Records that a machine has accepted a task, and fetches the image if it does not have it.
    pub fn record_start(&mut self, now: u64, machine: &str, task: &str, attempt: u64) {
        self.advance_time(now);
        let job = job_of(task).to_owned();
        let key = (task.to_owned(), attempt);
        let tasks = self.attempts_by_machine.entry(machine.to_owned()).or_default();
        tasks.insert(key.clone(), false);
        self.attempts_by_job
            .entry(job.clone())
            .or_default()
            .insert((machine.to_owned(), key));
        if let Some(c) = self.confirmations.get_mut(&job) {
            c.gone_ms = None;
            c.starts += 1;
            if now > c.confirmed_ms + self.cancel_ms {
                self.breach(format!("ran_cancelled: {task} starts"));
            }
        }
        self.check_start(machine, task, &job);
    }

    /// Records that a machine has fetched the image of a task. The task runs, or waits for the other tasks of its gang.
    pub fn record_image_fetched(&mut self, now: u64, machine: &str, task: &str, attempt: u64) {
        let key = (task.to_owned(), attempt);
        let had_image = self
            .attempts_by_machine
            .get(machine)
            .and_then(|tasks| tasks.get(&key))
            .copied();
        match had_image {
            Some(true) => return,
            // The start itself was not observed.
            None => self.record_start(now, machine, task, attempt),
            Some(false) => {
                self.advance_time(now);
                self.check_start(machine, task, job_of(task));
            }
        }
        self.attempts_by_machine
            .entry(machine.to_owned())
            .or_default()
            .insert(key, true);
    }

    /// Records that a task has ended on a machine, or was killed or forgotten there.
    pub fn record_end(&mut self, now: u64, machine: &str, task: &str, attempt: u64) {
        self.advance_time(now);
        self.remove_attempt(machine, &(task.to_owned(), attempt));
    }

    /// Records that a machine is gone, with all tasks on it.
    pub fn record_machine_removed(&mut self, now: u64, machine: &str) {
        self.advance_time(now);
        for key in self.attempts_by_machine.remove(machine).unwrap_or_default().into_keys() {
            self.remove_attempt(machine, &key);
        }
        self.machine_properties.remove(machine);
    }

    /// Returns the attempts on a machine: task, attempt number, and whether the image was fetched.
    pub fn on_machine(&self, machine: &str) -> impl Iterator<Item = (&str, u64, bool)> {
        let tasks = self.attempts_by_machine.get(machine).into_iter().flatten();
        tasks.map(|((task, attempt), image)| (task.as_str(), *attempt, *image))
    }

    /// Returns the machines that have attempts.
    pub fn machines(&self) -> impl Iterator<Item = &str> {
        self.attempts_by_machine.keys().map(String::as_str)
    }

    fn remove_attempt(&mut self, machine: &str, key: &AttemptKey) {
        if let Some(tasks) = self.attempts_by_machine.get_mut(machine) {
            tasks.remove(key);
            if tasks.is_empty() {
                self.attempts_by_machine.remove(machine);
            }
        }
        let job = job_of(&key.0);
        let Some(job_attempts) = self.attempts_by_job.get_mut(job) else {
            return;
        };
        let was_present = job_attempts.remove(&(machine.to_owned(), key.clone()));
        if job_attempts.is_empty() {
            self.attempts_by_job.remove(job);
            if let Some(c) = self.confirmations.get_mut(job).filter(|_| was_present) {
                c.gone_ms = Some(self.now);
            }
        }
    }

    /// Checks the start of a task: it may be on no other machine, its placement constraints must hold, and its team
    /// must stay within its limit.
    fn check_start(&mut self, machine: &str, task: &str, job: &str) {
        let job_attempts = self.attempts_by_job.get(job).cloned().unwrap_or_default();
        if job_attempts.iter().any(|(m, (t, _))| t == task && m != machine) {
            self.breach(format!("ran_twice: {task}"));
        }
        let Some(submission) = self.jobs.get(job).cloned() else {
            return;
        };
        let mut violations = Vec::new();
        if let Some(properties) = self.machine_properties.get(machine) {
            let MachineProperties { model, zone, spot } = properties;
            if submission["models"]
                .as_array()
                .is_some_and(|models| !models.iter().any(|m| m == model.as_str()))
            {
                violations.push(format!("wrong_place: {task} starts on a {model}"));
            }
            if submission["yard"].as_str().is_some_and(|z| z != zone) {
                violations.push(format!("wrong_place: {task} starts in {zone}"));
            }
            if *spot && submission["standby"] != true {
                violations.push(format!("wrong_place: {task} starts on a spot machine"));
            }
            let zone_of = |m: &str| self.machine_properties.get(m).map(|p| p.zone.as_str());
            if submission["together"] == true && job_attempts.iter().any(|(m, _)| zone_of(m).is_some_and(|z| z != zone))
            {
                violations.push(format!(
                    "wrong_place: {task} starts in {zone}, other tasks of the job are in another zone"
                ));
            }
            if submission["spread"] == true {
                let tasks_in_zone = job_attempts.iter().filter(|(m, _)| zone_of(m) == Some(zone));
                let tasks_in_zone: BTreeSet<&str> = tasks_in_zone.map(|(_, (t, _))| t.as_str()).collect();
                let tasks = submission["wagons"].as_u64().unwrap_or(0);
                if tasks_in_zone.len() as u64 > tasks.div_ceil(2) {
                    violations.push(format!(
                        "wrong_place: {task} starts in {zone}, which has {} of {tasks} tasks",
                        tasks_in_zone.len()
                    ));
                }
            }
        }
        for text in violations {
            self.breach(text);
        }
        let team = submission["crew"].as_str().unwrap_or_default();
        let accelerators_per_task = |job: &str| {
            let submission = self.jobs.get(job).filter(|j| j["crew"] == team);
            submission.and_then(|j| j["accelerators"].as_f64()).unwrap_or(0.0)
        };
        let used: f64 = self
            .attempts_by_job
            .iter()
            .map(|(j, job_attempts)| accelerators_per_task(j) * job_attempts.len() as f64)
            .sum();
        let limit = self.team_limits.get(team).copied().unwrap_or(0.0);
        if used > limit {
            self.breach(format!("quota: {team} uses {used} of {limit}"));
        }
    }

    fn breach(&mut self, text: String) {
        if self.recorded.insert(text.clone()) {
            self.breaches.push(text);
        }
    }
}
