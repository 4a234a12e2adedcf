//! Real controller processes, with a proxy on each way between them and to the state service.

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

/// Time within which a controller must come up.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// One controller process. It ends with this value.
pub struct Process {
    child: Child,
}

impl Process {
    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal).map_err(io::Error::from)
    }

    /// The process stands still; its clocks and its sockets do not.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// The process goes on.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process ends by this as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The controllers of a deployment.
pub struct Controllers {
    /// The processes, by the controllers' numbers.
    pub processes: Vec<Process>,
    /// Where users and workers find them.
    pub addresses: Vec<SocketAddr>,
    between: BTreeMap<(usize, usize), Proxy>,
    to_state: Vec<Proxy>,
    directory: PathBuf,
    program: PathBuf,
    configs: Vec<String>,
}

/// Ports for controllers: below those that systems hand out by themselves. One of those could be given to a proxy or to
/// an outgoing connection before its controller listens on it, or while its controller is being restarted.
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;

/// How many ports of this process have been tried.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// An address that nobody listens on now. Processes begin at different ports, and no process gives one twice.
fn free_address() -> io::Result<SocketAddr> {
    let begin = u64::from(std::process::id()) * 64;
    for _ in 0..PORTS {
        let tried = TRIED_PORTS.fetch_add(1, Ordering::SeqCst);
        let offset = (begin + u64::from(tried)) % u64::from(PORTS);
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

fn name(index: usize) -> String {
    format!("berth-{index}")
}

impl Controllers {
    /// Starts controllers of `program`, with settings of the operators' own, and waits until all are healthy.
    ///
    /// # Errors
    ///
    /// A port or a file cannot be had, or a process does not start.
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
            between: BTreeMap::new(),
            to_state: Vec::new(),
            directory,
            program: program.to_owned(),
            configs: Vec::new(),
        };
        for from in 0..count {
            controllers.to_state.push(Proxy::start(services.state)?);
            for to in (0..count).filter(|to| *to != from) {
                let peer = peers.get(to).copied().ok_or(io::ErrorKind::NotFound)?;
                controllers.between.insert((from, to), Proxy::start(peer)?);
            }
        }
        for (index, peer) in peers.iter().enumerate() {
            let config = controllers.config(index, *peer, services);
            controllers.configs.push(config);
            let process = controllers.spawn(index)?;
            controllers.processes.push(process);
        }
        let named = controllers.addresses.iter().enumerate();
        services.set_controllers(named.map(|(index, address)| (name(index), *address)).collect());
        if wait_until(START_TIMEOUT, || controllers.all_healthy()) {
            Ok(controllers)
        } else {
            Err(io::Error::other(format!("not healthy: {}", controllers.logs())))
        }
    }

    fn spawn(&self, index: usize) -> io::Result<Process> {
        let config_file = self.directory.join(format!("{}.toml", name(index)));
        let config = self.configs.get(index).ok_or(io::ErrorKind::NotFound)?;
        fs::write(&config_file, config)?;
        // A controller that begins again goes on with its log.
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

    /// From its next start on, each controller has these settings of the operators'.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set_operator(&self, operator: &str) -> io::Result<()> {
        fs::write(operator_path(&self.directory), operator)
    }

    /// Kills a controller.
    ///
    /// # Errors
    ///
    /// It has ended by itself.
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
    /// The process does not start.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        let process = self.spawn(index)?;
        *self.processes.get_mut(index).ok_or(io::ErrorKind::NotFound)? = process;
        Ok(())
    }

    /// A controller alone loses the state service.
    pub fn cut_from_state(&self, index: usize) {
        if let Some(proxy) = self.to_state.get(index) {
            proxy.cut();
        }
    }

    fn config(&self, index: usize, peer: SocketAddr, services: &Services) -> String {
        let count = self.addresses.len();
        let address = self.addresses.get(index).map_or_else(String::new, ToString::to_string);
        let state = self.to_state.get(index).map_or(services.state, |proxy| proxy.address);
        let mut text = format!(
            "host_name = \"{}\"\narea = \"a\"\napi_addr = \"{address}\"\npeer_listen = \"{peer}\"\n",
            name(index)
        );
        for ((_, to), proxy) in self.between.range((index, 0)..(index + 1, 0)) {
            text += &format!(
                "[[siblings]]\nhost_name = \"{}\"\narea = \"a\"\naddress = \"{}\"\n",
                name(*to),
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
        self.directory.join(format!("{}.log", name(index)))
    }

    fn all_healthy(&self) -> bool {
        let healthy = |address: &SocketAddr| {
            let answer = request(*address, "GET", "/up", "", HEALTH_TIMEOUT);
            matches!(answer, Ok((200, _)))
        };
        self.addresses.iter().all(healthy)
    }

    /// The log of one controller.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.log_path(index)).unwrap_or_default()
    }

    /// All logs, for the message of a test that fails.
    pub fn logs(&self) -> String {
        (0..self.addresses.len())
            .map(|index| format!("{}:\n{}", name(index), self.log(index)))
            .collect()
    }

    /// The network between these controllers and the others splits; with `state`, the others lose the state service.
    pub fn split(&self, side: &[usize], state: bool) {
        for ((from, to), proxy) in &self.between {
            if side.contains(from) != side.contains(to) {
                proxy.cut();
            }
        }
        for (index, proxy) in self.to_state.iter().enumerate() {
            if state && !side.contains(&index) {
                proxy.cut();
            }
        }
    }

    /// The whole network works again.
    pub fn heal(&self) {
        self.between.values().chain(&self.to_state).for_each(Proxy::heal);
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        self.heal();
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}
