//! The one gate that every voluntary interruption goes through.

use super::{controller_name, machine_name, tenure, unit};
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, Epoch, MachineId, Partition, TaskId};
use crate::machine_view::StopRequest;
use crate::messages::Level;
use crate::protocol::Shape;
use crate::settings::DISRUPTION_LEVEL;
use std::fmt;
use tidelatch_disruption::{Attempt as PermitAttempt, Denial, PermitRequest, Usage, WantedPermit};

/// Why a task is interrupted though nothing forces that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Its machine is drained.
    Drain,
    /// Its machine is emptied, to be returned.
    Emptying,
    /// It makes room for a replica that may not run in other zones.
    Spreading,
    /// Its machine goes to another partition, for production work.
    HandOver,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Drain => "its machine is drained",
            Self::Emptying => "its machine is emptied",
            Self::Spreading => "it makes room for a replica that may not run elsewhere",
            Self::HandOver => "its machine goes to another partition",
        })
    }
}

/// Why a task is not interrupted now.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Blocked {
    /// The task's team or machine is unknown, or in nobody's hands.
    #[error("nobody owns the task's team or its machine at present")]
    NoOwner,
    /// It does not run, is being stopped, or waits for a gang's other tasks.
    #[error("{0} does not run")]
    NotRunning(TaskId),
    /// No budget, or not yet.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// The owner of the task's team has been asked.
    #[error("{0} has been asked")]
    Asked(ControllerId),
    /// The owner of the task's team does not know permits.
    #[error("{0} grants no permits")]
    GrantsNone(ControllerId),
    /// A gang is interrupted whole, by the owner of all its machines, or not at all.
    #[error("a gang's tasks are not all on machines of this controller's")]
    Gang,
}

/// One task on one of this controller's machines.
struct Candidate<'a> {
    machine: &'a MachineId,
    task: &'a TaskId,
    attempt: Attempt,
    /// With what epoch this controller's ownership of the machine began.
    machine_since: Epoch,
}

impl Candidate<'_> {
    fn request(&self, asker: &ControllerId) -> PermitRequest {
        PermitRequest {
            unit: unit(self.task),
            attempt: PermitAttempt(self.attempt.0),
            machine: machine_name(self.machine),
            asker: controller_name(asker),
            machine_tenure: tenure(self.machine_since),
        }
    }

    fn wanted(&self) -> WantedPermit {
        WantedPermit {
            unit: unit(self.task),
            attempt: PermitAttempt(self.attempt.0),
            machine: machine_name(self.machine),
            machine_tenure: tenure(self.machine_since),
        }
    }
}

