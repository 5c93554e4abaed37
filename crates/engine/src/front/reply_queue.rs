//! Replies to pipelined requests, which are written in the order of the requests.

use bytes::BytesMut;
use std::collections::VecDeque;

/// The requests of a connection whose reply was not written yet, in order, each with its reply once there is one.
#[derive(Debug, Default)]
pub(super) struct ReplyQueue {
    replies: VecDeque<Option<BytesMut>>,
    /// The token of the first of these requests.
    first_token: u32,
}

impl ReplyQueue {
    /// Returns the number of requests whose reply was not written.
    pub fn len(&self) -> usize {
        self.replies.len()
    }

    /// Returns whether all replies were written.
    pub fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// Adds a request whose reply is not known, and returns its token.
    pub fn push_open(&mut self) -> u32 {
        let token = self.first_token.wrapping_add(self.replies.len() as u32);
        self.replies.push_back(None);
        token
    }

    /// Adds a request whose reply is known.
    pub fn push_reply(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let mut text = BytesMut::new();
        write(&mut text);
        self.replies.push_back(Some(text));
    }

    /// Sets the reply to a request. Returns false if the request is not open.
    pub fn set_reply(&mut self, token: u32, write: impl FnOnce(&mut BytesMut)) -> bool {
        let Some(reply) = self.replies.get_mut(token.wrapping_sub(self.first_token) as usize) else {
            return false;
        };
        let mut text = BytesMut::new();
        write(&mut text);
        *reply = Some(text);
        true
    }

    /// Writes the replies that are ready, in the order of the requests.
    pub fn flush(&mut self, out: &mut BytesMut) {
        while let Some(Some(text)) = self.replies.front() {
            out.extend_from_slice(text);
            self.replies.pop_front();
            self.first_token = self.first_token.wrapping_add(1);
        }
    }

    /// Returns how many bytes of memory the queue holds.
    pub fn held_bytes(&self) -> usize {
        let texts = self.replies.iter().flatten().map(BytesMut::capacity).sum::<usize>();
        self.replies.capacity() * size_of::<Option<BytesMut>>() + texts
    }
}
