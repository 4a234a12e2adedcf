//! Machines are drained in steps, within the teams' budgets, whatever else happens: each trouble alone.

mod drain_support;

use drain_support::{DRAIN_MS, Deployment, LEASE_MS, operator, with_drain};
use serde_json::{Value, json};
use tidelatch_core::settings::Operator;
use tidelatch_standin::support::is_done;
use tidelatch_standin::{Delivery, Excess, InterruptionRecorder, faults};

fn all_machines() -> Value {
    json!({ "name": "all", "machine_type": "m2", "surge": 1, "max_machines": 2 })
}

/// A deployment of three controllers whose drain of all machines has just begun.
fn drained() -> Deployment {
    let mut deployment = Deployment::start(3);
    deployment.restart_all(&with_drain(&all_machines()));
    let begun = |d: &Deployment| d.says("drain all: cordoned") > 0;
    assert!(deployment.run_until(60_000, begun), "{}", deployment.trace());
    deployment
}

/// All controllers are replaced one after the other by ones with these settings.
fn upgrade(deployment: &mut Deployment, operator: &Operator) {
    for node in 0..deployment.controllers {
        deployment.world.crash(node);
        deployment.world.operator(node, operator);
        deployment.world.start(node);
        deployment.run(12_000);
    }
}

#[test]
fn all_machines_are_replaced_while_all_controllers_are_restarted_one_by_one() {
    let mut deployment = Deployment::start(3);
    let before = deployment.world.roster();
    upgrade(&mut deployment, &with_drain(&all_machines()));
    upgrade(&mut deployment, &with_drain(&all_machines()));
    deployment.assert_ends("all", "one by one");
    deployment.run(20_000);
    let after = deployment.world.roster();
    assert!(
        before.iter().all(|machine| !after.contains(machine)),
        "{before:?} {after:?}"
    );
    let interruptions = deployment.recorder.interruptions();
    assert!(
        interruptions.len() >= 18,
        "each replica left its machine: {interruptions:?}"
    );
}

#[test]
fn the_leader_or_an_owner_ends_at_any_step_of_a_drain() {
    for ends_after_ms in (0..24_000).step_by(1_500) {
        let mut deployment = drained();
        deployment.run(ends_after_ms);
        // A controller that owns machines under drain, and the leader: often the same one.
        let leader = deployment.world.leader().expect("there is a leader");
        deployment.world.crash(leader);
        deployment.run(1_000);
        deployment.world.crash((leader + 1) % 3);
        deployment.run(20_000);
        deployment.world.start(leader);
        deployment.world.start((leader + 1) % 3);
        deployment.assert_ends("all", &format!("ends after {ends_after_ms} ms"));
        assert_eq!(deployment.says("drain all begins"), 1, "{}", deployment.trace());
    }
}

#[test]
fn an_owner_that_pauses_beyond_its_lease_uses_no_permit_of_before() {
    for pauses_after_ms in (0..12_000).step_by(750) {
        let mut deployment = drained();
        deployment.run(pauses_after_ms);
        for node in 0..3 {
            deployment.world.freeze(node);
            deployment.run(LEASE_MS + 300);
            deployment.world.thaw(node);
            deployment.run(2_000);
        }
        deployment.assert_ends("all", &format!("pauses after {pauses_after_ms} ms"));
    }
}

#[test]
fn a_replay_that_is_nearly_finished_is_waited_for() {
    let mut deployment = Deployment::start(3);
    deployment.world.run_ms = 60_000;
    deployment.submit_array(501, 1, 6);
    let runs = |d: &Deployment| d.world.running("job-000501") == 6;
    assert!(deployment.run_until(60_000, runs), "{}", deployment.trace());
    let drain = json!({ "name": "all", "surge": 1, "max_machines": 30, "patience_s": 600.0 });
    deployment.restart_all(&with_drain(&drain));
    deployment.assert_ends("all", "replay");
    // The estimate of five seconds is over long before its tasks end: what has run would be lost.
    assert_eq!(deployment.says("permit used: job-000501"), 0, "{}", deployment.trace());
}

#[test]
fn a_task_that_does_not_end_is_interrupted_when_patience_is_over() {
    let mut deployment = Deployment::start(3);
    deployment.world.run_ms = 90_000;
    deployment.submit_array(501, 1, 4);
    let runs = |d: &Deployment| d.world.running("job-000501") == 4;
    assert!(deployment.run_until(60_000, runs), "{}", deployment.trace());
    let drain = json!({ "name": "all", "surge": 1, "max_machines": 30, "patience_s": 20.0 });
    deployment.restart_all(&with_drain(&drain));
    deployment.assert_ends("all", "patience");
    assert!(deployment.says("permit used: job-000501") > 0, "{}", deployment.trace());
}

