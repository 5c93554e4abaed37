//! Clients that leave before the process can have read what they wrote.

use crate::alone::out_add_with_body;
use crate::clients::{Response, Submitted, body_of, pairs_of};
use crate::world::Random;
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The requests that a client leaves unread.
const LEFT_UNREAD: usize = 40;

/// A client that has connected, and leaves while the process is stopped.
pub struct Departing {
    stream: TcpStream,
    process: usize,
    /// Distinguishes its messages from those of others.
    name: String,
}

impl Departing {
    pub fn connect(process: usize, listen: SocketAddr, name: String) -> Option<Self> {
        let stream = TcpStream::connect(listen).ok()?;
        Some(Departing { stream, process, name })
    }

    /// Writes requests and leaves, with a reset or in good order. Gives the messages that nobody waits for.
    pub fn leave(mut self, random: &mut Random) -> Vec<Submitted> {
        let mut requests = String::new();
        let mut messages = Vec::new();
        for number in 0..LEFT_UNREAD {
            let id = format!("{}-{number}", self.name);
            requests += &out_add_with_body(&id, &pairs_of(&id, "safe", 1), &body_of(&id));
            let (at, response) = (Instant::now(), Response::LeftUnread(Instant::now()));
            messages.push(Submitted {
                process: self.process,
                id,
                class: "safe",
                dest: 1,
                at,
                response,
                again: None,
            });
        }
        _ = self.stream.set_nonblocking(true);
        if !self.stream.write(requests.as_bytes()).is_ok_and(|length| length == requests.len()) {
            return messages;
        }
        if random.one_in(2) {
            _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        messages
    }
}
