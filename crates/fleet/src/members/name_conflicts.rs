//! Two processes that bear one name. The one with the greater start (then nonce) holds it; the other keeps still, so that
//! the two do not declare each other dead for ever. A start number is never made up here: one that is behind is told so.

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

/// An earlier life is told that it is one, this often at most.
const RIVAL_NOTICE_INTERVAL: Micros = 200_000;

impl Members {
    /// Whether an identity under the own name is another process that holds it.
    pub(super) fn loses_name_to(&self, who: &MemberId) -> bool {
        who.process() > self.swim.identity().process()
    }

    /// Heard of a process that holds the own name.
    pub(super) fn name_claimed(&mut self, now: Micros, other: &Member<MemberId>) {
        let who = *other.id();
        if self.claim.as_ref().is_none_or(|c| c.who.process() < who.process()) {
            self.claim = Some(NameClaim { who, since: now, alive: now, twin: false, behind: false });
            (self.timers, self.probe_retry) = (Timers::default(), None);
            self.become_stale(now);
        }
        let Some(claim) = self.claim.as_mut().filter(|c| c.who.process() == who.process()) else { return };
        if other.state() == State::Down {
            if !claim.behind {
                claim.behind = true;
                self.out.change(Change::Behind(who.start));
            }
            return;
        }
        claim.alive = now;
        claim.behind = false;
        if !claim.twin && now - claim.since >= self.tuning.twin {
            claim.twin = true;
            let name = self.life.name.clone();
            self.out.change(Change::Twin(Life { name, start: who.start }));
        }
    }

    /// Somebody answered and knew of no other process under the own name.
    pub(super) fn name_not_claimed(&mut self, now: Micros) {
        // One answer may come from a member that has not heard yet; those who had may all have gone.
        let long = 2 * self.tuning.twin;
        if let Some(claim) = self.claim.as_mut().filter(|c| !c.behind && now - c.alive > long) {
            claim.behind = true;
            self.out.change(Change::Behind(claim.who.start));
        }
    }

    /// A peer's message came from an earlier life than the one known. Late ones of a process that was replaced are like
    /// that, and those of one that came back with an old disk; only one that goes on while the later life lives is a twin.
    pub(super) fn note_rival(&mut self, now: Micros, index: usize, who: MemberId) {
        let from = *self.swim.identity();
        let Some(row) = self.rows.all.get_mut(index) else { return };
        let Some(known) = row.known.clone() else { return };
        if row.rival.as_ref().is_none_or(|r| r.who.process() != who.process()) {
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
        if !rival.reported && now - rival.since >= self.tuning.twin {
            rival.reported = true;
            self.out.change(Change::Twin(Life { name: row.name.clone(), start: who.start }));
            notes.push(Extension::NameTaken { from, other: Member::alive(who) });
        }
        for bytes in notes.iter().filter_map(Extension::encode) {
            self.out.send(&self.rows, index, bytes);
        }
    }
}
