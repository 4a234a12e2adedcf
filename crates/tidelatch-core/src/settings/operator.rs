//! The operators' own settings, their defaults, and the checks on them.

use super::{Disruption, FailureDetection, Fault};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The operators' own settings. Every figure has a default.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// A batch closes at this many tasks.
    #[schemars(range(min = 1, max = 10_000))]
    pub batch_tasks: u32,
    /// A batch closes after this part of the workers' report period.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub batch_wait_per_report: f64,
    /// Tasks that found no machine are tried again after this part of the workers' report period.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub batch_retry_per_report: f64,
    /// Moves that a batch's search may try, per task of the batch.
    #[schemars(range(min = 0, max = 1_000))]
    pub search_moves_per_task: u32,
    /// Time that one slice of the search may take, at this controller's share of a processor.
    #[schemars(range(min = 0.001, max = 10.0))]
    pub search_budget_s: f64,
    /// A controller's lease in the state service, as a part of the workers' lease.
    #[schemars(range(min = 0.1, max = 0.9))]
    pub controller_lease_per_worker_lease: f64,
    /// An idle machine is returned after this part of its type's boot time.
    #[schemars(range(min = 0.0, max = 100.0))]
    pub idle_per_boot: f64,
    /// A silent machine is given up after this part of the workers' lease.
    #[schemars(range(min = 0.3, max = 10.0))]
    pub silent_per_worker_lease: f64,
    /// Most unfinished jobs of one team; beyond it submissions are put off. Without it the limit follows from the
    /// controller's memory and processor.
    #[schemars(range(min = 1, max = 100_000))]
    pub queue_jobs_per_team: Option<u32>,
    /// Controllers watch each other, and prepare to take over from one that is suspected. Without it they do not.
    pub failure_detection: Option<FailureDetection>,
    /// Voluntary interruptions keep to budgets, and machines may be drained. Without it they do not.
    pub disruption: Option<Disruption>,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            batch_tasks: 50,
            batch_wait_per_report: 0.08,
            batch_retry_per_report: 0.4,
            search_moves_per_task: 8,
            search_budget_s: 0.2,
            controller_lease_per_worker_lease: 0.4,
            idle_per_boot: 0.6,
            silent_per_worker_lease: 0.8,
            queue_jobs_per_team: None,
            failure_detection: None,
            disruption: None,
        }
    }
}

impl Operator {
    /// Everything that is out of its range.
    pub fn faults(&self) -> Vec<Fault> {
        let checks = [
            ("batch_tasks", f64::from(self.batch_tasks), 1.0, 10_000.0),
            ("batch_wait_per_report", self.batch_wait_per_report, 0.01, 10.0),
            ("batch_retry_per_report", self.batch_retry_per_report, 0.01, 10.0),
            (
                "search_moves_per_task",
                f64::from(self.search_moves_per_task),
                0.0,
                1_000.0,
            ),
            ("search_budget_s", self.search_budget_s, 0.001, 10.0),
            (
                "controller_lease_per_worker_lease",
                self.controller_lease_per_worker_lease,
                0.1,
                0.9,
            ),
            ("idle_per_boot", self.idle_per_boot, 0.0, 100.0),
            ("silent_per_worker_lease", self.silent_per_worker_lease, 0.3, 10.0),
            (
                "queue_jobs_per_team",
                f64::from(self.queue_jobs_per_team.unwrap_or(1)),
                1.0,
                100_000.0,
            ),
        ];
        let detection = self.failure_detection.iter().flat_map(FailureDetection::ranges);
        let disruption = self.disruption.iter().flat_map(Disruption::value_faults);
        let out_of_range = checks
            .into_iter()
            .chain(detection)
            .filter(|(_, v, low, high)| !(v.is_finite() && v >= low && v <= high))
            .map(|(path, _, low, high)| Fault {
                path: path.to_owned(),
                fault: format!("must lie between {low} and {high}"),
            });
        out_of_range.chain(disruption).collect()
    }
}
