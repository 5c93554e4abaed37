//! What a member holds, and the calls from outside.

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

/// After a link came up, what waited for one is done this much later.
const LINK_UP_DELAY: Micros = 100_000;

/// The members, as one of them sees them.
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
    pub(super) left: bool,
    /// When anybody was last heard.
    pub(super) last_received: Micros,
    pub(super) last: Micros,
    pub(super) next_greeting: Micros,
}

impl Members {
    /// A process that has just started. `peers`: all members of the settings, itself too; their places are the indices
    /// used below. `seed` must differ from process to process, also between two that bear one name.
    ///
    /// # Errors
    /// Where the settings contradict themselves.
    pub fn new(
        now: Micros,
        own: Life,
        peers: &[Peer],
        seed: u64,
        tuning: Tuning,
    ) -> Result<Self, MembersError> {
        let rows = Rows::new(now, peers)?;
        let index = rows.named(&own.name).ok_or_else(|| MembersError::NotListed(own.name.clone()))?;
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
            left: false,
            last_received: now,
            last: now,
            next_greeting: now.saturating_add(tuning.knock),
            tuning,
        })
    }

    /// A message came from a peer.
    pub fn receive(&mut self, now: Micros, from: usize, bytes: &[u8]) {
        let now = self.advance_clock(now);
        if !self.left {
            self.out.counts.received += 1;
            self.handle_message(now, from, bytes);
        }
        self.run_timers(now);
    }

    /// Time has passed: call at [`Members::wake`], or any time.
    pub fn tick(&mut self, now: Micros) {
        let now = self.advance_clock(now);
        self.run_timers(now);
    }

    /// The link to a peer stands, or is gone.
    pub fn link(&mut self, now: Micros, peer: usize, stands: bool) {
        let now = self.advance_clock(now);
        if let Some(row) = self.rows.all.get_mut(peer) {
            row.linked = stands && peer != self.own;
            if row.linked && self.fresh.stale() {
                self.fresh.advance(now.saturating_add(LINK_UP_DELAY));
            } else if row.linked && row.standing == Standing::Dead {
                // Not at once: links often come up many at a time.
                self.next_greeting = self.next_greeting.min(now.saturating_add(LINK_UP_DELAY));
            }
        }
        self.run_timers(now);
    }

    /// Goes in good order: others need not find out.
    pub fn leave(&mut self, now: Micros) {
        let now = self.advance_clock(now);
        if !self.left && self.claim.is_none() {
            self.with_swim(now, |swim, port| swim.leave_cluster(port));
        }
        self.left = true;
        (self.timers, self.probe_retry) = (Timers::default(), None);
    }

    /// Comes back as a later life of the same process, after [`Change::Behind`].
    ///
    /// # Errors
    /// Where the start is not above its own and every one that was seen.
    pub fn rise(&mut self, now: Micros, start: Start) -> Result<(), MembersError> {
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

    /// What is to be sent and what happened, until none. To be taken after each call above.
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

    /// When [`Members::tick`] is due. Never later than [`Tuning::knock`] from the last call, so that a longer gap is a
    /// pause.
    pub fn wake(&self) -> Micros {
        let due = self.timers.next().unwrap_or(Micros::MAX).min(self.next_greeting);
        let due = self.probe_retry_at().unwrap_or(Micros::MAX).min(due);
        self.fresh.due().map_or(due, |ask| ask.min(due)).max(self.last)
    }

    /// The own life.
    pub fn life(&self) -> &Life {
        &self.life
    }

    /// The own place in the settings.
    pub fn own(&self) -> usize {
        self.own
    }

    /// What is believed of a member; of oneself nothing but what others should. None: the settings don't list it.
    pub fn standing(&self, name: &Name) -> Option<&Row> {
        self.rows.named(name).and_then(|index| self.rows.all.get(index))
    }

    /// All members of the settings, in their order. The own row is among them.
    pub fn rows(&self) -> &[Row] {
        &self.rows.all
    }

    /// Nothing of what is believed may be acted on: it is from before a pause, or nothing was heard since the start, or
    /// another process holds the name. Ends when a member has answered a question put after that.
    pub fn stale(&self) -> bool {
        self.fresh.stale()
    }

    /// The opposite of [`Members::stale`].
    pub fn awake(&self) -> bool {
        !self.stale()
    }

    /// Counted so far.
    pub fn counts(&self) -> Counts {
        self.out.counts
    }
}
