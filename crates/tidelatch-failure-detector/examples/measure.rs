//! Measures the detector on simulated networks: time to suspicion and number of false suspicions, by estimator and
//! threshold, for steady, jittery and heavy-tailed message delays and for clusters of several sizes.
//!
//!     cargo run --release -p tidelatch-failure-detector --example measure
//!
//! Prints a table in Markdown. Times are simulated, except in the last column, which is real processor time.

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal, Normal, Pareto};
use std::collections::BTreeMap;
use std::time::Instant;
use tidelatch_failure_detector::{
    Estimator, Event, FailureDetector, Heartbeat, HeartbeatTrigger, IncarnationId, MemberId, Policy, Registration,
    RegistrationSource, Timing,
};

/// Heartbeat interval and lease duration of the simulated cluster.
const TIMING: Timing = Timing {
    heartbeat_ms: 1_000,
    lease_ms: 7_200,
};
/// Step of the simulated time.
const TICK_MS: u64 = 100;
/// Time without crashes at the start. Every suspicion in it is a false one.
const CRASH_FREE_MS: u64 = 3_600_000;
/// Number of crashes for which the time to suspicion is measured.
const CRASH_COUNT: u64 = 20;
/// Time between two crashes, long enough for the cluster to become steady again.
const CRASH_INTERVAL_MS: u64 = 60_000;
/// Seed of the random delays.
const SEED: u64 = 1;

/// Distribution of message delays.
#[derive(Debug, Clone, Copy)]
enum DelayDistribution {
    Steady,
    Jittery,
    HeavyTailed,
}

/// Sampler of message delays, in milliseconds.
enum DelaySampler {
    Normal(Normal<f64>),
    LogNormal(LogNormal<f64>),
    Pareto(Pareto<f64>),
}

impl DelayDistribution {
    /// Normal: mean and standard deviation in ms. LogNormal: mean and standard deviation of the logarithm of the delay
    /// in ms. Pareto: minimum in ms, and shape.
    fn sampler(self) -> Result<DelaySampler, Box<dyn std::error::Error>> {
        Ok(match self {
            Self::Steady => DelaySampler::Normal(Normal::new(5.0, 2.0)?),
            Self::Jittery => DelaySampler::LogNormal(LogNormal::new(5.0, 0.8)?),
            Self::HeavyTailed => DelaySampler::Pareto(Pareto::new(20.0, 1.1)?),
        })
    }
}

impl DelaySampler {
    fn sample_ms(&self, random: &mut StdRng) -> u64 {
        let ms = match self {
            Self::Normal(d) => d.sample(random),
            Self::LogNormal(d) => d.sample(random),
            Self::Pareto(d) => d.sample(random),
        };
        ms.clamp(0.0, 60_000.0) as u64
    }
}

/// The store. A crashed member loses its registration one lease after the crash.
#[derive(Default)]
struct Store {
    registered: BTreeMap<MemberId, IncarnationId>,
    now_ms: u64,
}

impl RegistrationSource for Store {
    fn registration(&self, member: &MemberId) -> Registration {
        let observed_ms = self.now_ms;
        match self.registered.get(member) {
            Some(incarnation) => Registration::Present {
                incarnation: *incarnation,
                observed_ms,
            },
            None => Registration::Absent { observed_ms },
        }
    }

    fn granted_until_ms(&self, _member: &MemberId) -> u64 {
        0
    }
}

/// A simulated cluster: one detector per member, the store, and the heartbeats on their way.
struct Cluster {
    detectors: Vec<FailureDetector>,
    incarnations: Vec<u64>,
    down_since_ms: Vec<Option<u64>>,
    store: Store,
    /// Receiver and heartbeat, by arrival time in ms and number of the message.
    in_flight: BTreeMap<(u64, u64), (usize, Heartbeat)>,
    sent_messages: u64,
    delays: DelaySampler,
    random: StdRng,
    policy: Policy,
    /// Milliseconds from a crash to each suspicion of the member that crashed.
    suspected: Histogram<u64>,
    /// Milliseconds from a crash to each confirmation of the member that crashed.
    confirmed: Histogram<u64>,
    /// Suspicions and confirmations of members that were not down.
    false_suspicions: u64,
}

fn name(index: usize) -> MemberId {
    MemberId::new(format!("m{index}"))
}

impl Cluster {
    fn new(
        size: usize,
        delay_distribution: DelayDistribution,
        policy: Policy,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let mut cluster = Self {
            detectors: Vec::new(),
            incarnations: (1..=size as u64).map(|index| index * 1_000).collect(),
            down_since_ms: vec![None; size],
            store: Store::default(),
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            delays: delay_distribution.sampler()?,
            random: StdRng::seed_from_u64(SEED),
            policy,
            suspected: Histogram::new(3)?,
            confirmed: Histogram::new(3)?,
            false_suspicions: 0,
        };
        for index in 0..size {
            let detector = cluster.new_detector(index)?;
            cluster.detectors.push(detector);
            cluster
                .store
                .registered
                .insert(name(index), IncarnationId(cluster.incarnations[index]));
        }
        Ok(cluster)
    }

    fn new_detector(&self, index: usize) -> Result<FailureDetector, Box<dyn std::error::Error>> {
        let names = (0..self.incarnations.len()).map(name);
        let incarnation = IncarnationId(self.incarnations[index]);
        let now_ms = self.store.now_ms;
        Ok(FailureDetector::new(
            name(index),
            incarnation,
            names,
            TIMING,
            self.policy,
            now_ms,
        )?)
    }

