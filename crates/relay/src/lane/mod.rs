//! One way of one connection: octets and a time in, octets out. No I/O.

mod counts;
mod rate;
#[cfg(test)]
mod tests;

pub use counts::Counts;

use crate::Micros;
use crate::fault::{Flow, Shape};
use crate::split::{Front, Split};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rate::Rate;
use std::collections::VecDeque;
use std::time::Duration;

/// How late a reordered frame passes where none follows it.
const LATE: Micros = 50_000;

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// In order.
    Closed,
    /// By a reset, or the other side is gone.
    Reset,
}

/// What may leave now.
#[derive(Debug, PartialEq, Eq)]
pub enum Next<'a> {
    /// These octets, or the first of them; then [`Lane::wrote`].
    Octets(&'a [u8]),
    /// The end.
    Ended(End),
    /// Nothing yet; see [`Lane::wake`].
    Nothing,
}

struct Frame {
    due: Micros,
    octets: Vec<u8>,
}

/// One way of one connection.
pub struct Lane {
    split: Split,
    shape: Shape,
    rng: SmallRng,
    limit: usize,
    /// A frame that is not whole yet.
    partial: Vec<u8>,
    /// In the order in which they pass; one that is due sooner than the one before waits for that.
    queue: VecDeque<Frame>,
    /// Octets in `queue` and `late`.
    held: usize,
    /// Octets of the first of `queue` that have left.
    sent: usize,
    /// Under [`Flow::Half`]: how many octets of the first of `queue` may leave.
    half: Option<usize>,
    /// A reordered frame, until one follows it; how often it is to pass.
    late: Option<(Frame, usize)>,
    rate: Rate,
    end: Option<End>,
    /// Nobody is there to take anything.
    sink: bool,
    counts: Counts,
}

impl Lane {
    /// A lane that holds `limit` octets at most (and a whole frame at least).
    pub fn new(split: Split, shape: Shape, seed: u64, limit: usize) -> Self {
        Lane {
            limit: limit.max(split.most().saturating_add(4096)),
            split,
            shape,
            rng: SmallRng::seed_from_u64(seed),
            partial: Vec::new(),
            queue: VecDeque::new(),
            held: 0,
            sent: 0,
            half: None,
            late: None,
            rate: Rate::default(),
            end: None,
            sink: false,
            counts: Counts::default(),
        }
    }

    /// Octets that may be pushed.
    pub fn room(&self) -> usize {
        self.limit.saturating_sub(self.held + self.partial.len())
    }

    /// What it has seen.
    pub fn counts(&self) -> Counts {
        Counts { held: (self.held + self.partial.len()) as u64, ..self.counts }
    }

    /// Takes octets in.
    pub fn push(&mut self, now: Micros, octets: &[u8]) {
        self.counts.octets_in += octets.len() as u64;
        let mut partial = std::mem::take(&mut self.partial);
        partial.extend_from_slice(octets);
        let mut at = 0;
        while let Some(rest) = partial.get(at..) {
            match self.split.front(rest) {
                Front::Whole(n) => {
                    let n = n.clamp(1, rest.len().max(1));
                    self.frame(now, rest.get(..n).unwrap_or_default());
                    at += n;
                }
                Front::More => break,
                // Its octets pass all the same: a relay that ended the connection would hide what the program does.
                Front::Strange => {
                    self.split = Split::Chunks;
                    self.counts.strange += 1;
                }
            }
        }
        partial.drain(..at.min(partial.len()));
        self.partial = partial;
    }

    /// A whole frame came. Four draws each time, so that another shape changes no later choice.
    fn frame(&mut self, now: Micros, octets: &[u8]) {
        self.counts.frames_in += 1;
        let [lose, double, reorder] = [0; 3].map(|_: u32| self.rng.random_range(0..1_000_u32));
        let jitter = self.rng.random::<u32>();
        if self.shape.flow == Flow::Drop || self.sink {
            self.counts.dropped += 1;
            return;
        }
        if lose < self.shape.lose {
            self.counts.lost += 1;
            return;
        }
        let jitter = (micros(self.shape.jitter) as u128 * u128::from(jitter)) >> 32;
        let due = now.saturating_add(micros(self.shape.delay)).saturating_add(jitter as u64);
        let frame = Frame { due, octets: octets.to_vec() };
        let times = 1 + usize::from(double < self.shape.double);
        self.counts.doubled += times as u64 - 1;
        self.held += octets.len() * times;
        if self.late.is_none() && reorder < self.shape.reorder {
            self.late = Some((frame, times));
            return;
        }
        self.enqueue(frame, times);
        if self.late.is_some() {
            self.counts.reordered += 1;
            self.release();
        }
    }

    fn enqueue(&mut self, frame: Frame, times: usize) {
        for _ in 1..times {
            self.queue.push_back(Frame { due: frame.due, octets: frame.octets.clone() });
        }
        self.queue.push_back(frame);
    }

