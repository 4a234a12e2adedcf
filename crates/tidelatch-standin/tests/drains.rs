//! Drains of machines under one fault at a time.
//!
//! Guards against drains that exceed the budgets of the teams, that never end, or that leave machines cordoned.
//! Combinations of faults are in `drains_under_faults.rs`.

mod drain_support;

use drain_support::{DRAIN_MS, Deployment, LEASE_MS, operator, with_drain};
use serde_json::{Value, json};
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::is_stored_as_done;
use tidelatch_standin::{BudgetViolation, Delivery, InterruptionRecorder, faults};

fn drain_of_all_machines() -> Value {
    json!({ "name": "all", "machine_type": "m2", "surge": 1, "max_machines": 2 })
}

/// A deployment of three controllers that have just cordoned the first machine of a drain of all machines.
fn start_with_drain() -> Deployment {
    let mut deployment = Deployment::start(3);
    deployment.restart_all(&with_drain(&drain_of_all_machines()));
    let has_begun = |d: &Deployment| d.count_trace_lines("drain all: cordoned") > 0;
    assert!(deployment.run_until(60_000, has_begun), "{}", deployment.trace());
    deployment
}

/// Crashes the controllers one after the other and restarts each with these settings, 12 s apart.
fn restart_one_by_one(deployment: &mut Deployment, operator: &Operator) {
    for controller in 0..deployment.controllers {
        deployment.world.crash_controller(controller);
        deployment.world.set_operator(controller, operator);
        deployment.world.start_controller(controller);
        deployment.run(12_000);
    }
}

/// Guards against a drain whose progress is lost with the controllers that restart: a machine would be left over, or a
/// replica interrupted without a permit.
#[test]
fn all_machines_are_replaced_while_all_controllers_are_restarted_one_by_one() {
    let mut deployment = Deployment::start(3);
    let before = deployment.world.roster();
    restart_one_by_one(&mut deployment, &with_drain(&drain_of_all_machines()));
    restart_one_by_one(&mut deployment, &with_drain(&drain_of_all_machines()));
    deployment.assert_drain_ends("all", "one by one");
    deployment.run(20_000);
    let after = deployment.world.roster();
    assert!(
        before.iter().all(|machine| !after.contains(machine)),
        "{before:?} {after:?}"
    );
    let interruptions = deployment.recorder.interruptions();
    assert!(
        interruptions.len() >= 18,
        "each replica should leave its machine: {interruptions:?}"
    );
}

/// Guards against a crash of the leader and of an owner between two steps of a drain, after which the drain begins
/// anew, stops for ever or uses a permit twice.
#[test]
fn leader_and_owner_crash_at_any_step_of_a_drain() {
    for crash_after_ms in (0..24_000).step_by(1_500) {
        let mut deployment = start_with_drain();
        deployment.run(crash_after_ms);
        // The leader, which often owns machines under drain itself, and a second owner.
        let leader = deployment.world.leader().expect("there is a leader");
        deployment.world.crash_controller(leader);
        deployment.run(1_000);
        deployment.world.crash_controller((leader + 1) % 3);
        deployment.run(20_000);
        deployment.world.start_controller(leader);
        deployment.world.start_controller((leader + 1) % 3);
        deployment.assert_drain_ends("all", &format!("crash after {crash_after_ms} ms"));
        assert_eq!(
            deployment.count_trace_lines("drain all begins"),
            1,
            "{}",
            deployment.trace()
        );
    }
}

/// Guards against an owner that resumes after its lease has expired and uses a permit that it was granted before: its
/// successor may have granted the budget again.
#[test]
fn an_owner_paused_beyond_its_lease_uses_no_earlier_permit() {
    for pause_after_ms in (0..12_000).step_by(750) {
        let mut deployment = start_with_drain();
        deployment.run(pause_after_ms);
        for controller in 0..3 {
            deployment.world.pause(controller);
            deployment.run(LEASE_MS + 300);
            deployment.world.resume(controller);
            deployment.run(2_000);
        }
        deployment.assert_drain_ends("all", &format!("pause after {pause_after_ms} ms"));
    }
}

