//! The order in which events are taken.

use super::*;
use smol::channel::Receiver;

const POLL: &str = "/submissions/job-000001";
const CANCEL: &str = "/submissions/job-000001/withdraw";

fn request(method: Method, path: &str) -> (Event, Receiver<Answer>) {
    let (reply, answer) = smol::channel::bounded(1);
    let event = Event::Request {
        method,
        path: path.to_owned(),
        body: Vec::new(),
        reply,
    };
    (event, answer)
}

fn path(event: &Event) -> &str {
    match event {
        Event::Request { path, .. } => path,
        Event::Reply { .. } => "reply",
        _ => "peer",
    }
}

fn take_all(inbox: &mut Inbox, now: Instant) -> Vec<(Event, bool)> {
    std::iter::from_fn(|| inbox.take(now)).collect()
}

fn order(taken: &[(Event, bool)]) -> Vec<(&str, bool)> {
    taken.iter().map(|(e, late)| (path(e), *late)).collect()
}

#[test]
fn health_checks_and_replies_overtake_and_who_waits_no_longer_is_refused() {
    // Guard: when everyone comes back at once, `/up` and the ends of lease calls must not stand behind
    // a thousand reports, and time must not go into answers that nobody reads.
    let mut inbox = Inbox::default();
    let then = Instant::now();
    let (poll, polled) = request(Method::Get, POLL);
    inbox.put(poll, then);
    for _ in 0..2 {
        inbox.put(request(Method::Post, REPORT).0, then);
    }
    inbox.put(request(Method::Post, "/submissions").0, then);
    inbox.put(request(Method::Get, "/up").0, then);
    inbox.put(Event::Reply { call: 1, result: None }, then);
    let taken = take_all(&mut inbox, then + Duration::from_secs(3));
    // After 3 s a poll is late, a report and a submission are not; reports and users take turns.
    assert_eq!(
        order(&taken),
        [
            ("/up", false),
            ("reply", false),
            (REPORT, false),
            ("/submissions", false),
            (REPORT, false),
            (POLL, true),
        ]
    );
    for (event, late) in taken {
        if late {
            refuse(event);
        }
    }
    let answer = polled.try_recv().expect("an answer at once");
    assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
}

#[test]
fn submissions_and_cancellations_go_before_any_number_of_polls() {
    // Guard: users who ask ten times as often must not delay what their jobs wait for.
    let mut inbox = Inbox::default();
    let now = Instant::now();
    for _ in 0..100 {
        inbox.put(request(Method::Get, POLL).0, now);
    }
    for (method, path) in [
        (Method::Post, REPORT),
        (Method::Post, "/submissions"),
        (Method::Post, CANCEL),
        (Method::Get, "/up"),
    ] {
        inbox.put(request(method, path).0, now);
    }
    let taken = take_all(&mut inbox, now);
    assert_eq!(
        order(&taken)[..5],
        [
            ("/up", false),
            (REPORT, false),
            ("/submissions", false),
            (CANCEL, false),
            (POLL, false)
        ]
    );
    assert_eq!(taken.len(), 104);
    assert!(taken.iter().all(|(_, late)| !late));
}