    /// The frame that waited for another to overtake it goes.
    fn release(&mut self) {
        if let Some((frame, times)) = self.late.take() {
            self.enqueue(frame, times);
        }
    }

    /// The stream ends behind what was pushed.
    pub fn end(&mut self, now: Micros, end: End) {
        // A reset still counts after an end in order: who closed its own way and then died takes nothing more.
        if self.end.is_some_and(|e| e == End::Reset || e == end) {
            return;
        }
        self.end = Some(end);
        self.release();
        if !self.partial.is_empty() {
            // An incomplete frame at the end is what a killed process leaves; the receiver must see it.
            let octets = std::mem::take(&mut self.partial);
            if self.shape.flow == Flow::Drop || self.sink {
                return;
            }
            self.held += octets.len();
            self.queue.push_back(Frame { due: now, octets });
        }
    }

    /// Nobody takes anything any more: what is held and what comes is dropped.
    pub fn sink(&mut self) {
        self.sink = true;
        self.discard(0);
        self.partial = Vec::new();
    }

    /// Drops all but the first `keep` of the queue.
    fn discard(&mut self, keep: usize) {
        let gone = self.queue.len().saturating_sub(keep) + self.late.as_ref().map_or(0, |l| l.1);
        self.counts.dropped += gone as u64;
        self.queue.truncate(keep);
        self.late = None;
        self.held = self.queue.iter().map(|f| f.octets.len()).sum();
        if keep == 0 {
            self.sent = 0;
        }
    }

    /// It behaves otherwise from now on. What waits for a delay is due by the new one at the latest.
    pub fn set(&mut self, now: Micros, shape: Shape) {
        if shape.flow != Flow::Half {
            self.half = None;
        }
        if shape.flow == Flow::Drop {
            self.discard(usize::from(self.sent > 0));
        }
        if shape.reorder == 0 {
            self.release();
        }
        self.shape = shape;
        let due = now + micros(shape.delay) + micros(shape.jitter);
        self.queue.iter_mut().for_each(|f| f.due = f.due.min(due));
        if let Some((late, _)) = &mut self.late {
            late.due = late.due.min(due);
        }
    }

    /// Whether anything passes.
    pub fn passes(&self) -> bool {
        matches!(self.shape.flow, Flow::Pass | Flow::Half)
    }

    /// What may leave now.
    pub fn next(&mut self, now: Micros) -> Next<'_> {
        if !self.passes() {
            return Next::Nothing;
        }
        if self.late.as_ref().is_some_and(|(f, _)| now >= f.due + LATE) {
            self.release();
        }
        let Some(front) = self.queue.front() else {
            return match self.end {
                // Half a frame was to pass and no frame came: silence, not an end.
                Some(_) if self.shape.flow == Flow::Half => Next::Nothing,
                Some(end) if self.late.is_none() => Next::Ended(end),
                _ => Next::Nothing,
            };
        };
        if front.due > now {
            return Next::Nothing;
        }
        let mut to = front.octets.len();
        if self.shape.flow == Flow::Half {
            // A frame that has begun to leave goes whole; the next one is halved.
            if self.sent == 0 && self.half.is_none() {
                self.half = Some(to / 2);
            }
            to = self.half.unwrap_or(to).min(to);
        }
        // By all that waits, not by the frame: a slow link would wake the relay for each small frame.
        let waits = self.held.saturating_sub(self.sent);
        let to = to.min(self.sent + self.rate.allowed(now, self.shape.rate, waits));
        match front.octets.get(self.sent..to) {
            Some(octets) if !octets.is_empty() => Next::Octets(octets),
            _ => Next::Nothing,
        }
    }

    /// So many octets of [`Next::Octets`] have left.
    pub fn wrote(&mut self, octets: usize) {
        self.counts.octets_out += octets as u64;
        self.rate.spend(octets);
        self.sent += octets;
        if self.queue.front().is_some_and(|f| self.sent >= f.octets.len()) {
            if let Some(frame) = self.queue.pop_front() {
                self.held = self.held.saturating_sub(frame.octets.len());
            }
            self.counts.frames_out += 1;
            self.sent = 0;
        }
    }

    /// When [`Lane::next`] may give something that it does not give now, if that is a matter of time.
    pub fn wake(&self, now: Micros) -> Option<Micros> {
        if !self.passes() {
            return None;
        }
        let late = self.late.as_ref().map(|(f, _)| f.due + LATE);
        let front = self.queue.front().and_then(|f| match f.due > now {
            true => Some(f.due),
            false => self.rate.wake(now, self.shape.rate, self.held.saturating_sub(self.sent)),
        });
        late.into_iter().chain(front).min()
    }
}

fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX / 4).min(u64::MAX / 4)
}