impl Controller {
    /// Stops a task on one of this controller's machines if its team's budget permits it; a gang's task with all others
    /// of its gang.
    pub(crate) fn interrupt(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        cause: Cause,
    ) -> Result<(), Blocked> {
        let partition = self
            .jobs
            .get(&task.job)
            .map(|job| job.partition)
            .ok_or(Blocked::NoOwner)?;
        if !self.attempt_runs(machine, task, attempt) {
            return Err(Blocked::NotRunning(task.clone()));
        }
        let granted_here = self.active_tenure(partition).is_some();
        let is_gang = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.spec.shape == Shape::Gang);
        if is_gang && !granted_here {
            return Err(Blocked::Gang);
        }
        let tasks = if is_gang {
            self.stoppable_gang_tasks(&task.job).ok_or(Blocked::Gang)?
        } else {
            vec![(machine.clone(), task.clone(), attempt)]
        };
        let mut candidates = Vec::new();
        for (machine, task, attempt) in &tasks {
            let machine_since = self.machine_since(machine).ok_or(Blocked::NoOwner)?;
            candidates.push(Candidate {
                machine,
                task,
                attempt: *attempt,
                machine_since,
            });
        }
        if granted_here {
            self.grant_and_stop(partition, &candidates, cause)
        } else {
            candidates
                .iter()
                .try_for_each(|candidate| self.ask_or_stop(partition, candidate, cause))
        }
    }

    /// With what epoch this controller began to own a machine; none: it does not act for it.
    fn machine_since(&self, machine: &MachineId) -> Option<Epoch> {
        let partition = self.machines.get(machine)?.partition;
        self.active_tenure(partition).map(|tenure| tenure.since_epoch)
    }

    /// This controller owns both the team and the machines.
    fn grant_and_stop(&mut self, partition: Partition, candidates: &[Candidate], cause: Cause) -> Result<(), Blocked> {
        let since = self
            .active_tenure(partition)
            .map(|tenure| tenure.since_epoch)
            .ok_or(Blocked::NoOwner)?;
        let first = candidates.first().ok_or(Blocked::NoOwner)?;
        let census = self.census(&first.task.job).ok_or(Blocked::NoOwner)?;
        self.evaluated_candidates += census.units();
        let requests: Vec<PermitRequest> = candidates
            .iter()
            .map(|candidate| candidate.request(&self.own_name))
            .collect();
        let (now_ms, valid_for_ms) = (self.now.ms, self.permit_ms());
        let ledger = self.disruption.as_mut().and_then(|d| d.ledgers.get_mut(&partition));
        let ledger = ledger.ok_or(Blocked::NoOwner)?;
        ledger.request(now_ms, valid_for_ms, &requests, &census)?;
        for request in &requests {
            ledger.note_used(&request.unit);
        }
        let usage = ledger.usage(requests.first().map_or(&unit(first.task), |r| &r.unit).job(), &census);
        let left: Vec<String> = usage
            .iter()
            .map(|(scope, usage)| describe(scope.as_str(), *usage))
            .collect();
        for candidate in candidates {
            let text = format!("left: {}", left.join(", "));
            self.stop_by_permit(candidate, (partition, since), cause, &text);
        }
        Ok(())
    }

    /// Another controller owns the team: the task is stopped once that has permitted it.
    fn ask_or_stop(&mut self, partition: Partition, candidate: &Candidate, cause: Cause) -> Result<(), Blocked> {
        let holding = self.partition_owner(partition).ok_or(Blocked::NoOwner)?;
        let (owner, since) = (holding.owner.clone(), holding.since_epoch);
        if !self.grants_permits(&owner) {
            return Err(Blocked::GrantsNone(owner));
        }
        let now_ms = self.now.ms;
        let wanted = candidate.wanted();
        let disruption = self.disruption.as_mut().ok_or(Blocked::NoOwner)?;
        match disruption.holder.use_permit(now_ms, &wanted.unit, wanted.attempt) {
            Ok(granted_by) if granted_by == tenure(since) => {
                let text = format!("permitted by {owner}");
                self.stop_by_permit(candidate, (partition, since), cause, &text);
                Ok(())
            }
            _ => {
                disruption.holder.want(wanted, controller_name(&owner), tenure(since));
                Err(Blocked::Asked(owner))
            }
        }
    }

    /// Whether another controller grants permits: its version knows them, and they are turned on there.
    pub(super) fn grants_permits(&self, owner: &ControllerId) -> bool {
        self.membership
            .members
            .get(owner)
            .is_some_and(|member| member.feature_level >= DISRUPTION_LEVEL)
    }

    /// How long a permit that is granted now may be used: no longer than this controller may act.
    pub(super) fn permit_ms(&self) -> u64 {
        self.remaining_entitlement_ms().min(self.settings.entitlement_ms())
    }

    fn stop_by_permit(&mut self, candidate: &Candidate, permit: (Partition, Epoch), cause: Cause, budget: &str) {
        let Candidate {
            machine, task, attempt, ..
        } = candidate;
        let team = self
            .jobs
            .get(&task.job)
            .map_or("", |job| job.spec.team.as_str())
            .to_owned();
        self.log(
            Level::Info,
            format!("{machine}: permit used: {task} of {team} stops, {cause}; {budget}"),
        );
        self.request_stop(machine, task, *attempt);
        let m = self.machines.get_mut(*machine);
        let held = m.and_then(|m| m.held.iter_mut().find(|h| h.task == **task && h.attempt == *attempt));
        if let Some(stop) = held.and_then(|h| h.stop.as_mut()) {
            *stop = StopRequest {
                permit: Some(permit),
                ..*stop
            };
        }
    }

    /// A task was interrupted for a reason that budgets do not govern.
    pub(crate) fn note_involuntary(&mut self, task: &TaskId, why: &str) {
        let Some(team) = self.jobs.get(&task.job).map(|job| job.spec.team.clone()) else {
            return;
        };
        let Some(disruption) = &mut self.disruption else { return };
        let count = disruption.involuntary.entry(team.clone()).or_default();
        *count += 1;
        let text = format!("involuntary interruption {count} of {team}: {task}: {why}");
        self.log(Level::Info, text);
    }
}

fn describe(scope: &str, usage: Usage) -> String {
    format!("{} of {} in {scope}", usage.left(), usage.allowance)
}
