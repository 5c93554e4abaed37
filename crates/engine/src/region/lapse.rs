//! Handles the end of the lease: suspends what the partner may have.

use crate::calls::CallEnd;
use crate::failover::Suspension;
use crate::ids::ConnId;
use crate::node::{ConnRole, Node};
use heronroute::{Event, MsgId};
use std::collections::BTreeSet;

impl Node {
    pub(crate) fn lapse_if_due(&mut self) {
        if self.lease_overdue(self.now) {
            self.lapse();
        }
    }

    /// Suspends all messages that the partner may have: nothing of them is begun, repeated or answered from
    /// here on. For an attempt that was sent whole the answer is still awaited; one that is partly written is
    /// cut off, so that it can't be completed.
    pub(super) fn lapse(&mut self) {
        let bound = match &self.region {
            Some(region) if region.copy_active => self.next_id,
            Some(region) => region.copied_below,
            None => return,
        };
        let Some(region) = self.region.as_mut().filter(|region| !region.lapsed) else { return };
        region.lapsed = true;
        let ids: Vec<MsgId> = self.messages.range(..MsgId(bound)).map(|(id, _)| *id).collect();
        tracing::warn!(
            messages = ids.len(),
            "the lease ended; messages that the partner may have are suspended"
        );
        let mut partly_written: BTreeSet<ConnId> = BTreeSet::new();
        for id in ids {
            let out = self.messages.get(&id).and_then(|m| m.out);
            if let Some((call, part)) = out
                && !self.cancel_unsent(call, part)
            {
                partly_written.extend(self.half_written(call, part));
            }
            if let Some(m) = self.messages.get_mut(&id) {
                m.still = Suspension::Yes;
                self.region.iter_mut().for_each(|region| _ = region.suspended.insert(id));
                self.events.push(Event::Withdrawn { id });
            }
        }
        partly_written.into_iter().for_each(|conn| self.drop_link(conn));
        // Queued answers of a connection can't be told apart. Guards against one being sent after the partner
        // has sent another.
        let queued =
            |c: &crate::node::Conn| matches!(c.role, ConnRole::Client { .. }) && !c.stream.out.is_empty();
        let queued: Vec<ConnId> = self.conns.iter().filter(|(_, c)| queued(c)).map(|(id, _)| *id).collect();
        for conn in queued {
            self.client_disconnected(conn);
            self.drop_conn(conn);
        }
    }

    /// Returns the connection on which part of a message's bytes, but not all, were sent.
    fn half_written(&self, call: u64, part: usize) -> Option<ConnId> {
        let c = self.calls.get(call)?;
        let conn = c.conn?;
        let (_, end) = c.parts.get(part)?.range;
        (self.conns.get(&conn)?.stream.sent < end).then_some(conn)
    }

    /// Ends the outstanding attempt of a message that was suspended and continues, so that there are never
    /// two at once.
    pub(super) fn cancel_outstanding(&mut self, id: MsgId) {
        if let Some((call, part)) = self.messages.get(&id).and_then(|m| m.out)
            && !self.cancel_unsent(call, part)
        {
            self.abandon(call, part, CallEnd::Cancelled);
        }
    }
}
