//! The state machine: takes inputs, keeps the table of calls that are under way, and hands replies on.

use crate::admission::Admission;
use crate::calls::{Asker, Purpose, is_lost_lease};
use crate::cancellations::Cancellations;
use crate::capacity::{Cloud, UnplacedTasks};
use crate::disruption::Disruption;
use crate::failure_detection::FailureDetection;
use crate::ids::{ControllerId, Incarnation, JobId, MachineId, Partition};
use crate::jobs::{EndedJob, Job, Purpose as JobPurpose, StatusReads};
use crate::machine_view::{Guest, Machine};
use crate::membership::{Membership, Tenure};
use crate::messages::{Answer, Input, Level, Method, Now, Output, PeerReply, PeerRequest, Target};
use crate::placement::Amounts;
use crate::protocol::{JobSpec, MachineType};
use crate::queue::EstimateCorrections;
use crate::rate_limit::TokenBucket;
use crate::roster::Roster;
use crate::settings::Settings;
use crate::write_limits::Limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidelatch_failure_detector::Channel;

/// One controller: its view of the cluster, the jobs and the machines.
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) me: ControllerId,
    pub(crate) now: Now,
    pub(crate) out: Vec<Output>,
    next_call: u64,
    /// When the last input came.
    stepped: u64,
    /// Calls below this number were sent before this controller last stood still: what they brought has lain in
    /// its buffers, and others may have told users of newer things meanwhile.
    stale_below: u64,
    /// The reply that is looked at is one of those.
    pub(crate) stale: bool,
    pending: BTreeMap<u64, Purpose>,
    pub(crate) member: Membership,
    pub(crate) tenures: BTreeMap<Partition, Tenure>,
    pub(crate) types: Vec<MachineType>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) over: BTreeMap<JobId, EndedJob>,
    pub(crate) over_order: VecDeque<JobId>,
    pub(crate) status_reads: StatusReads,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) cloud: Cloud,
    pub(crate) roster: Roster,
    pub(crate) state_reads: TokenBucket,
    pub(crate) state_writes: TokenBucket,
    pub(crate) limits: Limits,
    pub(crate) admission: Admission,
    pub(crate) batch_due: Option<u64>,
    pub(crate) estimates: EstimateCorrections,
    /// Jobs that a slice of the search left out, with what they would need, until when.
    pub(crate) resting: BTreeMap<JobId, (Option<UnplacedTasks>, u64)>,
    /// By team, room under its limit that is kept for one task of production work that found no machine.
    pub(crate) kept_room: BTreeMap<usize, Amounts>,
    /// Jobs within their teams' guarantees, as of the last batch.
    pub(crate) guaranteed: BTreeSet<JobId>,
    /// When all machines are next looked at.
    machines_due: u64,
    pub(crate) flush_due: u64,
    pub(crate) consolidate_due: u64,
    pub(crate) consolidated: BTreeMap<Partition, u64>,
    /// When replicas of a partition were last moved to make room for others.
    pub(crate) swapped: BTreeMap<Partition, u64>,
    /// Machines that have something to do at once.
    pub(crate) poked: BTreeSet<MachineId>,
    pub(crate) commands_sent: u64,
    pub(crate) guests: BTreeMap<MachineId, Guest>,
    pub(crate) cancellations: Cancellations,
    /// None: the settings do not ask for it.
    pub(crate) detection: Option<FailureDetection>,
    /// None: the settings do not ask for it.
    pub(crate) disruption: Option<Disruption>,
    /// How often a machine was looked at for a task.
    pub(crate) evaluated: u64,
}

