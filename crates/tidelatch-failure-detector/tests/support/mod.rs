//! A cluster of detectors on a simulated network, with a store that ends the registrations of unresponsive members.
#![allow(dead_code, reason = "each test file uses only some of these helpers")]

use std::collections::{BTreeMap, BTreeSet};
use tidelatch_failure_detector::{
    Event, FailureDetector, Heartbeat, HeartbeatTrigger, Incarnation, IncarnationId, MemberId, MemberState, Policy,
    Registration, RegistrationSource, Timing,
};

pub const HEARTBEAT_MS: u64 = 1_000;
pub const LEASE_MS: u64 = 8_000;
pub const TIMING: Timing = Timing {
    heartbeat_ms: HEARTBEAT_MS,
    lease_ms: LEASE_MS,
};
const TICK_MS: u64 = 100;

pub fn member(name: &str) -> MemberId {
    MemberId::new(name)
}

/// Builds a heartbeat without claims.
pub fn heartbeat(from: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        from: member(from),
        incarnation: Incarnation {
            id: IncarnationId(incarnation),
            refutation_count: 0,
        },
        sequence,
        claims: Vec::new(),
        probe: None,
    }
}

/// The store: the registered members, as listed at `listed_ms`.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub registered: BTreeMap<MemberId, IncarnationId>,
    pub released: BTreeMap<MemberId, IncarnationId>,
    pub reachable: bool,
    pub listed_ms: u64,
    pub granted_until_ms: u64,
}

impl Store {
    pub fn present(name: &str, incarnation: u64, listed_ms: u64) -> Self {
        Self {
            registered: BTreeMap::from([(member(name), IncarnationId(incarnation))]),
            ..Self::absent(listed_ms)
        }
    }

    pub fn absent(listed_ms: u64) -> Self {
        Self {
            reachable: true,
            listed_ms,
            ..Self::default()
        }
    }
}

impl RegistrationSource for Store {
    fn registration(&self, name: &MemberId) -> Registration {
        if !self.reachable {
            return Registration::Unknown;
        }
        if let Some(incarnation) = self.released.get(name) {
            return Registration::Released {
                incarnation: *incarnation,
            };
        }
        let observed_ms = self.listed_ms;
        match self.registered.get(name) {
            Some(incarnation) => Registration::Present {
                incarnation: *incarnation,
                observed_ms,
            },
            None => Registration::Absent { observed_ms },
        }
    }

