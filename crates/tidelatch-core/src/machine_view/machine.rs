//! One machine in this controller's view, and the tasks that it holds or may hold.

use super::direct_starts::DirectStarts;
use crate::ids::{Attempt, Epoch, JobId, Partition, TaskId};
use crate::jobs::Job;
use crate::protocol::TaskState;
use crate::roster::GroupRecord;
use std::collections::{BTreeMap, BTreeSet};

/// How far the start of a task has progressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeldTaskState {
    /// Booked, not sent yet: goes out with the answer to the next report or in a direct command.
    Booked,
    /// Sent in a direct command that has not been answered yet.
    AwaitingAnswer,
    /// Sent with the answer to this report, or executed by the direct command that was answered with this report
    /// (session, sequence number).
    Sent(u64, u64),
    /// Listed in a report of the machine, in this state.
    Reported(TaskState),
}

/// A requested stop of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StopRequest {
    /// Time that the task gets for saving its state; 0 kills it at once.
    pub(crate) grace_s: f64,
    /// When the stop was requested (ms).
    pub(crate) requested_at: u64,
    /// The partition whose owner permitted the stop, and the epoch at which that ownership began. None if no permit
    /// was needed.
    pub(crate) permit: Option<(Partition, Epoch)>,
}

impl StopRequest {
    /// Creates a stop that needs no permit.
    pub(crate) fn new(grace_s: f64, requested_at: u64) -> Self {
        Self {
            grace_s,
            requested_at,
            permit: None,
        }
    }
}

/// A task that a machine holds or may hold.
#[derive(Debug, Clone)]
pub(crate) struct HeldTask {
    pub(crate) task: TaskId,
    pub(crate) attempt: Attempt,
    pub(crate) state: HeldTaskState,
    /// When it was first reported as running (ms).
    pub(crate) running_since: Option<u64>,
    /// The stop that was requested, if any.
    pub(crate) stop: Option<StopRequest>,
    /// Its CPUs, GPUs and memory in GB.
    pub(crate) size: [f64; 3],
    pub(crate) team: String,
}

/// A start whose direct command got no answer. It is fenced once the worker has reported a newer epoch or session.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnansweredStart {
    pub(super) epoch: Epoch,
    pub(super) session: u64,
    /// When the command was found to have no answer (ms).
    pub(super) since: u64,
}

/// A worker that reports to this controller although another controller owns its machine. Times are in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MisdirectedWorker {
    /// When it began to report to this controller.
    pub(super) since: u64,
    /// When it last reported here.
    pub(super) last_seen: u64,
    /// When it was last redirected to another controller.
    pub(super) redirected_at: Option<u64>,
}

