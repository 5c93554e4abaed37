//! Trails, and messages held for their clients: recording, queries, resubmission, dropping, and recovery
//! after a restart. `heronroute_held` decides; this module carries it out.
//!
//! Guards against a resubmission that takes effect a second time: earlier attempts are passed along (in the
//! journal as an attempt that may have run, to the decision library as `Resumed`), so that after a crash or
//! on a new attempt they count as if the message had never been answered.

mod commands;
mod release;
mod resubmit;
mod store;
mod trail;

use heronroute_held::{MessageRecord, Trail};
use heronroute_seen::digest;

/// The most steps of a trail.
const MAX_TRAIL_STEPS: usize = 64;

/// Builds the stored record of a message, without the message itself.
fn stored_record(client: usize, class: Option<usize>, dest: i64, key: &str, trail: &Trail) -> MessageRecord {
    MessageRecord {
        client: client as u32,
        destination: dest,
        class: class.map_or(u32::MAX, |c| c as u32),
        key: if key.is_empty() { 0 } else { digest(client as u64, &[key.as_bytes()]).max(1) },
        trail: trail.write().into(),
        message: None,
        under_way: false,
        kept: false,
        not_received_at: None,
    }
}
