//! Conversions between the core's messages about permits to interrupt tasks and those of `peer.proto`.

use super::wire;
use tidelatch_core::{PermitGrants, PermitListing};
use tidelatch_disruption::{Attempt, JobName, MachineName, Permit, PermitMessage, Tenure, Unit, WantedPermit};

impl From<PermitListing> for wire::PermitListing {
    fn from(listing: PermitListing) -> Self {
        Self {
            life: listing.incarnation,
            sequence: listing.message.sequence,
            wanted: listing.message.wanted.into_iter().map(Into::into).collect(),
            used: listing.message.used.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<wire::PermitListing> for PermitListing {
    fn from(listing: wire::PermitListing) -> Self {
        Self {
            incarnation: listing.life,
            message: PermitMessage {
                sequence: listing.sequence,
                wanted: listing.wanted.into_iter().map(Into::into).collect(),
                used: listing.used.into_iter().map(Into::into).collect(),
            },
        }
    }
}

impl From<WantedPermit> for wire::WantedPermit {
    fn from(wanted: WantedPermit) -> Self {
        Self {
            job: wanted.unit.job().as_str().to_owned(),
            index: wanted.unit.index(),
            attempt: wanted.attempt.0,
            machine: wanted.machine.as_str().to_owned(),
            machine_tenure: wanted.machine_tenure.0,
        }
    }
}

impl From<wire::WantedPermit> for WantedPermit {
    fn from(wanted: wire::WantedPermit) -> Self {
        Self {
            unit: Unit::new(JobName::new(wanted.job), wanted.index),
            attempt: Attempt(wanted.attempt),
            machine: MachineName::new(wanted.machine),
            machine_tenure: Tenure(wanted.machine_tenure),
        }
    }
}

impl From<PermitGrants> for wire::PermitGrants {
    fn from(grants: PermitGrants) -> Self {
        Self {
            sequence: grants.sequence,
            permits: grants.permits.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<wire::PermitGrants> for PermitGrants {
    fn from(grants: wire::PermitGrants) -> Self {
        Self {
            sequence: grants.sequence,
            permits: grants.permits.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Permit> for wire::Permit {
    fn from(permit: Permit) -> Self {
        Self {
            job: permit.unit.job().as_str().to_owned(),
            index: permit.unit.index(),
            attempt: permit.attempt.0,
            tenure: permit.tenure.0,
            valid_for_ms: permit.valid_for_ms,
        }
    }
}

impl From<wire::Permit> for Permit {
    fn from(permit: wire::Permit) -> Self {
        Self {
            unit: Unit::new(JobName::new(permit.job), permit.index),
            attempt: Attempt(permit.attempt),
            tenure: Tenure(permit.tenure),
            valid_for_ms: permit.valid_for_ms,
        }
    }
}
