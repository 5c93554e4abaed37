use super::*;
use heronroute_smpp::client;
use heronroute_smpp::server::Mode;

const MAX_COMMAND: usize = 66_000;

fn field(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u16).to_be_bytes()[..], bytes].concat()
}

/// A CONNECT of a client with a will of this size.
fn connect(version: u8, name: &str, will: usize) -> Vec<u8> {
    let properties: &[u8] = if version == 5 { &[0] } else { &[] };
    let flags = if will > 0 { 0xC6 } else { 0xC2 };
    let mut body = [&field(b"MQTT")[..], &[version, flags, 0, 60], properties, &field(b"session")].concat();
    if will > 0 {
        body.extend([properties, &field(b"to/1"), &field(&vec![b'x'; will])].concat());
    }
    body.extend([field(name.as_bytes()), field(b"secret")].concat());
    let (mut out, mut length) = (vec![0x10], body.len());
    while length > 127 {
        out.push(length as u8 | 0x80);
        length >>= 7;
    }
    out.push(length as u8);
    out.extend(body);
    out
}

/// Plays the bytes in pieces. Returns where the connection goes, what is passed on, the reply, and the most bytes that
/// were held without a reservation.
fn play(protocol: Speaks, bytes: &[u8], piece: usize) -> (Step, Vec<u8>, Vec<u8>, usize) {
    let (mut command, mut reply, mut at, mut most) =
        (FirstCommand::new(protocol, MAX_COMMAND), Vec::new(), 0, 0);
    let mut is_reserved = false;
    loop {
        let step = command.step();
        reply.extend_from_slice(&command.take_reply());
        if !is_reserved {
            most = most.max(command.bytes.len());
        }
        match step {
            Step::Reserve(bytes) => {
                command.reserved(bytes);
                is_reserved = true;
            }
            Step::Read if at < bytes.len() => {
                assert!(command.room() > 0, "at {at}");
                let end = bytes.len().min(at + piece.min(command.room()));
                command.push(&bytes[at..end]);
                at = end;
            }
            step => {
                let passed = [&command.into_bytes()[..], &bytes[at..]].concat();
                return (step, passed, reply, most);
            }
        }
    }
}

/// Guards against a client that is passed on without its name, so that two senders serve it: whatever the size of its
/// CONNECT and the pieces in which it arrives, it goes to its home with all its bytes.
#[test]
fn an_mqtt_client_is_known_by_a_connect_of_any_size_in_any_pieces() {
    for version in [4, 5] {
        for will in [0, 1, 100, 3_000, 4_020, 4_096, 5_000, 16_384, 60_000] {
            let bytes = [&connect(version, "brand-1", will)[..], b"\xC0\x00"].concat();
            for piece in [1, 7, 1_000, 4_096, 100_000] {
                let (step, passed, _, most) = play(Speaks::Mqtt, &bytes, piece);
                assert_eq!(step, Step::PassOn("brand-1".into()), "version {version}, will {will}, {piece}");
                assert!(passed == bytes && most <= UNRESERVED_BYTES, "{most} bytes");
            }
        }
    }
    assert_eq!(play(Speaks::Mqtt, &[0x10, 0xFF, 0xFF, 0xFF, 0x7F], 9).0, Step::PassOn(String::new()));
    assert_eq!(play(Speaks::Mqtt, b"GET / HTTP/1.1", 9).0, Step::PassOn(String::new()));
}

fn header_only(id: u32, sequence: u32) -> Vec<u8> {
    [16, id, 0, sequence].map(u32::to_be_bytes).concat()
}

/// Guards against a client that is passed on by a command before its bind.
#[test]
fn an_smpp_client_is_known_by_its_bind_behind_what_comes_before_it() {
    let mut bind = BytesMut::new();
    client::Session::bind(0, crate_limits(), Mode::Transceiver, "brand-1", "pw", &mut bind);
    let (enquire_link, unbind, nack, unknown) = (0x15, 6, 0x8000_0000, 0x7777);
    for before in [&[][..], &[enquire_link], &[enquire_link, enquire_link], &[unbind, nack, unknown]] {
        let first: Vec<u8> = before.iter().flat_map(|id| header_only(*id, 7)).collect();
        let bytes = [&first[..], &bind].concat();
        for piece in [1, 5, 16, 1_000] {
            let (step, passed, reply, _) = play(Speaks::Smpp, &bytes, piece);
            assert_eq!(step, Step::PassOn("brand-1".into()), "{before:?}, {piece}");
            assert_eq!(passed, bind.to_vec());
            let answered = before.iter().filter(|id| **id != nack).count();
            assert_eq!(reply.len(), 16 * answered, "{before:?}");
        }
    }
    // A length that can't be.
    assert_eq!(
        play(Speaks::Smpp, &[0, 0, 0, 3, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1], 9).0,
        Step::PassOn(String::new())
    );
}

fn crate_limits() -> Limits {
    Limits {
        session_init: 1 << 40,
        enquire_every: 1 << 40,
        inactivity: 1 << 40,
        response: 1 << 40,
        window: 1,
        max_pdu: MAX_COMMAND,
    }
}
