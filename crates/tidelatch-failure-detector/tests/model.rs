//! Model checks the detector: explores all short histories of a lease, a grant, a pause, a network partition and an
//! outdated view of the store, by breadth-first search. The detectors themselves are part of the model's state.
//! `stateright`, which is made for this, cannot be had from the registry; `pathfinding`'s breadth-first search is the
//! closest substitute: it visits each distinct state once.
//!
//! Member `b` owns a partition under a lease, and may continue to act under a grant from `a`. Member `a` takes the
//! partition over once its detector confirms `b` as gone. In each interval at most one thing changes; at most
//! [`MAX_CHANGES`] changes happen in a history of [`DEPTH`] intervals.

use pathfinding::directed::bfs::bfs_reach;
use tidelatch_failure_detector::{
    Event, FailureDetector, Heartbeat, HeartbeatTrigger, IncarnationId, MemberId, MemberState, Policy, Registration,
    RegistrationSource, Timing, Verdict,
};

/// Number of intervals in a history.
const DEPTH: u64 = 16;
/// Maximum number of changes in a history.
const MAX_CHANGES: u8 = 4;
/// Length of an interval: one heartbeat.
const INTERVAL_MS: u64 = 1_000;
/// Duration of a lease and of a grant, in intervals.
const LEASE_INTERVALS: u64 = 5;
/// Number of intervals within which the right verdict must be reached, once no more faults happen.
const RECOVERY_INTERVALS: u64 = 3 * LEASE_INTERVALS;

const TIMING: Timing = Timing {
    heartbeat_ms: INTERVAL_MS,
    lease_ms: LEASE_INTERVALS * INTERVAL_MS,
};

/// A change that can happen in an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Change {
    /// `b` pauses, or resumes with everything that has arrived in the meantime.
    Pause,
    /// Heartbeats of `b` start to get lost, or arrive again.
    LinkCut,
    /// The most recently lost heartbeat arrives after all.
    LateHeartbeat,
    /// The store stops serving `a`, or serves it again.
    ServiceOfA,
    /// The store stops serving `b`, or serves it again.
    ServiceOfB,
    /// `a`'s view of the store stops being updated although its writes are served, or is updated again.
    ViewOfA,
}

const CHANGES: [Change; 6] = [
    Change::Pause,
    Change::LinkCut,
    Change::LateHeartbeat,
    Change::ServiceOfA,
    Change::ServiceOfB,
    Change::ViewOfA,
];

/// `a`'s view of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct View {
    registered: Option<IncarnationId>,
    owner: Owner,
    read_interval: u64,
    /// The interval in which the last grant from `a` to `b` expires.
    granted_until_interval: u64,
}

impl RegistrationSource for View {
    fn registration(&self, _member: &MemberId) -> Registration {
        let observed_ms = self.read_interval * INTERVAL_MS;
        match self.registered {
            Some(incarnation) => Registration::Present {
                incarnation,
                observed_ms,
            },
            None => Registration::Absent { observed_ms },
        }
    }

    fn granted_until_ms(&self, _member: &MemberId) -> u64 {
        self.granted_until_interval * INTERVAL_MS
    }
}

/// The owner of the partition by the stored epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Owner {
    A,
    /// An incarnation of `b`.
    B(IncarnationId),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    interval: u64,
    changes_left: u8,
    detector_of_a: FailureDetector,
    detector_of_b: FailureDetector,
    view_of_a: View,
    is_a_served: bool,
    is_a_view_updated: bool,
    is_b_running: bool,
    is_b_served: bool,
    is_link_cut: bool,
    lost_heartbeat: Option<Heartbeat>,
    /// The registration in the store: the registered incarnation, and the interval in which its lease ends.
    registration: Option<(IncarnationId, u64)>,
    incarnation_of_b: IncarnationId,
    /// `b` may act before this interval, by its lease or by the grant.
    b_entitled_until_interval: u64,
    owner: Owner,
    /// The rule that was violated in this interval.
    violation: Option<&'static str>,
}

