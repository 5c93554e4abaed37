//! Where a frame ends in a stream, so that faults hit whole frames.

/// What the front of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// A whole frame of so many octets, its head included; not 0.
    Whole(usize),
    /// More octets are needed.
    More,
    /// No frame of this kind.
    Strange,
}

/// How a stream is split.
#[derive(Clone, Copy, Debug)]
pub enum Split {
    /// What one read brought is a frame. Where reads fall is the system's choice, so nothing is the same twice.
    Chunks,
    /// A length of 4 octets, greatest first, that does not count itself; beyond `most` octets it is no frame.
    Length32 {
        /// Octets after the length at most.
        most: usize,
    },
    /// Another kind; `most` octets in all at most.
    Custom {
        /// Octets of a frame at most.
        most: usize,
        /// Looks at the front of the stream.
        front: fn(&[u8]) -> Front,
    },
}

impl Split {
    /// Octets of the greatest frame.
    pub fn most(&self) -> usize {
        match self {
            Split::Chunks => 64 * 1024,
            Split::Length32 { most } => most.saturating_add(4),
            Split::Custom { most, .. } => *most,
        }
    }

    /// Looks at the front of a stream.
    pub fn front(&self, octets: &[u8]) -> Front {
        match self {
            Split::Chunks if octets.is_empty() => Front::More,
            Split::Chunks => Front::Whole(octets.len()),
            Split::Length32 { most } => {
                match octets.first_chunk::<4>().map(|h| u32::from_be_bytes(*h) as usize) {
                    None => Front::More,
                    Some(n) if n > *most => Front::Strange,
                    Some(n) if octets.len() < n + 4 => Front::More,
                    Some(n) => Front::Whole(n + 4),
                }
            }
            Split::Custom { most, front } => match front(octets) {
                Front::Whole(n) if n == 0 || n > *most => Front::Strange,
                Front::Whole(n) if n > octets.len() => Front::More,
                Front::More if octets.len() >= *most => Front::Strange,
                f => f,
            },
        }
    }
}
