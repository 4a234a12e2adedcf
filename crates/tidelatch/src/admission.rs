//! The connections of users, workers and health checks: who gets in when sockets run short.
//!
//! A controller that stands alone hears every worker, beside users and health checks. So the sockets are
//! divided by need: a quarter is kept for calls to others, and of the rest an eighth that workers
//! cannot take. What lies idle gives way to what comes in: connections of machines that have fallen silent
//! first, then those on which a user has asked nothing for longest. A worker that reports is never
//! closed for another, for both would take each other's place in turns.

use smol::channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How a controller's sockets are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// Connections of all who come in.
    pub incoming: usize,
    /// Connections of workers among them.
    pub workers: usize,
    /// Connections to workers, idle ones included.
    pub commands: usize,
}

impl SocketBudget {
    /// The fewest sockets with which a controller that stands alone has places for so many workers.
    pub fn needed_for(workers: usize) -> usize {
        let enough = |sockets: &u32| Self::of(*sockets).workers >= workers;
        (0..=u32::MAX)
            .find(enough)
            .map_or(usize::MAX, |sockets| sockets as usize)
    }

    /// Divides so many sockets.
    pub fn of(sockets: u32) -> Self {
        let sockets = sockets as usize;
        let calls = sockets / 4;
        let incoming = (sockets - calls).max(8);
        Self {
            incoming,
            workers: incoming - incoming / 8,
            // The rest is for the state service, the cloud, the peers and the process itself.
            commands: (calls - calls / 4).max(2),
        }
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    /// It waits for the next request.
    Idle,
    /// A request is being read.
    Reading,
    /// A request is being answered.
    Answering,
}

#[derive(Debug)]
struct ConnectionState {
    worker: bool,
    activity: Activity,
    since: Instant,
    evict: Sender<()>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    last_id: u64,
    by_id: BTreeMap<u64, ConnectionState>,
}

/// All connections that came in.
#[derive(Debug)]
pub struct Admission {
    open: Mutex<OpenConnections>,
    budget: SocketBudget,
    report_interval: Duration,
    lease_duration: Duration,
}

impl Admission {
    /// None is open yet.
    pub fn new(budget: SocketBudget, report_interval: Duration, lease_duration: Duration) -> Arc<Self> {
        Arc::new(Self {
            open: Mutex::default(),
            budget,
            report_interval,
            lease_duration,
        })
    }

    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a connection in, if need be in the place of an idle one; none if there is no place.
    pub fn admit(self: &Arc<Self>, now: Instant) -> Option<AdmittedConnection> {
        let mut open = self.lock();
        if open.by_id.len() >= self.budget.incoming {
            let silent = 2 * self.report_interval;
            let place = |e: &ConnectionState| match (e.activity, e.worker) {
                (Activity::Idle, true) if now.saturating_duration_since(e.since) > silent => Some(0),
                (Activity::Idle, false) => Some(1),
                _ => None,
            };
            let found = open.by_id.iter().filter_map(|(id, e)| Some((place(e)?, e.since, *id)));
            let (_, _, victim) = found.min()?;
            if let Some(entry) = open.by_id.remove(&victim) {
                let _ = entry.evict.try_send(());
            }
        }
        let (evict, evicted) = smol::channel::bounded(1);
        open.last_id += 1;
        let id = open.last_id;
        let entry = ConnectionState {
            worker: false,
            activity: Activity::Idle,
            since: now,
            evict,
        };
        open.by_id.insert(id, entry);
        let admission = self.clone();
        Some(AdmittedConnection { id, admission, evicted })
    }

    /// Closes what has been idle for too long, and what does not finish a request. A worker that has not
    /// reported for a lease's time has gone elsewhere, or has ended.
    pub fn close_stale(&self, now: Instant) {
        let mut open = self.lock();
        open.by_id.retain(|_, e| {
            let most = match (e.activity, e.worker) {
                (Activity::Answering, _) => return true,
                (Activity::Idle, false) => 4 * self.lease_duration,
                (Activity::Idle, true) | (Activity::Reading, _) => self.lease_duration,
            };
            let keep = now.saturating_duration_since(e.since) <= most;
            if !keep {
                let _ = e.evict.try_send(());
            }
            keep
        });
    }
}

/// A connection's place.
#[derive(Debug)]
pub struct AdmittedConnection {
    id: u64,
    admission: Arc<Admission>,
    evicted: Receiver<()>,
}

impl AdmittedConnection {
    /// Ends when the connection is to be closed.
    pub async fn wait_for_eviction(&self) {
        // Nothing else is ever sent.
        let _ = self.evicted.recv().await;
    }

