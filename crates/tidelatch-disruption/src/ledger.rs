//! Permits, on the side of the controller that owns the teams: it grants permits and counts them against the budgets.

use crate::census::{Census, UnavailabilityRule, Usage};
use crate::holder::PermitMessage;
use crate::ids::{Attempt, ControllerName, JobName, MachineName, ScopeName, Tenure, Unit};
use crate::unit_set::UnitSet;
use std::collections::BTreeMap;

/// A controller's request for a permit to stop a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// The unit.
    pub unit: Unit,
    /// The attempt to stop.
    pub attempt: Attempt,
    /// The machine that the attempt is on.
    pub machine: MachineName,
    /// The requester, which is the owner of the machine.
    pub requester: ControllerName,
    /// The fencing token with which the requester's ownership of the machine began.
    pub machine_tenure: Tenure,
}

/// Permission to stop one attempt of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The unit.
    pub unit: Unit,
    /// The attempt that may be stopped.
    pub attempt: Attempt,
    /// The ownership epoch of the unit's team at the granter. It is the permit's fencing token.
    pub tenure: Tenure,
    /// How long the permit is valid, from when the request for it was sent.
    pub valid_for_ms: u64,
}

/// Why a permit is denied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    /// Permits of an earlier owner may still be used.
    #[error("permits of an earlier owner may be used for another {wait_ms} ms")]
    EarlierOwnerPermits {
        /// Time until all of them have expired.
        wait_ms: u64,
    },
    /// Machines that may run units of the teams have not reported to this owner yet.
    #[error("{machines} machines are not accounted for")]
    UnreportedMachines {
        /// Number of these machines.
        machines: u32,
    },
    /// The budget of a scope is used up.
    #[error("{scope}: {unavailable} units would be unavailable, {allowance} may be")]
    BudgetExhausted {
        /// The scope.
        scope: ScopeName,
        /// Number of units that would be unavailable, or might become so.
        unavailable: u32,
        /// Number of units that may be unavailable at a time.
        allowance: u32,
    },
    /// The unit does not run, or its job is unknown, so there is nothing to interrupt.
    #[error("{unit} does not run")]
    NotRunning {
        /// The unit.
        unit: Unit,
    },
    /// Another permit for the unit is outstanding.
    #[error("{unit}: another permit is outstanding")]
    PermitOutstanding {
        /// The unit.
        unit: Unit,
    },
    /// The job belongs to no scope that has a budget.
    #[error("{unit}: its job belongs to no budget scope")]
    NoBudgetScope {
        /// The unit.
        unit: Unit,
    },
}

/// An outstanding permit: it was granted, and counts against the budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OutstandingPermit {
    attempt: Attempt,
    machine: MachineName,
    requester: ControllerName,
    machine_tenure: Tenure,
    expires_ms: u64,
    is_used: bool,
    /// The permit was granted in answer to a permit message. A later message that does not list the permit gives it
    /// back.
    is_granted_by_message: bool,
}

impl OutstandingPermit {
    /// The attempt that may be stopped.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The machine that the attempt is on.
    pub fn machine(&self) -> &MachineName {
        &self.machine
    }

    /// The controller that may stop the attempt.
    pub fn requester(&self) -> &ControllerName {
        &self.requester
    }

    /// The fencing token with which the requester's ownership of the machine began.
    pub fn machine_tenure(&self) -> Tenure {
        self.machine_tenure
    }

    /// Returns whether the requester has reported that it used the permit.
    pub fn is_used(&self) -> bool {
        self.is_used
    }
}

/// State of a unit for which a permit is outstanding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitState {
    /// The attempt may be on its machine, and the holder of the permit may still stop it.
    Stoppable,
    /// The attempt runs, and no command that the holder of the permit sent can stop it any more: the holder's ownership
    /// of the machine has ended, and the machine has reported since it saw the fencing token of the next owner. The
    /// permit still counts until it expires.
    RunningFenced,
    /// The attempt is known to have ended, and the unit does not run.
    Ended,
    /// The unit runs again, as another attempt.
    Restarted,
    /// The unit has finished, or its job has ended.
    Finished,
}

/// The state of units and jobs that the ledger reads from the embedding scheduler in
/// [`PermitLedger::release_settled_permits`].
pub trait UnitStateSource {
    /// Returns the state of a unit for which a permit is outstanding.
    fn state(&self, unit: &Unit, permit: &OutstandingPermit) -> UnitState;
    /// Returns which units of a job count as unavailable, or `None` if the job has ended.
    fn unavailability_rule(&self, job: &JobName) -> Option<UnavailabilityRule>;
    /// Returns whether an interrupted unit runs again or has finished.
    fn has_recovered(&self, unit: &Unit) -> bool;
}

/// The permits that the owner of some teams has granted during one ownership epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitLedger {
    tenure: Tenure,
    grants_from_ms: u64,
    outstanding: BTreeMap<Unit, OutstandingPermit>,
    interrupted: BTreeMap<JobName, UnitSet>,
    /// Incarnation and sequence number of the last message accepted from each requester.
    last_messages: BTreeMap<ControllerName, (u64, u64)>,
}

