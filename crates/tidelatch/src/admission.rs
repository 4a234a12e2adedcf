//! Admission control for incoming connections of users, workers and health checks when sockets are scarce.
//!
//! When only one controller is running, all workers report to it, in addition to users and health checks. The sockets
//! are therefore divided: a quarter is reserved for outgoing calls, and an eighth of the rest is reserved for users and
//! health checks. When no socket is free for a new connection, an idle one is evicted: first connections of
//! unresponsive machines, then the user's connection that has been idle for the longest time. The connection of a
//! worker that reports is never evicted for another worker, because the two would keep evicting each other.

use smol::channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum numbers of connections by purpose, derived from the controller's socket limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// Incoming connections, of users, workers and health checks.
    pub max_incoming: usize,
    /// Incoming connections of workers; included in `max_incoming`.
    pub max_incoming_workers: usize,
    /// Outgoing connections to workers, idle ones included.
    pub max_outgoing_to_workers: usize,
}

impl SocketBudget {
    /// Returns the smallest number of sockets with which `workers` workers can report to a single controller.
    pub fn min_sockets_for(workers: usize) -> usize {
        let is_enough = |sockets: &u32| Self::from_sockets(*sockets).max_incoming_workers >= workers;
        (0..=u32::MAX)
            .find(is_enough)
            .map_or(usize::MAX, |sockets| sockets as usize)
    }

    /// Divides a controller's `sockets` by purpose.
    pub fn from_sockets(sockets: u32) -> Self {
        let sockets = sockets as usize;
        let outgoing = sockets / 4;
        // The lower bounds of 8 and 2 matter only for fewer sockets than the settings allow.
        let max_incoming = (sockets - outgoing).max(8);
        Self {
            max_incoming,
            max_incoming_workers: max_incoming - max_incoming / 8,
            // The rest is for the state service, the cloud, the peers and the process itself.
            max_outgoing_to_workers: (outgoing - outgoing / 4).max(2),
        }
    }
}

/// Current activity of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// The connection waits for the next request.
    Idle,
    /// A request is being read.
    Reading,
    /// A request is being answered.
    Answering,
}

/// State of an open connection.
#[derive(Debug)]
struct ConnectionState {
    /// Whether a worker has reported on the connection.
    is_worker: bool,
    activity: Activity,
    /// Start of the current activity.
    since: Instant,
    /// Tells the connection's task to close it.
    evict: Sender<()>,
}

/// Table of open connections, by id.
#[derive(Debug, Default)]
struct OpenConnections {
    last_id: u64,
    by_id: BTreeMap<u64, ConnectionState>,
}

/// Admission control for all incoming connections.
#[derive(Debug)]
pub struct Admission {
    open: Mutex<OpenConnections>,
    budget: SocketBudget,
    report_interval: Duration,
    lease_duration: Duration,
}

impl Admission {
    /// Creates admission control without any open connection.
    pub fn new(budget: SocketBudget, report_interval: Duration, lease_duration: Duration) -> Arc<Self> {
        Arc::new(Self {
            open: Mutex::default(),
            budget,
            report_interval,
            lease_duration,
        })
    }

    /// Locks the table of open connections.
    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection, and evicts an idle one if the limit is reached; `None` if none can be evicted.
    pub fn admit(self: &Arc<Self>, now: Instant) -> Option<AdmittedConnection> {
        let mut open = self.lock();
        if open.by_id.len() >= self.budget.max_incoming {
            let unresponsive_after = 2 * self.report_interval;
            let eviction_rank = |c: &ConnectionState| match (c.activity, c.is_worker) {
                (Activity::Idle, true) if now.saturating_duration_since(c.since) > unresponsive_after => Some(0),
                (Activity::Idle, false) => Some(1),
                _ => None,
            };
            let evictable = open
                .by_id
                .iter()
                .filter_map(|(id, c)| Some((eviction_rank(c)?, c.since, *id)));
            let (_, _, evicted_id) = evictable.min()?;
            if let Some(connection) = open.by_id.remove(&evicted_id) {
                let _ = connection.evict.try_send(());
            }
        }
        let (evict, evicted) = smol::channel::bounded(1);
        open.last_id += 1;
        let id = open.last_id;
        let connection = ConnectionState {
            is_worker: false,
            activity: Activity::Idle,
            since: now,
            evict,
        };
        open.by_id.insert(id, connection);
        let admission = self.clone();
        Some(AdmittedConnection { id, admission, evicted })
    }

    /// Closes connections that have been idle for too long (one lease for a worker's, four leases for a user's), or
    /// whose current request stays incomplete for one lease. A worker that has not reported for the duration of a lease
    /// reports to another controller, or has terminated.
    pub fn close_stale(&self, now: Instant) {
        let mut open = self.lock();
        open.by_id.retain(|_, connection| {
            let max_duration = match (connection.activity, connection.is_worker) {
                (Activity::Answering, _) => return true,
                (Activity::Idle, false) => 4 * self.lease_duration,
                (Activity::Idle, true) | (Activity::Reading, _) => self.lease_duration,
            };
            let keep = now.saturating_duration_since(connection.since) <= max_duration;
            if !keep {
                let _ = connection.evict.try_send(());
            }
            keep
        });
    }
}

/// An admitted connection; dropping it releases its socket in the budget.
#[derive(Debug)]
pub struct AdmittedConnection {
    id: u64,
    admission: Arc<Admission>,
    evicted: Receiver<()>,
}

