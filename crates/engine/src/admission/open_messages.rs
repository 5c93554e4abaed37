//! Open messages: their numbers, their journal entries, and their share of the room.

use super::Origin;
use crate::Micros;
use crate::entry_codec::to_entry;
use crate::failover::Suspension;
use crate::front::{Speaks, SubmissionContext};
use crate::ids::ID_SENDER_BITS;
use crate::memory::{MemoryCount, MemoryUse};
use crate::node::{ConnRole, Message, Node};
use heronroute::MsgId;
use heronroute_held::Trail;
use heronroute_journal::entry::{Accepted, What};
use heronroute_smpp::submission::Submission;

/// The places that may hold the body of an open message at once: the message, the journal's state, and a call or an
/// entry that is being written.
const COPIES_OF_A_BODY: usize = 3;
/// What an open message takes beside its body, in bytes: its records here, in the decision library and in the
/// journal's state.
const MESSAGE_BYTES: usize = 1_536;

/// Returns how many bytes of memory an open message with a body of this size takes.
pub(crate) fn message_bytes(body_bytes: usize) -> usize {
    MESSAGE_BYTES + COPIES_OF_A_BODY * body_bytes
}

impl Node {
    /// Returns a new message id.
    pub(crate) fn new_id(&mut self) -> MsgId {
        let id = MsgId(self.next_id);
        self.next_id += 1 << ID_SENDER_BITS;
        id
    }

    /// Writes the acceptance of a message to the journal. `rest` holds the fields that don't come from the
    /// submission.
    pub(crate) fn write_accepted(
        &mut self,
        from: &Origin,
        submission: &Submission,
        context: &SubmissionContext,
        rest: Accepted,
    ) {
        let (taken, cfg) = (self.wall(), &self.cfg);
        let client = cfg.clients.get(from.client).map_or("", |c| c.system_id.as_str());
        let mailbox = self.mailboxes.get(from.mailbox).map_or("", |m| m.name.as_str());
        self.ledger.write(|| {
            let rest = Accepted {
                taken,
                forward: submission.forward,
                again: submission.again,
                packet: context.handle.map_or(0, |h| u32::from(h.packet)),
                digest: context.handle.map_or(0, |h| h.digest),
                ..rest
            };
            What::Accepted(to_entry(client, mailbox, submission, &context.reply, rest))
        });
    }

    /// Builds an open message from a submission.
    pub(crate) fn new_message(
        &self,
        from: &Origin,
        class: usize,
        submission: Submission,
        context: &SubmissionContext,
        deadline: Micros,
    ) -> Message {
        let reply = submission.forward.then_some(from.conn.map(|c| (c, from.token))).flatten();
        let speaks = from.conn.and_then(|c| self.speaks(c)).unwrap_or(Speaks::Mqtt);
        let memory = self.count_message(submission.body.len());
        Message {
            client: from.client,
            mailbox: from.mailbox,
            conn: from.conn.unwrap_or(0),
            speaks,
            class,
            submission,
            reply_to: context.reply.clone(),
            taken: self.wall(),
            deadline,
            reply,
            attempts: 0,
            out: None,
            may_have_run_since: None,
            answer_for: 0,
            withdrawn_by: None,
            still: Suspension::No,
            _memory: memory,
            trail: self.records_trail(from.client).then(|| Box::new(Trail::new(self.wall(), 0))),
        }
    }

    /// Counts the memory of an open message with a body of this size.
    pub(crate) fn count_message(&self, body_bytes: usize) -> MemoryCount {
        self.memory.count(MemoryUse::Messages, message_bytes(body_bytes))
    }

    /// Adds an open message, and counts it against every shared limit.
    pub(crate) fn add_open_message(&mut self, id: MsgId, message: Message) {
        self.clients[message.client].open += 1;
        self.open_by_front[message.speaks as usize] += 1;
        if let Some(m) = self.mailboxes.get_mut(message.mailbox) {
            m.open += 1;
        }
        if let Some(ConnRole::Client { open, .. }) = self.conns.get_mut(&message.conn).map(|c| &mut c.role) {
            *open += 1;
        }
        self.messages.insert(id, message);
    }

    /// Removes a message that is no longer open from the counts of every shared limit.
    pub(crate) fn remove_open_message(&mut self, message: &Message) {
        self.clients[message.client].open -= 1;
        self.open_by_front[message.speaks as usize] -= 1;
        if let Some(m) = self.mailboxes.get_mut(message.mailbox) {
            m.open -= 1;
        }
        if let Some(ConnRole::Client { open, .. }) = self.conns.get_mut(&message.conn).map(|c| &mut c.role) {
            *open -= 1;
        }
    }
}
