//! The controller's state machine: handles inputs, keeps the table of calls in progress, and dispatches their replies.

use crate::admission::Admission;
use crate::calls::{CallPurpose, Requester, is_lost_lease_error};
use crate::cancellations::Cancellations;
use crate::capacity::{CapacityState, UnplacedTasks};
use crate::disruption::Disruption;
use crate::failure_detection::FailureDetection;
use crate::ids::{ControllerId, Incarnation, JobId, MachineId, Partition};
use crate::jobs::{EndedJob, Job, Purpose as JobPurpose, StatusReads};
use crate::machine_view::{Machine, MisdirectedWorker};
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
    pub(crate) own_name: ControllerId,
    /// Time of the input that is being handled.
    pub(crate) now: Now,
    /// Outputs of the input that is being handled.
    pub(crate) outputs: Vec<Output>,
    next_call_id: u64,
    /// When the last input arrived.
    last_input_ms: u64,
    /// Calls below this number were sent before this process was last paused. Their replies waited in its buffers,
    /// and other controllers may have reported newer state to users meanwhile.
    first_fresh_call: u64,
    /// The reply that is being handled belongs to such a call.
    pub(crate) is_reply_stale: bool,
    /// Purposes of the calls in progress, by call number.
    pending_calls: BTreeMap<u64, CallPurpose>,
    pub(crate) membership: Membership,
    pub(crate) tenures: BTreeMap<Partition, Tenure>,
    pub(crate) machine_types: Vec<MachineType>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs that have ended.
    pub(crate) ended_jobs: BTreeMap<JobId, EndedJob>,
    /// The ended jobs, in the order in which they ended.
    pub(crate) ended_job_order: VecDeque<JobId>,
    pub(crate) status_reads: StatusReads,
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) capacity: CapacityState,
    pub(crate) roster: Roster,
    /// Limits all requests to the state service.
    pub(crate) state_requests: TokenBucket,
    pub(crate) state_writes: TokenBucket,
    pub(crate) write_limits: WriteLimits,
    pub(crate) admission: Admission,
    /// When the next placement batch is due; `None`: none is needed.
    pub(crate) batch_due_ms: Option<u64>,
    pub(crate) estimates: EstimateCorrections,
    /// Jobs that the placement search skips for now, each with its tasks that count as unplaced meanwhile (`None` if
    /// none do) and the time in milliseconds until which it is skipped.
    pub(crate) postponed_jobs: BTreeMap<JobId, (Option<UnplacedTasks>, u64)>,
    /// By index of the team in the settings, the part of its limit that is reserved for one production task that found
    /// no machine.
    pub(crate) reserved_room: BTreeMap<usize, Amounts>,
    /// Jobs within their teams' guarantees, as of the last placement batch.
    pub(crate) jobs_within_guarantee: BTreeSet<JobId>,
    /// When all machines are next examined.
    next_machine_tick_ms: u64,
    /// When the next writes of job ends and of bitmaps of finished tasks are due.
    pub(crate) flush_due_ms: u64,
    /// When consolidation is next checked.
    pub(crate) consolidation_due_ms: u64,
    /// When each partition was last consolidated onto fewer machines.
    pub(crate) last_consolidations_ms: BTreeMap<Partition, u64>,
    /// When replicas of each partition were last moved to make room for others.
    pub(crate) last_replica_moves_ms: BTreeMap<Partition, u64>,
    /// Machines to which commands are to be sent at once.
    pub(crate) machines_with_urgent_commands: BTreeSet<MachineId>,
    /// Number of direct command calls sent so far.
    pub(crate) commands_sent: u64,
    /// Workers that report to this controller although another controller owns their machines.
    pub(crate) misdirected_workers: BTreeMap<MachineId, MisdirectedWorker>,
    pub(crate) cancellations: Cancellations,
    /// Failure detection; `None` if the settings do not enable it.
    pub(crate) detection: Option<FailureDetection>,
    /// Disruption control; `None` if the settings do not enable it.
    pub(crate) disruption: Option<Disruption>,
    /// Number of pairs of a task and a machine that the placement search has evaluated, plus the units that censuses
    /// for disruption budgets have counted.
    pub(crate) evaluated_candidates: u64,
}

