//! The picture: machines, what may be on them, and the evidence for it.
//!
//! A task counts as held by a machine from the moment it is booked there. It stops to count only when
//! its exit is reported, when a later beat than the one that carried its start comes without it, when
//! the machine begins a new session, or when the cloud has answered that the machine is deleted. A
//! silent worker's lease is never taken as evidence: any entitled controller may have answered it.

mod commands;
mod shared_machines;
mod silence;

use crate::calls::{Asker, Purpose};
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, Epoch, JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::messages::{Answer, Level, PeerReply, PeerRequest};
use crate::protocol::{Command, Orders, Report, Shape, TaskState};
use crate::roster::GroupRecord;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// How far a start has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// Booked: goes out with the next beat's answer.
    Booked,
    /// In a direct command that has no answer yet.
    Direct,
    /// Sent with the answer to this beat, or executed by the direct command whose answer was this
    /// report (session, sequence number).
    Sent(u64, u64),
    /// Reported.
    Seen(TaskState),
}

/// A stop that was ordered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Stop {
    pub(crate) grace_s: f64,
    pub(crate) at: u64,
}

/// A task that a machine holds, or may hold.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) task: TaskId,
    pub(crate) attempt: Attempt,
    pub(crate) state: HeldState,
    pub(crate) running_since: Option<u64>,
    pub(crate) stop: Option<Stop>,
    pub(crate) size: [f64; 3],
    pub(crate) team: String,
}

/// What fences a start whose direct command got no answer.
#[derive(Debug, Clone, Copy)]
struct Pin {
    epoch: Epoch,
    session: u64,
    since: u64,
}

/// A worker that reports here though another controller owns its machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Guest {
    since: u64,
    seen: u64,
    redirected: Option<u64>,
}

/// A machine of the roster.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    pub(crate) partition: Partition,
    pub(crate) model: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) addr: String,
    /// The machine group that it stands in.
    pub(crate) group: String,
    last: (u64, u64),
    pub(crate) heard: Option<u64>,
    /// When it was last heard with no other controller between.
    heard_directly: Option<u64>,
    pub(crate) known_since: u64,
    /// What is on it is known: it has reported under a token of the present tenure.
    pub(crate) confirmed: bool,
    confirming: bool,
    confirm_at: u64,
    pub(crate) held: Vec<Held>,
    ended: Vec<(TaskId, Attempt, bool)>,
    /// Starts in direct commands that got no answer, with the token and session that they carry. Such
    /// a command may still be executed, until the worker has seen a newer token or session: so the
    /// task is not started anywhere else, and an attempt that has ended is not forgotten.
    pins: BTreeMap<(TaskId, Attempt), Pin>,
    /// A direct command is under way.
    commanding: Option<u64>,
    /// No direct commands before this: the last one got no answer.
    direct_from: u64,
    pub(crate) notice: bool,
    /// Jobs of which tasks have failed on it, and whether they are known to succeed elsewhere.
    pub(crate) failures: BTreeMap<JobId, bool>,
    pub(crate) failed_at: u64,
    /// Status calls without an answer since it was last heard.
    probes_failed: u32,
    probing: bool,
    probe_at: u64,
    pub(crate) suspect: bool,
    pub(crate) avoid_until: u64,
    pub(crate) images: Vec<(String, f64)>,
    pub(crate) idle_since: Option<u64>,
    /// Being handed to another partition.
    pub(crate) moving: Option<Partition>,
    /// To be deleted; nothing is started on it any more.
    pub(crate) retiring: bool,
    /// Being emptied for another partition, and since when.
    pub(crate) vacating: Option<(Partition, u64)>,
    /// Being emptied, to be returned then.
    pub(crate) draining: bool,
    pub(crate) deleting: bool,
    /// The cloud has answered its deletion.
    pub(crate) gone: bool,
    /// It is being entered in a boot batch.
    pub(crate) storing: bool,
    /// It was in the roster, and up, when the tenure began: it may hold tasks not known of.
    may_hold: bool,
    /// Other partitions whose tasks may be on it, by the roster.
    pub(crate) also_holds: BTreeSet<Partition>,
    /// Partitions of this controller's, other than the machine's, of whose tasks it is not known yet which are on it.
    pub(crate) unaccounted: BTreeSet<Partition>,
    /// Since when it holds nothing but tasks of other partitions.
    only_others_since: Option<u64>,
    /// Starts sent with answers to its beats that a later beat came without, one after the other, and
    /// leases of its worker that ended though its beats were answered: answers do not reach it.
    pub(crate) missed: u32,
    /// When a beat of its was last answered.
    answered: Option<u64>,
    /// Attempts started by direct command, with the token and the time of the command.
    directs: BTreeMap<(TaskId, Attempt), (Epoch, u64)>,
}

