//! A deterministic simulation of a deployment: the controllers, the services that they use, and a network that can
//! delay, lose and duplicate messages.
//!
//! This module holds the state of the simulation and its event queue. Each submodule simulates one part of the
//! deployment.

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

pub use deployment::{DeploymentSize, gang, job};
pub use network::{Delivery, Message};
pub(crate) use workers::{ArrayRunTime, step_tasks};

use crate::checker::Checker;
use crate::cloud::Cloud;
use crate::gang::Gangs;
use crate::state::Store;
use crate::worker::Worker;
use controllers::SimulatedController;
use event::{Event, PendingRequest};
use network::FaultInjector;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use tidelatch_core::Answer;
use tidelatch_core::settings::Operator;

/// Milliseconds within which all tasks of a cancelled job must have ended.
pub const CANCEL_MS: u64 = 38_000;

/// Counts of the messages that all controllers have sent and received.
#[derive(Debug, Clone, Copy, Default)]
pub struct MessageCounts {
    /// Requests to the state service.
    pub state_requests: u64,
    /// Writes and deletes in transactions.
    pub state_changes: u64,
    /// Bytes of the bodies of requests to the state service.
    pub state_bytes: u64,
    /// Requests to the cloud.
    pub cloud_calls: u64,
    /// Requests to workers.
    pub commands: u64,
    /// Workers' reports that one controller relayed to another.
    pub relayed_reports: u64,
    /// Connections to workers that were opened before a call needed them.
    pub connections_ahead: u64,
    /// Requests between controllers other than relays: heartbeats, forwarded requests and forwarded submissions.
    pub peer_requests: u64,
    /// Reports that workers sent.
    pub reports: u64,
}

/// A simulated deployment at one point in time.
pub struct World {
    /// Current time, in milliseconds since the beginning.
    pub now: u64,
    /// The state service.
    pub store: Store,
    /// The cloud.
    pub cloud: Cloud,
    /// Workers that are up, by machine name.
    pub workers: BTreeMap<String, Worker>,
    /// Breaches of the rules so far.
    pub breaches: Vec<String>,
    /// Answers that users received, with the time of receipt, by request number.
    pub answers: BTreeMap<u64, (u64, Answer)>,
    /// Milliseconds that a task of an array runs.
    pub run_ms: u64,
    /// Whether an array's tasks run for up to twice as long, depending on their index.
    pub has_uneven_run_times: bool,
    controllers: Vec<SimulatedController>,
    /// Future events, by time and order of scheduling.
    queue: BTreeMap<(u64, u64), Event>,
    /// Number of events scheduled so far.
    event_order: u64,
    pending_requests: BTreeMap<u64, PendingRequest>,
    next_request: u64,
    injector: FaultInjector,
    jobs: BTreeMap<String, Value>,
    /// The state of the gangs on the workers.
    pub gangs: Gangs,
    /// Whether the periodic step of the gangs is scheduled: from the first submission of a gang.
    gangs_scheduled: bool,
    /// When each worker last sent a report because a gang had changed.
    gang_reported_at: BTreeMap<String, u64>,
    /// The job and the kind of each user request, by request number.
    request_subjects: BTreeMap<u64, (String, &'static str)>,
    checker: Checker,
    /// Number of the checker's breaches that are already in `breaches`.
    recorded_breaches: usize,
    /// Jobs whose users cancel them after the last task has ended: the controller, and the delay in milliseconds.
    cancel_after_last_task: BTreeMap<String, (usize, u64)>,
    /// Numbers of the cancellation requests that users sent after a job's last task had ended, by job.
    pub cancellation_requests_at_end: BTreeMap<String, u64>,
    /// Copies of reports that are delivered again in the next epoch; `None`: none are kept.
    kept_reports: Option<VecDeque<String>>,
    /// The epoch in which the copies in `kept_reports` are made.
    kept_epoch: u64,
    trace: String,
    size: DeploymentSize,
    /// Message counts so far.
    pub message_counts: MessageCounts,
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}

impl World {
    /// Creates a world with three controllers that have just been started.
    pub fn new() -> Self {
        Self::with_operator(&Operator::default())
    }

