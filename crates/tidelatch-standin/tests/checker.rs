//! Tests of the checker of the protocol's rules: it lists a breach of each rule, and lists nothing for the closest
//! history that keeps the rule.

use serde_json::{Value, json};
use tidelatch_standin::checker::{MachineProperties, UNANSWERED_LIMIT_MS, UserRequest};
use tidelatch_standin::{CANCEL_MS, Checker, job};

/// A checker that knows three machines in zone a, two in zone b (one of them spot), and two teams with a limit of four
/// accelerators each.
fn new_checker() -> Checker {
    let mut checker = Checker::new(CANCEL_MS);
    checker.set_team_limit("team-0", 4.0);
    checker.set_team_limit("team-1", 4.0);
    for (name, zone, spot) in [
        ("a1", "a", false),
        ("a2", "a", false),
        ("a3", "a", false),
        ("b1", "b", false),
        ("b2", "b", true),
    ] {
        let (model, zone) = ("m2".to_owned(), zone.to_owned());
        checker.record_machine(name, MachineProperties { model, zone, spot });
    }
    checker
}

/// Submits a job at 0 ms and accepts it at 1 ms. Returns its id.
fn accept_job(checker: &mut Checker, body: &Value) -> String {
    let id = body["uid"].as_str().expect("a job has an id").to_owned();
    checker.record_submission(body);
    checker.record_request(0, &id, UserRequest::Submit);
    checker.record_answer(1, &id, 201, "queued");
    id
}

/// Returns a job with one field changed.
fn with_field(mut body: Value, field: &str, value: Value) -> Value {
    body[field] = value;
    body
}

/// Checks that one breach is listed, and that it is of this rule.
fn assert_one_breach(checker: &Checker, rule: &str) {
    let all = checker.breaches();
    assert_eq!(all.len(), 1, "{rule}: {all:?}");
    assert!(all.iter().all(|b| b.starts_with(&format!("{rule}: "))), "{all:?}");
}

/// Checks that no breach is listed.
fn assert_no_breaches(checker: &Checker) {
    assert!(checker.breaches().is_empty(), "{:?}", checker.breaches());
}

#[test]
fn a_task_on_two_machines_has_run_twice() {
    // Guards against a checker that misses a task on two machines at once, or that lists one which has ended, or lost
    // its machine, before it started elsewhere.
    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 2));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_image_fetched(1100, "a1", "job-000001/0", 1);
    c.record_start(2000, "a2", "job-000001/0", 2);
    assert_one_breach(&c, "ran_twice");

    // The task has ended on the first machine at the same time.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 0, "sweep", 2));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_image_fetched(1100, "a1", "job-000001/0", 1);
    c.record_end(2000, "a1", "job-000001/0", 1);
    c.record_start(2000, "a2", "job-000001/0", 2);
    c.record_image_fetched(3000, "a2", "job-000001/0", 2);
    // Another task of the job starts on another machine, and the same task starts again on its own.
    c.record_start(3000, "a1", "job-000001/1", 2);
    c.record_end(3500, "a2", "job-000001/0", 2);
    c.record_start(3600, "a2", "job-000001/0", 3);
    assert_no_breaches(&c);

    // The machine is gone, and the task with it.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 0, "sweep", 2));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_machine_removed(1500, "a1");
    c.record_start(1500, "a2", "job-000001/0", 2);
    assert_no_breaches(&c);
    assert_eq!(c.cancellation_duration_ms(&j), None);
}

#[test]
fn a_start_that_was_not_reported_counts_once_its_image_is_there() {
    // Guards against a second run that the checker misses because it was not told of the start, only of the image.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 0, "sweep", 1));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_image_fetched(2000, "a2", "job-000001/0", 2);
    assert_one_breach(&c, "ran_twice");
}

