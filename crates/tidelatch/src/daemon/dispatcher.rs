//! Carrying out what the core wants: answers, calls, requests to peers, and lines of the log.

use super::deadlines::{CallDeadlines, timed_out};
use super::{Event, StartError, address};
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

/// Carries out what the core wants.
pub(super) struct Dispatcher {
    executor: Arc<Executor<'static>>,
    pub(super) client: Client,
    peers: PeerClients,
    state: SocketAddr,
    cloud: SocketAddr,
    siblings: HashMap<ControllerId, SocketAddr>,
    events: Sender<Event>,
    next_request: u64,
    deadlines: CallDeadlines,
    requests: HashMap<u64, Sender<Answer>>,
    peer_requests: HashMap<u64, Sender<PeerReply>>,
}

impl Dispatcher {
    pub(super) fn new(
        executor: &Arc<Executor<'static>>,
        settings: &Settings,
        events: Sender<Event>,
        budget: SocketBudget,
    ) -> Result<Self, StartError> {
        let platform = &settings.platform;
        let mut siblings = HashMap::new();
        for s in &platform.siblings {
            siblings.insert(ControllerId::new(s.host_name.clone()), address(&s.address)?);
        }
        Ok(Self {
            executor: executor.clone(),
            client: Client::new(budget.commands),
            peers: PeerClients::new(executor.clone()),
            state: address(&platform.outside.state)?,
            cloud: address(&platform.outside.cloud)?,
            siblings,
            events,
            next_request: 1,
            deadlines: CallDeadlines::default(),
            requests: HashMap::new(),
            peer_requests: HashMap::new(),
        })
    }

    /// The core's input for an event; whoever waits for an answer is kept by the request's number.
    pub(super) fn input(&mut self, event: Event) -> Input {
        let id = self.next_request;
        self.next_request += 1;
        match event {
            Event::Request {
                method,
                path,
                body,
                reply,
            } => {
                self.requests.insert(id, reply);
                Input::Request { id, method, path, body }
            }
            Event::Peer { request, reply } => {
                self.peer_requests.insert(id, reply);
                Input::PeerRequest { id, request }
            }
            Event::Reply { call, result } => {
                self.deadlines.finish(call);
                Input::Reply { call, result }
            }
            Event::PeerReply { call, result } => {
                self.deadlines.finish(call);
                Input::PeerReply { call, result }
            }
        }
    }

    /// Ends the calls whose time is over.
    pub(super) fn expire_calls(&mut self, now: Instant) {
        self.deadlines.expire(now);
    }

    /// Carries out one thing that the core wants.
    pub(super) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Answer { id, answer } => {
                if let Some(reply) = self.requests.remove(&id) {
                    // Whoever asked may have gone away.
                    let _ = reply.try_send(answer);
                }
            }
            Output::PeerReply { id, reply } => {
                if let Some(to) = self.peer_requests.remove(&id) {
                    let _ = to.try_send(reply);
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
                    worker: matches!(target, Target::Worker(_)),
                    method,
                    path,
                    body,
                });
                self.start_call(id, request, timeout_ms);
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

    fn address_of(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::State => Some(self.state),
            Target::Cloud => Some(self.cloud),
            Target::Worker(address) => address.parse().ok(),
        }
    }

    /// Makes a call over HTTP; its result, or the end of its time, comes back as an event.
    fn start_call(&mut self, id: u64, request: Option<OutgoingRequest>, timeout_ms: u64) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let expiry = self.deadlines.start(id, timeout_ms);
        let call = async move {
            let progress = CallProgress::default();
            let answered = async {
                let request = request?;
                let result = client.call(&request, &progress).await;
                if let Err(error) = &result {
                    tracing::debug!("{}{}: {error}", request.to, request.path);
                }
                result.ok()
            };
            let result = answered.or(timed_out(expiry)).await;
            let result = result.or_else(|| result_without_answer(progress.stage()));
            let _ = events.try_send(Event::Reply { call: id, result });
        };
        self.executor.spawn(call).detach();
    }

    /// Opens a connection to a worker ahead of calls to it, if sockets allow.
    fn connect_ahead(&self, address: &str) {
        let Ok(to) = address.parse() else { return };
        let client = self.client.clone();
        self.executor
            .spawn(async move {
                if let Err(error) = client.connect_ahead(to).await {
                    tracing::debug!("{to}: not connected ahead: {error}");
                }
            })
            .detach();
    }

    /// Asks a peer; its reply, or the end of the time for it, comes back as an event.
    fn start_peer_call(&mut self, id: u64, to: &ControllerId, request: PeerRequest, timeout_ms: u64) {
        let to = self.siblings.get(to).copied();
        let (peers, events) = (self.peers.clone(), self.events.clone());
        let expiry = self.deadlines.start(id, timeout_ms);
        let call = async move {
            let result = match to {
                Some(to) => peers.ask(to, request).or(timed_out(expiry)).await,
                None => None,
            };
            if let (None, Some(to)) = (&result, to) {
                peers.disconnect(to);
            }
            let _ = events.try_send(Event::PeerReply { call: id, result });
        };
        self.executor.spawn(call).detach();
    }
}

/// What the core is told of a call without an answer: a status of its own if the receiver got nothing of it.
fn result_without_answer(stage: CallStage) -> Option<(u16, Vec<u8>)> {
    match stage {
        CallStage::Waiting => Some((STATUS_NO_FREE_SOCKET, Vec::new())),
        CallStage::Connecting => Some((STATUS_NOT_CONNECTED, Vec::new())),
        CallStage::Sent => None,
    }
}