impl Controller {
    /// Creates a controller that has just started. `incarnation` must differ from every earlier one of this controller.
    pub fn new(settings: Settings, incarnation: Incarnation, now: Now) -> Self {
        let controllers = f64::from(settings.partitions());
        let state = &settings.platform.facts.state;
        let state_requests = TokenBucket::new(state.rps / controllers, state.rps / controllers);
        let state_writes = TokenBucket::new(state.write_rps / controllers, state.write_rps / controllers);
        let capacity = CapacityState::new(&settings);
        let own_name = ControllerId::new(settings.platform.host_name.clone());
        let detection = FailureDetection::new(&settings, incarnation, now.ms);
        let disruption = Disruption::new(&settings, now.ms);
        Self {
            own_name,
            now,
            outputs: Vec::new(),
            next_call_id: 1,
            last_input_ms: now.ms,
            first_fresh_call: 0,
            is_reply_stale: false,
            pending_calls: BTreeMap::new(),
            membership: Membership::new(incarnation, now.ms + settings.lease_ms()),
            tenures: BTreeMap::new(),
            machine_types: Vec::new(),
            jobs: BTreeMap::new(),
            ended_jobs: BTreeMap::new(),
            ended_job_order: VecDeque::new(),
            status_reads: StatusReads::default(),
            machines: BTreeMap::new(),
            capacity,
            roster: Roster::default(),
            state_requests,
            state_writes,
            write_limits: WriteLimits {
                value_bytes: settings.value_bytes(),
                max_ops: settings.txn_ops(),
            },
            admission: Admission::new(&settings),
            batch_due_ms: None,
            estimates: EstimateCorrections::default(),
            postponed_jobs: BTreeMap::new(),
            reserved_room: BTreeMap::new(),
            jobs_within_guarantee: BTreeSet::new(),
            next_machine_tick_ms: 0,
            flush_due_ms: 0,
            consolidation_due_ms: 0,
            last_consolidations_ms: BTreeMap::new(),
            last_replica_moves_ms: BTreeMap::new(),
            machines_with_urgent_commands: BTreeSet::new(),
            commands_sent: 0,
            misdirected_workers: BTreeMap::new(),
            cancellations: Cancellations::default(),
            detection,
            disruption,
            evaluated_candidates: 0,
            settings,
        }
    }

    /// Handles one input and returns the resulting outputs.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Output> {
        let paused_ms = now.ms.saturating_sub(self.last_input_ms);
        self.last_input_ms = now.ms;
        self.now = now;
        // The daemon sends a tick every 100 ms, so a gap this long means that the process did not run.
        if paused_ms > self.settings.report_ms() / 4 {
            self.first_fresh_call = self.next_call_id;
            self.record_pause(paused_ms);
        }
        self.is_reply_stale = match &input {
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
        self.send_direct_commands();
        self.send_cancellations();
        std::mem::take(&mut self.outputs)
    }

    /// Number of pairs of a task and a machine that the placement search has evaluated, plus the units that censuses
    /// for disruption budgets have counted, as a measure of their cost.
    pub fn evaluated_candidates(&self) -> u64 {
        self.evaluated_candidates
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
        self.run_due_batch();
        self.consolidate();
        self.tick_capacity();
    }

    /// Logs a line for the operators.
    pub(crate) fn log(&mut self, level: Level, text: impl Into<String>) {
        self.outputs.push(Output::Log {
            level,
            text: text.into(),
        });
    }

    /// Answers a requester.
    pub(crate) fn send_answer(&mut self, to: Requester, answer: Answer) {
        self.outputs.push(match to {
            Requester::Request(id) => Output::Answer { id, answer },
            Requester::Peer(id) => Output::PeerReply {
                id,
                reply: PeerReply::Answer(answer),
            },
        });
    }

