//! A node whose work a partner in another region may take over: until when it goes on with what the partner may have a copy of,
//! what stands still after that, and what is the partner's once it did take over. Without regions in the settings
//! nothing of this is ever asked.
//!
//! Guards against two that end one message: what a partner may have is begun, repeated and answered only while this
//! process's right to do so holds, checked again where octets leave. What the partner can't have goes on whatever happens to
//! the right: a member that is cut off goes on with all that it takes on from then.

mod back;
mod inherit;
mod lapse;

use crate::Micros;
use crate::mailboxes::MailboxId;
use crate::node::{Effect, Node, Output};
use crate::outbox::OwedAnswer;
use heronroute::MsgId;

impl Node {
    /// This process may go on with what its partner has a copy of until this time of its clock.
    pub fn right(&mut self, now: Micros, until: Micros) {
        self.now = now.max(self.now);
        // One that is over already says nothing; nor does one that came before a pause and is read after it.
        self.lapse_if_due();
        let Some(r) = &mut self.region else { return };
        r.until = r.until.max(until);
        self.back_if_due();
        self.settle(now);
    }

    /// The way to the partner stands and entries are about to be sent, or does no more. The first is answered with
    /// [`Output::Copying`], and nothing may be sent before that: guards against a copy of what this node believes to be its
    /// own alone.
    pub fn copying(&mut self, now: Micros, copying: bool) {
        self.now = now.max(self.now);
        let next = self.next_id;
        let Some(r) = &mut self.region else { return };
        if r.copying || copying {
            r.copied_below = next;
        }
        r.copying = copying;
        if copying {
            self.outputs.push(Output::Copying);
        }
    }

    /// What this process had accepted in an earlier life, or in this one before it was declared dead, is its partner's:
    /// all with a number below `upto`. None: that is not known yet, and all of it stands still until it is.
    pub fn fenced(&mut self, now: Micros, upto: Option<u64>) {
        self.now = now.max(self.now);
        self.lapse();
        let Some(r) = &mut self.region else { return };
        r.unknown = upto.is_none();
        if let Some(upto) = upto {
            self.let_partner_have(upto);
            self.back_if_due();
        }
        self.settle(now);
    }

    /// Whether the right is over and this node has not seen it yet: nothing may be written before [`Node::settle`]. Guards
    /// against a process that was paused, and has octets queued from before.
    pub fn overdue(&self, now: Micros) -> bool {
        self.region.as_ref().is_some_and(|r| !r.lapsed && now >= r.until)
    }

    /// Nothing of messages with numbers below this may be done now.
    pub(crate) fn still_below(&self) -> Option<u64> {
        let r = self.region.as_ref().filter(|r| r.lapsed)?;
        Some(if r.copying { u64::MAX } else { r.copied_below })
    }

    /// Whether nothing of this message may be done now.
    pub(crate) fn stands_still(&self, id: MsgId) -> bool {
        self.still_below().is_some_and(|below| id.0 < below)
    }

    /// An answer that may not go out now.
    pub(crate) fn owe_later(&mut self, mailbox: MailboxId, owed: OwedAnswer) {
        let Some(m) = self.mailboxes.get(mailbox) else { return };
        let (client, name) = (m.client, m.name.clone());
        if let Some(r) = &mut self.region {
            r.owed.push((client, name, owed));
        }
    }

    /// What became durable, and may not be done now; given back where it may.
    pub(crate) fn not_now(&mut self, effect: Effect) -> Option<Effect> {
        if !effect.about().is_some_and(|id| self.stands_still(id)) {
            return Some(effect);
        }
        self.region.as_mut()?.effects.push(effect);
        None
    }
}
