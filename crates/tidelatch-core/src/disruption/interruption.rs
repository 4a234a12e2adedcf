//! Voluntary interruptions of tasks. Every voluntary interruption goes through [`Controller::interrupt`].

use super::{controller_name, machine_name, tenure_of_epoch, unit_of_task};
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, Epoch, MachineId, Partition, TaskId};
use crate::machine_view::StopRequest;
use crate::messages::Level;
use crate::protocol::Shape;
use crate::settings::DISRUPTION_LEVEL;
use std::fmt;
use tidelatch_disruption::{Attempt as PermitAttempt, Denial, PermitRequest, Usage, WantedPermit};

/// The cause of a voluntary interruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InterruptionCause {
    /// The task's machine is being drained.
    Drain,
    /// The task's machine is being emptied so that it can be returned to the cloud.
    Emptying,
    /// The task makes room for a replica that may not run in other zones.
    Spreading,
    /// The task's machine is handed over to another partition, for production work.
    HandOver,
}

impl fmt::Display for InterruptionCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Drain => "its machine is drained",
            Self::Emptying => "its machine is emptied",
            Self::Spreading => "it makes room for a replica that may not run in other zones",
            Self::HandOver => "its machine is handed over to another partition",
        })
    }
}

/// The reason why a task is not interrupted now.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BlockReason {
    /// The task's team or machine is unknown, or no controller owns it. Also used if this controller has no permit
    /// ledger for the team, or if disruption budgets are off.
    #[error("no controller owns the task's team or its machine at present")]
    NoOwner,
    /// The task does not run, is being stopped, or waits for the other tasks of its gang.
    #[error("{0} is not running")]
    NotRunning(TaskId),
    /// The permit ledger denied the permit, for example because a budget is used up or because permits of an earlier
    /// owner may still be used.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// A permit has been requested from the owner of the task's team.
    #[error("a permit has been requested from {0}")]
    PermitRequested(ControllerId),
    /// The owner of the task's team does not support permits.
    #[error("{0} does not support permits")]
    PermitsUnsupported(ControllerId),
    /// The gang has tasks on machines of other controllers. A gang is interrupted as a whole, by the controller that
    /// owns all its machines, or not at all. Also used if the gang cannot be stopped as a whole now, for example
    /// because it is incomplete or already stops, or because one of its machines has not been heard lately.
    #[error("this controller cannot stop the gang as a whole now")]
    GangNotLocal,
}

/// A task on one of this controller's machines that is to be interrupted.
struct Candidate<'a> {
    machine: &'a MachineId,
    task: &'a TaskId,
    attempt: Attempt,
    /// The epoch since which this controller owns the machine.
    machine_owned_since: Epoch,
}

impl Candidate<'_> {
    /// The request to a permit ledger of this controller.
    fn permit_request(&self, requester: &ControllerId) -> PermitRequest {
        PermitRequest {
            unit: unit_of_task(self.task),
            attempt: PermitAttempt(self.attempt.0),
            machine: machine_name(self.machine),
            requester: controller_name(requester),
            machine_tenure: tenure_of_epoch(self.machine_owned_since),
        }
    }

    /// The permit to request from another controller.
    fn wanted_permit(&self) -> WantedPermit {
        WantedPermit {
            unit: unit_of_task(self.task),
            attempt: PermitAttempt(self.attempt.0),
            machine: machine_name(self.machine),
            machine_tenure: tenure_of_epoch(self.machine_owned_since),
        }
    }
}

