//! A snapshot of the jobs of some teams, as seen by the controller that owns them: the running units, and the budgets
//! that apply.

use crate::budget::Budget;
use crate::ids::{JobName, ScopeName};
use crate::unit_set::UnitSet;
use std::collections::BTreeMap;

/// Which units of a job count as unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnavailabilityRule {
    /// Every unit that does not run counts, because all replicas of a service are meant to run at all times.
    Replicas,
    /// Only units that were interrupted under a permit and do not run again yet count. Tasks of an array or a gang may
    /// have to wait for free capacity in any case.
    Tasks,
}

/// One job as the controller that owns it sees it.
#[derive(Debug, Clone)]
pub struct JobCensus {
    unavailability_rule: UnavailabilityRule,
    size: u32,
    running: UnitSet,
    scopes: Vec<ScopeName>,
}

impl JobCensus {
    /// Creates the snapshot of a job of `size` units, with the units that run and the scopes that the job belongs to.
    pub fn new(
        unavailability_rule: UnavailabilityRule,
        size: u32,
        running: UnitSet,
        scopes: impl IntoIterator<Item = ScopeName>,
    ) -> Self {
        Self {
            unavailability_rule,
            size,
            running,
            scopes: scopes.into_iter().collect(),
        }
    }

    /// Which of the job's units count as unavailable.
    pub fn unavailability_rule(&self) -> UnavailabilityRule {
        self.unavailability_rule
    }

    /// Returns whether a unit runs.
    pub fn is_running(&self, index: u32) -> bool {
        self.running.contains(index)
    }

    /// The scopes that the job belongs to.
    pub fn scopes(&self) -> &[ScopeName] {
        &self.scopes
    }

    /// Returns the number of units that the budget is computed from, and the number of unavailable units.
    ///
    /// Units in `permitted` have an outstanding permit and may be stopped at any moment. Units in `interrupted` were
    /// stopped under a permit.
    fn usage(&self, permitted: &UnitSet, interrupted: &UnitSet) -> (u32, u32) {
        match self.unavailability_rule {
            UnavailabilityRule::Replicas => {
                let available = self.running.difference_len(permitted).min(self.size);
                (self.size, self.size - available)
            }
            UnavailabilityRule::Tasks => {
                let mut unavailable_units = interrupted.clone();
                unavailable_units.extend(permitted);
                (self.running.union_len(&unavailable_units), unavailable_units.len())
            }
        }
    }
}

/// The size of a scope, and how many of its units are unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Number of units in the scope.
    pub size: u32,
    /// Number of units that are unavailable, or may become so under outstanding permits.
    pub unavailable: u32,
    /// Number of units that may be unavailable at a time.
    pub allowance: u32,
}

impl Usage {
    /// Number of further units that may become unavailable.
    pub fn remaining(self) -> u32 {
        self.allowance.saturating_sub(self.unavailable)
    }
}

/// A snapshot of all jobs that share budget scopes, at one moment.
#[derive(Debug, Clone, Default)]
pub struct Census {
    jobs: BTreeMap<JobName, JobCensus>,
    budgets: BTreeMap<ScopeName, Budget>,
    unreported_machines: u32,
}

impl Census {
    /// Adds a scope with its budget.
    pub fn add_scope(&mut self, scope: ScopeName, budget: Budget) {
        self.budgets.insert(scope, budget);
    }

    /// Adds a job. The budgets are evaluated correctly only if all jobs of its scopes are added.
    pub fn add_job(&mut self, name: JobName, job: JobCensus) {
        self.jobs.insert(name, job);
    }

    /// Sets the number of machines that may run units of these jobs and have not reported to this owner yet. While
    /// there are any, no permit is granted.
    pub fn set_unreported_machines(&mut self, machines: u32) {
        self.unreported_machines = machines;
    }

    /// Number of machines that may run units of these jobs and have not reported yet.
    pub fn unreported_machines(&self) -> u32 {
        self.unreported_machines
    }

    /// Total number of units of all jobs. The time that it takes to build this snapshot grows with it.
    pub fn unit_count(&self) -> u64 {
        self.jobs.values().map(|job| u64::from(job.size)).sum()
    }

    /// The snapshot of a job, or `None` if the job is unknown.
    pub fn job(&self, name: &JobName) -> Option<&JobCensus> {
        self.jobs.get(name)
    }

    /// Computes the usage of a scope. Returns `None` if the scope is unknown.
    pub(crate) fn usage(
        &self,
        scope: &ScopeName,
        permitted: &BTreeMap<JobName, UnitSet>,
        interrupted: &BTreeMap<JobName, UnitSet>,
    ) -> Option<Usage> {
        let budget = self.budgets.get(scope)?;
        let no_units = UnitSet::default();
        let (mut size, mut unavailable) = (0u32, 0u32);
        for (name, job) in self.jobs.iter().filter(|(_, job)| job.scopes.contains(scope)) {
            let permitted = permitted.get(name).unwrap_or(&no_units);
            let interrupted = interrupted.get(name).unwrap_or(&no_units);
            let (units, unavailable_units) = job.usage(permitted, interrupted);
            size = size.saturating_add(units);
            unavailable = unavailable.saturating_add(unavailable_units);
        }
        Some(Usage {
            size,
            unavailable,
            allowance: budget.allowance(size),
        })
    }
}
