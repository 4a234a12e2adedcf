//! Measures the detector on simulated networks: time to suspicion and false suspicions, by estimator and threshold, for
//! steady, jittery and heavy-tailed arrivals and clusters of several sizes.
//!
//!     cargo run --release -p tidelatch-failure-detector --example measure
//!
//! Prints a table in Markdown. Times are simulated; the last column is real processor time.

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal, Normal, Pareto};
use std::collections::BTreeMap;
use std::time::Instant;
use tidelatch_failure_detector::{
    Arbiter, Channel, Estimator, Event, FailureDetector, Heartbeat, Life, MemberId, Policy, Registration, Timing,
};

const TIMING: Timing = Timing {
    heartbeat_ms: 1_000,
    lease_ms: 7_200,
};
const TICK_MS: u64 = 100;
/// Undisturbed time in which suspicions are false ones.
const QUIET_MS: u64 = 3_600_000;
/// Crashes of which the time to suspicion is taken.
const CRASHES: u64 = 20;
/// Time between two crashes: the cluster is steady again by then.
const BETWEEN_CRASHES_MS: u64 = 60_000;
const SEED: u64 = 1;

/// How long heartbeats are under way.
#[derive(Debug, Clone, Copy)]
enum Network {
    Steady,
    Jittery,
    HeavyTailed,
}

/// Draws delays in milliseconds.
enum Delays {
    Normal(Normal<f64>),
    LogNormal(LogNormal<f64>),
    Pareto(Pareto<f64>),
}

impl Network {
    fn delays(self) -> Result<Delays, Box<dyn std::error::Error>> {
        Ok(match self {
            Self::Steady => Delays::Normal(Normal::new(5.0, 2.0)?),
            Self::Jittery => Delays::LogNormal(LogNormal::new(5.0, 0.8)?),
            Self::HeavyTailed => Delays::Pareto(Pareto::new(20.0, 1.1)?),
        })
    }
}

impl Delays {
    fn draw_ms(&self, random: &mut StdRng) -> u64 {
        let ms = match self {
            Self::Normal(d) => d.sample(random),
            Self::LogNormal(d) => d.sample(random),
            Self::Pareto(d) => d.sample(random),
        };
        ms.clamp(0.0, 60_000.0) as u64
    }
}

/// The store: crashed members lose their registration after a lease.
#[derive(Default)]
struct Store {
    registered: BTreeMap<MemberId, Life>,
    now_ms: u64,
}

impl Arbiter for Store {
    fn registration(&self, member: &MemberId) -> Registration {
        let observed_ms = self.now_ms;
        match self.registered.get(member) {
            Some(life) => Registration::Present {
                life: *life,
                observed_ms,
            },
            None => Registration::Absent { observed_ms },
        }
    }

    fn granted_until_ms(&self, _member: &MemberId) -> u64 {
        0
    }
}

struct Cluster {
    detectors: Vec<FailureDetector>,
    lives: Vec<u64>,
    down_since_ms: Vec<Option<u64>>,
    store: Store,
    under_way: BTreeMap<(u64, u64), (usize, Heartbeat)>,
    sent: u64,
    delays: Delays,
    random: StdRng,
    policy: Policy,
    suspected: Histogram<u64>,
    confirmed: Histogram<u64>,
    false_suspicions: u64,
}

fn name(index: usize) -> MemberId {
    MemberId::new(format!("m{index}"))
}

impl Cluster {
    fn new(size: usize, network: Network, policy: Policy) -> Result<Self, Box<dyn std::error::Error>> {
        let mut cluster = Self {
            detectors: Vec::new(),
            lives: (1..=size as u64).map(|index| index * 1_000).collect(),
            down_since_ms: vec![None; size],
            store: Store::default(),
            under_way: BTreeMap::new(),
            sent: 0,
            delays: network.delays()?,
            random: StdRng::seed_from_u64(SEED),
            policy,
            suspected: Histogram::new(3)?,
            confirmed: Histogram::new(3)?,
            false_suspicions: 0,
        };
        for index in 0..size {
            let detector = cluster.detector(index)?;
            cluster.detectors.push(detector);
            cluster.store.registered.insert(name(index), Life(cluster.lives[index]));
        }
        Ok(cluster)
    }

    fn detector(&self, index: usize) -> Result<FailureDetector, Box<dyn std::error::Error>> {
        let names = (0..self.lives.len()).map(name);
        let life = Life(self.lives[index]);
        let now_ms = self.store.now_ms;
        Ok(FailureDetector::new(
            name(index),
            life,
            names,
            TIMING,
            self.policy,
            now_ms,
        )?)
    }

    fn run(&mut self, ms: u64) -> Result<(), Box<dyn std::error::Error>> {
        let until = self.store.now_ms + ms;
        while self.store.now_ms < until {
            self.store.now_ms += TICK_MS;
            self.expire();
            self.deliver();
            for index in 0..self.detectors.len() {
                if self.down_since_ms[index].is_none() {
                    self.step(index)?;
                }
            }
        }
        Ok(())
    }

