//! Validates messages of the consensus protocol before `omnipaxos` handles them: the library uses their
//! content as indexes, and panics on messages that a correct peer doesn't send.

use super::item::Item;
use super::state::State;
use super::tuning::MAX_SYNC_BYTES;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::util::LogSync;

/// The number of the only configuration.
pub const CONFIGURATION: u32 = 1;
/// Greater ballots and indexes could overflow.
const MAX_BALLOT: u32 = 1 << 30;
const MAX_INDEX: usize = 1 << 46;

/// What to do with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Take,
    /// Drop it: a correct peer doesn't send it, or it is too late to matter.
    Drop,
    /// The sender lacks more of the log than consensus may carry.
    Behind,
}

/// Validates a message and removes what is already decided here from it. `leads` tells whether this replica
/// leads and has a majority's promises.
pub fn check(
    message: &mut Message<Item>,
    from: u64,
    own: u64,
    replicas: u64,
    state: &State,
    leads: bool,
) -> Verdict {
    let ballot =
        |b: &Ballot| b.n < MAX_BALLOT && b.priority == 0 && b.pid <= replicas && b.config_id <= CONFIGURATION;
    let owned_by = |b: &Ballot, pid: u64| ballot(b) && b.pid == pid && b.config_id == CONFIGURATION;
    if message.get_sender() != from || message.get_receiver() != own {
        return Verdict::Drop;
    }
    let lacks_too_much = |decided: usize| {
        let decided = decided as u64;
        decided < state.compacted || state.octets_from(decided) > MAX_SYNC_BYTES
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
            // What we would have to send may have been trimmed, or be too much for one message.
            if lacks_too_much(m.decided_idx) {
                return Verdict::Behind;
            }
            m.accepted_idx < MAX_INDEX
        }
        PaxosMsg::Promise(m) => {
            if !owned_by(&m.n, own) || !ballot(&m.n_accepted) || m.decided_idx > m.accepted_idx {
                return Verdict::Drop;
            }
            if lacks_too_much(m.decided_idx) {
                return Verdict::Behind;
            }
            if leads {
                // The leader's log is settled, and may be longer than what a repeated promise offers.
                m.log_sync = None;
            }
            if !m.log_sync.as_mut().is_none_or(|sync| sync_fits(sync, state)) {
                return Verdict::Drop;
            }
            // Everything that it reports as decided is in the message or here.
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
        // Not used: requests are sent to the leader separately, each replica trims its own log, and the set
        // of replicas doesn't change.
        PaxosMsg::ProposalForward(_)
        | PaxosMsg::Compaction(_)
        | PaxosMsg::AcceptStopSign(_)
        | PaxosMsg::ForwardStopSign(_) => false,
    };
    if fits { Verdict::Take } else { Verdict::Drop }
}

/// Returns whether a part of a log can be written to ours. A part that begins before the end of the decided
/// log is equal to it up to there; that much is removed, so that nothing decided is ever overwritten.
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
