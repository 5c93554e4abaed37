//! What has arrived is read before timers run: a call whose answer lies unread must not be given up.

use super::Reactor;
use mio::Events;
use std::io;
use std::time::Duration;

impl Reactor {
    /// Waits for events. Returns the time until which all that arrived is known, or `None` if a signal
    /// interrupted the wait, as it does where the process was stopped.
    pub(super) fn wait_for_events(
        &mut self,
        events: &mut Events,
        timeout: Option<Duration>,
    ) -> io::Result<Option<i64>> {
        match self.poll.poll(events, timeout) {
            Ok(()) => Ok(Some(self.clock.now())),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                events.clear();
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }

    /// Reads all connections that may have more to read.
    pub(super) fn read_ready(&mut self, inputs_until: Option<i64>) {
        for conn in std::mem::take(&mut self.ready) {
            self.read(conn);
        }
        if let Some(until) = inputs_until {
            self.node.inputs_handled(until);
        }
    }

    /// Reads once more what has arrived meanwhile, if this turn has taken long. Under a load under which each
    /// turn takes long, that is enough.
    pub(super) fn read_again_if_late(&mut self, events: &mut Events) -> io::Result<()> {
        if !self.node.needs_inputs(self.clock.now())
            || self.wait_for_events(events, Some(Duration::ZERO))?.is_none()
        {
            return Ok(());
        }
        self.handle_events(events);
        self.handle_signals();
        self.handle_commands();
        self.read_ready(None);
        self.node.inputs_handled(self.clock.now());
        Ok(())
    }
}
