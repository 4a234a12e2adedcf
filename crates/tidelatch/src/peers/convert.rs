//! Conversions between the core's messages and those of `peer.proto`.

use super::wire;
use tidelatch_core::ids::{JobId, MachineId, Partition};
use tidelatch_core::{
    Answer, CancellationNotice, Digest, MachineMove, MachineRequest, MachineSummary, PeerReply, PeerRequest, SpareRoom,
    WaitingTasks,
};
use tidelatch_failure_detector::{Claim, Heartbeat, Incarnation, IncarnationId, MemberId, Opinion};

/// The core's reply belongs to another kind of request than the one that was made.
#[derive(Debug, thiserror::Error)]
#[error("another kind of answer")]
pub struct UnexpectedReply;

/// A request as a message of `peer.proto`, with one variant for each call of the service.
pub(super) enum WireRequest {
    Relay(wire::RelayRequest),
    Forward(wire::ForwardRequest),
    Submit(wire::SubmitRequest),
    Hello(Box<wire::HelloRequest>),
}

impl From<PeerRequest> for WireRequest {
    fn from(request: PeerRequest) -> Self {
        match request {
            PeerRequest::Relay { report } => Self::Relay(wire::RelayRequest { report }),
            PeerRequest::Forward { job, cancel: withdraw } => Self::Forward(wire::ForwardRequest { job, withdraw }),
            PeerRequest::Submit { submission } => Self::Submit(wire::SubmitRequest { submission }),
            PeerRequest::Heartbeat {
                name,
                entitled,
                wants_grant,
                relies_on_grant: relies,
                digests,
                cancellations: told,
                detector_heartbeat: liveness,
                permits,
            } => Self::Hello(Box::new(wire::HelloRequest {
                name,
                entitled,
                wants_grant,
                relies,
                digests: convert_all(digests),
                life: told.incarnation,
                unread: told.has_not_read_state,
                cancelled: job_names(told.cancelled),
                asked: job_names(told.requested),
                liveness: liveness.map(Into::into),
                permits: permits.map(|permits| (*permits).into()),
            })),
        }
    }
}

impl From<wire::RelayRequest> for PeerRequest {
    fn from(request: wire::RelayRequest) -> Self {
        Self::Relay { report: request.report }
    }
}

impl From<wire::ForwardRequest> for PeerRequest {
    fn from(request: wire::ForwardRequest) -> Self {
        Self::Forward {
            job: request.job,
            cancel: request.withdraw,
        }
    }
}

impl From<wire::SubmitRequest> for PeerRequest {
    fn from(request: wire::SubmitRequest) -> Self {
        Self::Submit {
            submission: request.submission,
        }
    }
}

impl From<wire::HelloRequest> for PeerRequest {
    fn from(request: wire::HelloRequest) -> Self {
        Self::Heartbeat {
            name: request.name,
            entitled: request.entitled,
            wants_grant: request.wants_grant,
            relies_on_grant: request.relies,
            digests: convert_all(request.digests),
            cancellations: CancellationNotice {
                incarnation: request.life,
                has_not_read_state: request.unread,
                cancelled: parse_job_ids(&request.cancelled),
                requested: parse_job_ids(&request.asked),
            },
            detector_heartbeat: request.liveness.map(Into::into),
            permits: request.permits.map(|permits| Box::new(permits.into())),
        }
    }
}

impl TryFrom<PeerReply> for wire::Answer {
    type Error = UnexpectedReply;

    fn try_from(reply: PeerReply) -> Result<Self, Self::Error> {
        let PeerReply::Answer(answer) = reply else {
            return Err(UnexpectedReply);
        };
        Ok(Self {
            status: u32::from(answer.status),
            body: answer.body.into_bytes(),
            retry_after_s: answer.retry_after_s.unwrap_or(0),
        })
    }
}

impl From<wire::Answer> for PeerReply {
    fn from(answer: wire::Answer) -> Self {
        Self::Answer(Answer {
            status: u16::try_from(answer.status).unwrap_or(503),
            retry_after_s: (answer.retry_after_s > 0).then_some(answer.retry_after_s),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        })
    }
}

