//! Converts messages to journal entries and back.

use crate::outbox::ReplyAddress;
use heronroute_journal::entry::Accepted;
use heronroute_smpp::submission::{ReceiptRequest, Submission};

/// Returns the entry of an accepted message. `rest` holds the fields that are not part of the submission.
pub(crate) fn to_entry(
    client: &str,
    mailbox: &str,
    submission: &Submission,
    reply: &ReplyAddress,
    rest: Accepted,
) -> Accepted {
    Accepted {
        client: client.to_string(),
        source: submission.source.clone(),
        destination: submission.destination.clone(),
        key: submission.key.clone().unwrap_or_default(),
        body: submission.body.clone(),
        wanted: submission.wanted.code(),
        coding: u32::from(submission.coding),
        esm: u32::from(submission.esm),
        mailbox: mailbox.to_string(),
        reply: reply.topic.clone(),
        correlation: reply.correlation.clone(),
        ..rest
    }
}

/// Returns the submission of a message from its entry.
pub(crate) fn to_submission(accepted: &Accepted) -> Submission {
    Submission {
        service: accepted.class.clone(),
        source: accepted.source.clone(),
        destination: accepted.destination.clone(),
        forward: accepted.forward,
        wanted: ReceiptRequest::from_code(accepted.wanted),
        key: Some(accepted.key.clone()).filter(|k| !k.is_empty()),
        again: accepted.again,
        coding: accepted.coding as u8,
        esm: accepted.esm as u8,
        body: accepted.body.clone(),
        identity: Some(accepted.identity.clone()).filter(|i| !i.is_empty()),
        ..Submission::default()
    }
}

/// Returns the reply address of a message from its entry.
pub(crate) fn to_reply(accepted: &Accepted) -> ReplyAddress {
    ReplyAddress { topic: accepted.reply.clone(), correlation: accepted.correlation.clone() }
}
