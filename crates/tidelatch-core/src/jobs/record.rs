//! The stored record of a job, and what is kept in memory of an ended job.

use crate::ids::{Epoch, JobId};
use crate::protocol::JobSpec;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Status of a job in its stored record. All but `queued` are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoredJobStatus {
    /// Accepted and not ended.
    Queued,
    /// All tasks done.
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl StoredJobStatus {
    /// The status as users see it.
    pub(super) fn user_facing_name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Done => "done",
            Self::Cancelled => "withdrawn",
        }
    }
}

/// The stored record of a job. When the job ends, its description is removed; the rest is never deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Epoch under which the job was accepted.
    pub epoch: Epoch,
    /// Wall clock time of the acceptance, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Status of the job.
    pub st: StoredJobStatus,
    /// Number of tasks.
    pub n: u32,
    /// Team that submitted the job.
    pub team: String,
    /// Resources that each task takes, kept because tasks count against the team's limit even after the job's end.
    pub size: [f64; 3],
    /// Wall clock time at which the end was written, in milliseconds since the Unix epoch. Absent if a version without
    /// the exchange of cancellations wrote it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<u64>,
    /// Description of the job, until it ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

/// The part of a job record that every version can read.
#[derive(Debug, Deserialize)]
pub(super) struct StatusOnlyRecord {
    pub(super) st: StoredJobStatus,
}

/// Length of a value as stored, in bytes; 0 if it cannot be serialized.
pub(crate) fn bytes_of(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}

/// An ended job, as kept in memory.
#[derive(Debug, Clone)]
pub(crate) struct EndedJob {
    /// All tasks were done; otherwise a user cancelled the job.
    pub(crate) done: bool,
    /// Number of tasks.
    pub(crate) tasks: u32,
    pub(crate) team: String,
    /// Resources that each task takes.
    pub(crate) size: [f64; 3],
}

impl EndedJob {
    /// The ended job that a record describes, or `None` if the job has not ended.
    pub(super) fn from_record(record: &JobRecord) -> Option<Self> {
        (record.st != StoredJobStatus::Queued).then_some(Self {
            done: record.st == StoredJobStatus::Done,
            tasks: record.n,
            team: record.team.clone(),
            size: record.size,
        })
    }
    /// JSON body of a status answer.
    pub(crate) fn status_body(&self, id: &JobId) -> String {
        let (status, done) = if self.done {
            ("done", self.tasks)
        } else {
            ("withdrawn", 0)
        };
        json!({ "uid": id, "status": status, "done": done, "running": 0 }).to_string()
    }
}
