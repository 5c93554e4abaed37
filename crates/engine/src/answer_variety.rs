//! Whether a receiver's answers to deliveries differ from one another. Performs no I/O.
//!
//! Where answers name no call, an answer that equals an earlier one on its connection may be a second copy of it. A
//! receiver whose deliveries all get the same answer is therefore given one call on each connection, whose first answer
//! can be no copy. Connections to a receiver whose answers differ carry further calls.

use std::collections::VecDeque;

/// The number of different answers in a row after which a receiver's answers count as different from one another.
const REQUIRED_DIFFERENT: usize = 16;

/// The latest answers of one receiver, over all its connections.
#[derive(Debug, Default)]
pub struct AnswerVariety {
    /// Digests of the latest answers, which all differ from one another.
    different: VecDeque<u64>,
}

impl AnswerVariety {
    /// Records the digest of an answer to a delivery.
    pub fn record(&mut self, digest: u64) {
        if let Some(index) = self.different.iter().position(|earlier| *earlier == digest) {
            self.different.drain(..=index);
        }
        self.different.push_back(digest);
        if self.different.len() > REQUIRED_DIFFERENT {
            self.different.pop_front();
        }
    }

    /// Returns whether the next answer can be expected to differ from those before it.
    pub fn answers_differ(&self) -> bool {
        self.different.len() >= REQUIRED_DIFFERENT
    }
}

#[cfg(test)]
mod tests;
