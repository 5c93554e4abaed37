//! Bounds of what a process holds for its installation.

use crate::asks::rate::Rate;

/// Requests of clients that wait for the keepers, at most; beyond it the oldest is given up, with an answer.
pub const OPEN: usize = 48;
/// Of one client; beyond it its own oldest is given up.
pub const OPEN_EACH: usize = 8;
/// Questions that wait for the member in charge, at most; the oldest is given up, with an answer.
pub const SOUGHT: usize = 32;
/// Questions of what would be let go that are open, at most, other members' included; the oldest is given up, and answered by
/// what was heard so far.
pub const WEIGHINGS: usize = 32;
/// Of those, the ones that other members are asked of at most; beyond it a question is answered for this member alone.
pub const WEIGHINGS_ABROAD: usize = 4;
/// Octets of rules that one such question sends to all members together, at most; likewise.
pub const WEIGHED_ABROAD: u64 = 4 << 20;
/// Members that are named as not heard, at most; how many there are is said besides.
pub const SILENT: usize = 32;
/// Messages that one member has carried through this one in a second, at most; what is beyond is dropped and counted.
pub const CARRIED: u32 = 256;
/// Octets of them; likewise.
pub const CARRIED_OCTETS: usize = 2 << 20;
/// Clients fenced at most; a fence beyond is not set, and is asked for again.
pub const FENCED: usize = 1024;
/// Clients that nodes tell of at most; what they tell of others is dropped and counted.
pub const LIVE: usize = heronroute_rules::limits::MAX_CLIENTS;
/// Challenges that wait for the nodes at most; the newest of each client counts.
pub const CHALLENGES: usize = 16;
/// What this member wants written to the log, waiting, at most.
pub const ERRANDS: usize = 2 * heronroute_rules::limits::MAX_CLIENTS;
/// Turns of one input through its parts at most; what is left comes with the next.
pub const TURNS: usize = 8;
/// `rules/check` of one client: beyond it the answer is `busy`, with the time after which to come back.
pub const CHECKS_EACH: Rate = Rate { each: 2, burst: 8 };
/// Of all clients of a process; likewise. At some 2 ms each, they take a fiftieth of a sender's time at most.
pub const CHECKS: Rate = Rate { each: 10, burst: 20 };
/// Clients whose budget is known at most. One that is whole is given up; at [`CHECKS`], 40 or fewer never are.
pub const CHECKERS: usize = 128;
/// Weighed for one other member; beyond it nothing is said, and it is among those `not heard`.
pub const WEIGHED_EACH: Rate = Rate { each: 10, burst: 20 };
/// Weighed for all others together; likewise.
pub const WEIGHED: Rate = Rate { each: 20, burst: 40 };
