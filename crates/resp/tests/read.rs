//! Tests of the parser: limits on declared lengths and counts, and streams that are split anywhere.

use heronroute_resp::{Command, Limits, Reader, Request};
use proptest::prelude::*;

const LIMITS: Limits = Limits { args: 5, bytes: 100, always_kept: 20 };

fn read_all(pieces: &[&[u8]]) -> (Vec<Command>, Option<&'static str>) {
    let (mut reader, mut read) = (Reader::new(LIMITS), Vec::new());
    for piece in pieces {
        reader.push(piece);
        loop {
            match reader.next_command(usize::MAX) {
                Ok(Some(Request::Command(command))) => read.push(command),
                Ok(Some(Request::Discarded)) => unreachable!("there is room for all"),
                Ok(None) => break,
                Err(e) => return (read, Some(e.0)),
            }
        }
    }
    (read, None)
}

#[test]
fn invalid_declarations_are_rejected_before_their_data_arrives() {
    let one = b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n";
    assert_eq!(read_all(&[one]), (vec![vec![b"PING".to_vec(), vec![]]], None));
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
        assert!(read_all(&[bad.as_bytes()]).1.is_some(), "{bad:?}");
    }
}

/// Guards against a command that is held though there is no room for it, and against one that follows it being lost.
#[test]
fn a_command_without_room_is_discarded_as_it_arrives() {
    let small = b"*1\r\n$4\r\nPING\r\n".as_slice();
    let large = [b"*2\r\n$4\r\nSEND\r\n$50\r\n".as_slice(), &[b'x'; 50], b"\r\n"].concat();
    let mut reader = Reader::new(LIMITS);
    let mut read = Vec::new();
    for piece in [small, &large, small].concat().chunks(7) {
        reader.push(piece);
        while let Some(request) = reader.next_command(0).unwrap() {
            read.push(request);
        }
        assert!(reader.held_bytes() <= LIMITS.always_kept + 64, "{} bytes held", reader.held_bytes());
    }
    let ping = Request::Command(vec![b"PING".to_vec()]);
    assert_eq!(read, [ping.clone(), Request::Discarded, ping]);
    // The same command is kept where there is room.
    reader.push(&large);
    assert!(matches!(reader.next_command(50), Ok(Some(Request::Command(command))) if command[1].len() == 50));
    assert_eq!(reader.held_bytes(), reader.buffered_bytes());
}

proptest! {
    #[test]
    fn commands_are_the_same_however_the_stream_is_split(
        bytes in proptest::collection::vec(prop_oneof![
            Just(b'*'), Just(b'$'), Just(b'\r'), Just(b'\n'), Just(b'1'), Just(b'2'), any::<u8>()], 0..80),
        commands in proptest::collection::vec(proptest::collection::vec(
            proptest::collection::vec(any::<u8>(), 0..19), 1..5), 0..5),
        cuts in proptest::collection::vec(1_usize..40, 1..9),
    ) {
        let mut stream = Vec::new();
        for command in &commands {
            stream.extend_from_slice(format!("*{}\r\n", command.len()).as_bytes());
            for arg in command {
                stream.extend_from_slice(format!("${}\r\n", arg.len()).as_bytes());
                stream.extend_from_slice(arg);
                stream.extend_from_slice(b"\r\n");
            }
        }
        stream.extend_from_slice(&bytes);
        let whole = read_all(&[&stream]);
        prop_assert_eq!(&whole.0[..commands.len()], &commands[..]);
        let (mut pieces, mut at, mut i) = (Vec::new(), 0, 0);
        while at < stream.len() {
            let n = cuts[i % cuts.len()].min(stream.len() - at);
            pieces.push(&stream[at..at + n]);
            (at, i) = (at + n, i + 1);
        }
        prop_assert_eq!(read_all(&pieces), whole);
    }
}
