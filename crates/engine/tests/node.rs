//! A node by hand, without sockets: what leaves it, and what it says when the wire does not keep up.

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
const LIST: &str = "endpoint { name: \"a\" address: \"127.0.0.1:9001\" destination: 1 kind: \"k\" }";

fn node(more: &str, kept: Option<String>) -> Node {
    let text = format!(
        "service {{ quantum: \"0s\" }} client {{ system_id: \"c\" password: \"p\" }} \
         class {{ name: \"PAY\" effect: \"single_shot\" deadline: \"2s\" }} \
         kind {{ name: \"k\" protocol: \"http\" }} route {{ destination: 1 }} {more}"
    );
    let start = Start { index: 0, seed: 3, now: 0, wall: 1 << 50, list: 0, kept, state: None, fleet: false };
    Node::new(Arc::new(parse("test", &text).unwrap()), start).unwrap()
}

/// Binds and hands in one message; gives the client's side.
fn hand_in(node: &mut Node) -> (ConnId, Session) {
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

/// What the client hears, of all that is written to it.
fn heard(node: &mut Node, conn: ConnId, session: &mut Session) -> Vec<Answer> {
    let octets = node.pending(conn).to_vec();
    node.wrote(conn, octets.len());
    let (mut out, mut events) = (BytesMut::new(), Vec::new());
    session.receive(0, &octets, &mut out, &mut events);
    let each = |e: Event| if let Event::Delivered(sm) = e { Receipt::read(&sm).map(|r| r.1) } else { None };
    events.into_iter().filter_map(each).collect()
}

/// Runs the clock on, doing nothing else.
fn pass(node: &mut Node, to: i64) {
    while let Some(at) = node.wake().filter(|at| *at <= to) {
        node.settle(at);
        node.outputs();
    }
}

#[test]
fn a_kept_list_serves_while_the_directory_fails() {
    let directory = "directory { address: \"127.0.0.1:9000\" }";
    let mut n = node(directory, Some(LIST.to_string()));
    let (conn, _) = connects(&n.outputs())[0];
    n.closed(1_000, conn, CloseReason::Broken);
    hand_in(&mut n);
    let to: Vec<String> = connects(&n.outputs()).iter().map(|c| c.1.to_string()).collect();
    assert_eq!(to, ["127.0.0.1:9001"], "the message goes out by the kept list");
    // A list that can't be read is passed over, not fatal.
    node(directory, Some("endpoint {".to_string()));
}

#[test]
fn a_directory_that_must_be_asked_is_asked_again_after_a_failure() {
    let mut n = node("directory { address: \"127.0.0.1:9000\" mode: \"ask\" poll: \"1s\" }", None);
    let (conn, at) = connects(&n.outputs())[0];
    assert_eq!(at.to_string(), "127.0.0.1:9000", "the library subscribes at its start");
    n.closed(0, conn, CloseReason::Broken);
    n.settle(0);
    assert!(connects(&n.outputs()).is_empty(), "not at once");
    let mut again = Vec::new();
    while let Some(at) = n.wake().filter(|at| *at < 10_000_000 && again.is_empty()) {
        n.settle(at);
        again = connects(&n.outputs());
    }
    let conn = again[0].0;
    n.connected(6_000_000, conn);
    assert!(n.pending(conn).starts_with(b"GET /endpoints?since=0&wait=1000 "));
    let mut answer = BytesMut::new();
    write_response(200, &[], format!("version: 5 whole: true {LIST}").as_bytes(), &mut answer);
    n.wrote(conn, n.pending(conn).len());
    n.received(6_000_000, conn, &answer);
    n.settle(6_000_000);
    assert!(n.pending(conn).starts_with(b"GET /endpoints?since=5&"), "the next poll is out");
    assert!(n.outputs().iter().any(|o| matches!(o, Output::SaveList(text) if text.contains("9001"))));
}

#[test]
fn a_wait_that_was_told_before_a_restart_is_kept_after_it() {
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
         kind {{ name: \"k\" protocol: \"http\" }} route {{ destination: 1 }} {LIST}"
    );
    let start =
        Start { index: 0, seed: 3, now: 0, wall, list: 0, kept: None, state: Some(state), fleet: false };
    let mut n = Node::new(Arc::new(parse("test", &text).unwrap()), start).unwrap();
    let (mut count, mut sent) = (0, None);
    n.settle(0);
    while let Some(at) = n.wake().filter(|at| *at < 2_000_000 && sent.is_none()) {
        n.settle(at);
        for o in n.outputs() {
            match o {
                Output::Journal(entries) => {
                    count += entries.len() as u64;
                    n.durable(at, count, heronroute_journal::Usage::default());
                    n.settle(at);
                    sent = connects(&n.outputs()).first().map(|_| at);
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
fn what_never_left_is_taken_back_and_called_unsent() {
    let mut n = node(LIST, None);
    let (client, mut session) = hand_in(&mut n);
    let (conn, _) = connects(&n.outputs())[0];
    n.connected(1_000, conn);
    n.settle(1_000);
    assert!(n.pending(conn).starts_with(b"POST / "), "written for the system to take");
    pass(&mut n, 2_000_000);
    assert_eq!(heard(&mut n, client, &mut session), [Answer::Expired]);
    assert_eq!(n.pending(conn), b"", "and never sent after the answer");
}

#[test]
fn what_has_begun_to_leave_may_have_run() {
    let mut n = node(LIST, None);
    let (client, mut session) = hand_in(&mut n);
    let (conn, _) = connects(&n.outputs())[0];
    n.connected(1_000, conn);
    n.wrote(conn, 1);
    pass(&mut n, 2_000_000);
    assert_eq!(heard(&mut n, client, &mut session), [Answer::Unknown { retry_after: None }]);
}

#[test]
fn what_is_told_as_unsent_does_not_leave_with_a_closing_connection() {
    let mut n = node(LIST, None);
    hand_in(&mut n);
    let (conn, _) = connects(&n.outputs())[0];
    n.connected(1_000, conn);
    // The receiver answers what nobody asked: the connection can't be read on.
    n.received(2_000, conn, b"nonsense\r\n\r\n");
    n.settle(2_000);
    let outputs = n.outputs();
    assert_eq!(n.pending(conn), b"", "nothing of the message is left to be written");
    assert!(outputs.iter().any(|o| matches!(o, Output::Drop(c) | Output::Finish(c) if *c == conn)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: prop::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever clients, receivers and the directory send, in whatever pieces: no panic, and nothing but what was
    /// handed in is answered.
    #[test]
    fn no_octets_harm_a_node(
        noise in prop::collection::vec(any::<u8>(), 1..160),
        smpp in any::<bool>(),
        step in 1usize..60,
        real in any::<bool>(),
    ) {
        let kind = if smpp { "smpp" } else { "http" };
        let list = LIST.replace("\"k\"", "\"x\"");
        let more = format!("directory {{ address: \"127.0.0.1:9000\" }} kind {{ name: \"x\" protocol: \"{kind}\" }} {list}");
        let mut n = node(&more, None);
        let mut noise = noise;
        if real {
            // Plausible heads reach further in.
            let heads: [&[u8]; 3] = [
                b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
                &[0, 0, 0, 60, 0x80, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 2],
                &[0, 0, 0, 40, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0, 9],
            ];
            noise.splice(0..0, heads[noise[0] as usize % 3].iter().copied());
        }
        let (client, mut session) = hand_in(&mut n);
        let mut now = 0;
        for part in noise.chunks(step) {
            for (conn, _) in connects(&n.outputs()) {
                n.connected(now, conn);
                n.received(now, conn, part);
            }
            n.received(now, client, part);
            for conn in 1..12 {
                n.received(now, conn, part);
            }
            now += 50_000;
            n.settle(now);
        }
        pass(&mut n, 6_000_000);
        let answers = heard(&mut n, client, &mut session);
        assert!(answers.len() <= 2, "{answers:?}");
        assert_eq!(n.open(), 0, "what was handed in has its answer");
    }
}
