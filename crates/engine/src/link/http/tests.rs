//! Tests of the HTTP link.

use super::*;
use heronroute_config::Protocol;

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const REFUSED: &[u8] = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
const FAILED: &[u8] = b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n";

fn kind() -> KindConfig {
    KindConfig {
        name: "k".to_string(),
        protocol: Protocol::Http,
        batch: 1,
        window: 8,
        system_id: String::new(),
        password: String::new(),
        path: "/m".to_string(),
        probe_path: "/m".to_string(),
    }
}

/// A link with calls numbered from 1, of which nothing was sent.
fn link_with_calls(calls: u64) -> (HttpLink, Stream) {
    let (mut link, mut stream) = (HttpLink::new(&kind(), "h:1".into(), 0), Stream::default());
    let submission = heronroute_smpp::submission::Submission::default();
    for call in 1..=calls {
        let id = call.to_string();
        let message =
            OutboundMessage { part: 0, id, class: "c", guarded: false, wait: 0, submission: &submission };
        link.send(0, call, &[message], &mut stream);
    }
    (link, stream)
}

fn send_all(stream: &mut Stream) {
    stream.wrote(stream.out.len());
}

/// Returns the calls that were answered, and whether each answer is certain.
fn answers(events: &[LinkEvent]) -> Vec<(u64, bool)> {
    let answer = |event: &LinkEvent| match event {
        LinkEvent::Answered { call, .. } => Some((*call, true)),
        LinkEvent::AnsweredUnconfirmed { call, .. } => Some((*call, false)),
        _ => None,
    };
    events.iter().filter_map(answer).collect()
}

#[test]
fn unrequested_bytes_close_the_connection() {
    let kind = kind();
    for stray in ["H", "HTTP/1.1 503 No\r\ncontent-le", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"] {
        let (mut stream, mut events) = (Stream::default(), Vec::new());
        let mut link = HttpLink::new(&kind, "h:1".into(), 0);
        link.probe(0, &mut stream);
        send_all(&mut stream);
        link.receive(0, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", &mut stream, &mut events);
        assert!(matches!(events[..], [LinkEvent::Probed(_)]), "{events:?}");
        link.receive(0, stray.as_bytes(), &mut stream, &mut events);
        assert!(
            matches!(events[..], [LinkEvent::Probed(_), LinkEvent::Unusable(_)]),
            "{stray:?}: {events:?}"
        );
    }
}

/// Guards against a call that runs after it was reported as refused, because a copy arrived before it was sent.
#[test]
fn a_response_before_its_whole_request_was_sent_answers_nothing() {
    let (_, whole) = link_with_calls(2);
    let all = whole.out.len();
    let one = all / 2;
    // The responses that are possible: to as many calls as were sent completely.
    for (sent, possible) in [(0, 0), (1, 0), (one - 1, 0), (one, 1), (all - 1, 1), (all, 2)] {
        for responses in [DELIVERED, REFUSED, &REFUSED[..9]] {
            let (mut link, mut stream) = link_with_calls(2);
            stream.wrote(sent);
            let mut events = Vec::new();
            link.receive(0, DELIVERED, &mut stream, &mut events);
            link.receive(0, responses, &mut stream, &mut events);
            assert!(answers(&events).len() <= possible, "{sent} bytes sent: {events:?}");
            let ended = events.iter().any(|event| matches!(event, LinkEvent::Unusable(_)));
            assert_eq!(ended, possible < 2, "{sent} bytes sent: {events:?}");
        }
    }
}

#[test]
fn a_response_is_believed_behind_a_request_that_was_taken_back() {
    let (mut link, mut stream) = link_with_calls(2);
    let one = stream.position() / 2;
    assert!(stream.withdraw(0, one));
    link.forget(1, 0, true);
    send_all(&mut stream);
    let mut events = Vec::new();
    link.receive(0, REFUSED, &mut stream, &mut events);
    assert_eq!(answers(&events), [(2, true)]);
}

#[test]
fn only_a_response_that_can_be_no_copy_is_certain() {
    for (responses, wanted) in [
        (&[REFUSED][..], &[(1, true)][..]),
        (&[DELIVERED, REFUSED], &[(1, true), (2, true)]),
        (&[REFUSED, REFUSED], &[(1, true), (2, false)]),
        // The second one may be a copy, and the third one then belongs to the second call.
        (&[DELIVERED, DELIVERED, REFUSED], &[(1, true), (2, false), (3, false)]),
        (&[DELIVERED, DELIVERED, FAILED, REFUSED], &[(1, true), (2, false), (3, false), (4, false)]),
        // What follows an unproven refusal may belong to the call before it.
        (&[REFUSED, REFUSED, DELIVERED], &[(1, true), (2, false), (3, false)]),
    ] {
        let (mut link, mut stream) = link_with_calls(4);
        send_all(&mut stream);
        let mut events = Vec::new();
        for response in responses {
            link.receive(0, response, &mut stream, &mut events);
        }
        assert_eq!(answers(&events), wanted);
        assert!(events.contains(&LinkEvent::NoMoreCalls), "no call follows a refusal: {events:?}");
    }
}
