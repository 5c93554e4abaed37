//! Tests a node without sockets: which bytes it sends, and what it answers when a connection takes bytes
//! slowly.

use bytes::BytesMut;
use heronroute_config::parse;
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, ConnId, Node, Output, Start};
use heronroute_http::write_response;
use heronroute_smpp::client::{Event, Session};
use heronroute_smpp::receipt::{Answer, Receipt};
use heronroute_smpp::server::{Limits, Mode};
use heronroute_smpp::submission::{ReceiptRequest, Submission};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;

const LIMITS: Limits = Limits {
    session_init: 1 << 40,
    enquire_every: 1 << 40,
    inactivity: 1 << 40,
    response: 1 << 40,
    window: 100,
    max_pdu: 70_000,
};
const ENDPOINT_LIST: &str = "endpoint { name: \"a\" address: \"127.0.0.1:9001\" destination: 1 kind: \"k\" }";

fn new_node(more: &str, kept: Option<String>) -> Node {
    let text = format!(
        "service {{ quantum: \"0s\" }} client {{ system_id: \"c\" password: \"p\" }} \
         class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"2s\" }} \
         kind {{ name: \"k\" protocol: \"http\" }} route {{ destination: 1 }} {more}"
    );
    let start = Start {
        index: 0,
        seed: 3,
        now: 0,
        wall: 1 << 50,
        list: 0,
        kept,
        state: None,
        journal_usage: heronroute_journal::Usage::default(),
        fleet: false,
    };
    Node::new(Arc::new(parse("test", &text).unwrap()), start).unwrap()
}

/// Binds a client and submits one message; returns the client's side.
fn submit_message(node: &mut Node) -> (ConnId, Session) {
    let mut out = BytesMut::new();
    let mut session = Session::bind(0, LIMITS, Mode::Transceiver, "c", "p", &mut out);
    let conn = node.accepted(0, Speaks::Smpp, &out).unwrap();
    out.clear();
    let s = Submission {
        service: "PAY".into(),
        destination: "234".into(),
        wanted: ReceiptRequest::Always,
        body: b"pay".to_vec(),
        ..Submission::default()
    };
    session.request(0, s.submit(None), &mut out);
    node.received(0, conn, &out);
    node.settle(0);
    (conn, session)
}

fn connects(outputs: &[Output]) -> Vec<(ConnId, SocketAddr)> {
    let each =
        |o: &Output| if let Output::Connect { conn, address } = o { Some((*conn, *address)) } else { None };
    outputs.iter().filter_map(each).collect()
}

/// Returns the answers in all bytes that the node has for the client.
fn received_answers(node: &mut Node, conn: ConnId, session: &mut Session) -> Vec<Answer> {
    let bytes = node.pending(conn).to_vec();
    node.wrote(conn, bytes.len());
    let (mut out, mut events) = (BytesMut::new(), Vec::new());
    session.receive(0, &bytes, &mut out, &mut events);
    let each = |e: Event| if let Event::Delivered(sm) = e { Receipt::read(&sm).map(|r| r.1) } else { None };
    events.into_iter().filter_map(each).collect()
}

/// Advances the clock and discards the node's outputs.
fn advance(node: &mut Node, to: i64) {
    while let Some(at) = node.wake().filter(|at| *at <= to) {
        node.settle(at);
        node.outputs();
    }
}

#[test]
fn a_saved_endpoint_list_is_used_while_the_directory_fails() {
    let directory = "directory { address: \"127.0.0.1:9000\" }";
    let mut node = new_node(directory, Some(ENDPOINT_LIST.to_string()));
    let (conn, _) = connects(&node.outputs())[0];
    node.closed(1_000, conn, CloseReason::Broken);
    submit_message(&mut node);
    let to: Vec<String> = connects(&node.outputs()).iter().map(|c| c.1.to_string()).collect();
    assert_eq!(to, ["127.0.0.1:9001"], "the message is routed by the saved list");
    // A saved list that can't be parsed is ignored and not fatal.
    new_node(directory, Some("endpoint {".to_string()));
}

#[test]
fn a_polled_directory_is_polled_again_after_a_failure() {
    let mut node = new_node("directory { address: \"127.0.0.1:9000\" mode: \"ask\" poll: \"1s\" }", None);
    let (conn, at) = connects(&node.outputs())[0];
    assert_eq!(at.to_string(), "127.0.0.1:9000", "the library subscribes at its start");
    node.closed(0, conn, CloseReason::Broken);
    node.settle(0);
    assert!(connects(&node.outputs()).is_empty(), "not at once");
    let mut again = Vec::new();
    while let Some(at) = node.wake().filter(|at| *at < 10_000_000 && again.is_empty()) {
        node.settle(at);
        again = connects(&node.outputs());
    }
    let conn = again[0].0;
    node.connected(6_000_000, conn);
    assert!(node.pending(conn).starts_with(b"GET /endpoints?since=0&wait=1000 "));
    let mut answer = BytesMut::new();
    write_response(200, &[], format!("version: 5 whole: true {ENDPOINT_LIST}").as_bytes(), &mut answer);
    node.wrote(conn, node.pending(conn).len());
    node.received(6_000_000, conn, &answer);
    node.settle(6_000_000);
    assert!(node.pending(conn).starts_with(b"GET /endpoints?since=5&"), "the next poll is sent");
    assert!(node.outputs().iter().any(|o| matches!(o, Output::SaveList(text) if text.contains("9001"))));
}