/// Guards against an eviction of a task that has run past its estimate while the patience of the drain lasts.
#[test]
fn a_drain_waits_for_an_array_within_its_patience() {
    let mut deployment = Deployment::start(3);
    deployment.world.run_ms = 60_000;
    deployment.submit_array(501, 1, 6);
    let runs = |d: &Deployment| d.world.running_tasks("job-000501") == 6;
    assert!(deployment.run_until(60_000, runs), "{}", deployment.trace());
    let drain = json!({ "name": "all", "surge": 1, "max_machines": 30, "patience_s": 600.0 });
    deployment.restart_all(&with_drain(&drain));
    deployment.assert_drain_ends("all", "patience of 600 s");
    // The tasks run for 60 s, far longer than their estimate of five seconds. An eviction would lose that work.
    assert_eq!(
        deployment.count_trace_lines("permit used: job-000501"),
        0,
        "{}",
        deployment.trace()
    );
}

/// Guards against a drain that waits for ever for a task that does not end.
#[test]
fn a_task_is_interrupted_after_the_patience_of_the_drain() {
    let mut deployment = Deployment::start(3);
    deployment.world.run_ms = 90_000;
    deployment.submit_array(501, 1, 4);
    let runs = |d: &Deployment| d.world.running_tasks("job-000501") == 4;
    assert!(deployment.run_until(60_000, runs), "{}", deployment.trace());
    let drain = json!({ "name": "all", "surge": 1, "max_machines": 30, "patience_s": 20.0 });
    deployment.restart_all(&with_drain(&drain));
    deployment.assert_drain_ends("all", "patience of 20 s");
    assert!(
        deployment.count_trace_lines("permit used: job-000501") > 0,
        "{}",
        deployment.trace()
    );
}

/// Guards against evictions from a machine whose replacement comes up late or never.
#[test]
fn late_and_missing_replacements_exceed_no_budget() {
    let mut deployment = start_with_drain();
    // Of the first three replacements two never come up and one takes four times as long as usual.
    deployment
        .world
        .cloud
        .next_boot_times_ms
        .extend([None, Some(12_000), None]);
    deployment.assert_drain_ends("all", "late replacements");
    assert!(
        deployment.count_trace_lines("never came up") > 0,
        "{}",
        deployment.trace()
    );
}

/// Guards against a drain that waits for ever for a replacement that the cloud reclaimed after it was ready.
#[test]
fn a_lost_replacement_is_replaced() {
    let mut deployment = start_with_drain();
    let ready = |d: &Deployment| d.count_trace_lines("replacement is ready") > 0;
    assert!(deployment.run_until(60_000, ready), "{}", deployment.trace());
    let line = deployment
        .trace()
        .lines()
        .find(|line| line.contains("replacement is ready"));
    let machine = line
        .and_then(|line| line.split(['(', ')']).nth(1))
        .expect("a machine")
        .to_owned();
    deployment.lose_machine(&machine);
    deployment.assert_drain_ends("all", "replacement lost");
}

/// Guards against evictions without replacements while the cloud has no machines to rent, and against a drain that does
/// not continue when it has.
#[test]
fn a_drain_waits_while_the_cloud_has_no_machines() {
    let mut deployment = Deployment::start(3);
    deployment.world.cloud.max_machines = deployment.world.cloud.machines.len();
    let drain = json!({ "name": "all", "surge": 2, "max_machines": 2 });
    deployment.restart_all(&with_drain(&drain));
    deployment.run(120_000);
    assert_eq!(deployment.recorder.interruptions(), [], "{}", deployment.trace());
    assert!(
        deployment.count_trace_lines("stands still: the cloud has no replacement yet") > 0,
        "{}",
        deployment.trace()
    );
    deployment.world.cloud.max_machines = 60;
    deployment.assert_drain_ends("all", "no machines in the cloud");
}

/// Guards against evictions that ignore the replicas of machines lost during the drain.
#[test]
fn machines_lost_during_a_drain_count_against_the_budget() {
    let mut deployment = start_with_drain();
    for _ in 0..3 {
        deployment.run(9_000);
        let active = deployment.drain_record("all").expect("the drain has a record")["active"].clone();
        if let Some(machine) = active[0]["m"].as_str() {
            deployment.lose_machine(machine);
        }
    }
    deployment.assert_drain_ends("all", "lost machines");
}

/// Guards against evictions while the replicas of a lost zone are unavailable, which have used up the budgets.
#[test]
fn a_drain_waits_until_the_replicas_of_a_lost_zone_run_again() {
    let mut deployment = start_with_drain();
    deployment.run(5_000);
    let lost: Vec<String> = deployment
        .world
        .workers
        .values()
        .filter(|w| w.zone == "b")
        .map(|w| w.name.clone())
        .collect();
    assert!(!lost.is_empty());
    for machine in lost {
        deployment.lose_machine(&machine);
    }
    deployment.assert_drain_ends("all", "a zone is lost");
}

