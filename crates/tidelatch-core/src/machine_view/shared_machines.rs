//! Machines that hold tasks of several partitions.
//!
//! A machine may go to another partition with the tasks that run on it, so that its free room is used where
//! work waits. From then on the new owner alone starts tasks there. The tasks that were there remain their own
//! partition's: it counts them against its team limits and zone rules, learns by status requests to the worker
//! what becomes of them, and alone marks them done or starts them anew. The machine's owner keeps them running,
//! keeps their results, and stops those of jobs that are over.
//!
//! The roster names the partitions whose tasks may be on a machine ([`GroupRecord::also_holds`]), written in the
//! transaction that hands it over, so that a new owner of such a partition accounts for the machine before it
//! starts older tasks.
//!
//! [`GroupRecord::also_holds`]: crate::roster::GroupRecord::also_holds

use super::{Held, HeldState, Machine};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, Partition, TaskId};
use crate::messages::{Level, Method, Target};
use crate::protocol::{Report, Shape, TaskState};
use crate::roster::GroupRecord;
use crate::settings::SHARED_MACHINES_LEVEL;
use std::collections::BTreeSet;

/// What a controller goes on knowing of a machine that changes hands.
#[derive(Debug, Default)]
pub(crate) struct CarriedTasks {
    held: Vec<Held>,
    unaccounted: BTreeSet<Partition>,
}

impl Machine {
    /// Takes over what was known of a machine before it changed hands.
    pub(crate) fn carry(&mut self, carried: CarriedTasks) {
        self.held = carried.held;
        self.unaccounted = carried.unaccounted;
    }
}

impl Controller {
    /// Whether every controller that is a member knows machines that hold tasks of several partitions.
    pub(crate) fn members_share_machines(&self) -> bool {
        let mut members = self.member.members.values();
        self.settings.features.shared_machines && members.all(|m| m.knows >= SHARED_MACHINES_LEVEL)
    }

    /// Whether machines may change hands with their tasks: every controller of the deployment is there and knows
    /// such machines. One that is away might come back as a version that does not.
    pub(crate) fn may_share_machines(&self) -> bool {
        let members = &self.member.members;
        let names = self.settings.names();
        let present = |name: &String| members.keys().any(|member| member.as_str() == name);
        self.members_share_machines() && names.iter().all(present)
    }

    /// Whether any machine may hold tasks of a partition that does not own it.
    pub(crate) fn any_shared_machine(&self) -> bool {
        self.machines.values().any(|m| !m.also_holds.is_empty())
    }

    /// The partitions whose tasks are on a machine, those included whose results its worker still keeps.
    pub(crate) fn partitions_on(&self, machine: &Machine) -> BTreeSet<Partition> {
        let held = machine
            .held
            .iter()
            .filter_map(|h| self.settings.partition_of_team(&h.team));
        let ended = machine.ended.iter().filter_map(|(task, _, _)| self.jobs.get(&task.job));
        held.chain(ended.map(|job| job.partition)).collect()
    }

    /// The partitions other than the owner whose tasks may be on a machine group's machines.
    pub(crate) fn partitions_beside_owner(&self, group: &GroupRecord) -> BTreeSet<Partition> {
        let machines = || group.m.keys().filter_map(|id| self.machines.get(id));
        let mut partitions: BTreeSet<Partition> = machines().flat_map(|m| self.partitions_on(m)).collect();
        if !machines().all(|m| m.confirmed || m.gone) {
            partitions.extend(&group.also_holds);
        }
        partitions.remove(&group.part);
        partitions.retain(|p| group.also_holds.contains(p));
        partitions
    }

    /// The roster says anew which other partitions' tasks may be on a machine.
    pub(crate) fn set_also_holds(&mut self, id: &MachineId, also_holds: &BTreeSet<Partition>) {
        if let Some(m) = self.machines.get_mut(id) {
            m.also_holds.clone_from(also_holds);
            m.unaccounted.retain(|p| also_holds.contains(p));
        }
    }

    /// Takes from a machine that changes hands the tasks of partitions that this controller still owns; the others
    /// are no concern of its any more.
    pub(crate) fn take_carried_tasks(&mut self, id: &MachineId) -> CarriedTasks {
        let Some(m) = self.machines.get_mut(id) else {
            return CarriedTasks::default();
        };
        let mut carried = CarriedTasks {
            held: Vec::new(),
            unaccounted: std::mem::take(&mut m.unaccounted),
        };
        let (settings, tenures) = (&self.settings, &self.tenures);
        let own = |held: &Held| {
            let partition = settings.partition_of_team(&held.team);
            partition.is_some_and(|p| tenures.contains_key(&p))
        };
        (carried.held, m.held) = std::mem::take(&mut m.held).into_iter().partition(own);
        self.release_all(id, "it was handed to another partition");
        carried
    }