impl Machine {
    /// State of a task on it, if it holds the task.
    pub(crate) fn state_of(&self, job: &JobId, index: u32) -> Option<TaskState> {
        self.held.iter().find_map(|h| match h.state {
            HeldState::Seen(s) if h.task.index == index && h.task.job == *job => Some(s),
            _ => None,
        })
    }

    /// It lists an attempt of one of a job's tasks as ended.
    pub(crate) fn lists(&self, job: &JobId, attempt: Attempt) -> bool {
        self.ended.iter().any(|(t, a, _)| *a == attempt && t.job == *job)
    }

    /// Drops starts of a job that have not been sent.
    pub(crate) fn drop_unsent(&mut self, job: &JobId) {
        self.held.retain(|h| h.state != HeldState::Booked || h.task.job != *job);
    }

    /// It has come up, and its entry says so.
    pub(crate) fn up(&self) -> bool {
        !self.addr.is_empty()
    }

    /// It has not come up yet, as far as is known, and is wanted.
    pub(crate) fn is_booting(&self) -> bool {
        !self.up() && !self.retiring && !self.gone
    }

    /// A machine that has just come into the roster, or into a partition.
    pub(crate) fn new(group: &str, record: &GroupRecord, addr: String, last: (u64, u64), now: u64) -> Self {
        Self {
            partition: record.part,
            model: record.model.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            addr,
            group: group.to_owned(),
            last,
            heard: None,
            heard_directly: None,
            known_since: now,
            confirmed: false,
            confirming: false,
            confirm_at: 0,
            held: Vec::new(),
            ended: Vec::new(),
            pins: BTreeMap::new(),
            commanding: None,
            direct_from: 0,
            notice: false,
            failures: BTreeMap::new(),
            failed_at: 0,
            probes_failed: 0,
            probing: false,
            probe_at: 0,
            suspect: false,
            avoid_until: 0,
            images: Vec::new(),
            idle_since: None,
            moving: None,
            retiring: false,
            draining: false,
            vacating: None,
            deleting: false,
            gone: false,
            storing: false,
            may_hold: false,
            also_holds: record.also_holds.clone(),
            unaccounted: BTreeSet::new(),
            only_others_since: None,
            missed: 0,
            answered: None,
            directs: BTreeMap::new(),
        }
    }

    /// Whether tasks are done on it whose results are not stored yet: its reports are the only record of them.
    pub(crate) fn has_unstored_results(&self, jobs: &BTreeMap<JobId, Job>) -> bool {
        let unstored = |task: &TaskId| jobs.get(&task.job).is_some_and(|job| !job.is_stored(task.index));
        self.ended.iter().any(|(task, _, done)| *done && unstored(task))
    }

    /// A boot batch says that it is up.
    pub(crate) fn come_up(&mut self, addr: &str, seen: (u64, u64)) {
        self.storing = false;
        self.addr = addr.to_owned();
        self.last = self.last.max(seen);
    }

    /// The session and sequence number of its newest report.
    pub(crate) fn last(&self) -> (u64, u64) {
        self.last
    }

    /// May tasks be placed on it?
    pub(crate) fn usable(&self, now: u64, patience: u64) -> bool {
        self.confirmed
            && self.up()
            && !self.notice
            && !self.suspect
            && !self.retiring
            && !self.draining
            && self.vacating.is_none()
            && !self.gone
            && self.moving.is_none()
            && now >= self.avoid_until
            && self.heard.is_some_and(|t| now.saturating_sub(t) <= patience)
    }

