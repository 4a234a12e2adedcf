//! Requests of the controllers to each other.

use super::World;
use super::event::{Asked, Caller, Event};
use super::network::Delivery;
use tidelatch_core::{Input, PeerReply, PeerRequest};

impl World {
    /// A controller asks another one.
    pub(super) fn ask_peer(&mut self, from: Caller, to: &str, request: PeerRequest, timeout_ms: u64) {
        let kind = match &request {
            PeerRequest::Relay { .. } => {
                self.sent.relays += 1;
                "relay"
            }
            PeerRequest::Forward { .. } => "forward",
            PeerRequest::Submit { .. } => "submit",
            PeerRequest::Heartbeat { .. } => "hello",
        };
        if kind != "relay" {
            self.sent.peer_requests += 1;
        }
        let delivery = self.deliver(&format!("berth-{}", from.node), to, kind, "");
        let timeout_ms = if delivery == Delivery::Refused { 2 } else { timeout_ms };
        if let Some(n) = self.nodes.get_mut(from.node) {
            n.open.insert(from.call);
        }
        self.schedule(timeout_ms, Event::PeerRequestAnswered { to: from, result: None });
        let to = to.strip_prefix("berth-").and_then(|n| n.parse().ok()).unwrap_or(0);
        if let Delivery::Copied(late) = delivery {
            let copy = Event::PeerRequestArrives {
                from,
                to,
                request: request.clone(),
                answered: None,
            };
            self.schedule(late, copy);
        }
        if let Some(after) = delivery.request_delay() {
            let arrival = Event::PeerRequestArrives {
                from,
                to,
                request,
                answered: delivery.answer_delay(),
            };
            self.schedule(after, arrival);
        }
    }

    /// A peer's request has come to a controller.
    pub(super) fn peer_request_arrives(
        &mut self,
        from: Caller,
        to: usize,
        request: PeerRequest,
        answered: Option<u64>,
    ) {
        let id = self.new_request(Asked::Peer { from, answered });
        self.feed_input(to, Input::PeerRequest { id, request });
    }

    /// A controller answers another one.
    pub(super) fn answer_peer(&mut self, id: u64, reply: PeerReply) {
        if let Some(Asked::Peer {
            from,
            answered: Some(after),
        }) = self.asked.remove(&id)
        {
            let result = Some(reply);
            self.schedule(after, Event::PeerRequestAnswered { to: from, result });
        }
    }

    /// A peer's answer, or the end of the time for it, has come to the controller that asked.
    pub(super) fn peer_request_answered(&mut self, to: Caller, result: Option<PeerReply>) {
        if self.ends_call(to) {
            self.feed_input(to.node, Input::PeerReply { call: to.call, result });
        }
    }
}
