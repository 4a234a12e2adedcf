//! Entitlement: whether this controller may act, by its lease or by the grants of its peers.

use super::lease_failures::LeaseFailure;
use super::{Grant, PeerStatus};
use crate::controller::Controller;
use crate::ids::{ControllerId, Incarnation};
use crate::messages::Level;
use crate::protocol::Granted;

impl Controller {
    /// Whether this controller may act now, within its lease or under unexpired grants of all peers.
    pub fn is_entitled(&self) -> bool {
        self.is_entitled_at(self.now.ms)
    }

    /// Milliseconds until this controller's entitlement to act expires.
    pub(crate) fn remaining_entitlement_ms(&self) -> u64 {
        let until = self
            .membership
            .entitled_by_lease_until_ms
            .max(self.all_grants_until_ms());
        until.saturating_sub(self.now.ms)
    }

    /// A reachable peer that was entitled to act when it was last heard from. Successive calls rotate among several.
    pub(crate) fn next_entitled_peer(&self) -> Option<ControllerId> {
        let entitled = |(name, peer): &(&ControllerId, &PeerStatus)| peer.is_entitled && self.is_reachable(name);
        let peers: Vec<&ControllerId> = self
            .membership
            .peers
            .iter()
            .filter(entitled)
            .map(|(name, _)| name)
            .collect();
        let next = self.peek_next_call_id() as usize % peers.len().max(1);
        peers.get(next).map(|name| (*name).clone())
    }

    pub(super) fn is_entitled_at(&self, now: u64) -> bool {
        self.membership.lease_id.is_some()
            && now
                < self
                    .membership
                    .entitled_by_lease_until_ms
                    .max(self.all_grants_until_ms())
    }

    /// Time until which every peer has promised not to change the membership; 0: a grant is missing.
    ///
    /// At least one of the grants must come from an incarnation that has read the state service: incarnations that have
    /// ended may have confirmed cancellations to users, and one that has not read it does not know of them.
    pub(super) fn all_grants_until_ms(&self) -> u64 {
        let siblings = &self.settings.platform.siblings;
        let grant = |name: &str| self.membership.received_grants.get(&ControllerId::new(name)).copied();
        let grants: Option<Vec<Grant>> = siblings.iter().map(|s| grant(&s.host_name)).collect();
        let grants = grants.unwrap_or_default();
        let read = grants
            .iter()
            .filter(|g| !g.granter_has_not_read_state)
            .map(|g| g.valid_until_ms)
            .max();
        let all = grants.iter().map(|g| g.valid_until_ms).min();
        all.zip(read).map_or(0, |(all, read)| all.min(read))
    }

    /// Whether to request grants from the peers. Only the peers can tell an outage of the state service from
    /// a failure that affects this controller alone.
    pub(crate) fn should_request_grants(&self) -> bool {
        self.membership.has_extension_failed && self.is_entitled()
    }

    /// Gives a grant if the state service does not serve this controller either. A controller that is served
    /// refuses: the failure then affects only the requester, which steps down when its lease expires.
    pub(crate) fn try_give_grant(&mut self) -> bool {
        if !self.membership.has_lease_call_failed {
            return false;
        }
        let until = self.now.ms + self.settings.lease_ms();
        self.membership.given_grants_until_ms = self.membership.given_grants_until_ms.max(until);
        true
    }

    /// Records a peer's grant; the request for it was sent at `sent`.
    ///
    /// The grant's validity starts when the request was sent, and the grant counts only if it arrives while
    /// this controller is still entitled. So there is no gap between the lease and the grants in which other
    /// controllers could have changed the membership.
    pub(crate) fn record_grant(&mut self, from: &ControllerId, sent: u64, granter_has_not_read_state: bool) {
        if self.is_entitled() {
            let valid_until_ms = sent + self.settings.entitlement_ms();
            // Logged only from a quarter of the lease before the entitlement by the lease ends.
            if self.now.ms
                >= self
                    .membership
                    .entitled_by_lease_until_ms
                    .saturating_sub(self.settings.lease_ms() / 4)
            {
                self.log(
                    Level::Debug,
                    format!("grant received: {from} promises not to change the membership"),
                );
            }
            self.membership.received_grants.insert(
                from.clone(),
                Grant {
                    valid_until_ms,
                    granter_has_not_read_state,
                },
            );
        }
    }

