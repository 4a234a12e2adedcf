//! Executes the core's outputs: answers, HTTP calls, requests to peers, and log lines.

use super::deadlines::{CallDeadlines, wait_for_expiry};
use super::{IncomingEvent, StartError, parse_address};
use crate::admission::SocketBudget;
use crate::http::{CallProgress, CallStage, Client, OutgoingRequest};
use crate::peers::PeerClients;
use smol::Executor;
use smol::channel::Sender;
use smol::future::FutureExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tidelatch_core::ids::ControllerId;
use tidelatch_core::settings::Settings;
use tidelatch_core::{
    Answer, Input, Level, Output, PeerReply, PeerRequest, STATUS_NO_FREE_SOCKET, STATUS_NOT_CONNECTED, Target,
};

/// Executes the core's outputs, and converts events into the core's inputs.
pub(super) struct Dispatcher {
    executor: Arc<Executor<'static>>,
    pub(super) client: Client,
    peer_clients: PeerClients,
    state_address: SocketAddr,
    cloud_address: SocketAddr,
    peer_addresses: HashMap<ControllerId, SocketAddr>,
    events: Sender<IncomingEvent>,
    next_request_id: u64,
    deadlines: CallDeadlines,
    /// Senders for the answers of HTTP requests that the core has not answered, by request id.
    pending_requests: HashMap<u64, Sender<Answer>>,
    /// Senders for the replies to peers' requests that the core has not answered, by request id.
    pending_peer_requests: HashMap<u64, Sender<PeerReply>>,
}

impl Dispatcher {
    /// Creates a dispatcher; fails if an address in the settings is not a socket address.
    pub(super) fn new(
        executor: &Arc<Executor<'static>>,
        settings: &Settings,
        events: Sender<IncomingEvent>,
        budget: SocketBudget,
    ) -> Result<Self, StartError> {
        let platform = &settings.platform;
        let mut peer_addresses = HashMap::new();
        for peer in &platform.siblings {
            peer_addresses.insert(ControllerId::new(peer.host_name.clone()), parse_address(&peer.address)?);
        }
        Ok(Self {
            executor: executor.clone(),
            client: Client::new(budget.max_outgoing_to_workers),
            peer_clients: PeerClients::new(executor.clone()),
            state_address: parse_address(&platform.outside.state)?,
            cloud_address: parse_address(&platform.outside.cloud)?,
            peer_addresses,
            events,
            next_request_id: 1,
            deadlines: CallDeadlines::default(),
            pending_requests: HashMap::new(),
            pending_peer_requests: HashMap::new(),
        })
    }

    /// Converts an event into the core's input, and keeps the sender for the answer under the request's id.
    pub(super) fn make_input(&mut self, event: IncomingEvent) -> Input {
        let id = self.next_request_id;
        self.next_request_id += 1;
        match event {
            IncomingEvent::HttpRequest {
                method,
                path,
                body,
                answer_sender,
            } => {
                self.pending_requests.insert(id, answer_sender);
                Input::Request { id, method, path, body }
            }
            IncomingEvent::PeerRequest { request, reply_sender } => {
                self.pending_peer_requests.insert(id, reply_sender);
                Input::PeerRequest { id, request }
            }
            IncomingEvent::HttpResult { call, result } => {
                self.deadlines.remove(call);
                Input::Reply { call, result }
            }
            IncomingEvent::PeerResult { call, result } => {
                self.deadlines.remove(call);
                Input::PeerReply { call, result }
            }
        }
    }

    /// Ends the calls whose deadline has passed.
    pub(super) fn expire_calls(&mut self, now: Instant) {
        self.deadlines.notify_expired(now);
    }

