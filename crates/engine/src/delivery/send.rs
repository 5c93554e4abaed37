//! Execution of a round's actions, and assignment of calls to connections.

use crate::Micros;
use crate::answers::MessageEnd;
use crate::front::Speaks;
use crate::ids::{ConnId, format_id};
use crate::link::{self, OutboundMessage};
use crate::node::{ConnRole, Effect as Deferred, Node, Output, TimerKey};
use heronroute::{Action, Effect, EndpointId, MsgId};
use heronroute_config::Protocol;
use heronroute_held::What as TrailStep;
use heronroute_journal::entry::{self, What};
use std::collections::BTreeMap;

impl Node {
    /// Executes a round's actions in order. Messages of the round for one endpoint share a call up to the
    /// batch limit of the endpoint's kind.
    pub(crate) fn execute_actions(&mut self, actions: &[Action]) {
        let mut open_batches: BTreeMap<EndpointId, (u64, usize, usize)> = BTreeMap::new();
        let mut new_calls: Vec<(u64, EndpointId)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => {
                    let Some(remote) = self.endpoints.get(*endpoint) else { continue };
                    let Some(message) = self.messages.get(id) else { continue };
                    let kind = &self.cfg.kinds[remote.kind];
                    let size = link::size_in_call(kind, &message.submission);
                    let call = match open_batches.get_mut(endpoint) {
                        Some((call, n, bytes))
                            if *n < kind.batch && *bytes + size <= link::MAX_CALL_BYTES =>
                        {
                            (*n, *bytes) = (*n + 1, *bytes + size);
                            *call
                        }
                        _ => {
                            let call = self.calls.create(self.now, *endpoint);
                            new_calls.push((call, *endpoint));
                            open_batches.insert(*endpoint, (call, 1, size));
                            call
                        }
                    };
                    let Some(message) = self.messages.get_mut(id) else { continue };
                    let deadline = self.now + (*timeout).max(1);
                    // A repeat that was decided in time must not wait for its connection until the receiver
                    // has forgotten its idempotency key.
                    let class = &self.cfg.settings.classes[message.class];
                    let send_by = match message.may_have_run_since.filter(|_| class.effect == Effect::Guarded)
                    {
                        Some(may_have_run_since) => may_have_run_since + class.window,
                        None => Micros::MAX,
                    };
                    let part = self.calls.add_part(call, *id, message.attempts, deadline, send_by);
                    message.attempts += 1;
                    message.out = Some((call, part));
                    self.timers.set(TimerKey::Part(call, part), deadline.min(send_by));
                }
                Action::Cancel { id, attempt } => self.cancel_attempt(*id, *attempt),
                Action::Refuse { id, retry_after } => self.answer(*id, MessageEnd::Refused(*retry_after)),
                Action::Fail { id } => self.answer(*id, MessageEnd::Failed),
                Action::Timer { at, .. } => self.timers.set(TimerKey::Dispatcher, *at),
                Action::Subscribe => self.subscribe(),
                Action::Probe { endpoint } => self.probe(*endpoint),
                Action::Close { endpoint } => self.close_idle_connections(*endpoint),
                // Senders share no state, and the settings allow no notes between them.
                Action::Broadcast { .. } => {}
            }
        }
        // No byte of a call is sent before its intents are durable.
        for (call, endpoint) in new_calls {
            let Some(open_call) = self.calls.get(call) else { continue };
            let (name, at) = (&self.endpoints[endpoint].name, self.wall());
            for p in open_call.parts.iter().filter(|p| p.open) {
                let intent = || entry::Intent { id: p.message.0, endpoint: name.clone(), at };
                self.ledger.write(|| What::Intent(intent()));
            }
            if self.held.is_some() {
                let number = self.endpoints[endpoint].number;
                let parts: Vec<MsgId> =
                    open_call.parts.iter().filter(|p| p.open).map(|p| p.message).collect();
                parts.into_iter().for_each(|id| self.add_trail_step(id, TrailStep::Began(number)));
            }
            self.stats.calls += 1;
            self.once_durable(Deferred::Place { call, endpoint });
        }
    }

    /// Queues a call whose intents are durable, unless it has been cancelled meanwhile.
    pub(crate) fn start_call(&mut self, call: u64, endpoint: EndpointId) {
        if self.calls.get(call).is_none() {
            return;
        }
        if call <= self.endpoints[endpoint].cancelled_up_to {
            return self.cancel_unsent_call(call);
        }
        if self.may_start(call, endpoint) {
            let needs_proof = self.needs_proof(call, endpoint);
            let pool = &mut self.endpoints[endpoint].pool;
            if needs_proof {
                pool.enqueue_for_proof(call);
            } else {
                pool.enqueue(call);
            }
            self.assign_calls(endpoint);
        }
    }

    /// Assigns waiting calls to connections, and opens further connections if needed.
    pub(crate) fn assign_calls(&mut self, endpoint: EndpointId) {
        let window = self.window(endpoint);
        self.cancel_expired(endpoint);
        while let Some((call, conn)) = self.endpoints[endpoint].pool.assign_next(window) {
            self.write_call(call, conn);
        }
        let mut replaced = Vec::new();
        for _ in 0..self.endpoints[endpoint].pool.missing_connections(window) {
            replaced.extend(self.endpoints[endpoint].pool.retire_replaceable());
            self.open_connection(endpoint);
        }
        replaced.into_iter().for_each(|conn| self.close_link(conn));
    }

    fn open_connection(&mut self, endpoint: EndpointId) {
        let remote = &self.endpoints[endpoint];
        let kind = &self.cfg.kinds[remote.kind];
        let address = remote.address;
        let link = link::new(kind, self.smpp_limits, address.to_string(), self.index);
        let conn = self.add_conn(ConnRole::Receiver { endpoint, link });
        self.endpoints[endpoint].pool.add_connecting(conn);
        self.stats.connections += 1;
        self.timers.set(TimerKey::Connect(conn), self.now + self.cfg.service.connect_timeout);
        self.outputs.push(Output::Connect { conn, address });
    }

    /// Returns whether a call must go to a connection on which its refusal would prove that it did not run.
    /// Responses over HTTP name no call, and such connections are not scarce there.
    fn needs_proof(&self, call: u64, endpoint: EndpointId) -> bool {
        self.cfg.kinds[self.endpoints[endpoint].kind].protocol == Protocol::Http
            && self.open_messages_of(call).into_iter().any(|message| self.runs_once(message))
    }

    fn write_call(&mut self, call: u64, conn: ConnId) {
        let cfg = self.cfg.clone();
        let Some(open_call) = self.calls.get(call) else { return };
        let mut messages = Vec::with_capacity(open_call.parts.len());
        for (part, p) in open_call.parts.iter().enumerate().filter(|(_, p)| p.open) {
            let Some(message) = self.messages.get(&p.message) else { continue };
            messages.push(OutboundMessage {
                part,
                // The platform's messages keep the identity that they were submitted with.
                id: if message.speaks == Speaks::Resp {
                    message.submission.identity.clone().unwrap_or_default()
                } else {
                    format_id(p.message)
                },
                class: &cfg.class_names[message.class],
                guarded: cfg.settings.classes[message.class].effect == Effect::Guarded,
                wait: p.deadline - self.now,
                submission: &message.submission,
            });
        }
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let ConnRole::Receiver { link, .. } = &mut entry.role else { return };
        let ranges = link.send(self.now, call, &messages, &mut entry.stream);
        self.calls.record_written(call, conn, &ranges);
        let messages = self.open_messages_of(call);
        for message in &messages {
            self.attempts.written(*message, call, conn);
        }
        self.limit_connection_by(conn, &messages);
        self.timers.clear(TimerKey::Idle(conn));
        self.flush(conn);
        self.schedule_link_tick(conn);
    }
}