    /// A partition's tenure has begun or ended here: what its tasks do on other partitions' machines is to be
    /// found out anew, or no concern of this controller's any more.
    pub(super) fn reset_shared_machines(&mut self, partition: Partition) {
        let tenured = self.tenures.contains_key(&partition);
        let mut placed: Vec<(TaskId, MachineId)> = Vec::new();
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.partition != partition) {
            let (settings, tenures) = (&self.settings, &self.tenures);
            let of_partition = |h: &Held| settings.partition_of_team(&h.team) == Some(partition);
            if tenures.contains_key(&m.partition) {
                // The machine is this controller's, and so are the reports of what is on it.
                let here = m.held.iter().filter(|h| tenured && of_partition(h));
                placed.extend(here.map(|h| (h.task.clone(), id.clone())));
            } else {
                m.held.retain(|h| !of_partition(h));
            }
            if tenured && m.also_holds.contains(&partition) {
                m.unaccounted.insert(partition);
            } else {
                m.unaccounted.remove(&partition);
            }
        }
        for (task, machine) in placed {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.placed.entry(task.index).or_default().push(machine);
            }
        }
    }

    /// Whether a machine may change hands as it is: all that it holds runs, no command for it is under way, and
    /// it holds no gang's task, whose gang stops as a whole.
    ///
    /// A pinned start that has not been seen keeps its task in a state that is not settled. One that has been seen is listed
    /// by the worker, where a late copy has no effect, and the next owner has no ended attempt of another partition
    /// forgotten for three workers' leases (`orders_for`). So `pins` decides nothing that these two conditions do not,
    /// and no test can tell; it is asked all the same, for what may be told of a machine later.
    pub(crate) fn may_go_occupied(&self, machine: &Machine) -> bool {
        let settled = |h: &Held| {
            let runs = matches!(h.state, HeldState::Seen(TaskState::Fetching | TaskState::Running));
            let job = self.jobs.get(&h.task.job);
            runs && h.stop.is_none() && job.is_some_and(|j| j.spec.shape != Shape::Gang)
        };
        machine.pins.is_empty()
            && machine.commanding.is_none()
            && machine.unaccounted.is_empty()
            && machine.usable(self.now.ms, 2 * self.settings.report_ms())
            && machine.held.iter().all(settled)
    }

    /// Asks workers of other partitions' machines what has become of this controller's tasks there, and hands on
    /// machines that their partition has no use for any more.
    pub(crate) fn tick_shared_machines(&mut self) {
        if !self.entitled() || !self.any_shared_machine() {
            return;
        }
        self.poll_shared_machines();
        self.return_shared_machines();
    }

    fn poll_shared_machines(&mut self) {
        let now = self.now.ms;
        let every = self.settings.report_ms() / 2;
        let acting = self.acting_partitions();
        let foreign = |m: &Machine| !acting.contains(&m.partition) && m.up() && !m.gone;
        let due = |m: &Machine| !m.probing && now >= m.probe_at && !(m.held.is_empty() && m.unaccounted.is_empty());
        let machines: Vec<(MachineId, String)> = self
            .machines
            .iter_mut()
            .filter(|(_, m)| foreign(m) && due(m))
            .map(|(id, m)| {
                m.probing = true;
                m.probe_at = now + every;
                (id.clone(), m.addr.clone())
            })
            .collect();
        for (machine, address) in machines {
            let purpose = Purpose::Probe { machine, sent: now };
            let target = Target::Worker(address);
            self.call(target, Method::Get, "/status", String::new(), every, purpose);
        }
    }

    /// Takes in what a worker says of this controller's tasks on another partition's machine. The machine's
    /// other tasks are its owner's concern.
    pub(super) fn take_shared_report(&mut self, report: &Report) {
        let id = &report.machine;
        let Some(m) = self.machines.get_mut(id) else { return };
        let key = (report.session, report.seq);
        if key <= m.last || m.gone {
            return;
        }
        m.last = key;
        m.reported = Some(self.now.ms);
        m.token = report.epoch;
        for partition in self.acting_partitions() {
            // As after any take-over, a report counts once its worker has seen the token of the tenure.
            let tenure = self.acting(partition);
            if tenure.is_some_and(|tenure| report.epoch >= tenure.since) {
                self.take_shared_tasks(partition, report);
            }
        }
    }

    fn take_shared_tasks(&mut self, partition: Partition, report: &Report) {
        let id = &report.machine;
        let mut listed: BTreeSet<(TaskId, Attempt)> = BTreeSet::new();
        for reported in &report.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                continue;
            };
            if self.partition_of_job(&task) != Some(partition) {
                continue;
            }
            listed.insert((task.clone(), reported.attempt));
            if reported.state == TaskState::Exited {
                let ended = self.release_ended(id, &task, reported.attempt);
                let why = reported.why.as_deref().unwrap_or("");
                // An ended attempt stays in the reports for long: it fails once.
                if why != "error" || ended.is_some() {
                    let began = ended.and_then(|held| held.running_since);
                    self.note_end(id, &task, reported.attempt, why, began);
                }
            } else {
                self.see(id, task, reported.attempt, reported.state);
            }
        }
        self.release_unlisted(id, partition, &listed);
        if let Some(m) = self.machines.get_mut(id)
            && m.unaccounted.remove(&partition)
        {
            self.want_batch();
        }
    }

    fn partition_of_job(&self, task: &TaskId) -> Option<Partition> {
        if let Some(job) = self.jobs.get(&task.job) {
            return Some(job.partition);
        }
        let over = self.over.get(&task.job)?;
        self.settings.partition_of_team(&over.team)
    }

    /// Releases an attempt that has exited, and returns what was known of it if it was still held.
    fn release_ended(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) -> Option<Held> {
        let machine = self.machines.get(id)?;
        let mut held = machine.held.iter();
        let ended = held.find(|h| h.task == *task && h.attempt == attempt)?.clone();
        self.release(id, task, attempt);
        Some(ended)
    }

    /// Releases what a newer report of the machine does not list. All of it was listed before the machine
    /// changed hands, so none is still on its way there.
    fn release_unlisted(&mut self, id: &MachineId, partition: Partition, listed: &BTreeSet<(TaskId, Attempt)>) {
        let Some(m) = self.machines.get(id) else { return };
        let gone: Vec<(TaskId, Attempt)> = m
            .held
            .iter()
            .filter(|h| self.settings.partition_of_team(&h.team) == Some(partition))
            .map(|h| (h.task.clone(), h.attempt))
            .filter(|attempt| !listed.contains(attempt))
            .collect();
        for (task, attempt) in gone {
            self.release(id, &task, attempt);
        }
    }

    /// Machines on which only one other partition's tasks are left go back to that partition, which can then
    /// empty and return them; where none are left, the roster is told so.
    fn return_shared_machines(&mut self) {
        let now = self.now.ms;
        let patience = self.settings.worker_lease_ms();
        let acting = self.acting_partitions();
        let mut returned: Vec<(MachineId, Partition)> = Vec::new();
        let mut cleared: Vec<MachineId> = Vec::new();
        for (id, m) in &self.machines {
            if m.also_holds.is_empty() || !acting.contains(&m.partition) || !m.confirmed || m.gone {
                continue;
            }
            let on_it = self.partitions_on(m);
            if on_it.iter().all(|p| *p == m.partition) {
                cleared.push(id.clone());
                continue;
            }
            let since = m.only_others_since;
            let long = since.is_some_and(|t| now.saturating_sub(t) > patience);
            if let Some(to) = on_it
                .first()
                .filter(|_| long && on_it.len() == 1 && self.may_go_occupied(m))
            {
                returned.push((id.clone(), *to));
            }
        }
        for id in cleared {
            self.group_due(&id, now + self.settings.report_ms());
        }
        for (id, to) in returned {
            self.log(
                Level::Info,
                format!("{id} goes to partition {to}, whose tasks alone are on it"),
            );
            self.hand_over(&id, to);
        }
        self.note_only_others();
    }

    /// Notes since when machines hold nothing but tasks of other partitions.
    fn note_only_others(&mut self) {
        let now = self.now.ms;
        let settings = &self.settings;
        for m in self.machines.values_mut().filter(|m| !m.also_holds.is_empty()) {
            let partition = m.partition;
            let other = |h: &Held| settings.partition_of_team(&h.team).is_some_and(|p| p != partition);
            if !m.held.is_empty() && m.held.iter().all(other) {
                m.only_others_since.get_or_insert(now);
            } else {
                m.only_others_since = None;
            }
        }
    }
}
