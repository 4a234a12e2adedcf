//! What is stored of a job, and what is kept in memory of one that is over.

use crate::ids::{Epoch, JobId};
use crate::protocol::JobSpec;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// A job's state as stored. Only `queued` is not final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stored {
    /// Accepted and not over.
    Queued,
    /// All tasks done.
    Done,
    /// Cancelled by its user.
    Withdrawn,
}

impl Stored {
    pub(super) fn word(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Done => "done",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// What is stored of a job. Once it is over, the description goes and the rest stays for good.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The epoch that it was accepted under.
    pub epoch: Epoch,
    /// Time of day of its acceptance.
    pub at: u64,
    /// Its state.
    pub st: Stored,
    /// Number of its tasks.
    pub n: u32,
    /// Its team.
    pub team: String,
    /// What each of its tasks takes: its tasks count against the team's limit even after its end.
    pub size: [f64; 3],
    /// Time of day at which its end was written; absent: the version before wrote it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<u64>,
    /// Its description, until it is over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

/// What every version's job record tells.
#[derive(Debug, Deserialize)]
pub(super) struct StoredState {
    pub(super) st: Stored,
}

/// Length of a value as it is stored.
pub(crate) fn bytes_of(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(0, |text| text.len())
}

/// A job that is over, as kept in memory.
#[derive(Debug, Clone)]
pub(crate) struct EndedJob {
    pub(crate) done: bool,
    pub(crate) tasks: u32,
    pub(crate) team: String,
    pub(crate) size: [f64; 3],
}

impl EndedJob {
    pub(super) fn of(record: &JobRecord) -> Option<Self> {
        (record.st != Stored::Queued).then_some(Self {
            done: record.st == Stored::Done,
            tasks: record.n,
            team: record.team.clone(),
            size: record.size,
        })
    }
    pub(crate) fn body(&self, id: &JobId) -> String {
        let (status, done) = if self.done {
            ("done", self.tasks)
        } else {
            ("withdrawn", 0)
        };
        json!({ "uid": id, "status": status, "done": done, "running": 0 }).to_string()
    }
}
