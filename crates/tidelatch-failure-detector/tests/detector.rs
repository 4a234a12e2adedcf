//! Tests of suspicion, refutation and confirmation, one scenario each.

mod support;

use support::{Cluster, LEASE_MS, Store, TIMING, heartbeat, member};
use tidelatch_failure_detector::{
    Claim, ClaimRejection, ClearReason, Event, FailureDetector, HeartbeatTrigger, Incarnation, IncarnationId,
    MemberState, Opinion, Policy, Rejection, Timing, Verdict,
};

fn new_detector(others: &[&str]) -> FailureDetector {
    let others = others.iter().map(|name| member(name));
    FailureDetector::new(member("a"), IncarnationId(1), others, TIMING, Policy::default(), 0)
        .expect("the settings are valid")
}

fn claim_alive(about: &str, incarnation: u64) -> Claim {
    Claim {
        member: member(about),
        incarnation: Incarnation {
            id: IncarnationId(incarnation),
            refutation_count: 0,
        },
        opinion: Opinion::Alive,
        heard_ago_ms: 0,
    }
}

fn is_suspected(event: &Event) -> bool {
    matches!(event, Event::Suspected { .. })
}

fn is_cleared(event: &Event) -> bool {
    matches!(event, Event::Cleared { .. })
}

fn is_confirmed(event: &Event) -> bool {
    matches!(event, Event::Confirmed { .. })
}

#[test]
fn crashed_member_is_suspected_before_its_lease_ends_and_confirmed_afterwards() {
    let mut cluster = Cluster::new(4, Policy::default());
    cluster.run(60_000);
    cluster.crash(2);
    let crashed_ms = cluster.now_ms;
    cluster.run(2 * LEASE_MS);
    for observer in [0, 1, 3] {
        let suspected = cluster.first_event_ms(observer, is_suspected).expect("suspected");
        let confirmed = cluster.first_event_ms(observer, is_confirmed).expect("confirmed");
        assert!(
            suspected > crashed_ms && suspected < crashed_ms + LEASE_MS,
            "{suspected}"
        );
        // The confirmation comes with the end of the registration, neither before nor much later.
        let ended = crashed_ms + LEASE_MS;
        assert!((ended - 200..=ended + 200).contains(&confirmed), "{confirmed}");
    }
    assert_eq!(cluster.count_events(is_cleared), 0);
}

#[test]
fn no_member_is_confirmed_while_the_arbiter_is_unreachable() {
    // Missing heartbeats alone confirm no member, however long they last.
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.store.reachable = false;
    cluster.crash(2);
    cluster.run(100 * LEASE_MS);
    assert_eq!(cluster.count_events(is_suspected), 2);
    assert_eq!(cluster.count_events(is_confirmed), 0);
    // Once the store can be reached again, its answers are newer than the suspicion.
    cluster.store.reachable = true;
    cluster.run(1_000);
    assert_eq!(cluster.count_events(is_confirmed), 2);
}

#[test]
fn registration_seen_absent_before_the_suspicion_does_not_confirm() {
    let mut detector = new_detector(&["b"]);
    for second in 1..=30 {
        let message = heartbeat("b", 2, second);
        detector
            .on_heartbeat(second * 1_000, HeartbeatTrigger::Scheduled, &message)
            .expect("the heartbeat is accepted");
        detector.tick(second * 1_000, &Store::present("b", 2, second * 1_000));
    }
    // The store was last read before the heartbeats stopped, so the member may have registered since.
    let outdated_store = Store::absent(30_000);
    let mut events = Vec::new();
    for step in 301..600 {
        events.extend(detector.tick(step * 100, &outdated_store));
    }
    assert!(events.iter().any(is_suspected));
    assert!(!events.iter().any(is_confirmed));
    let events_with_current_store = detector.tick(60_000, &Store::absent(60_000));
    assert!(
        matches!(events_with_current_store.as_slice(), [Event::Confirmed { .. }]),
        "{events_with_current_store:?}"
    );
}

#[test]
fn unexpired_grant_delays_the_confirmation() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.crash(2);
    cluster.store.granted_until_ms = cluster.now_ms + 5 * LEASE_MS;
    cluster.run(5 * LEASE_MS - 1_000);
    assert_eq!(cluster.count_events(is_confirmed), 0);
    cluster.run(2_000);
    assert_eq!(cluster.count_events(is_confirmed), 2);
}

