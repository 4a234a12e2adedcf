//! HTTP client with a small pool of idle connections for each address.

use super::HttpError;
use super::connection::Connection;
use smol::Timer;
use smol::future::FutureExt;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use smol::net::TcpStream;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tidelatch_core::Method;

/// Stage that a call has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum CallStage {
    /// The call waits for a free socket; nothing was sent.
    WaitingForSocket,
    /// The connection is being established; nothing was sent.
    Connecting,
    /// Sending the request has begun: the receiver may have executed it.
    Sent,
}

/// Shared record of the stage that a call has reached, read by the caller when the call is abandoned.
#[derive(Debug, Default)]
pub struct CallProgress(AtomicU8);

impl CallProgress {
    /// Returns the stage that the call has reached.
    pub fn stage(&self) -> CallStage {
        match self.0.load(Ordering::Relaxed) {
            stage if stage == CallStage::WaitingForSocket as u8 => CallStage::WaitingForSocket,
            stage if stage == CallStage::Connecting as u8 => CallStage::Connecting,
            _ => CallStage::Sent,
        }
    }

    fn set_stage(&self, stage: CallStage) {
        self.0.store(stage as u8, Ordering::Relaxed);
    }
}

/// An HTTP request to be sent.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Whether the receiver is a worker: the number of connections to workers is limited.
    pub is_to_worker: bool,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body; sent with POST only.
    pub body: String,
}

impl OutgoingRequest {
    /// Serializes the request as an HTTP/1.1 message.
    fn encode(&self) -> String {
        let method_name = match self.method {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        };
        let mut message = format!("{method_name} {} HTTP/1.1\r\nHost: {}\r\n", self.path, self.to);
        if self.method != Method::Post {
            message.push_str("\r\n");
            return message;
        }
        let length = self.body.len();
        message.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        ));
        message.push_str(&self.body);
        message
    }
}

/// An open connection, and for a worker's the slot that counts it against the limit.
struct PooledConnection {
    connection: Connection,
    slot: Option<SemaphoreGuardArc>,
}

/// An idle connection, and the time since which it has been idle.
type IdleConnection = (PooledConnection, Instant);

/// HTTP client that keeps up to [`Client::MAX_IDLE_PER_ADDRESS`] idle connections for each address; clones share them.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    worker_slots: Arc<Semaphore>,
}

impl Client {
    /// Connections that have been idle for longer are not reused.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
    /// Time limit for establishing a connection ahead of calls.
    const CONNECT_AHEAD_TIMEOUT: Duration = Duration::from_secs(2);
    /// Maximum number of idle connections to one address.
    const MAX_IDLE_PER_ADDRESS: usize = 4;

    /// Creates a client with at most `max_worker_connections` connections to workers, idle ones included.
    pub fn new(max_worker_connections: usize) -> Self {
        Self {
            idle: Arc::default(),
            worker_slots: Arc::new(Semaphore::new(max_worker_connections)),
        }
    }

    /// Takes the most recently used idle connection to an address that has not exceeded the idle timeout.
    fn take_idle(&self, to: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&to)?;
        while let Some((connection, since)) = connections.pop() {
            if since.elapsed() < Self::IDLE_TIMEOUT {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if the pool for its address is full.
    fn return_idle(&self, to: SocketAddr, connection: PooledConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(to).or_default();
        connections.retain(|(_, since)| since.elapsed() < Self::IDLE_TIMEOUT);
        if connections.len() < Self::MAX_IDLE_PER_ADDRESS {
            connections.push((connection, Instant::now()));
        }
    }

    /// Closes connections that have exceeded the idle timeout.
    pub fn close_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|(_, since)| since.elapsed() < Self::IDLE_TIMEOUT);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the connection to a worker that has been idle for the longest time.
    fn close_oldest_worker_connection(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest_idle_since =
            |pool: &Vec<IdleConnection>| pool.iter().filter(|(c, _)| c.slot.is_some()).map(|(_, t)| *t).min();
        let oldest = idle
            .iter()
            .filter_map(|(to, connections)| Some((oldest_idle_since(connections)?, *to)))
            .min();
        if let Some((since, to)) = oldest
            && let Some(connections) = idle.get_mut(&to)
        {
            connections.retain(|(_, idle_since)| *idle_since != since);
        }
    }

    /// Acquires a slot for a connection to a worker. If none is free, it closes the oldest idle connection to a
    /// worker and waits for the next slot that is released. While a call waits here, it has sent nothing.
    async fn acquire_worker_slot(&self) -> SemaphoreGuardArc {
        if let Some(slot) = self.worker_slots.try_acquire_arc() {
            return slot;
        }
        self.close_oldest_worker_connection();
        self.worker_slots.acquire_arc().await
    }

    /// Sends a request and returns the response's status and body. After an error the request may or may not have been
    /// executed, unless `progress` shows that it was not sent.
    pub async fn call(&self, request: &OutgoingRequest, progress: &CallProgress) -> Result<(u16, Vec<u8>), HttpError> {
        let mut pooled = match self.take_idle(request.to) {
            Some(pooled) => pooled,
            None => self.connect(request, progress).await?,
        };
        let connection = &mut pooled.connection;
        progress.set_stage(CallStage::Sent);
        connection.write_all(request.encode().as_bytes()).await?;
        let response = connection.read_response().await?;
        if response.keep_alive && connection.is_buffer_empty() {
            self.return_idle(request.to, pooled);
        }
        Ok((response.status, response.body))
    }

    /// Opens a connection to a worker for later calls, if none is idle and a slot is free.
    pub async fn connect_ahead(&self, to: SocketAddr) -> Result<(), HttpError> {
        if self.has_idle(to) {
            return Ok(());
        }
        let Some(slot) = self.worker_slots.try_acquire_arc() else {
            return Ok(());
        };
        let connecting = async { TcpStream::connect(to).await.map_err(HttpError::from) };
        let timed_out = async {
            Timer::after(Self::CONNECT_AHEAD_TIMEOUT).await;
            Err(HttpError::from(std::io::Error::from(std::io::ErrorKind::TimedOut)))
        };
        let stream = connecting.or(timed_out).await?;
        let pooled = PooledConnection {
            connection: Connection::new(stream),
            slot: Some(slot),
        };
        self.return_idle(to, pooled);
        Ok(())
    }

    /// Whether there is an idle connection to an address.
    fn has_idle(&self, to: SocketAddr) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(&to).is_some_and(|connections| !connections.is_empty())
    }

    /// Opens a connection for a request; acquires a slot first if it goes to a worker.
    async fn connect(&self, request: &OutgoingRequest, progress: &CallProgress) -> Result<PooledConnection, HttpError> {
        let slot = if request.is_to_worker {
            Some(self.acquire_worker_slot().await)
        } else {
            None
        };
        progress.set_stage(CallStage::Connecting);
        let stream = TcpStream::connect(request.to).await?;
        Ok(PooledConnection {
            connection: Connection::new(stream),
            slot,
        })
    }
}
