//! Failed lease requests and pauses of this process since the last extension of the lease. They are logged so
//! that operators can find out why a lease was lost.

use crate::controller::Controller;
use crate::ids::ControllerId;
use crate::messages::{Level, STATUS_NO_FREE_SOCKET, STATUS_NOT_CONNECTED};
use std::fmt;

/// Why a request to obtain or extend the lease failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseFailure {
    /// The state service answered with this status.
    Refused(u16),
    /// The request was sent, but no answer came before the timeout.
    Unanswered,
    /// No connection was established before the timeout, or no socket was free.
    NotConnected,
}

impl LeaseFailure {
    /// Classifies the result of a call.
    pub(super) fn from_result(result: Option<&(u16, Vec<u8>)>) -> Self {
        match result {
            None => Self::Unanswered,
            Some((STATUS_NOT_CONNECTED | STATUS_NO_FREE_SOCKET, _)) => Self::NotConnected,
            Some((status, _)) => Self::Refused(*status),
        }
    }
}

impl fmt::Display for LeaseFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(status) => write!(f, "the state service refuses ({status})"),
            Self::Unanswered => f.write_str("the state service does not answer"),
            Self::NotConnected => f.write_str("no connection to the state service"),
        }
    }
}

/// Failures since the lease was last extended.
#[derive(Debug, Default)]
pub(super) struct LeaseFailures {
    refused: u32,
    unanswered: u32,
    not_connected: u32,
    /// Total time in which this process did not run.
    paused_ms: u64,
    /// The loss of the entitlement has been logged.
    is_entitlement_loss_logged: bool,
}

impl LeaseFailures {
    /// Counts a failure. Returns true for the first one.
    fn record(&mut self, failure: LeaseFailure) -> bool {
        let is_first = self.refused + self.unanswered + self.not_connected == 0;
        let counter = match failure {
            LeaseFailure::Refused(_) => &mut self.refused,
            LeaseFailure::Unanswered => &mut self.unanswered,
            LeaseFailure::NotConnected => &mut self.not_connected,
        };
        *counter += 1;
        is_first
    }
}

impl fmt::Display for LeaseFailures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} refused, {} unanswered, {} not connected, paused for {} ms",
            self.refused, self.unanswered, self.not_connected, self.paused_ms
        )
    }
}

impl Controller {
    /// Records that this process did not run for a while although its clocks advanced, as a possible cause of
    /// later lease failures.
    pub(crate) fn record_pause(&mut self, ms: u64) {
        self.membership.lease_failures.paused_ms += ms;
        if ms > self.settings.report_ms() {
            self.log(Level::Info, format!("no input for {ms} ms: this process was paused"));
        }
    }

    /// Counts a failed request to obtain or extend the lease, and logs the first one.
    pub(super) fn record_lease_failure(&mut self, failure: LeaseFailure) {
        if self.membership.lease_failures.record(failure) {
            let what = match self.membership.lease_id {
                Some(_) => "lease not extended",
                None => "lease not obtained",
            };
            let peers = self.describe_peers();
            self.log(Level::Info, format!("{what}: {failure}; {peers}"));
        }
    }

    /// Resets the failures after the lease was extended or a new one obtained.
    pub(super) fn clear_lease_failures(&mut self) {
        self.membership.lease_failures = LeaseFailures::default();
    }

    /// Logs once that this controller is no longer entitled to act, and why.
    pub(super) fn log_entitlement_loss(&mut self) {
        if self.membership.lease_id.is_none()
            || self.is_entitled()
            || self.membership.lease_failures.is_entitlement_loss_logged
        {
            return;
        }
        self.membership.lease_failures.is_entitlement_loss_logged = true;
        let (history, peers) = (self.describe_lease_history(), self.describe_peers());
        self.log(Level::Info, format!("not entitled to act: {history}; {peers}"));
    }

    /// Describes the lease requests since the last successful one, for the log.
    pub(super) fn describe_lease_history(&self) -> String {
        let ms = self.now.ms.saturating_sub(self.membership.lease_requested_ms);
        format!(
            "{ms} ms since the last successful extension was requested; {}",
            self.membership.lease_failures
        )
    }

    /// Describes which other controllers are reachable and entitled to act, for the log.
    fn describe_peers(&self) -> String {
        let recent_ms = 2 * self.settings.report_ms();
        let descriptions = self.settings.platform.siblings.iter().map(|sibling| {
            let name = ControllerId::new(sibling.host_name.clone());
            let peer = self.membership.peers.get(&name);
            let heard = peer.filter(|p| {
                p.last_heard_ms
                    .is_some_and(|t| self.now.ms.saturating_sub(t) < recent_ms)
            });
            match heard {
                Some(p) if p.is_entitled => format!("{name} is entitled"),
                Some(_) => format!("{name} is not entitled"),
                None => format!("{name} is not heard"),
            }
        });
        descriptions.collect::<Vec<String>>().join(", ")
    }
}
