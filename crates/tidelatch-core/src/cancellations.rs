//! Exchange of cancellations between controllers, in addition to the state service.
//!
//! During an outage of the state service no watch reports the end of a job. Yet every controller that acts under grants
//! of its peers (their permission to act while the state service does not extend leases) answers workers' reports, also
//! for partitions whose owner is gone. Therefore:
//!
//! - Heartbeats carry a cancellation from the moment at which a user requests it.
//! - A grant carries the cancellations that the granting controller knows.
//! - No user is told that a job is cancelled before a second controller knows of it. If the controller that told the
//!   user stops, a controller that acts under grants has a grant of the second one and applies its cancellations first.

use crate::calls::Requester;
use crate::controller::Controller;
use crate::ids::{ControllerId, Incarnation, JobId, Partition};
use crate::messages::Answer;
use std::collections::BTreeMap;

/// Limit on cancellations in one heartbeat. A grant is given only if all that its requester lacks fit.
const MAX_CANCELLATIONS_PER_HEARTBEAT: usize = 2000;

/// A time on this controller's clock as a number that can also be negative, for times before the process started.
fn signed_ms(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

/// A cancellation that this controller knows of.
#[derive(Debug, Clone, Copy)]
struct KnownCancellation {
    /// Time at which a user was, or may have been, first told of the cancellation; before it is stored, the time of the
    /// latest request. Milliseconds on this controller's clock; negative if it was before this process started.
    since_ms: i64,
    /// The same time as it was first recorded, by which a lease extension counts as later than the cancellation.
    first_recorded_since_ms: i64,
    /// The cancellation is stored, not only requested.
    is_stored: bool,
    /// Position in the order in which this controller learned of cancellations.
    sequence: u64,
    /// A peer has reported it as stored, so two controllers know of it.
    is_shared: bool,
}

impl KnownCancellation {
    /// Milliseconds since a user was, or may have been, first told.
    fn age_ms(&self, now_ms: i64) -> u64 {
        now_ms.saturating_sub(self.since_ms).max(0).unsigned_abs()
    }
}

/// How far an incarnation of a peer has acknowledged the cancellations that this controller sent to it.
#[derive(Debug, Clone, Copy)]
struct AcknowledgedCancellations {
    incarnation: Incarnation,
    /// Highest acknowledged sequence number.
    up_to: u64,
}

/// Cancellations that a peer has not acknowledged.
struct UnacknowledgedCancellations {
    cancelled: Vec<JobId>,
    requested: Vec<JobId>,
    /// Range of sequence numbers covered: from after the first up to and including the second.
    sequence_range: (u64, u64),
    /// Nothing was left out for lack of space.
    is_complete: bool,
}

/// The cancellations in a heartbeat or in the answer to one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CancellationNotice {
    /// Incarnation of the sender; 0 if its version does not send cancellations.
    pub incarnation: u64,
    /// Jobs whose cancellation is stored.
    pub cancelled: Vec<JobId>,
    /// Jobs whose cancellation was requested and is not known to be stored.
    pub requested: Vec<JobId>,
    /// The sender has not read the state service in this incarnation, so it does not know the cancellations that its
    /// earlier incarnations knew.
    pub has_not_read_state: bool,
}

/// All cancellations that this controller knows of, and which peers know them.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    known: BTreeMap<JobId, KnownCancellation>,
    /// Highest sequence number assigned.
    last_sequence: u64,
    acknowledged: BTreeMap<ControllerId, AcknowledgedCancellations>,
    /// Users who wait until a second controller knows of a cancellation, each with the time at which waiting ends.
    waiting_requesters: Vec<(JobId, Requester, u64)>,
    /// Heartbeats are to be sent at once.
    heartbeats_requested: bool,
    /// Time at which the request for the latest lease extension that the state service granted was sent.
    lease_extension_sent_ms: Option<i64>,
}

