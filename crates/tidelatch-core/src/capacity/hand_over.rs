//! Machines that change hands: what the leader chooses to hand over, and how their owners do it.

use super::{Kind, Lent, room_for};
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::messages::{Digest, IdleMachine, Level, MachineRequest, Move, SpareRoom, WaitingTasks};
use std::collections::BTreeMap;

/// How a machine changes hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum How {
    /// Nothing is on it.
    Empty,
    /// What is on it is stopped first.
    Vacated,
    /// With the tasks that run on it.
    Occupied,
}

/// A machine that the leader has chosen to change hands.
#[derive(Debug)]
pub(super) struct HandOver {
    pub(super) from: Partition,
    pub(super) machine: IdleMachine,
    pub(super) to: Partition,
    pub(super) how: How,
}

/// The machines that partitions offer to others, each with its present partition.
struct Offers {
    /// With nothing on them.
    idle: Vec<(Partition, IdleMachine)>,
    /// To be vacated for production work.
    yielding: Vec<(Partition, IdleMachine)>,
    /// In use, with room for more.
    spare_room: Vec<(Partition, SpareRoom)>,
}

/// Machines to be rented: for each kind, the partitions that they are for, and whether they are for
/// production work.
type Rentals = BTreeMap<Kind, Vec<(Partition, bool)>>;

/// Digests in the order in which they are served: urgent ones first, then whoever has most demand to its
/// name, for where kinds run out.
fn by_demand(digests: &[Digest]) -> Vec<&Digest> {
    let urgent = |d: &Digest| d.wants.iter().any(|n| n.urgent);
    let mut order: Vec<&Digest> = digests.iter().collect();
    order.sort_by(|a, b| urgent(b).cmp(&urgent(a)).then(b.demand.total_cmp(&a.demand)));
    order
}

/// Whether a machine is of the kind that is needed.
fn serves(machine: &IdleMachine, need: &MachineRequest) -> bool {
    machine.model == need.model && (need.any_zone || machine.zone == need.zone) && (need.spot || !machine.spot)
}

/// Serves needs for machines, and returns what is to be rented for them.
fn serve_needs(
    order: &[&Digest],
    mut arriving: Vec<(Partition, IdleMachine)>,
    yielding: &mut Vec<(Partition, IdleMachine)>,
    moves: &mut Vec<HandOver>,
) -> Rentals {
    let mut rentals = Rentals::new();
    for digest in order {
        let to = digest.partition;
        let needs = digest.needs.iter();
        for need in needs.flat_map(|need| std::iter::repeat_n(need, need.count as usize)) {
            // What was lent is there sooner than what would be rented.
            let lent = arriving.iter().position(|(p, i)| *p == to && serves(i, need));
            if let Some(at) = lent {
                arriving.swap_remove(at);
                continue;
            }
            // Production work gets machines that others can do without, and they what is rented.
            let found = yielding.iter().position(|(p, i)| *p != to && serves(i, need));
            if let Some(at) = found.filter(|_| need.urgent) {
                let (from, machine) = yielding.remove(at);
                moves.push(HandOver {
                    from,
                    machine,
                    to,
                    how: How::Vacated,
                });
            }
            let kind = (need.model.clone(), need.zone.clone(), need.spot);
            rentals.entry(kind).or_default().push((to, need.urgent));
        }
    }
    rentals
}

impl Controller {
    /// The leader's round: lends what is idle, then rents.
    pub(super) fn share_out(&mut self) {
        let now = self.now.ms;
        self.cloud.refused.retain(|_, t| now < *t);
        self.settle_lent();
        let digests = self.fresh_digests();
        let mut offers = self.machines_on_offer(&digests);
        let order = by_demand(&digests);
        let mut moves = self.serve_wants(&order, &mut offers);
        let mut arriving = self.on_the_way();
        arriving.extend(moves.iter().map(|m| (m.to, m.machine.clone())));
        let rentals = serve_needs(&order, arriving, &mut offers.yielding, &mut moves);
        self.request_moves(moves);
        self.send_rentals(rentals);
    }

