//! The messages between controllers: heartbeats with lease grants, digests, and machines to hand over.

use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::ControllerId;
use crate::messages::{Digest, MachineRequest, Move, PeerReply, PeerRequest, PermitGrants};

impl Controller {
    pub(crate) fn say_hello(&mut self) {
        self.greet(false);
    }

    /// Greets the peers whose turn it is; with `at_once` all that lack a cancellation.
    pub(crate) fn greet(&mut self, at_once: bool) {
        let now = self.now.ms;
        let every = self.settings.heartbeat_ms();
        let leader = self.member.leader.as_ref().map(|(l, _)| l.name.clone());
        let wants_grant = self.wants_grants();
        let names: Vec<String> = self
            .settings
            .platform
            .siblings
            .iter()
            .map(|s| s.host_name.clone())
            .collect();
        for name in names {
            let to = ControllerId::new(name);
            let urgent = (at_once && self.lacks_cancellations(&to)) || self.contact_due(&to);
            let (told, span, _) = self.tell_cancellations(&to);
            let peer = self.member.peers.entry(to.clone()).or_default();
            let due = peer.asked == 0 || now >= peer.asked + every;
            if peer.asking || !(due || urgent) {
                continue;
            }
            peer.asking = true;
            if due {
                peer.asked = now.max(1);
            }
            peer.asked_grant = wants_grant;
            // Digests cost a look at every machine: one that goes out of its turn does without.
            let digests = if due && leader.as_ref() == Some(&to) && self.entitled() {
                self.own_digests()
            } else {
                Vec::new()
            };
            let liveness = self.liveness_for(&to);
            let permits = self.permit_listing(&to);
            let request = PeerRequest::Heartbeat {
                name: self.me.as_str().to_owned(),
                entitled: self.entitled(),
                wants_grant,
                relies: self.relies_on(&to),
                digests,
                told,
                liveness,
                permits,
            };
            let timeout = self.settings.report_ms() / 2;
            let purpose = Purpose::Heartbeat {
                to: to.clone(),
                sent: now,
                told: span,
            };
            self.ask(to, request, timeout, purpose);
        }
    }

    pub(crate) fn on_hello(
        &mut self,
        id: u64,
        from: ControllerId,
        stands: (bool, bool, bool),
        digests: Vec<Digest>,
        permits: Option<Box<PermitGrants>>,
    ) {
        let now = self.now.ms;
        let (entitled, wants_grant, relies) = stands;
        let (told, _, whole) = self.tell_cancellations(&from);
        let granted = wants_grant && whole && self.give_grant();
        self.note_reliance(&from, relies || granted);
        let lead = self.is_leader();
        if let Some(peer) = self.member.peers.get_mut(&from) {
            peer.entitled = entitled;
            peer.heard = Some(now);
        }
        let mut moves = Vec::new();
        let mut refused = Vec::new();
        if lead {
            for digest in digests {
                // Only the owner speaks for a partition.
                if self.holding(digest.partition).is_some_and(|h| h.owner == from) {
                    self.cloud.digests.insert(digest.partition, (digest, now));
                }
            }
            moves = self.cloud.moves.remove(&from).unwrap_or_default();
            refused = self
                .cloud
                .refused
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
        let entitled = self.entitled();
        let relies = self.relies_on(&from);
        let liveness = self.liveness_for(&from);
        self.out.push(crate::messages::Output::Tell {
            id,
            reply: PeerReply::Heartbeat {
                entitled,
                granted,
                relies,
                moves,
                refused,
                told,
                liveness,
                permits,
            },
        });
    }

    pub(crate) fn on_moves(&mut self, from: &ControllerId, moves: Vec<Move>, refused: Vec<MachineRequest>) {
        let leads = self.member.leader.as_ref().is_some_and(|(l, _)| l.name == *from);
        if !leads || self.is_leader() {
            return;
        }
        let until = self.now.ms + self.settings.report_ms();
        self.cloud.refused = refused
            .into_iter()
            .map(|n| ((n.model, n.zone, n.spot), until))
            .collect();
        self.carry_out(moves);
    }
}
