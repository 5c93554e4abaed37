//! Tests a session byte by byte against the specifications, and against packets that no client should send.

use bytes::BytesMut;
use heronroute_mqtt::session::{Event, Limits, OutgoingAnswer, Session};
use proptest::prelude::*;

const LIMITS: Limits =
    Limits { connect_within: 5_000_000, keep_alive: 300, expiry: 3_600, window: 3, max_packet: 1_000 };

fn field(text: &[u8]) -> Vec<u8> {
    [&(text.len() as u16).to_be_bytes()[..], text].concat()
}

fn packet(first: u8, parts: &[&[u8]]) -> Vec<u8> {
    let body = parts.concat();
    let mut length = body.len();
    let mut out = vec![first];
    loop {
        let group = (length % 128) as u8;
        length /= 128;
        out.push(if length > 0 { group | 128 } else { group });
        if length == 0 {
            return [out, body].concat();
        }
    }
}

/// Encodes a CONNECT of version 5.0 with these properties and, if given, a will with these properties and
/// topic.
fn connect5(flags: u8, keep_alive: u16, props: &[u8], id: &str, will: Option<(&[u8], &str)>) -> Vec<u8> {
    let mut parts: Vec<Vec<u8>> = vec![
        field(b"MQTT"),
        vec![5, flags | 0xC0 | if will.is_some() { 4 } else { 0 }],
        keep_alive.to_be_bytes().to_vec(),
        vec![props.len() as u8],
        props.to_vec(),
        field(id.as_bytes()),
    ];
    if let Some((props, topic)) = will {
        parts.extend([vec![props.len() as u8], props.to_vec(), field(topic.as_bytes()), field(b"gone")]);
    }
    parts.extend([field(b"user"), field(b"pass")]);
    let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
    packet(0x10, &parts)
}

fn connect3(id: &str, clean: bool) -> Vec<u8> {
    packet(
        0x10,
        &[
            &field(b"MQTT"),
            &[4, 0xC0 | (u8::from(clean) << 1), 0, 60],
            &field(id.as_bytes()),
            &field(b"user"),
            &field(b"pass"),
        ],
    )
}

fn publish(flags: u8, topic: &str, id: u16, props: Option<&[u8]>) -> Vec<u8> {
    let id = if flags & 6 == 0 { Vec::new() } else { id.to_be_bytes().to_vec() };
    let props = props.map_or(Vec::new(), |p| [&[p.len() as u8], p].concat());
    packet(0x30 | flags, &[&field(topic.as_bytes()), &id, &props, b"text"])
}

fn receive(s: &mut Session, bytes: &[u8]) -> (Vec<u8>, Vec<Event>) {
    let (mut out, mut events) = (BytesMut::new(), Vec::new());
    s.receive(0, bytes, &mut out, &mut events);
    // Writes the acknowledgement at once, as the service does if there is nothing to store first.
    for event in &events {
        if let Event::Subscribed(acknowledgement) = event {
            out.extend_from_slice(acknowledgement);
        }
    }
    (out.to_vec(), events)
}

/// Returns a session of version 5.0 with an admitted client.
fn open5(props: &[u8]) -> Session {
    let mut s = Session::new(0, LIMITS);
    let (_, events) = receive(&mut s, &connect5(2, 60, props, "me", None));
    assert!(matches!(&events[..], [Event::Connect(c)] if c.client_id == "me" && c.clean));
    s.admit(None, false, &[], &mut BytesMut::new());
    s
}

fn close_reason(events: &[Event]) -> Option<&'static str> {
    events.iter().find_map(|e| if let Event::Over(reason) = e { *reason } else { None })
}

