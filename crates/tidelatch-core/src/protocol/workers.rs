//! Messages between workers and controllers: reports, and commands that carry an epoch as their fencing token.

use crate::ids::{Attempt, Epoch, MachineId};
use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits until its image is fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// A gang task that waits for the other tasks of its attempt.
    #[serde(rename = "gathering")]
    Gathering,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Was told to stop, and saves its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// Has ended; the report gives the cause.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know. The task still counts as present on the machine.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Task, as `job/number`.
    #[serde(rename = "wagon")]
    pub task: String,
    /// Attempt of the task.
    #[serde(rename = "run")]
    pub attempt: Attempt,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Cause of the end, if the attempt has ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Machine that the worker runs on.
    #[serde(rename = "berth")]
    pub machine: MachineId,
    /// Address on which the worker accepts commands.
    pub addr: String,
    /// Machine type.
    #[serde(rename = "model")]
    pub model: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "standby", default)]
    pub spot: bool,
    /// Session number, which the worker increases each time its lease expires.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number of the report.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest epoch that the worker has seen in a command or an answer.
    #[serde(rename = "baton", default)]
    pub epoch: Epoch,
    /// Time until the cloud reclaims the machine, in seconds, if it has given notice.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// All attempts on the machine, also ended ones that the worker was not yet told to forget.
    #[serde(rename = "wagons", default)]
    pub tasks: Vec<ReportedTask>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order")]
pub enum Command {
    /// Starts an attempt.
    #[serde(rename = "start")]
    Start {
        /// Task, as `job/number`.
        #[serde(rename = "wagon")]
        task: String,
        /// Attempt of the task.
        #[serde(rename = "run")]
        attempt: Attempt,
    },
    /// Stops an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// Task, as `job/number`.
        #[serde(rename = "wagon")]
        task: String,
        /// Attempt of the task.
        #[serde(rename = "run")]
        attempt: Attempt,
        /// Time that the task has to save its progress, in seconds.
        #[serde(rename = "leewayS")]
        grace_s: f64,
    },
    /// Removes an ended attempt from the worker's reports.
    #[serde(rename = "forget")]
    Forget {
        /// Task, as `job/number`.
        #[serde(rename = "wagon")]
        task: String,
        /// Attempt of the task.
        #[serde(rename = "run")]
        attempt: Attempt,
    },
}

/// Commands with their fencing token: the answer to a report, or a direct command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Orders {
    /// Epoch of the sender. A worker refuses epochs below the highest that it has seen.
    #[serde(rename = "baton")]
    pub epoch: Epoch,
    /// Session that a direct command applies to.
    #[serde(rename = "shift", default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    /// Commands, in the order in which they are carried out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
