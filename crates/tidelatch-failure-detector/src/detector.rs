//! The failure detector: it processes heartbeats and the passing of time, and returns events.

use crate::arbiter::RegistrationSource;
use crate::config::{ConfigFaults, Policy, Timing};
use crate::estimator::SuspicionLevel;
use crate::event::{ClearReason, Event};
use crate::local_health::LocalHealth;
use crate::member::{Member, MemberState, Suspicion};
use crate::message::{
    Claim, ClaimRejection, Heartbeat, HeartbeatTrigger, Incarnation, IncarnationId, MemberId, Opinion, Rejection,
};
use crate::registrations::{Timestamps, apply_registration};
use std::collections::BTreeMap;

/// The failure detector of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FailureDetector {
    own_id: MemberId,
    incarnation: Incarnation,
    sequence: u64,
    timing: Timing,
    policy: Policy,
    members: BTreeMap<MemberId, Member>,
    local_health: LocalHealth,
    /// Running time of this member since the detector was created, without its own pauses.
    active_ms: u64,
    last_update_ms: u64,
    /// Rotation offset for the next selection of members to probe through.
    probe_rotation: usize,
}

impl FailureDetector {
    /// Creates the detector of a member whose incarnation has just begun.
    ///
    /// # Errors
    ///
    /// Returns the invalid settings.
    pub fn new(
        own_id: MemberId,
        incarnation: IncarnationId,
        others: impl IntoIterator<Item = MemberId>,
        timing: Timing,
        policy: Policy,
        now_ms: u64,
    ) -> Result<Self, ConfigFaults> {
        policy.check(timing)?;
        let members = others.into_iter().filter(|other| *other != own_id);
        Ok(Self {
            incarnation: Incarnation {
                id: incarnation,
                refutation_count: 0,
            },
            sequence: 0,
            timing,
            policy,
            members: members
                .map(|name| (name, Member::new(policy.window_intervals)))
                .collect(),
            local_health: LocalHealth::new(policy.max_local_health_score),
            active_ms: 0,
            last_update_ms: now_ms,
            probe_rotation: 0,
            own_id,
        })
    }

    /// Starts a new incarnation of this member, after it has registered again.
    pub fn begin_incarnation(&mut self, incarnation: IncarnationId) {
        if self.incarnation.id != incarnation {
            self.incarnation = Incarnation {
                id: incarnation,
                refutation_count: 0,
            };
            self.sequence = 0;
        }
    }

    /// This member's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the state of another member, or `None` if there is no such member.
    pub fn state(&self, member: &MemberId) -> Option<MemberState> {
        self.members.get(member).map(|m| m.state)
    }

    /// The members that are suspected now.
    pub fn suspected(&self) -> impl Iterator<Item = &MemberId> {
        let suspected = self.members.iter().filter(|(_, m)| m.suspicion().is_some());
        suspected.map(|(name, _)| name)
    }

    /// Returns the suspicion level of a member as of the last call that passed in a time, or `None` if there is no such
    /// member.
    pub fn level(&self, member: &MemberId) -> Option<SuspicionLevel> {
        let member = self.members.get(member)?;
        Some(member.level(self.active_ms, self.timing, &self.policy))
    }

    /// Returns whether this member considers itself impaired.
    pub fn is_impaired(&self) -> bool {
        self.local_health.is_impaired()
    }

    /// Builds the heartbeat to send now. `probe` asks the receiver to contact a member.
    pub fn heartbeat(&mut self, now_ms: u64, probe: Option<MemberId>) -> Heartbeat {
        self.sequence += 1;
        let active_ms = self.active_ms + now_ms.saturating_sub(self.last_update_ms);
        let claims = self
            .members
            .iter()
            .filter_map(|(name, m)| build_claim(name, m, active_ms));
        Heartbeat {
            from: self.own_id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            claims: claims.collect(),
            probe,
        }
    }

