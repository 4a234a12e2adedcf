//! What the cloud offers and takes: machine types, rentals, deletions and its list of machines.

use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type as the cloud offers it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Room for images.
    #[serde(rename = "localGb")]
    pub cache_gb: f64,
    /// Fetch rate.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price per hour as a spot machine.
    #[serde(rename = "marketPrice")]
    pub spot_price: f64,
    /// Nominal boot time.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// Answer to `GET /machine_types`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types.
    #[serde(rename = "models")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Name of the request; never reused.
    #[serde(rename = "charter")]
    pub request: String,
    /// Machine type.
    pub model: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines, in a rental's answer and in a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "berths")]
    pub machines: Vec<MachineId>,
}

/// One machine in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Where it takes commands.
    #[serde(default)]
    pub addr: String,
    /// Type.
    pub model: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "standby", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub status: String,
    /// Age since the rental request.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// Answer to `GET /hosts`.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineList {
    /// Machines in order of name.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// The list goes on.
    #[serde(default)]
    pub more: bool,
}
