//! Unfinished jobs: reading their records, counting finished tasks, and storing the end of a job.

mod bitmap;
mod record;
mod requests;
mod status_reads;

pub(crate) use bitmap::BitmapPiece;
pub use bitmap::bits_from_hex;
pub(crate) use record::{EndedJob, bytes_of};
pub use record::{JobRecord, StoredJobStatus};
pub(crate) use status_reads::StatusReads;

use bitmap::InFlightPiece;
use record::StatusOnlyRecord;

use crate::calls::{CallPurpose, Requester};
use crate::controller::Controller;
use crate::failures::JobFailures;
use crate::gangs::GangAttempt;
use crate::ids::{Epoch, JobId, MachineId, Partition, Revision, TaskId};
use crate::membership::JOB_PREFIX;
use crate::messages::{Answer, Level};
use crate::protocol::{JobSpec, Shape};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// How a job ends, while that end is being stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// All tasks are done.
    Done,
    /// A user cancelled the job.
    Cancelled,
}

/// A job that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Revision of the job's record in the state service.
    pub(crate) revision: Revision,
    /// Epoch under which the job was accepted.
    pub(crate) epoch: Epoch,
    /// Wall clock time of the acceptance, in milliseconds since the Unix epoch.
    pub(crate) accepted_wall_ms: u64,
    pub(crate) partition: Partition,
    /// Bitmap of the finished tasks, by task index.
    pub(crate) done_bits: Vec<u64>,
    pub(crate) done_count: u32,
    /// Bitmap of the finished tasks that the state service has stored.
    stored_bits: Vec<u64>,
    /// Pieces of the bitmap that are yet to be written.
    dirty: BTreeSet<BitmapPiece>,
    /// Pieces whose write has been sent and not answered.
    in_flight: BTreeSet<BitmapPiece>,
    /// Pieces whose key exists in the store, or may exist because a write was sent.
    stored_pieces: BTreeSet<BitmapPiece>,
    /// Chunks whose own key holds bits beyond the first piece, because values could be larger when it was written.
    oversized_chunks: BTreeSet<u32>,
    /// Machines that hold each placed task, including those where it is uncertain whether they hold it.
    pub(crate) placed: BTreeMap<u32, Vec<MachineId>>,
    /// Every task below this index is done or placed.
    pub(crate) first_unplaced_index: u32,
    /// The end that is being stored; no task is started from then on.
    pub(crate) ending: Option<Ending>,
    /// A write of the end has been sent and not answered.
    pub(crate) is_end_in_flight: bool,
    /// Users who wait for the job's cancellation to be stored.
    pub(crate) requesters: Vec<Requester>,
    pub(crate) failures: JobFailures,
    /// A zone that a replica has left to make room for another job's replica, and the time until which no replica
    /// returns there.
    pub(crate) avoided_zone: Option<(String, u64)>,
    /// The gang's current attempt, if a machine may have any of its tasks.
    pub(crate) gang: Option<GangAttempt>,
}

impl Job {
    /// Creates a job with no finished or placed task. `record` holds the epoch, the wall clock
    /// time in milliseconds, and the revision of its acceptance.
    fn new(spec: JobSpec, record: (Epoch, u64, Revision), partition: Partition) -> Self {
        let words = (spec.tasks as usize).div_ceil(64);
        Self {
            spec,
            revision: record.2,
            epoch: record.0,
            accepted_wall_ms: record.1,
            partition,
            done_bits: vec![0; words],
            done_count: 0,
            stored_bits: vec![0; words],
            dirty: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            stored_pieces: BTreeSet::new(),
            oversized_chunks: BTreeSet::new(),
            placed: BTreeMap::new(),
            first_unplaced_index: 0,
            ending: None,
            is_end_in_flight: false,
            requesters: Vec::new(),
            failures: JobFailures::default(),
            avoided_zone: None,
            gang: None,
        }
    }

    /// Discards everything but what the job record holds.
    fn reset(&mut self) {
        let record = (self.epoch, self.accepted_wall_ms, self.revision);
        *self = Self::new(self.spec.clone(), record, self.partition);
    }

    /// Returns up to `limit` tasks that are not done and cannot be on a machine, lowest index first.
    pub(crate) fn waiting_tasks(&mut self, limit: usize) -> Vec<u32> {
        while self.first_unplaced_index < self.spec.tasks
            && (self.is_done(self.first_unplaced_index) || self.placed.contains_key(&self.first_unplaced_index))
        {
            self.first_unplaced_index += 1;
        }
        (self.first_unplaced_index..self.spec.tasks)
            .filter(|i| !self.is_done(*i) && !self.placed.contains_key(i))
            .take(limit)
            .collect()
    }

