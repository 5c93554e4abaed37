//! Bounds on external input. They are the same on every member, since all members have to refuse the same
//! input.

use crate::Micros;

/// The maximum size of a JSON body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of rules of a client, whatever its plan allows.
pub const MAX_RULES: usize = 1_024;
/// The maximum encoded size of a client's rules, in bytes. It is below the 64 KiB of a log entry, to leave
/// room for the rest of the command.
pub const MAX_RULES_BYTES: u64 = 48 * 1024;
/// The maximum length of a rule's name.
pub const MAX_RULE_NAME_CHARS: usize = 32;
/// The maximum length of a class's name.
pub const MAX_CLASS_BYTES: usize = 32;
/// The maximum length of an address prefix.
pub const MAX_ADDRESS_PREFIX_BYTES: usize = 64;
/// The maximum length of a key prefix.
pub const MAX_KEY_PREFIX_BYTES: usize = 128;
/// The longest duration: a year, in microseconds.
pub const MAX_DURATION: Micros = 366 * 24 * 3_600 * 1_000_000;
/// The greatest count or rate.
pub const MAX_COUNT: u64 = 1 << 40;
/// The greatest size that a rule may set.
pub const MAX_SIZE_BYTES: u64 = 1 << 50;
/// The number of findings reported at once; further ones are only counted.
pub const MAX_FINDINGS: usize = 32;
/// The length to which a text is cut when it is quoted back to its sender.
pub const MAX_ECHO_CHARS: usize = 80;

/// The maximum length of a client's or an operator's name, in bytes.
pub const MAX_CLIENT_NAME_BYTES: usize = 64;
/// The maximum length of an operator's reason, in characters.
pub const MAX_REASON_CHARS: usize = 200;
/// The maximum number of classes in a plan.
pub const MAX_PLAN_CLASSES: usize = 64;
/// The maximum number of prefixes in a plan.
pub const MAX_PLAN_PREFIXES: usize = 256;

/// The maximum number of clients in the registry, including dropped ones.
pub const MAX_CLIENTS: usize = 4_096;
/// The number of versions kept for a client, not counting waiting ones.
pub const MAX_VERSIONS: usize = 16;
/// The maximum number of versions of a client that wait for an operator.
pub const MAX_WAITING_VERSIONS: usize = 8;
/// The number of a client's requests that are recognized when they are repeated.
pub const MAX_REMEMBERED_REQUESTS: usize = 64;
/// The maximum number of changes of a client per hour, whatever its plan allows.
pub const MAX_CHANGES_AN_HOUR: usize = 1_000;
/// The maximum size of all clients' rules together, including the versions kept.
pub const MAX_TOTAL_BYTES: u64 = 64 << 20;
/// The number of clients cut to their plans along with one command; the others follow with later commands.
pub const MAX_CUTS_PER_COMMAND: usize = 16;
/// The maximum size of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;

/// Returns the first `most` characters of a text.
pub fn shorten(text: &str, most: usize) -> String {
    text.chars().take(most).collect()
}
