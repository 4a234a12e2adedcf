//! Runs real controller processes, with a proxy on each connection between two of them and to the state service.

use super::http::request;
use super::proxy::Proxy;
use super::{REPORT_MS, Services, WORKER_LEASE_MS, wait_until};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// Time within which all controllers must become healthy.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// One controller process. It is killed when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal).map_err(io::Error::from)
    }

    /// Pauses the process. Its clocks run on and its sockets stay open.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process.
    ///
    /// # Errors
    ///
    /// If the process has ended.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is paused.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The controllers of a deployment.
pub struct Controllers {
    /// The processes, in the order of the controllers' numbers.
    pub processes: Vec<Process>,
    /// The addresses at which controllers serve users and workers, in the order of their numbers.
    pub addresses: Vec<SocketAddr>,
    /// Proxies between controllers, by the numbers of the calling and of the called controller.
    peer_proxies: BTreeMap<(usize, usize), Proxy>,
    /// Proxies to the state service, one for each controller.
    state_proxies: Vec<Proxy>,
    directory: PathBuf,
    program: PathBuf,
    /// The platform settings of each controller.
    configs: Vec<String>,
}

/// First port for controllers. The range is below the ephemeral ports: the system could give an ephemeral port to a
/// proxy or to an outgoing connection before its controller listens on it, or while its controller is being restarted.
const FIRST_PORT: u16 = 20_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 12_000;

