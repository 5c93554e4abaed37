//! Parses octets into commands.

use bytes::{Buf, BytesMut};

/// Upper bounds of what a client may declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Arguments of a command, its name included.
    pub args: usize,
    /// Octets of all arguments of a command together.
    pub octets: usize,
}

/// The arguments of a command, its name first.
pub type Command = Vec<Vec<u8>>;

/// The stream can't be read any further, for this reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Unreadable(pub &'static str);

/// Octets of a line that declares a length at most, its end included.
const LINE: usize = 16;

/// Splits a stream into commands.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    buffer: BytesMut,
    /// Arguments still expected; 0 between commands.
    to_come: usize,
    /// Length of the current argument, once it is declared.
    length: Option<usize>,
    args: Command,
    /// Octets declared for the current command so far.
    declared: usize,
}

impl Reader {
    /// Creates a reader at the start of a stream.
    pub fn new(limits: Limits) -> Self {
        let (buffer, args) = (BytesMut::new(), Vec::new());
        Reader { limits, buffer, to_come: 0, length: None, args, declared: 0 }
    }

    /// Accepts octets from the stream.
    pub fn push(&mut self, octets: &[u8]) {
        self.buffer.extend_from_slice(octets);
    }

    /// The number of buffered octets that are not part of an argument yet.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the stream holds octets of a command that was not returned yet.
    pub fn begun(&self) -> bool {
        self.to_come > 0 || !self.buffer.is_empty()
    }

    /// The next command, if it is complete.
    ///
    /// # Errors
    /// If the stream can't be read any further.
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
                // Guards against values of 60 MB: a value that would be rejected is not waited for.
                if n > self.limits.octets.saturating_sub(self.declared) {
                    return Err(Unreadable("too long"));
                }
                self.declared += n;
                self.length = Some(n);
            }
        }
    }

    /// The number in a line that declares a length or a count. Signs, spaces and empty numbers are errors.
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