#[test]
fn more_than_a_teams_limit_breaks_the_quota() {
    // Guards against a checker that misses a team above its limit, or that lists one at its limit.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 0, "sweep", 5));
    for i in 0..5 {
        c.record_start(100, ["a1", "a2", "a3"][i % 3], &format!("job-000001/{i}"), 1);
    }
    assert_one_breach(&c, "quota");

    // Two tasks of three accelerators each exceed the limit as well.
    let mut c = new_checker();
    accept_job(&mut c, &with_field(job(1, 0, "sweep", 2), "accelerators", json!(3.0)));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_start(100, "a2", "job-000001/1", 1);
    assert_one_breach(&c, "quota");

    // A team without a limit in the settings may use no accelerators.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 7, "sweep", 1));
    c.record_start(100, "a1", "job-000001/0", 1);
    assert_one_breach(&c, "quota");

    // These keep the limit: exactly the limit, another team's tasks, tasks without accelerators, and a task that
    // starts when another one has ended.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 0, "sweep", 5));
    accept_job(&mut c, &job(2, 1, "sweep", 4));
    accept_job(&mut c, &with_field(job(3, 0, "sweep", 9), "accelerators", json!(0.0)));
    for i in 0..4 {
        c.record_start(100, "a1", &format!("job-000001/{i}"), 1);
        c.record_start(100, "a2", &format!("job-000002/{i}"), 1);
    }
    for i in 0..9 {
        c.record_start(200, "a3", &format!("job-000003/{i}"), 1);
    }
    c.record_end(5000, "a1", "job-000001/0", 1);
    c.record_start(5000, "a1", "job-000001/4", 1);
    assert_no_breaches(&c);
}

#[test]
fn a_task_starts_only_where_its_job_allows() {
    // Guards against a checker that misses a task on a machine of the wrong type, zone or spot kind, or that lists a
    // task on a machine that its job allows. Each case has a field of the job, its value, a machine that breaks it and
    // one that does not.
    for (field, value, forbidden_machine, allowed_machine) in [
        ("models", json!(["g8"]), "a1", None),
        ("models", json!(["g8", "m2"]), "", Some("a1")),
        ("models", json!(null), "", Some("b1")),
        ("yard", json!("a"), "b1", Some("a1")),
        ("yard", json!(null), "", Some("b1")),
        ("standby", json!(false), "b2", Some("b1")),
        ("standby", json!(true), "", Some("b2")),
        ("standby", json!(true), "", Some("a1")),
    ] {
        let body = with_field(job(1, 0, "sweep", 1), field, value);
        if !forbidden_machine.is_empty() {
            let mut c = new_checker();
            accept_job(&mut c, &body);
            c.record_start(100, forbidden_machine, "job-000001/0", 1);
            assert_one_breach(&c, "wrong_place");
        }
        if let Some(allowed_machine) = allowed_machine {
            let mut c = new_checker();
            accept_job(&mut c, &body);
            c.record_start(100, allowed_machine, "job-000001/0", 1);
            c.record_image_fetched(1100, allowed_machine, "job-000001/0", 1);
            assert_no_breaches(&c);
        }
    }
}

#[test]
fn tasks_that_belong_together_start_in_one_zone() {
    // Guards against a checker that misses a job with `together` in two zones at once.
    let body = with_field(job(1, 0, "sweep", 3), "together", json!(true));
    let mut c = new_checker();
    accept_job(&mut c, &body);
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_start(200, "b1", "job-000001/1", 1);
    assert_one_breach(&c, "wrong_place");

    // The job may change its zone when no task is left in the old one. Tasks of other jobs may be in any zone.
    let mut c = new_checker();
    accept_job(&mut c, &body);
    accept_job(&mut c, &job(2, 0, "sweep", 1));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_start(100, "a2", "job-000001/1", 1);
    c.record_start(100, "b1", "job-000002/0", 1);
    c.record_end(5000, "a1", "job-000001/0", 1);
    c.record_machine_removed(5000, "a2");
    c.record_start(5000, "b1", "job-000001/1", 2);
    assert_no_breaches(&c);
}

#[test]
fn at_most_half_of_a_spread_job_starts_in_a_zone() {
    // Guards against a checker that misses a spread job with too many tasks in one zone. The limit is half of the
    // tasks, rounded up: two of three, two of four, one of one.
    for (tasks, max_in_zone) in [(1, 1), (2, 1), (3, 2), (4, 2)] {
        let body = with_field(job(1, 0, "standing", tasks), "spread", json!(true));
        let mut c = new_checker();
        accept_job(&mut c, &body);
        for i in 0..max_in_zone {
            c.record_start(100, "a1", &format!("job-000001/{i}"), 1);
        }
        for i in max_in_zone..tasks {
            c.record_start(100, "b1", &format!("job-000001/{i}"), 1);
        }
        assert_no_breaches(&c);
        if max_in_zone == tasks {
            continue;
        }
        let mut c = new_checker();
        accept_job(&mut c, &body);
        for i in 0..=max_in_zone {
            c.record_start(100, ["a1", "a2"][i as usize % 2], &format!("job-000001/{i}"), 1);
        }
        assert_one_breach(&c, "wrong_place");
    }
    // Only tasks that are on a machine at that moment count, not those that have ended.
    let mut c = new_checker();
    accept_job(&mut c, &with_field(job(1, 0, "standing", 2), "spread", json!(true)));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_end(5000, "a1", "job-000001/0", 1);
    c.record_start(5000, "a2", "job-000001/1", 1);
    assert_no_breaches(&c);
}

