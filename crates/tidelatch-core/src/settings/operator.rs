//! Settings that the operators choose, their defaults, and the checks on them.

use super::{Disruption, FailureDetection, Fault};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings that the operators choose. Every field has a default.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Number of tasks at which a placement batch is closed.
    #[schemars(range(min = 1, max = 10_000))]
    pub batch_tasks: u32,
    /// Time after which a placement batch is closed, as a fraction of the workers' report period.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub batch_wait_per_report: f64,
    /// Delay after which tasks that found no machine are tried again, as a fraction of the workers' report period.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub batch_retry_per_report: f64,
    /// Number of changes of a placement that the local search for a batch may try, per task of the batch.
    #[schemars(range(min = 0, max = 1_000))]
    pub search_moves_per_task: u32,
    /// Time, in seconds, that the placement search may take without interruption, at the controller's share of a
    /// processor (`facts.machine_limits.cores`). The search counts its evaluations and reads no clock.
    #[schemars(range(min = 0.001, max = 10.0))]
    pub search_budget_s: f64,
    /// Duration of a controller's lease in the state service, as a fraction of the workers' lease.
    #[schemars(range(min = 0.1, max = 0.9))]
    pub controller_lease_per_worker_lease: f64,
    /// Idle time after which a machine is returned to the cloud, as a multiple of its type's boot time.
    #[schemars(range(min = 0.0, max = 100.0))]
    pub idle_per_boot: f64,
    /// Time without a report after which a machine counts as lost, as a fraction of the workers' lease.
    #[schemars(range(min = 0.3, max = 10.0))]
    pub silent_per_worker_lease: f64,
    /// Maximum number of unfinished jobs of one team. Further submissions are refused with a request to retry later.
    /// If it is not set, the limit is computed from the controller's memory and processor share.
    #[schemars(range(min = 1, max = 100_000))]
    pub queue_jobs_per_team: Option<u32>,
    /// Failure detection: controllers watch each other, and prepare to take over from a suspected controller. It is off
    /// if this is not set.
    pub failure_detection: Option<FailureDetection>,
    /// Disruption budgets for voluntary interruptions, and drains of machines. Both are off if this is not set.
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
    /// All faults that can be found without the platform's settings, such as values out of range.
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
        let detection = self
            .failure_detection
            .iter()
            .flat_map(FailureDetection::values_with_ranges);
        let disruption = self.disruption.iter().flat_map(Disruption::value_faults);
        let out_of_range = checks
            .into_iter()
            .chain(detection)
            .filter(|(_, value, low, high)| !(value.is_finite() && value >= low && value <= high))
            .map(|(path, _, low, high)| Fault {
                path: path.to_owned(),
                message: format!("must lie between {low} and {high}"),
            });
        out_of_range.chain(disruption).collect()
    }
}
