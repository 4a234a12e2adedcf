//! Sharing machines out: what partitions need and have to spare, and machines that change hands.

use super::{BootingMachine, Kind, Lane, Lent, Wish, YIELDING, absorb, plan, room_for, wants};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, MachineId, Partition};
use crate::membership::Stage;
use crate::messages::{Digest, Idle, Level, Move, Need, PeerReply, PeerRequest, SpareRoom, Want};
use crate::picture::Machine;
use crate::placement::Amounts;
use crate::protocol::{MachineType, Priority, Shape};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// How a machine changes hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum How {
    /// Nothing is on it.
    Empty,
    /// What is on it is stopped first.
    Vacated,
    /// With the tasks that run on it.
    Occupied,
}

/// A machine that the leader has chosen to change hands.
#[derive(Debug)]
struct HandOver {
    from: Partition,
    machine: Idle,
    to: Partition,
    how: How,
}

/// Most machines of one kind that a digest offers for their spare room.
const SPARE_ROOM_PER_KIND: usize = 2;

/// The machines with the most free room of each kind.
fn largest_of_each_kind(mut offers: Vec<SpareRoom>) -> Vec<SpareRoom> {
    let room = |offer: &SpareRoom| (offer.free[1], offer.free[0]);
    offers.sort_by(|a, b| room(b).partial_cmp(&room(a)).unwrap_or(Ordering::Equal));
    let mut taken: BTreeMap<Kind, usize> = BTreeMap::new();
    offers.retain(|offer| {
        let machine = &offer.machine;
        let count = taken
            .entry((machine.model.clone(), machine.zone.clone(), machine.spot))
            .or_default();
        *count += 1;
        *count <= SPARE_ROOM_PER_KIND
    });
    offers
}

