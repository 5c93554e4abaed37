//! Tests of the answer to a watch.

use heronroute_platform::objects::MAX_OBJECT_BYTES;
use heronroute_platform::watch::{Watch, WatchError, WatchEvent};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const BODY: &str =
    "{\"version\":1,\"full\":true,\"servers\":[]}\n\n{\"version\":2,\"full\":false,\"servers\":[]}\n";

fn versions(events: &[WatchEvent]) -> Vec<u64> {
    events.iter().filter_map(|s| if let WatchEvent::List(l) = s { Some(l.version) } else { None }).collect()
}

fn indented() -> String {
    BODY.replace('{', "{\n  ").replace(',', ",\n\n  ").replace('}', "\n}")
}

#[test]
fn lists_in_chunks_are_read_however_split_and_indented() {
    for body in [BODY.to_string(), indented(), BODY.replace('\n', "")] {
        let (a, b) = body.split_at(20);
        let text = format!("{HEAD}{:x}\r\n{a}\r\n{:x};x=1\r\n{b}\r\n", a.len(), b.len());
        for size in 1..text.len() {
            let (mut w, mut events) = (Watch::default(), Vec::new());
            for piece in text.as_bytes().chunks(size) {
                w.receive(piece, &mut events).unwrap();
            }
            assert_eq!(versions(&events), [1, 2], "{body:?} in pieces of {size}");
            assert_eq!((&events[0], w.has_begun_list()), (&WatchEvent::Head, false));
            assert!(
                matches!(w.receive(b"0\r\n\r\n", &mut events), Err(WatchError::Ended)),
                "the last chunk ends the watch"
            );
        }
        for bad in [
            "HTTP/1.1 503 No\r\n\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            "x\r\n",
        ] {
            assert!(Watch::default().receive(bad.as_bytes(), &mut Vec::new()).is_err());
        }
    }
}

#[test]
fn lists_without_chunks_are_read() {
    let text = format!("HTTP/1.1 200 OK\r\n\r\n{}", indented());
    let (mut w, mut events) = (Watch::default(), Vec::new());
    text.as_bytes().chunks(3).for_each(|piece| w.receive(piece, &mut events).unwrap());
    assert_eq!(versions(&events), [1, 2]);
}

#[test]
fn lists_before_an_error_are_reported() {
    for (suffix, is_stream_error) in [("x", true), ("{\"version\":3}", false), ("{\"version\":3,}", false)] {
        let body = format!("{BODY}{suffix}");
        let (mut w, mut events) = (Watch::default(), Vec::new());
        let result = w.receive(format!("{HEAD}{:x}\r\n{body}\r\n", body.len()).as_bytes(), &mut events);
        let error = result.unwrap_err();
        assert_eq!(matches!(error, WatchError::Stream(_)), is_stream_error, "{error}");
        assert_eq!(matches!(error, WatchError::InvalidList(_)), !is_stream_error, "{error}");
        assert_eq!(versions(&events), [1, 2]);
    }
}

#[test]
fn an_incomplete_list_is_not_reported_but_known_to_have_begun() {
    let (mut w, mut events) = (Watch::default(), Vec::new());
    w.receive(format!("{HEAD}9\r\n{}\r\n", &indented()[..9]).as_bytes(), &mut events).unwrap();
    assert_eq!((events, w.has_begun_list()), (vec![WatchEvent::Head], true));
}

#[test]
fn each_error_has_its_text() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let plain = "HTTP/1.1 200 OK\r\n\r\n";
    for (answer, text) in [
        ("HTTP/1.1 404 No\r\n\r\n".to_string(), "status 404".to_string()),
        ("noise\r\n\r\n".to_string(), "not an HTTP response".to_string()),
        (format!("{chunked}zz\r\n"), "invalid chunked coding".to_string()),
        (format!("{chunked}0\r\n"), "the watch has ended".to_string()),
        (format!("{plain}\t}}"), "unexpected byte 0x7d between two objects".to_string()),
        (format!("{plain}{{\"version\":1}}"), "invalid list: full: should be true or false".to_string()),
        (
            format!("{plain}{{\"{}", "a".repeat(MAX_OBJECT_BYTES)),
            format!("an object of more than {MAX_OBJECT_BYTES} bytes"),
        ),
    ] {
        let result = Watch::default().receive(answer.as_bytes(), &mut Vec::new()).unwrap_err();
        assert_eq!(result.to_string(), text);
    }
}
