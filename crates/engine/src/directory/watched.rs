//! The platform's discovery: a watch that stays open and tells what changes.
//!
//! Discovery's agent answers at once; what it has and does not get across counts as told 6 s later all the same. So a
//! watch that gives no sign of life is broken and opened anew, whatever failed, and the sum of what may be waited for in
//! a row stays under 6 s: [`SILENCE`], then an attempt of each patience ([`QUICK`], [`PATIENT`]), with the waits between
//! them. While discovery is down the agent says nothing; that is no failure of the list at hand, which holds.
//!
//! What counts as a sign of life is a line, whole or empty, and a list that is whole; octets alone do not.

use super::listing::listing;
use super::versions::{Ask, Versions};
use super::{Directory, Heard, Want};
use crate::Micros;
use crate::stream::Stream;
use heronroute_config::Listing;
use heronroute_http::{Reader, Side};
use heronroute_platform::catalog::List;
use heronroute_platform::watch::{self, Over, Said, Watch};
use std::net::SocketAddr;

/// The wait before the next attempt after a first failure; it doubles up to the longest.
const RETRY_FIRST: Micros = 60_000;
/// Guards against attempts that come too late for what discovery has to tell. While discovery refuses there are 2.5
/// attempts a second, five in the first.
const RETRY_MOST: Micros = 400_000;
/// A watch that ended sooner after it began has not lasted; behind such ones the wait grows up to twice the first. Guards
/// against an agent that tells its list and ends, again and again: nine attempts a second at most.
const LASTS: Micros = 1_000_000;
/// An attempt, from the connect to the first sign of life: the agent answers at once.
const QUICK: Micros = 600_000;
/// The same after an attempt that was answered by a head and nothing whole in time. Guards against one that is abandoned
/// for ever: an agent that begins with the empty line which it owes every 2 s, or a list that takes its time.
const PATIENT: Micros = 2_200_000;
/// An empty line comes every 2 s while nothing changes. Guards against a watch that is silent for good, over which a
/// drain would be heard too late.
const SILENCE: Micros = 2_600_000;
/// A list that has begun on a watch that stands is whole within this. Guards against one that trickles in.
const WHOLE: Micros = 1_000_000;
/// Octets of a whole list that is asked for by itself, at most.
const MOST_WHOLE: usize = 4 << 20;

#[derive(Clone, Copy, Debug)]
enum State {
    Due(Micros),
    Connecting {
        until: Micros,
    },
    /// Asked, and no sign of life yet.
    Asked {
        until: Micros,
        since: Micros,
        answered: bool,
    },
    /// It stands. `begun`: when the list began that is not whole yet.
    Open {
        since: Micros,
        sign: Micros,
        begun: Option<Micros>,
    },
}

/// What is out on the connection.
#[derive(Debug)]
enum Question {
    /// For the whole list; a watch is asked for behind it, on the same connection.
    Whole(Reader),
    Watch(Watch),
}

/// A watch on the platform's list.
#[derive(Debug)]
pub struct Watched {
    address: SocketAddr,
    state: State,
    backoff: Micros,
    /// The next attempt is given more time.
    patient: bool,
    versions: Versions,
    question: Question,
}

impl Watched {
    /// A watch that begins at once.
    pub fn new(now: Micros, address: SocketAddr) -> Self {
        Watched {
            address,
            state: State::Due(now),
            backoff: RETRY_FIRST,
            patient: false,
            versions: Versions::default(),
            question: Question::Watch(Watch::default()),
        }
    }

    fn take(&mut self, now: Micros, list: &List, heard: &mut Vec<Heard>) {
        if self.versions.take(now, list) {
            heard.push(Heard::List(listing(list)));
        }
    }

    /// A sign of life.
    fn lives(&mut self, now: Micros) {
        let since = match self.state {
            State::Asked { since, .. } | State::Open { since, .. } => since,
            State::Due(_) | State::Connecting { .. } => now,
        };
        self.state = State::Open { since, sign: now, begun: None };
        self.patient = false;
        let most = if now - since >= LASTS { RETRY_FIRST } else { 2 * RETRY_FIRST };
        self.backoff = self.backoff.min(most);
    }

    fn hear(&mut self, now: Micros, said: Said, heard: &mut Vec<Heard>) {
        match said {
            Said::Head => {
                if let State::Asked { answered, .. } = &mut self.state {
                    *answered = true;
                }
            }
            Said::EndOfLine => self.lives(now),
            Said::List(list) => {
                self.lives(now);
                self.take(now, &list, heard);
            }
        }
    }

    fn ask_watch(&mut self, now: Micros, version: u64, stream: &mut Stream) {
        tracing::debug!(now, version, "the watch begins");
        self.question = Question::Watch(Watch::default());
        watch::ask(version, &self.address.to_string(), &mut stream.out);
    }