/// Guards against machines that stay cordoned, and against evictions that continue, when a drain is removed from the
/// settings at any of its steps.
#[test]
fn a_drain_removed_from_the_settings_leaves_machines_in_service() {
    for removed_after_ms in [0, 4_000, 9_000, 15_000] {
        let mut deployment = start_with_drain();
        deployment.run(removed_after_ms);
        deployment.restart_all(&operator(&json!({})));
        let has_no_record = |d: &Deployment| d.world.store.keys("t/d/").is_empty();
        assert!(deployment.run_until(60_000, has_no_record), "{}", deployment.trace());
        assert!(
            deployment.run_until(120_000, Deployment::all_replicas_run),
            "{}",
            deployment.trace()
        );
        deployment.run(30_000);
        let interrupted = deployment.recorder.interruptions().len();
        let machines = deployment.world.roster();
        deployment.run(120_000);
        let drain_evictions = deployment.count_trace_lines("its machine is drained");
        assert!(
            interrupted <= drain_evictions + 2,
            "{interrupted} interruptions, {drain_evictions} evictions\n{}",
            deployment.trace()
        );
        assert!(!machines.is_empty());
        // The machines that were cordoned accept tasks again.
        assert!(deployment.all_replicas_run(), "{}", deployment.trace());
        deployment.assert_within_budgets("drain removed");
    }
}

/// Guards against a drain that begins before its `delay_s` is over, or not at all.
#[test]
fn a_delayed_drain_begins_after_the_leader_has_run_for_the_delay() {
    let mut deployment = Deployment::start(3);
    let drain = json!({ "name": "all", "surge": 1, "max_machines": 3, "delay_s": 60.0 });
    deployment.restart_all(&with_drain(&drain));
    deployment.run(59_000);
    assert_eq!(deployment.drain_record("all"), None);
    deployment.run(3_000);
    assert!(deployment.drain_record("all").is_some(), "{}", deployment.trace());
    deployment.assert_drain_ends("all", "delay");
}

/// Guards against two drains that select the same machine and wait for each other.
#[test]
fn two_drains_of_the_same_machines_both_end() {
    let mut deployment = Deployment::start(3);
    let before = deployment.world.roster();
    let drains = json!({ "drains": [
        { "name": "all", "surge": 1, "max_machines": 2 },
        { "name": "zone-a", "zone": "a", "surge": 1, "max_machines": 3 },
    ] });
    deployment.restart_all(&operator(&drains));
    deployment.assert_drain_ends("all", "two drains");
    deployment.assert_drain_ends("zone-a", "two drains");
    let after = deployment.world.roster();
    assert!(
        before.iter().all(|machine| !after.contains(machine)),
        "{before:?} {after:?}"
    );
}

/// Guards against permits of a cancelled job that are never returned: the drain could evict nothing more of the team.
#[test]
fn a_cancelled_job_returns_its_permits() {
    let mut deployment = start_with_drain();
    let permit_used = |d: &Deployment| d.count_trace_lines("permit used") > 0;
    assert!(deployment.run_until(60_000, permit_used), "{}", deployment.trace());
    let service = deployment.services.remove(0);
    let owner = deployment.world.owner_of_team(0);
    deployment.world.cancel(owner, &service);
    deployment.recorder.record_job_end(&service);
    // The machines of the team's other service are still drained.
    deployment.assert_drain_ends("all", "cancelled");
}

/// Guards against evictions during an upgrade while one controller has no budgets and so grants no permits for its
/// teams.
#[test]
fn machines_are_not_drained_while_a_controller_has_no_budgets() {
    let mut deployment = Deployment::start(3);
    let with_budgets = with_drain(&drain_of_all_machines());
    for controller in 0..3 {
        deployment.world.crash_controller(controller);
        let settings = if controller == 1 {
            Operator::default()
        } else {
            with_budgets.clone()
        };
        deployment.world.set_operator(controller, &settings);
        deployment.world.start_controller(controller);
        deployment.run(15_000);
    }
    deployment.run(120_000);
    assert!(!deployment.is_done("all"), "{}", deployment.trace());
    let record = deployment.drain_record("all").expect("the drain has a record");
    assert_eq!(record["active"], json!([]), "{}", deployment.trace());
    assert!(
        deployment
            .recorder
            .interruptions()
            .iter()
            .all(|i| !i.unit.starts_with("job-00001"))
    );
    // The drain continues once the last controller has budgets as well.
    deployment.world.crash_controller(1);
    deployment.world.set_operator(1, &with_budgets);
    deployment.world.start_controller(1);
    deployment.assert_drain_ends("all", "budgets turned on everywhere");
}

