//! Runs `foca`'s timers, and the periodic work beside them: greeting members that are thought dead, and
//! notifying suspects.

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

/// A tick that is late by no more than this is normal on a busy machine. After a longer delay, deadlines for
/// other members are extended by the lost time.
const MAX_TICK_LATENESS: Micros = 50_000;
/// The delay before news of a death is gossiped, so that several deaths are reported together: half of the
/// members may die at once.
const DEATH_GOSSIP_DELAY: Micros = 10_000;

impl Members {
    /// Advances the clock. While this process didn't run, nobody could answer, gossip or be probed: that time
    /// doesn't count against other members, and after a long pause the view becomes stale.
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
                // When this timer fires, `foca` tells the member that it is dead even if the member has
                // refuted the suspicion, and it would renew its identity for nothing.
                if !self.rows.suspected(member_id, *incarnation) {
                    continue;
                }
                if self.fresh.stale() {
                    // A death must not be declared on the basis of a stale view.
                    self.timers.add(now.saturating_add(self.tuning.suspicion), timer);
                    continue;
                }
            }
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer
                && now - self.last_received > self.tuning.suspicion
            {
                // No message arrived from anybody: either all others are gone, or this member is cut off,
                // perhaps in one direction only. The death isn't announced, because the announcement would
                // make all members renew their identities.
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
        if self.has_left {
            self.next_greeting = now.saturating_add(self.tuning.greet_interval);
            return;
        }
        if self.next_greeting <= now {
            self.next_greeting = now.saturating_add(self.tuning.greet_interval);
            self.greet_dead(now);
        }
        self.request_views(now);
    }

    /// Runs an operation of `foca`.
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
            // After a renewal, `foca` is unconnected until it next receives a message, and silent if no
            // member has learnt of the renewal. This call connects it.
            let again = swim.apply_many(std::iter::empty(), false, FocaRuntime { now, rows, timers, out });
            out.counts.refused += u64::from(again.is_err());
        }
    }

    /// Copies `foca`'s state of the members to the rows.
    pub(super) fn sync_rows(&mut self, now: Micros) {
        let mut died = false;
        for member in self.swim.iter_membership_state() {
            if let Some(index) = self.rows.index(member.id().key).filter(|index| *index != self.own) {
                died |= self.rows.update(now, index, member);
            }
        }
        if died {
            // A death is gossiped at once and not with the next round: with a hundred members all of them
            // know of it half a second sooner.
            self.timers.advance(now.saturating_add(DEATH_GOSSIP_DELAY));
        }
    }

    /// Notifies the members that this one suspects. Otherwise their refutation would arrive only by gossip,
    /// which is late for some at 10% loss.
    fn notify_suspects(&mut self) {
        let from = *self.swim.identity();
        // The rows are used because a suspicion adopted from another member's view has no timer here, and
        // would never end.
        for index in 0..self.rows.all.len() {
            let known = self.rows.all.get(index).and_then(|row| row.known.clone());
            if let Some(about) = known.filter(|m| m.state() == State::Suspect)
                && let Some(bytes) = (Extension::Suspicion { from, about }).encode()
            {
                self.out.send(&self.rows, index, bytes);
            }
        }
    }

    /// Greets some members whose link is up and that are thought dead or were never heard from. Otherwise the
    /// two sides of a network partition would ignore each other for good after it ends.
    fn greet_dead(&mut self, now: Micros) {
        if self.claim.is_some() {
            return;
        }
        for index in self.pick_linked(self.tuning.greet_count, |row| row.standing == Standing::Dead) {
            let Some(row) = self.rows.all.get(index) else { continue };
            let to = match (&row.known, self.rows.key(index)) {
                (Some(known), _) => *known.id(),
                (None, Some(key)) => MemberId::unknown(key),
                (None, None) => continue,
            };
            self.with_swim(now, |swim, port| swim.announce(to, port));
        }
    }

    /// Picks some random members whose link is up.
    pub(super) fn pick_linked(&mut self, most: usize, wanted: impl Fn(&Row) -> bool) -> Vec<usize> {
        let count = self.rows.all.len();
        let first = self.rng.random_range(0..count.max(1));
        let order = (first..count).chain(0..first);
        let fits = |index: &usize| self.rows.all.get(*index).is_some_and(|row| row.linked && wanted(row));
        order.filter(fits).take(most).collect()
    }

    /// Returns `foca`'s entries for the other members, as they are sent in a view.
    pub(super) fn state(&self) -> Vec<Member<MemberId>> {
        let own = self.swim.identity().key;
        let members = self.swim.iter_membership_state().filter(|member| member.id().key != own);
        members.take(MAX_MEMBERS).cloned().collect()
    }
}
