//! What the owner of some teams sees of their jobs at one moment: the units that run, and the budgets that hold.

use crate::budget::Budget;
use crate::ids::{JobName, ScopeName};
use crate::unit_set::UnitSet;
use std::collections::BTreeMap;

/// Which units of a job count as unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Counting {
    /// All that do not run: replicas of a service are always wanted.
    Replicas,
    /// Those that were interrupted by a permit and do not run again yet: tasks of an array wait for room anyway.
    Tasks,
}

/// One job as its owner sees it.
#[derive(Debug, Clone)]
pub struct JobCensus {
    counting: Counting,
    size: u32,
    running: UnitSet,
    scopes: Vec<ScopeName>,
}

impl JobCensus {
    /// A job of `size` units, the ones that run, and the scopes that it belongs to.
    pub fn new(counting: Counting, size: u32, running: UnitSet, scopes: impl IntoIterator<Item = ScopeName>) -> Self {
        Self {
            counting,
            size,
            running,
            scopes: scopes.into_iter().collect(),
        }
    }

    /// Which units count as unavailable.
    pub fn counting(&self) -> Counting {
        self.counting
    }

    /// Whether a unit runs.
    pub fn runs(&self, index: u32) -> bool {
        self.running.contains(index)
    }

    /// The scopes that the job belongs to.
    pub fn scopes(&self) -> &[ScopeName] {
        &self.scopes
    }

    /// Units in the budget's base, and those that are unavailable, where `spent` may be stopped at any moment and
    /// `interrupted` were.
    fn usage(&self, spent: &UnitSet, interrupted: &UnitSet) -> (u32, u32) {
        match self.counting {
            Counting::Replicas => {
                let available = self.running.difference_len(spent).min(self.size);
                (self.size, self.size - available)
            }
            Counting::Tasks => {
                let mut away = interrupted.clone();
                away.extend(spent);
                (self.running.union_len(&away), away.len())
            }
        }
    }
}

/// What a scope has, and what of it is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Units in all.
    pub size: u32,
    /// Units that are unavailable, or may become so by permits that are out.
    pub unavailable: u32,
    /// Units that may be.
    pub allowance: u32,
}

impl Usage {
    /// Units that may still become unavailable.
    pub fn left(self) -> u32 {
        self.allowance.saturating_sub(self.unavailable)
    }
}

/// All jobs that share scopes, at one moment.
#[derive(Debug, Clone, Default)]
pub struct Census {
    jobs: BTreeMap<JobName, JobCensus>,
    budgets: BTreeMap<ScopeName, Budget>,
    unaccounted: u32,
}

impl Census {
    /// Adds a scope with its budget.
    pub fn add_scope(&mut self, scope: ScopeName, budget: Budget) {
        self.budgets.insert(scope, budget);
    }

    /// Adds a job. All jobs of its scopes have to be added, for the budgets to be right.
    pub fn add_job(&mut self, name: JobName, job: JobCensus) {
        self.jobs.insert(name, job);
    }

    /// Sets the number of machines that may hold units and are not accounted for yet. While there are any, nothing is
    /// permitted.
    pub fn set_unaccounted(&mut self, machines: u32) {
        self.unaccounted = machines;
    }

    /// Machines that are not accounted for.
    pub fn unaccounted(&self) -> u32 {
        self.unaccounted
    }

    /// Units of all jobs together: what taking the census cost.
    pub fn units(&self) -> u64 {
        self.jobs.values().map(|job| u64::from(job.size)).sum()
    }

    /// A job.
    pub fn job(&self, name: &JobName) -> Option<&JobCensus> {
        self.jobs.get(name)
    }

    /// How a scope stands; none: it is not known.
    pub(crate) fn usage(
        &self,
        scope: &ScopeName,
        spent: &BTreeMap<JobName, UnitSet>,
        interrupted: &BTreeMap<JobName, UnitSet>,
    ) -> Option<Usage> {
        let budget = self.budgets.get(scope)?;
        let none = UnitSet::default();
        let (mut size, mut unavailable) = (0u32, 0u32);
        for (name, job) in self.jobs.iter().filter(|(_, job)| job.scopes.contains(scope)) {
            let spent = spent.get(name).unwrap_or(&none);
            let interrupted = interrupted.get(name).unwrap_or(&none);
            let (units, away) = job.usage(spent, interrupted);
            size = size.saturating_add(units);
            unavailable = unavailable.saturating_add(away);
        }
        Some(Usage {
            size,
            unavailable,
            allowance: budget.allowance(size),
        })
    }
}
