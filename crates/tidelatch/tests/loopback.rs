//! Runs four controller processes on 127.0.0.1 that are frozen and partitioned while services and arrays run.
//!
//! Guards against a controller that still acts after it has lost its lease: a replica would be stopped without another
//! one that runs, a task would complete twice, or a job would be reported as ended in two ways.

use serde_json::Value;
use std::path::Path;
use std::time::Duration;
use tidelatch_standin::job;
use tidelatch_standin::loopback::{
    Breach, CONTROLLER_LEASE_MS, Clock, Controllers, Recorder, Services, Users, wait_until,
};

const CONTROLLERS: usize = 4;
/// Time within which every awaited event must occur, also on the slowest machine that runs the tests.
const EVENT_TIMEOUT: Duration = Duration::from_secs(90);

/// Four controller processes, simulated services around them, and users who submit and poll jobs.
struct Deployment {
    services: Services,
    controllers: Controllers,
    users: Users,
    next_job: u32,
    arrays: Vec<String>,
}

impl Deployment {
    /// Starts the services, and controllers with these operators' settings.
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

    /// Submits a job and returns its id.
    fn submit(&mut self, team: usize, shape: &str, tasks: u32) -> String {
        let mut body: Value = job(self.next_job, team as u32, shape, tasks);
        if shape == "standing" {
            // Each replica fills a machine: a replica that is moved to empty a machine would not run during the move.
            body["vcpus"] = 20.0.into();
        }
        self.next_job += 1;
        assert!(self.users.submit(&self.services, &body), "{}", self.controllers.logs());
        body["uid"].as_str().expect("an id").to_owned()
    }

    /// Submits an array for each team.
    fn submit_arrays(&mut self) {
        for team in 0..CONTROLLERS {
            let array = self.submit(team, "sweep", 6);
            self.arrays.push(array);
        }
    }

    /// Waits until a condition is met, and fails with `what`, the state of the services and all logs if it is not in
    /// time.
    fn wait_for(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let has_come = wait_until(EVENT_TIMEOUT, || condition(self));
        let state = || format!("{}\n{}", self.services.describe_workers(), self.controllers.logs());
        assert!(has_come, "timed out while waiting for {what}:\n{}", state());
    }

    /// Counts occurrences of a text in the log of a controller.
    fn count_in_log(&self, controller: usize, text: &str) -> usize {
        self.controllers.log(controller).matches(text).count()
    }

    /// Whether the partitions of all teams are owned by some of these controllers.
    fn all_teams_owned_by(&self, owners: &[usize]) -> bool {
        let owner = |team| self.services.owner_of_team(team);
        (0..CONTROLLERS).all(|team| owner(team).is_some_and(|owner| owners.contains(&owner)))
    }

    /// Counts occurrences of a text in the logs of all controllers.
    fn count_in_all_logs(&self, text: &str) -> usize {
        (0..CONTROLLERS)
            .map(|controller| self.count_in_log(controller, text))
            .sum()
    }
}

fn controller_leases(count: u64) -> Duration {
    Duration::from_millis(count * CONTROLLER_LEASE_MS)
}