impl Controller {
    /// What a machine in use has free, if it could change hands with its tasks.
    fn spare_room(&self, id: &MachineId, machine: &Machine) -> Option<SpareRoom> {
        if machine.held.is_empty() || !self.may_share_machines() || !self.may_go_occupied(machine) {
            return None;
        }
        let model = self.types.iter().find(|t| t.name == machine.model)?;
        let mut free = [model.cpus, model.gpus, model.memory_gb];
        free.iter_mut().zip(machine.taken()).for_each(|(f, used)| *f -= used);
        let machine = Idle {
            machine: id.clone(),
            model: machine.model.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        Some(SpareRoom { machine, free })
    }

    /// The spare room that partitions offer, of machines that are not on their way already.
    fn spare_room_offered(&self, digests: &[Digest]) -> Vec<(Partition, SpareRoom)> {
        let moving = |room: &SpareRoom| {
            self.cloud
                .lent
                .iter()
                .any(|l| l.machine.machine == room.machine.machine)
        };
        let offers = digests
            .iter()
            .flat_map(|d| d.spare_room.iter().map(|room| (d.partition, room.clone())));
        offers.filter(|(_, room)| !moving(room)).collect()
    }

    /// Where the cloud has no more machines, work that waits gets a machine of another partition with room for it.
    /// One at a time for a partition: each costs a change of the roster, and the next round sees what came of it.
    fn take_spare_room(
        &self,
        to: Partition,
        want: &Want,
        offers: &mut Vec<(Partition, SpareRoom)>,
    ) -> Option<HandOver> {
        let under_way = |l: &Lent| l.to == to && want.takes(&l.machine);
        if self.cloud.lent.iter().any(under_way) || !self.all_kinds_refused(want) {
            return None;
        }
        let fit = |(from, room): &(Partition, SpareRoom)| {
            let takes = *from != to && want.takes(&room.machine);
            if takes { want.fits(&room.free) } else { 0 }
        };
        let (at, _) = offers
            .iter()
            .enumerate()
            .filter(|(_, offer)| fit(offer) > 0)
            .max_by_key(|(_, offer)| fit(offer))?;
        let (from, room) = offers.swap_remove(at);
        Some(HandOver {
            from,
            machine: room.machine,
            to,
            how: How::Occupied,
        })
    }

    /// Whether the cloud has lately refused every kind of machine that would do.
    fn all_kinds_refused(&self, want: &Want) -> bool {
        let fits = |t: &&MachineType| want.fits(&[t.cpus, t.gpus, t.memory_gb]) > 0;
        let kinds = self.types.iter().filter(fits).flat_map(|t| {
            let of_zone = |zone: &String| [false, true].map(|spot| (t.name.clone(), zone.clone(), spot));
            t.zones.iter().flat_map(of_zone).collect::<Vec<Kind>>()
        });
        let mut allowed = kinds
            .filter(|(model, zone, spot)| want.allows(model, zone, *spot))
            .peekable();
        allowed.peek().is_some() && allowed.all(|kind| self.cloud.is_refused(&kind, self.now.ms))
    }

    /// What would be lost, in seconds of work, if a machine were vacated for production work; none if
    /// something on it does not yield.
    pub(super) fn yielding(&self, m: &Machine) -> Option<f64> {
        if m.spot || m.held.is_empty() || !m.usable(self.now.ms, 2 * self.set.report_ms()) {
            return None;
        }
        let mut loss = 0.0;
        for h in &m.held {
            let job = self.jobs.get(&h.task.job)?;
            // A gang yields as a whole only, and its other tasks are on other machines.
            if job.spec.priority >= Priority::Prod || h.stop.is_some() || job.spec.shape == Shape::Gang {
                return None;
            }
            let ran_s = h
                .running_since
                .map_or(0.0, |t| self.now.ms.saturating_sub(t) as f64 / 1000.0);
            loss += if job.spec.checkpoint_s > 0.0 {
                ran_s.min(job.spec.save_s)
            } else {
                ran_s
            };
        }
        Some(loss)
    }

    /// A machine as the planning sees it: none for those that take no more tasks.
    pub(super) fn lane(&self, m: &Machine) -> Option<Lane> {
        let now = self.now.ms;
        let t = self.types.iter().find(|t| t.name == m.model)?;
        let up = m.usable(now, 3 * self.set.report_ms());
        let booting = m.is_booting() && m.moving.is_none();
        if !up && !booting {
            return None;
        }
        let mut free = [t.cpus, t.gpus, t.memory_gb];
        free.iter_mut().zip(m.taken()).for_each(|(f, u)| *f -= u);
        let mut busy: Vec<(f64, Amounts)> = m
            .held
            .iter()
            .filter_map(|h| {
                let job = self.jobs.get(&h.task.job)?;
                if job.spec.shape == Shape::Service {
                    return None;
                }
                let ran_s = h.running_since.map_or(0.0, |t| now.saturating_sub(t) as f64 / 1000.0);
                // Whoever has run for longer than expected is expected to need a part of that again.
                let left_s = (self.learned.run_s(&job.spec) - ran_s).max(0.3 * ran_s);
                Some((if h.stop.is_some() { 0.0 } else { left_s }, h.size))
            })
            .collect();
        busy.sort_by(|a, b| a.0.total_cmp(&b.0));
        let age_s = now.saturating_sub(m.known_since) as f64 / 1000.0;
        let ready_s = if booting {
            (t.boot_s - age_s).max(0.1 * t.boot_s)
        } else {
            0.0
        };
        Some(Lane {
            model: m.model.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free,
            ready_s,
            busy,
        })
    }

    /// The machines of a partition that are so late that others are to be rented in their place.
    fn late_machines(&self, partition: Partition) -> BTreeSet<MachineId> {
        let booting: Vec<BootingMachine> = self
            .machines
            .iter()
            .filter(|(_, m)| m.partition == partition && m.is_booting())
            .map(|(id, m)| BootingMachine {
                id: id.clone(),
                model: m.model.clone(),
                since: m.known_since,
            })
            .collect();
        let grace_ms = 2 * self.set.report_ms();
        self.cloud
            .boot_times
            .discounted(&booting, &self.types, self.now.ms, grace_ms)
    }

    /// What this controller's partitions need and have to spare.
    pub(super) fn own_digests(&self) -> Vec<Digest> {
        let now = self.now.ms;
        let acting = self.tenures.iter().filter(|(_, t)| t.stage == Stage::Active);
        let mut digests = Vec::new();
        for (p, _) in acting {
            let late = self.late_machines(*p);
            let mut lanes = Vec::new();
            let mut idle = Vec::new();
            let mut yielding = Vec::new();
            let mut spare_room = Vec::new();
            let mut in_zones: BTreeMap<String, u32> = BTreeMap::new();
            let mut demand = 0.0;
            for (id, m) in self.machines.iter().filter(|(_, m)| m.partition == *p && !m.gone) {
                *in_zones.entry(m.zone.clone()).or_default() += 1;
                demand += m.held.iter().map(|h| h.size[1].max(h.size[0] / 100.0)).sum::<f64>();
                if let Some(lane) = self.lane(m).filter(|_| !late.contains(id)) {
                    lanes.push(lane);
                }
                if let Some(loss) = self.yielding(m) {
                    let machine = Idle {
                        machine: id.clone(),
                        model: m.model.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    };
                    yielding.push((loss, machine));
                }
                spare_room.extend(self.spare_room(id, m));
                let spare = m
                    .idle_since
                    .is_some_and(|t| now.saturating_sub(t) > self.set.report_ms());
                if spare && m.usable(now, 2 * self.set.report_ms()) {
                    idle.push(Idle {
                        machine: id.clone(),
                        model: m.model.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    });
                }
            }
            let mut wishes: Vec<Wish> = self
                .cloud
                .wishes
                .iter()
                .filter(|w| w.partition == *p)
                .cloned()
                .collect();
            let wants = wants(&wishes, &self.set.platform.facts.zones);
            demand += wishes
                .iter()
                .map(|w| f64::from(w.count) * w.size[1].max(w.size[0] / 100.0))
                .sum::<f64>();
            let refused = |kind: &Kind| self.cloud.refused.get(kind).is_some_and(|t| now < *t);
            absorb(&mut wishes, &mut lanes, &self.types, &refused, self.guarantee_s());
            let needs = plan(&wishes, Vec::new(), &self.types, &refused, &in_zones);
            yielding.sort_by(|a, b| a.0.total_cmp(&b.0));
            let unwanted = |room: &SpareRoom| {
                !wants
                    .iter()
                    .any(|want| want.takes(&room.machine) && want.fits(&room.free) > 0)
            };
            spare_room.retain(unwanted);
            digests.push(Digest {
                partition: *p,
                ledger: self.member.ledger,
                demand,
                needs,
                wants,
                idle,
                yielding: yielding.into_iter().map(|(_, i)| i).take(YIELDING).collect(),
                spare_room: largest_of_each_kind(spare_room),
            });
        }
        digests
    }

    pub(crate) fn say_hello(&mut self) {
        self.greet(false);
    }

    /// Greets the peers whose turn it is; with `at_once` all that lack a cancellation.
    pub(crate) fn greet(&mut self, at_once: bool) {
        let now = self.now.ms;
        let every = 2 * self.set.report_ms() / 5;
        let leader = self.member.leader.as_ref().map(|(l, _)| l.name.clone());
        let wants_grant = self.wants_grants();
        let names: Vec<String> = self.set.platform.siblings.iter().map(|s| s.host_name.clone()).collect();
        for name in names {
            let to = ControllerId::new(name);
            let urgent = at_once && self.lacks_cancellations(&to);
            let (told, span, _) = self.tell_cancellations(&to);
            let peer = self.member.peers.entry(to.clone()).or_default();
            let due = peer.asked == 0 || now >= peer.asked + every;
            if peer.asking || !(due || urgent) {
                continue;
            }
            peer.asking = true;
            if due {
                peer.asked = now.max(1);
            }
            peer.asked_grant = wants_grant;
            // Digests cost a look at every machine: one that goes out of its turn does without.
            let digests = if due && leader.as_ref() == Some(&to) && self.entitled() {
                self.own_digests()
            } else {
                Vec::new()
            };
            let request = PeerRequest::Hello {
                name: self.me.as_str().to_owned(),
                entitled: self.entitled(),
                wants_grant,
                relies: self.relies_on(&to),
                digests,
                told,
            };
            let timeout = self.set.report_ms() / 2;
            let purpose = Purpose::Hello {
                to: to.clone(),
                sent: now,
                told: span,
            };
            self.ask(to, request, timeout, purpose);
        }
    }

    pub(crate) fn on_hello(&mut self, id: u64, from: ControllerId, stands: (bool, bool, bool), digests: Vec<Digest>) {
        let now = self.now.ms;
        let (entitled, wants_grant, relies) = stands;
        let (told, _, whole) = self.tell_cancellations(&from);
        let granted = wants_grant && whole && self.promise();
        self.note_reliance(&from, relies || granted);
        let lead = self.is_leader();
        if let Some(peer) = self.member.peers.get_mut(&from) {
            peer.entitled = entitled;
            peer.heard = Some(now);
        }
        let mut moves = Vec::new();
        let mut refused = Vec::new();
        if lead {
            for digest in digests {
                // Only the owner speaks for a partition.
                if self.holding(digest.partition).is_some_and(|h| h.owner == from) {
                    self.cloud.digests.insert(digest.partition, (digest, now));
                }
            }
            moves = self.cloud.moves.remove(&from).unwrap_or_default();
            refused = self
                .cloud
                .refused
                .iter()
                .filter(|(_, t)| now < **t)
                .map(|((model, zone, spot), _)| Need {
                    model: model.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                    count: 0,
                    urgent: false,
                    any_zone: false,
                })
                .collect();
        }
        let entitled = self.entitled();
        let relies = self.relies_on(&from);
        self.out.push(crate::messages::Output::Tell {
            id,
            reply: PeerReply::Hello {
                entitled,
                granted,
                relies,
                moves,
                refused,
                told,
            },
        });
    }

    pub(crate) fn on_moves(&mut self, from: &ControllerId, moves: Vec<Move>, refused: Vec<Need>) {
        let leads = self.member.leader.as_ref().is_some_and(|(l, _)| l.name == *from);
        if !leads || self.is_leader() {
            return;
        }
        let until = self.now.ms + self.set.report_ms();
        self.cloud.refused = refused
            .into_iter()
            .map(|n| ((n.model, n.zone, n.spot), until))
            .collect();
        self.carry_out(moves);
    }

    /// Hands over machines as the leader asks, if they are still empty, or still yield.
    pub(super) fn carry_out(&mut self, moves: Vec<Move>) {
        for mv in moves {
            let now = self.now.ms;
            let patience = 2 * self.set.report_ms();
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
    pub(super) fn vacate(&mut self, id: &MachineId, to: Partition) {
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
        let patience = 2 * self.set.report_ms();
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

    /// The leader's round: lends what is idle, then rents.
    pub(super) fn share_out(&mut self) {
        let now = self.now.ms;
        let recent = 2 * self.set.report_ms();
        self.cloud.refused.retain(|_, t| now < *t);
        // What was lent has arrived once the watch says so; until then it counts for whom it goes to.
        let ledger = self.member.ledger;
        let mut lent = std::mem::take(&mut self.cloud.lent);
        lent.retain(|l| {
            let here = self.machines.get(&l.machine.machine).map(|m| m.partition);
            if here == Some(l.to) {
                let from = self.cloud.fresh_from.entry(l.to).or_default();
                *from = (*from).max(ledger);
            }
            here.is_some() && here != Some(l.to) && now.saturating_sub(l.at) < 2 * recent
        });
        self.cloud.lent = lent;
        let fresh: Vec<Digest> = self
            .cloud
            .digests
            .values()
            .filter(|(d, at)| {
                now.saturating_sub(*at) < recent
                    && d.ledger >= self.cloud.fresh_from.get(&d.partition).copied().unwrap_or(0)
            })
            .map(|(d, _)| d.clone())
            .collect();
        // On its way already: for each partition, by kind.
        let mut coming: Vec<(Partition, Idle)> = self.cloud.lent.iter().map(|l| (l.to, l.machine.clone())).collect();
        let moving = |i: &Idle| self.cloud.lent.iter().any(|l| l.machine.machine == i.machine);
        let offers = |list: &dyn Fn(&Digest) -> Vec<Idle>| -> Vec<(Partition, Idle)> {
            let of = |d: &Digest| list(d).into_iter().map(|i| (d.partition, i)).collect::<Vec<_>>();
            fresh.iter().flat_map(of).filter(|(_, i)| !moving(i)).collect()
        };
        let mut idle = offers(&|d| {
            let spare = |i: &&Idle| !d.wants.iter().any(|w| w.takes(i));
            d.idle.iter().filter(spare).cloned().collect()
        });
        let mut yielding = offers(&|d| d.yielding.clone());
        let mut spare_room = self.spare_room_offered(&fresh);
        let mut moves: Vec<HandOver> = Vec::new();
        let mut wanted: BTreeMap<Kind, Vec<(Partition, bool)>> = BTreeMap::new();
        // Shares by demand: whoever has most demand to its name is served first where kinds run out.
        let mut order: Vec<&Digest> = fresh.iter().collect();
        order.sort_by(|a, b| {
            let urgent = |d: &Digest| d.wants.iter().any(|n| n.urgent);
            urgent(b).cmp(&urgent(a)).then(b.demand.total_cmp(&a.demand))
        });
        // What waits gets what is idle elsewhere, even where room of its own will be free in time.
        for d in &order {
            for want in &d.wants {
                let mut left = want.count;
                let fit = |i: &Idle| {
                    let t = self.types.iter().find(|t| t.name == i.model)?;
                    Some(room_for(&want.size, &[t.cpus, t.gpus, t.memory_gb])).filter(|n| *n > 0)
                };
                while left > 0 {
                    let at = coming
                        .iter()
                        .position(|(p, i)| *p == d.partition && want.takes(i) && fit(i).is_some());
                    if let Some(at) = at {
                        let (_, i) = coming.swap_remove(at);
                        left = left.saturating_sub(fit(&i).unwrap_or(1));
                        continue;
                    }
                    let at = idle
                        .iter()
                        .position(|(p, i)| *p != d.partition && want.takes(i) && fit(i).is_some());
                    let Some(at) = at else { break };
                    let (from, i) = idle.swap_remove(at);
                    left = left.saturating_sub(fit(&i).unwrap_or(1));
                    moves.push(HandOver {
                        from,
                        machine: i,
                        to: d.partition,
                        how: How::Empty,
                    });
                }
                if left > 0 {
                    moves.extend(self.take_spare_room(d.partition, want, &mut spare_room));
                }
            }
        }
        let mut arriving: Vec<(Partition, Idle)> = self.cloud.lent.iter().map(|l| (l.to, l.machine.clone())).collect();
        arriving.extend(moves.iter().map(|m| (m.to, m.machine.clone())));
        for d in order {
            for need in &d.needs {
                for _ in 0..need.count {
                    let kind = (need.model.clone(), need.zone.clone(), need.spot);
                    // What was lent is there sooner than what would be rented.
                    let same = |i: &Idle| {
                        i.model == need.model && (need.any_zone || i.zone == need.zone) && (need.spot || !i.spot)
                    };
                    if let Some(at) = arriving.iter().position(|(to, i)| *to == d.partition && same(i)) {
                        arriving.swap_remove(at);
                        continue;
                    }
                    // Production work gets machines that others can do without, and they what is rented.
                    let found = yielding.iter().position(|(p, i)| {
                        *p != d.partition
                            && i.model == need.model
                            && (need.any_zone || i.zone == need.zone)
                            && (need.spot || !i.spot)
                    });
                    if let Some(at) = found.filter(|_| need.urgent) {
                        let (from, machine) = yielding.remove(at);
                        moves.push(HandOver {
                            from,
                            machine,
                            to: d.partition,
                            how: How::Vacated,
                        });
                    }
                    wanted.entry(kind).or_default().push((d.partition, need.urgent));
                }
            }
        }
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
        self.send_rentals(wanted);
    }
}
