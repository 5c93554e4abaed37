//! The leader's decision about which lives are taken over, and by which member.

use super::LeaseGranter;
use crate::Micros;
use crate::agreed::{Command, RegionLogState};
use crate::homes::Partners;
use crate::list::MAX_PLACES;
use heronroute_fleet::{Life, Name, Standing, Start};
use std::collections::BTreeMap;

/// The members that are considered dead, and since when. Every keeper tracks them, because it may become
/// the leader. Bounded by [`MAX_PLACES`]: further members are not recorded as dead.
#[derive(Clone, Debug, Default)]
pub struct DeadMembers {
    dead: BTreeMap<Name, (Start, Micros)>,
    next_check: Micros,
}

impl DeadMembers {
    /// Updates the standing of a member.
    pub fn standing(&mut self, now: Micros, life: &Life, standing: Standing) {
        if standing != Standing::Dead {
            self.dead.remove(&life.name);
        } else if self.dead.len() < MAX_PLACES || self.dead.contains_key(&life.name) {
            let since = self.dead.entry(life.name.clone()).or_insert((life.start, now));
            if since.0 < life.start {
                *since = (life.start, now);
            }
        }
    }

    /// Records that the log contains an entry of this life. The time of death of a newly started life
    /// counts from its own start, even if other members have not received anything from it yet.
    pub fn known(&mut self, now: Micros, life: &Life) {
        if let Some(since) = self.dead.get_mut(&life.name)
            && since.0 < life.start
        {
            *since = (life.start, now);
        }
    }

    /// Returns whether a member is considered dead.
    pub fn is_dead(&self, name: &Name) -> bool {
        self.dead.contains_key(name)
    }

    /// Returns the commands that the leader has to propose now: takeovers of members that have been dead
    /// long enough and can hold no lease, each by the first live member that has their copy. From here on,
    /// `giver` grants the lives in question no lease.
    pub fn due(
        &mut self,
        now: Micros,
        giver: &mut LeaseGranter,
        agreed: &RegionLogState,
        partners: &Partners,
    ) -> Vec<Command> {
        if now < self.next_check {
            return Vec::new();
        }
        let tuning = *giver.tuning();
        self.next_check = now.saturating_add(tuning.look);
        let Some(term) = giver.term() else { return Vec::new() };
        let mut out = Vec::new();
        for (of, by) in giver.undecided(agreed) {
            // The member that was to take over may no longer have the copy (found by seed 1748 of the
            // schedules test).
            let others = agreed.copies(&of.name).iter().chain(partners.all(&of.name));
            let by = std::iter::once(&by).chain(others).find(|by| agreed.is_valid_takeover(&of, by)).cloned();
            out.extend(by.map(|by| Command::TakeOver { term, of, by }));
        }
        for (name, (start, since)) in &self.dead {
            let start = agreed.newest(name).unwrap_or_default().max(*start);
            let of = Life { name: name.clone(), start };
            let dead_long_enough = since.saturating_add(tuning.dead_for) <= now;
            if !dead_long_enough || !giver.all_expired(now, name) || agreed.list().place(name).is_none() {
                continue;
            }
            // A lease granted in this term is the surest sign that a member is alive and connected.
            let is_alive = |by: &&Name| !self.dead.contains_key(*by) && giver.holds(now, by);
            if agreed
                .takeover(name)
                .is_some_and(|takeover| takeover.start >= start && (takeover.done || is_alive(&&takeover.by)))
            {
                continue;
            }
            let copies = agreed.copies(name);
            // If no copies were reported, the members that should keep one.
            let all: Vec<&Name> =
                if copies.is_empty() { partners.all(name) } else { copies.iter().collect() };
            let by = all.into_iter().find(is_alive).filter(|by| agreed.is_valid_takeover(&of, by)).cloned();
            if let Some(by) = by {
                giver.refuse(&of, &by);
                let command = Command::TakeOver { term, of, by };
                if !out.contains(&command) {
                    out.push(command);
                }
            }
        }
        out
    }

    /// Returns when the next examination is due if this member leads.
    pub fn wake(&self) -> Micros {
        self.next_check
    }
}
