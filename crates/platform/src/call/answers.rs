//! Answers on one connection, as their octets come.

use super::outcome::{Fate, fates, in_micros};
use heronroute::{Micros, Outcome};
use heronroute_http::{Message, Reader, Side, Unreadable};

/// Octets of an answer's body at most.
const MOST_BODY: usize = 64 * 1024;

/// What was heard on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// The call is answered, for each of its messages in order. `spent`: the connection is of no more use.
    Answer {
        /// By message.
        fates: Vec<Fate>,
        /// See above.
        spent: bool,
    },
    /// An answer is on its way whose head tells a wait.
    Wait(Micros),
    /// The connection is of no more use, and answered nothing.
    Spent(&'static str),
}

/// Reads answers on one connection, which carries one call at a time.
#[derive(Debug)]
pub struct Answers {
    reader: Reader,
    /// Ids of the messages of the call that is out; empty for a probe.
    asked: Option<Vec<String>>,
    /// The wait of the answer that is being read was handed on.
    told: bool,
    /// Nothing was answered here yet.
    fresh: bool,
}

impl Default for Answers {
    fn default() -> Self {
        Answers { reader: Reader::new(Side::Responses, MOST_BODY), asked: None, told: false, fresh: true }
    }
}

impl Answers {
    /// A call has been written, or a probe (of no messages).
    pub fn ask(&mut self, ids: Vec<String>) {
        (self.asked, self.told) = (Some(ids), false);
    }

    /// The call was taken back: none of it left.
    pub fn unask(&mut self) {
        self.asked = None;
    }

    /// The wait that the answer being read tells, 0 if none.
    fn wait(&self) -> Micros {
        self.reader.wait_so_far().map_or(0, in_micros)
    }

    /// Octets came, or (`ended`) the peer closed its side.
    pub fn receive(&mut self, octets: &[u8], ended: bool) -> Option<Heard> {
        // Guards against a second copy of an answer that comes in pieces: what of it comes before the next call would
        // be taken, with the rest, for that call's answer.
        if self.asked.is_none() && !octets.is_empty() {
            return Some(Heard::Spent("octets that nobody asked for"));
        }
        self.reader.push(octets);
        if ended {
            self.reader.end();
        }
        loop {
            return match self.reader.next_message() {
                // Interim answers say nothing yet.
                Ok(Some(m)) if (100..200).contains(&m.status()) => continue,
                Ok(Some(m)) => Some(self.whole(&m, ended)),
                Ok(None) => self.partial(ended),
                Err(e) => Some(self.unreadable(e)),
            };
        }
    }

    /// A whole answer came.
    fn whole(&mut self, m: &Message, ended: bool) -> Heard {
        let Some(ids) = self.asked.take() else {
            return Heard::Spent("an answer that nobody asked for");
        };
        // Guards against a second copy, or noise, behind a good answer: what comes next on this connection belongs to
        // nothing.
        let mut spent = m.last || ended || self.reader.begun();
        let turned_away = std::mem::take(&mut self.fresh) && m.last;
        let fates = fates(m, &ids, turned_away, &mut spent);
        Heard::Answer { fates, spent }
    }

    /// The answer is not whole yet, or never will be.
    fn partial(&mut self, ended: bool) -> Option<Heard> {
        // Guards against an answer that says 200 and does not come to its end: the call has been delivered all the same.
        if self.reader.status_so_far() == Some(200) && self.asked.as_ref().is_some_and(|ids| ids.len() == 1) {
            self.asked = None;
            let fates = vec![Fate::of(Outcome::Done, self.wait())];
            return Some(Heard::Answer { fates, spent: true });
        }
        // Guards against a wait that binds from the answer's head on, and would be heard with its last octet only, or
        // never where it breaks off.
        if !self.told && self.asked.is_some() && self.wait() > 0 {
            self.told = true;
            return Some(Heard::Wait(self.wait()));
        }
        ended.then_some(Heard::Spent("closed by the endpoint"))
    }

    /// The answer can't be read: the request has run, and only the first line can still be true.
    fn unreadable(&mut self, e: Unreadable) -> Heard {
        let Some(ids) = self.asked.take() else { return Heard::Spent(e.0) };
        let says = self.reader.status_so_far();
        let done = ids.len() == 1 && says == Some(200);
        let outcome = if done { Outcome::Done } else { Outcome::Error };
        let fates = vec![Fate::of(outcome, self.wait()); ids.len().max(1)];
        Heard::Answer { fates, spent: true }
    }
}
