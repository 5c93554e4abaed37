//! `foca`'s timers, bounded: it keeps one chain of each periodic kind, and one end of suspicion for each member.

use super::member_id::MemberId;
use crate::Micros;
use foca::Timer;

type Entry = (Micros, Timer<MemberId>);

/// What is due when.
#[derive(Default)]
pub(super) struct Timers {
    /// The latest of each kind: a new one means that the token has moved on, or that the old one has fired.
    indirect: Option<Entry>,
    probe: Option<Entry>,
    announce: Option<Entry>,
    gossip: Option<Entry>,
    /// Ends of suspicions raised here. One probe in a period can raise one, so there are few: suspicion / period.
    ends: Vec<Entry>,
}

impl Timers {
    pub fn add(&mut self, due: Micros, timer: Timer<MemberId>) {
        let slot = match &timer {
            Timer::SendIndirectProbe { .. } => &mut self.indirect,
            Timer::ProbeRandomMember(_) => &mut self.probe,
            Timer::PeriodicAnnounce(_) => &mut self.announce,
            Timer::PeriodicGossip(_) => &mut self.gossip,
            Timer::ChangeSuspectToDown { member_id, .. } => {
                // The same suspicion raised again keeps its first end; another one of the same member takes its place.
                let same = |old: &&mut Entry| matches!(&old.1, Timer::ChangeSuspectToDown { member_id: m, .. } if m.key == member_id.key);
                match self.ends.iter_mut().find(same) {
                    Some(old) if old.1 == timer => {}
                    Some(old) => *old = (due, timer),
                    None => self.ends.push((due, timer)),
                }
                return;
            }
            // Nobody who died is forgotten, see `Tuning::config`; members that are down are greeted by knocks.
            Timer::RemoveDown(_) | Timer::PeriodicAnnounceDown(_) => return,
        };
        *slot = Some((due, timer));
    }

    fn slots(&mut self) -> [&mut Option<Entry>; 4] {
        [&mut self.indirect, &mut self.probe, &mut self.announce, &mut self.gossip]
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        let slots = [&self.indirect, &self.probe, &self.announce, &self.gossip];
        slots.into_iter().flatten().chain(&self.ends).map(|(due, _)| *due).min()
    }

    /// Takes the first that is due.
    pub fn pop(&mut self, now: Micros) -> Option<Timer<MemberId>> {
        let due = self.next().filter(|due| *due <= now)?;
        for slot in self.slots() {
            if let Some((_, timer)) = slot.take_if(|(at, _)| *at == due) {
                return Some(timer);
            }
        }
        let at = self.ends.iter().position(|(at, _)| *at == due)?;
        Some(self.ends.swap_remove(at).1)
    }

    /// The next round of gossip comes by then.
    pub fn advance(&mut self, by: Micros) {
        if let Some((due, _)) = &mut self.gossip {
            *due = by.min(*due);
        }
    }

    /// The process did not run for so long: nobody had the time to answer that the clock says they had.
    pub fn shift(&mut self, by: Micros) {
        let slots = self.slots();
        slots.into_iter().flatten().for_each(|(due, _)| *due = due.saturating_add(by));
        self.ends.iter_mut().for_each(|(due, _)| *due = due.saturating_add(by));
    }

    /// No suspicion ends before then.
    pub fn postpone_suspicions(&mut self, until: Micros) {
        self.ends.iter_mut().for_each(|(due, _)| *due = until.max(*due));
    }
}