fn initial() -> State {
    let (a, b) = (MemberId::new("a"), MemberId::new("b"));
    let new = |me: &MemberId, incarnation| {
        let both = [a.clone(), b.clone()];
        FailureDetector::new(me.clone(), incarnation, both, TIMING, Policy::default(), 0)
            .expect("the settings are valid")
    };
    let mut state = State {
        interval: 0,
        changes_left: MAX_CHANGES,
        detector_of_a: new(&a, IncarnationId(1)),
        detector_of_b: new(&b, IncarnationId(10)),
        view_of_a: View {
            registered: Some(IncarnationId(10)),
            owner: Owner::B(IncarnationId(10)),
            read_interval: 0,
            granted_until_interval: 0,
        },
        is_a_served: true,
        is_a_view_updated: true,
        is_b_running: true,
        is_b_served: true,
        is_link_cut: false,
        lost_heartbeat: None,
        registration: Some((IncarnationId(10), LEASE_INTERVALS)),
        incarnation_of_b: IncarnationId(10),
        b_entitled_until_interval: LEASE_INTERVALS,
        owner: Owner::B(IncarnationId(10)),
        violation: None,
    };
    // Enough heartbeats for the detector to have intervals in its window.
    for _ in 0..3 {
        state.step();
    }
    state
}

impl State {
    fn b(&self) -> MemberId {
        MemberId::new("b")
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Pause => self.is_b_running = !self.is_b_running,
            Change::LinkCut => self.is_link_cut = !self.is_link_cut,
            Change::LateHeartbeat => {
                if let Some(late) = self.lost_heartbeat.take() {
                    self.deliver(&late);
                }
            }
            Change::ServiceOfA => self.is_a_served = !self.is_a_served,
            Change::ServiceOfB => self.is_b_served = !self.is_b_served,
            Change::ViewOfA => self.is_a_view_updated = !self.is_a_view_updated,
        }
    }

    /// Advances the model by one interval.
    fn step(&mut self) {
        self.interval += 1;
        self.expire_registration();
        if self.is_b_running {
            self.step_b();
        }
        self.step_a();
        if self.owner == Owner::A && self.interval < self.b_entitled_until_interval {
            self.violation = Some("two members are entitled to act at the same time");
        }
    }

    fn expire_registration(&mut self) {
        if self.registration.is_some_and(|(_, ends)| ends <= self.interval) {
            self.registration = None;
        }
    }

    fn step_b(&mut self) {
        let now = self.interval;
        if self.is_b_served {
            match self.registration {
                Some((incarnation, _)) if incarnation == self.incarnation_of_b => {}
                _ => {
                    // `b` lost its lease and registers as a new incarnation. A third member, the leader, assigns to it
                    // what its earlier incarnation owned.
                    let earlier = self.incarnation_of_b;
                    self.incarnation_of_b = IncarnationId(earlier.0 + 1);
                    self.detector_of_b.begin_incarnation(self.incarnation_of_b);
                    self.b_entitled_until_interval = 0;
                    if self.owner == Owner::B(earlier) {
                        self.owner = Owner::B(self.incarnation_of_b);
                    }
                }
            }
            self.registration = Some((self.incarnation_of_b, now + LEASE_INTERVALS));
            if self.owner == Owner::B(self.incarnation_of_b) {
                self.b_entitled_until_interval = now + LEASE_INTERVALS;
            }
        } else if !self.is_a_served && now < self.b_entitled_until_interval {
            // Neither member is served. `a` gives `b` a grant that keeps it entitled, and does not take over before the
            // grant expires.
            self.view_of_a.granted_until_interval = now + LEASE_INTERVALS;
            self.b_entitled_until_interval = now + LEASE_INTERVALS;
        }
        let heartbeat = self.detector_of_b.heartbeat(now * INTERVAL_MS, None);
        if self.is_link_cut {
            self.lost_heartbeat = Some(heartbeat);
        } else {
            self.deliver(&heartbeat);
        }
    }

    fn deliver(&mut self, heartbeat: &Heartbeat) {
        let now_ms = self.interval * INTERVAL_MS;
        // A rejected heartbeat is no evidence and changes nothing.
        let _ = self
            .detector_of_a
            .on_heartbeat(now_ms, HeartbeatTrigger::Scheduled, heartbeat);
    }

    fn step_a(&mut self) {
        let now = self.interval;
        if self.is_a_served && self.is_a_view_updated {
            self.view_of_a.registered = self.registration.map(|(incarnation, _)| incarnation);
            self.view_of_a.owner = self.owner;
            self.view_of_a.read_interval = now;
        }
        for event in self.detector_of_a.tick(now * INTERVAL_MS, &self.view_of_a) {
            if let Event::Confirmed { incarnation, .. } = event {
                self.check_verdict(incarnation);
            }
        }
        // The write is conditional on the owner that was read together with the registrations.
        let state = self.detector_of_a.state(&self.b());
        let is_confirmed_gone = state == Some(MemberState::Confirmed(Verdict::RegistrationEnded));
        if is_confirmed_gone && self.is_a_served && self.view_of_a.owner == self.owner {
            self.owner = Owner::A;
        }
    }

    /// An incarnation that is confirmed as gone must have lost its registration and every right to act.
    fn check_verdict(&mut self, incarnation: Option<IncarnationId>) {
        let registered = self.registration.map(|(incarnation, _)| incarnation);
        if incarnation.is_some() && registered == incarnation {
            self.violation = Some("a registered incarnation is confirmed as gone");
        }
        if incarnation == Some(self.incarnation_of_b) && self.interval < self.b_entitled_until_interval {
            self.violation = Some("an entitled incarnation is confirmed as gone");
        }
    }

    fn successors(&self) -> Vec<Self> {
        if self.interval >= DEPTH || self.violation.is_some() {
            return Vec::new();
        }
        let mut successors = Vec::new();
        for change in CHANGES.map(Some).into_iter().chain([None]) {
            let mut next = self.clone();
            match change {
                Some(_) if next.changes_left == 0 => continue,
                Some(Change::LateHeartbeat) if next.lost_heartbeat.is_none() => continue,
                Some(change) => {
                    next.changes_left -= 1;
                    next.apply_change(change);
                }
                None => {}
            }
            next.step();
            successors.push(next);
        }
        successors
    }

    /// From now on the network and the store work.
    fn recover_network_and_store(&mut self) {
        self.is_a_served = true;
        self.is_a_view_updated = true;
        self.is_b_served = true;
        self.is_link_cut = false;
    }

    fn step_until_recovered(mut self, is_b_running: bool) -> Self {
        self.recover_network_and_store();
        self.is_b_running = is_b_running;
        for _ in 0..RECOVERY_INTERVALS {
            self.step();
        }
        self
    }
}

