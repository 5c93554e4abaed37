//! The platform's discovery: a watch that stays open and tells what changes.
//!
//! Discovery's agent answers at once; what it has and does not get across counts as told 6 s later all the same. So a
//! watch that gives no sign of life is broken and opened anew, whatever failed, and the sum of what may be waited for in
//! a row stays under 6 s: [`SILENCE`], then an attempt of each patience ([`QUICK`], [`PATIENT`]), with the waits between
//! them. While discovery is down the agent says nothing; that is no failure of the list at hand, which holds.
//!
//! What counts as a sign of life is a line, whole or empty, and a list that is whole; octets alone do not.

use super::{Directory, Heard, Want};
use crate::Micros;
use crate::stream::Stream;
use heronroute_config::{EndpointConfig, Listing};
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
/// The same after an attempt that was answered by a head and nothing whole in time. Guards against one that is given up
/// for ever: an agent that begins with the empty line which it owes every 2 s, or a list that takes its time.
const PATIENT: Micros = 2_200_000;
/// An empty line comes every 2 s while nothing changes. Guards against a watch that is silent for good, over which a
/// drain would be heard too late.
const SILENCE: Micros = 2_600_000;
/// A list that has begun on a watch that stands is whole within this. Guards against one that trickles in.
const WHOLE: Micros = 1_000_000;
/// Lists older than the one at hand take nothing back for so long: what was told stays told, and an agent that has fallen
/// behind or another one comes up to it. Beyond, the numbers began anew, and the whole list is asked for and believed;
/// with the attempts this stays under the 4 s after which a move counts.
const BEHIND: Micros = 3_000_000;

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

/// A watch on the platform's list.
#[derive(Debug)]
pub struct Watched {
    address: SocketAddr,
    state: State,
    backoff: Micros,
    /// The next attempt is given more time.
    patient: bool,
    /// The version at hand.
    version: u64,
    /// Something could not be read: the next attempt asks for the whole.
    wants_whole: bool,
    /// The question that is out asked for the whole.
    asked_whole: bool,
    /// Since then lists are older than the one at hand.
    behind: Option<Micros>,
    watch: Watch,
}

/// A list of the platform in the engine's words.
pub fn listing(list: &List) -> Listing {
    let endpoint = |e: &heronroute_platform::catalog::Entry| EndpointConfig {
        name: e.id.clone(),
        address: e.addr,
        destination: e.cell,
        kind: e.kind.clone(),
        zone: e.zone.clone(),
        weight: e.weight,
        status: e.status,
    };
    Listing {
        version: list.version,
        whole: list.full,
        endpoints: list.entries.iter().map(endpoint).collect(),
    }
}

impl Watched {
    /// A watch that begins at once.
    pub fn new(now: Micros, address: SocketAddr) -> Self {
        Watched {
            address,
            state: State::Due(now),
            backoff: RETRY_FIRST,
            patient: false,
            version: 0,
            wants_whole: false,
            asked_whole: false,
            behind: None,
            watch: Watch::default(),
        }
    }

    /// When numbers that went back are taken to have begun anew.
    fn behind_until(&self) -> Micros {
        self.behind.map_or(Micros::MAX, |since| since + BEHIND)
    }

    /// A list, in its turn, or `None` where it is older than the one at hand.
    fn take(&mut self, now: Micros, list: &List) -> Option<Listing> {
        if list.version < self.version {
            tracing::warn!(version = list.version, at_hand = self.version, "an old list changes nothing");
            self.behind.get_or_insert(now);
            return None;
        }
        if list.passed_over > 0 {
            tracing::warn!(lines = list.passed_over, "lines of the list could not be read");
        }
        let first_of_whole = std::mem::take(&mut self.asked_whole);
        self.wants_whole = list.passed_over > 0 || (self.wants_whole && !first_of_whole);
        (self.version, self.behind) = (list.version, None);
        Some(listing(list))
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
                heard.extend(self.take(now, &list).map(Heard::List));
            }
        }
    }

    /// No sign of life came in time, or none of the numbers at hand.
    fn out_of_time(&mut self, now: Micros) {
        if let State::Asked { answered, .. } = self.state {
            self.patient = answered && !self.patient;
        }
        self.retry(now);
    }

    fn retry(&mut self, now: Micros) {
        if !matches!(self.state, State::Due(_)) {
            self.state = State::Due(now + self.backoff);
            self.backoff = (self.backoff * 2).min(RETRY_MOST);
        }
    }
}

impl Directory for Watched {
    fn known(&mut self, listing: &Listing) {
        self.version = listing.version;
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
                (sign + SILENCE).min(whole).min(self.behind_until())
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
        if now >= self.behind_until() {
            tracing::warn!(at_hand = self.version, "discovery's numbers began anew");
            (self.version, self.behind) = (0, None);
        }
        // Where no attempt is under way the time of a new one holds.
        let until = match self.state {
            State::Connecting { until } => until,
            _ => now + QUICK,
        };
        self.watch = Watch::default();
        self.state = State::Asked { until, since: now, answered: false };
        self.asked_whole = self.wants_whole;
        let version = if self.asked_whole { 0 } else { self.version };
        tracing::debug!(now, version, "the watch begins");
        watch::ask(version, &self.address.to_string(), &mut stream.out);
    }

    fn receive(&mut self, now: Micros, octets: &[u8], _: &mut Stream, heard: &mut Vec<Heard>) -> bool {
        tracing::debug!(now, octets = octets.len(), "the watch says something");
        let mut said = Vec::new();
        let result = self.watch.receive(octets, &mut said);
        said.into_iter().for_each(|said| self.hear(now, said, heard));
        if let Err(over) = result {
            tracing::warn!(%over, "the watch on the list is over");
            if matches!(over, Over::Unreadable(_)) {
                // The whole in the place of changes that can't be read, and the other way round.
                self.wants_whole = !self.asked_whole;
            }
            self.retry(now);
            return false;
        }
        if let State::Open { begun, .. } = &mut self.state {
            *begun = self.watch.has_begun_list().then(|| begun.unwrap_or(now));
        }
        true
    }

    fn ended(&mut self, now: Micros, _: &mut Vec<Heard>) {
        self.retry(now);
    }
}
