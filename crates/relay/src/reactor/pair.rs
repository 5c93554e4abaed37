//! A connection through the relay: the dialler's socket, the real address's, and a lane each way.

use crate::Micros;
use crate::fault::Shape;
use crate::lane::{Counts, End, Lane, Next};
use crate::relay::LinkSpec;
use mio::net::TcpStream;
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

/// Rounds of reading and writing before others get their turn.
const ROUNDS: usize = 16;

#[derive(Default)]
struct Side {
    stream: Option<TcpStream>,
    connected: bool,
    readable: bool,
    writable: bool,
    /// Nothing more comes from it.
    ended: bool,
    /// It takes nothing any more.
    broken: bool,
}

/// What is to become of a connection.
pub enum After {
    /// It goes on, and is looked at again then.
    Goes(Option<Micros>),
    /// The real address was not reached.
    Failed,
    /// Both ways have ended in order.
    Closed,
    /// It ends by a reset.
    Reset,
}

pub struct Pair {
    pub link: usize,
    pub serial: u64,
    pub wake: Option<Micros>,
    /// The real address was reached since this was last taken.
    pub reached: bool,
    pub lanes: [Lane; 2],
    /// The dialler, and the real address.
    sides: [Side; 2],
    /// The lane's end has passed.
    done: [bool; 2],
}

impl Pair {
    pub fn new(
        link: usize,
        stream: TcpStream,
        spec: &LinkSpec,
        shapes: [Shape; 2],
        seeds: [u64; 2],
        serial: u64,
    ) -> Self {
        _ = stream.set_nodelay(true);
        let lane = |way: usize| Lane::new(spec.split, shapes[way], seeds[way], spec.buffer);
        let dialler = Side { stream: Some(stream), connected: true, ..Side::default() };
        Pair {
            link,
            serial,
            wake: None,
            reached: false,
            lanes: [lane(0), lane(1)],
            sides: [dialler, Side::default()],
            done: [false; 2],
        }
    }

    pub fn stream(&mut self, side: usize) -> Option<&mut TcpStream> {
        self.sides.get_mut(side)?.stream.as_mut()
    }

    pub fn ready(&mut self, side: usize, readable: bool, writable: bool) {
        if let Some(side) = self.sides.get_mut(side) {
            side.readable |= readable;
            side.writable |= writable;
        }
    }

    /// The real address has not been dialled.
    pub fn waits(&self) -> bool {
        self.sides[1].stream.is_none()
    }

    /// Dials; says whether that began.
    pub fn dial(&mut self, to: SocketAddr, register: impl FnOnce(&mut TcpStream) -> io::Result<()>) -> bool {
        let Ok(mut stream) = TcpStream::connect(to) else { return false };
        let fine = register(&mut stream).is_ok();
        self.sides[1].stream = Some(stream);
        fine
    }

    pub fn counts(&self) -> [Counts; 2] {
        [self.lanes[0].counts(), self.lanes[1].counts()]
    }

    /// Moves what can move, until nothing does.
    pub fn pump(&mut self, now: Micros, buffer: &mut [u8]) -> After {
        if !self.sides[1].connected && self.connects().is_err() {
            return After::Failed;
        }
        let (mut moved, mut rounds) = (true, 0);
        while moved && rounds < ROUNDS {
            (moved, rounds) = (false, rounds + 1);
            for way in 0..2 {
                moved |= self.take(now, way, buffer);
                match self.give(now, way) {
                    Given::Some => moved = true,
                    Given::Nothing => {}
                    Given::Reset => return After::Reset,
                }
            }
        }
        // A dialler that gives up before it was heard leaves nothing behind, as where a handshake never ended.
        if self.waits() && self.sides[0].ended {
            return After::Closed;
        }
        if self.done == [true; 2] {
            return After::Closed;
        }
        if moved {
            return After::Goes(Some(now + 1));
        }
        let waking = (0..2).filter(|w| self.sides[1 - w].writable);
        After::Goes(waking.filter_map(|w| self.lanes[w].wake(now)).min().map(|at| at.max(now + 1)))
    }

    /// Looks whether a dial has come to its end.
    fn connects(&mut self) -> io::Result<()> {
        let side = &mut self.sides[1];
        let Some(stream) = &side.stream else { return Ok(()) };
        if let Some(e) = stream.take_error()? {
            return Err(e);
        }
        match stream.peer_addr() {
            Ok(_) => {
                _ = stream.set_nodelay(true);
                (side.connected, self.reached) = (true, true);
                Ok(())
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Reads what comes in for one way. Says whether anything came.
    fn take(&mut self, now: Micros, way: usize, buffer: &mut [u8]) -> bool {
        let (side, lane) = (&mut self.sides[way], &mut self.lanes[way]);
        let Some(stream) = &mut side.stream else { return false };
        let mut moved = false;
        while side.connected && side.readable && !side.ended && lane.room() > 0 {
            let room = lane.room().min(buffer.len());
            match stream.read(&mut buffer[..room]) {
                Ok(0) => {
                    lane.end(now, End::Closed);
                    side.ended = true;
                }
                Ok(n) => lane.push(now, &buffer[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    side.readable = false;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => {
                    lane.end(now, End::Reset);
                    (side.ended, side.broken) = (true, true);
                    // Who was reset hears nothing more; what is on its way to it has nobody to take it.
                    self.lanes[1 - way].sink();
                    return true;
                }
            }
            moved = true;
        }
        moved
    }

    /// Writes what may leave one way.
    fn give(&mut self, now: Micros, way: usize) -> Given {
        let (side, lane) = (&mut self.sides[1 - way], &mut self.lanes[way]);
        let Some(stream) = side.stream.as_mut().filter(|_| side.connected && !self.done[way]) else {
            return Given::Nothing;
        };
        let mut given = Given::Nothing;
        while side.writable || side.broken {
            match lane.next(now) {
                Next::Nothing => return given,
                Next::Ended(End::Reset) => return Given::Reset,
                Next::Ended(End::Closed) => {
                    _ = stream.shutdown(Shutdown::Write);
                    self.done[way] = true;
                    return Given::Some;
                }
                Next::Octets(octets) => match stream.write(octets) {
                    Ok(n) => lane.wrote(n),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => side.writable = false,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => {
                        side.broken = true;
                        lane.sink();
                        // Its writer hears of it by the other way, and not before that way lets it.
                        self.lanes[1 - way].end(now, End::Reset);
                        self.done[1 - way] = false;
                        side.ended = true;
                        return Given::Some;
                    }
                },
            }
            given = Given::Some;
        }
        given
    }

    /// Both sides are closed by a reset.
    pub fn reset(&mut self) {
        for side in &mut self.sides {
            if let Some(stream) = side.stream.take() {
                reset(stream);
            }
        }
    }
}

enum Given {
    Some,
    Nothing,
    Reset,
}

/// Closes a connection by a reset.
pub fn reset(stream: TcpStream) {
    _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}
