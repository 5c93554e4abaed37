//! What a message is while it is held: its number, its entry, its part of the room.

use super::From;
use crate::Micros;
use crate::entry_codec::to_entry;
use crate::failover::Suspension;
use crate::front::{Handing, Speaks};
use crate::ids::ID_SENDER_BITS;
use crate::node::{Message, Node, Use};
use heronroute::MsgId;
use heronroute_held::Trail;
use heronroute_journal::entry::{Accepted, What};
use heronroute_smpp::submission::Submission;

impl Node {
    pub(crate) fn new_id(&mut self) -> MsgId {
        let id = MsgId(self.next_id);
        self.next_id += 1 << ID_SENDER_BITS;
        id
    }

    /// Writes the acceptance; `rest` has what is not the submission's own.
    pub(crate) fn write_accepted(
        &mut self,
        from: &From,
        submission: &Submission,
        handing: &Handing,
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
                packet: handing.handle.map_or(0, |h| u32::from(h.packet)),
                digest: handing.handle.map_or(0, |h| h.digest),
                ..rest
            };
            What::Accepted(to_entry(client, mailbox, submission, &handing.reply, rest))
        });
    }

    pub(crate) fn message(
        &self,
        from: &From,
        class: usize,
        submission: Submission,
        handing: &Handing,
        deadline: Micros,
    ) -> Message {
        let reply = submission.forward.then_some(from.conn.map(|c| (c, from.token))).flatten();
        let speaks = from.conn.and_then(|c| self.speaks(c)).unwrap_or(Speaks::Mqtt);
        Message {
            client: from.client,
            mailbox: from.mailbox,
            conn: from.conn.unwrap_or(0),
            speaks,
            class,
            submission,
            to: handing.reply.clone(),
            taken: self.wall(),
            deadline,
            reply,
            attempts: 0,
            out: None,
            ran_at: None,
            answer_for: 0,
            still: Suspension::No,
            trail: self.trails(from.client).then(|| Box::new(Trail::new(self.wall(), 0))),
        }
    }

    /// A message is held from now on: it counts wherever room is shared.
    pub(crate) fn hold(&mut self, id: MsgId, message: Message) {
        self.clients[message.client].open += 1;
        self.open_of[message.speaks as usize] += 1;
        if let Some(m) = self.mailboxes.get_mut(message.mailbox) {
            m.open += 1;
        }
        if let Some(Use::Client { open, .. }) = self.conns.get_mut(&message.conn).map(|c| &mut c.what) {
            *open += 1;
        }
        self.messages.insert(id, message);
    }

    /// It is held no more.
    pub(crate) fn let_go(&mut self, message: &Message) {
        self.clients[message.client].open -= 1;
        self.open_of[message.speaks as usize] -= 1;
        if let Some(m) = self.mailboxes.get_mut(message.mailbox) {
            m.open -= 1;
        }
        if let Some(Use::Client { open, .. }) = self.conns.get_mut(&message.conn).map(|c| &mut c.what) {
            *open -= 1;
        }
    }
}
