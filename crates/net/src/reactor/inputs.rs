//! What has arrived is read before timers run and calls are written: a call whose answer lies unread must not be given up,
//! and a call that was decided before this process was held up must not leave within a wait that was told meanwhile.

use super::Reactor;
use heronroute_engine::ConnId;
use mio::Events;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

/// How long the connections of clients are read in a turn, in microseconds. Guards against answers and timers that wait
/// for a crowd of clients that send as fast as they can.
const MAX_CLIENT_READ_TIME: i64 = 10_000;
/// How often a turn reads again what has arrived meanwhile.
const MAX_READS_AGAIN: usize = 3;

impl Reactor {
    /// Waits for events. Returns the time until which all that arrived is known, or `None` if a signal
    /// interrupted the wait, as it does where the process was stopped.
    pub(super) fn wait_for_events(
        &mut self,
        events: &mut Events,
        timeout: Option<Duration>,
    ) -> io::Result<Option<i64>> {
        // Before the wait: a signal that stops the process takes effect as the system call returns.
        let began = self.clock.now();
        match self.poll.poll(events, timeout) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                events.clear();
                return Ok(None);
            }
            Err(e) => return Err(e),
        }
        let waited = timeout.filter(|_| events.is_empty()).unwrap_or_default();
        Ok(Some(self.clock.now().min(began + waited.as_micros() as i64)))
    }

    /// Writes the calls that waited until what has arrived was read, if they are still to be written.
    pub(super) fn write_deferred(&mut self) {
        if !self.node.needs_inputs(self.clock.now()) {
            std::mem::take(&mut self.deferred_writes).into_iter().for_each(|conn| self.write(conn));
        }
    }

    /// Reads the connections that may have more to read: all that this side opened, which have the answers that timers
    /// wait for, and those of clients for a bounded time. The rest is read in the next turn.
    pub(super) fn read_ready(&mut self, inputs_until: Option<i64>) {
        let is_client = |conn: &ConnId| self.sockets.get(conn).is_some_and(|socket| socket.accepted);
        let (clients, others): (BTreeSet<ConnId>, BTreeSet<ConnId>) =
            std::mem::take(&mut self.ready).into_iter().partition(is_client);
        others.into_iter().for_each(|conn| self.read(conn));
        self.read_clients(&clients);
        if let Some(until) = inputs_until {
            self.node.inputs_handled(until);
        }
    }

    /// Reads connections of clients in turn, from where the last turn ended.
    fn read_clients(&mut self, clients: &BTreeSet<ConnId>) {
        let until = self.clock.now() + MAX_CLIENT_READ_TIME;
        let next_client = self.next_client;
        let mut in_turn = clients.range(next_client..).chain(clients.range(..next_client)).copied();
        for conn in in_turn.by_ref() {
            self.read(conn);
            if self.clock.now() >= until {
                break;
            }
        }
        if let Some(next) = in_turn.next() {
            self.next_client = next;
            self.ready.insert(next);
            self.ready.extend(in_turn);
        }
    }

    /// Looks whether clients have left since their requests were read, before these are decided: nothing is sent on for a
    /// client that has left.
    pub(super) fn check_departures(&mut self, events: &mut Events) -> io::Result<()> {
        if self.node.has_submissions() && self.wait_for_events(events, Some(Duration::ZERO))?.is_some() {
            self.handle_events(events);
            // The pipe was emptied with the events.
            self.handle_signals();
        }
        Ok(())
    }

    /// Reads once more what has arrived meanwhile, if the wait or this turn has taken long. A load under which
    /// even that takes long is no reason to decide nothing.
    pub(super) fn read_again_if_late(&mut self, events: &mut Events) -> io::Result<()> {
        for _ in 0..MAX_READS_AGAIN {
            if !self.node.needs_inputs(self.clock.now()) {
                return Ok(());
            }
            let Some(until) = self.wait_for_events(events, Some(Duration::ZERO))? else { return Ok(()) };
            self.handle_events(events);
            self.handle_signals();
            self.handle_commands();
            self.read_ready(Some(until));
        }
        self.node.inputs_handled(self.clock.now());
        Ok(())
    }
}
