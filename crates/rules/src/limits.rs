//! Bounds on what comes from outside. They are the same on every member, as what is refused has to be.

use crate::Micros;

/// Octets of a JSON body at most.
pub const BODY: usize = 64 * 1024;
/// Rules of a client at most, whatever its plan says.
pub const MAX_RULES: usize = 1_024;
/// Octets of a client's rules at most, by [`crate::check::octets`]. Below the 64 KiB of an agreed entry, with room for
/// what stands around them.
pub const SET_OCTETS: u64 = 48 * 1024;
/// Characters of a rule's name.
pub const MAX_RULE_NAME_CHARS: usize = 32;
/// Octets of a class's name.
pub const MAX_CLASS_BYTES: usize = 32;
/// Octets of an address prefix.
pub const MAX_ADDRESS_PREFIX_BYTES: usize = 64;
/// Octets of a key prefix.
pub const MAX_KEY_PREFIX_BYTES: usize = 128;
/// The longest span: a year, in microseconds.
pub const MAX_SPAN: Micros = 366 * 24 * 3_600 * 1_000_000;
/// The greatest count or pace.
pub const MAX_COUNT: u64 = 1 << 40;
/// The greatest size in octets.
pub const MAX_SIZE_BYTES: u64 = 1 << 50;
/// Findings told at once; the rest is counted.
pub const MAX_FINDINGS: usize = 32;
/// Characters of a text that is repeated back to whoever sent it.
pub const MAX_ECHO_CHARS: usize = 80;

/// Octets of a client's or an operator's name.
pub const CLIENT: usize = 64;
/// Characters of an operator's reason.
pub const WHY: usize = 200;
/// Classes of a plan.
pub const MAX_PLAN_CLASSES: usize = 64;
/// Prefixes of a plan.
pub const MAX_PLAN_PREFIXES: usize = 256;

/// Clients in the registry, those dropped included.
pub const CLIENTS: usize = 4_096;
/// Versions of a client that are kept, waiting ones beside.
pub const MAX_VERSIONS: usize = 16;
/// Submitted versions of a client that wait for an operator.
pub const MAX_WAITING_VERSIONS: usize = 8;
/// Requests of a client that are known again.
pub const MAX_REMEMBERED_REQUESTS: usize = 64;
/// Changes of a client in an hour, whatever its plan says.
pub const MAX_CHANGES_AN_HOUR: usize = 1_000;
/// Octets of all clients' rules, kept versions included.
pub const MAX_TOTAL_BYTES: u64 = 64 << 20;
/// Clients cut to their plans by one command; the rest follow with the next.
pub const MAX_CUTS_PER_COMMAND: usize = 16;
/// Octets of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;

/// A text shortened to `most` characters.
pub fn short(text: &str, most: usize) -> String {
    text.chars().take(most).collect()
}