    /// Room taken by all that it holds or may hold.
    pub(crate) fn taken(&self) -> [f64; 3] {
        let mut sum = [0.0; 3];
        for h in &self.held {
            for (s, v) in sum.iter_mut().zip(h.size) {
                *s += v;
            }
        }
        sum
    }

    /// Starts in a direct command without an answer stay with this machine, until they are fenced.
    fn pin_direct(&mut self, epoch: Epoch, session: u64, now: u64) {
        let (last_session, last_seq) = self.last;
        for h in self.held.iter_mut().filter(|h| h.state == HeldState::Direct) {
            h.state = HeldState::Sent(last_session, last_seq);
            let pin = Pin {
                epoch,
                session,
                since: now,
            };
            self.pins.insert((h.task.clone(), h.attempt), pin);
        }
    }

    /// Something is to be started or stopped that has not been sent yet.
    fn has_errands(&self) -> bool {
        self.held.iter().any(|h| match h.state {
            HeldState::Booked => true,
            HeldState::Seen(TaskState::Saving) => false,
            HeldState::Seen(_) => h.stop.is_some(),
            _ => false,
        })
    }

    /// It holds nothing, and no late command can change that.
    pub(crate) fn clean(&self) -> bool {
        self.held.is_empty() && self.pins.is_empty() && self.commanding.is_none()
    }

    fn note_image(&mut self, image: &str, gb: f64, room: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > room {
            self.images.remove(0);
        }
    }
}

impl Controller {
    /// At the start of a tenure nothing of the partition's machines and jobs is known any more.
    pub(crate) fn reset_partition(&mut self, partition: Partition) {
        let now = self.now.ms;
        let (settings, tenures) = (&self.settings, &self.tenures);
        // Tasks that another partition of this controller's has on one of these machines stay known.
        let of_another = |held: &Held| {
            let owner = settings.partition_of_team(&held.team);
            owner.is_some_and(|p| p != partition && tenures.contains_key(&p))
        };
        for m in self.machines.values_mut().filter(|m| m.partition == partition) {
            m.confirmed = false;
            m.confirming = false;
            m.held.retain(of_another);
            m.only_others_since = None;
            m.ended.clear();
            // Older starts are fenced by the token of this tenure, without which nothing counts.
            m.pins.clear();
            m.commanding = None;
            m.heard = None;
            m.heard_directly = None;
            m.probes_failed = 0;
            m.probing = false;
            m.known_since = now;
            m.idle_since = None;
            m.moving = None;
            m.retiring = false;
            m.draining = false;
            m.vacating = None;
            m.deleting = false;
            m.storing = false;
            m.may_hold = m.up();
            m.missed = 0;
            m.answered = None;
            m.directs.clear();
        }
        self.reset_roster(partition);
        self.reset_jobs(partition);
        self.reset_shared_machines(partition);
    }

    fn hold(&mut self, machine: &MachineId, held: Held) {
        if let Some(job) = self.jobs.get_mut(&held.task.job) {
            job.placed.entry(held.task.index).or_default().push(machine.clone());
        }
        if let Some(m) = self.machines.get_mut(machine) {
            m.idle_since = None;
            m.held.push(held);
        }
    }

    /// Boot batches a start on a machine: it counts from now on, and goes out with the next beat's answer.
    pub(crate) fn batch(&mut self, machine: &MachineId, task: TaskId) {
        let of_job = self
            .jobs
            .get(&task.job)
            .map(|j| (Self::size(&j.spec), j.spec.team.clone(), j.partition));
        let Some((size, team, partition)) = of_job else { return };
        let Some(attempt) = self.next_attempt(&task.job, partition) else {
            return;
        };
        self.poked.insert(machine.clone());
        self.log(Level::Debug, format!("{machine}: {task} placed, attempt {attempt}"));
        self.hold(
            machine,
            Held {
                task,
                attempt,
                state: HeldState::Booked,
                running_since: None,
                stop: None,
                size,
                team,
            },
        );
    }

