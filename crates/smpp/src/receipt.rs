//! Final answers in SMPP: message states, receipt texts (SMPP 3.4, appendix B) and their TLVs.

use crate::{Micros, tags, time};
use rusmpp_core::pdus::owned::DeliverSm;
use rusmpp_core::tlvs::owned::{MessageDeliveryRequestTlvValue as Out, TlvValue};
use rusmpp_core::types::owned::{AnyOctetString, COctetString, OctetString};
use rusmpp_core::values::{Ansi41Specific, EsmClass, GsmFeatures, MessageState, MessageType, MessagingMode};

/// The final answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A receiver accepted the message.
    Delivered,
    /// The message was rejected and certainly had no effect. It is safe to retry after the wait.
    Rejected {
        /// The time to wait before a retry.
        retry_after: Micros,
    },
    /// The message failed and certainly had no effect.
    Undeliverable,
    /// The message may have had an effect.
    Unknown {
        /// The time to wait before a retry, if a retry is safe all the same.
        retry_after: Option<Micros>,
    },
    /// The validity of the message ended; it certainly had no effect.
    Expired,
    /// The client withdrew the message; it certainly had no effect.
    Deleted,
}

/// Returns the word for a state in receipts (SMPP 3.4, appendix B).
pub fn word(state: MessageState) -> &'static str {
    match state {
        MessageState::Enroute => "ENROUTE",
        MessageState::Delivered => "DELIVRD",
        MessageState::Expired => "EXPIRED",
        MessageState::Deleted => "DELETED",
        MessageState::Undeliverable => "UNDELIV",
        MessageState::Rejected => "REJECTD",
        _ => "UNKNOWN",
    }
}

impl Answer {
    /// Returns the message_state of the specification.
    pub fn state(self) -> MessageState {
        match self {
            Answer::Delivered => MessageState::Delivered,
            Answer::Rejected { .. } => MessageState::Rejected,
            Answer::Undeliverable => MessageState::Undeliverable,
            Answer::Unknown { .. } => MessageState::Unknown,
            Answer::Expired => MessageState::Expired,
            Answer::Deleted => MessageState::Deleted,
        }
    }

    /// Returns the word for the answer in receipts.
    pub fn word(self) -> &'static str {
        word(self.state())
    }

    /// Returns the time to wait before a retry, if there is one.
    pub fn retry_after(self) -> Option<Micros> {
        match self {
            Answer::Rejected { retry_after } => Some(retry_after),
            Answer::Unknown { retry_after } => retry_after,
            _ => None,
        }
    }

    /// Returns the answer for a word of a receipt and a wait; `None` if the word is unknown.
    pub fn read(word: &str, retry_after: Option<Micros>) -> Option<Answer> {
        Some(match word {
            "DELIVRD" => Answer::Delivered,
            "REJECTD" => Answer::Rejected { retry_after: retry_after.unwrap_or(0) },
            "UNDELIV" => Answer::Undeliverable,
            "UNKNOWN" => Answer::Unknown { retry_after },
            "EXPIRED" => Answer::Expired,
            "DELETED" => Answer::Deleted,
            _ => return None,
        })
    }
}

/// A receipt: the final answer to one accepted message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// The message_id that was returned when the message was accepted.
    pub id: String,
    /// The answer.
    pub answer: Answer,
    /// The time of acceptance, in wall-clock microseconds.
    pub taken: Micros,
    /// The time of the final answer, in wall-clock microseconds.
    pub done: Micros,
    /// The source address of the submission, to which the receipt is sent.
    pub source: String,
    /// The destination address of the submission, from which the receipt is sent.
    pub destination: String,
}

impl Receipt {
    /// Returns the deliver_sm for the receipt. Its text has the form of SMPP 3.4, appendix B.
    pub fn deliver(&self) -> DeliverSm {
        let delivered = u8::from(self.answer == Answer::Delivered);
        let text = format!(
            "id:{} sub:001 dlvrd:00{delivered} submit date:{} done date:{} stat:{} err:000 text:",
            self.id,
            time::receipt_date(self.taken),
            time::receipt_date(self.done),
            self.answer.word()
        );
        let esm_class = EsmClass::new(
            MessagingMode::Default,
            MessageType::ShortMessageContainsMCDeliveryReceipt,
            Ansi41Specific::Other(0),
            GsmFeatures::NotSelected,
        );
        let id = COctetString::from_string(self.id.clone()).unwrap_or_default();
        let mut sm = DeliverSm::builder()
            .source_addr(COctetString::from_string(self.destination.clone()).unwrap_or_default())
            .destination_addr(COctetString::from_string(self.source.clone()).unwrap_or_default())
            .esm_class(esm_class)
            .short_message(OctetString::from_vec(text.into_bytes()).unwrap_or_default())
            .push_tlv(Out::ReceiptedMessageId(id))
            .push_tlv(Out::MessageState(self.answer.state()))
            .build();
        if let Some(wait) = self.answer.retry_after() {
            let ms = u32::try_from(wait.max(0) / 1_000).unwrap_or(u32::MAX);
            let value = AnyOctetString::from_vec(ms.to_be_bytes().to_vec());
            sm.push_tlv(Out::Other { tag: tags::tag(tags::RETRY_AFTER), value });
        }
        sm
    }

    /// Returns the message_id and answer of a deliver_sm, or `None` if it is not a receipt.
    pub fn read(sm: &DeliverSm) -> Option<(String, Answer)> {
        let text = String::from_utf8_lossy(sm.short_message().as_ref()).into_owned();
        let value = |name: &str| {
            let rest = &text[text.find(name)? + name.len()..];
            Some(rest.split(' ').next().unwrap_or_default().to_string())
        };
        let id = sm.tlvs().iter().find_map(|t| match t.value() {
            Some(TlvValue::ReceiptedMessageId(id)) => Some(id.as_str().to_string()),
            _ => None,
        });
        let wait = tags::find_u32(sm.tlvs(), tags::RETRY_AFTER).map(|ms| Micros::from(ms) * 1_000);
        Some((id.or_else(|| value("id:"))?, Answer::read(&value("stat:")?, wait)?))
    }
}
