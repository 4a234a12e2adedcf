//! The state that is kept about one other member.

use crate::arbiter::Verdict;
use crate::arrivals::ArrivalWindow;
use crate::config::{Policy, Timing};
use crate::estimator::SuspicionLevel;
use crate::flapping::FlapPenalty;
use crate::message::{Heartbeat, HeartbeatTrigger, Incarnation, IncarnationId, Rejection};
use std::collections::VecDeque;

/// Number of earlier incarnations that are remembered per member, so that their late heartbeats are recognized as
/// outdated.
const MAX_EARLIER_INCARNATIONS: usize = 8;

/// A suspicion of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Suspicion {
    /// The suspected incarnation. `None` if the member was never heard.
    pub incarnation: Option<IncarnationId>,
    /// Refutation count of that incarnation when the suspicion began.
    pub refutation_count: u64,
    /// When the suspicion began, on the caller's clock.
    pub since_ms: u64,
    /// The suspicion level when the suspicion began.
    pub level: SuspicionLevel,
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// It is not suspected.
    Alive,
    /// It is unresponsive. This is an estimate, and justifies only actions that can be undone.
    Suspected(Suspicion),
    /// It is gone for certain: the evidence shows that it is fenced off.
    Confirmed(Verdict),
}

/// One other member, as seen by this one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub(crate) state: MemberState,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) arrivals: ArrivalWindow,
    pub(crate) flap_penalty: FlapPenalty,
    /// When it was last known to be alive, by direct contact or through others, in running time of this member. The
    /// time without heartbeats is counted from here.
    pub(crate) last_contact_ms: u64,
    /// When it was last heard directly, in running time of this member.
    pub(crate) last_direct_contact_ms: Option<u64>,
    /// Since when answers to probes through other members have been awaited, in running time of this member.
    pub(crate) probing_since_ms: Option<u64>,
    /// Number of heartbeats received since it was suspected.
    pub(crate) heartbeats_since_suspicion: u64,
    earlier_incarnations: VecDeque<IncarnationId>,
    /// When its current incarnation was first heard or registered, on the caller's clock.
    incarnation_began_ms: u64,
    /// Highest sequence number of scheduled heartbeats in the current incarnation.
    newest_scheduled_sequence: u64,
    /// Highest sequence number of heartbeats sent as answers in the current incarnation.
    newest_answer_sequence: u64,
}

impl Member {
    pub(crate) fn new(window: usize) -> Self {
        Self {
            state: MemberState::Alive,
            incarnation: None,
            arrivals: ArrivalWindow::new(window),
            flap_penalty: FlapPenalty::default(),
            last_contact_ms: 0,
            last_direct_contact_ms: None,
            probing_since_ms: None,
            heartbeats_since_suspicion: 0,
            earlier_incarnations: VecDeque::new(),
            incarnation_began_ms: 0,
            newest_scheduled_sequence: 0,
            newest_answer_sequence: 0,
        }
    }

    pub(crate) fn suspicion(&self) -> Option<Suspicion> {
        match self.state {
            MemberState::Suspected(suspicion) => Some(suspicion),
            MemberState::Alive | MemberState::Confirmed(_) => None,
        }
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        matches!(self.state, MemberState::Confirmed(_))
    }

    /// Checks that a heartbeat is newer than those before it, and records its incarnation and sequence number. Returns
    /// whether its incarnation is a new one.
    pub(crate) fn accept_heartbeat(
        &mut self,
        trigger: HeartbeatTrigger,
        heartbeat: &Heartbeat,
        now_ms: u64,
    ) -> Result<bool, Rejection> {
        let incarnation = heartbeat.incarnation.id;
        if self.is_ended(incarnation) {
            return Err(Rejection::EndedIncarnation {
                from: heartbeat.from.clone(),
                incarnation,
            });
        }
        let is_new_incarnation = self.incarnation.is_none_or(|known| known.id != incarnation);
        if is_new_incarnation {
            self.begin_incarnation(heartbeat.incarnation, now_ms);
        }
        let newest = match trigger {
            HeartbeatTrigger::Scheduled => &mut self.newest_scheduled_sequence,
            HeartbeatTrigger::Answer => &mut self.newest_answer_sequence,
        };
        if heartbeat.sequence <= *newest {
            return Err(Rejection::OutdatedSequence {
                from: heartbeat.from.clone(),
                sequence: heartbeat.sequence,
                newest: *newest,
            });
        }
        *newest = heartbeat.sequence;
        self.raise_refutation_count(heartbeat.incarnation.refutation_count);
        Ok(is_new_incarnation)
    }

