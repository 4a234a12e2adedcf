//! Counts the running units of jobs that share a budget, as the owner of their team sees them.

use super::{Disruption, job_name, tenure_of_epoch};
use crate::controller::Controller;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::machine_view::{HeldTask, HeldTaskState, Machine};
use crate::protocol::{Priority, Shape, TaskState};
use crate::settings::Disruption as DisruptionSettings;
use tidelatch_disruption::{
    Budget, Census, JobCensus, JobName, OutstandingPermit, ScopeName, UnavailabilityRule, Unit, UnitSet, UnitState,
    UnitStateSource,
};

/// How the units of a job count against a budget: as replicas of a service, or as tasks.
fn counting(job: &Job) -> UnavailabilityRule {
    match job.spec.shape {
        Shape::Service => UnavailabilityRule::Replicas,
        Shape::Array | Shape::Gang => UnavailabilityRule::Tasks,
    }
}

/// Whether a task runs and has not been told to stop.
fn is_running(held: &HeldTask) -> bool {
    held.state == HeldTaskState::Reported(TaskState::Running) && held.stop.is_none()
}

impl Controller {
    /// Takes the census of all jobs that share a budget with the given job, whose team this controller owns. Returns
    /// `None` if the job is unknown.
    pub(super) fn census(&self, id: &JobId) -> Option<Census> {
        let job = self.jobs.get(id)?;
        if let Some(disruption) = &self.disruption {
            disruption.census_count.set(disruption.census_count.get() + 1);
        }
        let mut census = Census::default();
        census
            .set_unreported_machines(u32::try_from(self.count_unconfirmed_machines(job.partition)).unwrap_or(u32::MAX));
        let shares_team_and_class =
            |other: &&Job| other.spec.team == job.spec.team && other.spec.class == job.spec.class;
        for (name, other) in self.jobs.iter().filter(|(_, other)| shares_team_and_class(other)) {
            let scopes = self.budget_scopes(name, other);
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

    /// Number of censuses that this controller has taken of jobs that share a disruption budget. This measures the cost
    /// of the budgets.
    pub fn census_count(&self) -> u64 {
        self.disruption.as_ref().map_or(0, |d| d.census_count.get())
    }

    /// The budget scopes that a job belongs to, each with its budget. A scope is a set of jobs that share one budget.
    fn budget_scopes(&self, id: &JobId, job: &Job) -> Vec<(ScopeName, Budget)> {
        let spec = &job.spec;
        let class = format!("{}/{}", spec.team, spec.class);
        let settings = self.settings.operator.disruption.as_ref();
        if let Some(budget) = settings.and_then(|settings| settings.budget(&spec.team, &spec.class)) {
            return vec![(ScopeName::new(class), budget)];
        }
        // A class may contain services and arrays. By default the two do not share a budget.
        if counting(job) == UnavailabilityRule::Tasks {
            let tasks = ScopeName::new(format!("tasks of {class}"));
            return vec![(tasks, DisruptionSettings::default_task_class_budget())];
        }
        let mut scopes = vec![(
            ScopeName::new(id.as_str()),
            DisruptionSettings::default_service_budget(),
        )];
        if spec.priority >= Priority::Prod {
            let replicas = ScopeName::new(format!("replicas of {class}"));
            scopes.push((replicas, DisruptionSettings::default_production_class_budget()));
        }
        scopes
    }

    /// The units of a job that run on machines with a recent report.
    fn running_units(&self, id: &JobId, job: &Job) -> UnitSet {
        let runs_on = |index: u32, machine: &MachineId| {
            let machine = self.machines.get(machine).filter(|m| self.has_reported_recently(m));
            machine.is_some_and(|m| {
                let matches_unit = |h: &&HeldTask| h.task.index == index && h.task.job == *id;
                m.held.iter().filter(matches_unit).any(is_running)
            })
        };
        let placed = job.placed.iter();
        let running = placed.filter(|(index, machines)| machines.iter().any(|machine| runs_on(**index, machine)));
        running.map(|(index, _)| *index).collect()
    }

    /// Whether a machine has reported within the last two report intervals and is neither gone nor being returned to
    /// the cloud.
    fn has_reported_recently(&self, m: &Machine) -> bool {
        let max_report_age_ms = 2 * self.settings.report_ms();
        let is_recent = m
            .last_report_at
            .is_some_and(|t| self.now.ms.saturating_sub(t) <= max_report_age_ms);
        is_recent && !m.is_deleted && !m.retiring
    }

    /// Whether an attempt runs on a machine, according to this controller's view of the machine.
    pub(super) fn attempt_runs(&self, machine: &MachineId, task: &TaskId, attempt: Attempt) -> bool {
        let held = self.machines.get(machine).into_iter().flat_map(|m| &m.held);
        held.filter(|h| h.task == *task && h.attempt == attempt).any(is_running)
    }

    /// Releases granted permits that no longer count against a budget.
    pub(super) fn settle_ledgers(&mut self) {
        let Some(mut disruption) = self.disruption.take() else {
            return;
        };
        for (partition, ledger) in &mut disruption.ledgers {
            let view = OwnerView {
                controller: self,
                partition: *partition,
            };
            ledger.release_settled_permits(self.now.ms, &view);
        }
        self.disruption = Some(disruption);
    }

    /// Infers which tasks earlier owners interrupted. Once all machines of a partition are accounted for, each task
    /// that was started but is on no machine counts as interrupted by an earlier owner. Tasks are started in the order
    /// of their index, so a task with a lower index than a started one was started too.
    pub(super) fn infer_earlier_interruptions(&mut self) {
        let settled_partitions = self
            .tenures
            .iter()
            .filter(|(_, tenure)| tenure.are_machines_accounted_for)
            .map(|(p, _)| *p);
        let settled_partitions: Vec<Partition> = settled_partitions.collect();
        let Some(Disruption {
            ledgers,
            interruptions_inferred,
            ..
        }) = &mut self.disruption
        else {
            return;
        };
        for partition in settled_partitions {
            let Some(ledger) = ledgers.get_mut(&partition) else {
                continue;
            };
            if !interruptions_inferred.insert(partition) {
                continue;
            }
            let jobs = self.jobs.iter().filter(|(_, job)| job.partition == partition);
            for (id, job) in jobs.filter(|(_, job)| counting(job) == UnavailabilityRule::Tasks) {
                let units = started_but_unplaced_units(job);
                if !units.is_empty() {
                    ledger.count_as_interrupted(job_name(id), &units);
                }
            }
        }
    }
}

/// Tasks of an array or gang that are neither done nor on a machine, although a task with a higher index is.
fn started_but_unplaced_units(job: &Job) -> UnitSet {
    let placed = job.placed.keys().next_back().copied();
    let done = (0..job.spec.tasks).rev().find(|index| job.is_done(*index));
    let Some(last) = placed.max(done) else {
        return UnitSet::default();
    };
    let is_unplaced = |index: &u32| !job.is_done(*index) && !job.placed.contains_key(index);
    (0..last).filter(is_unplaced).collect()
}

/// The state of units with granted permits, as the owner of a partition's teams sees it.
struct OwnerView<'a> {
    controller: &'a Controller,
    partition: Partition,
}

impl OwnerView<'_> {
    /// Looks up a job of this partition; `None` if it is unknown, ending or cancelled.
    fn find_job(&self, name: &JobName) -> Option<(JobId, &Job)> {
        let id = JobId::parse(name.as_str())?;
        let job = self
            .controller
            .jobs
            .get(&id)
            .filter(|job| job.partition == self.partition)?;
        let is_ending = job.ending.is_some() || self.controller.cancellations.is_cancelled_or_requested(&id);
        (!is_ending).then_some((id, job))
    }

