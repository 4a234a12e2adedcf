//! The platform: starts, kills and restarts the controllers by the commands of the deploy file; and the users.

use crate::http::call;
use crate::json::Json;
use crate::machines::Fleet;
use crate::record::Record;
use crate::site::site;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub struct Controllers {
    folder: PathBuf,
    root: PathBuf,
    run: Vec<String>,
    processes: Vec<Option<Child>>,
    pub addresses: Vec<SocketAddr>,
    record: Record,
}

/// Addresses on which nobody listens now, below the range from which the system takes ports by itself.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let first = 20_000 + (std::process::id() % 600) as u16 * 18;
    let found: Vec<SocketAddr> = (first..first + 12_000)
        .filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()?.local_addr().ok())
        .take(count)
        .collect();
    if found.len() == count {
        Ok(found)
    } else {
        Err(std::io::ErrorKind::AddrInUse.into())
    }
}

pub fn team(number: usize) -> String {
    format!("{}-{number:02}", site().team)
}

impl Controllers {
    pub fn start(root: PathBuf, record: &Record, state: SocketAddr, cloud: SocketAddr) -> std::io::Result<Controllers> {
        let folder = std::env::temp_dir().join(format!("tidelatch-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let deploy = fs::read_to_string(root.join("deploy/service.toml"))?;
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or("").split_whitespace().map(str::to_owned).collect();
        let all = free_addresses(6)?;
        let (addresses, peers) = all.split_at(3);
        let mut controllers = Controllers {
            folder,
            root,
            run,
            processes: (0..3).map(|_| None).collect(),
            addresses: addresses.to_vec(),
            record: record.clone(),
        };
        for node in 0..3 {
            let settings = settings(node, addresses, peers, state, cloud);
            fs::write(controllers.config(node), settings)?;
            controllers.spawn(node)?;
        }
        Ok(controllers)
    }

    fn config(&self, node: usize) -> PathBuf {
        self.folder.join(format!("berth-{node}.toml"))
    }

    pub fn spawn(&mut self, node: usize) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("berth-{node}.log")))?;
        let program = self.run.first().cloned().unwrap_or_default();
        let child = Command::new(self.root.join(program))
            .args(&self.run[1..])
            .arg(self.config(node))
            .current_dir(&self.root)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.record.log(format!("platform: starts berth-{node}"));
        self.processes[node] = Some(child);
        Ok(())
    }

    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.processes[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.log(format!("platform: berth-{node} is killed"));
        }
    }

    /// Whether all controllers are healthy within the time.
    pub fn healthy(&self, within_s: f64) -> bool {
        let is_up = |to: &SocketAddr| matches!(call(*to, "GET", "/up", "", Duration::from_secs(1)), Ok((200, _)));
        wait(within_s, || self.addresses.iter().all(is_up))
    }

    /// Ends all processes and copies the ends of their logs into the record.
    pub fn stop(&mut self) {
        for node in 0..3 {
            self.kill(node);
            let log = fs::read_to_string(self.folder.join(format!("berth-{node}.log"))).unwrap_or_default();
            for line in log.lines() {
                self.record.log(format!("log of berth-{node}: {line}"));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..3).for_each(|node| self.kill(node));
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn wait(within_s: f64, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(within_s);
    loop {
        if done() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(Duration::from_millis(20));
    }
}

fn settings(
    node: usize,
    addresses: &[SocketAddr],
    peers: &[SocketAddr],
    state: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let site = site();
    let mut text = format!(
        "host_name = \"berth-{node}\"\narea = \"{}\"\napi_addr = \"{}\"\npeer_listen = \"{}\"\n",
        site.zones[node], addresses[node], peers[node]
    );
    for other in (0..3).filter(|other| *other != node) {
        text += &format!(
            "[[siblings]]\nhost_name = \"berth-{other}\"\narea = \"{}\"\naddress = \"{}\"\n",
            site.zones[other], peers[other]
        );
    }
    text += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n");
    let zones = site.zones.map(|z| format!("\"{z}\"")).join(", ");
    text += &format!("[facts]\nnodes = 3\nzones = [{zones}]\nskew_ms = {:?}\n", site.skew_ms);
    for number in 0..site.teams {
        text += &format!(
            "[[facts.teams]]\nname = \"{}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {:?}\ngpus_max = {:?}\n",
            team(number),
            site.gpus,
            site.gpus_max
        );
    }
    if let Some(guests) = site.guests {
        text +=
            &format!("[[facts.teams]]\nname = \"{guests}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    text += site.objectives;
    text += &format!(
        "[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
        site.report_s, site.lease_s, site.gang_s[0], site.gang_s[1], site.cancel_s
    );
    text += &format!(
        "[facts.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
        site.state_rps, site.write_rps, site.value_kb, site.txn_ops
    );
    text += &format!(
        "[facts.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n",
        site.cloud_rps, site.list_lag_s
    );
    text += &format!(
        "[facts.machine_limits]\ncores = {:?}\nram_mb = 104.0\nsockets = 1800\n",
        site.cores
    );
    text
}

/// Users, who reach any node.
pub struct Users {
    pub nodes: Vec<SocketAddr>,
    pub fleet: Fleet,
    pub record: Record,
}

/// A job of the site's first class (`standing`) or second class (`sweep`).
pub fn job(number: u32, crew: usize, shape: &str, wagons: u32, size: [f64; 3], runtime_s: f64) -> Json {
    let service = shape == "standing";
    Json::obj(&[
        ("uid", Json::text(format!("job-{number:06}"))),
        ("consist", Json::text(site().classes[usize::from(!service)])),
        ("crew", Json::text(team(crew))),
        ("shape", Json::text(shape)),
        (
            "precedence",
            Json::text(if service { "prod" } else { site().array_priority }),
        ),
        ("wagons", Json::num(wagons)),
        ("vcpus", Json::num(size[0])),
        ("accelerators", Json::num(size[1])),
        ("ramGb", Json::num(size[2])),
        ("stock", Json::text("img-07")),
        ("sizeGb", Json::num(1.0)),
        ("models", Json::Null),
        ("yard", Json::Null),
        ("together", Json::Bool(false)),
        ("spread", Json::Bool(false)),
        ("standby", Json::Bool(false)),
        ("runtimeS", Json::num(if service { 0.0 } else { runtime_s })),
        ("waypointS", Json::num(0.0)),
        ("stowS", Json::num(0.0)),
        ("dueS", Json::Null),
    ])
}

impl Users {
    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str, timeout_s: f64) -> Option<(u16, Json)> {
        let to = *self.nodes.get(node % self.nodes.len())?;
        let sent = self.record.seconds();
        let answer = call(to, method, path, body, Duration::from_secs_f64(timeout_s)).ok();
        let text = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.log(format!(
            "user: {method} {path} {body} at berth-{node} (sent {sent:.3}): {text}"
        ));
        let (status, body) = answer?;
        Some((status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Submits a job, with retries at the next node for up to 60 s.
    pub fn submit(&self, job: &Json) -> bool {
        self.fleet.upload(job);
        let mut node = 0;
        wait(60.0, || {
            let answer = self.ask(node % 3, "POST", "/submissions", &job.to_string(), 5.0);
            node += 1;
            let accepted = answer.is_some_and(|(status, _)| status == 200 || status == 201);
            if !accepted {
                sleep(Duration::from_secs(1));
            }
            accepted
        })
    }

    /// Asks to cancel a job until the answer is 200. True if the answer is `withdrawn`.
    pub fn cancel(&self, id: &str, first_node: usize) -> bool {
        let (mut node, mut withdrawn) = (first_node, false);
        wait(60.0, || {
            let answer = self.ask(node % 3, "POST", &format!("/submissions/{id}/withdraw"), "", 5.0);
            node += 1;
            let Some((200, body)) = answer else {
                sleep(Duration::from_secs(1));
                return false;
            };
            withdrawn = body.get("status").str() == "withdrawn";
            if withdrawn {
                self.record.told_cancelled(id);
            }
            true
        });
        withdrawn
    }
}
