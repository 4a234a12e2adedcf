//! Runs the simulated controllers: starts, crashes and pauses them, passes inputs to them and executes their outputs.

use super::World;
use super::event::{Caller, Event, PendingRequest};
use std::collections::HashSet;
use tidelatch_core::ids::{Incarnation, Partition};
use tidelatch_core::settings::{Features, Operator, Settings};
use tidelatch_core::{Answer, Controller, Input, Level, Now, Output};

/// Milliseconds between two ticks of a controller.
const TICK_INTERVAL_MS: u64 = 100;

/// One simulated controller process.
pub(super) struct SimulatedController {
    /// The controller itself; `None` before its first start and after a crash.
    pub(super) core: Option<Controller>,
    /// Incarnation of the process: the number of its starts and crashes so far.
    pub(super) incarnation: u64,
    /// When the process was last started, in milliseconds. Its steady clock counts from then on.
    started_ms: u64,
    pub(super) settings: Settings,
    /// Numbers of the calls that have no result yet.
    pub(super) pending_calls: HashSet<u64>,
    /// While it is paused: the inputs that have arrived since; otherwise `None`.
    pub(super) paused_inputs: Option<Vec<Input>>,
    /// Whether a fault injector made the state service answer its last request with 503.
    pub(super) is_refused_by_state: bool,
    /// When a fault injector last reset its connections to the state service, in milliseconds.
    pub(super) state_reset_ms: Option<u64>,
}

impl SimulatedController {
    /// Creates a controller that has not been started.
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            core: None,
            incarnation: 0,
            started_ms: 0,
            settings,
            pending_calls: HashSet::new(),
            paused_inputs: None,
            is_refused_by_state: false,
            state_reset_ms: None,
        }
    }

    /// Returns the time as the process sees it, when `world_ms` milliseconds have passed since the beginning of the
    /// simulation. Its steady clock begins with the process, and is never 0.
    fn clock(&self, world_ms: u64) -> Now {
        Now {
            ms: world_ms.saturating_sub(self.started_ms) + 1,
            wall_ms: world_ms,
        }
    }
}

impl World {
    /// Sets the features of a controller from its next start on, to simulate an older or the current version of the
    /// program, for example the version before gangs.
    pub fn set_features(&mut self, controller: usize, features: Features) {
        if let Some(process) = self.controllers.get_mut(controller) {
            process.settings.features = features;
        }
    }

    /// Sets the operators' settings of a controller from its next start on.
    pub fn set_operator(&mut self, controller: usize, operator: &Operator) {
        if let Some(process) = self.controllers.get_mut(controller) {
            process.settings.operator = operator.clone();
        }
    }

    /// Starts a controller as a new incarnation.
    pub fn start_controller(&mut self, controller: usize) {
        let world_ms = self.now;
        let Some(process) = self.controllers.get_mut(controller) else {
            return;
        };
        process.started_ms = world_ms;
        let now = process.clock(world_ms);
        process.incarnation += 1;
        process.pending_calls.clear();
        process.paused_inputs = None;
        process.is_refused_by_state = false;
        process.state_reset_ms = None;
        // A controller that loses its lease raises its incarnation by one. 1000 numbers for each process, and a million
        // for each controller, keep the incarnations apart.
        let id = Incarnation((controller as u64 + 1) * 1_000_000 + process.incarnation * 1000);
        process.core = Some(Controller::new(process.settings.clone(), id, now));
        let incarnation = process.incarnation;
        self.write_trace(&format!("berth-{controller} starts"));
        self.schedule(1, Event::Tick(controller, incarnation));
    }

    /// Pauses a controller. Its clocks run on, and its inputs are buffered.
    pub fn pause(&mut self, controller: usize) {
        self.write_trace(&format!("berth-{controller} is paused"));
        if let Some(process) = self.controllers.get_mut(controller) {
            process.paused_inputs = Some(Vec::new());
        }
    }

    /// Resumes a paused controller, which first receives the buffered inputs.
    pub fn resume(&mut self, controller: usize) {
        self.write_trace(&format!("berth-{controller} resumes"));
        let inputs = self
            .controllers
            .get_mut(controller)
            .and_then(|process| process.paused_inputs.take());
        for input in inputs.unwrap_or_default() {
            self.deliver_input(controller, input);
        }
        self.check_partition_owners();
    }

    /// Crashes a controller without warning.
    pub fn crash_controller(&mut self, controller: usize) {
        if let Some(process) = self.controllers.get_mut(controller) {
            process.core = None;
            process.incarnation += 1;
        }
        self.write_trace(&format!("berth-{controller} crashes"));
    }

    /// Fires a controller's timer and schedules the next tick.
    pub(super) fn fire_timer(&mut self, controller: usize, incarnation: u64) {
        if self.is_current(controller, incarnation) {
            self.deliver_input(controller, Input::Tick);
            self.schedule(TICK_INTERVAL_MS, Event::Tick(controller, incarnation));
        }
    }

