//! Settings that the platform provides about this controller and its deployment, and the checks on them.

use super::Fault;
use serde::Deserialize;
use std::net::SocketAddr;

/// The platform's settings file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// This controller's name.
    pub host_name: String,
    /// Zone of this controller.
    pub area: String,
    /// Address on which this controller listens for users, workers and health checks.
    pub api_addr: String,
    /// Address on which this controller listens for the other controllers.
    pub peer_listen: String,
    /// The other controllers.
    #[serde(default)]
    pub siblings: Vec<PeerController>,
    /// Addresses of the cloud and the state service.
    pub outside: ServiceAddresses,
    /// Facts about the deployment.
    pub facts: Facts,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerController {
    /// Name of the controller.
    pub host_name: String,
    /// Zone of the controller.
    #[serde(default)]
    pub area: String,
    /// Address on which it listens for other controllers.
    pub address: String,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceAddresses {
    /// Address of the cloud's API.
    pub cloud: String,
    /// Address of the state service.
    pub state: String,
}

/// Facts about the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Number of controllers.
    pub nodes: u32,
    /// Names of the deployment's zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum error of a wall clock, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// Teams, in an order that determines their partitions.
    pub teams: Vec<Team>,
    /// Service level objectives for starting and finishing tasks.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Facts about workers.
    pub workers: WorkerFacts,
    /// Limits of the state service.
    pub state: StateServiceFacts,
    /// Limits of the cloud.
    pub cloud: CloudFacts,
    /// Limits of the machine that this controller runs on.
    pub machine_limits: MachineLimits,
}

/// A team with its guarantees and limits. An amount of 0 means no guarantee or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of processors.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of processors.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of accelerators.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `wait` (tasks of the class start within `within_s`), `guarantee` (guaranteed work starts within `within_s`), or
    /// `deadline`.
    pub kind: String,
    /// Job class that the objective applies to.
    #[serde(default)]
    pub class: Option<String>,
    /// Maximum time until the start of a task, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Objective as a multiple of the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Facts about workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerFacts {
    /// Interval between the reports of a worker, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds: if the worker's reports are not answered for so long, the lease
    /// expires.
    pub lease_s: f64,
    /// Time within which all tasks of a cancelled job must be gone, in seconds.
    pub cancel_s: f64,
    /// Time after which a gang task that waits for the other tasks gives up, in seconds. If it is not set, the
    /// deployment does not run gangs.
    #[serde(default)]
    pub gang_wait_s: Option<f64>,
    /// Time, in seconds, within which the tasks of a gang notice that one of them is gone, and within which all of them
    /// must be told to stop.
    #[serde(default)]
    pub gang_peer_s: Option<f64>,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateServiceFacts {
    /// Maximum requests per second of all controllers together.
    pub rps: f64,
    /// Maximum changes per second of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in units of 1024 bytes.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: u32,
    /// Announced limits, which will take effect at some later moment without further notice.
    #[serde(default)]
    pub next: Option<UpcomingStateServiceLimits>,
}

/// Announced limits of the state service. A limit that is absent does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct UpcomingStateServiceLimits {
    /// Maximum changes per second of all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in units of 1024 bytes.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<u32>,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudFacts {
    /// Maximum requests per second of all controllers together.
    pub rps: f64,
    /// Maximum delay with which the list of machines shows a change, in seconds.
    pub list_lag_s: f64,
}

/// Limits of the machine that a controller runs on.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineLimits {
    /// Processor cores that the controller may use; a value below 1 is a share of one core.
    pub cores: f64,
    /// Memory, in megabytes.
    pub ram_mb: f64,
    /// Maximum number of open sockets.
    pub sockets: u32,
}

impl Platform {
    /// All invalid values, each with its path.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = FaultList::default();
        self.check_names_and_addresses(&mut faults);
        self.check_siblings(&mut faults);
        self.facts.check_amounts(&mut faults);
        self.facts.check_gangs(&mut faults);
        self.facts.check_announced_and_socket_limits(&mut faults);
        self.facts.check_teams(&mut faults);
        faults.0
    }

    fn check_names_and_addresses(&self, faults: &mut FaultList) {
        for (path, text) in [("host_name", &self.host_name), ("area", &self.area)] {
            if text.is_empty() {
                faults.add(path, "must not be empty");
            }
        }
        for (path, text) in [
            ("api_addr", &self.api_addr),
            ("peer_listen", &self.peer_listen),
            ("outside.cloud", &self.outside.cloud),
            ("outside.state", &self.outside.state),
        ] {
            if text.parse::<SocketAddr>().is_err() {
                faults.add(path, "must be an IP address and a port, such as 10.0.0.1:8080");
            }
        }
    }

    fn check_siblings(&self, faults: &mut FaultList) {
        for (i, peer) in self.siblings.iter().enumerate() {
            if peer.address.parse::<SocketAddr>().is_err() {
                faults.add(&format!("siblings[{i}].address"), "must be an IP address and a port");
            }
            if peer.host_name.is_empty() || peer.host_name == self.host_name {
                faults.add(&format!("siblings[{i}].host_name"), "must name another controller");
            }
        }
        if self.facts.nodes as usize != self.siblings.len() + 1 {
            faults.add(
                "facts.nodes",
                "must be the number of siblings plus 1, for this controller",
            );
        }
    }
}