#[test]
fn replacements_that_are_late_or_never_come_up_evict_nothing() {
    let mut deployment = drained();
    // The drain's first replacements: one never comes up, one takes four times as long as usual.
    deployment.world.cloud.next_boots.extend([None, Some(12_000), None]);
    deployment.assert_ends("all", "late replacements");
    assert!(deployment.says("never came up") > 0, "{}", deployment.trace());
}

#[test]
fn a_replacement_that_is_taken_back_is_replaced_itself() {
    let mut deployment = drained();
    let ready = |d: &Deployment| d.says("replacement is ready") > 0;
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
    deployment.assert_ends("all", "taken back");
}

#[test]
fn a_cloud_that_refuses_stops_the_drain_until_it_does_not() {
    let mut deployment = Deployment::start(3);
    deployment.world.cloud.most = deployment.world.cloud.machines.len();
    let drain = json!({ "name": "all", "surge": 2, "max_machines": 2 });
    deployment.restart_all(&with_drain(&drain));
    deployment.run(120_000);
    assert_eq!(deployment.recorder.interruptions(), [], "{}", deployment.trace());
    assert!(
        deployment.says("stands still: the cloud has no replacement yet") > 0,
        "{}",
        deployment.trace()
    );
    deployment.world.cloud.most = 60;
    deployment.assert_ends("all", "refused");
}

#[test]
fn machines_that_are_lost_under_drain_use_up_the_budget() {
    let mut deployment = drained();
    for _ in 0..3 {
        deployment.run(9_000);
        let active = deployment.head("all").expect("it runs")["active"].clone();
        if let Some(machine) = active[0]["m"].as_str() {
            deployment.lose_machine(machine);
        }
    }
    deployment.assert_ends("all", "lost machines");
}

#[test]
fn a_zone_that_is_lost_under_drain_stops_it_until_what_it_held_runs_again() {
    let mut deployment = drained();
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
    deployment.assert_ends("all", "a zone is lost");
}

#[test]
fn a_drain_that_is_withdrawn_leaves_machines_in_service() {
    for withdrawn_after_ms in [0, 4_000, 9_000, 15_000] {
        let mut deployment = drained();
        deployment.run(withdrawn_after_ms);
        deployment.restart_all(&operator(&json!({})));
        let gone = |d: &Deployment| d.world.store.keys("t/d/").is_empty();
        assert!(deployment.run_until(60_000, gone), "{}", deployment.trace());
        assert!(
            deployment.run_until(120_000, Deployment::all_run),
            "{}",
            deployment.trace()
        );
        deployment.run(30_000);
        let interrupted = deployment.recorder.interruptions().len();
        let machines = deployment.world.roster();
        deployment.run(120_000);
        let of_drain = deployment.says("its machine is drained");
        assert!(
            interrupted <= of_drain + 2,
            "{interrupted} {of_drain}\n{}",
            deployment.trace()
        );
        assert!(!machines.is_empty());
        // What was cordoned takes work again: no new machine is needed for it.
        assert!(deployment.all_run(), "{}", deployment.trace());
        deployment.assert_within_budgets("withdrawn");
    }
}

#[test]
fn a_drain_with_a_delay_begins_when_the_leader_has_run_for_that_long() {
    let mut deployment = Deployment::start(3);
    let drain = json!({ "name": "all", "surge": 1, "max_machines": 3, "delay_s": 60.0 });
    deployment.restart_all(&with_drain(&drain));
    deployment.run(59_000);
    assert_eq!(deployment.head("all"), None);
    deployment.run(3_000);
    assert!(deployment.head("all").is_some(), "{}", deployment.trace());
    deployment.assert_ends("all", "delay");
}

#[test]
fn two_drains_over_the_same_machines_end() {
    let mut deployment = Deployment::start(3);
    let before = deployment.world.roster();
    let drains = json!({ "drains": [
        { "name": "all", "surge": 1, "max_machines": 2 },
        { "name": "zone-a", "zone": "a", "surge": 1, "max_machines": 3 },
    ] });
    deployment.restart_all(&operator(&drains));
    deployment.assert_ends("all", "two drains");
    deployment.assert_ends("zone-a", "two drains");
    let after = deployment.world.roster();
    assert!(
        before.iter().all(|machine| !after.contains(machine)),
        "{before:?} {after:?}"
    );
}