    /// Processes a received heartbeat.
    ///
    /// # Errors
    ///
    /// Returns why the heartbeat is rejected as evidence. It does not count as contact with its sender then, and its
    /// claims are ignored. Time passes all the same if it is rejected because of its incarnation or sequence number;
    /// the events of this passing of time are not returned then.
    pub fn on_heartbeat(
        &mut self,
        now_ms: u64,
        trigger: HeartbeatTrigger,
        heartbeat: &Heartbeat,
    ) -> Result<Vec<Event>, Rejection> {
        self.check_heartbeat(heartbeat)?;
        let mut events = Vec::new();
        self.advance_clock(now_ms, &mut events);
        let Some(member) = self.members.get_mut(&heartbeat.from) else {
            return Err(Rejection::UnknownSender(heartbeat.from.clone()));
        };
        let was_confirmed = member.is_confirmed();
        let is_new_incarnation = member.accept_heartbeat(trigger, heartbeat, now_ms)?;
        member.record_contact(trigger, self.active_ms);
        if was_confirmed {
            member.state = MemberState::Alive;
            events.push(Event::Returned {
                member: heartbeat.from.clone(),
                incarnation: heartbeat.incarnation.id,
            });
        } else {
            let reason = if is_new_incarnation {
                ClearReason::NewIncarnation
            } else {
                ClearReason::Heard
            };
            self.count_heartbeat_and_clear(&heartbeat.from, reason, now_ms, &mut events);
        }
        self.recover_local_health(now_ms, &mut events);
        for claim in &heartbeat.claims {
            self.apply_claim(&heartbeat.from, claim, now_ms, &mut events);
        }
        Ok(events)
    }

    /// Processes a contact from a member whose version sends neither incarnations nor claims. Such a member is
    /// monitored by its contacts alone. A contact does not bring back a member that is confirmed as gone, because
    /// nothing shows which incarnation it comes from.
    pub fn on_contact(&mut self, now_ms: u64, from: &MemberId, trigger: HeartbeatTrigger) -> Vec<Event> {
        let mut events = Vec::new();
        self.advance_clock(now_ms, &mut events);
        let active_ms = self.active_ms;
        let Some(member) = self.members.get_mut(from) else {
            return events;
        };
        if !member.is_confirmed() {
            member.record_contact(trigger, active_ms);
            self.count_heartbeat_and_clear(from, ClearReason::Heard, now_ms, &mut events);
            self.recover_local_health(now_ms, &mut events);
        }
        events
    }

    /// Advances the time: suspects unresponsive members, and confirms suspected ones as gone where their
    /// registrations allow it.
    pub fn tick(&mut self, now_ms: u64, registrations: &impl RegistrationSource) -> Vec<Event> {
        let mut events = Vec::new();
        self.advance_clock(now_ms, &mut events);
        self.detect_unresponsive_members(now_ms, &mut events);
        let lease_ms = self.timing.lease_ms;
        let time = Timestamps {
            now_ms,
            active_ms: self.active_ms,
        };
        for (name, member) in &mut self.members {
            apply_registration(name, member, registrations, time, lease_ms, &mut events);
        }
        events
    }

    /// Makes the checks on a heartbeat that do not depend on earlier heartbeats of its sender.
    fn check_heartbeat(&self, heartbeat: &Heartbeat) -> Result<(), Rejection> {
        let from = &heartbeat.from;
        if *from == self.own_id {
            return Err(Rejection::OwnMessage);
        }
        if !self.members.contains_key(from) {
            return Err(Rejection::UnknownSender(from.clone()));
        }
        if heartbeat.incarnation.id == IncarnationId(0) {
            return Err(Rejection::MissingIncarnation(from.clone()));
        }
        let max_claims = self.members.len() + 1;
        if heartbeat.claims.len() > max_claims {
            return Err(Rejection::TooManyClaims {
                from: from.clone(),
                claims: heartbeat.claims.len(),
                max_claims,
            });
        }
        Ok(())
    }

    /// Adds the time since the last update to the running time. A step of more than one heartbeat interval is a pause
    /// of this member itself, during which it could not receive heartbeats, so it does not count as missing heartbeats
    /// of the others.
    fn advance_clock(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        let passed_ms = now_ms.saturating_sub(self.last_update_ms);
        self.last_update_ms = self.last_update_ms.max(now_ms);
        if passed_ms <= self.timing.heartbeat_ms {
            self.active_ms += passed_ms;
            return;
        }
        self.local_health.record_fault(now_ms);
        for member in self.members.values_mut() {
            member.arrivals.start_new_series();
        }
        events.push(Event::Impaired { paused_ms: passed_ms });
    }

