//! Settings of the failure detector by which controllers watch each other, and the checks on them.

use super::Fault;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tidelatch_failure_detector::{Estimator, Policy, Timing};

/// How the time since a controller's last heartbeat is turned into a suspicion level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EstimatorChoice {
    /// A fixed timeout: half of a controller's lease.
    FixedTimeout,
    /// Phi accrual: assumes that the intervals between heartbeats are normally distributed.
    PhiNormal,
    /// Phi accrual: assumes that the intervals between heartbeats are exponentially distributed.
    PhiExponential,
}

impl From<EstimatorChoice> for Estimator {
    fn from(choice: EstimatorChoice) -> Self {
        match choice {
            EstimatorChoice::FixedTimeout => Self::FixedTimeout,
            EstimatorChoice::PhiNormal => Self::PhiNormal,
            EstimatorChoice::PhiExponential => Self::PhiExponential,
        }
    }
}

/// Failure detection between controllers: they watch each other's heartbeats, and prepare to take over from a suspected
/// controller. Fields that end in `_per_heartbeat` are ratios to the heartbeat interval, those that end in `_per_lease`
/// ratios to a controller's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FailureDetection {
    /// Estimator of the suspicion level.
    pub estimator: EstimatorChoice,
    /// Suspicion level at which a controller becomes suspected. At level `p`, so long a gap between heartbeats is
    /// expected once in `10^p` heartbeats.
    #[schemars(range(min = 0.1, max = 100.0))]
    pub threshold_phi: f64,
    /// Number of recent heartbeat intervals that are kept for each controller.
    #[schemars(range(min = 2, max = 4_096))]
    pub window_heartbeats: u32,
    /// Lower bound of the standard deviation of these intervals.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub least_deviation_per_heartbeat: f64,
    /// Extra delay of a heartbeat, on top of the usual interval, that does not raise the suspicion level.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub acceptable_pause_per_heartbeat: f64,
    /// Time that other controllers have to answer whether they receive heartbeats of an unresponsive controller.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub probe_wait_per_heartbeat: f64,
    /// Number of controllers that are asked to probe an unresponsive controller.
    #[schemars(range(min = 0, max = 64))]
    pub probes: u32,
    /// Upper bound of the local-health score, which is above 0 while this controller considers itself to be at fault.
    /// At a score of `k`, it suspects another controller only after `k + 1` times the usual time without heartbeats, or
    /// after a whole lease.
    #[schemars(range(min = 0, max = 16))]
    pub local_health_most: u8,
    /// Half-life of the penalty for flapping. A flap is a suspicion that was cleared; each flap adds to the penalty.
    #[schemars(range(min = 0.1, max = 1_000.0))]
    pub flap_half_life_per_lease: f64,
    /// Number of flaps that have no effect. After each further flap, clearing a suspicion takes one more heartbeat.
    #[schemars(range(min = 0, max = 1_000))]
    pub flaps_forgiven: u32,
    /// While a controller is suspected, the controller that would take over from it reads its state and connects to its
    /// workers in advance.
    pub prepare: bool,
}

impl Default for FailureDetection {
    fn default() -> Self {
        let policy = Policy::default();
        Self {
            estimator: EstimatorChoice::PhiNormal,
            threshold_phi: f64::from(policy.threshold_milliphi) / THOUSANDTHS_PER_UNIT,
            window_heartbeats: policy.window_intervals as u32,
            least_deviation_per_heartbeat: f64::from(policy.min_deviation_permille) / THOUSANDTHS_PER_UNIT,
            acceptable_pause_per_heartbeat: f64::from(policy.acceptable_pause_permille) / THOUSANDTHS_PER_UNIT,
            probe_wait_per_heartbeat: f64::from(policy.probe_wait_permille) / THOUSANDTHS_PER_UNIT,
            probes: policy.probe_helpers as u32,
            local_health_most: policy.max_local_health_score,
            flap_half_life_per_lease: f64::from(policy.flap_half_life_permille) / THOUSANDTHS_PER_UNIT,
            flaps_forgiven: policy.tolerated_flaps,
            prepare: true,
        }
    }
}

/// The detector's policy has ratios and levels as integers, in thousandths.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

fn to_thousandths(ratio: f64) -> u32 {
    (ratio.max(0.0) * THOUSANDTHS_PER_UNIT).round() as u32
}

impl FailureDetection {
    /// These settings as the detector's policy.
    pub fn policy(&self) -> Policy {
        Policy {
            estimator: self.estimator.into(),
            threshold_milliphi: to_thousandths(self.threshold_phi),
            window_intervals: self.window_heartbeats as usize,
            min_deviation_permille: to_thousandths(self.least_deviation_per_heartbeat),
            acceptable_pause_permille: to_thousandths(self.acceptable_pause_per_heartbeat),
            probe_wait_permille: to_thousandths(self.probe_wait_per_heartbeat),
            probe_helpers: self.probes as usize,
            max_local_health_score: self.local_health_most,
            flap_half_life_permille: to_thousandths(self.flap_half_life_per_lease),
            tolerated_flaps: self.flaps_forgiven,
        }
    }

    /// Each numeric setting: path, value, minimum and maximum.
    pub(super) fn values_with_ranges(&self) -> [(&'static str, f64, f64, f64); 9] {
        [
            ("failure_detection.threshold_phi", self.threshold_phi, 0.1, 100.0),
            (
                "failure_detection.window_heartbeats",
                f64::from(self.window_heartbeats),
                2.0,
                4_096.0,
            ),
            (
                "failure_detection.least_deviation_per_heartbeat",
                self.least_deviation_per_heartbeat,
                0.01,
                10.0,
            ),
            (
                "failure_detection.acceptable_pause_per_heartbeat",
                self.acceptable_pause_per_heartbeat,
                0.0,
                10.0,
            ),
            (
                "failure_detection.probe_wait_per_heartbeat",
                self.probe_wait_per_heartbeat,
                0.0,
                10.0,
            ),
            ("failure_detection.probes", f64::from(self.probes), 0.0, 64.0),
            (
                "failure_detection.local_health_most",
                f64::from(self.local_health_most),
                0.0,
                16.0,
            ),
            (
                "failure_detection.flap_half_life_per_lease",
                self.flap_half_life_per_lease,
                0.1,
                1_000.0,
            ),
            (
                "failure_detection.flaps_forgiven",
                f64::from(self.flaps_forgiven),
                0.0,
                1_000.0,
            ),
        ]
    }

    /// Settings that are invalid with the heartbeat interval and the lease duration of this deployment.
    pub(super) fn timing_faults(&self, timing: Timing) -> Vec<Fault> {
        let faults = self.policy().check(timing).err().map_or(Vec::new(), |faults| faults.0);
        let with_paths = faults.into_iter().map(|fault| {
            let path = match fault.field {
                "heartbeat_ms" => "facts.workers.report_s",
                "lease_ms" => "controller_lease_per_worker_lease",
                "probe_wait_permille" => "failure_detection.probe_wait_per_heartbeat",
                "acceptable_pause_permille" => "failure_detection.acceptable_pause_per_heartbeat",
                _ => "failure_detection",
            };
            Fault {
                path: path.to_owned(),
                message: format!("{}: {}", fault.field, fault.message),
            }
        });
        with_paths.collect()
    }
}
