//! The state machine that drains one machine.

use crate::ids::MachineName;

/// State of the machine that is to replace a drained one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replacement {
    /// It has not reported yet.
    Booting,
    /// It has reported and can run units.
    Ready,
    /// It no longer exists, or the controller has given up waiting for it.
    Lost,
}

/// What the controller knows about a drained machine when it decides on the next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// No unit is on the machine, and no delayed command can start one there.
    pub is_empty: bool,
    /// A replacement machine must be ready before the evictions begin.
    pub requires_replacement: bool,
    /// An unused machine of the same kind, if there is one. Machines that are still booting are included.
    pub candidate: Option<MachineName>,
    /// State of the chosen replacement. `None` if no replacement is chosen.
    pub replacement: Option<Replacement>,
}

/// A step of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// No new unit is started on the machine.
    Cordoned,
    /// The drain waits for a replacement machine to be rented.
    ReplacementWanted,
    /// The replacement machine is booting.
    ReplacementBooting,
    /// The replacement has reported, and its capacity is reserved.
    ReplacementReady,
    /// Units are stopped as far as their disruption budgets permit.
    Evicting,
    /// No unit is left on the machine, so it may be deleted.
    Empty,
}

impl Step {
    /// The step's name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cordoned => "cordoned",
            Self::ReplacementWanted => "waiting for a replacement",
            Self::ReplacementBooting => "replacement boots",
            Self::ReplacementReady => "replacement is ready",
            Self::Evicting => "evicting",
            Self::Empty => "empty",
        }
    }
}

/// The drain of one machine. The drain can be cancelled at each step before the machine's deletion, by dropping this
/// value: the machine then goes back into service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineDrain {
    step: Step,
    step_since_ms: u64,
    begun_ms: u64,
    replacement: Option<MachineName>,
}

impl MachineDrain {
    /// Begins the drain of a machine, which is cordoned at first.
    pub fn new(now_ms: u64) -> Self {
        Self {
            step: Step::Cordoned,
            step_since_ms: now_ms,
            begun_ms: now_ms,
            replacement: None,
        }
    }

    /// The current step.
    pub fn step(&self) -> Step {
        self.step
    }

    /// When the drain entered its current step.
    pub fn step_since_ms(&self) -> u64 {
        self.step_since_ms
    }

    /// When the drain of this machine began.
    pub fn begun_ms(&self) -> u64 {
        self.begun_ms
    }

    /// The machine that replaces the drained one, once it is chosen.
    pub fn replacement(&self) -> Option<&MachineName> {
        self.replacement.as_ref()
    }

    /// Returns whether a replacement machine should be rented now.
    pub fn wants_replacement(&self) -> bool {
        self.step == Step::ReplacementWanted
    }

    /// Goes on to the next step if the observation allows it. Returns the new step, or `None` if the step does not
    /// change.
    pub fn advance(&mut self, now_ms: u64, observation: &Observation) -> Option<Step> {
        let next = self.choose_next_step(observation)?;
        if next == Step::ReplacementWanted {
            self.replacement = None;
        }
        self.step = next;
        self.step_since_ms = now_ms;
        Some(next)
    }

    fn choose_next_step(&mut self, observation: &Observation) -> Option<Step> {
        if observation.is_empty {
            return (self.step != Step::Empty).then_some(Step::Empty);
        }
        match (self.step, observation.replacement) {
            (Step::Cordoned, _) if observation.requires_replacement => Some(Step::ReplacementWanted),
            (Step::Cordoned, _) => Some(Step::Evicting),
            (Step::ReplacementWanted, _) if !observation.requires_replacement => Some(Step::Evicting),
            (Step::ReplacementWanted, _) => {
                self.replacement = Some(observation.candidate.clone()?);
                Some(Step::ReplacementBooting)
            }
            (Step::ReplacementBooting, Some(Replacement::Ready)) => Some(Step::ReplacementReady),
            (Step::ReplacementBooting | Step::ReplacementReady, Some(Replacement::Lost) | None) => {
                Some(Step::ReplacementWanted)
            }
            (Step::ReplacementReady, Some(Replacement::Ready)) => Some(Step::Evicting),
            // A late report showed that a unit is on the machine after all.
            (Step::Empty, _) => Some(Step::Evicting),
            _ => None,
        }
    }
}
