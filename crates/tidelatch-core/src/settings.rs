//! Settings of a controller: the platform's settings, the operators' settings, and values derived from both.

mod disruption;
mod failure_detection;
mod features;
mod operator;
mod platform;

pub use disruption::{BudgetRule, Disruption, DrainRule, Units};
pub use failure_detection::{EstimatorChoice, FailureDetection};
pub use features::{DISRUPTION_LEVEL, Features, SHARED_MACHINES_LEVEL};
pub use operator::Operator;
pub use platform::{
    CloudFacts, Facts, MachineLimits, Objective, PeerController, Platform, ServiceAddresses, StateServiceFacts, Team,
    UpcomingStateServiceLimits, WorkerFacts,
};

use tidelatch_failure_detector::Timing;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct Fault {
    /// Path of the field, such as `facts.teams[0].gpus`.
    pub path: String,
    /// What is wrong with the value.
    pub message: String,
}

/// The platform's and the operators' settings, as the core uses them.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings that the platform provides.
    pub platform: Platform,
    /// Settings that the operators choose.
    pub operator: Operator,
    /// Features that this controller supports. Only tests of controllers of different versions change the default.
    pub features: Features,
}

fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

impl Settings {
    /// Operators' settings that are invalid in combination with the facts of this deployment.
    ///
    /// Faults that show in one file alone are found by [`Platform::faults`] and [`Operator::faults`].
    pub fn faults(&self) -> Vec<Fault> {
        let detection = self.operator.failure_detection.as_ref();
        let mut faults = detection.map_or(Vec::new(), |detection| detection.timing_faults(self.detection_timing()));
        if let Some(disruption) = &self.operator.disruption {
            faults.extend(disruption.deployment_faults(&self.platform.facts));
        }
        faults
    }
    /// Feature level that this controller writes in its member record: the level of its [`Features`], or
    /// [`DISRUPTION_LEVEL`] if it has all features and disruption budgets are turned on.
    pub fn level(&self) -> u32 {
        let level = self.features.level();
        let has_disruption = self.operator.disruption.is_some() && level == SHARED_MACHINES_LEVEL;
        if has_disruption { DISRUPTION_LEVEL } else { level }
    }
    /// Interval between two heartbeats of a controller, in milliseconds: two fifths of the workers' report period.
    pub fn heartbeat_ms(&self) -> u64 {
        2 * self.report_ms() / 5
    }
    /// Heartbeat interval and lease duration that the failure detector uses.
    pub fn detection_timing(&self) -> Timing {
        Timing {
            heartbeat_ms: self.heartbeat_ms(),
            lease_ms: self.lease_ms(),
        }
    }
    /// Duration of a controller's lease in milliseconds, at least 1000.
    pub fn lease_ms(&self) -> u64 {
        seconds_to_ms(self.platform.facts.workers.lease_s * self.operator.controller_lease_per_worker_lease).max(1000)
    }
    /// Time in milliseconds for which this controller may act after it has sent an extension of its lease.
    ///
    /// It is shorter than the lease: the rates of monotonic clocks are assumed to differ by up to 0.05%, so four times
    /// that (a 500th of the lease) and one timer step of 20 ms are subtracted.
    pub fn entitlement_ms(&self) -> u64 {
        let lease = self.lease_ms();
        lease - lease / 500 - 20
    }
    /// Period of the workers' reports, in milliseconds.
    pub fn report_ms(&self) -> u64 {
        seconds_to_ms(self.platform.facts.workers.report_s)
    }
    /// Duration of a worker's lease, in milliseconds.
    pub fn worker_lease_ms(&self) -> u64 {
        seconds_to_ms(self.platform.facts.workers.lease_s)
    }
    /// Time in milliseconds within which all tasks of a cancelled job must be gone.
    pub fn cancel_ms(&self) -> u64 {
        seconds_to_ms(self.platform.facts.workers.cancel_s)
    }
    /// Two times in milliseconds: after the first, a gang task that waits for the other tasks gives up; within the
    /// second, the tasks of a gang notice that one of them has ended. `None` if the deployment does not run gangs.
    pub fn gang_ms(&self) -> Option<(u64, u64)> {
        let workers = &self.platform.facts.workers;
        Some((seconds_to_ms(workers.gang_wait_s?), seconds_to_ms(workers.gang_peer_s?)))
    }
    /// Maximum size of a value in the state service, in bytes: the smaller of the present and the announced limit.
    /// Without [`Features::gangs`], announced limits are ignored.
    pub fn value_bytes(&self) -> usize {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|limits| limits.value_kb)
            .filter(|_| self.features.gangs);
        (state.value_kb.min(next.unwrap_or(f64::MAX)) * 1024.0) as usize
    }
    /// Maximum number of changes in a transaction: the smaller of the present and the announced limit. Without
    /// [`Features::gangs`], announced limits are ignored.
    pub fn txn_ops(&self) -> usize {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|limits| limits.txn_ops)
            .filter(|_| self.features.gangs);
        state.txn_ops.min(next.unwrap_or(u32::MAX)) as usize
    }
    /// Maximum number of changes per second by all controllers together: the smaller of the present and the announced
    /// limit. Without [`Features::gangs`], announced limits are ignored.
    pub fn write_rps(&self) -> f64 {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|limits| limits.write_rps)
            .filter(|_| self.features.gangs);
        state.write_rps.min(next.unwrap_or(f64::MAX))
    }
    /// Time in milliseconds from the request for a placement batch until the batch runs, even if it is not full.
    pub fn batch_wait_ms(&self) -> u64 {
        seconds_to_ms(self.platform.facts.workers.report_s * self.operator.batch_wait_per_report)
    }
    /// Delay in milliseconds after which placement of unplaced tasks is tried again.
    pub fn batch_retry_ms(&self) -> u64 {
        seconds_to_ms(self.platform.facts.workers.report_s * self.operator.batch_retry_per_report)
    }
    /// Time in milliseconds without a report after which a machine counts as lost.
    pub fn silent_ms(&self) -> u64 {
        seconds_to_ms(self.platform.facts.workers.lease_s * self.operator.silent_per_worker_lease)
    }
    /// Number of evaluations (one machine for one task) that the placement search may make without interruption, within
    /// one input of the controller.
    pub fn search_evaluations(&self) -> usize {
        // Lower bound of the evaluations that one whole core makes in a second, so that the search keeps its time
        // budget.
        const EVALUATIONS_PER_CORE_SECOND: f64 = 4e6;
        let cores = self.platform.facts.machine_limits.cores;
        (self.operator.search_budget_s * cores * EVALUATIONS_PER_CORE_SECOND).max(1000.0) as usize
    }
    /// Number of partitions: one for each controller of the deployment.
    pub fn partitions(&self) -> u32 {
        self.platform.facts.nodes.max(1)
    }
    /// Names of all controllers, this one included, sorted.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self
            .platform
            .siblings
            .iter()
            .map(|peer| peer.host_name.clone())
            .collect();
        names.push(self.platform.host_name.clone());
        names.sort();
        names
    }
    /// The team of this name, with its index in `facts.teams`.
    pub fn team(&self, name: &str) -> Option<(usize, &Team)> {
        self.platform
            .facts
            .teams
            .iter()
            .enumerate()
            .find(|(_, team)| team.name == name)
    }
    /// The partition that a team belongs to. It follows from the team's index in `facts.teams` and never changes.
    pub fn partition_of_team(&self, name: &str) -> Option<crate::ids::Partition> {
        let (index, _) = self.team(name)?;
        Some(crate::ids::Partition(index as u32 % self.partitions()))
    }
}