#[test]
fn pause_shorter_than_the_lease_is_cleared_without_a_confirmation() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(60_000);
    cluster.pause(2);
    cluster.run(LEASE_MS - 1_500);
    assert_eq!(cluster.count_events(is_suspected), 2);
    cluster.resume(2);
    cluster.run(10_000);
    assert_eq!(cluster.count_events(is_cleared), 2);
    assert_eq!(cluster.count_events(is_confirmed), 0);
    // The paused member does not count its own pause as missing heartbeats of the others.
    assert_eq!(cluster.first_event_ms(2, is_suspected), None);
    let paused = |e: &Event| matches!(e, Event::Impaired { paused_ms: 5_000.. });
    assert!(cluster.first_event_ms(2, paused).is_some());
}

#[test]
fn late_heartbeat_of_a_confirmed_incarnation_is_rejected_and_a_new_incarnation_returns() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.crash(2);
    cluster.run(2 * LEASE_MS);
    let late = heartbeat("m2", cluster.incarnation(2), 1_000);
    let now_ms = cluster.now_ms;
    let result = cluster.detectors[0].on_heartbeat(now_ms, HeartbeatTrigger::Scheduled, &late);
    assert!(matches!(result, Err(Rejection::EndedIncarnation { .. })), "{result:?}");
    assert!(matches!(cluster.state(0, 2), Some(MemberState::Confirmed(_))));
    cluster.restart(2);
    cluster.run(3_000);
    assert_eq!(cluster.count_events(|e| matches!(e, Event::Returned { .. })), 2);
    assert_eq!(cluster.state(0, 2), Some(MemberState::Alive));
}

#[test]
fn incarnation_that_registers_but_is_never_heard_is_suspected_and_confirmed() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.crash(2);
    cluster.run(2 * LEASE_MS);
    assert_eq!(cluster.count_events(is_confirmed), 2);
    // A member that the arbiter lists is monitored again, whether it is heard or not.
    cluster.cut_one_way(2, 0);
    cluster.cut_one_way(2, 1);
    cluster.restart(2);
    cluster.run(2 * LEASE_MS);
    assert_eq!(cluster.count_events(|e| matches!(e, Event::Returned { .. })), 2);
    assert_eq!(cluster.count_events(is_suspected), 4);
    cluster.crash(2);
    cluster.run(2 * LEASE_MS);
    assert_eq!(cluster.count_events(is_confirmed), 4);
}

#[test]
fn registration_left_by_an_earlier_process_does_not_supersede_the_current_one() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    // The new process is heard before it registers, and then not heard for a while.
    cluster.restart_unregistered(2, 5_000);
    cluster.run(1_000);
    cluster.cut_one_way(2, 0);
    cluster.cut_one_way(2, 1);
    cluster.run(6_000);
    assert_eq!(cluster.count_events(is_suspected), 2);
    assert_eq!(cluster.count_events(is_confirmed), 0);
    cluster.heal(2, 0);
    cluster.heal(2, 1);
    cluster.run(3_000);
    assert_eq!(cluster.state(0, 2), Some(MemberState::Alive));
}

#[test]
fn member_whose_version_sends_no_incarnation_is_monitored_by_its_contacts() {
    let mut detector = new_detector(&["b"]);
    for step in 1..=600 {
        let now_ms = step * 100;
        if now_ms <= 30_000 && now_ms % 1_000 == 0 {
            detector.on_contact(now_ms, &member("b"), HeartbeatTrigger::Scheduled);
        }
        detector.tick(now_ms, &Store::present("b", 2, now_ms));
        let suspected = matches!(detector.state(&member("b")), Some(MemberState::Suspected(_)));
        assert_eq!(suspected, now_ms > 33_400, "at {now_ms}");
    }
    let events = detector.on_contact(60_100, &member("b"), HeartbeatTrigger::Answer);
    assert!(matches!(events.as_slice(), [Event::Cleared { .. }]), "{events:?}");
}

#[test]
fn fast_restart_supersedes_the_earlier_incarnation() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    let late = heartbeat("m2", cluster.incarnation(2), 1_000);
    cluster.restart(2);
    cluster.run(5_000);
    assert_eq!(cluster.count_events(is_suspected), 0);
    let now_ms = cluster.now_ms;
    let result = cluster.detectors[0].on_heartbeat(now_ms, HeartbeatTrigger::Scheduled, &late);
    assert!(matches!(result, Err(Rejection::EndedIncarnation { .. })), "{result:?}");
}