    /// Whether a unit runs as an attempt whose number satisfies `matches_attempt`.
    fn runs_matching_attempt(&self, unit: &Unit, matches_attempt: impl Fn(u64) -> bool) -> bool {
        let Some((id, job)) = self.find_job(unit.job()) else {
            return false;
        };
        let machines = job.placed.get(&unit.index()).into_iter().flatten();
        let held = machines
            .filter_map(|machine| self.controller.machines.get(machine))
            .flat_map(|m| &m.held);
        held.filter(|h| h.task.index == unit.index() && h.task.job == id)
            .any(|h| is_running(h) && matches_attempt(h.attempt.0))
    }

    /// Whether the holder of a permit can no longer stop the permit's attempt: the holder no longer owns the machine,
    /// and the machine has since reported under the present fencing token.
    fn is_fenced(&self, machine: &Machine, permit: &OutstandingPermit) -> bool {
        let Some((record, _)) = &self.controller.membership.epoch else {
            return false;
        };
        let still_owns = record.partitions.iter().any(|part| {
            part.owner.as_str() == permit.requester().as_str()
                && tenure_of_epoch(part.since_epoch) == permit.machine_tenure()
        });
        !still_owns && machine.seen_epoch >= record.number
    }
}

impl UnitStateSource for OwnerView<'_> {
    fn state(&self, unit: &Unit, permit: &OutstandingPermit) -> UnitState {
        let Some((id, job)) = self.find_job(unit.job()) else {
            return UnitState::Finished;
        };
        if job.is_done(unit.index()) {
            return UnitState::Finished;
        }
        let machine = MachineId::new(permit.machine().as_str());
        let m = self.controller.machines.get(&machine);
        let matches_permit =
            |h: &&HeldTask| h.task.index == unit.index() && h.task.job == id && h.attempt.0 == permit.attempt().0;
        let held = m.and_then(|m| m.held.iter().find(matches_permit));
        match m.zip(held) {
            Some((m, held)) if is_running(held) && self.is_fenced(m, permit) => UnitState::RunningFenced,
            Some(_) => UnitState::Stoppable,
            None if self.runs_matching_attempt(unit, |attempt| attempt != permit.attempt().0) => UnitState::Restarted,
            None => UnitState::Ended,
        }
    }

    fn unavailability_rule(&self, job: &JobName) -> Option<UnavailabilityRule> {
        self.find_job(job).map(|(_, job)| counting(job))
    }

    fn has_recovered(&self, unit: &Unit) -> bool {
        let done = self
            .find_job(unit.job())
            .is_none_or(|(_, job)| job.is_done(unit.index()));
        done || self.runs_matching_attempt(unit, |_| true)
    }
}
