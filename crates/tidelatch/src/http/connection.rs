//! An HTTP/1.1 connection: reads requests and responses, and writes responses.

use super::HttpError;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

/// Maximum size of the head of a message.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of the body of a request.
const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of the body of a response; nothing else limits the responses to watches.
const MAX_RESPONSE_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum length of the line that holds a chunk's size.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 1024;
/// Maximum number of header fields of a message.
const MAX_HEADERS: usize = 48;
/// Number of bytes read from the stream at a time.
const READ_BUFFER_BYTES: usize = 4096;

/// A request that was read from a connection.
pub struct Request {
    /// HTTP method, as written in the request.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

/// A response that was read from a connection.
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the connection may be reused.
    pub keep_alive: bool,
}

/// How the length of a body is determined.
enum BodyLength {
    /// The body has this number of bytes.
    Fixed(usize),
    /// The body has the chunked transfer encoding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Message framing as given by the header fields: the length of the body, and whether the connection stays open.
struct Framing {
    body_length: BodyLength,
    keep_alive: bool,
}

/// The head of a request.
struct RequestHead {
    method: String,
    path: String,
    framing: Framing,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

/// The head of a response.
struct ResponseHead {
    status: u16,
    framing: Framing,
}

/// A parsed head and its size in bytes; `None` while the head is incomplete.
type HeadParseResult<T> = Result<Option<(usize, T)>, HttpError>;

/// A connection, and the bytes that were received and not consumed yet.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a stream, and sets `TCP_NODELAY` on it.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Whether all received bytes have been consumed.
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Writes all bytes to the stream, unchanged.
    pub async fn write_all(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Reads the available bytes into the buffer, and returns their number; 0 at the end of the stream.
    async fn read_available(&mut self) -> Result<usize, HttpError> {
        let mut bytes = [0u8; READ_BUFFER_BYTES];
        let n = self.stream.read(&mut bytes).await?;
        self.buffer.extend_from_slice(bytes.get(..n).unwrap_or_default());
        Ok(n)
    }

    /// Reads more bytes of an incomplete message; [`HttpError::Closed`] at the end of the stream.
    async fn read_more(&mut self) -> Result<(), HttpError> {
        match self.read_available().await? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads until the buffer holds at least `size` bytes.
    async fn read_at_least(&mut self, size: usize) -> Result<(), HttpError> {
        while self.buffer.len() < size {
            self.read_more().await?;
        }
        Ok(())
    }

    /// Waits until the first byte of a message has been received.
    pub async fn wait_for_request(&mut self) -> Result<(), HttpError> {
        self.read_at_least(1).await
    }

    /// Reads a request, and sends `100 Continue` if its sender waits for that.
    pub async fn read_request(&mut self) -> Result<Request, HttpError> {
        let head = self.read_head(parse_request_head).await?;
        if head.expects_continue {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let length = match head.framing.body_length {
            // A request without a length has no body.
            BodyLength::UntilClose => BodyLength::Fixed(0),
            body_length => body_length,
        };
        let body = self.read_body(length, MAX_REQUEST_BODY_BYTES).await?;
        Ok(Request {
            method: head.method,
            path: head.path,
            body,
            keep_alive: head.framing.keep_alive,
        })
    }

    /// Reads a response, and skips interim (1xx) responses.
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
        let body = self.read_body(length, MAX_RESPONSE_BODY_BYTES).await?;
        Ok(Response {
            status: head.status,
            body,
            keep_alive,
        })
    }

    /// Reads until a head is complete, and removes it from the buffer.
    async fn read_head<T>(&mut self, parse: fn(&[u8]) -> HeadParseResult<T>) -> Result<T, HttpError> {
        loop {
            if let Some((size, head)) = parse(&self.buffer)? {
                self.buffer.drain(..size);
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(HttpError::HeadTooLarge);
            }
            self.read_more().await?;
        }
    }

    /// Reads a body of at most `max_bytes` bytes.
    async fn read_body(&mut self, length: BodyLength, max_bytes: usize) -> Result<Vec<u8>, HttpError> {
        match length {
            BodyLength::Fixed(size) if size > max_bytes => Err(HttpError::BodyTooLarge),
            BodyLength::Fixed(size) => {
                self.read_at_least(size).await?;
                let rest = self.buffer.split_off(size);
                Ok(std::mem::replace(&mut self.buffer, rest))
            }
            BodyLength::UntilClose => {
                while self.read_available().await? > 0 {
                    if self.buffer.len() > max_bytes {
                        return Err(HttpError::BodyTooLarge);
                    }
                }
                Ok(std::mem::take(&mut self.buffer))
            }
            BodyLength::Chunked => self.read_chunked_body(max_bytes).await,
        }
    }

    /// Reads a body in the chunked transfer encoding, of at most `max_bytes` bytes without the framing.
    async fn read_chunked_body(&mut self, max_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size().await?;
            if size > max_bytes || body.len() + size > max_bytes {
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

    /// Reads the line that holds the size of the next chunk.
    async fn read_chunk_size(&mut self) -> Result<usize, HttpError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((head, size))) => {
                    self.buffer.drain(..head);
                    return usize::try_from(size).map_err(|_| HttpError::BodyTooLarge);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() > MAX_CHUNK_SIZE_LINE_BYTES => {
                    return Err(HttpError::Malformed);
                }
                Ok(httparse::Status::Partial) => self.read_more().await?,
                Err(_) => return Err(HttpError::Malformed),
            }
        }
    }

    /// Skips the trailer fields after the last chunk, up to and including the empty line.
    async fn skip_trailers(&mut self) -> Result<(), HttpError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                self.buffer.drain(..end + 2);
                if end == 0 {
                    return Ok(());
                }
            } else if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(HttpError::HeadTooLarge);
            } else {
                self.read_more().await?;
            }
        }
    }

    /// Writes a response with a JSON body.
    pub async fn write_response(
        &mut self,
        status: u16,
        retry_after_s: Option<u32>,
        body: &[u8],
        keep_alive: bool,
    ) -> Result<(), HttpError> {
        let mut message = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason_phrase(status),
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

/// Parses the head of a request.
fn parse_request_head(buffer: &[u8]) -> HeadParseResult<RequestHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let size = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(size)) if size > MAX_HEAD_BYTES => return Err(HttpError::HeadTooLarge),
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

