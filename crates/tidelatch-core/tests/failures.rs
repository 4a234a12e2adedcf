//! The pauses before retries of a job that is suspected of a mistake.

use tidelatch_core::failures::retry_delay_ms;
use tidelatch_core::ids::JobId;

const REPORT_MS: u64 = 2500;

fn id(name: &str) -> JobId {
    JobId::parse(name).expect("in form")
}

#[test]
fn the_pause_doubles_with_each_retry_up_to_a_bound() {
    let job = id("job-000001");
    for retry in 0..=20 {
        let base = REPORT_MS << retry.min(6);
        let delay = retry_delay_ms(&job, retry, REPORT_MS);
        assert!((base..=base + base / 2).contains(&delay), "retry {retry}: {delay}");
    }
}

#[test]
fn jobs_that_failed_together_are_not_retried_together() {
    let delays: std::collections::BTreeSet<u64> = (0..20)
        .map(|n| retry_delay_ms(&id(&format!("job-{n:06}")), 3, REPORT_MS))
        .collect();
    assert!(delays.len() > 15, "{delays:?}");
    let again = retry_delay_ms(&id("job-000001"), 3, REPORT_MS);
    assert!(delays.contains(&again), "the same each time");
}
