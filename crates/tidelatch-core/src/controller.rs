//! The controller's state machine: handles inputs, keeps the table of calls in progress, and dispatches their replies.

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
use crate::write_limits::WriteLimits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidelatch_failure_detector::HeartbeatTrigger;

/// One controller, with its view of the cluster, the jobs and the machines. Times are in milliseconds unless stated
/// otherwise.
pub struct Controller {
    pub(crate) settings: Settings,
    /// Name of this controller.
    pub(crate) me: ControllerId,
    /// Time of the input that is being handled.
    pub(crate) now: Now,
    /// Outputs of the input that is being handled.
    pub(crate) out: Vec<Output>,
    next_call_id: u64,
    /// When the last input arrived.
    last_input_ms: u64,
    /// Calls below this number were sent before this process was last paused. Their replies waited in its buffers,
    /// and other controllers may have reported newer state to users meanwhile.
    first_fresh_call: u64,
    /// The reply that is being handled belongs to such a call.
    pub(crate) stale: bool,
    /// Purposes of the calls in progress, by call number.
    pending_calls: BTreeMap<u64, Purpose>,
    pub(crate) member: Membership,
    pub(crate) tenures: BTreeMap<Partition, Tenure>,
    pub(crate) types: Vec<MachineType>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs that have ended.
    pub(crate) over: BTreeMap<JobId, EndedJob>,
    /// The ended jobs, in the order in which they ended.
    pub(crate) over_order: VecDeque<JobId>,
    pub(crate) status_reads: StatusReads,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) cloud: Cloud,
    pub(crate) roster: Roster,
    pub(crate) state_reads: TokenBucket,
    pub(crate) state_writes: TokenBucket,
    pub(crate) limits: WriteLimits,
    pub(crate) admission: Admission,
    /// When the next placement batch is due; `None`: none is needed.
    pub(crate) batch_due: Option<u64>,
    pub(crate) estimates: EstimateCorrections,
    /// Jobs that the placement search skips for now, each with the capacity that it needs and the time until which it
    /// is skipped.
    pub(crate) resting: BTreeMap<JobId, (Option<UnplacedTasks>, u64)>,
    /// By team, the part of its limit that is reserved for one production task that found no machine.
    pub(crate) kept_room: BTreeMap<usize, Amounts>,
    /// Jobs within their teams' guarantees, as of the last placement batch.
    pub(crate) guaranteed: BTreeSet<JobId>,
    /// When all machines are next examined.
    next_machine_tick_ms: u64,
    pub(crate) flush_due: u64,
    pub(crate) consolidate_due: u64,
    /// When each partition was last consolidated onto fewer machines.
    pub(crate) consolidated: BTreeMap<Partition, u64>,
    /// When replicas of each partition were last moved to make room for others.
    pub(crate) swapped: BTreeMap<Partition, u64>,
    /// Machines to which commands are to be sent at once.
    pub(crate) poked: BTreeSet<MachineId>,
    /// Number of direct command calls sent so far.
    pub(crate) commands_sent: u64,
    /// Workers that report to this controller although another controller owns their machines.
    pub(crate) guests: BTreeMap<MachineId, Guest>,
    pub(crate) cancellations: Cancellations,
    /// Failure detection; `None` if the settings do not enable it.
    pub(crate) detection: Option<FailureDetection>,
    /// Disruption control; `None` if the settings do not enable it.
    pub(crate) disruption: Option<Disruption>,
    /// Number of pairs of a task and a machine that the placement search has evaluated.
    pub(crate) evaluated: u64,
}

