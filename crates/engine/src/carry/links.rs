//! Connections to receivers: open, receive, idle, close.

use super::plain;
use crate::Micros;
use crate::calls::{End as CallEnd, outcome_of};
use crate::ids::ConnId;
use crate::link::{Link, LinkEvent};
use crate::node::{Conn, Gone, Key, LinkEvents, Node, Use};
use crate::stream::Stream;
use heronroute::{EndpointId, Event, Outcome};

impl Node {
    pub(crate) fn close_idle(&mut self, endpoint: EndpointId) {
        let Some(remote) = self.remotes.get(endpoint) else { return };
        let probe = remote.probe;
        for conn in remote.pool.idle().into_iter().filter(|c| Some(*c) != probe) {
            self.close_link(conn);
            self.report_unproven_of(conn);
        }
    }

    pub(crate) fn link_idle(&mut self, conn: ConnId) {
        let Some(Use::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.what) else { return };
        let pool = &self.remotes[*endpoint].pool;
        if pool.calls(conn) == 0 {
            self.close_link(conn);
        }
    }

    /// Closes a connection to a receiver in an orderly way.
    pub(crate) fn close_link(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        if let Use::Receiver { link, .. } = &mut entry.what {
            link.close(now, &mut entry.stream);
        }
        self.link_gone(conn, Gone::Ended);
        self.finish(conn);
    }

    /// Calls a method of a link, then handles the events that it produced.
    fn with_link(&mut self, conn: ConnId, work: impl FnOnce(&mut dyn Link, &mut Stream, &mut LinkEvents)) {
        let mut events = LinkEvents::new();
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let Use::Receiver { link, .. } = &mut entry.what else { return };
        work(link.as_mut(), &mut entry.stream, &mut events);
        self.link_events(conn, events);
    }

    pub(crate) fn link_opened(&mut self, conn: ConnId) {
        let now = self.now;
        self.with_link(conn, |link, stream, events| link.open(now, stream, events));
    }

    pub(crate) fn link_received(&mut self, conn: ConnId, octets: &[u8]) {
        let now = self.now;
        self.with_link(conn, |link, stream, events| link.receive(now, octets, stream, events));
    }

    pub(crate) fn link_tick(&mut self, conn: ConnId) {
        let now = self.now;
        self.with_link(conn, |link, stream, events| link.tick(now, stream, events));
    }

    pub(crate) fn link_wake(&mut self, conn: ConnId) {
        if let Some(Use::Receiver { link, .. }) = self.conns.get(&conn).map(|c| &c.what) {
            let wake = link.wake();
            self.timers.set(Key::Conn(conn), wake);
        }
    }

    fn link_events(&mut self, conn: ConnId, events: LinkEvents) {
        let Some(Use::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.what) else { return };
        let endpoint = *endpoint;
        for event in events {
            match event {
                LinkEvent::Ready => {
                    self.timers.clear(Key::Connect(conn));
                    self.rests(conn);
                    let pool = &mut self.remotes[endpoint].pool;
                    pool.ready(conn);
                    if pool.probe_waits {
                        self.write_probe(endpoint, conn);
                    }
                    self.place(endpoint);
                }
                LinkEvent::Answered { call, part, reply } => self.outcome(call, part, reply),
                LinkEvent::AnsweredDoubtfully { call, part, reply } => {
                    self.doubtful_outcome(conn, call, part, reply);
                }
                LinkEvent::Contradicted => self.contradicted(conn),
                LinkEvent::Waits(wait) => self.wait_announced(endpoint, wait),
                LinkEvent::Rests => self.rest_unsettled(endpoint, conn),
                LinkEvent::Spent => self.remotes[endpoint].pool.suspect(conn),
                LinkEvent::Probed(reply) => self.probed(endpoint, reply),
                LinkEvent::Over(why) => {
                    tracing::debug!(conn, why, "a connection to a receiver is over");
                    self.link_gone(conn, Gone::Ended);
                    self.finish(conn);
                    return;
                }
            }
        }
        self.flush(conn);
        self.link_wake(conn);
    }

    /// Handles a wait that an endpoint announced, independently of the outcome of the call that it answers.
    pub(crate) fn wait_announced(&mut self, endpoint: EndpointId, wait: Micros) {
        self.cancel_for_wait(endpoint);
        self.events.push(Event::Remembered { endpoint, wait, bad_for: None, back: None, budget: None });
    }

    /// Handles a connection that was not established in time.
    pub(crate) fn link_gone_and_dropped(&mut self, conn: ConnId) {
        self.link_gone(conn, Gone::Broken);
        self.drop_conn(conn);
    }

    /// Ends the use of a connection to a receiver. Each message on it gets an outcome according to how much
    /// of it had been sent.
    pub(crate) fn link_gone(&mut self, conn: ConnId, gone: Gone) {
        tracing::debug!(now = self.now, conn, ?gone, "a connection is gone");
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let Use::Receiver { endpoint, link, .. } = &mut entry.what else { return };
        let endpoint = *endpoint;
        if gone == Gone::Ended {
            // Bytes that arrived before the end may still answer a call.
            let mut events = LinkEvents::new();
            link.ended(self.now, &mut events);
            for event in events {
                match event {
                    LinkEvent::Answered { call, part, reply } => self.outcome(call, part, reply),
                    LinkEvent::AnsweredDoubtfully { call, part, reply } => {
                        self.doubtful_outcome(conn, call, part, reply);
                    }
                    LinkEvent::Contradicted => self.contradicted(conn),
                    LinkEvent::Probed(reply) => self.probed(endpoint, reply),
                    LinkEvent::Ready
                    | LinkEvent::Waits(_)
                    | LinkEvent::Rests
                    | LinkEvent::Spent
                    | LinkEvent::Over(_) => {}
                }
            }
        }
        let window = self.cfg.kinds[self.remotes[endpoint].kind].window;
        // The connection is removed from the pool first, so that calls which its end releases go to other
        // connections.
        let waiting = self.remotes[endpoint].pool.gone(conn, window);
        let calls = self.calls.of(conn);
        let mut begun = Vec::new();
        for call in calls.iter().rev() {
            let parts = self.calls.get(*call).map_or(0, |c| c.parts.len());
            for part in (0..parts).rev() {
                begun.push((*call, part, self.begun(*call, part)));
            }
        }
        // What is reported as unsent must not be sent with the rest of the stream before the connection
        // closes. Otherwise a message could take effect after the answer that denies it.
        for (call, part, _) in begun.iter().filter(|b| !b.2) {
            let range = self.calls.get(*call).map_or((0, 0), |c| c.parts[*part].range);
            if let Some(entry) = self.conns.get_mut(&conn) {
                entry.stream.withdraw(range.0, range.1);
            }
        }
        if let Some(Conn { stream, what: Use::Receiver { link, .. }, .. }) = self.conns.get_mut(&conn) {
            link.discard_unsent(stream);
        }
        for (call, part, begun) in begun.into_iter().rev() {
            self.outcome(call, part, plain(outcome_of(CallEnd::Closed, begun)));
        }
        for call in waiting {
            let parts = self.calls.get(call).map_or(0, |c| c.parts.len());
            for part in 0..parts {
                self.outcome(call, part, plain(Outcome::ConnectFailed));
            }
        }
        let remote = &self.remotes[endpoint];
        if remote.probe == Some(conn) || (remote.pool.probe_waits && remote.pool.all().is_empty()) {
            let outcome = if remote.probe.is_some() { Outcome::Reset } else { Outcome::ConnectFailed };
            self.probed(endpoint, plain(outcome));
        }
        self.place(endpoint);
    }
}