impl AdmittedConnection {
    /// Waits until the connection is evicted: the caller has to close it.
    pub async fn wait_for_eviction(&self) {
        // The only message on this channel is the eviction.
        let _ = self.evicted.recv().await;
    }

    /// Records that the connection has begun an activity.
    fn set_activity(&self, activity: Activity) {
        if let Some(connection) = self.admission.lock().by_id.get_mut(&self.id) {
            connection.activity = activity;
            connection.since = Instant::now();
        }
    }

    /// Records that the connection waits for a request.
    pub fn set_idle(&self) {
        self.set_activity(Activity::Idle);
    }

    /// Records that the first bytes of a request were received.
    pub fn set_reading(&self) {
        self.set_activity(Activity::Reading);
    }

    /// Records that a request is complete and is being answered. Returns false if it is a worker's report and the
    /// number of worker connections has reached its limit.
    pub fn try_set_answering(&self, is_worker: bool) -> bool {
        self.set_activity(Activity::Answering);
        let mut open = self.admission.lock();
        if !is_worker || open.by_id.get(&self.id).is_none_or(|c| c.is_worker) {
            return true;
        }
        let is_full = open.by_id.values().filter(|c| c.is_worker).count() >= self.admission.budget.max_incoming_workers;
        if !is_full && let Some(connection) = open.by_id.get_mut(&self.id) {
            connection.is_worker = true;
        }
        !is_full
    }
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.admission.lock().by_id.remove(&self.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REPORT_INTERVAL: Duration = Duration::from_secs(5);

    fn admission(max_incoming: usize, max_incoming_workers: usize) -> Arc<Admission> {
        let budget = SocketBudget {
            max_incoming,
            max_incoming_workers,
            max_outgoing_to_workers: 2,
        };
        Admission::new(budget, REPORT_INTERVAL, 5 * REPORT_INTERVAL)
    }

    fn is_evicted(connection: &AdmittedConnection) -> bool {
        connection.evicted.try_recv().is_ok()
    }

    #[test]
    fn a_single_controller_has_sockets_for_all_workers_and_for_users() {
        // Guards against too few sockets for incoming connections. If only half of the sockets were for them, one
        // controller of three could not accept all workers while the two others are down, and leases would expire. At
        // least 150 incoming sockets are left for users, and 64 for the state service, the cloud, the
        // peers and the process itself.
        for (sockets, workers) in [(3490, 1848), (3588, 2131), (1800, 960)] {
            let budget = SocketBudget::from_sockets(sockets);
            assert!(
                budget.max_incoming_workers >= workers,
                "{budget:?} for {workers} workers"
            );
            assert!(budget.max_incoming - budget.max_incoming_workers >= 150, "{budget:?}");
            assert!(
                budget.max_incoming + budget.max_outgoing_to_workers + 64 <= sockets as usize,
                "{budget:?}"
            );
        }
    }

    #[test]
    fn idle_connections_are_evicted_and_those_of_reporting_workers_are_not() {
        let admission = admission(3, 2);
        let now = Instant::now();
        let admit = |at: Instant| admission.admit(at);
        let worker = admit(now).expect("admitted");
        assert!(worker.try_set_answering(true));
        worker.set_idle();
        let user = admit(now).expect("admitted");
        let busy = admit(now).expect("admitted");
        busy.set_reading();
        // The limit is reached: the idle user's connection is evicted, not the worker's, and not the one in a request.
        let new_user = admit(now + REPORT_INTERVAL).expect("admitted in place of the idle user");
        assert!(is_evicted(&user) && !is_evicted(&worker) && !is_evicted(&busy));
        new_user.set_reading();
        // Guards against evicting a reporting worker: both workers would reconnect and evict each other. The new
        // connection is refused instead.
        assert!(admit(now + REPORT_INTERVAL).is_none());
        // The connection of an unresponsive machine is evicted first.
        assert!(admit(now + 3 * REPORT_INTERVAL).is_some());
        assert!(is_evicted(&worker));
    }

    #[test]
    fn workers_cannot_use_sockets_reserved_for_users_and_health_checks() {
        let admission = admission(8, 2);
        let now = Instant::now();
        let all: Vec<AdmittedConnection> = (0..3).filter_map(|_| admission.admit(now)).collect();
        let accepted: Vec<bool> = all.iter().map(|c| c.try_set_answering(true)).collect();
        assert_eq!(accepted, [true, true, false]);
        // A connection that already counts as a worker's stays accepted, and a closed one frees its place.
        assert!(all[0].try_set_answering(true));
        drop(all);
        assert!(admission.admit(now).is_some_and(|c| c.try_set_answering(true)));
    }

    #[test]
    fn connections_of_unresponsive_machines_and_with_incomplete_requests_are_closed() {
        let admission = admission(8, 8);
        let now = Instant::now();
        let all: Vec<AdmittedConnection> = (0..4).filter_map(|_| admission.admit(now)).collect();
        all[0].try_set_answering(true);
        all[0].set_idle();
        all[1].set_reading();
        all[2].try_set_answering(false);
        admission.close_stale(now + 6 * REPORT_INTERVAL);
        let evicted: Vec<bool> = all.iter().map(is_evicted).collect();
        assert_eq!(evicted, [true, true, false, false]);
    }
}
