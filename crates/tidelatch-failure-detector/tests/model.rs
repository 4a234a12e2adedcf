//! Explores all short histories of a lease, a grant, a pause, a cut and a stale view, with the detector's own states
//! in the model. `stateright`, which is made for this, cannot be had from the registry; the breadth-first search of
//! `pathfinding` is the nearest kin: it visits each distinct state once.
//!
//! Member `b` owns a partition under a lease, and may act on with a grant of `a`'s. Member `a` takes the partition over
//! once its detector confirms `b` as gone. In each interval at most one thing changes; at most [`MOST_CHANGES`] do in a
//! history of [`DEPTH`] intervals.

use pathfinding::directed::bfs::bfs_reach;
use tidelatch_failure_detector::{
    Arbiter, Channel, Event, FailureDetector, Heartbeat, Life, MemberId, MemberState, Policy, Registration, Timing,
    Verdict,
};

/// Intervals in a history.
const DEPTH: u64 = 16;
/// Changes in a history.
const MOST_CHANGES: u8 = 4;
/// Length of an interval: one heartbeat.
const INTERVAL_MS: u64 = 1_000;
/// A lease, and a grant, in intervals.
const LEASE: u64 = 5;
/// Intervals after which fair conditions must have led to a verdict.
const FAIR_INTERVALS: u64 = 3 * LEASE;

const TIMING: Timing = Timing {
    heartbeat_ms: INTERVAL_MS,
    lease_ms: LEASE * INTERVAL_MS,
};

/// What can change in an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Change {
    /// `b` stops running, or goes on with what has come in meanwhile.
    Pause,
    /// Heartbeats of `b` are lost, or arrive again.
    Cut,
    /// The last heartbeat that was lost arrives after all.
    LateHeartbeat,
    /// The store stops serving `a`, or serves it again.
    ServiceOfA,
    /// The store stops serving `b`, or serves it again.
    ServiceOfB,
    /// What `a` has read of the store stays as it is, though its writes are served, or is fresh again.
    ViewOfA,
}

const CHANGES: [Change; 6] = [
    Change::Pause,
    Change::Cut,
    Change::LateHeartbeat,
    Change::ServiceOfA,
    Change::ServiceOfB,
    Change::ViewOfA,
];

/// What `a` has read of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct View {
    registered: Option<Life>,
    owner: Owner,
    read_at: u64,
    /// When the last grant that `a` gave to `b` ends.
    granted_until: u64,
}

impl Arbiter for View {
    fn registration(&self, _member: &MemberId) -> Registration {
        let observed_ms = self.read_at * INTERVAL_MS;
        match self.registered {
            Some(life) => Registration::Present { life, observed_ms },
            None => Registration::Absent { observed_ms },
        }
    }

    fn granted_until_ms(&self, _member: &MemberId) -> u64 {
        self.granted_until * INTERVAL_MS
    }
}

/// Who owns the partition by the stored epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Owner {
    A,
    /// A life of `b`.
    B(Life),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    interval: u64,
    changes_left: u8,
    detector_of_a: FailureDetector,
    detector_of_b: FailureDetector,
    view_of_a: View,
    a_served: bool,
    a_view_fresh: bool,
    b_running: bool,
    b_served: bool,
    cut: bool,
    lost_heartbeat: Option<Heartbeat>,
    /// The store's truth: the life that is registered, and when its lease ends.
    registration: Option<(Life, u64)>,
    life_of_b: Life,
    /// `b` may act before this, by its lease or by the grant.
    b_entitled_until: u64,
    owner: Owner,
    /// A rule that was broken in this interval.
    broken: Option<&'static str>,
}

fn initial() -> State {
    let (a, b) = (MemberId::new("a"), MemberId::new("b"));
    let new = |me: &MemberId, life| {
        let both = [a.clone(), b.clone()];
        FailureDetector::new(me.clone(), life, both, TIMING, Policy::default(), 0).expect("in order")
    };
    let mut state = State {
        interval: 0,
        changes_left: MOST_CHANGES,
        detector_of_a: new(&a, Life(1)),
        detector_of_b: new(&b, Life(10)),
        view_of_a: View {
            registered: Some(Life(10)),
            owner: Owner::B(Life(10)),
            read_at: 0,
            granted_until: 0,
        },
        a_served: true,
        a_view_fresh: true,
        b_running: true,
        b_served: true,
        cut: false,
        lost_heartbeat: None,
        registration: Some((Life(10), LEASE)),
        life_of_b: Life(10),
        b_entitled_until: LEASE,
        owner: Owner::B(Life(10)),
        broken: None,
    };
    // Enough intervals for the detector to know the usual ones.
    for _ in 0..3 {
        state.pass();
    }
    state
}