impl Cancellations {
    /// Records a cancellation. Returns whether it is new, or newly known to be stored. Of a stored cancellation that is
    /// known already, the earlier time counts: a peer's message does not tell the time, and may come before the stored
    /// record is read.
    fn record(&mut self, id: &JobId, since_ms: i64, is_stored: bool, is_shared: bool) -> bool {
        if let Some(known) = self.known.get_mut(id).filter(|k| k.is_stored >= is_stored) {
            if is_stored {
                known.since_ms = known.since_ms.min(since_ms);
            }
            return false;
        }
        self.last_sequence += 1;
        let known = KnownCancellation {
            since_ms,
            first_recorded_since_ms: since_ms,
            is_stored,
            sequence: self.last_sequence,
            is_shared,
        };
        self.known.insert(id.clone(), known);
        true
    }

    /// The cancellations that a peer has not acknowledged, oldest first.
    fn unacknowledged(&self, peer: &ControllerId) -> UnacknowledgedCancellations {
        let from = self.acknowledged.get(peer).map_or(0, |a| a.up_to);
        let mut pending: Vec<(&JobId, &KnownCancellation)> =
            self.known.iter().filter(|(_, k)| k.sequence > from).collect();
        pending.sort_by_key(|(_, k)| k.sequence);
        let is_complete = pending.len() <= MAX_CANCELLATIONS_PER_HEARTBEAT;
        pending.truncate(MAX_CANCELLATIONS_PER_HEARTBEAT);
        let up_to = if is_complete {
            self.last_sequence
        } else {
            pending.last().map_or(from, |(_, k)| k.sequence)
        };
        let ids = |is_stored: bool| {
            let selected = pending.iter().filter(|(_, k)| k.is_stored == is_stored);
            selected.map(|(id, _)| (*id).clone()).collect()
        };
        UnacknowledgedCancellations {
            cancelled: ids(true),
            requested: ids(false),
            sequence_range: (from, up_to),
            is_complete,
        }
    }

    /// Whether a job's cancellation is stored or requested: its tasks are to be stopped, and none is to be started.
    pub(crate) fn is_cancelled_or_requested(&self, id: &JobId) -> bool {
        self.known.contains_key(id)
    }
}

impl Controller {
    /// How long a stored cancellation is kept and sent to peers, in milliseconds. After that no machine can
    /// run a task of the job any more.
    fn cancellation_retention_ms(&self) -> u64 {
        2 * self.settings.cancel_ms() + self.settings.worker_lease_ms()
    }

    /// Records that a user requests the cancellation of a job. From now on every controller that answers the workers'
    /// reports stops the job's tasks.
    pub(crate) fn record_cancel_request(&mut self, id: &JobId) {
        if self.settings.features.cancellations && self.cancellations.record(id, signed_ms(self.now.ms), false, false) {
            self.cancellations.heartbeats_requested = true;
        }
    }

    /// Records that a job's cancellation is stored. `ended_wall` is the wall clock time at which it was written, if the
    /// record holds that. Without it, a job that this controller knew as unfinished counts as cancelled just now.
    pub(crate) fn record_cancellation(&mut self, id: &JobId, ended_wall: Option<u64>, was_open: bool) {
        let age = match ended_wall {
            Some(wall) => self.now.wall_ms.saturating_sub(wall),
            None if was_open => 0,
            None => return,
        };
        if !self.settings.features.cancellations || age > self.cancellation_retention_ms() {
            return;
        }
        let since_ms = signed_ms(self.now.ms).saturating_sub_unsigned(age);
        self.cancellations.record(id, since_ms, true, false);
    }

    /// Requests heartbeats to the peers before they are due, so that the peers learn of new cancellations.
    pub(crate) fn request_urgent_heartbeats(&mut self) {
        self.cancellations.heartbeats_requested = true;
    }

    /// Milliseconds since a user may have been told that a job is cancelled, or `None` if no stored cancellation of it is
    /// known.
    pub(crate) fn cancellation_age_ms(&self, id: &JobId) -> Option<u64> {
        let known = self.cancellations.known.get(id).filter(|k| k.is_stored);
        known.map(|k| k.age_ms(signed_ms(self.now.ms)))
    }

