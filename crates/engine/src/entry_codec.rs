//! Conversion of messages to the journal's entries and back.

use crate::outbox::ReplyAddress;
use heronroute_journal::entry::Accepted;
use heronroute_smpp::submission::{Submission, Wanted};

/// The entry of an accepted message. `rest` holds the fields that are not the submission's own.
pub(crate) fn to_entry(
    client: &str,
    mailbox: &str,
    s: &Submission,
    reply: &ReplyAddress,
    rest: Accepted,
) -> Accepted {
    Accepted {
        client: client.to_string(),
        source: s.source.clone(),
        destination: s.destination.clone(),
        key: s.key.clone().unwrap_or_default(),
        body: s.body.clone(),
        wanted: s.wanted.code(),
        coding: u32::from(s.coding),
        esm: u32::from(s.esm),
        mailbox: mailbox.to_string(),
        reply: reply.topic.clone(),
        correlation: reply.correlation.clone(),
        ..rest
    }
}

/// The submission of a message from its entry.
pub(crate) fn to_submission(a: &Accepted) -> Submission {
    Submission {
        service: a.class.clone(),
        source: a.source.clone(),
        destination: a.destination.clone(),
        forward: a.forward,
        wanted: Wanted::from_code(a.wanted),
        key: Some(a.key.clone()).filter(|k| !k.is_empty()),
        again: a.again,
        coding: a.coding as u8,
        esm: a.esm as u8,
        body: a.body.clone(),
        identity: Some(a.identity.clone()).filter(|i| !i.is_empty()),
        ..Submission::default()
    }
}

/// Where the message's answer goes, from its entry.
pub(crate) fn to_reply(a: &Accepted) -> ReplyAddress {
    ReplyAddress { topic: a.reply.clone(), correlation: a.correlation.clone() }
}
