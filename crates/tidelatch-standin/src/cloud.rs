//! A simulated cloud with one machine type, `m2`, in two zones, `a` and `b`.

use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The cloud and the machines that it has rented out.
#[derive(Debug)]
pub struct Cloud {
    names_by_request: BTreeMap<String, Vec<String>>,
    next_number: u32,
    /// Machines that exist, by name: the zone, and whether it is a spot machine.
    pub machines: BTreeMap<String, (String, bool)>,
    /// Names of the machines that were deleted.
    pub deleted: BTreeSet<String>,
    /// Maximum number of machines at a time.
    pub max_machines: usize,
    /// Maximum number of machines at a time by zone, for zones with a limit of their own.
    pub max_machines_by_zone: BTreeMap<String, usize>,
    /// Boot time in milliseconds of machines that have no entry in `next_boot_times_ms`.
    pub boot_ms: u64,
    /// Boot times in milliseconds of the machines rented next, in order. `None`: the machine never boots.
    pub next_boot_times_ms: VecDeque<Option<u64>>,
    /// Whether the cloud is down: all requests get status 503.
    pub is_down: bool,
    /// Prefix of machine names.
    pub machine_name_prefix: String,
}

impl Default for Cloud {
    fn default() -> Self {
        Self {
            names_by_request: BTreeMap::new(),
            next_number: 0,
            machines: BTreeMap::new(),
            deleted: BTreeSet::new(),
            max_machines: 20,
            max_machines_by_zone: BTreeMap::new(),
            boot_ms: Self::BOOT_MS,
            next_boot_times_ms: VecDeque::new(),
            is_down: false,
            machine_name_prefix: "n-".to_owned(),
        }
    }
}

impl Cloud {
    /// Default boot time of machines, in milliseconds.
    pub const BOOT_MS: u64 = 3000;
    /// Maximum number of machines in one page of the list.
    pub const MACHINES_PER_PAGE: usize = 500;

    /// Removes and returns the boot time in milliseconds of the next rented machine. `None`: it never boots.
    pub fn take_next_boot_ms(&mut self) -> Option<u64> {
        self.next_boot_times_ms.pop_front().unwrap_or(Some(self.boot_ms))
    }

    /// Executes one HTTP request. Returns the status, the body, and the names of the machines that it rented.
    pub fn request(&mut self, method: &str, path: &str, body: &str) -> (u16, Value, Vec<String>) {
        if self.is_down {
            return (503, json!({ "error": "trouble" }), Vec::new());
        }
        let body: Value = serde_json::from_str(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or(path)) {
            ("GET", "/machine_types") => (200, Self::machine_types(), Vec::new()),
            ("POST", "/hosts") => self.rent(&body),
            ("POST", "/hosts/delete") => {
                self.delete(&body);
                (200, json!({}), Vec::new())
            }
            ("GET", "/hosts") => (200, self.list(path), Vec::new()),
            _ => (404, json!({}), Vec::new()),
        }
    }

    fn machine_types() -> Value {
        json!({ "models": [{
            "label": "m2", "vcpus": 24, "accelerators": 2, "ramGb": 144, "localGb": 100,
            "pullGbPerS": 1.0, "rate": 7.0, "marketPrice": 3.0, "startupS": 3, "yards": ["a", "b"]
        }]})
    }

    /// Rents machines, up to the free capacity. The request is idempotent: a repeated one gets the same machines.
    fn rent(&mut self, body: &Value) -> (u16, Value, Vec<String>) {
        let request = body["charter"].as_str().unwrap_or_default().to_owned();
        if let Some(names) = self.names_by_request.get(&request) {
            return (200, json!({ "berths": names }), Vec::new());
        }
        let zone = body["yard"].as_str().unwrap_or_default().to_owned();
        let wanted = body["number"].as_u64().unwrap_or(0) as usize;
        let count = wanted.min(self.free_capacity_in(&zone));
        if count == 0 {
            return (503, json!({ "error": "no capacity" }), Vec::new());
        }
        let spot = body["standby"].as_bool().unwrap_or(false);
        let names: Vec<String> = (0..count)
            .map(|_| {
                self.next_number += 1;
                format!("{}{:06}", self.machine_name_prefix, self.next_number)
            })
            .collect();
        for name in &names {
            self.machines.insert(name.clone(), (zone.clone(), spot));
        }
        self.names_by_request.insert(request, names.clone());
        (200, json!({ "berths": names }), names)
    }

    /// Returns how many more machines can be rented in a zone.
    fn free_capacity_in(&self, zone: &str) -> usize {
        let free = self.max_machines.saturating_sub(self.machines.len());
        let Some(max_machines) = self.max_machines_by_zone.get(zone) else {
            return free;
        };
        let in_zone = self.machines.values().filter(|(z, _)| z == zone).count();
        free.min(max_machines.saturating_sub(in_zone))
    }

    fn delete(&mut self, body: &Value) {
        let names = body["berths"].as_array().into_iter().flatten();
        for name in names.filter_map(Value::as_str) {
            self.machines.remove(name);
            self.deleted.insert(name.to_owned());
        }
    }

    /// Returns the page of the machine list that follows the machine named in the path.
    fn list(&self, path: &str) -> Value {
        let since = path.split("since=").nth(1).and_then(|p| p.split('&').next());
        let since = since.unwrap_or_default();
        let following = self.machines.iter().filter(|(id, _)| id.as_str() > since);
        let more = following.clone().count() > Self::MACHINES_PER_PAGE;
        let list: Vec<Value> = following
            .take(Self::MACHINES_PER_PAGE)
            .map(|(id, (zone, spot))| {
                json!({ "uid": id, "addr": "", "model": "m2", "yard": zone, "standby": spot,
                        "status": "running", "ageS": 100.0 })
            })
            .collect();
        json!({ "berths": list, "more": more })
    }
}
