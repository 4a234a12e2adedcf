//! What kept the lease from being extended, this process's own pauses included: kept for the log, so that
//! operators find the cause there.

use crate::controller::Controller;
use crate::ids::ControllerId;
use crate::messages::{Level, NOT_SENT, NOT_TRIED};
use std::fmt;

/// Why one request about the lease brought no lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseFailure {
    /// The state service answered with this status.
    Refused(u16),
    /// It was sent, and no answer came in time.
    Unanswered,
    /// No connection came about in time, or no socket was free.
    Unconnected,
}

impl LeaseFailure {
    /// The failure that a call's result stands for.
    pub(super) fn of(result: Option<&(u16, Vec<u8>)>) -> Self {
        match result {
            None => Self::Unanswered,
            Some((NOT_SENT | NOT_TRIED, _)) => Self::Unconnected,
            Some((status, _)) => Self::Refused(*status),
        }
    }
}

impl fmt::Display for LeaseFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(status) => write!(f, "the state service refuses ({status})"),
            Self::Unanswered => f.write_str("the state service does not answer"),
            Self::Unconnected => f.write_str("no connection to the state service"),
        }
    }
}

/// What went wrong since the lease was last extended.
#[derive(Debug, Default)]
pub(super) struct LeaseTrouble {
    refused: u32,
    unanswered: u32,
    unconnected: u32,
    /// Time in which this process did not run at all.
    paused_ms: u64,
    /// The end of the entitlement has been logged.
    lapse_logged: bool,
}

impl LeaseTrouble {
    /// Counts a failure; whether it is the first one.
    fn count(&mut self, failure: LeaseFailure) -> bool {
        let first = self.refused + self.unanswered + self.unconnected == 0;
        let counter = match failure {
            LeaseFailure::Refused(_) => &mut self.refused,
            LeaseFailure::Unanswered => &mut self.unanswered,
            LeaseFailure::Unconnected => &mut self.unconnected,
        };
        *counter += 1;
        first
    }
}

impl fmt::Display for LeaseTrouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} refused, {} unanswered, {} not connected, paused for {} ms",
            self.refused, self.unanswered, self.unconnected, self.paused_ms
        )
    }
}

impl Controller {
    /// This process has not run for a while, though its clocks did: the time counts as a cause of what follows.
    pub(crate) fn note_pause(&mut self, ms: u64) {
        self.member.trouble.paused_ms += ms;
        if ms > self.settings.report_ms() {
            self.log(Level::Info, format!("no input for {ms} ms: this process was paused"));
        }
    }

    /// A request about the lease has failed.
    pub(super) fn note_lease_failure(&mut self, failure: LeaseFailure) {
        if self.member.trouble.count(failure) {
            let what = match self.member.permit {
                Some(_) => "lease not extended",
                None => "no lease yet",
            };
            let peers = self.peers_standing();
            self.log(Level::Info, format!("{what}: {failure}; {peers}"));
        }
    }

    /// The lease has been extended, or there is a new one.
    pub(super) fn clear_lease_trouble(&mut self) {
        self.member.trouble = LeaseTrouble::default();
    }

    /// Says once that this controller may not act any more, and why.
    pub(super) fn log_lapse(&mut self) {
        if self.member.permit.is_none() || self.entitled() || self.member.trouble.lapse_logged {
            return;
        }
        self.member.trouble.lapse_logged = true;
        let (history, peers) = (self.lease_history(), self.peers_standing());
        self.log(Level::Info, format!("not entitled to act: {history}; {peers}"));
    }

    /// What has come of the extensions since the last one that was granted.
    pub(super) fn lease_history(&self) -> String {
        let ms = self.now.ms.saturating_sub(self.member.lease_since);
        format!(
            "{ms} ms since the last extension was asked for; {}",
            self.member.trouble
        )
    }

    /// How the other controllers stand, as far as they are heard.
    fn peers_standing(&self) -> String {
        let recently = 2 * self.settings.report_ms();
        let standing = self.settings.platform.siblings.iter().map(|sibling| {
            let name = ControllerId::new(sibling.host_name.clone());
            let peer = self.member.peers.get(&name);
            let heard = peer.filter(|p| p.heard.is_some_and(|t| self.now.ms.saturating_sub(t) < recently));
            match heard {
                Some(p) if p.entitled => format!("{name} is entitled"),
                Some(_) => format!("{name} is not entitled"),
                None => format!("{name} is not heard"),
            }
        });
        standing.collect::<Vec<String>>().join(", ")
    }
}
