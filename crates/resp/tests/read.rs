//! Commands as they are read: declared lengths and counts, and streams cut anywhere.

use heronroute_resp::{Command, Limits, Reader};
use proptest::prelude::*;

const LIMITS: Limits = Limits { args: 5, octets: 100 };

fn all(pieces: &[&[u8]]) -> (Vec<Command>, Option<&'static str>) {
    let (mut r, mut got) = (Reader::new(LIMITS), Vec::new());
    for p in pieces {
        r.push(p);
        loop {
            match r.next_command() {
                Ok(Some(c)) => got.push(c),
                Ok(None) => break,
                Err(e) => return (got, Some(e.0)),
            }
        }
    }
    (got, None)
}

#[test]
fn what_is_declared_is_judged_before_it_comes() {
    let one = b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n";
    assert_eq!(all(&[one]), (vec![vec![b"PING".to_vec(), vec![]]], None));
    for bad in [
        "GET / HTTP/1.1\r\n",
        "*0\r\n",
        "*-1\r\n",
        "*6\r\n",
        "*99999999999999999999\r\n",
        "*1\r\n:4\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n$101\r\n",
        "*2\r\n$60\r\n012345678901234567890123456789012345678901234567890123456789\r\n$41\r\n",
        "*1\r\n$60000000\r\n",
        "*1\r\n$1\r\nab\r\n",
        "*1\n",
        "*0000000000000000000000",
        "*1\r\n$ 1\r\n",
    ] {
        assert!(all(&[bad.as_bytes()]).1.is_some(), "{bad:?}");
    }
}

proptest! {
    #[test]
    fn the_same_however_split(
        octets in proptest::collection::vec(prop_oneof![
            Just(b'*'), Just(b'$'), Just(b'\r'), Just(b'\n'), Just(b'1'), Just(b'2'), any::<u8>()], 0..80),
        commands in proptest::collection::vec(proptest::collection::vec(
            proptest::collection::vec(any::<u8>(), 0..19), 1..5), 0..5),
        cuts in proptest::collection::vec(1_usize..40, 1..9),
    ) {
        let mut stream = Vec::new();
        for c in &commands {
            stream.extend_from_slice(format!("*{}\r\n", c.len()).as_bytes());
            for a in c {
                stream.extend_from_slice(format!("${}\r\n", a.len()).as_bytes());
                stream.extend_from_slice(a);
                stream.extend_from_slice(b"\r\n");
            }
        }
        stream.extend_from_slice(&octets);
        let whole = all(&[&stream]);
        prop_assert_eq!(&whole.0[..commands.len()], &commands[..]);
        let (mut pieces, mut at, mut i) = (Vec::new(), 0, 0);
        while at < stream.len() {
            let n = cuts[i % cuts.len()].min(stream.len() - at);
            pieces.push(&stream[at..at + n]);
            (at, i) = (at + n, i + 1);
        }
        prop_assert_eq!(all(&pieces), whole);
    }
}