    /// Creates a world with three controllers and these operators' settings.
    pub fn with_operator(operator: &Operator) -> Self {
        Self::with_size(operator, DeploymentSize::default())
    }

    /// Creates a world with these operators' settings and this size.
    pub fn with_size(operator: &Operator, size: DeploymentSize) -> Self {
        let mut world = Self {
            now: 0,
            store: Store::default(),
            cloud: Cloud::default(),
            workers: BTreeMap::new(),
            breaches: Vec::new(),
            answers: BTreeMap::new(),
            run_ms: 5000,
            has_uneven_run_times: false,
            controllers: Vec::new(),
            queue: BTreeMap::new(),
            event_order: 0,
            pending_requests: BTreeMap::new(),
            next_request: 1,
            injector: Box::new(|_| Delivery::Pass),
            jobs: BTreeMap::new(),
            gangs: Gangs::default(),
            gangs_scheduled: false,
            gang_reported_at: BTreeMap::new(),
            request_subjects: BTreeMap::new(),
            checker: Checker::new(CANCEL_MS),
            recorded_breaches: 0,
            cancel_after_last_task: BTreeMap::new(),
            cancellation_requests_at_end: BTreeMap::new(),
            kept_reports: None,
            kept_epoch: 0,
            trace: String::new(),
            size,
            message_counts: MessageCounts::default(),
        };
        for i in 0..size.teams {
            world
                .checker
                .set_team_limit(&deployment::team_name(i, &size), size.max_accelerators);
        }
        for i in 0..size.controllers {
            world
                .controllers
                .push(SimulatedController::new(deployment::controller_settings(
                    i, operator, &size,
                )));
            world.start_controller(i);
        }
        world
    }

    /// Schedules an event after this many milliseconds. Events of the same time keep the order of scheduling.
    fn schedule(&mut self, after: u64, event: Event) {
        self.event_order += 1;
        self.queue.insert((self.now + after, self.event_order), event);
    }

    /// Runs the simulation for this many milliseconds.
    pub fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        // The test may have changed the state of machines since the last run.
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
            self.check_partition_owners();
            self.checker.advance_time(self.now);
            self.record_breaches();
            self.deliver_kept_reports();
        }
        self.now = until;
        self.expire_leases();
        self.checker.advance_time(self.now);
        self.record_breaches();
    }

    /// Runs the simulation until the condition holds, for at most `ms` milliseconds. Returns whether it holds.
    pub fn run_until(&mut self, ms: u64, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let until = self.now + ms;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run_for(20);
        }
        holds(self)
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        self.store.expire_leases(now);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(controller, incarnation) => self.fire_timer(controller, incarnation),
            Event::RequestArrives {
                from,
                request,
                answer_delay_ms,
            } => self.receive_request(from, &request, answer_delay_ms),
            Event::RequestAnswered { to, result } => self.receive_result(to, result),
            Event::CheckWatch { from, watch } => self.check_watch(from, watch),
            Event::PeerRequestArrives {
                from,
                to,
                request,
                answer_delay_ms,
            } => self.receive_peer_request(from, to, request, answer_delay_ms),
            Event::PeerRequestAnswered { to, result } => self.receive_peer_reply(to, result),
            Event::BootMachine(name) => self.boot_machine(name),
            Event::StepWorker(name) => self.step_worker(&name),
            Event::StepGangs => self.step_gangs(),
            Event::CancelEndedJob { controller, job } => self.cancel_ended_job(controller, job),
            Event::ReportArrives {
                controller,
                report,
                answer_delay_ms,
            } => self.receive_report(controller, report, answer_delay_ms),
            Event::ReportAnswered {
                worker,
                sequence,
                result,
            } => self.receive_report_answer(&worker, sequence, result),
        }
    }
}
