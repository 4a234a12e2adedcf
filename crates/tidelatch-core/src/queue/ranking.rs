//! Order of teams and jobs: fair share, guarantees, deadlines, and protection from starvation.

use crate::protocol::{JobSpec, Shape};
use crate::settings::Objective;
use std::collections::BTreeMap;

/// Seconds within which users expect even the largest jobs to start: four minutes.
pub(super) const MAX_START_DELAY_S: f64 = 240.0;
/// Fraction of the start objective of a class after which a job without a started task precedes others. It leaves time
/// for a machine to boot and to fetch an image.
const STARVATION_FRACTION: f64 = 0.75;
/// Fraction of [`MAX_START_DELAY_S`] after which a service, or a job of a class without a start objective, without a
/// started task precedes others.
const STARVATION_FRACTION_WITHOUT_OBJECTIVE: f64 = 0.375;

/// Usage of one team and the share by which it is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamUsage {
    /// Amount it uses, in the unit of its guarantee: accelerators or CPUs.
    pub used: f64,
    /// Share by which its usage is divided when teams are compared, in the same unit.
    pub share: f64,
}

/// Index of the team to serve next: among those that are `waiting`, the one that uses least relative to its share.
/// `None` if no team waits.
pub fn choose_next_team(team_usages: &[TeamUsage], waiting: &[bool]) -> Option<usize> {
    (0..team_usages.len())
        .filter(|i| waiting.get(*i).copied().unwrap_or(false))
        .min_by(|a, b| {
            let usage_ratio = |i: &usize| team_usages.get(*i).map_or(f64::MAX, |u| u.used / u.share.max(1e-9));
            usage_ratio(a).total_cmp(&usage_ratio(b))
        })
}

/// Age in seconds at which a job without a started task precedes other jobs, given the start objective of its class
/// (`within_s` in seconds; 0 if there is none). Services ignore that objective.
pub fn starvation_age_s(within_s: f64, shape: Shape) -> f64 {
    if within_s > 0.0 && shape != Shape::Service {
        STARVATION_FRACTION * within_s.min(MAX_START_DELAY_S)
    } else {
        STARVATION_FRACTION_WITHOUT_OBJECTIVE * MAX_START_DELAY_S
    }
}

/// Corrections of estimated run times per class, learned from actual run times.
#[derive(Debug, Clone, Default)]
pub struct EstimateCorrections {
    /// For each class, the sum of the logarithms of run time over estimate, and the number of tasks.
    log_ratios: BTreeMap<String, (f64, f64)>,
}

impl EstimateCorrections {
    /// Number of tasks needed before the estimates of a class are corrected.
    const MIN_TASKS: f64 = 8.0;
    /// Maximum weight of the recorded tasks, as a number of tasks; beyond it older tasks decay.
    const MAX_WEIGHT_TASKS: f64 = 64.0;

    /// Records that a task of the job ran for `ran_s` seconds.
    pub fn record_run_time(&mut self, spec: &JobSpec, ran_s: f64) {
        if spec.estimate_s <= 0.0 || ran_s <= 0.0 {
            return;
        }
        let (sum, n) = self.log_ratios.entry(spec.class.clone()).or_default();
        let decay = if *n >= Self::MAX_WEIGHT_TASKS {
            1.0 - 1.0 / Self::MAX_WEIGHT_TASKS
        } else {
            1.0
        };
        // One task counts with a factor of at most e^2 (about 7.4) in either direction.
        *sum = *sum * decay + (ran_s / spec.estimate_s).ln().clamp(-2.0, 2.0);
        *n = *n * decay + 1.0;
    }

    /// Expected run time of the job's tasks in seconds: the estimate, corrected for its class.
    pub fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        match self.log_ratios.get(&spec.class) {
            Some((sum, n)) if *n >= Self::MIN_TASKS => spec.estimate_s * (sum / n).exp(),
            _ => spec.estimate_s,
        }
    }
}

/// Urgency of a job, between 0 and 1; `slack_s` are the seconds until it must start to meet its deadline.
///
/// Jobs that can meet their deadline come first, the tightest ahead (0.6 to 1); then those that can finish within one
/// and a half deadlines (0.3 to 0.5); last those that are late in any case (0.1 to 0.2), because they would only delay
/// others.
///
/// Estimates are often wrong by half, so a job that would meet its deadline with half of its estimate counts as able
/// to.
///
/// `short_job_factor` is between 0 and 1 and larger for jobs with little left to do: if not all waiting jobs can meet
/// their deadlines, serving short jobs first satisfies more users.
pub fn urgency(slack_s: f64, short_job_factor: f64, spec: &JobSpec) -> f64 {
    /// Slack at which the part of the urgency that depends on slack has fallen by half.
    const HALF_URGENCY_SLACK_S: f64 = 60.0;
    let slack_factor = |left_s: f64| 1.0 / (1.0 + left_s.min(1e9) / HALF_URGENCY_SLACK_S);
    let optimistic_slack_s = slack_s + 0.5 * spec.estimate_s;
    let late_slack_s = optimistic_slack_s + 0.5 * spec.deadline_s.unwrap_or(0.0);
    if optimistic_slack_s >= 0.0 {
        0.6 + 0.4 * short_job_factor * slack_factor(optimistic_slack_s)
    } else if late_slack_s >= 0.0 {
        0.3 + 0.2 * short_job_factor * slack_factor(late_slack_s)
    } else {
        0.1 + 0.1 * short_job_factor
    }
}

/// Seconds within which tasks of a class should start according to the objectives; 0 without such an objective.
pub(super) fn class_start_objective_s(objectives: &[Objective], class: &str) -> f64 {
    let of_class = objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(class));
    of_class.filter_map(|o| o.within_s).reduce(f64::min).unwrap_or(0.0)
}
