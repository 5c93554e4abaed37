//! The outgoing bytes of a connection. They are counted, so that it is known how much of each call has been
//! sent.

use bytes::{Buf, BytesMut};

/// The size of the buffer that a connection with nothing to send keeps, in bytes.
const KEPT_BUFFER_BYTES: usize = 1_024;

/// The outgoing side of one connection.
#[derive(Debug, Default)]
pub struct Stream {
    /// Bytes that have not been handed to the operating system.
    pub out: BytesMut,
    /// The number of bytes handed to the operating system so far.
    pub sent: u64,
}

impl Stream {
    /// Returns the position of the next byte that is appended.
    pub fn position(&self) -> u64 {
        self.sent + self.out.len() as u64
    }

    /// Records that the operating system accepted `n` bytes.
    pub fn wrote(&mut self, n: usize) {
        let n = n.min(self.out.len());
        self.out.advance(n);
        self.sent += n as u64;
        if self.out.is_empty() && self.out.capacity() > KEPT_BUFFER_BYTES {
            self.out = BytesMut::new();
        }
    }

    /// Removes a range of unsent bytes. Returns whether that was possible.
    pub fn withdraw(&mut self, from: u64, to: u64) -> bool {
        if from < self.sent || to > self.position() || from > to {
            return false;
        }
        let (from, to) = ((from - self.sent) as usize, (to - self.sent) as usize);
        let tail = self.out.split_off(to);
        self.out.truncate(from);
        self.out.unsplit(tail);
        true
    }
}