impl State {
    fn b(&self) -> MemberId {
        MemberId::new("b")
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Pause => self.b_running = !self.b_running,
            Change::Cut => self.cut = !self.cut,
            Change::LateHeartbeat => {
                if let Some(late) = self.lost_heartbeat.take() {
                    self.deliver(&late);
                }
            }
            Change::ServiceOfA => self.a_served = !self.a_served,
            Change::ServiceOfB => self.b_served = !self.b_served,
            Change::ViewOfA => self.a_view_fresh = !self.a_view_fresh,
        }
    }

    /// One interval passes.
    fn pass(&mut self) {
        self.interval += 1;
        self.expire_registration();
        if self.b_running {
            self.step_b();
        }
        self.step_a();
        if self.owner == Owner::A && self.interval < self.b_entitled_until {
            self.broken = Some("two members are entitled at a time");
        }
    }

    fn expire_registration(&mut self) {
        if self.registration.is_some_and(|(_, ends)| ends <= self.interval) {
            self.registration = None;
        }
    }

    fn step_b(&mut self) {
        let now = self.interval;
        if self.b_served {
            match self.registration {
                Some((life, _)) if life == self.life_of_b => {}
                _ => {
                    // Its lease was lost: it joins as another life. A third member leads, and gives it what its
                    // earlier life owned.
                    let earlier = self.life_of_b;
                    self.life_of_b = Life(earlier.0 + 1);
                    self.detector_of_b.begin_life(self.life_of_b);
                    self.b_entitled_until = 0;
                    if self.owner == Owner::B(earlier) {
                        self.owner = Owner::B(self.life_of_b);
                    }
                }
            }
            self.registration = Some((self.life_of_b, now + LEASE));
            if self.owner == Owner::B(self.life_of_b) {
                self.b_entitled_until = now + LEASE;
            }
        } else if !self.a_served && now < self.b_entitled_until {
            // Neither is served: `a` grants what keeps `b` entitled, and does not take over before its end.
            self.view_of_a.granted_until = now + LEASE;
            self.b_entitled_until = now + LEASE;
        }
        let heartbeat = self.detector_of_b.heartbeat(now * INTERVAL_MS, None);
        if self.cut {
            self.lost_heartbeat = Some(heartbeat);
        } else {
            self.deliver(&heartbeat);
        }
    }

    fn deliver(&mut self, heartbeat: &Heartbeat) {
        let now_ms = self.interval * INTERVAL_MS;
        // What is rejected counts as no evidence, and changes nothing.
        let _ = self.detector_of_a.on_heartbeat(now_ms, Channel::Scheduled, heartbeat);
    }

    fn step_a(&mut self) {
        let now = self.interval;
        if self.a_served && self.a_view_fresh {
            self.view_of_a.registered = self.registration.map(|(life, _)| life);
            self.view_of_a.owner = self.owner;
            self.view_of_a.read_at = now;
        }
        for event in self.detector_of_a.tick(now * INTERVAL_MS, &self.view_of_a) {
            if let Event::Confirmed { life, .. } = event {
                self.judge_verdict(life);
            }
        }
        // The write is conditional on the owner that was read with the registrations.
        let state = self.detector_of_a.state(&self.b());
        let gone = state == Some(MemberState::Confirmed(Verdict::RegistrationEnded));
        if gone && self.a_served && self.view_of_a.owner == self.owner {
            self.owner = Owner::A;
        }
    }

    /// A life that is confirmed as gone must have lost its registration and every right to act.
    fn judge_verdict(&mut self, life: Option<Life>) {
        let registered = self.registration.map(|(life, _)| life);
        if life.is_some() && registered == life {
            self.broken = Some("a registered life is confirmed as gone");
        }
        if life == Some(self.life_of_b) && self.interval < self.b_entitled_until {
            self.broken = Some("an entitled life is confirmed as gone");
        }
    }

    fn successors(&self) -> Vec<Self> {
        if self.interval >= DEPTH || self.broken.is_some() {
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
                    next.change(change);
                }
                None => {}
            }
            next.pass();
            successors.push(next);
        }
        successors
    }

    /// The network and the store work from now on.
    fn heal(&mut self) {
        self.a_served = true;
        self.a_view_fresh = true;
        self.b_served = true;
        self.cut = false;
    }

    fn pass_fairly(mut self, b_running: bool) -> Self {
        self.heal();
        self.b_running = b_running;
        for _ in 0..FAIR_INTERVALS {
            self.pass();
        }
        self
    }
}

#[test]
fn every_short_history_keeps_one_entitled_member_and_ends_in_the_right_verdict() {
    let (mut states, mut suspected, mut confirmed) = (0u64, 0u64, 0u64);
    for state in bfs_reach(initial(), State::successors) {
        states += 1;
        assert_eq!(state.broken, None, "{state:#?}");
        match state.detector_of_a.state(&state.b()) {
            Some(MemberState::Suspected(_)) => suspected += 1,
            Some(MemberState::Confirmed(_)) => confirmed += 1,
            _ => {}
        }
        // Each state is either inside a history or at its end; what must come about is checked from the ends.
        if state.interval < DEPTH {
            continue;
        }
        let dead = state.clone().pass_fairly(false);
        assert_eq!(dead.broken, None, "{dead:#?}");
        assert_eq!(dead.owner, Owner::A, "a dead owner is never confirmed: {state:#?}");
        let holds = |(life, ends): (Life, u64)| life == state.life_of_b && ends > state.interval + 1;
        let keeps = state.owner == Owner::B(state.life_of_b) && state.registration.is_some_and(holds);
        let alive = state.clone().pass_fairly(true);
        assert_eq!(alive.broken, None, "{alive:#?}");
        assert_eq!(
            alive.detector_of_a.state(&alive.b()),
            Some(MemberState::Alive),
            "a live member stays suspected: {state:#?}"
        );
        assert!(
            !keeps || alive.owner == state.owner,
            "a member that lives lost something: {state:#?}"
        );
    }
    // The search is no search if the interesting states are not in it.
    assert!(states > 100_000, "{states} states");
    assert!(suspected > 1_000 && confirmed > 1_000, "{suspected} {confirmed}");
    println!("{states} states, {suspected} with a suspicion, {confirmed} with a verdict");
}
