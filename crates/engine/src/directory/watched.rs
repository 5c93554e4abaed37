//! A client of the platform's discovery: a long-lived watch that receives changes.
//!
//! The discovery agent responds at once. What it has and can't deliver counts as reported after 6 s all the
//! same. Therefore a watch without a sign of life is dropped and opened again, whatever the failure, and the
//! longest sequence of waits stays below 6 s: [`SILENCE`], then one attempt with each timeout ([`QUICK`] and
//! [`PATIENT`]), with the delays between them. While discovery is down, the agent sends nothing; that is no
//! failure of the current list, which stays in use.
//!
//! A sign of life is a complete line, which may be empty, or a complete list; other bytes are not.

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

/// The delay before the next attempt after a first failure. It doubles up to the maximum.
const RETRY_FIRST: Micros = 60_000;
/// The maximum delay. With longer delays, attempts would be too late for changes that discovery reports.
/// While discovery refuses connections there are 2.5 attempts a second, and five in the first second.
const RETRY_MOST: Micros = 400_000;
/// The minimum duration of a stable watch. After shorter watches the delay grows up to twice the first one.
/// This limits the load from an agent that repeatedly sends its list and closes to nine attempts a second.
const LASTS: Micros = 1_000_000;
/// The timeout of an attempt, from the connect to the first sign of life: the agent responds at once.
const QUICK: Micros = 600_000;
/// The timeout of an attempt after one that received a response head but nothing complete in time. Without
/// it, some watches would be abandoned forever: an agent that starts with the empty line it owes every 2 s,
/// or a list that takes longer.
const PATIENT: Micros = 2_200_000;
/// The maximum time without a sign of life. An empty line arrives every 2 s while nothing changes. On a watch
/// that has gone silent for good, a drain would be noticed too late.
const SILENCE: Micros = 2_600_000;
/// The maximum time for a list on an established watch from its first to its last byte, against a list that
/// trickles in.
const WHOLE: Micros = 1_000_000;
/// The maximum size in bytes of a whole list that is requested separately.
const MOST_WHOLE: usize = 4 << 20;

#[derive(Clone, Copy, Debug)]
enum State {
    Due(Micros),
    Connecting {
        until: Micros,
    },
    /// The request was sent, and no sign of life has arrived yet.
    Asked {
        until: Micros,
        since: Micros,
        answered: bool,
    },
    /// The watch is established. `begun` is the time at which an incomplete list began.
    Open {
        since: Micros,
        sign: Micros,
        begun: Option<Micros>,
    },
}

/// The open request on the connection.
#[derive(Debug)]
enum Question {
    /// A request for the whole list. A watch follows it on the same connection.
    Whole(Reader),
    Watch(Watch),
}

/// A client that watches the platform's list.
#[derive(Debug)]
pub struct Watched {
    address: SocketAddr,
    state: State,
    backoff: Micros,
    /// Whether the next attempt gets the longer timeout.
    patient: bool,
    versions: Versions,
    question: Question,
}

impl Watched {
    /// Creates a client that starts at once.
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

    /// Handles a sign of life.
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

    /// Handles received bytes of a watch. Returns false if the watch has ended.
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

    /// Handles received bytes of a whole list. Returns false if it can't be read.
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

    /// Handles a missing sign of life, or another request that has become due.
    fn out_of_time(&mut self, now: Micros) {
        if let State::Asked { answered, .. } = self.state {
            self.patient = answered && !self.patient;
        }
        // The attempt has already taken its time, so the delay does not grow. When a silent discovery
        // returns, an attempt is then nearly always under way, at 1.5 a second.
        self.retry_after(now, RETRY_FIRST);
    }

    /// Schedules a retry, with a delay that doubles each time.
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
        // If no attempt is under way, the timeout of a new one applies.
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