    /// Returns whether a controller still runs in this incarnation.
    pub(super) fn is_current(&self, controller: usize, incarnation: u64) -> bool {
        self.controllers
            .get(controller)
            .is_some_and(|process| process.core.is_some() && process.incarnation == incarnation)
    }

    /// Removes a call from the pending ones. Returns whether it was pending and its controller still runs in the
    /// incarnation that made the call.
    pub(super) fn complete_call(&mut self, caller: Caller) -> bool {
        self.is_current(caller.controller, caller.incarnation)
            && self
                .controllers
                .get_mut(caller.controller)
                .is_some_and(|process| process.pending_calls.remove(&caller.call))
    }

    /// Passes an input to a controller and executes its outputs. The input of a paused controller is buffered.
    pub(super) fn deliver_input(&mut self, controller: usize, input: Input) {
        let world_ms = self.now;
        let Some(process) = self.controllers.get_mut(controller) else {
            return;
        };
        let now = process.clock(world_ms);
        if let Some(paused_inputs) = &mut process.paused_inputs {
            paused_inputs.push(input);
            return;
        }
        let incarnation = process.incarnation;
        let outputs = match &mut process.core {
            Some(core) => core.step(now, input),
            None => return,
        };
        for output in outputs {
            self.execute_output(controller, incarnation, output);
        }
    }

    fn execute_output(&mut self, controller: usize, incarnation: u64, output: Output) {
        match output {
            Output::Log {
                level: Level::Debug, ..
            } => {}
            Output::Log { text, .. } => self.write_trace(&format!("berth-{controller}: {text}")),
            Output::Answer { id, answer } => self.deliver_answer(controller, id, answer),
            Output::PeerReply { id, reply } => self.reply_to_peer(id, reply),
            Output::Call {
                id: call,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let request = Self::service_request(&target, method, path, body);
                self.send_call(
                    Caller {
                        controller,
                        incarnation,
                        call,
                    },
                    &target,
                    request,
                    timeout_ms,
                );
            }
            Output::PeerRequest {
                id: call,
                to,
                request,
                timeout_ms,
            } => self.send_peer_request(
                Caller {
                    controller,
                    incarnation,
                    call,
                },
                to.as_str(),
                request,
                timeout_ms,
            ),
            Output::Connect { .. } => self.message_counts.connections_ahead += 1,
        }
    }

    /// Delivers a controller's answer to a user or a worker.
    fn deliver_answer(&mut self, controller: usize, id: u64, answer: Answer) {
        match self.pending_requests.remove(&id) {
            Some(PendingRequest::User) => self.answer_user(controller, id, answer),
            Some(PendingRequest::Worker {
                worker,
                sequence,
                answer_delay_ms: Some(after),
            }) => {
                self.count_start_orders(&answer.body);
                let result = Some((answer.status, answer.body));
                self.schedule(
                    after,
                    Event::ReportAnswered {
                        worker,
                        sequence,
                        result,
                    },
                );
            }
            _ => {}
        }
    }

    /// Checks that at most one controller acts for each partition at a time.
    pub(super) fn check_partition_owners(&mut self) {
        for p in 0..self.controllers.len() as u32 {
            let is_acting = |process: &SimulatedController| {
                process
                    .core
                    .as_ref()
                    .is_some_and(|c| c.acts_for_partition_at(process.clock(self.now).ms, Partition(p)))
            };
            if self.controllers.iter().filter(|process| is_acting(process)).count() > 1 {
                self.record_breach(format!("two controllers act for partition {p}"));
            }
        }
    }

    /// Returns how often the controllers evaluated a machine as a place for a task.
    pub fn machine_evaluations(&self) -> u64 {
        self.controllers
            .iter()
            .flat_map(|process| &process.core)
            .map(Controller::evaluated_candidates)
            .sum()
    }

    /// Returns how often the controllers counted the running units of the jobs that share a disruption budget.
    pub fn budget_counts(&self) -> u64 {
        self.controllers
            .iter()
            .flat_map(|process| &process.core)
            .map(Controller::census_count)
            .sum()
    }

    /// Returns the number of the controller that owns a team's partition, by the stored epoch record.
    pub fn owner_of_team(&self, team: usize) -> usize {
        let owner = self
            .store
            .get("t/c/epoch")
            .and_then(|e| e["parts"][team]["owner"].as_str().map(str::to_owned))
            .unwrap_or_default();
        owner.strip_prefix("berth-").and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Returns the number of the leading controller, by the stored leader key.
    pub fn leader(&self) -> Option<usize> {
        let name = self.store.get("t/c/leader")?["name"].as_str()?;
        name.strip_prefix("berth-")?.parse().ok()
    }

    /// Returns the number of the stored epoch.
    pub fn epoch(&self) -> u64 {
        self.store.get("t/c/epoch").and_then(|e| e["n"].as_u64()).unwrap_or(0)
    }

    /// Returns the machines in the stored roster.
    pub fn roster(&self) -> Vec<String> {
        let groups = self.store.keys("t/m/");
        let machines = groups.iter().filter_map(|k| self.store.get(k)?["m"].as_object());
        machines.flat_map(|m| m.keys().cloned()).collect()
    }
}