    /// Ages in milliseconds of each partition's oldest stored cancellation that is recent enough for machines to still run
    /// tasks of its job. A job that is not known counts for every partition.
    pub(crate) fn oldest_cancellation_ages_ms(&self) -> BTreeMap<Partition, u64> {
        let relevant_ms = self.settings.cancel_ms() + self.settings.worker_lease_ms();
        let now_ms = signed_ms(self.now.ms);
        let mut oldest: BTreeMap<Partition, u64> = BTreeMap::new();
        for (id, known) in self.cancellations.known.iter().filter(|(_, k)| k.is_stored) {
            let age_ms = known.age_ms(now_ms);
            if age_ms > relevant_ms {
                continue;
            }
            let partitions = match self.ended_jobs.get(id) {
                Some(ended_job) => self.settings.partition_of_team(&ended_job.team).into_iter().collect(),
                None => (0..self.settings.partitions()).map(Partition).collect::<Vec<_>>(),
            };
            for partition in partitions {
                let oldest_ms = oldest.entry(partition).or_insert(age_ms);
                *oldest_ms = (*oldest_ms).max(age_ms);
            }
        }
        oldest
    }

    /// The cancellations to send to a peer, the range of sequence numbers that they cover, and whether they are
    /// all that the peer lacks.
    pub(crate) fn cancellations_for_peer(&self, to: &ControllerId) -> (CancellationNotice, (u64, u64), bool) {
        if !self.settings.features.cancellations {
            return (CancellationNotice::default(), (0, 0), true);
        }
        let unacknowledged = self.cancellations.unacknowledged(to);
        let notice = CancellationNotice {
            incarnation: self.membership.incarnation.0,
            cancelled: unacknowledged.cancelled,
            requested: unacknowledged.requested,
            has_not_read_state: self.membership.revision == 0,
        };
        (notice, unacknowledged.sequence_range, unacknowledged.is_complete)
    }

    /// Applies the cancellations in a peer's message. This comes before anything else that the message allows.
    pub(crate) fn apply_cancellations(&mut self, from: &ControllerId, notice: &CancellationNotice) {
        if !self.settings.features.cancellations {
            return;
        }
        if notice.incarnation == 0 {
            // The peer's version neither sends nor applies cancellations.
            self.cancellations.acknowledged.remove(from);
            return;
        }
        let incarnation = Incarnation(notice.incarnation);
        if self.cancellations.acknowledged.get(from).map(|a| a.incarnation) != Some(incarnation) {
            // What an earlier incarnation knew is lost.
            self.cancellations
                .acknowledged
                .insert(from.clone(), AcknowledgedCancellations { incarnation, up_to: 0 });
        }
        let now = signed_ms(self.now.ms);
        for id in &notice.requested {
            if self.cancellations.record(id, now, false, false) {
                self.stop_tasks_of_job(id);
            }
        }
        for id in &notice.cancelled {
            if self.cancellations.record(id, now, true, true) {
                self.stop_tasks_of_job(id);
            }
        }
        self.answer_waiting_requesters();
    }

