//! Admission control: how much unfinished work is kept, how acceptances share the state service's write rate,
//! and when a user who is put off should come back.
//!
//! What bounds the queue is this controller's memory and processor, for it keeps every unfinished job and goes
//! through all of them for each batch. The state service is no bound: it keeps any number of keys.

use crate::protocol::JobSpec;
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Part of the memory that unfinished jobs may take.
const MEMORY_PART: f64 = 0.25;
/// Part of the processor that going through unfinished jobs may take.
const PROCESSOR_PART: f64 = 0.2;
/// Part of the queue, and of the write rate, that is reserved: the same for each team.
const RESERVED_PART: f64 = 0.5;

/// Bytes that an unfinished job takes, its bitmaps aside.
const BYTES_PER_JOB: f64 = 2048.0;
/// Bytes that each of its tasks takes in the two bitmaps.
const BYTES_PER_TASK: f64 = 0.25;
/// Unfinished jobs that a whole core goes through in a second, when all of them wait.
const JOBS_PER_CORE_SECOND: f64 = 150_000.0;

/// Part of the write rate's burst that must be left when a team beyond its share has a job accepted. The rest is
/// for what keeps the cluster running: ends of jobs, done bits and machines that come up.
const FLOOR_BEYOND_SHARE: f64 = 0.5;
/// The same for a team within its share: its acceptances go first.
const FLOOR_WITHIN_SHARE: f64 = -0.5;

/// The shortest and the longest pause that users keep to.
const RETRY_S: (u64, u64) = (1, 30);
/// Time over which the rate of ending jobs is averaged.
const DRAIN_WINDOW_S: f64 = 30.0;

/// Why a submission is put off, and for how many seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deferral {
    /// Too much unfinished work of the team is kept already.
    QueueFull { retry_after_s: u32 },
    /// Too many changes have been written of late.
    WriteRate { retry_after_s: u32 },
}

/// A rate of events, averaged over [`DRAIN_WINDOW_S`] with older ones fading.
#[derive(Debug, Clone, Default)]
struct FadingRate {
    weight: f64,
    at_ms: u64,
}

impl FadingRate {
    fn fade(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1000.0;
        self.weight *= (-passed_s / DRAIN_WINDOW_S).exp();
        self.at_ms = now_ms;
    }

    fn note(&mut self, now_ms: u64) {
        self.fade(now_ms);
        self.weight += 1.0;
    }

    fn per_s(&mut self, now_ms: u64) -> f64 {
        self.fade(now_ms);
        self.weight / DRAIN_WINDOW_S
    }
}

/// The pauses of the users that a team has been put off: one comes back after the other.
#[derive(Debug, Clone, Default)]
struct RetrySlots {
    last_ms: u64,
}

impl RetrySlots {
    /// Seconds until the next free slot, when `rate_per_s` slots come free.
    fn next_s(&mut self, now_ms: u64, rate_per_s: f64) -> u32 {
        let longest_ms = RETRY_S.1 * 1000;
        let interval_ms = (1000.0 / rate_per_s.max(1e-6)).min(longest_ms as f64) as u64;
        let slot_ms = self.last_ms.max(now_ms) + interval_ms;
        self.last_ms = slot_ms.min(now_ms + longest_ms);
        let pause_s = (self.last_ms - now_ms).div_ceil(1000);
        pause_s.clamp(RETRY_S.0, RETRY_S.1) as u32
    }
}

/// One team's part in the admission.
#[derive(Debug, Clone)]
struct TeamLoad {
    /// Unfinished jobs.
    jobs: u32,
    /// What they take of the queue's capacity, of which there is 1.
    load: f64,
    /// Acceptances that are on their way to the state service, and what they will take.
    pending_jobs: u32,
    pending_load: f64,
    ends: FadingRate,
    writes: TokenBucket,
    slots: RetrySlots,
    /// When the operators were last told that its users are put off.
    told_ms: Option<u64>,
}

impl TeamLoad {
    /// What its unfinished jobs take once those on their way are accepted.
    fn expected_load(&self) -> f64 {
        self.load + self.pending_load
    }
}

/// The admission of all teams' jobs.
#[derive(Debug, Clone)]
pub(crate) struct Admission {
    teams: BTreeMap<String, TeamLoad>,
    /// The part of the queue that is reserved for each team.
    reserve: f64,
    /// Most unfinished jobs, by the processor.
    most_jobs: f64,
    /// Most bytes of unfinished jobs.
    most_bytes: f64,
    /// Most unfinished jobs of one team, if the operators say so.
    most_of_team: Option<u32>,
}

