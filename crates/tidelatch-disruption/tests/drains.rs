//! Tests of the steps of a machine's drain, and of the decision to wait for a task to finish.

use tidelatch_disruption::{InterruptionCost, MachineDrain, MachineName, Observation, Replacement, Step};

fn observe_busy_machine() -> Observation {
    Observation {
        is_empty: false,
        requires_replacement: true,
        candidate: None,
        replacement: None,
    }
}

fn observe_candidate() -> Observation {
    Observation {
        candidate: Some(MachineName::new("r-1")),
        ..observe_busy_machine()
    }
}

fn observe_replacement(replacement: Replacement) -> Observation {
    Observation {
        replacement: Some(replacement),
        ..observe_busy_machine()
    }
}

#[test]
fn evictions_wait_until_the_replacement_is_ready() {
    let mut drain = MachineDrain::new(0);
    assert_eq!(drain.advance(1, &observe_busy_machine()), Some(Step::ReplacementWanted));
    assert!(drain.wants_replacement());
    assert_eq!(
        drain.advance(2, &observe_busy_machine()),
        None,
        "no candidate machine exists yet"
    );
    assert_eq!(drain.advance(3, &observe_candidate()), Some(Step::ReplacementBooting));
    assert_eq!(
        drain.advance(4, &observe_replacement(Replacement::Booting)),
        None,
        "the replacement is still booting"
    );
    assert_eq!(
        drain.advance(5, &observe_replacement(Replacement::Ready)),
        Some(Step::ReplacementReady)
    );
    assert_eq!(
        drain.advance(6, &observe_replacement(Replacement::Ready)),
        Some(Step::Evicting)
    );
    assert_eq!(drain.advance(7, &observe_replacement(Replacement::Ready)), None);
    let empty = Observation {
        is_empty: true,
        ..observe_busy_machine()
    };
    assert_eq!(drain.advance(8, &empty), Some(Step::Empty));
    assert_eq!((drain.begun_ms(), drain.step_since_ms()), (0, 8));
}

#[test]
fn lost_replacement_is_replaced_if_evictions_have_not_begun() {
    for ready in [false, true] {
        let mut drain = MachineDrain::new(0);
        drain.advance(1, &observe_busy_machine());
        drain.advance(2, &observe_candidate());
        if ready {
            drain.advance(3, &observe_replacement(Replacement::Ready));
        }
        assert_eq!(
            drain.advance(4, &observe_replacement(Replacement::Lost)),
            Some(Step::ReplacementWanted)
        );
        assert_eq!(drain.replacement(), None);
    }
}

#[test]
fn evictions_begin_at_once_if_no_replacement_is_required() {
    let mut drain = MachineDrain::new(0);
    let without_replacement = Observation {
        requires_replacement: false,
        ..observe_busy_machine()
    };
    assert_eq!(drain.advance(1, &without_replacement), Some(Step::Evicting));
    let empty = Observation {
        is_empty: true,
        ..without_replacement.clone()
    };
    assert_eq!(drain.advance(2, &empty), Some(Step::Empty));
    assert_eq!(
        drain.advance(3, &without_replacement),
        Some(Step::Evicting),
        "a late report showed a unit on the machine"
    );
}

#[test]
fn task_is_waited_for_if_nearly_finished_or_if_moving_it_misses_the_deadline() {
    let task = InterruptionCost {
        remaining_s: 100.0,
        lost_s: 20.0,
        fetch_s: 5.0,
        time_to_deadline_s: None,
    };
    assert!(!task.is_waiting_cheaper());
    assert!(
        InterruptionCost {
            remaining_s: 24.0,
            ..task
        }
        .is_waiting_cheaper()
    );
    let with_slack = |time_to_deadline_s| InterruptionCost {
        time_to_deadline_s: Some(time_to_deadline_s),
        ..task
    };
    assert!(
        with_slack(110.0).is_waiting_cheaper(),
        "if moved, the task would finish after 125 s"
    );
    assert!(!with_slack(126.0).is_waiting_cheaper());
    assert!(
        !with_slack(99.0).is_waiting_cheaper(),
        "the task misses the deadline in either case"
    );
}
