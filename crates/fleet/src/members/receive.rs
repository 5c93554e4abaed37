//! Filters received messages before `foca` handles them: only names of the settings, only in the name of the
//! link's peer, and nothing that would make `foca` compete with another process for a name.

use super::change::Change;
use super::member_id::MemberId;
use super::state::Members;
use super::wire::{self, Extension, Packet, Swim};
use crate::Micros;
use crate::name::Life;
use foca::{Identity, Incarnation, Member, State};

impl Members {
    /// Handles a message from the peer at `index`.
    pub(super) fn handle_packet(&mut self, now: Micros, index: usize, bytes: &[u8]) {
        let Some(packet) = wire::read(bytes) else {
            self.out.counts.undecoded += 1;
            return;
        };
        let from = match &packet {
            Packet::Swim(swim) => swim.header.src,
            Packet::Extension(note) => note.from(),
        };
        if index == self.own || self.rows.key(index) != Some(from.key) {
            self.out.counts.misrouted += 1;
            return;
        }
        let known = self.rows.all.get(index).and_then(|row| row.known.as_ref());
        let replaced = known.is_some_and(|known| from.precedence() < known.id().precedence());
        if replaced {
            self.note_rival(now, index, from);
        } else {
            self.last_received = now;
        }
        match packet {
            Packet::Extension(Extension::ViewRequest { nonce, .. }) => {
                self.answer_view_request(now, index, from, nonce, replaced)
            }
            _ if replaced => {}
            Packet::Swim(swim) => self.swim(now, index, &swim),
            Packet::Extension(note) => self.note(now, index, note),
        }
    }

    /// Handles a packet of `foca`. The names in an indirect probe need not be listed in the settings: `foca`
    /// doesn't keep them, and a member that refused the probe would make the sender take a new member, which
    /// these settings don't list yet, for dead.
    fn swim(&mut self, now: Micros, index: usize, swim: &Swim<'_>) {
        let own = *self.swim.identity();
        if swim.header.dst.key != own.key {
            self.out.counts.misrouted += 1;
            return;
        }
        if self.loses_name_to(&swim.header.dst) {
            // The packet is for another process under our name, which is alive or not yet known to be dead.
            // Its sender can tell.
            let ask = Extension::ViewRequest { from: own, nonce: 0 };
            if let Some(bytes) = ask.encode().filter(|_| self.claim.is_none()) {
                self.out.send(&self.rows, index, bytes);
            }
            return;
        }
        for (member, _) in &swim.updates {
            if member.id().key == own.key && self.loses_name_to(member.id()) {
                self.name_claimed(now, member);
            }
        }
        if self.claim.is_some() {
            return;
        }
        self.settle_probe(index, &swim.header.message);
        let known = self.rows.all.get(index).and_then(|row| row.known.as_ref());
        let sender = known
            .is_none_or(|m| *m.id() != swim.header.src || m.incarnation() != swim.header.src_incarnation);
        let listed = |m: &Member<MemberId>| self.rows.index(m.id().key).is_some();
        let unknown = u64::from(!swim.updates.iter().all(|(m, _)| listed(m)));
        // Gossip repeats each update about ten times, and `foca` goes through all members for each update, so
        // known updates are removed.
        let bytes = swim.with_updates(|m| self.is_allowed(m) && self.is_news(m));
        let changed = sender || bytes.len() > swim.len_without_updates();
        self.out.counts.unknown += unknown;
        self.with_swim(now, |foca, port| foca.handle_data(&bytes, port));
        if changed {
            self.sync_rows(now);
        }
    }

    /// Returns whether an update could change `foca`'s state, which the rows mirror.
    fn is_news(&self, update: &Member<MemberId>) -> bool {
        let row = self.rows.index(update.id().key).and_then(|index| self.rows.all.get(index));
        let Some(known) = row.and_then(|row| row.known.as_ref()) else { return true };
        let newer = update.incarnation() > known.incarnation();
        if known.id() != update.id() {
            return update.id().win_addr_conflict(known.id());
        }
        match (known.state(), update.state()) {
            (State::Down, _) => false,
            (_, State::Down) => true,
            (State::Alive, State::Suspect) => newer || update.incarnation() == known.incarnation(),
            _ => newer,
        }
    }

    /// Returns whether `foca` may see an entry. `foca` keeps every identity that it learns of, and declares
    /// any other identity under its own name dead.
    fn is_allowed(&self, member: &Member<MemberId>) -> bool {
        let (own, who) = (self.swim.identity(), member.id());
        let later = (who.precedence(), who.renewals) > (own.precedence(), own.renewals);
        self.rows.index(who.key).is_some() && !(who.key == own.key && later)
    }

    fn answer_view_request(&mut self, now: Micros, index: usize, from: MemberId, nonce: u64, replaced: bool) {
        let own = *self.swim.identity();
        if self.claim.is_some() {
            return;
        }
        if !replaced {
            let here = std::iter::once(Member::alive(from));
            self.with_swim(now, |swim, port| swim.apply_many(here, true, port));
            self.sync_rows(now);
        }
        let view = Extension::View { from: own, nonce, fresh: !self.fresh.stale(), members: self.state() };
        if let Some(bytes) = view.encode() {
            self.out.send(&self.rows, index, bytes);
        }
    }

    fn note(&mut self, now: Micros, index: usize, note: Extension) {
        let own = *self.swim.identity();
        match note {
            Extension::Suspicion { .. } | Extension::AliveReply { .. } if self.claim.is_some() => return,
            // Handled by the caller.
            Extension::ViewRequest { .. } => {}
            Extension::View { from, nonce, fresh, members } => {
                match members.iter().find(|m| m.id().key == own.key && self.loses_name_to(m.id())) {
                    Some(other) => self.name_claimed(now, &other.clone()),
                    None => self.name_not_claimed(now),
                }
                if self.claim.is_some() {
                    return;
                }
                let (members, rest): (Vec<_>, Vec<_>) = members.into_iter().partition(|m| self.is_allowed(m));
                self.out.counts.unknown += u64::from(!rest.is_empty());
                self.handle_view(now, nonce, from, fresh, members);
            }
            Extension::Suspicion { about, .. } => {
                if *about.id() != own {
                    // It concerns an identity before the last renewal, or another life.
                    return;
                }
                let (state, incarnation) = (about.state(), about.incarnation());
                self.with_swim(now, |swim, port| swim.apply_many(std::iter::once(about), true, port));
                if state == State::Suspect && incarnation < Incarnation::MAX {
                    // `foca` has just raised its incarnation above the suspected one.
                    let here = Extension::AliveReply { from: own, incarnation: incarnation + 1 };
                    if let Some(bytes) = here.encode() {
                        self.out.send(&self.rows, index, bytes);
                    }
                }
            }
            Extension::AliveReply { from, incarnation } => {
                let here = std::iter::once(Member::new(from, incarnation, State::Alive));
                self.with_swim(now, |swim, port| swim.apply_many(here, true, port));
            }
            Extension::NameTaken { other, .. } => {
                if other.id().key != own.key {
                    self.out.counts.misrouted += 1;
                } else if self.loses_name_to(other.id()) {
                    self.name_claimed(now, &other);
                } else if other.id().precedence() < own.precedence() {
                    let name = self.life.name.clone();
                    self.out.change(Change::SharedName(Life { name, start: other.id().start }));
                }
            }
        }
        self.sync_rows(now);
    }
}