    fn granted_until_ms(&self, _name: &MemberId) -> u64 {
        self.granted_until_ms
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Running,
    Paused,
    Crashed,
}

/// Members `m0`, `m1` and so on, each with its detector.
pub struct Cluster {
    pub now_ms: u64,
    pub detectors: Vec<FailureDetector>,
    pub store: Store,
    processes: Vec<Process>,
    incarnations: Vec<u64>,
    lease_extended_ms: Vec<u64>,
    /// When a member's process may register. A new process sends heartbeats from its start, but may register later.
    registers_from_ms: Vec<u64>,
    /// Whether the member's current incarnation has registered.
    was_registered: Vec<bool>,
    false_confirmations: Vec<String>,
    cut: BTreeSet<(usize, usize)>,
    events: Vec<(u64, usize, Event)>,
    policy: Policy,
    /// Heartbeats in flight, by arrival time and send order, each with the index of its receiver.
    in_flight: BTreeMap<(u64, u64), (usize, Heartbeat)>,
    sent_messages: u64,
    max_delay_ms: u64,
    random: fastrand::Rng,
}

impl Cluster {
    pub fn new(size: usize, policy: Policy) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            detectors: Vec::new(),
            store: Store::absent(0),
            processes: vec![Process::Running; size],
            incarnations: (0..size as u64).map(|i| 100 * (i + 1)).collect(),
            lease_extended_ms: vec![0; size],
            registers_from_ms: vec![0; size],
            was_registered: vec![false; size],
            false_confirmations: Vec::new(),
            cut: BTreeSet::new(),
            events: Vec::new(),
            policy,
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            max_delay_ms: 0,
            random: fastrand::Rng::with_seed(0),
        };
        for index in 0..size {
            let detector = cluster.new_detector(index);
            cluster.detectors.push(detector);
        }
        cluster
    }

    fn new_detector(&self, index: usize) -> FailureDetector {
        let names = (0..self.incarnations.len()).map(name_of);
        let incarnation = IncarnationId(self.incarnations[index]);
        FailureDetector::new(name_of(index), incarnation, names, TIMING, self.policy, self.now_ms)
            .expect("the settings are valid")
    }

    pub fn incarnation(&self, index: usize) -> u64 {
        self.incarnations[index]
    }

    pub fn crash(&mut self, index: usize) {
        self.processes[index] = Process::Crashed;
    }

    pub fn pause(&mut self, index: usize) {
        self.processes[index] = Process::Paused;
    }

    pub fn resume(&mut self, index: usize) {
        self.processes[index] = Process::Running;
    }

    pub fn pause_if_running(&mut self, index: usize) {
        if self.processes[index] == Process::Running {
            self.pause(index);
        }
    }

    pub fn resume_if_paused(&mut self, index: usize) {
        if self.processes[index] == Process::Paused {
            self.resume(index);
        }
    }

    /// Restores everything: every process runs, all network links work, and the store can be reached.
    pub fn heal_all(&mut self) {
        self.cut.clear();
        self.store.reachable = true;
        for index in 0..self.processes.len() {
            match self.processes[index] {
                Process::Running => {}
                Process::Paused => self.resume(index),
                Process::Crashed => self.restart(index),
            }
        }
    }

    /// From now on, every heartbeat is delayed by a random time of at most `max_delay_ms`.
    pub fn delay_up_to(&mut self, max_delay_ms: u64, seed: u64) {
        self.max_delay_ms = max_delay_ms;
        self.random = fastrand::Rng::with_seed(seed);
    }

    fn next_delay_ms(&mut self) -> u64 {
        self.random.u64(0..=self.max_delay_ms)
    }

    /// Descriptions of members that were confirmed as gone while the store listed the same incarnation.
    pub fn false_confirmations(&self) -> &[String] {
        &self.false_confirmations
    }

    fn check_confirmation(&mut self, observer: usize, event: &Event) {
        if let Event::Confirmed {
            member,
            incarnation: Some(incarnation),
            ..
        } = event
            && self.store.registered.get(member) == Some(incarnation)
        {
            let now_ms = self.now_ms;
            self.false_confirmations.push(format!(
                "{now_ms}: m{observer} confirms {member} as gone, which is still registered"
            ));
        }
    }

    /// Starts a new process under the same name at once.
    pub fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.was_registered[index] = false;
        self.detectors[index] = self.new_detector(index);
        self.processes[index] = Process::Running;
    }

    /// Starts a new process under the same name at once. It registers only `after_ms` later.
    pub fn restart_unregistered(&mut self, index: usize, after_ms: u64) {
        self.restart(index);
        self.registers_from_ms[index] = self.now_ms + after_ms;
    }

    pub fn release(&mut self, index: usize) {
        self.store
            .released
            .insert(name_of(index), IncarnationId(self.incarnations[index]));
        self.processes[index] = Process::Crashed;
    }

    /// Drops every message from `from` to `to` from now on.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn heal(&mut self, from: usize, to: usize) {
        self.cut.remove(&(from, to));
    }

    pub fn state(&self, observer: usize, other: usize) -> Option<MemberState> {
        self.detectors[observer].state(&name_of(other))
    }

    pub fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            self.update_store();
            self.deliver_due_heartbeats();
            for index in 0..self.detectors.len() {
                if self.processes[index] == Process::Running {
                    self.step_member(index);
                }
            }
        }
    }

    fn step_member(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let events = self.detectors[index].tick(now_ms, &self.store);
        self.record_events(index, events);
        // Members send at different moments of the heartbeat interval.
        if !(now_ms + index as u64 * 300).is_multiple_of(HEARTBEAT_MS) {
            return;
        }
        for to in 0..self.detectors.len() {
            if to == index || self.processes[to] != Process::Running {
                continue;
            }
            let message = self.detectors[index].heartbeat(now_ms, None);
            if self.cut.contains(&(index, to)) {
                continue;
            }
            let arrives_ms = now_ms + self.next_delay_ms();
            self.sent_messages += 1;
            self.in_flight.insert((arrives_ms, self.sent_messages), (to, message));
        }
        self.deliver_due_heartbeats();
    }

    fn deliver_due_heartbeats(&mut self) {
        while let Some(((arrives_ms, _), _)) = self.in_flight.first_key_value() {
            if *arrives_ms > self.now_ms {
                break;
            }
            let Some((_, (to, message))) = self.in_flight.pop_first() else {
                break;
            };
            if self.processes[to] == Process::Running {
                let events = self.detectors[to].on_heartbeat(self.now_ms, HeartbeatTrigger::Scheduled, &message);
                self.record_events(to, events.unwrap_or_default());
            }
        }
    }

    fn record_events(&mut self, index: usize, events: Vec<Event>) {
        for event in &events {
            self.check_confirmation(index, event);
        }
        let now_ms = self.now_ms;
        self.events
            .extend(events.into_iter().map(|event| (now_ms, index, event)));
    }

    /// Running members extend their leases. The registrations of the others end with their leases.
    fn update_store(&mut self) {
        for index in 0..self.incarnations.len() {
            let can_register = self.now_ms >= self.registers_from_ms[index];
            if self.processes[index] == Process::Running && can_register {
                self.register(index);
            } else if self.now_ms >= self.lease_extended_ms[index] + LEASE_MS {
                self.store.registered.remove(&name_of(index));
            }
        }
        if self.store.reachable {
            self.store.listed_ms = self.now_ms;
        }
    }

    /// Extends a running member's lease. A member that has lost its lease registers again as a new incarnation.
    fn register(&mut self, index: usize) {
        let registered = self.store.registered.contains_key(&name_of(index));
        if self.was_registered[index] && !registered {
            self.incarnations[index] += 1;
            self.detectors[index].begin_incarnation(IncarnationId(self.incarnations[index]));
        }
        self.was_registered[index] = true;
        self.lease_extended_ms[index] = self.now_ms;
        self.store
            .registered
            .insert(name_of(index), IncarnationId(self.incarnations[index]));
    }

    /// Returns when an observer first reported an event that `matches` accepts.
    pub fn first_event_ms(&self, observer: usize, matches: impl Fn(&Event) -> bool) -> Option<u64> {
        let mut found = self.events.iter().filter(|(_, at, e)| *at == observer && matches(e));
        found.next().map(|(ms, _, _)| *ms)
    }

    pub fn count_events(&self, matches: impl Fn(&Event) -> bool) -> usize {
        self.events.iter().filter(|(_, _, e)| matches(e)).count()
    }
}

pub fn name_of(index: usize) -> MemberId {
    MemberId::new(format!("m{index}"))
}
