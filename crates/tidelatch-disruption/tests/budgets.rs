//! Property tests of budgets, amounts and machine sets, with fixed seeds.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tidelatch_disruption::{Amount, Budget, MachineName, MachineSet};

/// A runner that generates the same cases in every run.
fn runner() -> TestRunner {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn any_amount() -> impl Strategy<Value = Amount> {
    prop_oneof![
        (0u32..2_000).prop_map(Amount::Count),
        (0u8..=100).prop_map(Amount::Percent),
        (0u8..=100).prop_map(Amount::PercentOrOne),
    ]
}

#[test]
fn allowance_is_at_most_the_scope_size_and_is_rounded_down() {
    let strategy = (any_amount(), 0u32..5_000);
    let property = |(amount, size): (Amount, u32)| {
        let max_unavailable = Budget::MaxUnavailable(amount).allowance(size);
        let min_available = Budget::MinAvailable(amount).allowance(size);
        prop_assert!(max_unavailable <= size && min_available <= size);
        if let Amount::Percent(percent) = amount {
            let exact = f64::from(size) * f64::from(percent) / 100.0;
            prop_assert!(f64::from(max_unavailable) <= exact + 1e-9 && exact < f64::from(max_unavailable) + 1.0);
            // The minimum number of available units is kept, whatever the rounding.
            prop_assert!(f64::from(size - min_available) + 1e-9 >= exact);
        }
        if Budget::MaxUnavailable(amount).never_permits_disruption() {
            prop_assert_eq!(max_unavailable, 0);
        }
        if Budget::MinAvailable(amount).never_permits_disruption() {
            prop_assert_eq!(min_available, 0);
        }
        Ok(())
    };
    runner()
        .run(&strategy, property)
        .expect("the property holds for each case");
}

#[test]
fn allowance_never_decreases_as_the_scope_grows() {
    let strategy = (any_amount(), 0u32..5_000, 0u32..500);
    let property = |(amount, size, more): (Amount, u32, u32)| {
        for budget in [Budget::MaxUnavailable(amount), Budget::MinAvailable(amount)] {
            prop_assert!(budget.allowance(size) <= budget.allowance(size + more));
        }
        Ok(())
    };
    runner()
        .run(&strategy, property)
        .expect("the property holds for each case");
}

#[test]
fn amounts_round_trip_through_text_and_invalid_texts_are_rejected() {
    for text in ["0", "7", "0%", "25%", "100%"] {
        assert_eq!(text.parse::<Amount>().expect("an amount").to_string(), text);
    }
    for text in ["", "-1", "101%", "1.5", "%", "7 %", "many"] {
        assert!(text.parse::<Amount>().is_err(), "{text}");
    }
    assert_eq!(Amount::PercentOrOne(5).of(3), 1);
    assert_eq!(Amount::Percent(5).of(19), 0);
    assert_eq!(Budget::MinAvailable(Amount::Percent(90)).allowance(19), 1);
}

#[test]
fn machine_set_round_trips_through_its_stored_parts() {
    let names = prop_oneof![
        (0u32..20_000).prop_map(|n| format!("n-{n:06}")),
        (0u64..u64::MAX).prop_map(|n| format!("{n}")),
        "[a-z]{1,8}",
        "[a-z]{1,4}-[0-9]{1,12}",
    ];
    let strategy = prop::collection::btree_set(names, 0..400);
    let property = |names: std::collections::BTreeSet<String>| {
        let mut set = MachineSet::default();
        names.iter().for_each(|name| set.insert(&MachineName::new(name)));
        prop_assert_eq!(set.len(), names.len() as u64);
        let mut restored = MachineSet::default();
        for part in set.parts(600) {
            let text = serde_json::to_string(&part).expect("it is JSON");
            prop_assert!(text.len() <= 600, "{} bytes", text.len());
            let part = serde_json::from_str(&text).expect("it is read");
            restored.add_part(&part).expect("it is in order");
        }
        prop_assert_eq!(&restored, &set);
        prop_assert!(names.iter().all(|name| restored.contains(&MachineName::new(name))));
        prop_assert!(!restored.contains(&MachineName::new("none-such-1")));
        Ok(())
    };
    runner()
        .run(&strategy, property)
        .expect("the property holds for each case");
}

#[test]
fn four_thousand_machines_fit_into_small_stored_values() {
    let store = |numbers: &mut dyn Iterator<Item = u32>| {
        let mut set = MachineSet::default();
        numbers.for_each(|n| set.insert(&MachineName::new(format!("n-{n:06}"))));
        let parts = set.parts(1_536);
        let bytes = parts
            .iter()
            .map(|part| serde_json::to_string(part).expect("it is JSON").len());
        (parts.len(), bytes.max().unwrap_or(0))
    };
    // Consecutive numbers, and every second number: the best and the worst case for the size of a bitmap over one
    // range.
    let (parts, bytes) = store(&mut (1..=4_000));
    assert!(parts == 1 && bytes < 128, "{parts} parts of {bytes} bytes");
    let (parts, bytes) = store(&mut (1..=8_000).step_by(2));
    assert!(parts <= 8 && bytes <= 1_536, "{parts} parts of {bytes} bytes");
}