    /// Octets of a watch. False where it is over.
    fn hear_watch(&mut self, now: Micros, octets: &[u8], heard: &mut Vec<Heard>) -> bool {
        let Question::Watch(watch) = &mut self.question else { return true };
        let mut said = Vec::new();
        let result = watch.receive(octets, &mut said);
        let has_begun_list = watch.has_begun_list();
        said.into_iter().for_each(|said| self.hear(now, said, heard));
        if let Err(over) = result {
            tracing::warn!(%over, "the watch on the list is over");
            if matches!(over, Over::Unreadable(_)) {
                self.versions.unreadable(now);
            }
            return false;
        }
        if let State::Open { begun, .. } = &mut self.state {
            *begun = has_begun_list.then(|| begun.unwrap_or(now));
        }
        true
    }

    /// Octets of a whole list. False where they can't be read.
    fn hear_whole(
        &mut self,
        now: Micros,
        octets: &[u8],
        stream: &mut Stream,
        heard: &mut Vec<Heard>,
    ) -> bool {
        let Question::Whole(reader) = &mut self.question else { return true };
        reader.push(octets);
        let message = match reader.next_message() {
            Ok(None) => return true,
            Ok(Some(message)) => message,
            Err(e) => {
                tracing::warn!(why = e.0, "the whole list can't be read");
                return false;
            }
        };
        let list = match List::read(&message.body) {
            Ok(list) if message.status() == 200 => list,
            Ok(_) => {
                tracing::warn!(status = message.status(), "the whole list is not told");
                return false;
            }
            Err(why) => {
                tracing::warn!(status = message.status(), %why, "the whole list can't be read");
                return false;
            }
        };
        self.versions.whole_told();
        self.take(now, &list, heard);
        self.ask_watch(now, self.versions.since(), stream);
        !message.last
    }

    /// No sign of life came in time, or another question is due.
    fn out_of_time(&mut self, now: Micros) {
        if let State::Asked { answered, .. } = self.state {
            self.patient = answered && !self.patient;
        }
        // What took its time need not be waited out. Guards against the return of a discovery that says nothing meanwhile:
        // an attempt is under way nearly always then, 1.5 a second.
        self.retry_after(now, RETRY_FIRST);
    }

    /// Waits longer each time.
    fn retry(&mut self, now: Micros) {
        if !matches!(self.state, State::Due(_)) {
            self.retry_after(now, self.backoff);
            self.backoff = (self.backoff * 2).min(RETRY_MOST);
        }
    }

    fn retry_after(&mut self, now: Micros, wait: Micros) {
        if !matches!(self.state, State::Due(_)) {
            if matches!(self.question, Question::Whole(_)) {
                self.versions.whole_failed(now);
            }
            self.state = State::Due(now + wait);
        }
    }
}

impl Directory for Watched {
    fn known(&mut self, listing: &Listing) {
        self.versions.known(listing.version);
    }

    fn subscribe(&mut self, _: Micros) -> bool {
        true
    }

    fn text(&self) -> Option<String> {
        None
    }

    fn moved(&mut self, now: Micros, address: SocketAddr) {
        (self.address, self.state, self.backoff) = (address, State::Due(now), RETRY_FIRST);
        self.patient = false;
    }

    fn wake(&self) -> Micros {
        match self.state {
            State::Due(at) => at,
            State::Connecting { until } | State::Asked { until, .. } => until,
            State::Open { sign, begun, .. } => {
                let whole = begun.map_or(Micros::MAX, |at| at + WHOLE);
                (sign + SILENCE).min(whole).min(self.versions.due())
            }
        }
    }

    fn tick(&mut self, now: Micros, _: &mut Vec<Heard>) -> Want {
        if now < self.wake() {
            return Want::Nothing;
        }
        match self.state {
            State::Due(_) => {
                let patience = if self.patient { PATIENT } else { QUICK };
                self.state = State::Connecting { until: now + patience };
                Want::Connect(self.address)
            }
            State::Connecting { .. } | State::Asked { .. } | State::Open { .. } => {
                tracing::debug!(now, state = ?self.state, "the watch is given up");
                self.out_of_time(now);
                Want::Drop
            }
        }
    }

    fn connected(&mut self, now: Micros, stream: &mut Stream) {
        // Where no attempt is under way the time of a new one holds.
        let until = match self.state {
            State::Connecting { until } => until,
            _ => now + QUICK,
        };
        self.state = State::Asked { until, since: now, answered: false };
        match self.versions.ask(now) {
            Ask::Whole => {
                self.question = Question::Whole(Reader::new(Side::Responses, MOST_WHOLE));
                watch::ask_whole(&self.address.to_string(), &mut stream.out);
            }
            Ask::Since(version) => self.ask_watch(now, version, stream),
        }
    }

    fn receive(&mut self, now: Micros, octets: &[u8], stream: &mut Stream, heard: &mut Vec<Heard>) -> bool {
        tracing::debug!(now, octets = octets.len(), "discovery says something");
        let goes_on = match self.question {
            Question::Whole(_) => self.hear_whole(now, octets, stream, heard),
            Question::Watch(_) => self.hear_watch(now, octets, heard),
        };
        if !goes_on {
            self.retry(now);
        }
        goes_on
    }

    fn ended(&mut self, now: Micros, _: &mut Vec<Heard>) {
        self.retry(now);
    }
}
