//! The figures of the operators' deployments (kit/sites), with one machine type each.

use std::sync::OnceLock;

pub struct Site {
    pub zones: [&'static str; 3],
    /// Names of teams, all with this guarantee and limit in accelerators.
    pub team: &'static str,
    pub teams: usize,
    pub gpus: f64,
    pub gpus_max: f64,
    /// A team without guarantee and limit, if there is one.
    pub guests: Option<&'static str>,
    pub classes: [&'static str; 2],
    pub objectives: &'static str,
    pub array_priority: &'static str,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub gang_s: [f64; 2],
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cores: f64,
    pub skew_ms: f64,
    pub model: &'static str,
    pub size: [f64; 3],
    pub cache_gb: f64,
    pub price: [f64; 2],
    /// Nominal time to boot. Machines here boot in 0.6 of it, the shortest usual time.
    pub boot_s: f64,
}

const FROSTMARK: Site = Site {
    zones: ["quay", "north", "annex"],
    team: "yard-crew",
    teams: 16,
    gpus: 4.0,
    gpus_max: 12.0,
    guests: None,
    classes: ["reefer-vision", "thaw-replay"],
    objectives: "
[[facts.objectives]]
kind = \"wait\"
class = \"reefer-vision\"
within_s = 10.0
share = 0.85

[[facts.objectives]]
kind = \"deadline\"
class = \"thaw-replay\"
share = 0.9
times = 1.0

[[facts.objectives]]
kind = \"guarantee\"
within_s = 10.0
share = 0.82
",
    array_priority: "low",
    report_s: 2.5,
    lease_s: 18.0,
    cancel_s: 38.0,
    gang_s: [35.0, 5.0],
    state_rps: 250.0,
    write_rps: 60.0,
    value_kb: 32.0,
    txn_ops: 16,
    cloud_rps: 4.0,
    list_lag_s: 8.0,
    cores: 0.064,
    skew_ms: 25.0,
    model: "rack-cooler",
    size: [24.0, 2.0, 144.0],
    cache_gb: 120.0,
    price: [7.31, 3.42],
    boot_s: 35.0,
};

const HANBIT: Site = Site {
    zones: ["busan-east", "daejeon", "seoul-north"],
    team: "plan-desk",
    teams: 6,
    gpus: 16.0,
    gpus_max: 70.0,
    guests: Some("port-link"),
    classes: ["slot-oracle", "yard-sweep"],
    objectives: "
[[facts.objectives]]
kind = \"wait\"
class = \"slot-oracle\"
within_s = 100.0
share = 0.9

[[facts.objectives]]
kind = \"deadline\"
class = \"yard-sweep\"
share = 0.88
times = 1.0

[[facts.objectives]]
kind = \"guarantee\"
within_s = 60.0
share = 0.88
",
    array_priority: "normal",
    report_s: 3.0,
    lease_s: 18.0,
    cancel_s: 48.0,
    gang_s: [50.0, 4.0],
    state_rps: 80.0,
    write_rps: 25.0,
    value_kb: 4.0,
    txn_ops: 8,
    cloud_rps: 2.0,
    list_lag_s: 5.0,
    cores: 0.096,
    skew_ms: 100.0,
    model: "bogie-large",
    size: [48.0, 4.0, 288.0],
    cache_gb: 150.0,
    price: [13.09, 3.1],
    boot_s: 45.0,
};

static SITE: OnceLock<Site> = OnceLock::new();

/// Chooses the site of this run.
pub fn choose(name: &str) {
    let _ = SITE.set(if name == "hanbit-railplan" { HANBIT } else { FROSTMARK });
}

pub fn site() -> &'static Site {
    SITE.get_or_init(|| FROSTMARK)
}
