//! What the platform hands over, what the operators set themselves, and the checks on both.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A fault in the settings, with the path of the field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct Fault {
    /// Where.
    pub path: String,
    /// What.
    pub fault: String,
}

/// The platform's file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// This controller's name.
    pub host_name: String,
    /// Its zone.
    pub area: String,
    /// Where users, workers and health checks come in.
    pub api_addr: String,
    /// Where the other controllers come in.
    pub peer_listen: String,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<Sibling>,
    /// Services outside.
    pub outside: Outside,
    /// Facts about the deployment.
    pub facts: Facts,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Sibling {
    /// Name.
    pub host_name: String,
    /// Zone.
    #[serde(default)]
    pub area: String,
    /// Its peer address.
    pub address: String,
}

/// Addresses of the services outside.
#[derive(Debug, Clone, Deserialize)]
pub struct Outside {
    /// The cloud.
    pub cloud: String,
    /// The state service.
    pub state: String,
}

/// Facts about the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Number of controllers.
    pub nodes: u32,
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound of the time of day's error.
    #[serde(default)]
    pub skew_ms: f64,
    /// Teams.
    pub teams: Vec<Team>,
    /// Aims on starting and finishing.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: WorkerFacts,
    /// State service.
    pub state: StateFacts,
    /// Cloud.
    pub cloud: CloudFacts,
    /// Limits of this machine.
    pub machine_limits: MachineLimits,
}

/// A team; an amount of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `wait`, `deadline` or `guarantee`.
    pub kind: String,
    /// Class that it is for.
    #[serde(default)]
    pub class: Option<String>,
    /// Time allowed.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Facts about workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerFacts {
    /// Period of reports.
    pub report_s: f64,
    /// Lease without answers.
    pub lease_s: f64,
    /// Time for a cancelled job's tasks to be gone.
    pub cancel_s: f64,
    /// Time after which a gang's task that waits for the others gives up; none: no gangs here.
    #[serde(default)]
    pub gang_wait_s: Option<f64>,
    /// Time within which a gang's tasks notice that one is gone, and within which all must be told to stop.
    #[serde(default)]
    pub gang_peer_s: Option<f64>,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateFacts {
    /// Requests a second, all controllers together.
    pub rps: f64,
    /// Changes a second, all controllers together.
    pub write_rps: f64,
    /// Largest value.
    pub value_kb: f64,
    /// Most changes in a transaction.
    pub txn_ops: u32,
    /// Limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Limits that the state service will have from some moment on; what is absent stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextState {
    /// Changes a second, all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<u32>,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudFacts {
    /// Requests a second.
    pub rps: f64,
    /// Lag of its list.
    pub list_lag_s: f64,
}

/// Limits of this machine.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Share of a core.
    pub cores: f64,
    /// Memory.
    pub ram_mb: f64,
    /// Sockets.
    pub sockets: u32,
}

