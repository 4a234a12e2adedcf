//! Jobs that are not over: how they become known, how their tasks are counted, and how they end.

mod bitmap;
mod record;
mod requests;
mod status_reads;

pub(crate) use bitmap::Piece;
pub use bitmap::bits_from_hex;
pub(crate) use record::{EndedJob, bytes_of};
pub use record::{JobRecord, Stored};
pub(crate) use status_reads::StatusReads;

use bitmap::Chunk;
use record::StoredState;

use crate::calls::{Asker, Purpose as Call};
use crate::controller::Controller;
use crate::failures::JobFailures;
use crate::gangs::Gang;
use crate::ids::{Epoch, JobId, MachineId, Partition, Stamp, TaskId};
use crate::membership::JOB_PREFIX;
use crate::messages::{Answer, Level};
use crate::protocol::{JobSpec, Shape};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

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
        /// The submission as it came, if a peer may be asked to store it instead.
        submission: Option<Vec<u8>>,
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
    pub(crate) fn apply_job(&mut self, id: JobId, value: Option<Value>, stamp: Stamp) {
        // Records are never deleted.
        let Some(record) = value.and_then(|v| serde_json::from_value::<JobRecord>(v).ok()) else {
            return;
        };
        if !self.readable(&record) {
            return;
        }
        self.record_job(id, record, stamp);
    }

    /// The version before gangs cannot read what it stores of one.
    fn readable(&self, record: &JobRecord) -> bool {
        let gang = record.spec.as_ref().is_some_and(|s| s.shape == Shape::Gang);
        self.settings.features.gangs || !gang
    }

    pub(crate) fn record_job(&mut self, id: JobId, record: JobRecord, stamp: Stamp) {
        if self.over.contains_key(&id) {
            return;
        }
        if let Some(over) = EndedJob::of(&record) {
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
        let Some(partition) = self.settings.partition_of_team(&spec.team) else {
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
    fn remember_over(&mut self, id: &JobId, over: EndedJob) {
        // A fifth of the memory, at about 300 bytes for each.
        let most = (self.settings.platform.facts.machine_limits.ram_mb * 1e6 / 5.0 / 300.0) as usize;
        self.over.insert(id.clone(), over);
        self.over_order.push_back(id.clone());
        while self.over_order.len() > most.max(1000) {
            if let Some(oldest) = self.over_order.pop_front() {
                self.over.remove(&oldest);
            }
        }
    }

    fn job_over(&mut self, id: &JobId, over: EndedJob) {
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
            ended: self.settings.features.cancellations.then_some(self.now.wall_ms),
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
                submission,
            } => self.on_accepted((asker, submission), id, *spec, (epoch, at), tries, result),
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

    fn on_ended(&mut self, id: JobId, ending: Ending, result: Option<(u16, Vec<u8>)>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.ending_sent = false;
        match result {
            Some((200, _)) => {
                let over = EndedJob {
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
        self.flush_due = self.now.ms + self.settings.report_ms() / 3;
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
}
