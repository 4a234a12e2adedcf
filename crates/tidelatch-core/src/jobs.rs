//! Jobs: accepting them, telling of them, cancelling them, and what is stored of them.

mod status_reads;

pub(crate) use status_reads::StatusReads;

use crate::calls::{Asker, Purpose as Call};
use crate::controller::Controller;
use crate::failures::JobFailures;
use crate::gangs::Gang;
use crate::ids::{ControllerId, Epoch, JobId, MachineId, Partition, Stamp, TaskId};
use crate::membership::JOB_PREFIX;
use crate::messages::{Answer, Level, Method, PeerRequest, Target};
use crate::protocol::{Item, JobSpec, Shape, TaskState};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// A job's state as stored. Only `queued` is not final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stored {
    /// Accepted and not over.
    Queued,
    /// All tasks done.
    Done,
    /// Cancelled by its user.
    Withdrawn,
}

impl Stored {
    fn word(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Done => "done",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// What is stored of a job. Once it is over, the description goes and the rest stays for good.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The epoch that it was accepted under.
    pub epoch: Epoch,
    /// Time of day of its acceptance.
    pub at: u64,
    /// Its state.
    pub st: Stored,
    /// Number of its tasks.
    pub n: u32,
    /// Its team.
    pub team: String,
    /// What each of its tasks takes: its tasks count against the team's limit even after its end.
    pub size: [f64; 3],
    /// Time of day at which its end was written; absent: the version before wrote it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<u64>,
    /// Its description, until it is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

/// What every version's job record tells.
#[derive(Debug, Deserialize)]
struct StoredState {
    st: Stored,
}

/// Length of a value as it is stored.
pub(crate) fn bytes_of(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}

/// A job that is over, as kept in memory.
#[derive(Debug, Clone)]
pub(crate) struct Over {
    pub(crate) done: bool,
    pub(crate) tasks: u32,
    pub(crate) team: String,
    pub(crate) size: [f64; 3],
}

impl Over {
    fn of(record: &JobRecord) -> Option<Self> {
        (record.st != Stored::Queued).then_some(Self {
            done: record.st == Stored::Done,
            tasks: record.n,
            team: record.team.clone(),
            size: record.size,
        })
    }
    pub(crate) fn body(&self, id: &JobId) -> String {
        let (status, done) = if self.done {
            ("done", self.tasks)
        } else {
            ("withdrawn", 0)
        };
        json!({ "uid": id, "status": status, "done": done, "running": 0 }).to_string()
    }
}

/// An end of a job that is being stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    Done,
    Withdrawn,
}

/// An unfinished job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) stamp: Stamp,
    pub(crate) epoch: Epoch,
    pub(crate) at_wall: u64,
    pub(crate) partition: Partition,
    pub(crate) done: Vec<u64>,
    pub(crate) done_count: u32,
    stored: Vec<u64>,
    dirty: BTreeSet<Piece>,
    /// Pieces on their way to the store.
    flying: BTreeSet<Piece>,
    /// Pieces that are stored, or may be.
    chunks: BTreeSet<Piece>,
    /// Chunks whose own key holds bits beyond their first piece: written when values could be larger.
    long: BTreeSet<u32>,
    /// Machines that hold each task that is placed, uncertain ones included.
    pub(crate) placed: BTreeMap<u32, Vec<MachineId>>,
    pub(crate) cursor: u32,
    pub(crate) ending: Option<Ending>,
    pub(crate) ending_sent: bool,
    pub(crate) askers: Vec<Asker>,
    pub(crate) failures: JobFailures,
    /// A zone that a replica has just left for another job's, and until when none comes back.
    pub(crate) shunned: Option<(String, u64)>,
    /// A gang's attempt, if any of its tasks may be on a machine.
    pub(crate) gang: Option<Gang>,
}

fn bit(words: &[u64], i: u32) -> bool {
    words.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
}

fn set_bit(words: &mut [u64], i: u32) {
    if let Some(w) = words.get_mut(i as usize / 64) {
        *w |= 1 << (i % 64);
    }
}