impl Platform {
    /// Everything that is wrong with the values, each with its path.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut say = |path: &str, fault: &str| {
            faults.push(Fault {
                path: path.to_owned(),
                fault: fault.to_owned(),
            });
        };
        for (path, text) in [("host_name", &self.host_name), ("area", &self.area)] {
            if text.is_empty() {
                say(path, "must not be empty");
            }
        }
        for (path, text) in [
            ("api_addr", &self.api_addr),
            ("peer_listen", &self.peer_listen),
            ("outside.cloud", &self.outside.cloud),
            ("outside.state", &self.outside.state),
        ] {
            if text.parse::<std::net::SocketAddr>().is_err() {
                say(path, "must be an address and a port, as 10.0.0.1:8080");
            }
        }
        for (i, s) in self.siblings.iter().enumerate() {
            if s.address.parse::<std::net::SocketAddr>().is_err() {
                say(&format!("siblings[{i}].address"), "must be an address and a port");
            }
            if s.host_name.is_empty() || s.host_name == self.host_name {
                say(&format!("siblings[{i}].host_name"), "must name another controller");
            }
        }
        let f = &self.facts;
        if f.nodes as usize != self.siblings.len() + 1 {
            say("facts.nodes", "must count this controller and its siblings");
        }
        for (path, v) in [
            ("facts.workers.report_s", f.workers.report_s),
            ("facts.workers.lease_s", f.workers.lease_s),
            ("facts.workers.cancel_s", f.workers.cancel_s),
            ("facts.state.rps", f.state.rps),
            ("facts.state.write_rps", f.state.write_rps),
            ("facts.state.value_kb", f.state.value_kb),
            ("facts.cloud.rps", f.cloud.rps),
            ("facts.machine_limits.cores", f.machine_limits.cores),
            ("facts.machine_limits.ram_mb", f.machine_limits.ram_mb),
        ] {
            if !(v.is_finite() && v > 0.0) {
                say(path, "must be a number above 0");
            }
        }
        for (path, v) in [
            ("facts.skew_ms", f.skew_ms),
            ("facts.cloud.list_lag_s", f.cloud.list_lag_s),
        ] {
            if !(v.is_finite() && v >= 0.0) {
                say(path, "must be a number, 0 or above");
            }
        }
        if f.workers.lease_s <= 2.0 * f.workers.report_s {
            say("facts.workers.lease_s", "must be more than twice report_s");
        }
        if f.state.txn_ops < 2 {
            say("facts.state.txn_ops", "must be at least 2");
        }
        // Asked for only where gangs are to be run; what is there has to be in order.
        for (path, v) in [
            ("facts.workers.gang_wait_s", f.workers.gang_wait_s),
            ("facts.workers.gang_peer_s", f.workers.gang_peer_s),
        ] {
            if v.is_some_and(|v| !(v.is_finite() && v > 0.0)) {
                say(path, "must be a number above 0");
            }
        }
        if f.workers.gang_wait_s.is_some() != f.workers.gang_peer_s.is_some() {
            let missing = if f.workers.gang_wait_s.is_some() {
                "gang_peer_s"
            } else {
                "gang_wait_s"
            };
            say(
                &format!("facts.workers.{missing}"),
                "is needed for gangs, since the other time is given",
            );
        }
        let next = f.state.next.clone().unwrap_or_default();
        for (path, v) in [
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ] {
            if v.is_some_and(|v| !(v.is_finite() && v > 0.0)) {
                say(path, "must be a number above 0");
            }
        }
        if next.txn_ops.is_some_and(|n| n < 2) {
            say("facts.state.next.txn_ops", "must be at least 2");
        }
        if f.machine_limits.sockets < 16 {
            say("facts.machine_limits.sockets", "must be at least 16");
        }
        for (i, t) in f.teams.iter().enumerate() {
            if t.name.is_empty() {
                say(&format!("facts.teams[{i}].name"), "must not be empty");
            }
            if f.teams.iter().take(i).any(|other| other.name == t.name) {
                say(&format!("facts.teams[{i}].name"), "is the name of another team as well");
            }
            for (field, low, high) in [("cpus", t.cpus, t.cpus_max), ("gpus", t.gpus, t.gpus_max)] {
                if !(low.is_finite() && high.is_finite() && low >= 0.0 && high >= 0.0) {
                    say(&format!("facts.teams[{i}].{field}"), "must be a number, 0 or above");
                } else if high > 0.0 && low > high {
                    say(&format!("facts.teams[{i}].{field}"), "the guarantee is above the limit");
                }
            }
        }
        faults
    }
}

