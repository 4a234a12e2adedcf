//! Sockets and timers round the core. One thread does all the work.

use crate::http::{Client, Connection, Fault};
use crate::peers::{self, Peers};
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::{Executor, Timer};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tidelatch_core::ids::{ControllerId, Incarnation};
use tidelatch_core::settings::Settings;
use tidelatch_core::{Answer, Controller, Input, Level, Method, NOT_SENT, Now, Output, PeerReply, PeerRequest, Target};

/// What keeps the daemon from running.
#[derive(Debug, thiserror::Error)]
pub enum Stop {
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

fn address(text: &str) -> Result<SocketAddr, Stop> {
    text.parse().map_err(|_| Stop::Address(text.to_owned()))
}

async fn listen(text: &str) -> Result<TcpListener, Stop> {
    let to = address(text)?;
    TcpListener::bind(to).await.map_err(|source| Stop::Listen {
        address: text.to_owned(),
        source,
    })
}

/// Runs a controller until the process ends.
pub fn run(settings: Settings) -> Result<(), Stop> {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.clone().run(serve(executor.clone(), settings)))
}

async fn serve(executor: Arc<Executor<'static>>, settings: Settings) -> Result<(), Stop> {
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
    // Half of the sockets for those who come in; the rest for calls and peers.
    let most = (platform.facts.machine_limits.sockets / 2).max(8) as usize;
    let patience = Duration::from_secs_f64(platform.facts.workers.lease_s.max(1.0));
    executor
        .spawn(accept(executor.clone(), users, events.clone(), most, patience))
        .detach();
    executor
        .spawn(peers::serve(executor.clone(), siblings, events.clone()))
        .detach();
    let mut hands = Hands::new(&executor, &settings, events)?;
    // Every life of a process needs a number of its own; random ones do not depend on any clock.
    let incarnation = Incarnation(fastrand::u64(1..1 << 40) << 12);
    let clock = Clock(Instant::now());
    let core = Controller::new(settings, incarnation, clock.now());
    drive(core, clock, inbox, &mut hands).await;
    Ok(())
}

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(100);

async fn drive(mut core: Controller, clock: Clock, inbox: Receiver<Event>, hands: &mut Hands) {
    let mut next_tick = Instant::now();
    let mut reap_at = Instant::now() + Client::REAP;
    loop {
        let event = async { inbox.recv().await.ok() }
            .or(async {
                Timer::at(next_tick).await;
                None
            })
            .await;
        let input = match event {
            None => {
                next_tick = Instant::now() + TICK;
                if Instant::now() >= reap_at {
                    reap_at = Instant::now() + Client::REAP;
                    hands.client.reap();
                }
                Input::Tick
            }
            Some(event) => hands.input(event),
        };
        for output in core.step(clock.now(), input) {
            hands.carry_out(output);
        }
        // Under a flood of events the timer would never win: time passes all the same.
        if Instant::now() >= next_tick + TICK {
            next_tick = Instant::now() + TICK;
            for output in core.step(clock.now(), Input::Tick) {
                hands.carry_out(output);
            }
        }
        smol::future::yield_now().await;
    }
}

impl Client {
    const REAP: Duration = Duration::from_secs(10);
}

/// Carries out what the core wants.
struct Hands {
    executor: Arc<Executor<'static>>,
    client: Client,
    peers: Peers,
    state: SocketAddr,
    cloud: SocketAddr,
    siblings: HashMap<ControllerId, SocketAddr>,
    events: Sender<Event>,
    next: u64,
    requests: HashMap<u64, Sender<Answer>>,
    questions: HashMap<u64, Sender<PeerReply>>,
}

impl Hands {
    fn new(executor: &Arc<Executor<'static>>, settings: &Settings, events: Sender<Event>) -> Result<Self, Stop> {
        let platform = &settings.platform;
        let mut siblings = HashMap::new();
        for s in &platform.siblings {
            siblings.insert(ControllerId::new(s.host_name.clone()), address(&s.address)?);
        }
        Ok(Self {
            executor: executor.clone(),
            client: Client::default(),
            peers: Peers::new(executor.clone()),
            state: address(&platform.outside.state)?,
            cloud: address(&platform.outside.cloud)?,
            siblings,
            events,
            next: 1,
            requests: HashMap::new(),
            questions: HashMap::new(),
        })
    }

    fn input(&mut self, event: Event) -> Input {
        let id = self.next;
        self.next += 1;
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
                self.questions.insert(id, reply);
                Input::PeerRequest { id, request }
            }
            Event::Reply { call, result } => Input::Reply { call, result },
            Event::PeerReply { call, result } => Input::PeerReply { call, result },
        }
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
                if let Some(to) = self.questions.remove(&id) {
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
                let (client, events) = (self.client.clone(), self.events.clone());
                self.executor
                    .spawn(async move {
                        let sent = AtomicBool::new(false);
                        let called = async {
                            let to = to?;
                            match client.call(to, method, &path, &body, &sent).await {
                                Ok(answer) => Some(answer),
                                Err(fault) => {
                                    tracing::debug!("{to}{path}: {fault}");
                                    None
                                }
                            }
                        };
                        let result = called.or(gone_after(timeout_ms)).await;
                        let unsent = || (!sent.load(Ordering::Relaxed)).then(|| (NOT_SENT, Vec::new()));
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
                self.executor
                    .spawn(async move {
                        let result = match to {
                            Some(to) => {
                                let result = peers.ask(to, request).or(gone_after(timeout_ms)).await;
                                if result.is_none() {
                                    peers.forget(to);
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

async fn gone_after<T>(ms: u64) -> Option<T> {
    Timer::after(Duration::from_millis(ms)).await;
    None
}

async fn accept(
    executor: Arc<Executor<'static>>,
    listener: TcpListener,
    events: Sender<Event>,
    most: usize,
    patience: Duration,
) {
    let open = Arc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of sockets, most likely: some will close soon.
            Timer::after(Duration::from_millis(100)).await;
            continue;
        };
        if Arc::strong_count(&open) > most {
            drop(stream);
            continue;
        }
        let held = open.clone();
        let events = events.clone();
        executor
            .spawn(async move {
                let _held = held;
                if let Err(fault) = converse(Connection::new(stream), events, patience).await {
                    tracing::debug!("a connection ended: {fault}");
                }
            })
            .detach();
    }
}

/// Serves one connection, request after request.
async fn converse(mut connection: Connection, events: Sender<Event>, patience: Duration) -> Result<(), Fault> {
    loop {
        // Idle connections are closed, and so are those that do not finish a request.
        let idle = async {
            Timer::after(patience * 4).await;
            Err(Fault::Closed)
        };
        match connection.wait().or(idle).await {
            Err(Fault::Closed) => return Ok(()),
            other => other?,
        }
        let slow = async {
            Timer::after(patience).await;
            Err(Fault::Closed)
        };
        let request = match connection.request().or(slow).await {
            Ok(request) => request,
            Err(fault) => {
                let status = match fault {
                    Fault::Malformed => 400,
                    Fault::BodyTooLarge => 413,
                    Fault::HeadTooLarge => 431,
                    Fault::Closed | Fault::Io(_) => return Err(fault),
                };
                connection
                    .respond(status, None, br#"{"error":"malformed or too large"}"#, false)
                    .await?;
                return Ok(());
            }
        };
        let method = match request.method.as_str() {
            "GET" => Method::Get,
            "POST" => Method::Post,
            "DELETE" => Method::Delete,
            _ => {
                connection
                    .respond(405, None, br#"{"error":"method not allowed"}"#, request.keep_alive)
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
            .respond(
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
