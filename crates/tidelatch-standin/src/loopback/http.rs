//! HTTP/1.1 with blocking sockets: a server with a thread for each connection, and a client for single requests.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Most header lines of a message.
const MOST_HEADERS: usize = 32;
/// Bytes that are read at a time.
const CHUNK: usize = 16 * 1024;

/// A request as it came in.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: String,
}

/// Status and body.
pub(super) type Response = (u16, String);

pub(super) type Handler = Arc<dyn Fn(Request) -> Response + Send + Sync>;

/// Serves on a free port of 127.0.0.1, until the process ends.
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

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
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

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; CHUNK];
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

/// Makes one request on a connection of its own.
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
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
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
