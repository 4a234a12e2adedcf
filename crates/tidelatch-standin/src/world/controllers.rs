//! The three controllers: their lives, what is fed into them and what they want carried out.

use super::World;
use super::event::{Asked, Caller, Event};
use std::collections::HashSet;
use tidelatch_core::ids::{Incarnation, Partition};
use tidelatch_core::settings::{Features, Operator, Settings};
use tidelatch_core::{Answer, Controller, Input, Level, Now, Output};

/// Milliseconds between two ticks of a controller.
const TICK_MS: u64 = 100;

/// One controller's process.
pub(super) struct Node {
    /// None: it has crashed.
    pub(super) core: Option<Controller>,
    /// How often it has been started or has crashed.
    pub(super) life: u64,
    pub(super) settings: Settings,
    /// Calls that have no result yet.
    pub(super) open: HashSet<u64>,
    /// While it stands still: what has come in since.
    pub(super) frozen_inputs: Option<Vec<Input>>,
    /// The state service answered its last request with 503, and only its.
    pub(super) refused: bool,
}

impl Node {
    /// A controller that has not been started.
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            core: None,
            life: 0,
            settings,
            open: HashSet::new(),
            frozen_inputs: None,
            refused: false,
        }
    }
}

impl World {
    /// From its next start on, a controller knows what the version before gangs did, or what this one does.
    pub fn version(&mut self, node: usize, features: Features) {
        if let Some(n) = self.nodes.get_mut(node) {
            n.settings.features = features;
        }
    }

    /// From its next start on, a controller has these settings of the operators'.
    pub fn operator(&mut self, node: usize, operator: &Operator) {
        if let Some(n) = self.nodes.get_mut(node) {
            n.settings.operator = operator.clone();
        }
    }

    /// Starts a controller, as a new life.
    pub fn start(&mut self, node: usize) {
        let now = Now {
            ms: self.now,
            wall_ms: self.now,
        };
        let Some(n) = self.nodes.get_mut(node) else { return };
        n.life += 1;
        n.open.clear();
        n.frozen_inputs = None;
        n.refused = false;
        let inc = Incarnation((node as u64 + 1) * 1_000_000 + n.life * 1000);
        n.core = Some(Controller::new(n.settings.clone(), inc, now));
        let life = n.life;
        self.note(&format!("berth-{node} starts"));
        self.schedule(1, Event::Tick(node, life));
    }

    /// A controller stands still while its clocks run on; what comes in stays in its buffers.
    pub fn freeze(&mut self, node: usize) {
        self.note(&format!("berth-{node} stands still"));
        if let Some(n) = self.nodes.get_mut(node) {
            n.frozen_inputs = Some(Vec::new());
        }
    }

    /// It goes on, with all that has come in meanwhile.
    pub fn thaw(&mut self, node: usize) {
        self.note(&format!("berth-{node} goes on"));
        let inputs = self.nodes.get_mut(node).and_then(|n| n.frozen_inputs.take());
        for input in inputs.unwrap_or_default() {
            self.feed_input(node, input);
        }
        self.check_owners();
    }

    /// Ends a controller with no warning.
    pub fn crash(&mut self, node: usize) {
        if let Some(n) = self.nodes.get_mut(node) {
            n.core = None;
            n.life += 1;
        }
        self.note(&format!("berth-{node} crashes"));
    }

    /// A controller's timer fires, and is set again.
    pub(super) fn tick(&mut self, node: usize, life: u64) {
        if self.alive(node, life) {
            self.feed_input(node, Input::Tick);
            self.schedule(TICK_MS, Event::Tick(node, life));
        }
    }

    /// Whether a controller is still in the life that it was in.
    pub(super) fn alive(&self, node: usize, life: u64) -> bool {
        self.nodes.get(node).is_some_and(|n| n.core.is_some() && n.life == life)
    }

    /// Whether a call still waits for its result, which has come now.
    pub(super) fn ends_call(&mut self, caller: Caller) -> bool {
        self.alive(caller.node, caller.life)
            && self
                .nodes
                .get_mut(caller.node)
                .is_some_and(|n| n.open.remove(&caller.call))
    }

