//! Handing machines over between partitions: how the leader chooses them and how their owners carry it out.

use super::{MachineKind, PendingHandOver, count_fitting_tasks};
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::messages::{Digest, Level, MachineMove, MachineRequest, MachineSummary, SpareRoom, WaitingTasks};
use std::collections::BTreeMap;

/// The state in which a machine is handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandOverMode {
    /// No task is on the machine.
    Empty,
    /// The tasks on the machine are stopped first.
    Vacated,
    /// The tasks on the machine keep running.
    Occupied,
}

/// A machine that the leader has chosen to hand over from one partition to another.
#[derive(Debug)]
pub(super) struct HandOver {
    pub(super) from: Partition,
    pub(super) machine: MachineSummary,
    pub(super) to: Partition,
    pub(super) mode: HandOverMode,
}

/// Machines that partitions offer to other partitions, each with its current partition.
struct Offers {
    /// Machines that run nothing.
    idle: Vec<(Partition, MachineSummary)>,
    /// Machines that can be vacated for production work.
    vacatable: Vec<(Partition, MachineSummary)>,
    /// Machines in use that have free capacity.
    spare_room: Vec<(Partition, SpareRoom)>,
}

/// Machines to rent: for each kind one entry per machine, with the partition that it is for and whether it is for
/// production work.
type Rentals = BTreeMap<MachineKind, Vec<(Partition, bool)>>;

/// Sorts digests into the order in which they are served: those with waiting production work first, then by descending
/// demand. The order matters when the cloud runs out of a kind of machine.
fn sort_by_demand(digests: &[Digest]) -> Vec<&Digest> {
    let has_production_work = |d: &Digest| d.waiting_tasks.iter().any(|tasks| tasks.urgent);
    let mut order: Vec<&Digest> = digests.iter().collect();
    order.sort_by(|a, b| {
        has_production_work(b)
            .cmp(&has_production_work(a))
            .then(b.demand.total_cmp(&a.demand))
    });
    order
}

/// Whether a machine is of the kind that a request asks for.
fn satisfies(machine: &MachineSummary, request: &MachineRequest) -> bool {
    machine.model == request.model
        && (request.any_zone || machine.zone == request.zone)
        && (request.spot || !machine.spot)
}

/// Matches requests for machines against machines that are arriving, adds moves of machines that can be vacated to
/// `moves`, and returns the machines to rent.
fn match_machine_requests(
    order: &[&Digest],
    mut arriving: Vec<(Partition, MachineSummary)>,
    vacatable: &mut Vec<(Partition, MachineSummary)>,
    moves: &mut Vec<HandOver>,
) -> Rentals {
    let mut rentals = Rentals::new();
    for digest in order {
        let to = digest.partition;
        let requests = digest.machine_requests.iter();
        for request in requests.flat_map(|request| std::iter::repeat_n(request, request.count as usize)) {
            // A machine that is being handed over arrives sooner than a rented one would.
            let arriving_at = arriving.iter().position(|(p, i)| *p == to && satisfies(i, request));
            if let Some(at) = arriving_at {
                arriving.swap_remove(at);
                continue;
            }
            // Production work gets a machine of another partition that can be vacated. A machine is rented anyway, and
            // the tasks of the vacated machine can run on it.
            let found = vacatable.iter().position(|(p, i)| *p != to && satisfies(i, request));
            if let Some(at) = found.filter(|_| request.urgent) {
                let (from, machine) = vacatable.remove(at);
                moves.push(HandOver {
                    from,
                    machine,
                    to,
                    mode: HandOverMode::Vacated,
                });
            }
            let kind = (request.model.clone(), request.zone.clone(), request.spot);
            rentals.entry(kind).or_default().push((to, request.urgent));
        }
    }
    rentals
}

impl Controller {
    /// Allocates machines to partitions: hands over machines that others can give up, then rents what is still missing.
    /// Run by the leader in each round.
    pub(super) fn allocate_machines(&mut self) {
        let now = self.now.ms;
        self.capacity.refused_until.retain(|_, t| now < *t);
        self.prune_pending_hand_overs();
        let digests = self.usable_digests();
        let mut offers = self.collect_offers(&digests);
        let order = sort_by_demand(&digests);
        let mut moves = self.match_waiting_tasks(&order, &mut offers);
        let mut arriving = self.arriving_machines();
        arriving.extend(moves.iter().map(|m| (m.to, m.machine.clone())));
        let rentals = match_machine_requests(&order, arriving, &mut offers.vacatable, &mut moves);
        self.request_moves(moves);
        self.send_rentals(rentals);
    }

