//! Opens connections: accepts clients, and connects to other addresses. Handles a lack of descriptors.

use super::Reactor;
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, ConnId};
use mio::net::TcpStream;
use std::io;
use std::net::SocketAddr;

/// The maximum number of clients accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// The delay before accepting is retried after an error, in microseconds. Guards against a busy loop.
const ACCEPT_RETRY_DELAY: i64 = 20_000;
/// The error codes for no descriptor left in the system (ENFILE) or for the process (EMFILE).
const OUT_OF_DESCRIPTORS: [i32; 2] = [23, 24];

/// The error codes of accept(2) that concern the network or the connection that was to be accepted, and not this
/// process: EPERM, ENONET, EPROTO, ENOPROTOOPT, EOPNOTSUPP, ENETDOWN, ENETUNREACH, ECONNABORTED, ETIMEDOUT,
/// EHOSTDOWN and EHOSTUNREACH.
const NETWORK_ERRORS: [i32; 11] = [1, 64, 71, 92, 95, 100, 101, 103, 110, 112, 113];

pub(super) fn out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|e| OUT_OF_DESCRIPTORS.contains(&e))
}

/// Returns whether a client's connection that is closed may help against an error of accept(2).
fn lacks_resources(error: &io::Error) -> bool {
    error.raw_os_error().is_none_or(|e| !NETWORK_ERRORS.contains(&e))
}

impl Reactor {
    /// Accepts clients, a bounded number in a turn. If descriptors or memory run out, closes a lingering
    /// connection or else the connection that has been idle longest, and retries a little later.
    pub(super) fn accept(&mut self) {
        if self.accept_retry_at.is_some_and(|at| self.clock.now() < at) {
            return;
        }
        self.accept_retry_at = None;
        let Some(listener) = self.listener.as_ref().filter(|_| self.accept_pending) else {
            // Guards against polling without a wait after the listener was closed.
            self.accept_pending = false;
            return;
        };
        let mut streams = Vec::new();
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match listener.accept() {
                Ok((stream, _)) => streams.push(stream),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.accept_pending = false;
                    break;
                }
                Err(e) if out_of_descriptors(&e) && self.closing.close_oldest() => {}
                Err(e) => {
                    tracing::warn!(error = %e, "a client could not be accepted");
                    self.accept_retry_at = Some(self.clock.now() + ACCEPT_RETRY_DELAY);
                    if lacks_resources(&e) {
                        self.node.close_idlest_client();
                    }
                    break;
                }
            }
        }
        for stream in streams {
            if let Some(conn) = self.node.accepted(self.clock.now(), Speaks::Resp, &[]) {
                // What has arrived with the connection is read once the system has told whether its client has
                // left already.
                self.register(conn, stream, false);
            }
        }
        self.closing.close_excess(self.node.max_lingering_conns());
    }

    /// Stops listening once the sender refuses connections. Guards against clients that reconnect at once
    /// after their connection was closed and then are reset.
    pub(super) fn stop_listening_if_refused(&mut self) {
        if self.node.refuses_connections() {
            self.listener = None;
        }
    }

    /// Opens an outgoing connection. If descriptors run out, closes a lingering connection first.
    pub(super) fn connect(&mut self, conn: ConnId, address: SocketAddr) {
        loop {
            match TcpStream::connect(address) {
                Ok(stream) => return self.register(conn, stream, true),
                Err(e) if out_of_descriptors(&e) && self.closing.close_oldest() => {}
                Err(_) => return self.node.closed(self.clock.now(), conn, CloseReason::Broken),
            }
        }
    }
}
