//! Suspicion, refutation and verdicts, one case at a time.

mod support;

use support::{Cluster, LEASE_MS, Store, TIMING, heartbeat, member};
use tidelatch_failure_detector::{
    Channel, Claim, ClaimRejection, Cleared, Event, FailureDetector, Incarnation, Life, MemberState, Opinion, Policy,
    Rejection, Timing, Verdict,
};

fn detector(others: &[&str]) -> FailureDetector {
    let others = others.iter().map(|name| member(name));
    FailureDetector::new(member("a"), Life(1), others, TIMING, Policy::default(), 0).expect("the settings are in order")
}

fn alive(about: &str, life: u64) -> Claim {
    Claim {
        member: member(about),
        incarnation: Incarnation {
            life: Life(life),
            refutation: 0,
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
fn a_dead_member_is_suspected_before_its_lease_ends_and_confirmed_when_it_has() {
    let mut cluster = Cluster::new(4, Policy::default());
    cluster.run(60_000);
    cluster.crash(2);
    let crashed_ms = cluster.now_ms;
    cluster.run(2 * LEASE_MS);
    for observer in [0, 1, 3] {
        let suspected = cluster.first(observer, is_suspected).expect("suspected");
        let confirmed = cluster.first(observer, is_confirmed).expect("confirmed");
        assert!(
            suspected > crashed_ms && suspected < crashed_ms + LEASE_MS,
            "{suspected}"
        );
        // Guard: the verdict comes with the end of the registration, neither before nor much later.
        let ended = crashed_ms + LEASE_MS;
        assert!((ended - 200..=ended + 200).contains(&confirmed), "{confirmed}");
    }
    assert_eq!(cluster.count(is_cleared), 0);
}

#[test]
fn without_an_arbiter_nobody_is_ever_confirmed() {
    // Guard: silence alone is no verdict, however long it lasts.
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.store.reachable = false;
    cluster.crash(2);
    cluster.run(100 * LEASE_MS);
    assert_eq!(cluster.count(is_suspected), 2);
    assert_eq!(cluster.count(is_confirmed), 0);
    // It can be reached again: what it says now is newer than the suspicion.
    cluster.store.reachable = true;
    cluster.run(1_000);
    assert_eq!(cluster.count(is_confirmed), 2);
}

#[test]
fn a_registration_that_was_seen_to_be_missing_before_the_suspicion_is_no_evidence() {
    let mut at_a = detector(&["b"]);
    for second in 1..=30 {
        let sign = heartbeat("b", 2, second);
        at_a.on_heartbeat(second * 1_000, Channel::Scheduled, &sign)
            .expect("news");
        at_a.tick(second * 1_000, &Store::present("b", 2, second * 1_000));
    }
    // The last look at the store is from before the silence: the member may have registered since.
    let old = Store::absent(30_000);
    let mut events = Vec::new();
    for step in 301..600 {
        events.extend(at_a.tick(step * 100, &old));
    }
    assert!(events.iter().any(is_suspected));
    assert!(!events.iter().any(is_confirmed));
    let fresh = at_a.tick(60_000, &Store::absent(60_000));
    assert!(matches!(fresh.as_slice(), [Event::Confirmed { .. }]), "{fresh:?}");
}

#[test]
fn a_grant_that_has_not_run_out_holds_the_verdict_back() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.crash(2);
    cluster.store.granted_until_ms = cluster.now_ms + 5 * LEASE_MS;
    cluster.run(5 * LEASE_MS - 1_000);
    assert_eq!(cluster.count(is_confirmed), 0);
    cluster.run(2_000);
    assert_eq!(cluster.count(is_confirmed), 2);
}

#[test]
fn a_pause_shorter_than_the_lease_is_refuted_and_loses_nothing() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(60_000);
    cluster.pause(2);
    cluster.run(LEASE_MS - 1_500);
    assert_eq!(cluster.count(is_suspected), 2);
    cluster.resume(2);
    cluster.run(10_000);
    assert_eq!(cluster.count(is_cleared), 2);
    assert_eq!(cluster.count(is_confirmed), 0);
    // Guard: the pause of the one that was paused is no silence of the others.
    assert_eq!(cluster.first(2, is_suspected), None);
    let paused = |e: &Event| matches!(e, Event::Impaired { paused_ms: 5_000.. });
    assert!(cluster.first(2, paused).is_some());
}

#[test]
fn what_a_confirmed_life_sends_late_is_no_evidence_and_a_new_life_returns() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.crash(2);
    cluster.run(2 * LEASE_MS);
    let late = heartbeat("m2", cluster.life(2), 1_000);
    let now_ms = cluster.now_ms;
    let refused = cluster.detectors[0].on_heartbeat(now_ms, Channel::Scheduled, &late);
    assert!(
        matches!(refused, Err(Rejection::EndedIncarnation { .. })),
        "{refused:?}"
    );
    assert!(matches!(cluster.state(0, 2), Some(MemberState::Confirmed(_))));
    cluster.restart(2);
    cluster.run(3_000);
    assert_eq!(cluster.count(|e| matches!(e, Event::Returned { .. })), 2);
    assert_eq!(cluster.state(0, 2), Some(MemberState::Alive));
}

