//! Messages of the cloud's API: machine types, rentals, deletions and the list of machines.

use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of accelerators.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory, in gigabytes.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Local storage for images, in gigabytes.
    #[serde(rename = "localGb")]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in gigabytes per second.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price per hour as a spot machine.
    #[serde(rename = "marketPrice")]
    pub spot_price: f64,
    /// Nominal boot time, in seconds.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// Answer to `GET /machine_types`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "models")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// Name of the request, by which the cloud recognizes a repetition. It is never reused.
    #[serde(rename = "charter")]
    pub request: String,
    /// Machine type.
    pub model: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines, in the answer to a rental and in a deletion request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "berths")]
    pub machines: Vec<MachineId>,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Address on which its worker accepts commands.
    #[serde(default)]
    pub addr: String,
    /// Machine type.
    pub model: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "standby", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub status: String,
    /// Time since the rental request, in seconds.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// Answer to `GET /hosts`.
#[derive(Debug, Clone, Deserialize)]
pub struct MachineList {
    /// Machines, sorted by name.
    #[serde(rename = "berths")]
    pub machines: Vec<ListedMachine>,
    /// Whether the list continues after the last of these machines.
    #[serde(default)]
    pub more: bool,
}
