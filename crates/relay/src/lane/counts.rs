//! What one way has seen.

/// What one way has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Octets taken in.
    pub octets_in: u64,
    /// Whole frames taken in.
    pub frames_in: u64,
    /// Octets that left.
    pub octets_out: u64,
    /// Whole frames that left, copies included.
    pub frames_out: u64,
    /// Frames lost by [`crate::Shape::lose`].
    pub lost: u64,
    /// Frames lost to a cut, or because nobody was there to take them any more.
    pub dropped: u64,
    /// Frames that pass twice.
    pub doubled: u64,
    /// Frames that pass after a later one.
    pub reordered: u64,
    /// Streams that were not frames of the kind told, and pass in chunks from there on.
    pub strange: u64,
    /// Octets in the buffer now.
    pub held: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, o: Counts) {
        self.octets_in += o.octets_in;
        self.frames_in += o.frames_in;
        self.octets_out += o.octets_out;
        self.frames_out += o.frames_out;
        self.lost += o.lost;
        self.dropped += o.dropped;
        self.doubled += o.doubled;
        self.reordered += o.reordered;
        self.strange += o.strange;
        self.held += o.held;
    }
}
