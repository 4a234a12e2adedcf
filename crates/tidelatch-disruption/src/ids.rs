//! Names and numbers by which this package knows a program's jobs, machines and controllers.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// A name.
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
    /// A job: a service of replicas, or an array of tasks.
    JobName
);
name_type!(
    /// A machine.
    MachineName
);
name_type!(
    /// A controller that asks for permits.
    ControllerName
);
name_type!(
    /// A set of jobs that share a budget.
    ScopeName
);
number_type!(
    /// One try at running a unit. Attempts of a unit are never used twice.
    Attempt
);
number_type!(
    /// The fencing token with which a controller's ownership of some teams or machines began. A later owner has a
    /// higher one.
    Tenure
);

/// A replica of a service, or a task of an array: a job and a number in it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Unit {
    job: JobName,
    index: u32,
}

impl Unit {
    /// A unit of a job.
    pub fn new(job: JobName, index: u32) -> Self {
        Self { job, index }
    }

    /// The job that it belongs to.
    pub fn job(&self) -> &JobName {
        &self.job
    }

    /// Its number in the job, from 0.
    pub fn index(&self) -> u32 {
        self.index
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
