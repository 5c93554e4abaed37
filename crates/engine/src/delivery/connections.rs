//! Connections to receivers: open, receive, idle, close.

use super::{CallEnd, reply_of};
use crate::Micros;
use crate::ids::ConnId;
use crate::link::{Link, LinkEvent};
use crate::node::{CloseReason, Conn, ConnRole, LinkEvents, Node, TimerKey};
use crate::stream::Stream;
use heronroute::{EndpointId, Event, Outcome};
use heronroute_config::Protocol;

impl Node {
    /// Closes the connections to an endpoint that carry no calls and no probe.
    pub(crate) fn close_idle_connections(&mut self, endpoint: EndpointId) {
        let Some(remote) = self.endpoints.get(endpoint) else { return };
        let probe = remote.probe;
        for conn in remote.pool.idle_connections().into_iter().filter(|c| Some(*c) != probe) {
            self.close_link(conn);
        }
    }

    /// Ends the use of all connections to an endpoint, because another process runs as it or at its address: those without
    /// a call are closed now, the others once their call ends. Calls that are not sent are decided anew.
    pub(crate) fn retire_connections(&mut self, endpoint: EndpointId) {
        self.cancel_unsent_calls(endpoint);
        self.close_idle_connections(endpoint);
        let pool = &mut self.endpoints[endpoint].pool;
        let connecting = pool.connecting();
        pool.connections().into_iter().for_each(|conn| pool.retire(conn));
        connecting.into_iter().for_each(|conn| self.drop_link(conn));
    }

    /// Closes a connection whose idle timeout has expired, if it carries no calls.
    pub(crate) fn close_if_idle(&mut self, conn: ConnId) {
        let Some(ConnRole::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.role) else {
            return;
        };
        let pool = &self.endpoints[*endpoint].pool;
        if pool.call_count(conn) == 0 {
            self.close_link(conn);
        }
    }

    /// Closes a connection to a receiver in an orderly way.
    pub(crate) fn close_link(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        if let ConnRole::Receiver { link, .. } = &mut entry.role {
            link.close(now, &mut entry.stream);
        }
        self.end_link(conn);
    }

    /// Ends the use of a connection to a receiver from this side. Calls that waited for it start only once its
    /// close is requested.
    fn end_link(&mut self, conn: ConnId) {
        let messages = self.attempts.on_connection(conn);
        self.remove_link(conn, CloseReason::Ended);
        self.report_unconfirmed_deliveries(conn);
        self.keep_until_closed(conn, messages);
        self.finish(conn);
        self.start_delayed_calls(conn);
    }

    /// Calls a method of a link, then handles the events that it produced.
    fn with_link(&mut self, conn: ConnId, work: impl FnOnce(&mut dyn Link, &mut Stream, &mut LinkEvents)) {
        let mut events = LinkEvents::new();
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let ConnRole::Receiver { link, .. } = &mut entry.role else { return };
        work(link.as_mut(), &mut entry.stream, &mut events);
        self.handle_link_events(conn, events);
    }

    /// Handles an established connection to a receiver.
    pub(crate) fn link_opened(&mut self, conn: ConnId) {
        let now = self.now;
        self.with_link(conn, |link, stream, events| link.open(now, stream, events));
    }

    /// Handles bytes received from a receiver.
    pub(crate) fn link_received(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        self.with_link(conn, |link, stream, events| link.receive(now, bytes, stream, events));
        self.count_memory(conn);
        if self.exceeds_memory(conn) {
            tracing::warn!(conn, "closing a connection to a receiver: no memory is left for its answer");
            self.stats.answers_without_memory += 1;
            self.end_link(conn);
        }
    }

    /// Runs the timers of a link.
    pub(crate) fn link_tick(&mut self, conn: ConnId) {
        let now = self.now;
        self.with_link(conn, |link, stream, events| link.tick(now, stream, events));
    }