impl Controller {
    /// A controller that has just started. `incarnation` must differ from that of every earlier life.
    pub fn new(settings: Settings, incarnation: Incarnation, now: Now) -> Self {
        let nodes = f64::from(settings.partitions());
        let state = &settings.platform.facts.state;
        let state_reads = TokenBucket::new(state.rps / nodes, state.rps / nodes);
        let state_writes = TokenBucket::new(state.write_rps / nodes, state.write_rps / nodes);
        let cloud = Cloud::new(&settings);
        let me = ControllerId::new(settings.platform.host_name.clone());
        let detection = FailureDetection::new(&settings, incarnation, now.ms);
        let disruption = Disruption::new(&settings, now.ms);
        Self {
            me,
            now,
            out: Vec::new(),
            next_call: 1,
            stepped: now.ms,
            stale_below: 0,
            stale: false,
            pending: BTreeMap::new(),
            member: Membership::new(incarnation, now.ms + settings.lease_ms()),
            tenures: BTreeMap::new(),
            types: Vec::new(),
            jobs: BTreeMap::new(),
            over: BTreeMap::new(),
            over_order: VecDeque::new(),
            status_reads: StatusReads::default(),
            machines: BTreeMap::new(),
            cloud,
            roster: Roster::default(),
            state_reads,
            state_writes,
            limits: Limits {
                value: settings.value_bytes(),
                ops: settings.txn_ops(),
            },
            admission: Admission::new(&settings),
            batch_due: None,
            estimates: EstimateCorrections::default(),
            resting: BTreeMap::new(),
            kept_room: BTreeMap::new(),
            guaranteed: BTreeSet::new(),
            machines_due: 0,
            flush_due: 0,
            consolidate_due: 0,
            consolidated: BTreeMap::new(),
            swapped: BTreeMap::new(),
            poked: BTreeSet::new(),
            commands_sent: 0,
            guests: BTreeMap::new(),
            cancellations: Cancellations::default(),
            detection,
            disruption,
            evaluated: 0,
            settings,
        }
    }

