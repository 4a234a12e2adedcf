//! The checker of the protocol's rules: a breach of each rule is listed, and the nearest lawful history
//! beside it is not.

use serde_json::{Value, json};
use tidelatch_standin::checker::{Place, Question, SILENCE_MS};
use tidelatch_standin::{CANCEL_MS, Checker, job};

/// Three machines in zone a, two in b, one of them spot; a team with four accelerators.
fn checker() -> Checker {
    let mut checker = Checker::new(CANCEL_MS);
    checker.limit("team-0", 4.0);
    checker.limit("team-1", 4.0);
    for (name, zone, spot) in [
        ("a1", "a", false),
        ("a2", "a", false),
        ("a3", "a", false),
        ("b1", "b", false),
        ("b2", "b", true),
    ] {
        let (model, zone) = ("m2".to_owned(), zone.to_owned());
        checker.machine(name, Place { model, zone, spot });
    }
    checker
}

/// A job of team 0 that was submitted at 0 and accepted at 1 ms.
fn accepted(checker: &mut Checker, body: &Value) -> String {
    let id = body["uid"].as_str().expect("a job has an id").to_owned();
    checker.submitted(body);
    checker.asked(0, &id, Question::Submit);
    checker.answered(1, &id, 201, "queued");
    id
}

fn with(mut body: Value, field: &str, value: Value) -> Value {
    body[field] = value;
    body
}

/// One breach, of this rule.
fn breaks(checker: &Checker, rule: &str) {
    let all = checker.breaches();
    assert_eq!(all.len(), 1, "{rule}: {all:?}");
    assert!(all.iter().all(|b| b.starts_with(&format!("{rule}: "))), "{all:?}");
}

fn lawful(checker: &Checker) {
    assert!(checker.breaches().is_empty(), "{:?}", checker.breaches());
}

#[test]
fn a_task_on_two_machines_has_run_twice() {
    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 2));
    c.started(100, "a1", "job-000001/0", 1);
    c.has_image(1100, "a1", "job-000001/0", 1);
    c.started(2000, "a2", "job-000001/0", 2);
    breaks(&c, "ran_twice");

    // It has ended on the first machine, in the same moment.
    let mut c = checker();
    accepted(&mut c, &job(1, 0, "sweep", 2));
    c.started(100, "a1", "job-000001/0", 1);
    c.has_image(1100, "a1", "job-000001/0", 1);
    c.ended(2000, "a1", "job-000001/0", 1);
    c.started(2000, "a2", "job-000001/0", 2);
    c.has_image(3000, "a2", "job-000001/0", 2);
    // Another task of the job elsewhere; the same one again where it was.
    c.started(3000, "a1", "job-000001/1", 2);
    c.ended(3500, "a2", "job-000001/0", 2);
    c.started(3600, "a2", "job-000001/0", 3);
    lawful(&c);

    // The machine is gone, and the task with it.
    let mut c = checker();
    accepted(&mut c, &job(1, 0, "sweep", 2));
    c.started(100, "a1", "job-000001/0", 1);
    c.machine_gone(1500, "a1");
    c.started(1500, "a2", "job-000001/0", 2);
    lawful(&c);
    assert_eq!(c.gone_after_confirmation(&j), None);
}

#[test]
fn a_start_that_was_not_heard_of_counts_once_its_image_is_there() {
    let mut c = checker();
    accepted(&mut c, &job(1, 0, "sweep", 1));
    c.started(100, "a1", "job-000001/0", 1);
    c.has_image(2000, "a2", "job-000001/0", 2);
    breaks(&c, "ran_twice");
}