    /// One attempt is proven gone from a machine.
    fn release(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.held.retain(|h| h.task != *task || h.attempt != attempt);
            if m.held.iter().any(|h| h.task == *task) {
                return;
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(machines) = job.placed.get_mut(&task.index)
        {
            machines.retain(|m| m != machine);
            if machines.is_empty() {
                job.placed.remove(&task.index);
                job.cursor = job.cursor.min(task.index);
            }
        }
        self.want_batch();
    }

    /// Everything on a machine is proven gone.
    pub(crate) fn release_all(&mut self, machine: &MachineId, why: &str) {
        let held: Vec<(TaskId, Attempt)> = match self.machines.get(machine) {
            Some(m) => m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect(),
            None => return,
        };
        if !held.is_empty() {
            self.log(Level::Info, format!("{machine}: {} tasks are gone: {why}", held.len()));
        }
        for (task, attempt) in held {
            self.release(machine, &task, attempt);
        }
    }

    pub(crate) fn on_beat(&mut self, asker: Asker, body: &[u8], direct: bool) {
        let report = match serde_json::from_slice::<Report>(body) {
            Ok(report) => report,
            Err(fault) => {
                let error = json!({ "error": fault.to_string() }).to_string();
                self.answer(asker, Answer::new(400, error));
                return;
            }
        };
        let Some(epoch) = self.epoch().filter(|_| self.entitled()) else {
            self.answer(asker, Answer::later(503, 1, "not entitled to act at present"));
            return;
        };
        if report.epoch > epoch {
            // An answer under an older token would be dropped and hold the worker here.
            self.answer(asker, Answer::later(503, 1, "a newer epoch is not known here yet"));
            return;
        }
        let Some(partition) = self.machines.get(&report.machine).map(|m| m.partition) else {
            self.cloud.note_stranger(&report, epoch, self.now.ms);
            if self.stop_called_off_at_once(asker, &report, epoch) {
                return;
            }
            let to = self.member.leader.as_ref().map(|(l, _)| l.name.clone());
            match to {
                Some(to) if direct && to != self.me && self.reachable(&to) => self.redirect(asker, &to),
                _ => self.answer_orders(asker, epoch, Vec::new()),
            }
            return;
        };
        if self.acting(partition).is_some() {
            self.own_beat(asker, &report, epoch);
            return;
        }
        let owner = self.holding(partition).map(|h| h.owner.clone());
        match owner {
            Some(owner) if owner != self.me && direct => {
                if !self.stop_called_off_at_once(asker, &report, epoch) {
                    self.foreign_beat(asker, report, &owner, body);
                }
            }
            Some(owner) if owner != self.me => {
                // A relay that came to the wrong door: the sender knows no newer owner.
                let _ = owner;
                self.answer(asker, Answer::later(503, 1, "not the owner"));
            }
            _ => {
                // A take-over under way: the worker keeps its tasks, and gets the new token.
                let stops = self.stops_for_over(&report);
                self.answer_orders(asker, epoch, stops);
            }
        }
    }

    fn redirect(&mut self, asker: Asker, to: &ControllerId) {
        let body = json!({ "dispatcher": to }).to_string();
        self.answer(asker, Answer::new(421, body));
    }

    pub(crate) fn answer_orders(&mut self, asker: Asker, epoch: Epoch, commands: Vec<Command>) {
        let orders = Orders {
            epoch,
            session: None,
            commands,
        };
        let body = serde_json::to_string(&orders).unwrap_or_default();
        self.answer(asker, Answer::new(200, body));
    }

    /// A report whose machine another controller owns. It is passed on; a worker that is here for
    /// longer is sent to the owner, and if it comes back from there it may stay for a lease's time.
    ///
    /// Passing on comes first: a worker that is here because it could not reach its owner has been
    /// silent for a while already, and a redirection into the same cut would double that.
    fn foreign_beat(&mut self, asker: Asker, report: Report, owner: &ControllerId, body: &[u8]) {
        let now = self.now.ms;
        let lease = self.settings.worker_lease_ms();
        let settle = 2 * self.settings.report_ms();
        let reachable = self.reachable(owner);
        let up = self.machines.get(&report.machine).is_some_and(Machine::up);
        // The owner may be out of reach from here only: a third controller may do better.
        let other = || {
            let mut members = self.member.members.keys();
            members
                .find(|m| **m != self.me && *m != owner && self.reachable(m))
                .cloned()
        };
        let to = if reachable { Some(owner.clone()) } else { other() };
        let guest = self.guests.entry(report.machine.clone()).or_insert(Guest {
            since: now,
            seen: now,
            redirected: None,
        });
        guest.seen = now;
        let lately = guest.redirected.is_some_and(|t| now.saturating_sub(t) < lease);
        let may_go = !lately && (!up || !reachable || now.saturating_sub(guest.since) >= settle);
        if let Some(to) = to.filter(|_| may_go) {
            guest.redirected = Some(now);
            self.redirect(asker, &to);
            return;
        }
        let request = PeerRequest::Relay { report: body.to_vec() };
        let timeout = self.settings.report_ms() / 3;
        self.ask(
            owner.clone(),
            request,
            timeout,
            Purpose::Relay {
                asker,
                report: Box::new(report),
            },
        );
    }

    pub(crate) fn on_relayed(&mut self, asker: Asker, report: &Report, result: Option<PeerReply>) {
        match result {
            Some(PeerReply::Answer(answer)) if answer.status == 200 && self.entitled() => self.answer(asker, answer),
            _ => match self.epoch().filter(|e| self.entitled() && *e >= report.epoch) {
                Some(epoch) => {
                    let stops = self.stops_for_over(report);
                    self.answer_orders(asker, epoch, stops);
                }
                None => self.answer(asker, Answer::later(503, 1, "not entitled to act at present")),
            },
        }
    }

    /// Answers a report of a machine that is not this controller's at once, if it lists tasks that are to be stopped:
    /// its owner may not be ready, or not know, and this answer may be the last that reaches the worker.
    fn stop_called_off_at_once(&mut self, asker: Asker, report: &Report, epoch: Epoch) -> bool {
        let stops = self.stops_for_over(report);
        let any = !stops.is_empty();
        if any {
            self.answer_orders(asker, epoch, stops);
        }
        any
    }

    /// Stops for tasks of jobs that are over, or called off: right from any entitled controller.
    fn stops_for_over(&self, report: &Report) -> Vec<Command> {
        report
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited)
            .filter(|t| {
                let called_off = |id: TaskId| self.over.contains_key(&id.job) || self.cancellations.calls_off(&id.job);
                TaskId::parse(&t.task).is_some_and(called_off)
            })
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    fn own_beat(&mut self, asker: Asker, report: &Report, epoch: Epoch) {
        let id = report.machine.clone();
        let taken = self.take_report(report, true);
        if taken && matches!(asker, Asker::Request(_)) {
            // A late copy says nothing of how its zone is now.
            self.heard_directly(&id);
        }
        if !taken {
            // Late, or under an older token. With the answer the worker gets the present one.
            let stops = self.stops_for_over(report);
            self.answer_orders(asker, epoch, stops);
            return;
        }
        let first = self.machines.get(&id).is_some_and(|m| !m.up() && !m.storing && !m.gone);
        if first && !report.addr.is_empty() {
            self.note_boot(&id);
            // It may hold tasks only once its entry says that it is up.
            self.store_first_beat(asker, report);
            return;
        }
        if let Some(m) = self.machines.get_mut(&id) {
            m.answered = Some(self.now.ms);
        }
        let commands = self.orders_for(&id, Some((report.session, report.seq)));
        self.answer_orders(asker, epoch, commands);
    }

    /// Learns from a machine's first report how long machines of its type boot.
    fn note_boot(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        // What was found at the take-over was rented at some earlier time.
        let rented_before = self.acting(m.partition).is_none_or(|t| m.known_since <= t.active_at);
        let machine_type = self.types.iter().find(|t| t.name == m.model);
        if let Some(machine_type) = machine_type.filter(|_| !rented_before) {
            self.cloud.boot_times.note(machine_type, m.known_since, self.now.ms);
        }
    }

    fn heard_directly(&mut self, id: &MachineId) {
        let now = self.now.ms;
        if let Some(m) = self.machines.get_mut(id) {
            m.heard_directly = Some(now);
        }
    }

    /// Takes a report into the picture. False: it is late, or its worker has not seen the token of the
    /// present tenure; then it changes nothing.
    pub(crate) fn take_report(&mut self, report: &Report, is_beat: bool) -> bool {
        let id = report.machine.clone();
        let now = self.now.ms;
        let Some(m) = self.machines.get_mut(&id) else {
            return false;
        };
        let key = (report.session, report.seq);
        if key <= m.last || m.gone {
            return false;
        }
        let tenure = self.tenures.get(&m.partition);
        let current = tenure.is_some_and(|tenure| report.epoch >= tenure.since);
        // A beat under an older token may be a late copy, which is no sign of life; an answer is none.
        if current || !is_beat {
            m.heard = Some(now);
            m.probes_failed = 0;
        }
        if !current {
            return false;
        }
        let newer_session = report.session > m.last.0 && m.last.0 > 0;
        let lease = self.settings.worker_lease_ms();
        if newer_session && m.answered.is_some_and(|t| now.saturating_sub(t) < lease / 2) {
            // Its lease has ended though it was being answered: the answers did not arrive.
            m.missed += 2;
        }
        m.last = key;
        m.notice = report.notice_s.is_some();
        m.pins
            .retain(|_, pin| pin.epoch >= report.epoch && pin.session >= report.session);
        if newer_session {
            m.directs.clear();
        }
        m.directs.retain(|_, (epoch, _)| *epoch >= report.epoch);
        let first = !m.confirmed;
        m.confirmed = true;
        let tenures = &self.tenures;
        m.unaccounted
            .retain(|p| tenures.get(p).is_none_or(|tenure| report.epoch < tenure.since));
        if newer_session {
            // The worker has killed and forgotten all that it had.
            self.release_older_session(&id, report.session);
        }
        let mut listed: BTreeSet<(TaskId, Attempt)> = BTreeSet::new();
        let mut ended = Vec::new();
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else { continue };
            listed.insert((task.clone(), t.attempt));
            if t.state == TaskState::Exited {
                let done = t.why.as_deref() == Some("done");
                let held = self.machines.get(&id).and_then(|m| {
                    let mut held = m.held.iter();
                    held.find(|h| h.task == task && h.attempt == t.attempt)
                });
                let began = held.and_then(|h| h.running_since);
                let why = t.why.as_deref().unwrap_or("");
                // An ended attempt stays in the reports for long: it fails once.
                let failed_before = why == "error" && held.is_none();
                self.release(&id, &task, t.attempt);
                ended.push((task.clone(), t.attempt, done));
                if !failed_before {
                    self.note_end(&id, &task, t.attempt, why, began);
                }
            } else {
                self.see(&id, task, t.attempt, t.state);
            }
        }
        let Some(m) = self.machines.get_mut(&id) else {
            return false;
        };
        m.ended = ended;
        if is_beat {
            let unheard = |h: &Held| match h.state {
                HeldState::Sent(session, seq) => (session, seq) < key && !listed.contains(&(h.task.clone(), h.attempt)),
                _ => false,
            };
            if m.held.iter().any(unheard) {
                // It never saw the answer. Once is a lost packet; if it goes on, other machines get
                // the work, for it would be lost here again and again.
                m.missed += 1;
                m.avoid_until = now + (self.settings.report_ms() << m.missed.min(5));
            }
            let lost: Vec<(TaskId, Attempt)> = m
                .held
                .iter()
                .filter(|h| match h.state {
                    HeldState::Booked | HeldState::Direct => false,
                    HeldState::Sent(session, seq) => (session, seq) < key,
                    HeldState::Seen(_) => true,
                })
                .filter(|h| !listed.contains(&(h.task.clone(), h.attempt)))
                .filter(|h| !m.pins.contains_key(&(h.task.clone(), h.attempt)))
                .map(|h| (h.task.clone(), h.attempt))
                .collect();
            for (task, attempt) in lost {
                self.release(&id, &task, attempt);
            }
        }
        if let Some(m) = self.machines.get_mut(&id) {
            if m.held.is_empty() {
                m.idle_since.get_or_insert(now);
            } else {
                m.idle_since = None;
            }
        }
        if first {
            self.note_settled();
            self.want_batch();
        }
        true
    }

