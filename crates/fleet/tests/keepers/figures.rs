//! Figures, printed: `HERONROUTE_LONG=1 cargo test --release -p heronroute-fleet --test keepers figures -- --nocapture`.

use crate::world::{MS, SECOND, World, fast};
use std::time::Instant;

#[test]
fn octets_at_rest_and_entries_a_second() {
    let count = if std::env::var("HERONROUTE_LONG").is_ok() { 2_000 } else { 200 };
    let mut w = World::new(1, 3, 2, fast());
    w.settle_down(6 * SECOND);
    w.ask_new(0, 10);
    w.run(w.now + SECOND);
    let before = w.bytes;
    w.run(w.now + 20 * SECOND);
    println!("3 keepers, 2 others at rest: {} octets a second, all together", (w.bytes - before) / 20);
    let begun = Instant::now();
    for n in 0..count {
        w.ask_new(n % 3, 1_000);
        if n % 50 == 49 {
            w.run(w.now + 100 * MS);
        }
    }
    w.run(w.now + SECOND);
    assert!(w.history.len() > count / 2, "{}", w.tell());
    let each = begun.elapsed().as_secs_f64() / w.history.len() as f64;
    println!(
        "{} entries of 1,000 octets decided at five members on one core, {:.0} a second",
        w.history.len(),
        1.0 / each
    );
}
