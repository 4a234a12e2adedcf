//! Four controller processes on 127.0.0.1 drain twelve workers, while the leader is killed, a team's owner is frozen,
//! another owner is disconnected from the state service, and one controller is killed right after it used a permit.
//!
//! Guards against permits that are used after their lease or are counted twice by a successor: more replicas would be
//! interrupted at once than the budgets allow. A recorder that shares no code with the controllers checks the events in
//! the order in which they occurred.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};
use tidelatch_standin::loopback::{Breach, CONTROLLER_LEASE_MS, Clock, Controllers, ReplicaEvent, Services, Users};
use tidelatch_standin::{InterruptionRecorder, job};

const CONTROLLERS: usize = 4;
/// Replicas of each service.
const REPLICAS: u32 = 3;
/// Workers at the beginning: two replicas share a machine.
const WORKERS: usize = 12;
/// Time within which every awaited event must occur, also on the slowest machine that runs the tests.
const EVENT_TIMEOUT: Duration = Duration::from_secs(120);
/// Seconds from the submission of an array to its deadline.
const DEADLINE_S: f64 = 90.0;

/// Four controller processes, simulated services around them, and users who submit and poll jobs.
struct Deployment {
    services: Services,
    controllers: Controllers,
    users: Users,
    next_job: u32,
    /// Services: team and id.
    replicas: Vec<(usize, String)>,
    /// Arrays that are not reported as done yet, with the time of submission.
    arrays: Vec<(String, Instant)>,
    /// Arrays that were reported to their users as done, with the time from submission to that report.
    done: Vec<(String, Duration)>,
}

impl Deployment {
    /// Starts the services, and controllers with budgets and without drains.
    fn start() -> Self {
        let services = Services::start(Clock::start()).expect("the stand-ins listen");
        let program = Path::new(env!("CARGO_BIN_EXE_tidelatch"));
        let operator = include_str!("../../../deploy/disruption.json");
        let controllers =
            Controllers::start(program, operator, CONTROLLERS, &services).expect("the controllers come up");
        let users = Users::start(&controllers.addresses, &services);
        Self {
            services,
            controllers,
            users,
            next_job: 1,
            replicas: Vec::new(),
            arrays: Vec::new(),
            done: Vec::new(),
        }
    }

    /// Submits a job and returns its id. Arrays get a deadline.
    fn submit(&mut self, team: usize, shape: &str, tasks: u32) -> String {
        let mut body: Value = job(self.next_job, team as u32, shape, tasks);
        if shape == "sweep" {
            body["dueS"] = json!(DEADLINE_S);
        }
        self.next_job += 1;
        assert!(self.users.submit(&self.services, &body), "{}", self.controllers.logs());
        body["uid"].as_str().expect("an id").to_owned()
    }

    /// Submits an array for each team.
    fn submit_arrays(&mut self) {
        for team in 0..CONTROLLERS {
            let array = self.submit(team, "sweep", 2);
            self.arrays.push((array, Instant::now()));
        }
    }

    /// Moves arrays that were reported as done from `arrays` to `done`.
    fn record_finished_arrays(&mut self) {
        let (users, done) = (&self.users, &mut self.done);
        self.arrays.retain(|(array, submitted)| {
            let is_done = users.is_done(array);
            if is_done {
                done.push((array.clone(), submitted.elapsed()));
            }
            !is_done
        });
    }

