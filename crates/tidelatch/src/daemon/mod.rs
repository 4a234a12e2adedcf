//! The daemon: connects the core to sockets and timers. All work is done on a single thread.
//!
//! [`run`] opens the listeners and drives the core: events are queued in the [`inbox`], and the core's outputs are
//! executed by the [`dispatcher`]. [`connections`] serves users and workers, [`crate::peers`] the other controllers.

mod connections;
mod deadlines;
mod dispatcher;
mod inbox;

use crate::admission::{Admission, SocketBudget};
use crate::peers;
use connections::accept_connections;
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

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks for idle connections that are to be closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// An error that prevents the daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The daemon cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// An address in the settings is not a socket address.
    #[error("`{0}` is not a socket address (IP:port)")]
    Address(String),
}

/// An event from outside that the core has to process.
pub enum IncomingEvent {
    /// An HTTP request, with the sender for its answer.
    HttpRequest {
        /// HTTP method.
        method: Method,
        /// Path and query.
        path: String,
        /// Body.
        body: Vec<u8>,
        /// Sender for the answer.
        answer_sender: Sender<Answer>,
    },
    /// A peer's request, with the sender for its reply.
    PeerRequest {
        /// The request.
        request: PeerRequest,
        /// Sender for the reply.
        reply_sender: Sender<PeerReply>,
    },
    /// The result of an HTTP call.
    HttpResult {
        /// Id of the call.
        call: u64,
        /// Status and body of the response; `None` if there was none.
        result: Option<(u16, Vec<u8>)>,
    },
    /// The result of a request to a peer.
    PeerResult {
        /// Id of the call.
        call: u64,
        /// The reply; `None` if there was none.
        result: Option<PeerReply>,
    },
}

/// Clock for the core's inputs: counts monotonic milliseconds from the given instant.
struct Clock(Instant);

impl Clock {
    /// Returns the monotonic time since the start of the clock and the Unix time. 1 ms is added to the monotonic
    /// time, so that it is never 0.
    fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            ms: self.0.elapsed().as_millis() as u64 + 1,
            wall_ms: wall.as_millis() as u64,
        }
    }
}

/// Parses a socket address from the settings.
fn parse_address(text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::Address(text.to_owned()))
}

/// Binds a listener to an address from the settings.
async fn bind_listener(text: &str) -> Result<TcpListener, StartError> {
    let socket_address = parse_address(text)?;
    TcpListener::bind(socket_address)
        .await
        .map_err(|source| StartError::Listen {
            address: text.to_owned(),
            source,
        })
}

/// Runs a controller until the process ends.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.clone().run(serve(executor.clone(), settings)))
}

/// Opens the listeners, starts the tasks that serve them, and runs the event loop.
async fn serve(executor: Arc<Executor<'static>>, settings: Settings) -> Result<(), StartError> {
    let platform = &settings.platform;
    let api_listener = bind_listener(&platform.api_addr).await?;
    let peer_listener = bind_listener(&platform.peer_listen).await?;
    let (events, incoming) = smol::channel::unbounded();
    tracing::info!(
        "controller {} (version {}): listening for users and workers on {}",
        platform.host_name,
        env!("CARGO_PKG_VERSION"),
        platform.api_addr
    );
    let budget = SocketBudget::from_sockets(platform.facts.machine_limits.sockets);
    let workers = &platform.facts.workers;
    // Lower bound for both times: half a second.
    let [report_interval, lease_duration] =
        [workers.report_s, workers.lease_s].map(|s| Duration::from_secs_f64(s.max(0.5)));
    let admission = Admission::new(budget, report_interval, lease_duration);
    executor
        .spawn(accept_connections(
            executor.clone(),
            api_listener,
            events.clone(),
            admission.clone(),
        ))
        .detach();
    executor
        .spawn(peers::serve(
            executor.clone(),
            peer_listener,
            events.clone(),
            platform.siblings.len(),
            lease_duration,
        ))
        .detach();
    let mut dispatcher = Dispatcher::new(&executor, &settings, events, budget)?;
    // Each incarnation of the process needs a unique number; random numbers do not depend on any clock. The lower 12
    // bits are 0 at first: the core adds 1 for each lost lease.
    let incarnation = Incarnation(fastrand::u64(1..1 << 40) << 12);
    let clock = Clock(Instant::now());
    let core = Controller::new(settings, incarnation, clock.now());
    run_event_loop(core, clock, incoming, &mut dispatcher, &admission).await;
    Ok(())
}

/// Passes events and ticks to the core and executes its outputs; never returns.
async fn run_event_loop(
    mut core: Controller,
    clock: Clock,
    incoming: Receiver<IncomingEvent>,
    dispatcher: &mut Dispatcher,
    admission: &Admission,
) {
    let mut inbox = Inbox::default();
    let mut next_tick = Instant::now();
    let mut next_idle_check = next_tick + IDLE_CHECK_INTERVAL;
    // All ticks share one timer: creating a new one for each event would cost system calls.
    let mut timer = Timer::at(next_tick);
    loop {
        let now = Instant::now();
        while let Ok(event) = incoming.try_recv() {
            inbox.push(event, now);
        }
        // Ticks are due even while events keep arriving.
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            timer.set_at(next_tick);
            if now >= next_idle_check {
                next_idle_check = now + IDLE_CHECK_INTERVAL;
                dispatcher.client.close_idle();
                admission.close_stale(now);
            }
            dispatcher.expire_calls(now);
            step_core(&mut core, clock.now(), Input::Tick, dispatcher);
        }
        match inbox.pop(now) {
            Some(QueuedEvent {
                event,
                is_expired: false,
            }) => {
                let input = dispatcher.make_input(event);
                step_core(&mut core, clock.now(), input, dispatcher);
                smol::future::yield_now().await;
            }
            Some(QueuedEvent {
                event,
                is_expired: true,
            }) => reject_expired(event),
            None => {
                if let Some(event) = wait_for_event(&incoming, &mut timer).await {
                    inbox.push(event, Instant::now());
                }
            }
        }
    }
}

/// Passes one input to the core and executes its outputs.
fn step_core(core: &mut Controller, now: Now, input: Input, dispatcher: &mut Dispatcher) {
    for output in core.step(now, input) {
        dispatcher.execute(output);
    }
}

/// Waits for the next event; `None` if the next tick is due first.
async fn wait_for_event(incoming: &Receiver<IncomingEvent>, timer: &mut Timer) -> Option<IncomingEvent> {
    let event = async { incoming.recv().await.ok() };
    let tick = async {
        timer.await;
        None
    };
    event.or(tick).await
}
