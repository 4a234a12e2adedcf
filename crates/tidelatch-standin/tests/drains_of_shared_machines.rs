//! Drains of machines that run tasks of several partitions. The owner of the machine requests a permit from the owner
//! of each team, in the heartbeats between controllers.
//!
//! Guards against permits that are used twice, lost for ever or used after a successor of the team's owner has granted
//! another: more replicas than the budget allows would be unavailable, or the drain would never end.

mod drain_support;

use drain_support::{DRAIN_MS, GRACE_MS, LEASE_MS, operator, with_drain};
use serde_json::json;
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::assert_no_breaches;
use tidelatch_standin::{Delivery, InterruptionRecorder, World, faults, job};

/// Services of teams 0, 1 and 2 with one replica each. The first two have a machine each; the third runs beside one of
/// them.
const SERVICES: [&str; 3] = ["job-000001", "job-000002", "job-000003"];

/// A machine that belongs to one partition and also runs a replica of another one.
struct SharedMachine {
    world: World,
    recorder: InterruptionRecorder,
    machine: String,
    /// The team of the replica that ran there before the third one came. Its owner is asked for permits.
    earlier_team: usize,
}

/// Starts a deployment with two machines and a replica on each. The replica of a third team is placed beside one of
/// them.
fn with_shared_machine() -> SharedMachine {
    let mut world = World::with_operator(&operator(&json!({})));
    world.cloud.max_machines = 2;
    world.run_for(3_000);
    for (team, id) in (0..).zip(SERVICES) {
        world.submit_until_accepted(0, &job(team + 1, team, "standing", 1));
        assert!(
            world.run_until(90_000, |w| w.running_tasks(id) == 1),
            "{}",
            world.trace()
        );
    }
    let machine = world.machines_of(SERVICES[2]).pop().expect("a machine");
    let is_on_machine = |id: &&str| world.machines_of(id).contains(&machine);
    let earlier_team = SERVICES[..2]
        .iter()
        .position(is_on_machine)
        .expect("a replica of team 0 or 1 on it");
    let mut recorder = InterruptionRecorder::new(GRACE_MS);
    for id in SERVICES {
        recorder.set_budget(id, &[id], 1);
    }
    SharedMachine {
        world,
        recorder,
        machine,
        earlier_team,
    }
}

impl SharedMachine {
    /// Lets `ms` milliseconds pass, and samples what runs every 20 ms.
    fn run(&mut self, ms: u64) {
        let until = self.world.now + ms;
        while self.world.now < until {
            self.world.run_for(20);
            self.recorder
                .record_running_units(self.world.now, self.world.machines_by_running_task());
        }
    }

    /// Crashes all controllers and restarts them with a drain of all machines. From here on the cloud has machines for
    /// replacements.
    fn restart_all_with_drain(&mut self, operator: &Operator) {
        self.world.cloud.max_machines = 6;
        for controller in 0..3 {
            self.world.crash_controller(controller);
            self.world.set_operator(controller, operator);
        }
        self.run(200);
        (0..3).for_each(|controller| self.world.start_controller(controller));
    }

    /// Whether the drain is stored as done.
    fn is_done(&self) -> bool {
        self.world
            .store
            .get("t/d/all")
            .is_some_and(|record| record["done"] == true)
    }

    /// Asserts that the drain ends, that all services run, that no budget was exceeded and that the machine is gone.
    fn assert_drain_ends(&mut self, case: &str) {
        let until = self.world.now + DRAIN_MS;
        let all_run = |w: &World| SERVICES.iter().all(|id| w.running_tasks(id) >= 1);
        while self.world.now < until && !(self.is_done() && all_run(&self.world)) {
            self.run(500);
        }
        assert!(
            self.is_done(),
            "{case}: the drain has not ended\n{}",
            self.world.trace()
        );
        assert!(all_run(&self.world), "{case}\n{}", self.world.trace());
        assert_eq!(self.recorder.budget_violations(), [], "{case}\n{}", self.world.trace());
        assert_no_breaches(&self.world);
        assert!(!self.world.cloud.machines.contains_key(&self.machine), "{case}");
    }

    /// Counts the permits in the trace that another controller granted.
    fn count_permits_of_other_owners(&self) -> usize {
        self.world.trace().matches("; permitted by berth-").count()
    }
}

fn drain_of_all() -> Operator {
    with_drain(&json!({ "name": "all", "surge": 1, "max_machines": 2 }))
}

/// Guards against an eviction of a replica of another partition without a permit of the owner of its team.
#[test]
fn the_machine_owner_uses_a_permit_of_the_team_owner() {
    let mut shared = with_shared_machine();
    shared.restart_all_with_drain(&drain_of_all());
    shared.assert_drain_ends("no faults");
    assert_eq!(shared.count_permits_of_other_owners(), 1, "{}", shared.world.trace());
}

