//! Bounds of what a process keeps in memory for its installation.

use crate::asks::rate::Rate;

/// The most clients' requests that wait for the keepers; beyond it the oldest is given up, with an answer.
pub const MAX_OPEN_REQUESTS: usize = 48;
/// The most of them by one client; beyond it the client's own oldest is given up.
pub const MAX_OPEN_REQUESTS_PER_CLIENT: usize = 8;
/// The most queries that wait for the leader; beyond it the oldest is given up, with an answer.
pub const MAX_QUERIES: usize = 32;
/// The most open dry runs, with other members' ones; beyond it the oldest is answered by the results so far.
pub const MAX_DRY_RUNS: usize = 32;
/// The most of them that other members are asked for; beyond it a dry run is answered for this member alone.
pub const MAX_PEER_DRY_RUNS: usize = 4;
/// The most bytes of rules that one dry run sends to all members together; beyond it likewise.
pub const MAX_PEER_DRY_RUN_BYTES: u64 = 4 << 20;
/// The most members that are listed as not heard; their number is reported besides.
pub const MAX_LISTED_SILENT: usize = 32;
/// The most messages that are relayed for one neighbour in a second; beyond it they are dropped and counted.
pub const MAX_RELAYED_PER_SECOND: u32 = 256;
/// The most bytes that are relayed for one neighbour in a second; likewise.
pub const MAX_RELAYED_BYTES_PER_SECOND: usize = 2 << 20;
/// The most fences; one beyond is not set, and is requested again.
pub const MAX_FENCES: usize = 1024;
/// The most clients that nodes report about; reports about others are dropped and counted.
pub const MAX_REPORTED_CLIENTS: usize = heronroute_rules::limits::MAX_CLIENTS;
/// The most challenges that wait for the nodes; only the newest of each client counts.
pub const MAX_CHALLENGES: usize = 16;
/// The most queued proposals of this member for the log.
pub const MAX_PENDING_PROPOSALS: usize = 2 * heronroute_rules::limits::MAX_CLIENTS;
/// The most rounds of outputs through the components for one input; the rest comes with the next input.
pub const MAX_ROUNDS_PER_INPUT: usize = 8;
/// The rate of `rules/check` for one client; beyond it the answer is `busy`, with the time to wait.
pub const CLIENT_CHECK_RATE: Rate = Rate { per_second: 2, burst: 8 };
/// The rate for all clients of a process; likewise. At some 2 ms each, they take a fiftieth of a sender's
/// time at most.
pub const PROCESS_CHECK_RATE: Rate = Rate { per_second: 10, burst: 20 };
/// The most clients whose budget is remembered. Full budgets are forgotten; at [`PROCESS_CHECK_RATE`],
/// at most 40 are not full at a time.
pub const MAX_CHECK_BUDGETS: usize = 128;
/// The rate of dry runs for one other member; beyond it there is no answer, and this member is listed as `not
/// heard`.
pub const MEMBER_DRY_RUN_RATE: Rate = Rate { per_second: 10, burst: 20 };
/// The rate of dry runs for all other members together; likewise.
pub const TOTAL_DRY_RUN_RATE: Rate = Rate { per_second: 20, burst: 40 };
