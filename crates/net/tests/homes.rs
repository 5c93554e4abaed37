//! Every connection of a client gets to the client's home sender, and to no other.

use heronroute_config::parse;
use heronroute_engine::home::home;
use heronroute_net::Service;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const SENDERS: usize = 4;
const CLIENTS: usize = 8;
/// Longer than anything that the service waits for here.
const PATIENCE: Duration = Duration::from_secs(20);

fn start() -> Service {
    let mut text = format!(
        "service {{ senders: {SENDERS} drain_for: \"1s\" }} smpp {{ listen: \"127.0.0.1:0\" }} \
        mqtt {{ listen: \"127.0.0.1:0\" sessions: 500 }} \
        class {{ name: \"RESP\" effect: \"guarded\" window: \"10s\" deadline: \"30s\" }} \
        kind {{ name: \"k\" protocol: \"smpp\" }} route {{ destination: 1 }} \
        endpoint {{ name: \"a\" address: \"127.0.0.1:1\" destination: 1 kind: \"k\" }} "
    );
    (0..CLIENTS)
        .for_each(|i| text += &format!("client {{ system_id: \"brand-{i}\" password: \"secret\" }} "));
    Service::start(Arc::new(parse("test", &text).unwrap()), 1).unwrap()
}

fn open(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn field(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u16).to_be_bytes()[..], bytes].concat()
}

/// A CONNECT of version 3.1.1 with a will of this size.
fn connect(client: &str, session: &str, will: usize) -> Vec<u8> {
    let mut body = [&field(b"MQTT")[..], &[4, 0xC4, 0, 0], &field(session.as_bytes())].concat();
    body.extend([field(b"to/1//RESP"), field(&vec![b'x'; will])].concat());
    body.extend([field(client.as_bytes()), field(b"secret")].concat());
    let (mut packet, mut length) = (vec![0x10], body.len());
    while length > 127 {
        packet.push(length as u8 | 0x80);
        length >>= 7;
    }
    packet.push(length as u8);
    packet.extend(body);
    packet
}

fn is_admitted(stream: &mut TcpStream) -> bool {
    let mut reply = [0; 4];
    stream.read_exact(&mut reply).is_ok() && reply[0] == 0x20 && reply[3] == 0
}

/// Whether the service closes the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    match stream.read_to_end(&mut rest) {
        Ok(_) => true,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Guards against a client that is served by two senders, which know nothing of each other's names and sessions: a
/// connection takes the session over from the one before only at the same sender.
#[test]
fn a_connect_of_any_size_and_pace_leads_to_the_clients_home() {
    let service = start();
    let address = service.mqtt_address().unwrap();
    for i in 0..CLIENTS {
        let mut before: Option<TcpStream> = None;
        for (will, pieces, pause) in
            [(10, 1, 0), (5_000, 1, 0), (3_980, 40, 2), (60_000, 30, 1), (4_100, 4_100, 0), (20, 1, 0)]
        {
            let packet = connect(&format!("brand-{i}"), "session", will);
            let mut stream = open(address);
            for piece in packet.chunks(packet.len().div_ceil(pieces)) {
                stream.write_all(piece).unwrap();
                std::thread::sleep(Duration::from_millis(pause));
            }
            assert!(is_admitted(&mut stream), "client {i}, will of {will} bytes");
            if let Some(mut before) = before.replace(stream) {
                assert!(is_closed(&mut before), "client {i}, will of {will} bytes: two senders serve it");
            }
        }
    }
    service.shut_down();
    service.join().unwrap();
}

/// Guards against large commands that keep each other out: more of them than there is room for at once, each in two parts.
#[test]
fn many_large_connects_at_once_are_all_admitted() {
    let service = start();
    let packets: Vec<Vec<u8>> =
        (0..200).map(|i| connect(&format!("brand-{}", i % CLIENTS), &format!("s-{i}"), 60_000)).collect();
    let mut streams: Vec<TcpStream> = packets.iter().map(|_| open(service.mqtt_address().unwrap())).collect();
    for half in 0..2 {
        for (stream, packet) in streams.iter_mut().zip(&packets) {
            let (first, second) = packet.split_at(packet.len() / 2);
            stream.write_all([first, second][half]).unwrap();
        }
    }
    let admitted = streams.iter_mut().filter_map(|stream| is_admitted(stream).then_some(())).count();
    assert_eq!(admitted, packets.len());
    service.shut_down();
    service.join().unwrap();
}

fn pdu(id: u32, body: &[u8]) -> Vec<u8> {
    [&[16 + body.len() as u32, id, 0, 9].map(u32::to_be_bytes).concat()[..], body].concat()
}

fn bind(client: &str, password: &str) -> Vec<u8> {
    pdu(9, &[client.as_bytes(), &[0], password.as_bytes(), &[0, 0, 0x34, 0, 0, 0]].concat())
}

/// The command and the status of the next response.
fn response(stream: &mut TcpStream) -> Option<(u32, u32)> {
    let mut header = [0; 16];
    stream.read_exact(&mut header).ok()?;
    let word = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    stream.read_exact(&mut vec![0; word(0) as usize - 16]).ok()?;
    Some((word(4), word(8)))
}

/// Guards against an SMPP client that reaches another sender than its home by a command before its bind, or by binding on a
/// connection on which another client's bind was refused.
#[test]
fn a_bind_behind_other_commands_leads_to_the_clients_home_or_is_refused() {
    let service = start();
    for i in 0..CLIENTS {
        let name = format!("brand-{i}");
        let mut stream = open(service.address());
        stream.write_all(&pdu(0x15, &[])).unwrap();
        assert_eq!(response(&mut stream), Some((0x8000_0015, 0)));
        stream.write_all(&bind(&name, "secret")).unwrap();
        assert_eq!(response(&mut stream), Some((0x8000_0009, 0)), "{name}");

        let mut stream = open(service.address());
        stream.write_all(&bind("brand-0", "wrong")).unwrap();
        assert!(response(&mut stream).is_some_and(|(_, status)| status != 0));
        stream.write_all(&bind(&name, "secret")).unwrap();
        let is_admitted = response(&mut stream).is_some_and(|(_, status)| status == 0);
        let same_home = home(&name, SENDERS) == home("brand-0", SENDERS);
        assert_eq!(is_admitted, same_home, "{name} behind another client's bind");
        assert!(is_admitted || is_closed(&mut stream), "{name} can't reach its home on this connection");
    }
    service.shut_down();
    service.join().unwrap();
}
