//! State service and cloud on 127.0.0.1, and the machines that the cloud rents.

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

/// How often leases are looked at, and open watches look for news.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Boot time of machines.
const BOOT_MS: u64 = 200;
/// Most machines at a time.
const MOST_MACHINES: usize = 40;

/// The services round the controllers.
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
    /// Starts state service and cloud.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start(clock: Clock) -> io::Result<Self> {
        let store = Arc::new(Mutex::new(Store::default()));
        let fleet = Arc::new(Fleet::new(clock));
        keep_leases(&store, clock);
        let state = serve(state_handler(store.clone(), clock))?;
        let cloud = serve(cloud_handler(fleet.clone()))?;
        Ok(Self {
            state,
            cloud,
            store,
            fleet,
        })
    }

    /// Where workers find the controllers.
    pub fn set_controllers(&self, controllers: Vec<(String, SocketAddr)>) {
        *lock(&self.fleet.controllers) = controllers;
    }

    /// Workers learn of a job: its shape and how long its tasks run.
    pub fn upload(&self, job: &serde_json::Value) {
        let id = job["uid"].as_str().unwrap_or_default().to_owned();
        lock(&self.fleet.jobs).insert(id, job.clone());
    }

    /// What has been seen of workers and users.
    pub fn recorder(&self) -> Arc<Mutex<Recorder>> {
        self.fleet.recorder.clone()
    }

    /// The epoch in the state service.
    pub fn epoch(&self) -> u64 {
        let store = lock(&self.store);
        store
            .get("t/c/epoch")
            .and_then(|epoch| epoch["n"].as_u64())
            .unwrap_or(0)
    }

    /// The number of the controller that leads.
    pub fn leader(&self) -> Option<usize> {
        let store = lock(&self.store);
        let name = store.get("t/c/leader")?["name"].as_str()?.to_owned();
        name.strip_prefix("berth-")?.parse().ok()
    }

    /// The number of the controller that owns a team.
    pub fn owner_of_team(&self, team: usize) -> Option<usize> {
        let store = lock(&self.store);
        let owner = store.get("t/c/epoch")?["parts"][team]["owner"].as_str()?.to_owned();
        owner.strip_prefix("berth-")?.parse().ok()
    }

    /// The numbers of the controllers that are members: their keys live as long as their leases.
    pub fn members(&self) -> Vec<usize> {
        let keys = lock(&self.store).keys("t/c/member/");
        let numbers = keys.iter().filter_map(|key| key.strip_prefix("t/c/member/berth-"));
        numbers.filter_map(|number| number.parse().ok()).collect()
    }

    /// A drain as stored.
    pub fn drain(&self, name: &str) -> Option<serde_json::Value> {
        lock(&self.store).get(&format!("t/d/{name}")).cloned()
    }

    /// The machines in the stored roster.
    pub fn roster(&self) -> Vec<String> {
        let store = lock(&self.store);
        let groups = store.keys("t/m/");
        let machines = groups.iter().filter_map(|key| store.get(key)?["m"].as_object());
        machines.flat_map(|machines| machines.keys().cloned()).collect()
    }

    /// What replicas of services have run where, in order.
    pub fn replica_history(&self) -> Vec<ReplicaEvent> {
        self.fleet.history()
    }

    /// Number of tasks of a job that run.
    pub fn running(&self, job: &str) -> usize {
        self.fleet.running(job)
    }

    /// The reports and tokens of all workers, for the message of a test that fails.
    pub fn describe(&self) -> String {
        self.fleet.describe()
    }
}

fn keep_leases(store: &Arc<Mutex<Store>>, clock: Clock) {
    let store = store.clone();
    thread::spawn(move || {
        loop {
            lock(&store).expire_leases(clock.now_ms());
            thread::sleep(LOOK_INTERVAL);
        }
    });
}

fn state_handler(store: Arc<Mutex<Store>>, clock: Clock) -> Handler {
    Arc::new(move |request| {
        let Request { method, path, body } = request;
        let said = lock(&store).request(clock.now_ms(), &method, &path, &body);
        match said {
            StoreReply::Immediate(status, body) => (status, body.to_string()),
            StoreReply::Watch(prefix, since, until) => watch(&store, clock, &prefix, since, until),
        }
    })
}

fn watch(store: &Mutex<Store>, clock: Clock, prefix: &str, since: u64, until_ms: u64) -> Response {
    loop {
        let (news, revision) = {
            let store = lock(store);
            (store.changes_since(prefix, since), store.revision())
        };
        if let Some(news) = news {
            return (200, news.to_string());
        }
        if clock.now_ms() >= until_ms {
            return (200, json!({ "ledger": revision, "news": [] }).to_string());
        }
        thread::sleep(LOOK_INTERVAL);
    }
}

fn cloud_handler(fleet: Arc<Fleet>) -> Handler {
    let mut cloud = Cloud::default();
    cloud.most = MOST_MACHINES;
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
