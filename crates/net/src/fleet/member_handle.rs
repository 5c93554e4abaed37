//! Passes commands from the senders' threads to the member's thread.

use heronroute_fleet::link::Stats;
use heronroute_installation::Client;
use heronroute_rules::seam::{ClientRequest, DryRunResult, Live, Told};
use mio::Waker;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Sender, SyncSender, TrySendError};

/// The maximum number of commands that wait for the member's thread.
pub const MAX_QUEUED_COMMANDS: usize = 4_096;

/// A command from within the process to the member's thread.
#[derive(Debug)]
pub enum MemberCommand {
    /// A client's request.
    ClientRequest(ClientRequest),
    /// A sender's report of the rules that it applies.
    Live(Live),
    /// A sender's result of a dry run.
    DryRunResult(DryRunResult),
    /// The clients of the reloaded settings.
    Clients(BTreeMap<String, Client>),
    /// Send the link counts to this channel.
    Stats(Sender<Stats>),
    /// End the thread.
    Stop,
}

/// A handle to the member's thread: its bounded command queue, and its waker.
#[derive(Clone, Debug)]
pub struct MemberHandle {
    pub(super) commands: SyncSender<MemberCommand>,
    pub(super) waker: Arc<Waker>,
}

impl MemberHandle {
    /// Sends a command without blocking. Returns it as the error if the queue is full or the thread has
    /// ended.
    pub(super) fn try_send(&self, command: MemberCommand) -> Result<(), MemberCommand> {
        match self.commands.try_send(command) {
            // If the waker fails, the command is handled in the thread's next turn.
            Ok(()) => _ = self.waker.wake(),
            Err(TrySendError::Full(command) | TrySendError::Disconnected(command)) => return Err(command),
        }
        Ok(())
    }
}

/// One sender's connection to the member's thread, which retries the sender's reports.
#[derive(Debug)]
pub struct SenderMemberHandle {
    handle: MemberHandle,
    /// Reports that found no room in the queue. Only the newest of each client is kept, which bounds their
    /// number.
    unsent_reports: BTreeMap<String, Live>,
}

impl SenderMemberHandle {
    /// Creates the connection of one sender.
    pub fn new(handle: MemberHandle) -> Self {
        SenderMemberHandle { handle, unsent_reports: BTreeMap::new() }
    }

    /// Sends a client's request to the member. If there is no room, returns the answer `busy` at once:
    /// nothing was begun, and the client may repeat the request.
    pub fn submit_request(&mut self, request: ClientRequest) -> Option<Told> {
        let Err(MemberCommand::ClientRequest(request)) =
            self.handle.try_send(MemberCommand::ClientRequest(request))
        else {
            return None;
        };
        Some(Told { token: request.token, text: r#"{"state":"busy"}"#.into(), state: "busy" })
    }

    /// Reports the rules that the sender applies, now or in a later turn. A newer report of a client replaces
    /// an older one.
    pub fn report_live(&mut self, live: Live) {
        self.unsent_reports.insert(live.client.clone(), live);
        self.retry_reports();
    }

    /// Reports the result of a dry run. It is dropped if there is no room: the member waits for it only for a
    /// limited time.
    pub fn report_dry_run(&mut self, result: DryRunResult) {
        _ = self.handle.try_send(MemberCommand::DryRunResult(result));
    }

    /// Sends the reports that found no room before.
    pub fn retry_reports(&mut self) {
        while let Some((client, live)) = self.unsent_reports.pop_first() {
            if let Err(MemberCommand::Live(live)) = self.handle.try_send(MemberCommand::Live(live)) {
                self.unsent_reports.insert(client, live);
                return;
            }
        }
    }
}