impl Controller {
    /// Creates a controller that has just started. `incarnation` must differ from every earlier one of this controller.
    pub fn new(settings: Settings, incarnation: Incarnation, now: Now) -> Self {
        let controllers = f64::from(settings.partitions());
        let state = &settings.platform.facts.state;
        let state_reads = TokenBucket::new(state.rps / controllers, state.rps / controllers);
        let state_writes = TokenBucket::new(state.write_rps / controllers, state.write_rps / controllers);
        let cloud = Cloud::new(&settings);
        let me = ControllerId::new(settings.platform.host_name.clone());
        let detection = FailureDetection::new(&settings, incarnation, now.ms);
        let disruption = Disruption::new(&settings, now.ms);
        Self {
            me,
            now,
            out: Vec::new(),
            next_call_id: 1,
            last_input_ms: now.ms,
            first_fresh_call: 0,
            stale: false,
            pending_calls: BTreeMap::new(),
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
            limits: WriteLimits {
                value: settings.value_bytes(),
                ops: settings.txn_ops(),
            },
            admission: Admission::new(&settings),
            batch_due: None,
            estimates: EstimateCorrections::default(),
            resting: BTreeMap::new(),
            kept_room: BTreeMap::new(),
            guaranteed: BTreeSet::new(),
            next_machine_tick_ms: 0,
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

    /// Handles one input and returns the resulting outputs.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        let paused_ms = now.ms.saturating_sub(self.last_input_ms);
        self.last_input_ms = now.ms;
        self.now = now;
        if paused_ms > self.settings.report_ms() / 4 {
            self.first_fresh_call = self.next_call_id;
            self.record_pause(paused_ms);
        }
        self.stale = match &input {
            Input::Reply { call, .. } | Input::PeerReply { call, .. } => *call < self.first_fresh_call,
            _ => false,
        };
        match input {
            Input::Tick => self.tick(),
            Input::Request { id, method, path, body } => self.on_request(id, method, &path, &body),
            Input::Reply { call, result } => {
                if let Some(purpose) = self.pending_calls.remove(&call) {
                    self.on_reply(purpose, result);
                }
            }
            Input::PeerRequest { id, request } => self.on_peer_request(id, request),
            Input::PeerReply { call, result } => {
                if let Some(purpose) = self.pending_calls.remove(&call) {
                    self.on_peer_reply(purpose, result);
                }
            }
        }
        self.send_direct();
        self.send_cancellations();
        std::mem::take(&mut self.out)
    }

    /// Number of pairs of a task and a machine that the placement search has evaluated, as a measure of its cost.
    pub fn evaluations(&self) -> u64 {
        self.evaluated
    }

    fn tick(&mut self) {
        self.tick_membership();
        self.advance_takeovers();
        self.tick_cancellations();
        self.tick_jobs();
        // Examining all machines with each tick would take a large part of the processor time of a controller with
        // a thousand machines, and none of this work needs a shorter interval.
        if self.now.ms >= self.next_machine_tick_ms {
            self.next_machine_tick_ms = self.now.ms + self.settings.report_ms() / 16;
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

    /// Logs a line for the operators.
    pub(crate) fn log(&mut self, level: Level, text: impl Into<String>) {
        self.out.push(Output::Log {
            level,
            text: text.into(),
        });
    }

    /// Answers a requester.
    pub(crate) fn answer(&mut self, to: Asker, answer: Answer) {
        self.out.push(match to {
            Asker::Request(id) => Output::Answer { id, answer },
            Asker::Peer(id) => Output::Tell {
                id,
                reply: PeerReply::Answer(answer),
            },
        });
    }

    /// Sends a call to a service or a worker and records its purpose until the reply arrives.
    pub(crate) fn call(
        &mut self,
        target: Target,
        method: Method,
        path: impl Into<String>,
        body: String,
        timeout_ms: u64,
        purpose: Purpose,
    ) {
        let id = self.next_call_id;
        self.next_call_id += 1;
        self.pending_calls.insert(id, purpose);
        self.out.push(Output::Call {
            id,
            target,
            method,
            path: path.into(),
            body,
            timeout_ms,
        });
    }

    /// Number that the next call to a service, worker or peer will have.
    pub(crate) fn peek_next_call_id(&self) -> u64 {
        self.next_call_id
    }

    /// Sends a request to another controller and records its purpose until the reply arrives.
    pub(crate) fn ask(&mut self, to: ControllerId, request: PeerRequest, timeout_ms: u64, purpose: Purpose) {
        let id = self.next_call_id;
        self.next_call_id += 1;
        self.pending_calls.insert(id, purpose);
        self.out.push(Output::Ask {
            id,
            to,
            request,
            timeout_ms,
        });
    }

    /// Dispatches a request of a user, a worker or a health check.
    fn on_request(&mut self, id: u64, method: Method, path: &str, body: &[u8]) {
        let requester = Asker::Request(id);
        let path = path.split('?').next().unwrap_or(path);
        match (method, path) {
            (Method::Get, "/up") => {
                let answer = if self.accepts_requests() {
                    Answer::new(200, "{}")
                } else {
                    Answer::later(503, 1, "not ready")
                };
                self.answer(requester, answer);
            }
            (Method::Post, "/agent/beat") => self.on_report(requester, body, true),
            (Method::Post, "/submissions") => self.on_submission(requester, body, true),
            _ => {
                let rest = path.strip_prefix("/submissions/");
                match (method, rest) {
                    (Method::Get, Some(id)) if !id.contains('/') => self.on_status(requester, id, true),
                    (Method::Post, Some(rest)) => match rest.strip_suffix("/withdraw") {
                        Some(id) if !id.contains('/') => self.on_withdraw(requester, id, true),
                        _ => self.answer(requester, Answer::new(404, r#"{"error":"no such path"}"#)),
                    },
                    _ if ["/up", "/agent/beat", "/submissions"].contains(&path) || rest.is_some() => {
                        self.answer(requester, Answer::new(405, r#"{"error":"method not allowed"}"#));
                    }
                    _ => self.answer(requester, Answer::new(404, r#"{"error":"no such path"}"#)),
                }
            }
        }
    }

    /// Dispatches a request of another controller.
    fn on_peer_request(&mut self, id: u64, request: PeerRequest) {
        let requester = Asker::Peer(id);
        match request {
            PeerRequest::Relay { report } => self.on_report(requester, &report, false),
            PeerRequest::Forward { job, withdraw: true } => self.on_withdraw(requester, &job, false),
            PeerRequest::Forward { job, withdraw: false } => self.on_status(requester, &job, false),
            PeerRequest::Submit { submission } => self.on_submission(requester, &submission, false),
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
                self.on_peer_heartbeat(&from, HeartbeatTrigger::Scheduled, liveness);
                self.take_cancellations(&from, &told);
                let granted = permits.and_then(|listing| self.on_permit_listing(&from, &listing));
                self.on_hello(id, from, (entitled, wants_grant, relies), digests, granted);
            }
        }
    }

    /// Adapts the write limits when the state service refuses a transaction.
    ///
    /// Its limits may drop without notice. After status 429, all writes slow down at once to the announced future
    /// rate; the most important ones (leases, the epoch, job acceptances) may use the last part of the budget.
    /// Status 400 means that a transaction was too large: transactions that can be split are smaller from then on.
    fn apply_write_refusal(&mut self, purpose: &Purpose, result: Option<&(u16, Vec<u8>)>) {
        let Some((status, body)) = result else { return };
        let (what, can_split) = match purpose {
            Purpose::MemberWrite { .. } => ("this controller's member record", false),
            Purpose::LeaderWrite => ("the leader record", false),
            Purpose::EpochWrite => ("the epoch", false),
            Purpose::TypesWrite => ("the machine types", false),
            Purpose::Job(JobPurpose::Accept { .. }) => ("a job acceptance", false),
            Purpose::Job(JobPurpose::End { .. }) => ("a job's end", true),
            Purpose::Job(JobPurpose::Flush { .. }) => ("bitmaps of completed tasks", true),
            Purpose::Job(JobPurpose::Sweep { .. }) => ("a deletion of bitmaps of ended jobs", true),
            Purpose::NewGroups | Purpose::MachineGroup { .. } => ("a machine group", true),
            Purpose::BootBatch { .. } => ("a boot batch", true),
            Purpose::Drain { .. } => ("a drain record", true),
            _ => return,
        };
        if *status == 429 {
            let rate = self.settings.write_rps() / f64::from(self.settings.partitions());
            self.state_writes.set_rate(rate, rate);
            self.state_writes.empty(self.now.ms);
            self.log(
                Level::Debug,
                format!("the state service limits the write rate ({what}): slowing down writes"),
            );
        }
        if *status == 400 && !is_lost_lease(body) {
            if can_split {
                self.limits.halve();
            }
            let text = String::from_utf8_lossy(body).into_owned();
            self.log(
                Level::Error,
                format!(
                    "the state service refused {what}: {text}; limits now: {} bytes per value, {} changes",
                    self.limits.value, self.limits.ops
                ),
            );
        }
    }

    /// Dispatches the reply to a call, or its timeout (`None`), by the call's purpose.
    fn on_reply(&mut self, purpose: Purpose, result: Option<(u16, Vec<u8>)>) {
        self.apply_write_refusal(&purpose, result.as_ref());
        match purpose {
            Purpose::NewLease { sent } => self.on_new_lease(sent, result),
            Purpose::ExtendLease { sent, lease_id } => self.on_lease_extension(sent, lease_id, result),
            Purpose::MemberWrite { ack } => self.on_member_write(ack, result),
            Purpose::LeaderWrite => self.on_leader_write(result),
            Purpose::EpochWrite => self.on_epoch_write(result),
            Purpose::ListSharedKeys { cursor, first_revision } => self.on_shared_keys(cursor, first_revision, result),
            Purpose::WatchSharedKeys { number } => self.on_watch(number, result),
            Purpose::DoneBits { partition, since } => self.on_done_bits(partition, since, result),
            Purpose::DoneBitsChanges { partition, since } => self.on_done_bits_changes(partition, since, result),
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

    /// Dispatches another controller's reply, or its timeout (`None`), by the request's purpose.
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
                    told: cancellations,
                    liveness,
                    permits,
                }),
            ) => {
                if self.stale {
                    // The reply shows the peer's state before this process was paused, not its present state.
                    self.ask_peer_again(&to);
                } else {
                    self.record_peer_contact(&to, true, entitled);
                    self.note_reliance(&to, relies);
                    self.on_peer_heartbeat(&to, HeartbeatTrigger::Answer, liveness);
                }
                // The cancellations that the giver of a grant knows are applied before the grant counts.
                self.take_cancellations(&to, &cancellations);
                self.note_taken(&to, cancellations.life, told);
                if granted {
                    self.record_grant(&to, sent, cancellations.unread);
                }
                if let Some(grants) = permits {
                    self.on_permit_grants(&to, sent, &grants);
                }
                self.on_moves(&to, moves, refused);
                if self.lacks_cancellations(&to) {
                    self.greet(true);
                }
            }
            (Purpose::Heartbeat { to, .. }, _) => self.record_peer_contact(&to, false, false),
            (Purpose::Relay { asker, report }, result) => self.on_relayed(asker, &report, result),
            (Purpose::ForwardStatus { asker, job }, result) => match result {
                // The watch may have delivered the end of the job since its owner answered.
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

    /// Resources that one task of a job needs: processors, accelerators and GB of memory.
    pub(crate) fn size(spec: &JobSpec) -> [f64; 3] {
        [spec.cpus, spec.gpus, spec.memory_gb]
    }
}