/// Guards against a permit that is granted twice or lost when its requester, its grantor or both crash during the
/// exchange.
#[test]
fn any_two_controllers_crash_at_any_step_of_a_permit_exchange() {
    // Each pair of the three controllers: the machine's owner, the team's owner and the third one.
    for remaining in 0..3 {
        for crash_after_ms in (8_000..20_000).step_by(1_500) {
            let mut shared = with_shared_machine();
            shared.restart_all_with_drain(&drain_of_all());
            shared.run(crash_after_ms);
            let crashed = [(remaining + 1) % 3, (remaining + 2) % 3];
            for controller in crashed {
                shared.world.crash_controller(controller);
                shared.run(700);
            }
            shared.run(LEASE_MS);
            crashed
                .iter()
                .for_each(|controller| shared.world.start_controller(*controller));
            shared.assert_drain_ends(&format!("{crashed:?} crash after {crash_after_ms} ms"));
        }
    }
}

/// Guards against a requester or grantor that resumes after its lease and continues an exchange that its successor has
/// begun anew.
#[test]
fn any_two_controllers_pause_at_any_step_of_a_permit_exchange() {
    for controller in 0..3 {
        for pause_after_ms in (8_000..20_000).step_by(1_000) {
            let mut shared = with_shared_machine();
            shared.restart_all_with_drain(&drain_of_all());
            shared.run(pause_after_ms);
            shared.world.pause(controller);
            shared.run(LEASE_MS / 2);
            shared.world.pause((controller + 1) % 3);
            shared.run(LEASE_MS);
            shared.world.resume(controller);
            shared.run(1_000);
            shared.world.resume((controller + 1) % 3);
            shared.assert_drain_ends(&format!("berth-{controller} pauses after {pause_after_ms} ms"));
        }
    }
}

/// Guards against an old request that is taken for a new one, and an old grant that is used again, on a peer network
/// that loses, delays, duplicates and reorders messages.
#[test]
fn lost_late_duplicated_and_reordered_permit_requests_and_grants() {
    for seed in 1..=20 {
        let mut shared = with_shared_machine();
        shared.restart_all_with_drain(&drain_of_all());
        shared.run(6_000);
        shared.world.set_fault_injector(faults::unreliable_peer_network(seed));
        shared.run(60_000);
        shared.world.clear_fault_injector();
        shared.assert_drain_ends(&format!("seed {seed}"));
    }
}

/// Guards against a machine owner that interrupts a replica of another partition although the budget of the replica's
/// team allows no interruption.
#[test]
fn a_team_with_a_budget_of_zero_keeps_its_replica_on_a_machine_of_another_partition() {
    let mut shared = with_shared_machine();
    let team = format!("team-{}", shared.earlier_team);
    let rules = json!({
        "budgets": [{ "team": team, "max_unavailable": 0 }],
        "drains": [{ "name": "all", "surge": 1, "max_machines": 2 }],
    });
    shared.restart_all_with_drain(&operator(&rules));
    shared.run(DRAIN_MS / 4);
    assert!(!shared.is_done());
    assert_eq!(shared.count_permits_of_other_owners(), 0);
    let earlier_replica = format!("{}/0", SERVICES[shared.earlier_team]);
    assert!(
        !shared
            .recorder
            .interruptions()
            .iter()
            .any(|i| i.unit == earlier_replica),
        "{}",
        shared.world.trace()
    );
}

/// Guards against an eviction during an upgrade, while the owner of the team has budgets turned off and grants no
/// permits, and against a drain that does not continue afterwards.
#[test]
fn a_controller_without_budgets_is_not_asked_for_permits() {
    let mut shared = with_shared_machine();
    let owner = shared.world.owner_of_team(shared.earlier_team);
    let with_budgets = drain_of_all();
    shared.restart_all_with_drain(&with_budgets);
    // The team's owner restarts with budgets turned off.
    shared.world.crash_controller(owner);
    shared.world.set_operator(owner, &Operator::default());
    shared.world.start_controller(owner);
    shared.run(DRAIN_MS / 4);
    assert_eq!(shared.count_permits_of_other_owners(), 0, "{}", shared.world.trace());
    let earlier_replica = format!("{}/0", SERVICES[shared.earlier_team]);
    assert!(
        !shared
            .recorder
            .interruptions()
            .iter()
            .any(|i| i.unit == earlier_replica),
        "{}",
        shared.world.trace()
    );
    shared.world.crash_controller(owner);
    shared.world.set_operator(owner, &with_budgets);
    shared.world.start_controller(owner);
    shared.assert_drain_ends("budgets are turned on everywhere");
}