    /// Takes one input and returns what is to be done.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        let paused_ms = now.ms.saturating_sub(self.stepped);
        self.stepped = now.ms;
        self.now = now;
        if paused_ms > self.settings.report_ms() / 4 {
            self.stale_below = self.next_call;
            self.note_pause(paused_ms);
        }
        self.stale = match &input {
            Input::Reply { call, .. } | Input::PeerReply { call, .. } => *call < self.stale_below,
            _ => false,
        };
        match input {
            Input::Tick => self.tick(),
            Input::Request { id, method, path, body } => self.on_request(id, method, &path, &body),
            Input::Reply { call, result } => {
                if let Some(purpose) = self.pending.remove(&call) {
                    self.on_reply(purpose, result);
                }
            }
            Input::PeerRequest { id, request } => self.on_peer_request(id, request),
            Input::PeerReply { call, result } => {
                if let Some(purpose) = self.pending.remove(&call) {
                    self.on_peer_reply(purpose, result);
                }
            }
        }
        self.send_direct();
        self.send_cancellations();
        std::mem::take(&mut self.out)
    }

    /// How often this controller has looked at a machine for a task: the search's cost.
    pub fn evaluations(&self) -> u64 {
        self.evaluated
    }

    fn tick(&mut self) {
        self.tick_membership();
        self.tick_tenures();
        self.tick_cancellations();
        self.tick_jobs();
        // Looking through all machines with each tick would cost a controller of a thousand a good part of
        // its processor, and nothing there is due by less than this.
        if self.now.ms >= self.machines_due {
            self.machines_due = self.now.ms + self.settings.report_ms() / 16;
            self.tick_machines();
            self.finish_vacating();
            self.tick_shared_machines();
            self.tick_gangs();
            self.tick_disruption();
        }
        self.tick_roster();
        self.tick_batch();
        self.consolidate();
        self.tick_capacity();
    }

    pub(crate) fn log(&mut self, level: Level, text: impl Into<String>) {
        self.out.push(Output::Log {
            level,
            text: text.into(),
        });
    }

    pub(crate) fn answer(&mut self, to: Asker, answer: Answer) {
        self.out.push(match to {
            Asker::Request(id) => Output::Answer { id, answer },
            Asker::Peer(id) => Output::Tell {
                id,
                reply: PeerReply::Answer(answer),
            },
        });
    }

    pub(crate) fn call(
        &mut self,
        target: Target,
        method: Method,
        path: impl Into<String>,
        body: String,
        timeout_ms: u64,
        purpose: Purpose,
    ) {
        let id = self.next_call;
        self.next_call += 1;
        self.pending.insert(id, purpose);
        self.out.push(Output::Call {
            id,
            target,
            method,
            path: path.into(),
            body,
            timeout_ms,
        });
    }

    /// Number of the next call to any service or peer.
    pub(crate) fn next_call_number(&self) -> u64 {
        self.next_call
    }

    pub(crate) fn ask(&mut self, to: ControllerId, request: PeerRequest, timeout_ms: u64, purpose: Purpose) {
        let id = self.next_call;
        self.next_call += 1;
        self.pending.insert(id, purpose);
        self.out.push(Output::Ask {
            id,
            to,
            request,
            timeout_ms,
        });
    }

    fn on_request(&mut self, id: u64, method: Method, path: &str, body: &[u8]) {
        let asker = Asker::Request(id);
        let path = path.split('?').next().unwrap_or(path);
        match (method, path) {
            (Method::Get, "/up") => {
                let answer = if self.takes_requests() {
                    Answer::new(200, "{}")
                } else {
                    Answer::later(503, 1, "not ready")
                };
                self.answer(asker, answer);
            }
            (Method::Post, "/agent/beat") => self.on_report(asker, body, true),
            (Method::Post, "/submissions") => self.on_submission(asker, body, true),
            _ => {
                let rest = path.strip_prefix("/submissions/");
                match (method, rest) {
                    (Method::Get, Some(id)) if !id.contains('/') => self.on_status(asker, id, true),
                    (Method::Post, Some(rest)) => match rest.strip_suffix("/withdraw") {
                        Some(id) if !id.contains('/') => self.on_withdraw(asker, id, true),
                        _ => self.answer(asker, Answer::new(404, r#"{"error":"no such path"}"#)),
                    },
                    _ if ["/up", "/agent/beat", "/submissions"].contains(&path) || rest.is_some() => {
                        self.answer(asker, Answer::new(405, r#"{"error":"method not allowed"}"#));
                    }
                    _ => self.answer(asker, Answer::new(404, r#"{"error":"no such path"}"#)),
                }
            }
        }
    }

    fn on_peer_request(&mut self, id: u64, request: PeerRequest) {
        let asker = Asker::Peer(id);
        match request {
            PeerRequest::Relay { report } => self.on_report(asker, &report, false),
            PeerRequest::Forward { job, withdraw: true } => self.on_withdraw(asker, &job, false),
            PeerRequest::Forward { job, withdraw: false } => self.on_status(asker, &job, false),
            PeerRequest::Submit { submission } => self.on_submission(asker, &submission, false),
            PeerRequest::Heartbeat {
                name,
                entitled,
                wants_grant,
                relies,
                digests,
                told,
                liveness,
                permits,
            } => {
                let from = ControllerId::new(name);
                self.on_liveness(&from, Channel::Scheduled, liveness);
                self.take_cancellations(&from, &told);
                let granted = permits.and_then(|listing| self.on_permit_listing(&from, &listing));
                self.on_hello(id, from, (entitled, wants_grant, relies), digests, granted);
            }
        }
    }

    /// What the state service says of its limits when it refuses a change.
    ///
    /// They may fall without notice. 429 slows all that is written, at once, to the rate that will hold; what
    /// must go first (leases, the epoch, acceptances) may use the budget's last part. 400 says that a change
    /// was too large: what can be cut is cut smaller from then on.
    fn note_refusal(&mut self, purpose: &Purpose, result: Option<&(u16, Vec<u8>)>) {
        let Some((status, body)) = result else { return };
        let (what, cut) = match purpose {
            Purpose::MemberWrite { .. } => ("this controller's key", false),
            Purpose::LeaderTake => ("the leader's key", false),
            Purpose::EpochWrite => ("the epoch", false),
            Purpose::TypesWrite => ("the machine types", false),
            Purpose::Job(JobPurpose::Accept { .. }) => ("an acceptance", false),
            Purpose::Job(JobPurpose::End { .. }) => ("a job's end", true),
            Purpose::Job(JobPurpose::Flush { .. }) => ("done bits", true),
            Purpose::Job(JobPurpose::Sweep { .. }) => ("a clearing away", true),
            Purpose::NewGroups | Purpose::MachineGroup { .. } => ("a machine group", true),
            Purpose::BootBatch { .. } => ("a boot batch", true),
            Purpose::Drain { .. } => ("a drain", true),
            _ => return,
        };
        if *status == 429 {
            let rate = self.settings.write_rps() / f64::from(self.settings.partitions());
            self.state_writes.set_rate(rate, rate);
            self.state_writes.empty(self.now.ms);
            self.log(
                Level::Debug,
                format!("too many changes at present ({what}): going slower"),
            );
        }
        if *status == 400 && !is_lost_lease(body) {
            if cut {
                self.limits.halve();
            }
            let text = String::from_utf8_lossy(body).into_owned();
            self.log(
                Level::Error,
                format!(
                    "the state service refuses {what}: {text}; from now on at most {} bytes in a value, {} changes",
                    self.limits.value, self.limits.ops
                ),
            );
        }
    }

    fn on_reply(&mut self, purpose: Purpose, result: Option<(u16, Vec<u8>)>) {
        self.note_refusal(&purpose, result.as_ref());
        match purpose {
            Purpose::LeaseNew { sent } => self.on_lease_new(sent, result),
            Purpose::LeaseExtend { sent, permit } => self.on_lease_extend(sent, permit, result),
            Purpose::MemberWrite { ack } => self.on_member_write(ack, result),
            Purpose::LeaderTake => self.on_leader_take(result),
            Purpose::EpochWrite => self.on_epoch_write(result),
            Purpose::List { cursor, first_ledger } => self.on_list(cursor, first_ledger, result),
            Purpose::Watch { number } => self.on_watch(number, result),
            Purpose::Bits { partition, since } => self.on_bits(partition, since, result),
            Purpose::BitsSince { partition, since } => self.on_bits_since(partition, since, result),
            Purpose::ReadAhead { partition, attempt } => self.on_read_ahead(partition, attempt, result),
            Purpose::Job(purpose) => self.on_job_reply(purpose, result),
            Purpose::Types => self.on_types(result),
            Purpose::TypesWrite => self.cloud.types_writing = false,
            Purpose::Rent { rental, split } => self.on_rent(rental, split, result),
            Purpose::NewGroups => self.on_new_groups(result),
            Purpose::MachineGroup { group, stamp, changes } => self.on_group(group, stamp, changes, result),
            Purpose::BootBatch { batch, askers } => self.on_boot_batch(batch, askers, result),
            Purpose::Delete { machines } => self.on_delete(machines, result),
            Purpose::Hosts => self.on_hosts(result),
            Purpose::Drain { write } => self.on_drain_write(&write, result),
            Purpose::Confirm { machine, sent } => self.on_confirm(machine, sent, result),
            Purpose::Probe { machine, sent } => self.on_probe(machine, sent, result),
            Purpose::Direct {
                machine,
                number,
                epoch,
                session,
            } => self.on_direct(machine, number, (epoch, session), result),
            Purpose::Heartbeat { .. }
            | Purpose::Relay { .. }
            | Purpose::ForwardStatus { .. }
            | Purpose::ForwardWithdraw { .. }
            | Purpose::ForwardSubmission { .. } => {}
        }
    }

    fn on_peer_reply(&mut self, purpose: Purpose, result: Option<PeerReply>) {
        match (purpose, result) {
            (
                Purpose::Heartbeat { to, sent, told },
                Some(PeerReply::Heartbeat {
                    entitled,
                    granted,
                    relies,
                    moves,
                    refused,
                    told: news,
                    liveness,
                    permits,
                }),
            ) => {
                if self.stale {
                    // How the peer stood before this process stood still says nothing of how it stands now.
                    self.ask_peer_again(&to);
                } else {
                    self.note_peer(&to, true, entitled);
                    self.note_reliance(&to, relies);
                    self.on_liveness(&to, Channel::Answer, liveness);
                }
                // What a grant's giver knows is taken in before the grant counts.
                self.take_cancellations(&to, &news);
                self.note_taken(&to, news.life, told);
                if granted {
                    self.note_grant(&to, sent, news.unread);
                }
                if let Some(grants) = permits {
                    self.on_permit_grants(&to, sent, &grants);
                }
                self.on_moves(&to, moves, refused);
                if self.lacks_cancellations(&to) {
                    self.greet(true);
                }
            }
            (Purpose::Heartbeat { to, .. }, _) => self.note_peer(&to, false, false),
            (Purpose::Relay { asker, report }, result) => self.on_relayed(asker, &report, result),
            (Purpose::ForwardStatus { asker, job }, result) => match result {
                // The job's end may have come by the watch since its owner answered.
                _ if self.over.contains_key(&job) => self.tell_over(asker, &job),
                Some(PeerReply::Answer(answer)) if answer.status == 200 && !self.stale => self.answer(asker, answer),
                _ => self.read_status(asker, job),
            },
            (Purpose::ForwardSubmission { asker, job }, result) => self.on_passed_on(asker, job, result),
            (Purpose::ForwardWithdraw { asker }, result) => {
                let answer = match result {
                    Some(PeerReply::Answer(answer)) => answer,
                    _ => Answer::later(503, 1, "the job's controller cannot be reached"),
                };
                self.answer(asker, answer);
            }
            _ => {}
        }
    }

    /// A job's demand on a machine, as a vector.
    pub(crate) fn size(spec: &JobSpec) -> [f64; 3] {
        [spec.cpus, spec.gpus, spec.memory_gb]
    }
}
