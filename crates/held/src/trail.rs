//! A message's trail: all that happened to it, compact.
//!
//! Times are kept as differences to the step before, endpoints and sessions by number in a table of names that the
//! store keeps; a message delivered at once takes about forty octets.

use crate::Micros;
use prost::Message as _;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Known {
    /// Nothing of it left the sender.
    NeverWritten = 0,
    /// Some of it was written, and no answer proves that it had no effect.
    Written = 1,
    /// The receiver answered that it took it.
    Took = 2,
    /// The receiver answered that it did not.
    Refused = 3,
    /// A restart came between: it may have been written.
    Lost = 4,
}

impl Known {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        matches!(self, Known::Written | Known::Took | Known::Lost)
    }
}

/// A step of a trail.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Step {
    /// Microseconds since the step before (the first: since it was taken). Below 0 where the clock was set back.
    #[prost(sint64, tag = "1")]
    after: i64,
    #[prost(uint32, tag = "2")]
    what: u32,
    /// The endpoint, session or identity that it is about, by number.
    #[prost(uint32, tag = "3")]
    who: u32,
    /// What more there is: what is known, the answer's word.
    #[prost(uint32, tag = "4")]
    more: u32,
}

/// What a step tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// An attempt began, to this endpoint.
    Began(u32),
    /// The attempt ended, with what is known of it.
    Ended(Known),
    /// The sender restarted.
    Restarted,
    /// The final answer, by its place in the list of states.
    Answered(u32),
    /// The answer was taken.
    Heard,
    /// It was handed in again, by this party.
    HandedIn(u32),
    /// It was given up, by this party.
    GivenUp(u32),
}

impl What {
    fn parts(self) -> (u32, u32, u32) {
        match self {
            What::Began(endpoint) => (1, endpoint, 0),
            What::Ended(known) => (2, 0, known as u32),
            What::Restarted => (3, 0, 0),
            What::Answered(state) => (4, 0, state),
            What::Heard => (5, 0, 0),
            What::HandedIn(party) => (6, party, 0),
            What::GivenUp(party) => (7, party, 0),
        }
    }

    fn read(what: u32, who: u32, more: u32) -> Option<What> {
        Some(match what {
            1 => What::Began(who),
            2 => What::Ended(Known::try_from(more as i32).ok()?),
            3 => What::Restarted,
            4 => What::Answered(more),
            5 => What::Heard,
            6 => What::HandedIn(who),
            7 => What::GivenUp(who),
            _ => return None,
        })
    }
}

/// The trail.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Trail {
    /// When the message was taken on.
    #[prost(int64, tag = "1")]
    pub taken: i64,
    /// The front and session by which it came, by number.
    #[prost(uint32, tag = "2")]
    pub by: u32,
    /// Time of the last step.
    #[prost(sint64, tag = "3")]
    last: i64,
    #[prost(message, repeated, tag = "4")]
    steps: Vec<Step>,
}

impl Trail {
    /// A message was taken on.
    pub fn new(taken: Micros, by: u32) -> Self {
        Trail { taken, by, last: 0, steps: Vec::new() }
    }

    /// Something happened. At most `most` steps are kept: beyond that the oldest attempts that surely had no effect are
    /// left out, never one that may have.
    pub fn add(&mut self, at: Micros, what: What, most: usize) {
        let since = at - self.taken;
        let (what, who, more) = what.parts();
        self.steps.push(Step { after: since - self.last, what, who, more });
        self.last = since;
        if self.steps.len() > most.max(4) {
            self.shorten();
        }
    }

    /// Leaves out the first attempt that surely had no effect.
    fn shorten(&mut self) {
        let harmless =
            |s: &Step| s.what == 2 && Known::try_from(s.more as i32).is_ok_and(|k| !k.may_have_run());
        let at = (1..self.steps.len()).find(|i| harmless(&self.steps[*i]) && self.steps[*i - 1].what == 1);
        if let Some(at) = at {
            let gone: i64 = self.steps.drain(at - 1..=at).map(|s| s.after).sum();
            match self.steps.get_mut(at - 1) {
                Some(next) => next.after += gone,
                None => self.last -= gone,
            }
        }
    }

    /// The steps with their times.
    pub fn steps(&self) -> impl Iterator<Item = (Micros, What)> + '_ {
        let mut at = self.taken;
        self.steps.iter().filter_map(move |s| {
            at += s.after;
            Some((at, What::read(s.what, s.who, s.more)?))
        })
    }

    /// Puts other numbers in the place of the endpoints', sessions' and parties'.
    pub fn rename(&mut self, mut number: impl FnMut(u32) -> u32) {
        self.by = number(self.by);
        for s in self.steps.iter_mut().filter(|s| matches!(s.what, 1 | 6 | 7)) {
            s.who = number(s.who);
        }
    }

    /// When the first attempt began that may have taken effect; one without an end counts.
    pub fn may_have_run(&self) -> Option<Micros> {
        let mut began = None;
        for (at, what) in self.steps() {
            match what {
                What::Began(_) => began = Some(at),
                What::Ended(known) => {
                    let start = began.take().unwrap_or(at);
                    if known.may_have_run() {
                        return Some(start);
                    }
                }
                _ => {}
            }
        }
        began
    }

    /// As octets.
    pub fn write(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads octets.
    pub fn read(octets: &[u8]) -> Option<Trail> {
        Trail::decode(octets).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_have_run_is_never_left_out() {
        let mut t = Trail::new(1_000, 3);
        for n in 0..20 {
            t.add(2_000 + n * 100, What::Began(n as u32), 8);
            let known = if n == 5 { Known::Written } else { Known::NeverWritten };
            t.add(2_050 + n * 100, What::Ended(known), 8);
        }
        assert_eq!(t.may_have_run(), Some(2_500));
        t.add(9_000, What::Answered(3), 8);
        let steps: Vec<(Micros, What)> = t.steps().collect();
        assert!(steps.len() <= 9, "{steps:?}");
        assert_eq!(steps.last(), Some(&(9_000, What::Answered(3))), "times stay right");
        assert!(
            steps.contains(&(2_500, What::Began(5))) && steps.contains(&(2_550, What::Ended(Known::Written)))
        );
        assert_eq!(Trail::read(&t.write()), Some(t));
        let mut open = Trail::new(0, 0);
        open.add(5, What::Began(1), 8);
        assert_eq!(open.may_have_run(), Some(5), "an attempt without an end may have run");
    }

    #[test]
    fn a_message_delivered_at_once_is_small() {
        let now = 1_790_000_000_000_000;
        let mut t = Trail::new(now, 7);
        t.add(now + 300, What::Began(120), 64);
        t.add(now + 24_000, What::Ended(Known::Took), 64);
        t.add(now + 24_100, What::Answered(0), 64);
        t.add(now + 25_000, What::Heard, 64);
        assert!(t.write().len() <= 50, "{}", t.write().len());
    }
}