    /// Returns whether an incarnation has ended, so that its heartbeats are outdated.
    fn is_ended(&self, incarnation: IncarnationId) -> bool {
        let is_confirmed_as_gone = self.is_confirmed() && self.incarnation.is_some_and(|known| known.id == incarnation);
        is_confirmed_as_gone || self.earlier_incarnations.contains(&incarnation)
    }

    /// Returns whether a registered incarnation was left behind by an earlier process, while the current one has not
    /// registered yet. If so, the caller ignores the registration. This is possible only within one lease after the
    /// current incarnation was first heard, because the earlier registration expires within that lease. If the earlier
    /// incarnation is still registered after that lease, the heartbeat that started the current incarnation was an old
    /// message that arrived late, and the caller relies on the registration.
    pub(crate) fn is_stale_registration(&self, listed: IncarnationId, observed_ms: u64, lease_ms: u64) -> bool {
        self.earlier_incarnations.contains(&listed) && observed_ms < self.incarnation_began_ms.saturating_add(lease_ms)
    }

    /// Starts another incarnation. Evidence from the one before does not count for it.
    pub(crate) fn begin_incarnation(&mut self, incarnation: Incarnation, now_ms: u64) {
        self.earlier_incarnations.retain(|earlier| *earlier != incarnation.id);
        self.incarnation_began_ms = now_ms;
        let earlier = self.incarnation.replace(incarnation);
        if let Some(earlier) = earlier.filter(|earlier| earlier.id != incarnation.id) {
            self.earlier_incarnations.push_back(earlier.id);
            if self.earlier_incarnations.len() > MAX_EARLIER_INCARNATIONS {
                self.earlier_incarnations.pop_front();
            }
        }
        self.newest_scheduled_sequence = 0;
        self.newest_answer_sequence = 0;
        self.arrivals.start_new_series();
    }

    /// Counts the time without heartbeats from now on, as for a member that was never heard.
    pub(crate) fn await_first_heartbeat(&mut self, active_ms: u64) {
        self.state = MemberState::Alive;
        self.last_contact_ms = active_ms;
        self.last_direct_contact_ms = None;
        self.probing_since_ms = None;
    }

    /// Records a refutation count. Returns whether it is higher than the known one.
    pub(crate) fn raise_refutation_count(&mut self, refutation_count: u64) -> bool {
        match &mut self.incarnation {
            Some(known) if known.refutation_count < refutation_count => {
                known.refutation_count = refutation_count;
                true
            }
            _ => false,
        }
    }

    /// Records that the member was heard directly.
    pub(crate) fn record_contact(&mut self, trigger: HeartbeatTrigger, active_ms: u64) {
        self.last_contact_ms = self.last_contact_ms.max(active_ms);
        self.last_direct_contact_ms = Some(active_ms);
        self.probing_since_ms = None;
        if trigger == HeartbeatTrigger::Scheduled {
            self.arrivals.record(active_ms);
        }
    }

    /// Records that another member heard it `ago_ms` ago.
    pub(crate) fn record_indirect_contact(&mut self, active_ms: u64, ago_ms: u64) {
        self.last_contact_ms = self.last_contact_ms.max(active_ms.saturating_sub(ago_ms));
    }

    /// Returns the suspicion level. A member that was never heard has one full lease to send its first heartbeat.
    pub(crate) fn level(&self, active_ms: u64, timing: Timing, policy: &Policy) -> SuspicionLevel {
        self.level_for_silence(active_ms.saturating_sub(self.last_contact_ms), timing, policy)
    }

    /// Returns the suspicion level after `silence_ms` without a heartbeat.
    pub(crate) fn level_for_silence(&self, silence_ms: u64, timing: Timing, policy: &Policy) -> SuspicionLevel {
        if self.last_direct_contact_ms.is_none() && silence_ms < timing.lease_ms {
            return SuspicionLevel(0);
        }
        policy.estimator.level(&self.arrivals, silence_ms, timing, policy)
    }
}