impl Facts {
    fn check_amounts(&self, faults: &mut FaultList) {
        for (path, amount) in [
            ("facts.workers.report_s", self.workers.report_s),
            ("facts.workers.lease_s", self.workers.lease_s),
            ("facts.workers.cancel_s", self.workers.cancel_s),
            ("facts.state.rps", self.state.rps),
            ("facts.state.write_rps", self.state.write_rps),
            ("facts.state.value_kb", self.state.value_kb),
            ("facts.cloud.rps", self.cloud.rps),
            ("facts.machine_limits.cores", self.machine_limits.cores),
            ("facts.machine_limits.ram_mb", self.machine_limits.ram_mb),
        ] {
            faults.add_unless_positive(path, Some(amount));
        }
        for (path, amount) in [
            ("facts.skew_ms", self.skew_ms),
            ("facts.cloud.list_lag_s", self.cloud.list_lag_s),
        ] {
            if !(amount.is_finite() && amount >= 0.0) {
                faults.add(path, "must be a finite number of at least 0");
            }
        }
        if self.workers.lease_s <= 2.0 * self.workers.report_s {
            faults.add("facts.workers.lease_s", "must be more than twice report_s");
        }
        if self.state.txn_ops < 2 {
            faults.add("facts.state.txn_ops", "must be at least 2");
        }
    }

    /// Checks the times for gangs. They are optional, but must be valid, and both are set or neither.
    fn check_gangs(&self, faults: &mut FaultList) {
        let (wait_s, peer_s) = (self.workers.gang_wait_s, self.workers.gang_peer_s);
        faults.add_unless_positive("facts.workers.gang_wait_s", wait_s);
        faults.add_unless_positive("facts.workers.gang_peer_s", peer_s);
        if wait_s.is_some() != peer_s.is_some() {
            let missing = if wait_s.is_some() { "gang_peer_s" } else { "gang_wait_s" };
            faults.add(
                &format!("facts.workers.{missing}"),
                "must be set, because the other time for gangs is set",
            );
        }
    }

    fn check_announced_and_socket_limits(&self, faults: &mut FaultList) {
        let next = self.state.next.clone().unwrap_or_default();
        faults.add_unless_positive("facts.state.next.write_rps", next.write_rps);
        faults.add_unless_positive("facts.state.next.value_kb", next.value_kb);
        if next.txn_ops.is_some_and(|ops| ops < 2) {
            faults.add("facts.state.next.txn_ops", "must be at least 2");
        }
        if self.machine_limits.sockets < 16 {
            faults.add("facts.machine_limits.sockets", "must be at least 16");
        }
    }

    fn check_teams(&self, faults: &mut FaultList) {
        for (i, team) in self.teams.iter().enumerate() {
            if team.name.is_empty() {
                faults.add(&format!("facts.teams[{i}].name"), "must not be empty");
            }
            if self.teams.iter().take(i).any(|other| other.name == team.name) {
                faults.add(&format!("facts.teams[{i}].name"), "is already the name of another team");
            }
            for (field, guarantee, limit) in [("cpus", team.cpus, team.cpus_max), ("gpus", team.gpus, team.gpus_max)] {
                let path = format!("facts.teams[{i}].{field}");
                if !(guarantee.is_finite() && limit.is_finite() && guarantee >= 0.0 && limit >= 0.0) {
                    faults.add(&path, "must be a finite number of at least 0");
                } else if limit > 0.0 && guarantee > limit {
                    faults.add(&path, "the guarantee must not exceed the limit");
                }
            }
        }
    }
}

/// Faults found so far.
#[derive(Default)]
struct FaultList(Vec<Fault>);

impl FaultList {
    fn add(&mut self, path: &str, message: &str) {
        self.0.push(Fault {
            path: path.to_owned(),
            message: message.to_owned(),
        });
    }

    /// Adds a fault if the amount is present and not a positive finite number.
    fn add_unless_positive(&mut self, path: &str, amount: Option<f64>) {
        if amount.is_some_and(|amount| !(amount.is_finite() && amount > 0.0)) {
            self.add(path, "must be a finite number above 0");
        }
    }
}
