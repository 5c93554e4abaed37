//! Handles two processes with the same name. The one with the greater start (then the greater nonce) holds
//! the name; the other stays silent, so that the two don't keep declaring each other dead. Start numbers are
//! never chosen here: a process whose number is too low is informed.

use super::change::Change;
use super::member_id::MemberId;
use super::name_claim::NameClaim;
use super::rows::Rival;
use super::state::Members;
use super::timers::Timers;
use super::wire::Extension;
use crate::Micros;
use crate::name::Life;
use foca::{Member, State};

/// The minimum time between two notifications of an earlier life.
const RIVAL_NOTICE_INTERVAL: Micros = 200_000;

impl Members {
    /// Returns whether an identity under the own name is another process, and takes precedence.
    pub(super) fn loses_name_to(&self, who: &MemberId) -> bool {
        who.precedence() > self.swim.identity().precedence()
    }

    /// Handles the news of a process that takes precedence under the own name.
    pub(super) fn name_claimed(&mut self, now: Micros, other: &Member<MemberId>) {
        let who = *other.id();
        if self.claim.as_ref().is_none_or(|c| c.who.precedence() < who.precedence()) {
            self.claim = Some(NameClaim {
                who,
                since: now,
                alive: now,
                conflict_reported: false,
                behind_reported: false,
            });
            (self.timers, self.probe_retry) = (Timers::default(), None);
            self.become_stale(now);
        }
        let Some(claim) = self.claim.as_mut().filter(|c| c.who.precedence() == who.precedence()) else {
            return;
        };
        if other.state() == State::Down {
            if !claim.behind_reported {
                claim.behind_reported = true;
                self.out.change(Change::Behind(who.start));
            }
            return;
        }
        claim.alive = now;
        claim.behind_reported = false;
        if !claim.conflict_reported && now - claim.since >= self.tuning.conflict_after {
            claim.conflict_reported = true;
            let name = self.life.name.clone();
            self.out.change(Change::SharedName(Life { name, start: who.start }));
        }
    }

    /// Handles an answer whose sender knows of no other process under the own name.
    pub(super) fn name_not_claimed(&mut self, now: Micros) {
        // The sender may not have learnt of the other process yet, and those that had may all be gone.
        let long = 2 * self.tuning.conflict_after;
        if let Some(claim) = self.claim.as_mut().filter(|c| !c.behind_reported && now - c.alive > long) {
            claim.behind_reported = true;
            self.out.change(Change::Behind(claim.who.start));
        }
    }

    /// Handles a message from an earlier life of a peer than the known one. Late messages of a replaced
    /// process are like that, and those of a process restored from an old disk. It is a conflict only if they
    /// continue while the later life is alive.
    pub(super) fn note_rival(&mut self, now: Micros, index: usize, who: MemberId) {
        let from = *self.swim.identity();
        let Some(row) = self.rows.all.get_mut(index) else { return };
        let Some(known) = row.known.clone() else { return };
        if row.rival.as_ref().is_none_or(|r| r.who.precedence() != who.precedence()) {
            row.rival = Some(Rival { who, since: now, last_notified: Micros::MIN, reported: false });
        }
        let Some(rival) = row.rival.as_mut() else { return };
        if known.state() == State::Down {
            rival.since = now;
        }
        let mut notes = Vec::new();
        if rival.last_notified.saturating_add(RIVAL_NOTICE_INTERVAL) <= now {
            rival.last_notified = now;
            notes.push(Extension::NameTaken { from, other: known });
        }
        if !rival.reported && now - rival.since >= self.tuning.conflict_after {
            rival.reported = true;
            self.out.change(Change::SharedName(Life { name: row.name.clone(), start: who.start }));
            notes.push(Extension::NameTaken { from, other: Member::alive(who) });
        }
        for bytes in notes.iter().filter_map(Extension::encode) {
            self.out.send(&self.rows, index, bytes);
        }
    }
}
