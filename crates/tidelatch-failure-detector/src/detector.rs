//! The detector: takes heartbeats and the passing of time, and tells what has changed.

use crate::arbiter::Arbiter;
use crate::config::{ConfigFaults, Policy, Timing};
use crate::estimator::SuspicionLevel;
use crate::event::{Cleared, Event};
use crate::local_health::LocalHealth;
use crate::member::{Member, MemberState, Suspicion};
use crate::message::{Channel, Claim, ClaimRejection, Heartbeat, Incarnation, Life, MemberId, Opinion, Rejection};
use crate::registrations::{Moment, take_registration};
use std::collections::BTreeMap;

/// The failure detector of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FailureDetector {
    me: MemberId,
    incarnation: Incarnation,
    sequence: u64,
    timing: Timing,
    policy: Policy,
    members: BTreeMap<MemberId, Member>,
    health: LocalHealth,
    /// Time in which this member ran, since it began.
    active_ms: u64,
    last_step_ms: u64,
    /// Where the next choice of members to probe through begins.
    next_probe: usize,
}

impl FailureDetector {
    /// The detector of a member that has just begun a life.
    ///
    /// # Errors
    ///
    /// The settings that are impossible.
    pub fn new(
        me: MemberId,
        life: Life,
        others: impl IntoIterator<Item = MemberId>,
        timing: Timing,
        policy: Policy,
        now_ms: u64,
    ) -> Result<Self, ConfigFaults> {
        policy.check(timing)?;
        let members = others.into_iter().filter(|other| *other != me);
        Ok(Self {
            incarnation: Incarnation { life, refutation: 0 },
            sequence: 0,
            timing,
            policy,
            members: members.map(|name| (name, Member::new(policy.window))).collect(),
            health: LocalHealth::new(policy.local_health_most),
            active_ms: 0,
            last_step_ms: now_ms,
            next_probe: 0,
            me,
        })
    }

    /// This member has begun another life with the arbiter.
    pub fn begin_life(&mut self, life: Life) {
        if self.incarnation.life != life {
            self.incarnation = Incarnation { life, refutation: 0 };
            self.sequence = 0;
        }
    }

    /// This member's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// How another member stands; none: it is no member.
    pub fn state(&self, member: &MemberId) -> Option<MemberState> {
        self.members.get(member).map(|m| m.state)
    }

    /// The members that are suspected now.
    pub fn suspected(&self) -> impl Iterator<Item = &MemberId> {
        let suspected = self.members.iter().filter(|(_, m)| m.suspicion().is_some());
        suspected.map(|(name, _)| name)
    }

    /// The level of suspicion against a member, as of the last step.
    pub fn level(&self, member: &MemberId) -> Option<SuspicionLevel> {
        let member = self.members.get(member)?;
        Some(member.level(self.active_ms, self.timing, &self.policy))
    }

    /// Whether this member holds itself to be at fault.
    pub fn is_impaired(&self) -> bool {
        self.health.is_impaired()
    }

