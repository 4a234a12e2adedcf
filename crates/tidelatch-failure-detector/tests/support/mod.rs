//! A cluster of detectors on a simulated network, with a store that ends the registration of who is silent.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use tidelatch_failure_detector::{
    Arbiter, Channel, Event, FailureDetector, Heartbeat, Incarnation, Life, MemberId, MemberState, Policy,
    Registration, Timing,
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

/// A heartbeat without claims.
pub fn heartbeat(from: &str, life: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        from: member(from),
        incarnation: Incarnation {
            life: Life(life),
            refutation: 0,
        },
        sequence,
        claims: Vec::new(),
        probe: None,
    }
}

/// The store: who is registered, as listed at some time.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub registered: BTreeMap<MemberId, Life>,
    pub released: BTreeMap<MemberId, Life>,
    pub reachable: bool,
    pub listed_ms: u64,
    pub granted_until_ms: u64,
}

impl Store {
    pub fn present(name: &str, life: u64, listed_ms: u64) -> Self {
        Self {
            registered: BTreeMap::from([(member(name), Life(life))]),
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

impl Arbiter for Store {
    fn registration(&self, name: &MemberId) -> Registration {
        if !self.reachable {
            return Registration::Unreachable;
        }
        if let Some(life) = self.released.get(name) {
            return Registration::Released { life: *life };
        }
        let observed_ms = self.listed_ms;
        match self.registered.get(name) {
            Some(life) => Registration::Present {
                life: *life,
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
    lives: Vec<u64>,
    last_extended_ms: Vec<u64>,
    /// A new process sends heartbeats from its start, and registers only then.
    registers_from_ms: Vec<u64>,
    /// Its present life has registered.
    was_registered: Vec<bool>,
    wrong_verdicts: Vec<String>,
    cut: BTreeSet<(usize, usize)>,
    events: Vec<(u64, usize, Event)>,
    policy: Policy,
    /// Heartbeats under way: when they arrive, and at whom.
    under_way: BTreeMap<(u64, u64), (usize, Heartbeat)>,
    sent: u64,
    most_delay_ms: u64,
    random: fastrand::Rng,
}

impl Cluster {
    pub fn new(size: usize, policy: Policy) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            detectors: Vec::new(),
            store: Store::absent(0),
            processes: vec![Process::Running; size],
            lives: (0..size as u64).map(|i| 100 * (i + 1)).collect(),
            last_extended_ms: vec![0; size],
            registers_from_ms: vec![0; size],
            was_registered: vec![false; size],
            wrong_verdicts: Vec::new(),
            cut: BTreeSet::new(),
            events: Vec::new(),
            policy,
            under_way: BTreeMap::new(),
            sent: 0,
            most_delay_ms: 0,
            random: fastrand::Rng::with_seed(0),
        };
        for index in 0..size {
            let detector = cluster.new_detector(index);
            cluster.detectors.push(detector);
        }
        cluster
    }

    fn new_detector(&self, index: usize) -> FailureDetector {
        let names = (0..self.lives.len()).map(name_of);
        let life = Life(self.lives[index]);
        FailureDetector::new(name_of(index), life, names, TIMING, self.policy, self.now_ms).expect("in order")
    }

    pub fn life(&self, index: usize) -> u64 {
        self.lives[index]
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

    /// Every process runs, every way is open, and the store can be reached.
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

    /// Heartbeats are under way for a random time from now on.
    pub fn delay_up_to(&mut self, most_delay_ms: u64, seed: u64) {
        self.most_delay_ms = most_delay_ms;
        self.random = fastrand::Rng::with_seed(seed);
    }

    fn next_delay_ms(&mut self) -> u64 {
        self.random.u64(0..=self.most_delay_ms)
    }

    /// Lives that were confirmed as gone while the store listed them.
    pub fn wrong_verdicts(&self) -> &[String] {
        &self.wrong_verdicts
    }

    fn judge(&mut self, observer: usize, event: &Event) {
        if let Event::Confirmed {
            member,
            life: Some(life),
            ..
        } = event
            && self.store.registered.get(member) == Some(life)
        {
            let now_ms = self.now_ms;
            self.wrong_verdicts
                .push(format!("{now_ms}: m{observer} confirms {member}, which is registered"));
        }
    }

    /// A new process under the same name, at once.
    pub fn restart(&mut self, index: usize) {
        self.lives[index] += 1;
        self.was_registered[index] = false;
        self.detectors[index] = self.new_detector(index);
        self.processes[index] = Process::Running;
    }

    /// A new process under the same name, at once; it comes to register only some time later.
    pub fn restart_unregistered(&mut self, index: usize, after_ms: u64) {
        self.restart(index);
        self.registers_from_ms[index] = self.now_ms + after_ms;
    }

    pub fn release(&mut self, index: usize) {
        self.store.released.insert(name_of(index), Life(self.lives[index]));
        self.processes[index] = Process::Crashed;
    }

    /// Nothing that `from` sends reaches `to` any more.
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
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += TICK_MS;
            self.keep_store();
            self.deliver_due();
            for index in 0..self.detectors.len() {
                if self.processes[index] == Process::Running {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let events = self.detectors[index].tick(now_ms, &self.store);
        self.note(index, events);
        // Not all at the same moment.
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
            let arrives = now_ms + self.next_delay_ms();
            self.sent += 1;
            self.under_way.insert((arrives, self.sent), (to, message));
        }
        self.deliver_due();
    }

    fn deliver_due(&mut self) {
        while let Some(((arrives, _), _)) = self.under_way.first_key_value() {
            if *arrives > self.now_ms {
                break;
            }
            let Some((_, (to, message))) = self.under_way.pop_first() else {
                break;
            };
            if self.processes[to] == Process::Running {
                let events = self.detectors[to].on_heartbeat(self.now_ms, Channel::Scheduled, &message);
                self.note(to, events.unwrap_or_default());
            }
        }
    }

    fn note(&mut self, index: usize, events: Vec<Event>) {
        for event in &events {
            self.judge(index, event);
        }
        let now_ms = self.now_ms;
        self.events
            .extend(events.into_iter().map(|event| (now_ms, index, event)));
    }

    /// Running members extend their leases; the registrations of the others end.
    fn keep_store(&mut self) {
        for index in 0..self.lives.len() {
            let registers = self.now_ms >= self.registers_from_ms[index];
            if self.processes[index] == Process::Running && registers {
                self.register(index);
            } else if self.now_ms >= self.last_extended_ms[index] + LEASE_MS {
                self.store.registered.remove(&name_of(index));
            }
        }
        if self.store.reachable {
            self.store.listed_ms = self.now_ms;
        }
    }

    /// A member that runs extends its lease; one that has lost it joins as another life.
    fn register(&mut self, index: usize) {
        let registered = self.store.registered.contains_key(&name_of(index));
        if self.was_registered[index] && !registered {
            self.lives[index] += 1;
            self.detectors[index].begin_life(Life(self.lives[index]));
        }
        self.was_registered[index] = true;
        self.last_extended_ms[index] = self.now_ms;
        self.store.registered.insert(name_of(index), Life(self.lives[index]));
    }

    /// When an observer first saw such an event.
    pub fn first(&self, observer: usize, which: impl Fn(&Event) -> bool) -> Option<u64> {
        let mut found = self.events.iter().filter(|(_, at, e)| *at == observer && which(e));
        found.next().map(|(ms, _, _)| *ms)
    }

    pub fn count(&self, which: impl Fn(&Event) -> bool) -> usize {
        self.events.iter().filter(|(_, _, e)| which(e)).count()
    }
}

pub fn name_of(index: usize) -> MemberId {
    MemberId::new(format!("m{index}"))
}
