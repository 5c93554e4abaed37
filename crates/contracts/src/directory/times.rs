//! What holds of each directory's timers.

use super::Catalog;
use super::follower::{Follower, MOST_ACTS};
use crate::ensure;
use heronroute::Status;
use heronroute_engine::Micros;
use heronroute_engine::directory::ConnectionAction;

/// The wait after a connection that could not be made.
fn fails(f: &mut Follower<'_>) -> Result<Micros, String> {
    let connects = (0..MOST_ACTS).any(|_| matches!(f.act(), ConnectionAction::Connect(_)));
    ensure!(connects, "it does not connect: {:?}", f.directory);
    f.end();
    Ok(f.directory.wake() - f.now)
}

pub fn waits(c: &dyn Catalog) -> Result<(), String> {
    let mut f = Follower::new(c);
    let mut waits = Vec::new();
    for _ in 0..20 {
        waits.push(fails(&mut f)?);
    }
    ensure!(waits.iter().all(|w| *w >= 1_000), "it asks again at once: {waits:?}");
    ensure!(waits.is_sorted(), "it asks sooner after a further failure: {waits:?}");
    ensure!(waits[0] < waits[19] && waits[18] == waits[19], "they don't grow to a bound: {waits:?}");
    ensure!(waits[19] <= 60_000_000, "it waits too long: {waits:?}");
    Ok(())
}

pub fn short_again(c: &dyn Catalog) -> Result<(), String> {
    let mut f = Follower::new(c);
    let first = fails(&mut f)?;
    for _ in 0..9 {
        fails(&mut f)?;
    }
    f.connect()?;
    f.hear(&c.list(1, true, &[("a", Status::Up)]));
    f.end();
    let wait = f.directory.wake() - f.now;
    ensure!(wait <= 2 * first, "it waits {wait} us after a success, {first} us in the beginning");
    Ok(())
}

pub fn silence(c: &dyn Catalog) -> Result<(), String> {
    let mut stands = Follower::new(c);
    ensure!(
        matches!(stands.act(), ConnectionAction::Connect(_)),
        "it does not connect: {:?}",
        stands.directory
    );
    let mut asked = Follower::new(c);
    asked.connect()?;
    let told = Follower::told(c, &c.list(1, true, &[("a", Status::Up)]))?;
    for (state, mut f) in [("it connects", stands), ("it has asked", asked), ("it was told a list", told)] {
        let since = f.now;
        let noticed = (0..MOST_ACTS).any(|_| f.act() == ConnectionAction::Drop);
        ensure!(noticed && f.now < since + 600_000_000, "{state}: silence is not noticed in 10 minutes");
        // Whoever drops the connection says so, as after any end.
        f.end();
        f.connect().map_err(|e| format!("{state}: {e}"))?;
    }
    Ok(())
}

pub fn in_time(c: &dyn Catalog) -> Result<(), String> {
    let asked = Follower::told(c, b"")?;
    let told = Follower::told(c, &c.list(1, true, &[("a", Status::Up)]))?;
    for (state, mut f) in [("it has asked", asked), ("it was told a list", told)] {
        for _ in 0..10 {
            let wake = f.directory.wake();
            if wake - 1 > f.now {
                let want = f.directory.tick(wake - 1, &mut f.heard);
                ensure!(want == ConnectionAction::Nothing, "{state}: {want:?} before its time");
                ensure!(f.directory.wake() == wake, "{state}: its time is another now");
            }
            if f.act() == ConnectionAction::Drop {
                f.end();
            }
            ensure!(f.directory.wake() > f.now, "{state}: its time was over and still is");
        }
    }
    Ok(())
}