/// A machine of the roster. Times are in ms.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    /// The partition that owns it.
    pub(crate) partition: Partition,
    /// The name of its machine type.
    pub(crate) model: String,
    pub(crate) zone: String,
    /// It is a spot machine, which the cloud may take back after a notice.
    pub(crate) spot: bool,
    /// Its worker's address; empty until the roster records that it is up.
    pub(crate) addr: String,
    /// The machine group whose record lists it.
    pub(crate) group: String,
    /// Session and sequence number of its newest report.
    pub(super) last_report_key: (u64, u64),
    /// When it was last heard, also by reports that other controllers relayed.
    pub(crate) last_heard_at: Option<u64>,
    /// When a report that lists the machine's tasks was last accepted.
    pub(crate) last_report_at: Option<u64>,
    /// The epoch that its worker had seen at that time.
    pub(crate) seen_epoch: Epoch,
    /// When it last reported or answered to this controller directly, without another controller as relay.
    pub(super) heard_directly: Option<u64>,
    /// Since when this controller has known it under its present partition.
    pub(crate) known_since: u64,
    /// Its tasks are known: it has reported under an epoch of the present tenure.
    pub(crate) is_confirmed: bool,
    /// A confirmation request is pending.
    pub(super) confirming: bool,
    /// No confirmation request is sent before this time.
    pub(super) next_confirm_at: u64,
    /// The tasks that it holds or may hold.
    pub(crate) held: Vec<HeldTask>,
    /// Attempts that its last report lists as ended, and whether each completed its task.
    pub(super) ended: Vec<(TaskId, Attempt, bool)>,
    /// Starts in direct commands that got no answer, with the epoch and session that they carry. Such a command may
    /// still be executed until the worker has seen a newer epoch or session. Until then the task is not started
    /// anywhere else, and an attempt that has ended is not forgotten.
    pub(super) unanswered_starts: BTreeMap<(TaskId, Attempt), UnansweredStart>,
    /// The number of the direct command that has not been answered yet.
    pub(super) pending_command: Option<u64>,
    /// No direct commands are sent before this time, because the last one got no answer or was not executed.
    pub(super) direct_commands_from: u64,
    /// The cloud has given notice that it takes the machine back.
    pub(crate) has_preemption_notice: bool,
    /// Jobs whose tasks have failed on it, and whether each job is known to succeed on other machines.
    pub(crate) failures: BTreeMap<JobId, bool>,
    /// When a task last failed on it.
    pub(crate) last_failure_at: u64,
    /// Status or confirmation requests without an answer since the machine was last heard.
    pub(super) failed_probes: u32,
    /// A status request is pending.
    pub(super) probing: bool,
    /// No status request is sent before this time.
    pub(super) next_probe_at: u64,
    /// It is faulty: it is not used any more.
    pub(crate) is_faulty: bool,
    /// No task is placed on it before this time.
    pub(crate) avoid_until: u64,
    /// Images in its cache with their sizes in GB, the one recorded longest ago first.
    pub(crate) images: Vec<(String, f64)>,
    /// Since when it has held no tasks.
    pub(crate) idle_since: Option<u64>,
    /// Being handed to another partition.
    pub(crate) moving_to: Option<Partition>,
    /// To be deleted. Nothing is started on it any more.
    pub(crate) retiring: bool,
    /// The partition for which it is being emptied, and since when.
    pub(crate) vacating_for: Option<(Partition, u64)>,
    /// It is being drained: nothing is started on it.
    pub(crate) cordoned: bool,
    /// It is reserved for tasks that leave a drained machine.
    pub(crate) reserved: bool,
    /// Nothing is started on it, and it is returned to the cloud once it is empty.
    pub(crate) draining: bool,
    /// A request to the cloud to delete it is pending.
    pub(crate) deleting: bool,
    /// The cloud has confirmed its deletion.
    pub(crate) is_deleted: bool,
    /// The write of the boot batch that records it as up is in progress.
    pub(crate) is_boot_write_pending: bool,
    /// It was in the roster, and up, when the tenure began, so it may hold tasks that this controller does not know.
    pub(super) may_hold_older_tasks: bool,
    /// The other partitions whose tasks may be on it, according to the roster.
    pub(crate) also_holds: BTreeSet<Partition>,
    /// Partitions that this controller owns, other than the machine's own, whose tasks on this machine are not known
    /// yet.
    pub(crate) unaccounted_partitions: BTreeSet<Partition>,
    /// Since when it holds nothing but tasks of other partitions.
    pub(super) only_others_since: Option<u64>,
    /// Counts signs that answers do not reach the machine: one for each periodic report that does not list a start
    /// sent with the answer to an earlier report, and two when its worker's lease expires although its reports were
    /// answered. Any report that lists a known task resets it.
    pub(crate) missed_answers: u32,
    /// When a report of the machine was last answered.
    pub(super) last_answered_at: Option<u64>,
    /// Attempts that it must keep listing, because direct commands have started them.
    pub(super) direct_starts: DirectStarts,
}

impl Machine {
    /// The reported state of a task on this machine. None if the machine has not reported the task.
    pub(crate) fn state_of(&self, job: &JobId, index: u32) -> Option<TaskState> {
        self.held.iter().find_map(|h| match h.state {
            HeldTaskState::Reported(s) if h.task.index == index && h.task.job == *job => Some(s),
            _ => None,
        })
    }

    /// Whether the machine lists an attempt of one of the job's tasks as ended.
    pub(crate) fn lists_as_ended(&self, job: &JobId, attempt: Attempt) -> bool {
        self.ended.iter().any(|(t, a, _)| *a == attempt && t.job == *job)
    }

    /// Removes the starts of a job that have not been sent.
    pub(crate) fn drop_unsent_starts(&mut self, job: &JobId) {
        self.held
            .retain(|h| h.state != HeldTaskState::Booked || h.task.job != *job);
    }

    /// Whether the machine has booted and the roster records its address.
    pub(crate) fn is_up(&self) -> bool {
        !self.addr.is_empty()
    }

    /// Whether the machine has not booted yet, as far as is known, and is neither being deleted nor gone.
    pub(crate) fn is_booting(&self) -> bool {
        !self.is_up() && !self.retiring && !self.is_deleted
    }

