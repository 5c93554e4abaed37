//! A receiver that speaks SMPP.

use super::http::kind;
use super::{CallOutcome, Receiver};
use crate::front::{SMPP_LIMITS, frames};
use bytes::BytesMut;
use heronroute_config::Protocol;
use heronroute_engine::link::{self, Link};
use heronroute_smpp::codec::encode;
use heronroute_smpp::tags;
use rusmpp_core::CommandStatus;
use rusmpp_core::pdus::owned::{BindTransceiverResp, DeliverSmResp, Pdu, SubmitSmResp};
use rusmpp_core::tlvs::owned::MessageSubmissionResponseTlvValue as Tlv;
use rusmpp_core::types::owned::{AnyOctetString, COctetString};

/// An SMPP 3.4 receiver.
pub struct Smpp;

const BIND: u32 = 9;
const SUBMIT: u32 = 4;
const ENQUIRE: u32 = 0x15;

fn written(status: CommandStatus, sequence: u32, pdu: impl Into<Pdu>) -> Vec<u8> {
    let mut out = BytesMut::new();
    encode(status, sequence, pdu, &mut out);
    out.to_vec()
}

fn answer(sequence: u32, how: CallOutcome) -> Vec<u8> {
    let (status, wait) = match how {
        CallOutcome::Done => (CommandStatus::EsmeRok, 0),
        CallOutcome::Busy(wait) => (CommandStatus::EsmeRthrottled, wait),
        CallOutcome::Error | CallOutcome::Gone | CallOutcome::Exhausted => (CommandStatus::EsmeRsyserr, 0),
    };
    let ms = u32::try_from(wait / 1_000).unwrap_or(u32::MAX).to_be_bytes().to_vec();
    let wait = Tlv::Other { tag: tags::tag(tags::RECEIVER_RETRY_AFTER), value: AnyOctetString::from_vec(ms) };
    let tlvs = if matches!(how, CallOutcome::Busy(1..)) { vec![wait] } else { Vec::new() };
    let id = COctetString::from_string("1".to_string()).unwrap_or_default();
    written(status, sequence, SubmitSmResp::new(id, tlvs))
}

impl Receiver for Smpp {
    fn link(&self) -> Box<dyn Link> {
        link::new(&kind(Protocol::Smpp, 3), SMPP_LIMITS, "h:1".into(), 0)
    }
    fn opening_reply(&self, sent: &[u8]) -> Option<Vec<u8>> {
        let bind = frames(sent).into_iter().find(|f| f.0 == BIND)?;
        Some(written(CommandStatus::EsmeRok, bind.2, BindTransceiverResp::default()))
    }
    fn answers(&self, sent: &[u8], how: CallOutcome) -> Vec<Vec<u8>> {
        let one = |(id, _, sequence): (u32, u32, u32)| match id {
            SUBMIT => Some(answer(sequence, how)),
            ENQUIRE => Some(written(CommandStatus::EsmeRok, sequence, Pdu::EnquireLinkResp)),
            _ => None,
        };
        frames(sent).into_iter().filter_map(one).collect()
    }
    fn unrequested_answer(&self) -> Vec<u8> {
        answer(70_000, CallOutcome::Done)
    }
    fn mismatch(&self, sent: &[u8]) -> Option<Vec<u8>> {
        let of = |f: (u32, u32, u32)| written(CommandStatus::EsmeRok, f.2, DeliverSmResp::default());
        frames(sent).into_iter().find(|f| f.0 == SUBMIT).map(of)
    }
    fn max_open_calls(&self) -> usize {
        8
    }
    fn may_reorder(&self) -> bool {
        true
    }
    fn batch(&self) -> usize {
        3
    }
}
