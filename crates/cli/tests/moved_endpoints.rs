//! The real program while the list gives an id another address, tells that an endpoint has started anew, or gives its
//! address to another id: no call goes over a connection to whom it is not for.

mod alone;

use alone::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Long enough for a call that is to come.
const CALL_SPAN: Duration = Duration::from_millis(400);
/// Long enough for a list to be applied.
const LIST_SPAN: Duration = Duration::from_millis(150);

/// A sender's watch of the list, which the test answers.
struct Watch {
    stream: TcpStream,
    version: u64,
}

impl Watch {
    fn accept(sender: &Sender) -> Self {
        let (mut stream, _) = sender.discovery.accept().unwrap();
        _ = stream.read(&mut [0; 4_096]);
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").unwrap();
        Watch { stream, version: 1 }
    }

    /// Tells changes, and waits until they are applied.
    fn tell(&mut self, entries: &[Value]) {
        self.version += 1;
        let line = json!({"version": self.version, "full": false, "servers": entries}).to_string();
        write!(self.stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
        std::thread::sleep(LIST_SPAN);
    }
}

fn entry(id: &str, listener: &TcpListener, cell: u64, started_ms: u64) -> Value {
    json!({"id": id, "addr": listener.local_addr().unwrap(), "zone": "a", "kind": "m", "cell": cell,
        "state": "SERVING", "weight": 400.0, "started_ms": started_ms})
}

fn out_add_to(id: &str, dest: u64) -> String {
    out_add_as(id, &format!("c=once,t=t,d=8000,dest={dest}"))
}

fn answer(call: &mut TcpStream) {
    call.write_all(OK.as_bytes()).unwrap();
    std::thread::sleep(50 * MS);
}

/// Whether a further call comes on a connection.
fn is_called_on(connection: &mut TcpStream) -> bool {
    connection.set_read_timeout(Some(CALL_SPAN)).unwrap();
    matches!(connection.read(&mut [0; 1_024]), Ok(1..))
}

/// Takes the next call at a listener, and gives its connection and text.
fn call_at(listener: &TcpListener) -> (TcpStream, String) {
    let mut accepted = None;
    listener.set_nonblocking(true).unwrap();
    until("called in time", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (mut stream, _) = accepted.unwrap();
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    while !text.ends_with("body") {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "a call that was broken off: {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    (stream, text)
}

/// Guards against calls over connections that were opened to an endpoint's former address, idle or with a call out.
#[test]
fn no_call_goes_over_connections_to_an_endpoints_former_address() {
    let sender = start("moved");
    let mut watch = Watch::accept(&sender);
    let mut client = sender.client();
    assert_eq!(client.asks(&out_add_to("m1", 1)), "+OK");
    let (mut idle, _) = sender.call();
    assert_eq!(client.asks(&out_add_to("m2", 1)), "+OK");
    let (mut busy, _) = sender.call();
    answer(&mut idle);
    let moved_to = TcpListener::bind((sender.listen.ip(), 0)).unwrap();
    watch.tell(&[entry("e1", &moved_to, 1, 0)]);
    // The call that was out when the endpoint moved is answered only now.
    answer(&mut busy);
    for id in ["m3", "m4"] {
        assert_eq!(client.asks(&out_add_to(id, 1)), "+OK");
        let (mut call, text) = call_at(&moved_to);
        assert!(text.contains(&format!("X-Call-Id: {id}\r\n")), "{text}");
        call.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").unwrap();
    }
    assert!(!is_called_on(&mut idle) && !is_called_on(&mut busy), "a call at the former address");
    assert!(!sender.is_called(CALL_SPAN), "a connection to the former address");
}

/// Guards against a process that is taken for the one that ran at its address before.
#[test]
fn no_call_goes_over_connections_from_before_an_endpoint_started_anew() {
    let sender = start("started-anew");
    let mut watch = Watch::accept(&sender);
    let mut client = sender.client();
    watch.tell(&[entry("e1", &sender.endpoint, 1, 1_000)]);
    assert_eq!(client.asks(&out_add_to("m1", 1)), "+OK");
    let (mut before, _) = sender.call();
    answer(&mut before);
    watch.tell(&[entry("e1", &sender.endpoint, 1, 2_000)]);
    assert_eq!(client.asks(&out_add_to("m2", 1)), "+OK");
    let (mut after, text) = sender.call();
    assert!(text.contains("X-Call-Id: m2\r\n"), "{text}");
    answer(&mut after);
    assert!(!is_called_on(&mut before), "a call on the connection from before");
    // The same start once more, and a start long ago, change nothing.
    watch.tell(&[entry("e1", &sender.endpoint, 1, 2_000)]);
    watch.tell(&[entry("e1", &sender.endpoint, 1, 0)]);
    assert_eq!(client.asks(&out_add_to("m3", 1)), "+OK");
    assert!(is_called_on(&mut after), "the connection is used on");
}

/// Guards against work that goes to whom has taken over the address of an endpoint that is still listed.
#[test]
fn no_call_goes_to_an_address_that_the_list_has_given_to_another_id() {
    let sender = start("taken-over");
    let mut watch = Watch::accept(&sender);
    let mut client = sender.client();
    assert_eq!(client.asks(&out_add_to("m1", 1)), "+OK");
    let (mut former, _) = sender.call();
    answer(&mut former);
    watch.tell(&[entry("e2", &sender.endpoint, 2, 0)]);
    // For the former owner's destination, which has no endpoint now.
    let said = client.asks(&out_add_to("m2", 1));
    assert!(said == "+OK" || said.starts_with("-BUSY"), "{said}");
    assert!(!is_called_on(&mut former), "on the connection to the former owner");
    assert!(!sender.is_called(CALL_SPAN), "to whom has the address now");
    assert_eq!(client.asks(&out_add_to("m3", 2)), "+OK");
    let (mut call, text) = sender.call();
    assert!(text.contains("X-Call-Id: m3\r\n"), "{text}");
    answer(&mut call);
    // The former owner is reached again at an address of its own.
    let own = TcpListener::bind((sender.listen.ip(), 0)).unwrap();
    watch.tell(&[entry("e1", &own, 1, 0)]);
    assert_eq!(client.asks(&out_add_to("m4", 1)), "+OK");
    let (_call, text) = call_at(&own);
    assert!(text.contains("X-Call-Id: m"), "{text}");
}