    /// Waits until a condition is met, and fails with `what`, the state of the services and all logs if it is not in
    /// time.
    fn wait_for(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while !condition(self) {
            let state = || format!("{}\n{}", self.services.describe_workers(), self.controllers.logs());
            assert!(
                Instant::now() < deadline,
                "timed out while waiting for {what}:\n{}",
                state()
            );
            self.record_finished_arrays();
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Counts occurrences of a text in the logs of all controllers.
    fn count_in_all_logs(&self, text: &str) -> usize {
        (0..CONTROLLERS)
            .map(|i| self.controllers.log(i).matches(text).count())
            .sum()
    }

    /// Whether every service has all its replicas running.
    fn all_replicas_run(&self) -> bool {
        let runs = |(_, job): &(usize, String)| self.services.running_tasks(job) == REPLICAS as usize;
        self.replicas.iter().all(runs)
    }

    /// Whether the drain is stored as done.
    fn is_drained(&self) -> bool {
        self.services
            .drain_record("all")
            .is_some_and(|head| head["done"] == true)
    }

    /// Waits for the next permit that is used, and returns the controller that used it.
    fn next_permit(&mut self) -> usize {
        let count = |d: &Self, i: usize| d.controllers.log(i).matches("permit used").count();
        let before: Vec<usize> = (0..CONTROLLERS).map(|i| count(self, i)).collect();
        let used = |d: &Self| (0..CONTROLLERS).find(|i| count(d, *i) > before[*i]);
        self.wait_for("a permit", |d| used(d).is_some());
        used(self).expect("a permit was used")
    }

    /// Machines that controllers gave up as failed. The end of what ran there does not count as an interruption by
    /// choice.
    fn machines_given_up(&self) -> BTreeSet<String> {
        let logs = self.controllers.logs();
        let lines = logs.lines().filter(|line| line.contains("giving it up"));
        let machines = lines.filter_map(|line| line.split_whitespace().find(|word| word.starts_with("n-")));
        machines
            .map(|machine| machine.trim_end_matches(':').to_owned())
            .collect()
    }

    /// Feeds all events in their order to a recorder with a budget of one unavailable replica for each team.
    fn check_interruptions(&self) -> InterruptionRecorder {
        let machines_given_up = self.machines_given_up();
        let mut recorder = InterruptionRecorder::new(CONTROLLER_LEASE_MS);
        for team in 0..CONTROLLERS {
            let services_of_team = self.replicas.iter().filter(|(t, _)| *t == team);
            let jobs: Vec<&str> = services_of_team.map(|(_, job)| job.as_str()).collect();
            recorder.set_budget(&format!("team-{team}"), &jobs, 1);
        }
        for event in self.services.replica_history() {
            match event {
                ReplicaEvent::Running { at_ms, replicas } => recorder.record_running_units(at_ms, replicas),
                ReplicaEvent::SessionEnded { machine } => recorder.record_session_lost(&machine),
                ReplicaEvent::Deleted { machine } if machines_given_up.contains(&machine) => {
                    recorder.record_session_lost(&machine)
                }
                ReplicaEvent::Deleted { .. } => {}
            }
        }
        recorder
    }
}

/// Guards against a drain that exceeds a budget, completes a task twice, delays arrays past their deadline or never
/// ends when controllers fail between the grant and the use of a permit.
#[test]
fn twelve_workers_are_drained_within_budgets_while_controllers_are_killed_frozen_and_cut_off() {
    let mut deployment = Deployment::start();
    for team in 0..CONTROLLERS {
        for _ in 0..2 {
            let job = deployment.submit(team, "standing", REPLICAS);
            deployment.replicas.push((team, job));
        }
    }
    deployment.wait_for("all replicas to run", Deployment::all_replicas_run);
    let before: BTreeSet<String> = deployment.services.roster().into_iter().collect();
    assert!(before.len() >= WORKERS, "{before:?}");

    // All controllers are killed and restarted with the drain in their settings.
    let mut operator: Value = serde_json::from_str(include_str!("../../../deploy/disruption.json")).expect("JSON");
    operator["disruption"]["drains"] =
        json!([{ "name": "all", "machine_type": "m2", "surge": 2, "max_machines": 3, "patience_s": 30.0 }]);
    deployment
        .controllers
        .set_operator(&operator.to_string())
        .expect("it is written");
    for index in 0..CONTROLLERS {
        deployment.controllers.kill(index).expect("it runs");
        deployment.controllers.restart(index).expect("it starts");
    }
    deployment.next_permit();
    deployment.submit_arrays();

    // The leader is killed.
    let epoch = deployment.services.epoch();
    let leader = deployment.services.leader().expect("there is a leader");
    deployment.controllers.kill(leader).expect("it runs");
    deployment.wait_for("a takeover", |d| d.services.epoch() > epoch);
    deployment.controllers.restart(leader).expect("it starts");
    deployment.next_permit();

    // The owner of a team is frozen for longer than its lease and then resumed.
    let epoch = deployment.services.epoch();
    let owner = deployment.services.owner_of_team(1).expect("it has an owner");
    deployment.controllers.processes[owner].pause().expect("it runs");
    deployment.wait_for("a takeover", |d| d.services.epoch() > epoch);
    deployment.submit_arrays();
    deployment.controllers.processes[owner].resume().expect("it runs");
    deployment.next_permit();

    // The owner of another team is disconnected from the state service.
    let epoch = deployment.services.epoch();
    let owner = deployment.services.owner_of_team(2).expect("it has an owner");
    deployment.controllers.cut_state_service(owner);
    deployment.wait_for("a takeover", |d| d.services.epoch() > epoch);
    deployment.controllers.heal();

    // The next controller that uses a permit is killed right after it.
    let permit_user = deployment.next_permit();
    deployment.controllers.kill(permit_user).expect("it runs");
    deployment.submit_arrays();
    std::thread::sleep(Duration::from_millis(CONTROLLER_LEASE_MS));
    deployment.controllers.restart(permit_user).expect("it starts");

    deployment.wait_for("the end of the drain", Deployment::is_drained);
    deployment.wait_for("all replicas to run again", Deployment::all_replicas_run);
    deployment.wait_for("the end of all arrays", |d| d.arrays.is_empty());

    let after: BTreeSet<String> = deployment.services.roster().into_iter().collect();
    assert!(before.is_disjoint(&after), "{before:?} {after:?}");
    let recorder = deployment.check_interruptions();
    assert_eq!(recorder.budget_violations(), [], "{}", deployment.controllers.logs());
    let replicas = 2 * CONTROLLERS * REPLICAS as usize;
    assert!(
        recorder.interruptions().len() >= replicas,
        "{:?}",
        recorder.interruptions()
    );
    let late: Vec<_> = deployment
        .done
        .iter()
        .filter(|(_, time)| time.as_secs_f64() > DEADLINE_S)
        .collect();
    assert!(late.is_empty(), "{late:?}\n{}", deployment.controllers.logs());
    let is_duplicate = |breach: &&Breach| !matches!(breach, Breach::AvailabilityGap { .. });
    let answers = deployment.services.recorder();
    let answers = answers.lock().expect("no thread has failed");
    let duplicates: Vec<&Breach> = answers.breaches().iter().filter(is_duplicate).collect();
    assert!(
        duplicates.is_empty(),
        "{duplicates:?}\n{}",
        deployment.controllers.logs()
    );
    assert!(deployment.count_in_all_logs("permit used") >= replicas);
}