impl TryFrom<PeerReply> for wire::HelloReply {
    type Error = UnexpectedReply;

    fn try_from(reply: PeerReply) -> Result<Self, Self::Error> {
        let PeerReply::Heartbeat {
            entitled,
            granted,
            relies_on_grant: relies,
            moves,
            refused,
            cancellations: told,
            detector_heartbeat: liveness,
            permits,
        } = reply
        else {
            return Err(UnexpectedReply);
        };
        Ok(Self {
            entitled,
            granted,
            relies,
            moves: convert_all(moves),
            refused: convert_all(refused),
            life: told.incarnation,
            unread: told.has_not_read_state,
            cancelled: job_names(told.cancelled),
            asked: job_names(told.requested),
            liveness: liveness.map(Into::into),
            permits: permits.map(|permits| (*permits).into()),
        })
    }
}

impl From<wire::HelloReply> for PeerReply {
    fn from(reply: wire::HelloReply) -> Self {
        Self::Heartbeat {
            entitled: reply.entitled,
            granted: reply.granted,
            relies_on_grant: reply.relies,
            moves: convert_all(reply.moves),
            refused: convert_all(reply.refused),
            cancellations: CancellationNotice {
                incarnation: reply.life,
                has_not_read_state: reply.unread,
                cancelled: parse_job_ids(&reply.cancelled),
                requested: parse_job_ids(&reply.asked),
            },
            detector_heartbeat: reply.liveness.map(Into::into),
            permits: reply.permits.map(|permits| Box::new(permits.into())),
        }
    }
}

impl From<Heartbeat> for wire::Liveness {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            life: heartbeat.incarnation.id.0,
            refutation: heartbeat.incarnation.refutation_count,
            sequence: heartbeat.sequence,
            claims: convert_all(heartbeat.claims),
            probe: heartbeat
                .probe
                .map_or_else(String::new, |probe| probe.as_str().to_owned()),
        }
    }
}

impl From<wire::Liveness> for Heartbeat {
    /// The message does not name its sender, so `from` stays empty: the core knows which peer sent it.
    fn from(liveness: wire::Liveness) -> Self {
        Self {
            from: MemberId::new(""),
            incarnation: Incarnation {
                id: IncarnationId(liveness.life),
                refutation_count: liveness.refutation,
            },
            sequence: liveness.sequence,
            claims: convert_all(liveness.claims),
            probe: (!liveness.probe.is_empty()).then(|| MemberId::new(liveness.probe)),
        }
    }
}

impl From<Claim> for wire::MemberClaim {
    fn from(claim: Claim) -> Self {
        Self {
            name: claim.member.as_str().to_owned(),
            life: claim.incarnation.id.0,
            refutation: claim.incarnation.refutation_count,
            suspected: claim.opinion == Opinion::Suspected,
            heard_ago_ms: claim.heard_ago_ms,
        }
    }
}

impl From<wire::MemberClaim> for Claim {
    fn from(claim: wire::MemberClaim) -> Self {
        let opinion = if claim.suspected {
            Opinion::Suspected
        } else {
            Opinion::Alive
        };
        Self {
            member: MemberId::new(claim.name),
            incarnation: Incarnation {
                id: IncarnationId(claim.life),
                refutation_count: claim.refutation,
            },
            opinion,
            heard_ago_ms: claim.heard_ago_ms,
        }
    }
}

impl From<MachineMove> for wire::Move {
    fn from(machine_move: MachineMove) -> Self {
        Self {
            machine: machine_move.machine.as_str().to_owned(),
            to: machine_move.to.0,
            vacate: machine_move.vacate,
            occupied: machine_move.occupied,
        }
    }
}

impl From<wire::Move> for MachineMove {
    fn from(machine_move: wire::Move) -> Self {
        Self {
            machine: MachineId::new(machine_move.machine),
            to: Partition(machine_move.to),
            vacate: machine_move.vacate,
            occupied: machine_move.occupied,
        }
    }
}

