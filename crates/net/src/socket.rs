//! Reading and writing as far as a socket goes.

use std::io::{ErrorKind, Read, Write};

/// How far it went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// So many octets, and the socket has no more or takes no more.
    Blocked(usize),
    /// So many octets, and the turn's share is used up; there may be more.
    More(usize),
    /// So many octets, then the peer closed its side.
    Ended(usize),
    /// The connection is broken.
    Broken,
}

/// Reads into a buffer until it is full, or the socket has no more. A read that gives less than there was room for
/// has emptied the socket (epoll(7)), which saves the call that would say so; with `to_end`, the peer having closed
/// its side, it is read on until the end shows.
pub fn read_some(socket: &mut impl Read, buffer: &mut [u8], to_end: bool) -> Progress {
    let mut n = 0;
    while n < buffer.len() {
        match socket.read(&mut buffer[n..]) {
            Ok(0) => return Progress::Ended(n),
            Ok(m) => {
                n += m;
                if n < buffer.len() && !to_end {
                    return Progress::Blocked(n);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Progress::Blocked(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // What came before the break is still to be heard; the break shows again at the next read.
            Err(_) if n > 0 => return Progress::More(n),
            Err(_) => return Progress::Broken,
        }
    }
    Progress::More(n)
}

/// Writes until all is written, or the socket takes no more.
pub fn write_some(socket: &mut impl Write, octets: &[u8]) -> Progress {
    let mut n = 0;
    while n < octets.len() {
        match socket.write(&octets[n..]) {
            // What went before counts as gone out, whatever follows: it may have run.
            Ok(0) => return if n > 0 { Progress::Blocked(n) } else { Progress::Broken },
            Ok(m) => n += m,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Progress::Blocked(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return if n > 0 { Progress::Blocked(n) } else { Progress::Broken },
        }
    }
    Progress::More(n)
}
