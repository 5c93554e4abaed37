//! The platform's discovery: a watch that stays open and tells what changes.

use super::{Directory, Heard, Want};
use crate::Micros;
use crate::stream::Stream;
use heronroute_config::{EndpointConfig, Listing};
use heronroute_platform::catalog::List;
use heronroute_platform::watch::{self, Watch};
use std::net::SocketAddr;

const RETRY_FIRST: Micros = 50_000;
const RETRY_MOST: Micros = 1_000_000;
/// A connection must stand by then.
const CONNECT: Micros = 1_000_000;
/// An empty line comes every 2 s while nothing changes. Guards against a watch that is silent for good, over which a
/// drain would be heard too late; while discovery itself is down silence is its rule, so that it is no failure, and
/// the list at hand holds.
const SILENCE: Micros = 2_600_000;

#[derive(Clone, Copy, Debug)]
enum State {
    Due(Micros),
    Connecting(Micros),
    /// To be given up at that time, if nothing comes.
    Open(Micros),
}

/// A watch on the platform's list.
#[derive(Debug)]
pub struct Watched {
    address: SocketAddr,
    state: State,
    backoff: Micros,
    version: u64,
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
        let (state, watch) = (State::Due(now), Watch::default());
        Watched { address, state, backoff: RETRY_FIRST, version: 0, watch }
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
    }

    fn wake(&self) -> Micros {
        match self.state {
            State::Due(at) | State::Connecting(at) | State::Open(at) => at,
        }
    }

    fn tick(&mut self, now: Micros, _: &mut Vec<Heard>) -> Want {
        match self.state {
            State::Due(at) if at <= now => {
                self.state = State::Connecting(now + CONNECT);
                Want::Connect(self.address)
            }
            State::Connecting(at) | State::Open(at) if at <= now => {
                self.ended(now, &mut Vec::new());
                Want::Drop
            }
            _ => Want::Nothing,
        }
    }

    fn connected(&mut self, now: Micros, stream: &mut Stream) {
        tracing::debug!(now, version = self.version, "the watch begins");
        self.watch = Watch::default();
        self.state = State::Open(now + SILENCE);
        watch::ask(self.version, &self.address.to_string(), &mut stream.out);
    }

    fn receive(&mut self, now: Micros, octets: &[u8], _: &mut Stream, heard: &mut Vec<Heard>) -> bool {
        tracing::debug!(now, octets = octets.len(), "the watch says something");
        let mut lists = Vec::new();
        let result = self.watch.receive(octets, &mut lists);
        for list in lists {
            if list.passed_over > 0 {
                tracing::warn!(lines = list.passed_over, "lines of the list could not be read");
            }
            self.version = list.version;
            heard.push(Heard::List(listing(&list)));
        }
        (self.state, self.backoff) = (State::Open(now + SILENCE), RETRY_FIRST);
        if let Err(why) = result {
            tracing::warn!(why, "the watch on the list is over");
            self.ended(now, heard);
            return false;
        }
        true
    }

    fn ended(&mut self, now: Micros, _: &mut Vec<Heard>) {
        if !matches!(self.state, State::Due(_)) {
            self.state = State::Due(now + self.backoff);
            self.backoff = (self.backoff * 2).min(RETRY_MOST);
        }
    }
}