    /// Schedules commands to the machines that hold tasks of a job, so that they stop them at once.
    pub(crate) fn stop_tasks_of_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        self.machines_with_urgent_commands
            .extend(job.placed.values().flatten().cloned());
    }

    /// Records that an incarnation of a peer has answered a heartbeat that carried a range of cancellations. Nothing is
    /// recorded for another incarnation than the known one, or if this incarnation of the peer has not acknowledged
    /// what precedes the range: only an earlier incarnation of the peer may have received that.
    pub(crate) fn record_acknowledged_cancellations(
        &mut self,
        peer: &ControllerId,
        incarnation: u64,
        (after, up_to): (u64, u64),
    ) {
        if let Some(a) = self.cancellations.acknowledged.get_mut(peer)
            && a.incarnation.0 == incarnation
            && a.up_to >= after
        {
            a.up_to = a.up_to.max(up_to);
        }
        self.answer_waiting_requesters();
    }

    /// Records that the state service has extended this controller's lease, by a request sent at time `sent`.
    pub(crate) fn record_lease_extension(&mut self, sent: u64) {
        let latest = &mut self.cancellations.lease_extension_sent_ms;
        *latest = (*latest).max(Some(signed_ms(sent)));
        self.answer_waiting_requesters();
    }

    /// Whether a user may be told that a job is cancelled: a second controller knows of the cancellation, or no other
    /// controller can act without having read it.
    pub(crate) fn may_confirm_cancellation(&self, id: &JobId) -> bool {
        let Some(known) = self.cancellations.known.get(id).filter(|k| k.is_stored) else {
            return true;
        };
        let others = self
            .membership
            .members
            .iter()
            .filter(|(name, _)| **name != self.own_name);
        // From feature level 2 on, a controller's version exchanges cancellations.
        let mut exchanging_peers = others.filter(|(_, m)| m.feature_level >= 2).peekable();
        let mut acknowledged = self
            .cancellations
            .acknowledged
            .iter()
            .filter(|(_, a)| a.up_to >= known.sequence);
        known.is_shared
            || exchanging_peers.peek().is_none()
            || acknowledged.any(|(name, _)| self.membership.peers.get(name).is_some_and(|p| p.is_reachable))
            // The state service has extended this controller's lease since the cancellation. Either it has served the
            // peers' watches too, or it refuses only them, and they need a grant of a controller that knows of the
            // cancellation.
            || (self.cancellations.lease_extension_sent_ms).is_some_and(|sent| sent > known.first_recorded_since_ms)
    }

    /// Answers a request about an ended job. If the job is cancelled, the answer may wait until a second controller
    /// knows of the cancellation.
    pub(crate) fn answer_ended_job(&mut self, requester: Requester, id: &JobId) {
        if self.may_confirm_cancellation(id) {
            let status_body = self.ended_jobs.get(id).map(|ended_job| ended_job.status_body(id));
            let answer = match status_body {
                Some(status_body) => Answer::new(200, status_body),
                None => Answer::retry_later(503, 1, "try again"),
            };
            self.send_answer(requester, answer);
            return;
        }
        self.cancellations.heartbeats_requested = true;
        // Users wait 2 s for the answer to a poll, so they are answered after 1.5 s at most.
        let deadline_ms = self.now.ms + (self.settings.lease_ms() / 8).min(1500);
        self.cancellations
            .waiting_requesters
            .push((id.clone(), requester, deadline_ms));
    }

    /// Answers users whose cancellation a second controller knows of by now, and users whose waiting time is over.
    fn answer_waiting_requesters(&mut self) {
        let now = self.now.ms;
        for (id, requester, deadline_ms) in std::mem::take(&mut self.cancellations.waiting_requesters) {
            if self.may_confirm_cancellation(&id) {
                self.answer_ended_job(requester, &id);
            } else if now >= deadline_ms {
                let reason = "no other controller has heard of the cancellation yet";
                self.send_answer(requester, Answer::retry_later(503, 1, reason));
            } else {
                self.cancellations.waiting_requesters.push((id, requester, deadline_ms));
            }
        }
    }

    /// Answers waiting users, and drops cancellations whose retention time is over.
    pub(crate) fn tick_cancellations(&mut self) {
        let now = signed_ms(self.now.ms);
        if !self.cancellations.waiting_requesters.is_empty() {
            self.answer_waiting_requesters();
        }
        let (stored_ms, requested_ms) = (self.cancellation_retention_ms(), self.settings.cancel_ms() / 2);
        let jobs = &self.jobs;
        self.cancellations.known.retain(|id, k| {
            let is_ending_here = jobs.get(id).is_some_and(|j| j.ending.is_some());
            is_ending_here || k.age_ms(now) < if k.is_stored { stored_ms } else { requested_ms }
        });
    }

    /// Sends heartbeats to the peers at once if that was requested.
    pub(crate) fn send_cancellations(&mut self) {
        if std::mem::take(&mut self.cancellations.heartbeats_requested) {
            self.send_heartbeats(true);
        }
    }

    /// Whether a peer that takes cancellations has not acknowledged all of them.
    pub(crate) fn lacks_cancellations(&self, peer: &ControllerId) -> bool {
        let up_to = self.cancellations.acknowledged.get(peer).map(|a| a.up_to);
        up_to.is_some_and(|n| self.cancellations.known.values().any(|k| k.sequence > n))
    }
}
