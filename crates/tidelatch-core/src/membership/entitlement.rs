//! Whether this controller may act: its lease, and the grants of its peers.

use super::lease_trouble::LeaseFailure;
use super::{Grant, Peer};
use crate::controller::Controller;
use crate::ids::{ControllerId, Incarnation};
use crate::messages::Level;
use crate::protocol::Granted;

impl Controller {
    /// Whether this controller may act now: inside its lease, or under the grants of all peers.
    pub fn entitled(&self) -> bool {
        self.entitled_at(self.now.ms)
    }

    /// How long this controller may act yet.
    pub(crate) fn entitlement_left_ms(&self) -> u64 {
        let until = self.member.entitled_until.max(self.granted_until());
        until.saturating_sub(self.now.ms)
    }

    /// A peer within reach that was entitled to act when it was last heard: of several, one after the other.
    pub(crate) fn entitled_peer(&self) -> Option<ControllerId> {
        let entitled = |(name, peer): &(&ControllerId, &Peer)| peer.entitled && self.reachable(name);
        let peers: Vec<&ControllerId> = self
            .member
            .peers
            .iter()
            .filter(entitled)
            .map(|(name, _)| name)
            .collect();
        let turn = self.next_call_number() as usize % peers.len().max(1);
        peers.get(turn).map(|name| (*name).clone())
    }

    pub(super) fn entitled_at(&self, now: u64) -> bool {
        self.member.permit.is_some() && now < self.member.entitled_until.max(self.granted_until())
    }

    /// The time up to which every peer has granted to leave the membership as it is.
    ///
    /// One of them at least has to come from a life that has read the store: those that have ended since then
    /// may have told users of cancellations that nobody else knows.
    pub(super) fn granted_until(&self) -> u64 {
        let siblings = &self.settings.platform.siblings;
        let grant = |name: &str| self.member.grants.get(&ControllerId::new(name)).copied();
        let grants: Option<Vec<Grant>> = siblings.iter().map(|s| grant(&s.host_name)).collect();
        let grants = grants.unwrap_or_default();
        let read = grants.iter().filter(|g| !g.unread).map(|g| g.until).max();
        let all = grants.iter().map(|g| g.until).min();
        all.zip(read).map_or(0, |(all, read)| all.min(read))
    }

    /// Whether the peers should be asked for grants: only they can say whether this is an outage.
    pub(crate) fn wants_grants(&self) -> bool {
        self.member.extend_failed && self.entitled()
    }

    /// Gives a grant, if this controller is not served either. One that is served refuses: whoever
    /// asked is then alone, and steps down at the end of its lease.
    pub(crate) fn give_grant(&mut self) -> bool {
        if !self.member.unserved {
            return false;
        }
        let until = self.now.ms + self.settings.lease_ms();
        self.member.grants_given_until = self.member.grants_given_until.max(until);
        true
    }

    /// A peer has answered a request for its grant that was sent at `sent`.
    ///
    /// It counts from the sending, and only if it comes while this controller is still entitled: so
    /// there is no moment between its lease and the grants in which others could have moved on.
    pub(crate) fn note_grant(&mut self, from: &ControllerId, sent: u64, unread: bool) {
        if self.entitled() {
            let until = sent + self.settings.entitlement_ms();
            if self.now.ms >= self.member.entitled_until.saturating_sub(self.settings.lease_ms() / 4) {
                self.log(Level::Debug, format!("{from} grants to leave the membership as it is"));
            }
            self.member.grants.insert(from.clone(), Grant { until, unread });
        }
    }

    /// Whether this controller relies, or may come to rely, on a grant of a peer's.
    pub(crate) fn relies_on(&self, peer: &ControllerId) -> bool {
        let given = self.member.grants.get(peer).is_some_and(|g| self.now.ms < g.until);
        given || self.member.peers.get(peer).is_some_and(|p| p.asked_grant)
    }

    pub(crate) fn note_reliance(&mut self, peer: &ControllerId, relies: bool) {
        if relies {
            self.member.cleared.remove(peer);
        } else {
            self.member.cleared.insert(peer.clone());
        }
    }

    /// Healthy in the balancer's eyes. A node that alone lost the state service should leave; in a
    /// general outage all stay, since each removal costs a pause that doubles.
    pub(crate) fn takes_requests(&self) -> bool {
        if self.entitled() {
            return self.member.ledger > 0;
        }
        let recently = 2 * self.settings.report_ms();
        let heard = |p: &&Peer| p.heard.is_some_and(|t| self.now.ms.saturating_sub(t) < recently);
        let mut peers = self.member.peers.values().filter(heard).peekable();
        // Whoever hears neither the state service nor any peer is cut off from them: the cut is here.
        let alone = peers.peek().is_none() && !self.settings.platform.siblings.is_empty();
        self.member.was_entitled && self.member.permit.is_some() && !alone && !peers.any(|p| p.entitled)
    }

