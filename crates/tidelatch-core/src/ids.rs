//! Identifiers, each a type of its own so that one cannot stand in for another.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);
        impl $name {
            /// Wraps a name as it came from outside.
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
    /// A job, under the id that its user chose.
    JobId
);
name_type!(
    /// A rented machine, under the name that the cloud gave it.
    MachineId
);
name_type!(
    /// One process position of the service.
    ControllerId
);
name_type!(
    /// A team with a guarantee and a limit.
    TeamId
);
number_type!(
    /// The fencing token: raised by each change of membership.
    Epoch
);
number_type!(
    /// One try at running a task; never used twice for the same task.
    Attempt
);
number_type!(
    /// Revision at which a stored key was last changed; 0: it does not exist.
    Stamp
);
number_type!(
    /// One life of a controller process, or of its lease.
    Incarnation
);

impl JobId {
    /// Accepts the one form that job ids have: `job-` and up to 40 digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("job-")?;
        let well_formed = (1..=40).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        well_formed.then(|| Self(text.to_owned()))
    }
}

/// A task: a job's id and the task's number in it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job it belongs to.
    pub job: JobId,
    /// Its number, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads the form `job-000412/3`.
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

/// A set of teams with the machines lent to them: what one controller owns at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Partition(pub u32);

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
