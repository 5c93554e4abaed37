//! The answer to a watch.

use heronroute_platform::objects::MOST_OBJECT;
use heronroute_platform::watch::{Over, Said, Watch};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const BODY: &str =
    "{\"version\":1,\"full\":true,\"servers\":[]}\n\n{\"version\":2,\"full\":false,\"servers\":[]}\n";

fn versions(said: &[Said]) -> Vec<u64> {
    said.iter().filter_map(|s| if let Said::List(l) = s { Some(l.version) } else { None }).collect()
}

fn indented() -> String {
    BODY.replace('{', "{\n  ").replace(',', ",\n\n  ").replace('}', "\n}")
}

#[test]
fn lists_over_chunks_however_split_and_written() {
    for body in [BODY.to_string(), indented(), BODY.replace('\n', "")] {
        let (a, b) = body.split_at(20);
        let text = format!("{HEAD}{:x}\r\n{a}\r\n{:x};x=1\r\n{b}\r\n", a.len(), b.len());
        for size in 1..text.len() {
            let (mut w, mut said) = (Watch::default(), Vec::new());
            for piece in text.as_bytes().chunks(size) {
                w.receive(piece, &mut said).unwrap();
            }
            assert_eq!(versions(&said), [1, 2], "{body:?} in pieces of {size}");
            assert_eq!((&said[0], w.has_begun_list()), (&Said::Head, false));
            assert!(matches!(w.receive(b"0\r\n\r\n", &mut said), Err(Over::Ended)), "ended");
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
fn lists_that_are_not_in_chunks() {
    let text = format!("HTTP/1.1 200 OK\r\n\r\n{}", indented());
    let (mut w, mut said) = (Watch::default(), Vec::new());
    text.as_bytes().chunks(3).for_each(|piece| w.receive(piece, &mut said).unwrap());
    assert_eq!(versions(&said), [1, 2]);
}

#[test]
fn what_was_whole_before_the_watch_was_spoilt_is_said() {
    for (behind, spoilt) in [("x", true), ("{\"version\":3}", false), ("{\"version\":3,}", false)] {
        let body = format!("{BODY}{behind}");
        let (mut w, mut said) = (Watch::default(), Vec::new());
        let over = w.receive(format!("{HEAD}{:x}\r\n{body}\r\n", body.len()).as_bytes(), &mut said);
        let why = over.unwrap_err();
        assert_eq!(matches!(why, Over::Spoilt(_)), spoilt, "{why}");
        assert_eq!(matches!(why, Over::Unreadable(_)), !spoilt, "{why}");
        assert_eq!(versions(&said), [1, 2]);
    }
}

#[test]
fn half_a_list_says_nothing_and_is_known_to_have_begun() {
    let (mut w, mut said) = (Watch::default(), Vec::new());
    w.receive(format!("{HEAD}9\r\n{}\r\n", &indented()[..9]).as_bytes(), &mut said).unwrap();
    assert_eq!((said, w.has_begun_list()), (vec![Said::Head], true));
}

#[test]
fn each_end_of_a_watch_has_its_text() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let plain = "HTTP/1.1 200 OK\r\n\r\n";
    for (answer, text) in [
        ("HTTP/1.1 404 No\r\n\r\n".to_string(), "status 404".to_string()),
        ("noise\r\n\r\n".to_string(), "no answer that can be read".to_string()),
        (format!("{chunked}zz\r\n"), "chunks that can't be told apart".to_string()),
        (format!("{chunked}0\r\n"), "the watch was ended".to_string()),
        (format!("{plain}\t}}"), "an octet 0x7d between two objects".to_string()),
        (format!("{plain}{{\"version\":1}}"), "no list: full: should be true or false".to_string()),
        (
            format!("{plain}{{\"{}", "a".repeat(MOST_OBJECT)),
            format!("an object of more than {MOST_OBJECT} octets"),
        ),
    ] {
        let over = Watch::default().receive(answer.as_bytes(), &mut Vec::new()).unwrap_err();
        assert_eq!(over.to_string(), text);
    }
}
