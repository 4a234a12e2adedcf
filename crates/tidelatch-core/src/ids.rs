//! Identifiers. Each has its own type, so that the compiler rejects one in place of another.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);
        impl $name {
            /// Wraps a name without checking it.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// Id of a job, chosen by its user.
    JobId
);
name_type!(
    /// Name of a rented machine, assigned by the cloud.
    MachineId
);
name_type!(
    /// Name of a controller. It stays the same when the controller's process is replaced.
    ControllerId
);
name_type!(
    /// Name of a team, which has guaranteed capacity and a limit.
    TeamId
);
number_type!(
    /// Number of an epoch, the fencing token. Each change of the partitions' owners raises it.
    Epoch
);
number_type!(
    /// Number of an attempt to run a task, never used twice for the same task.
    Attempt
);
number_type!(
    /// Revision of the state service at which a key was last changed; 0: the key does not exist.
    Revision
);
number_type!(
    /// Incarnation of a controller. It changes when the process restarts and when the lease is lost.
    Incarnation
);

impl JobId {
    /// Parses a job id: `job-` followed by 1 to 40 digits. Returns `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("job-")?;
        let is_well_formed = (1..=40).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_well_formed.then(|| Self(text.to_owned()))
    }
}

/// Id of a task: its job's id and its number within the job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job it belongs to.
    pub job: JobId,
    /// Its number, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the form `job-000412/3`. Returns `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        Some(Self {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Number of a partition: a set of teams with the machines assigned to them. One controller at a time owns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Partition(pub u32);

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