    fn release_older_session(&mut self, id: &MachineId, session: u64) {
        let held: Vec<(TaskId, Attempt)> = match self.machines.get(id) {
            Some(m) => m
                .held
                .iter()
                // A booking that has not gone out yet is no older session's.
                .filter(|h| h.state != HeldState::Booked)
                .map(|h| (h.task.clone(), h.attempt))
                .collect(),
            None => return,
        };
        if !held.is_empty() {
            self.log(
                Level::Info,
                format!(
                    "{id}: session {session} began, {} tasks of the last one are gone",
                    held.len()
                ),
            );
        }
        for (task, attempt) in held {
            self.release(id, &task, attempt);
        }
    }

    /// A task is on a machine.
    fn see(&mut self, id: &MachineId, task: TaskId, attempt: Attempt, state: TaskState) {
        let now = self.now.ms;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.note_gang(attempt, state, now);
        }
        let room = self
            .machines
            .get(id)
            .and_then(|m| self.types.iter().find(|t| t.name == m.model))
            .map_or(0.0, |t| t.cache_gb);
        let image = self
            .jobs
            .get(&task.job)
            .map(|j| (j.spec.image.clone(), j.spec.image_gb));
        if let Some(m) = self.machines.get_mut(id)
            && let Some(h) = m.held.iter_mut().find(|h| h.task == task && h.attempt == attempt)
        {
            m.missed = 0;
            let began = state == TaskState::Running && h.running_since.is_none();
            let text = began.then(|| format!("{id}: {task} runs"));
            if began {
                h.running_since = Some(now);
            }
            h.state = HeldState::Seen(state);
            let running_since = h.running_since;
            // A gang's task that waits for the others has its image.
            let has_image = began || state == TaskState::Gathering;
            if let Some((image, gb)) = image.filter(|_| has_image) {
                m.note_image(&image, gb, room);
            }
            if let Some(text) = text {
                self.log(Level::Debug, text);
            }
            if let Some(since) = running_since {
                self.note_running_replica(&task.job, id, since);
            }
            return;
        }
        // Not booked in this tenure: found after a take-over, or a stray.
        let (size, team) = match (self.jobs.get(&task.job), self.over.get(&task.job)) {
            (Some(j), _) => (Self::size(&j.spec), j.spec.team.clone()),
            (None, Some(over)) => (over.size, over.team.clone()),
            _ => ([0.0; 3], String::new()),
        };
        let twice = self
            .jobs
            .get(&task.job)
            .is_some_and(|j| j.placed.contains_key(&task.index));
        if twice {
            self.log(
                Level::Error,
                format!("{id}: {task} attempt {attempt} is on a second machine: stopping it"),
            );
        }
        self.hold(
            id,
            Held {
                task,
                attempt,
                state: HeldState::Seen(state),
                running_since: (state == TaskState::Running).then_some(now),
                stop: twice.then_some(Stop { grace_s: 0.0, at: now }),
                size,
                team,
            },
        );
    }

    /// A task has ended on a machine.
    fn note_end(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, why: &str, began: Option<u64>) {
        let now = self.now.ms;
        self.log(Level::Debug, format!("{id}: {task} ended: {why}"));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.note_gang_end(attempt, why);
        }
        match why {
            "done" => {
                // Only a task that began after the last failure speaks for the machine.
                if let Some(m) = self.machines.get_mut(id)
                    && began.is_some_and(|t| t > m.failed_at)
                {
                    m.failures.clear();
                }
                let own = |job: &&Job| self.acting(job.partition).is_some();
                if let Some(job) = self.jobs.get(&task.job).filter(own) {
                    if let Some(began) = began.filter(|_| job.spec.shape != Shape::Service) {
                        self.learned.note(&job.spec, now.saturating_sub(began) as f64 / 1000.0);
                    }
                    self.note_success(&task.job, id);
                    self.task_done(task);
                }
            }
            "error" => self.note_failure(id, task),
            "no_room" => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.avoid_until = now + self.settings.report_ms();
                }
            }
            _ => {}
        }
    }
}

impl Machine {
    /// It was in the roster, and up, when the tenure began.
    pub(crate) fn may_hold(&self) -> bool {
        self.may_hold && !self.gone
    }
}
