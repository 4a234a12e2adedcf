//! Sockets and timers round the core. One thread does all the work.

use crate::admission::{Admission, AdmittedConnection, SocketBudget};
use crate::http::{self, Client, Connection, HttpError};
use crate::peers::{self, PeerClients};
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::{Executor, Timer};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tidelatch_core::ids::{ControllerId, Incarnation};
use tidelatch_core::settings::Settings;
use tidelatch_core::{
    Answer, Controller, Input, Level, Method, NOT_SENT, NOT_TRIED, Now, Output, PeerReply, PeerRequest, Target,
};

/// What keeps the daemon from running.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// An address in the settings is none.
    #[error("`{0}` is no address")]
    Address(String),
}

/// What reaches the core from outside.
pub enum Event {
    /// A request with the place for its answer.
    Request {
        /// Method.
        method: Method,
        /// Path.
        path: String,
        /// Body.
        body: Vec<u8>,
        /// Takes the answer.
        reply: Sender<Answer>,
    },
    /// A peer's question with the place for its answer.
    Peer {
        /// The question.
        request: PeerRequest,
        /// Takes the answer.
        reply: Sender<PeerReply>,
    },
    /// The end of a call.
    Reply {
        /// The call.
        call: u64,
        /// What came back.
        result: Option<(u16, Vec<u8>)>,
    },
    /// The end of a question to a peer.
    PeerReply {
        /// The call.
        call: u64,
        /// What came back.
        result: Option<PeerReply>,
    },
}

struct Clock(Instant);

impl Clock {
    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            ms: self.0.elapsed().as_millis() as u64 + 1,
            wall_ms: wall.as_millis() as u64,
        }
    }
}

fn address(text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::Address(text.to_owned()))
}

async fn listen(text: &str) -> Result<TcpListener, StartError> {
    let to = address(text)?;
    TcpListener::bind(to).await.map_err(|source| StartError::Listen {
        address: text.to_owned(),
        source,
    })
}

/// Runs a controller until the process ends.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.clone().run(serve(executor.clone(), settings)))
}

async fn serve(executor: Arc<Executor<'static>>, settings: Settings) -> Result<(), StartError> {
    let platform = &settings.platform;
    let users = listen(&platform.api_addr).await?;
    let siblings = listen(&platform.peer_listen).await?;
    let (events, inbox) = smol::channel::unbounded();
    tracing::info!(
        "{} {} serves users and workers on {}",
        platform.host_name,
        env!("CARGO_PKG_VERSION"),
        platform.api_addr
    );
    let budget = SocketBudget::of(platform.facts.machine_limits.sockets);
    let workers = &platform.facts.workers;
    let [report, lease] = [workers.report_s, workers.lease_s].map(|s| Duration::from_secs_f64(s.max(0.5)));
    let admission = Admission::new(budget, report, lease);
    executor
        .spawn(accept(executor.clone(), users, events.clone(), admission.clone()))
        .detach();
    executor
        .spawn(peers::serve(
            executor.clone(),
            siblings,
            events.clone(),
            platform.siblings.len(),
            lease,
        ))
        .detach();
    let mut dispatcher = Dispatcher::new(&executor, &settings, events, budget)?;
    // Every life of a process needs a number of its own; random ones do not depend on any clock.
    let incarnation = Incarnation(fastrand::u64(1..1 << 40) << 12);
    let clock = Clock(Instant::now());
    let core = Controller::new(settings, incarnation, clock.now());
    run_event_loop(core, clock, inbox, &mut dispatcher, &admission).await;
    Ok(())
}

/// Time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// What has come in and waits for the core, by how soon it is needed.
#[derive(Default)]
struct Inbox {
    /// Health checks, and the ends of calls: leases, watches and peers' promises hang on them.
    urgent: VecDeque<Event>,
    /// Reports and users' requests, each with the time of its coming, in turns.
    reports: VecDeque<(Instant, Event)>,
    users: VecDeque<(Instant, Event)>,
    reports_first: bool,
}

impl Inbox {
    fn push(&mut self, event: Event, now: Instant) {
        match &event {
            Event::Request { path, .. } if path == REPORT_PATH => self.reports.push_back((now, event)),
            Event::Request { path, .. } if path != "/up" => self.users.push_back((now, event)),
            Event::Peer {
                request: PeerRequest::Relay { .. },
                ..
            } => self.reports.push_back((now, event)),
            _ => self.urgent.push_back(event),
        }
    }

