//! The right ends: what the partner may have stands still.

use crate::calls::CallEnd;
use crate::ids::ConnId;
use crate::node::{ConnRole, Node};
use crate::standing::Still;
use heronroute::{Event, MsgId};
use std::collections::BTreeSet;

impl Node {
    pub(crate) fn lapse_if_due(&mut self) {
        if self.overdue(self.now) {
            self.lapse();
        }
    }

    /// Nothing that the partner may have is begun, repeated or answered from here on. What has left whole is heard out; what
    /// is half written is broken off, so that it can't be completed.
    pub(super) fn lapse(&mut self) {
        let bound = match &self.region {
            Some(r) if r.copying => self.next_id,
            Some(r) => r.copied_below,
            None => return,
        };
        let Some(r) = self.region.as_mut().filter(|r| !r.lapsed) else { return };
        r.lapsed = true;
        let ids: Vec<MsgId> = self.messages.range(..MsgId(bound)).map(|(id, _)| *id).collect();
        tracing::warn!(messages = ids.len(), "the right to go on with what the partner has is over");
        let mut half: BTreeSet<ConnId> = BTreeSet::new();
        for id in ids {
            let out = self.messages.get(&id).and_then(|m| m.out);
            if let Some((call, part)) = out
                && !self.cancel_unsent(call, part)
            {
                half.extend(self.half_written(call, part));
            }
            if let Some(m) = self.messages.get_mut(&id) {
                m.still = Still::Yes;
                self.region.iter_mut().for_each(|r| _ = r.still.insert(id));
                self.events.push(Event::Withdrawn { id });
            }
        }
        half.into_iter().for_each(|conn| self.drop_link(conn));
        // Answers that lie in a connection can't be told from each other: guards against one that leaves after the partner
        // has told another.
        let queued =
            |c: &crate::node::Conn| matches!(c.role, ConnRole::Client { .. }) && !c.stream.out.is_empty();
        let queued: Vec<ConnId> = self.conns.iter().filter(|(_, c)| queued(c)).map(|(id, _)| *id).collect();
        for conn in queued {
            self.client_disconnected(conn);
            self.drop_conn(conn);
        }
    }

    /// The connection on which a part of a message's octets has left and a part has not.
    fn half_written(&self, call: u64, part: usize) -> Option<ConnId> {
        let c = self.calls.get(call)?;
        let conn = c.conn?;
        let (_, end) = c.parts.get(part)?.range;
        (self.conns.get(&conn)?.stream.sent < end).then_some(conn)
    }

    /// An attempt of a message that stood still and goes on: two are never out.
    pub(super) fn break_off(&mut self, id: MsgId) {
        if let Some((call, part)) = self.messages.get(&id).and_then(|m| m.out)
            && !self.cancel_unsent(call, part)
        {
            self.abandon(call, part, CallEnd::Cancelled);
        }
    }
}
