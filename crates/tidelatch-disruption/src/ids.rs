//! Identifiers of the embedding scheduler's jobs, machines, controllers and budget scopes.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from its text.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
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
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name_type!(
    /// Name of a job, which is a service of replicas, or an array or a gang of tasks.
    JobName
);
name_type!(
    /// Name of a machine.
    MachineName
);
name_type!(
    /// Name of a controller that requests or grants permits.
    ControllerName
);
name_type!(
    /// Name of a scope: a set of jobs that share one disruption budget.
    ScopeName
);
number_type!(
    /// Number of one attempt to run a unit. A unit never uses the same attempt number twice.
    Attempt
);
number_type!(
    /// Ownership epoch: the fencing token with which a controller's ownership of some teams or machines began. A later
    /// owner has a higher epoch.
    Tenure
);

/// A replica of a service, or a task of an array or a gang, identified by its job and its index in the job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Unit {
    job: JobName,
    index: u32,
}

impl Unit {
    /// Creates the identifier of the unit with this index in a job.
    pub fn new(job: JobName, index: u32) -> Self {
        Self { job, index }
    }

    /// The job that the unit belongs to.
    pub fn job(&self) -> &JobName {
        &self.job
    }

    /// The unit's index in the job, counted from 0.
    pub fn index(&self) -> u32 {
        self.index
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
