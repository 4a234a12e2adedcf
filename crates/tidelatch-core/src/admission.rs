//! Admission control: limits the unfinished work in the queue, shares the write rate of the state service among the
//! teams' acceptances, and tells users whose submissions are deferred when to retry.
//!
//! The memory and the processor of this controller limit the queue: it keeps every unfinished job in memory and scans
//! all of them for each batch. The state service sets no limit, as it stores any number of keys.

use crate::protocol::JobSpec;
use crate::rate_limit::TokenBucket;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Share of the memory that unfinished jobs may take.
const QUEUE_MEMORY_SHARE: f64 = 0.25;
/// Share of the processor time that scanning unfinished jobs may take.
const QUEUE_PROCESSOR_SHARE: f64 = 0.2;
/// Share of the queue and of the write rate that is reserved for the teams, in equal parts.
const RESERVED_SHARE: f64 = 0.5;

/// Bytes that an unfinished job takes without its bitmaps.
const BYTES_PER_JOB: f64 = 2048.0;
/// Bytes that each of its tasks takes in the two bitmaps.
const BYTES_PER_TASK: f64 = 0.25;
/// Unfinished jobs that one core scans per second if all of them wait.
const JOBS_SCANNED_PER_CORE_SECOND: f64 = 150_000.0;

/// Share of the write burst that must be left over when a job is accepted whose team has used up its share of the write
/// rate. It is for the writes that keep the cluster running: ends of jobs, bits of finished tasks, and new machines.
const MIN_BURST_LEFT_BEYOND_SHARE: f64 = 0.5;
/// The same for a team within its share. It is negative, so such acceptances come before all other writes.
const MIN_BURST_LEFT_WITHIN_SHARE: f64 = -0.5;

/// Shortest and longest retry delay that users honour, in seconds.
const RETRY_AFTER_RANGE_S: (u64, u64) = (1, 30);
/// Time over which the rate of job ends is averaged, in seconds.
const JOB_END_RATE_WINDOW_S: f64 = 30.0;

/// Why a submission is deferred, and for how many seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deferral {
    /// The queue holds too much unfinished work of the team.
    QueueFull { retry_after_s: u32 },
    /// The write rate of the state service is used up.
    WriteRate { retry_after_s: u32 },
}

/// A rate of events, as an average over [`JOB_END_RATE_WINDOW_S`] with exponential decay.
#[derive(Debug, Clone, Default)]
struct DecayingRate {
    /// Number of events, each decayed by its age.
    weight: f64,
    /// Time to which `weight` is decayed.
    at_ms: u64,
}

impl DecayingRate {
    fn decay(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1000.0;
        self.weight *= (-elapsed_s / JOB_END_RATE_WINDOW_S).exp();
        self.at_ms = now_ms;
    }

    fn record_event(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.weight += 1.0;
    }

    fn per_s(&mut self, now_ms: u64) -> f64 {
        self.decay(now_ms);
        self.weight / JOB_END_RATE_WINDOW_S
    }
}

/// Retry times handed out to the users of a team, spaced so that the users retry one after another.
#[derive(Debug, Clone, Default)]
struct RetrySlots {
    /// The latest retry time handed out.
    last_ms: u64,
}

impl RetrySlots {
    /// Assigns the next slot and returns the seconds until then; `rate_per_s` slots become free per second.
    fn assign_next_s(&mut self, now_ms: u64, rate_per_s: f64) -> u32 {
        let longest_ms = RETRY_AFTER_RANGE_S.1 * 1000;
        let interval_ms = (1000.0 / rate_per_s.max(1e-6)).min(longest_ms as f64) as u64;
        let slot_ms = self.last_ms.max(now_ms) + interval_ms;
        self.last_ms = slot_ms.min(now_ms + longest_ms);
        let retry_after_s = (self.last_ms - now_ms).div_ceil(1000);
        retry_after_s.clamp(RETRY_AFTER_RANGE_S.0, RETRY_AFTER_RANGE_S.1) as u32
    }
}

/// Admission state of one team.
#[derive(Debug, Clone)]
struct TeamLoad {
    /// Number of unfinished jobs.
    jobs: u32,
    /// Share of the queue's capacity that they take; the whole queue is 1.
    load: f64,
    /// Number of acceptances sent to the state service and not answered.
    pending_jobs: u32,
    /// Share of the queue's capacity that those will take.
    pending_load: f64,
    /// Rate at which jobs of the team end.
    ends: DecayingRate,
    /// The team's reserved part of the write rate.
    writes: TokenBucket,
    retry_slots: RetrySlots,
    /// Time of the last log line that says that the team's submissions are deferred.
    last_logged_ms: Option<u64>,
}

impl TeamLoad {
    /// Share of the queue that the team's jobs take once the pending ones are accepted.
    fn expected_load(&self) -> f64 {
        self.load + self.pending_load
    }
}

/// Admission control for all teams.
#[derive(Debug, Clone)]
pub(crate) struct Admission {
    teams: BTreeMap<String, TeamLoad>,
    /// Share of the queue that is reserved for each team.
    reserved_share: f64,
    /// Limit on unfinished jobs that follows from the processor.
    max_jobs: f64,
    /// Limit on the bytes that unfinished jobs take.
    max_bytes: f64,
    /// Limit on unfinished jobs of one team, if the operators have set it.
    max_jobs_per_team: Option<u32>,
}

