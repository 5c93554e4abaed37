//! What a message of agreement must be before `omnipaxos` sees it: that library indexes by what messages say and panics
//! on what a correct peer does not send.

use super::item::Item;
use super::state::State;
use super::tuning::MOST_SYNC;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::util::LogSync;

/// The number of the one configuration there is.
pub const CONFIGURATION: u32 = 1;
/// Ballots and places beyond it can't be counted on without overflow.
const MAX_BALLOT: u32 = 1 << 30;
const MAX_INDEX: usize = 1 << 46;

/// What to do with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it over.
    Take,
    /// A correct peer does not send it, or it has come too late to mean anything.
    Drop,
    /// The sender lacks more of the log than agreement may bring.
    Behind,
}

/// Judges a message; cuts from it what is decided here already. `leads`: this keeper leads, and has a majority's promises.
pub fn check(
    message: &mut Message<Item>,
    from: u64,
    own: u64,
    keepers: u64,
    state: &State,
    leads: bool,
) -> Verdict {
    let ballot =
        |b: &Ballot| b.n < MAX_BALLOT && b.priority == 0 && b.pid <= keepers && b.config_id <= CONFIGURATION;
    let owned_by = |b: &Ballot, pid: u64| ballot(b) && b.pid == pid && b.config_id == CONFIGURATION;
    if message.get_sender() != from || message.get_receiver() != own {
        return Verdict::Drop;
    }
    let behind = |decided: usize| {
        let decided = decided as u64;
        decided < state.compacted || state.octets_from(decided) > MOST_SYNC
    };
    let paxos = match message {
        Message::BLE(ble) => {
            let fits = match &ble.msg {
                HeartbeatMsg::Request(_) => true,
                HeartbeatMsg::Reply(r) => owned_by(&r.ballot, from) && ballot(&r.leader),
            };
            return if fits { Verdict::Take } else { Verdict::Drop };
        }
        Message::SequencePaxos(paxos) => paxos,
    };
    let fits = match &mut paxos.msg {
        PaxosMsg::PrepareReq(m) => ballot(&m.n),
        PaxosMsg::Prepare(m) => {
            if !owned_by(&m.n, from) || !ballot(&m.n_accepted) || m.decided_idx > m.accepted_idx {
                return Verdict::Drop;
            }
            // What we would have to send may be trimmed or too much for one message.
            if behind(m.decided_idx) {
                return Verdict::Behind;
            }
            m.accepted_idx < MAX_INDEX
        }
        PaxosMsg::Promise(m) => {
            if !owned_by(&m.n, own) || !ballot(&m.n_accepted) || m.decided_idx > m.accepted_idx {
                return Verdict::Drop;
            }
            if behind(m.decided_idx) {
                return Verdict::Behind;
            }
            if leads {
                // The leader's log is settled, and may have gone beyond what a promise sent again offers.
                m.log_sync = None;
            }
            if !m.log_sync.as_mut().is_none_or(|sync| sync_fits(sync, state)) {
                return Verdict::Drop;
            }
            // What it calls decided it brings, or it is here.
            let brings = m.log_sync.as_ref().map_or(0, |sync| sync.sync_idx + sync.suffix.len());
            m.accepted_idx < MAX_INDEX && (leads || m.decided_idx <= brings.max(state.end() as usize))
        }
        PaxosMsg::AcceptSync(m) => {
            owned_by(&m.n, from)
                && m.seq_num.session < MAX_INDEX as u64
                && m.seq_num.counter < MAX_INDEX as u64
                && sync_fits(&mut m.log_sync, state)
                && m.decided_idx <= m.log_sync.sync_idx + m.log_sync.suffix.len()
        }
        PaxosMsg::AcceptDecide(m) => {
            owned_by(&m.n, from) && m.decided_idx < MAX_INDEX && m.seq_num.counter < MAX_INDEX as u64
        }
        PaxosMsg::Decide(m) => {
            owned_by(&m.n, from) && m.decided_idx < MAX_INDEX && m.seq_num.counter < MAX_INDEX as u64
        }
        PaxosMsg::Accepted(m) => owned_by(&m.n, own) && m.accepted_idx as u64 <= state.end(),
        PaxosMsg::NotAccepted(m) => ballot(&m.n),
        // Not used here: requests go to the leader by their own way, each keeper trims for itself, and which members
        // are keepers does not change.
        PaxosMsg::ProposalForward(_)
        | PaxosMsg::Compaction(_)
        | PaxosMsg::AcceptStopSign(_)
        | PaxosMsg::ForwardStopSign(_) => false,
    };
    if fits { Verdict::Take } else { Verdict::Drop }
}

/// Whether a part of a log can be put on ours. One that begins before what is decided here says the same up to there: that
/// part is left out, so that nothing decided is ever written over.
fn sync_fits(sync: &mut LogSync<Item>, state: &State) -> bool {
    let decided = state.decided as usize;
    if sync.decided_snapshot.is_some() || sync.stopsign.is_some() || sync.sync_idx as u64 > state.end() {
        return false;
    }
    let known = decided.saturating_sub(sync.sync_idx);
    if known > sync.suffix.len() {
        return false;
    }
    sync.suffix.drain(..known);
    sync.sync_idx += known;
    true
}