/// The numbers of the bits that are set in a chunk of a bitmap.
pub fn bits_from_hex(hex: &str) -> Vec<u32> {
    let mut bits = Vec::new();
    for (i, c) in hex.chars().enumerate() {
        let digit = c.to_digit(16).unwrap_or(0);
        bits.extend((0..4).filter(|b| digit >> b & 1 == 1).map(|b| i as u32 * 4 + b));
    }
    bits
}

impl Job {
    fn new(spec: JobSpec, record: (Epoch, u64, Stamp), partition: Partition) -> Self {
        let words = (spec.tasks as usize).div_ceil(64);
        Self {
            spec,
            stamp: record.2,
            epoch: record.0,
            at_wall: record.1,
            partition,
            done: vec![0; words],
            done_count: 0,
            stored: vec![0; words],
            dirty: BTreeSet::new(),
            flying: BTreeSet::new(),
            chunks: BTreeSet::new(),
            long: BTreeSet::new(),
            placed: BTreeMap::new(),
            cursor: 0,
            ending: None,
            ending_sent: false,
            askers: Vec::new(),
            failures: JobFailures::default(),
            shunned: None,
            gang: None,
        }
    }

    fn reset(&mut self) {
        let record = (self.epoch, self.at_wall, self.stamp);
        *self = Self::new(self.spec.clone(), record, self.partition);
    }

    pub(crate) fn is_done(&self, index: u32) -> bool {
        bit(&self.done, index)
    }

    pub(crate) fn is_stored(&self, index: u32) -> bool {
        bit(&self.stored, index)
    }

    /// Tasks that were done according to a stored piece of the bitmap.
    pub(crate) fn restore(&mut self, piece: Piece, bits: &[u32], chunk_bits: u32, piece_bits: u32) {
        self.chunks.insert(piece);
        let first = u64::from(piece.chunk) * u64::from(chunk_bits) + u64::from(piece.from);
        for bit in bits {
            let index = first + u64::from(*bit);
            if index >= u64::from(self.spec.tasks) {
                continue;
            }
            let index = index as u32;
            if !self.is_done(index) {
                set_bit(&mut self.done, index);
                self.done_count += 1;
            }
            set_bit(&mut self.stored, index);
            // A chunk that was stored whole can be written again only once its later pieces have keys of
            // their own: its value would lose them.
            if piece.from == 0 && *bit >= piece_bits {
                self.long.insert(piece.chunk);
                self.dirty.insert(Piece::of(index, chunk_bits, piece_bits));
            }
        }
    }

    fn mark_done(&mut self, index: u32, chunk_bits: u32, piece_bits: u32) {
        if index < self.spec.tasks && !self.is_done(index) {
            set_bit(&mut self.done, index);
            self.done_count += 1;
            self.dirty.insert(Piece::of(index, chunk_bits, piece_bits));
        }
    }

    /// The next piece that may be written.
    fn next_piece(&self) -> Option<Piece> {
        let later = |c: u32| {
            self.dirty
                .iter()
                .chain(&self.flying)
                .any(|p| p.chunk == c && p.from > 0)
        };
        let ready = |p: &&Piece| p.from > 0 || !self.long.contains(&p.chunk) || !later(p.chunk);
        self.dirty.iter().find(ready).copied()
    }

    /// The bits of a piece.
    fn bits_of(&self, piece: Piece, chunk_bits: u32, piece_bits: u32) -> (u32, u32) {
        let first = piece.chunk * chunk_bits + piece.from;
        let end = (piece.chunk + 1) * chunk_bits;
        (first, (first + piece_bits).min(end).min(self.spec.tasks))
    }

    fn chunk_hex(&self, (first, last): (u32, u32)) -> String {
        (first..last)
            .step_by(4)
            .map(|i| {
                let digit = (0..4).filter(|b| self.is_done(i + b)).fold(0, |d, b| d | 1 << b);
                char::from_digit(digit, 16).unwrap_or('0')
            })
            .collect()
    }

    /// Tasks that neither are done nor may be on a machine, from the lowest number on.
    pub(crate) fn waiting(&mut self, most: usize) -> Vec<u32> {
        while self.cursor < self.spec.tasks && (self.is_done(self.cursor) || self.placed.contains_key(&self.cursor)) {
            self.cursor += 1;
        }
        (self.cursor..self.spec.tasks)
            .filter(|i| !self.is_done(*i) && !self.placed.contains_key(i))
            .take(most)
            .collect()
    }

