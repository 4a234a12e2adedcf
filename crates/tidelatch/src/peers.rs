//! gRPC between the controllers: tonic's generated code over hyper's HTTP/2 on smol.

use crate::daemon::Event;
use http::{Request, Response};
use smol::Executor;
use smol::channel::Sender;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tidelatch_core::ids::{JobId, MachineId, Partition};
use tidelatch_core::{Answer, Digest, Idle, Move, Need, PeerReply, PeerRequest, Told, Want};
use tonic::body::Body;
use tower_service::Service;

#[allow(missing_docs)]
mod wire {
    tonic::include_proto!("tidelatch.peer.v1");
}

use wire::peer_client::PeerClient;
use wire::peer_server::{Peer, PeerServer};

fn need_out(n: Need) -> wire::Need {
    wire::Need {
        model: n.model,
        zone: n.zone,
        spot: n.spot,
        count: n.count,
        urgent: n.urgent,
        any_zone: n.any_zone,
    }
}

fn need_in(n: wire::Need) -> Need {
    Need {
        model: n.model,
        zone: n.zone,
        spot: n.spot,
        count: n.count,
        urgent: n.urgent,
        any_zone: n.any_zone,
    }
}

fn idle_out(i: Idle) -> wire::Idle {
    wire::Idle {
        machine: i.machine.as_str().to_owned(),
        model: i.model,
        zone: i.zone,
        spot: i.spot,
    }
}

fn idle_in(i: wire::Idle) -> Idle {
    Idle {
        machine: MachineId::new(i.machine),
        model: i.model,
        zone: i.zone,
        spot: i.spot,
    }
}

fn want_out(w: Want) -> wire::Want {
    wire::Want {
        models: w.models,
        zones: w.zones,
        spot: w.spot,
        urgent: w.urgent,
        size: w.size.to_vec(),
        count: w.count,
    }
}

fn want_in(w: wire::Want) -> Want {
    let mut size = [0.0; 3];
    size.iter_mut().zip(w.size).for_each(|(s, v)| *s = v);
    Want {
        models: w.models,
        zones: w.zones,
        spot: w.spot,
        urgent: w.urgent,
        size,
        count: w.count,
    }
}

fn digest_out(d: Digest) -> wire::Digest {
    wire::Digest {
        partition: d.partition.0,
        ledger: d.ledger,
        demand: d.demand,
        needs: d.needs.into_iter().map(need_out).collect(),
        idle: d.idle.into_iter().map(idle_out).collect(),
        yielding: d.yielding.into_iter().map(idle_out).collect(),
        wants: d.wants.into_iter().map(want_out).collect(),
    }
}

fn digest_in(d: wire::Digest) -> Digest {
    Digest {
        partition: Partition(d.partition),
        ledger: d.ledger,
        demand: d.demand,
        needs: d.needs.into_iter().map(need_in).collect(),
        idle: d.idle.into_iter().map(idle_in).collect(),
        yielding: d.yielding.into_iter().map(idle_in).collect(),
        wants: d.wants.into_iter().map(want_in).collect(),
    }
}

fn jobs_out(jobs: Vec<JobId>) -> Vec<String> {
    jobs.into_iter().map(|id| id.as_str().to_owned()).collect()
}

fn told_in((life, unread): (u64, bool), cancelled: Vec<String>, asked: Vec<String>) -> Told {
    let jobs = |ids: Vec<String>| ids.iter().filter_map(|id| JobId::parse(id)).collect();
    Told {
        life,
        unread,
        cancelled: jobs(cancelled),
        asked: jobs(asked),
    }
}

fn answer_out(a: Answer) -> wire::Answer {
    wire::Answer {
        status: u32::from(a.status),
        body: a.body.into_bytes(),
        retry_after_s: a.retry_after_s.unwrap_or(0),
    }
}

fn answer_in(a: wire::Answer) -> PeerReply {
    PeerReply::Answer(Answer {
        status: u16::try_from(a.status).unwrap_or(503),
        retry_after_s: (a.retry_after_s > 0).then_some(a.retry_after_s),
        body: String::from_utf8_lossy(&a.body).into_owned(),
    })
}

/// The service that a controller offers to the others.
#[derive(Clone)]
struct PeerService {
    events: Sender<Event>,
}