#[test]
fn a_job_that_is_cancelled_while_permits_are_out_returns_them() {
    let mut deployment = drained();
    let used = |d: &Deployment| d.says("permit used") > 0;
    assert!(deployment.run_until(60_000, used), "{}", deployment.trace());
    let service = deployment.services.remove(0);
    let owner = deployment.world.owner_of_team(0);
    deployment.world.withdraw(owner, &service);
    deployment.recorder.job_over(&service);
    // The team's other service goes on being drained.
    deployment.assert_ends("all", "cancelled");
}

#[test]
fn controllers_that_know_no_budgets_keep_their_machines() {
    let mut deployment = Deployment::start(3);
    let with = with_drain(&all_machines());
    for node in 0..3 {
        deployment.world.crash(node);
        let settings = if node == 1 { Operator::default() } else { with.clone() };
        deployment.world.operator(node, &settings);
        deployment.world.start(node);
        deployment.run(15_000);
    }
    deployment.run(120_000);
    assert!(!deployment.is_done("all"), "{}", deployment.trace());
    let head = deployment.head("all").expect("it was begun");
    assert_eq!(head["active"], json!([]), "{}", deployment.trace());
    assert!(
        deployment
            .recorder
            .interruptions()
            .iter()
            .all(|i| !i.unit.starts_with("job-00001"))
    );
    // It goes on once the last one knows them as well.
    deployment.world.crash(1);
    deployment.world.operator(1, &with);
    deployment.world.start(1);
    deployment.assert_ends("all", "mixed");
}

#[test]
fn a_cut_between_the_leader_and_an_owner_breaks_no_budget_and_the_drain_goes_on_after_it() {
    let mut deployment = drained();
    let leader = deployment.world.leader().expect("there is a leader");
    deployment.world.meddle(faults::one_way((leader + 1) % 3, leader));
    deployment.run(120_000);
    // What the owner needs is rented by the leader, which does not hear of it.
    deployment.world.calm();
    deployment.assert_ends("all", "one way");
}

#[test]
fn a_production_class_with_a_budget_of_none_is_left_alone() {
    let mut deployment = Deployment::start(3);
    let rules = json!({
        "budgets": [{ "team": "team-1", "max_unavailable": 0 }],
        "drains": [{ "name": "all", "surge": 1, "max_machines": 3 }],
    });
    deployment.restart_all(&operator(&rules));
    deployment.run(DRAIN_MS / 3);
    assert!(!deployment.is_done("all"), "{}", deployment.trace());
    let touched = |unit: &str| unit.starts_with("job-00001");
    assert!(
        !deployment.recorder.interruptions().iter().any(|i| touched(&i.unit)),
        "{}",
        deployment.trace()
    );
    assert!(deployment.recorder.interruptions().len() >= 6, "{}", deployment.trace());
    assert!(
        deployment.says("team-1/c: 1 units would be unavailable, 0 may be") > 0,
        "{}",
        deployment.trace()
    );
    deployment.assert_within_budgets("none");
}

#[test]
fn the_recorder_finds_one_excess_of_each_kind_and_none_in_what_is_lawful() {
    let sample = |units: &[&str]| {
        units
            .iter()
            .map(|unit| ((*unit).to_owned(), "m-1".to_owned()))
            .collect()
    };
    let recorder = || {
        let mut recorder = InterruptionRecorder::new(100);
        recorder.limit("team", &["job-1", "job-2"], 1);
        recorder.sample(0, sample(&["job-1/0", "job-1/1", "job-2/0"]));
        recorder
    };
    let mut lawful = recorder();
    lawful.sample(10, sample(&["job-1/0", "job-1/1"]));
    lawful.sample(20, sample(&["job-1/0", "job-1/1", "job-2/0"]));
    lawful.sample(30, sample(&["job-1/1", "job-2/0"]));
    lawful.machine_lost("m-1");
    lawful.sample(40, sample(&[]));
    assert_eq!(lawful.excesses(), []);
    assert_eq!(lawful.interruptions().len(), 2);

    let mut faulty = recorder();
    faulty.sample(10, sample(&["job-2/0"]));
    let away = vec!["job-1/0".to_owned(), "job-1/1".to_owned()];
    let group = || "team".to_owned();
    assert_eq!(
        faulty.excesses(),
        [Excess::TooMany {
            group: group(),
            at_ms: 10,
            away
        }]
    );

    let mut faulty = recorder();
    faulty.session_lost("m-1");
    faulty.sample(10, sample(&["job-1/1", "job-2/0"]));
    faulty.sample(200, sample(&["job-1/1"]));
    let unit = "job-2/0".to_owned();
    assert_eq!(
        faulty.excesses(),
        [Excess::WhileSpent {
            group: group(),
            at_ms: 200,
            unit
        }]
    );
}