/// Guards against a leader that does not receive the heartbeats of an owner: no budget is exceeded, and the drain ends
/// after the network has recovered.
#[test]
fn a_one_way_cut_between_owner_and_leader_exceeds_no_budget_and_the_drain_ends_after_it() {
    let mut deployment = start_with_drain();
    let leader = deployment.world.leader().expect("there is a leader");
    deployment
        .world
        .set_fault_injector(faults::cut_direction((leader + 1) % 3, leader));
    deployment.run(120_000);
    // The leader rents the replacements that the owner needs, but does not receive the owner's requests for them.
    deployment.world.clear_fault_injector();
    deployment.assert_drain_ends("all", "one-way cut");
}

/// Guards against interruptions of a team whose budget allows none, and against a drain that stops for all other teams
/// because of it.
#[test]
fn a_team_with_a_budget_of_zero_is_not_interrupted() {
    let mut deployment = Deployment::start(3);
    let rules = json!({
        "budgets": [{ "team": "team-1", "max_unavailable": 0 }],
        "drains": [{ "name": "all", "surge": 1, "max_machines": 3 }],
    });
    deployment.restart_all(&operator(&rules));
    deployment.run(DRAIN_MS / 3);
    assert!(!deployment.is_done("all"), "{}", deployment.trace());
    let is_of_team = |unit: &str| unit.starts_with("job-00001");
    assert!(
        !deployment.recorder.interruptions().iter().any(|i| is_of_team(&i.unit)),
        "{}",
        deployment.trace()
    );
    assert!(deployment.recorder.interruptions().len() >= 6, "{}", deployment.trace());
    assert!(
        deployment.count_trace_lines("team-1/c: 1 units would be unavailable, 0 may be") > 0,
        "{}",
        deployment.trace()
    );
    deployment.assert_within_budgets("budget of zero");
}

/// Guards against a recorder that misses violations: the other tests would then pass whatever the controllers do.
#[test]
fn the_recorder_reports_each_kind_of_excess_and_none_for_allowed_interruptions() {
    let sample = |units: &[&str]| {
        units
            .iter()
            .map(|unit| ((*unit).to_owned(), "m-1".to_owned()))
            .collect()
    };
    let recorder = || {
        let mut recorder = InterruptionRecorder::new(100);
        recorder.set_budget("team", &["job-1", "job-2"], 1);
        recorder.record_running_units(0, sample(&["job-1/0", "job-1/1", "job-2/0"]));
        recorder
    };
    let mut allowed = recorder();
    allowed.record_running_units(10, sample(&["job-1/0", "job-1/1"]));
    allowed.record_running_units(20, sample(&["job-1/0", "job-1/1", "job-2/0"]));
    allowed.record_running_units(30, sample(&["job-1/1", "job-2/0"]));
    allowed.record_machine_lost("m-1");
    allowed.record_running_units(40, sample(&[]));
    assert_eq!(allowed.budget_violations(), []);
    assert_eq!(allowed.interruptions().len(), 2);

    let mut faulty = recorder();
    faulty.record_running_units(10, sample(&["job-2/0"]));
    let stopped = vec!["job-1/0".to_owned(), "job-1/1".to_owned()];
    let group = || "team".to_owned();
    assert_eq!(
        faulty.budget_violations(),
        [BudgetViolation::BudgetExceeded {
            group: group(),
            at_ms: 10,
            stopped
        }]
    );

    let mut faulty = recorder();
    faulty.record_session_lost("m-1");
    faulty.record_running_units(10, sample(&["job-1/1", "job-2/0"]));
    faulty.record_running_units(200, sample(&["job-1/1"]));
    let unit = "job-2/0".to_owned();
    assert_eq!(
        faulty.budget_violations(),
        [BudgetViolation::StoppedWhileBudgetSpent {
            group: group(),
            at_ms: 200,
            unit
        }]
    );
}

