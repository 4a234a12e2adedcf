//! Cancellations that the controllers tell each other of, besides the store.
//!
//! In an outage of the state service no watch tells of an end, yet every controller that acts under its
//! peers' grants answers workers' reports, also for partitions whose owner has gone. So a cancellation is
//! passed on in heartbeats from the moment at which it is asked, a grant carries what its giver knows, and
//! no user is told that a job is cancelled before a second controller knows it: if the one that told it ends,
//! whoever acts under grants has the other's, and takes that in first.

use crate::calls::Asker;
use crate::controller::Controller;
use crate::ids::{ControllerId, Incarnation, JobId};
use crate::messages::Answer;
use std::collections::BTreeMap;

/// Most cancellations in one heartbeat. A grant is given only if all that its asker lacks fit.
const MOST: usize = 2000;

/// A cancellation that this controller knows of.
#[derive(Debug, Clone, Copy)]
struct Known {
    /// When its user was first told so, or may have been, on this clock.
    since: u64,
    /// It is stored, and not only asked for.
    stored: bool,
    /// Its place in the order in which this controller learned of them.
    number: u64,
    /// A peer has told of it, as stored: so two know it.
    shared: bool,
}

/// How far a life of a peer has taken in what this controller told it.
#[derive(Debug, Clone, Copy)]
struct Taken {
    inc: Incarnation,
    up_to: u64,
}

/// What a peer has not taken in.
struct Untaken {
    stored: Vec<JobId>,
    asked: Vec<JobId>,
    /// It begins after the first of these numbers, and goes up to the second.
    span: (u64, u64),
    /// Nothing had to be left out.
    whole: bool,
}

/// What one heartbeat or its answer says of cancellations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CancellationNotice {
    /// The life of who tells; 0: a version that does not tell.
    pub life: u64,
    /// Jobs whose cancellation is stored.
    pub cancelled: Vec<JobId>,
    /// Jobs whose cancellation was asked for, and whose fate is open.
    pub asked: Vec<JobId>,
    /// Who tells has not read the store in this life: it does not know what its earlier ones knew.
    pub unread: bool,
}

/// All cancellations that this controller knows of, and who else does.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    known: BTreeMap<JobId, Known>,
    last: u64,
    taken: BTreeMap<ControllerId, Taken>,
    /// Users who wait until a second controller knows, each with the time until which that makes sense.
    waiting: Vec<(JobId, Asker, u64)>,
    /// Heartbeats are to go out at once.
    urgent: bool,
    /// The latest extension of the lease that the state service has granted was sent then.
    served: u64,
}

impl Cancellations {
    fn learn(&mut self, id: &JobId, since: u64, stored: bool, shared: bool) -> bool {
        let number = self.last + 1;
        match self.known.get_mut(id) {
            Some(k) if k.stored >= stored => {
                k.shared |= shared;
                k.since = if stored == k.stored && !stored {
                    // Asked for again.
                    since
                } else {
                    k.since.min(since)
                };
                return false;
            }
            Some(k) => {
                *k = Known {
                    since,
                    stored,
                    number,
                    shared,
                }
            }
            None => {
                let known = Known {
                    since,
                    stored,
                    number,
                    shared,
                };
                self.known.insert(id.clone(), known);
            }
        }
        self.last = number;
        true
    }

    /// What a peer has not taken in yet, the oldest first.
    fn untaken(&self, peer: &ControllerId) -> Untaken {
        let from = self.taken.get(peer).map_or(0, |t| t.up_to);
        let mut news: Vec<(&JobId, &Known)> = self.known.iter().filter(|(_, k)| k.number > from).collect();
        news.sort_by_key(|(_, k)| k.number);
        let whole = news.len() <= MOST;
        news.truncate(MOST);
        let up_to = if whole {
            self.last
        } else {
            news.last().map_or(from, |(_, k)| k.number)
        };
        let ids = |stored: bool| {
            let of = news.iter().filter(|(_, k)| k.stored == stored);
            of.map(|(id, _)| (*id).clone()).collect()
        };
        Untaken {
            stored: ids(true),
            asked: ids(false),
            span: (from, up_to),
            whole,
        }
    }

