//! gRPC client for the other controllers.

use super::convert::WireRequest;
use super::wire::peer_client::PeerClient;
use super::{BoxedFuture, SharedExecutor};
use http::{Request, Response};
use smol::Executor;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tidelatch_core::{PeerReply, PeerRequest};
use tonic::body::Body;
use tower_service::Service;

/// Sends requests on an HTTP/2 connection.
type RequestSender = hyper::client::conn::http2::SendRequest<Body>;

/// An HTTP/2 connection to a peer, as the service that tonic's generated client calls.
#[derive(Clone)]
struct PeerConnection {
    sender: RequestSender,
    authority: String,
}

impl Service<Request<Body>> for PeerConnection {
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

/// Clients for the other controllers, with one connection to each; clones share the connections.
#[derive(Clone)]
pub struct PeerClients {
    executor: Arc<Executor<'static>>,
    connections: Arc<Mutex<HashMap<SocketAddr, PeerConnection>>>,
}

impl PeerClients {
    /// Creates clients without any open connection.
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        Self {
            executor,
            connections: Arc::default(),
        }
    }

    /// Returns the open connection to a peer, if there is one.
    fn existing_connection(&self, to: SocketAddr) -> Option<PeerConnection> {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections
            .get(&to)
            .filter(|connection| !connection.sender.is_closed())
            .cloned()
    }

    /// Drops the connection to a peer that did not answer, so that the next request opens a new one.
    pub fn disconnect(&self, to: SocketAddr) {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&to);
    }

    /// Returns the open connection to a peer, or opens one; `None` if that fails.
    async fn get_or_open_connection(&self, to: SocketAddr) -> Option<PeerConnection> {
        if let Some(connection) = self.existing_connection(to) {
            return Some(connection);
        }
        let stream = TcpStream::connect(to).await.ok()?;
        let _ = stream.set_nodelay(true);
        let rt = SmolExecutor::new(SharedExecutor(self.executor.clone()));
        let (sender, driver) = hyper::client::conn::http2::Builder::new(rt)
            .handshake(FuturesIo::new(stream))
            .await
            .ok()?;
        self.executor
            .spawn(async move {
                if let Err(error) = driver.await {
                    tracing::debug!("outgoing peer connection closed: {error}");
                }
            })
            .detach();
        let connection = PeerConnection {
            sender,
            authority: to.to_string(),
        };
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(to, connection.clone());
        Some(connection)
    }

    /// Sends a request to a peer and waits for its reply; `None` if the peer could not be reached or returned an error.
    pub async fn send_request(&self, to: SocketAddr, request: PeerRequest) -> Option<PeerReply> {
        let mut client = PeerClient::new(self.get_or_open_connection(to).await?);
        match request.into() {
            WireRequest::Relay(request) => {
                let answer = client.relay(request).await.ok()?;
                Some(answer.into_inner().into())
            }
            WireRequest::Forward(request) => {
                let answer = client.forward(request).await.ok()?;
                Some(answer.into_inner().into())
            }
            WireRequest::Submit(request) => {
                let answer = client.submit(request).await.ok()?;
                Some(answer.into_inner().into())
            }
            WireRequest::Hello(request) => {
                let reply = client.hello(*request).await.ok()?;
                Some(reply.into_inner().into())
            }
        }
    }
}