    /// Sends a call to a service or a worker and records its purpose until the reply arrives.
    pub(crate) fn send_call(
        &mut self,
        target: Target,
        method: Method,
        path: impl Into<String>,
        body: String,
        timeout_ms: u64,
        purpose: CallPurpose,
    ) {
        let id = self.next_call_id;
        self.next_call_id += 1;
        self.pending_calls.insert(id, purpose);
        self.outputs.push(Output::Call {
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
    pub(crate) fn send_peer_request(
        &mut self,
        to: ControllerId,
        request: PeerRequest,
        timeout_ms: u64,
        purpose: CallPurpose,
    ) {
        let id = self.next_call_id;
        self.next_call_id += 1;
        self.pending_calls.insert(id, purpose);
        self.outputs.push(Output::PeerRequest {
            id,
            to,
            request,
            timeout_ms,
        });
    }

    /// Dispatches a request of a user, a worker or a health check.
    fn on_request(&mut self, id: u64, method: Method, path: &str, body: &[u8]) {
        let requester = Requester::Request(id);
        let path = path.split('?').next().unwrap_or(path);
        match (method, path) {
            (Method::Get, "/up") => {
                let answer = if self.accepts_requests() {
                    Answer::new(200, "{}")
                } else {
                    Answer::retry_later(503, 1, "not ready")
                };
                self.send_answer(requester, answer);
            }
            (Method::Post, "/agent/beat") => self.on_report(requester, body, true),
            (Method::Post, "/submissions") => self.on_submission(requester, body, true),
            _ => {
                let rest = path.strip_prefix("/submissions/");
                match (method, rest) {
                    (Method::Get, Some(id)) if !id.contains('/') => self.on_status(requester, id, true),
                    (Method::Post, Some(rest)) => match rest.strip_suffix("/withdraw") {
                        Some(id) if !id.contains('/') => self.on_cancel_request(requester, id, true),
                        _ => self.send_answer(requester, Answer::new(404, r#"{"error":"no such path"}"#)),
                    },
                    _ if ["/up", "/agent/beat", "/submissions"].contains(&path) || rest.is_some() => {
                        self.send_answer(requester, Answer::new(405, r#"{"error":"method not allowed"}"#));
                    }
                    _ => self.send_answer(requester, Answer::new(404, r#"{"error":"no such path"}"#)),
                }
            }
        }
    }

    /// Dispatches a request of another controller.
    fn on_peer_request(&mut self, id: u64, request: PeerRequest) {
        let requester = Requester::Peer(id);
        match request {
            PeerRequest::Relay { report } => self.on_report(requester, &report, false),
            PeerRequest::Forward { job, cancel: true } => self.on_cancel_request(requester, &job, false),
            PeerRequest::Forward { job, cancel: false } => self.on_status(requester, &job, false),
            PeerRequest::Submit { submission } => self.on_submission(requester, &submission, false),
            PeerRequest::Heartbeat {
                name,
                entitled,
                wants_grant,
                relies_on_grant,
                digests,
                cancellations,
                detector_heartbeat,
                permits,
            } => {
                let from = ControllerId::new(name);
                self.on_peer_heartbeat(&from, HeartbeatTrigger::Scheduled, detector_heartbeat);
                self.apply_cancellations(&from, &cancellations);
                let granted = permits.and_then(|listing| self.handle_permit_listing(&from, &listing));
                self.on_heartbeat(id, from, (entitled, wants_grant, relies_on_grant), digests, granted);
            }
        }
    }

    /// Adapts the write limits when the state service refuses a transaction.
    ///
    /// Its limits may drop without notice. After status 429, all writes slow down at once to the future rate that the
    /// settings announce; the most important ones (leases, the epoch, job acceptances) may use the last part of the
    /// budget. Status 400 means that a transaction was too large: transactions that can be split are smaller from then
    /// on.
    fn apply_write_refusal(&mut self, purpose: &CallPurpose, result: Option<&(u16, Vec<u8>)>) {
        let Some((status, body)) = result else { return };
        let (what, can_split) = match purpose {
            CallPurpose::MemberWrite => ("this controller's member record", false),
            CallPurpose::LeaderWrite | CallPurpose::LeaderRewrite => ("the leader record", false),
            CallPurpose::EpochWrite => ("the epoch", false),
            CallPurpose::WriteMachineTypes => ("the machine types", false),
            CallPurpose::Job(JobPurpose::Accept { .. }) => ("a job acceptance", false),
            CallPurpose::Job(JobPurpose::StoreEnd { .. }) => ("a job's end", true),
            CallPurpose::Job(JobPurpose::FlushDoneBits { .. }) => ("bitmaps of completed tasks", true),
            CallPurpose::Job(JobPurpose::DeleteBitmaps { .. }) => ("a deletion of bitmaps of ended jobs", true),
            CallPurpose::WriteNewMachineGroups | CallPurpose::WriteMachineGroup { .. } => ("a machine group", true),
            CallPurpose::WriteBootBatch { .. } => ("a boot batch", true),
            CallPurpose::WriteDrain { .. } => ("a drain record", true),
            _ => return,
        };
        if *status == 429 {
            let rate = self.settings.write_rps() / f64::from(self.settings.partitions());
            self.state_writes.set_rate(rate, rate);
            self.state_writes.remove_all(self.now.ms);
            self.log(
                Level::Debug,
                format!("the state service limits the write rate ({what}): slowing down writes"),
            );
        }
        if *status == 400 && !is_lost_lease_error(body) {
            if can_split {
                self.write_limits.halve();
            }
            let text = String::from_utf8_lossy(body).into_owned();
            self.log(
                Level::Error,
                format!(
                    "the state service refused {what}: {text}; limits now: {} bytes per value, {} changes",
                    self.write_limits.value_bytes, self.write_limits.max_ops
                ),
            );
        }
    }

    /// Dispatches the reply to a call, or its timeout (`None`), by the call's purpose.
    fn on_reply(&mut self, purpose: CallPurpose, result: Option<(u16, Vec<u8>)>) {
        self.apply_write_refusal(&purpose, result.as_ref());
        match purpose {
            CallPurpose::NewLease { sent } => self.on_new_lease(sent, result),
            CallPurpose::ExtendLease { sent, lease_id } => self.on_lease_extension(sent, lease_id, result),
            CallPurpose::MemberWrite => self.on_member_write(result),
            CallPurpose::LeaderWrite => self.on_leader_write(result),
            CallPurpose::LeaderRewrite => self.on_leader_rewrite(),
            CallPurpose::EpochWrite => self.on_epoch_write(result),
            CallPurpose::ListSharedKeys => self.on_shared_keys(result),
            CallPurpose::ChangesSinceListing => self.on_changes_since_listing(result),
            CallPurpose::WatchSharedKeys { number } => self.on_watch(number, result),
            CallPurpose::DoneBits { partition, since_epoch } => self.on_done_bits(partition, since_epoch, result),
            CallPurpose::DoneBitsChanges { partition, since_epoch } => {
                self.on_done_bits_changes(partition, since_epoch, result)
            }
            CallPurpose::ReadAhead { partition, read_number } => self.on_read_ahead(partition, read_number, result),
            CallPurpose::Job(purpose) => self.on_job_reply(purpose, result),
            CallPurpose::ReadMachineTypes => self.on_machine_types(result),
            CallPurpose::WriteMachineTypes => self.capacity.types_write_in_flight = false,
            CallPurpose::RentMachines { rental, partitions } => self.on_rental_answer(rental, partitions, result),
            CallPurpose::WriteNewMachineGroups => self.on_new_groups_written(result),
            CallPurpose::WriteMachineGroup {
                group,
                revision,
                changes,
            } => self.on_group_written(group, revision, changes, result),
            CallPurpose::WriteBootBatch { batch, requesters } => self.on_boot_batch_written(batch, requesters, result),
            CallPurpose::DeleteMachines { machines } => self.on_deletion_answer(machines, result),
            CallPurpose::ListMachines => self.on_machine_list(result),
            CallPurpose::WriteDrain { write } => self.handle_drain_write_result(&write, result),
            CallPurpose::ConfirmMachine { machine, sent } => self.on_confirm_answer(machine, sent, result),
            CallPurpose::ReadWorkerStatus { machine, sent } => self.on_probe_answer(machine, sent, result),
            CallPurpose::SendCommands {
                machine,
                number,
                epoch,
                session,
            } => self.on_direct_command_answer(machine, number, (epoch, session), result),
            CallPurpose::Heartbeat { .. }
            | CallPurpose::Relay { .. }
            | CallPurpose::ForwardStatus { .. }
            | CallPurpose::ForwardCancellation { .. }
            | CallPurpose::ForwardSubmission { .. } => {}
        }
    }

    /// Dispatches another controller's reply, or its timeout (`None`), by the request's purpose.
    fn on_peer_reply(&mut self, purpose: CallPurpose, result: Option<PeerReply>) {
        match (purpose, result) {
            (
                CallPurpose::Heartbeat {
                    to,
                    sent,
                    sent_cancellations,
                },
                Some(PeerReply::Heartbeat {
                    entitled,
                    granted,
                    relies_on_grant,
                    moves,
                    refused,
                    cancellations,
                    detector_heartbeat,
                    permits,
                }),
            ) => {
                if self.is_reply_stale {
                    // The reply shows the peer's state before this process was paused, not its present state.
                    self.ask_peer_again(&to);
                } else {
                    self.record_peer_contact(&to, true, entitled);
                    self.record_reliance(&to, relies_on_grant);
                    self.on_peer_heartbeat(&to, HeartbeatTrigger::Answer, detector_heartbeat);
                }
                // The cancellations that the granter knows are applied before the grant counts.
                self.apply_cancellations(&to, &cancellations);
                self.record_acknowledged_cancellations(&to, cancellations.incarnation, sent_cancellations);
                if granted {
                    self.record_grant(&to, sent, cancellations.has_not_read_state);
                }
                if let Some(grants) = permits {
                    self.handle_permit_grants(&to, sent, &grants);
                }
                self.on_leader_reply(&to, moves, refused);
                if self.lacks_cancellations(&to) {
                    self.send_heartbeats(true);
                }
            }
            (CallPurpose::Heartbeat { to, .. }, _) => self.record_peer_contact(&to, false, false),
            (CallPurpose::Relay { requester, report }, result) => self.on_relay_answer(requester, &report, result),
            (CallPurpose::ForwardStatus { requester, job }, result) => match result {
                // The watch may have delivered the end of the job since its owner answered.
                _ if self.ended_jobs.contains_key(&job) => self.answer_ended_job(requester, &job),
                Some(PeerReply::Answer(answer)) if answer.status == 200 && !self.is_reply_stale => {
                    self.send_answer(requester, answer)
                }
                _ => self.read_status(requester, job),
            },
            (CallPurpose::ForwardSubmission { requester, job }, result) => {
                self.on_forwarded_submission_reply(requester, job, result)
            }
            (CallPurpose::ForwardCancellation { requester }, result) => {
                let answer = match result {
                    Some(PeerReply::Answer(answer)) => answer,
                    _ => Answer::retry_later(503, 1, "the job's controller cannot be reached"),
                };
                self.send_answer(requester, answer);
            }
            _ => {}
        }
    }

    /// Resources that one task of a job needs: CPUs, GPUs and memory in GB.
    pub(crate) fn task_resources(spec: &JobSpec) -> [f64; 3] {
        [spec.cpus, spec.gpus, spec.memory_gb]
    }
}