impl Admission {
    pub(crate) fn new(settings: &Settings) -> Self {
        let facts = &settings.platform.facts;
        let limits = &facts.machine_limits;
        let batch_interval_s = settings.batch_retry_ms() as f64 / 1000.0;
        let reserved_share = RESERVED_SHARE / facts.teams.len().max(1) as f64;
        let write_rate = facts.state.write_rps / f64::from(settings.partitions());
        let team = TeamLoad {
            jobs: 0,
            load: 0.0,
            pending_jobs: 0,
            pending_load: 0.0,
            ends: DecayingRate::default(),
            writes: TokenBucket::new(write_rate * reserved_share, write_rate),
            retry_slots: RetrySlots::default(),
            last_logged_ms: None,
        };
        Self {
            teams: facts.teams.iter().map(|t| (t.name.clone(), team.clone())).collect(),
            reserved_share,
            max_jobs: (limits.cores * QUEUE_PROCESSOR_SHARE * JOBS_SCANNED_PER_CORE_SECOND * batch_interval_s).max(1.0),
            max_bytes: limits.ram_mb * 1e6 * QUEUE_MEMORY_SHARE,
            max_jobs_per_team: settings.operator.queue_jobs_per_team,
        }
    }

    /// Share of the queue that a job takes: its share of the memory or of the processor, whichever is larger.
    fn queue_share(&self, spec: &JobSpec) -> f64 {
        let bytes = BYTES_PER_JOB + BYTES_PER_TASK * f64::from(spec.tasks);
        (bytes / self.max_bytes).max(1.0 / self.max_jobs)
    }

    /// Counts an acceptance that has been sent to the state service.
    pub(crate) fn begin_acceptance(&mut self, spec: &JobSpec) {
        let load = self.queue_share(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.pending_jobs += 1;
            team.pending_load += load;
        }
    }

    /// Stops counting an acceptance that has been answered or given up.
    pub(crate) fn finish_acceptance(&mut self, spec: &JobSpec) {
        let load = self.queue_share(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.pending_jobs = team.pending_jobs.saturating_sub(1);
            team.pending_load = if team.pending_jobs == 0 {
                0.0
            } else {
                team.pending_load - load
            };
        }
    }

    /// Counts a new unfinished job.
    pub(crate) fn add_job(&mut self, spec: &JobSpec) {
        let load = self.queue_share(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.jobs += 1;
            team.load += load;
        }
    }

    /// Stops counting an unfinished job that has ended.
    pub(crate) fn remove_job(&mut self, now_ms: u64, spec: &JobSpec) {
        let load = self.queue_share(spec);
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.jobs = team.jobs.saturating_sub(1);
            team.load = if team.jobs == 0 { 0.0 } else { team.load - load };
            team.ends.record_event(now_ms);
        }
    }

    /// Whether the queue has room for one more job of a team: within the team's reserve, or in the part of the queue
    /// that is left when every team has the larger of its reserve and its expected load. A team without jobs has room
    /// for one, unless the operators' limit is 0.
    fn has_room(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.teams.get(&spec.team) else {
            return false;
        };
        let jobs = team.jobs + team.pending_jobs;
        if self.max_jobs_per_team.is_some_and(|limit| jobs >= limit) {
            return false;
        }
        let load = self.queue_share(spec);
        let claimed: f64 = self
            .teams
            .values()
            .map(|t| t.expected_load().max(self.reserved_share))
            .sum();
        jobs == 0 || team.expected_load() + load <= self.reserved_share || claimed + load <= 1.0
    }

    /// Admits a submission, or returns when to retry. `controllers` is the number of controllers that share the room
    /// that ending jobs leave.
    pub(crate) fn admit(
        &mut self,
        now_ms: u64,
        spec: &JobSpec,
        writes: &mut TokenBucket,
        controllers: usize,
    ) -> Result<(), Deferral> {
        let has_room = self.has_room(spec);
        // Submissions of unknown teams have been rejected before.
        let Some(team) = self.teams.get_mut(&spec.team) else {
            return Ok(());
        };
        if !has_room {
            let rate = team.ends.per_s(now_ms) / controllers.max(1) as f64;
            let retry_after_s = team.retry_slots.assign_next_s(now_ms, rate);
            return Err(Deferral::QueueFull { retry_after_s });
        }
        let min_burst_left = if team.writes.try_take(now_ms, 1.0, 0.0) {
            MIN_BURST_LEFT_WITHIN_SHARE
        } else {
            MIN_BURST_LEFT_BEYOND_SHARE
        };
        if !writes.try_take(now_ms, 0.0, min_burst_left) {
            let retry_after_s = team.retry_slots.assign_next_s(now_ms, writes.rate());
            return Err(Deferral::WriteRate { retry_after_s });
        }
        Ok(())
    }

    /// Returns a log line when submissions of a team begin to be deferred, and then once per [`JOB_END_RATE_WINDOW_S`].
    pub(crate) fn deferral_log_line(&mut self, now_ms: u64, spec: &JobSpec, deferral: Deferral) -> Option<String> {
        let team = self.teams.get_mut(&spec.team)?;
        let window_ms = (JOB_END_RATE_WINDOW_S * 1000.0) as u64;
        if team.last_logged_ms.is_some_and(|last| now_ms < last + window_ms) {
            return None;
        }
        team.last_logged_ms = Some(now_ms);
        let (name, jobs, percent) = (&spec.team, team.jobs, team.load * 100.0);
        let ends_per_s = team.ends.per_s(now_ms);
        let (reason, retry_after_s) = match deferral {
            Deferral::QueueFull { retry_after_s } => ("its queue is full", retry_after_s),
            Deferral::WriteRate { retry_after_s } => ("the write rate is used up", retry_after_s),
        };
        Some(format!(
            "team {name}: submissions are deferred because {reason}, this one for {retry_after_s} s; {jobs} unfinished \
             jobs take {percent:.0}% of the queue, {ends_per_s:.2} jobs end per second"
        ))
    }
}
