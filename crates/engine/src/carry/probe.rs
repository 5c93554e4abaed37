//! Probes of endpoints.

use super::plain;
use crate::ids::ConnId;
use crate::link::Reply;
use crate::node::{ConnRole, Node, TimerKey};
use heronroute::{EndpointId, Event, Outcome};

impl Node {
    /// Probes an endpoint: on a connection at hand, else on a new one.
    pub(crate) fn probe(&mut self, endpoint: EndpointId) {
        let Some(remote) = self.endpoints.get_mut(endpoint) else { return };
        if remote.probing {
            return;
        }
        remote.probing = true;
        self.stats.probes += 1;
        self.timers.set(TimerKey::Probe(endpoint.0), self.now + 2 * self.cfg.service.connect_timeout);
        let remote = &self.endpoints[endpoint];
        match remote.pool.for_probe(self.cfg.kinds[remote.kind].window) {
            Some(conn) => self.write_probe(endpoint, conn),
            None => {
                self.endpoints[endpoint].pool.probe_waits = true;
                self.place(endpoint);
            }
        }
    }

    pub(crate) fn write_probe(&mut self, endpoint: EndpointId, conn: ConnId) {
        let remote = &mut self.endpoints[endpoint];
        (remote.pool.probe_waits, remote.probe) = (false, Some(conn));
        // Where a connection carries one call at a time, a probe takes its place.
        if self.cfg.kinds[remote.kind].window == 1 {
            remote.pool.occupy(conn);
            self.timers.clear(TimerKey::Idle(conn));
        }
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        if let ConnRole::Receiver { link, .. } = &mut entry.role {
            link.probe(self.now, &mut entry.stream);
        }
        self.flush(conn);
        self.link_wake(conn);
    }

    pub(crate) fn probed(&mut self, endpoint: EndpointId, reply: Reply) {
        let remote = &mut self.endpoints[endpoint];
        if !remote.probing {
            return;
        }
        let window = self.cfg.kinds[remote.kind].window;
        let conn = remote.probe.filter(|_| window == 1);
        (remote.probing, remote.probe, remote.pool.probe_waits) = (false, None, false);
        if let Some(conn) = conn {
            if remote.pool.finished(conn) {
                self.close_link(conn);
            } else {
                self.rests(conn);
            }
            self.place(endpoint);
        }
        self.timers.clear(TimerKey::Probe(endpoint.0));
        self.events.push(Event::Probed { endpoint, outcome: reply.outcome, report: reply.report });
    }

    pub(crate) fn probe_timed_out(&mut self, endpoint: EndpointId) {
        let remote = &mut self.endpoints[endpoint];
        let conn = remote.probe;
        // First of all: guards against a call that goes on this connection and is taken to be answered by what the probe
        // is answered late. A late 503 would say that the call never ran, and have it sent twice.
        conn.into_iter().for_each(|conn| remote.pool.suspect(conn));
        self.probed(endpoint, plain(Outcome::TimedOut));
        if let Some(conn) = conn.filter(|conn| self.endpoints[endpoint].pool.calls(*conn) == 0) {
            self.close_link(conn);
        }
    }
}