impl PeerService {
    async fn ask(&self, request: PeerRequest) -> Result<PeerReply, tonic::Status> {
        let (reply, answer) = smol::channel::bounded(1);
        let unavailable = |_| tonic::Status::unavailable("stopping");
        self.events
            .send(Event::Peer { request, reply })
            .await
            .map_err(|_| tonic::Status::unavailable("stopping"))?;
        answer.recv().await.map_err(unavailable)
    }

    async fn answer(&self, request: PeerRequest) -> Result<tonic::Response<wire::Answer>, tonic::Status> {
        match self.ask(request).await? {
            PeerReply::Answer(answer) => Ok(tonic::Response::new(answer_out(answer))),
            PeerReply::Hello { .. } => Err(tonic::Status::internal("another kind of answer")),
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn relay(
        &self,
        request: tonic::Request<wire::RelayRequest>,
    ) -> Result<tonic::Response<wire::Answer>, tonic::Status> {
        let report = request.into_inner().report;
        self.answer(PeerRequest::Relay { report }).await
    }

    async fn forward(
        &self,
        request: tonic::Request<wire::ForwardRequest>,
    ) -> Result<tonic::Response<wire::Answer>, tonic::Status> {
        let r = request.into_inner();
        self.answer(PeerRequest::Forward {
            job: r.job,
            withdraw: r.withdraw,
        })
        .await
    }

    async fn hello(
        &self,
        request: tonic::Request<wire::HelloRequest>,
    ) -> Result<tonic::Response<wire::HelloReply>, tonic::Status> {
        let r = request.into_inner();
        let request = PeerRequest::Hello {
            name: r.name,
            entitled: r.entitled,
            wants_grant: r.wants_grant,
            relies: r.relies,
            digests: r.digests.into_iter().map(digest_in).collect(),
            told: told_in((r.life, r.unread), r.cancelled, r.asked),
        };
        match self.ask(request).await? {
            PeerReply::Hello {
                entitled,
                granted,
                relies,
                moves,
                refused,
                told,
            } => Ok(tonic::Response::new(wire::HelloReply {
                entitled,
                granted,
                relies,
                moves: moves
                    .into_iter()
                    .map(|m| wire::Move {
                        machine: m.machine.as_str().to_owned(),
                        to: m.to.0,
                        vacate: m.vacate,
                    })
                    .collect(),
                refused: refused.into_iter().map(need_out).collect(),
                life: told.life,
                unread: told.unread,
                cancelled: jobs_out(told.cancelled),
                asked: jobs_out(told.asked),
            })),
            PeerReply::Answer(_) => Err(tonic::Status::internal("another kind of answer")),
        }
    }
}

/// Makes tonic's service callable by hyper.
struct HyperService(PeerServer<PeerService>);

type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

impl hyper::service::Service<Request<hyper::body::Incoming>> for HyperService {
    type Response = Response<Body>;
    type Error = std::convert::Infallible;
    type Future = BoxedFuture<Result<Self::Response, Self::Error>>;

    fn call(&self, request: Request<hyper::body::Incoming>) -> Self::Future {
        let mut server = self.0.clone();
        Box::pin(async move { server.call(request.map(Body::new)).await })
    }
}

/// Connections of one peer at a time: one that is used, and those that it has given up in cuts that still
/// hold their ends back.
const MAX_CONNECTIONS_PER_PEER: usize = 16;
/// Most questions at a time on one connection: a third of a thousand workers' reports may be passed on
/// while their owner is slow.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Serves the other controllers. A connection on which nothing answers for `silence` is closed: its end
/// may have been lost in a cut, and such ones must not take the places of new ones.
pub async fn serve(
    executor: Arc<Executor<'static>>,
    listener: TcpListener,
    events: Sender<Event>,
    peers: usize,
    silence: Duration,
) {
    let open = Arc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(std::time::Duration::from_millis(100)).await;
            continue;
        };
        if Arc::strong_count(&open) > MAX_CONNECTIONS_PER_PEER * peers.max(1) {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let service = HyperService(PeerServer::new(PeerService { events: events.clone() }));
        let connection_count = open.clone();
        let rt = SmolExecutor::new(SharedExecutor(executor.clone()));
        executor
            .spawn(async move {
                let _connection_count = connection_count;
                let served = hyper::server::conn::http2::Builder::new(rt)
                    .timer(SmolTimer::new())
                    .keep_alive_interval(silence)
                    .keep_alive_timeout(silence)
                    .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
                    .serve_connection(FuturesIo::new(stream), service)
                    .await;
                if let Err(error) = served {
                    tracing::debug!("a peer's connection ended: {error}");
                }
            })
            .detach();
    }
}

/// The executor, in the form that hyper's adapter takes.
#[derive(Clone)]
struct SharedExecutor(Arc<Executor<'static>>);

impl AsRef<Executor<'static>> for SharedExecutor {
    fn as_ref(&self) -> &Executor<'static> {
        &self.0
    }
}