#[test]
fn a_life_that_registers_and_is_never_heard_is_suspected_and_confirmed_as_well() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    cluster.crash(2);
    cluster.run(2 * LEASE_MS);
    assert_eq!(cluster.count(is_confirmed), 2);
    // Guard: what the arbiter lists is a member again, whether it is heard or not.
    cluster.cut_one_way(2, 0);
    cluster.cut_one_way(2, 1);
    cluster.restart(2);
    cluster.run(2 * LEASE_MS);
    assert_eq!(cluster.count(|e| matches!(e, Event::Returned { .. })), 2);
    assert_eq!(cluster.count(is_suspected), 4);
    cluster.crash(2);
    cluster.run(2 * LEASE_MS);
    assert_eq!(cluster.count(is_confirmed), 4);
}

#[test]
fn what_an_earlier_process_left_registered_does_not_supersede_the_present_one() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    // It is heard before it comes to register, and then not for a while.
    cluster.restart_unregistered(2, 5_000);
    cluster.run(1_000);
    cluster.cut_one_way(2, 0);
    cluster.cut_one_way(2, 1);
    cluster.run(6_000);
    assert_eq!(cluster.count(is_suspected), 2);
    assert_eq!(cluster.count(is_confirmed), 0);
    cluster.heal(2, 0);
    cluster.heal(2, 1);
    cluster.run(3_000);
    assert_eq!(cluster.state(0, 2), Some(MemberState::Alive));
}

#[test]
fn a_member_whose_version_tells_no_life_is_judged_by_its_contacts() {
    let mut at_a = detector(&["b"]);
    for step in 1..=600 {
        let now_ms = step * 100;
        if now_ms <= 30_000 && now_ms % 1_000 == 0 {
            at_a.on_contact(now_ms, &member("b"), Channel::Scheduled);
        }
        at_a.tick(now_ms, &Store::present("b", 2, now_ms));
        let suspected = matches!(at_a.state(&member("b")), Some(MemberState::Suspected(_)));
        assert_eq!(suspected, now_ms > 33_400, "at {now_ms}");
    }
    let events = at_a.on_contact(60_100, &member("b"), Channel::Answer);
    assert!(matches!(events.as_slice(), [Event::Cleared { .. }]), "{events:?}");
}

#[test]
fn back_within_a_moment_supersedes_the_earlier_life() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    let late = heartbeat("m2", cluster.life(2), 1_000);
    cluster.restart(2);
    cluster.run(5_000);
    assert_eq!(cluster.count(is_suspected), 0);
    let now_ms = cluster.now_ms;
    let refused = cluster.detectors[0].on_heartbeat(now_ms, Channel::Scheduled, &late);
    assert!(
        matches!(refused, Err(Rejection::EndedIncarnation { .. })),
        "{refused:?}"
    );
}

#[test]
fn a_late_message_of_an_earlier_life_does_not_shut_out_the_registered_one() {
    // Guard: lives have no order. One that comes after the registered life, though it is older, is taken for a newer
    // one at first; a lease later the arbiter shows which of them is true.
    let mut at_a = detector(&["b"]);
    let mut sequence = 0;
    let mut send = |at_a: &mut FailureDetector, now_ms: u64| {
        sequence += 1;
        let refused = at_a.on_heartbeat(now_ms, Channel::Scheduled, &heartbeat("b", 7, sequence));
        at_a.tick(now_ms, &Store::present("b", 7, now_ms));
        refused
    };
    for second in 1..=10 {
        send(&mut at_a, second * 1_000).expect("news");
    }
    at_a.on_heartbeat(10_500, Channel::Scheduled, &heartbeat("b", 3, 99))
        .expect("taken for a new life");
    assert!(send(&mut at_a, 11_000).is_err());
    for second in 12..=20 {
        let _ = send(&mut at_a, second * 1_000);
    }
    send(&mut at_a, 21_000).expect("the registered life is heard again");
    assert_eq!(at_a.state(&member("b")), Some(MemberState::Alive));
}

#[test]
fn a_release_confirms_without_waiting_for_the_lease() {
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
    assert_eq!(cluster.count(released), 2);
}

#[test]
fn one_that_a_single_member_does_not_hear_is_cleared_by_the_others() {
    let mut cluster = Cluster::new(4, Policy::default());
    cluster.run(30_000);
    cluster.cut_one_way(2, 0);
    cluster.run(60_000);
    // Guard: what others hear counts before a suspicion is raised.
    assert_eq!(cluster.count(is_suspected), 0);
}