    /// The next event, and whether its sender waits for an answer no longer.
    fn pop(&mut self, now: Instant) -> Option<(Event, bool)> {
        if let Some(event) = self.urgent.pop_front() {
            return Some((event, false));
        }
        self.reports_first = !self.reports_first;
        let (preferred, other) = if self.reports_first {
            (&mut self.reports, &mut self.users)
        } else {
            (&mut self.users, &mut self.reports)
        };
        let (at, event) = preferred.pop_front().or_else(|| other.pop_front())?;
        let waited = now.saturating_duration_since(at);
        let late = match &event {
            Event::Request { method, .. } if *method == Method::Get => waited > POLL_PATIENCE,
            Event::Request { path, .. } if path == REPORT_PATH => waited > REPORT_PATIENCE,
            Event::Request { .. } => waited > SUBMIT_PATIENCE,
            _ => waited > REPORT_PATIENCE,
        };
        Some((event, late))
    }
}

/// Path of workers' reports.
const REPORT_PATH: &str = "/agent/beat";
/// PROTOCOL's patience of those who ask: a poll, a report, a submission. What has waited for longer is
/// refused without being looked at, so that time goes to those who still wait.
const POLL_PATIENCE: Duration = Duration::from_secs(2);
const REPORT_PATIENCE: Duration = Duration::from_secs(4);
const SUBMIT_PATIENCE: Duration = Duration::from_secs(5);

async fn run_event_loop(
    mut core: Controller,
    clock: Clock,
    inbox: Receiver<Event>,
    dispatcher: &mut Dispatcher,
    admission: &Admission,
) {
    let mut waiting = Inbox::default();
    let mut next_tick = Instant::now();
    let mut next_idle_check = next_tick + Client::IDLE_CHECK_INTERVAL;
    // One timer for all ticks: to make one anew for each event costs system calls.
    let mut timer = Timer::at(next_tick);
    loop {
        let now = Instant::now();
        while let Ok(event) = inbox.try_recv() {
            waiting.push(event, now);
        }
        // Under a flood of events time passes all the same.
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            timer.set_at(next_tick);
            if now >= next_idle_check {
                next_idle_check = now + Client::IDLE_CHECK_INTERVAL;
                dispatcher.client.close_idle();
                admission.close_stale(now);
            }
            dispatcher.expire_calls(now);
            for output in core.step(clock.now(), Input::Tick) {
                dispatcher.carry_out(output);
            }
        }
        match waiting.pop(now) {
            Some((event, false)) => {
                let input = dispatcher.input(event);
                for output in core.step(clock.now(), input) {
                    dispatcher.carry_out(output);
                }
                smol::future::yield_now().await;
            }
            Some((event, true)) => reject_expired(event),
            None => {
                let event = async { inbox.recv().await.ok() }
                    .or(async {
                        (&mut timer).await;
                        None
                    })
                    .await;
                if let Some(event) = event {
                    waiting.push(event, Instant::now());
                }
            }
        }
    }
}

/// Answers who has given up by now, with no other work.
fn reject_expired(event: Event) {
    let answer = Answer::later(503, 1, "overloaded");
    // Whoever asked may have gone away.
    match event {
        Event::Request { reply, .. } => drop(reply.try_send(answer)),
        Event::Peer { reply, .. } => drop(reply.try_send(PeerReply::Answer(answer))),
        Event::Reply { .. } | Event::PeerReply { .. } => {}
    }
}

impl Client {
    const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
}

/// Calls that are under way, and when each has no answer. They are looked at with each tick: a timer for
/// each call costs system calls.
#[derive(Default)]
struct CallDeadlines {
    by_time: BTreeMap<(Instant, u64), Sender<()>>,
    by_call: HashMap<u64, Instant>,
}

impl CallDeadlines {
    /// Begins the time limit of a call; the receiver gets a message once it is over.
    fn start(&mut self, call: u64, timeout_ms: u64) -> Receiver<()> {
        let at = Instant::now() + Duration::from_millis(timeout_ms);
        let (expired, expiry) = smol::channel::bounded(1);
        self.by_time.insert((at, call), expired);
        self.by_call.insert(call, at);
        expiry
    }