/// Starts one task of a job, cancels the job and tells its user so at 10 s. Returns the job's id.
fn cancel_job(c: &mut Checker) -> String {
    let j = accept_job(c, &job(1, 0, "standing", 2));
    c.record_start(100, "a1", "job-000001/0", 1);
    c.record_image_fetched(1100, "a1", "job-000001/0", 1);
    c.record_request(9_900, &j, UserRequest::Cancel);
    c.record_answer(10_000, &j, 200, "withdrawn");
    j
}

#[test]
fn no_task_of_a_cancelled_job_is_left_after_cancel_s() {
    // Guards against a checker that misses a cancelled task which is still on a machine after `cancel_s`, or that
    // lists one which was gone in time.
    let mut c = new_checker();
    cancel_job(&mut c);
    c.advance_time(10_000 + CANCEL_MS + 1);
    assert_one_breach(&c, "ran_cancelled");

    // A task that saves its state, or that no longer runs because its machine hangs, is still on its machine. The
    // checker looks at the time at which the task is gone, even if no user asked in between.
    let mut c = new_checker();
    cancel_job(&mut c);
    c.record_end(10_000 + CANCEL_MS + 1, "a1", "job-000001/0", 1);
    assert_one_breach(&c, "ran_cancelled");

    let mut c = new_checker();
    let j = cancel_job(&mut c);
    c.record_end(10_000 + CANCEL_MS, "a1", "job-000001/0", 1);
    c.advance_time(200_000);
    assert_no_breaches(&c);
    assert_eq!(c.cancellation_duration_ms(&j), Some(CANCEL_MS));
    assert_eq!(c.starts_after_cancellation(&j), 0);
}

#[test]
fn a_start_long_after_the_confirmation_is_a_breach_and_one_soon_after_is_counted() {
    // Guards against a checker that misses a start of a cancelled job, or that lists a start which was still in flight
    // at the confirmation.

    // A start that was in flight at the confirmation is permitted, but counted.
    let mut c = new_checker();
    let j = cancel_job(&mut c);
    c.record_end(10_200, "a1", "job-000001/0", 1);
    assert_eq!(c.cancellation_duration_ms(&j), Some(200));
    c.record_start(12_000, "a2", "job-000001/1", 1);
    assert_eq!(c.cancellation_duration_ms(&j), None);
    c.record_end(13_000, "a2", "job-000001/1", 1);
    c.advance_time(200_000);
    assert_no_breaches(&c);
    assert_eq!(
        (c.starts_after_cancellation(&j), c.start_orders_after_cancellation(&j)),
        (1, 0)
    );
    assert_eq!(c.cancellation_duration_ms(&j), Some(3000));
    assert_eq!(c.confirmed_cancellations().collect::<Vec<_>>(), ["job-000001"]);

    // A controller orders a start after the confirmation.
    c.record_start_order(200_000, "job-000001/1");
    assert_eq!((c.start_orders_after_cancellation(&j), c.start_order_count()), (1, 1));

    // The task starts too late, and is gone at once.
    c.record_start(200_000, "a2", "job-000001/1", 2);
    c.record_end(200_000, "a2", "job-000001/1", 2);
    assert_eq!(
        c.breaches(),
        [
            "ran_cancelled: job-000001/1 starts",
            "ran_cancelled: job-000001 is still on a machine"
        ]
    );
    assert_eq!(c.starts_after_cancellation(&j), 2);

    // Orders and starts before the confirmation are not counted, nor those of other jobs after it.
    let mut c = new_checker();
    c.record_start_order(50, "job-000001/0");
    let j = cancel_job(&mut c);
    let other = accept_job(&mut c, &job(2, 0, "sweep", 1));
    c.record_start_order(10_100, "job-000002/0");
    c.record_start(10_100, "a3", "job-000002/0", 1);
    assert_eq!(
        (c.starts_after_cancellation(&j), c.start_orders_after_cancellation(&j)),
        (0, 0)
    );
    assert_eq!(
        (
            c.starts_after_cancellation(&other),
            c.start_orders_after_cancellation(&other)
        ),
        (0, 0)
    );
}

#[test]
fn a_job_with_no_task_on_a_machine_is_gone_when_its_user_is_told() {
    // Guards against a checker that goes on waiting for the tasks of a cancelled job of which none is on a machine.
    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 1));
    c.record_request(5000, &j, UserRequest::Cancel);
    assert_eq!(c.cancellation_duration_ms(&j), None);
    c.record_answer(5100, &j, 200, "withdrawn");
    assert_eq!(c.cancellation_duration_ms(&j), Some(0));
    c.advance_time(500_000);
    assert_no_breaches(&c);
}

