//! Voluntary interruptions under disruption budgets, and drains of machines.
//!
//! A voluntary interruption stops a task although nothing forces it: a machine is emptied or drained, a replica makes
//! room for another one, or a machine is vacated for another partition. Each such stop needs a permit for the task
//! ([`interruption`]). The controller that owns the task's team grants the permit, since only that controller knows how
//! many of the team's units (replicas of a service, or tasks) run ([`census`]); the controller that owns the machine
//! uses it. If these are two different controllers, they exchange permit requests and permits in their heartbeats
//! ([`permit_exchange`]).
//!
//! The leader starts drains and selects the machines to drain next, in records that all controllers watch
//! ([`drain_records`]). The owners of the machines carry the drains out ([`machine_drains`], [`evictions`]).
//!
//! The feature is off unless the operator settings contain `disruption`.

mod budget_lookup;
mod census;
mod drain_records;
mod evictions;
mod interruption;
mod machine_drains;
mod permit_exchange;

pub(crate) use budget_lookup::BudgetLookup;
pub(crate) use drain_records::{DRAIN_PREFIX, DrainWrite};
pub(crate) use interruption::InterruptionCause;

use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, JobId, MachineId, Partition, TaskId};
use crate::settings::{DISRUPTION_LEVEL, Settings};
use drain_records::DrainRecords;
use machine_drains::DrainedMachine;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use tidelatch_disruption::{ControllerName, JobName, MachineName, PermitHolder, PermitLedger, Tenure, Unit};

/// Disruption state of this controller: granted permits, wanted and held permits, and drains.
#[derive(Default)]
pub(crate) struct Disruption {
    /// When this controller process started, in ms.
    started_ms: u64,
    /// The permits that this controller has granted, by the partition that the teams belong to.
    ledgers: BTreeMap<Partition, PermitLedger>,
    /// Partitions for which the interruptions by earlier owners have been inferred.
    interruptions_inferred: BTreeSet<Partition>,
    /// The permits that this controller has requested or holds.
    permit_holder: PermitHolder,
    /// Machines that are being emptied so that they can be returned to the cloud, each with the start time in ms.
    emptying_since_ms: BTreeMap<MachineId, u64>,
    /// The machines of this controller that are being drained.
    drained_machines: BTreeMap<MachineId, DrainedMachine>,
    /// The drains, as stored in the state service.
    drain_records: DrainRecords,
    /// Number of censuses taken, that is, counts of the running units of jobs that share a budget.
    census_count: Cell<u64>,
    /// Number of involuntary interruptions, by team.
    involuntary_interruptions: BTreeMap<String, u64>,
}

impl Disruption {
    /// Returns `None` if the settings do not enable disruption budgets, or if `features` turns them off.
    pub(crate) fn new(settings: &Settings, now_ms: u64) -> Option<Self> {
        (settings.level() >= DISRUPTION_LEVEL).then(|| Self {
            started_ms: now_ms,
            ..Self::default()
        })
    }
}

fn job_name(job: &JobId) -> JobName {
    JobName::new(job.as_str())
}

fn machine_name(machine: &MachineId) -> MachineName {
    MachineName::new(machine.as_str())
}

fn controller_name(controller: &ControllerId) -> ControllerName {
    ControllerName::new(controller.as_str())
}

fn unit_of_task(task: &TaskId) -> Unit {
    Unit::new(job_name(&task.job), task.index)
}

/// The task that a unit stands for, or `None` if the unit's job name is not a valid job ID.
fn task_of_unit(unit: &Unit) -> Option<TaskId> {
    Some(TaskId {
        job: JobId::parse(unit.job().as_str())?,
        index: unit.index(),
    })
}

fn tenure_of_epoch(epoch: Epoch) -> Tenure {
    Tenure(epoch.0)
}

impl Controller {
    /// Updates the permit ledgers, then advances drains and evictions.
    pub(crate) fn tick_disruption(&mut self) {
        if self.disruption.is_none() || !self.is_entitled() {
            return;
        }
        self.settle_ledgers();
        self.infer_earlier_interruptions();
        self.tick_drained_machines();
        self.tick_evictions();
        self.drop_obsolete_permit_requests();
    }

    /// Creates the permit ledger of a partition that this controller acts for from now on. The ledger grants permits
    /// only after the permits of earlier owners have expired.
    pub(crate) fn create_permit_ledger(&mut self, partition: Partition, since: Epoch) {
        let grants_from_ms = self.now.ms + self.settings.entitlement_ms();
        if let Some(disruption) = &mut self.disruption {
            let ledger = PermitLedger::new(tenure_of_epoch(since), grants_from_ms);
            disruption.ledgers.insert(partition, ledger);
        }
    }

    /// Discards all permits, drains and reservations of a partition.
    pub(crate) fn reset_disruption(&mut self, partition: Partition) {
        let Some(disruption) = &mut self.disruption else { return };
        disruption.ledgers.remove(&partition);
        disruption.interruptions_inferred.remove(&partition);
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.partition == partition) {
            m.cordoned = false;
            m.reserved = false;
            disruption.emptying_since_ms.remove(id);
            disruption.drained_machines.remove(id);
        }
    }

    /// Drops all wanted and held permits when this controller starts a new incarnation: other controllers know of no
    /// requests from the new incarnation.
    pub(crate) fn reset_permit_holder(&mut self) {
        if let Some(disruption) = &mut self.disruption {
            disruption.permit_holder = PermitHolder::default();
        }
    }

    /// Called when the epoch has changed. Drops permit requests to owners of earlier tenures, and revokes stops that
    /// those owners had permitted: the new owner counts tasks that still run as running.
    ///
    /// This is safe: a stop that was already sent under the older fencing token is refused by each worker that has seen
    /// the new token, and the new owner grants no permit before all workers have seen it, nor before
    /// the permits of earlier owners have expired (`create_permit_ledger`).
    pub(crate) fn drop_superseded_permits(&mut self) {
        if self.disruption.is_none() {
            return;
        }
        let since: BTreeMap<Partition, Epoch> = match &self.membership.epoch {
            Some((record, _)) => (0..)
                .map(Partition)
                .zip(record.partitions.iter().map(|p| p.since_epoch))
                .collect(),
            None => return,
        };
        for h in self.machines.values_mut().flat_map(|m| m.held.iter_mut()) {
            let is_superseded = |stop: &crate::machine_view::StopRequest| {
                let permit = stop.permit;
                permit.is_some_and(|(partition, granted_by)| since.get(&partition) != Some(&granted_by))
            };
            if h.stop.as_ref().is_some_and(is_superseded) {
                h.stop = None;
            }
        }
        let jobs = &self.jobs;
        let is_current = |_: &ControllerName, unit: &Unit, granted_by: Tenure| {
            let job = task_of_unit(unit).and_then(|task| jobs.get(&task.job));
            job.and_then(|job| since.get(&job.partition))
                .copied()
                .map(tenure_of_epoch)
                == Some(granted_by)
        };
        if let Some(disruption) = &mut self.disruption {
            disruption.permit_holder.drop_superseded_requests(is_current);
        }
    }
}