#[test]
fn a_drain_whose_head_was_written_without_an_answer_goes_on() {
    let mut deployment = Deployment::start(3);
    let mut lost = 0;
    deployment.world.meddle(move |message| {
        let writes_head = message.what == "POST /txn" && message.body.contains("t/d/all\"") && lost < 3;
        if writes_head {
            lost += 1;
            Delivery::AnswerLost
        } else {
            Delivery::Pass
        }
    });
    deployment.restart_all(&with_drain(&all_machines()));
    // Guard: its leader would write the beginning again for ever, which can only fail.
    deployment.assert_ends("all", "answers lost");
}

#[test]
fn a_replacement_is_kept_for_what_leaves_the_drained_machine() {
    let mut deployment = Deployment::start(3);
    let rules = json!({
        "budgets": [{ "team": "team-1", "classes": ["c"], "max_unavailable": 0 }],
        "drains": [{ "name": "all", "surge": 9, "max_machines": 9 }],
    });
    deployment.restart_all(&operator(&rules));
    let ready = |d: &Deployment| d.says("berth-1: n-") > 0 && d.says("replacement is ready") >= 9;
    assert!(deployment.run_until(60_000, ready), "{}", deployment.trace());
    let of_team: Vec<String> = deployment
        .trace()
        .lines()
        .filter(|line| line.contains("berth-1: ") && line.contains("replacement is ready"))
        .filter_map(|line| Some(line.split(['(', ')']).nth(1)?.to_owned()))
        .collect();
    assert_eq!(of_team.len(), 3, "{}", deployment.trace());
    // The budget lets nothing leave: the replacements stay empty, whatever else the team runs.
    deployment.submit_array(501, 1, 8);
    assert!(
        deployment.run_until(90_000, |d| is_done(&d.world, "job-000501")),
        "{}",
        deployment.trace()
    );
    for machine in of_team {
        assert_eq!(
            deployment.says(&format!("{machine} starts")),
            0,
            "{machine}: {}",
            deployment.trace()
        );
    }
    deployment.assert_within_budgets("kept");
}

#[test]
fn owners_that_are_not_restarted_take_machines_back_when_the_leader_withdraws_a_drain() {
    let mut deployment = Deployment::start(3);
    // The budget of one team lets nothing leave, so that its machines stay cordoned.
    let rules = json!({
        "budgets": [{ "team": "team-1", "max_unavailable": 0 }],
        "drains": [{ "name": "all", "surge": 9, "max_machines": 9 }],
    });
    deployment.restart_all(&operator(&rules));
    let evicts = |d: &Deployment| {
        let mut lines = d.trace().lines().filter(|line| line.contains("berth-1: "));
        lines.any(|line| line.contains("drain all: evicting"))
    };
    assert!(deployment.run_until(60_000, evicts), "{}", deployment.trace());
    let cordoned = deployment.world.machines_of("job-000011");
    let leader = deployment.world.leader().expect("there is a leader");
    assert_ne!(leader, 1, "{}", deployment.trace());
    // It is back at once, and leads again.
    deployment.world.crash(leader);
    deployment.world.operator(leader, &operator(&json!({})));
    deployment.world.start(leader);
    let back = |d: &Deployment| d.says("berth-1: n-") > 0 && d.says("was withdrawn: back in service") > 0;
    assert!(deployment.run_until(60_000, back), "{}", deployment.trace());
    assert_eq!(deployment.world.store.keys("t/d/"), Vec::<String>::new());
    // One of a service's replicas ends with its machine's room: guard, a cordoned machine would not take it again.
    let service = deployment.services[2].clone();
    let owner = deployment.world.owner_of_team(1);
    deployment.world.withdraw(owner, &service);
    deployment.recorder.job_over(&service);
    deployment.services.remove(2);
    deployment.run(20_000);
    deployment.world.cloud.most = deployment.world.cloud.machines.len();
    deployment.submit_array(501, 1, 6);
    let starts = |d: &Deployment| cordoned.iter().any(|m| d.says(&format!("{m} starts job-000501")) > 0);
    assert!(
        deployment.run_until(60_000, starts),
        "{cordoned:?}\n{}",
        deployment.trace()
    );
    deployment.assert_within_budgets("withdrawn by the leader");
}
