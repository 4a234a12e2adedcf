//! Four real controllers on 127.0.0.1, frozen and split, while services and arrays run.

use serde_json::Value;
use std::path::Path;
use std::time::Duration;
use tidelatch_standin::job;
use tidelatch_standin::loopback::{
    Breach, CONTROLLER_LEASE_MS, Clock, Controllers, Recorder, Services, Users, wait_until,
};

const CONTROLLERS: usize = 4;
/// Time for what must come about on any machine that can run the tests.
const PATIENCE: Duration = Duration::from_secs(90);

struct Deployment {
    services: Services,
    controllers: Controllers,
    users: Users,
    next_job: u32,
    arrays: Vec<String>,
}

impl Deployment {
    fn start(operator: &str) -> Self {
        let services = Services::start(Clock::start()).expect("the stand-ins listen");
        let program = Path::new(env!("CARGO_BIN_EXE_tidelatch"));
        let controllers =
            Controllers::start(program, operator, CONTROLLERS, &services).expect("the controllers come up");
        let users = Users::start(&controllers.addresses, &services);
        Self {
            services,
            controllers,
            users,
            next_job: 1,
            arrays: Vec::new(),
        }
    }

    fn submit(&mut self, team: usize, shape: &str, tasks: u32) -> String {
        let mut body: Value = job(self.next_job, team as u32, shape, tasks);
        if shape == "standing" {
            // A machine for each replica: what would be moved to empty a machine would be away for that.
            body["vcpus"] = 20.0.into();
        }
        self.next_job += 1;
        assert!(self.users.submit(&self.services, &body), "{}", self.controllers.logs());
        body["uid"].as_str().expect("an id").to_owned()
    }

    fn submit_arrays(&mut self) {
        for team in 0..CONTROLLERS {
            let array = self.submit(team, "sweep", 6);
            self.arrays.push(array);
        }
    }

    fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let came = wait_until(PATIENCE, || holds(self));
        let state = || format!("{}\n{}", self.services.describe(), self.controllers.logs());
        assert!(came, "{what} did not come about:\n{}", state());
    }

    fn says(&self, observer: usize, text: &str) -> usize {
        self.controllers.log(observer).matches(text).count()
    }

    fn all_teams_owned_by(&self, owners: &[usize]) -> bool {
        let owner = |team| self.services.owner_of_team(team);
        (0..CONTROLLERS).all(|team| owner(team).is_some_and(|owner| owners.contains(&owner)))
    }

    fn anybody_says(&self, text: &str) -> usize {
        (0..CONTROLLERS).map(|observer| self.says(observer, text)).sum()
    }
}

fn leases(count: u64) -> Duration {
    Duration::from_millis(count * CONTROLLER_LEASE_MS)
}

#[test]
fn frozen_and_split_controllers_leave_no_replica_unwatched_and_end_no_job_twice() {
    let mut deployment = Deployment::start(include_str!("../../../deploy/failure-detection.json"));
    let replicas: Vec<String> = (0..CONTROLLERS)
        .map(|team| deployment.submit(team, "standing", 2))
        .collect();
    deployment.wait_for("all replicas run", |d| {
        replicas.iter().all(|job| d.services.running(job) == 2)
    });

    // Frozen for longer than its lease and any grant: taken over, and nothing of what it held back acts.
    deployment.submit_arrays();
    let epoch = deployment.services.epoch();
    deployment.controllers.processes[1].freeze().expect("it runs");
    deployment.wait_for("a take-over", |d| d.services.epoch() > epoch);
    deployment.wait_for("a verdict", |d| d.says(0, "berth-1 is confirmed as gone") > 0);
    deployment.submit_arrays();
    deployment.controllers.processes[1].resume().expect("it runs");
    deployment.wait_for("its return", |d| d.says(1, "lease taken, life") == 2);

    // Split evenly, both sides with the state service: suspicions, and no take-over.
    deployment.wait_for("the partition's return", |d| d.says(1, "acting for partition 1") >= 2);
    let epoch = deployment.services.epoch();
    let confirmed = deployment.anybody_says("is confirmed as gone");
    deployment.controllers.split(&[0, 1], false);
    deployment.wait_for("suspicions on both sides", |d| {
        d.says(0, "suspects berth-2") > 0 && d.says(2, "suspects berth-0") > 0
    });
    deployment.submit_arrays();
    std::thread::sleep(leases(2));
    assert_eq!(deployment.services.epoch(), epoch, "{}", deployment.controllers.logs());
    assert_eq!(deployment.anybody_says("is confirmed as gone"), confirmed);
    deployment.controllers.heal();
    deployment.wait_for("the end of the suspicions", |d| {
        d.says(0, "berth-2 is no longer suspected") > 0 && d.says(2, "berth-0 is no longer suspected") > 0
    });

    // Split evenly, one side without the state service: it is fenced, and taken over from.
    deployment.controllers.split(&[0, 1], true);
    deployment.wait_for("a take-over from the other side", |d| d.services.epoch() > epoch);
    // A controller whose lease has not expired yet when the network heals extends it and never takes another.
    deployment.wait_for("a take-over from both of the other side", |d| {
        d.services.members() == [0, 1] && d.all_teams_owned_by(&[0, 1])
    });
    deployment.submit_arrays();
    deployment.controllers.heal();
    deployment.wait_for("both are back", |d| {
        d.says(2, "lease taken") >= 2 && d.says(3, "lease taken") >= 2
    });

    deployment.wait_for("the end of all arrays", |d| {
        d.arrays.iter().all(|job| d.users.is_done(job))
    });
    deployment.wait_for("all replicas", |d| {
        replicas.iter().all(|job| d.services.running(job) == 2)
    });
    let recorder = deployment.services.recorder();
    let recorder = recorder.lock().expect("no thread has failed");
    assert_eq!(recorder.observed(), (2 * CONTROLLERS, 6 * deployment.arrays.len()));
    assert_eq!(recorder.breaches(), [], "{}", deployment.controllers.logs());
}

#[test]
fn the_recorder_finds_one_breach_of_each_kind_and_none_in_what_is_lawful() {
    let mut lawful = Recorder::default();
    lawful.replica_runs("job-000001/0", "n-1");
    lawful.replica_runs("job-000001/0", "n-2");
    lawful.replica_stops(10, "job-000001/0", "n-1");
    lawful.machine_lost("n-2");
    lawful.replica_runs("job-000001/0", "n-3");
    lawful.cancel_asked("job-000001");
    lawful.replica_stops(20, "job-000001/0", "n-3");
    lawful.task_completed("job-000002/0");
    lawful.task_completed("job-000002/1");
    lawful.told("job-000002", "running");
    lawful.told("job-000002", "done");
    lawful.told("job-000002", "done");
    assert_eq!(lawful.breaches(), []);

    let mut faulty = Recorder::default();
    faulty.replica_runs("job-000001/0", "n-1");
    faulty.replica_stops(30, "job-000001/0", "n-1");
    faulty.task_completed("job-000002/0");
    faulty.task_completed("job-000002/0");
    faulty.told("job-000003", "withdrawn");
    faulty.told("job-000003", "done");
    let expected = [
        Breach::WatchGap {
            replica: "job-000001/0".into(),
            from_ms: 30,
        },
        Breach::CompletedTwice {
            task: "job-000002/0".into(),
        },
        Breach::EndedTwice {
            job: "job-000003".into(),
            first: "withdrawn".into(),
            then: "done".into(),
        },
    ];
    assert_eq!(faulty.breaches(), expected);
}