impl From<MachineRequest> for wire::Need {
    fn from(request: MachineRequest) -> Self {
        Self {
            model: request.model,
            zone: request.zone,
            spot: request.spot,
            count: request.count,
            urgent: request.urgent,
            any_zone: request.any_zone,
        }
    }
}

impl From<wire::Need> for MachineRequest {
    fn from(request: wire::Need) -> Self {
        Self {
            model: request.model,
            zone: request.zone,
            spot: request.spot,
            count: request.count,
            urgent: request.urgent,
            any_zone: request.any_zone,
        }
    }
}

impl From<SpareRoom> for wire::SpareRoom {
    fn from(spare_room: SpareRoom) -> Self {
        Self {
            machine: Some(spare_room.machine.into()),
            free: spare_room.free.to_vec(),
        }
    }
}

/// Converts the spare resources of a machine in use; `None` if it has no machine or the wrong number of resource
/// amounts, which no version of this program sends.
fn parse_spare_room(spare_room: wire::SpareRoom) -> Option<SpareRoom> {
    Some(SpareRoom {
        machine: spare_room.machine?.into(),
        free: spare_room.free.try_into().ok()?,
    })
}

impl From<MachineSummary> for wire::Idle {
    fn from(idle: MachineSummary) -> Self {
        Self {
            machine: idle.machine.as_str().to_owned(),
            model: idle.model,
            zone: idle.zone,
            spot: idle.spot,
        }
    }
}

impl From<wire::Idle> for MachineSummary {
    fn from(idle: wire::Idle) -> Self {
        Self {
            machine: MachineId::new(idle.machine),
            model: idle.model,
            zone: idle.zone,
            spot: idle.spot,
        }
    }
}

impl From<WaitingTasks> for wire::Want {
    fn from(waiting: WaitingTasks) -> Self {
        Self {
            models: waiting.models,
            zones: waiting.zones,
            spot: waiting.spot,
            urgent: waiting.urgent,
            size: waiting.task_resources.to_vec(),
            count: waiting.count,
        }
    }
}

impl From<wire::Want> for WaitingTasks {
    fn from(waiting: wire::Want) -> Self {
        // Processors, accelerators and GB of memory. Missing amounts stay 0.
        let mut size = [0.0; 3];
        size.iter_mut().zip(waiting.size).for_each(|(s, v)| *s = v);
        Self {
            models: waiting.models,
            zones: waiting.zones,
            spot: waiting.spot,
            urgent: waiting.urgent,
            task_resources: size,
            count: waiting.count,
        }
    }
}

impl From<Digest> for wire::Digest {
    fn from(digest: Digest) -> Self {
        Self {
            partition: digest.partition.0,
            ledger: digest.revision,
            demand: digest.demand,
            needs: convert_all(digest.machine_requests),
            idle: convert_all(digest.idle),
            yielding: convert_all(digest.vacatable_machines),
            wants: convert_all(digest.waiting_tasks),
            spare_room: convert_all(digest.spare_room),
            needs_newer_epoch: digest.needs_newer_epoch,
        }
    }
}

impl From<wire::Digest> for Digest {
    fn from(digest: wire::Digest) -> Self {
        Self {
            partition: Partition(digest.partition),
            revision: digest.ledger,
            demand: digest.demand,
            machine_requests: convert_all(digest.needs),
            idle: convert_all(digest.idle),
            vacatable_machines: convert_all(digest.yielding),
            waiting_tasks: convert_all(digest.wants),
            spare_room: digest.spare_room.into_iter().filter_map(parse_spare_room).collect(),
            needs_newer_epoch: digest.needs_newer_epoch,
        }
    }
}

/// Converts each item of a list.
fn convert_all<T: Into<U>, U>(items: Vec<T>) -> Vec<U> {
    items.into_iter().map(Into::into).collect()
}

/// Converts job ids into the names sent to peers.
fn job_names(jobs: Vec<JobId>) -> Vec<String> {
    jobs.into_iter().map(|id| id.as_str().to_owned()).collect()
}

/// Parses job ids; names that are not valid job ids are skipped.
fn parse_job_ids(names: &[String]) -> Vec<JobId> {
    names.iter().filter_map(|name| JobId::parse(name)).collect()
}