/// Starts a service of team 0 with two replicas on a machine each. One of the machines, with its replica, has moved to
/// partition 2.
fn with_one_replica_on_a_machine_of_partition_2() -> (World, String) {
    let mut world = World::with_operator(&operator(&json!({})));
    world.cloud.max_machines = 3;
    world.run_for(3_000);
    let service_with_cpus = |id, team, tasks, cpus: f64| {
        let mut service = job(id, team, "standing", tasks);
        service["vcpus"] = json!(cpus);
        service
    };
    for (service, replicas) in [
        (service_with_cpus(1, 0, 2, 13.0), 2),
        (service_with_cpus(2, 1, 1, 20.0), 1),
        (service_with_cpus(3, 2, 1, 8.0), 1),
    ] {
        world.submit_until_accepted(0, &service);
        let id = service["uid"].as_str().expect("an id");
        assert!(
            world.run_until(90_000, |w| w.running_tasks(id) == replicas),
            "{}",
            world.trace()
        );
    }
    let machine = world.machines_of("job-000003").pop().expect("a machine");
    assert!(world.machines_of("job-000001").contains(&machine), "{}", world.trace());
    (world, machine)
}

/// Guards against a stop that was permitted by an earlier owner of the team and is delayed on its way to the machine.
/// The successor does not know of it and permits the stop of the other replica, so that both would be unavailable.
#[test]
fn a_stop_permitted_by_an_earlier_owner_is_revoked_when_its_successor_permits_another() {
    let (world, machine) = with_one_replica_on_a_machine_of_partition_2();
    let mut recorder = InterruptionRecorder::new(GRACE_MS);
    recorder.set_budget("job-000001", &["job-000001"], 1);
    let mut shared = SharedMachine {
        world,
        recorder,
        machine: machine.clone(),
        earlier_team: 0,
    };
    // Commands of the machine's owner do not reach the machine, and the owner exchanges no messages with the team's
    // next owner. It still learns what runs there by polling the machine's status, as do all other controllers.
    let cut = move |message: &tidelatch_standin::Message<'_>| {
        let pair = [message.from, message.to];
        let is_between_peers = pair == ["berth-1", "berth-2"] || pair == ["berth-2", "berth-1"];
        let is_order = message.from == "berth-2" && message.to == machine && message.request != "GET /status";
        let is_report = message.from == machine && message.to == "berth-2";
        let is_relay = message.to == "berth-2" && message.request == "relay";
        if is_order || is_report || is_relay || is_between_peers {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    };
    let zone = shared.world.workers[&shared.machine].zone.clone();
    let other = if zone == "a" { "b" } else { "a" };
    // The machine of the other replica is drained 15 s later, when the team has another owner.
    shared.restart_all_with_drain(&operator(&json!({ "drains": [
        { "name": "all", "zone": zone, "surge": 1, "max_machines": 1 },
        { "name": "rest", "zone": other, "surge": 0, "max_machines": 4, "delay_s": 15.0 },
    ] })));
    shared.run(7_500);
    shared.world.set_fault_injector(cut);
    let has_permit = |s: &SharedMachine| s.count_permits_of_other_owners() > 0;
    let has_successor_used_permit = |s: &SharedMachine| {
        let mut lines = s.world.trace().lines().filter(|line| line.contains("berth-1: "));
        lines.any(|line| line.contains("permit used: job-000001/"))
    };
    for _ in 0..600 {
        if has_permit(&shared) {
            break;
        }
        shared.run(20);
    }
    assert!(has_permit(&shared), "{}", shared.world.trace());
    assert_eq!(
        shared.world.running_tasks("job-000001"),
        2,
        "the stop should not have arrived yet"
    );
    shared.world.crash_controller(0);
    for _ in 0..3_000 {
        if has_successor_used_permit(&shared) {
            break;
        }
        shared.run(20);
    }
    assert!(has_successor_used_permit(&shared), "{}", shared.world.trace());
    // Without the revocation the stop that the earlier owner permitted would arrive now, while the other replica is
    // unavailable.
    shared.world.clear_fault_injector();
    shared.run(20_000);
    shared.world.start_controller(0);
    shared.assert_drain_ends("earlier stop revoked");
}

/// Guards against a permit that counts as used for ever because the answer to its holder was lost and the holder
/// crashed: the next owner of the machine would get no permit for that replica.
#[test]
fn a_permit_whose_holder_crashes_before_it_learns_of_it_is_released() {
    let mut shared = with_shared_machine();
    shared.restart_all_with_drain(&drain_of_all());
    shared.run(6_000);
    // The machine's owner requests a permit, the team's owner grants it, and the answers are lost.
    let team_owner = format!("berth-{}", shared.world.owner_of_team(shared.earlier_team));
    let machine_owner = shared.world.owner_of_team(2);
    let requester = format!("berth-{machine_owner}");
    shared.world.set_fault_injector(move |message| {
        let is_request = message.from == requester && message.to == team_owner && message.request == "hello";
        if is_request {
            Delivery::AnswerLost
        } else {
            Delivery::Pass
        }
    });
    shared.run(15_000);
    assert_eq!(shared.count_permits_of_other_owners(), 0, "{}", shared.world.trace());
    shared.world.crash_controller(machine_owner);
    shared.world.clear_fault_injector();
    shared.assert_drain_ends("permit holder crashed");
}
