//! Crowds of clients: one that rests on connections that say nothing, and one that makes the process hold as much as it can.

use crate::alone::{PING, out_add_with_body};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// The connections of a crowd that rests: more than the process has descriptors.
const RESTING: usize = 300;
/// The connections of a greedy crowd.
const GREEDY: usize = 600;
/// Names and values of a message that is never accepted, should a request come whole.
const UNKNOWN: &str = "c=safe,t=t,d=8000,dest=99";
/// The largest body.
const BODY_BYTES: usize = 64 * 1024;
/// How often a crowd looks after its connections.
const INTERVAL: Duration = Duration::from_millis(20);

/// Keeps connections open until the end of the run, each opened anew once it was closed.
fn keep_open(
    listen: SocketAddr,
    stop: &AtomicBool,
    count: usize,
    mut tend: impl FnMut(usize, &mut TcpStream),
) {
    let mut connections: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        connections.retain(|stream| {
            !matches!(stream.peek(&mut [0]), Ok(0)) && stream.take_error().is_ok_and(|error| error.is_none())
        });
        while connections.len() < count {
            let Ok(stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(50)) else { break };
            _ = stream.set_nonblocking(true);
            connections.push(stream);
        }
        connections.iter_mut().enumerate().for_each(|(number, stream)| tend(number, stream));
        sleep(INTERVAL);
    }
}

/// A crowd of idle clients.
pub fn rest(listen: SocketAddr, stop: &AtomicBool) {
    keep_open(listen, stop, RESTING, |_, _| {});
}

/// A crowd of which some stop half way through a large request, some write one slowly, and some never read their answers.
pub fn be_greedy(listen: SocketAddr, stop: &AtomicBool) {
    let request = out_add_with_body("greedy", UNKNOWN, &"x".repeat(BODY_BYTES));
    let half = &request.as_bytes()[..request.len() - 100];
    let flood = format!("{PING}*1\r\n$4\r\nWHAT\r\n").repeat(2_000);
    keep_open(listen, stop, GREEDY, |number, stream| {
        _ = match number % 3 {
            0 => stream.write(half),
            1 => stream.write(&half[..1_500]),
            _ => stream.write(flood.as_bytes()),
        };
    });
}
