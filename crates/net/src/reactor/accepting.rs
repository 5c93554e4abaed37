//! Descriptors of new connections: clients that are accepted, and connections of the sender's own.

use super::Reactor;
use heronroute_engine::front::Speaks;
use heronroute_engine::{CloseReason, ConnId};
use mio::net::TcpStream;
use std::io;
use std::net::SocketAddr;

/// Clients accepted in a turn.
const ACCEPT: usize = 64;
/// After descriptors ran out, accepting is tried again after this time, or once a connection has ended. Guards against a
/// thread that retries without a wait.
const ACCEPT_PAUSE: i64 = 20_000;
/// The system has no descriptor left (ENFILE), or the process has its most (EMFILE).
const NO_DESCRIPTOR: [i32; 2] = [23, 24];

fn out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|e| NO_DESCRIPTOR.contains(&e))
}

impl Reactor {
    /// Accepts clients, a bounded number in a turn. Where descriptors ran out, one that is being closed or the connection
    /// that was idle longest is closed for it, and accepting is tried again a little later.
    pub(super) fn accept(&mut self) {
        if self.full_until.is_some_and(|at| self.clock.now() < at) {
            return;
        }
        self.full_until = None;
        let Some(listener) = self.listener.as_ref().filter(|_| self.accept_pending) else {
            // Guards against a wait for a listener that is closed, which would be none.
            self.accept_pending = false;
            return;
        };
        let mut streams = Vec::new();
        for _ in 0..ACCEPT {
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
                    self.full_until = Some(self.clock.now() + ACCEPT_PAUSE);
                    self.node.close_idlest_client();
                    break;
                }
            }
        }
        for stream in streams {
            if let Some(conn) = self.node.accepted(self.clock.now(), Speaks::Resp, &[]) {
                self.register(conn, stream, false);
                // What has come with it is read in this turn, an end of its side included: guards against requests that
                // are accepted and sent for a client that has gone already.
                self.on_ready(conn, true, true, false);
            }
        }
        self.closing.keep(self.node.max_lingering_conns());
    }

    /// Stops listening once the sender takes no further client. Guards against clients that see the end of their connection,
    /// come again at once and are reset.
    pub(super) fn close_door(&mut self) {
        if self.node.refuses_connections() {
            self.listener = None;
        }
    }

    /// Connects; where descriptors ran out one that is being closed is closed first.
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
