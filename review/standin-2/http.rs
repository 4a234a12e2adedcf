//! HTTP/1.1 on 127.0.0.1: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: String,
}

/// `None`: the connection is closed without an answer.
pub type Response = Option<(u16, String)>;

/// What a server does with connections.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Gate {
    Open,
    /// Open connections are reset, new ones are closed at once.
    Reset,
}

/// The gate of one server, and its open connections.
pub struct Door {
    gate: Mutex<Gate>,
    open: Mutex<Vec<TcpStream>>,
}

impl Door {
    pub fn set(&self, gate: Gate) {
        *self.gate.lock().unwrap() = gate;
        if gate == Gate::Reset {
            for c in self.open.lock().unwrap().drain(..) {
                let _ = c.shutdown(Shutdown::Both);
            }
        }
    }
    pub fn is_open(&self) -> bool {
        *self.gate.lock().unwrap() == Gate::Open
    }
}

fn read_message(r: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut first = String::new();
    if r.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0u8; length];
    r.read_exact(&mut body).ok()?;
    Some((first, String::from_utf8_lossy(&body).into_owned()))
}

pub fn serve(handler: Arc<dyn Fn(Request) -> Response + Send + Sync>) -> (SocketAddr, Arc<Door>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let door = Arc::new(Door {
        gate: Mutex::new(Gate::Open),
        open: Mutex::new(Vec::new()),
    });
    let d = door.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            if !d.is_open() {
                let _ = stream.shutdown(Shutdown::Both);
                continue;
            }
            if let Ok(c) = stream.try_clone() {
                d.open.lock().unwrap().push(c);
            }
            let handler = handler.clone();
            let door = d.clone();
            thread::spawn(move || {
                let Ok(mut w) = stream.try_clone() else { return };
                let mut r = BufReader::new(stream);
                while let Some((first, body)) = read_message(&mut r) {
                    let mut words = first.split_whitespace();
                    let method = words.next().unwrap_or("").to_owned();
                    let path = words.next().unwrap_or("").to_owned();
                    let Some((status, body)) = handler(Request { method, path, body }) else {
                        break;
                    };
                    if !door.is_open() {
                        break;
                    }
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if w.write_all(text.as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = w.shutdown(Shutdown::Both);
            });
        }
    });
    (address, door)
}

/// One request on a connection of its own. `None`: no answer within the time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(2))).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut w = stream.try_clone().ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    w.write_all(text.as_bytes()).ok()?;
    let (first, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, body))
}
