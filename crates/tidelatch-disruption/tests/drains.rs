//! The steps of a machine's drain, and what is better waited for.

use tidelatch_disruption::{Interruption, MachineDrain, MachineName, Observation, Replacement, Step};

fn busy() -> Observation {
    Observation {
        is_empty: false,
        replace_ahead: true,
        candidate: None,
        replacement: None,
    }
}

fn with_candidate() -> Observation {
    Observation {
        candidate: Some(MachineName::new("r-1")),
        ..busy()
    }
}

fn replaced(replacement: Replacement) -> Observation {
    Observation {
        replacement: Some(replacement),
        ..busy()
    }
}

#[test]
fn a_replacement_is_ready_before_anything_is_evicted() {
    let mut drain = MachineDrain::new(0);
    assert_eq!(drain.advance(1, &busy()), Some(Step::ReplacementWanted));
    assert!(drain.wants_replacement());
    assert_eq!(drain.advance(2, &busy()), None, "the cloud has none yet");
    assert_eq!(drain.advance(3, &with_candidate()), Some(Step::ReplacementBooting));
    assert_eq!(drain.advance(4, &replaced(Replacement::Booting)), None, "it is cold");
    assert_eq!(
        drain.advance(5, &replaced(Replacement::Ready)),
        Some(Step::ReplacementReady)
    );
    assert_eq!(drain.advance(6, &replaced(Replacement::Ready)), Some(Step::Evicting));
    assert_eq!(drain.advance(7, &replaced(Replacement::Ready)), None);
    let empty = Observation {
        is_empty: true,
        ..busy()
    };
    assert_eq!(drain.advance(8, &empty), Some(Step::Empty));
    assert_eq!((drain.begun_ms(), drain.step_since_ms()), (0, 8));
}

#[test]
fn a_replacement_that_is_lost_before_the_evictions_is_replaced_itself() {
    for ready in [false, true] {
        let mut drain = MachineDrain::new(0);
        drain.advance(1, &busy());
        drain.advance(2, &with_candidate());
        if ready {
            drain.advance(3, &replaced(Replacement::Ready));
        }
        assert_eq!(
            drain.advance(4, &replaced(Replacement::Lost)),
            Some(Step::ReplacementWanted)
        );
        assert_eq!(drain.replacement(), None);
    }
}

#[test]
fn without_a_replacement_ahead_evictions_begin_at_once() {
    let mut drain = MachineDrain::new(0);
    let alone = Observation {
        replace_ahead: false,
        ..busy()
    };
    assert_eq!(drain.advance(1, &alone), Some(Step::Evicting));
    let empty = Observation {
        is_empty: true,
        ..alone.clone()
    };
    assert_eq!(drain.advance(2, &empty), Some(Step::Empty));
    assert_eq!(
        drain.advance(3, &alone),
        Some(Step::Evicting),
        "a late report found something on it"
    );
}

#[test]
fn a_task_that_is_nearly_finished_or_only_so_in_time_is_waited_for() {
    let task = Interruption {
        remaining_s: 100.0,
        lost_s: 20.0,
        fetch_s: 5.0,
        slack_s: None,
    };
    assert!(!task.is_worth_waiting());
    assert!(
        Interruption {
            remaining_s: 24.0,
            ..task
        }
        .is_worth_waiting()
    );
    let due = |slack_s| Interruption {
        slack_s: Some(slack_s),
        ..task
    };
    assert!(due(110.0).is_worth_waiting(), "moved it would end after 125 s");
    assert!(!due(126.0).is_worth_waiting());
    assert!(!due(99.0).is_worth_waiting(), "it is late either way");
}