#[test]
fn an_accepted_job_is_not_denied() {
    // Guards against a checker that misses a 404, 400 or 422 for an accepted job, or that lists one which is right, or
    // a request to retry.
    for status in [404, 400, 422] {
        let mut c = new_checker();
        let j = accept_job(&mut c, &job(1, 0, "sweep", 1));
        c.record_request(5000, &j, UserRequest::Query);
        c.record_answer(5001, &j, status, "");
        assert_one_breach(&c, "forgotten");

        // The status is right before the job is accepted, and for a job that nobody submitted.
        let mut c = new_checker();
        c.record_submission(&job(1, 0, "sweep", 1));
        c.record_request(0, "job-000001", UserRequest::Submit);
        c.record_answer(1, "job-000001", status, "");
        c.record_answer(1, "job-000099", status, "");
        assert_no_breaches(&c);
    }
    // A request to retry does not deny the job.
    for status in [429, 503, 504] {
        let mut c = new_checker();
        let j = accept_job(&mut c, &job(1, 0, "sweep", 1));
        c.record_request(5000, &j, UserRequest::Query);
        c.record_answer(5001, &j, status, "");
        assert_no_breaches(&c);
    }
}

/// Asks about jobs 1 and 2 every 5 s, from 5 s until `until` (ms). `answered` says at which time a request about which
/// job gets an answer.
fn ask_every_5_s(c: &mut Checker, until: u64, answered: impl Fn(u64, u32) -> bool) {
    accept_job(c, &job(1, 0, "sweep", 1));
    accept_job(c, &job(2, 0, "sweep", 1));
    for at in (5_000..=until).step_by(5_000) {
        for i in [1, 2] {
            let j = format!("job-{i:06}");
            c.record_request(at, &j, UserRequest::Query);
            let status = if answered(at, i) { 200 } else { 503 };
            c.record_answer(at + 1, &j, status, if status == 200 { "queued" } else { "" });
        }
    }
}

#[test]
fn a_job_is_forgotten_if_only_requests_about_other_jobs_are_answered() {
    // Guards against a checker that misses a job about which no user is answered for `UNANSWERED_LIMIT_MS`, while users
    // of other jobs are answered.
    let mut c = new_checker();
    ask_every_5_s(&mut c, 5_000 + UNANSWERED_LIMIT_MS, |_, i| i == 2);
    assert_one_breach(&c, "forgotten");

    // The checker finds this as time passes, also without a request at that moment.
    let mut c = new_checker();
    ask_every_5_s(&mut c, UNANSWERED_LIMIT_MS, |_, i| i == 2);
    assert_no_breaches(&c);
    c.advance_time(5_000 + UNANSWERED_LIMIT_MS);
    assert_one_breach(&c, "forgotten");

    // A request without any answer counts like one that was answered with 503.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 0, "sweep", 1));
    accept_job(&mut c, &job(2, 0, "sweep", 1));
    for at in (5_000..=5_000 + UNANSWERED_LIMIT_MS).step_by(5_000) {
        c.record_request(at, "job-000001", UserRequest::Query);
        c.record_request(at, "job-000002", UserRequest::Query);
        c.record_answer(at + 1, "job-000002", 200, "queued");
    }
    assert_one_breach(&c, "forgotten");
}

#[test]
fn a_job_is_not_forgotten_without_a_long_wait_of_its_users_alone() {
    // Guards against a checker that lists a job as forgotten when its users waited only for a short time, when nobody
    // was answered, or when nobody asked.

    // There are answers in between.
    let mut c = new_checker();
    ask_every_5_s(&mut c, 160_000, |at, i| i == 2 || at == 70_000 || at == 140_000);
    assert_no_breaches(&c);

    // Nobody is answered, as in an outage.
    let mut c = new_checker();
    ask_every_5_s(&mut c, 300_000, |_, _| false);
    assert_no_breaches(&c);

    // Requests about one job are answered again earlier than those about the other.
    let mut c = new_checker();
    ask_every_5_s(&mut c, 100_000, |at, i| at == 100_000 || i == 2 && at > 85_000);
    assert_no_breaches(&c);

    // One request is not answered, and nobody asks again for a long time. Users of the other job ask and are answered.
    let mut c = new_checker();
    accept_job(&mut c, &job(1, 0, "sweep", 1));
    accept_job(&mut c, &job(2, 0, "sweep", 1));
    c.record_request(5_000, "job-000001", UserRequest::Query);
    for at in (5_000..=150_000).step_by(5_000) {
        c.record_request(at, "job-000002", UserRequest::Query);
        c.record_answer(at + 1, "job-000002", 200, "queued");
    }
    c.record_request(150_000, "job-000001", UserRequest::Query);
    c.record_answer(150_500, "job-000001", 200, "queued");
    assert_no_breaches(&c);
}

