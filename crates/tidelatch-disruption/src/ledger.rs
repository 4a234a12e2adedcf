//! Permits, on the side of the controller that owns the teams: it grants them and counts what they spend.

use crate::census::{Census, Counting, Usage};
use crate::holder::PermitMessage;
use crate::ids::{Attempt, ControllerName, JobName, MachineName, ScopeName, Tenure, Unit};
use crate::unit_set::UnitSet;
use std::collections::BTreeMap;

/// A controller asks whether it may stop a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRequest {
    /// The unit.
    pub unit: Unit,
    /// Its attempt that would be stopped.
    pub attempt: Attempt,
    /// The machine that the attempt is on.
    pub machine: MachineName,
    /// Who asks: the owner of the machine.
    pub asker: ControllerName,
    /// With what token that controller's ownership of the machine began.
    pub machine_tenure: Tenure,
}

/// Leave to stop one attempt of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The unit.
    pub unit: Unit,
    /// The attempt that may be stopped.
    pub attempt: Attempt,
    /// The granter's ownership of the unit's team: the fencing token of the permit.
    pub tenure: Tenure,
    /// How long the permit may be used, from when the request for it was sent.
    pub valid_for_ms: u64,
}

/// Why nothing is permitted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    /// Permits of an earlier owner may still be used.
    #[error("an earlier owner's permits may be used for {wait_ms} ms more")]
    EarlierPermits {
        /// Time until they have ended.
        wait_ms: u64,
    },
    /// Machines that may hold the teams' units have not reported.
    #[error("{machines} machines are not accounted for")]
    Unaccounted {
        /// How many.
        machines: u32,
    },
    /// The budget of a scope is used up.
    #[error("{scope}: {unavailable} units would be unavailable, {allowance} may be")]
    BudgetSpent {
        /// The scope.
        scope: ScopeName,
        /// Units that are unavailable, or may become so.
        unavailable: u32,
        /// Units that may be.
        allowance: u32,
    },
    /// The unit does not run, or its job is not known: there is nothing to interrupt.
    #[error("{unit} does not run")]
    NotRunning {
        /// The unit.
        unit: Unit,
    },
    /// Another permit for the unit is out.
    #[error("another permit for {unit} is out")]
    Taken {
        /// The unit.
        unit: Unit,
    },
    /// The job stands in no scope with a budget.
    #[error("{unit} stands in no scope")]
    NoScope {
        /// The unit.
        unit: Unit,
    },
}

/// A permit that is out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SpentPermit {
    attempt: Attempt,
    machine: MachineName,
    asker: ControllerName,
    machine_tenure: Tenure,
    expires_ms: u64,
    used: bool,
    /// It was granted in answer to a message, and so returned by a later one that does not list it.
    by_message: bool,
}

impl SpentPermit {
    /// The attempt that may be stopped.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The machine that it is on.
    pub fn machine(&self) -> &MachineName {
        &self.machine
    }

    /// Who may stop it.
    pub fn asker(&self) -> &ControllerName {
        &self.asker
    }

    /// With what token the asker's ownership of the machine began.
    pub fn machine_tenure(&self) -> Tenure {
        self.machine_tenure
    }

    /// Whether the asker has said that it used the permit.
    pub fn is_used(&self) -> bool {
        self.used
    }
}

/// What is known of a unit for which a permit is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitState {
    /// The attempt may be on its machine, and whoever holds the permit may still stop it.
    Stoppable,
    /// The attempt runs by a report that is newer than anything the permit's holder could still send: its ownership
    /// of the machine has ended, and the machine has seen the token of the next owner.
    RunsFenced,
    /// The attempt is proven gone, and the unit does not run.
    Gone,
    /// The unit runs as another attempt.
    RunsAnew,
    /// The unit is done, or its job is over.
    Over,
}

/// What the ledger asks of its embedder when it settles.
pub trait LedgerView {
    /// What is known of a unit for which a permit is out.
    fn state(&self, unit: &Unit, permit: &SpentPermit) -> UnitState;
    /// How the units of a job count; none: the job is over.
    fn counting(&self, job: &JobName) -> Option<Counting>;
    /// Whether an interrupted unit runs again, or is done.
    fn is_made_up_for(&self, unit: &Unit) -> bool;
}

