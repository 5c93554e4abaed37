//! Final answers on SMPP: states, receipt text (SMPP 3.4, appendix B) and the TLVs beside it.

use crate::{Micros, tags, time};
use rusmpp_core::pdus::owned::DeliverSm;
use rusmpp_core::tlvs::owned::{MessageDeliveryRequestTlvValue as Out, TlvValue};
use rusmpp_core::types::owned::{AnyOctetString, COctetString, OctetString};
use rusmpp_core::values::{Ansi41Specific, EsmClass, GsmFeatures, MessageState, MessageType, MessagingMode};

/// The final answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A receiver took it.
    Delivered,
    /// Handed back: it surely did not run. Trying again after the wait does no harm.
    Rejected {
        /// Stay away for so long.
        retry_after: Micros,
    },
    /// Failed: it surely did not run.
    Undeliverable,
    /// It may have taken effect.
    Unknown {
        /// Where trying again does no harm all the same: after this wait.
        retry_after: Option<Micros>,
    },
    /// Its time ran out; it surely did not run.
    Expired,
    /// Withdrawn by its client; it surely did not run.
    Deleted,
}

/// The word for a state, as in receipts (SMPP 3.4, appendix B).
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
    /// The message_state of the specification.
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

    /// The word that stands in receipts.
    pub fn word(self) -> &'static str {
        word(self.state())
    }

    /// The wait told beside it.
    pub fn retry_after(self) -> Option<Micros> {
        match self {
            Answer::Rejected { retry_after } => Some(retry_after),
            Answer::Unknown { retry_after } => retry_after,
            _ => None,
        }
    }

    /// The answer that a word and a wait stand for.
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
    /// The message_id given at acceptance.
    pub id: String,
    /// The answer.
    pub answer: Answer,
    /// When it was accepted and answered, in wall-clock microseconds.
    pub taken: Micros,
    /// See `taken`.
    pub done: Micros,
    /// The submission's addresses: a receipt travels from the destination to the source.
    pub source: String,
    /// See `source`.
    pub destination: String,
}

impl Receipt {
    /// The deliver_sm that carries it. The receipt text has the form of SMPP 3.4, appendix B.
    pub fn deliver(&self) -> DeliverSm {
        let delivered = u8::from(self.answer == Answer::Delivered);
        let text = format!(
            "id:{} sub:001 dlvrd:00{delivered} submit date:{} done date:{} stat:{} err:000 text:",
            self.id,
            time::short(self.taken),
            time::short(self.done),
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

    /// The message and answer that a deliver_sm tells of; `None` where it is no receipt.
    pub fn read(sm: &DeliverSm) -> Option<(String, Answer)> {
        let text = String::from_utf8_lossy(sm.short_message().as_ref()).into_owned();
        let word = |name: &str| {
            let rest = &text[text.find(name)? + name.len()..];
            Some(rest.split(' ').next().unwrap_or_default().to_string())
        };
        let id = sm.tlvs().iter().find_map(|t| match t.value() {
            Some(TlvValue::ReceiptedMessageId(id)) => Some(id.as_str().to_string()),
            _ => None,
        });
        let wait = tags::find_u32(sm.tlvs(), tags::RETRY_AFTER).map(|ms| Micros::from(ms) * 1_000);
        Some((id.or_else(|| word("id:"))?, Answer::read(&word("stat:")?, wait)?))
    }
}
