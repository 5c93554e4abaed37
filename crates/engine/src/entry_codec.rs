//! Converts messages to journal entries and back.

use crate::outbox::Reply;
use heronroute_journal::entry::Accepted;
use heronroute_smpp::submission::{Submission, Wanted};

/// Returns the entry of an accepted message. `rest` holds the fields that are not part of the submission.
pub(crate) fn to_entry(
    client: &str,
    mailbox: &str,
    s: &Submission,
    reply: &Reply,
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

/// Returns the submission of a message from its entry.
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

/// Returns the reply address of a message from its entry.
pub(crate) fn to_reply(a: &Accepted) -> Reply {
    Reply { topic: a.reply.clone(), correlation: a.correlation.clone() }
}