#[test]
fn invalid_connects_are_refused_and_valid_ones_admitted() {
    let refused = |bytes: &[u8]| {
        let (out, events) = receive(&mut Session::new(0, LIMITS), bytes);
        assert!(close_reason(&events).is_some(), "{events:?}");
        // The code of a CONNACK follows its flags.
        out.get(3).copied()
    };
    assert_eq!(
        refused(&connect5(2, 0, &[0x15, 0, 1, b'x'], "a", None)),
        Some(0x8C),
        "enhanced authentication"
    );
    assert_eq!(refused(&connect5(2, 0, &[], "a+b", None)), Some(0x85));
    assert_eq!(refused(&connect5(0x22, 0, &[], "a", Some((&[], "to/1")))), Some(0x9A), "a retained will");
    assert_eq!(refused(&connect5(2, 0, &[], "a", Some((&[], "nowhere")))), Some(0x90));
    assert_eq!(refused(&connect3("", false)), Some(2), "a persistent session needs a client identifier");
    let mut version_6 = connect3("a", true);
    version_6[8] = 6;
    assert_eq!(refused(&version_6), Some(1));
    assert_eq!(refused(b"\x30\x00"), None, "a first packet other than CONNECT gets no answer");
    assert_eq!(refused(&packet(0x11, &[b""])), None);
    // The CONNACK reports the server's limits, and the client identifier that it assigned.
    let mut s = Session::new(0, LIMITS);
    receive(&mut s, &connect5(2, 1_000, &[0x11, 0, 1, 0, 0], "", None));
    let mut out = BytesMut::new();
    s.admit(Some("given".into()), false, &[], &mut out);
    for part in [&[0x21, 0, 3][..], &[0x27, 0, 0, 3, 0xE8], &[0x13, 1, 44], &[0x11, 0, 0, 14, 16], b"given"] {
        assert!(out.windows(part.len()).any(|w| w == part), "{part:?} in {out:?}");
    }
    assert_eq!((s.client_id(), s.wake()), ("given", 450_000_000));
}

#[test]
fn acknowledgements_go_out_in_publication_order() {
    let mut s = open5(&[]);
    let all = [
        publish(2, "to/1/A", 7, Some(&[])),
        publish(4, "to/1/A", 8, Some(&[])),
        publish(2, "to/1/A", 9, Some(&[])),
    ];
    let (out, events) = receive(&mut s, &all.concat());
    let tokens: Vec<u32> =
        events.iter().map(|e| if let Event::Submit(t, _) = e { *t } else { panic!("{e:?}") }).collect();
    assert!(out.is_empty() && !s.listens());
    let mut out = BytesMut::new();
    s.denied(tokens[1], 0x97, &mut out);
    s.taken(tokens[2], "id9", &mut out);
    assert!(out.is_empty(), "the first is not decided");
    s.taken(tokens[0], "id7", &mut out);
    let properties = |id: &[u8]| [&[0, 15, 0x26][..], &field(b"message"), &field(id)].concat();
    let expect = [
        &[0x40, 19, 0, 7][..],
        &properties(b"id7"),
        &[0x50, 3, 0, 8, 0x97],
        &[0x40, 19, 0, 9],
        &properties(b"id9"),
    ];
    assert_eq!(out[..], expect.concat()[..]);
    assert!(s.listens());
    // Both publications of quality of service 1 are acknowledged, and the refused exchange of quality 2 is
    // over.
    let more: Vec<u8> = (10..=12).flat_map(|n| publish(4, "to/1/A", n, Some(&[]))).collect();
    assert!(close_reason(&receive(&mut s, &more).1).is_none(), "a whole window is free");
}

#[test]
fn a_qos2_identifier_belongs_to_one_exchange_until_released() {
    let mut s = open5(&[]);
    let p = publish(4, "to/1/A", 7, Some(&[]));
    assert_eq!(receive(&mut s, &p).1.len(), 1);
    assert_eq!(
        receive(&mut s, &p),
        (vec![], vec![]),
        "a repeated identifier is no new message and has no answer yet"
    );
    s.taken(0, "", &mut BytesMut::new());
    assert_eq!(receive(&mut s, &p), (vec![0x50, 2, 0, 7], vec![]));
    assert_eq!(receive(&mut s, &[0x62, 2, 0, 7]).0, [0x70, 2, 0, 7]);
    let (out, _) = receive(&mut s, &[0x62, 2, 0, 7]);
    assert_eq!(out[..5], [0x70, 3, 0, 7, 0x92], "a release of an unknown identifier");
    assert_eq!(receive(&mut s, &p).1.len(), 1, "the identifier is free for another message");
}

