//! The faults of the simulation.

use super::{Event, Reporting, S, World};
use heronroute_fleet::Standing;
use rand::Rng;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The member executes no orders for a while.
    Stuck(usize),
    Unstuck(usize),
    /// A rule in the member's tables changes, under the same version.
    Alter(usize),
    /// The member applies a version that was not approved.
    Ahead(usize),
    /// The member sends and receives nothing.
    Silent(usize),
    EndSilence(usize),
    /// The rules of the member are altered, and it is alive but none of its reports arrives.
    LoseReports(usize),
    EndReportLoss(usize),
    Restart(usize),
    /// The member restarts from an old backup of its folder.
    RestoreOldDisk(usize),
    /// The member restarts with an empty folder.
    EmptyDisk(usize),
    /// The member can't apply one client's rules.
    CannotApply(usize),
    CanApply(usize),
    /// The member reports the desired state and applies nothing.
    ReportFalsely(usize),
    ReportHonestly(usize),
    /// The other keeper becomes the leader, with a snapshot of the former one if true.
    TakeOver(bool),
    /// The leader pauses, the other keeper takes over, and the first one resumes.
    Pause,
    Wake(usize),
}

impl World {
    pub fn fault(&mut self, fault: Fault) {
        let now = self.now;
        self.faults.push((now, fault.clone()));
        self.trace.push_str(&format!("{now} fault {fault:?}\n"));
        let client = format!("c{}", self.rng.random_range(0..self.desired.len()));
        match fault {
            Fault::Stuck(m) => self.members[m].stuck = true,
            Fault::Unstuck(m) => self.members[m].stuck = false,
            Fault::Alter(m) => {
                let version = self.members[m].live.get(&client).map_or(1, |set| set.0);
                let salt = self.rng.random_range(1..1000);
                self.members[m].apply(&client, (version, salt));
            }
            Fault::Ahead(m) => {
                let version = self.desired[&client].0 + 3;
                self.members[m].apply(&client, (version, 7));
            }
            Fault::Silent(m) => {
                self.members[m].silent = true;
                self.schedule(now + 2 * S, Event::Standing(m, self.members[m].start, Standing::Suspect));
                self.schedule(now + 8 * S, Event::Standing(m, self.members[m].start, Standing::Dead));
            }
            Fault::EndSilence(m) => {
                // A member that was declared dead returns as a new life, as foca (the membership protocol)
                // has it.
                self.members[m].silent = false;
                self.members[m].restart();
                self.schedule(now + S, Event::Standing(m, self.members[m].start, Standing::Alive));
            }
            Fault::LoseReports(m) => {
                self.members[m].reports_lost = true;
                self.members[m].apply(&client, (1, 77));
            }
            Fault::EndReportLoss(m) => self.members[m].reports_lost = false,
            Fault::Restart(m) => {
                self.members[m].restart();
                self.schedule(now + S, Event::Standing(m, self.members[m].start, Standing::Alive));
            }
            Fault::RestoreOldDisk(m) => {
                self.members[m].disk = self.members[m].backup.clone();
                self.members[m].restart();
                self.schedule(now + S, Event::Standing(m, self.members[m].start, Standing::Alive));
            }
            Fault::EmptyDisk(m) => {
                self.members[m].disk.clear();
                self.members[m].restart();
                self.schedule(now + S, Event::Standing(m, self.members[m].start, Standing::Alive));
            }
            Fault::CannotApply(m) => {
                self.members[m].cannot_apply = Some(client.clone());
                self.approve(&client, true);
            }
            Fault::CanApply(m) => self.members[m].cannot_apply = None,
            Fault::ReportFalsely(m) => {
                self.members[m].reporting = Reporting::PretendsDesired;
                self.members[m].live.clear();
                self.members[m].in_line = None;
            }
            Fault::ReportHonestly(m) => {
                // The false reports sent so far count for as long as any report.
                self.last_equal[m] = now;
                self.members[m].reporting = Reporting::Honest;
                self.members[m].live = self.members[m].disk.clone();
                self.members[m].in_line = None;
            }
            Fault::TakeOver(with_snapshot) => self.take_over(with_snapshot),
            Fault::Pause => {
                let paused = self.leader;
                self.keepers[paused].paused = true;
                self.schedule(now + 15 * S, Event::Fault(Fault::Wake(paused)));
                self.take_over(true);
            }
            Fault::Wake(keeper) => self.keepers[keeper].paused = false,
        }
    }

    /// Plans random faults until a time; lasting faults end by then.
    pub fn plan_faults(&mut self, from: usize, until: usize) {
        let count = self.rng.random_range(3..12);
        for _ in 0..count {
            let at = self.rng.random_range(from..until) as i64 * S;
            let end_at = (at + self.rng.random_range(5..60) * S).min(until as i64 * S);
            let m = self.rng.random_range(0..self.members.len());
            let (fault, end) = match self.rng.random_range(0..13) {
                0 => (Fault::Stuck(m), Some(Fault::Unstuck(m))),
                1 | 2 => (Fault::Alter(m), None),
                3 => (Fault::Ahead(m), None),
                4 => (Fault::Silent(m), Some(Fault::EndSilence(m))),
                5 => (Fault::Restart(m), None),
                6 => (Fault::RestoreOldDisk(m), None),
                7 => (Fault::EmptyDisk(m), None),
                8 => (Fault::CannotApply(m), Some(Fault::CanApply(m))),
                9 => (Fault::ReportFalsely(m), Some(Fault::ReportHonestly(m))),
                10 => (Fault::LoseReports(m), Some(Fault::EndReportLoss(m))),
                11 => (Fault::TakeOver(self.rng.random()), None),
                _ => (Fault::Pause, None),
            };
            self.schedule(at, Event::Fault(fault));
            if let Some(end) = end {
                self.schedule(end_at, Event::Fault(end));
            }
        }
    }
}
