//! gRPC between the controllers: tonic's generated code over hyper's HTTP/2 on smol.
//!
//! [`serve`] answers requests of the other controllers, [`PeerClients`] sends requests to them, and `convert` and
//! `convert_permits` convert between the core's messages and those of `peer.proto`.

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

// Code generated from `peer.proto`.
#[allow(missing_docs, clippy::too_many_lines)]
mod wire {
    tonic::include_proto!("tidelatch.peer.v1");
}

/// A boxed future that can be sent between threads.
type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Shared executor, wrapped for hyper's adapter, which requires `AsRef<Executor>`.
#[derive(Clone)]
struct SharedExecutor(Arc<Executor<'static>>);

impl AsRef<Executor<'static>> for SharedExecutor {
    fn as_ref(&self) -> &Executor<'static> {
        &self.0
    }
}
