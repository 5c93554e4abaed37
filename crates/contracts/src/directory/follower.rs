//! A directory's client and its connections.

use super::Catalog;
use heronroute_config::Listing;
use heronroute_engine::directory::{ConnectionAction, Directory, DirectoryEvent};
use heronroute_engine::{Micros, Stream};
use std::net::SocketAddr;

/// Acts within which it must come to what it is waited for: one whose time never moves on would be waited for without end.
pub const MOST_ACTS: usize = 1_000;

/// The client as seen by whoever runs it.
pub struct Follower<'a> {
    /// What it follows.
    pub catalog: &'a dyn Catalog,
    /// The client.
    pub directory: Box<dyn Directory>,
    /// What it says on its connection.
    pub stream: Stream,
    /// All that it heard.
    pub heard: Vec<DirectoryEvent>,
    /// The time.
    pub now: Micros,
}

impl<'a> Follower<'a> {
    /// One that has not begun.
    pub fn new(catalog: &'a dyn Catalog) -> Self {
        let now = 1_000_000;
        let (directory, stream) = (catalog.directory(now), Stream::default());
        Follower { catalog, directory, stream, heard: Vec::new(), now }
    }

    /// One that is connected and was told this.
    ///
    /// # Errors
    /// Where it does not connect.
    pub fn told(catalog: &'a dyn Catalog, octets: &[u8]) -> Result<Self, String> {
        let mut f = Follower::new(catalog);
        f.connect()?;
        f.hear(octets);
        Ok(f)
    }

    /// Time passes up to its next act.
    pub fn act(&mut self) -> ConnectionAction {
        self.now = self.now.max(self.directory.wake().min(self.now + 3_600_000_000));
        self.directory.tick(self.now, &mut self.heard)
    }

    /// Time passes until it connects, and the connection stands, with its head. Gives where it went.
    ///
    /// # Errors
    /// Where it does not within a minute.
    pub fn connect(&mut self) -> Result<SocketAddr, String> {
        let end = self.now + 60_000_000;
        for _ in 0..MOST_ACTS {
            if self.now > end {
                break;
            }
            if let ConnectionAction::Connect(address) = self.act() {
                self.stream = Stream::default();
                self.directory.connected(self.now, &mut self.stream);
                let head = self.catalog.head();
                if !head.is_empty() {
                    self.hear(&head);
                }
                return Ok(address);
            }
        }
        Err(format!("it does not connect again within a minute: {:?}", self.directory))
    }

    /// Octets come; whether the connection goes on.
    pub fn hear(&mut self, octets: &[u8]) -> bool {
        let goes_on = self.directory.receive(self.now, octets, &mut self.stream, &mut self.heard);
        if !goes_on {
            self.end();
        }
        goes_on
    }

    /// The connection is gone.
    pub fn end(&mut self) {
        self.directory.ended(self.now, &mut self.heard);
    }

    /// What it says, as text.
    pub fn said(&self) -> String {
        String::from_utf8_lossy(&self.stream.out).into_owned()
    }

    /// Lists that it heard.
    pub fn lists(&self) -> Vec<&Listing> {
        let mut lists = Vec::new();
        for heard in &self.heard {
            if let DirectoryEvent::List(list) = heard {
                lists.push(list);
            }
        }
        lists
    }
}