    /// Executes one output of the core.
    pub(super) fn execute(&mut self, output: Output) {
        match output {
            Output::Answer { id, answer } => {
                if let Some(answer_sender) = self.pending_requests.remove(&id) {
                    // The requester may have disconnected.
                    let _ = answer_sender.try_send(answer);
                }
            }
            Output::PeerReply { id, reply } => {
                if let Some(sender) = self.pending_peer_requests.remove(&id) {
                    let _ = sender.try_send(reply);
                }
            }
            Output::Log { level, text } => match level {
                Level::Error => tracing::error!("{text}"),
                Level::Info => tracing::info!("{text}"),
                Level::Debug => tracing::debug!("{text}"),
            },
            Output::Call {
                id,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let request = self.address_of(&target).map(|to| OutgoingRequest {
                    to,
                    is_to_worker: matches!(target, Target::Worker(_)),
                    method,
                    path,
                    body,
                });
                self.start_http_call(id, request, timeout_ms);
            }
            Output::PeerRequest {
                id,
                to,
                request,
                timeout_ms,
            } => self.start_peer_call(id, &to, request, timeout_ms),
            Output::Connect { address } => self.connect_ahead(&address),
        }
    }

    /// Socket address of a call's target; `None` if a worker's address cannot be parsed.
    fn address_of(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::State => Some(self.state_address),
            Target::Cloud => Some(self.cloud_address),
            Target::Worker(address) => address.parse().ok(),
        }
    }

    /// Starts an HTTP call; its result, or its timeout, is sent back as an event.
    fn start_http_call(&mut self, id: u64, request: Option<OutgoingRequest>, timeout_ms: u64) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let expiry = self.deadlines.add(id, timeout_ms);
        let call = async move {
            let progress = CallProgress::default();
            let http_call = async {
                let request = request?;
                let result = client.call(&request, &progress).await;
                if let Err(error) = &result {
                    tracing::debug!("call to {}{} failed: {error}", request.to, request.path);
                }
                result.ok()
            };
            let result = http_call.or(wait_for_expiry(expiry)).await;
            let result = result.or_else(|| status_without_response(progress.stage()));
            let _ = events.try_send(IncomingEvent::HttpResult { call: id, result });
        };
        self.executor.spawn(call).detach();
    }

    /// Opens a connection to a worker before calls to it are made, if the socket budget allows it.
    fn connect_ahead(&self, address: &str) {
        let Ok(to) = address.parse() else { return };
        let client = self.client.clone();
        self.executor
            .spawn(async move {
                if let Err(error) = client.connect_ahead(to).await {
                    tracing::debug!("worker {to}: opening a connection ahead of calls failed: {error}");
                }
            })
            .detach();
    }

    /// Sends a request to a peer; its reply, or its timeout, is sent back as an event.
    fn start_peer_call(&mut self, id: u64, to: &ControllerId, request: PeerRequest, timeout_ms: u64) {
        let to = self.peer_addresses.get(to).copied();
        let (peer_clients, events) = (self.peer_clients.clone(), self.events.clone());
        let expiry = self.deadlines.add(id, timeout_ms);
        let call = async move {
            let result = match to {
                Some(to) => peer_clients.send_request(to, request).or(wait_for_expiry(expiry)).await,
                None => None,
            };
            if let (None, Some(to)) = (&result, to) {
                peer_clients.disconnect(to);
            }
            let _ = events.try_send(IncomingEvent::PeerResult { call: id, result });
        };
        self.executor.spawn(call).detach();
    }
}

/// Result that the core gets for a call without a response: [`STATUS_NO_FREE_SOCKET`] or [`STATUS_NOT_CONNECTED`] if
/// the receiver cannot have got the request, `None` if it may have. A call to a worker address that cannot be parsed
/// also gets [`STATUS_NO_FREE_SOCKET`], because nothing was sent.
fn status_without_response(stage: CallStage) -> Option<(u16, Vec<u8>)> {
    match stage {
        CallStage::WaitingForSocket => Some((STATUS_NO_FREE_SOCKET, Vec::new())),
        CallStage::Connecting => Some((STATUS_NOT_CONNECTED, Vec::new())),
        CallStage::Sent => None,
    }
}
