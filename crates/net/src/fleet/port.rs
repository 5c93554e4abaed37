//! The way from the senders' threads to the member's.

use heronroute_fleet::link::Stats;
use heronroute_installation::Client;
use heronroute_rules::seam::{ClientRequest, DryRunResult, Live, Told};
use mio::Waker;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Sender, SyncSender, TrySendError};

/// Words that wait for the member's thread at most.
pub const MOST_WORDS: usize = 4_096;

/// What a member's thread is told from within its process.
#[derive(Debug)]
pub enum Word {
    ClientRequest(ClientRequest),
    Live(Live),
    DryRunResult(DryRunResult),
    /// What the settings say of clients now.
    Clients(BTreeMap<String, Client>),
    /// Counts are wanted.
    Stats(Sender<Stats>),
    Stop,
}

/// A way to the member's thread.
#[derive(Clone, Debug)]
pub struct Port {
    pub(super) words: SyncSender<Word>,
    pub(super) waker: Arc<Waker>,
}

impl Port {
    /// Tells a word; gives it back where there is no room, or nobody to hear it.
    pub(super) fn tell(&self, word: Word) -> Result<(), Word> {
        match self.words.try_send(word) {
            // Where the waker fails, the word is heard at the thread's next turn.
            Ok(()) => _ = self.waker.wake(),
            Err(TrySendError::Full(word) | TrySendError::Disconnected(word)) => return Err(word),
        }
        Ok(())
    }
}

/// One sender's use of it.
#[derive(Debug)]
pub struct SenderPort {
    port: Port,
    /// Reports that found no room, the newest of each client: as many as clients at most.
    late: BTreeMap<String, Live>,
}

impl SenderPort {
    /// Of one sender.
    pub fn new(port: Port) -> Self {
        SenderPort { port, late: BTreeMap::new() }
    }

    /// Brings a client's question to the member. An answer at once where there is no room: it may ask again, and nothing was
    /// begun.
    pub fn ask(&mut self, ask: ClientRequest) -> Option<Told> {
        let Err(Word::ClientRequest(ask)) = self.port.tell(Word::ClientRequest(ask)) else { return None };
        Some(Told { token: ask.token, text: r#"{"state":"busy"}"#.into(), state: "busy" })
    }

    /// Brings what is really applied to the member, now or at a later turn; a newer report takes an older one's place.
    pub fn live(&mut self, live: Live) {
        self.late.insert(live.client.clone(), live);
        self.again();
    }

    /// Brings what was weighed to the member. Where there is no room it is not told: the member waits for it only so long.
    pub fn weighed(&mut self, weighed: DryRunResult) {
        _ = self.port.tell(Word::DryRunResult(weighed));
    }

    /// Tries again what found no room.
    pub fn again(&mut self) {
        while let Some((client, live)) = self.late.pop_first() {
            if let Err(Word::Live(live)) = self.port.tell(Word::Live(live)) {
                self.late.insert(client, live);
                return;
            }
        }
    }
}
