//! A right directory with one fault.

use super::{Catalog, HERE, THERE};
use heronroute::Status;
use heronroute_config::Listing;
use heronroute_engine::directory::{ConnectionAction, Directory, DirectoryEvent};
use heronroute_engine::{Micros, Stream};
use std::net::SocketAddr;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its first connection goes elsewhere.
    Strays,
    /// Changes are passed over; whole lists are heard.
    WholeOnly,
    /// A list is handed on twice.
    Twice,
    /// A piece of a single octet is lost.
    LosesSmallPieces,
    /// It asks for everything again after each end.
    Forgets,
    /// What can't be read is taken for an empty list.
    TakesBroken,
    /// It stays where the directory was.
    Stays,
    /// It keeps the first list for the next start.
    KeepsFirst,
    /// It panics at the octet 0xFD.
    Panics,
    /// After a dozen failures it asks again at once.
    Hurries,
    /// Once it was told something it waits 20 s after each end.
    Sulks,
    /// It waits for a silent directory for good.
    Trusts,
    /// It gives up whenever it is asked about the time.
    Hasty,
}

/// The directory with its fault.
#[derive(Debug)]
struct Wrong {
    inner: Box<dyn Directory>,
    fault: Fault,
    connections: usize,
    stands: bool,
    told: bool,
    kept: Option<String>,
}

/// A catalog whose clients have a fault.
pub struct Planted<'a>(pub &'a dyn Catalog, pub Fault);

impl Wrong {
    fn is(&self, fault: Fault) -> bool {
        self.fault == fault
    }
}

impl Directory for Wrong {
    fn known(&mut self, listing: &Listing) {
        self.inner.known(listing);
    }
    fn subscribe(&mut self, now: Micros) -> bool {
        self.inner.subscribe(now)
    }
    fn text(&self) -> Option<String> {
        self.kept.clone().filter(|_| self.is(Fault::KeepsFirst)).or_else(|| self.inner.text())
    }
    fn moved(&mut self, now: Micros, address: SocketAddr) {
        (self.stands, self.told) = (false, false);
        self.inner.moved(now, if self.is(Fault::Stays) { HERE } else { address });
    }
    fn wake(&self) -> Micros {
        let wake = self.inner.wake();
        match self.fault {
            Fault::Hurries if !self.stands && self.connections > 12 => 0,
            Fault::Sulks if !self.stands && self.told => wake + 20_000_000,
            Fault::Trusts if self.stands => Micros::MAX,
            _ => wake,
        }
    }
    fn tick(&mut self, now: Micros, heard: &mut Vec<DirectoryEvent>) -> ConnectionAction {
        if self.is(Fault::Hasty) && self.stands && now < self.inner.wake() {
            return ConnectionAction::Drop;
        }
        if now < self.wake() {
            return ConnectionAction::Nothing;
        }
        let now = if self.is(Fault::Hurries) { now.max(self.inner.wake()) } else { now };
        let want = self.inner.tick(now, heard);
        match want {
            ConnectionAction::Connect(_) => {
                self.stands = true;
                self.connections += 1;
            }
            ConnectionAction::Drop => self.stands = false,
            ConnectionAction::Nothing => {}
        }
        match want {
            ConnectionAction::Connect(_) if self.is(Fault::Strays) && self.connections == 1 => {
                ConnectionAction::Connect(THERE)
            }
            _ => want,
        }
    }
    fn connected(&mut self, now: Micros, stream: &mut Stream) {
        self.stands = true;
        self.inner.connected(now, stream);
        if self.is(Fault::Forgets) && self.connections > 1 {
            let said = String::from_utf8_lossy(&stream.out).replace("since=5", "since=0");
            stream.out.clear();
            stream.out.extend_from_slice(said.as_bytes());
        }
    }
    fn receive(
        &mut self,
        now: Micros,
        octets: &[u8],
        stream: &mut Stream,
        heard: &mut Vec<DirectoryEvent>,
    ) -> bool {
        assert!(!(self.is(Fault::Panics) && octets.contains(&0xFD)), "an octet that nobody thought of");
        if self.is(Fault::LosesSmallPieces) && octets.len() == 1 {
            return true;
        }
        let from = heard.len();
        let goes_on = self.inner.receive(now, octets, stream, heard);
        self.told |= heard[from..].iter().any(|h| matches!(h, DirectoryEvent::List(_)));
        if self.is(Fault::TakesBroken) && !goes_on {
            heard.push(DirectoryEvent::List(Listing { version: 0, whole: true, endpoints: Vec::new() }));
        }
        if self.is(Fault::WholeOnly) {
            heard.retain(|h| !matches!(h, DirectoryEvent::List(l) if !l.whole));
        }
        if self.is(Fault::Twice) {
            let last = heard[from..]
                .iter()
                .rfind(|h| matches!(h, DirectoryEvent::List(l) if l.version == 4))
                .cloned();
            heard.extend(last);
        }
        if self.kept.is_none() && self.told {
            self.kept = self.inner.text();
        }
        goes_on
    }
    fn ended(&mut self, now: Micros, heard: &mut Vec<DirectoryEvent>) {
        self.stands = false;
        self.inner.ended(now, heard);
    }
}

impl Catalog for Planted<'_> {
    fn directory(&self, now: Micros) -> Box<dyn Directory> {
        let inner = self.0.directory(now);
        let (connections, stands, told) = (0, false, false);
        Box::new(Wrong { inner, fault: self.1, connections, stands, told, kept: None })
    }
    fn head(&self) -> Vec<u8> {
        self.0.head()
    }
    fn list(&self, version: u64, whole: bool, endpoints: &[(&str, Status)]) -> Vec<u8> {
        self.0.list(version, whole, endpoints)
    }
    fn nothing(&self) -> Vec<u8> {
        self.0.nothing()
    }
    fn broken(&self) -> Vec<Vec<u8>> {
        self.0.broken()
    }
}