    /// Number of tasks neither done nor placed.
    pub(crate) fn waiting_count(&self) -> u32 {
        self.spec
            .tasks
            .saturating_sub(self.done_count)
            .saturating_sub(self.placed.len() as u32)
    }

    /// May tasks of this job be started?
    pub(crate) fn startable(&self, now: u64) -> bool {
        self.ending.is_none() && !self.failures.is_held(now)
    }
}

/// A stored part of a bitmap: a chunk, or from some bit of it on.
///
/// Chunks are as large as three quarters of the largest value, which the version before gangs derives from
/// the settings when it reads them: that may not change under a stored job. Where values will be smaller, a
/// chunk is stored in pieces. The first has the chunk's own key, and that version reads it; it passes over
/// the others, and would run their tasks again, which their workers answer with the result that they keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Piece {
    chunk: u32,
    /// The first of its bits in the chunk.
    from: u32,
}

impl Piece {
    /// Reads the last part of a key: `3`, or `3+6144`.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (chunk, from) = text.split_once('+').unwrap_or((text, "0"));
        Some(Self {
            chunk: chunk.parse().ok()?,
            from: from.parse().ok()?,
        })
    }

    fn of(index: u32, chunk_bits: u32, piece_bits: u32) -> Self {
        let bit = index % chunk_bits;
        Self {
            chunk: index / chunk_bits,
            from: bit - bit % piece_bits,
        }
    }

    fn key(self, partition: Partition, id: &JobId) -> String {
        match self.from {
            0 => format!("d/{partition}/{id}/{}", self.chunk),
            from => format!("d/{partition}/{id}/{}+{from}", self.chunk),
        }
    }
}

/// A piece of a bitmap on its way to the store: its key, and the tasks that it newly calls done.
#[derive(Debug, Clone)]
pub(crate) struct Chunk {
    job: JobId,
    piece: Piece,
    key: String,
    done: Vec<u32>,
}

/// Calls made for jobs.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    /// The acceptance of a submission.
    Accept {
        asker: Asker,
        id: JobId,
        spec: Box<JobSpec>,
        epoch: Epoch,
        at: u64,
        tries: u32,
    },
    /// Whether a submission is known, when its acceptance has no clear outcome or its body a fault.
    Known { asker: Asker, id: JobId, absent: Answer },
    /// A fresh read for those who poll a job.
    Status { id: JobId },
    /// A fresh read for a withdrawal of a job that is not known here.
    WithdrawRead { asker: Asker, id: JobId },
    /// A job's end.
    End { id: JobId, ending: Ending },
    /// Done bits.
    Flush { chunks: Vec<Chunk> },
    /// Bitmaps of jobs that are over.
    Sweep { keys: Vec<String> },
}

impl Controller {
    /// Bits in one stored chunk: four to a character, in three quarters of the largest value.
    pub(crate) fn chunk_bits(&self) -> u32 {
        (self.set.platform.facts.state.value_kb * 1024.0 * 0.75) as u32 * 4
    }

    /// Bits in one piece of a chunk: the same of the tighter limit.
    pub(crate) fn piece_bits(&self) -> u32 {
        let bits = (self.set.value_bytes() as f64 * 0.75) as u32 * 4;
        bits.clamp(4, self.chunk_bits().max(4))
    }

    pub(crate) fn apply_job(&mut self, id: JobId, value: Option<Value>, stamp: Stamp) {
        // Records are never deleted.
        let Some(record) = value.and_then(|v| serde_json::from_value::<JobRecord>(v).ok()) else {
            return;
        };
        if !self.readable(&record) {
            return;
        }
        self.learn_job(id, record, stamp);
    }

    /// The version before gangs cannot read what it stores of one.
    fn readable(&self, record: &JobRecord) -> bool {
        let gang = record.spec.as_ref().is_some_and(|s| s.shape == Shape::Gang);
        self.set.features.gangs || !gang
    }