#[test]
fn releases_are_read_with_more_unreleased_qos2_than_a_window() {
    // Version 3.1.1 has no window: a client that reconnects with a backlog resends all of it at once, with
    // its releases behind it. Those were never read, and the client got no answer until its keep-alive ended
    // the connection.
    let mut s = Session::new(0, LIMITS);
    receive(&mut s, &connect3("me", true));
    s.admit(None, false, &[], &mut BytesMut::new());
    let many: Vec<u8> = (1..=10).flat_map(|n| publish(4, "to/1", n, None)).collect();
    let (_, events) = receive(&mut s, &many);
    assert!(events.len() == 10 && !s.listens(), "the server owes a window of acknowledgements");
    let mut out = BytesMut::new();
    (0..10).for_each(|token| s.taken(token, "", &mut out));
    assert_eq!((out.len(), s.listens()), (40, true), "no acknowledgement is owed any more");
    for n in 1..=10 {
        assert_eq!(receive(&mut s, &[0x62, 2, 0, n]).0, [0x70, 2, 0, n]);
    }
}

#[test]
fn protocol_violations_end_the_connection_with_their_code() {
    let close_code = |bytes: &[u8]| {
        let mut s = open5(&[]);
        let (out, events) = receive(&mut s, bytes);
        assert!(close_reason(&events).is_some() && out[0] == 0xE0, "{events:?}");
        assert_eq!(receive(&mut s, bytes), (vec![], vec![]), "packets after the end are ignored");
        out[2]
    };
    assert_eq!(close_code(&connect5(2, 0, &[], "me", None)), 0x82, "a second CONNECT");
    assert_eq!(close_code(&publish(3, "to/1", 1, Some(&[]))), 0x9A, "retained");
    assert_eq!(close_code(&publish(2, "", 1, Some(&[0x23, 0, 1]))), 0x82, "an alias without a topic");
    assert_eq!(close_code(&publish(2, "to/1", 1, Some(&[0x23, 0, 17]))), 0x94);
    assert_eq!(close_code(&publish(6, "to/1", 1, Some(&[]))), 0x81, "quality 3");
    assert_eq!(close_code(&publish(2, "to/1", 0, Some(&[]))), 0x81, "packet identifier 0");
    assert_eq!(close_code(&packet(0x30, &[&[0; 1_100]])), 0x95, "too large by its header alone");
    assert_eq!(close_code(&[0x80, 0]), 0x81, "reserved flags");
    assert_eq!(close_code(&packet(0x82, &[&[0, 1, 2, 0x0B, 5], &field(b"a"), &[1]])), 0xA1);
    assert_eq!(close_code(&[0xF0, 0]), 0x82, "AUTH");
    assert_eq!(close_code(&[0x50, 2, 0, 1]), 0x82, "a PUBREC for a publication that was never sent");
    let many: Vec<u8> = (1..=4).flat_map(|n| publish(2, "to/1", n, Some(&[]))).collect();
    assert_eq!(close_code(&many), 0x93);
    // Version 3.1.1 has no reason code for this and no receive maximum; instead the server stops reading for
    // a while.
    let mut s = Session::new(0, LIMITS);
    receive(&mut s, &connect3("me", true));
    s.admit(None, false, &[], &mut BytesMut::new());
    let many: Vec<u8> = (1..=4).flat_map(|n| publish(2, "to/1", n, None)).collect();
    let (out, events) = receive(&mut s, &many);
    assert_eq!((out.len(), events.len(), s.listens()), (0, 4, false));
    let (out, events) = receive(&mut s, &publish(2, "nowhere", 9, None));
    assert_eq!((out.len(), close_reason(&events)), (0, Some("a topic that leads nowhere")));
}