/// Guards against a controller that acts on what it knew before a pause or a network partition, after another one has
/// taken over from it. Four processes are paused and partitioned in turn; the recorder must see no breach.
#[test]
fn paused_and_partitioned_controllers_stop_no_replica_and_end_no_job_twice() {
    let mut deployment = Deployment::start(include_str!("../../../deploy/failure-detection.json"));
    let replicas: Vec<String> = (0..CONTROLLERS)
        .map(|team| deployment.submit(team, "standing", 2))
        .collect();
    deployment.wait_for("all replicas to run", |d| {
        replicas.iter().all(|job| d.services.running_tasks(job) == 2)
    });

    // Controller 1 is frozen for longer than its lease and any grant: its partition is taken over, and none of the
    // actions that were pending in it takes effect after it resumes.
    deployment.submit_arrays();
    let epoch = deployment.services.epoch();
    deployment.controllers.processes[1].pause().expect("it runs");
    deployment.wait_for("a takeover", |d| d.services.epoch() > epoch);
    deployment.wait_for("the confirmation that berth-1 is gone", |d| {
        d.count_in_log(0, "berth-1 is confirmed as gone") > 0
    });
    deployment.submit_arrays();
    deployment.controllers.processes[1].resume().expect("it runs");
    deployment.wait_for("berth-1 to take a new lease", |d| {
        d.count_in_log(1, "lease taken, life") == 2
    });

    // Network split into two halves that both reach the state service: the halves suspect each other, and no takeover
    // follows.
    deployment.wait_for("berth-1 to act for its partition again", |d| {
        d.count_in_log(1, "acting for partition 1") >= 2
    });
    let epoch = deployment.services.epoch();
    let confirmed = deployment.count_in_all_logs("is confirmed as gone");
    deployment.controllers.partition(&[0, 1], false);
    deployment.wait_for("suspicions in both halves", |d| {
        d.count_in_log(0, "suspects berth-2") > 0 && d.count_in_log(2, "suspects berth-0") > 0
    });
    deployment.submit_arrays();
    std::thread::sleep(controller_leases(2));
    assert_eq!(deployment.services.epoch(), epoch, "{}", deployment.controllers.logs());
    assert_eq!(deployment.count_in_all_logs("is confirmed as gone"), confirmed);
    deployment.controllers.heal();
    deployment.wait_for("the end of the suspicions", |d| {
        d.count_in_log(0, "berth-2 is no longer suspected") > 0
            && d.count_in_log(2, "berth-0 is no longer suspected") > 0
    });

    // Network split into two halves, one without the state service: that half loses its leases, and the other half
    // takes its partitions over.
    deployment.controllers.partition(&[0, 1], true);
    deployment.wait_for("a takeover by the half with the state service", |d| {
        d.services.epoch() > epoch
    });
    // A controller whose lease has not expired yet when the network heals extends it and never takes another.
    deployment.wait_for(
        "a takeover from both controllers of the half without the state service",
        |d| d.services.members() == [0, 1] && d.all_teams_owned_by(&[0, 1]),
    );
    deployment.submit_arrays();
    deployment.controllers.heal();
    deployment.wait_for("berth-2 and berth-3 to take new leases", |d| {
        d.count_in_log(2, "lease taken") >= 2 && d.count_in_log(3, "lease taken") >= 2
    });

    deployment.wait_for("the end of all arrays", |d| {
        d.arrays.iter().all(|job| d.users.is_done(job))
    });
    deployment.wait_for("all replicas to run again", |d| {
        replicas.iter().all(|job| d.services.running_tasks(job) == 2)
    });
    let recorder = deployment.services.recorder();
    let recorder = recorder.lock().expect("no thread has failed");
    assert_eq!(
        recorder.observed_counts(),
        (2 * CONTROLLERS, 6 * deployment.arrays.len())
    );
    assert_eq!(recorder.breaches(), [], "{}", deployment.controllers.logs());
}

/// Guards against a recorder that misses breaches: the test above would then pass whatever the controllers do.
#[test]
fn the_recorder_reports_each_kind_of_breach_and_none_for_valid_events() {
    let mut valid = Recorder::default();
    valid.record_replica_start("job-000001/0", "n-1");
    valid.record_replica_start("job-000001/0", "n-2");
    valid.record_replica_stop(10, "job-000001/0", "n-1");
    valid.record_machine_lost("n-2");
    valid.record_replica_start("job-000001/0", "n-3");
    valid.record_cancel_request("job-000001");
    valid.record_replica_stop(20, "job-000001/0", "n-3");
    valid.record_completion("job-000002/0");
    valid.record_completion("job-000002/1");
    valid.record_status_answer("job-000002", "running");
    valid.record_status_answer("job-000002", "done");
    valid.record_status_answer("job-000002", "done");
    assert_eq!(valid.breaches(), []);

    let mut faulty = Recorder::default();
    faulty.record_replica_start("job-000001/0", "n-1");
    faulty.record_replica_stop(30, "job-000001/0", "n-1");
    faulty.record_completion("job-000002/0");
    faulty.record_completion("job-000002/0");
    faulty.record_status_answer("job-000003", "withdrawn");
    faulty.record_status_answer("job-000003", "done");
    let expected = [
        Breach::AvailabilityGap {
            replica: "job-000001/0".into(),
            from_ms: 30,
        },
        Breach::CompletedTwice {
            task: "job-000002/0".into(),
        },
        Breach::ConflictingFinalStatus {
            job: "job-000003".into(),
            first: "withdrawn".into(),
            then: "done".into(),
        },
    ];
    assert_eq!(faulty.breaches(), expected);
}
