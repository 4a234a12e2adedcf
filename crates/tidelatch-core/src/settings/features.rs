//! What a version of this program can do, as controllers tell each other.

/// [`Features::level`] from which on a controller knows machines that hold tasks of several partitions.
pub const SHARED_MACHINES_LEVEL: u32 = 3;
/// Level of a controller that grants and asks for permits to interrupt tasks: the feature is turned on there.
pub const DISRUPTION_LEVEL: u32 = 4;

/// What a version of this program knows, as it tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Gangs, and the state service's coming limits.
    pub gangs: bool,
    /// Cancellations are told between controllers.
    pub cancellations: bool,
    /// A machine may change hands with the tasks that run on it.
    pub shared_machines: bool,
}

impl Features {
    /// The number by which a controller's own record says what it knows: 0 was never written.
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
    /// As the version before gangs was: for tests.
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