    /// Hands an input to a controller and carries out what it wants.
    pub(super) fn feed_input(&mut self, node: usize, input: Input) {
        let now = Now {
            ms: self.now,
            wall_ms: self.now,
        };
        let Some(n) = self.nodes.get_mut(node) else { return };
        if let Some(frozen_inputs) = &mut n.frozen_inputs {
            frozen_inputs.push(input);
            return;
        }
        let life = n.life;
        let outputs = match &mut n.core {
            Some(core) => core.step(now, input),
            None => return,
        };
        for output in outputs {
            self.carry_out(node, life, output);
        }
    }

    fn carry_out(&mut self, node: usize, life: u64, output: Output) {
        match output {
            Output::Log {
                level: Level::Debug, ..
            } => {}
            Output::Log { text, .. } => self.note(&format!("berth-{node}: {text}")),
            Output::Answer { id, answer } => self.answer(node, id, answer),
            Output::PeerReply { id, reply } => self.answer_peer(id, reply),
            Output::Call {
                id: call,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let request = Self::service_request(&target, method, path, body);
                self.call(Caller { node, life, call }, &target, request, timeout_ms);
            }
            Output::PeerRequest {
                id: call,
                to,
                request,
                timeout_ms,
            } => self.ask_peer(Caller { node, life, call }, to.as_str(), request, timeout_ms),
            Output::Connect { .. } => self.sent.connections_ahead += 1,
        }
    }

    /// A controller answers a user or a worker.
    fn answer(&mut self, node: usize, id: u64, answer: Answer) {
        match self.asked.remove(&id) {
            Some(Asked::User) => self.answer_user(node, id, answer),
            Some(Asked::Worker {
                worker,
                beat,
                answered: Some(after),
            }) => {
                self.count_starts(&answer.body);
                let result = Some((answer.status, answer.body));
                self.schedule(after, Event::ReportAnswered { worker, beat, result });
            }
            _ => {}
        }
    }

    /// No two controllers may act for a partition at a time.
    pub(super) fn check_owners(&mut self) {
        for p in 0..self.nodes.len() as u32 {
            let acts = |n: &Node| {
                n.core
                    .as_ref()
                    .is_some_and(|c| c.acts_for_partition_at(self.now, Partition(p)))
            };
            if self.nodes.iter().filter(|n| acts(n)).count() > 1 {
                self.breach(format!("two controllers act for partition {p}"));
            }
        }
    }

    /// How often controllers looked at a machine for a task.
    pub fn evaluations(&self) -> u64 {
        self.nodes
            .iter()
            .flat_map(|n| &n.core)
            .map(Controller::evaluated_candidates)
            .sum()
    }

    /// How often controllers counted what runs of the jobs that share a disruption budget.
    pub fn censuses(&self) -> u64 {
        self.nodes.iter().flat_map(|n| &n.core).map(Controller::censuses).sum()
    }

    /// The controller that owns a team, by the stored epoch.
    pub fn owner_of_team(&self, team: usize) -> usize {
        let owner = self
            .store
            .get("t/c/epoch")
            .and_then(|e| e["parts"][team]["owner"].as_str().map(str::to_owned))
            .unwrap_or_default();
        owner.strip_prefix("berth-").and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// The controller that leads, by its key.
    pub fn leader(&self) -> Option<usize> {
        let name = self.store.get("t/c/leader")?["name"].as_str()?;
        name.strip_prefix("berth-")?.parse().ok()
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.store.get("t/c/epoch").and_then(|e| e["n"].as_u64()).unwrap_or(0)
    }

    /// The machines in the stored roster.
    pub fn roster(&self) -> Vec<String> {
        let groups = self.store.keys("t/m/");
        let machines = groups.iter().filter_map(|k| self.store.get(k)?["m"].as_object());
        machines.flat_map(|m| m.keys().cloned()).collect()
    }
}
