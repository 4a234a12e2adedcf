//! Which team and which job comes first: shares, guarantees in time, deadlines, and what has waited for long.

use crate::protocol::{JobSpec, Shape};
use crate::settings::Objective;
use std::collections::BTreeMap;

/// Users want even the largest jobs to begin within four minutes.
pub(super) const BEGIN_WITHIN_S: f64 = 240.0;
/// Part of the time for starting after which a job that nothing has been started of comes first, so that
/// a machine can still boot and fetch an image; and where no objective names a time for its class.
const STARVED_PART: f64 = 0.75;
const STARVED_PART_UNNAMED: f64 = 0.375;

/// One team's claim in a round: what it uses, and the share by which it is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// What it uses, in its guarantee's measure.
    pub used: f64,
    /// Its share.
    pub share: f64,
}

/// The team whose turn it is: the one that uses least for its share.
pub fn next_in_turn(claims: &[Claim], waiting: &[bool]) -> Option<usize> {
    (0..claims.len())
        .filter(|i| waiting.get(*i).copied().unwrap_or(false))
        .min_by(|a, b| {
            let of = |i: &usize| claims.get(*i).map_or(f64::MAX, |c| c.used / c.share.max(1e-9));
            of(a).total_cmp(&of(b))
        })
}

/// Age in seconds at which a job that nothing has been started of comes first, by the time within which
/// its class should start (0: none is named).
pub fn starved_s(within_s: f64, shape: Shape) -> f64 {
    if within_s > 0.0 && shape != Shape::Service {
        STARVED_PART * within_s.min(BEGIN_WITHIN_S)
    } else {
        STARVED_PART_UNNAMED * BEGIN_WITHIN_S
    }
}

/// What the run times of a class's tasks have taught about its estimates.
#[derive(Debug, Clone, Default)]
pub struct EstimateCorrections {
    /// By class: the sum of the logarithms of run time over estimate, and their number.
    ratios: BTreeMap<String, (f64, f64)>,
}

impl EstimateCorrections {
    /// Tasks that count before a class's estimates are corrected.
    const ENOUGH: f64 = 8.0;
    /// Weight of what was learned, in tasks: older ones fade beyond it.
    const MEMORY: f64 = 64.0;

    /// A task of a class has run for so long.
    pub fn note(&mut self, spec: &JobSpec, ran_s: f64) {
        if spec.estimate_s <= 0.0 || ran_s <= 0.0 {
            return;
        }
        let (sum, n) = self.ratios.entry(spec.class.clone()).or_default();
        let fade = if *n >= Self::MEMORY {
            1.0 - 1.0 / Self::MEMORY
        } else {
            1.0
        };
        *sum = *sum * fade + (ran_s / spec.estimate_s).ln().clamp(-2.0, 2.0);
        *n = *n * fade + 1.0;
    }

    /// The run time to expect of a job's tasks: its estimate, as corrected by what was learned.
    pub fn run_s(&self, spec: &JobSpec) -> f64 {
        match self.ratios.get(&spec.class) {
            Some((sum, n)) if *n >= Self::ENOUGH => spec.estimate_s * (sum / n).exp(),
            _ => spec.estimate_s,
        }
    }
}

/// How urgent work is, between 0 and 1, by the seconds until it has to be started to be in time.
///
/// What can be in time comes first, the tightest ahead; then what can be done by one and a half
/// deadlines; last what is late in any case, for it would only make others late as well.
///
/// Estimates are often wrong by half: what would be in time with half of its estimate counts as such.
///
/// `small` is between 0 and 1, and larger for jobs with little left to do: when more waits than can be in
/// time, room given to those makes more of their users content.
pub fn urgency(slack_s: f64, small: f64, spec: &JobSpec) -> f64 {
    const SCALE_S: f64 = 60.0;
    let within = |left_s: f64| 1.0 / (1.0 + left_s.min(1e9) / SCALE_S);
    let slack_s = slack_s + 0.5 * spec.estimate_s;
    let late_s = slack_s + 0.5 * spec.deadline_s.unwrap_or(0.0);
    if slack_s >= 0.0 {
        0.6 + 0.4 * small * within(slack_s)
    } else if late_s >= 0.0 {
        0.3 + 0.2 * small * within(late_s)
    } else {
        0.1 + 0.1 * small
    }
}

/// Time within which tasks of a class should start, by the objectives; 0 if none says so.
pub(super) fn start_within(objectives: &[Objective], class: &str) -> f64 {
    let of_class = objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(class));
    of_class.filter_map(|o| o.within_s).reduce(f64::min).unwrap_or(0.0)
}