    /// The heartbeat to be sent now; `probe` asks its receiver to contact a member.
    pub fn heartbeat(&mut self, now_ms: u64, probe: Option<MemberId>) -> Heartbeat {
        self.sequence += 1;
        let active_ms = self.active_ms + now_ms.saturating_sub(self.last_step_ms);
        let claims = self.members.iter().filter_map(|(name, m)| claim(name, m, active_ms));
        Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            claims: claims.collect(),
            probe,
        }
    }

    /// A heartbeat has arrived.
    ///
    /// # Errors
    ///
    /// Why it counts as no evidence. It has changed nothing then.
    pub fn on_heartbeat(
        &mut self,
        now_ms: u64,
        channel: Channel,
        heartbeat: &Heartbeat,
    ) -> Result<Vec<Event>, Rejection> {
        self.check(heartbeat)?;
        let mut events = Vec::new();
        self.pass_time(now_ms, &mut events);
        let Some(member) = self.members.get_mut(&heartbeat.from) else {
            return Err(Rejection::UnknownSender(heartbeat.from.clone()));
        };
        let was_confirmed = member.is_confirmed();
        let new_life = member.admit(channel, heartbeat, now_ms)?;
        member.note_heard(channel, self.active_ms);
        if was_confirmed {
            member.state = MemberState::Alive;
            events.push(Event::Returned {
                member: heartbeat.from.clone(),
                life: heartbeat.incarnation.life,
            });
        } else {
            let by = if new_life { Cleared::NewLife } else { Cleared::Heard };
            self.clear_if_steady(&heartbeat.from, by, now_ms, &mut events);
        }
        self.trust_own_observations(now_ms, &mut events);
        for claim in &heartbeat.claims {
            self.take_claim(&heartbeat.from, claim, now_ms, &mut events);
        }
        Ok(events)
    }

    /// A member was heard whose version tells no life and sends no claims: it is judged by that alone. It does not
    /// bring back a member that is confirmed as gone, for nothing says which life it is from.
    pub fn on_contact(&mut self, now_ms: u64, from: &MemberId, channel: Channel) -> Vec<Event> {
        let mut events = Vec::new();
        self.pass_time(now_ms, &mut events);
        let active_ms = self.active_ms;
        let Some(member) = self.members.get_mut(from) else {
            return events;
        };
        if !member.is_confirmed() {
            member.note_heard(channel, active_ms);
            self.clear_if_steady(from, Cleared::Heard, now_ms, &mut events);
            self.trust_own_observations(now_ms, &mut events);
        }
        events
    }

    /// Time has passed: suspects who is silent, and gives the verdicts that the arbiter's facts allow.
    pub fn tick(&mut self, now_ms: u64, arbiter: &impl Arbiter) -> Vec<Event> {
        let mut events = Vec::new();
        self.pass_time(now_ms, &mut events);
        self.judge_silence(now_ms, &mut events);
        let lease_ms = self.timing.lease_ms;
        let at = Moment {
            now_ms,
            active_ms: self.active_ms,
        };
        for (name, member) in &mut self.members {
            take_registration(name, member, arbiter, at, lease_ms, &mut events);
        }
        events
    }

    /// Checks all of a heartbeat that does not depend on what its sender has sent before.
    fn check(&self, heartbeat: &Heartbeat) -> Result<(), Rejection> {
        let from = &heartbeat.from;
        if *from == self.me {
            return Err(Rejection::OwnMessage);
        }
        if !self.members.contains_key(from) {
            return Err(Rejection::UnknownSender(from.clone()));
        }
        if heartbeat.incarnation.life == Life(0) {
            return Err(Rejection::NoLife(from.clone()));
        }
        let most = self.members.len() + 1;
        if heartbeat.claims.len() > most {
            return Err(Rejection::Oversized {
                from: from.clone(),
                claims: heartbeat.claims.len(),
                most,
            });
        }
        Ok(())
    }

    /// Counts the time since the last step. What is more than a heartbeat interval is a pause of this member's own,
    /// in which it could have heard nobody: it is no silence of theirs.
    fn pass_time(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        let passed_ms = now_ms.saturating_sub(self.last_step_ms);
        self.last_step_ms = self.last_step_ms.max(now_ms);
        if passed_ms <= self.timing.heartbeat_ms {
            self.active_ms += passed_ms;
            return;
        }
        self.health.worsen(now_ms);
        for member in self.members.values_mut() {
            member.arrivals.interrupt();
        }
        events.push(Event::Impaired { paused_ms: passed_ms });
    }

    fn judge_silence(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        let silent: Vec<MemberId> = self
            .members
            .iter()
            .filter(|(_, m)| m.state == MemberState::Alive)
            .filter(|(_, m)| self.is_silent(m))
            .map(|(name, _)| name.clone())
            .collect();
        self.doubt_own_observations(silent.len(), now_ms, events);
        for name in silent {
            self.judge_member(&name, now_ms, events);
        }
    }

    /// A lease's silence is suspect whatever the intervals were: a member that was slow once, or cut off, may have a
    /// window that forgives more than that.
    fn is_silent(&self, member: &Member) -> bool {
        let level = member.level(self.active_ms, self.timing, &self.policy);
        let silent_ms = self.active_ms.saturating_sub(member.heard_ms);
        level.0 >= self.policy.threshold_milliphi || silent_ms >= self.timing.lease_ms
    }

    /// More than half of the others fell silent together: this member may be the one that is cut off.
    fn doubt_own_observations(&mut self, silent: usize, now_ms: u64, events: &mut Vec<Event>) {
        let others = self.members.values().filter(|m| !m.is_confirmed()).count();
        let almost_nobody = others > 1 && silent * 2 > others;
        if almost_nobody && self.health.settled(now_ms, self.timing.heartbeat_ms) {
            if !self.health.is_impaired() {
                events.push(Event::Impaired { paused_ms: 0 });
            }
            self.health.worsen(now_ms);
        }
    }

    /// A member is past the threshold: it is probed through others first, and suspected if that brings nothing.
    fn judge_member(&mut self, name: &MemberId, now_ms: u64, events: &mut Vec<Event>) {
        let through = self.choose_probes(name);
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let active_ms = self.active_ms;
        let level = member.level(active_ms, self.timing, &self.policy);
        let Some(probing_since_ms) = member.probing_since_ms else {
            member.probing_since_ms = Some(active_ms);
            if !through.is_empty() {
                events.push(Event::ProbeWanted {
                    target: name.clone(),
                    through,
                });
            }
            return;
        };
        let wait_ms = self
            .policy
            .scaled(self.timing.heartbeat_ms, self.policy.probe_wait_permille);
        let silent_ms = active_ms.saturating_sub(member.heard_ms);
        // Whoever doubts itself waits for a multiple of the silence; a whole lease is suspect all the same.
        let discounted_ms = silent_ms / self.health.factor();
        let discounted = member.level_of(discounted_ms, self.timing, &self.policy);
        let beyond_doubt = discounted.0 >= self.policy.threshold_milliphi || silent_ms >= self.timing.lease_ms;
        if active_ms < probing_since_ms + wait_ms || !beyond_doubt {
            return;
        }
        let suspicion = Suspicion {
            life: member.incarnation.map(|i| i.life),
            refutation: member.incarnation.map_or(0, |i| i.refutation),
            since_ms: now_ms,
            level,
        };
        member.state = MemberState::Suspected(suspicion);
        member.probing_since_ms = None;
        member.heartbeats_since_suspicion = 0;
        member.arrivals.interrupt();
        events.push(Event::Suspected {
            member: name.clone(),
            suspicion,
            silent_ms: active_ms.saturating_sub(member.heard_directly_ms.unwrap_or(0)),
        });
    }

    /// The members through which a silent one is probed, in turn.
    fn choose_probes(&mut self, target: &MemberId) -> Vec<MemberId> {
        let eligible = |name: &&MemberId| {
            *name != target && self.members.get(*name).is_some_and(|m| m.state == MemberState::Alive)
        };
        let candidates: Vec<MemberId> = self.members.keys().filter(eligible).cloned().collect();
        let start = self.next_probe;
        self.next_probe = self.next_probe.wrapping_add(1);
        let in_turn = candidates.iter().cycle().skip(start % candidates.len().max(1));
        in_turn
            .take(self.policy.probes.min(candidates.len()))
            .cloned()
            .collect()
    }

    /// Somebody was heard: this member doubts itself a little less.
    fn trust_own_observations(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        if self.health.is_impaired() {
            self.health.improve(now_ms, self.timing.heartbeat_ms);
            if !self.health.is_impaired() {
                events.push(Event::Recovered);
            }
        }
    }

    /// A suspected member was heard itself: the suspicion ends, at once unless it flaps.
    fn clear_if_steady(&mut self, name: &MemberId, by: Cleared, now_ms: u64, events: &mut Vec<Event>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.suspicion().is_none() {
            return;
        }
        member.heartbeats_since_suspicion += 1;
        let needed = member.flaps.heartbeats_to_clear(now_ms, self.timing, &self.policy);
        if by == Cleared::NewLife || member.heartbeats_since_suspicion >= needed {
            self.clear(name, by, now_ms, events);
        }
    }

    fn clear(&mut self, name: &MemberId, by: Cleared, now_ms: u64, events: &mut Vec<Event>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let Some(suspicion) = member.suspicion() else { return };
        member.flaps.count(now_ms, self.timing, &self.policy);
        member.state = MemberState::Alive;
        member.heard_ms = self.active_ms;
        events.push(Event::Cleared {
            member: name.clone(),
            by,
            suspected_for_ms: now_ms.saturating_sub(suspicion.since_ms),
        });
    }

    /// Takes what another member tells of a third, or of this one.
    fn take_claim(&mut self, from: &MemberId, claim: &Claim, now_ms: u64, events: &mut Vec<Event>) {
        if claim.member == self.me {
            self.refute(from, claim, events);
            return;
        }
        if let Err(reason) = self.check_claim(from, claim) {
            events.push(Event::ClaimIgnored {
                from: from.clone(),
                about: claim.member.clone(),
                reason,
            });
            return;
        }
        let active_ms = self.active_ms;
        let Some(member) = self.members.get_mut(&claim.member) else {
            return;
        };
        let newer = member.raise_refutation(claim.incarnation.refutation);
        match member.state {
            MemberState::Alive => member.note_heard_by_others(active_ms, claim.heard_ago_ms),
            // How long ago it was heard may be old news by now; a refutation of this very suspicion is not.
            MemberState::Suspected(suspicion) if newer && claim.incarnation.refutation > suspicion.refutation => {
                self.clear(&claim.member, Cleared::Refuted, now_ms, events);
            }
            MemberState::Suspected(_) | MemberState::Confirmed(_) => {}
        }
    }

    fn check_claim(&self, from: &MemberId, claim: &Claim) -> Result<(), ClaimRejection> {
        if claim.member == *from {
            return Err(ClaimRejection::AboutSender);
        }
        let member = self.members.get(&claim.member).ok_or(ClaimRejection::UnknownMember)?;
        match member.incarnation {
            Some(known) if known.life == claim.incarnation.life && !member.is_confirmed() => Ok(()),
            _ => Err(ClaimRejection::OtherLife),
        }
    }

    /// Others suspect this member's present incarnation: it shows that it lives by a higher refutation.
    fn refute(&mut self, from: &MemberId, claim: &Claim, events: &mut Vec<Event>) {
        let own = self.incarnation;
        let suspected = claim.opinion == Opinion::Suspected && claim.incarnation.life == own.life;
        if suspected && claim.incarnation.refutation >= own.refutation {
            let refutation = claim.incarnation.refutation.saturating_add(1);
            self.incarnation.refutation = refutation;
            events.push(Event::RefutedOwn {
                suspected_by: from.clone(),
                refutation,
            });
        }
    }
}

/// What is told of a member to the others; nothing of one that was never heard, or is gone.
fn claim(name: &MemberId, member: &Member, active_ms: u64) -> Option<Claim> {
    let opinion = match member.state {
        MemberState::Alive => Opinion::Alive,
        MemberState::Suspected(_) => Opinion::Suspected,
        MemberState::Confirmed(_) => return None,
    };
    Some(Claim {
        member: name.clone(),
        incarnation: member.incarnation?,
        opinion,
        heard_ago_ms: active_ms.saturating_sub(member.heard_directly_ms?),
    })
}
