//! Shared machines: machines that hold tasks of several partitions.
//!
//! A machine may be handed to another partition with the tasks that run on it, so that its free resources are used
//! where tasks are waiting. From then on only the new owner starts tasks there. The tasks that were already there
//! still belong to their own partition: it counts them against its team limits and zone rules, learns what becomes of
//! them by status requests to the worker, and alone marks them done or starts them again. The machine's owner keeps
//! them running, keeps their results, and stops those of jobs that have ended.
//!
//! The roster names the partitions whose tasks may be on a machine ([`GroupRecord::also_holds`]). This is written in
//! the transaction that hands the machine over, so that a new owner of such a partition accounts for the machine
//! before it starts older tasks.
//!
//! [`GroupRecord::also_holds`]: crate::roster::GroupRecord::also_holds

use super::{HeldTask, HeldTaskState, Machine};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, Partition, TaskId};
use crate::messages::{Level, Method, Target};
use crate::protocol::{Report, Shape, TaskState};
use crate::roster::GroupRecord;
use crate::settings::SHARED_MACHINES_LEVEL;
use std::collections::BTreeSet;

/// What a controller still knows about the tasks on a machine that is handed to another partition.
#[derive(Debug, Default)]
pub(crate) struct RetainedTasks {
    /// Tasks of partitions that this controller owns.
    held: Vec<HeldTask>,
    /// Partitions whose tasks on the machine are not known yet.
    unaccounted: BTreeSet<Partition>,
}

impl Machine {
    /// Restores what was known about the machine before it was handed over.
    pub(crate) fn restore_tasks(&mut self, retained: RetainedTasks) {
        self.held = retained.held;
        self.unaccounted_partitions = retained.unaccounted;
    }
}

impl Controller {
    /// Whether every member controller supports machines that hold tasks of several partitions.
    pub(crate) fn all_members_support_shared_machines(&self) -> bool {
        let mut members = self.membership.members.values();
        self.settings.features.shared_machines && members.all(|m| m.feature_level >= SHARED_MACHINES_LEVEL)
    }

    /// Whether machines may be handed over with their tasks: every controller of the deployment is a member and
    /// supports such machines. An absent controller might come back with a version that does not.
    pub(crate) fn can_hand_over_shared_machines(&self) -> bool {
        let members = &self.membership.members;
        let names = self.settings.names();
        let is_present = |name: &String| members.keys().any(|member| member.as_str() == name);
        self.all_members_support_shared_machines() && names.iter().all(is_present)
    }

    /// Whether any machine may hold tasks of a partition that does not own it.
    pub(crate) fn has_shared_machines(&self) -> bool {
        self.machines.values().any(|m| !m.also_holds.is_empty())
    }

    /// The partitions whose tasks are on a machine, including those whose results its worker still keeps.
    pub(crate) fn partitions_on(&self, machine: &Machine) -> BTreeSet<Partition> {
        let held = machine
            .held
            .iter()
            .filter_map(|h| self.settings.partition_of_team(&h.team));
        let ended = machine.ended.iter().filter_map(|(task, _, _)| self.jobs.get(&task.job));
        held.chain(ended.map(|job| job.partition)).collect()
    }

    /// The partitions other than the owner whose tasks may be on the machines of a group.
    pub(crate) fn partitions_beside_owner(&self, group: &GroupRecord) -> BTreeSet<Partition> {
        let machines = || group.machines.keys().filter_map(|id| self.machines.get(id));
        let mut partitions: BTreeSet<Partition> = machines().flat_map(|m| self.partitions_on(m)).collect();
        if !machines().all(|m| m.is_confirmed || m.is_deleted) {
            partitions.extend(&group.also_holds);
        }
        partitions.remove(&group.partition);
        partitions.retain(|p| group.also_holds.contains(p));
        partitions
    }

    /// Applies the roster's list of other partitions whose tasks may be on a machine.
    pub(crate) fn set_also_holds(&mut self, id: &MachineId, also_holds: &BTreeSet<Partition>) {
        if let Some(m) = self.machines.get_mut(id) {
            m.also_holds.clone_from(also_holds);
            m.unaccounted_partitions.retain(|p| also_holds.contains(p));
        }
    }

    /// Removes, from a machine that is handed over, the tasks of partitions that this controller still owns, and
    /// returns them. The other tasks are released, as this controller is no longer responsible for them.
    pub(crate) fn take_retained_tasks(&mut self, id: &MachineId) -> RetainedTasks {
        let Some(m) = self.machines.get_mut(id) else {
            return RetainedTasks::default();
        };
        let mut retained = RetainedTasks {
            held: Vec::new(),
            unaccounted: std::mem::take(&mut m.unaccounted_partitions),
        };
        let (settings, tenures) = (&self.settings, &self.tenures);
        let is_own = |held: &HeldTask| {
            let partition = settings.partition_of_team(&held.team);
            partition.is_some_and(|p| tenures.contains_key(&p))
        };
        (retained.held, m.held) = std::mem::take(&mut m.held).into_iter().partition(is_own);
        self.release_all_attempts(id, "it was handed to another partition");
        retained
    }