#[test]
fn no_history_entitles_two_members_and_every_history_ends_in_the_right_verdict() {
    let (mut states, mut suspected, mut confirmed) = (0u64, 0u64, 0u64);
    for state in bfs_reach(initial(), State::successors) {
        states += 1;
        assert_eq!(state.violation, None, "{state:#?}");
        match state.detector_of_a.state(&state.b()) {
            Some(MemberState::Suspected(_)) => suspected += 1,
            Some(MemberState::Confirmed(_)) => confirmed += 1,
            _ => {}
        }
        // Only the states at the end of a history are checked for what must happen eventually.
        if state.interval < DEPTH {
            continue;
        }
        let after_crash = state.clone().step_until_recovered(false);
        assert_eq!(after_crash.violation, None, "{after_crash:#?}");
        assert_eq!(
            after_crash.owner,
            Owner::A,
            "a crashed owner is never confirmed as gone: {state:#?}"
        );
        let is_lease_held = |(incarnation, ends): (IncarnationId, u64)| {
            incarnation == state.incarnation_of_b && ends > state.interval + 1
        };
        let is_owner_with_lease =
            state.owner == Owner::B(state.incarnation_of_b) && state.registration.is_some_and(is_lease_held);
        let after_recovery = state.clone().step_until_recovered(true);
        assert_eq!(after_recovery.violation, None, "{after_recovery:#?}");
        assert_eq!(
            after_recovery.detector_of_a.state(&after_recovery.b()),
            Some(MemberState::Alive),
            "a running member stays suspected: {state:#?}"
        );
        assert!(
            !is_owner_with_lease || after_recovery.owner == state.owner,
            "a running member lost its partition: {state:#?}"
        );
    }
    // Guard: the search must have reached states with suspicions and verdicts, or it proves nothing.
    assert!(states > 100_000, "{states} states");
    assert!(suspected > 1_000 && confirmed > 1_000, "{suspected} {confirmed}");
    println!("{states} states, {suspected} with a suspicion, {confirmed} with a verdict");
}