/// Number of ports that this process has tried.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Returns an address on which no process listens now. Different processes start at different ports, and a process
/// never returns the same port twice.
fn free_address() -> io::Result<SocketAddr> {
    let first_offset = u64::from(std::process::id()) * 64;
    for _ in 0..PORT_COUNT {
        let tried = TRIED_PORTS.fetch_add(1, Ordering::SeqCst);
        let offset = (first_offset + u64::from(tried)) % u64::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn operator_path(directory: &Path) -> PathBuf {
    directory.join("operator.json")
}

fn controller_name(index: usize) -> String {
    format!("berth-{index}")
}

impl Controllers {
    /// Starts `count` controllers of `program` with these operators' settings (JSON), and waits until all are healthy.
    ///
    /// # Errors
    ///
    /// If no port is free, a file cannot be written, a process does not start, or a controller does not become healthy
    /// within 30 s.
    pub fn start(program: &Path, operator: &str, count: usize, services: &Services) -> io::Result<Self> {
        let directory = std::env::temp_dir().join(format!("tidelatch-loopback-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        fs::write(operator_path(&directory), operator)?;
        let addresses = (0..count)
            .map(|_| free_address())
            .collect::<io::Result<Vec<SocketAddr>>>()?;
        let peers = (0..count)
            .map(|_| free_address())
            .collect::<io::Result<Vec<SocketAddr>>>()?;
        let mut controllers = Self {
            processes: Vec::new(),
            addresses,
            peer_proxies: BTreeMap::new(),
            state_proxies: Vec::new(),
            directory,
            program: program.to_owned(),
            configs: Vec::new(),
        };
        for from in 0..count {
            controllers.state_proxies.push(Proxy::start(services.state)?);
            for to in (0..count).filter(|to| *to != from) {
                let peer = peers.get(to).copied().ok_or(io::ErrorKind::NotFound)?;
                controllers.peer_proxies.insert((from, to), Proxy::start(peer)?);
            }
        }
        for (index, peer) in peers.iter().enumerate() {
            let config = controllers.platform_settings(index, *peer, services);
            controllers.configs.push(config);
            let process = controllers.spawn(index)?;
            controllers.processes.push(process);
        }
        let named = controllers.addresses.iter().enumerate();
        services.set_controllers(
            named
                .map(|(index, address)| (controller_name(index), *address))
                .collect(),
        );
        if wait_until(START_TIMEOUT, || controllers.all_healthy()) {
            Ok(controllers)
        } else {
            Err(io::Error::other(format!(
                "the controllers are not healthy: {}",
                controllers.logs()
            )))
        }
    }

    fn spawn(&self, index: usize) -> io::Result<Process> {
        let config_file = self.directory.join(format!("{}.toml", controller_name(index)));
        let config = self.configs.get(index).ok_or(io::ErrorKind::NotFound)?;
        fs::write(&config_file, config)?;
        // A restarted controller appends to its log.
        let log = File::options().create(true).append(true).open(self.log_path(index))?;
        let child = Command::new(&self.program)
            .args(["serve", "--config"])
            .arg(config_file)
            .arg("--operator")
            .arg(operator_path(&self.directory))
            .env("LOG_LEVEL", "info")
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Process { child })
    }

    /// Sets the operators' settings (JSON) of all controllers from their next start on.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn set_operator(&self, operator: &str) -> io::Result<()> {
        fs::write(operator_path(&self.directory), operator)
    }

    /// Kills a controller and waits for its end.
    ///
    /// # Errors
    ///
    /// If there is no such controller, or it cannot be killed.
    pub fn kill(&mut self, index: usize) -> io::Result<()> {
        let process = self.processes.get_mut(index).ok_or(io::ErrorKind::NotFound)?;
        process.child.kill()?;
        process.child.wait()?;
        Ok(())
    }

    /// Starts a controller that was killed.
    ///
    /// # Errors
    ///
    /// If there is no such controller, or the process does not start.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let process = self.spawn(index)?;
        *self.processes.get_mut(index).ok_or(io::ErrorKind::NotFound)? = process;
        Ok(())
    }

    /// Cuts the connection of one controller to the state service.
    pub fn cut_state_service(&self, index: usize) {
        if let Some(proxy) = self.state_proxies.get(index) {
            proxy.cut();
        }
    }

    /// Builds the platform settings of a controller, as TOML.
    fn platform_settings(&self, index: usize, peer: SocketAddr, services: &Services) -> String {
        let count = self.addresses.len();
        let address = self.addresses.get(index).map_or_else(String::new, ToString::to_string);
        let state = self
            .state_proxies
            .get(index)
            .map_or(services.state, |proxy| proxy.address);
        let mut text = format!(
            "host_name = \"{}\"\narea = \"a\"\napi_addr = \"{address}\"\npeer_listen = \"{peer}\"\n",
            controller_name(index)
        );
        for ((_, to), proxy) in self.peer_proxies.range((index, 0)..(index + 1, 0)) {
            text += &format!(
                "[[siblings]]\nhost_name = \"{}\"\narea = \"a\"\naddress = \"{}\"\n",
                controller_name(*to),
                proxy.address
            );
        }
        text += &format!("[outside]\ncloud = \"{}\"\nstate = \"{state}\"\n", services.cloud);
        text += &format!("[facts]\nnodes = {count}\nzones = [\"a\", \"b\"]\nskew_ms = 25.0\n");
        for team in 0..count {
            text += &format!("[[facts.teams]]\nname = \"team-{team}\"\ngpus = 4.0\ngpus_max = 16.0\n");
        }
        let (report_s, lease_s) = (REPORT_MS as f64 / 1000.0, WORKER_LEASE_MS as f64 / 1000.0);
        text += &format!(
            "[facts.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ncancel_s = {:?}\n",
            3.0 * lease_s
        );
        text += "[facts.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 32.0\ntxn_ops = 16\n";
        text += "[facts.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n";
        text += "[facts.machine_limits]\ncores = 1.0\nram_mb = 500.0\nsockets = 1000\n";
        text
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.directory.join(format!("{}.log", controller_name(index)))
    }

    fn all_healthy(&self) -> bool {
        let healthy = |address: &SocketAddr| {
            let answer = request(*address, "GET", "/up", "", HEALTH_TIMEOUT);
            matches!(answer, Ok((200, _)))
        };
        self.addresses.iter().all(healthy)
    }

    /// Returns the log of one controller.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.log_path(index)).unwrap_or_default()
    }

    /// Returns all logs, for the message of a failing test.
    pub fn logs(&self) -> String {
        (0..self.addresses.len())
            .map(|index| format!("{}:\n{}", controller_name(index), self.log(index)))
            .collect()
    }

    /// Partitions the network between these controllers and the others. With `state`, the others also lose the state
    /// service.
    pub fn partition(&self, side: &[usize], state: bool) {
        for ((from, to), proxy) in &self.peer_proxies {
            if side.contains(from) != side.contains(to) {
                proxy.cut();
            }
        }
        for (index, proxy) in self.state_proxies.iter().enumerate() {
            if state && !side.contains(&index) {
                proxy.cut();
            }
        }
    }

    /// Restores all connections.
    pub fn heal(&self) {
        self.peer_proxies
            .values()
            .chain(&self.state_proxies)
            .for_each(Proxy::heal);
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        self.heal();
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}