#[test]
fn late_heartbeat_of_an_earlier_incarnation_does_not_lock_out_the_registered_one() {
    // Incarnations have no order. A heartbeat of an older incarnation that arrives after the registered one's is taken
    // for a newer incarnation at first. One lease later the arbiter shows which of the two is registered.
    let mut detector = new_detector(&["b"]);
    let mut sequence = 0;
    let mut send = |detector: &mut FailureDetector, now_ms: u64| {
        sequence += 1;
        let result = detector.on_heartbeat(now_ms, HeartbeatTrigger::Scheduled, &heartbeat("b", 7, sequence));
        detector.tick(now_ms, &Store::present("b", 7, now_ms));
        result
    };
    for second in 1..=10 {
        send(&mut detector, second * 1_000).expect("the heartbeat is accepted");
    }
    detector
        .on_heartbeat(10_500, HeartbeatTrigger::Scheduled, &heartbeat("b", 3, 99))
        .expect("taken for a new incarnation");
    assert!(send(&mut detector, 11_000).is_err());
    for second in 12..=20 {
        let _ = send(&mut detector, second * 1_000);
    }
    send(&mut detector, 21_000).expect("the registered incarnation is heard again");
    assert_eq!(detector.state(&member("b")), Some(MemberState::Alive));
}

#[test]
fn released_registration_confirms_before_the_lease_ends() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.release(2);
    cluster.run(LEASE_MS - 1_000);
    let released = |e: &Event| {
        matches!(
            e,
            Event::Confirmed {
                verdict: Verdict::Released,
                ..
            }
        )
    };
    assert_eq!(cluster.count_events(released), 2);
}

#[test]
fn member_unheard_by_one_observer_is_not_suspected_if_others_hear_it() {
    let mut cluster = Cluster::new(4, Policy::default());
    cluster.run(30_000);
    cluster.cut_one_way(2, 0);
    cluster.run(60_000);
    // Contacts of other members count before a suspicion is raised.
    assert_eq!(cluster.count_events(is_suspected), 0);
}

#[test]
fn refutation_passed_on_by_others_clears_a_suspicion() {
    // All links from one member to the others are cut. Then only the link to one observer stays cut.
    let mut cluster = Cluster::new(4, Policy::default());
    cluster.run(30_000);
    for other in [0, 1, 3] {
        cluster.cut_one_way(2, other);
    }
    cluster.run(LEASE_MS - 2_000);
    assert_eq!(cluster.count_events(is_suspected), 3);
    cluster.heal(2, 1);
    cluster.heal(2, 3);
    cluster.run(5_000);
    assert_eq!(cluster.state(0, 2), Some(MemberState::Alive));
    let refuted = |e: &Event| {
        matches!(
            e,
            Event::Cleared {
                reason: ClearReason::Refuted,
                ..
            }
        )
    };
    assert!(cluster.first_event_ms(0, refuted).is_some());
    assert!(
        cluster
            .first_event_ms(2, |e| matches!(e, Event::SuspicionRefuted { .. }))
            .is_some()
    );
}

#[test]
fn isolated_member_becomes_impaired_before_it_suspects_others() {
    let mut cluster = Cluster::new(5, Policy::default());
    cluster.run(30_000);
    for other in 1..5 {
        cluster.cut_one_way(other, 0);
        cluster.cut_one_way(0, other);
    }
    cluster.run(2 * LEASE_MS);
    let suspected_by_others_ms = cluster.first_event_ms(1, is_suspected).expect("suspected");
    let suspected_by_isolated_ms = cluster.first_event_ms(0, is_suspected).expect("suspected");
    assert!(
        suspected_by_others_ms < suspected_by_isolated_ms,
        "{suspected_by_others_ms} {suspected_by_isolated_ms}"
    );
    let impaired_ms = cluster.first_event_ms(0, |e| matches!(e, Event::Impaired { paused_ms: 0 }));
    assert!(impaired_ms.is_some_and(|at| at < suspected_by_isolated_ms));
}

