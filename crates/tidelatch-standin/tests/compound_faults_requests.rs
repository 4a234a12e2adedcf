//! Compound faults and requests that cannot be carried out: each is refused, unless its job was accepted before.

mod compound_fault_support;

use compound_fault_support::{assert_no_breaches, job_id, stored_state};
use serde_json::{Value, json};
use tidelatch_core::Method;
use tidelatch_standin::{World, job};

/// Invalid submissions: each is a valid one with one field changed or missing, or with too many tasks.
fn invalid_bodies(id: u32) -> Vec<Value> {
    let fields = [
        ("crew", json!("nobody")),
        ("crew", json!(7)),
        ("crew", Value::Null),
        ("wagons", json!(0)),
        ("wagons", json!(100_001)),
        ("wagons", json!(-1)),
        ("wagons", json!("4")),
        ("shape", json!("circle")),
        ("precedence", json!(["low"])),
        ("vcpus", json!(1000.0)),
        ("vcpus", json!(-8.0)),
        ("accelerators", json!(3.0)),
        ("ramGb", json!("much")),
        ("models", json!(["m9"])),
        ("models", json!("m2")),
        ("yard", json!("z")),
        ("yard", json!({ "a": 1 })),
        ("together", json!("yes")),
        ("sizeGb", json!(-1.0)),
        ("runtimeS", Value::Null),
        ("stowS", json!([])),
        ("dueS", json!("soon")),
    ];
    let mut all: Vec<Value> = fields
        .into_iter()
        .map(|(field, value)| {
            let mut body = job(id, 0, "sweep", 2);
            body[field] = value;
            body
        })
        .collect();
    for field in [
        "consist",
        "crew",
        "shape",
        "precedence",
        "wagons",
        "vcpus",
        "accelerators",
        "ramGb",
        "stock",
        "sizeGb",
        "together",
        "spread",
        "standby",
        "runtimeS",
        "waypointS",
        "stowS",
    ] {
        let mut body = job(id, 0, "sweep", 2);
        body.as_object_mut().expect("an object").remove(field);
        all.push(body);
    }
    // A service that exceeds its team's limit.
    all.push(job(id, 0, "standing", 5));
    all
}

/// Sends a body unchanged as a submission, and returns the status of the answer, or 0 without an answer.
fn send(world: &mut World, controller: usize, body: &str, id: &str) -> u16 {
    let request = world.send_user_request(
        controller,
        Method::Post,
        "/submissions",
        body,
        (id.to_owned(), "submit"),
    );
    world.run_for(30);
    world.http_status(request)
}

#[test]
fn jobs_that_cannot_run_or_lack_a_field_are_refused_unless_their_id_was_accepted() {
    // Guards against a final refusal of a job that was accepted before. A submission is refused permanently only after
    // a read of the state service has found no job of its id.
    let mut world = World::new();
    world.run_for(4000);
    let accepted = job(1, 0, "sweep", 2);
    let service = job(2, 1, "standing", 1);
    world.submit_until_accepted(0, &accepted);
    world.submit_until_accepted(0, &service);
    let invalid_of_accepted = invalid_bodies(1);
    for (i, body) in invalid_bodies(900).iter().enumerate() {
        for controller in [0, 1, 2, i % 3] {
            let status = send(&mut world, controller, &body.to_string(), "job-000900");
            assert!(matches!(status, 400 | 422), "{status} to {body}\n{}", world.trace());
        }
        let status = send(&mut world, i % 3, &invalid_of_accepted[i].to_string(), "job-000001");
        assert_eq!(status, 200, "{}\n{}", invalid_of_accepted[i], world.trace());
    }
    assert!(world.store.get("t/j/job-000900").is_none(), "{}", world.trace());
    // Invalid bodies are sent right after an acceptance, at controllers that have not read the job yet.
    for i in 0..6 {
        let body = job(10 + i, i % 3, "sweep", 1);
        let acceptance = world.submit(i as usize % 3, &body);
        while world.http_status(acceptance) == 0 {
            world.run_for(1);
        }
        assert_eq!(world.http_status(acceptance), 201, "{}", world.trace());
        for (wait_ms, controller) in [(1, (i + 1) % 3), (5, (i + 2) % 3)] {
            let mut invalid = body.clone();
            invalid["wagons"] = json!(0);
            let status = send(&mut world, controller as usize, &invalid.to_string(), job_id(&body));
            assert_eq!(status, 200, "{}", world.trace());
            world.run_for(wait_ms);
        }
    }
    let is_done = |w: &World| stored_state(w, "job-000001") == "done";
    assert!(world.run_until(60_000, is_done), "{}", world.trace());
    // Invalid bodies are sent after the job's end, right after the start of a controller, and while the state service
    // is down.
    for (i, body) in invalid_of_accepted.iter().enumerate() {
        let controller = i % 3;
        world.store.is_down = i % 4 == 3;
        if i % 5 == 4 {
            world.crash_controller(controller);
            world.run_for(20);
            world.start_controller(controller);
        }
        for wait in [1, 5, 40] {
            world.run_for(wait);
            let status = send(&mut world, controller, &body.to_string(), "job-000001");
            assert!(matches!(status, 0 | 200 | 503), "{status} to {body}\n{}", world.trace());
            let incomplete = json!({ "uid": "job-000002" }).to_string();
            let status = send(&mut world, controller, &incomplete, "job-000002");
            assert!(matches!(status, 0 | 200 | 503), "{status}\n{}", world.trace());
        }
    }
    world.store.is_down = false;
    world.run_for(20_000);
    for controller in 0..3 {
        let of_ended_job = [
            world.cancel(controller, "job-000001"),
            world.poll(controller, "job-000001"),
        ];
        let of_unknown_job = [
            world.cancel(controller, "job-000900"),
            world.poll(controller, "job-000900"),
        ];
        world.run_for(200);
        for request in of_ended_job {
            assert_eq!(
                (world.http_status(request), world.job_status(request).as_str()),
                (200, "done")
            );
        }
        for request in of_unknown_job {
            assert_eq!(world.http_status(request), 404, "{}", world.trace());
        }
    }
    assert!(
        world.run_until(30_000, |w| w.running_tasks("job-000002") == 1),
        "{}",
        world.trace()
    );
    assert_no_breaches(&world, "");
}

