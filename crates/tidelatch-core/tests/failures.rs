//! Retry delays of a job whose repeated failures are suspected to be the job's own fault.

use tidelatch_core::failures::retry_delay_ms;
use tidelatch_core::ids::JobId;

const REPORT_MS: u64 = 2500;

fn job_id(name: &str) -> JobId {
    JobId::parse(name).expect("a valid job id")
}

#[test]
fn the_retry_delay_doubles_with_each_retry_up_to_a_maximum() {
    let job = job_id("job-000001");
    for retry in 0..=20 {
        let base_ms = REPORT_MS << retry.min(6);
        let delay_ms = retry_delay_ms(&job, retry, REPORT_MS);
        assert!(
            (base_ms..=base_ms + base_ms / 2).contains(&delay_ms),
            "retry {retry}: {delay_ms} ms"
        );
    }
}

#[test]
fn jobs_that_fail_at_the_same_time_get_different_retry_delays() {
    let delays_ms: std::collections::BTreeSet<u64> = (0..20)
        .map(|n| retry_delay_ms(&job_id(&format!("job-{n:06}")), 3, REPORT_MS))
        .collect();
    assert!(delays_ms.len() > 15, "{delays_ms:?}");
    let repeated_ms = retry_delay_ms(&job_id("job-000001"), 3, REPORT_MS);
    assert!(delays_ms.contains(&repeated_ms), "the delay of a job is deterministic");
}