    /// Sets the timer for the next tick of a link.
    pub(crate) fn schedule_link_tick(&mut self, conn: ConnId) {
        if let Some(ConnRole::Receiver { link, .. }) = self.conns.get(&conn).map(|c| &c.role) {
            let wake = link.wake();
            self.timers.set(TimerKey::Conn(conn), wake);
        }
    }

    fn handle_link_events(&mut self, conn: ConnId, events: LinkEvents) {
        let Some(ConnRole::Receiver { endpoint, .. }) = self.conns.get(&conn).map(|c| &c.role) else {
            return;
        };
        let endpoint = *endpoint;
        for event in events {
            match event {
                LinkEvent::Ready => {
                    self.timers.clear(TimerKey::Connect(conn));
                    self.start_idle_timer(conn);
                    let pool = &mut self.endpoints[endpoint].pool;
                    pool.mark_ready(conn);
                    if pool.probe_waiting {
                        self.write_probe(endpoint, conn);
                    }
                    self.assign_calls(endpoint);
                }
                LinkEvent::PauseUntilConfirmed => self.pause_until_confirmed(endpoint, conn),
                LinkEvent::AwaitRest(until) => self.await_rest(endpoint, conn, until),
                LinkEvent::NoMoreCalls => self.endpoints[endpoint].pool.retire(conn),
                LinkEvent::RefusalsUnproven => self.endpoints[endpoint].pool.mark_ambiguous(conn),
                LinkEvent::Unusable(why) => {
                    tracing::debug!(conn, why, "closing a connection to a receiver");
                    self.end_link(conn);
                    return;
                }
                event => self.handle_answer_event(conn, endpoint, event),
            }
        }
        self.flush(conn);
        self.schedule_link_tick(conn);
    }

    /// Handles an event that concerns answers, as it may also come with the end of the connection. Other events
    /// have no effect.
    fn handle_answer_event(&mut self, conn: ConnId, endpoint: EndpointId, event: LinkEvent) {
        match event {
            LinkEvent::Answered { call, part, reply } => self.record_own_answer(call, part, reply),
            LinkEvent::AnsweredUnconfirmed { call, part, reply } => {
                self.handle_unconfirmed_answer(conn, call, part, reply);
            }
            LinkEvent::EarlierConfirmed => self.confirm_deliveries(conn),
            LinkEvent::Contradicted(finality) => self.handle_contradiction(conn, finality),
            LinkEvent::WaitAnnounced(wait) => self.handle_announced_wait(endpoint, wait),
            LinkEvent::DeliveryDigest(digest) => self.record_delivery_digest(conn, endpoint, digest),
            LinkEvent::Probed(reply) => {
                self.retire_where_answers_repeat(conn, endpoint);
                self.finish_probe(endpoint, reply);
            }
            LinkEvent::Ready
            | LinkEvent::PauseUntilConfirmed
            | LinkEvent::NoMoreCalls
            | LinkEvent::AwaitRest(_)
            | LinkEvent::RefusalsUnproven
            | LinkEvent::Unusable(_) => {}
        }
    }

    /// Records what tells an endpoint's answer to a delivery from others.
    fn record_delivery_digest(&mut self, conn: ConnId, endpoint: EndpointId, digest: u64) {
        self.endpoints[endpoint].answer_variety.record(digest);
        self.retire_where_answers_repeat(conn, endpoint);
    }

    /// Assigns no more calls to a connection with an answer if the next one would prove nothing.
    fn retire_where_answers_repeat(&mut self, conn: ConnId, endpoint: EndpointId) {
        if self.answers_repeat(endpoint) {
            self.endpoints[endpoint].pool.retire(conn);
        }
    }

    /// Returns whether a second answer of an endpoint on a connection could not be told from a copy of the first.
    fn answers_repeat(&self, endpoint: EndpointId) -> bool {
        let remote = &self.endpoints[endpoint];
        let protocol = self.cfg.kinds[remote.kind].protocol;
        protocol == Protocol::Http && !remote.answer_variety.answers_differ()
    }

