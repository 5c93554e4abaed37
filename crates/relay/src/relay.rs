//! The relay: one thread for all links, and the handles by which they are scripted.

use crate::fault::{Cut, Door, Flow, Shape, Way};
pub use crate::lane::Counts;
use crate::reactor::{Job, Reactor};
use crate::split::Split;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::{fmt, io};

/// Why a handle could not do what it was told.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The relay has stopped.
    #[error("the relay has stopped")]
    Stopped,
    /// A socket could not be had.
    #[error("the relay's sockets: {0}")]
    Io(#[from] io::Error),
    /// An address that is not on loopback.
    #[error("{0} is not on loopback")]
    Abroad(SocketAddr),
}

/// A link to stand in.
#[derive(Clone, Copy, Debug)]
pub struct LinkSpec {
    /// The real address, on loopback.
    pub to: SocketAddr,
    /// How its streams are split into frames, both ways.
    pub split: Split,
    /// Octets held for each way of each connection at most; when full its writer is not read from, so that nothing is
    /// given up and the writer is slowed down. A whole frame is always held.
    pub buffer: usize,
    /// Connections at most. Beyond it the oldest is reset: while a link is cut and connections are held open, those whose
    /// both ends have long left would pile up.
    pub connections: usize,
}

impl LinkSpec {
    /// Frames with a length of 4 octets, up to 1 MiB each; 1 MiB held each way; 64 connections.
    pub fn to(to: SocketAddr) -> Self {
        LinkSpec { to, split: Split::Length32 { most: 1 << 20 }, buffer: 1 << 20, connections: 64 }
    }
}

/// What a link has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Forward and backward, over all its connections; see [`LinkCounts::way`].
    pub ways: [Counts; 2],
    /// Connections taken.
    pub accepted: u64,
    /// Connections that reached the real address.
    pub reached: u64,
    /// Connections that the real address refused.
    pub failed: u64,
    /// Connections reset by order, at the door, or beyond [`LinkSpec::connections`].
    pub reset: u64,
    /// Connections open now.
    pub open: u64,
}

impl LinkCounts {
    /// Of one way.
    pub fn way(&self, way: Way) -> Counts {
        self.ways[way.index()]
    }
}

/// The thread. It ends, and resets every connection, when this is dropped.
pub struct Relay {
    line: Line,
    thread: Option<JoinHandle<()>>,
}

#[derive(Clone)]
struct Line {
    jobs: Sender<Job>,
    waker: Arc<mio::Waker>,
}

impl Line {
    /// Has the thread do something and waits until it is done.
    fn ask<T: Send + 'static>(
        &self,
        job: impl FnOnce(&mut Reactor) -> T + Send + 'static,
    ) -> Result<T, RelayError> {
        let (told, heard): (_, Receiver<T>) = channel();
        let job: Job = Box::new(move |reactor| _ = told.send(job(reactor)));
        self.jobs.send(job).map_err(|_| RelayError::Stopped)?;
        self.waker.wake()?;
        heard.recv().map_err(|_| RelayError::Stopped)
    }
}

impl Relay {
    /// Starts the thread. The same seed hits the same frames of the same connections of the same links, counted in the
    /// order in which they were added and came.
    ///
    /// # Errors
    /// Where the system has no poll or no thread.
    pub fn start(seed: u64) -> Result<Self, RelayError> {
        let (jobs, todo) = channel();
        let (mut reactor, waker) = Reactor::new(seed, todo)?;
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || reactor.run())?;
        Ok(Relay { line: Line { jobs, waker: Arc::new(waker) }, thread: Some(thread) })
    }

    /// Stands in a link, listening at a port of its own.
    ///
    /// # Errors
    /// Where the address is not on loopback, or the system has no port.
    pub fn link(&self, spec: LinkSpec) -> Result<Link, RelayError> {
        if !spec.to.ip().is_loopback() {
            return Err(RelayError::Abroad(spec.to));
        }
        let (index, at) = self.line.ask(move |reactor| reactor.add(spec))??;
        Ok(Link { line: self.line.clone(), index, at })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        _ = self.line.ask(Reactor::stop);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

/// A handle on a link. Each call returns once the relay has done it. All fail where the relay has stopped.
#[derive(Clone)]
pub struct Link {
    line: Line,
    index: usize,
    at: SocketAddr,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Link({}, {})", self.index, self.at)
    }
}

type Done = Result<(), RelayError>;

impl Link {
    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// One way behaves so from now on, on connections that stand and on new ones.
    pub fn set(&self, way: Way, shape: Shape) -> Done {
        let index = self.index;
        self.line.ask(move |r| r.set(index, way, shape))
    }

    /// Both ways behave so.
    pub fn set_both(&self, shape: Shape) -> Done {
        let index = self.index;
        self.line.ask(move |r| Way::BOTH.map(|way| r.set(index, way, shape)))?;
        Ok(())
    }

    /// New connections meet this.
    pub fn door(&self, door: Door) -> Done {
        let index = self.index;
        self.line.ask(move |r| r.door(index, door))??;
        Ok(())
    }

    /// Resets every connection that stands, at both sides.
    pub fn reset(&self) -> Done {
        let index = self.index;
        self.line.ask(move |r| r.end_all(index, true))
    }

    /// Closes every connection that stands, at both sides; what was held is dropped.
    pub fn close(&self) -> Done {
        let index = self.index;
        self.line.ask(move |r| r.end_all(index, false))
    }

    /// Cuts both ways.
    pub fn cut(&self, cut: Cut) -> Done {
        match cut {
            Cut::Silent => self.set_both(Shape::flow(Flow::Drop)),
            Cut::Hold => self.set_both(Shape::flow(Flow::Hold)),
            // The door first, or a quick dialler would slip in between.
            Cut::Reset => self.door(Door::Refused).and_then(|()| self.reset()),
            Cut::Closed => self.door(Door::Refused).and_then(|()| self.close()),
        }
    }

    /// Everything passes again, both ways, old connections and new ones.
    pub fn heal(&self) -> Done {
        self.set_both(Shape::default())?;
        self.door(Door::Open)
    }

    /// What it has seen.
    pub fn counts(&self) -> Result<LinkCounts, RelayError> {
        let index = self.index;
        self.line.ask(move |r| r.counts(index))
    }
}
