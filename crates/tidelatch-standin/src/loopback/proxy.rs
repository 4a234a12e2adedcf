//! A TCP proxy on 127.0.0.1 that can be cut: while it is, bytes are held back, and delivered late once it is healed.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How often a connection looks whether the proxy has been healed.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// One way from a client to a server.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Where clients connect.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    /// A proxy before a server.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = shared.clone();
                thread::spawn(move || forward_connection(client, to, &cut));
            }
        });
        Ok(Self { address, cut })
    }

    /// Holds back everything from now on.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Delivers what was held back, and everything from now on.
    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(LOOK_INTERVAL);
    }
}

fn forward_connection(client: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    wait_while(cut);
    let Ok(server) = TcpStream::connect(to) else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(client_reader), Ok(server_reader)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let back = cut.clone();
    thread::spawn(move || copy(server_reader, client, &back));
    copy(client_reader, server, cut);
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(read) = from.read(&mut chunk) {
        wait_while(cut);
        if read == 0 || to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
