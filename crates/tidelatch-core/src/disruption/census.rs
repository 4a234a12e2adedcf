//! What runs of the jobs that share a budget, as the owner of their team sees it.

use super::{Disruption, job_name, tenure};
use crate::controller::Controller;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::machine_view::{HeldTask, HeldTaskState, Machine};
use crate::protocol::{Priority, Shape, TaskState};
use crate::settings::Disruption as DisruptionSettings;
use tidelatch_disruption::{
    Budget, Census, Counting, JobCensus, JobName, LedgerView, ScopeName, SpentPermit, Unit, UnitSet, UnitState,
};

fn counting(job: &Job) -> Counting {
    match job.spec.shape {
        Shape::Service => Counting::Replicas,
        Shape::Array | Shape::Gang => Counting::Tasks,
    }
}

/// Whether a task runs, and nobody has told it to stop.
fn runs_on(held: &HeldTask) -> bool {
    held.state == HeldTaskState::Reported(TaskState::Running) && held.stop.is_none()
}

impl Controller {
    /// All jobs that share a budget with a job, which is of a team of this controller's.
    pub(super) fn census(&self, id: &JobId) -> Option<Census> {
        let job = self.jobs.get(id)?;
        if let Some(disruption) = &self.disruption {
            disruption.censuses.set(disruption.censuses.get() + 1);
        }
        let mut census = Census::default();
        census.set_unaccounted(u32::try_from(self.count_unconfirmed_machines(job.partition)).unwrap_or(u32::MAX));
        let alike = |other: &&Job| other.spec.team == job.spec.team && other.spec.class == job.spec.class;
        for (name, other) in self.jobs.iter().filter(|(_, other)| alike(other)) {
            let scopes = self.scopes(name, other);
            for (scope, budget) in &scopes {
                census.add_scope(scope.clone(), *budget);
            }
            let scopes = scopes.into_iter().map(|(scope, _)| scope);
            let running = self.running_units(name, other);
            let job = JobCensus::new(counting(other), other.spec.tasks, running, scopes);
            census.add_job(job_name(name), job);
        }
        Some(census)
    }

    /// How often this controller has counted what runs of the jobs that share a disruption budget: the cost of budgets.
    pub fn censuses(&self) -> u64 {
        self.disruption.as_ref().map_or(0, |d| d.censuses.get())
    }

    /// The scopes of a job, each with its budget.
    fn scopes(&self, id: &JobId, job: &Job) -> Vec<(ScopeName, Budget)> {
        let spec = &job.spec;
        let class = format!("{}/{}", spec.team, spec.class);
        let settings = self.settings.operator.disruption.as_ref();
        if let Some(budget) = settings.and_then(|settings| settings.budget(&spec.team, &spec.class)) {
            return vec![(ScopeName::new(class), budget)];
        }
        // A class may have services and arrays: by default they share no budget.
        if counting(job) == Counting::Tasks {
            let tasks = ScopeName::new(format!("tasks of {class}"));
            return vec![(tasks, DisruptionSettings::default_for_tasks())];
        }
        let mut scopes = vec![(ScopeName::new(id.as_str()), DisruptionSettings::default_for_job())];
        if spec.priority >= Priority::Prod {
            let replicas = ScopeName::new(format!("replicas of {class}"));
            scopes.push((replicas, DisruptionSettings::default_for_production()));
        }
        scopes
    }

    /// The units of a job that run on machines which have reported lately.
    fn running_units(&self, id: &JobId, job: &Job) -> UnitSet {
        let runs = |index: u32, machine: &MachineId| {
            let machine = self.machines.get(machine).filter(|m| self.is_heard(m));
            machine.is_some_and(|m| {
                let of_unit = |h: &&HeldTask| h.task.index == index && h.task.job == *id;
                m.held.iter().filter(of_unit).any(runs_on)
            })
        };
        let placed = job.placed.iter();
        let running = placed.filter(|(index, machines)| machines.iter().any(|machine| runs(**index, machine)));
        running.map(|(index, _)| *index).collect()
    }

    /// Whether a machine has reported lately, and is not given up.
    fn is_heard(&self, m: &Machine) -> bool {
        let patience = 2 * self.settings.report_ms();
        let lately = m
            .last_report_at
            .is_some_and(|t| self.now.ms.saturating_sub(t) <= patience);
        lately && !m.is_deleted && !m.retiring
    }

    /// Whether an attempt runs on a machine, as far as this controller sees.
    pub(super) fn attempt_runs(&self, machine: &MachineId, task: &TaskId, attempt: Attempt) -> bool {
        let held = self.machines.get(machine).into_iter().flat_map(|m| &m.held);
        held.filter(|h| h.task == *task && h.attempt == attempt).any(runs_on)
    }

