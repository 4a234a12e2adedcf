//! HTTP/1.1 on `httparse`: [`Connection`] reads and writes messages, [`Client`] makes calls and keeps
//! connections for the next ones.

mod client;
mod connection;

pub use client::{CallProgress, CallStage, Client, OutgoingRequest};
pub use connection::{Connection, Request};

/// What went wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed or ended within a message.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// Not HTTP.
    #[error("malformed message")]
    Malformed,
    /// The head is too long.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is too long.
    #[error("body too large")]
    BodyTooLarge,
    /// The other side closed before a message began.
    #[error("closed")]
    Closed,
}