impl Admission {
    pub(crate) fn new(settings: &Settings) -> Self {
        let facts = &settings.platform.facts;
        let limits = &facts.machine_limits;
        let period_s = settings.batch_retry_ms() as f64 / 1000.0;
        let reserve = RESERVED_PART / facts.teams.len().max(1) as f64;
        let write_rate = facts.state.write_rps / f64::from(settings.partitions());
        let team = TeamLoad {
            jobs: 0,
            load: 0.0,
            pending_jobs: 0,
            pending_load: 0.0,
            ends: FadingRate::default(),
            writes: TokenBucket::new(write_rate * reserve, write_rate),
            slots: RetrySlots::default(),
            told_ms: None,
        };
        Self {
            teams: facts.teams.iter().map(|t| (t.name.clone(), team.clone())).collect(),
            reserve,
            most_jobs: (limits.cores * PROCESSOR_PART * JOBS_PER_CORE_SECOND * period_s).max(1.0),
            most_bytes: limits.ram_mb * 1e6 * MEMORY_PART,
            most_of_team: settings.operator.queue_jobs_per_team,
        }
    }

    /// What a job takes of the queue: of the memory or of the processor, whichever is more.
    fn load_of(&self, spec: &JobSpec) -> f64 {
        let bytes = BYTES_PER_JOB + BYTES_PER_TASK * f64::from(spec.tasks);
        (bytes / self.most_bytes).max(1.0 / self.most_jobs)
    }

    /// An acceptance has been sent to the state service.
    pub(crate) fn acceptance_sent(&mut self, spec: &JobSpec) {
        let load = self.load_of(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.pending_jobs += 1;
            team.pending_load += load;
        }
    }

    /// An acceptance has been answered, or will not be.
    pub(crate) fn acceptance_settled(&mut self, spec: &JobSpec) {
        let load = self.load_of(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.pending_jobs = team.pending_jobs.saturating_sub(1);
            team.pending_load = if team.pending_jobs == 0 {
                0.0
            } else {
                team.pending_load - load
            };
        }
    }

    /// A job has become known that is not over.
    pub(crate) fn job_opened(&mut self, spec: &JobSpec) {
        let load = self.load_of(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.jobs += 1;
            team.load += load;
        }
    }

    /// A job that was not over has ended.
    pub(crate) fn job_closed(&mut self, now_ms: u64, spec: &JobSpec) {
        let load = self.load_of(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.jobs = team.jobs.saturating_sub(1);
            team.load = if team.jobs == 0 { 0.0 } else { team.load - load };
            team.ends.note(now_ms);
        }
    }

    /// Whether there is room for one more job of a team: within its own reserve, or in what no reserve claims.
    fn has_room(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.teams.get(&spec.team) else {
            return false;
        };
        let jobs = team.jobs + team.pending_jobs;
        if self.most_of_team.is_some_and(|most| jobs >= most) {
            return false;
        }
        let load = self.load_of(spec);
        let claimed: f64 = self.teams.values().map(|t| t.expected_load().max(self.reserve)).sum();
        jobs == 0 || team.expected_load() + load <= self.reserve || claimed + load <= 1.0
    }

    /// Admits a submission, or says when to come back. `controllers` is how many share the ends of jobs.
    pub(crate) fn admit(
        &mut self,
        now_ms: u64,
        spec: &JobSpec,
        writes: &mut TokenBucket,
        controllers: usize,
    ) -> Result<(), Deferral> {
        let has_room = self.has_room(spec);
        let Some(team) = self.teams.get_mut(&spec.team) else {
            return Ok(());
        };
        if !has_room {
            let rate = team.ends.per_s(now_ms) / controllers.max(1) as f64;
            let retry_after_s = team.slots.next_s(now_ms, rate);
            return Err(Deferral::QueueFull { retry_after_s });
        }
        let floor = if team.writes.take(now_ms, 1.0, 0.0) {
            FLOOR_WITHIN_SHARE
        } else {
            FLOOR_BEYOND_SHARE
        };
        if !writes.take(now_ms, 0.0, floor) {
            let retry_after_s = team.slots.next_s(now_ms, writes.rate());
            return Err(Deferral::WriteRate { retry_after_s });
        }
        Ok(())
    }

    /// A line for the operators when a team's users begin to be put off, and from time to time while they are.
    pub(crate) fn news_of(&mut self, now_ms: u64, spec: &JobSpec, deferral: Deferral) -> Option<String> {
        let team = self.teams.get_mut(&spec.team)?;
        let window_ms = (DRAIN_WINDOW_S * 1000.0) as u64;
        if team.told_ms.is_some_and(|told| now_ms < told + window_ms) {
            return None;
        }
        team.told_ms = Some(now_ms);
        let (name, jobs, percent) = (&spec.team, team.jobs, team.load * 100.0);
        let ends_per_s = team.ends.per_s(now_ms);
        let (why, retry_after_s) = match deferral {
            Deferral::QueueFull { retry_after_s } => ("its queue is full", retry_after_s),
            Deferral::WriteRate { retry_after_s } => ("its submissions come too fast", retry_after_s),
        };
        Some(format!(
            "team {name}: {why}: users are put off, this one for {retry_after_s} s; {jobs} unfinished jobs \
             take {percent:.0}% of the queue, {ends_per_s:.2} end in a second"
        ))
    }
}
