//! One connection: reading requests and responses, and writing responses.

use super::HttpError;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

/// Largest head of a message.
const HEAD_LIMIT: usize = 16 * 1024;
/// Largest body of a request.
const BODY_LIMIT: usize = 64 * 1024;
/// Largest body of a response: watches have no limit of their own.
const RESPONSE_LIMIT: usize = 8 * 1024 * 1024;
/// Longest line that gives a chunk's size.
const CHUNK_SIZE_LIMIT: usize = 1024;
/// Most header fields of a message.
const MAX_HEADERS: usize = 48;
/// Bytes that are read at a time.
const READ_SIZE: usize = 4096;

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

/// A response that was read.
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub keep_alive: bool,
}

/// How the end of a body is found.
enum BodyLength {
    Fixed(usize),
    Chunked,
    UntilClose,
}

/// How a message's body and connection go on, by its header fields.
struct Framing {
    body_length: BodyLength,
    keep_alive: bool,
}

/// The head of a request.
struct RequestHead {
    method: String,
    path: String,
    framing: Framing,
    /// The sender waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// The head of a response.
struct ResponseHead {
    status: u16,
    framing: Framing,
}

/// A head and its size in bytes; none while it is incomplete.
type Parsed<T> = Result<Option<(usize, T)>, HttpError>;

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

    /// Whether nothing has been read ahead.
    pub fn is_drained(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Writes bytes as they are.
    pub async fn write_all(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Reads what is there; 0 at the end of the stream.
    async fn read_chunk(&mut self) -> Result<usize, HttpError> {
        let mut chunk = [0u8; READ_SIZE];
        let n = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(chunk.get(..n).unwrap_or_default());
        Ok(n)
    }

    /// Reads more of a message that is not complete.
    async fn read_more(&mut self) -> Result<(), HttpError> {
        match self.read_chunk().await? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads until there are so many bytes.
    async fn read_at_least(&mut self, size: usize) -> Result<(), HttpError> {
        while self.buffer.len() < size {
            self.read_more().await?;
        }
        Ok(())
    }

    /// Waits until the first byte of a message is there.
    pub async fn wait_for_request(&mut self) -> Result<(), HttpError> {
        self.read_at_least(1).await
    }

    /// Reads a request.
    pub async fn read_request(&mut self) -> Result<Request, HttpError> {
        let head = self.read_head(parse_request_head).await?;
        if head.expects_continue {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let length = match head.framing.body_length {
            // Without a length a request has no body.
            BodyLength::UntilClose => BodyLength::Fixed(0),
            other => other,
        };
        let body = self.read_body(length, BODY_LIMIT).await?;
        Ok(Request {
            method: head.method,
            path: head.path,
            body,
            keep_alive: head.framing.keep_alive,
        })
    }

    /// Reads a response, and passes over interim ones.
    pub async fn read_response(&mut self) -> Result<Response, HttpError> {
        let mut head = self.read_head(parse_response_head).await?;
        while (100..200).contains(&head.status) {
            head = self.read_head(parse_response_head).await?;
        }
        let length = match head.status {
            204 | 304 => BodyLength::Fixed(0),
            _ => head.framing.body_length,
        };
        let keep_alive = head.framing.keep_alive && !matches!(length, BodyLength::UntilClose);
        let body = self.read_body(length, RESPONSE_LIMIT).await?;
        Ok(Response {
            status: head.status,
            body,
            keep_alive,
        })
    }

    /// Reads until a head is complete, and takes it out of the buffer.
    async fn read_head<T>(&mut self, parse: fn(&[u8]) -> Parsed<T>) -> Result<T, HttpError> {
        loop {
            if let Some((size, head)) = parse(&self.buffer)? {
                self.buffer.drain(..size);
                return Ok(head);
            }
            if self.buffer.len() > HEAD_LIMIT {
                return Err(HttpError::HeadTooLarge);
            }
            self.read_more().await?;
        }
    }

    async fn read_body(&mut self, length: BodyLength, limit: usize) -> Result<Vec<u8>, HttpError> {
        match length {
            BodyLength::Fixed(size) if size > limit => Err(HttpError::BodyTooLarge),
            BodyLength::Fixed(size) => {
                self.read_at_least(size).await?;
                let rest = self.buffer.split_off(size);
                Ok(std::mem::replace(&mut self.buffer, rest))
            }
            BodyLength::UntilClose => {
                while self.read_chunk().await? > 0 {
                    if self.buffer.len() > limit {
                        return Err(HttpError::BodyTooLarge);
                    }
                }
                Ok(std::mem::take(&mut self.buffer))
            }
            BodyLength::Chunked => self.read_chunked_body(limit).await,
        }
    }

    async fn read_chunked_body(&mut self, limit: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size().await?;
            if size > limit || body.len() + size > limit {
                return Err(HttpError::BodyTooLarge);
            }
            if size == 0 {
                self.skip_trailers().await?;
                return Ok(body);
            }
            self.read_at_least(size + 2).await?;
            body.extend(self.buffer.drain(..size));
            if !self.buffer.starts_with(b"\r\n") {
                return Err(HttpError::Malformed);
            }
            self.buffer.drain(..2);
        }
    }

    async fn read_chunk_size(&mut self) -> Result<usize, HttpError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head, size))) => {
                    self.buffer.drain(..head);
                    return usize::try_from(size).map_err(|_| HttpError::BodyTooLarge);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() > CHUNK_SIZE_LIMIT => {
                    return Err(HttpError::Malformed);
                }
                Ok(httparse::Status::Partial) => self.read_more().await?,
                Err(_) => return Err(HttpError::Malformed),
            }
        }
    }

    /// Passes over what follows the last chunk, up to the empty line.
    async fn skip_trailers(&mut self) -> Result<(), HttpError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                self.buffer.drain(..end + 2);
                if end == 0 {
                    return Ok(());
                }
            } else if self.buffer.len() > HEAD_LIMIT {
                return Err(HttpError::HeadTooLarge);
            } else {
                self.read_more().await?;
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
        self.write_all(&message).await
    }
}