impl Controller {
    /// Stops a task on one of this controller's machines if the budgets of its team permit it. A task of a gang is
    /// stopped together with all other tasks of the gang.
    pub(crate) fn interrupt(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        cause: InterruptionCause,
    ) -> Result<(), BlockReason> {
        let partition = self
            .jobs
            .get(&task.job)
            .map(|job| job.partition)
            .ok_or(BlockReason::NoOwner)?;
        if !self.attempt_runs(machine, task, attempt) {
            return Err(BlockReason::NotRunning(task.clone()));
        }
        let owns_team = self.active_tenure(partition).is_some();
        let is_gang = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.spec.shape == Shape::Gang);
        if is_gang && !owns_team {
            return Err(BlockReason::GangNotLocal);
        }
        let tasks = if is_gang {
            self.stoppable_gang_tasks(&task.job).ok_or(BlockReason::GangNotLocal)?
        } else {
            vec![(machine.clone(), task.clone(), attempt)]
        };
        let mut candidates = Vec::new();
        for (machine, task, attempt) in &tasks {
            let machine_owned_since = self.machine_owned_since(machine).ok_or(BlockReason::NoOwner)?;
            candidates.push(Candidate {
                machine,
                task,
                attempt: *attempt,
                machine_owned_since,
            });
        }
        if owns_team {
            self.grant_and_stop(partition, &candidates, cause)
        } else {
            candidates
                .iter()
                .try_for_each(|candidate| self.stop_or_request_permit(partition, candidate, cause))
        }
    }

    /// The epoch since which this controller owns a machine, or `None` if it does not act for the machine.
    fn machine_owned_since(&self, machine: &MachineId) -> Option<Epoch> {
        let partition = self.machines.get(machine)?.partition;
        self.active_tenure(partition).map(|tenure| tenure.since_epoch)
    }

    /// Grants permits for all candidates and stops them. Called if this controller owns both the team and the machines.
    fn grant_and_stop(
        &mut self,
        partition: Partition,
        candidates: &[Candidate],
        cause: InterruptionCause,
    ) -> Result<(), BlockReason> {
        let since = self
            .active_tenure(partition)
            .map(|tenure| tenure.since_epoch)
            .ok_or(BlockReason::NoOwner)?;
        let first = candidates.first().ok_or(BlockReason::NoOwner)?;
        let census = self.census(&first.task.job).ok_or(BlockReason::NoOwner)?;
        self.evaluated_candidates += census.unit_count();
        let requests: Vec<PermitRequest> = candidates
            .iter()
            .map(|candidate| candidate.permit_request(&self.own_name))
            .collect();
        let (now_ms, valid_for_ms) = (self.now.ms, self.permit_validity_ms());
        let ledger = self.disruption.as_mut().and_then(|d| d.ledgers.get_mut(&partition));
        let ledger = ledger.ok_or(BlockReason::NoOwner)?;
        ledger.request(now_ms, valid_for_ms, &requests, &census)?;
        for request in &requests {
            ledger.mark_used(&request.unit);
        }
        let usage = ledger.usage(
            requests.first().map_or(&unit_of_task(first.task), |r| &r.unit).job(),
            &census,
        );
        let left: Vec<String> = usage
            .iter()
            .map(|(scope, usage)| describe_usage(scope.as_str(), *usage))
            .collect();
        for candidate in candidates {
            let text = format!("left: {}", left.join(", "));
            self.stop_with_permit(candidate, (partition, since), cause, &text);
        }
        Ok(())
    }

    /// Stops a task if the owner of its team has granted a permit, else requests one. Called if another controller owns
    /// the team.
    fn stop_or_request_permit(
        &mut self,
        partition: Partition,
        candidate: &Candidate,
        cause: InterruptionCause,
    ) -> Result<(), BlockReason> {
        let assignment = self.partition_owner(partition).ok_or(BlockReason::NoOwner)?;
        let (owner, since) = (assignment.owner.clone(), assignment.since_epoch);
        if !self.grants_permits(&owner) {
            return Err(BlockReason::PermitsUnsupported(owner));
        }
        let now_ms = self.now.ms;
        let wanted = candidate.wanted_permit();
        let disruption = self.disruption.as_mut().ok_or(BlockReason::NoOwner)?;
        match disruption
            .permit_holder
            .use_permit(now_ms, &wanted.unit, wanted.attempt)
        {
            Ok(granted_by) if granted_by == tenure_of_epoch(since) => {
                let text = format!("permitted by {owner}");
                self.stop_with_permit(candidate, (partition, since), cause, &text);
                Ok(())
            }
            _ => {
                disruption
                    .permit_holder
                    .request_stop(wanted, controller_name(&owner), tenure_of_epoch(since));
                Err(BlockReason::PermitRequested(owner))
            }
        }
    }

    /// Whether another controller grants permits: its version supports them, and its settings enable them.
    pub(super) fn grants_permits(&self, owner: &ControllerId) -> bool {
        self.membership
            .members
            .get(owner)
            .is_some_and(|member| member.feature_level >= DISRUPTION_LEVEL)
    }

    /// The time in ms for which a permit granted now is valid: never longer than this controller itself may act.
    pub(super) fn permit_validity_ms(&self) -> u64 {
        self.remaining_entitlement_ms().min(self.settings.entitlement_ms())
    }

    /// Stops a task and records the permit, given as the granting partition and the epoch of its owner, with the stop.
    fn stop_with_permit(
        &mut self,
        candidate: &Candidate,
        permit: (Partition, Epoch),
        cause: InterruptionCause,
        detail: &str,
    ) {
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
            format!("{machine}: permit used: {task} of {team} stops, {cause}; {detail}"),
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

    /// Counts and logs an interruption for a reason that the budgets do not cover.
    pub(crate) fn record_involuntary_interruption(&mut self, task: &TaskId, reason: &str) {
        let Some(team) = self.jobs.get(&task.job).map(|job| job.spec.team.clone()) else {
            return;
        };
        let Some(disruption) = &mut self.disruption else { return };
        let count = disruption.involuntary_interruptions.entry(team.clone()).or_default();
        *count += 1;
        let text = format!("involuntary interruption {count} of team {team}: {task}: {reason}");
        self.log(Level::Info, text);
    }
}

/// Describes how many interruptions a scope has left, for a log line.
fn describe_usage(scope: &str, usage: Usage) -> String {
    format!("{} of {} in {scope}", usage.remaining(), usage.allowance)
}
