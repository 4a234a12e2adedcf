//! Voluntary interruptions under disruption budgets, and drains of machines.
//!
//! Whatever stops a task without being forced to (a machine is emptied or drained, a replica moves for another, a machine
//! is vacated for another partition) asks here first, task by task ([`gate`]). The owner of the task's team grants the
//! permit, since it alone knows how many of the team's units run ([`census`]); the owner of the machine uses it. Where
//! the two are different controllers, wishes and permits ride on their heartbeats ([`exchange`]).
//!
//! Drains are begun and parcelled out by the leader, in a record that all controllers follow ([`drain_records`]), and
//! carried out by the owners of the machines ([`machine_drains`], [`evictions`]).
//!
//! All of it is off unless the operators' settings have `disruption`.

mod budget_lookup;
mod census;
mod drain_records;
mod evictions;
mod exchange;
mod gate;
mod machine_drains;

pub(crate) use budget_lookup::BudgetLookup;
pub(crate) use drain_records::{DRAIN_PREFIX, DrainWrite};
pub(crate) use gate::Cause;

use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, JobId, MachineId, Partition, TaskId};
use crate::settings::{DISRUPTION_LEVEL, Settings};
use drain_records::DrainRecords;
use machine_drains::DrainedMachine;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use tidelatch_disruption::{ControllerName, JobName, MachineName, PermitHolder, PermitLedger, Tenure, Unit};

/// What this controller has granted, wishes for and drains.
#[derive(Default)]
pub(crate) struct Disruption {
    /// When this controller began to run.
    started_ms: u64,
    /// The permits that this controller has granted, by the partition of the teams.
    ledgers: BTreeMap<Partition, PermitLedger>,
    /// Partitions for which it has been presumed what earlier owners interrupted.
    presumed: BTreeSet<Partition>,
    /// The permits that this controller wants and holds.
    holder: PermitHolder,
    /// Machines that are emptied to be returned, and since when.
    emptied: BTreeMap<MachineId, u64>,
    /// Machines of this controller's that are drained.
    drained: BTreeMap<MachineId, DrainedMachine>,
    /// The drains, as stored.
    records: DrainRecords,
    /// How often what runs of the jobs that share a budget has been counted.
    censuses: Cell<u64>,
    /// Interruptions that were not voluntary, by team.
    involuntary: BTreeMap<String, u64>,
}

impl Disruption {
    /// None: the settings do not ask for it, or an older version is imitated.
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

fn unit(task: &TaskId) -> Unit {
    Unit::new(job_name(&task.job), task.index)
}

/// The task that a unit stands for; none: it has the name of no job.
fn task(unit: &Unit) -> Option<TaskId> {
    Some(TaskId {
        job: JobId::parse(unit.job().as_str())?,
        index: unit.index(),
    })
}

fn tenure(epoch: Epoch) -> Tenure {
    Tenure(epoch.0)
}

impl Controller {
    /// Settles what has been granted, and goes on with drains and evictions.
    pub(crate) fn tick_disruption(&mut self) {
        if self.disruption.is_none() || !self.is_entitled() {
            return;
        }
        self.settle_ledgers();
        self.presume_interrupted();
        self.tick_drained_machines();
        self.tick_evictions();
        self.prune_wishes();
    }

    /// This controller acts for a partition from now on: it may grant permits once those of earlier owners have ended.
    pub(crate) fn open_ledger(&mut self, partition: Partition, since: Epoch) {
        let grants_from_ms = self.now.ms + self.settings.entitlement_ms();
        if let Some(disruption) = &mut self.disruption {
            let ledger = PermitLedger::new(tenure(since), grants_from_ms);
            disruption.ledgers.insert(partition, ledger);
        }
    }

    /// Nothing of a partition's permits and drains counts any more.
    pub(crate) fn reset_disruption(&mut self, partition: Partition) {
        let Some(disruption) = &mut self.disruption else { return };
        disruption.ledgers.remove(&partition);
        disruption.presumed.remove(&partition);
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.partition == partition) {
            m.cordoned = false;
            m.reserved = false;
            disruption.emptied.remove(id);
            disruption.drained.remove(id);
        }
    }

    /// This controller has begun another life: others know nothing of what it wished for as that.
    pub(crate) fn forget_wishes(&mut self) {
        if let Some(disruption) = &mut self.disruption {
            disruption.holder = PermitHolder::default();
        }
    }

    /// The epoch has changed. Wishes to owners of earlier tenures are dropped, and stops that those had permitted are
    /// taken back: the new owner counts what still runs as running.
    ///
    /// Guard: a stop that has left under the older token is refused by each worker that has seen the new one, and the
    /// new owner grants nothing before all have.
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
            let superseded = |stop: &crate::machine_view::StopRequest| {
                let permit = stop.permit;
                permit.is_some_and(|(partition, granted_by)| since.get(&partition) != Some(&granted_by))
            };
            if h.stop.as_ref().is_some_and(superseded) {
                h.stop = None;
            }
        }
        let jobs = &self.jobs;
        let current = |_: &ControllerName, unit: &Unit, granted_by: Tenure| {
            let job = task(unit).and_then(|task| jobs.get(&task.job));
            job.and_then(|job| since.get(&job.partition)).copied().map(tenure) == Some(granted_by)
        };
        if let Some(disruption) = &mut self.disruption {
            disruption.holder.drop_superseded(current);
        }
    }
}
