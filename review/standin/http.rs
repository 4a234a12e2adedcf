//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client with a connection for each call.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: String,
}

/// Status and body; `None`: the connection is closed without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

pub fn serve(handler: Handler) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || connection(stream, &handler));
        }
    });
    Ok(address)
}

fn connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, body, close) = read_message(&mut reader).ok()?;
        let mut words = first.split_whitespace();
        let request = Request {
            method: words.next()?.to_owned(),
            path: words.next()?.to_owned(),
            body,
        };
        let (status, body) = handler(&request)?;
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes()).ok()?;
        if close {
            return None;
        }
    }
}

/// Reads a message: its first line, its body, and whether the connection is to be closed.
fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<(String, String, bool)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(n) = line.strip_prefix("content-length:") {
            length = n.trim().parse().unwrap_or(0);
        }
        close |= line == "connection: close";
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((
        first.trim().to_owned(),
        String::from_utf8_lossy(&body).into_owned(),
        close,
    ))
}

/// Sends a request and returns the status and the body of the response.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> io::Result<(u16, String)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    let message = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(message.as_bytes())?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let (first, body, _) = read_message(&mut BufReader::new(stream))?;
    let status = first.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    status
        .map(|status| (status, body))
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}
