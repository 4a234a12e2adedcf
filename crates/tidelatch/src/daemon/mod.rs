//! The daemon: sockets and timers round the core. One thread does all the work.
//!
//! [`run`] opens the listeners and drives the core: events wait in the [`inbox`], and what the core wants is
//! carried out by [`dispatcher`]. [`connections`] serves users and workers, [`crate::peers`] the other controllers.

mod connections;
mod deadlines;
mod dispatcher;
mod inbox;

use crate::admission::{Admission, SocketBudget};
use crate::peers;
use connections::accept;
use dispatcher::Dispatcher;
use inbox::{Inbox, QueuedEvent, reject_expired};
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::{Executor, Timer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tidelatch_core::ids::Incarnation;
use tidelatch_core::settings::Settings;
use tidelatch_core::{Answer, Controller, Input, Method, Now, PeerReply, PeerRequest};

/// Time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks for idle connections to be closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

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

/// Feeds events and ticks to the core, and carries out what it wants, for ever.
async fn run_event_loop(
    mut core: Controller,
    clock: Clock,
    inbox: Receiver<Event>,
    dispatcher: &mut Dispatcher,
    admission: &Admission,
) {
    let mut waiting = Inbox::default();
    let mut next_tick = Instant::now();
    let mut next_idle_check = next_tick + IDLE_CHECK_INTERVAL;
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
                next_idle_check = now + IDLE_CHECK_INTERVAL;
                dispatcher.client.close_idle();
                admission.close_stale(now);
            }
            dispatcher.expire_calls(now);
            step(&mut core, clock.now(), Input::Tick, dispatcher);
        }
        match waiting.pop(now) {
            Some(QueuedEvent { event, expired: false }) => {
                let input = dispatcher.input(event);
                step(&mut core, clock.now(), input, dispatcher);
                smol::future::yield_now().await;
            }
            Some(QueuedEvent { event, expired: true }) => reject_expired(event),
            None => {
                if let Some(event) = wait_for_event(&inbox, &mut timer).await {
                    waiting.push(event, Instant::now());
                }
            }
        }
    }
}

/// Feeds one input to the core, and carries out what it wants.
fn step(core: &mut Controller, now: Now, input: Input, dispatcher: &mut Dispatcher) {
    for output in core.step(now, input) {
        dispatcher.carry_out(output);
    }
}

/// Waits for the next event; none if the next tick is due before it.
async fn wait_for_event(inbox: &Receiver<Event>, timer: &mut Timer) -> Option<Event> {
    let event = async { inbox.recv().await.ok() };
    let tick = async {
        timer.await;
        None
    };
    event.or(tick).await
}
