//! Requests of the controllers to each other.

use super::World;
use super::event::{Asked, Caller, Event};
use super::network::Fate;
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
            PeerRequest::Hello { .. } => "hello",
        };
        let fate = self.fate(&format!("berth-{}", from.node), to, kind, "");
        let timeout_ms = if fate == Fate::Refused { 2 } else { timeout_ms };
        if let Some(n) = self.nodes.get_mut(from.node) {
            n.open.insert(from.call);
        }
        self.push(timeout_ms, Event::PeerBack { to: from, result: None });
        let to = to.strip_prefix("berth-").and_then(|n| n.parse().ok()).unwrap_or(0);
        if let Some(after) = fate.request_delay() {
            let arrival = Event::PeerArrive {
                from,
                to,
                request,
                answered: fate.answer_delay(),
            };
            self.push(after, arrival);
        }
    }

    /// A peer's request has come to a controller.
    pub(super) fn peer_arrive(&mut self, from: Caller, to: usize, request: PeerRequest, answered: Option<u64>) {
        let id = self.new_request(Asked::Peer { from, answered });
        self.feed(to, Input::PeerRequest { id, request });
    }

    /// A controller answers another one.
    pub(super) fn answer_peer(&mut self, id: u64, reply: PeerReply) {
        if let Some(Asked::Peer {
            from,
            answered: Some(after),
        }) = self.asked.remove(&id)
        {
            let result = Some(reply);
            self.push(after, Event::PeerBack { to: from, result });
        }
    }

    /// A peer's answer, or the end of the time for it, has come to the controller that asked.
    pub(super) fn peer_back(&mut self, to: Caller, result: Option<PeerReply>) {
        if self.ends_call(to) {
            self.feed(to.node, Input::PeerReply { call: to.call, result });
        }
    }
}