    /// What was lent has arrived once the watch says so; until then it counts for whom it goes to.
    fn settle_lent(&mut self) {
        let now = self.now.ms;
        let patience = 4 * self.settings.report_ms();
        let ledger = self.member.ledger;
        let mut lent = std::mem::take(&mut self.cloud.lent);
        lent.retain(|l| {
            let here = self.machines.get(&l.machine.machine).map(|m| m.partition);
            if here == Some(l.to) {
                let from = self.cloud.fresh_from.entry(l.to).or_default();
                *from = (*from).max(ledger);
            }
            here.is_some() && here != Some(l.to) && now.saturating_sub(l.at) < patience
        });
        self.cloud.lent = lent;
    }

    /// The digests that came lately, from owners that know what has become of earlier rounds.
    fn fresh_digests(&self) -> Vec<Digest> {
        let recent = 2 * self.settings.report_ms();
        let fresh = |(d, at): &&(Digest, u64)| {
            self.now.ms.saturating_sub(*at) < recent
                && d.ledger >= self.cloud.fresh_from.get(&d.partition).copied().unwrap_or(0)
        };
        // A suspected owner gets nothing and is asked for nothing: neither may come about.
        let trusted = |d: &Digest| {
            let owner = self.holding(d.partition).map(|h| &h.owner);
            owner.is_none_or(|owner| !self.suspects(owner))
        };
        let digests = self.cloud.digests.values().filter(fresh);
        digests.map(|(d, _)| d).filter(|d| trusted(d)).cloned().collect()
    }

    /// The machines that were lent and have not arrived, each with the partition that it goes to.
    fn on_the_way(&self) -> Vec<(Partition, IdleMachine)> {
        self.cloud.lent.iter().map(|l| (l.to, l.machine.clone())).collect()
    }

    /// The machines that digests offer and that are not on their way already.
    fn machines_on_offer(&self, digests: &[Digest]) -> Offers {
        let moving = |i: &IdleMachine| self.cloud.lent.iter().any(|l| l.machine.machine == i.machine);
        let mut idle = Vec::new();
        let mut yielding = Vec::new();
        for digest in digests {
            let from = |i: &IdleMachine| (digest.partition, i.clone());
            let wanted = |i: &IdleMachine| digest.wants.iter().any(|w| w.takes(i));
            let spare = digest.idle.iter().filter(|i| !wanted(i) && !moving(i));
            idle.extend(spare.map(from));
            yielding.extend(digest.yielding.iter().filter(|i| !moving(i)).map(from));
        }
        Offers {
            idle,
            yielding,
            spare_room: self.spare_room_offered(digests),
        }
    }

    /// What waits gets what is idle elsewhere, even where room of its own will be free in time.
    fn serve_wants(&self, order: &[&Digest], offers: &mut Offers) -> Vec<HandOver> {
        let mut coming = self.on_the_way();
        let mut moves = Vec::new();
        for digest in order {
            let to = digest.partition;
            for want in &digest.wants {
                let left = self.take_coming(to, want, &mut coming);
                let left = self.lend_idle(to, want, left, &mut offers.idle, &mut moves);
                if left > 0 {
                    moves.extend(self.take_spare_room(to, want, &mut offers.spare_room));
                }
            }
        }
        moves
    }

    /// Counts machines on their way to a partition for tasks that wait there, and returns how many of these
    /// are left.
    fn take_coming(&self, to: Partition, want: &WaitingTasks, coming: &mut Vec<(Partition, IdleMachine)>) -> u32 {
        let mut left = want.count;
        while left > 0 {
            let serves = |(p, i): &(Partition, IdleMachine)| *p == to && self.tasks_that_fit(want, i).is_some();
            let Some(at) = coming.iter().position(serves) else {
                break;
            };
            let (_, machine) = coming.swap_remove(at);
            left = left.saturating_sub(self.tasks_that_fit(want, &machine).unwrap_or(1));
        }
        left
    }