#[test]
fn a_receivers_retry_after_is_kept_across_a_restart() {
    use heronroute_journal::JournalState;
    use heronroute_journal::entry::{Accepted, Place, What};
    let wall = 1 << 50;
    let mut state = JournalState::default();
    let place = Place { endpoint: "a".into(), wait_until: wall + 700_000, ..Place::default() };
    state.apply(&What::Place(place).into());
    let accepted = Accepted {
        id: 64,
        client: "c".into(),
        class: "PAY".into(),
        dest: 1,
        deadline: wall + 2_000_000,
        ..Accepted::default()
    };
    state.apply(&What::Accepted(accepted).into());
    let text = format!(
        "service {{ quantum: \"0s\" }} client {{ system_id: \"c\" password: \"p\" }} \
         class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"2s\" }} \
         kind {{ name: \"k\" protocol: \"http\" }} route {{ destination: 1 }} {ENDPOINT_LIST}"
    );
    let start = Start {
        index: 0,
        seed: 3,
        now: 0,
        wall,
        list: 0,
        kept: None,
        state: Some(state),
        journal_usage: heronroute_journal::Usage::default(),
        fleet: false,
    };
    let mut node = Node::new(Arc::new(parse("test", &text).unwrap()), start).unwrap();
    let (mut committed_entries, mut sent) = (0, None);
    node.settle(0);
    while let Some(at) = node.wake().filter(|at| *at < 2_000_000 && sent.is_none()) {
        node.settle(at);
        for o in node.outputs() {
            match o {
                Output::Journal(entries) => {
                    committed_entries += entries.len() as u64;
                    node.durable(at, committed_entries, heronroute_journal::Usage::default());
                    node.settle(at);
                    sent = connects(&node.outputs()).first().map(|_| at);
                }
                Output::Connect { .. } => sent = Some(at),
                _ => {}
            }
        }
    }
    let at = sent.unwrap();
    assert!((700_000..1_500_000).contains(&at), "sent at {at}");
}

#[test]
fn unwritten_bytes_are_withdrawn_and_the_message_expires() {
    let mut node = new_node(ENDPOINT_LIST, None);
    let (client, mut session) = submit_message(&mut node);
    let (conn, _) = connects(&node.outputs())[0];
    node.connected(1_000, conn);
    node.settle(1_000);
    assert!(node.pending(conn).starts_with(b"POST / "), "queued to be written");
    advance(&mut node, 2_000_000);
    assert_eq!(received_answers(&mut node, client, &mut session), [Answer::Expired]);
    assert_eq!(node.pending(conn), b"", "and never sent after the answer");
}

#[test]
fn a_partly_written_message_is_reported_unknown() {
    let mut node = new_node(ENDPOINT_LIST, None);
    let (client, mut session) = submit_message(&mut node);
    let (conn, _) = connects(&node.outputs())[0];
    node.connected(1_000, conn);
    node.wrote(conn, 1);
    advance(&mut node, 2_000_000);
    assert_eq!(received_answers(&mut node, client, &mut session), [Answer::Unknown { retry_after: None }]);
}

#[test]
fn a_closing_connection_sends_no_message_reported_as_unsent() {
    let mut node = new_node(ENDPOINT_LIST, None);
    submit_message(&mut node);
    let (conn, _) = connects(&node.outputs())[0];
    node.connected(1_000, conn);
    // The receiver sends an unexpected response, so the connection can't be used any more.
    node.received(2_000, conn, b"nonsense\r\n\r\n");
    node.settle(2_000);
    let outputs = node.outputs();
    assert_eq!(node.pending(conn), b"", "no bytes of the message are left to be written");
    assert!(outputs.iter().any(|o| matches!(o, Output::Drop(c) | Output::Finish(c) if *c == conn)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: prop::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever clients, receivers and the directory send, in pieces of any size, the node does not panic and
    /// answers only submitted messages.
    #[test]
    fn arbitrary_bytes_do_not_harm_a_node(
        random_bytes in prop::collection::vec(any::<u8>(), 1..160),
        smpp in any::<bool>(),
        step in 1usize..60,
        valid_head in any::<bool>(),
    ) {
        let kind = if smpp { "smpp" } else { "http" };
        let list = ENDPOINT_LIST.replace("\"k\"", "\"x\"");
        let more = format!("directory {{ address: \"127.0.0.1:9000\" }} kind {{ name: \"x\" protocol: \"{kind}\" }} {list}");
        let mut node = new_node(&more, None);
        let mut random_bytes = random_bytes;
        if valid_head {
            // Valid heads take the parser further.
            let heads: [&[u8]; 3] = [
                b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
                &[0, 0, 0, 60, 0x80, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 2],
                &[0, 0, 0, 40, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 9],
            ];
            random_bytes.splice(0..0, heads[random_bytes[0] as usize % 3].iter().copied());
        }
        let (client, mut session) = submit_message(&mut node);
        let mut now = 0;
        for part in random_bytes.chunks(step) {
            for (conn, _) in connects(&node.outputs()) {
                node.connected(now, conn);
                node.received(now, conn, part);
            }
            node.received(now, client, part);
            for conn in 1..12 {
                node.received(now, conn, part);
            }
            now += 50_000;
            node.settle(now);
        }
        advance(&mut node, 6_000_000);
        let answers = received_answers(&mut node, client, &mut session);
        assert!(answers.len() <= 2, "{answers:?}");
        assert_eq!(node.open(), 0, "every submitted message is answered");
    }
}