#[test]
fn flapping_member_takes_more_heartbeats_to_clear_each_time() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    let mut cleared_after_ms = Vec::new();
    for _ in 0..6 {
        cluster.pause(2);
        cluster.run(LEASE_MS - 1_500);
        cluster.resume(2);
        let resumed_ms = cluster.now_ms;
        let before = cluster.count_events(is_cleared);
        while cluster.count_events(is_cleared) < before + 2 {
            cluster.run(100);
            assert!(cluster.now_ms < resumed_ms + 20_000, "never cleared");
        }
        cleared_after_ms.push(cluster.now_ms - resumed_ms);
        cluster.run(5_000);
    }
    assert!(
        cleared_after_ms[5] > cleared_after_ms[0] + 1_000,
        "{cleared_after_ms:?}"
    );
    // The damping is bounded.
    assert!(cleared_after_ms.iter().all(|ms| *ms < 10_000), "{cleared_after_ms:?}");
    cluster.run(100 * LEASE_MS);
    cluster.pause(2);
    cluster.run(LEASE_MS - 1_500);
    cluster.resume(2);
    cluster.run(1_300);
    assert_eq!(
        cluster.state(0, 2),
        Some(MemberState::Alive),
        "the penalty for earlier flaps has decayed"
    );
}

#[test]
fn malformed_foreign_or_outdated_heartbeats_are_rejected_without_effect() {
    let mut detector = new_detector(&["b", "c"]);
    detector
        .on_heartbeat(1_000, HeartbeatTrigger::Scheduled, &heartbeat("b", 2, 5))
        .expect("the heartbeat is accepted");
    let before = detector.clone();
    let mut message_with_too_many_claims = heartbeat("b", 2, 6);
    message_with_too_many_claims.claims = vec![claim_alive("c", 3); 4];
    let outdated_sequence = |sequence| Rejection::OutdatedSequence {
        from: member("b"),
        sequence,
        newest: 5,
    };
    let too_many_claims = Rejection::TooManyClaims {
        from: member("b"),
        claims: 4,
        max_claims: 3,
    };
    for (message, expected) in [
        (heartbeat("z", 9, 1), Rejection::UnknownSender(member("z"))),
        (heartbeat("a", 1, 1), Rejection::OwnMessage),
        (heartbeat("b", 0, 6), Rejection::MissingIncarnation(member("b"))),
        (heartbeat("b", 2, 5), outdated_sequence(5)),
        (heartbeat("b", 2, 4), outdated_sequence(4)),
        (message_with_too_many_claims, too_many_claims),
    ] {
        assert_eq!(
            detector.on_heartbeat(1_000, HeartbeatTrigger::Scheduled, &message),
            Err(expected)
        );
        assert_eq!(detector, before);
    }
}

#[test]
fn rejected_claims_are_reported_with_a_reason() {
    let mut detector = new_detector(&["b", "c"]);
    detector
        .on_heartbeat(500, HeartbeatTrigger::Scheduled, &heartbeat("c", 3, 1))
        .expect("the heartbeat is accepted");
    let mut message = heartbeat("b", 2, 1);
    message.claims = vec![claim_alive("z", 9), claim_alive("b", 2), claim_alive("c", 4)];
    let events = detector
        .on_heartbeat(1_000, HeartbeatTrigger::Scheduled, &message)
        .expect("the heartbeat is accepted");
    let reasons: Vec<ClaimRejection> = events
        .iter()
        .filter_map(|e| match e {
            Event::ClaimIgnored { reason, .. } => Some(*reason),
            _ => None,
        })
        .collect();
    let expected = [
        ClaimRejection::UnknownMember,
        ClaimRejection::AboutSender,
        ClaimRejection::OtherIncarnation,
    ];
    assert_eq!(reasons, expected);
}

#[test]
fn invalid_settings_are_reported_by_field() {
    let policy = Policy {
        window_intervals: 1,
        threshold_milliphi: 0,
        probe_wait_permille: 8_000,
        ..Policy::default()
    };
    let faults = policy.check(TIMING).expect_err("the settings are invalid").0;
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field).collect();
    assert_eq!(fields, ["threshold_milliphi", "window", "probe_wait_permille"]);
    let short = Timing {
        heartbeat_ms: 1_000,
        lease_ms: 1_500,
    };
    let faults = Policy::default().check(short).expect_err("the settings are invalid");
    assert!(faults.to_string().starts_with("lease_ms:"), "{faults}");
}
