//! The cloud: one machine type in two zones.

use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The cloud and what it rents.
#[derive(Debug)]
pub struct Cloud {
    requests: BTreeMap<String, Vec<String>>,
    next: u32,
    /// Machines that exist: zone, spot.
    pub machines: BTreeMap<String, (String, bool)>,
    /// Machines that were deleted.
    pub deleted: BTreeSet<String>,
    /// Most machines at a time.
    pub most: usize,
    /// Most machines at a time in a zone, where there is a limit.
    pub most_in_zone: BTreeMap<String, usize>,
    /// Boot time of machines that `next_boots` says nothing of.
    pub boot_ms: u64,
    /// Boot times of the machines rented next, in order; none: the machine never comes up.
    pub next_boots: VecDeque<Option<u64>>,
    /// All requests get 503.
    pub down: bool,
    /// What machines' names begin with.
    pub prefix: String,
}

impl Default for Cloud {
    fn default() -> Self {
        Self {
            requests: BTreeMap::new(),
            next: 0,
            machines: BTreeMap::new(),
            deleted: BTreeSet::new(),
            most: 20,
            most_in_zone: BTreeMap::new(),
            boot_ms: Self::BOOT_MS,
            next_boots: VecDeque::new(),
            down: false,
            prefix: "n-".to_owned(),
        }
    }
}

impl Cloud {
    /// Usual boot time of its machines.
    pub const BOOT_MS: u64 = 3000;
    /// Most machines in a page of its list.
    pub const PAGE: usize = 500;

    /// Boot time of the machine that was rented next; none: it never comes up.
    pub fn next_boot(&mut self) -> Option<u64> {
        self.next_boots.pop_front().unwrap_or(Some(self.boot_ms))
    }

    /// Carries out one request; the machines rented by it come second.
    pub fn request(&mut self, method: &str, path: &str, body: &str) -> (u16, Value, Vec<String>) {
        if self.down {
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

    /// Rents machines, as many as there is room for; a repeated request gets those that it has.
    fn rent(&mut self, body: &Value) -> (u16, Value, Vec<String>) {
        let request = body["charter"].as_str().unwrap_or_default().to_owned();
        if let Some(names) = self.requests.get(&request) {
            return (200, json!({ "berths": names }), Vec::new());
        }
        let zone = body["yard"].as_str().unwrap_or_default().to_owned();
        let wanted = body["number"].as_u64().unwrap_or(0) as usize;
        let count = wanted.min(self.room_in(&zone));
        if count == 0 {
            return (503, json!({ "error": "no capacity" }), Vec::new());
        }
        let spot = body["standby"].as_bool().unwrap_or(false);
        let names: Vec<String> = (0..count)
            .map(|_| {
                self.next += 1;
                format!("{}{:06}", self.prefix, self.next)
            })
            .collect();
        for name in &names {
            self.machines.insert(name.clone(), (zone.clone(), spot));
        }
        self.requests.insert(request, names.clone());
        (200, json!({ "berths": names }), names)
    }

    /// How many more machines can be rented in a zone.
    fn room_in(&self, zone: &str) -> usize {
        let room = self.most.saturating_sub(self.machines.len());
        let Some(most) = self.most_in_zone.get(zone) else {
            return room;
        };
        let here = self.machines.values().filter(|(z, _)| z == zone).count();
        room.min(most.saturating_sub(here))
    }

    fn delete(&mut self, body: &Value) {
        let names = body["berths"].as_array().into_iter().flatten();
        for name in names.filter_map(Value::as_str) {
            self.machines.remove(name);
            self.deleted.insert(name.to_owned());
        }
    }

    /// A page of the list of machines, after the one that the path names.
    fn list(&self, path: &str) -> Value {
        let since = path.split("since=").nth(1).and_then(|p| p.split('&').next());
        let since = since.unwrap_or_default();
        let after = self.machines.iter().filter(|(id, _)| id.as_str() > since);
        let more = after.clone().count() > Self::PAGE;
        let list: Vec<Value> = after
            .take(Self::PAGE)
            .map(|(id, (zone, spot))| {
                json!({ "uid": id, "addr": "", "model": "m2", "yard": zone, "standby": spot,
                        "status": "running", "ageS": 100.0 })
            })
            .collect();
        json!({ "berths": list, "more": more })
    }
}