    /// Whether a job's tasks are to be stopped and none started, for its cancellation is stored or asked for.
    pub(crate) fn calls_off(&self, id: &JobId) -> bool {
        self.known.contains_key(id)
    }
}

impl Controller {
    /// How long a stored cancellation is kept here and told of: beyond it no task of the job can be left.
    fn cancellations_kept_ms(&self) -> u64 {
        2 * self.settings.cancel_ms() + self.settings.worker_lease_ms()
    }

    /// A user asks for a job's cancellation: its tasks are stopped from now on, by whoever feeds them.
    pub(crate) fn note_asked(&mut self, id: &JobId) {
        if self.settings.features.cancellations && self.cancellations.learn(id, self.now.ms, false, false) {
            self.cancellations.urgent = true;
        }
    }

    /// A job's cancellation is stored. `ended_wall`: the time of day at which it was written, if the record says
    /// so; a job that was known here as unfinished has ended just now.
    pub(crate) fn note_cancelled(&mut self, id: &JobId, ended_wall: Option<u64>, was_open: bool) {
        let age = match ended_wall {
            Some(wall) => self.now.wall_ms.saturating_sub(wall),
            None if was_open => 0,
            None => return,
        };
        if !self.settings.features.cancellations || age > self.cancellations_kept_ms() {
            return;
        }
        let since = self.now.ms.saturating_sub(age);
        self.cancellations.learn(id, since, true, false);
    }

    /// The others are to know of what is new before their next heartbeat is due.
    pub(crate) fn tell_at_once(&mut self) {
        self.cancellations.urgent = true;
    }

    /// Since when a job's user may have been told that it is cancelled; none: it is not, as far as is known.
    pub(crate) fn cancelled_since(&self, id: &JobId) -> Option<u64> {
        self.cancellations.known.get(id).filter(|k| k.stored).map(|k| k.since)
    }

    /// The earliest cancellation that is still of concern.
    pub(crate) fn oldest_cancellation(&self, partition: crate::ids::Partition) -> Option<u64> {
        let keep = self.settings.cancel_ms() + self.settings.worker_lease_ms();
        let recent = |since: u64| self.now.ms.saturating_sub(since) <= keep;
        let of = |id: &JobId| {
            let team = self.over.get(id).map(|over| over.team.as_str());
            team.is_none_or(|team| self.settings.partition_of_team(team) == Some(partition))
        };
        let known = self.cancellations.known.iter();
        known
            .filter(|(id, k)| k.stored && recent(k.since) && of(id))
            .map(|(_, k)| k.since)
            .min()
    }

    /// What is told to a peer, the span of numbers that it covers, and whether it is all that the peer lacks.
    pub(crate) fn tell_cancellations(&self, to: &ControllerId) -> (CancellationNotice, (u64, u64), bool) {
        if !self.settings.features.cancellations {
            return (CancellationNotice::default(), (0, 0), true);
        }
        let untaken = self.cancellations.untaken(to);
        let told = CancellationNotice {
            life: self.member.inc.0,
            cancelled: untaken.stored,
            asked: untaken.asked,
            unread: self.member.ledger == 0,
        };
        (told, untaken.span, untaken.whole)
    }

    /// Takes in what a peer tells, before anything else that its message allows.
    pub(crate) fn take_cancellations(&mut self, from: &ControllerId, told: &CancellationNotice) {
        if !self.settings.features.cancellations {
            return;
        }
        if told.life == 0 {
            // A version that neither tells nor takes in.
            self.cancellations.taken.remove(from);
            return;
        }
        let life = Incarnation(told.life);
        if self.cancellations.taken.get(from).map(|t| t.inc) != Some(life) {
            // An earlier life's knowledge is gone.
            self.cancellations
                .taken
                .insert(from.clone(), Taken { inc: life, up_to: 0 });
        }
        let now = self.now.ms;
        for id in &told.asked {
            if self.cancellations.learn(id, now, false, false) {
                self.stop_called_off(id);
            }
        }
        for id in &told.cancelled {
            if self.cancellations.learn(id, now, true, true) {
                self.stop_called_off(id);
            }
        }
        self.answer_cancelled();
    }

