//! HTTP/1.1 on `httparse`: reading messages, and a client that keeps connections.

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::lock::{Semaphore, SemaphoreGuardArc};
use smol::net::TcpStream;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tidelatch_core::Method;

/// Largest head of a message.
const HEAD_LIMIT: usize = 16 * 1024;
/// Largest body of a request.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Largest body of a response: watches have no limit of their own.
const RESPONSE_LIMIT: usize = 8 * 1024 * 1024;
const MAX_HEADERS: usize = 48;

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

/// A request that was read.
pub struct Request {
    /// Method as text.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// The connection stays open after the answer.
    pub keep_alive: bool,
}

enum Length {
    Fixed(usize),
    Chunked,
    UntilClose,
}

/// A connection with what has been read ahead.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    async fn read_more(&mut self) -> Result<usize, HttpError> {
        let mut chunk = [0u8; 4096];
        let n = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(chunk.get(..n).unwrap_or_default());
        Ok(n)
    }

    /// Waits until the first byte of a message is there.
    pub async fn wait_for_request(&mut self) -> Result<(), HttpError> {
        if self.buffer.is_empty() && self.read_more().await? == 0 {
            return Err(HttpError::Closed);
        }
        Ok(())
    }

    /// Reads a request.
    pub async fn read_request(&mut self) -> Result<Request, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Request::new(&mut headers);
            match parsed.parse(&self.buffer) {
                Ok(httparse::Status::Complete(head)) if head > HEAD_LIMIT => return Err(HttpError::HeadTooLarge),
                Ok(httparse::Status::Complete(head)) => {
                    let method = parsed.method.unwrap_or_default().to_owned();
                    let path = parsed.path.unwrap_or_default().to_owned();
                    let mut keep_alive = parsed.version == Some(1);
                    let (length, close) = body_length(parsed.headers)?;
                    if let Some(close) = close {
                        keep_alive = !close;
                    }
                    let expects = parsed.headers.iter().any(|h| h.name.eq_ignore_ascii_case("expect"));
                    self.buffer.drain(..head);
                    if expects {
                        self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    let length = match length {
                        // Without a length a request has no body.
                        Length::UntilClose => Length::Fixed(0),
                        other => other,
                    };
                    let body = self.read_body(length, BODY_LIMIT).await?;
                    return Ok(Request {
                        method,
                        path,
                        body,
                        keep_alive,
                    });
                }
                Ok(httparse::Status::Partial) if self.buffer.len() > HEAD_LIMIT => return Err(HttpError::HeadTooLarge),
                Ok(httparse::Status::Partial) => {
                    if self.read_more().await? == 0 {
                        return Err(HttpError::Closed);
                    }
                }
                Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
                Err(_) => return Err(HttpError::Malformed),
            }
        }
    }

    /// Reads a response: status, body, and whether the connection may be used again.
    async fn read_response(&mut self) -> Result<(u16, Vec<u8>, bool), HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            match parsed.parse(&self.buffer) {
                Ok(httparse::Status::Complete(head)) => {
                    let status = parsed.code.unwrap_or(0);
                    let mut keep_alive = parsed.version == Some(1);
                    let (length, close) = body_length(parsed.headers)?;
                    if let Some(close) = close {
                        keep_alive = !close;
                    }
                    self.buffer.drain(..head);
                    if (100..200).contains(&status) {
                        continue;
                    }
                    let length = if status == 204 || status == 304 {
                        Length::Fixed(0)
                    } else {
                        length
                    };
                    keep_alive &= !matches!(length, Length::UntilClose);
                    let body = self.read_body(length, RESPONSE_LIMIT).await?;
                    return Ok((status, body, keep_alive));
                }
                Ok(httparse::Status::Partial) if self.buffer.len() > HEAD_LIMIT => return Err(HttpError::HeadTooLarge),
                Ok(httparse::Status::Partial) => {
                    if self.read_more().await? == 0 {
                        return Err(HttpError::Closed);
                    }
                }
                Err(_) => return Err(HttpError::Malformed),
            }
        }
    }

    async fn read_body(&mut self, length: Length, limit: usize) -> Result<Vec<u8>, HttpError> {
        match length {
            Length::Fixed(n) if n > limit => Err(HttpError::BodyTooLarge),
            Length::Fixed(n) => {
                while self.buffer.len() < n {
                    if self.read_more().await? == 0 {
                        return Err(HttpError::Closed);
                    }
                }
                let rest = self.buffer.split_off(n);
                Ok(std::mem::replace(&mut self.buffer, rest))
            }
            Length::UntilClose => {
                while self.read_more().await? > 0 {
                    if self.buffer.len() > limit {
                        return Err(HttpError::BodyTooLarge);
                    }
                }
                Ok(std::mem::take(&mut self.buffer))
            }
            Length::Chunked => {
                let mut body = Vec::new();
                loop {
                    match httparse::parse_chunk_size(&self.buffer) {
                        Ok(httparse::Status::Complete((head, size))) => {
                            let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLarge)?;
                            if size > limit || body.len() + size > limit {
                                return Err(HttpError::BodyTooLarge);
                            }
                            self.buffer.drain(..head);
                            if size == 0 {
                                // Trailers, up to the empty line.
                                loop {
                                    if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                                        self.buffer.drain(..end + 2);
                                        if end == 0 {
                                            return Ok(body);
                                        }
                                    } else if self.buffer.len() > HEAD_LIMIT {
                                        return Err(HttpError::HeadTooLarge);
                                    } else if self.read_more().await? == 0 {
                                        return Err(HttpError::Closed);
                                    }
                                }
                            }
                            while self.buffer.len() < size + 2 {
                                if self.read_more().await? == 0 {
                                    return Err(HttpError::Closed);
                                }
                            }
                            body.extend(self.buffer.drain(..size));
                            if self.buffer.get(..2) != Some(b"\r\n") {
                                return Err(HttpError::Malformed);
                            }
                            self.buffer.drain(..2);
                        }
                        Ok(httparse::Status::Partial) if self.buffer.len() > 1024 => return Err(HttpError::Malformed),
                        Ok(httparse::Status::Partial) => {
                            if self.read_more().await? == 0 {
                                return Err(HttpError::Closed);
                            }
                        }
                        Err(_) => return Err(HttpError::Malformed),
                    }
                }
            }
        }
    }

    /// Writes a response.
    pub async fn write_response(
        &mut self,
        status: u16,
        retry_after_s: Option<u32>,
        body: &[u8],
        keep_alive: bool,
    ) -> Result<(), HttpError> {
        let mut message = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason(status),
            body.len()
        )
        .into_bytes();
        if let Some(s) = retry_after_s {
            message.extend_from_slice(format!("Retry-After: {s}\r\n").as_bytes());
        }
        if !keep_alive {
            message.extend_from_slice(b"Connection: close\r\n");
        }
        message.extend_from_slice(b"\r\n");
        message.extend_from_slice(body);
        self.stream.write_all(&message).await?;
        Ok(())
    }
}