    /// Drops pending hand-overs that have arrived, according to the watch, that have timed out, or whose machine is no
    /// longer known. Until then the machine counts as capacity of the partition that it goes to.
    fn prune_pending_hand_overs(&mut self) {
        let now = self.now.ms;
        let timeout_ms = 4 * self.settings.report_ms();
        let revision = self.membership.revision;
        let mut pending = std::mem::take(&mut self.capacity.pending_hand_overs);
        pending.retain(|hand_over| {
            let current = self.machines.get(&hand_over.machine.machine).map(|m| m.partition);
            if current == Some(hand_over.to) {
                let min_revision = self.capacity.min_digest_revision.entry(hand_over.to).or_default();
                *min_revision = (*min_revision).max(revision);
            }
            current.is_some()
                && current != Some(hand_over.to)
                && now.saturating_sub(hand_over.requested_at) < timeout_ms
        });
        self.capacity.pending_hand_overs = pending;
    }

    /// Whether a digest received within two report intervals says that a newer epoch is needed.
    pub(crate) fn any_partition_needs_newer_epoch(&self) -> bool {
        let max_age_ms = 2 * self.settings.report_ms();
        let mut digests = self.capacity.digests.values();
        digests.any(|(digest, at)| digest.needs_newer_epoch && self.now.ms.saturating_sub(*at) <= max_age_ms)
    }

    /// The digests received within two report intervals from owners that know the results of earlier rounds.
    fn usable_digests(&self) -> Vec<Digest> {
        let max_age_ms = 2 * self.settings.report_ms();
        let is_fresh = |(d, at): &&(Digest, u64)| {
            self.now.ms.saturating_sub(*at) < max_age_ms
                && d.revision
                    >= self
                        .capacity
                        .min_digest_revision
                        .get(&d.partition)
                        .copied()
                        .unwrap_or(0)
        };
        // A suspected owner is given no machines and asked for none, because it may be unable to act on either.
        let is_trusted = |d: &Digest| {
            let owner = self.partition_owner(d.partition).map(|h| &h.owner);
            owner.is_none_or(|owner| !self.is_suspected(owner))
        };
        let digests = self.capacity.digests.values().filter(is_fresh);
        digests.map(|(d, _)| d).filter(|d| is_trusted(d)).cloned().collect()
    }

    /// The machines whose hand-over is pending, each with the partition that it goes to.
    fn arriving_machines(&self) -> Vec<(Partition, MachineSummary)> {
        self.capacity
            .pending_hand_overs
            .iter()
            .map(|hand_over| (hand_over.to, hand_over.machine.clone()))
            .collect()
    }

    /// Collects the machines that digests offer, except those whose hand-over is pending.
    fn collect_offers(&self, digests: &[Digest]) -> Offers {
        let is_moving = |i: &MachineSummary| {
            self.capacity
                .pending_hand_overs
                .iter()
                .any(|hand_over| hand_over.machine.machine == i.machine)
        };
        let mut idle = Vec::new();
        let mut vacatable = Vec::new();
        for digest in digests {
            let from = |i: &MachineSummary| (digest.partition, i.clone());
            let is_needed = |i: &MachineSummary| digest.waiting_tasks.iter().any(|tasks| tasks.accepts_machine(i));
            let available = digest.idle.iter().filter(|i| !is_needed(i) && !is_moving(i));
            idle.extend(available.map(from));
            vacatable.extend(digest.vacatable_machines.iter().filter(|i| !is_moving(i)).map(from));
        }
        Offers {
            idle,
            vacatable,
            spare_room: self.spare_room_offered(digests),
        }
    }

    /// Chooses machines of other partitions for waiting tasks, even if capacity of their own partition will be free in
    /// time.
    fn match_waiting_tasks(&self, order: &[&Digest], offers: &mut Offers) -> Vec<HandOver> {
        let mut arriving = self.arriving_machines();
        let mut moves = Vec::new();
        for digest in order {
            let to = digest.partition;
            for tasks in &digest.waiting_tasks {
                let left = self.assign_arriving_machines(to, tasks, &mut arriving);
                let left = self.assign_idle_machines(to, tasks, left, &mut offers.idle, &mut moves);
                if left > 0 {
                    moves.extend(self.choose_spare_room(to, tasks, &mut offers.spare_room));
                }
            }
        }
        moves
    }

    /// Assigns machines that are arriving in a partition to tasks that wait there, and returns how many tasks are left.
    fn assign_arriving_machines(
        &self,
        to: Partition,
        tasks: &WaitingTasks,
        arriving: &mut Vec<(Partition, MachineSummary)>,
    ) -> u32 {
        let mut left = tasks.count;
        while left > 0 {
            let is_suitable =
                |(p, i): &(Partition, MachineSummary)| *p == to && self.tasks_that_fit(tasks, i).is_some();
            let Some(at) = arriving.iter().position(is_suitable) else {
                break;
            };
            let (_, machine) = arriving.swap_remove(at);
            left = left.saturating_sub(self.tasks_that_fit(tasks, &machine).unwrap_or(1));
        }
        left
    }

