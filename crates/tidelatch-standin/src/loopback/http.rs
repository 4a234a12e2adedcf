//! A minimal HTTP/1.1 server and client with blocking sockets. The server uses a thread for each connection, the client
//! a connection for each request.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Maximum number of header lines of a message.
const MAX_HEADERS: usize = 32;
/// Maximum number of bytes of one read.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A received request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: String,
}

/// The status and the body of a response.
pub(super) type Response = (u16, String);

/// Computes the response to a request.
pub(super) type Handler = Arc<dyn Fn(Request) -> Response + Send + Sync>;

/// Starts a server on a free port of 127.0.0.1. It runs until the process ends. Returns its address.
pub(super) fn serve(handler: Handler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(address)
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
        let (status, body) = handler(request);
        let head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads the next request; `None` at the end of the stream. `buffer` holds the bytes read beyond the previous request.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(buffer).map_err(io::Error::other)?;
        if let httparse::Status::Complete(head) = parsed {
            let end = head + content_length(request.headers);
            if buffer.len() >= end {
                let result = Request {
                    method: request.method.unwrap_or_default().to_owned(),
                    path: request.path.unwrap_or_default().to_owned(),
                    body: String::from_utf8_lossy(&buffer[head..end]).into_owned(),
                };
                buffer.drain(..end);
                return Ok(Some(result));
            }
        }
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    }
}

/// Reads once and appends to the buffer. Returns false at the end of the stream.
fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let read = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read > 0)
}

fn content_length(headers: &[httparse::Header<'_>]) -> usize {
    let length = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let value = length.and_then(|header| std::str::from_utf8(header.value).ok());
    value.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
}

/// Sends one request on a new connection and returns the response. The timeout holds for each socket operation.
pub(super) fn request(to: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut buffer = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&buffer).map_err(io::Error::other)?;
        if let httparse::Status::Complete(head) = parsed {
            let end = head + content_length(response.headers);
            if buffer.len() >= end {
                let body = String::from_utf8_lossy(&buffer[head..end]).into_owned();
                return Ok((response.code.unwrap_or(0), body));
            }
        }
        if !read_more(&mut stream, &mut buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
