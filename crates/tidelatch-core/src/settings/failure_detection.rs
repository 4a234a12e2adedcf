//! Settings of the failure detector between controllers.

use super::Fault;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tidelatch_failure_detector::{Estimator, Policy, Timing};

/// How the silence of a controller becomes a level of suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EstimatorChoice {
    /// By a fixed time: half of a controller's lease.
    FixedTimeout,
    /// Intervals between heartbeats are taken as normally distributed.
    PhiNormal,
    /// Intervals between heartbeats are taken as exponentially distributed.
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

/// Controllers watch each other, and prepare to take over from one that is suspected. Ratios are to the interval
/// between two heartbeats, or to a controller's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FailureDetection {
    /// How silence is judged.
    pub estimator: EstimatorChoice,
    /// Level from which on a controller is suspected: at `p`, a silence this long is expected once in `10^p`
    /// heartbeats.
    #[schemars(range(min = 0.1, max = 100.0))]
    pub threshold_phi: f64,
    /// Intervals between heartbeats that are kept for each controller.
    #[schemars(range(min = 2, max = 4_096))]
    pub window_heartbeats: u32,
    /// Least standard deviation of these intervals that is assumed.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub least_deviation_per_heartbeat: f64,
    /// Pause that is forgiven on top of the usual interval.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub acceptable_pause_per_heartbeat: f64,
    /// Time that other controllers have to say whether they hear a silent one.
    #[schemars(range(min = 0.0, max = 10.0))]
    pub probe_wait_per_heartbeat: f64,
    /// Controllers that are asked to probe a silent one.
    #[schemars(range(min = 0, max = 64))]
    pub probes: u32,
    /// Most points by which this controller raises the threshold while it holds itself to be at fault.
    #[schemars(range(min = 0, max = 16))]
    pub local_health_most: u8,
    /// Time in which the penalty for flapping halves.
    #[schemars(range(min = 0.1, max = 1_000.0))]
    pub flap_half_life_per_lease: f64,
    /// Flaps that are forgiven before a suspicion takes more than one heartbeat to clear.
    #[schemars(range(min = 0, max = 1_000))]
    pub flaps_forgiven: u32,
    /// While a controller is suspected, whoever would take over from it reads ahead and connects to its workers.
    pub prepare: bool,
}

impl Default for FailureDetection {
    fn default() -> Self {
        let policy = Policy::default();
        Self {
            estimator: EstimatorChoice::PhiNormal,
            threshold_phi: f64::from(policy.threshold_milliphi) / THOUSANDTHS,
            window_heartbeats: policy.window as u32,
            least_deviation_per_heartbeat: f64::from(policy.least_deviation_permille) / THOUSANDTHS,
            acceptable_pause_per_heartbeat: f64::from(policy.acceptable_pause_permille) / THOUSANDTHS,
            probe_wait_per_heartbeat: f64::from(policy.probe_wait_permille) / THOUSANDTHS,
            probes: policy.probes as u32,
            local_health_most: policy.local_health_most,
            flap_half_life_per_lease: f64::from(policy.flap_half_life_permille) / THOUSANDTHS,
            flaps_forgiven: policy.flaps_forgiven,
            prepare: true,
        }
    }
}

/// The detector counts ratios in thousandths.
const THOUSANDTHS: f64 = 1000.0;

fn thousandths(ratio: f64) -> u32 {
    (ratio.max(0.0) * THOUSANDTHS).round() as u32
}

impl FailureDetection {
    /// The same for the detector.
    pub fn policy(&self) -> Policy {
        Policy {
            estimator: self.estimator.into(),
            threshold_milliphi: thousandths(self.threshold_phi),
            window: self.window_heartbeats as usize,
            least_deviation_permille: thousandths(self.least_deviation_per_heartbeat),
            acceptable_pause_permille: thousandths(self.acceptable_pause_per_heartbeat),
            probe_wait_permille: thousandths(self.probe_wait_per_heartbeat),
            probes: self.probes as usize,
            local_health_most: self.local_health_most,
            flap_half_life_permille: thousandths(self.flap_half_life_per_lease),
            flaps_forgiven: self.flaps_forgiven,
        }
    }

    /// Each figure with its path and its range.
    pub(super) fn ranges(&self) -> [(&'static str, f64, f64, f64); 9] {
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

    /// What is impossible together with the times of the deployment.
    pub(super) fn faults(&self, timing: Timing) -> Vec<Fault> {
        let faults = self.policy().check(timing).err().map_or(Vec::new(), |faults| faults.0);
        let named = faults.into_iter().map(|fault| {
            let path = match fault.field {
                "heartbeat_ms" => "facts.workers.report_s",
                "lease_ms" => "controller_lease_per_worker_lease",
                "probe_wait_permille" => "failure_detection.probe_wait_per_heartbeat",
                "acceptable_pause_permille" => "failure_detection.acceptable_pause_per_heartbeat",
                _ => "failure_detection",
            };
            Fault {
                path: path.to_owned(),
                fault: format!("{}: {}", fault.field, fault.fault),
            }
        });
        named.collect()
    }
}