    /// Creates the view of a machine that has just been added to the roster or to a partition.
    pub(crate) fn new(group: &str, record: &GroupRecord, addr: String, last_report_key: (u64, u64), now: u64) -> Self {
        Self {
            partition: record.partition,
            model: record.model.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            addr,
            group: group.to_owned(),
            last_report_key,
            last_heard_at: None,
            last_report_at: None,
            seen_epoch: Epoch(0),
            heard_directly: None,
            known_since: now,
            is_confirmed: false,
            confirming: false,
            next_confirm_at: 0,
            held: Vec::new(),
            ended: Vec::new(),
            unanswered_starts: BTreeMap::new(),
            pending_command: None,
            direct_commands_from: 0,
            has_preemption_notice: false,
            failures: BTreeMap::new(),
            last_failure_at: 0,
            failed_probes: 0,
            probing: false,
            next_probe_at: 0,
            is_faulty: false,
            avoid_until: 0,
            images: Vec::new(),
            idle_since: None,
            moving_to: None,
            retiring: false,
            cordoned: false,
            reserved: false,
            draining: false,
            vacating_for: None,
            deleting: false,
            is_deleted: false,
            is_boot_write_pending: false,
            may_hold_older_tasks: false,
            also_holds: record.also_holds.clone(),
            unaccounted_partitions: BTreeSet::new(),
            only_others_since: None,
            missed_answers: 0,
            last_answered_at: None,
            direct_starts: DirectStarts::default(),
        }
    }

    /// Whether tasks have completed on it whose results are not stored yet: its reports are the only record of them.
    pub(crate) fn has_unstored_results(&self, jobs: &BTreeMap<JobId, Job>) -> bool {
        let unstored = |task: &TaskId| jobs.get(&task.job).is_some_and(|job| !job.is_stored(task.index));
        self.ended.iter().any(|(task, _, done)| *done && unstored(task))
    }

    /// Records that a boot batch lists the machine as up.
    pub(crate) fn mark_up(&mut self, addr: &str, seen: (u64, u64)) {
        self.is_boot_write_pending = false;
        self.addr = addr.to_owned();
        self.last_report_key = self.last_report_key.max(seen);
    }

    /// The session and sequence number of its newest report.
    pub(crate) fn last_report_key(&self) -> (u64, u64) {
        self.last_report_key
    }

    /// Whether tasks may be placed on it. `max_report_age_ms` is the longest time since it was last
    /// heard.
    pub(crate) fn is_usable(&self, now: u64, max_report_age_ms: u64) -> bool {
        self.is_confirmed
            && self.is_up()
            && !self.has_preemption_notice
            && !self.is_faulty
            && !self.retiring
            && !self.draining
            && !self.cordoned
            && self.vacating_for.is_none()
            && !self.is_deleted
            && self.moving_to.is_none()
            && now >= self.avoid_until
            && self
                .last_heard_at
                .is_some_and(|t| now.saturating_sub(t) <= max_report_age_ms)
    }

    /// The sum of the resources of all tasks that it holds or may hold.
    pub(crate) fn used_resources(&self) -> [f64; 3] {
        let mut sum = [0.0; 3];
        for h in &self.held {
            for (s, v) in sum.iter_mut().zip(h.size) {
                *s += v;
            }
        }
        sum
    }

    /// Keeps the starts of an unanswered direct command on this machine until they are fenced.
    pub(super) fn mark_unanswered_starts(&mut self, epoch: Epoch, session: u64, now: u64) {
        let (last_session, last_seq) = self.last_report_key;
        for h in self
            .held
            .iter_mut()
            .filter(|h| h.state == HeldTaskState::AwaitingAnswer)
        {
            h.state = HeldTaskState::Sent(last_session, last_seq);
            let start = UnansweredStart {
                epoch,
                session,
                since: now,
            };
            self.unanswered_starts.insert((h.task.clone(), h.attempt), start);
        }
    }

    /// Whether a start or stop has not been sent yet.
    pub(super) fn has_unsent_commands(&self) -> bool {
        self.held.iter().any(|h| match h.state {
            HeldTaskState::Booked => true,
            HeldTaskState::Reported(TaskState::Saving) => false,
            HeldTaskState::Reported(_) => h.stop.is_some(),
            _ => false,
        })
    }

    /// Whether it holds no tasks and no late command can start one.
    pub(crate) fn is_empty_and_fenced(&self) -> bool {
        self.held.is_empty() && self.unanswered_starts.is_empty() && self.pending_command.is_none()
    }

    /// Records that the machine has an image in its cache of `cache_gb`, and drops the images recorded longest ago
    /// if they no longer fit.
    pub(super) fn record_cached_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }

    /// The partitions of which it may hold tasks that this controller does not know, until it has reported: those of
    /// tasks that came with it, and its own after a takeover.
    pub(super) fn partitions_of_unknown_tasks(&self) -> impl Iterator<Item = &Partition> {
        let own = self.may_hold_older_tasks.then_some(&self.partition);
        self.also_holds.iter().chain(own)
    }

    /// Whether it may hold tasks from before this tenure: it was in the roster, and up, when the tenure began.
    pub(crate) fn may_hold_older_tasks(&self) -> bool {
        self.may_hold_older_tasks && !self.is_deleted
    }
}
