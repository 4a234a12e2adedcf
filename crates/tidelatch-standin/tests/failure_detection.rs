//! Failure detection between controllers under crashes, pauses, network splits and lossy networks.
//!
//! Guards against a suspicion that by itself ends a lease, moves a partition or changes what a controller decides, and
//! against accepted work that is lost in a takeover. The checker of the simulation checks with every event that no two
//! controllers act for the same partition.

use tidelatch_core::settings::{FailureDetection, Operator};
use tidelatch_standin::faults::{self, StateServiceSide};
use tidelatch_standin::support::{assert_no_breaches, assert_trace, is_stored_as_done};
use tidelatch_standin::{DeploymentSize, World, job};

/// A controller's lease in the stand-in's deployment.
const LEASE_MS: u64 = 7_200;

/// Operators' settings with the defaults of failure detection.
fn with_failure_detection() -> Operator {
    Operator {
        failure_detection: Some(FailureDetection::default()),
        ..Operator::default()
    }
}

/// Starts a deployment with a service and an array of each team, and waits until the services run.
fn start_with_work(controllers: usize, operator: &Operator) -> World {
    let size = DeploymentSize {
        controllers,
        teams: controllers as u32,
        max_accelerators: 20.0,
        write_rps: 200.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(operator, size);
    world.cloud.max_machines = 60;
    world.run_for(5_000);
    for team in 0..controllers as u32 {
        world.submit_until_accepted(0, &job(team, team, "standing", 2));
        world.submit_until_accepted(0, &job(100 + team, team, "sweep", 6));
    }
    let services_run = |w: &World| (0..controllers).all(|team| w.running_tasks(&format!("job-{team:06}")) == 2);
    assert!(world.run_until(60_000, services_run), "{}", world.trace());
    world
}

/// Ends all network faults and asserts that all services run again and all arrays are done within 150 s.
fn assert_recovers(world: &mut World, controllers: usize) {
    world.clear_fault_injector();
    let recovered = |w: &World| {
        (0..controllers).all(|team| {
            w.running_tasks(&format!("job-{team:06}")) == 2 && is_stored_as_done(w, &format!("job-{:06}", 100 + team))
        })
    };
    assert!(world.run_until(150_000, recovered), "{}", world.trace());
    assert_no_breaches(world);
}

/// Counts the lines of the trace that contain a text.
fn count_trace_lines(world: &World, text: &str) -> usize {
    world.trace().lines().filter(|line| line.contains(text)).count()
}

/// Time in seconds of the first line of the trace that contains a text.
fn time_of_trace_line(world: &World, text: &str) -> f64 {
    let line = world.trace().lines().find(|line| line.contains(text));
    let time = line.and_then(|line| line.split_whitespace().next());
    time.and_then(|time| time.parse().ok())
        .unwrap_or_else(|| panic!("no line with `{text}`:\n{}", world.trace()))
}

/// The lines of the trace that are not about suspicions: what the controllers decided.
fn decisions(world: &World) -> Vec<&str> {
    const DETECTION_WORDS: [&str; 6] = [
        "suspect",
        "prepar",
        "confirmed as gone",
        "is back, life",
        "at fault",
        "refuted",
    ];
    let is_about_detection = |line: &&str| DETECTION_WORDS.iter().any(|word| line.contains(word));
    world.trace().lines().filter(|line| !is_about_detection(line)).collect()
}

/// Guards against a successor that does not prepare between the suspicion and the end of the lease, and against a
/// confirmation long after the lease has ended.
#[test]
fn a_crashed_controller_is_suspected_then_confirmed_and_its_successor_prepares() {
    let mut world = start_with_work(3, &with_failure_detection());
    let owner = world.owner_of_team(1);
    world.crash_controller(owner);
    world.run_for(20_000);
    let crashed = time_of_trace_line(&world, &format!("berth-{owner} crashes"));
    let suspected = time_of_trace_line(&world, &format!("suspects berth-{owner}"));
    let prepared = time_of_trace_line(&world, "prepared to take over");
    let confirmed = time_of_trace_line(&world, &format!("berth-{owner} is confirmed as gone"));
    let lease_s = LEASE_MS as f64 / 1000.0;
    assert!(crashed < suspected && suspected < prepared && prepared < confirmed);
    assert!(suspected < crashed + lease_s / 1.5, "{}", suspected - crashed);
    assert!(confirmed < crashed + lease_s + 1.0, "{}", confirmed - crashed);
    assert!(world.message_counts.connections_ahead > 0);
    assert_recovers(&mut world, 3);
    assert_trace(&world, "suspected_then_confirmed");
}

/// Guards against a takeover that trusts records read ahead, although the owner has changed them since: tasks that are
/// done would be started again. The number of start orders must be the same as without failure detection.
#[test]
fn records_read_ahead_of_a_takeover_are_read_again_if_they_changed() {
    let run = |operator: &Operator| {
        let mut world = start_with_work(3, operator);
        world.has_uneven_run_times = true;
        let owner = world.owner_of_team(1);
        world.submit_until_accepted(owner, &job(201, 1, "sweep", 40));
        world.run_for(6_000);
        // The other controllers suspect the owner and read its records ahead of a takeover. The owner continues its
        // work, stores more done tasks and then crashes.
        let peers: Vec<usize> = (0..3).filter(|controller| *controller != owner).collect();
        world.set_fault_injector(faults::partition_controllers(&peers, StateServiceSide::Both));
        world.run_for(10_000);
        world.crash_controller(owner);
        world.run_for(500);
        world.clear_fault_injector();
        assert!(
            world.run_until(150_000, |w| is_stored_as_done(w, "job-000201")),
            "{}",
            world.trace()
        );
        assert_no_breaches(&world);
        world
    };
    let (with_detection, without_detection) = (run(&with_failure_detection()), run(&Operator::default()));
    let prepared = with_detection
        .trace()
        .lines()
        .find(|line| line.contains("prepared to take over"));
    assert!(
        prepared.is_some_and(|line| !line.contains(" 0 records")),
        "{prepared:?}"
    );
    // With the old records, tasks that are done would be started again.
    assert_eq!(
        with_detection.checker().start_order_count(),
        without_detection.checker().start_order_count()
    );
    assert_world_recovers(with_detection);
}

/// Asserts the recovery of a deployment of three controllers.
fn assert_world_recovers(mut world: World) {
    assert_recovers(&mut world, 3);
}

/// Guards against a controller that acts for its partition after a pause slightly shorter or longer than its lease,
/// when others may have taken over.
#[test]
fn pauses_of_about_a_lease_lose_no_work() {
    for pause_ms in [LEASE_MS - 300, LEASE_MS, LEASE_MS + 300, 3 * LEASE_MS] {
        for pauses in [1, 3] {
            let mut world = start_with_work(3, &with_failure_detection());
            for _ in 0..pauses {
                // The leader also owns a partition.
                let leader = world.leader().expect("there is a leader");
                world.pause(leader);
                world.run_for(pause_ms);
                world.resume(leader);
                world.run_for(4_000);
            }
            assert_recovers(&mut world, 3);
            assert!(count_trace_lines(&world, "suspects berth-") > 0, "{}", world.trace());
        }
    }
}

/// Guards against a new leader that pauses in the middle of a takeover while the old leader and an owner resume.
#[test]
fn leader_and_owner_pause_together_and_during_an_election() {
    for pause_ms in [LEASE_MS - 300, LEASE_MS + 300, 2 * LEASE_MS] {
        let mut world = start_with_work(4, &with_failure_detection());
        let leader = world.leader().expect("there is a leader");
        let owner = (leader + 1) % 4;
        world.pause(leader);
        world.run_for(500);
        world.pause(owner);
        world.run_for(pause_ms);
        // By now the other two are in the middle of a takeover, or have finished it.
        world.resume(owner);
        world.run_for(200);
        let next = world.leader().unwrap_or(leader);
        world.pause(next);
        world.run_for(2_000);
        world.resume(next);
        world.resume(leader);
        assert_recovers(&mut world, 4);
    }
}

/// Guards against requests that arrive during a pause and are executed by a leader whose lease has ended.
#[test]
fn a_leader_that_pauses_beyond_its_lease_acts_on_no_earlier_request() {
    let mut world = start_with_work(3, &with_failure_detection());
    let leader = world.leader().expect("there is a leader");
    world.pause(leader);
    world.run_for(LEASE_MS + 300);
    // Requests that arrive during the pause and are read when the leader resumes.
    world.submit(leader, &job(301, 0, "sweep", 2));
    world.cancel(leader, "job-000100");
    world.run_for(2_000);
    world.resume(leader);
    world.run_for(20_000);
    assert_no_breaches(&world);
    assert_trace(&world, "suspected_while_paused_beyond_its_lease");
}

/// Starts a deployment whose four machines are all used by the long array of a team.
fn world_without_free_machines() -> World {
    let size = DeploymentSize {
        max_accelerators: 20.0,
        ..DeploymentSize::default()
    };
    let mut world = World::with_size(&with_failure_detection(), size);
    world.cloud.max_machines = 4;
    world.run_ms = 60_000;
    world.run_for(3_000);
    world.submit_until_accepted(0, &job(101, 1, "sweep", 8));
    let is_full = |w: &World| w.running_tasks("job-000101") == 8;
    assert!(world.run_until(30_000, is_full), "{}", world.trace());
    world
}

/// Guards against an owner that pauses beyond its lease while its machines move to another partition: a machine could
/// be in no group of the roster, or in two.
#[test]
fn an_owner_that_pauses_during_a_machine_transfer_loses_and_duplicates_no_machine() {
    // A service of team 0 gets machines that the partition of team 1 vacates. The owner of that partition pauses at
    // every step of the transfer.
    let mut transfers = 0;
    for pause_after_ms in (200..3_600).step_by(200) {
        let mut world = world_without_free_machines();
        world.submit_until_accepted(0, &job(1, 0, "standing", 4));
        world.run_for(pause_after_ms);
        let owner = world.owner_of_team(1);
        world.pause(owner);
        world.run_for(LEASE_MS + 300);
        world.resume(owner);
        let recovered = |w: &World| w.running_tasks("job-000001") == 4 && is_stored_as_done(w, "job-000101");
        assert!(world.run_until(240_000, recovered), "{}", world.trace());
        assert_no_breaches(&world);
        let mut roster = world.roster();
        let machines = roster.len();
        roster.sort();
        roster.dedup();
        assert_eq!(roster.len(), machines, "a machine is in two groups: {}", world.trace());
        transfers += count_trace_lines(&world, "goes to partition");
    }
    assert!(transfers > 0, "no machine was transferred");
}

/// Guards against a detector that suspects a slow controller again and again, or takes its partition over although it
/// extends its lease.
#[test]
fn a_slow_controller_is_suspected_rarely_and_loses_nothing() {
    // The controller runs for 0.1 s in each second, as a process does whose CPU quota is used up.
    let mut world = start_with_work(4, &with_failure_detection());
    let epoch = world.epoch();
    for _ in 0..60 {
        world.pause(3);
        world.run_for(900);
        world.resume(3);
        world.run_for(100);
    }
    assert_eq!(world.epoch(), epoch, "{}", world.trace());
    assert_eq!(count_trace_lines(&world, "is confirmed as gone"), 0);
    assert!(count_trace_lines(&world, "suspects berth-3") <= 3, "{}", world.trace());
    assert_recovers(&mut world, 4);
}

/// Guards against suspicions that change decisions: with pauses shorter than the lease, the trace without the lines
/// about suspicions must be the same as without failure detection.
#[test]
fn a_refuted_suspicion_changes_no_decision() {
    let run = |operator: &Operator| {
        let mut world = start_with_work(3, operator);
        for controller in [0, 1, 2] {
            world.pause(controller);
            // The pause is shorter than the lease, because the last extension may have been a quarter of the lease ago.
            world.run_for(LEASE_MS * 2 / 3);
            world.resume(controller);
            world.run_for(10_000);
        }
        world.run_for(30_000);
        assert_no_breaches(&world);
        world
    };
    let (with_detection, without_detection) = (run(&with_failure_detection()), run(&Operator::default()));
    assert!(
        count_trace_lines(&with_detection, "is no longer suspected") >= 6,
        "{}",
        with_detection.trace()
    );
    assert_eq!(count_trace_lines(&with_detection, "is confirmed as gone"), 0);
    assert!(count_trace_lines(&with_detection, "preparation to take over dropped") >= 1);
    assert_trace(&with_detection, "suspicions_that_are_refuted");
    assert_eq!(decisions(&with_detection), decisions(&without_detection));
}

/// Guards against two halves of a split network that both act for a partition. A half takes over only if it alone
/// reaches the state service.
#[test]
fn at_most_one_half_of_a_split_network_takes_over() {
    for (controllers, first_half) in [(4, vec![0, 1]), (6, vec![0, 1, 2])] {
        for state in [
            StateServiceSide::Named,
            StateServiceSide::Both,
            StateServiceSide::Neither,
        ] {
            let mut world = start_with_work(controllers, &with_failure_detection());
            let epoch = world.epoch();
            world.write_trace(&format!("split, state service: {state:?}"));
            world.set_fault_injector(faults::partition_controllers(&first_half, state));
            world.run_for(3 * LEASE_MS);
            match state {
                // A suspicion takes nothing over, even if a majority of the controllers has it.
                StateServiceSide::Both | StateServiceSide::Neither => {
                    assert_eq!(world.epoch(), epoch, "{}", world.trace());
                    assert_eq!(count_trace_lines(&world, "is confirmed as gone"), 0);
                }
                StateServiceSide::Named => {
                    assert!(world.epoch() > epoch);
                    assert!(
                        first_half.contains(&world.owner_of_team(controllers - 1)),
                        "{}",
                        world.trace()
                    );
                }
            }
            assert!(count_trace_lines(&world, "suspects berth-") > 0, "{}", world.trace());
            if controllers == 4 {
                let state = format!("{state:?}").to_lowercase();
                assert_trace(&world, &format!("even_split_state_service_{state}"));
            }
            assert_recovers(&mut world, controllers);
        }
    }
}

/// Guards against work that is lost or started twice when the old owners return in the middle of the takeover of their
/// partitions.
#[test]
fn a_split_that_heals_at_any_step_of_a_takeover_loses_no_accepted_work() {
    // The times reach from before the first suspicion until the new owners act.
    for healed_after_ms in (1_000..=11_000).step_by(1_000) {
        let mut world = start_with_work(4, &with_failure_detection());
        world.set_fault_injector(faults::partition_controllers(&[0, 1], StateServiceSide::Named));
        world.run_for(healed_after_ms);
        world.clear_fault_injector();
        assert_recovers(&mut world, 4);
    }
}

/// Guards against a suspicion of a controller whose heartbeats reach all peers but one.
#[test]
fn a_controller_that_one_peer_does_not_hear_is_not_suspected() {
    let mut world = start_with_work(4, &with_failure_detection());
    world.set_fault_injector(faults::cut_direction(3, 0));
    world.run_for(60_000);
    assert_eq!(count_trace_lines(&world, "suspects berth-"), 0, "{}", world.trace());
    assert_trace(&world, "not_heard_by_one_sibling");
    assert_recovers(&mut world, 4);
}

/// Guards against a controller that is confirmed as failed because the peer network loses, delays, duplicates and
/// reorders heartbeats.
#[test]
fn delayed_lost_duplicated_and_reordered_heartbeats_confirm_no_failure() {
    for seed in 1..=5 {
        let mut world = start_with_work(4, &with_failure_detection());
        let epoch = world.epoch();
        world.set_fault_injector(faults::unreliable_peer_network(seed));
        world.run_for(120_000);
        assert_eq!(
            count_trace_lines(&world, "is confirmed as gone"),
            0,
            "seed {seed}: {}",
            world.trace()
        );
        assert_eq!(world.epoch(), epoch);
        assert_recovers(&mut world, 4);
    }
}

/// Guards against suspicions of a controller that has no failure detection and sends no liveness data, as during an
/// upgrade.
#[test]
fn controllers_with_and_without_failure_detection_work_together() {
    let mut world = start_with_work(3, &Operator::default());
    for controller in [0, 2] {
        world.set_operator(controller, &with_failure_detection());
        world.crash_controller(controller);
        world.run_for(1_000);
        world.start_controller(controller);
        world.run_for(10_000);
    }
    // Only two controllers send liveness data. The detectors receive none of the third one and must not suspect it.
    assert_eq!(count_trace_lines(&world, "suspects berth-1"), 0, "{}", world.trace());
    world.crash_controller(2);
    world.run_for(15_000);
    assert_eq!(count_trace_lines(&world, "suspects berth-2"), 1, "{}", world.trace());
    world.start_controller(2);
    assert_recovers(&mut world, 3);
}
