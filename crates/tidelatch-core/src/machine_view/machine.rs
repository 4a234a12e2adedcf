//! One machine as this controller sees it, and the tasks that it holds or may hold.

use crate::ids::{Attempt, Epoch, JobId, Partition, TaskId};
use crate::jobs::Job;
use crate::protocol::TaskState;
use crate::roster::GroupRecord;
use std::collections::{BTreeMap, BTreeSet};

/// How far a start has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// Booked: goes out with the answer to the next report.
    Booked,
    /// In a direct command that has no answer yet.
    Direct,
    /// Sent with the answer to this report, or executed by the direct command whose answer was this
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
    /// The partition whose owner permitted it, and with what epoch that ownership began; none: no permit was needed.
    pub(crate) permit: Option<(Partition, Epoch)>,
}

impl Stop {
    /// A stop that needs no permit.
    pub(crate) fn new(grace_s: f64, at: u64) -> Self {
        Self {
            grace_s,
            at,
            permit: None,
        }
    }
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
pub(super) struct Pin {
    pub(super) epoch: Epoch,
    pub(super) session: u64,
    pub(super) since: u64,
}

/// A worker that reports here though another controller owns its machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Guest {
    pub(super) since: u64,
    pub(super) seen: u64,
    pub(super) redirected: Option<u64>,
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
    pub(super) last: (u64, u64),
    pub(crate) heard: Option<u64>,
    /// When a report of it was last taken that says what is on it.
    pub(crate) reported: Option<u64>,
    /// The token that its worker had seen by then.
    pub(crate) token: Epoch,
    /// When it was last heard with no other controller between.
    pub(super) heard_directly: Option<u64>,
    pub(crate) known_since: u64,
    /// What is on it is known: it has reported under a token of the present tenure.
    pub(crate) confirmed: bool,
    pub(super) confirming: bool,
    pub(super) confirm_at: u64,
    pub(crate) held: Vec<Held>,
    pub(super) ended: Vec<(TaskId, Attempt, bool)>,
    /// Starts in direct commands that got no answer, with the token and session that they carry. Such
    /// a command may still be executed, until the worker has seen a newer token or session: so the
    /// task is not started anywhere else, and an attempt that has ended is not forgotten.
    pub(super) pins: BTreeMap<(TaskId, Attempt), Pin>,
    /// A direct command is under way.
    pub(super) commanding: Option<u64>,
    /// No direct commands before this: the last one got no answer.
    pub(super) direct_from: u64,
    pub(crate) notice: bool,
    /// Jobs of which tasks have failed on it, and whether they are known to succeed elsewhere.
    pub(crate) failures: BTreeMap<JobId, bool>,
    pub(crate) failed_at: u64,
    /// Status calls without an answer since it was last heard.
    pub(super) probes_failed: u32,
    pub(super) probing: bool,
    pub(super) probe_at: u64,
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
    /// Nothing is started on it: it is drained.
    pub(crate) cordoned: bool,
    /// It is kept for what leaves a drained machine.
    pub(crate) reserved: bool,
    /// Being emptied, to be returned then.
    pub(crate) draining: bool,
    pub(crate) deleting: bool,
    /// The cloud has answered its deletion.
    pub(crate) gone: bool,
    /// It is being entered in a boot batch.
    pub(crate) storing: bool,
    /// It was in the roster, and up, when the tenure began: it may hold tasks not known of.
    pub(super) may_hold: bool,
    /// Other partitions whose tasks may be on it, by the roster.
    pub(crate) also_holds: BTreeSet<Partition>,
    /// Partitions of this controller's, other than the machine's, of whose tasks it is not known yet which are on it.
    pub(crate) unaccounted: BTreeSet<Partition>,
    /// Since when it holds nothing but tasks of other partitions.
    pub(super) only_others_since: Option<u64>,
    /// Starts sent with answers to its reports that a later periodic report came without, one after the other, and
    /// leases of its worker that ended though its reports were answered: answers do not reach it.
    pub(crate) missed: u32,
    /// When a report of its was last answered.
    pub(super) answered: Option<u64>,
    /// Attempts started by direct command, with the token and the time of the command.
    pub(super) directs: BTreeMap<(TaskId, Attempt), (Epoch, u64)>,
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
            reported: None,
            token: Epoch(0),
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
            cordoned: false,
            reserved: false,
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
            && !self.cordoned
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
    pub(super) fn pin_direct(&mut self, epoch: Epoch, session: u64, now: u64) {
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
    pub(super) fn has_errands(&self) -> bool {
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

    pub(super) fn note_image(&mut self, image: &str, gb: f64, room: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_owned(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > room {
            self.images.remove(0);
        }
    }

    /// It was in the roster, and up, when the tenure began.
    pub(crate) fn may_hold(&self) -> bool {
        self.may_hold && !self.gone
    }
}
