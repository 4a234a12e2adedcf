//! The steps in which one machine is drained.

use crate::ids::MachineName;

/// What has become of the machine that is to take a drained one's place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replacement {
    /// It has not come up.
    Booting,
    /// It has reported, and may take units.
    Ready,
    /// It is gone, or has been given up.
    Lost,
}

/// What is known of a drained machine when the next step is decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Nothing is on the machine, and no late command can change that.
    pub is_empty: bool,
    /// A machine is to be had ahead of the evictions.
    pub replace_ahead: bool,
    /// A machine of its kind that nobody uses, booting ones included.
    pub candidate: Option<MachineName>,
    /// How the chosen replacement stands; none: none is chosen.
    pub replacement: Option<Replacement>,
}

/// A step of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing new is started on the machine.
    Cordoned,
    /// A replacement is asked for.
    ReplacementWanted,
    /// The replacement boots.
    ReplacementBooting,
    /// The replacement has reported, and its room is booked.
    ReplacementReady,
    /// Units are stopped as their budgets permit.
    Evicting,
    /// Nothing is on the machine: it may be deleted.
    Empty,
}

impl Step {
    /// The step's name, for logs.
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

/// One machine under drain. It goes back to service by being dropped, from each step before its deletion.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineDrain {
    step: Step,
    step_since_ms: u64,
    begun_ms: u64,
    replacement: Option<MachineName>,
}

impl MachineDrain {
    /// A machine whose drain begins: it is cordoned.
    pub fn new(now_ms: u64) -> Self {
        Self {
            step: Step::Cordoned,
            step_since_ms: now_ms,
            begun_ms: now_ms,
            replacement: None,
        }
    }

    /// The present step.
    pub fn step(&self) -> Step {
        self.step
    }

    /// Since when the drain has been in its present step.
    pub fn step_since_ms(&self) -> u64 {
        self.step_since_ms
    }

    /// When the drain of this machine began.
    pub fn begun_ms(&self) -> u64 {
        self.begun_ms
    }

    /// The machine that takes this one's place.
    pub fn replacement(&self) -> Option<&MachineName> {
        self.replacement.as_ref()
    }

    /// Whether a machine is to be rented in this one's place.
    pub fn wants_replacement(&self) -> bool {
        self.step == Step::ReplacementWanted
    }

    /// Goes on to the next step if what is known allows it; returns the new step if there is one.
    pub fn advance(&mut self, now_ms: u64, seen: &Observation) -> Option<Step> {
        let next = self.next_step(seen)?;
        if next == Step::ReplacementWanted {
            self.replacement = None;
        }
        self.step = next;
        self.step_since_ms = now_ms;
        Some(next)
    }

    fn next_step(&mut self, seen: &Observation) -> Option<Step> {
        if seen.is_empty {
            return (self.step != Step::Empty).then_some(Step::Empty);
        }
        match (self.step, seen.replacement) {
            (Step::Cordoned, _) if seen.replace_ahead => Some(Step::ReplacementWanted),
            (Step::Cordoned, _) => Some(Step::Evicting),
            (Step::ReplacementWanted, _) if !seen.replace_ahead => Some(Step::Evicting),
            (Step::ReplacementWanted, _) => {
                self.replacement = Some(seen.candidate.clone()?);
                Some(Step::ReplacementBooting)
            }
            (Step::ReplacementBooting, Some(Replacement::Ready)) => Some(Step::ReplacementReady),
            (Step::ReplacementBooting | Step::ReplacementReady, Some(Replacement::Lost) | None) => {
                Some(Step::ReplacementWanted)
            }
            (Step::ReplacementReady, Some(Replacement::Ready)) => Some(Step::Evicting),
            // Something was found on it after all, by a late report.
            (Step::Empty, _) => Some(Step::Evicting),
            _ => None,
        }
    }
}
