//! Features that a version of this program supports. Controllers announce them to each other as a feature level.

/// Lowest feature level ([`Features::level`]) that supports machines that hold tasks of several partitions.
pub const SHARED_MACHINES_LEVEL: u32 = 3;
/// Feature level of a controller that requests and grants permits to interrupt tasks. A controller has this level only
/// if disruption budgets are turned on in its settings.
pub const DISRUPTION_LEVEL: u32 = 4;

/// Features that a version of this program supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Runs gangs, and keeps to announced limits of the state service.
    pub gangs: bool,
    /// Exchanges cancellations with the other controllers.
    pub cancellations: bool,
    /// Hands a machine over to another partition together with the tasks that run on it.
    pub shared_machines: bool,
}

impl Features {
    /// Feature level in a controller's member record. Level 0 stands for the versions before gangs; it was never
    /// written to a record.
    pub fn level(self) -> u32 {
        match self {
            Self { gangs: false, .. } => 0,
            Self {
                cancellations: false, ..
            } => 1,
            Self {
                shared_machines: false, ..
            } => 2,
            _ => SHARED_MACHINES_LEVEL,
        }
    }
    /// Features of the version before gangs, for tests.
    pub fn before_gangs() -> Self {
        Self {
            gangs: false,
            cancellations: false,
            shared_machines: false,
        }
    }
}

impl Default for Features {
    fn default() -> Self {
        Self {
            gangs: true,
            cancellations: true,
            shared_machines: true,
        }
    }
}