    fn run(&mut self, ms: u64) -> Result<(), Box<dyn std::error::Error>> {
        let until_ms = self.store.now_ms + ms;
        while self.store.now_ms < until_ms {
            self.store.now_ms += TICK_MS;
            self.expire_registrations();
            self.deliver_due_heartbeats();
            for index in 0..self.detectors.len() {
                if self.down_since_ms[index].is_none() {
                    self.step_member(index)?;
                }
            }
        }
        Ok(())
    }

    fn expire_registrations(&mut self) {
        for (index, down_since_ms) in self.down_since_ms.iter().enumerate() {
            if down_since_ms.is_some_and(|since_ms| self.store.now_ms >= since_ms + TIMING.lease_ms) {
                self.store.registered.remove(&name(index));
            }
        }
    }

    fn deliver_due_heartbeats(&mut self) {
        let now_ms = self.store.now_ms;
        while let Some(((arrives_ms, _), _)) = self.in_flight.first_key_value() {
            if *arrives_ms > now_ms {
                return;
            }
            let Some((_, (to, heartbeat))) = self.in_flight.pop_first() else {
                return;
            };
            if self.down_since_ms[to].is_none() {
                // A heartbeat that arrives after a newer one is rejected as evidence.
                let _ = self.detectors[to].on_heartbeat(now_ms, HeartbeatTrigger::Scheduled, &heartbeat);
            }
        }
    }

    fn step_member(&mut self, index: usize) -> Result<(), Box<dyn std::error::Error>> {
        let now_ms = self.store.now_ms;
        for event in self.detectors[index].tick(now_ms, &self.store) {
            self.record_event(&event)?;
        }
        // Members send at different moments of the heartbeat interval.
        let phase = index as u64 * 300;
        if !(now_ms + phase).is_multiple_of(TIMING.heartbeat_ms) {
            return Ok(());
        }
        for to in (0..self.detectors.len()).filter(|to| *to != index) {
            let heartbeat = self.detectors[index].heartbeat(now_ms, None);
            let arrives_ms = now_ms + self.delays.sample_ms(&mut self.random);
            self.sent_messages += 1;
            self.in_flight.insert((arrives_ms, self.sent_messages), (to, heartbeat));
        }
        Ok(())
    }

    fn record_event(&mut self, event: &Event) -> Result<(), Box<dyn std::error::Error>> {
        let (member, times) = match event {
            Event::Suspected { member, .. } => (member, &mut self.suspected),
            Event::Confirmed { member, .. } => (member, &mut self.confirmed),
            _ => return Ok(()),
        };
        let index = (0..self.incarnations.len()).find(|index| name(*index) == *member);
        match index.and_then(|index| self.down_since_ms[index]) {
            Some(since_ms) => times.record(self.store.now_ms - since_ms)?,
            None => self.false_suspicions += 1,
        }
        Ok(())
    }

    fn crash_and_restart(&mut self, index: usize) -> Result<(), Box<dyn std::error::Error>> {
        self.down_since_ms[index] = Some(self.store.now_ms);
        self.run(CRASH_INTERVAL_MS / 2)?;
        self.down_since_ms[index] = None;
        self.incarnations[index] += 1;
        self.detectors[index] = self.new_detector(index)?;
        self.store
            .registered
            .insert(name(index), IncarnationId(self.incarnations[index]));
        self.run(CRASH_INTERVAL_MS / 2)
    }
}

fn measure(
    size: usize,
    delay_distribution: DelayDistribution,
    policy: Policy,
) -> Result<String, Box<dyn std::error::Error>> {
    let started = Instant::now();
    let mut cluster = Cluster::new(size, delay_distribution, policy)?;
    cluster.run(CRASH_FREE_MS)?;
    let false_suspicions = cluster.false_suspicions;
    for crash in 0..CRASH_COUNT {
        cluster.crash_and_restart(crash as usize % size)?;
    }
    let simulated_s = cluster.store.now_ms as f64 / 1000.0;
    let us_per_second = started.elapsed().as_micros() as f64 / simulated_s / size as f64;
    let quantile_s = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    let (suspected, confirmed) = (&cluster.suspected, &cluster.confirmed);
    Ok(format!(
        "| {size} | {delay_distribution:?} | {:?} | {:.1} | {:.1} / {:.1} | {:.1} / {:.1} | {false_suspicions} | {us_per_second:.0} |",
        policy.estimator,
        f64::from(policy.threshold_milliphi) / 1000.0,
        quantile_s(suspected, 0.5),
        quantile_s(suspected, 0.99),
        quantile_s(confirmed, 0.5),
        quantile_s(confirmed, 0.99),
    ))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "| members | network | estimator | phi | suspected, s (p50 / p99) | confirmed, s | false suspicions in 1 h | processor time per member, us per simulated second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let delay_distributions = [
        DelayDistribution::Steady,
        DelayDistribution::Jittery,
        DelayDistribution::HeavyTailed,
    ];
    let estimators = [Estimator::FixedTimeout, Estimator::PhiNormal, Estimator::PhiExponential];
    for delay_distribution in delay_distributions {
        for estimator in estimators {
            for threshold_milliphi in [2_000, 6_000, 12_000] {
                // The fixed timeout is a fraction of the lease and does not depend on the threshold.
                if estimator == Estimator::FixedTimeout && threshold_milliphi != 6_000 {
                    continue;
                }
                let policy = Policy {
                    estimator,
                    threshold_milliphi,
                    ..Policy::default()
                };
                println!("{}", measure(3, delay_distribution, policy)?);
            }
        }
    }
    for size in [5, 10, 20, 50] {
        println!("{}", measure(size, DelayDistribution::Jittery, Policy::default())?);
    }
    Ok(())
}