    fn set_activity(&self, activity: Activity) {
        if let Some(e) = self.admission.lock().by_id.get_mut(&self.id) {
            e.activity = activity;
            e.since = Instant::now();
        }
    }

    /// It waits for a request.
    pub fn set_idle(&self) {
        self.set_activity(Activity::Idle);
    }

    /// A request has begun.
    pub fn set_reading(&self) {
        self.set_activity(Activity::Reading);
    }

    /// A request is complete. False: it is a worker's, and workers have all the places that they may.
    pub fn set_answering(&self, worker: bool) -> bool {
        self.set_activity(Activity::Answering);
        let mut open = self.admission.lock();
        if !worker || open.by_id.get(&self.id).is_none_or(|e| e.worker) {
            return true;
        }
        let full = open.by_id.values().filter(|e| e.worker).count() >= self.admission.budget.workers;
        if !full && let Some(e) = open.by_id.get_mut(&self.id) {
            e.worker = true;
        }
        !full
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

    const REPORT: Duration = Duration::from_secs(5);

    fn admission(incoming: usize, workers: usize) -> Arc<Admission> {
        let budget = SocketBudget {
            incoming,
            workers,
            commands: 2,
        };
        Admission::new(budget, REPORT, 5 * REPORT)
    }

    fn is_evicted(connection: &AdmittedConnection) -> bool {
        connection.evicted.try_recv().is_ok()
    }

    #[test]
    fn a_controller_that_stands_alone_has_room_for_every_worker_and_for_others() {
        // Guard: half of the sockets used to be for those who come in. With two of three controllers
        // away that was less than there were workers, and leases ran out.
        for (sockets, workers) in [(3490, 1848), (3588, 2131), (1800, 960)] {
            let d = SocketBudget::of(sockets);
            assert!(d.workers >= workers, "{d:?} for {workers} workers");
            assert!(d.incoming - d.workers >= 150, "{d:?}");
            assert!(d.incoming + d.commands + 64 <= sockets as usize, "{d:?}");
        }
    }

    #[test]
    fn what_is_idle_gives_way_and_workers_that_report_do_not() {
        let admission = admission(3, 2);
        let now = Instant::now();
        let admit = |at: Instant| admission.admit(at);
        let worker = admit(now).expect("a place");
        assert!(worker.set_answering(true));
        worker.set_idle();
        let user = admit(now).expect("a place");
        let busy = admit(now).expect("a place");
        busy.set_reading();
        // Full: the idle user goes, neither the worker nor who is in a request.
        let second = admit(now + REPORT).expect("the idle user's place");
        assert!(is_evicted(&user) && !is_evicted(&worker) && !is_evicted(&busy));
        second.set_reading();
        // Guard: a refusal, and not a live worker's place, for both would come back in turns.
        assert!(admit(now + REPORT).is_none());
        // A machine that has fallen silent goes first.
        assert!(admit(now + 3 * REPORT).is_some());
        assert!(is_evicted(&worker));
    }

    #[test]
    fn workers_leave_places_to_users_and_health_checks() {
        let admission = admission(8, 2);
        let now = Instant::now();
        let all: Vec<AdmittedConnection> = (0..3).filter_map(|_| admission.admit(now)).collect();
        let taken: Vec<bool> = all.iter().map(|d| d.set_answering(true)).collect();
        assert_eq!(taken, [true, true, false]);
        // Who already has a worker's place keeps it, and a place that is left can be taken again.
        assert!(all[0].set_answering(true));
        drop(all);
        assert!(admission.admit(now).is_some_and(|d| d.set_answering(true)));
    }

    #[test]
    fn connections_of_silent_machines_and_unfinished_requests_are_swept() {
        let admission = admission(8, 8);
        let now = Instant::now();
        let all: Vec<AdmittedConnection> = (0..4).filter_map(|_| admission.admit(now)).collect();
        all[0].set_answering(true);
        all[0].set_idle();
        all[1].set_reading();
        all[2].set_answering(false);
        admission.close_stale(now + 6 * REPORT);
        let evicted: Vec<bool> = all.iter().map(is_evicted).collect();
        assert_eq!(evicted, [true, true, false, false]);
    }
}
