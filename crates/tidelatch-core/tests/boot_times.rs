//! Detection of machines that are late to boot, and the number of replacements that are rented at a time.

use std::collections::BTreeSet;
use tidelatch_core::capacity::{BootTimes, BootingMachine};
use tidelatch_core::ids::MachineId;
use tidelatch_core::protocol::MachineType;

const BOOT_S: f64 = 40.0;
/// A machine is late after one and a half nominal boot times, until longer boots have been observed.
const LATE_MS: u64 = 60_000;
/// Time from the end of a boot until the machine's first report.
const GRACE_MS: u64 = 5_000;

fn machine_type() -> MachineType {
    serde_json::from_value(serde_json::json!({
        "label": "m2", "vcpus": 24.0, "accelerators": 2.0, "ramGb": 144.0, "localGb": 100.0, "pullGbPerS": 1.0,
        "rate": 7.0, "marketPrice": 3.0, "startupS": BOOT_S, "yards": ["a"]
    }))
    .expect("a valid machine type")
}

/// Booting machines that were rented at these times.
fn booting_machines(rented_ms: &[u64]) -> Vec<BootingMachine> {
    let machine = |(n, rented_ms): (usize, &u64)| BootingMachine {
        id: MachineId::new(format!("n-{n:06}")),
        model: "m2".to_owned(),
        rented_at_ms: *rented_ms,
    };
    rented_ms.iter().enumerate().map(machine).collect()
}

/// Late machines for which replacements are rented.
fn machines_to_replace(boots: &BootTimes, machines: &[BootingMachine], now: u64) -> BTreeSet<MachineId> {
    boots.late_machines_to_replace(machines, &[machine_type()], now, GRACE_MS)
}

#[test]
fn no_machine_is_late_within_the_usual_boot_time() {
    let boots = BootTimes::default();
    assert!(machines_to_replace(&boots, &booting_machines(&[0; 8]), LATE_MS + GRACE_MS).is_empty());
    assert_eq!(
        machines_to_replace(&boots, &booting_machines(&[0]), LATE_MS + GRACE_MS + 1).len(),
        1
    );
}

#[test]
fn a_quarter_of_the_machines_is_replaced_at_a_time_when_all_are_late() {
    let boots = BootTimes::default();
    let replacement_interval_ms = LATE_MS + GRACE_MS;
    assert_eq!(
        machines_to_replace(&boots, &booting_machines(&[0; 8]), replacement_interval_ms + 1).len(),
        2
    );
    // Once the two replacements are late as well, another quarter is replaced.
    let with_replacements =
        booting_machines(&[0, 0, 0, 0, 0, 0, 0, 0, replacement_interval_ms, replacement_interval_ms]);
    assert_eq!(
        machines_to_replace(&boots, &with_replacements, 2 * replacement_interval_ms - 1).len(),
        2
    );
    assert_eq!(
        machines_to_replace(&boots, &with_replacements, 2 * replacement_interval_ms + 1).len(),
        4
    );
}

#[test]
fn all_late_machines_are_replaced_once_a_machine_rented_later_has_booted() {
    let mut boots = BootTimes::default();
    boots.record_boot(&machine_type(), 10_000, 50_000);
    assert_eq!(
        machines_to_replace(&boots, &booting_machines(&[0; 8]), LATE_MS + GRACE_MS + 1).len(),
        8
    );
    let limit_s = boots.late_after_s(&machine_type());
    assert!(boots.give_up_after_s(&machine_type(), 0) < boots.give_up_after_s(&machine_type(), 20_000));
    assert!(boots.give_up_after_s(&machine_type(), 0) > limit_s);
}

#[test]
fn slow_boots_raise_the_limit_and_usual_boots_lower_it_again() {
    let mut boots = BootTimes::default();
    let slow_ms = 160_000;
    boots.record_boot(&machine_type(), 0, slow_ms);
    let limit_s = |boots: &BootTimes| boots.late_after_s(&machine_type());
    assert_eq!(
        limit_s(&boots) * 1000.0,
        LATE_MS as f64,
        "one slow boot does not raise the limit"
    );
    for _ in 0..3 {
        boots.record_boot(&machine_type(), 0, slow_ms);
    }
    assert_eq!(limit_s(&boots) * 1000.0, slow_ms as f64);
    for n in 0..16 {
        boots.record_boot(&machine_type(), n, n + 40_000);
    }
    assert_eq!(limit_s(&boots) * 1000.0, LATE_MS as f64);
    for n in 0..16 {
        boots.record_boot(&machine_type(), n, n + 1_000);
    }
    assert_eq!(
        limit_s(&boots) * 1000.0,
        LATE_MS as f64,
        "boots faster than usual do not lower the limit"
    );
}
