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
pub struct Division {
    /// Connections of all who come in.
    pub incoming: usize,
    /// Connections of workers among them.
    pub workers: usize,
    /// Connections to workers, idle ones included.
    pub commands: usize,
}

impl Division {
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
enum Doing {
    /// It waits for the next request.
    Idle,
    /// A request is being read.
    Reading,
    /// A request is being answered.
    Answering,
}

#[derive(Debug)]
struct Entry {
    worker: bool,
    doing: Doing,
    since: Instant,
    close: Sender<()>,
}

/// All connections that came in.
#[derive(Debug)]
pub struct Doors {
    open: Mutex<(u64, BTreeMap<u64, Entry>)>,
    division: Division,
    report: Duration,
    lease: Duration,
}

impl Doors {
    /// None is open yet.
    pub fn new(division: Division, report: Duration, lease: Duration) -> Arc<Self> {
        Arc::new(Self {
            open: Mutex::default(),
            division,
            report,
            lease,
        })
    }

    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Entry>)> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a connection in, if need be in the place of an idle one; none if there is no place.
    pub fn enter(self: &Arc<Self>, now: Instant) -> Option<Door> {
        let mut open = self.lock();
        if open.1.len() >= self.division.incoming {
            let silent = 2 * self.report;
            let place = |e: &Entry| match (e.doing, e.worker) {
                (Doing::Idle, true) if now.saturating_duration_since(e.since) > silent => Some(0),
                (Doing::Idle, false) => Some(1),
                _ => None,
            };
            let found = open.1.iter().filter_map(|(id, e)| Some((place(e)?, e.since, *id)));
            let (_, _, victim) = found.min()?;
            if let Some(entry) = open.1.remove(&victim) {
                let _ = entry.close.try_send(());
            }
        }
        let (close, closed) = smol::channel::bounded(1);
        open.0 += 1;
        let id = open.0;
        let entry = Entry {
            worker: false,
            doing: Doing::Idle,
            since: now,
            close,
        };
        open.1.insert(id, entry);
        let doors = self.clone();
        Some(Door { id, doors, closed })
    }

    /// Closes what has been idle for too long, and what does not finish a request. A worker that has not
    /// reported for a lease's time has gone elsewhere, or has ended.
    pub fn sweep(&self, now: Instant) {
        let mut open = self.lock();
        open.1.retain(|_, e| {
            let most = match (e.doing, e.worker) {
                (Doing::Answering, _) => return true,
                (Doing::Idle, false) => 4 * self.lease,
                (Doing::Idle, true) | (Doing::Reading, _) => self.lease,
            };
            let keep = now.saturating_duration_since(e.since) <= most;
            if !keep {
                let _ = e.close.try_send(());
            }
            keep
        });
    }
}

/// A connection's place.
#[derive(Debug)]
pub struct Door {
    id: u64,
    doors: Arc<Doors>,
    closed: Receiver<()>,
}

impl Door {
    /// Ends when the connection is to be closed.
    pub async fn closed(&self) {
        // Nothing else is ever sent.
        let _ = self.closed.recv().await;
    }

    fn now(&self, doing: Doing) {
        if let Some(e) = self.doors.lock().1.get_mut(&self.id) {
            e.doing = doing;
            e.since = Instant::now();
        }
    }

    /// It waits for a request.
    pub fn idle(&self) {
        self.now(Doing::Idle);
    }

    /// A request has begun.
    pub fn reading(&self) {
        self.now(Doing::Reading);
    }

    /// A request is complete. False: it is a worker's, and workers have all the places that they may.
    pub fn answering(&self, worker: bool) -> bool {
        self.now(Doing::Answering);
        let mut open = self.doors.lock();
        if !worker || open.1.get(&self.id).is_none_or(|e| e.worker) {
            return true;
        }
        let full = open.1.values().filter(|e| e.worker).count() >= self.doors.division.workers;
        if !full && let Some(e) = open.1.get_mut(&self.id) {
            e.worker = true;
        }
        !full
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.doors.lock().1.remove(&self.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REPORT: Duration = Duration::from_secs(5);

    fn doors(incoming: usize, workers: usize) -> Arc<Doors> {
        let division = Division {
            incoming,
            workers,
            commands: 2,
        };
        Doors::new(division, REPORT, 5 * REPORT)
    }

    fn is_closed(door: &Door) -> bool {
        door.closed.try_recv().is_ok()
    }

    #[test]
    fn a_controller_that_stands_alone_has_room_for_every_worker_and_for_others() {
        // Guard: half of the sockets used to be for those who come in. With two of three controllers
        // away that was less than there were workers, and leases ran out.
        for (sockets, workers) in [(3490, 1848), (3588, 2131), (1800, 960)] {
            let d = Division::of(sockets);
            assert!(d.workers >= workers, "{d:?} for {workers} workers");
            assert!(d.incoming - d.workers >= 150, "{d:?}");
            assert!(d.incoming + d.commands + 64 <= sockets as usize, "{d:?}");
        }
    }

    #[test]
    fn what_is_idle_gives_way_and_workers_that_report_do_not() {
        let doors = doors(3, 2);
        let now = Instant::now();
        let enter = |at: Instant| doors.enter(at);
        let worker = enter(now).expect("a place");
        assert!(worker.answering(true));
        worker.idle();
        let user = enter(now).expect("a place");
        let busy = enter(now).expect("a place");
        busy.reading();
        // Full: the idle user goes, neither the worker nor who is in a request.
        let second = enter(now + REPORT).expect("the idle user's place");
        assert!(is_closed(&user) && !is_closed(&worker) && !is_closed(&busy));
        second.reading();
        // Guard: a refusal, and not a live worker's place, for both would come back in turns.
        assert!(enter(now + REPORT).is_none());
        // A machine that has fallen silent goes first.
        assert!(enter(now + 3 * REPORT).is_some());
        assert!(is_closed(&worker));
    }

    #[test]
    fn workers_leave_places_to_users_and_health_checks() {
        let doors = doors(8, 2);
        let now = Instant::now();
        let all: Vec<Door> = (0..3).filter_map(|_| doors.enter(now)).collect();
        let taken: Vec<bool> = all.iter().map(|d| d.answering(true)).collect();
        assert_eq!(taken, [true, true, false]);
        // Who already has a worker's place keeps it, and a place that is left can be taken again.
        assert!(all[0].answering(true));
        drop(all);
        assert!(doors.enter(now).is_some_and(|d| d.answering(true)));
    }

    #[test]
    fn connections_of_silent_machines_and_unfinished_requests_are_swept() {
        let doors = doors(8, 8);
        let now = Instant::now();
        let all: Vec<Door> = (0..4).filter_map(|_| doors.enter(now)).collect();
        all[0].answering(true);
        all[0].idle();
        all[1].reading();
        all[2].answering(false);
        doors.sweep(now + 6 * REPORT);
        let closed: Vec<bool> = all.iter().map(is_closed).collect();
        assert_eq!(closed, [true, true, false, false]);
    }
}