#[test]
fn a_suspicion_that_others_can_refute_ends_by_the_refutation() {
    // The ways from one member to all others are cut; then only the way to one observer stays cut.
    let mut cluster = Cluster::new(4, Policy::default());
    cluster.run(30_000);
    for other in [0, 1, 3] {
        cluster.cut_one_way(2, other);
    }
    cluster.run(LEASE_MS - 2_000);
    assert_eq!(cluster.count(is_suspected), 3);
    cluster.heal(2, 1);
    cluster.heal(2, 3);
    cluster.run(5_000);
    assert_eq!(cluster.state(0, 2), Some(MemberState::Alive));
    let refuted = |e: &Event| {
        matches!(
            e,
            Event::Cleared {
                by: Cleared::Refuted,
                ..
            }
        )
    };
    assert!(cluster.first(0, refuted).is_some());
    assert!(cluster.first(2, |e| matches!(e, Event::RefutedOwn { .. })).is_some());
}

#[test]
fn who_hears_nobody_suspects_itself_first() {
    let mut cluster = Cluster::new(5, Policy::default());
    cluster.run(30_000);
    for other in 1..5 {
        cluster.cut_one_way(other, 0);
        cluster.cut_one_way(0, other);
    }
    cluster.run(2 * LEASE_MS);
    let by_the_rest = cluster.first(1, is_suspected).expect("suspected");
    let by_the_lone = cluster.first(0, is_suspected).expect("suspected");
    assert!(by_the_rest < by_the_lone, "{by_the_rest} {by_the_lone}");
    let itself = cluster.first(0, |e| matches!(e, Event::Impaired { paused_ms: 0 }));
    assert!(itself.is_some_and(|at| at < by_the_lone));
}

#[test]
fn one_that_flaps_takes_ever_more_heartbeats_to_clear() {
    let mut cluster = Cluster::new(3, Policy::default());
    cluster.run(30_000);
    let mut cleared_after = Vec::new();
    for _ in 0..6 {
        cluster.pause(2);
        cluster.run(LEASE_MS - 1_500);
        cluster.resume(2);
        let resumed_ms = cluster.now_ms;
        let before = cluster.count(is_cleared);
        while cluster.count(is_cleared) < before + 2 {
            cluster.run(100);
            assert!(cluster.now_ms < resumed_ms + 20_000, "never cleared");
        }
        cleared_after.push(cluster.now_ms - resumed_ms);
        cluster.run(5_000);
    }
    assert!(cleared_after[5] > cleared_after[0] + 1_000, "{cleared_after:?}");
    // Guard: damping has a bound.
    assert!(cleared_after.iter().all(|ms| *ms < 10_000), "{cleared_after:?}");
    cluster.run(100 * LEASE_MS);
    cluster.pause(2);
    cluster.run(LEASE_MS - 1_500);
    cluster.resume(2);
    cluster.run(1_300);
    assert_eq!(cluster.state(0, 2), Some(MemberState::Alive), "old flaps are forgotten");
}

#[test]
fn a_malformed_foreign_or_old_message_changes_nothing() {
    let mut at_a = detector(&["b", "c"]);
    at_a.on_heartbeat(1_000, Channel::Scheduled, &heartbeat("b", 2, 5))
        .expect("news");
    let before = at_a.clone();
    let mut too_many = heartbeat("b", 2, 6);
    too_many.claims = vec![alive("c", 3); 4];
    let overtaken = |sequence| Rejection::OutdatedSequence {
        from: member("b"),
        sequence,
        newest: 5,
    };
    let oversized = Rejection::TooManyClaims {
        from: member("b"),
        claims: 4,
        max_claims: 3,
    };
    for (message, expected) in [
        (heartbeat("z", 9, 1), Rejection::UnknownSender(member("z"))),
        (heartbeat("a", 1, 1), Rejection::OwnMessage),
        (heartbeat("b", 0, 6), Rejection::MissingIncarnation(member("b"))),
        (heartbeat("b", 2, 5), overtaken(5)),
        (heartbeat("b", 2, 4), overtaken(4)),
        (too_many, oversized),
    ] {
        assert_eq!(at_a.on_heartbeat(1_000, Channel::Scheduled, &message), Err(expected));
        assert_eq!(at_a, before);
    }
}

#[test]
fn claims_that_are_no_evidence_are_named() {
    let mut at_a = detector(&["b", "c"]);
    at_a.on_heartbeat(500, Channel::Scheduled, &heartbeat("c", 3, 1))
        .expect("news");
    let mut message = heartbeat("b", 2, 1);
    message.claims = vec![alive("z", 9), alive("b", 2), alive("c", 4)];
    let events = at_a.on_heartbeat(1_000, Channel::Scheduled, &message).expect("news");
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
fn impossible_settings_are_named() {
    let policy = Policy {
        window: 1,
        threshold_milliphi: 0,
        probe_wait_permille: 8_000,
        ..Policy::default()
    };
    let faults = policy.check(TIMING).expect_err("impossible").0;
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field).collect();
    assert_eq!(fields, ["threshold_milliphi", "window", "probe_wait_permille"]);
    let short = Timing {
        heartbeat_ms: 1_000,
        lease_ms: 1_500,
    };
    let faults = Policy::default().check(short).expect_err("impossible");
    assert!(faults.to_string().starts_with("lease_ms:"), "{faults}");
}
