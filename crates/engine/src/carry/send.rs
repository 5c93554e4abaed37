//! A round's actions are carried out; calls go on connections.

use crate::Micros;
use crate::answers::End;
use crate::front::Speaks;
use crate::ids::{ConnId, show_id};
use crate::link::{self, Cargo};
use crate::node::{ConnRole, Effect as Durably, Node, Output, TimerKey};
use heronroute::{Action, Effect, EndpointId, MsgId};
use heronroute_held::What as Trailed;
use heronroute_journal::entry::{self, What};
use std::collections::BTreeMap;

impl Node {
    /// Carries out a round's actions, in order. Sends of the round to one endpoint share a call as far as its
    /// kind batches.
    pub(crate) fn carry_out(&mut self, actions: &[Action]) {
        let mut open: BTreeMap<EndpointId, (u64, usize, usize)> = BTreeMap::new();
        let mut made: Vec<(u64, EndpointId)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => {
                    let Some(remote) = self.endpoints.get(*endpoint) else { continue };
                    let Some(m) = self.messages.get(id) else { continue };
                    let kind = &self.cfg.kinds[remote.kind];
                    let size = link::size(kind, &m.submission);
                    let call = match open.get_mut(endpoint) {
                        Some((call, n, octets)) if *n < kind.batch && *octets + size <= link::MOST_OCTETS => {
                            (*n, *octets) = (*n + 1, *octets + size);
                            *call
                        }
                        _ => {
                            let call = self.calls.begin(self.now, *endpoint);
                            made.push((call, *endpoint));
                            open.insert(*endpoint, (call, 1, size));
                            call
                        }
                    };
                    let Some(m) = self.messages.get_mut(id) else { continue };
                    let until = self.now + (*timeout).max(1);
                    // Guards against a repeat that was decided in time and waits for its connection until the
                    // receiver has forgotten the key.
                    let class = &self.cfg.settings.classes[m.class];
                    let leave_by = match m.may_have_run_since.filter(|_| class.effect == Effect::Guarded) {
                        Some(may_have_run_since) => may_have_run_since + class.window,
                        None => Micros::MAX,
                    };
                    let part = self.calls.add(call, *id, m.attempts, until, leave_by);
                    m.attempts += 1;
                    m.out = Some((call, part));
                    self.timers.set(TimerKey::Part(call, part), until.min(leave_by));
                }
                Action::Cancel { id, attempt } => self.cancel_attempt(*id, *attempt),
                Action::Refuse { id, retry_after } => self.answer(*id, End::Refused(*retry_after)),
                Action::Fail { id } => self.answer(*id, End::Failed),
                Action::Timer { at, .. } => self.timers.set(TimerKey::Dispatcher, *at),
                Action::Subscribe => self.subscribe(),
                Action::Probe { endpoint } => self.probe(*endpoint),
                Action::Close { endpoint } => self.close_idle(*endpoint),
                // Senders share nothing: the settings allow no notes.
                Action::Tell { .. } => {}
            }
        }
        // No octet of a call leaves before its intents are durable.
        for (call, endpoint) in made {
            let Some(c) = self.calls.get(call) else { continue };
            let (name, at) = (&self.endpoints[endpoint].name, self.wall());
            for p in c.parts.iter().filter(|p| p.open) {
                let intent = || entry::Intent { id: p.msg.0, endpoint: name.clone(), at };
                self.ledger.write(|| What::Intent(intent()));
            }
            if self.held.is_some() {
                let number = self.endpoints[endpoint].number;
                let parts: Vec<MsgId> = c.parts.iter().filter(|p| p.open).map(|p| p.msg).collect();
                parts.into_iter().for_each(|id| self.add_trail_step(id, Trailed::Began(number)));
            }
            self.stats.calls += 1;
            self.once_durable(Durably::Place { call, endpoint });
        }
    }

    /// A call may leave, unless it was cancelled meanwhile.
    pub(crate) fn start_call(&mut self, call: u64, endpoint: EndpointId) {
        if self.calls.get(call).is_none() {
            return;
        }
        let remote = &mut self.endpoints[endpoint];
        if call <= remote.cancelled_up_to {
            return self.cancel_unsent_call(call);
        }
        remote.pool.queue(call);
        self.place(endpoint);
    }

    /// Puts waiting calls on connections, and opens what is lacking.
    pub(crate) fn place(&mut self, endpoint: EndpointId) {
        let window = self.cfg.kinds[self.endpoints[endpoint].kind].window;
        self.cancel_expired(endpoint);
        while let Some((call, conn)) = self.endpoints[endpoint].pool.place(window) {
            self.write_call(call, conn);
        }
        for _ in 0..self.endpoints[endpoint].pool.wanted(window) {
            let remote = &mut self.endpoints[endpoint];
            let kind = &self.cfg.kinds[remote.kind];
            let address = remote.address;
            let link = link::new(kind, self.session_limits, address.to_string(), self.index);
            let conn = self.add_conn(ConnRole::Receiver { endpoint, link });
            self.endpoints[endpoint].pool.opening(conn);
            self.stats.connections += 1;
            self.timers.set(TimerKey::Connect(conn), self.now + self.cfg.service.connect_timeout);
            self.outputs.push(Output::Connect { conn, address });
        }
    }

    fn write_call(&mut self, call: u64, conn: ConnId) {
        let cfg = self.cfg.clone();
        let Some(c) = self.calls.get(call) else { return };
        let mut cargo = Vec::with_capacity(c.parts.len());
        for (part, p) in c.parts.iter().enumerate().filter(|(_, p)| p.open) {
            let Some(m) = self.messages.get(&p.msg) else { continue };
            cargo.push(Cargo {
                part,
                // The platform's messages keep the identity they came with.
                id: if m.speaks == Speaks::Resp {
                    m.submission.identity.clone().unwrap_or_default()
                } else {
                    show_id(p.msg)
                },
                class: &cfg.class_names[m.class],
                guarded: cfg.settings.classes[m.class].effect == Effect::Guarded,
                wait: p.until - self.now,
                submission: &m.submission,
            });
        }
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        let ConnRole::Receiver { link, .. } = &mut entry.role else { return };
        let ranges = link.send(self.now, call, &cargo, &mut entry.stream);
        self.calls.written(call, conn, &ranges);
        self.timers.clear(TimerKey::Idle(conn));
        self.flush(conn);
        self.link_wake(conn);
    }
}
