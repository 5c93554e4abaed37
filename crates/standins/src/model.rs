//! How a receiver behaves: pace, queue, limit, cold return and collapse, and the troubles that strike it. A state
//! machine with the clock passed in; actors put protocols round it.

use crate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Takes calls and answers none. They run.
    Hang,
    /// Answers so many times slower.
    Slow(f64),
    /// Quickly fails this share of the calls.
    FastErrors(f64),
    /// Refuses connections, and breaks those that stand.
    Refuse,
    /// Falls silent: reads nothing, resets nothing.
    Vanish,
    /// Turns all calls away, telling when it opens.
    Shut,
    /// Loses this share of its answers; the calls run.
    AnswerLost(f64),
    /// Breaks the connection of this share of the calls; they run.
    Reset(f64),
    /// Answers an octet at a time, this many a second.
    Trickle(f64),
}

impl Trouble {
    /// After it the receiver returns cold.
    fn outage(self) -> bool {
        use Trouble::*;
        matches!(self, Hang | Refuse | Vanish | Shut) || matches!(self, FastErrors(s) if s > 0.5)
    }
}

/// A trouble and when it strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incident {
    /// From and to, on the run's clock.
    pub from: Micros,
    /// See `from`.
    pub to: Micros,
    /// What strikes.
    pub trouble: Trouble,
}

/// How a receiver is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceiverModel {
    /// Mean time for one call.
    pub pace: Micros,
    /// Calls served at once.
    pub width: usize,
    /// Calls that may wait for that.
    pub queue: usize,
    /// Calls in each span, if there is a limit.
    pub limit: Option<(u32, Micros)>,
    /// Share of refusals that tell a wait.
    pub tells_waits: f64,
    /// Share of its capacity with which it returns.
    pub cold_from: f64,
    /// Time until it is warm.
    pub warm_up: Micros,
    /// Multiple of its capacity at which it falls over while cold, over `fall_window`.
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub fall_window: Micros,
}

impl Default for ReceiverModel {
    fn default() -> Self {
        ReceiverModel {
            pace: 20_000,
            width: 8,
            queue: 64,
            limit: None,
            tells_waits: 1.0,
            cold_from: 0.2,
            warm_up: 3_000_000,
            fall_multiple: 2.0,
            fall_window: 2_000_000,
        }
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// Answered at this time: done.
    Done(Micros),
    /// Answered at this time with an error; whether it ran.
    Error(Micros, bool),
    /// Turned away at this time, unseen, with this wait told (0 if none).
    Busy(Micros, Micros),
    /// It runs, and no answer comes.
    Lost,
    /// It runs, and the connection breaks at this time.
    Reset(Micros),
    /// It is never seen.
    Unseen,
}

/// Refusals and fast errors take this long.
const AT_ONCE: Micros = 2_000;

/// One destination: all its endpoints together.
#[derive(Debug)]
pub struct Model {
    shape: ReceiverModel,
    incidents: Vec<Incident>,
    random: ChaCha8Rng,
    /// When each place to serve is free again.
    serving: BinaryHeap<Reverse<Micros>>,
    span: (Micros, u32),
    warm_since: Option<Micros>,
    recent: VecDeque<Micros>,
    fallen: Vec<Micros>,
}

impl Model {
    /// A receiver of this shape, struck by these.
    pub fn new(shape: ReceiverModel, mut incidents: Vec<Incident>, seed: u64) -> Self {
        incidents.sort_by_key(|s| s.from);
        Model {
            shape,
            incidents,
            random: ChaCha8Rng::seed_from_u64(seed),
            serving: BinaryHeap::new(),
            span: (0, 0),
            warm_since: None,
            recent: VecDeque::new(),
            fallen: Vec::new(),
        }
    }

