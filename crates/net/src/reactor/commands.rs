//! Commands to a sender's thread, and their handling.

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
    /// A new client, with its protocol and the bytes that it has sent so far.
    Client(Speaks, TcpStream, Vec<u8>),
    /// New settings. The answer names those that need a restart.
    Reload(Arc<Config>, Sender<Vec<&'static str>>),
    /// Shut down.
    Shutdown,
    /// The number of durable entries, and the journal's usage.
    Durable(u64, Usage),
    /// The journal's storage has begun to fail. [`Command::Durable`] follows once it works again.
    JournalFailing,
    /// The journal can't be used any more: end at once and send nothing more. A restart recovers the durable
    /// entries.
    JournalFailed,
    /// The answer of the installation's member to a client request.
    ClientAnswer(Told),
    /// Rules to apply, from the installation's member.
    Apply(Apply),
    /// A fence that the installation's member sets or lifts.
    Fence(Fence),
    /// A dry run of a client's rules, which reports what they would drop.
    DryRun(DryRun),
    /// Block the thread for this time, to simulate a stalled machine in drills.
    Stall(Duration),
}

impl Reactor {
    /// Handles all waiting commands. Shuts down once the queue is closed.
    pub(super) fn handle_commands(&mut self) {
        loop {
            match self.command_queue.try_recv() {
                Ok(command) => self.handle_command(command),
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Disconnected) => {
                    if !self.command_queue_closed {
                        self.command_queue_closed = true;
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
            Command::Client(protocol, stream, bytes) => {
                if let Some(conn) = self.node.accepted(now, protocol, &bytes) {
                    self.register(conn, stream, false);
                }
            }
            Command::Reload(cfg, answer) => {
                _ = answer.send(self.node.reload(now, cfg));
            }
            Command::Shutdown => self.node.leave(now),
            Command::Durable(count, usage) => self.node.durable(now, count, usage),
            Command::JournalFailing => self.node.storage_failed(now),
            Command::JournalFailed => self.journal_failed = true,
            Command::ClientAnswer(told) => self.node.told(now, told),
            Command::Apply(apply) => self.node.apply(now, apply),
            Command::Fence(fence) => self.node.fence(now, fence),
            Command::DryRun(dry_run) => {
                let result = self.node.weigh(now, &dry_run);
                if let Some(member) = &mut self.member {
                    member.report_dry_run(result);
                }
            }
            Command::Stall(span) => std::thread::sleep(span),
        }
    }
}