#[test]
fn a_job_that_nobody_submitted_is_invented() {
    // Guards against a checker that misses an answer about a job that nobody submitted, or that lists an answer about
    // a submission that is still open.
    let mut c = new_checker();
    c.record_request(5, "job-000009", UserRequest::Query);
    c.record_answer(10, "job-000009", 200, "queued");
    assert_one_breach(&c, "invented");

    let mut c = new_checker();
    c.record_submission(&job(9, 0, "sweep", 1));
    c.record_request(5, "job-000009", UserRequest::Submit);
    // The submission has not been answered yet, and another controller knows of it.
    c.record_request(6, "job-000009", UserRequest::Query);
    c.record_answer(10, "job-000009", 200, "queued");
    assert_no_breaches(&c);
}

#[test]
fn a_job_is_done_once_all_of_its_tasks_are() {
    // Guards against a checker that misses a `done` before all tasks of the job are done.
    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 3));
    c.record_completion("job-000001/0");
    c.record_completion("job-000001/2");
    // The same task is reported done twice.
    c.record_completion("job-000001/2");
    assert!(!c.is_job_done(&j));
    c.record_answer(5000, &j, 200, "done");
    assert_one_breach(&c, "not_done");

    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 3));
    for i in 0..3 {
        c.record_completion(&format!("job-000001/{i}"));
    }
    // `done` may be told late.
    c.record_answer(5000, &j, 200, "running");
    c.record_answer(5100, &j, 200, "done");
    assert_no_breaches(&c);

    // A repeated submission with other fields does not change the accepted job.
    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 3));
    c.record_submission(&job(1, 0, "sweep", 1));
    c.record_completion("job-000001/0");
    c.record_answer(5000, &j, 200, "done");
    assert_one_breach(&c, "not_done");
}

#[test]
fn a_final_state_does_not_change() {
    // Guards against a checker that misses a final state which a user is told first, and another state later.
    for (first, then) in [
        ("done", "running"),
        ("done", "queued"),
        ("done", "withdrawn"),
        ("withdrawn", "queued"),
        ("withdrawn", "running"),
        ("withdrawn", "done"),
    ] {
        let mut c = new_checker();
        let j = accept_job(&mut c, &job(1, 0, "sweep", 1));
        c.record_completion("job-000001/0");
        c.record_request(4000, &j, UserRequest::Cancel);
        c.record_answer(5000, &j, 200, first);
        // The same state again is right, and so is a 503.
        c.record_answer(5100, &j, 200, first);
        c.record_answer(5200, &j, 503, "");
        assert_no_breaches(&c);
        c.record_answer(5300, &j, 200, then);
        assert_one_breach(&c, "went_back");
    }
    // States that are not final may change either way.
    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 1));
    for said in ["running", "queued", "running"] {
        c.record_answer(5000, &j, 200, said);
    }
    assert_no_breaches(&c);
}

#[test]
fn only_a_job_whose_user_asked_to_cancel_it_is_cancelled() {
    // Guards against a checker that misses a `withdrawn` for a job that nobody asked to cancel, or that lists one for
    // a job whose cancellation was never answered.
    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 1));
    let other = accept_job(&mut c, &job(2, 0, "sweep", 1));
    c.record_request(4000, &other, UserRequest::Cancel);
    c.record_request(4000, &j, UserRequest::Query);
    c.record_answer(5000, &j, 200, "withdrawn");
    assert_one_breach(&c, "went_back");

    // The request to cancel was never answered, and a later request is.
    let mut c = new_checker();
    let j = accept_job(&mut c, &job(1, 0, "sweep", 1));
    c.record_request(4000, &j, UserRequest::Cancel);
    c.record_request(5000, &j, UserRequest::Query);
    c.record_answer(5001, &j, 200, "withdrawn");
    assert_no_breaches(&c);
}

#[test]
fn a_breach_is_listed_once() {
    // Guards against a checker that lists the same breach again each time it looks.
    let mut c = new_checker();
    cancel_job(&mut c);
    for at in 0..100 {
        c.advance_time(10_000 + CANCEL_MS + 1 + at);
    }
    assert_one_breach(&c, "ran_cancelled");
}
