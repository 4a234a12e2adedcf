//! What is known of one other member.

use crate::arbiter::Verdict;
use crate::arrivals::ArrivalWindow;
use crate::config::{Policy, Timing};
use crate::estimator::SuspicionLevel;
use crate::flapping::FlapPenalty;
use crate::message::{Channel, Heartbeat, Incarnation, Life, Rejection};
use std::collections::VecDeque;

/// Earlier lives of a member that are remembered, so that what they sent late is not taken for news.
const EARLIER_LIVES: usize = 8;

/// A suspicion against a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Suspicion {
    /// The life that is suspected; none: it was never heard.
    pub life: Option<Life>,
    /// Refutations of that life that were known when the suspicion began.
    pub refutation: u64,
    /// When it began, on the caller's clock.
    pub since_ms: u64,
    /// The level that was reached.
    pub level: SuspicionLevel,
}

/// How a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberState {
    /// Nothing speaks against it.
    Alive,
    /// It is silent. This is an estimate, and permits nothing that could not be undone.
    Suspected(Suspicion),
    /// It is gone, by evidence that fences it.
    Confirmed(Verdict),
}

/// One other member, as seen from here.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub(crate) state: MemberState,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) arrivals: ArrivalWindow,
    pub(crate) flaps: FlapPenalty,
    /// When its silence began: the last sign of life, direct or through others, in time that this member ran.
    pub(crate) heard_ms: u64,
    /// When it was last heard itself, in time that this member ran.
    pub(crate) heard_directly_ms: Option<u64>,
    /// Since when answers through other members are waited for, in time that this member ran.
    pub(crate) probing_since_ms: Option<u64>,
    /// Heartbeats in a row since it was suspected.
    pub(crate) heartbeats_since_suspicion: u64,
    earlier_lives: VecDeque<Life>,
    /// When its present life was first heard, on the caller's clock.
    life_began_ms: u64,
    newest_scheduled: u64,
    newest_answer: u64,
}

impl Member {
    pub(crate) fn new(window: usize) -> Self {
        Self {
            state: MemberState::Alive,
            incarnation: None,
            arrivals: ArrivalWindow::new(window),
            flaps: FlapPenalty::default(),
            heard_ms: 0,
            heard_directly_ms: None,
            probing_since_ms: None,
            heartbeats_since_suspicion: 0,
            earlier_lives: VecDeque::new(),
            life_began_ms: 0,
            newest_scheduled: 0,
            newest_answer: 0,
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

    /// Checks a heartbeat for being news, and takes note of its life and number; whether its life is a new one.
    pub(crate) fn admit(&mut self, channel: Channel, heartbeat: &Heartbeat, now_ms: u64) -> Result<bool, Rejection> {
        let life = heartbeat.incarnation.life;
        if self.is_earlier(life) {
            return Err(Rejection::EarlierLife {
                from: heartbeat.from.clone(),
                life,
            });
        }
        let new_life = self.incarnation.is_none_or(|known| known.life != life);
        if new_life {
            self.begin_life(heartbeat.incarnation, now_ms);
        }
        let newest = match channel {
            Channel::Scheduled => &mut self.newest_scheduled,
            Channel::Answer => &mut self.newest_answer,
        };
        if heartbeat.sequence <= *newest {
            return Err(Rejection::Overtaken {
                from: heartbeat.from.clone(),
                sequence: heartbeat.sequence,
                newest: *newest,
            });
        }
        *newest = heartbeat.sequence;
        self.raise_refutation(heartbeat.incarnation.refutation);
        Ok(new_life)
    }

    /// Whether nothing of this life can be news any more.
    fn is_earlier(&self, life: Life) -> bool {
        let confirmed = self.is_confirmed() && self.incarnation.is_some_and(|known| known.life == life);
        confirmed || self.earlier_lives.contains(&life)
    }

    /// Whether a listed life is what an earlier process has left behind, and the present one just has not registered
    /// yet. A lease after that one was first heard it cannot be: then its heartbeat was an old message that came late.
    pub(crate) fn is_leftover(&self, listed: Life, observed_ms: u64, lease_ms: u64) -> bool {
        self.earlier_lives.contains(&listed) && observed_ms < self.life_began_ms.saturating_add(lease_ms)
    }

    /// Another life begins: nothing of the one before counts for it.
    pub(crate) fn begin_life(&mut self, incarnation: Incarnation, now_ms: u64) {
        self.earlier_lives.retain(|earlier| *earlier != incarnation.life);
        self.life_began_ms = now_ms;
        let earlier = self.incarnation.replace(incarnation);
        if let Some(earlier) = earlier.filter(|earlier| earlier.life != incarnation.life) {
            self.earlier_lives.push_back(earlier.life);
            if self.earlier_lives.len() > EARLIER_LIVES {
                self.earlier_lives.pop_front();
            }
        }
        self.newest_scheduled = 0;
        self.newest_answer = 0;
        self.arrivals.interrupt();
    }

    /// Its silence is counted from now on, as that of a member that was never heard.
    pub(crate) fn await_first_heartbeat(&mut self, active_ms: u64) {
        self.state = MemberState::Alive;
        self.heard_ms = active_ms;
        self.heard_directly_ms = None;
        self.probing_since_ms = None;
    }

    /// Takes note of a refutation; whether it is a newer one.
    pub(crate) fn raise_refutation(&mut self, refutation: u64) -> bool {
        match &mut self.incarnation {
            Some(known) if known.refutation < refutation => {
                known.refutation = refutation;
                true
            }
            _ => false,
        }
    }

    /// It was heard itself.
    pub(crate) fn note_heard(&mut self, channel: Channel, active_ms: u64) {
        self.heard_ms = self.heard_ms.max(active_ms);
        self.heard_directly_ms = Some(active_ms);
        self.probing_since_ms = None;
        if channel == Channel::Scheduled {
            self.arrivals.record(active_ms);
        }
    }

    /// Another member has heard it, so long ago.
    pub(crate) fn note_heard_by_others(&mut self, active_ms: u64, ago_ms: u64) {
        self.heard_ms = self.heard_ms.max(active_ms.saturating_sub(ago_ms));
    }

    /// The level of suspicion. A member without any heartbeat so far has a whole lease to send one.
    pub(crate) fn level(&self, active_ms: u64, timing: Timing, policy: &Policy) -> SuspicionLevel {
        self.level_of(active_ms.saturating_sub(self.heard_ms), timing, policy)
    }

    /// The level that a silence of this length would have.
    pub(crate) fn level_of(&self, silence_ms: u64, timing: Timing, policy: &Policy) -> SuspicionLevel {
        if self.heard_directly_ms.is_none() && silence_ms < timing.lease_ms {
            return SuspicionLevel(0);
        }
        policy.estimator.level(&self.arrivals, silence_ms, timing, policy)
    }
}