    /// Resets what is known about a partition's tasks on other partitions' machines, after its tenure has begun or
    /// ended here. At a beginning the tasks have to be found again; at an end this controller is no longer
    /// responsible for them.
    pub(super) fn reset_shared_machines(&mut self, partition: Partition) {
        let is_owned = self.tenures.contains_key(&partition);
        let mut placed: Vec<(TaskId, MachineId)> = Vec::new();
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.partition != partition) {
            let (settings, tenures) = (&self.settings, &self.tenures);
            let of_partition = |h: &HeldTask| settings.partition_of_team(&h.team) == Some(partition);
            if tenures.contains_key(&m.partition) {
                // This controller owns the machine and receives the reports on all its tasks.
                let held_here = m.held.iter().filter(|h| is_owned && of_partition(h));
                placed.extend(held_here.map(|h| (h.task.clone(), id.clone())));
            } else {
                m.held.retain(|h| !of_partition(h));
            }
            if is_owned && m.also_holds.contains(&partition) {
                m.unaccounted_partitions.insert(partition);
            } else {
                m.unaccounted_partitions.remove(&partition);
            }
        }
        for (task, machine) in placed {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.placed.entry(task.index).or_default().push(machine);
            }
        }
    }

    /// Whether a machine may be handed over with its tasks: all tasks that it holds are fetching their image or
    /// running and have not been told to stop, no command for it is pending, and it holds no task of a gang, because a
    /// gang stops as a whole.
    ///
    /// An unanswered start that has not been reported leaves its task in a state that is not settled. One that has
    /// been reported is listed by the worker, where a late copy of the command has no effect, and the next owner does
    /// not have an attempt that it found there forgotten before the epoch has risen (`keep_starts_of_previous_owner`).
    /// So the check of `unanswered_starts` is redundant at present. It stays as a safeguard in case what is known about
    /// a machine changes.
    pub(crate) fn can_hand_over_with_tasks(&self, machine: &Machine) -> bool {
        let is_settled = |h: &HeldTask| {
            let is_fetching_or_running = matches!(
                h.state,
                HeldTaskState::Reported(TaskState::Fetching | TaskState::Running)
            );
            let job = self.jobs.get(&h.task.job);
            is_fetching_or_running && h.stop.is_none() && job.is_some_and(|j| j.spec.shape != Shape::Gang)
        };
        machine.unanswered_starts.is_empty()
            && machine.pending_command.is_none()
            && machine.unaccounted_partitions.is_empty()
            && machine.is_usable(self.now.ms, 2 * self.settings.report_ms())
            && machine.lists_few_attempts()
            && machine.held.iter().all(is_settled)
    }

    /// Requests the status of this controller's tasks on other partitions' machines, and hands over machines that
    /// their own partition no longer uses.
    pub(crate) fn tick_shared_machines(&mut self) {
        if !self.is_entitled() || !self.has_shared_machines() {
            return;
        }
        self.poll_shared_machines();
        self.hand_back_shared_machines();
    }

    /// Sends status requests to the workers of other partitions' machines that hold or may hold this controller's
    /// tasks.
    fn poll_shared_machines(&mut self) {
        let now = self.now.ms;
        let interval_ms = self.settings.report_ms() / 2;
        let acting = self.active_partitions();
        let is_foreign = |m: &Machine| !acting.contains(&m.partition) && m.is_up() && !m.is_deleted;
        let is_due = |m: &Machine| {
            !m.probing && now >= m.next_probe_at && !(m.held.is_empty() && m.unaccounted_partitions.is_empty())
        };
        let machines: Vec<(MachineId, String)> = self
            .machines
            .iter_mut()
            .filter(|(_, m)| is_foreign(m) && is_due(m))
            .map(|(id, m)| {
                m.probing = true;
                m.next_probe_at = now + interval_ms;
                (id.clone(), m.addr.clone())
            })
            .collect();
        for (machine, address) in machines {
            let purpose = CallPurpose::ReadWorkerStatus { machine, sent: now };
            let target = Target::Worker(address);
            self.send_call(target, Method::Get, "/status", String::new(), interval_ms, purpose);
        }
    }

    /// Applies a report about this controller's tasks on another partition's machine. The machine's owner handles its
    /// other tasks.
    pub(super) fn accept_shared_report(&mut self, report: &Report) {
        let id = &report.machine;
        let Some(m) = self.machines.get_mut(id) else { return };
        let key = (report.session, report.seq);
        if key <= m.last_report_key || m.is_deleted {
            return;
        }
        m.last_report_key = key;
        m.last_report_at = Some(self.now.ms);
        m.seen_epoch = report.epoch;
        for partition in self.active_partitions() {
            // As after any takeover, a report counts once its worker has seen the epoch of the tenure.
            let tenure = self.active_tenure(partition);
            if tenure.is_some_and(|tenure| report.epoch >= tenure.since_epoch) {
                self.update_shared_tasks(partition, report);
            }
        }
    }

    /// Applies what a report says about one partition's tasks.
    fn update_shared_tasks(&mut self, partition: Partition, report: &Report) {
        let id = &report.machine;
        let mut listed: BTreeSet<(TaskId, Attempt)> = BTreeSet::new();
        for reported in &report.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                continue;
            };
            if self.partition_of_task(&task) != Some(partition) {
                continue;
            }
            listed.insert((task.clone(), reported.attempt));
            if reported.state == TaskState::Exited {
                let ended = self.release_exited_attempt(id, &task, reported.attempt);
                let why = reported.why.as_deref().unwrap_or("");
                // An ended attempt stays in many reports. Its failure is counted only once.
                if why != "error" || ended.is_some() {
                    let started_at = ended.and_then(|held| held.running_since);
                    self.handle_task_end(id, &task, reported.attempt, why, started_at);
                }
            } else {
                self.update_task(id, task, reported.attempt, reported.state);
            }
        }
        self.release_unlisted_attempts(id, partition, &listed);
        if let Some(m) = self.machines.get_mut(id)
            && m.unaccounted_partitions.remove(&partition)
        {
            self.schedule_batch();
        }
    }

    /// The partition of a task's job. None if the job is not known.
    fn partition_of_task(&self, task: &TaskId) -> Option<Partition> {
        if let Some(job) = self.jobs.get(&task.job) {
            return Some(job.partition);
        }
        let over = self.ended_jobs.get(&task.job)?;
        self.settings.partition_of_team(&over.team)
    }

    /// Releases an attempt that has exited. Returns what was known about it, if the machine still held it.
    fn release_exited_attempt(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt) -> Option<HeldTask> {
        let machine = self.machines.get(id)?;
        let mut held = machine.held.iter();
        let ended = held.find(|h| h.task == *task && h.attempt == attempt)?.clone();
        self.release_attempt(id, task, attempt);
        Some(ended)
    }

    /// Releases a partition's attempts that a newer report of the machine does not list. All of them were listed
    /// before the machine was handed over, so no start is still on its way.
    fn release_unlisted_attempts(
        &mut self,
        id: &MachineId,
        partition: Partition,
        listed: &BTreeSet<(TaskId, Attempt)>,
    ) {
        let Some(m) = self.machines.get(id) else { return };
        let missing: Vec<(TaskId, Attempt)> = m
            .held
            .iter()
            .filter(|h| self.settings.partition_of_team(&h.team) == Some(partition))
            .map(|h| (h.task.clone(), h.attempt))
            .filter(|attempt| !listed.contains(attempt))
            .collect();
        for (task, attempt) in missing {
            self.release_attempt(id, &task, attempt);
        }
    }

    /// Hands machines that hold only tasks of one other partition to that partition, which can then empty them and
    /// return them to the cloud. For machines that hold no tasks of other partitions, has the roster updated.
    fn hand_back_shared_machines(&mut self) {
        let now = self.now.ms;
        let wait_ms = self.settings.worker_lease_ms();
        let acting = self.active_partitions();
        let mut handed_back: Vec<(MachineId, Partition)> = Vec::new();
        let mut cleared: Vec<MachineId> = Vec::new();
        for (id, m) in &self.machines {
            if m.also_holds.is_empty() || !acting.contains(&m.partition) || !m.is_confirmed || m.is_deleted {
                continue;
            }
            let partitions = self.partitions_on(m);
            if partitions.iter().all(|p| *p == m.partition) {
                cleared.push(id.clone());
                continue;
            }
            let since = m.only_others_since;
            let has_waited = since.is_some_and(|t| now.saturating_sub(t) > wait_ms);
            if let Some(to) = partitions
                .first()
                .filter(|_| has_waited && partitions.len() == 1 && self.can_hand_over_with_tasks(m))
            {
                handed_back.push((id.clone(), *to));
            }
        }
        for id in cleared {
            self.schedule_group_write(&id, now + self.settings.report_ms());
        }
        for (id, to) in handed_back {
            self.log(
                Level::Info,
                format!("{id} goes to partition {to}, whose tasks alone are on it"),
            );
            self.hand_over(&id, to);
        }
        self.update_only_others_since();
    }

    /// Records since when machines have held only tasks of other partitions.
    fn update_only_others_since(&mut self) {
        let now = self.now.ms;
        let settings = &self.settings;
        for m in self.machines.values_mut().filter(|m| !m.also_holds.is_empty()) {
            let partition = m.partition;
            let is_of_other_partition =
                |h: &HeldTask| settings.partition_of_team(&h.team).is_some_and(|p| p != partition);
            if !m.held.is_empty() && m.held.iter().all(is_of_other_partition) {
                m.only_others_since.get_or_insert(now);
            } else {
                m.only_others_since = None;
            }
        }
    }
}