impl PermitLedger {
    /// Creates a ledger without permits. It grants none before `grants_from_ms`, because permits of earlier owners may
    /// be used until then.
    pub fn new(tenure: Tenure, grants_from_ms: u64) -> Self {
        Self {
            tenure,
            grants_from_ms,
            outstanding: BTreeMap::new(),
            interrupted: BTreeMap::new(),
            last_messages: BTreeMap::new(),
        }
    }

    /// Counts units that an earlier owner may have interrupted as interrupted until they run again.
    pub fn count_as_interrupted(&mut self, job: JobName, units: &UnitSet) {
        self.interrupted.entry(job).or_default().extend(units);
    }

    /// The ownership epoch that this ledger grants permits for.
    pub fn tenure(&self) -> Tenure {
        self.tenure
    }

    /// The outstanding permits by unit.
    pub fn outstanding(&self) -> impl Iterator<Item = (&Unit, &OutstandingPermit)> {
        self.outstanding.iter()
    }

    /// Number of interrupted tasks of a job that do not run again yet.
    pub fn interrupted_count(&self, job: &JobName) -> u32 {
        self.interrupted.get(job).map_or(0, UnitSet::len)
    }

    /// Grants permits for all of the units or for none of them, valid for `valid_for_ms`.
    ///
    /// The request is idempotent: if the same controller requests an outstanding permit again, the permit is granted
    /// again with a new validity.
    ///
    /// # Errors
    ///
    /// Returns why the permits are denied now.
    pub fn request(
        &mut self,
        now_ms: u64,
        valid_for_ms: u64,
        requests: &[PermitRequest],
        census: &Census,
    ) -> Result<Vec<Permit>, Denial> {
        self.check_takeover_complete(now_ms, census)?;
        for request in requests {
            self.check_unit_is_stoppable(request, census)?;
        }
        let before: Vec<(Unit, Option<OutstandingPermit>)> = requests
            .iter()
            .map(|request| (request.unit.clone(), self.outstanding.get(&request.unit).cloned()))
            .collect();
        for request in requests {
            let permit = self.build_entry(request, now_ms + valid_for_ms);
            self.outstanding.insert(request.unit.clone(), permit);
        }
        let has_new_permit = before.iter().any(|(_, earlier)| earlier.is_none());
        if has_new_permit && let Err(denial) = self.check_budgets(requests, census) {
            self.restore_entries(before);
            return Err(denial);
        }
        let permit = |request: &PermitRequest| Permit {
            unit: request.unit.clone(),
            attempt: request.attempt,
            tenure: self.tenure,
            valid_for_ms,
        };
        Ok(requests.iter().map(permit).collect())
    }

    /// Denies all requests while an earlier owner's permits may still be used, or while units may run on machines that
    /// have not reported.
    fn check_takeover_complete(&self, now_ms: u64, census: &Census) -> Result<(), Denial> {
        if now_ms < self.grants_from_ms {
            let wait_ms = self.grants_from_ms - now_ms;
            return Err(Denial::EarlierOwnerPermits { wait_ms });
        }
        let machines = census.unreported_machines();
        if machines > 0 {
            return Err(Denial::UnreportedMachines { machines });
        }
        Ok(())
    }

    fn check_unit_is_stoppable(&self, request: &PermitRequest, census: &Census) -> Result<(), Denial> {
        let unit = || request.unit.clone();
        let runs = census
            .job(request.unit.job())
            .is_some_and(|job| job.is_running(request.unit.index()));
        match self.outstanding.get(&request.unit) {
            Some(permit) if permit.matches_request(request) => Ok(()),
            Some(_) => Err(Denial::PermitOutstanding { unit: unit() }),
            None if runs => Ok(()),
            None => Err(Denial::NotRunning { unit: unit() }),
        }
    }

    /// Builds the ledger entry for a request. What is known from an earlier entry for the same unit is kept.
    fn build_entry(&self, request: &PermitRequest, expires_ms: u64) -> OutstandingPermit {
        let earlier = self.outstanding.get(&request.unit);
        OutstandingPermit {
            attempt: request.attempt,
            machine: request.machine.clone(),
            requester: request.requester.clone(),
            machine_tenure: request.machine_tenure,
            expires_ms: earlier.map_or(expires_ms, |earlier| earlier.expires_ms.max(expires_ms)),
            is_used: earlier.is_some_and(|earlier| earlier.is_used),
            is_granted_by_message: earlier.is_some_and(|earlier| earlier.is_granted_by_message),
        }
    }