    /// Number of tasks that are neither done nor placed.
    pub(crate) fn waiting_count(&self) -> u32 {
        self.spec
            .tasks
            .saturating_sub(self.done_count)
            .saturating_sub(self.placed.len() as u32)
    }

    /// Whether tasks of this job may be started.
    pub(crate) fn can_start_tasks(&self, now: u64) -> bool {
        self.ending.is_none() && !self.failures.is_backing_off(now)
    }
}

/// Why a call to the state service was made for a job.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    /// Stores the acceptance of a submission.
    Accept {
        requester: Requester,
        id: JobId,
        spec: Box<JobSpec>,
        epoch: Epoch,
        /// Wall clock time of the acceptance, in milliseconds since the Unix epoch.
        at: u64,
        retries: u32,
        /// The submission as received, if it may be forwarded to a peer to be stored there.
        submission: Option<Vec<u8>>,
    },
    /// Reads whether a job with this id exists, because the outcome of its acceptance is unknown or the submission
    /// is invalid.
    CheckExisting {
        requester: Requester,
        id: JobId,
        answer_if_absent: Answer,
    },
    /// Reads the record of a job for the users who poll it.
    Status { id: JobId },
    /// Reads the record of a job that is to be cancelled and that this controller does not know.
    CancelRead { requester: Requester, id: JobId },
    /// Stores the end of a job.
    StoreEnd { id: JobId, ending: Ending },
    /// Stores bits of finished tasks.
    FlushDoneBits { pieces: Vec<InFlightPiece> },
    /// Deletes bitmaps of ended jobs.
    DeleteBitmaps { keys: Vec<String> },
}

impl Controller {
    /// Applies a job record that the watch or a listing returned.
    pub(crate) fn on_job_record_changed(&mut self, id: JobId, value: Option<Value>, revision: Revision) {
        // Job records are never deleted, so an absent value is ignored.
        let Some(record) = value.and_then(|v| serde_json::from_value::<JobRecord>(v).ok()) else {
            return;
        };
        if !self.is_readable_record(&record) {
            return;
        }
        self.apply_job_record(id, record, revision);
    }

    /// Whether this version can read the record. Versions without gangs cannot read the record of a gang.
    fn is_readable_record(&self, record: &JobRecord) -> bool {
        let is_gang = record.spec.as_ref().is_some_and(|s| s.shape == Shape::Gang);
        self.settings.features.gangs || !is_gang
    }

    /// Applies a job record if it says that the job has ended.
    pub(crate) fn apply_job_end(&mut self, id: &JobId, value: &Value, revision: Revision) {
        let status = StatusOnlyRecord::deserialize(value).map(|record| record.st);
        if status.is_ok_and(|status| status != StoredJobStatus::Queued) {
            self.on_job_record_changed(id.clone(), Some(value.clone()), revision);
        }
    }

    /// Adds a job from its record, updates its revision, or closes it if the record says that it has ended.
    pub(crate) fn apply_job_record(&mut self, id: JobId, record: JobRecord, revision: Revision) {
        if self.ended_jobs.contains_key(&id) {
            return;
        }
        if let Some(ended_job) = EndedJob::from_record(&record) {
            if !ended_job.done {
                let was_open = self.jobs.contains_key(&id);
                self.record_cancellation(&id, record.ended, was_open);
            }
            self.close_job(&id, ended_job);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.revision = job.revision.max(revision);
            return;
        }
        let Some(spec) = record.spec else { return };
        let Some(partition) = self.settings.partition_of_team(&spec.team) else {
            return;
        };
        let is_gang = spec.shape == Shape::Gang;
        let job = Job::new(spec, (record.epoch, record.at, revision), partition);
        self.admission.add_job(&job.spec);
        self.jobs.insert(id, job);
        if self.tenures.contains_key(&partition) {
            self.schedule_batch();
            if is_gang {
                // The batch runs now: a gang enters it with all of its tasks, so waiting for more tasks gains
                // nothing, while its users wait for seconds.
                self.batch_due_ms = Some(self.now.ms);
                self.run_due_batch();
            }
        }
    }

    /// Keeps the final state of a job in memory. Beyond a share of the memory the oldest are evicted; status requests
    /// for those are answered from the state service.
    fn remember_ended_job(&mut self, id: &JobId, ended_job: EndedJob) {
        // A fifth of the memory, at about 300 bytes per job.
        let limit = (self.settings.platform.facts.machine_limits.ram_mb * 1e6 / 5.0 / 300.0) as usize;
        self.ended_jobs.insert(id.clone(), ended_job);
        self.ended_job_order.push_back(id.clone());
        while self.ended_job_order.len() > limit.max(1000) {
            if let Some(oldest) = self.ended_job_order.pop_front() {
                self.ended_jobs.remove(&oldest);
            }
        }
    }