#[test]
fn more_than_a_teams_limit_breaks_the_quota() {
    let mut c = checker();
    accepted(&mut c, &job(1, 0, "sweep", 5));
    for i in 0..5 {
        c.started(100, ["a1", "a2", "a3"][i % 3], &format!("job-000001/{i}"), 1);
    }
    breaks(&c, "quota");

    // Two tasks of three accelerators are too much as well.
    let mut c = checker();
    accepted(&mut c, &with(job(1, 0, "sweep", 2), "accelerators", json!(3.0)));
    c.started(100, "a1", "job-000001/0", 1);
    c.started(100, "a2", "job-000001/1", 1);
    breaks(&c, "quota");

    // A team that has no limit in the settings has no accelerators.
    let mut c = checker();
    accepted(&mut c, &job(1, 7, "sweep", 1));
    c.started(100, "a1", "job-000001/0", 1);
    breaks(&c, "quota");

    // Exactly the limit; another team's tasks; tasks with no accelerators; one after another.
    let mut c = checker();
    accepted(&mut c, &job(1, 0, "sweep", 5));
    accepted(&mut c, &job(2, 1, "sweep", 4));
    accepted(&mut c, &with(job(3, 0, "sweep", 9), "accelerators", json!(0.0)));
    for i in 0..4 {
        c.started(100, "a1", &format!("job-000001/{i}"), 1);
        c.started(100, "a2", &format!("job-000002/{i}"), 1);
    }
    for i in 0..9 {
        c.started(200, "a3", &format!("job-000003/{i}"), 1);
    }
    c.ended(5000, "a1", "job-000001/0", 1);
    c.started(5000, "a1", "job-000001/4", 1);
    lawful(&c);
}

#[test]
fn a_task_starts_only_where_its_job_allows() {
    // Type, zone and spot kind: what the job says, the machine that breaks it, and the one that does not.
    for (field, value, wrong, right) in [
        ("models", json!(["g8"]), "a1", None),
        ("models", json!(["g8", "m2"]), "", Some("a1")),
        ("models", json!(null), "", Some("b1")),
        ("yard", json!("a"), "b1", Some("a1")),
        ("yard", json!(null), "", Some("b1")),
        ("standby", json!(false), "b2", Some("b1")),
        ("standby", json!(true), "", Some("b2")),
        ("standby", json!(true), "", Some("a1")),
    ] {
        let body = with(job(1, 0, "sweep", 1), field, value);
        if !wrong.is_empty() {
            let mut c = checker();
            accepted(&mut c, &body);
            c.started(100, wrong, "job-000001/0", 1);
            breaks(&c, "wrong_place");
        }
        if let Some(right) = right {
            let mut c = checker();
            accepted(&mut c, &body);
            c.started(100, right, "job-000001/0", 1);
            c.has_image(1100, right, "job-000001/0", 1);
            lawful(&c);
        }
    }
}

#[test]
fn tasks_that_belong_together_start_in_one_zone() {
    let body = with(job(1, 0, "sweep", 3), "together", json!(true));
    let mut c = checker();
    accepted(&mut c, &body);
    c.started(100, "a1", "job-000001/0", 1);
    c.started(200, "b1", "job-000001/1", 1);
    breaks(&c, "wrong_place");

    // One after the other they may change the zone; other jobs' tasks are where they like.
    let mut c = checker();
    accepted(&mut c, &body);
    accepted(&mut c, &job(2, 0, "sweep", 1));
    c.started(100, "a1", "job-000001/0", 1);
    c.started(100, "a2", "job-000001/1", 1);
    c.started(100, "b1", "job-000002/0", 1);
    c.ended(5000, "a1", "job-000001/0", 1);
    c.machine_gone(5000, "a2");
    c.started(5000, "b1", "job-000001/1", 2);
    lawful(&c);
}

