//! What may be wrong with a link.

use std::time::Duration;

/// One way of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Way {
    /// From the one that dialled to the one that listens.
    Forward,
    /// From the one that listens to the one that dialled.
    Backward,
}

impl Way {
    /// Both.
    pub const BOTH: [Way; 2] = [Way::Forward, Way::Backward];

    pub(crate) fn index(self) -> usize {
        match self {
            Way::Forward => 0,
            Way::Backward => 1,
        }
    }
}

/// Whether anything passes. A connection's end passes like its last octet: held while nothing passes, and never lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// It does.
    #[default]
    Pass,
    /// Nothing does and connections stay open; all of it goes once healed. What does not fit the relay's buffer stays with
    /// its writer, who is not read from.
    Hold,
    /// Nothing does and connections stay open; whole frames that come meanwhile are lost. A frame that had begun to leave is
    /// kept, or the stream would never be read again.
    Drop,
    /// On each connection half of the next frame passes, then as [`Flow::Hold`].
    Half,
}

/// How one way of a link behaves. The default passes everything at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shape {
    /// Whether anything passes.
    pub flow: Flow,
    /// Each frame passes so much later.
    pub delay: Duration,
    /// And by up to this much more; frames keep their order.
    pub jitter: Duration,
    /// Octets a second; 0: no limit.
    pub rate: u64,
    /// Of 1,000 frames so many are lost.
    pub lose: u32,
    /// Of 1,000 frames so many pass twice, one after the other.
    pub double: u32,
    /// Of 1,000 frames so many pass after the one that follows them, or 50 ms late where none follows.
    pub reorder: u32,
}

impl Shape {
    /// Only the flow differs from the default.
    pub fn flow(flow: Flow) -> Self {
        Shape { flow, ..Shape::default() }
    }
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Door {
    /// It is taken and the real address dialled, once both ways let something through; until then it hears nothing, as a
    /// connection needs both ways. (That the dialler's `connect` succeeds at once cannot be helped on loopback.)
    #[default]
    Open,
    /// Nobody listens: refused by the system.
    Refused,
    /// Taken and reset.
    Reset,
    /// Taken, never dialled, nothing heard until the door is open.
    Silent,
}

/// Ways to cut a link altogether.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Connections stay open and nothing passes; what is sent meanwhile is lost. New ones hear nothing.
    Silent,
    /// Likewise, and nothing is lost once healed.
    Hold,
    /// Connections are reset, new ones refused.
    Reset,
    /// Connections are closed, new ones refused.
    Closed,
}