fn parse_request_head(buffer: &[u8]) -> Parsed<RequestHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let size = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(size)) if size > HEAD_LIMIT => return Err(HttpError::HeadTooLarge),
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        framing: parse_framing(parsed.version, parsed.headers)?,
        expects_continue: parsed.headers.iter().any(|h| h.name.eq_ignore_ascii_case("expect")),
    };
    Ok(Some((size, head)))
}

fn parse_response_head(buffer: &[u8]) -> Parsed<ResponseHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::Malformed),
    };
    let head = ResponseHead {
        status: parsed.code.unwrap_or(0),
        framing: parse_framing(parsed.version, parsed.headers)?,
    };
    Ok(Some((size, head)))
}

/// Reads the header fields that say how the body ends and whether the connection stays open. Minor version 1
/// keeps it open unless a field says otherwise.
fn parse_framing(minor_version: Option<u8>, headers: &[httparse::Header<'_>]) -> Result<Framing, HttpError> {
    let mut body_length = BodyLength::UntilClose;
    let mut keep_alive = minor_version == Some(1);
    for h in headers {
        let value = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed)?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let n = value.parse().map_err(|_| HttpError::Malformed)?;
            match body_length {
                BodyLength::Fixed(before) if before != n => return Err(HttpError::Malformed),
                BodyLength::Chunked => {}
                _ => body_length = BodyLength::Fixed(n),
            }
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed);
            }
            body_length = BodyLength::Chunked;
        } else if h.name.eq_ignore_ascii_case("connection") {
            for option in value.split(',').map(str::trim) {
                if option.eq_ignore_ascii_case("close") {
                    keep_alive = false;
                } else if option.eq_ignore_ascii_case("keep-alive") {
                    keep_alive = true;
                }
            }
        }
    }
    Ok(Framing {
        body_length,
        keep_alive,
    })
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