    fn finish(&mut self, call: u64) {
        if let Some(at) = self.by_call.remove(&call) {
            self.by_time.remove(&(at, call));
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some(((at, call), expired)) = self.by_time.pop_first() {
            if at > now {
                self.by_time.insert((at, call), expired);
                return;
            }
            self.by_call.remove(&call);
            let _ = expired.try_send(());
        }
    }
}

/// Carries out what the core wants.
struct Dispatcher {
    executor: Arc<Executor<'static>>,
    client: Client,
    peers: PeerClients,
    state: SocketAddr,
    cloud: SocketAddr,
    siblings: HashMap<ControllerId, SocketAddr>,
    events: Sender<Event>,
    next_request: u64,
    deadlines: CallDeadlines,
    requests: HashMap<u64, Sender<Answer>>,
    peer_requests: HashMap<u64, Sender<PeerReply>>,
}

impl Dispatcher {
    fn new(
        executor: &Arc<Executor<'static>>,
        settings: &Settings,
        events: Sender<Event>,
        budget: SocketBudget,
    ) -> Result<Self, StartError> {
        let platform = &settings.platform;
        let mut siblings = HashMap::new();
        for s in &platform.siblings {
            siblings.insert(ControllerId::new(s.host_name.clone()), address(&s.address)?);
        }
        Ok(Self {
            executor: executor.clone(),
            client: Client::new(budget.commands),
            peers: PeerClients::new(executor.clone()),
            state: address(&platform.outside.state)?,
            cloud: address(&platform.outside.cloud)?,
            siblings,
            events,
            next_request: 1,
            deadlines: CallDeadlines::default(),
            requests: HashMap::new(),
            peer_requests: HashMap::new(),
        })
    }

    fn input(&mut self, event: Event) -> Input {
        let id = self.next_request;
        self.next_request += 1;
        match event {
            Event::Request {
                method,
                path,
                body,
                reply,
            } => {
                self.requests.insert(id, reply);
                Input::Request { id, method, path, body }
            }
            Event::Peer { request, reply } => {
                self.peer_requests.insert(id, reply);
                Input::PeerRequest { id, request }
            }
            Event::Reply { call, result } => {
                self.deadlines.finish(call);
                Input::Reply { call, result }
            }
            Event::PeerReply { call, result } => {
                self.deadlines.finish(call);
                Input::PeerReply { call, result }
            }
        }
    }

    /// Ends the calls whose time is over.
    fn expire_calls(&mut self, now: Instant) {
        self.deadlines.expire(now);
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Answer { id, answer } => {
                if let Some(reply) = self.requests.remove(&id) {
                    // Whoever asked may have gone away.
                    let _ = reply.try_send(answer);
                }
            }
            Output::Tell { id, reply } => {
                if let Some(to) = self.peer_requests.remove(&id) {
                    let _ = to.try_send(reply);
                }
            }
            Output::Log { level, text } => match level {
                Level::Error => tracing::error!("{text}"),
                Level::Info => tracing::info!("{text}"),
                Level::Debug => tracing::debug!("{text}"),
            },
            Output::Call {
                id,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let to = match &target {
                    Target::State => Some(self.state),
                    Target::Cloud => Some(self.cloud),
                    Target::Worker(addr) => addr.parse().ok(),
                };
                let worker = matches!(target, Target::Worker(_));
                let (client, events) = (self.client.clone(), self.events.clone());
                let expiry = self.deadlines.start(id, timeout_ms);
                self.executor
                    .spawn(async move {
                        let stage = AtomicU8::new(http::WAITING);
                        let called = async {
                            let to = to?;
                            match client.call(to, worker, method, &path, &body, &stage).await {
                                Ok(answer) => Some(answer),
                                Err(error) => {
                                    tracing::debug!("{to}{path}: {error}");
                                    None
                                }
                            }
                        };
                        let result = called.or(timed_out(expiry)).await;
                        let unsent = || match stage.load(Ordering::Relaxed) {
                            http::WAITING => Some((NOT_TRIED, Vec::new())),
                            http::CONNECTING => Some((NOT_SENT, Vec::new())),
                            _ => None,
                        };
                        let result = result.or_else(unsent);
                        let _ = events.try_send(Event::Reply { call: id, result });
                    })
                    .detach();
            }
            Output::Ask {
                id,
                to,
                request,
                timeout_ms,
            } => {
                let to = self.siblings.get(&to).copied();
                let (peers, events) = (self.peers.clone(), self.events.clone());
                let expiry = self.deadlines.start(id, timeout_ms);
                self.executor
                    .spawn(async move {
                        let result = match to {
                            Some(to) => {
                                let result = peers.ask(to, request).or(timed_out(expiry)).await;
                                if result.is_none() {
                                    peers.disconnect(to);
                                }
                                result
                            }
                            None => None,
                        };
                        let _ = events.try_send(Event::PeerReply { call: id, result });
                    })
                    .detach();
            }
        }
    }
}

async fn timed_out<T>(expiry: Receiver<()>) -> Option<T> {
    // Nothing is sent but the end of its time.
    let _ = expiry.recv().await;
    None
}

