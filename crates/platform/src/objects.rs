//! Cuts a stream of octets into JSON objects, one after another, with white space or nothing between them. Free of I/O.
//!
//! An object is found by its nesting, not by lines: it may be written on one line or indented over several, and it may
//! come in pieces of any size. Only where it begins and ends is found here; whether it is JSON is for its reader.

/// Octets of an object at most.
pub const MOST_OBJECT: usize = 4 << 20;

/// What a stream holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The end of a line that held nothing, or of the one on which an object ended.
    EndOfLine,
    /// A whole object.
    Object(Vec<u8>),
}

/// A stream that can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// Something other than white space between two objects.
    #[error("an octet {0:#04x} between two objects")]
    Stray(u8),
    /// An object of more than [`MOST_OBJECT`] octets.
    #[error("an object of more than {MOST_OBJECT} octets")]
    TooLong,
}

/// Where in an object the stream is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    #[default]
    Structure,
    Text,
    /// Behind a backslash in a text.
    Escape,
}

/// The stream, and the object that has begun.
#[derive(Debug, Default)]
pub struct Objects {
    object: Vec<u8>,
    /// Objects that are open, one within another. None: between two objects.
    depth: usize,
    place: Place,
}

impl Objects {
    /// Whether an object has begun that is not whole yet.
    pub fn has_begun(&self) -> bool {
        self.depth > 0
    }

    /// Takes octets and gives the pieces that they complete.
    ///
    /// # Errors
    /// Where the stream can't be read on. What was complete before is in `pieces`.
    pub fn push(&mut self, octets: &[u8], pieces: &mut Vec<Piece>) -> Result<(), Spoilt> {
        octets.iter().try_for_each(|octet| self.octet(*octet, pieces))
    }

    fn octet(&mut self, octet: u8, pieces: &mut Vec<Piece>) -> Result<(), Spoilt> {
        if self.depth == 0 {
            return self.between(octet, pieces);
        }
        if self.object.len() == MOST_OBJECT {
            return Err(Spoilt::TooLong);
        }
        self.object.push(octet);
        self.place = match (self.place, octet) {
            (Place::Structure, b'"') | (Place::Escape, _) => Place::Text,
            (Place::Text, b'"') => Place::Structure,
            (Place::Text, b'\\') => Place::Escape,
            (place, _) => place,
        };
        match (self.place, octet) {
            (Place::Structure, b'{') => self.depth += 1,
            (Place::Structure, b'}') => self.depth -= 1,
            _ => {}
        }
        if self.depth == 0 {
            pieces.push(Piece::Object(std::mem::take(&mut self.object)));
        }
        Ok(())
    }

    fn between(&mut self, octet: u8, pieces: &mut Vec<Piece>) -> Result<(), Spoilt> {
        match octet {
            b'\n' => pieces.push(Piece::EndOfLine),
            b' ' | b'\t' | b'\r' => {}
            b'{' => {
                self.object.push(octet);
                (self.depth, self.place) = (1, Place::Structure);
            }
            stray => return Err(Spoilt::Stray(stray)),
        }
        Ok(())
    }
}
