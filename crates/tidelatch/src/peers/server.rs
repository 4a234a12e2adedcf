//! The service that a controller offers to the others.

use super::wire::peer_server::{Peer, PeerServer};
use super::{BoxedFuture, SharedExecutor, wire};
use crate::daemon::Event;
use http::{Request, Response};
use smol::Executor;
use smol::channel::Sender;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use std::sync::Arc;
use std::time::Duration;
use tidelatch_core::{PeerReply, PeerRequest};
use tonic::Status;
use tonic::body::Body;
use tower_service::Service;

/// Passes peers' requests to the core, and its replies back.
#[derive(Clone)]
struct PeerService {
    events: Sender<Event>,
}

impl PeerService {
    async fn ask(&self, request: PeerRequest) -> Result<PeerReply, Status> {
        let (reply, answer) = smol::channel::bounded(1);
        let sent = self.events.send(Event::Peer { request, reply }).await;
        sent.map_err(|_| Status::unavailable("stopping"))?;
        answer.recv().await.map_err(|_| Status::unavailable("stopping"))
    }

    /// Asks the core, and answers in the form that the call has.
    async fn answer<Q, R>(&self, request: tonic::Request<Q>) -> Result<tonic::Response<R>, Status>
    where
        Q: Into<PeerRequest>,
        R: TryFrom<PeerReply, Error: std::fmt::Display>,
    {
        let reply = self.ask(request.into_inner().into()).await?;
        let reply = R::try_from(reply).map_err(|error| Status::internal(error.to_string()))?;
        Ok(tonic::Response::new(reply))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn relay(
        &self,
        request: tonic::Request<wire::RelayRequest>,
    ) -> Result<tonic::Response<wire::Answer>, Status> {
        self.answer(request).await
    }

    async fn forward(
        &self,
        request: tonic::Request<wire::ForwardRequest>,
    ) -> Result<tonic::Response<wire::Answer>, Status> {
        self.answer(request).await
    }

    async fn submit(
        &self,
        request: tonic::Request<wire::SubmitRequest>,
    ) -> Result<tonic::Response<wire::Answer>, Status> {
        self.answer(request).await
    }

    async fn hello(
        &self,
        request: tonic::Request<wire::HelloRequest>,
    ) -> Result<tonic::Response<wire::HelloReply>, Status> {
        self.answer(request).await
    }
}

/// Makes tonic's service callable by hyper.
struct HyperService(PeerServer<PeerService>);

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
            smol::Timer::after(Duration::from_millis(100)).await;
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