#[test]
fn at_most_half_of_a_spread_job_starts_in_a_zone() {
    // Half rounded up: of three two, of four two, of one that one.
    for (tasks, most) in [(1, 1), (2, 1), (3, 2), (4, 2)] {
        let body = with(job(1, 0, "standing", tasks), "spread", json!(true));
        let mut c = checker();
        accepted(&mut c, &body);
        for i in 0..most {
            c.started(100, "a1", &format!("job-000001/{i}"), 1);
        }
        for i in most..tasks {
            c.started(100, "b1", &format!("job-000001/{i}"), 1);
        }
        lawful(&c);
        if most == tasks {
            continue;
        }
        let mut c = checker();
        accepted(&mut c, &body);
        for i in 0..=most {
            c.started(100, ["a1", "a2"][i as usize % 2], &format!("job-000001/{i}"), 1);
        }
        breaks(&c, "wrong_place");
    }
    // The job's tasks at that moment count, not those that were there before.
    let mut c = checker();
    accepted(&mut c, &with(job(1, 0, "standing", 2), "spread", json!(true)));
    c.started(100, "a1", "job-000001/0", 1);
    c.ended(5000, "a1", "job-000001/0", 1);
    c.started(5000, "a2", "job-000001/1", 1);
    lawful(&c);
}

/// A job with one task on a machine that was cancelled, and whose user was told so, at 10 s.
fn cancelled(c: &mut Checker) -> String {
    let j = accepted(c, &job(1, 0, "standing", 2));
    c.started(100, "a1", "job-000001/0", 1);
    c.has_image(1100, "a1", "job-000001/0", 1);
    c.asked(9_900, &j, Question::Withdraw);
    c.answered(10_000, &j, 200, "withdrawn");
    j
}

#[test]
fn nothing_of_a_cancelled_job_is_left_after_cancel_s() {
    let mut c = checker();
    cancelled(&mut c);
    c.passes(10_000 + CANCEL_MS + 1);
    breaks(&c, "ran_cancelled");

    // A task that is saving, or that no longer runs since its machine hangs, is on its machine still;
    // the moment when it goes is looked at, though nobody asked in between.
    let mut c = checker();
    cancelled(&mut c);
    c.ended(10_000 + CANCEL_MS + 1, "a1", "job-000001/0", 1);
    breaks(&c, "ran_cancelled");

    let mut c = checker();
    let j = cancelled(&mut c);
    c.ended(10_000 + CANCEL_MS, "a1", "job-000001/0", 1);
    c.passes(200_000);
    lawful(&c);
    assert_eq!(c.gone_after_confirmation(&j), Some(CANCEL_MS));
    assert_eq!(c.started_after(&j), 0);
}

#[test]
fn a_start_long_after_the_confirmation_is_a_breach_and_one_soon_after_is_counted() {
    // In flight at the confirmation: permitted, but counted.
    let mut c = checker();
    let j = cancelled(&mut c);
    c.ended(10_200, "a1", "job-000001/0", 1);
    assert_eq!(c.gone_after_confirmation(&j), Some(200));
    c.started(12_000, "a2", "job-000001/1", 1);
    assert_eq!(c.gone_after_confirmation(&j), None);
    c.ended(13_000, "a2", "job-000001/1", 1);
    c.passes(200_000);
    lawful(&c);
    assert_eq!((c.started_after(&j), c.ordered_after(&j)), (1, 0));
    assert_eq!(c.gone_after_confirmation(&j), Some(3000));
    assert_eq!(c.confirmed().collect::<Vec<_>>(), ["job-000001"]);

    // Ordered by a controller after the confirmation.
    c.ordered(200_000, "job-000001/1");
    assert_eq!((c.ordered_after(&j), c.start_orders()), (1, 1));

    // It starts and is gone at once, too late.
    c.started(200_000, "a2", "job-000001/1", 2);
    c.ended(200_000, "a2", "job-000001/1", 2);
    assert_eq!(
        c.breaches(),
        [
            "ran_cancelled: job-000001/1 starts",
            "ran_cancelled: job-000001 is still on a machine"
        ]
    );
    assert_eq!(c.started_after(&j), 2);

    // Orders and starts before the confirmation are not counted, nor those of other jobs after it.
    let mut c = checker();
    c.ordered(50, "job-000001/0");
    let j = cancelled(&mut c);
    let other = accepted(&mut c, &job(2, 0, "sweep", 1));
    c.ordered(10_100, "job-000002/0");
    c.started(10_100, "a3", "job-000002/0", 1);
    assert_eq!((c.started_after(&j), c.ordered_after(&j)), (0, 0));
    assert_eq!((c.started_after(&other), c.ordered_after(&other)), (0, 0));
}