    pub(crate) fn learn_job(&mut self, id: JobId, record: JobRecord, stamp: Stamp) {
        if self.over.contains_key(&id) {
            return;
        }
        if let Some(over) = Over::of(&record) {
            if !over.done {
                let was_open = self.jobs.contains_key(&id);
                self.note_cancelled(&id, record.ended, was_open);
            }
            self.job_over(&id, over);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stamp = job.stamp.max(stamp);
            return;
        }
        let Some(spec) = record.spec else { return };
        let Some(partition) = self.set.partition_of_team(&spec.team) else {
            return;
        };
        let gang = spec.shape == Shape::Gang;
        let job = Job::new(spec, (record.epoch, record.at, stamp), partition);
        self.admission.job_opened(&job.spec);
        self.jobs.insert(id, job);
        if self.tenures.contains_key(&partition) {
            self.want_batch();
            if gang {
                // It enters the batch whole, and its users wait in seconds: nothing is gained by waiting for
                // more to come.
                self.batch_due = Some(self.now.ms);
                self.tick_batch();
            }
        }
    }

    /// Keeps a final state at hand. Beyond a part of the memory the oldest are dropped: a question about
    /// one of those is answered by a read.
    fn remember_over(&mut self, id: &JobId, over: Over) {
        // A fifth of the memory, at about 300 bytes for each.
        let most = (self.set.platform.facts.machine_limits.ram_mb * 1e6 / 5.0 / 300.0) as usize;
        self.over.insert(id.clone(), over);
        self.over_order.push_back(id.clone());
        while self.over_order.len() > most.max(1000) {
            if let Some(oldest) = self.over_order.pop_front() {
                self.over.remove(&oldest);
            }
        }
    }

    fn job_over(&mut self, id: &JobId, over: Over) {
        self.remember_over(id, over);
        if let Some(job) = self.jobs.remove(id) {
            self.admission.job_closed(self.now.ms, &job.spec);
            for asker in job.askers {
                self.tell_over(asker, id);
            }
            // Whatever may still hold its tasks is told to stop them.
            for machines in job.placed.values() {
                for machine in machines {
                    if let Some(m) = self.machines.get_mut(machine) {
                        m.drop_unsent(id);
                        self.poked.insert(machine.clone());
                    }
                }
            }
        }
    }

    /// Everything known of what a partition's jobs do is forgotten: it comes anew from reports.
    pub(crate) fn reset_jobs(&mut self, partition: Partition) {
        let mut askers = Vec::new();
        for job in self.jobs.values_mut().filter(|j| j.partition == partition) {
            askers.append(&mut job.askers);
            job.reset();
        }
        for asker in askers {
            self.answer(asker, Answer::later(503, 1, "membership is changing"));
        }
    }

    pub(crate) fn known(&mut self, asker: Asker, id: JobId, absent: Answer) {
        self.read_job(&id.clone(), Purpose::Known { asker, id, absent });
    }

    fn read_job(&mut self, id: &JobId, purpose: Purpose) {
        self.state_reads.force(self.now.ms, 1.0);
        // Users wait 2 s for a poll.
        let timeout = (self.set.lease_ms() / 4).min(1500);
        self.call(
            Target::State,
            Method::Get,
            format!("/store/{JOB_PREFIX}{id}"),
            String::new(),
            timeout,
            Call::Job(purpose),
        );
    }