    /// Checks that every scope of the requested units stays within its budget if all outstanding permits are used.
    fn check_budgets(&self, requests: &[PermitRequest], census: &Census) -> Result<(), Denial> {
        let outstanding = self.outstanding_units();
        for request in requests {
            let scopes = census.job(request.unit.job()).map_or(&[][..], |job| job.scopes());
            if scopes.is_empty() {
                let unit = request.unit.clone();
                return Err(Denial::NoBudgetScope { unit });
            }
            for scope in scopes {
                let usage = census.usage(scope, &outstanding, &self.interrupted);
                if let Some(usage) = usage.filter(|usage| usage.unavailable > usage.allowance) {
                    return Err(Denial::BudgetExhausted {
                        scope: scope.clone(),
                        unavailable: usage.unavailable,
                        allowance: usage.allowance,
                    });
                }
            }
        }
        Ok(())
    }

    fn restore_entries(&mut self, before: Vec<(Unit, Option<OutstandingPermit>)>) {
        for (unit, earlier) in before {
            match earlier {
                Some(permit) => self.outstanding.insert(unit, permit),
                None => self.outstanding.remove(&unit),
            };
        }
    }

    fn outstanding_units(&self) -> BTreeMap<JobName, UnitSet> {
        let mut units: BTreeMap<JobName, UnitSet> = BTreeMap::new();
        for unit in self.outstanding.keys() {
            units.entry(unit.job().clone()).or_default().insert(unit.index());
        }
        units
    }

    /// Returns the usage of each scope of a job, with all outstanding permits counted as used.
    pub fn usage(&self, job: &JobName, census: &Census) -> Vec<(ScopeName, Usage)> {
        let outstanding = self.outstanding_units();
        let scopes = census.job(job).map_or(&[][..], |job| job.scopes());
        let usage = |scope: &ScopeName| Some((scope.clone(), census.usage(scope, &outstanding, &self.interrupted)?));
        scopes.iter().filter_map(usage).collect()
    }

    /// Records that the permit for a unit has been used: the attempt is being stopped.
    pub fn mark_used(&mut self, unit: &Unit) {
        if let Some(permit) = self.outstanding.get_mut(unit) {
            permit.is_used = true;
        }
    }

    /// Handles a controller's message about the permits that it wants and has used. Returns whether the message is
    /// newer than those before it. If it is not, its requests must not be answered.
    ///
    /// A message is a complete list, so an unused permit that it does not list has been returned. The caller must not
    /// pass in messages that are late, or that come from another incarnation than the requester's registered one.
    pub fn accept_message(&mut self, requester: &ControllerName, incarnation: u64, message: &PermitMessage) -> bool {
        let last_message = self.last_messages.get(requester);
        if last_message.is_some_and(|(earlier, sequence)| *earlier == incarnation && message.sequence <= *sequence) {
            return false;
        }
        self.last_messages
            .insert(requester.clone(), (incarnation, message.sequence));
        for used in &message.used {
            let permit = self.outstanding.get_mut(&used.unit);
            if let Some(permit) =
                permit.filter(|permit| permit.attempt == used.attempt && permit.requester == *requester)
            {
                permit.is_used = true;
            }
        }
        let is_listed = |unit: &Unit, attempt: Attempt| {
            let mut all = message.wanted.iter().chain(&message.used);
            all.any(|wanted| wanted.unit == *unit && wanted.attempt == attempt)
        };
        self.outstanding.retain(|unit, permit| {
            let is_returned = permit.requester == *requester
                && !permit.is_used
                && permit.is_granted_by_message
                && !is_listed(unit, permit.attempt);
            !is_returned
        });
        true
    }

    /// Records that a message is answered with the permit for a unit.
    pub fn mark_granted_by_message(&mut self, unit: &Unit) {
        if let Some(permit) = self.outstanding.get_mut(unit) {
            permit.is_granted_by_message = true;
        }
    }

    /// Releases permits that no longer count against the budget: the unit runs again, its job has ended, or no
    /// controller can stop the attempt any more.
    pub fn release_settled_permits(&mut self, now_ms: u64, view: &impl UnitStateSource) {
        let interrupted = &mut self.interrupted;
        self.outstanding.retain(|unit, permit| match view.state(unit, permit) {
            UnitState::Stoppable => true,
            UnitState::RunningFenced => now_ms <= permit.expires_ms,
            UnitState::Restarted | UnitState::Finished => false,
            UnitState::Ended => {
                if view.unavailability_rule(unit.job()) == Some(UnavailabilityRule::Tasks) {
                    interrupted.entry(unit.job().clone()).or_default().insert(unit.index());
                }
                false
            }
        });
        interrupted.retain(|job, units| {
            let is_unrecovered = |index: &u32| !view.has_recovered(&Unit::new(job.clone(), *index));
            *units = units.iter().filter(is_unrecovered).collect();
            view.unavailability_rule(job).is_some() && !units.is_empty()
        });
    }
}

impl OutstandingPermit {
    /// Returns whether a request is for this same permit.
    fn matches_request(&self, request: &PermitRequest) -> bool {
        self.attempt == request.attempt
            && self.requester == request.requester
            && self.machine == request.machine
            && self.machine_tenure == request.machine_tenure
    }
}
