//! Time, and what is done when it has passed: `foca`'s timers, knocks, word to those who are suspected.

use super::change::Change;
use super::freshness::Freshness;
use super::member_id::MemberId;
use super::outbox::FocaRuntime;
use super::rows::Row;
use super::state::{Members, Swim};
use super::wire::{Extension, MAX_MEMBERS};
use crate::Micros;
use crate::name::Standing;
use foca::{Member, State, Timer};
use rand::Rng;

/// Ticks this much late are lateness of a busy machine; more, and others are given the time that was lost here.
const MAX_TICK_LATENESS: Micros = 50_000;
/// News of a death waits so long for others of its kind: half of the members may die at once.
const DEATH_GOSSIP_DELAY: Micros = 10_000;

impl Members {
    /// Time goes on. Nobody answered, gossiped or probed while this process did not run: that time is not held against
    /// them, and after a long pause nothing that was believed is.
    pub(super) fn advance_clock(&mut self, now: Micros) -> Micros {
        let now = now.max(self.last);
        let late = now - self.wake().min(now);
        if late > MAX_TICK_LATENESS {
            self.timers.shift(late);
            if let Some(retry) = &mut self.probe_retry {
                retry.shift(late);
            }
        }
        if now - self.last > self.tuning.lease {
            self.out.counts.pauses += 1;
            self.timers.postpone_suspicions(now.saturating_add(self.tuning.suspicion));
            self.become_stale(now);
        }
        self.last = now;
        now
    }

    pub(super) fn become_stale(&mut self, now: Micros) {
        if !self.fresh.stale() {
            self.out.change(Change::Stale(true));
        }
        self.fresh = Freshness::begin(now, self.rng.random());
    }

    pub(super) fn run_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop(now) {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                // `foca` tells a member that it is dead when this fires, even if it has refuted by then, and it would renew
                // itself for nothing.
                if !self.rows.suspected(member_id, *incarnation) {
                    continue;
                }
                if self.fresh.stale() {
                    // To declare a death is to act on what is believed.
                    self.timers.add(now.saturating_add(self.tuning.suspicion), timer);
                    continue;
                }
            }
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer
                && now - self.last_received > self.tuning.suspicion
            {
                // Nobody at all was heard: either all are gone, or this member is the one that is cut off, perhaps deaf
                // only. So it tells nobody; its word would make all of them renew themselves.
                let dead = Member::new(member_id, incarnation, State::Down);
                self.with_swim(now, |swim, port| swim.apply_many(std::iter::once(dead), false, port));
                self.sync_rows(now);
                continue;
            }
            let probe = matches!(timer, Timer::ProbeRandomMember(_));
            let sync_rows = probe || matches!(timer, Timer::ChangeSuspectToDown { .. });
            let before = self.out.sends.len();
            self.with_swim(now, |swim, port| swim.handle_timer(timer, port));
            if probe {
                self.remember_probe(now, before);
            }
            if sync_rows {
                self.sync_rows(now);
            }
            if probe {
                self.notify_suspects();
            }
        }
        self.retry_probe(now);
        if self.left {
            self.next_greeting = now.saturating_add(self.tuning.knock);
            return;
        }
        if self.next_greeting <= now {
            self.next_greeting = now.saturating_add(self.tuning.knock);
            self.greet_dead(now);
        }
        self.request_views(now);
    }

    /// Lets `foca` act.
    pub(super) fn with_swim(
        &mut self,
        now: Micros,
        act: impl FnOnce(&mut Swim, FocaRuntime<'_>) -> Result<(), foca::Error>,
    ) {
        let Members { swim, rows, timers, out, .. } = self;
        let renewed = out.counts.renewed;
        if act(swim, FocaRuntime { now, rows, timers, out }).is_err() {
            out.counts.refused += 1;
        }
        if out.counts.renewed > renewed {
            // A renewal leaves `foca` unconnected until it next hears something, and silent if nobody heard of the
            // renewal: this connects it.
            let again = swim.apply_many(std::iter::empty(), false, FocaRuntime { now, rows, timers, out });
            out.counts.refused += u64::from(again.is_err());
        }
    }

    /// Takes over what `foca` holds.
    pub(super) fn sync_rows(&mut self, now: Micros) {
        let mut died = false;
        for member in self.swim.iter_membership_state() {
            if let Some(index) = self.rows.index(member.id().key).filter(|index| *index != self.own) {
                died |= self.rows.update(now, index, member);
            }
        }
        if died {
            // Whoever hears of a death says so at once, not with its next round: at a hundred members it is known to all half
            // a second sooner.
            self.timers.advance(now.saturating_add(DEATH_GOSSIP_DELAY));
        }
    }

    /// Tells those whom it suspects. Their answer would else come round by gossip, which at 10% loss is late for some.
    fn notify_suspects(&mut self) {
        let from = *self.swim.identity();
        // By the rows: a suspicion that was taken over from another's view has no timer here, and would last for ever.
        for index in 0..self.rows.all.len() {
            let known = self.rows.all.get(index).and_then(|row| row.known.clone());
            if let Some(about) = known.filter(|m| m.state() == State::Suspect)
                && let Some(bytes) = (Extension::Suspicion { from, about }).encode()
            {
                self.out.send(&self.rows, index, bytes);
            }
        }
    }

    /// Greets some whose link stands and who are thought dead, or were never heard of: after a cut, the two sides would
    /// else leave each other alone for good.
    fn greet_dead(&mut self, now: Micros) {
        if self.claim.is_some() {
            return;
        }
        for index in self.pick_linked(self.tuning.knocks, |row| row.standing == Standing::Dead) {
            let Some(row) = self.rows.all.get(index) else { continue };
            let to = match (&row.known, self.rows.key(index)) {
                (Some(known), _) => *known.id(),
                (None, Some(key)) => MemberId::unknown(key),
                (None, None) => continue,
            };
            self.with_swim(now, |swim, port| swim.announce(to, port));
        }
    }

    /// Some random members whose link stands.
    pub(super) fn pick_linked(&mut self, most: usize, wanted: impl Fn(&Row) -> bool) -> Vec<usize> {
        let count = self.rows.all.len();
        let first = self.rng.random_range(0..count.max(1));
        let order = (first..count).chain(0..first);
        let fits = |index: &usize| self.rows.all.get(*index).is_some_and(|row| row.linked && wanted(row));
        order.filter(fits).take(most).collect()
    }

    /// An entry of `foca`'s, as this member would tell it of another.
    pub(super) fn state(&self) -> Vec<Member<MemberId>> {
        let own = self.swim.identity().key;
        let members = self.swim.iter_membership_state().filter(|member| member.id().key != own);
        members.take(MAX_MEMBERS).cloned().collect()
    }
}
