//! Probes of endpoints.

use super::reply_of;
use crate::ids::ConnId;
use crate::link::Reply;
use crate::node::{ConnRole, Node, TimerKey};
use heronroute::{EndpointId, Event, Outcome};

impl Node {
    /// Probes an endpoint on an existing connection, or on a new one if none can be used.
    pub(crate) fn probe(&mut self, endpoint: EndpointId) {
        let Some(remote) = self.endpoints.get_mut(endpoint) else { return };
        if remote.probing {
            return;
        }
        remote.probing = true;
        self.stats.probes += 1;
        self.timers.set(TimerKey::Probe(endpoint.0), self.now + 2 * self.cfg.service.connect_timeout);
        match self.endpoints[endpoint].pool.probe_connection(self.window(endpoint)) {
            Some(conn) => self.write_probe(endpoint, conn),
            None => {
                self.endpoints[endpoint].pool.probe_waiting = true;
                self.assign_calls(endpoint);
            }
        }
    }

    /// Writes a probe to a connection.
    pub(crate) fn write_probe(&mut self, endpoint: EndpointId, conn: ConnId) {
        // Where a connection carries one call at a time, a probe counts as that call.
        let counted = self.window(endpoint) == 1;
        let remote = &mut self.endpoints[endpoint];
        (remote.pool.probe_waiting, remote.probe) = (false, Some(conn));
        remote.probe_counted = counted;
        if counted {
            remote.pool.count_probe(conn);
            self.timers.clear(TimerKey::Idle(conn));
        }
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        if let ConnRole::Receiver { link, .. } = &mut entry.role {
            link.probe(self.now, &mut entry.stream);
        }
        self.flush(conn);
        self.schedule_link_tick(conn);
    }

    /// Ends the open probe of an endpoint and reports its result to the decision library.
    pub(crate) fn finish_probe(&mut self, endpoint: EndpointId, reply: Reply) {
        let remote = &mut self.endpoints[endpoint];
        if !remote.probing {
            return;
        }
        let counted = std::mem::take(&mut remote.probe_counted);
        let conn = remote.probe.filter(|_| counted);
        (remote.probing, remote.probe, remote.pool.probe_waiting) = (false, None, false);
        if let Some(conn) = conn {
            if remote.pool.finish_call(conn) {
                self.close_link(conn);
            } else {
                self.start_idle_timer(conn);
            }
            self.assign_calls(endpoint);
        }
        self.timers.clear(TimerKey::Probe(endpoint.0));
        self.events.push(Event::Probed { endpoint, outcome: reply.outcome, report: reply.report });
    }

    /// Handles a probe that was not answered in time.
    pub(crate) fn probe_timed_out(&mut self, endpoint: EndpointId) {
        let remote = &mut self.endpoints[endpoint];
        let conn = remote.probe;
        // This comes first, so that no call is put on this connection and then takes a late answer to the
        // probe for its own. A late 503 would say that the call never ran, and the message would be sent
        // twice.
        conn.into_iter().for_each(|conn| remote.pool.retire(conn));
        self.finish_probe(endpoint, reply_of(Outcome::TimedOut));
        if let Some(conn) = conn.filter(|conn| self.endpoints[endpoint].pool.call_count(*conn) == 0) {
            self.close_link(conn);
        }
    }
}
