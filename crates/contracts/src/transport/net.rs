//! What carries octets: memory, sockets on loopback, and sockets with the relay of faults between them.

use heronroute_relay::{Flow, Link, LinkSpec, Relay, Shape, Split, Way};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Carries octets between two ends, each way by itself. The end that dialled is 0.
pub trait Net {
    /// A new pipe, by number.
    fn open(&mut self) -> usize;
    /// Puts octets in at an end; gives how many were taken.
    fn put(&mut self, pipe: usize, end: usize, octets: &[u8]) -> usize;
    /// What comes out at an end now.
    fn take(&mut self, pipe: usize, end: usize) -> Vec<u8>;
    /// From now on nothing that is put in at this end comes out at the other, and nothing is lost.
    fn hold(&mut self, pipe: usize, end: usize);
    /// Something may need real time to come out.
    fn late(&self) -> bool;
}

/// In memory, in pieces of so many octets.
pub struct Memory {
    piece: usize,
    /// For each end what comes out there, and whether it is held.
    pipes: Vec<[(Vec<u8>, bool); 2]>,
}

impl Memory {
    /// Gives out so many octets at once.
    pub fn new(piece: usize) -> Self {
        Memory { piece, pipes: Vec::new() }
    }
}

impl Net for Memory {
    fn open(&mut self) -> usize {
        self.pipes.push(Default::default());
        self.pipes.len() - 1
    }
    fn put(&mut self, pipe: usize, end: usize, octets: &[u8]) -> usize {
        self.pipes[pipe][1 - end].0.extend_from_slice(octets);
        octets.len()
    }
    fn take(&mut self, pipe: usize, end: usize) -> Vec<u8> {
        let (octets, held) = &mut self.pipes[pipe][end];
        let n = if *held { 0 } else { octets.len().min(self.piece) };
        octets.drain(..n).collect()
    }
    fn hold(&mut self, pipe: usize, end: usize) {
        self.pipes[pipe][1 - end].1 = true;
    }
    fn late(&self) -> bool {
        false
    }
}

/// Sockets on loopback.
#[derive(Default)]
pub struct Tcp {
    pipes: Vec<[TcpStream; 2]>,
    /// Ends that are not read from any more.
    held: Vec<(usize, usize)>,
}

impl Tcp {
    /// A pipe whose dialler reaches the listener by what `by` makes of its address.
    fn open_by(&mut self, by: impl FnOnce(SocketAddr) -> SocketAddr) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let at = by(listener.local_addr().expect("its address"));
        let one = TcpStream::connect(at).expect("a connection on loopback");
        let (two, _) = listener.accept().expect("the connection's other end");
        for end in [&one, &two] {
            end.set_nonblocking(true).and_then(|()| end.set_nodelay(true)).expect("a socket's options");
        }
        self.pipes.push([one, two]);
        self.pipes.len() - 1
    }
}

impl Net for Tcp {
    fn open(&mut self) -> usize {
        self.open_by(|at| at)
    }
    fn put(&mut self, pipe: usize, end: usize, octets: &[u8]) -> usize {
        match self.pipes[pipe][end].write(octets) {
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(e) => panic!("{e}"),
        }
    }
    fn take(&mut self, pipe: usize, end: usize) -> Vec<u8> {
        if self.held.contains(&(pipe, end)) {
            return Vec::new();
        }
        let mut buffer = vec![0; 65_536];
        let n = self.pipes[pipe][end].read(&mut buffer).unwrap_or(0);
        buffer.truncate(n);
        buffer
    }
    fn hold(&mut self, pipe: usize, end: usize) {
        self.held.push((pipe, 1 - end));
    }
    fn late(&self) -> bool {
        true
    }
}

/// Sockets on loopback, the relay between their ends. A way is held by it: connections stand, and nothing passes.
pub struct Relayed {
    relay: Relay,
    links: Vec<Link>,
    tcp: Tcp,
}

impl Relayed {
    /// Starts a relay.
    pub fn start() -> Self {
        Relayed { relay: Relay::start(1).expect("a relay"), links: Vec::new(), tcp: Tcp::default() }
    }
}

impl Net for Relayed {
    fn open(&mut self) -> usize {
        let (relay, links) = (&self.relay, &mut self.links);
        self.tcp.open_by(|to| {
            // By what each read brings: by frames, half a frame would wait in the relay for its other half.
            let spec = LinkSpec { split: Split::Chunks, ..LinkSpec::to(to) };
            let link = relay.link(spec).expect("a link of the relay");
            let at = link.address();
            links.push(link);
            at
        })
    }
    fn put(&mut self, pipe: usize, end: usize, octets: &[u8]) -> usize {
        self.tcp.put(pipe, end, octets)
    }
    fn take(&mut self, pipe: usize, end: usize) -> Vec<u8> {
        self.tcp.take(pipe, end)
    }
    fn hold(&mut self, pipe: usize, end: usize) {
        let way = if end == 0 { Way::Forward } else { Way::Backward };
        self.links[pipe].set(way, Shape::flow(Flow::Hold)).expect("the relay runs");
    }
    fn late(&self) -> bool {
        true
    }
}
