//! How a client speaks SMPP.

use super::{Bad, Dialect};
use bytes::BytesMut;
use heronroute_engine::Micros;
use heronroute_engine::front::{Front, SmppFront};
use heronroute_smpp::client::Session;
use heronroute_smpp::codec::encode;
use heronroute_smpp::server::{Limits, Mode};
use heronroute_smpp::submission::Submission;
use rusmpp_core::CommandStatus;
use rusmpp_core::pdus::owned::{DeliverSmResp, Pdu};

/// SMPP 3.4.
pub struct Smpp;

/// Sequence numbers of hand-ins begin behind this.
const FIRST: u32 = 1 << 16;

/// Figures of sessions, small.
pub const LIMITS: Limits = Limits {
    session_init: 5_000_000,
    enquire_every: 30_000_000,
    inactivity: 600_000_000,
    response: 10_000_000,
    window: 10,
    max_pdu: 66_000,
};

/// Commands in a stream: identity, status, sequence number.
pub fn frames(mut octets: &[u8]) -> Vec<(u32, u32, u32)> {
    let mut frames = Vec::new();
    while octets.len() >= 16 {
        let word =
            |at: usize| u32::from_be_bytes([octets[at], octets[at + 1], octets[at + 2], octets[at + 3]]);
        let (length, frame) = (word(0) as usize, (word(4), word(8), word(12)));
        if length < 16 || length > octets.len() {
            break;
        }
        frames.push(frame);
        octets = &octets[length..];
    }
    frames
}

fn written(sequence: u32, pdu: impl Into<Pdu>) -> Vec<u8> {
    let mut out = BytesMut::new();
    encode(CommandStatus::EsmeRok, sequence, pdu, &mut out);
    out.to_vec()
}

impl Dialect for Smpp {
    fn front(&self, now: Micros) -> Box<dyn Front> {
        Box::new(SmppFront::new(now, LIMITS))
    }

    fn enter(&self) -> Option<Vec<u8>> {
        let mut out = BytesMut::new();
        Session::bind(0, LIMITS, Mode::Transceiver, "client", "secret", &mut out);
        Some(out.to_vec())
    }

    fn settle(&self) -> Vec<u8> {
        Vec::new()
    }

    fn hand_in(&self, n: u16) -> Vec<u8> {
        let submission = Submission {
            service: "PAY".into(),
            source: "000001".into(),
            destination: "234".into(),
            body: format!("message {n}").into_bytes(),
            ..Submission::default()
        };
        written(FIRST + u32::from(n), submission.submit(None))
    }

    fn ping(&self) -> Vec<u8> {
        written(7, Pdu::EnquireLink)
    }

    fn bad(&self) -> Vec<Bad> {
        let lengths = [0u32, 15, 66_001, u32::MAX];
        let of = |length: u32, entered| {
            let mut octets = length.to_be_bytes().to_vec();
            octets.extend_from_slice(&[0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 9]);
            // generic_nack with ESME_RINVCMDLEN and the number of the command.
            Bad { entered, octets, words: vec![0x80, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 9] }
        };
        lengths.into_iter().flat_map(|l| [of(l, false), of(l, true)]).collect()
    }

    fn answers(&self, out: &[u8]) -> Vec<(u16, bool)> {
        let answer = |(id, status, sequence): (u32, u32, u32)| {
            (id == 0x8000_0004).then(|| (sequence.wrapping_sub(FIRST) as u16, status == 0))
        };
        frames(out).into_iter().filter_map(answer).collect()
    }

    fn acknowledge(&self, out: &[u8]) -> Vec<u8> {
        let told = frames(out).into_iter().filter(|f| f.0 == 5);
        told.flat_map(|(_, _, sequence)| written(sequence, DeliverSmResp::default())).collect()
    }

    fn at_once(&self) -> usize {
        LIMITS.window
    }
}
