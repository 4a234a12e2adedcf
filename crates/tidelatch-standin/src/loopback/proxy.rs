//! A TCP proxy on 127.0.0.1 that can be cut. While it is cut it holds bytes back; once it is healed it delivers them.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which a connection checks whether the proxy has been healed.
const HEAL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A proxy from clients to one server.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The address that clients connect to.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy to a server.
    ///
    /// # Errors
    ///
    /// If it cannot listen on any port.
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

    /// Holds all bytes back from now on, in both directions.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Delivers the bytes that were held back, and all later ones.
    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn wait_until_healed(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(HEAL_CHECK_INTERVAL);
    }
}

fn forward_connection(client: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    wait_until_healed(cut);
    let Ok(server) = TcpStream::connect(to) else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(client_reader), Ok(server_reader)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let back = cut.clone();
    thread::spawn(move || copy_bytes(server_reader, client, &back));
    copy_bytes(client_reader, server, cut);
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(read) = from.read(&mut chunk) {
        wait_until_healed(cut);
        if read == 0 || to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