async fn accept(
    executor: Arc<Executor<'static>>,
    listener: TcpListener,
    events: Sender<Event>,
    admission: Arc<Admission>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of sockets, most likely: some will close soon.
            Timer::after(TICK_INTERVAL).await;
            continue;
        };
        let Some(admitted) = admission.admit(Instant::now()) else {
            drop(stream);
            continue;
        };
        let events = events.clone();
        executor
            .spawn(async move {
                let ended = async {
                    admitted.wait_for_eviction().await;
                    Ok(())
                };
                let served = serve_connection(Connection::new(stream), events, &admitted)
                    .or(ended)
                    .await;
                if let Err(error) = served {
                    tracing::debug!("a connection ended: {error}");
                }
            })
            .detach();
    }
}

/// Serves one connection, request after request.
async fn serve_connection(
    mut connection: Connection,
    events: Sender<Event>,
    admitted: &AdmittedConnection,
) -> Result<(), HttpError> {
    loop {
        admitted.set_idle();
        match connection.wait_for_request().await {
            Err(HttpError::Closed) => return Ok(()),
            other => other?,
        }
        admitted.set_reading();
        let request = match connection.read_request().await {
            Ok(request) => request,
            Err(error) => {
                let status = match error {
                    HttpError::Malformed => 400,
                    HttpError::BodyTooLarge => 413,
                    HttpError::HeadTooLarge => 431,
                    HttpError::Closed | HttpError::Io(_) => return Err(error),
                };
                connection
                    .write_response(status, None, br#"{"error":"malformed or too large"}"#, false)
                    .await?;
                return Ok(());
            }
        };
        if !admitted.set_answering(request.path == REPORT_PATH) {
            let full = br#"{"error":"too many workers report here"}"#;
            connection.write_response(503, Some(1), full, false).await?;
            return Ok(());
        }
        let method = match request.method.as_str() {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "DELETE" => Method::Delete,
            _ => {
                connection
                    .write_response(405, None, br#"{"error":"method not allowed"}"#, request.keep_alive)
                    .await?;
                continue;
            }
        };
        let (reply, answer) = smol::channel::bounded(1);
        let event = Event::Request {
            method,
            path: request.path,
            body: request.body,
            reply,
        };
        if events.send(event).await.is_err() {
            return Ok(());
        }
        let Ok(answer) = answer.recv().await else { return Ok(()) };
        connection
            .write_response(
                answer.status,
                answer.retry_after_s,
                answer.body.as_bytes(),
                request.keep_alive,
            )
            .await?;
        if !request.keep_alive {
            return Ok(());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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

    #[test]
    fn health_checks_and_replies_overtake_and_who_waits_no_longer_is_refused() {
        // Guard: when everyone comes back at once, `/up` and the ends of lease calls must not stand behind
        // a thousand reports, and time must not go into answers that nobody reads.
        let mut inbox = Inbox::default();
        let then = Instant::now();
        let (poll, polled) = request(Method::Get, "/submissions/job-000001");
        inbox.push(poll, then);
        for _ in 0..2 {
            inbox.push(request(Method::Post, REPORT_PATH).0, then);
        }
        inbox.push(request(Method::Post, "/submissions").0, then);
        inbox.push(request(Method::Get, "/up").0, then);
        inbox.push(Event::Reply { call: 1, result: None }, then);
        let now = then + Duration::from_secs(3);
        let taken: Vec<(Event, bool)> = std::iter::from_fn(|| inbox.pop(now)).collect();
        let order: Vec<(&str, bool)> = taken.iter().map(|(e, late)| (path(e), *late)).collect();
        // After 3 s a poll is late, a report and a submission are not; reports and users take turns.
        assert_eq!(
            order,
            [
                ("/up", false),
                ("reply", false),
                (REPORT_PATH, false),
                ("/submissions/job-000001", true),
                (REPORT_PATH, false),
                ("/submissions", false),
            ]
        );
        for (event, late) in taken {
            if late {
                reject_expired(event);
            }
        }
        let answer = polled.try_recv().expect("an answer at once");
        assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
    }

    #[test]
    fn calls_end_when_their_time_is_over_and_not_before() {
        let mut deadlines = CallDeadlines::default();
        let now = Instant::now();
        let (short, long, ended) = (
            deadlines.start(1, 500),
            deadlines.start(2, 5000),
            deadlines.start(3, 500),
        );
        deadlines.finish(3);
        deadlines.expire(now + Duration::from_secs(2));
        assert!(short.try_recv().is_ok());
        assert!(long.try_recv().is_err() && !long.is_closed());
        assert!(ended.try_recv().is_err());
        assert_eq!(deadlines.by_call.len(), 1);
    }
}
