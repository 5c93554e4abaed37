//! Tests sessions of both sides against each other, and against input that no client should send.

use bytes::BytesMut;
use heronroute_smpp::client;
use heronroute_smpp::codec::{Decoder, Frame, encode};
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::server::{Event, Limits, Mode, Session, peek_system_id};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use proptest::prelude::*;
use rusmpp_core::pdus::owned::Pdu;
use rusmpp_core::{CommandId, CommandStatus};

const LIMITS: Limits = Limits {
    session_init: 5_000,
    enquire_every: 30_000,
    inactivity: 100_000,
    response: 10_000,
    window: 3,
    max_pdu: 4_096,
};

fn message() -> Submission {
    Submission {
        service: "PAY".into(),
        source: "a".into(),
        destination: "234801".into(),
        validity: Some(60_000_000),
        wanted: ReceiptRequest::Always,
        key: Some("k1".into()),
        body: b"hello".to_vec(),
        ..Submission::default()
    }
}

/// Returns the session's answers to bytes (id, status and sequence number) and its events.
fn receive(s: &mut Session, bytes: &[u8]) -> (Vec<(CommandId, CommandStatus, u32)>, Vec<Event>) {
    let (mut out, mut events) = (BytesMut::new(), Vec::new());
    s.receive(0, 0, bytes, &mut out, &mut events);
    (frames(&out), events)
}

fn frames(bytes: &[u8]) -> Vec<(CommandId, CommandStatus, u32)> {
    let mut decoder = Decoder::new(100_000);
    decoder.push(bytes);
    let next_header = || match decoder.next_frame() {
        Ok(Some(Frame::Command(c))) => Some((c.id(), c.status(), c.sequence_number())),
        Ok(None) => None,
        other => panic!("{other:?}"),
    };
    std::iter::from_fn(next_header).collect()
}

fn bound(mode: Mode) -> Session {
    let mut s = Session::new(0, LIMITS);
    let mut out = BytesMut::new();
    client::Session::bind(0, LIMITS, mode, "me", "pw", &mut out);
    let (_, events) = receive(&mut s, &out);
    assert!(
        matches!(&events[..], [Event::Bind { system_id, password, .. }] if system_id == "me" && password == "pw")
    );
    s.accept(0, 1, "us", &mut out);
    assert_eq!(s.mode(), Some(mode));
    s
}

fn pdu(sequence: u32, pdu: impl Into<Pdu>) -> BytesMut {
    let mut out = BytesMut::new();
    encode(CommandStatus::EsmeRok, sequence, pdu, &mut out);
    out
}

#[test]
fn submissions_are_decoded_as_encoded() {
    let mut s = bound(Mode::Transceiver);
    for body in [b"short".to_vec(), vec![7; 3_000]] {
        let sent = Submission { body, again: true, ..message() };
        let (_, events) = receive(&mut s, &pdu(9, sent.submit(None)));
        let [Event::Submit { submission, .. }] = &events[..] else { panic!("{events:?}") };
        assert_eq!(**submission, sent);
        s.submitted(9, "id", CommandStatus::EsmeRok, vec![], &mut BytesMut::new());
    }
}

#[test]
fn receipts_are_decoded_as_encoded() {
    let answers = [
        Answer::Delivered,
        Answer::Rejected { retry_after: 1_500_000 },
        Answer::Undeliverable,
        Answer::Unknown { retry_after: None },
        Answer::Unknown { retry_after: Some(2_000) },
        Answer::Expired,
        Answer::Deleted,
    ];
    for answer in answers {
        let (source, destination) = ("a".to_string(), "b".to_string());
        let r = Receipt { id: "00ff".into(), answer, taken: 0, done: 5, source, destination };
        assert_eq!(Receipt::read(&r.deliver()), Some(("00ff".to_string(), answer)));
    }
}

#[test]
fn wrong_states_lengths_and_commands_are_answered_as_specified() {
    use CommandStatus::*;
    let mut unbound = Session::new(0, LIMITS);
    let first = |answers: Vec<(CommandId, CommandStatus, u32)>| answers[0];
    let (a, _) = receive(&mut unbound, &pdu(5, message().submit(None)));
    assert_eq!(first(a), (CommandId::SubmitSmResp, EsmeRinvbndsts, 5), "not bound");
    let (a, _) = receive(&mut unbound, &pdu(6, Pdu::EnquireLink));
    assert_eq!(first(a), (CommandId::EnquireLinkResp, EsmeRok, 6));

    let (a, e) = receive(&mut bound(Mode::Receiver), &pdu(5, message().submit(None)));
    assert_eq!((first(a).1, e.len()), (EsmeRinvbndsts, 0), "a receiver may not submit");

    let mut s = bound(Mode::Transceiver);
    let mut bind = BytesMut::new();
    client::Session::bind(0, LIMITS, Mode::Transmitter, "me", "pw", &mut bind);
    assert_eq!(first(receive(&mut s, &bind).0).1, EsmeRalybnd);
    let unknown = [0, 0, 0, 16, 0, 0, 0x0F, 0xFF, 0, 0, 0, 0, 0, 0, 0, 8];
    assert_eq!(first(receive(&mut s, &unknown).0), (CommandId::GenericNack, EsmeRinvcmdid, 8));
    let truncated = [0, 0, 0, 20, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 9, 65, 65, 65, 65];
    assert_eq!(first(receive(&mut s, &truncated).0), (CommandId::SubmitSmResp, EsmeRinvcmdlen, 9));
    let stray = [0, 0, 0, 17, 0x80, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 77, 0];
    assert_eq!(receive(&mut s, &stray), (vec![], vec![]), "a response without a request");
    let mut out = BytesMut::new();
    let (source, destination) = ("a".to_string(), "b".to_string());
    let r = Receipt { id: "1".into(), answer: Answer::Delivered, taken: 0, done: 0, source, destination };
    let sequence = s.deliver(0, &r, &mut out);
    let mut bare = vec![0, 0, 0, 16, 0x80, 0, 0, 5, 0, 0, 0, 0];
    bare.extend_from_slice(&sequence.to_be_bytes());
    assert_eq!(receive(&mut s, &bare).1, [Event::Acknowledged { sequence, taken: true }], "without a body");
    let (a, e) = receive(&mut s, &[0, 0, 0, 8, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 10]);
    assert_eq!(first(a), (CommandId::GenericNack, EsmeRinvcmdlen, 10));
    assert!(matches!(e[..], [Event::Ended(_)]) && s.over(), "nothing after an invalid length can be read");
    for bad in [Submission { destination: "x".repeat(20), ..message() }.submit(None), {
        let mut sm = message().submit(None);
        sm.esm_class = 0b0000_0100.into();
        sm
    }] {
        let mut s = bound(Mode::Transmitter);
        let (a, e) = receive(&mut s, &pdu(3, bad));
        assert!(e.len() + a.len() == 1, "either answered or reported");
    }
}