/// The operators' own settings. Every figure has a default.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// A batch closes at this many tasks.
    #[schemars(range(min = 1, max = 10_000))]
    pub batch_tasks: u32,
    /// A batch closes after this part of the workers' report period.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub batch_wait_per_report: f64,
    /// Tasks that found no machine are tried again after this part of the workers' report period.
    #[schemars(range(min = 0.01, max = 10.0))]
    pub batch_retry_per_report: f64,
    /// Moves that a batch's search may try, per task of the batch.
    #[schemars(range(min = 0, max = 1_000))]
    pub search_moves_per_task: u32,
    /// Time that one slice of the search may take, at this controller's share of a processor.
    #[schemars(range(min = 0.001, max = 10.0))]
    pub search_budget_s: f64,
    /// A controller's lease in the state service, as a part of the workers' lease.
    #[schemars(range(min = 0.1, max = 0.9))]
    pub controller_lease_per_worker_lease: f64,
    /// An idle machine is returned after this part of its type's boot time.
    #[schemars(range(min = 0.0, max = 100.0))]
    pub idle_per_boot: f64,
    /// A silent machine is given up after this part of the workers' lease.
    #[schemars(range(min = 0.3, max = 10.0))]
    pub silent_per_worker_lease: f64,
    /// Most unfinished jobs of one team; beyond it submissions are put off. Without it the limit follows from the
    /// controller's memory and processor.
    #[schemars(range(min = 1, max = 100_000))]
    pub queue_jobs_per_team: Option<u32>,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            batch_tasks: 50,
            batch_wait_per_report: 0.08,
            batch_retry_per_report: 0.4,
            search_moves_per_task: 8,
            search_budget_s: 0.2,
            controller_lease_per_worker_lease: 0.4,
            idle_per_boot: 0.6,
            silent_per_worker_lease: 0.8,
            queue_jobs_per_team: None,
        }
    }
}

impl Operator {
    /// Everything that is out of its range.
    pub fn faults(&self) -> Vec<Fault> {
        let checks = [
            ("batch_tasks", f64::from(self.batch_tasks), 1.0, 10_000.0),
            ("batch_wait_per_report", self.batch_wait_per_report, 0.01, 10.0),
            ("batch_retry_per_report", self.batch_retry_per_report, 0.01, 10.0),
            (
                "search_moves_per_task",
                f64::from(self.search_moves_per_task),
                0.0,
                1_000.0,
            ),
            ("search_budget_s", self.search_budget_s, 0.001, 10.0),
            (
                "controller_lease_per_worker_lease",
                self.controller_lease_per_worker_lease,
                0.1,
                0.9,
            ),
            ("idle_per_boot", self.idle_per_boot, 0.0, 100.0),
            ("silent_per_worker_lease", self.silent_per_worker_lease, 0.3, 10.0),
            (
                "queue_jobs_per_team",
                f64::from(self.queue_jobs_per_team.unwrap_or(1)),
                1.0,
                100_000.0,
            ),
        ];
        checks
            .into_iter()
            .filter(|(_, v, low, high)| !(v.is_finite() && v >= low && v <= high))
            .map(|(path, _, low, high)| Fault {
                path: path.to_owned(),
                fault: format!("must lie between {low} and {high}"),
            })
            .collect()
    }
}

/// Both, as the core uses them.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's file.
    pub platform: Platform,
    /// The operators' own.
    pub operator: Operator,
    /// What this program knows. Anything but the default is for tests of mixed memberships.
    pub features: Features,
}

/// [`Features::level`] from which on a controller knows machines that hold tasks of several partitions.
pub const SHARED_MACHINES_LEVEL: u32 = 3;

/// What a version of this program knows, as it tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Gangs, and the state service's coming limits.
    pub gangs: bool,
    /// Cancellations are told between controllers.
    pub cancellations: bool,
    /// A machine may change hands with the tasks that run on it.
    pub shared_machines: bool,
}

impl Features {
    /// The number by which a controller's own record says what it knows: 0 was never written.
    pub fn level(self) -> u32 {
        match self {
            Self { gangs: false, .. } => 0,
            Self {
                cancellations: false, ..
            } => 1,
            Self {
                shared_machines: false, ..
            } => 2,
            _ => SHARED_MACHINES_LEVEL,
        }
    }
    /// As the version before gangs was: for tests.
    pub fn before_gangs() -> Self {
        Self {
            gangs: false,
            cancellations: false,
            shared_machines: false,
        }
    }
}

impl Default for Features {
    fn default() -> Self {
        Self {
            gangs: true,
            cancellations: true,
            shared_machines: true,
        }
    }
}