#[test]
fn a_job_with_nothing_on_a_machine_is_gone_when_its_user_is_told() {
    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 1));
    c.asked(5000, &j, Question::Withdraw);
    assert_eq!(c.gone_after_confirmation(&j), None);
    c.answered(5100, &j, 200, "withdrawn");
    assert_eq!(c.gone_after_confirmation(&j), Some(0));
    c.passes(500_000);
    lawful(&c);
}

#[test]
fn an_accepted_job_is_not_denied() {
    for status in [404, 400, 422] {
        let mut c = checker();
        let j = accepted(&mut c, &job(1, 0, "sweep", 1));
        c.asked(5000, &j, Question::Poll);
        c.answered(5001, &j, status, "");
        breaks(&c, "forgotten");

        // Before it was accepted, and about a job that nobody submitted, that is an answer.
        let mut c = checker();
        c.submitted(&job(1, 0, "sweep", 1));
        c.asked(0, "job-000001", Question::Submit);
        c.answered(1, "job-000001", status, "");
        c.answered(1, "job-000099", status, "");
        lawful(&c);
    }
    // To be put off is no denial.
    for status in [429, 503, 504] {
        let mut c = checker();
        let j = accepted(&mut c, &job(1, 0, "sweep", 1));
        c.asked(5000, &j, Question::Poll);
        c.answered(5001, &j, status, "");
        lawful(&c);
    }
}

/// Users ask about two jobs every 5 s, from 5 s on, until `until`; `answered` says who is answered when.
fn asks(c: &mut Checker, until: u64, answered: impl Fn(u64, u32) -> bool) {
    accepted(c, &job(1, 0, "sweep", 1));
    accepted(c, &job(2, 0, "sweep", 1));
    for at in (5_000..=until).step_by(5_000) {
        for i in [1, 2] {
            let j = format!("job-{i:06}");
            c.asked(at, &j, Question::Poll);
            let status = if answered(at, i) { 200 } else { 503 };
            c.answered(at + 1, &j, status, if status == 200 { "queued" } else { "" });
        }
    }
}

#[test]
fn a_job_is_forgotten_if_only_the_questions_about_others_are_answered() {
    let mut c = checker();
    asks(&mut c, 5_000 + SILENCE_MS, |_, i| i == 2);
    breaks(&c, "forgotten");

    // The last question needs not come at that very moment.
    let mut c = checker();
    asks(&mut c, SILENCE_MS, |_, i| i == 2);
    lawful(&c);
    c.passes(5_000 + SILENCE_MS);
    breaks(&c, "forgotten");

    // No answer at all is as bad as a bad one.
    let mut c = checker();
    accepted(&mut c, &job(1, 0, "sweep", 1));
    accepted(&mut c, &job(2, 0, "sweep", 1));
    for at in (5_000..=5_000 + SILENCE_MS).step_by(5_000) {
        c.asked(at, "job-000001", Question::Poll);
        c.asked(at, "job-000002", Question::Poll);
        c.answered(at + 1, "job-000002", 200, "queued");
    }
    breaks(&c, "forgotten");
}

#[test]
fn a_job_is_not_forgotten_in_a_silence_that_is_short_or_everyones_or_that_nobody_asked_in() {
    // One answer in between.
    let mut c = checker();
    asks(&mut c, 160_000, |at, i| i == 2 || at == 70_000 || at == 140_000);
    lawful(&c);

    // Nobody is answered: an outage.
    let mut c = checker();
    asks(&mut c, 300_000, |_, _| false);
    lawful(&c);

    // It ends for one earlier than for the other.
    let mut c = checker();
    asks(&mut c, 100_000, |at, i| at == 100_000 || i == 2 && at > 85_000);
    lawful(&c);

    // One question is left open, and nobody asks again for a long time; others do, and are answered.
    let mut c = checker();
    accepted(&mut c, &job(1, 0, "sweep", 1));
    accepted(&mut c, &job(2, 0, "sweep", 1));
    c.asked(5_000, "job-000001", Question::Poll);
    for at in (5_000..=150_000).step_by(5_000) {
        c.asked(at, "job-000002", Question::Poll);
        c.answered(at + 1, "job-000002", 200, "queued");
    }
    c.asked(150_000, "job-000001", Question::Poll);
    c.answered(150_500, "job-000001", 200, "queued");
    lawful(&c);
}

