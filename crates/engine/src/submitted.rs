//! Messages that were submitted since the last round and are not decided yet. Performs no I/O.

use heronroute::MsgId;

/// A message that is not decided yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmittedMessage {
    /// The message.
    pub id: MsgId,
    /// The number of its destination.
    pub dest: i64,
    /// The size of its body, in bytes.
    pub body_bytes: usize,
}

/// All messages that are not decided yet, in the order of their submission.
#[derive(Debug, Default)]
pub struct SubmittedMessages {
    messages: Vec<SubmittedMessage>,
    body_bytes: usize,
}

impl SubmittedMessages {
    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns the total size of their bodies, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Adds a message.
    pub fn push(&mut self, message: SubmittedMessage) {
        self.body_bytes += message.body_bytes;
        self.messages.push(message);
    }

    /// Removes and returns all of them.
    pub fn take_all(&mut self) -> Vec<SubmittedMessage> {
        std::mem::take(self).messages
    }

    /// Removes and returns those for which `wanted` is true.
    pub fn take_matching(&mut self, wanted: impl Fn(&SubmittedMessage) -> bool) -> Vec<SubmittedMessage> {
        let (taken, kept) = std::mem::take(&mut self.messages).into_iter().partition(wanted);
        self.messages = kept;
        self.body_bytes = self.messages.iter().map(|message| message.body_bytes).sum();
        taken
    }
}
