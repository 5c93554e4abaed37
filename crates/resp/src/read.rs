//! From octets to commands.

use bytes::{Buf, BytesMut};

/// What a client may declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Arguments of a command.
    pub args: usize,
    /// Octets of all arguments of a command together.
    pub octets: usize,
}

/// The arguments of a command.
pub type Command = Vec<Vec<u8>>;

/// The stream can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Unreadable(pub &'static str);

/// Octets of a line that declares a length, its end included.
const LINE: usize = 16;

/// Cuts a stream into commands.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    buffer: BytesMut,
    /// Arguments that are still to come; 0 between commands.
    to_come: usize,
    /// Length of the one that is being read.
    length: Option<usize>,
    args: Command,
    /// Octets declared for this command so far.
    declared: usize,
}

impl Reader {
    /// A reader at the beginning of a stream.
    pub fn new(limits: Limits) -> Self {
        let (buffer, args) = (BytesMut::new(), Vec::new());
        Reader { limits, buffer, to_come: 0, length: None, args, declared: 0 }
    }

    /// Takes octets from the stream.
    pub fn push(&mut self, octets: &[u8]) {
        self.buffer.extend_from_slice(octets);
    }

    /// Octets that were taken and are not part of a command yet.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// Whether something has come of a command that isn't whole.
    pub fn begun(&self) -> bool {
        self.to_come > 0 || !self.buffer.is_empty()
    }

    /// The next command, if it is whole.
    ///
    /// # Errors
    /// Where nothing after it can be read.
    pub fn next_command(&mut self) -> Result<Option<Command>, Unreadable> {
        loop {
            if let Some(length) = self.length {
                if self.buffer.len() < length + 2 {
                    return Ok(None);
                }
                if &self.buffer[length..length + 2] != b"\r\n" {
                    return Err(Unreadable("a string without its end"));
                }
                self.args.push(self.buffer[..length].to_vec());
                self.buffer.advance(length + 2);
                self.length = None;
                self.to_come -= 1;
                if self.to_come == 0 {
                    self.declared = 0;
                    return Ok(Some(std::mem::take(&mut self.args)));
                }
                continue;
            }
            let Some(&kind) = self.buffer.first() else { return Ok(None) };
            let wanted = if self.to_come == 0 { b'*' } else { b'$' };
            if kind != wanted {
                return Err(Unreadable("an array of bulk strings is wanted"));
            }
            let Some(n) = self.number()? else { return Ok(None) };
            if self.to_come == 0 {
                if n == 0 || n > self.limits.args {
                    return Err(Unreadable("wrong number of arguments"));
                }
                self.to_come = n;
            } else {
                // Guards against values of 60 MB: what won't be taken is not waited for either.
                if n > self.limits.octets.saturating_sub(self.declared) {
                    return Err(Unreadable("too long"));
                }
                self.declared += n;
                self.length = Some(n);
            }
        }
    }

    /// The number of a line that declares a length; signs, blanks and empty numbers are none.
    fn number(&mut self) -> Result<Option<usize>, Unreadable> {
        let head = &self.buffer[..self.buffer.len().min(LINE)];
        let Some(end) = head.iter().position(|b| *b == b'\n') else {
            return if head.len() == LINE { Err(Unreadable("a line too long")) } else { Ok(None) };
        };
        let digits = head[1..end].strip_suffix(b"\r").ok_or(Unreadable("a line without its end"))?;
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(Unreadable("a length is no number"));
        }
        let n =
            digits.iter().fold(0_usize, |n, d| n.saturating_mul(10).saturating_add(usize::from(d - b'0')));
        self.buffer.advance(end + 1);
        Ok(Some(n))
    }
}
