//! The state of [`Members`] and its public methods.

use super::change::{Change, Counts, MembersError, Output};
use super::freshness::Freshness;
use super::member_id::MemberId;
use super::name_claim::NameClaim;
use super::outbox::Outbox;
use super::probe_retry::ProbeRetry;
use super::rows::Row;
use super::rows::Rows;
use super::timers::Timers;
use super::tuning::Tuning;
use crate::Micros;
use crate::name::{Life, Name, Peer, Standing, Start};
use foca::{Foca, NoCustomBroadcast, PostcardCodec};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub(super) type Swim = Foca<MemberId, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// The delay after a link comes up before work that waited for a link is done.
const LINK_UP_DELAY: Micros = 100_000;

/// The members of the installation as one of them sees them.
pub struct Members {
    pub(super) own: usize,
    pub(super) life: Life,
    pub(super) tuning: Tuning,
    pub(super) swim: Swim,
    pub(super) rows: Rows,
    pub(super) timers: Timers,
    pub(super) probe_retry: Option<ProbeRetry>,
    pub(super) out: Outbox,
    pub(super) rng: SmallRng,
    pub(super) fresh: Freshness,
    pub(super) claim: Option<NameClaim>,
    pub(super) has_left: bool,
    /// The time of the last message from any member.
    pub(super) last_received: Micros,
    pub(super) last: Micros,
    pub(super) next_greeting: Micros,
}

impl Members {
    /// Returns the state of a process that has just started. `peers` lists all members of the settings,
    /// including this one; their indices identify them below. `seed` must differ between any two processes,
    /// including two with the same name.
    ///
    /// # Errors
    /// Fails when the settings contradict themselves.
    pub fn new(
        now: Micros,
        own: Life,
        peers: &[Peer],
        seed: u64,
        tuning: Tuning,
    ) -> Result<Self, MembersError> {
        let rows = Rows::new(now, peers)?;
        let index = rows.index_of_name(&own.name).ok_or_else(|| MembersError::NotListed(own.name.clone()))?;
        let mut rng = SmallRng::seed_from_u64(seed);
        let who = MemberId::new(&own, rng.random());
        let swim = Foca::new(who, tuning.config(), SmallRng::from_rng(&mut rng), PostcardCodec);
        let fresh = Freshness::begin(now, rng.random());
        Ok(Members {
            own: index,
            life: own,
            swim,
            rows,
            timers: Timers::default(),
            probe_retry: None,
            out: Outbox::default(),
            rng,
            fresh,
            claim: None,
            has_left: false,
            last_received: now,
            last: now,
            next_greeting: now.saturating_add(tuning.greet_interval),
            tuning,
        })
    }

    /// Handles a message from a peer.
    pub fn receive(&mut self, now: Micros, from: usize, bytes: &[u8]) {
        let now = self.advance_clock(now);
        if !self.has_left {
            self.out.counts.received += 1;
            self.handle_packet(now, from, bytes);
        }
        self.run_timers(now);
    }

    /// Handles the passing of time. Call it at [`Members::wake`] or at any time.
    pub fn tick(&mut self, now: Micros) {
        let now = self.advance_clock(now);
        self.run_timers(now);
    }

    /// Records whether the link to a peer is up.
    pub fn link(&mut self, now: Micros, peer: usize, is_up: bool) {
        let now = self.advance_clock(now);
        if let Some(row) = self.rows.all.get_mut(peer) {
            row.linked = is_up && peer != self.own;
            if row.linked && self.fresh.stale() {
                self.fresh.advance(now.saturating_add(LINK_UP_DELAY));
            } else if row.linked && row.standing == Standing::Dead {
                // Links often come up many at a time, so the greeting is delayed a little.
                self.next_greeting = self.next_greeting.min(now.saturating_add(LINK_UP_DELAY));
            }
        }
        self.run_timers(now);
    }

    /// Leaves the installation; the other members are informed and need not detect it.
    pub fn leave(&mut self, now: Micros) {
        let now = self.advance_clock(now);
        if !self.has_left && self.claim.is_none() {
            self.with_swim(now, |swim, port| swim.leave_cluster(port));
        }
        self.has_left = true;
        (self.timers, self.probe_retry) = (Timers::default(), None);
    }

    /// Continues as a later life of the same process, after [`Change::Behind`].
    ///
    /// # Errors
    /// Fails unless the start is greater than the own one and every one that was seen.
    pub fn continue_as(&mut self, now: Micros, start: Start) -> Result<(), MembersError> {
        let now = self.advance_clock(now);
        if start <= self.life.start || self.claim.as_ref().is_some_and(|c| start <= c.who.start) {
            return Err(MembersError::NotAbove(start));
        }
        self.life.start = start;
        self.claim = None;
        (self.timers, self.probe_retry) = (Timers::default(), None);
        let who = MemberId::new(&self.life, self.rng.random());
        self.swim = Foca::new(who, self.tuning.config(), SmallRng::from_rng(&mut self.rng), PostcardCodec);
        let known: Vec<_> = self.rows.all.iter().filter_map(|row| row.known.clone()).collect();
        self.with_swim(now, |swim, port| swim.apply_many(known.into_iter(), false, port));
        self.become_stale(now);
        Ok(())
    }

    /// Returns the next output, or `None`. Call it after each of the methods above until it returns `None`.
    pub fn next_output(&mut self) -> Option<Output> {
        if let Some((to, bytes)) = self.out.sends.pop_front() {
            return Some(Output::Send(to, bytes));
        }
        if let Some(change) = self.out.changes.pop_front() {
            return Some(Output::Change(change));
        }
        while let Some(peer) = self.rows.next_changed() {
            if let Some(Row { life: Some(life), standing, since, .. }) = self.rows.all.get(peer) {
                let change =
                    Change::Standing { peer, life: life.clone(), standing: *standing, since: *since };
                return Some(Output::Change(change));
            }
        }
        None
    }

    /// Returns the time at which [`Members::tick`] is due. It is never later than [`Tuning::greet_interval`]
    /// after the last call, so that a longer gap is a pause.
    pub fn wake(&self) -> Micros {
        let due = self.timers.next().unwrap_or(Micros::MAX).min(self.next_greeting);
        let due = self.probe_retry_at().unwrap_or(Micros::MAX).min(due);
        self.fresh.due().map_or(due, |ask| ask.min(due)).max(self.last)
    }

    /// Returns the own life.
    pub fn life(&self) -> &Life {
        &self.life
    }

    /// Returns the own index in the settings.
    pub fn own(&self) -> usize {
        self.own
    }

    /// Returns the believed state of a member, or `None` if the settings don't list it. The row of this
    /// member itself holds only what other members have to know.
    pub fn standing(&self, name: &Name) -> Option<&Row> {
        self.rows.index_of_name(name).and_then(|index| self.rows.all.get(index))
    }

    /// Returns all members of the settings in their order, including this one.
    pub fn rows(&self) -> &[Row] {
        &self.rows.all
    }

    /// Returns whether the view must not be acted on: it dates from before a pause, or nothing was received
    /// since the start, or another process holds the name. It becomes fresh when a member answers a request
    /// made after that.
    pub fn stale(&self) -> bool {
        self.fresh.stale()
    }

    /// Returns the opposite of [`Members::stale`].
    pub fn awake(&self) -> bool {
        !self.stale()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.out.counts
    }
}