    fn detect_unresponsive_members(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        let unresponsive: Vec<MemberId> = self
            .members
            .iter()
            .filter(|(_, m)| m.state == MemberState::Alive)
            .filter(|(_, m)| self.is_unresponsive(m))
            .map(|(name, _)| name.clone())
            .collect();
        self.record_fault_if_majority_unresponsive(unresponsive.len(), now_ms, events);
        for name in unresponsive {
            self.probe_or_suspect(&name, now_ms, events);
        }
    }

    /// A full lease without heartbeats is suspicious whatever the usual intervals were: after a slow period or a
    /// network partition, the member's window may tolerate more than that.
    fn is_unresponsive(&self, member: &Member) -> bool {
        let level = member.level(self.active_ms, self.timing, &self.policy);
        let since_heard_ms = self.active_ms.saturating_sub(member.last_contact_ms);
        level.0 >= self.policy.threshold_milliphi || since_heard_ms >= self.timing.lease_ms
    }

    /// Adds a point to the local-health score if more than half of the other members became unresponsive together: this
    /// member itself may be cut off.
    fn record_fault_if_majority_unresponsive(&mut self, unresponsive: usize, now_ms: u64, events: &mut Vec<Event>) {
        let others = self.members.values().filter(|m| !m.is_confirmed()).count();
        let is_majority_unresponsive = others > 1 && unresponsive * 2 > others;
        if is_majority_unresponsive && self.local_health.is_settled(now_ms, self.timing.heartbeat_ms) {
            if !self.local_health.is_impaired() {
                events.push(Event::Impaired { paused_ms: 0 });
            }
            self.local_health.record_fault(now_ms);
        }
    }

    /// Handles a member above the threshold: asks others to probe it first, and suspects it if no answer arrives in
    /// time.
    fn probe_or_suspect(&mut self, name: &MemberId, now_ms: u64, events: &mut Vec<Event>) {
        let helpers = self.select_probe_helpers(name);
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let active_ms = self.active_ms;
        let level = member.level(active_ms, self.timing, &self.policy);
        let Some(probing_since_ms) = member.probing_since_ms else {
            member.probing_since_ms = Some(active_ms);
            if !helpers.is_empty() {
                events.push(Event::ProbeWanted {
                    target: name.clone(),
                    helpers,
                });
            }
            return;
        };
        let wait_ms = self
            .policy
            .scale_permille(self.timing.heartbeat_ms, self.policy.probe_wait_permille);
        let since_heard_ms = active_ms.saturating_sub(member.last_contact_ms);
        // An impaired detector waits for a multiple of the usual time without heartbeats, but a full lease is always
        // enough.
        let scaled_silence_ms = since_heard_ms / self.local_health.silence_multiplier();
        let scaled_level = member.level_for_silence(scaled_silence_ms, self.timing, &self.policy);
        let is_above_threshold =
            scaled_level.0 >= self.policy.threshold_milliphi || since_heard_ms >= self.timing.lease_ms;
        if active_ms < probing_since_ms + wait_ms || !is_above_threshold {
            return;
        }
        let suspicion = Suspicion {
            incarnation: member.incarnation.map(|i| i.id),
            refutation_count: member.incarnation.map_or(0, |i| i.refutation_count),
            since_ms: now_ms,
            level,
        };
        member.state = MemberState::Suspected(suspicion);
        member.probing_since_ms = None;
        member.heartbeats_since_suspicion = 0;
        member.arrivals.start_new_series();
        events.push(Event::Suspected {
            member: name.clone(),
            suspicion,
            since_heard_directly_ms: active_ms.saturating_sub(member.last_direct_contact_ms.unwrap_or(0)),
        });
    }

    /// Selects the members through which an unresponsive member is probed. They rotate from call to call.
    fn select_probe_helpers(&mut self, target: &MemberId) -> Vec<MemberId> {
        let is_eligible = |name: &&MemberId| {
            *name != target && self.members.get(*name).is_some_and(|m| m.state == MemberState::Alive)
        };
        let candidates: Vec<MemberId> = self.members.keys().filter(is_eligible).cloned().collect();
        let start = self.probe_rotation;
        self.probe_rotation = self.probe_rotation.wrapping_add(1);
        let rotated = candidates.iter().cycle().skip(start % candidates.len().max(1));
        rotated
            .take(self.policy.probe_helpers.min(candidates.len()))
            .cloned()
            .collect()
    }

