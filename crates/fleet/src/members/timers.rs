//! `foca`'s timers, in bounded space: one of each periodic kind, and the end of one suspicion for each
//! member.

use super::member_id::MemberId;
use crate::Micros;
use foca::Timer;

type Entry = (Micros, Timer<MemberId>);

/// The pending timers.
#[derive(Default)]
pub(super) struct Timers {
    /// The latest timer of each kind. A new one means that the previous one has fired or has become invalid.
    indirect: Option<Entry>,
    probe: Option<Entry>,
    announce: Option<Entry>,
    gossip: Option<Entry>,
    /// The ends of suspicions raised by this member. Each probe period raises at most one, so there are about
    /// suspicion / period of them.
    suspicion_ends: Vec<Entry>,
}

impl Timers {
    pub fn add(&mut self, due: Micros, timer: Timer<MemberId>) {
        let slot = match &timer {
            Timer::SendIndirectProbe { .. } => &mut self.indirect,
            Timer::ProbeRandomMember(_) => &mut self.probe,
            Timer::PeriodicAnnounce(_) => &mut self.announce,
            Timer::PeriodicGossip(_) => &mut self.gossip,
            Timer::ChangeSuspectToDown { member_id, .. } => {
                // A suspicion that is raised again keeps its first end. Another suspicion of the same member
                // replaces it.
                let same = |old: &&mut Entry| matches!(&old.1, Timer::ChangeSuspectToDown { member_id: m, .. } if m.key == member_id.key);
                match self.suspicion_ends.iter_mut().find(same) {
                    Some(old) if old.1 == timer => {}
                    Some(old) => *old = (due, timer),
                    None => self.suspicion_ends.push((due, timer)),
                }
                return;
            }
            // Dead members aren't forgotten, see `Tuning::config`; `Members::greet_dead` greets them.
            Timer::RemoveDown(_) | Timer::PeriodicAnnounceDown(_) => return,
        };
        *slot = Some((due, timer));
    }

    fn slots(&mut self) -> [&mut Option<Entry>; 4] {
        [&mut self.indirect, &mut self.probe, &mut self.announce, &mut self.gossip]
    }

    /// Returns the time of the next timer.
    pub fn next(&self) -> Option<Micros> {
        let slots = [&self.indirect, &self.probe, &self.announce, &self.gossip];
        slots.into_iter().flatten().chain(&self.suspicion_ends).map(|(due, _)| *due).min()
    }

    /// Takes the first timer that is due.
    pub fn pop(&mut self, now: Micros) -> Option<Timer<MemberId>> {
        let due = self.next().filter(|due| *due <= now)?;
        for slot in self.slots() {
            if let Some((_, timer)) = slot.take_if(|(at, _)| *at == due) {
                return Some(timer);
            }
        }
        let at = self.suspicion_ends.iter().position(|(at, _)| *at == due)?;
        Some(self.suspicion_ends.swap_remove(at).1)
    }

    /// Moves the next round of gossip forward to this time.
    pub fn advance(&mut self, by: Micros) {
        if let Some((due, _)) = &mut self.gossip {
            *due = by.min(*due);
        }
    }

    /// Shifts all timers by the time for which the process didn't run: nobody could answer during it.
    pub fn shift(&mut self, by: Micros) {
        let slots = self.slots();
        slots.into_iter().flatten().for_each(|(due, _)| *due = due.saturating_add(by));
        self.suspicion_ends.iter_mut().for_each(|(due, _)| *due = due.saturating_add(by));
    }

    /// Postpones the ends of all suspicions to this time or later.
    pub fn postpone_suspicions(&mut self, until: Micros) {
        self.suspicion_ends.iter_mut().for_each(|(due, _)| *due = until.max(*due));
    }
}
