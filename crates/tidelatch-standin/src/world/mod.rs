//! The world: three controllers, the services round them, and a network that can delay, lose and copy messages.
//!
//! This module holds the state of a world and its queue of events. Each of the modules below it holds what one
//! part of the world does.

mod calls;
mod controllers;
mod deployment;
mod event;
mod gangs;
mod network;
mod peers;
mod reports;
mod rules;
mod trace;
mod users;
mod workers;

pub use deployment::{Size, gang, job};
pub use network::{Delivery, Message};
pub(crate) use workers::{Pace, continue_tasks};

use crate::checker::Checker;
use crate::cloud::Cloud;
use crate::gang::Gangs;
use crate::state::Store;
use crate::worker::Worker;
use controllers::Node;
use event::{Asked, Event};
use network::FaultInjector;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use tidelatch_core::Answer;
use tidelatch_core::settings::Operator;

/// Milliseconds that a cancelled job's tasks have to end.
pub const CANCEL_MS: u64 = 38_000;

/// What the controllers have sent, all together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sent {
    /// Requests to the state service.
    pub state_requests: u64,
    /// Puts and deletes in transactions.
    pub changes: u64,
    /// Bytes of transactions.
    pub state_bytes: u64,
    /// Requests to the cloud.
    pub cloud_calls: u64,
    /// Requests to workers.
    pub commands: u64,
    /// Reports passed on from one controller to another.
    pub relays: u64,
    /// Connections to workers that were opened ahead of calls.
    pub connections_ahead: u64,
    /// Requests between controllers that are no relays: heartbeats and questions passed on.
    pub peer_requests: u64,
    /// Reports that came in.
    pub beats: u64,
}

/// Everything, at one moment.
pub struct World {
    /// Milliseconds since the beginning.
    pub now: u64,
    /// The state service.
    pub store: Store,
    /// The cloud.
    pub cloud: Cloud,
    /// Workers that are up.
    pub workers: BTreeMap<String, Worker>,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Answers that users got, by request.
    pub answers: BTreeMap<u64, (u64, Answer)>,
    /// Milliseconds that a task of an array runs.
    pub run_ms: u64,
    /// An array's tasks run for up to twice as long, each by its number.
    pub uneven: bool,
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
    asked: BTreeMap<u64, Asked>,
    next_request: u64,
    injector: FaultInjector,
    jobs: BTreeMap<String, Value>,
    /// How workers play gangs.
    pub gangs: Gangs,
    gangs_scheduled: bool,
    gang_reported_at: BTreeMap<String, u64>,
    asked_about: BTreeMap<u64, (String, &'static str)>,
    checker: Checker,
    /// How many of the checker's breaches are in `broken`.
    recorded_breaches: usize,
    /// Jobs to be cancelled when their last task ends: at which controller, and how much later.
    cancel_at_end: BTreeMap<String, (usize, u64)>,
    /// Cancellations that were asked for when a job's last task had ended, by job.
    pub cancelled_at_end: BTreeMap<String, u64>,
    /// Copies of reports that wait for the next epoch, while they are kept.
    kept: Option<VecDeque<String>>,
    kept_epoch: u64,
    trace: String,
    size: Size,
    /// What the controllers have sent so far.
    pub sent: Sent,
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}

impl World {
    /// Three controllers that have just been started.
    pub fn new() -> Self {
        Self::with(&Operator::default())
    }

    /// Three controllers with settings of the operators' own.
    pub fn with(operator: &Operator) -> Self {
        Self::sized(operator, Size::default())
    }

    /// Three controllers of a deployment of some size.
    pub fn sized(operator: &Operator, size: Size) -> Self {
        let mut world = Self {
            now: 0,
            store: Store::default(),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            broken: Vec::new(),
            answers: BTreeMap::new(),
            run_ms: 5000,
            uneven: false,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            asked: BTreeMap::new(),
            next_request: 1,
            injector: Box::new(|_| Delivery::Pass),
            jobs: BTreeMap::new(),
            gangs: Gangs::default(),
            gangs_scheduled: false,
            gang_reported_at: BTreeMap::new(),
            asked_about: BTreeMap::new(),
            checker: Checker::new(CANCEL_MS),
            recorded_breaches: 0,
            cancel_at_end: BTreeMap::new(),
            cancelled_at_end: BTreeMap::new(),
            kept: None,
            kept_epoch: 0,
            trace: String::new(),
            size,
            sent: Sent::default(),
        };
        for i in 0..size.teams {
            world.checker.limit(&deployment::team_name(i, &size), size.limit);
        }
        for i in 0..size.controllers {
            world.nodes.push(Node::new(deployment::settings(i, operator, &size)));
            world.start(i);
        }
        world
    }

    /// Lets something happen after some milliseconds.
    fn schedule(&mut self, after: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), event);
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        // A test may have changed machines.
        self.observe_machines();
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), event)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.expire_leases();
            self.handle_event(event);
            self.check_owners();
            self.checker.passes(self.now);
            self.record_breaches();
            self.deliver_kept();
        }
        self.now = until;
        self.expire_leases();
        self.checker.passes(self.now);
        self.record_breaches();
    }

    /// Lets time pass until something holds, for at most `ms`; whether it came to hold.
    pub fn run_until(&mut self, ms: u64, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let until = self.now + ms;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run(20);
        }
        holds(self)
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        self.store.expire_leases(now);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => self.tick(node, life),
            Event::RequestArrives {
                from,
                request,
                answered,
            } => self.request_arrives(from, &request, answered),
            Event::RequestAnswered { to, result } => self.request_answered(to, result),
            Event::Watch { from, watch } => self.watch(from, watch),
            Event::PeerRequestArrives {
                from,
                to,
                request,
                answered,
            } => self.peer_request_arrives(from, to, request, answered),
            Event::PeerRequestAnswered { to, result } => self.peer_request_answered(to, result),
            Event::Boot(name) => self.boot(name),
            Event::Work(name) => self.work(&name),
            Event::Gangs => self.step_gangs(),
            Event::Withdraw { node, job } => self.withdraw_at_end(node, job),
            Event::ReportArrives { node, report, answered } => self.report_arrives(node, report, answered),
            Event::ReportAnswered { worker, beat, result } => self.report_answered(&worker, beat, result),
        }
    }
}
