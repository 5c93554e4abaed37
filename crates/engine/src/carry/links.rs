//! Connections to receivers: opened, heard, rested, ended.

use super::plain;
use crate::Micros;
use crate::calls::{End as CallEnd, outcome_of};
use crate::ids::ConnId;
use crate::link::{Link, LinkEvent};
use crate::node::{CloseReason, Conn, ConnRole, LinkEvents, Node, TimerKey};
use crate::stream::Stream;
use heronroute::{EndpointId, Event, Outcome};

impl Node {
    pub(crate) fn close_idle(&mut self, endpoint: EndpointId) {
        let Some(remote) = self.endpoints.get(endpoint) else { return };
        let probe = remote.probe;
        for conn in remote.pool.idle().into_iter().filter(|c| Some(*c) != probe) {
            self.close_link(conn);
            self.report_unproven_of(conn);
        }
    }

    pub(crate) fn link_idle(&mut self, conn: ConnId) {
        let Some(ConnRole::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.role) else {
            return;
        };
        let pool = &self.endpoints[*endpoint].pool;
        if pool.calls(conn) == 0 {
            self.close_link(conn);
        }
    }

    /// Closes a connection of ours in good order.
    pub(crate) fn close_link(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        if let ConnRole::Receiver { link, .. } = &mut entry.role {
            link.close(now, &mut entry.stream);
        }
        self.link_gone(conn, CloseReason::Ended);
        self.finish(conn);
    }

    /// Runs a link's own work, then handles what it hands on.
    fn with_link(&mut self, conn: ConnId, work: impl FnOnce(&mut dyn Link, &mut Stream, &mut LinkEvents)) {
        let mut events = LinkEvents::new();
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let ConnRole::Receiver { link, .. } = &mut entry.role else { return };
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
        if let Some(ConnRole::Receiver { link, .. }) = self.conns.get(&conn).map(|c| &c.role) {
            let wake = link.wake();
            self.timers.set(TimerKey::Conn(conn), wake);
        }
    }

    fn link_events(&mut self, conn: ConnId, events: LinkEvents) {
        let Some(ConnRole::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.role) else {
            return;
        };
        let endpoint = *endpoint;
        for event in events {
            match event {
                LinkEvent::Ready => {
                    self.timers.clear(TimerKey::Connect(conn));
                    self.rests(conn);
                    let pool = &mut self.endpoints[endpoint].pool;
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
                LinkEvent::Spent => self.endpoints[endpoint].pool.suspect(conn),
                LinkEvent::Probed(reply) => self.probed(endpoint, reply),
                LinkEvent::Over(why) => {
                    tracing::debug!(conn, why, "a connection to a receiver is over");
                    self.link_gone(conn, CloseReason::Ended);
                    self.finish(conn);
                    return;
                }
            }
        }
        self.flush(conn);
        self.link_wake(conn);
    }

    /// An endpoint announced a wait, whatever becomes of the call that it answers.
    pub(crate) fn wait_announced(&mut self, endpoint: EndpointId, wait: Micros) {
        self.cancel_for_wait(endpoint);
        self.events.push(Event::Remembered { endpoint, wait, bad_for: None, back: None, budget: None });
    }

    /// The connection did not stand in time.
    pub(crate) fn link_gone_and_dropped(&mut self, conn: ConnId) {
        self.link_gone(conn, CloseReason::Broken);
        self.drop_conn(conn);
    }

    /// A connection to a receiver is of no more use: what was on it comes to its end, each message by what had
    /// left of it.
    pub(crate) fn link_gone(&mut self, conn: ConnId, gone: CloseReason) {
        tracing::debug!(now = self.now, conn, ?gone, "a connection is gone");
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let ConnRole::Receiver { endpoint, link, .. } = &mut entry.role else { return };
        let endpoint = *endpoint;
        if gone == CloseReason::Ended {
            // What came before the end may still answer something.
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
        let window = self.cfg.kinds[self.endpoints[endpoint].kind].window;
        // It is out of the pool first: what its end sets free goes elsewhere.
        let waiting = self.endpoints[endpoint].pool.gone(conn, window);
        let calls = self.calls.of(conn);
        let mut begun = Vec::new();
        for call in calls.iter().rev() {
            let parts = self.calls.get(*call).map_or(0, |c| c.parts.len());
            for part in (0..parts).rev() {
                begun.push((*call, part, self.begun(*call, part)));
            }
        }
        // Guards against an effect after the answer that denies it: what is told as unsent must not leave with
        // what is still written before the connection closes.
        for (call, part, _) in begun.iter().filter(|b| !b.2) {
            let range = self.calls.get(*call).map_or((0, 0), |c| c.parts[*part].range);
            if let Some(entry) = self.conns.get_mut(&conn) {
                entry.stream.withdraw(range.0, range.1);
            }
        }
        if let Some(Conn { stream, role: ConnRole::Receiver { link, .. }, .. }) = self.conns.get_mut(&conn) {
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
        let remote = &self.endpoints[endpoint];
        if remote.probe == Some(conn) || (remote.pool.probe_waits && remote.pool.all().is_empty()) {
            let outcome = if remote.probe.is_some() { Outcome::Reset } else { Outcome::ConnectFailed };
            self.probed(endpoint, plain(outcome));
        }
        self.place(endpoint);
    }
}
