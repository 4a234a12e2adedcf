//! Cached answers of the disruption budgets of many jobs, for a search during which nothing changes.

use super::job_name;
use crate::controller::Controller;
use crate::ids::JobId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use tidelatch_disruption::Census;

/// Caches, for the duration of one search, whether the budgets of each job permit an interruption.
///
/// A census visits all tasks of the jobs that share a budget. A search that sorts tasks by what their budgets permit
/// asks about the same jobs in each comparison. Without the cache, a large batch would take seconds of CPU time, and
/// the controller would lose its lease.
pub(crate) struct BudgetLookup<'a> {
    controller: &'a Controller,
    /// By team and class: jobs with the same team and class share a census.
    censuses: RefCell<BTreeMap<(&'a str, &'a str), Census>>,
    /// Whether the budgets permit an interruption, by job.
    cached_answers: RefCell<BTreeMap<JobId, bool>>,
}

impl<'a> BudgetLookup<'a> {
    /// Creates an empty cache over the controller's present state.
    pub(crate) fn new(controller: &'a Controller) -> Self {
        Self {
            controller,
            censuses: RefCell::default(),
            cached_answers: RefCell::default(),
        }
    }

    /// Whether the budgets of a job permit one more of its units to be interrupted.
    pub(crate) fn permits_interruption(&self, id: &JobId) -> bool {
        if let Some(answer) = self.cached_answers.borrow().get(id) {
            return *answer;
        }
        let answer = self.evaluate_budgets(id);
        self.cached_answers.borrow_mut().insert(id.clone(), answer);
        answer
    }

    fn evaluate_budgets(&self, id: &JobId) -> bool {
        let Some(disruption) = &self.controller.disruption else {
            return true;
        };
        let Some(job) = self.controller.jobs.get(id) else {
            return false;
        };
        let Some(ledger) = disruption.ledgers.get(&job.partition) else {
            return false;
        };
        let mut censuses = self.censuses.borrow_mut();
        let census = censuses
            .entry((job.spec.team.as_str(), job.spec.class.as_str()))
            .or_insert_with(|| self.controller.census(id).unwrap_or_default());
        let usage = ledger.usage(&job_name(id), census);
        usage.iter().all(|(_, usage)| usage.remaining() > 0)
    }
}