    /// Chooses idle machines of other partitions for tasks that wait, and returns how many of these are left.
    fn lend_idle(
        &self,
        to: Partition,
        want: &WaitingTasks,
        mut left: u32,
        idle: &mut Vec<(Partition, IdleMachine)>,
        moves: &mut Vec<HandOver>,
    ) -> u32 {
        while left > 0 {
            let serves = |(p, i): &(Partition, IdleMachine)| *p != to && self.tasks_that_fit(want, i).is_some();
            let Some(at) = idle.iter().position(serves) else {
                break;
            };
            let (from, machine) = idle.swap_remove(at);
            left = left.saturating_sub(self.tasks_that_fit(want, &machine).unwrap_or(1));
            moves.push(HandOver {
                from,
                machine,
                to,
                how: How::Empty,
            });
        }
        left
    }

    /// How many of the tasks that wait an empty machine has room for; none if it would not do.
    fn tasks_that_fit(&self, want: &WaitingTasks, machine: &IdleMachine) -> Option<u32> {
        if !want.takes(machine) {
            return None;
        }
        let model = self.types.iter().find(|t| t.name == machine.model)?;
        let room = [model.cpus, model.gpus, model.memory_gb];
        Some(room_for(&want.size, &room)).filter(|n| *n > 0)
    }

    /// Has the owners of machines asked, with the next greeting, to hand them over.
    fn request_moves(&mut self, moves: Vec<HandOver>) {
        let now = self.now.ms;
        for HandOver { from, machine, to, how } in moves {
            let Some(owner) = self.holding(from).map(|h| h.owner.clone()) else {
                continue;
            };
            self.cloud.moves.entry(owner).or_default().push(Move {
                machine: machine.machine.clone(),
                to,
                vacate: how == How::Vacated,
                occupied: how == How::Occupied,
            });
            self.cloud.lent.push(Lent { machine, to, at: now });
        }
    }

    /// Hands over machines as the leader asks, if they are still empty, or still yield.
    pub(super) fn carry_out(&mut self, moves: Vec<Move>) {
        for mv in moves {
            let now = self.now.ms;
            let patience = 2 * self.settings.report_ms();
            let Some(m) = self.machines.get(&mv.machine) else {
                continue;
            };
            if m.partition == mv.to || !m.usable(now, patience) || self.acting(m.partition).is_none() {
                continue;
            }
            if m.clean() {
                self.log(Level::Info, format!("{} goes to partition {}", mv.machine, mv.to));
                self.hand_over(&mv.machine, mv.to);
            } else if mv.occupied && self.may_share_machines() && self.may_go_occupied(m) {
                let tasks = m.held.len();
                self.log(
                    Level::Info,
                    format!(
                        "{} goes to partition {} with the {tasks} tasks on it",
                        mv.machine, mv.to
                    ),
                );
                self.hand_over(&mv.machine, mv.to);
            } else if mv.vacate && self.yielding(m).is_some() {
                self.vacate(&mv.machine, mv.to);
            }
        }
    }

    /// Stops what is on a machine, to hand it over once that is gone.
    fn vacate(&mut self, id: &MachineId, to: Partition) {
        let now = self.now.ms;
        let Some(m) = self.machines.get_mut(id) else { return };
        m.vacating = Some((to, now));
        let held: Vec<_> = m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect();
        self.log(
            Level::Info,
            format!(
                "{id}: stopping {} tasks: it goes to partition {to} for production work",
                held.len()
            ),
        );
        if self.disruption.is_some() {
            self.evict_now(id);
            return;
        }
        for (task, attempt) in held {
            self.stop_held(id, &task, attempt);
        }
    }

    /// Hands over what has been vacated; gives up what does not become empty.
    pub(crate) fn finish_vacating(&mut self) {
        if !self.entitled() {
            return;
        }
        let now = self.now.ms;
        let patience = 2 * self.settings.report_ms();
        let mut ready = Vec::new();
        for (id, m) in &mut self.machines {
            let Some((to, since)) = m.vacating else { continue };
            if m.clean() {
                m.vacating = None;
                ready.push((id.clone(), to));
            } else if now.saturating_sub(since) > patience {
                m.vacating = None;
            }
        }
        for (id, to) in ready {
            self.log(Level::Info, format!("{id} goes to partition {to}"));
            self.hand_over(&id, to);
        }
    }
}
