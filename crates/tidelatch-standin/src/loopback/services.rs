//! The state service and the cloud as HTTP servers on 127.0.0.1, and the machines that the cloud rents out.

use super::http::{Handler, Request, Response, serve};
use super::workers::{Fleet, ReplicaEvent, start_worker};
use super::{Clock, Recorder, lock};
use crate::cloud::Cloud;
use crate::state::{Store, StoreReply};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which leases are checked for expiry and open watches for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Boot time of machines, in milliseconds.
const BOOT_MS: u64 = 200;
/// Maximum number of machines at a time.
const MAX_MACHINES: usize = 40;

/// The services that controllers use: state service, cloud and workers.
#[derive(Clone)]
pub struct Services {
    /// Address of the state service.
    pub state: SocketAddr,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    store: Arc<Mutex<Store>>,
    fleet: Arc<Fleet>,
}

impl Services {
    /// Starts the state service and the cloud.
    ///
    /// # Errors
    ///
    /// If a server cannot listen on any port.
    pub fn start(clock: Clock) -> io::Result<Self> {
        let store = Arc::new(Mutex::new(Store::default()));
        let fleet = Arc::new(Fleet::new(clock));
        spawn_lease_expiry(&store, clock);
        let state = serve(state_handler(store.clone(), clock))?;
        let cloud = serve(cloud_handler(fleet.clone()))?;
        Ok(Self {
            state,
            cloud,
            store,
            fleet,
        })
    }

    /// Sets the names and addresses of the controllers that workers report to.
    pub fn set_controllers(&self, controllers: Vec<(String, SocketAddr)>) {
        *lock(&self.fleet.controllers) = controllers;
    }

    /// Makes a job's submission known to the workers, which need its shape to simulate its tasks.
    pub fn register_job(&self, job: &serde_json::Value) {
        let id = job["uid"].as_str().unwrap_or_default().to_owned();
        lock(&self.fleet.jobs).insert(id, job.clone());
    }

    /// Returns the recorder of the events at workers and users.
    pub fn recorder(&self) -> Arc<Mutex<Recorder>> {
        self.fleet.recorder.clone()
    }

    /// Returns the number of the stored epoch.
    pub fn epoch(&self) -> u64 {
        let store = lock(&self.store);
        store
            .get("t/c/epoch")
            .and_then(|epoch| epoch["n"].as_u64())
            .unwrap_or(0)
    }

    /// Returns the number of the leading controller.
    pub fn leader(&self) -> Option<usize> {
        let store = lock(&self.store);
        let name = store.get("t/c/leader")?["name"].as_str()?.to_owned();
        name.strip_prefix("berth-")?.parse().ok()
    }

    /// Returns the number of the controller that owns a team's partition.
    pub fn owner_of_team(&self, team: usize) -> Option<usize> {
        let store = lock(&self.store);
        let owner = store.get("t/c/epoch")?["parts"][team]["owner"].as_str()?.to_owned();
        owner.strip_prefix("berth-")?.parse().ok()
    }

    /// Returns the numbers of the controllers that are members. Their member keys exist as long as their leases.
    pub fn members(&self) -> Vec<usize> {
        let keys = lock(&self.store).keys("t/c/member/");
        let numbers = keys.iter().filter_map(|key| key.strip_prefix("t/c/member/berth-"));
        numbers.filter_map(|number| number.parse().ok()).collect()
    }

    /// Returns the stored record of a drain.
    pub fn drain_record(&self, name: &str) -> Option<serde_json::Value> {
        lock(&self.store).get(&format!("t/d/{name}")).cloned()
    }

    /// Returns the machines in the stored roster.
    pub fn roster(&self) -> Vec<String> {
        let store = lock(&self.store);
        let groups = store.keys("t/m/");
        let machines = groups.iter().filter_map(|key| store.get(key)?["m"].as_object());
        machines.flat_map(|machines| machines.keys().cloned()).collect()
    }

    /// Returns the events of replicas of services, in order.
    pub fn replica_history(&self) -> Vec<ReplicaEvent> {
        self.fleet.history()
    }

    /// Returns the number of a job's tasks that run.
    pub fn running_tasks(&self, job: &str) -> usize {
        self.fleet.running(job)
    }

    /// Returns the state of all workers as text, for the message of a failing test.
    pub fn describe_workers(&self) -> String {
        self.fleet.describe()
    }
}

fn spawn_lease_expiry(store: &Arc<Mutex<Store>>, clock: Clock) {
    let store = store.clone();
    thread::spawn(move || {
        loop {
            lock(&store).expire_leases(clock.now_ms());
            thread::sleep(CHECK_INTERVAL);
        }
    });
}

fn state_handler(store: Arc<Mutex<Store>>, clock: Clock) -> Handler {
    Arc::new(move |request| {
        let Request { method, path, body } = request;
        let reply = lock(&store).request(clock.now_ms(), &method, &path, &body);
        match reply {
            StoreReply::Immediate(status, body) => (status, body.to_string()),
            StoreReply::Watch(prefix, since, until) => wait_for_changes(&store, clock, &prefix, since, until),
        }
    })
}

fn wait_for_changes(store: &Mutex<Store>, clock: Clock, prefix: &str, since: u64, until_ms: u64) -> Response {
    loop {
        let (changes, revision) = {
            let store = lock(store);
            (store.changes_since(prefix, since), store.revision())
        };
        if let Some(changes) = changes {
            return (200, changes.to_string());
        }
        if clock.now_ms() >= until_ms {
            return (200, json!({ "ledger": revision, "news": [] }).to_string());
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn cloud_handler(fleet: Arc<Fleet>) -> Handler {
    let mut cloud = Cloud::default();
    cloud.max_machines = MAX_MACHINES;
    let cloud = Mutex::new(cloud);
    Arc::new(move |request| {
        let mut cloud = lock(&cloud);
        let (status, body, rented) = cloud.request(&request.method, &request.path, &request.body);
        for name in rented {
            if let Some((zone, spot)) = cloud.machines.get(&name).cloned() {
                start_worker(&fleet, name, zone, spot, Duration::from_millis(BOOT_MS));
            }
        }
        fleet.remove_deleted(&cloud.deleted);
        (status, body.to_string())
    })
}