    /// Removes an ended job, answers those who wait for its cancellation, and has its tasks stopped.
    fn close_job(&mut self, id: &JobId, ended_job: EndedJob) {
        self.remember_ended_job(id, ended_job);
        if let Some(job) = self.jobs.remove(id) {
            self.admission.remove_job(self.now.ms, &job.spec);
            for requester in job.requesters {
                self.answer_ended_job(requester, id);
            }
            // Machines that may still run its tasks get commands to stop them.
            for machines in job.placed.values() {
                for machine in machines {
                    if let Some(m) = self.machines.get_mut(machine) {
                        m.drop_unsent_starts(id);
                        self.machines_with_urgent_commands.insert(machine.clone());
                    }
                }
            }
        }
    }

    /// Discards the task state of all jobs of a partition. It is rebuilt from the stored bitmaps and from reports.
    pub(crate) fn reset_jobs(&mut self, partition: Partition) {
        let mut requesters = Vec::new();
        for job in self.jobs.values_mut().filter(|j| j.partition == partition) {
            requesters.append(&mut job.requesters);
            job.reset();
        }
        for requester in requesters {
            self.send_answer(requester, Answer::retry_later(503, 1, "membership is changing"));
        }
    }

    /// Sends the write that stores a job's end. From then on none of its tasks is started.
    fn store_job_end(&mut self, id: &JobId, ending: Ending) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.ending = Some(ending);
        job.is_end_in_flight = true;
        let record = JobRecord {
            epoch: job.epoch,
            at: job.accepted_wall_ms,
            st: match ending {
                Ending::Done => StoredJobStatus::Done,
                Ending::Cancelled => StoredJobStatus::Cancelled,
            },
            n: job.spec.tasks,
            team: job.spec.team.clone(),
            size: Self::task_resources(&job.spec),
            ended: self.settings.features.cancellations.then_some(self.now.wall_ms),
            spec: None,
        };
        let key = format!("{JOB_PREFIX}{id}");
        let mut conditions = vec![json!({ "k": key, "stamp": job.revision })];
        let mut changes = vec![json!({ "write": key, "value": record })];
        let deletions_in_txn = self.write_limits.max_ops.saturating_sub(1);
        let partition = job.partition;
        let mut keys = job.stored_pieces.iter().map(|c| c.key(partition, id));
        changes.extend(keys.by_ref().take(deletions_in_txn).map(|k| json!({ "delete": k })));
        let remaining: Vec<String> = keys.collect();
        self.capacity.stale_keys.extend(remaining);
        conditions.push(self.epoch_condition());
        self.txn(
            conditions,
            changes,
            CallPurpose::Job(Purpose::StoreEnd { id: id.clone(), ending }),
        );
    }

    /// Records that a task has finished. After the last one the job's end is stored at once.
    pub(crate) fn record_task_done(&mut self, task: &TaskId) {
        let (chunk_bits, piece_bits) = (self.chunk_bits(), self.piece_bits());
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // The tasks of a gang finish together: if one is done, all are.
        let is_gang = job.spec.shape == Shape::Gang;
        let tasks = if is_gang {
            0..job.spec.tasks
        } else {
            task.index..task.index + 1
        };
        tasks.for_each(|i| job.mark_done(i, chunk_bits, piece_bits));
        let is_complete = job.done_count >= job.spec.tasks && job.ending.is_none();
        if is_complete {
            self.store_job_end(&task.job.clone(), Ending::Done);
        }
    }

    /// Stores the end of every job of a partition whose tasks are all done.
    pub(crate) fn store_ends_of_finished_jobs(&mut self, partition: Partition) {
        let finished: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.partition == partition && j.done_count >= j.spec.tasks && j.ending.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in finished {
            self.store_job_end(&id, Ending::Done);
        }
    }

    /// Handles the answer to a call that was made for a job; `None` if there was no answer.
    pub(crate) fn on_job_reply(&mut self, purpose: Purpose, reply: Option<(u16, Vec<u8>)>) {
        match purpose {
            Purpose::Accept {
                requester,
                id,
                spec,
                epoch,
                at,
                retries,
                submission,
            } => self.on_accept_reply((requester, submission), id, *spec, (epoch, at), retries, reply),
            Purpose::Status { id } => self.on_status_read(id, reply),
            // This controller may have newer knowledge than the read: it may have accepted the job, or read its end.
            // Answers that stayed in buffers while this process was paused are discarded and read again.
            Purpose::CheckExisting { requester, id, .. } if self.can_answer_without_read(&id) => {
                self.on_status(requester, id.as_str(), true);
            }
            Purpose::CancelRead { requester, id } if self.can_answer_without_read(&id) || self.is_reply_stale => {
                self.on_cancel_request(requester, id.as_str(), true);
            }
            Purpose::CheckExisting {
                requester,
                id,
                answer_if_absent,
            } if self.is_reply_stale => self.check_existing_job(requester, id, answer_if_absent),
            // The 404 predates the job, which the watch has reported since.
            Purpose::CheckExisting { requester, id, .. }
                if matches!(reply, Some((404, _))) && self.jobs.contains_key(&id) =>
            {
                self.on_status(requester, id.as_str(), true);
            }
            Purpose::CancelRead { requester, id } if matches!(reply, Some((404, _))) && self.jobs.contains_key(&id) => {
                self.on_cancel_request(requester, id.as_str(), true);
            }
            Purpose::CheckExisting {
                requester,
                id,
                answer_if_absent,
            } => match reply {
                Some((404, _)) => self.send_answer(requester, answer_if_absent),
                reply => self.answer_from_read(requester, &id, reply),
            },
            Purpose::CancelRead { requester, id } => match reply {
                Some((404, _)) => self.send_answer(requester, Answer::new(404, r#"{"error":"no such job"}"#)),
                Some((200, body)) => {
                    self.apply_read_record(&id, &body);
                    if self.ended_jobs.contains_key(&id) {
                        self.answer_ended_job(requester, &id);
                    } else {
                        self.send_answer(requester, Answer::retry_later(503, 1, "try again"));
                    }
                }
                _ => self.send_answer(
                    requester,
                    Answer::retry_later(503, 1, "the state service does not answer"),
                ),
            },
            Purpose::StoreEnd { id, ending } => self.on_end_reply(id, ending, reply),
            Purpose::FlushDoneBits { pieces } => self.on_flush_reply(pieces, reply),
            Purpose::DeleteBitmaps { keys } => match reply {
                // 409: the epoch has changed. The next takeover of the partition finds the bitmaps of ended jobs again.
                Some((200 | 409, _)) => {}
                // The deletion failed or its outcome is unknown: it is retried later.
                _ => self.capacity.stale_keys.extend(keys),
            },
        }
    }

    /// Handles the answer to the write of a job's end.
    fn on_end_reply(&mut self, id: JobId, ending: Ending, result: Option<(u16, Vec<u8>)>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.is_end_in_flight = false;
        match result {
            Some((200, _)) => {
                let ended_job = EndedJob {
                    done: ending == Ending::Done,
                    tasks: job.spec.tasks,
                    team: job.spec.team.clone(),
                    size: Self::task_resources(&job.spec),
                };
                let age_s = self.now.wall_ms.saturating_sub(job.accepted_wall_ms) as f64 / 1000.0;
                let outcome = match (ended_job.done, job.spec.deadline_s) {
                    (true, Some(deadline_s)) => format!("done after {age_s:.0} s, deadline {deadline_s:.0} s"),
                    (true, None) => format!("done after {age_s:.0} s"),
                    (false, _) => format!("cancelled after {age_s:.0} s"),
                };
                self.log(Level::Info, format!("{id} {outcome}"));
                if !ended_job.done {
                    self.record_cancellation(&id, Some(self.now.wall_ms), true);
                    self.request_urgent_heartbeats();
                }
                self.close_job(&id, ended_job);
            }
            Some((409, _)) => {
                // The epoch has changed, or an earlier copy of this write was applied: the watch will report which.
                for requester in std::mem::take(&mut job.requesters) {
                    self.send_answer(requester, Answer::retry_later(503, 1, "membership is changing"));
                }
            }
            _ => {
                // The write may still be applied: it is sent again until it has a definite answer.
                for requester in std::mem::take(&mut job.requesters) {
                    self.send_answer(
                        requester,
                        Answer::retry_later(503, 1, "the state service does not answer"),
                    );
                }
            }
        }
    }

    /// Retries writes of job ends that have no definite answer, sends the bits of finished tasks that are due, and
    /// deletes keys that are no longer needed.
    pub(crate) fn tick_jobs(&mut self) {
        if !self.is_entitled() || self.now.ms < self.flush_due_ms {
            return;
        }
        self.flush_due_ms = self.now.ms + self.settings.report_ms() / 3;
        let acting = self.active_partitions();
        let unconfirmed: Vec<(JobId, Ending)> = self
            .jobs
            .iter()
            .filter(|(_, j)| acting.contains(&j.partition) && !j.is_end_in_flight)
            .filter_map(|(id, j)| j.ending.map(|e| (id.clone(), e)))
            .collect();
        for (id, ending) in unconfirmed {
            // Only checks that a tenth of the burst is left: the tokens are taken when the write is sent.
            if self.state_writes.try_take(self.now.ms, 0.0, 0.1) {
                self.store_job_end(&id, ending);
            }
        }
        self.flush_bits(&acting);
        self.delete_stale_keys();
    }
}
