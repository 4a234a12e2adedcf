//! HTTP/1.1 server connections and client, with heads parsed by `httparse`: [`Connection`] reads and writes messages,
//! [`Client`] makes calls and pools connections for later ones.

mod client;
mod connection;

pub use client::{CallProgress, CallStage, Client, OutgoingRequest};
pub use connection::{Connection, Request};

/// An error while a message was read or written.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The message is not valid HTTP/1.1, or uses an unsupported transfer encoding.
    #[error("malformed HTTP message")]
    Malformed,
    /// The head exceeds its maximum size, or has too many header fields.
    #[error("message head too large")]
    HeadTooLarge,
    /// The body exceeds its maximum size.
    #[error("message body too large")]
    BodyTooLarge,
    /// The other side closed the connection, between two messages or within one.
    #[error("closed")]
    Closed,
}