#[test]
fn invalid_requests_are_refused_without_ending_the_connection() {
    let mut s = open5(&[]);
    let response = |topic: &[u8]| [&[0x08][..], &field(topic)].concat();
    let long = [&[0x09][..], &field(&[b'x'; 300])].concat();
    let long = [&[0xAF, 0x02][..], &long].concat();
    let long_correlation = packet(0x32, &[&field(b"to/1"), &[0, 3], &long, b"text"]);
    for (bytes, code) in [
        (publish(2, "other/1", 1, Some(&[])), 0x90),
        (publish(2, "to/1", 2, Some(&response(b"a/+"))), 0x90),
        (long_correlation, 0x97),
    ] {
        let (out, events) = receive(&mut s, &bytes);
        assert_eq!((out[0], out[4], events.len()), (0x40, code, 0));
    }
    let subscribe = |filters: &[(&str, u8)]| {
        let list: Vec<u8> =
            filters.iter().flat_map(|(f, q)| [field(f.as_bytes()), vec![*q]].concat()).collect();
        packet(0x82, &[&[0, 1, 0], &list])
    };
    let (out, _) = receive(&mut s, &subscribe(&[("a", 2), ("a/#/b", 1), ("$share/g/a", 1), ("b", 0)]));
    assert_eq!(out[out.len() - 4..], [1, 0x8F, 0x9E, 0]);
    let filters: Vec<String> = (0..20).map(|i| format!("f{i}")).collect();
    let many: Vec<(&str, u8)> = filters.iter().map(|f| (f.as_str(), 1)).collect();
    let (out, _) = receive(&mut s, &subscribe(&many));
    assert_eq!(out[out.len() - 1], 0x97, "the number of filters is limited");
    assert_eq!(s.filters().len(), 16);
    let unsubscribe = packet(0xA2, &[&[0, 2, 0], &field(b"a"), &field(b"zz")]);
    assert_eq!(receive(&mut s, &unsubscribe).0, [0xB0, 5, 0, 2, 0, 0, 0x11]);
}

#[test]
fn answers_respect_the_limits_of_the_client() {
    // Receive maximum 1, packets of at most 60 bytes, one topic alias.
    let mut s = open5(&[0x21, 0, 1, 0x27, 0, 0, 0, 60, 0x22, 0, 1]);
    let subscribe = packet(0x82, &[&[0, 1, 0], &field(b"answers/#"), &[1]]);
    let (_, events) = receive(&mut s, &subscribe);
    assert_eq!(events, [Event::Subscribed(vec![0x90, 4, 0, 1, 0, 1])]);
    assert_eq!(
        (s.subscribed_qos("answers/me"), s.subscribed_qos(""), s.subscribed_qos("else")),
        (Some(1), Some(1), None)
    );
    let answer = |text: &str, before| OutgoingAnswer {
        correlation: b"c",
        text: text.to_string(),
        user_properties: vec![("state", "DELIVRD".into()), ("retry-after", "1".into())],
        before,
        ..OutgoingAnswer::default()
    };
    let mut out = BytesMut::new();
    assert_eq!(s.deliver(&answer("id:1", Some(9)), &mut out), Some(9), "keeps its earlier packet identifier");
    assert_eq!((out[0] & 8, s.room()), (8, 0), "the DUP flag is set");
    assert!(
        out.len() <= 60 && out.windows(5).any(|w| w == b"state") && !out.windows(5).any(|w| w == b"retry")
    );
    assert_eq!(receive(&mut s, &[0x40, 3, 0, 9, 0x97]).1, [Event::Heard(9)], "a refusal acknowledges too");
    assert_eq!((receive(&mut s, &[0x40, 2, 0, 9]).1, s.room()), (vec![], 1));
    let mut second = BytesMut::new();
    let packet_id = s.deliver(&answer("id:2", None), &mut second).unwrap();
    assert!(!second.windows(7).any(|w| w == b"answers"), "sent with its topic alias");
    receive(&mut s, &[0x40, 2, (packet_id >> 8) as u8, packet_id as u8]);
    let too_long = OutgoingAnswer {
        topic: "answers/a/topic/that/is/much/longer/than/sixty/octets/all/told",
        ..answer("", None)
    };
    let mut written = BytesMut::new();
    assert_eq!((s.deliver(&too_long, &mut written), written.len(), s.room()), (None, 0, 1));
}