    fn expire(&mut self) {
        for (index, down_since_ms) in self.down_since_ms.iter().enumerate() {
            if down_since_ms.is_some_and(|since| self.store.now_ms >= since + TIMING.lease_ms) {
                self.store.registered.remove(&name(index));
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.store.now_ms;
        while let Some(((at, _), _)) = self.under_way.first_key_value() {
            if *at > now_ms {
                return;
            }
            let Some((_, (to, heartbeat))) = self.under_way.pop_first() else {
                return;
            };
            if self.down_since_ms[to].is_none() {
                // What was overtaken counts as no evidence.
                let _ = self.detectors[to].on_heartbeat(now_ms, Channel::Scheduled, &heartbeat);
            }
        }
    }

    fn step(&mut self, index: usize) -> Result<(), Box<dyn std::error::Error>> {
        let now_ms = self.store.now_ms;
        for event in self.detectors[index].tick(now_ms, &self.store) {
            self.count(&event)?;
        }
        // Members send at different moments of the interval.
        let phase = index as u64 * 300;
        if !(now_ms + phase).is_multiple_of(TIMING.heartbeat_ms) {
            return Ok(());
        }
        for to in (0..self.detectors.len()).filter(|to| *to != index) {
            let heartbeat = self.detectors[index].heartbeat(now_ms, None);
            let arrives = now_ms + self.delays.draw_ms(&mut self.random);
            self.sent += 1;
            self.under_way.insert((arrives, self.sent), (to, heartbeat));
        }
        Ok(())
    }

    fn count(&mut self, event: &Event) -> Result<(), Box<dyn std::error::Error>> {
        let (member, times) = match event {
            Event::Suspected { member, .. } => (member, &mut self.suspected),
            Event::Confirmed { member, .. } => (member, &mut self.confirmed),
            _ => return Ok(()),
        };
        let index = (0..self.lives.len()).find(|index| name(*index) == *member);
        match index.and_then(|index| self.down_since_ms[index]) {
            Some(since) => times.record(self.store.now_ms - since)?,
            None => self.false_suspicions += 1,
        }
        Ok(())
    }

    fn crash_and_restart(&mut self, index: usize) -> Result<(), Box<dyn std::error::Error>> {
        self.down_since_ms[index] = Some(self.store.now_ms);
        self.run(BETWEEN_CRASHES_MS / 2)?;
        self.down_since_ms[index] = None;
        self.lives[index] += 1;
        self.detectors[index] = self.detector(index)?;
        self.store.registered.insert(name(index), Life(self.lives[index]));
        self.run(BETWEEN_CRASHES_MS / 2)
    }
}

fn measure(size: usize, network: Network, policy: Policy) -> Result<String, Box<dyn std::error::Error>> {
    let began = Instant::now();
    let mut cluster = Cluster::new(size, network, policy)?;
    cluster.run(QUIET_MS)?;
    let false_suspicions = cluster.false_suspicions;
    for crash in 0..CRASHES {
        cluster.crash_and_restart(crash as usize % size)?;
    }
    let simulated_s = cluster.store.now_ms as f64 / 1000.0;
    let micros_per_second = began.elapsed().as_micros() as f64 / simulated_s / size as f64;
    let at = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    let (suspected, confirmed) = (&cluster.suspected, &cluster.confirmed);
    Ok(format!(
        "| {size} | {network:?} | {:?} | {:.1} | {:.1} / {:.1} | {:.1} / {:.1} | {false_suspicions} | {micros_per_second:.0} |",
        policy.estimator,
        f64::from(policy.threshold_milliphi) / 1000.0,
        at(suspected, 0.5),
        at(suspected, 0.99),
        at(confirmed, 0.5),
        at(confirmed, 0.99),
    ))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "| members | network | estimator | phi | suspected, s (p50 / p99) | confirmed, s | false in 1 h | us a second and member |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let networks = [Network::Steady, Network::Jittery, Network::HeavyTailed];
    let estimators = [Estimator::FixedTimeout, Estimator::PhiNormal, Estimator::PhiExponential];
    for network in networks {
        for estimator in estimators {
            for threshold_milliphi in [2_000, 6_000, 12_000] {
                // A fixed timeout has no threshold: it is a part of the lease.
                if estimator == Estimator::FixedTimeout && threshold_milliphi != 6_000 {
                    continue;
                }
                let policy = Policy {
                    estimator,
                    threshold_milliphi,
                    ..Policy::default()
                };
                println!("{}", measure(3, network, policy)?);
            }
        }
    }
    for size in [5, 10, 20, 50] {
        println!("{}", measure(size, Network::Jittery, Policy::default())?);
    }
    Ok(())
}
