//! Reads from and writes to non-blocking sockets.

use std::io::{ErrorKind, Read, Write};

/// The result of reading or writing, with the number of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The socket would block after this many bytes.
    Blocked(usize),
    /// The operation stopped after this many bytes without blocking; there may be more.
    More(usize),
    /// The peer closed its side after this many bytes.
    Ended(usize),
    /// The connection is broken.
    Broken,
}

/// Reads into a buffer until it is full or the socket has no more.
///
/// A read that returns less than fits the buffer has emptied the socket (epoll(7)), so the call that would
/// block is saved. With `to_end`, reading continues until the socket would block or the end of the stream is
/// found; for use when the peer may have closed its side.
pub fn read_some(socket: &mut impl Read, buffer: &mut [u8], to_end: bool) -> Progress {
    let mut done = 0;
    while done < buffer.len() {
        match socket.read(&mut buffer[done..]) {
            Ok(0) => return Progress::Ended(done),
            Ok(count) => {
                done += count;
                if done < buffer.len() && !to_end {
                    return Progress::Blocked(done);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Progress::Blocked(done),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // The bytes before the error still count; the error is found again at the next read.
            Err(_) if done > 0 => return Progress::More(done),
            Err(_) => return Progress::Broken,
        }
    }
    Progress::More(done)
}

/// Writes until all bytes are written or the socket would block.
pub fn write_some(socket: &mut impl Write, bytes: &[u8]) -> Progress {
    let mut done = 0;
    while done < bytes.len() {
        match socket.write(&bytes[done..]) {
            // Bytes that were written before count as sent, whatever follows: their request may have run.
            Ok(0) => return if done > 0 { Progress::Blocked(done) } else { Progress::Broken },
            Ok(count) => done += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Progress::Blocked(done),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return if done > 0 { Progress::Blocked(done) } else { Progress::Broken },
        }
    }
    Progress::More(done)
}