    /// A member was heard: reduces the local-health score, and reports when this member is no longer impaired.
    fn recover_local_health(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        if self.local_health.is_impaired() {
            self.local_health.record_contact(now_ms, self.timing.heartbeat_ms);
            if !self.local_health.is_impaired() {
                events.push(Event::Recovered);
            }
        }
    }

    /// Counts a heartbeat of a suspected member and clears the suspicion. This takes one heartbeat, or more if the
    /// member has been flapping. A new incarnation always clears it.
    fn count_heartbeat_and_clear(
        &mut self,
        name: &MemberId,
        reason: ClearReason,
        now_ms: u64,
        events: &mut Vec<Event>,
    ) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if member.suspicion().is_none() {
            return;
        }
        member.heartbeats_since_suspicion += 1;
        let needed = member
            .flap_penalty
            .heartbeats_to_clear(now_ms, self.timing, &self.policy);
        if reason == ClearReason::NewIncarnation || member.heartbeats_since_suspicion >= needed {
            self.clear_suspicion(name, reason, now_ms, events);
        }
    }

    fn clear_suspicion(&mut self, name: &MemberId, reason: ClearReason, now_ms: u64, events: &mut Vec<Event>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let Some(suspicion) = member.suspicion() else { return };
        member.flap_penalty.record_flap(now_ms, self.timing, &self.policy);
        member.state = MemberState::Alive;
        member.last_contact_ms = self.active_ms;
        events.push(Event::Cleared {
            member: name.clone(),
            reason,
            suspected_for_ms: now_ms.saturating_sub(suspicion.since_ms),
        });
    }

    /// Applies a claim of another member about a third one, or about this one.
    fn apply_claim(&mut self, from: &MemberId, claim: &Claim, now_ms: u64, events: &mut Vec<Event>) {
        if claim.member == self.own_id {
            self.refute_suspicion(from, claim, events);
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
        let is_newer = member.raise_refutation_count(claim.incarnation.refutation_count);
        match member.state {
            MemberState::Alive => member.record_indirect_contact(active_ms, claim.heard_ago_ms),
            // Only a refutation of this very suspicion clears it: that others heard the member may be outdated by now.
            MemberState::Suspected(suspicion)
                if is_newer && claim.incarnation.refutation_count > suspicion.refutation_count =>
            {
                self.clear_suspicion(&claim.member, ClearReason::Refuted, now_ms, events);
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
            Some(known) if known.id == claim.incarnation.id && !member.is_confirmed() => Ok(()),
            _ => Err(ClaimRejection::OtherIncarnation),
        }
    }

    /// Refutes a suspicion of this member's current incarnation: its heartbeats carry a higher refutation count from
    /// now on.
    fn refute_suspicion(&mut self, from: &MemberId, claim: &Claim, events: &mut Vec<Event>) {
        let own = self.incarnation;
        let suspected = claim.opinion == Opinion::Suspected && claim.incarnation.id == own.id;
        if suspected && claim.incarnation.refutation_count >= own.refutation_count {
            let refutation_count = claim.incarnation.refutation_count.saturating_add(1);
            self.incarnation.refutation_count = refutation_count;
            events.push(Event::SuspicionRefuted {
                suspected_by: from.clone(),
                refutation_count,
            });
        }
    }
}

/// Builds the claim about a member that goes into heartbeats. Returns `None` for a member that was never heard, or that
/// is confirmed as gone.
fn build_claim(name: &MemberId, member: &Member, active_ms: u64) -> Option<Claim> {
    let opinion = match member.state {
        MemberState::Alive => Opinion::Alive,
        MemberState::Suspected(_) => Opinion::Suspected,
        MemberState::Confirmed(_) => return None,
    };
    Some(Claim {
        member: name.clone(),
        incarnation: member.incarnation?,
        opinion,
        heard_ago_ms: active_ms.saturating_sub(member.last_direct_contact_ms?),
    })
}
