//! Heartbeats between controllers. They carry requests for grants (a grant is a peer's permission to act while the
//! state service does not extend leases), digests, cancellations, liveness information and permits; the replies carry
//! grants, machines to hand over, and the kinds of machine that the cloud refuses.

use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::ControllerId;
use crate::messages::{Digest, MachineMove, MachineRequest, PeerReply, PeerRequest, PermitGrants};

impl Controller {
    /// Sends heartbeats to the peers for which one is due.
    pub(crate) fn send_due_heartbeats(&mut self) {
        self.send_heartbeats(false);
    }

    /// Sends heartbeats to the peers for which one is due or a failure detector probe is wanted; with `at_once` also to
    /// all peers that have not been told of a cancellation yet.
    pub(crate) fn send_heartbeats(&mut self, at_once: bool) {
        let now = self.now.ms;
        let interval_ms = self.settings.heartbeat_ms();
        let leader = self.membership.leader.as_ref().map(|(l, _)| l.name.clone());
        let wants_grant = self.should_request_grants();
        let names: Vec<String> = self
            .settings
            .platform
            .siblings
            .iter()
            .map(|s| s.host_name.clone())
            .collect();
        for name in names {
            let to = ControllerId::new(name);
            let is_urgent = (at_once && self.lacks_cancellations(&to)) || self.is_contact_due(&to);
            let (cancellations, sent_cancellations, _) = self.cancellations_for_peer(&to);
            let peer = self.membership.peers.entry(to.clone()).or_default();
            let is_due = peer.last_heartbeat_sent_ms == 0 || now >= peer.last_heartbeat_sent_ms + interval_ms;
            if peer.awaits_answer || !(is_due || is_urgent) {
                continue;
            }
            peer.awaits_answer = true;
            if is_due {
                peer.last_heartbeat_sent_ms = now.max(1);
            }
            peer.awaits_grant = wants_grant;
            // Computing digests looks at every machine, so a heartbeat sent out of turn carries none.
            let digests = if is_due && leader.as_ref() == Some(&to) && self.is_entitled() {
                self.own_digests()
            } else {
                Vec::new()
            };
            let detector_heartbeat = self.build_detector_heartbeat(&to);
            let permits = self.build_permit_listing(&to);
            let request = PeerRequest::Heartbeat {
                name: self.own_name.as_str().to_owned(),
                entitled: self.is_entitled(),
                wants_grant,
                relies_on_grant: self.relies_on_grant_of(&to),
                digests,
                cancellations,
                detector_heartbeat,
                permits,
            };
            let timeout_ms = self.settings.report_ms() / 2;
            let purpose = CallPurpose::Heartbeat {
                to: to.clone(),
                sent: now,
                sent_cancellations,
            };
            self.send_peer_request(to, request, timeout_ms, purpose);
        }
    }

    /// Handles a peer's heartbeat and replies to it. `peer_flags` says whether the peer is entitled to act, wants a
    /// grant, and relies on a grant of this controller.
    pub(crate) fn on_heartbeat(
        &mut self,
        id: u64,
        from: ControllerId,
        peer_flags: (bool, bool, bool),
        digests: Vec<Digest>,
        permits: Option<Box<PermitGrants>>,
    ) {
        let now = self.now.ms;
        let (entitled, wants_grant, relies_on_grant) = peer_flags;
        let (cancellations, _, is_complete) = self.cancellations_for_peer(&from);
        let granted = wants_grant && is_complete && self.try_give_grant();
        self.record_reliance(&from, relies_on_grant || granted);
        let is_leader = self.is_leader();
        if let Some(peer) = self.membership.peers.get_mut(&from) {
            peer.is_entitled = entitled;
            peer.last_heard_ms = Some(now);
        }
        let mut moves = Vec::new();
        let mut refused = Vec::new();
        if is_leader {
            for digest in digests {
                // Digests of a partition are accepted only from its owner.
                if self.partition_owner(digest.partition).is_some_and(|h| h.owner == from) {
                    self.capacity.digests.insert(digest.partition, (digest, now));
                }
            }
            moves = self.capacity.moves_to_send.remove(&from).unwrap_or_default();
            // Refused kinds have the form of machine requests; only their kind is read.
            refused = self
                .capacity
                .refused_until
                .iter()
                .filter(|(_, t)| now < **t)
                .map(|((model, zone, spot), _)| MachineRequest {
                    model: model.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                    count: 0,
                    urgent: false,
                    any_zone: false,
                })
                .collect();
        }
        let entitled = self.is_entitled();
        let relies_on_grant = self.relies_on_grant_of(&from);
        let detector_heartbeat = self.build_detector_heartbeat(&from);
        self.outputs.push(crate::messages::Output::PeerReply {
            id,
            reply: PeerReply::Heartbeat {
                entitled,
                granted,
                relies_on_grant,
                moves,
                refused,
                cancellations,
                detector_heartbeat,
                permits,
            },
        });
    }

    /// Handles the machines to hand over and the refused kinds in the leader's reply to a heartbeat.
    pub(crate) fn on_leader_reply(
        &mut self,
        from: &ControllerId,
        moves: Vec<MachineMove>,
        refused: Vec<MachineRequest>,
    ) {
        let is_from_leader = self.membership.leader.as_ref().is_some_and(|(l, _)| l.name == *from);
        if !is_from_leader || self.is_leader() {
            return;
        }
        let until = self.now.ms + self.settings.report_ms();
        self.capacity.refused_until = refused
            .into_iter()
            .map(|kind| ((kind.model, kind.zone, kind.spot), until))
            .collect();
        self.execute_moves(moves);
    }
}