    /// Frees permits that are no longer spent.
    pub(super) fn settle_ledgers(&mut self) {
        let Some(mut disruption) = self.disruption.take() else {
            return;
        };
        for (partition, ledger) in &mut disruption.ledgers {
            let view = OwnerView {
                controller: self,
                partition: *partition,
            };
            ledger.settle(self.now.ms, &view);
        }
        self.disruption = Some(disruption);
    }

    /// Once all machines of a partition are accounted for, tasks that were begun and are nowhere count as interrupted
    /// by an earlier owner. Tasks are begun in the order of their numbers.
    pub(super) fn presume_interrupted(&mut self) {
        let settled = self
            .tenures
            .iter()
            .filter(|(_, tenure)| tenure.are_machines_accounted_for)
            .map(|(p, _)| *p);
        let settled: Vec<Partition> = settled.collect();
        let Some(Disruption { ledgers, presumed, .. }) = &mut self.disruption else {
            return;
        };
        for partition in settled {
            let Some(ledger) = ledgers.get_mut(&partition) else {
                continue;
            };
            if !presumed.insert(partition) {
                continue;
            }
            let jobs = self.jobs.iter().filter(|(_, job)| job.partition == partition);
            for (id, job) in jobs.filter(|(_, job)| counting(job) == Counting::Tasks) {
                let units = begun_and_nowhere(job);
                if !units.is_empty() {
                    ledger.presume_interrupted(job_name(id), &units);
                }
            }
        }
    }
}

/// Tasks of an array that are neither done nor on a machine, though later ones are.
fn begun_and_nowhere(job: &Job) -> UnitSet {
    let placed = job.placed.keys().next_back().copied();
    let done = (0..job.spec.tasks).rev().find(|index| job.is_done(*index));
    let Some(last) = placed.max(done) else {
        return UnitSet::default();
    };
    let nowhere = |index: &u32| !job.is_done(*index) && !job.placed.contains_key(index);
    (0..last).filter(nowhere).collect()
}

/// What the owner of a partition's teams knows of the units for which it has granted permits.
struct OwnerView<'a> {
    controller: &'a Controller,
    partition: Partition,
}

impl OwnerView<'_> {
    fn job(&self, name: &JobName) -> Option<(JobId, &Job)> {
        let id = JobId::parse(name.as_str())?;
        let job = self
            .controller
            .jobs
            .get(&id)
            .filter(|job| job.partition == self.partition)?;
        let called_off = job.ending.is_some() || self.controller.cancellations.is_cancelled_or_requested(&id);
        (!called_off).then_some((id, job))
    }

    /// Whether a unit runs as an attempt for which `accepts` holds.
    fn runs(&self, unit: &Unit, accepts: impl Fn(u64) -> bool) -> bool {
        let Some((id, job)) = self.job(unit.job()) else {
            return false;
        };
        let machines = job.placed.get(&unit.index()).into_iter().flatten();
        let held = machines
            .filter_map(|machine| self.controller.machines.get(machine))
            .flat_map(|m| &m.held);
        held.filter(|h| h.task.index == unit.index() && h.task.job == id)
            .any(|h| runs_on(h) && accepts(h.attempt.0))
    }

    /// Whether whoever holds a permit can no longer stop its attempt: it has lost the machine, and the machine has
    /// reported under the present token since.
    fn is_fenced(&self, machine: &Machine, permit: &SpentPermit) -> bool {
        let Some((record, _)) = &self.controller.membership.epoch else {
            return false;
        };
        let owns = record.partitions.iter().any(|part| {
            part.owner.as_str() == permit.asker().as_str() && tenure(part.since_epoch) == permit.machine_tenure()
        });
        !owns && machine.seen_epoch >= record.number
    }
}

impl LedgerView for OwnerView<'_> {
    fn state(&self, unit: &Unit, permit: &SpentPermit) -> UnitState {
        let Some((id, job)) = self.job(unit.job()) else {
            return UnitState::Over;
        };
        if job.is_done(unit.index()) {
            return UnitState::Over;
        }
        let machine = MachineId::new(permit.machine().as_str());
        let m = self.controller.machines.get(&machine);
        let of_permit =
            |h: &&HeldTask| h.task.index == unit.index() && h.task.job == id && h.attempt.0 == permit.attempt().0;
        let held = m.and_then(|m| m.held.iter().find(of_permit));
        match m.zip(held) {
            Some((m, held)) if runs_on(held) && self.is_fenced(m, permit) => UnitState::RunsFenced,
            Some(_) => UnitState::Stoppable,
            None if self.runs(unit, |attempt| attempt != permit.attempt().0) => UnitState::RunsAnew,
            None => UnitState::Gone,
        }
    }

    fn counting(&self, job: &JobName) -> Option<Counting> {
        self.job(job).map(|(_, job)| counting(job))
    }

    fn is_made_up_for(&self, unit: &Unit) -> bool {
        let done = self.job(unit.job()).is_none_or(|(_, job)| job.is_done(unit.index()));
        done || self.runs(unit, |_| true)
    }
}
