//! The queue of encoded messages: those to be sent, and those that were sent and are not acknowledged yet.

use crate::wire::{Entries, MAX_CHUNK_BYTES};
use heronroute_journal::Mark;
use std::collections::VecDeque;

#[derive(Debug)]
struct Item {
    entries: Entries,
    /// The position after it; for a part of an entry, the position after the encoded_size entry.
    end: Mark,
}

/// The queue of messages. Those at its front were sent.
#[derive(Debug, Default)]
pub struct Queue {
    items: VecDeque<Item>,
    sent_items: usize,
    sent_bytes: usize,
    bytes: usize,
    entries: u64,
}

impl Queue {
    /// Returns the bytes of all queued entries, sent or not.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of queued entries, sent or not.
    pub fn entries(&self) -> u64 {
        self.entries
    }

    /// Returns whether a sent message is not acknowledged yet.
    pub fn in_flight(&self) -> bool {
        self.sent_items > 0
    }

    /// Returns whether a message was not sent yet.
    pub fn has_unsent(&self) -> bool {
        self.sent_items < self.items.len()
    }

    /// Appends an entry. `raw` has no length prefix; `end` is the position after the entry.
    pub fn push(&mut self, raw: &[u8], end: Mark) {
        let mut length = [0; 10];
        let mut rest = &mut length[..];
        // Ten bytes hold any length.
        _ = prost::encode_length_delimiter(raw.len(), &mut rest);
        let spare = rest.len();
        let length_prefix = &length[..length.len() - spare];
        let (first, encoded_size) = (end.number - 1, length_prefix.len() + raw.len());
        self.bytes += encoded_size;
        self.entries += 1;
        if encoded_size > MAX_CHUNK_BYTES {
            let all: Vec<u8> = length_prefix.iter().chain(raw).copied().collect();
            let parts = all.chunks(MAX_CHUNK_BYTES);
            let last = parts.len() - 1;
            for (i, octets) in parts.enumerate() {
                let (count, more, octets) = (u64::from(i == last), i < last, octets.to_vec());
                let entries = Entries { first, count, more, octets, digest: end.digest };
                self.items.push_back(Item { entries, end });
            }
            return;
        }
        let fits = self.items.len() > self.sent_items;
        match self.items.back_mut() {
            Some(Item { entries, end: last })
                if fits && !entries.more && entries.octets.len() + encoded_size <= MAX_CHUNK_BYTES =>
            {
                entries.octets.extend_from_slice(length_prefix);
                entries.octets.extend_from_slice(raw);
                entries.count += 1;
                entries.digest = end.digest;
                *last = end;
            }
            _ => {
                let mut octets = Vec::with_capacity(encoded_size);
                octets.extend_from_slice(length_prefix);
                octets.extend_from_slice(raw);
                let entries = Entries { first, count: 1, more: false, octets, digest: end.digest };
                self.items.push_back(Item { entries, end });
            }
        }
    }

    /// Returns the next message if it fits into the window or nothing is in flight.
    pub fn send(&mut self, window: usize) -> Option<Entries> {
        let item = self.items.get(self.sent_items)?;
        let octets = item.entries.octets.len();
        // The rest of an entry is sent in any case, as only a encoded_size entry is acknowledged.
        let continues_entry =
            self.sent_items.checked_sub(1).and_then(|i| self.items.get(i)).is_some_and(|i| i.entries.more);
        if self.sent_bytes > 0 && self.sent_bytes + octets > window && !continues_entry {
            return None;
        }
        self.sent_items += 1;
        self.sent_bytes += octets;
        Some(item.entries.clone())
    }

    /// Removes the acknowledged entries before a number. Returns the position after the last one that was
    /// removed.
    pub fn acked(&mut self, next: u64) -> Option<Mark> {
        let mut last = None;
        while self.sent_items > 0 && self.items.front().is_some_and(|i| i.end.number <= next) {
            last = self.drop_front().or(last);
        }
        last
    }

    fn drop_front(&mut self) -> Option<Mark> {
        let item = self.items.pop_front()?;
        let octets = item.entries.octets.len();
        if self.sent_items > 0 {
            self.sent_items -= 1;
            self.sent_bytes -= octets;
        }
        self.bytes -= octets;
        self.entries -= item.entries.count;
        Some(item.end)
    }

    /// Returns the position at a number, if a message ends there.
    pub fn mark_ending_at(&self, number: u64) -> Option<Mark> {
        let i = self.items.partition_point(|i| i.end.number < number);
        self.items.get(i).map(|i| i.end).filter(|end| end.number == number)
    }

    /// Restarts sending at a number: entries before it are removed, the rest is sent again. Returns false,
    /// with the queue emptied, if no message begins there.
    pub fn restart(&mut self, number: u64, tail: u64) -> bool {
        (self.sent_items, self.sent_bytes) = (0, 0);
        while self.items.front().is_some_and(|i| i.end.number <= number) {
            self.drop_front();
        }
        let fits = self.items.front().map_or(tail, |i| i.entries.first) == number;
        if !fits {
            *self = Queue::default();
        }
        fits
    }

    /// Drops the messages that were not sent yet. Returns the position after the remaining ones.
    pub fn drop_unsent(&mut self) -> Option<Mark> {
        // The parts of one entry stay together.
        let mut keep = self.sent_items;
        while keep.checked_sub(1).and_then(|i| self.items.get(i)).is_some_and(|i| i.entries.more) {
            keep += 1;
        }
        while self.items.len() > keep {
            if let Some(item) = self.items.pop_back() {
                self.bytes -= item.entries.octets.len();
                self.entries -= item.entries.count;
            }
        }
        self.items.back().map(|i| i.end)
    }
}
