//! The trail of a message: a compact record of everything that happened to it.
//!
//! Times are stored as differences to the previous step, endpoints and sessions as indexes into a table of
//! names that the store keeps. The trail of a message delivered at once takes about 40 bytes.

use crate::Micros;
use prost::Message as _;

/// What is known of an ended attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum KnownOutcome {
    /// Nothing of it left the sender.
    NeverWritten = 0,
    /// Some of it was written, and no answer proves that it had no effect.
    Written = 1,
    /// The receiver accepted it.
    Delivered = 2,
    /// The receiver refused it.
    Refused = 3,
    /// The sender restarted meanwhile: it may have been written.
    Lost = 4,
}

impl KnownOutcome {
    /// Returns whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        matches!(self, KnownOutcome::Written | KnownOutcome::Delivered | KnownOutcome::Lost)
    }
}

/// A stored step of a trail.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Step {
    /// Microseconds since the previous step (the first: since the message was accepted). Below 0 where the
    /// clock was set back.
    #[prost(sint64, tag = "1")]
    after: i64,
    #[prost(uint32, tag = "2")]
    what: u32,
    /// The index of the name of the endpoint, session or party.
    #[prost(uint32, tag = "3")]
    who: u32,
    /// Further data: what is known of the attempt, or the state of the answer.
    #[prost(uint32, tag = "4")]
    more: u32,
}

/// An event in a trail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// An attempt began, to the endpoint of this index.
    Began(u32),
    /// The attempt ended; what is known of it.
    Ended(KnownOutcome),
    /// The sender restarted.
    Restarted,
    /// The final answer, by its index in the list of states.
    Answered(u32),
    /// The client confirmed the answer.
    AnswerConfirmed,
    /// The message was resubmitted, by the party of this index.
    Resubmitted(u32),
    /// The message was dropped, by the party of this index.
    Dropped(u32),
}

impl What {
    fn parts(self) -> (u32, u32, u32) {
        match self {
            What::Began(endpoint) => (1, endpoint, 0),
            What::Ended(known) => (2, 0, known as u32),
            What::Restarted => (3, 0, 0),
            What::Answered(state) => (4, 0, state),
            What::AnswerConfirmed => (5, 0, 0),
            What::Resubmitted(party) => (6, party, 0),
            What::Dropped(party) => (7, party, 0),
        }
    }

    fn read(what: u32, who: u32, more: u32) -> Option<What> {
        Some(match what {
            1 => What::Began(who),
            2 => What::Ended(KnownOutcome::try_from(more as i32).ok()?),
            3 => What::Restarted,
            4 => What::Answered(more),
            5 => What::AnswerConfirmed,
            6 => What::Resubmitted(who),
            7 => What::Dropped(who),
            _ => return None,
        })
    }
}

/// The trail of a message.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Trail {
    /// When the message was accepted.
    #[prost(int64, tag = "1")]
    pub taken: i64,
    /// The index of the name of the front and session that accepted the message.
    #[prost(uint32, tag = "2")]
    pub by: u32,
    /// The time of the last step, relative to `taken`.
    #[prost(sint64, tag = "3")]
    last: i64,
    #[prost(message, repeated, tag = "4")]
    steps: Vec<Step>,
}

impl Trail {
    /// Starts the trail of a message that was accepted.
    pub fn new(taken: Micros, by: u32) -> Self {
        Trail { taken, by, last: 0, steps: Vec::new() }
    }

    /// Adds an event. At most `most` steps are kept: beyond that the oldest attempts that certainly had no
    /// effect are left out, but never one that may have taken effect.
    pub fn add(&mut self, at: Micros, what: What, most: usize) {
        let since = at - self.taken;
        let (what, who, more) = what.parts();
        self.steps.push(Step { after: since - self.last, what, who, more });
        self.last = since;
        if self.steps.len() > most.max(4) {
            self.shorten();
        }
    }

    /// Removes the first attempt that certainly had no effect.
    fn shorten(&mut self) {
        let no_effect =
            |s: &Step| s.what == 2 && KnownOutcome::try_from(s.more as i32).is_ok_and(|k| !k.may_have_run());
        let at = (1..self.steps.len()).find(|i| no_effect(&self.steps[*i]) && self.steps[*i - 1].what == 1);
        if let Some(at) = at {
            let removed_time: i64 = self.steps.drain(at - 1..=at).map(|s| s.after).sum();
            match self.steps.get_mut(at - 1) {
                Some(next) => next.after += removed_time,
                None => self.last -= removed_time,
            }
        }
    }

    /// Returns the events with their times.
    pub fn steps(&self) -> impl Iterator<Item = (Micros, What)> + '_ {
        let mut at = self.taken;
        self.steps.iter().filter_map(move |s| {
            at += s.after;
            Some((at, What::read(s.what, s.who, s.more)?))
        })
    }

    /// Replaces the indexes of names.
    pub fn rename(&mut self, mut number: impl FnMut(u32) -> u32) {
        self.by = number(self.by);
        for s in self.steps.iter_mut().filter(|s| matches!(s.what, 1 | 6 | 7)) {
            s.who = number(s.who);
        }
    }

    /// Returns whether an attempt began at this time.
    pub fn has_attempt_at(&self, at: Micros) -> bool {
        self.steps().any(|(began, what)| began == at && matches!(what, What::Began(_)))
    }

    /// Returns when the first attempt began that may have taken effect; an attempt without an end counts as
    /// one.
    pub fn may_have_run(&self) -> Option<Micros> {
        let mut began = None;
        for (at, what) in self.steps() {
            match what {
                // The message ended while the attempt before was out.
                What::Began(_) if began.is_some() => return began,
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

    /// Encodes the trail.
    pub fn write(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a trail.
    pub fn read(bytes: &[u8]) -> Option<Trail> {
        Trail::decode(bytes).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_attempt_that_may_have_run_is_never_left_out() {
        let mut t = Trail::new(1_000, 3);
        for n in 0..20 {
            t.add(2_000 + n * 100, What::Began(n as u32), 8);
            let known = if n == 5 { KnownOutcome::Written } else { KnownOutcome::NeverWritten };
            t.add(2_050 + n * 100, What::Ended(known), 8);
        }
        assert_eq!(t.may_have_run(), Some(2_500));
        t.add(9_000, What::Answered(3), 8);
        let steps: Vec<(Micros, What)> = t.steps().collect();
        assert!(steps.len() <= 9, "{steps:?}");
        assert_eq!(steps.last(), Some(&(9_000, What::Answered(3))), "the times of later steps are unchanged");
        assert!(
            steps.contains(&(2_500, What::Began(5)))
                && steps.contains(&(2_550, What::Ended(KnownOutcome::Written)))
        );
        assert_eq!(Trail::read(&t.write()), Some(t));
        let mut open = Trail::new(0, 0);
        open.add(5, What::Began(1), 8);
        assert_eq!(open.may_have_run(), Some(5), "an attempt without an end may have run");
    }

    #[test]
    fn the_trail_of_a_message_delivered_at_once_is_small() {
        let now = 1_790_000_000_000_000;
        let mut t = Trail::new(now, 7);
        t.add(now + 300, What::Began(120), 64);
        t.add(now + 24_000, What::Ended(KnownOutcome::Delivered), 64);
        t.add(now + 24_100, What::Answered(0), 64);
        t.add(now + 25_000, What::AnswerConfirmed, 64);
        assert!(t.write().len() <= 50, "{}", t.write().len());
    }
}