    /// Whether this controller holds an unexpired grant of a peer, or has an unanswered request for one.
    pub(crate) fn relies_on_grant_of(&self, peer: &ControllerId) -> bool {
        let holds_grant = self
            .membership
            .received_grants
            .get(peer)
            .is_some_and(|g| self.now.ms < g.valid_until_ms);
        holds_grant || self.membership.peers.get(peer).is_some_and(|p| p.awaits_grant)
    }

    /// Records whether a peer relies on a grant that this controller, or an earlier incarnation of it, gave.
    pub(crate) fn record_reliance(&mut self, peer: &ControllerId, relies_on_grant: bool) {
        if relies_on_grant {
            self.membership.peers_relying_on_no_grant.remove(peer);
        } else {
            self.membership.peers_relying_on_no_grant.insert(peer.clone());
        }
    }

    /// Whether the load balancer's health check succeeds. A controller that alone cannot reach the state
    /// service should be removed. In a general outage all controllers stay, because the load balancer
    /// doubles the time for which it leaves out a removed controller.
    pub(crate) fn accepts_requests(&self) -> bool {
        if self.is_entitled() {
            return self.membership.revision > 0;
        }
        let recent_ms = 2 * self.settings.report_ms();
        let heard = |p: &&PeerStatus| {
            p.last_heard_ms
                .is_some_and(|t| self.now.ms.saturating_sub(t) < recent_ms)
        };
        let mut peers = self.membership.peers.values().filter(heard).peekable();
        // A controller that reaches neither the state service nor any peer has lost its own network connection.
        let is_isolated = peers.peek().is_none() && !self.settings.platform.siblings.is_empty();
        self.membership.has_been_entitled
            && self.membership.lease_id.is_some()
            && !is_isolated
            && !peers.any(|p| p.is_entitled)
    }

    /// Handles the reply to a request for a new lease, which was sent at `sent`.
    pub(crate) fn on_new_lease(&mut self, sent: u64, result: Option<(u16, Vec<u8>)>) {
        self.membership.is_requesting_lease = false;
        let failure = LeaseFailure::from_result(result.as_ref());
        let granted = match result {
            Some((200, body)) => serde_json::from_slice::<Granted>(&body).ok(),
            _ => None,
        };
        match granted {
            Some(granted) => {
                self.membership.has_lease_call_failed = false;
                self.membership.lease_id = Some(granted.permit);
                self.membership.last_extension_ms = sent;
                self.membership.entitled_by_lease_until_ms = sent + self.settings.entitlement_ms();
                self.membership.lease_requested_ms = sent;
                self.clear_lease_failures();
                self.record_lease_extension(sent);
                self.membership.written_record = None;
                self.membership.has_been_entitled = true;
                let incarnation = self.membership.incarnation;
                self.log(Level::Info, format!("lease taken, life {incarnation}"));
                self.tick_membership();
            }
            None => {
                self.membership.has_lease_call_failed = true;
                self.record_lease_failure(failure);
                self.back_off();
            }
        }
    }

