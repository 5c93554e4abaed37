//! Splits a stream of bytes into JSON objects, which follow one another with or without white space. Without
//! I/O.
//!
//! The end of an object is found by its nesting, not by lines: an object may be on one line or indented over
//! several, and may arrive in pieces of any size. Only its extent is determined here; the caller parses it.

/// The maximum size of an object whatever the caller allows, in bytes.
pub const MAX_OBJECT_BYTES: usize = 4 << 20;

/// An element of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamElement {
    /// The end of an empty line, or of the line on which an object ended.
    EndOfLine,
    /// A complete object.
    Object(Vec<u8>),
}

/// Why a stream can't be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A byte other than white space between two objects.
    #[error("unexpected byte {0:#04x} between two objects")]
    UnexpectedByte(u8),
    /// An object of more than this many bytes.
    #[error("an object of more than {0} bytes")]
    TooLong(usize),
}

/// The position of the parser within an object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    /// Outside of strings.
    Structural,
    /// In a string.
    InString,
    /// After a backslash in a string.
    Escape,
}

/// Splits a stream into objects.
#[derive(Debug)]
pub struct ObjectSplitter {
    /// The maximum size of an object, in bytes.
    max_bytes: usize,
    /// The bytes of the incomplete object.
    object: Vec<u8>,
    /// The depth of nesting, 0 between two objects.
    depth: usize,
    position: Position,
}

impl Default for ObjectSplitter {
    fn default() -> Self {
        ObjectSplitter::new(MAX_OBJECT_BYTES)
    }
}

impl ObjectSplitter {
    /// Creates a splitter for objects of up to `max_bytes`, but no more than [`MAX_OBJECT_BYTES`].
    pub fn new(max_bytes: usize) -> Self {
        let max_bytes = max_bytes.min(MAX_OBJECT_BYTES);
        ObjectSplitter { max_bytes, object: Vec::new(), depth: 0, position: Position::default() }
    }

    /// Returns whether an object is incomplete.
    pub fn has_begun(&self) -> bool {
        self.depth > 0
    }

    /// Processes received bytes, and appends the elements that they complete.
    ///
    /// # Errors
    /// If the stream can't be parsed any further. `elements` then contains the elements before the error.
    pub fn push(&mut self, bytes: &[u8], elements: &mut Vec<StreamElement>) -> Result<(), StreamError> {
        bytes.iter().try_for_each(|byte| self.process_byte(*byte, elements))
    }

    fn process_byte(&mut self, byte: u8, elements: &mut Vec<StreamElement>) -> Result<(), StreamError> {
        if self.depth == 0 {
            return self.process_outside_object(byte, elements);
        }
        if self.object.len() == self.max_bytes {
            return Err(StreamError::TooLong(self.max_bytes));
        }
        self.object.push(byte);
        self.position = match (self.position, byte) {
            (Position::Structural, b'"') | (Position::Escape, _) => Position::InString,
            (Position::InString, b'"') => Position::Structural,
            (Position::InString, b'\\') => Position::Escape,
            (position, _) => position,
        };
        match (self.position, byte) {
            (Position::Structural, b'{') => self.depth += 1,
            (Position::Structural, b'}') => self.depth -= 1,
            _ => {}
        }
        if self.depth == 0 {
            elements.push(StreamElement::Object(std::mem::take(&mut self.object)));
        }
        Ok(())
    }

    fn process_outside_object(
        &mut self,
        byte: u8,
        elements: &mut Vec<StreamElement>,
    ) -> Result<(), StreamError> {
        match byte {
            b'\n' => elements.push(StreamElement::EndOfLine),
            b' ' | b'\t' | b'\r' => {}
            b'{' => {
                self.object.push(byte);
                (self.depth, self.position) = (1, Position::Structural);
            }
            unexpected => return Err(StreamError::UnexpectedByte(unexpected)),
        }
        Ok(())
    }
}