#[test]
fn a_job_that_nobody_submitted_is_invented() {
    let mut c = checker();
    c.asked(5, "job-000009", Question::Poll);
    c.answered(10, "job-000009", 200, "queued");
    breaks(&c, "invented");

    let mut c = checker();
    c.submitted(&job(9, 0, "sweep", 1));
    c.asked(5, "job-000009", Question::Submit);
    // The submission has not been answered yet, and another controller knows of it.
    c.asked(6, "job-000009", Question::Poll);
    c.answered(10, "job-000009", 200, "queued");
    lawful(&c);
}

#[test]
fn a_job_is_done_once_all_of_its_tasks_are() {
    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 3));
    c.task_done("job-000001/0");
    c.task_done("job-000001/2");
    // Twice the same one.
    c.task_done("job-000001/2");
    assert!(!c.all_done(&j));
    c.answered(5000, &j, 200, "done");
    breaks(&c, "not_done");

    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 3));
    for i in 0..3 {
        c.task_done(&format!("job-000001/{i}"));
    }
    // A late `done` is allowed.
    c.answered(5000, &j, 200, "running");
    c.answered(5100, &j, 200, "done");
    lawful(&c);

    // A repetition with other terms does not change what was accepted.
    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 3));
    c.submitted(&job(1, 0, "sweep", 1));
    c.task_done("job-000001/0");
    c.answered(5000, &j, 200, "done");
    breaks(&c, "not_done");
}

#[test]
fn a_state_that_was_final_stays() {
    for (first, then) in [
        ("done", "running"),
        ("done", "queued"),
        ("done", "withdrawn"),
        ("withdrawn", "queued"),
        ("withdrawn", "running"),
        ("withdrawn", "done"),
    ] {
        let mut c = checker();
        let j = accepted(&mut c, &job(1, 0, "sweep", 1));
        c.task_done("job-000001/0");
        c.asked(4000, &j, Question::Withdraw);
        c.answered(5000, &j, 200, first);
        // The same again is right, and so is no answer.
        c.answered(5100, &j, 200, first);
        c.answered(5200, &j, 503, "");
        lawful(&c);
        c.answered(5300, &j, 200, then);
        breaks(&c, "went_back");
    }
    // States that are not final may change either way.
    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 1));
    for said in ["running", "queued", "running"] {
        c.answered(5000, &j, 200, said);
    }
    lawful(&c);
}

#[test]
fn only_a_job_whose_user_asked_to_cancel_it_is_withdrawn() {
    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 1));
    let other = accepted(&mut c, &job(2, 0, "sweep", 1));
    c.asked(4000, &other, Question::Withdraw);
    c.asked(4000, &j, Question::Poll);
    c.answered(5000, &j, 200, "withdrawn");
    breaks(&c, "went_back");

    // The request was never answered, and a later question is.
    let mut c = checker();
    let j = accepted(&mut c, &job(1, 0, "sweep", 1));
    c.asked(4000, &j, Question::Withdraw);
    c.asked(5000, &j, Question::Poll);
    c.answered(5001, &j, 200, "withdrawn");
    lawful(&c);
}

#[test]
fn a_breach_is_listed_once() {
    let mut c = checker();
    cancelled(&mut c);
    for at in 0..100 {
        c.passes(10_000 + CANCEL_MS + 1 + at);
    }
    breaks(&c, "ran_cancelled");
}
