//! What the platform hands over about this controller and its deployment, and the checks on it.

use super::Fault;
use serde::Deserialize;
use std::net::SocketAddr;

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
        let mut faults = Faults::default();
        self.check_names_and_addresses(&mut faults);
        self.check_siblings(&mut faults);
        self.facts.check_amounts(&mut faults);
        self.facts.check_gangs(&mut faults);
        self.facts.check_next_limits(&mut faults);
        self.facts.check_teams(&mut faults);
        faults.0
    }

    fn check_names_and_addresses(&self, faults: &mut Faults) {
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
                faults.add(path, "must be an address and a port, as 10.0.0.1:8080");
            }
        }
    }

    fn check_siblings(&self, faults: &mut Faults) {
        for (i, sibling) in self.siblings.iter().enumerate() {
            if sibling.address.parse::<SocketAddr>().is_err() {
                faults.add(&format!("siblings[{i}].address"), "must be an address and a port");
            }
            if sibling.host_name.is_empty() || sibling.host_name == self.host_name {
                faults.add(&format!("siblings[{i}].host_name"), "must name another controller");
            }
        }
        if self.facts.nodes as usize != self.siblings.len() + 1 {
            faults.add("facts.nodes", "must count this controller and its siblings");
        }
    }
}

impl Facts {
    fn check_amounts(&self, faults: &mut Faults) {
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
                faults.add(path, "must be a number, 0 or above");
            }
        }
        if self.workers.lease_s <= 2.0 * self.workers.report_s {
            faults.add("facts.workers.lease_s", "must be more than twice report_s");
        }
        if self.state.txn_ops < 2 {
            faults.add("facts.state.txn_ops", "must be at least 2");
        }
    }

    /// Gangs' times are asked for only where gangs are to be run; what is there has to be in order.
    fn check_gangs(&self, faults: &mut Faults) {
        let (wait_s, peer_s) = (self.workers.gang_wait_s, self.workers.gang_peer_s);
        faults.add_unless_positive("facts.workers.gang_wait_s", wait_s);
        faults.add_unless_positive("facts.workers.gang_peer_s", peer_s);
        if wait_s.is_some() != peer_s.is_some() {
            let missing = if wait_s.is_some() { "gang_peer_s" } else { "gang_wait_s" };
            faults.add(
                &format!("facts.workers.{missing}"),
                "is needed for gangs, since the other time is given",
            );
        }
    }

    fn check_next_limits(&self, faults: &mut Faults) {
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

    fn check_teams(&self, faults: &mut Faults) {
        for (i, team) in self.teams.iter().enumerate() {
            if team.name.is_empty() {
                faults.add(&format!("facts.teams[{i}].name"), "must not be empty");
            }
            if self.teams.iter().take(i).any(|other| other.name == team.name) {
                faults.add(&format!("facts.teams[{i}].name"), "is the name of another team as well");
            }
            for (field, low, high) in [("cpus", team.cpus, team.cpus_max), ("gpus", team.gpus, team.gpus_max)] {
                let path = format!("facts.teams[{i}].{field}");
                if !(low.is_finite() && high.is_finite() && low >= 0.0 && high >= 0.0) {
                    faults.add(&path, "must be a number, 0 or above");
                } else if high > 0.0 && low > high {
                    faults.add(&path, "the guarantee is above the limit");
                }
            }
        }
    }
}

/// The faults that were found so far.
#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, path: &str, fault: &str) {
        self.0.push(Fault {
            path: path.to_owned(),
            fault: fault.to_owned(),
        });
    }

    /// What is not given is no fault.
    fn add_unless_positive(&mut self, path: &str, amount: Option<f64>) {
        if amount.is_some_and(|amount| !(amount.is_finite() && amount > 0.0)) {
            self.add(path, "must be a number above 0");
        }
    }
}