#[test]
fn keep_alive_and_disconnect() {
    let mut s = open5(&[]);
    assert_eq!(s.wake(), 90_000_000, "one and a half times its keep-alive");
    let (mut out, mut events) = (BytesMut::new(), Vec::new());
    s.tick(89_999_999, &mut out, &mut events);
    assert!(events.is_empty());
    s.tick(90_000_000, &mut out, &mut events);
    assert_eq!((out[2], close_reason(&events)), (0x8D, Some("keep-alive ran out")));
    let mut s = Session::new(0, LIMITS);
    s.tick(5_000_000, &mut out, &mut events);
    assert_eq!(events.len(), 2, "no CONNECT in time");
    // A will is kept unless the client disconnects normally; DISCONNECT with code 0x04 keeps it too.
    for (bytes, keeps_will) in [(&[0xE0, 0][..], false), (&[0xE0, 1, 4], true), (&[], true)] {
        let mut s = Session::new(0, LIMITS);
        receive(&mut s, &connect5(2, 0, &[], "a", Some((&[0x18, 0, 0, 0, 9], "to/1/A"))));
        s.admit(None, false, &[], &mut BytesMut::new());
        receive(&mut s, bytes);
        let will = s.will();
        assert_eq!(will.is_some(), keeps_will);
        assert!(will.is_none_or(|w| w.delay == 9 && w.publish.topic == "to/1/A"));
    }
    // A DISCONNECT can't give an expiry to a session that was to end with the connection.
    let mut s = open5(&[]);
    let (out, _) = receive(&mut s, &packet(0xE0, &[&[0, 5, 0x11, 0, 0, 0, 5]]));
    assert_eq!(out[2], 0x82);
    let mut s = open5(&[0x11, 0, 0, 0, 9]);
    let (_, events) = receive(&mut s, &packet(0xE0, &[&[0, 5, 0x11, 0, 0, 0, 5]]));
    assert_eq!((events, s.expiry()), (vec![Event::Over(None)], 5));
}

proptest! {
    /// Feeds arbitrary bytes in pieces, before and after the session is open: nothing panics.
    #[test]
    fn arbitrary_bytes_never_panic(
        admitted: bool,
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        cut in 1usize..20,
    ) {
        let mut s = if admitted { open5(&[]) } else { Session::new(0, LIMITS) };
        for piece in bytes.chunks(cut) {
            receive(&mut s, piece);
        }
        s.tick(1 << 40, &mut BytesMut::new(), &mut Vec::new());
    }

    /// Feeds valid packets with one byte changed: nothing panics, and submitted messages are valid.
    #[test]
    fn packets_with_one_wrong_byte_never_panic(kind in 0usize..6, at in 0usize..80, byte: u8, v5: bool) {
        let mut s = if v5 { open5(&[]) } else {
            let mut s = Session::new(0, LIMITS);
            receive(&mut s, &connect3("me", true));
            s.admit(None, false, &[], &mut BytesMut::new());
            s
        };
        let props: &[u8] = &[0x08, 0, 1, b'r', 0x09, 0, 1, b'c', 0x26, 0, 3, b'k', b'e', b'y', 0, 1, b'v', 2, 0, 0, 0, 9];
        let mut packet_bytes = match kind {
            0 => publish(2, "to/1/A/k/n", 1, v5.then_some(props)),
            1 => publish(4, "ask/1", 1, v5.then_some(&[])),
            2 => packet(0x82, &[&[0, 1], if v5 { &[0] } else { &[] }, &field(b"a/#"), &[1]]),
            3 => packet(0xA2, &[&[0, 1], if v5 { &[0] } else { &[] }, &field(b"a/#")]),
            4 => connect5(2, 60, &[0x11, 0, 0, 0, 9], "me", Some((&[], "to/1/A"))),
            _ => vec![0x62, 2, 0, 1],
        };
        let at = at % packet_bytes.len();
        packet_bytes[at] = byte;
        if kind == 4 {
            s = Session::new(0, LIMITS);
        }
        let (_, events) = receive(&mut s, &packet_bytes);
        // A packet that is accepted still makes a valid request.
        for e in events {
            if let Event::Submit(_, h) = e {
                prop_assert!(!h.address.is_empty() && h.reply.len() <= 256 && h.correlation.len() <= 256);
            }
        }
    }
}
