//! gRPC between the controllers: tonic's generated code over hyper's HTTP/2 on smol.
//!
//! [`serve`] answers the other controllers, [`PeerClients`] asks them, and `convert` turns the core's messages
//! into those of `peer.proto` and back.

mod client;
mod convert;
mod convert_permits;
mod server;

pub use client::PeerClients;
pub use server::serve;

use smol::Executor;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

// Generated code.
#[allow(missing_docs, clippy::too_many_lines)]
mod wire {
    tonic::include_proto!("tidelatch.peer.v1");
}

type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The executor, in the form that hyper's adapter takes.
#[derive(Clone)]
struct SharedExecutor(Arc<Executor<'static>>);

impl AsRef<Executor<'static>> for SharedExecutor {
    fn as_ref(&self) -> &Executor<'static> {
        &self.0
    }
}
