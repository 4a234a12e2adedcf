//! gRPC server for the other controllers.

use super::wire::peer_server::{Peer, PeerServer};
use super::{BoxedFuture, SharedExecutor, wire};
use crate::daemon::IncomingEvent;
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

/// Implements the peer service: passes requests to the core and returns its replies.
#[derive(Clone)]
struct PeerService {
    events: Sender<IncomingEvent>,
}

impl PeerService {
    /// Sends a request to the core and waits for its reply; fails if the daemon is stopping.
    async fn send_to_core(&self, request: PeerRequest) -> Result<PeerReply, Status> {
        let (reply_sender, reply) = smol::channel::bounded(1);
        let sent = self
            .events
            .send(IncomingEvent::PeerRequest { request, reply_sender })
            .await;
        sent.map_err(|_| Status::unavailable("stopping"))?;
        reply.recv().await.map_err(|_| Status::unavailable("stopping"))
    }

    /// Handles a call: sends its request to the core, and converts the reply into the call's response message.
    async fn handle_call<Q, R>(&self, request: tonic::Request<Q>) -> Result<tonic::Response<R>, Status>
    where
        Q: Into<PeerRequest>,
        R: TryFrom<PeerReply, Error: std::fmt::Display>,
    {
        let reply = self.send_to_core(request.into_inner().into()).await?;
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
        self.handle_call(request).await
    }

    async fn forward(
        &self,
        request: tonic::Request<wire::ForwardRequest>,
    ) -> Result<tonic::Response<wire::Answer>, Status> {
        self.handle_call(request).await
    }

    async fn submit(
        &self,
        request: tonic::Request<wire::SubmitRequest>,
    ) -> Result<tonic::Response<wire::Answer>, Status> {
        self.handle_call(request).await
    }

    async fn hello(
        &self,
        request: tonic::Request<wire::HelloRequest>,
    ) -> Result<tonic::Response<wire::HelloReply>, Status> {
        self.handle_call(request).await
    }
}

/// Adapts tonic's service to hyper's service trait.
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

/// Maximum number of open connections per peer: the one in use, and those that the peer abandoned during network
/// partitions and whose close has not arrived here yet. The limit applies to the total of all peers, so that one peer
/// may have more.
const MAX_CONNECTIONS_PER_PEER: usize = 16;
/// Maximum number of concurrent requests on one connection. Up to a third of the reports of a thousand
/// workers may be relayed while the controller that owns the workers is slow.
const MAX_STREAMS_PER_CONNECTION: u32 = 256;

/// Serves the `peer_count` other controllers. A connection is pinged at `keep_alive_interval`, and closed if the ping
/// stays unanswered for that time: its close may have been lost in a network partition, and such connections must not
/// use up the places of new ones.
pub async fn serve(
    executor: Arc<Executor<'static>>,
    listener: TcpListener,
    events: Sender<IncomingEvent>,
    peer_count: usize,
    keep_alive_interval: Duration,
) {
    // Each open connection holds a clone, so the reference count is the number of connections plus one.
    let connection_counter = Arc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of sockets: wait until some are closed, then retry.
            smol::Timer::after(Duration::from_millis(100)).await;
            continue;
        };
        if Arc::strong_count(&connection_counter) > MAX_CONNECTIONS_PER_PEER * peer_count.max(1) {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let service = HyperService(PeerServer::new(PeerService { events: events.clone() }));
        let counter_guard = connection_counter.clone();
        let rt = SmolExecutor::new(SharedExecutor(executor.clone()));
        executor
            .spawn(async move {
                let _counter_guard = counter_guard;
                let result = hyper::server::conn::http2::Builder::new(rt)
                    .timer(SmolTimer::new())
                    .keep_alive_interval(keep_alive_interval)
                    .keep_alive_timeout(keep_alive_interval)
                    .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
                    .serve_connection(FuturesIo::new(stream), service)
                    .await;
                if let Err(error) = result {
                    tracing::debug!("incoming peer connection closed: {error}");
                }
            })
            .detach();
    }
}
