//! What workers and controllers say to each other: reports, and orders under a token.

use crate::ids::{Attempt, Epoch, MachineId};
use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// A gang's task that waits for the others of its attempt.
    #[serde(rename = "gathering")]
    Gathering,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Told to stop, and saving.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended; the cause says why.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know: the task is on the machine all the same.
    #[serde(other)]
    Other,
}

/// One task in a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportedTask {
    /// `job/number`.
    #[serde(rename = "wagon")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "run")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The machine.
    #[serde(rename = "berth")]
    pub machine: MachineId,
    /// Where it takes commands.
    pub addr: String,
    /// Machine type.
    #[serde(rename = "model")]
    pub model: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "standby", default)]
    pub spot: bool,
    /// Session: raised each time the worker's lease expires.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number of the message.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "baton", default)]
    pub epoch: Epoch,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "wagons", default)]
    pub tasks: Vec<ReportedTask>,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum Command {
    /// Start an attempt.
    #[serde(rename = "start")]
    Start {
        /// `job/number`.
        #[serde(rename = "wagon")]
        task: String,
        /// The attempt.
        #[serde(rename = "run")]
        attempt: Attempt,
    },
    /// Stop an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// `job/number`.
        #[serde(rename = "wagon")]
        task: String,
        /// The attempt.
        #[serde(rename = "run")]
        attempt: Attempt,
        /// Time to save.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Drop an exited attempt from the reports.
    #[serde(rename = "forget")]
    Forget {
        /// `job/number`.
        #[serde(rename = "wagon")]
        task: String,
        /// The attempt.
        #[serde(rename = "run")]
        attempt: Attempt,
    },
}

/// Orders under a token: a report's answer, or a direct command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    /// The token.
    #[serde(rename = "baton")]
    pub epoch: Epoch,
    /// Session that a direct command is for.
    #[serde(rename = "shift", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    /// What to do, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
