//! What the platform hands over, what the operators set themselves, and what follows from both.

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
    CloudFacts, Facts, MachineLimits, NextState, Objective, Outside, Platform, Sibling, StateFacts, Team, WorkerFacts,
};

use tidelatch_failure_detector::Timing;

/// A fault in the settings, with the path of the field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct Fault {
    /// Where.
    pub path: String,
    /// What.
    pub fault: String,
}

/// Both, as the core uses them.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's file.
    pub platform: Platform,
    /// The operators' own.
    pub operator: Operator,
    /// What this program knows. Anything but the default is for tests of mixed memberships.
    pub features: Features,
}

fn ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

impl Settings {
    /// What is impossible only where the platform's facts and the operators' settings come together.
    pub fn faults(&self) -> Vec<Fault> {
        let detection = self.operator.failure_detection.as_ref();
        let mut faults = detection.map_or(Vec::new(), |detection| detection.faults(self.detection_timing()));
        if let Some(disruption) = &self.operator.disruption {
            faults.extend(disruption.deployment_faults(&self.platform.facts));
        }
        faults
    }
    /// The number by which this controller's own record says what it knows and does.
    pub fn level(&self) -> u32 {
        let level = self.features.level();
        let disruption = self.operator.disruption.is_some() && level == SHARED_MACHINES_LEVEL;
        if disruption { DISRUPTION_LEVEL } else { level }
    }
    /// Time between two heartbeats of a controller.
    pub fn heartbeat_ms(&self) -> u64 {
        2 * self.report_ms() / 5
    }
    /// The times that the failure detector goes by.
    pub fn detection_timing(&self) -> Timing {
        Timing {
            heartbeat_ms: self.heartbeat_ms(),
            lease_ms: self.lease_ms(),
        }
    }
    /// Time that a controller's lease lasts.
    pub fn lease_ms(&self) -> u64 {
        ms(self.platform.facts.workers.lease_s * self.operator.controller_lease_per_worker_lease).max(1000)
    }
    /// How long after sending an extension this controller may act.
    ///
    /// Steady clocks differ by up to 0.05%; four times that, and a timer step, is taken off.
    pub fn entitlement_ms(&self) -> u64 {
        let lease = self.lease_ms();
        lease - lease / 500 - 20
    }
    /// Period of workers' reports.
    pub fn report_ms(&self) -> u64 {
        ms(self.platform.facts.workers.report_s)
    }
    /// Workers' lease.
    pub fn worker_lease_ms(&self) -> u64 {
        ms(self.platform.facts.workers.lease_s)
    }
    /// Time for a cancelled job's tasks to be gone.
    pub fn cancel_ms(&self) -> u64 {
        ms(self.platform.facts.workers.cancel_s)
    }
    /// Time after which a waiting gang task gives up, and within which its tasks notice each other's end.
    pub fn gang_ms(&self) -> Option<(u64, u64)> {
        let w = &self.platform.facts.workers;
        Some((ms(w.gang_wait_s?), ms(w.gang_peer_s?)))
    }
    /// The tighter of the limits of the state service that hold and those that will: bytes in a value.
    pub fn value_bytes(&self) -> usize {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|n| n.value_kb)
            .filter(|_| self.features.gangs);
        (state.value_kb.min(next.unwrap_or(f64::MAX)) * 1024.0) as usize
    }
    /// The tighter of both: changes in a transaction.
    pub fn txn_ops(&self) -> usize {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|n| n.txn_ops)
            .filter(|_| self.features.gangs);
        state.txn_ops.min(next.unwrap_or(u32::MAX)) as usize
    }
    /// The tighter of both: changes a second.
    pub fn write_rps(&self) -> f64 {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|n| n.write_rps)
            .filter(|_| self.features.gangs);
        state.write_rps.min(next.unwrap_or(f64::MAX))
    }
    /// Wait after which a batch closes.
    pub fn batch_wait_ms(&self) -> u64 {
        ms(self.platform.facts.workers.report_s * self.operator.batch_wait_per_report)
    }
    /// Wait after which unplaced tasks are tried again.
    pub fn batch_retry_ms(&self) -> u64 {
        ms(self.platform.facts.workers.report_s * self.operator.batch_retry_per_report)
    }
    /// Silence after which a machine is given up.
    pub fn silent_ms(&self) -> u64 {
        ms(self.platform.facts.workers.lease_s * self.operator.silent_per_worker_lease)
    }
    /// How often one slice of the search may look at a machine for a task.
    pub fn search_evaluations(&self) -> usize {
        // About what a whole core of today does in a second, on the low side.
        const PER_CORE_SECOND: f64 = 4e6;
        let cores = self.platform.facts.machine_limits.cores;
        (self.operator.search_budget_s * cores * PER_CORE_SECOND).max(1000.0) as usize
    }
    /// Number of partitions: one for each controller.
    pub fn partitions(&self) -> u32 {
        self.platform.facts.nodes.max(1)
    }
    /// All controllers' names, in order.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.platform.siblings.iter().map(|s| s.host_name.clone()).collect();
        names.push(self.platform.host_name.clone());
        names.sort();
        names
    }
    /// A team by name, with its place in the list.
    pub fn team(&self, name: &str) -> Option<(usize, &Team)> {
        self.platform
            .facts
            .teams
            .iter()
            .enumerate()
            .find(|(_, t)| t.name == name)
    }
    /// The partition that a team belongs to, for good.
    pub fn partition_of_team(&self, name: &str) -> Option<crate::ids::Partition> {
        let (index, _) = self.team(name)?;
        Some(crate::ids::Partition(index as u32 % self.partitions()))
    }
}