/// The permits that the owner of some teams has granted, in one tenure.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitLedger {
    tenure: Tenure,
    grants_from_ms: u64,
    spent: BTreeMap<Unit, SpentPermit>,
    interrupted: BTreeMap<JobName, UnitSet>,
    /// The last message that was taken from each asker: its life and sequence number.
    heard: BTreeMap<ControllerName, (u64, u64)>,
}

impl PermitLedger {
    /// A ledger without permits. It grants none before `grants_from_ms`: till then those of earlier owners may be used.
    pub fn new(tenure: Tenure, grants_from_ms: u64) -> Self {
        Self {
            tenure,
            grants_from_ms,
            spent: BTreeMap::new(),
            interrupted: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Units that an earlier owner may have interrupted count as interrupted until they run again.
    pub fn presume_interrupted(&mut self, job: JobName, units: &UnitSet) {
        self.interrupted.entry(job).or_default().extend(units);
    }

    /// The tenure that this ledger grants for.
    pub fn tenure(&self) -> Tenure {
        self.tenure
    }

    /// The permits that are out.
    pub fn spent(&self) -> impl Iterator<Item = (&Unit, &SpentPermit)> {
        self.spent.iter()
    }

    /// Interrupted tasks of a job that do not run again yet.
    pub fn interrupted(&self, job: &JobName) -> u32 {
        self.interrupted.get(job).map_or(0, UnitSet::len)
    }

    /// Grants permits for all of the units or for none of them, valid for `valid_for_ms`.
    ///
    /// Asked again for a permit that is out, by the same controller, it grants the same one anew.
    ///
    /// # Errors
    ///
    /// Why nothing is permitted now.
    pub fn request(
        &mut self,
        now_ms: u64,
        valid_for_ms: u64,
        requests: &[PermitRequest],
        census: &Census,
    ) -> Result<Vec<Permit>, Denial> {
        self.check_beginning(now_ms, census)?;
        for request in requests {
            self.check_unit(request, census)?;
        }
        let before: Vec<(Unit, Option<SpentPermit>)> = requests
            .iter()
            .map(|request| (request.unit.clone(), self.spent.get(&request.unit).cloned()))
            .collect();
        for request in requests {
            let permit = self.spend(request, now_ms + valid_for_ms);
            self.spent.insert(request.unit.clone(), permit);
        }
        let is_new = before.iter().any(|(_, earlier)| earlier.is_none());
        if is_new && let Err(denial) = self.check_budgets(requests, census) {
            self.restore(before);
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

    /// Nothing is granted while an earlier owner's permits may be used, or units may be where nobody knows of them.
    fn check_beginning(&self, now_ms: u64, census: &Census) -> Result<(), Denial> {
        if now_ms < self.grants_from_ms {
            let wait_ms = self.grants_from_ms - now_ms;
            return Err(Denial::EarlierPermits { wait_ms });
        }
        let machines = census.unaccounted();
        if machines > 0 {
            return Err(Denial::Unaccounted { machines });
        }
        Ok(())
    }

    fn check_unit(&self, request: &PermitRequest, census: &Census) -> Result<(), Denial> {
        let unit = || request.unit.clone();
        let runs = census
            .job(request.unit.job())
            .is_some_and(|job| job.runs(request.unit.index()));
        match self.spent.get(&request.unit) {
            Some(permit) if permit.is_of(request) => Ok(()),
            Some(_) => Err(Denial::Taken { unit: unit() }),
            None if runs => Ok(()),
            None => Err(Denial::NotRunning { unit: unit() }),
        }
    }

    /// The entry for a request; what is known of an earlier one for the same stays.
    fn spend(&self, request: &PermitRequest, expires_ms: u64) -> SpentPermit {
        let earlier = self.spent.get(&request.unit);
        SpentPermit {
            attempt: request.attempt,
            machine: request.machine.clone(),
            asker: request.asker.clone(),
            machine_tenure: request.machine_tenure,
            expires_ms: earlier.map_or(expires_ms, |earlier| earlier.expires_ms.max(expires_ms)),
            used: earlier.is_some_and(|earlier| earlier.used),
            by_message: earlier.is_some_and(|earlier| earlier.by_message),
        }
    }

    /// Whether every scope of the units that are asked for stands within its budget with all permits used.
    fn check_budgets(&self, requests: &[PermitRequest], census: &Census) -> Result<(), Denial> {
        let spent = self.spent_units();
        for request in requests {
            let scopes = census.job(request.unit.job()).map_or(&[][..], |job| job.scopes());
            if scopes.is_empty() {
                let unit = request.unit.clone();
                return Err(Denial::NoScope { unit });
            }
            for scope in scopes {
                let usage = census.usage(scope, &spent, &self.interrupted);
                if let Some(usage) = usage.filter(|usage| usage.unavailable > usage.allowance) {
                    return Err(Denial::BudgetSpent {
                        scope: scope.clone(),
                        unavailable: usage.unavailable,
                        allowance: usage.allowance,
                    });
                }
            }
        }
        Ok(())
    }

    fn restore(&mut self, before: Vec<(Unit, Option<SpentPermit>)>) {
        for (unit, earlier) in before {
            match earlier {
                Some(permit) => self.spent.insert(unit, permit),
                None => self.spent.remove(&unit),
            };
        }
    }

    fn spent_units(&self) -> BTreeMap<JobName, UnitSet> {
        let mut units: BTreeMap<JobName, UnitSet> = BTreeMap::new();
        for unit in self.spent.keys() {
            units.entry(unit.job().clone()).or_default().insert(unit.index());
        }
        units
    }

    /// How the scopes of a job stand with all permits that are out.
    pub fn usage(&self, job: &JobName, census: &Census) -> Vec<(ScopeName, Usage)> {
        let spent = self.spent_units();
        let scopes = census.job(job).map_or(&[][..], |job| job.scopes());
        let usage = |scope: &ScopeName| Some((scope.clone(), census.usage(scope, &spent, &self.interrupted)?));
        scopes.iter().filter_map(usage).collect()
    }

    /// The permit for a unit has been used: the attempt is being stopped.
    pub fn note_used(&mut self, unit: &Unit) {
        if let Some(permit) = self.spent.get_mut(unit) {
            permit.used = true;
        }
    }

    /// Takes what a controller says of the permits that it wants and has used. Returns whether the message is news:
    /// only then are its requests to be answered.
    ///
    /// A message lists everything, so a permit that it does not list was returned unused. Messages that are late, or
    /// of a life other than the one that is registered, must not be handed in as that life's.
    pub fn take_message(&mut self, asker: &ControllerName, life: u64, message: &PermitMessage) -> bool {
        let heard = self.heard.get(asker);
        if heard.is_some_and(|(earlier, sequence)| *earlier == life && message.sequence <= *sequence) {
            return false;
        }
        self.heard.insert(asker.clone(), (life, message.sequence));
        for used in &message.used {
            let permit = self.spent.get_mut(&used.unit);
            if let Some(permit) = permit.filter(|permit| permit.attempt == used.attempt && permit.asker == *asker) {
                permit.used = true;
            }
        }
        let listed = |unit: &Unit, attempt: Attempt| {
            let mut all = message.wanted.iter().chain(&message.used);
            all.any(|wanted| wanted.unit == *unit && wanted.attempt == attempt)
        };
        self.spent.retain(|unit, permit| {
            let returned = permit.asker == *asker && !permit.used && permit.by_message && !listed(unit, permit.attempt);
            !returned
        });
        true
    }

    /// A message is answered with a permit for the unit.
    pub fn note_answered(&mut self, unit: &Unit) {
        if let Some(permit) = self.spent.get_mut(unit) {
            permit.by_message = true;
        }
    }

    /// Frees what is no longer spent: units that run again, whose job is over, or that nobody can stop any more.
    pub fn settle(&mut self, now_ms: u64, view: &impl LedgerView) {
        let interrupted = &mut self.interrupted;
        self.spent.retain(|unit, permit| match view.state(unit, permit) {
            UnitState::Stoppable => true,
            UnitState::RunsFenced => now_ms <= permit.expires_ms,
            UnitState::RunsAnew | UnitState::Over => false,
            UnitState::Gone => {
                if view.counting(unit.job()) == Some(Counting::Tasks) {
                    interrupted.entry(unit.job().clone()).or_default().insert(unit.index());
                }
                false
            }
        });
        interrupted.retain(|job, units| {
            let open = |index: &u32| !view.is_made_up_for(&Unit::new(job.clone(), *index));
            *units = units.iter().filter(open).collect();
            view.counting(job).is_some() && !units.is_empty()
        });
    }
}

impl SpentPermit {
    /// Whether a request asks for this permit once more.
    fn is_of(&self, request: &PermitRequest) -> bool {
        self.attempt == request.attempt
            && self.asker == request.asker
            && self.machine == request.machine
            && self.machine_tenure == request.machine_tenure
    }
}