fn ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1000.0) as u64
}

impl Settings {
    /// Time that a controller's lease lasts.
    pub fn lease_ms(&self) -> u64 {
        ms(self.platform.facts.workers.lease_s * self.operator.controller_lease_per_worker_lease).max(1000)
    }
    /// How long after sending an extension this controller may act.
    ///
    /// Steady clocks differ by up to 0.05%; four times that, and a timer step, is taken off.
    pub fn entitlement_ms(&self) -> u64 {
        let lease = self.lease_ms();
        lease - lease / 500 - 20
    }
    /// Period of workers' reports.
    pub fn report_ms(&self) -> u64 {
        ms(self.platform.facts.workers.report_s)
    }
    /// Workers' lease.
    pub fn worker_lease_ms(&self) -> u64 {
        ms(self.platform.facts.workers.lease_s)
    }
    /// Time for a cancelled job's tasks to be gone.
    pub fn cancel_ms(&self) -> u64 {
        ms(self.platform.facts.workers.cancel_s)
    }
    /// Time after which a waiting gang task gives up, and within which its tasks notice each other's end.
    pub fn gang_ms(&self) -> Option<(u64, u64)> {
        let w = &self.platform.facts.workers;
        Some((ms(w.gang_wait_s?), ms(w.gang_peer_s?)))
    }
    /// The tighter of the limits of the state service that hold and those that will: bytes in a value.
    pub fn value_bytes(&self) -> usize {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|n| n.value_kb)
            .filter(|_| self.features.gangs);
        (state.value_kb.min(next.unwrap_or(f64::MAX)) * 1024.0) as usize
    }
    /// The tighter of both: changes in a transaction.
    pub fn txn_ops(&self) -> usize {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|n| n.txn_ops)
            .filter(|_| self.features.gangs);
        state.txn_ops.min(next.unwrap_or(u32::MAX)) as usize
    }
    /// The tighter of both: changes a second.
    pub fn write_rps(&self) -> f64 {
        let state = &self.platform.facts.state;
        let next = state
            .next
            .as_ref()
            .and_then(|n| n.write_rps)
            .filter(|_| self.features.gangs);
        state.write_rps.min(next.unwrap_or(f64::MAX))
    }
    /// Wait after which a batch closes.
    pub fn batch_wait_ms(&self) -> u64 {
        ms(self.platform.facts.workers.report_s * self.operator.batch_wait_per_report)
    }
    /// Wait after which unplaced tasks are tried again.
    pub fn batch_retry_ms(&self) -> u64 {
        ms(self.platform.facts.workers.report_s * self.operator.batch_retry_per_report)
    }
    /// Silence after which a machine is given up.
    pub fn silent_ms(&self) -> u64 {
        ms(self.platform.facts.workers.lease_s * self.operator.silent_per_worker_lease)
    }
    /// How often one slice of the search may look at a machine for a task.
    pub fn search_evaluations(&self) -> usize {
        // About what a whole core of today does in a second, on the low side.
        const PER_CORE_SECOND: f64 = 4e6;
        let cores = self.platform.facts.machine_limits.cores;
        (self.operator.search_budget_s * cores * PER_CORE_SECOND).max(1000.0) as usize
    }
    /// Number of partitions: one for each controller.
    pub fn partitions(&self) -> u32 {
        self.platform.facts.nodes.max(1)
    }
    /// All controllers' names, in order.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.platform.siblings.iter().map(|s| s.host_name.clone()).collect();
        names.push(self.platform.host_name.clone());
        names.sort();
        names
    }
    /// A team by name, with its place in the list.
    pub fn team(&self, name: &str) -> Option<(usize, &Team)> {
        self.platform
            .facts
            .teams
            .iter()
            .enumerate()
            .find(|(_, t)| t.name == name)
    }
    /// The partition that a team belongs to, for good.
    pub fn partition_of_team(&self, name: &str) -> Option<crate::ids::Partition> {
        let (index, _) = self.team(name)?;
        Some(crate::ids::Partition(index as u32 % self.partitions()))
    }
}
