//! A link: its listener, how it behaves now, and which connections are its.

use super::handshake;
use crate::fault::{Door, Shape};
use crate::lane::Counts;
use crate::relay::{LinkCounts, LinkSpec};
use heronroute_reserved_port::ReservedPort;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

pub struct Listening {
    pub spec: LinkSpec,
    pub door: Door,
    pub shapes: [Shape; 2],
    /// Of connections that are over; those that stand are added when asked for.
    pub counts: LinkCounts,
    port: ReservedPort,
    listener: Option<TcpListener>,
    /// By the order in which they came.
    pairs: BTreeMap<u64, usize>,
}

impl Listening {
    pub fn new(spec: LinkSpec) -> io::Result<Self> {
        Ok(Listening {
            spec,
            door: Door::Open,
            shapes: [Shape::default(); 2],
            counts: LinkCounts::default(),
            port: ReservedPort::on_localhost()?,
            listener: None,
            pairs: BTreeMap::new(),
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Listens, if it does not yet.
    pub fn open(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        if self.listener.is_none() {
            let listener = self.port.listen()?;
            listener.set_nonblocking(true)?;
            let mut listener = TcpListener::from_std(listener);
            registry.register(&mut listener, token, Interest::READABLE)?;
            self.listener = Some(listener);
        }
        Ok(())
    }

    /// Listens no more; the port stays the relay's.
    pub fn shut(&mut self) {
        self.listener = None;
    }

    /// A connection that waits, if any.
    pub fn accept(&mut self) -> io::Result<Option<TcpStream>> {
        let Some(listener) = &self.listener else { return Ok(None) };
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    self.counts.accepted += 1;
                    return Ok(Some(stream));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                // It was gone before it was taken.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted) => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether a connection that was taken may go on to the real address.
    pub fn lets_in(&self) -> bool {
        self.door != Door::Silent && handshake(&self.shapes)
    }

    /// Seeds of both ways of the connection taken last.
    pub fn seeds(&self, seed: u64, index: usize) -> [u64; 2] {
        [0, 1].map(|way| mix(mix(mix(seed, index as u64), self.counts.accepted), way))
    }

    /// The connection taken last is this one; gives one that is too many.
    pub fn entered(&mut self, key: usize) -> Option<usize> {
        self.pairs.insert(self.counts.accepted, key);
        if self.pairs.len() <= self.spec.connections.max(1) {
            return None;
        }
        self.counts.reset += 1;
        self.pairs.first_key_value().map(|(_, key)| *key)
    }

    pub fn left(&mut self, serial: u64, counts: [Counts; 2]) {
        self.pairs.remove(&serial);
        self.counts.ways.iter_mut().zip(counts).for_each(|(all, one)| *all += Counts { held: 0, ..one });
    }

    /// Its connections, the oldest first.
    pub fn keys(&self) -> Vec<usize> {
        self.pairs.values().copied().collect()
    }
}

/// One step of splitmix64 over both.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_add(b.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