fn body_length(headers: &[httparse::Header<'_>]) -> Result<(Length, Option<bool>), HttpError> {
    let mut length = Length::UntilClose;
    let mut close = None;
    for h in headers {
        let value = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed)?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let n = value.parse().map_err(|_| HttpError::Malformed)?;
            match length {
                Length::Fixed(before) if before != n => return Err(HttpError::Malformed),
                Length::Chunked => {}
                _ => length = Length::Fixed(n),
            }
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            length = Length::Chunked;
        } else if h.name.eq_ignore_ascii_case("connection") {
            for option in value.split(',').map(str::trim) {
                if option.eq_ignore_ascii_case("close") {
                    close = Some(true);
                } else if option.eq_ignore_ascii_case("keep-alive") {
                    close = Some(false);
                }
            }
        }
    }
    Ok((length, close))
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// How far a call has come: it waits for a socket.
pub const WAITING: u8 = 0;
/// How far a call has come: the connection is being made, and nothing was sent.
pub const CONNECTING: u8 = 1;
/// How far a call has come: it may have been carried out.
pub const SENT: u8 = 2;

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

    /// Makes a call. An error says nothing of whether it was carried out, unless `stage` says that it has
    /// not come so far.
    pub async fn call(
        &self,
        to: SocketAddr,
        worker: bool,
        method: Method,
        path: &str,
        body: &str,
        stage: &AtomicU8,
    ) -> Result<(u16, Vec<u8>), HttpError> {
        let mut opened = match self.take_idle(to) {
            Some(opened) => opened,
            None => {
                let permit = if worker { Some(self.worker_permit().await) } else { None };
                stage.store(CONNECTING, Ordering::Relaxed);
                PooledConnection {
                    connection: Connection::new(TcpStream::connect(to).await?),
                    permit,
                }
            }
        };
        let connection = &mut opened.connection;
        let method_name = match method {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
        };
        let mut message = format!("{method_name} {path} HTTP/1.1\r\nHost: {to}\r\n");
        if method == Method::Post {
            message.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            ));
        }
        message.push_str("\r\n");
        if method == Method::Post {
            message.push_str(body);
        }
        stage.store(SENT, Ordering::Relaxed);
        connection.stream.write_all(message.as_bytes()).await?;
        let (status, body, keep_alive) = connection.read_response().await?;
        if keep_alive && connection.buffer.is_empty() {
            self.return_idle(to, opened);
        }
        Ok((status, body))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use smol::net::TcpListener;

    /// What a connection reads when the other side sends some bytes and closes.
    fn read<T>(sent: &[u8], take: impl AsyncFnOnce(&mut Connection) -> T) -> T {
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let to = listener.local_addr().expect("it has an address");
            let mut sender = TcpStream::connect(to).await.expect("it listens");
            sender.write_all(sent).await.expect("the bytes go out");
            drop(sender);
            let (stream, _) = listener.accept().await.expect("a connection");
            take(&mut Connection::new(stream)).await
        })
    }

    #[test]
    fn requests_follow_each_other_on_one_connection() {
        let sent = b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nConnection: close\r\n\r\n";
        read(sent, async |c| {
            let first = c.read_request().await.expect("a request");
            assert_eq!(
                (first.path.as_str(), first.body.as_slice(), first.keep_alive),
                ("/a", &b"abc"[..], true)
            );
            let second = c.read_request().await.expect("another");
            assert_eq!(
                (second.method.as_str(), second.body.len(), second.keep_alive),
                ("GET", 0, false)
            );
            assert!(matches!(c.read_request().await, Err(HttpError::Closed)));
        });
    }

    #[test]
    fn chunked_bodies_are_put_together() {
        let sent =
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";
        read(sent, async |c| {
            assert_eq!(c.read_request().await.expect("a request").body, b"abcde")
        });
    }

    #[test]
    fn what_is_too_large_or_malformed_is_told_apart() {
        let large = format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n", BODY_LIMIT + 1);
        read(large.as_bytes(), async |c| {
            assert!(matches!(c.read_request().await, Err(HttpError::BodyTooLarge)))
        });
        let head = format!("GET /a HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(2 * HEAD_LIMIT));
        read(head.as_bytes(), async |c| {
            assert!(matches!(c.read_request().await, Err(HttpError::HeadTooLarge)))
        });
        for bad in [
            "nonsense\r\n\r\n",
            "POST /a HTTP/1.1\r\nContent-Length: many\r\n\r\n",
            "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        ] {
            read(bad.as_bytes(), async |c| {
                assert!(matches!(c.read_request().await, Err(HttpError::Malformed)), "{bad}")
            });
        }
        read(b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", async |c| {
            assert!(
                matches!(c.read_request().await, Err(HttpError::Closed)),
                "it ends within the body"
            );
        });
    }
}