    /// Adds moves of other partitions' idle machines for waiting tasks, and returns how many tasks are left.
    fn assign_idle_machines(
        &self,
        to: Partition,
        tasks: &WaitingTasks,
        mut left: u32,
        idle: &mut Vec<(Partition, MachineSummary)>,
        moves: &mut Vec<HandOver>,
    ) -> u32 {
        while left > 0 {
            let is_suitable =
                |(p, i): &(Partition, MachineSummary)| *p != to && self.tasks_that_fit(tasks, i).is_some();
            let Some(at) = idle.iter().position(is_suitable) else {
                break;
            };
            let (from, machine) = idle.swap_remove(at);
            left = left.saturating_sub(self.tasks_that_fit(tasks, &machine).unwrap_or(1));
            moves.push(HandOver {
                from,
                machine,
                to,
                mode: HandOverMode::Empty,
            });
        }
        left
    }

    /// How many of the waiting tasks fit on a machine while it is empty; none if they may not or cannot run on it.
    fn tasks_that_fit(&self, tasks: &WaitingTasks, machine: &MachineSummary) -> Option<u32> {
        if !tasks.accepts_machine(machine) {
            return None;
        }
        let model = self.machine_types.iter().find(|t| t.name == machine.model)?;
        let capacity = [model.cpus, model.gpus, model.memory_gb];
        Some(count_fitting_tasks(&tasks.task_resources, &capacity)).filter(|n| *n > 0)
    }

    /// Queues requests to the owners of machines to hand them over. They are sent with the next heartbeat.
    fn request_moves(&mut self, moves: Vec<HandOver>) {
        let now = self.now.ms;
        for HandOver {
            from,
            machine,
            to,
            mode,
        } in moves
        {
            let Some(owner) = self.partition_owner(from).map(|h| h.owner.clone()) else {
                continue;
            };
            self.capacity.moves_to_send.entry(owner).or_default().push(MachineMove {
                machine: machine.machine.clone(),
                to,
                vacate: mode == HandOverMode::Vacated,
                occupied: mode == HandOverMode::Occupied,
            });
            self.capacity.pending_hand_overs.push(PendingHandOver {
                machine,
                to,
                requested_at: now,
            });
        }
    }

    /// Starts the hand-overs that the leader has requested, for machines that are still empty, may go with their
    /// tasks, or can still be vacated.
    pub(super) fn execute_moves(&mut self, moves: Vec<MachineMove>) {
        for request in moves {
            let now = self.now.ms;
            let max_report_age_ms = 2 * self.settings.report_ms();
            let Some(m) = self.machines.get(&request.machine) else {
                continue;
            };
            if m.partition == request.to
                || !m.is_usable(now, max_report_age_ms)
                || self.active_tenure(m.partition).is_none()
            {
                continue;
            }
            if m.is_empty_and_fenced() {
                self.log(
                    Level::Info,
                    format!("{} goes to partition {}", request.machine, request.to),
                );
                self.hand_over(&request.machine, request.to);
            } else if request.occupied && self.can_hand_over_shared_machines() && self.can_hand_over_with_tasks(m) {
                let tasks = m.held.len();
                self.log(
                    Level::Info,
                    format!(
                        "{} goes to partition {} with the {tasks} tasks on it",
                        request.machine, request.to
                    ),
                );
                self.hand_over(&request.machine, request.to);
            } else if request.vacate && self.preemption_loss_s(m).is_some() {
                self.vacate(&request.machine, request.to);
            }
        }
    }

    /// Stops the tasks on a machine, which is handed over once they are gone.
    fn vacate(&mut self, id: &MachineId, to: Partition) {
        let now = self.now.ms;
        let Some(m) = self.machines.get_mut(id) else { return };
        m.vacating_for = Some((to, now));
        let held: Vec<_> = m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect();
        self.log(
            Level::Info,
            format!(
                "{id}: stopping {} tasks before it goes to partition {to} for production work",
                held.len()
            ),
        );
        if self.disruption.is_some() {
            self.evict_permitted_tasks(id);
            return;
        }
        for (task, attempt) in held {
            self.request_stop(id, &task, attempt);
        }
    }

    /// Hands over the machines that have become empty, and cancels the vacating of those that have not become empty
    /// within two report intervals.
    pub(crate) fn finish_vacating(&mut self) {
        if !self.is_entitled() {
            return;
        }
        let now = self.now.ms;
        let timeout_ms = 2 * self.settings.report_ms();
        let mut ready = Vec::new();
        for (id, m) in &mut self.machines {
            let Some((to, since)) = m.vacating_for else { continue };
            if m.is_empty_and_fenced() {
                m.vacating_for = None;
                ready.push((id.clone(), to));
            } else if now.saturating_sub(since) > timeout_ms {
                m.vacating_for = None;
            }
        }
        for (id, to) in ready {
            self.log(Level::Info, format!("{id} goes to partition {to}"));
            self.hand_over(&id, to);
        }
    }
}