#[test]
fn windows_and_repeated_sequence_numbers() {
    let mut s = bound(Mode::Transmitter);
    let submit = |s: &mut Session, n| receive(s, &pdu(n, message().submit(None)));
    // Sequence numbers may come in any order; one that still waits for its response is a repeat.
    for n in [50, 7, 9] {
        assert_eq!(submit(&mut s, n).1.len(), 1);
    }
    assert_eq!(submit(&mut s, 7), (vec![], vec![]), "a repeat is neither reported nor answered");
    assert_eq!(submit(&mut s, 8).0[0].1, CommandStatus::EsmeRthrottled, "over the window");
    let mut out = BytesMut::new();
    s.submitted(7, "id", CommandStatus::EsmeRok, vec![], &mut out);
    s.submitted(7, "id", CommandStatus::EsmeRok, vec![], &mut out);
    assert_eq!(frames(&out).len(), 1, "one response");
    assert_eq!(submit(&mut s, 8).1.len(), 1, "the window has room again");
}

#[test]
fn an_acknowledgement_that_crosses_an_unbind_is_accepted() {
    let mut s = bound(Mode::Transceiver);
    let (source, destination) = ("a".to_string(), "b".to_string());
    let r = Receipt { id: "1".into(), answer: Answer::Delivered, taken: 0, done: 0, source, destination };
    let sequence = s.deliver(0, &r, &mut BytesMut::new());
    assert_eq!(receive(&mut s, &pdu(2, Pdu::Unbind)).1, [], "not over yet");
    let (_, e) = receive(&mut s, &pdu(sequence, rusmpp_core::pdus::owned::DeliverSmResp::default()));
    assert_eq!(e, [Event::Acknowledged { sequence, taken: true }, Event::Unbound]);
}

#[test]
fn timers() {
    let tick = |s: &mut Session, now| {
        let (mut out, mut events) = (BytesMut::new(), Vec::new());
        s.tick(now, &mut out, &mut events);
        (frames(&out), events)
    };
    let mut s = Session::new(0, LIMITS);
    assert_eq!(s.wake(), 5_000);
    assert!(matches!(tick(&mut s, 5_000).1[..], [Event::Ended("no bind in time")]));
    let mut s = bound(Mode::Transceiver);
    assert_eq!(s.wake(), 30_000);
    assert_eq!(tick(&mut s, 30_000).0[0].0, CommandId::EnquireLink);
    assert!(matches!(tick(&mut s, 40_000).1[..], [Event::Ended("no response in time")]));
    let mut s = bound(Mode::Transceiver);
    let mut out = BytesMut::new();
    for n in 0..3 {
        s.receive(n * 30_000, 0, &pdu(n as u32, Pdu::EnquireLink), &mut out, &mut Vec::new());
    }
    assert_eq!(tick(&mut s, 100_000).0[0].0, CommandId::Unbind, "enquiries alone don't count as activity");
}

#[test]
fn the_system_id_is_read_from_the_first_command() {
    let mut bind = BytesMut::new();
    client::Session::bind(0, LIMITS, Mode::Transceiver, "oduya", "pw", &mut bind);
    for n in 0..22 {
        assert_eq!(peek_system_id(&bind[..n]), None);
    }
    for n in 22..=bind.len() {
        assert_eq!(peek_system_id(&bind[..n]).as_deref(), Some("oduya"));
    }
    assert_eq!(peek_system_id(b"GET / HTTP/1.1\r\n").as_deref(), Some(""));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: prop::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Feeds a corrupted request and noise in pieces to both sides: nothing panics.
    #[test]
    fn corrupted_input_never_panics(noise in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..120, step in 1usize..40) {
        let mut input = pdu(3, message().submit(Some("m")));
        for (i, byte) in noise.iter().enumerate() {
            let n = input.len();
            if n > 0 {
                input[(at + i * 7) % n] = *byte;
            }
        }
        input.extend_from_slice(&noise);
        let mut s = bound(Mode::Transceiver);
        let mut client = client::Session::new(0, LIMITS);
        for part in input.chunks(step) {
            let (mut out, mut events) = (BytesMut::new(), Vec::new());
            s.receive(0, 0, part, &mut out, &mut events);
            client.receive(0, part, &mut out, &mut Vec::new());
        }
        _ = peek_system_id(&input);
    }
}
