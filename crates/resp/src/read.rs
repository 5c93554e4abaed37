//! Parses commands.

use bytes::{Buf, BytesMut};

/// The maximum sizes that a client may declare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of arguments of a command, its name included.
    pub args: usize,
    /// The size of all arguments of a command together, in bytes.
    pub bytes: usize,
    /// The size up to which a command's arguments are kept whatever room there is, in bytes.
    pub always_kept: usize,
}

/// The arguments of a command, its name first.
pub type Command = Vec<Vec<u8>>;

/// A command that has arrived completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A command with its arguments.
    Command(Command),
    /// A command that was discarded as it arrived, because there was no room for its arguments.
    Discarded,
}

/// Why a stream can't be parsed any further. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseError(pub &'static str);

/// The maximum size of a line that declares a length, in bytes, its end included.
const MAX_LENGTH_LINE_BYTES: usize = 16;
/// The size of the buffer that an idle reader keeps, in bytes.
const KEPT_BUFFER_BYTES: usize = 1_024;
/// What ends a line or a string.
const END: &[u8] = b"\r\n";

/// An argument that has been declared and has not arrived completely.
#[derive(Debug)]
struct PartialArgument {
    bytes: Vec<u8>,
    /// The number of bytes that have not arrived yet.
    missing: usize,
}

/// Splits a stream into commands.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    /// Received bytes that are not part of an argument yet.
    buffer: BytesMut,
    /// The number of arguments still expected, 0 between commands.
    args_missing: usize,
    /// The current argument, once its length is declared.
    partial: Option<PartialArgument>,
    /// The arguments received so far.
    args: Command,
    /// The number of bytes declared for the current command so far.
    declared_bytes: usize,
    /// Whether the current command is discarded.
    discards: bool,
}

impl Reader {
    /// Creates a reader at the start of a stream.
    pub fn new(limits: Limits) -> Self {
        Reader {
            limits,
            buffer: BytesMut::new(),
            args_missing: 0,
            partial: None,
            args: Vec::new(),
            declared_bytes: 0,
            discards: false,
        }
    }

    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let taken = if self.buffer.is_empty() { self.fill_argument(bytes) } else { 0 };
        self.buffer.extend_from_slice(&bytes[taken..]);
    }

    /// Returns the number of buffered bytes that are not part of an argument yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the number of bytes of memory that the reader holds or has promised to the current command.
    pub fn held_bytes(&self) -> usize {
        let args = if self.discards { 0 } else { self.declared_bytes };
        self.buffer.capacity() + args
    }

    /// Returns how many bytes of the current argument have not arrived, its end included.
    pub fn missing_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.missing + END.len())
    }

    /// Returns whether the stream contains bytes of a command that has not been returned yet.
    pub fn has_partial_command(&self) -> bool {
        self.args_missing > 0 || !self.buffer.is_empty()
    }

    /// Returns the next command, if it is complete. `room` is how many further bytes its arguments may take;
    /// a command that declares more is discarded as it arrives, except for a small one.
    ///
    /// # Errors
    /// If the stream can't be parsed any further.
    pub fn next_command(&mut self, room: usize) -> Result<Option<Request>, ParseError> {
        let next = self.parse(room);
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        next
    }

    fn parse(&mut self, room: usize) -> Result<Option<Request>, ParseError> {
        loop {
            if self.partial.is_some() {
                if !self.complete_argument()? {
                    return Ok(None);
                }
                if self.args_missing == 0 {
                    return Ok(Some(self.take_request()));
                }
                continue;
            }
            let Some(&kind) = self.buffer.first() else { return Ok(None) };
            let wanted = if self.args_missing == 0 { b'*' } else { b'$' };
            if kind != wanted {
                return Err(ParseError("an array of bulk strings is wanted"));
            }
            let Some(number) = self.take_number()? else { return Ok(None) };
            if self.args_missing == 0 {
                if number == 0 || number > self.limits.args {
                    return Err(ParseError("wrong number of arguments"));
                }
                self.args_missing = number;
            } else {
                self.begin_argument(number, room)?;
            }
        }
    }

    /// Begins an argument of a declared length.
    fn begin_argument(&mut self, length: usize, room: usize) -> Result<(), ParseError> {
        // Guards against values of, for example, 60 MB: a value that would be rejected is not waited for.
        if length > self.limits.bytes.saturating_sub(self.declared_bytes) {
            return Err(ParseError("too long"));
        }
        self.declared_bytes += length;
        if self.declared_bytes > self.limits.always_kept && length > room {
            self.discards = true;
            self.args = Vec::new();
        }
        let capacity = if self.discards { 0 } else { length };
        self.partial = Some(PartialArgument { bytes: Vec::with_capacity(capacity), missing: length });
        Ok(())
    }

    /// Takes bytes of the current argument from `bytes`, and returns how many.
    fn fill_argument(&mut self, bytes: &[u8]) -> usize {
        let Some(partial) = &mut self.partial else { return 0 };
        let count = partial.missing.min(bytes.len());
        if !self.discards {
            partial.bytes.extend_from_slice(&bytes[..count]);
        }
        partial.missing -= count;
        count
    }

    /// Completes the current argument from the buffer. Returns false if more bytes are needed.
    fn complete_argument(&mut self) -> Result<bool, ParseError> {
        let buffer = std::mem::take(&mut self.buffer);
        let taken = self.fill_argument(&buffer);
        self.buffer = buffer;
        self.buffer.advance(taken);
        let is_filled = self.partial.as_ref().is_some_and(|partial| partial.missing == 0);
        if !is_filled || self.buffer.len() < END.len() {
            return Ok(false);
        }
        if !self.buffer.starts_with(END) {
            return Err(ParseError("a string without its end"));
        }
        self.buffer.advance(END.len());
        if let Some(partial) = self.partial.take().filter(|_| !self.discards) {
            self.args.push(partial.bytes);
        }
        self.args_missing -= 1;
        Ok(true)
    }

    /// Takes the current command, all of whose arguments have arrived.
    fn take_request(&mut self) -> Request {
        self.declared_bytes = 0;
        if std::mem::take(&mut self.discards) {
            return Request::Discarded;
        }
        Request::Command(std::mem::take(&mut self.args))
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