    pub(crate) fn on_status(&mut self, asker: Asker, id: &str, may_forward: bool) {
        let Some(id) = JobId::parse(id) else {
            // No job can have such an id.
            self.answer(asker, Answer::new(404, r#"{"error":"no such job"}"#));
            return;
        };
        if self.over.contains_key(&id) {
            self.tell_over(asker, &id);
            return;
        }
        if let Some(job) = self.jobs.get(&id) {
            if self.acting(job.partition).is_some() && job.ending.is_none() {
                let body = self.live_body(&id, job);
                self.answer(asker, Answer::new(200, body));
                return;
            }
            if let Some(owner) = self.owner_elsewhere(job.partition, may_forward) {
                let request = PeerRequest::Forward {
                    job: id.as_str().to_owned(),
                    withdraw: false,
                };
                self.ask(owner, request, 500, Call::ForwardStatus { asker, job: id });
                return;
            }
        }
        self.read_status(asker, id);
    }

    /// Whom to pass a question on to: the owner of a partition, if that is another controller within
    /// reach and the question has not been passed on before.
    fn owner_elsewhere(&self, partition: Partition, may_forward: bool) -> Option<ControllerId> {
        let owner = &self.holding(partition)?.owner;
        (may_forward && *owner != self.me && self.reachable(owner)).then(|| owner.clone())
    }

    fn live_body(&self, id: &JobId, job: &Job) -> String {
        let running: usize = job
            .placed
            .iter()
            .filter(|(index, machines)| {
                machines.iter().any(|m| {
                    self.machines
                        .get(m)
                        .is_some_and(|m| m.state_of(id, **index) == Some(TaskState::Running))
                })
            })
            .count();
        let status = if running > 0 { "running" } else { "queued" };
        json!({ "uid": id, "status": status, "done": job.done_count, "running": running }).to_string()
    }

    pub(crate) fn on_withdraw(&mut self, asker: Asker, id: &str, may_forward: bool) {
        let Some(id) = JobId::parse(id) else {
            self.answer(asker, Answer::new(404, r#"{"error":"no such job"}"#));
            return;
        };
        if self.over.contains_key(&id) {
            self.tell_over(asker, &id);
            return;
        }
        let Some(partition) = self.jobs.get(&id).map(|j| j.partition) else {
            self.read_job(&id.clone(), Purpose::WithdrawRead { asker, id });
            return;
        };
        if self.acting(partition).is_none() {
            match self.owner_elsewhere(partition, may_forward) {
                Some(owner) => {
                    let request = PeerRequest::Forward {
                        job: id.as_str().to_owned(),
                        withdraw: true,
                    };
                    let timeout = 4 * self.set.report_ms() / 5;
                    self.ask(owner, request, timeout, Call::ForwardWithdraw { asker });
                }
                None => self.answer(asker, Answer::later(503, 1, "the job's controller cannot be reached")),
            }
            return;
        }
        self.note_asked(&id);
        self.stop_called_off(&id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.askers.push(asker);
            if job.ending.is_none() {
                self.end_job(&id, Ending::Withdrawn);
            }
        }
    }

    /// Begins to store a job's end. From here on none of its tasks is started.
    fn end_job(&mut self, id: &JobId, ending: Ending) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.ending = Some(ending);
        job.ending_sent = true;
        let record = JobRecord {
            epoch: job.epoch,
            at: job.at_wall,
            st: match ending {
                Ending::Done => Stored::Done,
                Ending::Withdrawn => Stored::Withdrawn,
            },
            n: job.spec.tasks,
            team: job.spec.team.clone(),
            size: Self::size(&job.spec),
            ended: self.set.features.cancellations.then_some(self.now.wall_ms),
            spec: None,
        };
        let key = format!("{JOB_PREFIX}{id}");
        let mut conditions = vec![json!({ "k": key, "stamp": job.stamp })];
        let mut changes = vec![json!({ "write": key, "value": record })];
        let room = self.limits.ops.saturating_sub(1);
        let partition = job.partition;
        let mut keys = job.chunks.iter().map(|c| c.key(partition, id));
        changes.extend(keys.by_ref().take(room).map(|k| json!({ "delete": k })));
        let rest: Vec<String> = keys.collect();
        self.cloud.stale_keys.extend(rest);
        conditions.push(self.epoch_condition());
        self.txn(conditions, changes, Call::Job(Purpose::End { id: id.clone(), ending }));
    }

    /// Notes that a task has run through; the end of the last one is stored at once.
    pub(crate) fn task_done(&mut self, task: &TaskId) {
        let (chunk_bits, piece_bits) = (self.chunk_bits(), self.piece_bits());
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // A gang completes together: if one of its tasks is done, all are.
        let all = job.spec.shape == Shape::Gang;
        let tasks = if all {
            0..job.spec.tasks
        } else {
            task.index..task.index + 1
        };
        tasks.for_each(|i| job.mark_done(i, chunk_bits, piece_bits));
        let complete = job.done_count >= job.spec.tasks && job.ending.is_none();
        if complete {
            self.end_job(&task.job.clone(), Ending::Done);
        }
    }

    pub(crate) fn complete_finished(&mut self, partition: Partition) {
        let finished: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.partition == partition && j.done_count >= j.spec.tasks && j.ending.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in finished {
            self.end_job(&id, Ending::Done);
        }
    }

    pub(crate) fn on_job_reply(&mut self, purpose: Purpose, result: Option<(u16, Vec<u8>)>) {
        match purpose {
            Purpose::Accept {
                asker,
                id,
                spec,
                epoch,
                at,
                tries,
            } => self.on_accepted(asker, id, *spec, (epoch, at), tries, result),
            // By the time at which a read comes back, this controller may know more: it may have accepted the job,
            // or read its end. What lay in its buffers while it stood still is asked anew.
            Purpose::Status { id } => self.on_status_read(id, result),
            Purpose::Known { asker, id, .. } if self.knows(&id) => {
                self.on_status(asker, id.as_str(), true);
            }
            Purpose::WithdrawRead { asker, id } if self.knows(&id) || self.stale => {
                self.on_withdraw(asker, id.as_str(), true);
            }
            Purpose::Known { asker, id, absent } if self.stale => self.known(asker, id, absent),
            // A 404 is from before the watch told of the job.
            Purpose::Known { asker, id, .. } if matches!(result, Some((404, _))) && self.jobs.contains_key(&id) => {
                self.on_status(asker, id.as_str(), true);
            }
            Purpose::WithdrawRead { asker, id } if matches!(result, Some((404, _))) && self.jobs.contains_key(&id) => {
                self.on_withdraw(asker, id.as_str(), true);
            }
            Purpose::Known { asker, id, absent } => match result {
                Some((404, _)) => self.answer(asker, absent),
                result => self.answer_read(asker, &id, result),
            },
            Purpose::WithdrawRead { asker, id } => match result {
                Some((404, _)) => self.answer(asker, Answer::new(404, r#"{"error":"no such job"}"#)),
                Some((200, body)) => {
                    self.learn_read(&id, &body);
                    if self.over.contains_key(&id) {
                        self.tell_over(asker, &id);
                    } else {
                        self.answer(asker, Answer::later(503, 1, "try again"));
                    }
                }
                _ => self.answer(asker, Answer::later(503, 1, "the state service does not answer")),
            },
            Purpose::End { id, ending } => self.on_ended(id, ending, result),
            Purpose::Flush { chunks } => self.on_flushed(chunks, result),
            Purpose::Sweep { keys } => match result {
                Some((200 | 409, _)) => {}
                // Not carried out, or not clear: they are cleared away later.
                _ => self.cloud.stale_keys.extend(keys),
            },
        }
    }

    /// Whether this controller can answer for a job without the read that has just come back: its end is known,
    /// or it is this controller's own and was not when the read was sent.
    fn knows(&self, id: &JobId) -> bool {
        let own = |j: &Job| j.ending.is_none() && self.acting(j.partition).is_some();
        self.over.contains_key(id) || self.jobs.get(id).is_some_and(own)
    }

    fn learn_read(&mut self, id: &JobId, body: &[u8]) -> Option<Stored> {
        let item: Item = serde_json::from_slice(body).ok()?;
        match serde_json::from_value::<JobRecord>(item.value.clone()) {
            Ok(record) if self.readable(&record) => {
                let state = record.st;
                self.learn_job(id.clone(), record, item.stamp);
                Some(state)
            }
            // Guard: a later version's job, with words that this one does not know, stays known.
            _ => serde_json::from_value::<StoredState>(item.value).ok().map(|r| r.st),
        }
    }

    fn answer_read(&mut self, asker: Asker, id: &JobId, result: Option<(u16, Vec<u8>)>) {
        let state = match result {
            Some((200, body)) => self.learn_read(id, &body),
            _ => None,
        };
        let answer = match state {
            None => Answer::later(503, 1, "the state service does not answer"),
            Some(_) if self.over.contains_key(id) => {
                self.tell_over(asker, id);
                return;
            }
            Some(state) => Answer::new(
                200,
                json!({ "uid": id, "status": state.word(), "done": 0, "running": 0 }).to_string(),
            ),
        };
        self.answer(asker, answer);
    }

    fn on_ended(&mut self, id: JobId, ending: Ending, result: Option<(u16, Vec<u8>)>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.ending_sent = false;
        match result {
            Some((200, _)) => {
                let over = Over {
                    done: ending == Ending::Done,
                    tasks: job.spec.tasks,
                    team: job.spec.team.clone(),
                    size: Self::size(&job.spec),
                };
                let age_s = self.now.wall_ms.saturating_sub(job.at_wall) as f64 / 1000.0;
                let word = match (over.done, job.spec.deadline_s) {
                    (true, Some(due)) => format!("done after {age_s:.0} s, due after {due:.0} s"),
                    (true, None) => format!("done after {age_s:.0} s"),
                    (false, _) => format!("cancelled after {age_s:.0} s"),
                };
                self.log(Level::Info, format!("{id} {word}"));
                if !over.done {
                    self.note_cancelled(&id, Some(self.now.wall_ms), true);
                    self.tell_at_once();
                }
                self.job_over(&id, over);
            }
            Some((409, _)) => {
                // The epoch moved on, or an earlier copy of this change has landed: the watch tells.
                for asker in std::mem::take(&mut job.askers) {
                    self.answer(asker, Answer::later(503, 1, "membership is changing"));
                }
            }
            _ => {
                // Without a definite answer the change may still land: it is sent until it has one.
                for asker in std::mem::take(&mut job.askers) {
                    self.answer(asker, Answer::later(503, 1, "the state service does not answer"));
                }
            }
        }
    }

    /// Sends ends again that have no definite answer, and done bits that are due.
    pub(crate) fn tick_jobs(&mut self) {
        if !self.entitled() || self.now.ms < self.flush_due {
            return;
        }
        self.flush_due = self.now.ms + self.set.report_ms() / 3;
        let acting = self.acting_partitions();
        let again: Vec<(JobId, Ending)> = self
            .jobs
            .iter()
            .filter(|(_, j)| acting.contains(&j.partition) && !j.ending_sent)
            .filter_map(|(id, j)| j.ending.map(|e| (id.clone(), e)))
            .collect();
        for (id, ending) in again {
            if self.state_writes.take(self.now.ms, 0.0, 0.1) {
                self.end_job(&id, ending);
            }
        }
        self.flush_bits(&acting);
        self.sweep_keys();
    }

    fn flush_bits(&mut self, acting: &[Partition]) {
        let (chunk_bits, piece_bits) = (self.chunk_bits(), self.piece_bits());
        let room = self.limits.ops;
        let mut changes = Vec::new();
        let mut chunks = Vec::new();
        let mut bytes = 0;
        for (id, job) in &mut self.jobs {
            if !acting.contains(&job.partition) || job.ending.is_some() {
                continue;
            }
            while let Some(piece) = job.next_piece() {
                // A transaction holds 64 KiB; half of that leaves room for all else in it.
                if changes.len() >= room || bytes > 32 * 1024 {
                    break;
                }
                job.dirty.remove(&piece);
                job.flying.insert(piece);
                job.chunks.insert(piece);
                let (first, last) = job.bits_of(piece, chunk_bits, piece_bits);
                let hex = job.chunk_hex((first, last));
                bytes += hex.len();
                let done = (first..last)
                    .filter(|i| bit(&job.done, *i) && !bit(&job.stored, *i))
                    .collect();
                let key = piece.key(job.partition, id);
                changes.push(json!({ "write": key, "value": hex }));
                chunks.push(Chunk {
                    job: id.clone(),
                    piece,
                    key,
                    done,
                });
            }
        }
        if changes.is_empty() {
            return;
        }
        if !self.state_writes.take(self.now.ms, 0.0, 0.3) {
            self.unflush(chunks);
            return;
        }
        // The writers of an older epoch cannot land after a take-over has read the bitmaps; and a
        // bitmap is not written for a job whose record has changed meanwhile.
        let conditions = vec![self.epoch_condition()];
        self.txn(conditions, changes, Call::Job(Purpose::Flush { chunks }));
    }

    fn unflush(&mut self, chunks: Vec<Chunk>) {
        for chunk in chunks {
            if let Some(job) = self.jobs.get_mut(&chunk.job) {
                job.flying.remove(&chunk.piece);
                job.dirty.insert(chunk.piece);
            }
        }
    }

    fn on_flushed(&mut self, chunks: Vec<Chunk>, result: Option<(u16, Vec<u8>)>) {
        if !matches!(result, Some((200, _))) {
            self.unflush(chunks);
            return;
        }
        for chunk in chunks {
            match self.jobs.get_mut(&chunk.job) {
                Some(job) => {
                    job.flying.remove(&chunk.piece);
                    if chunk.piece.from == 0 {
                        job.long.remove(&chunk.piece.chunk);
                    }
                    chunk.done.into_iter().for_each(|i| set_bit(&mut job.stored, i));
                }
                // The job's end overtook its bits: they are cleared away.
                None => self.cloud.stale_keys.push(chunk.key),
            }
        }
    }

    fn sweep_keys(&mut self) {
        if self.cloud.stale_keys.is_empty() || !self.state_writes.take(self.now.ms, 0.0, 0.7) {
            return;
        }
        let n = self.cloud.stale_keys.len().min(self.limits.ops);
        let keys: Vec<String> = self.cloud.stale_keys.drain(..n).collect();
        let changes = keys.iter().map(|k| json!({ "delete": k })).collect();
        let conditions = vec![self.epoch_condition()];
        self.txn(conditions, changes, Call::Job(Purpose::Sweep { keys }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::parse_submission;

    const CHUNK: u32 = 12_288;
    const PIECE: u32 = 6_144;

    fn large() -> Job {
        let body =
            br#"{"uid":"job-1","consist":"c","crew":"t","shape":"sweep","precedence":"low","wagons":30000,"vcpus":1,
            "accelerators":1,"ramGb":1,"stock":"i","sizeGb":1,"together":false,"spread":false,"standby":false,
            "runtimeS":5,"waypointS":0,"stowS":0}"#;
        let (_, spec) = parse_submission(body).expect("in form");
        Job::new(spec, (Epoch(1), 0, Stamp(1)), Partition(0))
    }

    /// How the version before gangs read one stored chunk: its key's number, and the bits from its start.
    fn as_before(key: &str, hex: &str) -> Vec<u32> {
        let chunk = key.split('/').nth(3).and_then(|c| c.parse::<u32>().ok());
        let bits = |chunk: u32| bits_from_hex(hex).into_iter().map(move |b| chunk * CHUNK + b);
        chunk.map_or(Vec::new(), |c| bits(c).collect())
    }

    #[test]
    fn a_chunk_that_was_stored_whole_is_taken_apart_before_it_is_written_again() {
        // Guard: with values of half the size the chunk's own key can hold its first piece only. Written
        // before the later piece has a key of its own, it would lose what is stored of that.
        let mut job = large();
        let mut whole = vec!['0'; CHUNK as usize / 4];
        whole[0] = '1';
        whole[2000] = '2';
        let hex: String = whole.into_iter().collect();
        let first = Piece { chunk: 1, from: 0 };
        let later = Piece { chunk: 1, from: PIECE };
        job.restore(first, &bits_from_hex(&hex), CHUNK, PIECE);
        assert!(job.is_stored(CHUNK) && job.is_stored(CHUNK + 8001));
        job.mark_done(CHUNK + 5, CHUNK, PIECE);
        assert_eq!(job.next_piece(), Some(later));
        job.dirty.remove(&later);
        job.flying.insert(later);
        assert_eq!(job.next_piece(), None, "not before the later one is stored");
        job.flying.remove(&later);
        assert_eq!(job.next_piece(), Some(first));
    }

    #[test]
    fn both_versions_read_the_same_from_the_keys_that_both_know() {
        let mut job = large();
        for i in [3, PIECE - 1, PIECE, CHUNK - 1, CHUNK + 7, 29_999] {
            job.mark_done(i, CHUNK, PIECE);
        }
        let id = JobId::new("job-1");
        let mut before = Vec::new();
        let mut again = large();
        for piece in job.dirty.clone() {
            let (key, hex) = (
                piece.key(Partition(0), &id),
                job.chunk_hex(job.bits_of(piece, CHUNK, PIECE)),
            );
            assert!(hex.len() <= 1536, "{key}: {}", hex.len());
            before.extend(as_before(&key, &hex));
            let read = key.split('/').nth(3).and_then(Piece::parse).expect("a piece");
            again.restore(read, &bits_from_hex(&hex), CHUNK, PIECE);
        }
        assert_eq!(again.done, job.done);
        // It knows of no task that is not done; what it does not know of, it runs again.
        assert_eq!(before, [3, PIECE - 1, CHUNK + 7, 29_999]);
    }
}