    /// Whatever holds tasks of a job is told to stop them.
    pub(crate) fn stop_called_off(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        self.poked.extend(job.placed.values().flatten().cloned());
    }

    /// A peer's life has answered a heartbeat that told it of a span. What came before that span an earlier life
    /// may have been told of: then the present one has taken in nothing that counts.
    pub(crate) fn note_taken(&mut self, peer: &ControllerId, life: u64, (after, up_to): (u64, u64)) {
        if let Some(t) = self.cancellations.taken.get_mut(peer)
            && t.inc.0 == life
            && t.up_to >= after
        {
            t.up_to = t.up_to.max(up_to);
        }
        self.answer_cancelled();
    }

    /// The state service has extended this controller's lease, by a request that was sent at some time.
    pub(crate) fn note_served(&mut self, sent: u64) {
        self.cancellations.served = self.cancellations.served.max(sent);
        self.answer_cancelled();
    }

    /// Whether a user may be told that a job is cancelled: a second controller knows it, or nobody else can act
    /// without having read it.
    pub(crate) fn may_tell_cancelled(&self, id: &JobId) -> bool {
        let Some(known) = self.cancellations.known.get(id).filter(|k| k.stored) else {
            return true;
        };
        let others = self.member.members.iter().filter(|(name, _)| **name != self.me);
        let mut telling = others.filter(|(_, m)| m.knows >= 2).peekable();
        let mut taken = self.cancellations.taken.iter().filter(|(_, t)| t.up_to >= known.number);
        known.shared
            || telling.peek().is_none()
            || taken.any(|(name, _)| self.member.peers.get(name).is_some_and(|p| p.reachable))
            // Served since: so were the others' watches, or they are refused alone and need a grant of those
            // who know.
            || self.cancellations.served > known.since
    }

    /// Answers a user who asks about a cancelled job, once that may be told.
    pub(crate) fn tell_over(&mut self, asker: Asker, id: &JobId) {
        if self.may_tell_cancelled(id) {
            let body = self.over.get(id).map(|over| over.body(id));
            let answer = match body {
                Some(body) => Answer::new(200, body),
                None => Answer::later(503, 1, "try again"),
            };
            self.answer(asker, answer);
            return;
        }
        self.cancellations.urgent = true;
        // Users wait 2 s for a poll.
        let until = self.now.ms + (self.settings.lease_ms() / 8).min(1500);
        self.cancellations.waiting.push((id.clone(), asker, until));
    }

    /// Answers those for whom a second controller knows by now, and those who have waited for long enough.
    fn answer_cancelled(&mut self) {
        let now = self.now.ms;
        for (id, asker, until) in std::mem::take(&mut self.cancellations.waiting) {
            if self.may_tell_cancelled(&id) {
                self.tell_over(asker, &id);
            } else if now >= until {
                let why = "no other controller has heard of the cancellation yet";
                self.answer(asker, Answer::later(503, 1, why));
            } else {
                self.cancellations.waiting.push((id, asker, until));
            }
        }
    }

    pub(crate) fn tick_cancellations(&mut self) {
        let now = self.now.ms;
        if !self.cancellations.waiting.is_empty() {
            self.answer_cancelled();
        }
        let (stored, asked) = (self.cancellations_kept_ms(), self.settings.cancel_ms() / 2);
        let jobs = &self.jobs;
        self.cancellations.known.retain(|id, k| {
            let own = jobs.get(id).is_some_and(|j| j.ending.is_some());
            own || now.saturating_sub(k.since) < if k.stored { stored } else { asked }
        });
    }

    /// Sends heartbeats to the others at once if there is something that they have to know.
    pub(crate) fn send_cancellations(&mut self) {
        if std::mem::take(&mut self.cancellations.urgent) {
            self.greet(true);
        }
    }

    /// Whether a peer has not taken in all that there is to tell.
    pub(crate) fn lacks_cancellations(&self, peer: &ControllerId) -> bool {
        let up_to = self.cancellations.taken.get(peer).map(|t| t.up_to);
        up_to.is_some_and(|n| self.cancellations.known.values().any(|k| k.number > n))
    }
}