#[test]
fn malformed_requests_crash_no_controller() {
    // Guards against a controller that crashes on input from outside. No input is assumed to be well-formed, and
    // whatever is malformed is refused.
    let mut world = World::new();
    world.run_for(4000);
    world.submit_until_accepted(0, &job(1, 0, "standing", 1));
    let mut too_long = job(900, 0, "sweep", 1);
    too_long["consist"] = json!("x".repeat(70_000));
    let bodies = [
        String::new(),
        "null".into(),
        "[]".into(),
        "17".into(),
        "\"job-000900\"".into(),
        "{".into(),
        "{}".into(),
        "{\"uid\":null}".into(),
        "{\"uid\":17}".into(),
        "{\"uid\":\"\"}".into(),
        "{\"uid\":\"job-000900/../../x y\"}".into(),
        format!("{{\"uid\":\"{}\"}}", "j".repeat(500)),
        "{\"uid\":\"job-000900\",\"wagons\":1e999}".into(),
        "{\"uid\":\"job-000900\",\"wagons\":99999999999999999999999}".into(),
        "[".repeat(60_000),
        "{\"a\":".repeat(20_000),
        "x".repeat(1_000_000),
        "\u{0}\u{1}\u{fffd}".into(),
        too_long.to_string(),
    ];
    // Well-formed reports may be answered like those of any unknown machine.
    let most = u64::MAX;
    let extreme = json!({ "berth": "n-9", "addr": "n-9:1", "model": "m2", "yard": "a", "standby": false,
        "shift": most, "tally": most, "baton": most,
        "wagons": [{ "wagon": "//", "run": 0, "status": "odd" }] });
    let empty = json!({ "berth": "", "addr": "", "model": "", "yard": "", "standby": true,
        "shift": 0, "tally": 0, "baton": 0, "wagons": [] });
    let (extreme, empty) = (extreme.to_string(), empty.to_string());
    let reports = [
        (r#"{"berth":"n-000001"}"#, false),
        (r#"{"berth":17,"wagons":{}}"#, false),
        (&empty, true),
        (&extreme, true),
    ];
    for controller in 0..3 {
        for body in &bodies {
            let status = send(&mut world, controller, body, "job-000900");
            assert!(matches!(status, 400 | 422), "{status} to {body:.80}");
        }
        for (body, is_well_formed) in bodies.iter().map(|b| (b.as_str(), false)).chain(reports) {
            let request =
                world.send_user_request(controller, Method::Post, "/agent/beat", body, ("beat".into(), "health"));
            world.run_for(30);
            let status = world.http_status(request);
            assert!(is_well_formed || status != 200, "{status} to {body:.80}");
        }
        for path in [
            "/submissions/",
            "/submissions//withdraw",
            "/submissions/%00",
            "/",
            "",
            "/store/x",
        ] {
            for method in [Method::Get, Method::Post, Method::Delete] {
                let request = world.send_user_request(controller, method, path, "", ("odd".into(), "health"));
                world.run_for(30);
                let status = world.http_status(request);
                assert!((400..500).contains(&status), "{status} to {path}");
            }
        }
    }
    world.run_for(10_000);
    assert!(
        world.poll_unanswered(20_000, &["job-000001"]).is_empty(),
        "{}",
        world.trace()
    );
    assert_eq!(world.running_tasks("job-000001"), 1, "{}", world.trace());
    assert_no_breaches(&world, "");
}
