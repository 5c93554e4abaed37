//! Trails, and messages held for their clients: recorded, asked about, submitted again, dropped, taken up after a
//! restart. `heronroute_held` decides; here it is carried out.
//!
//! Guards against a second effect by a hand-in: what went before it goes along (in the journal as an attempt that may
//! have run, to the decision library as `Resumed`), so that a crash or a new attempt finds it as if it had never been
//! answered.

mod again;
mod asked;
mod file;
mod release;
mod trail;

use heronroute_held::{Filed, Trail};
use heronroute_seen::digest;

/// Steps of a trail at most.
const STEPS: usize = 64;

/// What is filed of a message, without the message itself.
fn filed(client: usize, class: Option<usize>, dest: i64, key: &str, trail: &Trail) -> Filed {
    Filed {
        client: client as u32,
        destination: dest,
        class: class.map_or(u32::MAX, |c| c as u32),
        key: if key.is_empty() { 0 } else { digest(client as u64, &[key.as_bytes()]).max(1) },
        trail: trail.write().into(),
        message: None,
        under_way: false,
        kept: false,
        not_seen: None,
    }
}
