//! Parses commands.

use bytes::{Buf, BytesMut};

/// The maximum sizes that a client may declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of arguments of a command, its name included.
    pub args: usize,
    /// The size of all arguments of a command together, in bytes.
    pub bytes: usize,
}

/// The arguments of a command, its name first.
pub type Command = Vec<Vec<u8>>;

/// Why a stream can't be parsed any further. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseError(pub &'static str);

/// The maximum size of a line that declares a length, in bytes, its end included.
const MAX_LENGTH_LINE_BYTES: usize = 16;

/// Splits a stream into commands.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    buffer: BytesMut,
    /// The number of arguments still expected, 0 between commands.
    args_missing: usize,
    /// The length of the current argument, once it is declared.
    arg_length: Option<usize>,
    /// The arguments received so far.
    args: Command,
    /// The number of bytes declared for the current command so far.
    declared_bytes: usize,
}

impl Reader {
    /// Creates a reader at the start of a stream.
    pub fn new(limits: Limits) -> Self {
        let (buffer, args) = (BytesMut::new(), Vec::new());
        Reader { limits, buffer, args_missing: 0, arg_length: None, args, declared_bytes: 0 }
    }

    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes that are not part of an argument yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the stream contains bytes of a command that has not been returned yet.
    pub fn has_partial_command(&self) -> bool {
        self.args_missing > 0 || !self.buffer.is_empty()
    }

    /// Returns the next command, if it is complete.
    ///
    /// # Errors
    /// If the stream can't be parsed any further.
    pub fn next_command(&mut self) -> Result<Option<Command>, ParseError> {
        loop {
            if let Some(arg_length) = self.arg_length {
                if self.buffer.len() < arg_length + 2 {
                    return Ok(None);
                }
                if &self.buffer[arg_length..arg_length + 2] != b"\r\n" {
                    return Err(ParseError("a string without its end"));
                }
                self.args.push(self.buffer[..arg_length].to_vec());
                self.buffer.advance(arg_length + 2);
                self.arg_length = None;
                self.args_missing -= 1;
                if self.args_missing == 0 {
                    self.declared_bytes = 0;
                    return Ok(Some(std::mem::take(&mut self.args)));
                }
                continue;
            }
            let Some(&kind) = self.buffer.first() else { return Ok(None) };
            let wanted = if self.args_missing == 0 { b'*' } else { b'$' };
            if kind != wanted {
                return Err(ParseError("an array of bulk strings is wanted"));
            }
            let Some(n) = self.take_number()? else { return Ok(None) };
            if self.args_missing == 0 {
                if n == 0 || n > self.limits.args {
                    return Err(ParseError("wrong number of arguments"));
                }
                self.args_missing = n;
            } else {
                // Guards against values of, for example, 60 MB: a value that would be rejected is not
                // waited for.
                if n > self.limits.bytes.saturating_sub(self.declared_bytes) {
                    return Err(ParseError("too long"));
                }
                self.declared_bytes += n;
                self.arg_length = Some(n);
            }
        }
    }

    /// Parses the number in a line that declares a length or a count. Signs, spaces and empty numbers are
    /// errors.
    fn take_number(&mut self) -> Result<Option<usize>, ParseError> {
        let head = &self.buffer[..self.buffer.len().min(MAX_LENGTH_LINE_BYTES)];
        let Some(end) = head.iter().position(|b| *b == b'\n') else {
            return if head.len() == MAX_LENGTH_LINE_BYTES {
                Err(ParseError("a line too long"))
            } else {
                Ok(None)
            };
        };
        let digits = head[1..end].strip_suffix(b"\r").ok_or(ParseError("a line without its end"))?;
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(ParseError("a length is no number"));
        }
        let n =
            digits.iter().fold(0_usize, |n, d| n.saturating_mul(10).saturating_add(usize::from(d - b'0')));
        self.buffer.advance(end + 1);
        Ok(Some(n))
    }
}