    fn chance(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The trouble just now.
    pub fn trouble(&self, now: Micros) -> Option<Incident> {
        self.incidents.iter().find(|s| s.from <= now && now < s.to).copied()
    }

    /// When the trouble next changes.
    pub fn changes(&self, now: Micros) -> Micros {
        self.incidents.iter().flat_map(|s| [s.from, s.to]).filter(|t| *t > now).min().unwrap_or(Micros::MAX)
    }

    /// Times at which it fell over.
    pub fn fallen(&self) -> &[Micros] {
        &self.fallen
    }

    /// Its capacity just now, as a share; and since when it has been returning.
    fn capacity(&mut self, now: Micros) -> f64 {
        let back = self.incidents.iter().filter(|s| s.trouble.outage() && s.to <= now).map(|s| s.to).max();
        self.warm_since = back.filter(|t| now - t < self.shape.warm_up);
        let Some(since) = self.warm_since else { return 1.0 };
        let share = (now - since) as f64 / self.shape.warm_up.max(1) as f64;
        self.shape.cold_from * (1.0 - share) + share
    }

    /// Calls a second that it serves when warm.
    fn rate(&self) -> f64 {
        self.shape.width as f64 * 1e6 / self.shape.pace.max(1) as f64
    }

    /// Whether connections are accepted.
    pub fn listens(&self, now: Micros) -> bool {
        !matches!(self.trouble(now), Some(Incident { trouble: Trouble::Refuse, .. }))
    }

    /// Whether anything is read.
    pub fn reads(&self, now: Micros) -> bool {
        !matches!(self.trouble(now), Some(Incident { trouble: Trouble::Vanish, .. }))
    }

    /// A call arrives.
    pub fn call(&mut self, now: Micros) -> CallOutcome {
        let capacity = self.capacity(now);
        self.push(now, capacity);
        let strike = self.trouble(now);
        let mut slow = 1.0;
        if let Some(Incident { trouble, to, .. }) = strike {
            let chance = self.chance();
            match trouble {
                Trouble::Hang => return CallOutcome::Lost,
                Trouble::Refuse | Trouble::Vanish => return CallOutcome::Unseen,
                Trouble::Shut => return self.busy(now, to - now),
                Trouble::FastErrors(share) if chance < share => {
                    let ran = self.chance() < 0.5;
                    return CallOutcome::Error(now + AT_ONCE, ran);
                }
                Trouble::AnswerLost(share) if chance < share => return CallOutcome::Lost,
                Trouble::Reset(share) if chance < share => return CallOutcome::Reset(now + AT_ONCE),
                Trouble::Slow(factor) => slow = factor,
                _ => {}
            }
        }
        if let Some((most, span)) = self.shape.limit {
            if now >= self.span.0 + span {
                self.span = (now - now % span, 0);
            }
            self.span.1 += 1;
            if self.span.1 > most {
                let wait = self.span.0 + span - now;
                return self.busy(now, wait);
            }
        }
        while self.serving.peek().is_some_and(|Reverse(t)| *t <= now) {
            self.serving.pop();
        }
        if self.serving.len() >= self.shape.width + self.shape.queue {
            return CallOutcome::Busy(now + AT_ONCE, 0);
        }
        // The place that is free first takes it; with `width` places, that is the end that lies `width` back.
        let mut ends: Vec<Micros> = self.serving.iter().map(|Reverse(t)| *t).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        let start = ends.get(self.shape.width - 1).copied().unwrap_or(now).max(now);
        // Log-normal about its pace, spread 0.3.
        let z = (0..12).map(|_| self.chance()).sum::<f64>() - 6.0;
        let pace = self.shape.pace as f64 * (0.3 * z).exp() * slow / capacity;
        let end = start + pace as Micros;
        self.serving.push(Reverse(end));
        CallOutcome::Done(end)
    }

    fn busy(&mut self, now: Micros, wait: Micros) -> CallOutcome {
        let tells = self.chance() < self.shape.tells_waits;
        // Waits are told in whole milliseconds, rounded up.
        CallOutcome::Busy(now + AT_ONCE, if tells { (wait + 999) / 1_000 * 1_000 } else { 0 })
    }

    /// Counts what pushes a cold destination; beyond its multiple it falls over and stays down for a while.
    fn push(&mut self, now: Micros, capacity: f64) {
        let window = self.shape.fall_window;
        while self.recent.front().is_some_and(|t| *t <= now - window) {
            self.recent.pop_front();
        }
        if self.warm_since.is_none() {
            self.recent.clear();
            return;
        }
        self.recent.push_back(now);
        let bears = self.shape.fall_multiple * capacity * self.rate() * window as f64 / 1e6;
        // A little slack for chance, as the rule has it.
        if self.recent.len() as f64 > bears * 1.1 + 3.0 {
            self.fallen.push(now);
            self.recent.clear();
            self.incidents.push(Incident { from: now, to: now + 5_000_000, trouble: Trouble::Hang });
        }
    }

    /// A probe arrives: what is answered, if anything is.
    pub fn probe(&mut self, now: Micros) -> Option<CallOutcome> {
        let capacity = self.capacity(now);
        self.push(now, capacity);
        match self.trouble(now).map(|s| s.trouble) {
            Some(Trouble::Hang | Trouble::Vanish | Trouble::Refuse) => None,
            Some(Trouble::FastErrors(share)) if self.chance() < share => Some(CallOutcome::Error(now, false)),
            _ => Some(CallOutcome::Done(now)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_queues_and_strikes() {
        let shape = ReceiverModel { limit: Some((5, 1_000_000)), ..ReceiverModel::default() };
        let mut m = Model::new(shape, vec![], 1);
        let fates: Vec<CallOutcome> = (0..8).map(|i| m.call(2_000_000 + i)).collect();
        assert_eq!(fates.iter().filter(|f| matches!(f, CallOutcome::Done(_))).count(), 5);
        assert!(matches!(fates[7], CallOutcome::Busy(_, wait) if wait == 1_000_000));
        let strike = Incident { from: 0, to: 100, trouble: Trouble::Hang };
        let mut m = Model::new(ReceiverModel::default(), vec![strike], 1);
        assert_eq!((m.call(50), m.probe(50)), (CallOutcome::Lost, None));
        assert!(matches!(m.call(100), CallOutcome::Done(_)));
    }

    #[test]
    fn a_cold_one_falls_when_pushed_and_not_otherwise() {
        let strike = Incident { from: 0, to: 1_000_000, trouble: Trouble::Shut };
        let run = |gap: Micros| {
            let mut m = Model::new(ReceiverModel::default(), vec![strike], 1);
            (0..2_000_000 / gap).for_each(|i| _ = m.call(1_000_000 + i * gap));
            m.fallen().len()
        };
        // It serves 400 a second when warm, 80 at first.
        assert_eq!(run(20_000), 0, "50 a second");
        assert!(run(500) > 0, "2,000 a second");
    }
}
