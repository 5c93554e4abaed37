//! Coordinates a node with the partner in another region that may take over its work: how long the node may
//! continue with what the partner may have a copy of, what is suspended after that, and what belongs to the
//! partner once it took over. Without regions in the settings none of this is used.
//!
//! Guards against two members finishing one message. What a partner may have is begun, repeated and answered
//! only while this process's lease holds, which is checked again where bytes are sent. What the partner can't
//! have continues whatever happens to the lease: a member that is cut off continues with all that it accepts
//! from then on.

mod lapse;
mod regain;
mod takeover;

use crate::Micros;
use crate::mailboxes::MailboxId;
use crate::node::{Effect, Node, Output};
use crate::outbox::OwedAnswer;
use heronroute::MsgId;

impl Node {
    /// Extends the lease: until this time of its clock the process may continue with what its partner has a
    /// copy of.
    pub fn extend_lease(&mut self, now: Micros, until: Micros) {
        self.now = now.max(self.now);
        // A lease that has already ended says nothing; nor does one that arrived before a pause and is read
        // after it.
        self.lapse_if_due();
        let Some(region) = &mut self.region else { return };
        region.lease_until = region.lease_until.max(until);
        self.continue_if_leased();
        self.settle(now);
    }

    /// Reports that the link to the partner is established and entries are about to be sent, or that it no
    /// longer is. The former is answered with [`Output::Copying`], and nothing may be sent before that.
    /// Guards against a copy of what this node believes to be its own alone.
    pub fn set_copying(&mut self, now: Micros, active: bool) {
        self.now = now.max(self.now);
        let next = self.next_id;
        let Some(region) = &mut self.region else { return };
        if region.copy_active || active {
            region.copied_below = next;
        }
        region.copy_active = active;
        if active {
            self.outputs.push(Output::Copying);
        }
    }

    /// Reports that the partner took over what this process had accepted in an earlier life, or in this one
    /// before it was declared dead: all messages with a number below `upto`. `None` means that the bound is
    /// not known yet, and all of it is suspended until it is.
    pub fn partner_took_over(&mut self, now: Micros, upto: Option<u64>) {
        self.now = now.max(self.now);
        self.lapse();
        let Some(region) = &mut self.region else { return };
        region.extent_unknown = upto.is_none();
        if let Some(upto) = upto {
            self.cede_messages(upto);
            self.continue_if_leased();
        }
        self.settle(now);
    }

    /// Returns whether the lease has ended and this node has not handled it yet: nothing may be written
    /// before [`Node::settle`]. Guards against a process that was paused and has bytes queued from before.
    pub fn lease_overdue(&self, now: Micros) -> bool {
        self.region.as_ref().is_some_and(|region| !region.lapsed && now >= region.lease_until)
    }

    /// Returns the number below which messages are suspended now.
    pub(crate) fn suspended_below(&self) -> Option<u64> {
        let region = self.region.as_ref().filter(|region| region.lapsed)?;
        Some(if region.copy_active { u64::MAX } else { region.copied_below })
    }

    /// Returns whether a message is suspended now.
    pub(crate) fn is_suspended(&self, id: MsgId) -> bool {
        self.suspended_below().is_some_and(|below| id.0 < below)
    }

    /// Defers an answer that may not be sent now.
    pub(crate) fn defer_answer(&mut self, mailbox: MailboxId, owed: OwedAnswer) {
        let Some(m) = self.mailboxes.get(mailbox) else { return };
        let (client, name) = (m.client, m.name.clone());
        if let Some(region) = &mut self.region {
            region.deferred_answers.push((client, name, owed));
        }
    }

    /// Defers an effect of a suspended message that became durable; returns any other effect.
    pub(crate) fn defer_if_suspended(&mut self, effect: Effect) -> Option<Effect> {
        if !effect.about().is_some_and(|id| self.is_suspended(id)) {
            return Some(effect);
        }
        self.region.as_mut()?.deferred_effects.push(effect);
        None
    }
}