    /// Returns how many calls a connection to an endpoint carries at once.
    pub(crate) fn window(&self, endpoint: EndpointId) -> usize {
        if self.answers_repeat(endpoint) { 1 } else { self.cfg.kinds[self.endpoints[endpoint].kind].window }
    }

    /// Handles a wait that an endpoint announced, independently of the outcome of the call that it answers.
    pub(crate) fn handle_announced_wait(&mut self, endpoint: EndpointId, wait: Micros) {
        self.cancel_for_announced_wait(endpoint);
        self.events.push(Event::EndpointRestored {
            endpoint,
            wait,
            failing_for: None,
            warming_for: None,
            budget: None,
        });
    }

    /// Handles a connection that was not established in time.
    pub(crate) fn drop_link(&mut self, conn: ConnId) {
        self.remove_link(conn, CloseReason::Broken);
        self.report_unconfirmed_deliveries(conn);
        self.drop_conn(conn);
        self.start_delayed_calls(conn);
    }

    /// Ends the use of a connection to a receiver. Each message on it gets an outcome according to how much
    /// of it had been sent.
    pub(crate) fn remove_link(&mut self, conn: ConnId, gone: CloseReason) {
        tracing::debug!(now = self.now, conn, ?gone, "a connection to a receiver ended");
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let ConnRole::Receiver { endpoint, link, .. } = &mut entry.role else { return };
        let endpoint = *endpoint;
        if gone == CloseReason::Ended {
            // Bytes that arrived before the end may still answer a call.
            let mut events = LinkEvents::new();
            link.ended(self.now, &mut events);
            events.into_iter().for_each(|event| self.handle_answer_event(conn, endpoint, event));
        }
        self.remove_expiry(conn);
        let window = self.window(endpoint);
        // The connection is removed from the pool first, so that calls which its end releases go to other
        // connections.
        let waiting = self.endpoints[endpoint].pool.remove(conn, window);
        let calls = self.calls.on_connection(conn);
        let mut begun = Vec::new();
        for call in calls.iter().rev() {
            let parts = self.calls.get(*call).map_or(0, |open_call| open_call.parts.len());
            for part in (0..parts).rev() {
                begun.push((*call, part, self.has_begun(*call, part)));
            }
        }
        // What is reported as unsent must not be sent with the rest of the stream before the connection
        // closes. Otherwise a message could take effect after the answer that denies it.
        for (call, part, _) in begun.iter().filter(|b| !b.2) {
            let range = self.calls.get(*call).map_or((0, 0), |open_call| open_call.parts[*part].range);
            if let Some(entry) = self.conns.get_mut(&conn) {
                entry.stream.withdraw(range.0, range.1);
            }
        }
        if let Some(Conn { stream, role: ConnRole::Receiver { link, .. }, .. }) = self.conns.get_mut(&conn) {
            link.discard_unsent(stream);
        }
        for (call, part, _) in begun.iter().filter(|b| !b.2) {
            self.record_unsent(*call, *part);
        }
        self.attempts.connection_closed(conn);
        for (call, part, begun) in begun.into_iter().rev() {
            let reply = self.reply_without_answer(call, part, CallEnd::Closed, begun);
            self.record_outcome(call, part, reply);
        }
        for call in waiting {
            let parts = self.calls.get(call).map_or(0, |open_call| open_call.parts.len());
            for part in 0..parts {
                self.record_unsent(call, part);
                self.record_outcome(call, part, reply_of(Outcome::ConnectFailed));
            }
        }
        let remote = &self.endpoints[endpoint];
        if remote.probe == Some(conn) || (remote.pool.probe_waiting && remote.pool.connections().is_empty()) {
            let outcome = if remote.probe.is_some() { Outcome::Reset } else { Outcome::ConnectFailed };
            self.finish_probe(endpoint, reply_of(outcome));
        }
        self.assign_calls(endpoint);
    }
}