    pub(crate) fn on_lease_new(&mut self, sent: u64, result: Option<(u16, Vec<u8>)>) {
        self.member.leasing = false;
        let failure = LeaseFailure::of(result.as_ref());
        let granted = match result {
            Some((200, body)) => serde_json::from_slice::<Granted>(&body).ok(),
            _ => None,
        };
        match granted {
            Some(g) => {
                self.member.unserved = false;
                self.member.permit = Some(g.permit);
                self.member.extended_at = sent;
                self.member.entitled_until = sent + self.settings.entitlement_ms();
                self.member.lease_since = sent;
                self.clear_lease_trouble();
                self.note_served(sent);
                self.member.written = None;
                self.member.was_entitled = true;
                let inc = self.member.inc;
                self.log(Level::Info, format!("lease taken, life {inc}"));
                self.tick_membership();
            }
            None => {
                self.member.unserved = true;
                self.note_lease_failure(failure);
                self.back_off();
            }
        }
    }

    pub(crate) fn on_lease_extend(&mut self, sent: u64, permit: u64, result: Option<(u16, Vec<u8>)>) {
        self.member.extending = false;
        if self.member.permit != Some(permit) {
            return;
        }
        let failure = LeaseFailure::of(result.as_ref());
        match result {
            Some((200, _)) => {
                let until = sent + self.settings.entitlement_ms();
                self.member.unserved = false;
                // An answer that lay in this process's buffers may be about a lease that is over by now.
                if !self.entitled() && self.now.ms < until {
                    let history = self.lease_history();
                    self.log(
                        Level::Info,
                        format!("lease extended again after a gap: acting again; {history}"),
                    );
                }
                if self.now.ms < until {
                    self.clear_lease_trouble();
                }
                self.member.lease_since = self.member.lease_since.max(sent);
                self.member.entitled_until = self.member.entitled_until.max(until);
                self.note_served(sent);
                if std::mem::take(&mut self.member.extend_failed) && self.member.listed {
                    // The way is open again: a watch that went out before may never answer.
                    self.watch();
                }
            }
            Some((404, _)) => self.lose_lease(),
            _ => {
                self.member.extend_failed = true;
                self.member.unserved = true;
                // Try again soon: an extension that failed is worth more than a quiet line.
                let soon = self.settings.report_ms() / 4;
                self.member.extended_at = (self.now.ms + soon).saturating_sub(self.settings.lease_ms() / 4);
                self.note_lease_failure(failure);
            }
        }
    }

    /// The lease has ended: all that was owned belongs to others from now on. The controller comes
    /// back as a new life, so that nothing of the old one counts for it.
    pub(super) fn lose_lease(&mut self) {
        let history = self.lease_history();
        self.log(
            Level::Error,
            format!("lease lost: stepping down from all partitions and joining anew; {history}"),
        );
        self.clear_lease_trouble();
        self.member.permit = None;
        self.member.entitled_until = 0;
        self.member.grants.clear();
        self.member.unserved = false;
        self.member.inc = Incarnation(self.member.inc.0 + 1);
        self.detect_as(self.member.inc);
        self.forget_wishes();
        self.member.written = None;
        self.member.retry_at = self.now.ms;
        // The lease was lost behind some cut: so may be the watch.
        self.member.watching = false;
        self.member.extend_failed = false;
        for partition in std::mem::take(&mut self.tenures).into_keys() {
            self.reset_partition(partition);
        }
    }

    pub(crate) fn note_peer(&mut self, name: &ControllerId, reachable: bool, entitled: bool) {
        let now = self.now.ms;
        let peer = self.member.peers.entry(name.clone()).or_default();
        peer.asking = false;
        peer.asked_grant = false;
        peer.reachable = reachable;
        if reachable {
            peer.heard = Some(now);
            peer.entitled = entitled;
        }
    }

    /// An answer of a peer came too late to say how it stands: it is asked again with the next tick.
    pub(crate) fn ask_peer_again(&mut self, name: &ControllerId) {
        let peer = self.member.peers.entry(name.clone()).or_default();
        peer.asking = false;
        peer.asked_grant = false;
        peer.asked = 0;
    }

    pub(crate) fn reachable(&self, name: &ControllerId) -> bool {
        let recently = 2 * self.settings.report_ms();
        self.member
            .peers
            .get(name)
            .is_some_and(|p| p.reachable && p.heard.is_some_and(|t| self.now.ms.saturating_sub(t) < recently))
    }
}