    /// Handles the reply to a request to extend the lease, which was sent at `sent`.
    pub(crate) fn on_lease_extension(&mut self, sent: u64, lease_id: u64, result: Option<(u16, Vec<u8>)>) {
        self.membership.is_extending_lease = false;
        if self.membership.lease_id != Some(lease_id) {
            return;
        }
        let failure = LeaseFailure::from_result(result.as_ref());
        match result {
            Some((200, _)) => {
                let until = sent + self.settings.entitlement_ms();
                self.membership.has_lease_call_failed = false;
                // A reply that waited in this process's buffers may be about a lease that has expired by now.
                if !self.is_entitled() && self.now.ms < until {
                    let history = self.describe_lease_history();
                    self.log(
                        Level::Info,
                        format!("lease extended after a gap: entitled to act again; {history}"),
                    );
                }
                if self.now.ms < until {
                    self.clear_lease_failures();
                }
                self.membership.lease_requested_ms = self.membership.lease_requested_ms.max(sent);
                self.membership.entitled_by_lease_until_ms = self.membership.entitled_by_lease_until_ms.max(until);
                self.record_lease_extension(sent);
                if std::mem::take(&mut self.membership.has_extension_failed) && self.membership.has_listed_keys {
                    // The connection works again, but a watch that was sent before may never be answered.
                    self.watch_shared_keys();
                }
            }
            Some((404, _)) => self.handle_lost_lease(),
            _ => {
                self.membership.has_extension_failed = true;
                self.membership.has_lease_call_failed = true;
                // Retry soon: keeping the lease matters more than saving requests.
                let retry_delay_ms = self.settings.report_ms() / 4;
                self.membership.last_extension_ms =
                    (self.now.ms + retry_delay_ms).saturating_sub(self.settings.lease_ms() / 4);
                self.record_lease_failure(failure);
            }
        }
    }

    /// Handles the loss of the lease: other controllers may own all of this controller's partitions from
    /// now on. The controller joins again as a new incarnation, so that no record of the old one applies to it.
    pub(super) fn handle_lost_lease(&mut self) {
        let history = self.describe_lease_history();
        self.log(
            Level::Error,
            format!("lease lost: giving up all partitions and rejoining as a new incarnation; {history}"),
        );
        self.clear_lease_failures();
        self.membership.lease_id = None;
        self.membership.entitled_by_lease_until_ms = 0;
        self.membership.received_grants.clear();
        self.membership.has_lease_call_failed = false;
        self.membership.incarnation = Incarnation(self.membership.incarnation.0 + 1);
        self.set_detector_incarnation(self.membership.incarnation);
        self.reset_permit_holder();
        self.membership.written_record = None;
        self.membership.no_request_before_ms = self.now.ms;
        // The network failure that cost the lease may also have broken the watch.
        self.membership.is_watching = false;
        self.membership.has_extension_failed = false;
        for partition in std::mem::take(&mut self.tenures).into_keys() {
            self.reset_partition(partition);
        }
    }

    /// Records the outcome of a heartbeat to a peer.
    pub(crate) fn record_peer_contact(&mut self, name: &ControllerId, reachable: bool, entitled: bool) {
        let now = self.now.ms;
        let peer = self.membership.peers.entry(name.clone()).or_default();
        peer.awaits_answer = false;
        peer.awaits_grant = false;
        peer.is_reachable = reachable;
        if reachable {
            peer.last_heard_ms = Some(now);
            peer.is_entitled = entitled;
        }
    }

    /// A peer's answer came too late to tell its present state: sends it another heartbeat with the next tick.
    pub(crate) fn ask_peer_again(&mut self, name: &ControllerId) {
        let peer = self.membership.peers.entry(name.clone()).or_default();
        peer.awaits_answer = false;
        peer.awaits_grant = false;
        peer.last_heartbeat_sent_ms = 0;
    }

    /// Whether the last heartbeat to a peer was answered and the peer was heard from within two report intervals.
    pub(crate) fn is_reachable(&self, name: &ControllerId) -> bool {
        let recent_ms = 2 * self.settings.report_ms();
        self.membership.peers.get(name).is_some_and(|p| {
            p.is_reachable
                && p.last_heard_ms
                    .is_some_and(|t| self.now.ms.saturating_sub(t) < recent_ms)
        })
    }
}
