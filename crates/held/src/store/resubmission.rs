//! Resubmission of held messages, and notes on them.

use super::Store;
use crate::partitions::MessagePartitions;
use crate::trail::Trail;
use crate::{Decision, Micros, Refusal, What};

impl Store {
    /// Begins a resubmission and records it in the trail. Of two concurrent requests only one succeeds.
    ///
    /// # Errors
    /// Why the message may not be resubmitted.
    pub fn begin(
        &mut self,
        now: Micros,
        id: u64,
        party: u32,
        decision: Decision,
    ) -> Result<Decision, Refusal> {
        if let Decision::Refused(why) = decision {
            return Err(why);
        }
        let filed = self.by_id.get_mut(&id).filter(|f| f.message.is_some());
        let filed = filed.ok_or(Refusal::Delivered)?;
        if filed.under_way || filed.kept {
            return Err(Refusal::UnderWay);
        }
        filed.under_way = true;
        self.note(now, id, What::Resubmitted(party));
        Ok(decision)
    }

    /// Ends a resubmission. A delivered message is no longer held; any other is held as before. Returns the
    /// held messages that were dropped.
    pub fn end(&mut self, now: Micros, id: u64, trail: &Trail, delivered: bool) -> Vec<u64> {
        let parts = self.by_id.get(&id).map_or(MessagePartitions::default(), |f| self.parts(f.client, id));
        let Some(mut filed) = self.take(id) else { return Vec::new() };
        filed.trail = trail.write().into();
        filed.under_way = false;
        if delivered {
            filed.message = None;
        }
        self.file_in(now, id, filed, parts)
    }

    /// Adds an event to a message's trail.
    pub fn note(&mut self, at: Micros, id: u64, what: What) {
        let Some(filed) = self.by_id.get_mut(&id) else { return };
        let Some(mut trail) = Trail::read(&filed.trail) else { return };
        let before = filed.size();
        trail.add(at, what, usize::MAX);
        filed.trail = trail.write().into();
        let (grown, client, held) = (filed.size() - before, filed.client, filed.message.is_some());
        if let Some(partitions) = self.partitions.get_mut(&client) {
            if held {
                partitions.grew(id, grown);
            } else if partitions.parts(id).trails > 0 {
                return;
            }
        }
        self.account(client, held).octets += grown;
    }

    /// Sets whether an operator keeps a message from being dropped or resubmitted. Returns whether the
    /// message exists.
    pub fn keep(&mut self, id: u64, kept: bool) -> bool {
        self.by_id.get_mut(&id).map(|f| f.kept = kept).is_some()
    }

    /// Records the statement of the destination's owner that a message was not received. Returns whether the
    /// message exists.
    pub fn attest_not_received(&mut self, now: Micros, id: u64) -> bool {
        self.by_id.get_mut(&id).map(|f| f.not_received_at = Some(now)).is_some()
    }
}