type RequestSender = hyper::client::conn::http2::SendRequest<Body>;

/// One connection to a peer, as tonic's client wants it.
#[derive(Clone)]
struct Channel {
    sender: RequestSender,
    authority: String,
}

impl Service<Request<Body>> for Channel {
    type Response = Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = BoxedFuture<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, mut request: Request<Body>) -> Self::Future {
        let path = request.uri().path_and_query().map_or("/", |p| p.as_str()).to_owned();
        if let Ok(uri) = format!("http://{}{path}", self.authority).parse() {
            *request.uri_mut() = uri;
        }
        Box::pin(self.sender.send_request(request))
    }
}

/// Calls to the other controllers, one connection to each.
#[derive(Clone)]
pub struct PeerClients {
    executor: Arc<Executor<'static>>,
    open: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl PeerClients {
    /// No connection yet.
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        Self {
            executor,
            open: Arc::default(),
        }
    }

    fn open_channel(&self, to: SocketAddr) -> Option<Channel> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.get(&to).filter(|c| !c.sender.is_closed()).cloned()
    }

    /// Drops the connection to a peer that did not answer: a new one may get through.
    pub fn disconnect(&self, to: SocketAddr) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&to);
    }

    async fn channel(&self, to: SocketAddr) -> Option<Channel> {
        if let Some(channel) = self.open_channel(to) {
            return Some(channel);
        }
        let stream = TcpStream::connect(to).await.ok()?;
        let _ = stream.set_nodelay(true);
        let rt = SmolExecutor::new(SharedExecutor(self.executor.clone()));
        let (sender, connection) = hyper::client::conn::http2::Builder::new(rt)
            .handshake(FuturesIo::new(stream))
            .await
            .ok()?;
        self.executor
            .spawn(async move {
                if let Err(error) = connection.await {
                    tracing::debug!("the connection to a peer ended: {error}");
                }
            })
            .detach();
        let channel = Channel {
            sender,
            authority: to.to_string(),
        };
        self.open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(to, channel.clone());
        Some(channel)
    }

    /// Asks a peer; `None` if it did not answer.
    pub async fn ask(&self, to: SocketAddr, request: PeerRequest) -> Option<PeerReply> {
        let mut client = PeerClient::new(self.channel(to).await?);
        match request {
            PeerRequest::Relay { report } => client
                .relay(wire::RelayRequest { report })
                .await
                .ok()
                .map(|a| answer_in(a.into_inner())),
            PeerRequest::Forward { job, withdraw } => client
                .forward(wire::ForwardRequest { job, withdraw })
                .await
                .ok()
                .map(|a| answer_in(a.into_inner())),
            PeerRequest::Hello {
                name,
                entitled,
                wants_grant,
                relies,
                digests,
                told,
            } => {
                let request = wire::HelloRequest {
                    name,
                    entitled,
                    wants_grant,
                    relies,
                    digests: digests.into_iter().map(digest_out).collect(),
                    life: told.life,
                    unread: told.unread,
                    cancelled: jobs_out(told.cancelled),
                    asked: jobs_out(told.asked),
                };
                let reply = client.hello(request).await.ok()?.into_inner();
                Some(PeerReply::Hello {
                    entitled: reply.entitled,
                    granted: reply.granted,
                    relies: reply.relies,
                    moves: reply
                        .moves
                        .into_iter()
                        .map(|m| Move {
                            machine: MachineId::new(m.machine),
                            to: Partition(m.to),
                            vacate: m.vacate,
                        })
                        .collect(),
                    refused: reply.refused.into_iter().map(need_in).collect(),
                    told: told_in((reply.life, reply.unread), reply.cancelled, reply.asked),
                })
            }
        }
    }
}