/// Guards against a leader that has written the record of a drain without receiving the answer: it would write the
/// record anew for ever, which can only fail.
#[test]
fn a_drain_continues_after_lost_answers_to_writes_of_its_record() {
    let mut deployment = Deployment::start(3);
    let mut lost = 0;
    deployment.world.set_fault_injector(move |message| {
        let writes_record = message.request == "POST /txn" && message.body.contains("t/d/all\"") && lost < 3;
        if writes_record {
            lost += 1;
            Delivery::AnswerLost
        } else {
            Delivery::Pass
        }
    });
    deployment.restart_all(&with_drain(&drain_of_all_machines()));
    deployment.assert_drain_ends("all", "answers lost");
}

/// Guards against other tasks on a replacement, which would leave no room for the tasks of the drained machine.
#[test]
fn a_replacement_is_reserved_for_the_tasks_of_the_drained_machine() {
    let mut deployment = Deployment::start(3);
    let rules = json!({
        "budgets": [{ "team": "team-1", "classes": ["c"], "max_unavailable": 0 }],
        "drains": [{ "name": "all", "surge": 9, "max_machines": 9 }],
    });
    deployment.restart_all(&operator(&rules));
    let ready =
        |d: &Deployment| d.count_trace_lines("berth-1: n-") > 0 && d.count_trace_lines("replacement is ready") >= 9;
    assert!(deployment.run_until(60_000, ready), "{}", deployment.trace());
    let replacements: Vec<String> = deployment
        .trace()
        .lines()
        .filter(|line| line.contains("berth-1: ") && line.contains("replacement is ready"))
        .filter_map(|line| Some(line.split(['(', ')']).nth(1)?.to_owned()))
        .collect();
    assert_eq!(replacements.len(), 3, "{}", deployment.trace());
    // The budget permits no eviction, so the replacements stay empty, even while another job of the team waits for
    // room.
    deployment.submit_array(501, 1, 8);
    assert!(
        deployment.run_until(90_000, |d| is_stored_as_done(&d.world, "job-000501")),
        "{}",
        deployment.trace()
    );
    for machine in replacements {
        assert_eq!(
            deployment.count_trace_lines(&format!("{machine} starts")),
            0,
            "{machine}: {}",
            deployment.trace()
        );
    }
    deployment.assert_within_budgets("replacements reserved");
}

/// Guards against machines that stay cordoned by owners that still have the drain in their settings, when only the
/// leader restarts without it.
#[test]
fn owners_return_machines_to_service_when_the_leader_drops_a_drain() {
    let mut deployment = Deployment::start(3);
    // The budget of one team permits no eviction, so that its machines stay cordoned.
    let rules = json!({
        "budgets": [{ "team": "team-1", "max_unavailable": 0 }],
        "drains": [{ "name": "all", "surge": 9, "max_machines": 9 }],
    });
    deployment.restart_all(&operator(&rules));
    let is_evicting = |d: &Deployment| {
        let mut lines = d.trace().lines().filter(|line| line.contains("berth-1: "));
        lines.any(|line| line.contains("drain all: evicting"))
    };
    assert!(deployment.run_until(60_000, is_evicting), "{}", deployment.trace());
    let cordoned = deployment.world.machines_of("job-000011");
    let leader = deployment.world.leader().expect("there is a leader");
    assert_ne!(leader, 1, "{}", deployment.trace());
    // The controller restarts at once, without the drain in its settings, and becomes leader again.
    deployment.world.crash_controller(leader);
    deployment.world.set_operator(leader, &operator(&json!({})));
    deployment.world.start_controller(leader);
    let is_back = |d: &Deployment| {
        d.count_trace_lines("berth-1: n-") > 0 && d.count_trace_lines("was withdrawn: back in service") > 0
    };
    assert!(deployment.run_until(60_000, is_back), "{}", deployment.trace());
    assert_eq!(deployment.world.store.keys("t/d/"), Vec::<String>::new());
    // The service ends and frees room on its machines. A machine that is still cordoned would not accept the tasks of
    // the array.
    let service = deployment.services[2].clone();
    let owner = deployment.world.owner_of_team(1);
    deployment.world.cancel(owner, &service);
    deployment.recorder.record_job_end(&service);
    deployment.services.remove(2);
    deployment.run(20_000);
    deployment.world.cloud.max_machines = deployment.world.cloud.machines.len();
    deployment.submit_array(501, 1, 6);
    let is_used = |d: &Deployment| {
        cordoned
            .iter()
            .any(|m| d.count_trace_lines(&format!("{m} starts job-000501")) > 0)
    };
    assert!(
        deployment.run_until(60_000, is_used),
        "cordoned: {cordoned:?}\n{}",
        deployment.trace()
    );
    deployment.assert_within_budgets("drain dropped by the leader");
}
