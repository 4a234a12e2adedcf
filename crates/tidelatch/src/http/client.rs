//! A client that keeps a few connections to each address.

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

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum CallStage {
    /// It waits for a socket.
    Waiting,
    /// The connection is being made, and nothing was sent.
    Connecting,
    /// It may have been carried out.
    Sent,
}

/// How far a call has come, for whoever gives it up.
#[derive(Debug, Default)]
pub struct CallProgress(AtomicU8);

impl CallProgress {
    /// The stage that the call has reached.
    pub fn stage(&self) -> CallStage {
        match self.0.load(Ordering::Relaxed) {
            stage if stage == CallStage::Waiting as u8 => CallStage::Waiting,
            stage if stage == CallStage::Connecting as u8 => CallStage::Connecting,
            _ => CallStage::Sent,
        }
    }

    fn reach(&self, stage: CallStage) {
        self.0.store(stage as u8, Ordering::Relaxed);
    }
}

/// A request to be sent.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Receiver.
    pub to: SocketAddr,
    /// The receiver is a worker: such connections are limited in number.
    pub worker: bool,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body; sent with POST only.
    pub body: String,
}

impl OutgoingRequest {
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

/// A connection that was opened, and its place among those to workers.
struct PooledConnection {
    connection: Connection,
    permit: Option<SemaphoreGuardArc>,
}

/// An idle connection, and since when it is idle.
type IdleConnection = (PooledConnection, Instant);

/// A client that keeps a few connections to each address.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    worker_permits: Arc<Semaphore>,
}

impl Client {
    /// Connections that have lain idle for longer are not used again.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
    /// A connection ahead of calls that has not come about by then is given up.
    const CONNECT_AHEAD_TIMEOUT: Duration = Duration::from_secs(2);
    /// Most idle connections to one address.
    const IDLE_PER_ADDRESS: usize = 4;

    /// A client that has at most so many connections to workers, idle ones included.
    pub fn new(most: usize) -> Self {
        Self {
            idle: Arc::default(),
            worker_permits: Arc::new(Semaphore::new(most)),
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&to)?;
        while let Some((connection, since)) = kept.pop() {
            if since.elapsed() < Self::IDLE_TIMEOUT {
                return Some(connection);
            }
        }
        None
    }

    fn return_idle(&self, to: SocketAddr, connection: PooledConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(to).or_default();
        kept.retain(|(_, since)| since.elapsed() < Self::IDLE_TIMEOUT);
        if kept.len() < Self::IDLE_PER_ADDRESS {
            kept.push((connection, Instant::now()));
        }
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for kept in idle.values_mut() {
            kept.retain(|(_, since)| since.elapsed() < Self::IDLE_TIMEOUT);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes the connection to a worker that has lain idle for longest.
    fn close_oldest_worker_connection(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let counted =
            |kept: &Vec<IdleConnection>| kept.iter().filter(|(o, _)| o.permit.is_some()).map(|(_, t)| *t).min();
        let oldest = idle.iter().filter_map(|(to, kept)| Some((counted(kept)?, *to))).min();
        if let Some((since, to)) = oldest
            && let Some(kept) = idle.get_mut(&to)
        {
            kept.retain(|(_, t)| *t != since);
        }
    }

    /// A place for a connection to a worker: an idle one's, or the next that becomes free. Whoever waits
    /// has sent nothing.
    async fn worker_permit(&self) -> SemaphoreGuardArc {
        if let Some(permit) = self.worker_permits.try_acquire_arc() {
            return permit;
        }
        self.close_oldest_worker_connection();
        self.worker_permits.acquire_arc().await
    }

    /// Makes a call, and returns the response's status and body. An error says nothing of whether the call
    /// was carried out, unless `progress` says that it has not come so far.
    pub async fn call(&self, request: &OutgoingRequest, progress: &CallProgress) -> Result<(u16, Vec<u8>), HttpError> {
        let mut pooled = match self.take_idle(request.to) {
            Some(pooled) => pooled,
            None => self.connect(request, progress).await?,
        };
        let connection = &mut pooled.connection;
        progress.reach(CallStage::Sent);
        connection.write_all(request.encode().as_bytes()).await?;
        let response = connection.read_response().await?;
        if response.keep_alive && connection.is_drained() {
            self.return_idle(request.to, pooled);
        }
        Ok((response.status, response.body))
    }

    /// Opens a connection to a worker for later calls, if none is idle and a place for it is free.
    pub async fn connect_ahead(&self, to: SocketAddr) -> Result<(), HttpError> {
        if self.has_idle(to) {
            return Ok(());
        }
        let Some(permit) = self.worker_permits.try_acquire_arc() else {
            return Ok(());
        };
        let connecting = async { TcpStream::connect(to).await.map_err(HttpError::from) };
        let given_up = async {
            Timer::after(Self::CONNECT_AHEAD_TIMEOUT).await;
            Err(HttpError::from(std::io::Error::from(std::io::ErrorKind::TimedOut)))
        };
        let stream = connecting.or(given_up).await?;
        let pooled = PooledConnection {
            connection: Connection::new(stream),
            permit: Some(permit),
        };
        self.return_idle(to, pooled);
        Ok(())
    }

    fn has_idle(&self, to: SocketAddr) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(&to).is_some_and(|kept| !kept.is_empty())
    }

    async fn connect(&self, request: &OutgoingRequest, progress: &CallProgress) -> Result<PooledConnection, HttpError> {
        let permit = if request.worker {
            Some(self.worker_permit().await)
        } else {
            None
        };
        progress.reach(CallStage::Connecting);
        let stream = TcpStream::connect(request.to).await?;
        Ok(PooledConnection {
            connection: Connection::new(stream),
            permit,
        })
    }
}
