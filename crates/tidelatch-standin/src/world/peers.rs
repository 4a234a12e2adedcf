//! Delivers requests between controllers.

use super::World;
use super::event::{Caller, Event, PendingRequest};
use super::network::Delivery;
use tidelatch_core::{Input, PeerReply, PeerRequest};

impl World {
    /// Sends a controller's request to a peer.
    pub(super) fn send_peer_request(&mut self, from: Caller, to: &str, request: PeerRequest, timeout_ms: u64) {
        let kind = match &request {
            PeerRequest::Relay { .. } => {
                self.message_counts.relayed_reports += 1;
                "relay"
            }
            PeerRequest::Forward { .. } => "forward",
            PeerRequest::Submit { .. } => "submit",
            PeerRequest::Heartbeat { .. } => "hello",
        };
        if kind != "relay" {
            self.message_counts.peer_requests += 1;
        }
        let delivery = self.decide_delivery(&format!("berth-{}", from.controller), to, kind, "");
        let fails_at_once = matches!(delivery, Delivery::Refused | Delivery::Reset);
        let timeout_ms = if fails_at_once { 2 } else { timeout_ms };
        if let Some(process) = self.controllers.get_mut(from.controller) {
            process.pending_calls.insert(from.call);
        }
        self.schedule(timeout_ms, Event::PeerRequestAnswered { to: from, result: None });
        let to = to.strip_prefix("berth-").and_then(|n| n.parse().ok()).unwrap_or(0);
        if let Delivery::Copied(late) = delivery {
            let copy = Event::PeerRequestArrives {
                from,
                to,
                request: request.clone(),
                answer_delay_ms: None,
            };
            self.schedule(late, copy);
        }
        if let Some(after) = delivery.request_delay() {
            let arrival = Event::PeerRequestArrives {
                from,
                to,
                request,
                answer_delay_ms: delivery.answer_delay(),
            };
            self.schedule(after, arrival);
        }
    }

    /// Passes a peer's request to a controller.
    pub(super) fn receive_peer_request(
        &mut self,
        from: Caller,
        to: usize,
        request: PeerRequest,
        answer_delay_ms: Option<u64>,
    ) {
        let id = self.new_request(PendingRequest::Peer { from, answer_delay_ms });
        self.deliver_input(to, Input::PeerRequest { id, request });
    }

    /// Sends a controller's reply back to the peer that made the request.
    pub(super) fn reply_to_peer(&mut self, id: u64, reply: PeerReply) {
        if let Some(PendingRequest::Peer {
            from,
            answer_delay_ms: Some(after),
        }) = self.pending_requests.remove(&id)
        {
            let result = Some(reply);
            self.schedule(after, Event::PeerRequestAnswered { to: from, result });
        }
    }

    /// Hands a peer's reply, or `None` after the timeout, to the controller that made the request.
    pub(super) fn receive_peer_reply(&mut self, to: Caller, result: Option<PeerReply>) {
        if self.complete_call(to) {
            self.deliver_input(to.controller, Input::PeerReply { call: to.call, result });
        }
    }
}
