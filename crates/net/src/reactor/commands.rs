//! Commands to a sender's thread, and how it handles them.

use super::Reactor;
use heronroute_config::Config;
use heronroute_engine::front::Speaks;
use heronroute_journal::Usage;
use heronroute_rules::seam::{Apply, DryRun, Fence, Told};
use mio::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::{Sender, TryRecvError};
use std::time::Duration;

/// A command to a sender's thread.
pub enum Command {
    /// A new client, with the octets it has sent so far.
    Client(Speaks, TcpStream, Vec<u8>),
    /// New settings. The answer names those that need a restart.
    Reload(Arc<Config>, Sender<Vec<&'static str>>),
    /// Go out of service.
    Leave,
    /// The number of entries that are durable, and the journal's usage.
    Durable(u64, Usage),
    /// The journal's storage has begun to fail. [`Command::Durable`] follows once it works again.
    JournalFailing,
    /// The journal can't go on: end at once and send nothing more. A restart finds what was durable.
    JournalFailed,
    /// The installation's member answers a client.
    Told(Told),
    /// The installation's member has rules to be applied.
    Apply(Apply),
    /// The installation's member sets a fence or lifts it.
    Fence(Fence),
    /// The installation's member asks what a client's rules would drop.
    DryRun(DryRun),
    /// Block the thread for a time, as a stalled machine would. For drills.
    Stall(Duration),
}

impl Reactor {
    /// Handles all waiting commands. Goes out of service once the queue is closed.
    pub(super) fn handle_commands(&mut self) {
        loop {
            match self.inbox.try_recv() {
                Ok(command) => self.handle_command(command),
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Disconnected) => {
                    if !self.inbox_closed {
                        self.inbox_closed = true;
                        self.node.leave(self.clock.now());
                    }
                    return;
                }
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Client(speaks, stream, octets) => {
                if let Some(conn) = self.node.accepted(now, speaks, &octets) {
                    self.register(conn, stream, false);
                }
            }
            Command::Reload(cfg, answer) => {
                _ = answer.send(self.node.reload(now, cfg));
            }
            Command::Leave => self.node.leave(now),
            Command::Durable(count, usage) => self.node.durable(now, count, usage),
            Command::JournalFailing => self.node.storage_failed(now),
            Command::JournalFailed => self.failed = true,
            Command::Told(told) => self.node.told(now, told),
            Command::Apply(apply) => self.node.apply(now, apply),
            Command::Fence(fence) => self.node.fence(now, fence),
            Command::DryRun(weigh) => {
                let weighed = self.node.weigh(now, &weigh);
                if let Some(fleet) = &mut self.fleet {
                    fleet.weighed(weighed);
                }
            }
            Command::Stall(span) => std::thread::sleep(span),
        }
    }
}
