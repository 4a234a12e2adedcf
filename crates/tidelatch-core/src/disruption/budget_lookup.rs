//! What the disruption budgets of many jobs permit, while nothing changes.

use super::job_name;
use crate::controller::Controller;
use crate::ids::JobId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use tidelatch_disruption::Census;

/// Answers of the budgets, kept for as long as a search lasts.
///
/// A census goes through all tasks of the jobs that share a budget. A search that orders tasks by what their budgets
/// permit asks for the same jobs with each comparison: without the answers kept, one batch took a controller seconds
/// of its processor, and its lease.
pub(crate) struct BudgetLookup<'a> {
    controller: &'a Controller,
    /// By team and class: jobs of both share their census.
    censuses: RefCell<BTreeMap<(&'a str, &'a str), Census>>,
    answers: RefCell<BTreeMap<JobId, bool>>,
}

impl<'a> BudgetLookup<'a> {
    pub(crate) fn new(controller: &'a Controller) -> Self {
        Self {
            controller,
            censuses: RefCell::default(),
            answers: RefCell::default(),
        }
    }

    /// Whether a job's budgets let one more of its units be interrupted.
    pub(crate) fn permits(&self, id: &JobId) -> bool {
        if let Some(answer) = self.answers.borrow().get(id) {
            return *answer;
        }
        let answer = self.look_up(id);
        self.answers.borrow_mut().insert(id.clone(), answer);
        answer
    }

    fn look_up(&self, id: &JobId) -> bool {
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
        usage.iter().all(|(_, usage)| usage.left() > 0)
    }
}
