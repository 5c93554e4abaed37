//! Octets on their way out of a connection, counted, so that it is known of each call what of it has left.

use bytes::{Buf, BytesMut};

/// The outgoing side of one connection.
#[derive(Debug, Default)]
pub struct Stream {
    /// What has not been handed to the system.
    pub out: BytesMut,
    /// Octets handed to the system so far.
    pub sent: u64,
}

impl Stream {
    /// The position of the next octet that is appended.
    pub fn position(&self) -> u64 {
        self.sent + self.out.len() as u64
    }

    /// The system took octets.
    pub fn wrote(&mut self, n: usize) {
        let n = n.min(self.out.len());
        self.out.advance(n);
        self.sent += n as u64;
    }

    /// Takes back octets that have not begun to leave; whether that was possible.
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