/// Parses the head of a response.
fn parse_response_head(buffer: &[u8]) -> HeadParseResult<ResponseHead> {
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

/// Derives the framing from the header fields. With minor version 1 the connection stays open unless a header field
/// closes it.
fn parse_framing(minor_version: Option<u8>, headers: &[httparse::Header<'_>]) -> Result<Framing, HttpError> {
    let mut body_length = BodyLength::UntilClose;
    let mut keep_alive = minor_version == Some(1);
    for h in headers {
        let value = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed)?.trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let n = value.parse().map_err(|_| HttpError::Malformed)?;
            match body_length {
                BodyLength::Fixed(previous) if previous != n => return Err(HttpError::Malformed),
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

/// Reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
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

    /// Calls `read` on a connection whose other side has sent `sent` and closed.
    fn with_received<T>(sent: &[u8], read: impl AsyncFnOnce(&mut Connection) -> T) -> T {
        smol::block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let to = listener.local_addr().expect("it has an address");
            let mut sender = TcpStream::connect(to).await.expect("it listens");
            sender.write_all(sent).await.expect("the bytes go out");
            drop(sender);
            let (stream, _) = listener.accept().await.expect("a connection");
            read(&mut Connection::new(stream)).await
        })
    }

    #[test]
    fn several_requests_are_read_from_one_connection() {
        let sent = b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nConnection: close\r\n\r\n";
        with_received(sent, async |c| {
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
    fn chunks_of_a_body_are_joined() {
        let sent =
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";
        with_received(sent, async |c| {
            assert_eq!(c.read_request().await.expect("a request").body, b"abcde")
        });
    }

    #[test]
    fn oversized_malformed_and_truncated_messages_give_distinct_errors() {
        let large = format!(
            "POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
            MAX_REQUEST_BODY_BYTES + 1
        );
        with_received(large.as_bytes(), async |c| {
            assert!(matches!(c.read_request().await, Err(HttpError::BodyTooLarge)))
        });
        let head = format!("GET /a HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(2 * MAX_HEAD_BYTES));
        with_received(head.as_bytes(), async |c| {
            assert!(matches!(c.read_request().await, Err(HttpError::HeadTooLarge)))
        });
        for bad in [
            "nonsense\r\n\r\n",
            "POST /a HTTP/1.1\r\nContent-Length: many\r\n\r\n",
            "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        ] {
            with_received(bad.as_bytes(), async |c| {
                assert!(matches!(c.read_request().await, Err(HttpError::Malformed)), "{bad}")
            });
        }
        with_received(b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", async |c| {
            assert!(
                matches!(c.read_request().await, Err(HttpError::Closed)),
                "the stream ends within the body"
            );
        });
    }
}
