//! Splits a stream of octets into JSON objects, which follow one another with or without white space. Without I/O.
//!
//! The end of an object is found by its nesting, not by lines: it may stand on one line or be indented over several, and
//! may arrive in pieces of any size. Only its extent is determined here; the caller parses it.

/// Octets of an object at most.
pub const MOST_OBJECT: usize = 4 << 20;

/// An element of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The end of an empty line, or of the line on which an object ended.
    EndOfLine,
    /// A complete object.
    Object(Vec<u8>),
}

/// Why a stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// An octet other than white space between two objects.
    #[error("an octet {0:#04x} between two objects")]
    Stray(u8),
    /// An object of more than [`MOST_OBJECT`] octets.
    #[error("an object of more than {MOST_OBJECT} octets")]
    TooLong,
}

/// The position of the parser within an object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    #[default]
    Structure,
    Text,
    /// After a backslash in a string.
    Escape,
}

/// The state of a stream and its incomplete object.
#[derive(Debug, Default)]
pub struct Objects {
    object: Vec<u8>,
    /// Depth of nesting; 0 between two objects.
    depth: usize,
    place: Place,
}

impl Objects {
    /// Whether an object is incomplete.
    pub fn has_begun(&self) -> bool {
        self.depth > 0
    }

    /// Accepts octets, and appends the pieces that they complete.
    ///
    /// # Errors
    /// If the stream can't be read any further. `pieces` holds what was complete before.
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
