//! What holds of each directory.

use super::follower::Follower;
use super::{Catalog, HERE, THERE, times};
use crate::ensure;
use crate::random::SeededRandom;
use crate::suite::{Clause, done};
use heronroute::Status;
use heronroute_config::parse_listing;
use heronroute_engine::directory::ConnectionAction;

/// The clauses.
pub const CLAUSES: &[Clause<dyn Catalog>] = &[
    Clause { name: "it connects at once to where it was told, and asks", run: connects },
    Clause { name: "lists are handed on once each and in order", run: lists },
    Clause { name: "lists in any split are the same", run: split },
    Clause { name: "it goes on asking behind the version at hand", run: behind },
    Clause { name: "a list that can't be read is none, and it asks again", run: broken },
    Clause { name: "a directory that moved is sought there", run: moved },
    Clause { name: "what is kept for the next start is the list at hand", run: kept },
    Clause { name: "no octets make it panic", run: noise },
    Clause { name: "failures are waited out, longer each time, up to a bound", run: times::waits },
    Clause { name: "a success makes the next wait short again", run: times::short_again },
    Clause { name: "silence is noticed", run: times::silence },
    Clause { name: "nothing happens before its time, and acting on time moves it on", run: times::in_time },
];

fn connects(c: &dyn Catalog) -> Result<(), String> {
    let mut f = Follower::new(c);
    let want = f.directory.tick(f.now, &mut f.heard);
    ensure!(want == ConnectionAction::Connect(HERE), "{want:?}");
    ensure!(f.stream.out.is_empty(), "it speaks before it is connected");
    f.directory.connected(f.now, &mut f.stream);
    ensure!(f.said().starts_with("GET "), "it says {:?}", f.said());
    Ok(())
}

/// A whole list, nothing, and two changes.
fn story(c: &dyn Catalog) -> Vec<u8> {
    let changes: [&[(&str, Status)]; 2] = [
        &[("a", Status::Draining), ("c", Status::Up)],
        // Changes may name one several times, in their order.
        &[("c", Status::Draining), ("c", Status::Removed), ("a", Status::Up)],
    ];
    [
        c.list(1, true, &[("a", Status::Up), ("b", Status::Draining)]),
        c.nothing(),
        c.list(2, false, changes[0]),
        c.list(4, false, changes[1]),
    ]
    .concat()
}

fn lists(c: &dyn Catalog) -> Result<(), String> {
    let f = Follower::told(c, &story(c))?;
    let heads: Vec<(u64, bool)> = f.lists().iter().map(|l| (l.version, l.whole)).collect();
    ensure!(heads == [(1, true), (2, false), (4, false)], "{:?}", f.heard);
    let rows = |n: usize| -> Vec<(&str, Status)> {
        f.lists()[n].endpoints.iter().map(|e| (e.name.as_str(), e.status)).collect()
    };
    ensure!(rows(0) == [("a", Status::Up), ("b", Status::Draining)], "{:?}", rows(0));
    ensure!(rows(1) == [("a", Status::Draining), ("c", Status::Up)], "{:?}", rows(1));
    let last = [("c", Status::Draining), ("c", Status::Removed), ("a", Status::Up)];
    ensure!(rows(2) == last, "{:?}", rows(2));
    Ok(())
}

fn split(c: &dyn Catalog) -> Result<(), String> {
    let (octets, whole) = (story(c), Follower::told(c, &story(c))?);
    for seed in 0..16 {
        let most = [1, 3, 20, 200][seed as usize % 4];
        let mut f = Follower::told(c, b"")?;
        for piece in SeededRandom::new(seed).pieces(&octets, most) {
            f.hear(piece);
        }
        ensure!(
            f.heard == whole.heard,
            "pieces of up to {most}: {:?}\ninstead of {:?}",
            f.heard,
            whole.heard
        );
        ensure!(f.stream.out == whole.stream.out, "pieces of up to {most}: it says {:?}", f.said());
    }
    Ok(())
}

fn behind(c: &dyn Catalog) -> Result<(), String> {
    let mut f = Follower::told(c, &c.list(5, true, &[("a", Status::Up)]))?;
    for _ in 0..2 {
        f.end();
        f.connect()?;
        ensure!(f.said().contains("since=5"), "it asks {:?}", f.said());
    }
    f.hear(&c.list(6, true, &[("b", Status::Up)]));
    f.end();
    f.connect()?;
    ensure!(f.said().contains("since=6"), "it asks {:?}", f.said());
    Ok(())
}

fn broken(c: &dyn Catalog) -> Result<(), String> {
    for octets in c.broken() {
        let mut f = Follower::told(c, &c.list(5, true, &[("a", Status::Up)]))?;
        let before = f.directory.text();
        let goes_on = f.hear(&octets);
        ensure!(f.directory.text() == before, "the list at hand is another: {:?}", f.directory.text());
        let text = String::from_utf8_lossy(&octets).into_owned();
        ensure!(f.lists().len() == 1, "{text:?}: {:?}", f.heard);
        ensure!(!goes_on, "{text:?}: the connection goes on");
        f.connect()?;
        f.hear(&c.list(6, true, &[("b", Status::Up)]));
        ensure!(f.lists().last().is_some_and(|l| l.version == 6), "{text:?}: the next list: {:?}", f.heard);
    }
    Ok(())
}

fn moved(c: &dyn Catalog) -> Result<(), String> {
    let mut f = Follower::told(c, &c.list(5, true, &[("a", Status::Up)]))?;
    f.directory.moved(f.now, THERE);
    let want = f.directory.tick(f.now, &mut f.heard);
    ensure!(want == ConnectionAction::Connect(THERE), "{want:?}");
    Ok(())
}

fn kept(c: &dyn Catalog) -> Result<(), String> {
    let mut f = Follower::told(c, &story(c))?;
    let Some(text) = f.directory.text() else { return Ok(()) };
    let list = done("what is kept", parse_listing("kept", &text))?;
    let rows: Vec<(&str, Status)> = list.endpoints.iter().map(|e| (e.name.as_str(), e.status)).collect();
    ensure!(rows == [("a", Status::Up), ("b", Status::Draining)], "{text}");
    ensure!(list.whole, "it is no whole list: {text}");
    // A whole list names all that there is.
    f.hear(&c.list(9, true, &[("d", Status::Up)]));
    let list = done("what is kept", parse_listing("kept", &f.directory.text().unwrap_or_default()))?;
    ensure!(list.endpoints.len() == 1 && list.endpoints[0].name == "d", "{list:?}");
    Ok(())
}

fn noise(c: &dyn Catalog) -> Result<(), String> {
    let good = [c.head(), story(c)].concat();
    for seed in 0..300 {
        let mut random = SeededRandom::new(seed);
        let octets = match seed % 4 {
            0 => {
                let length = random.below(300);
                random.octets(length)
            }
            _ => random.spoil(&good),
        };
        let mut f = Follower::told(c, b"")?;
        for piece in random.pieces(&octets, 80) {
            if !f.hear(piece) {
                f.connect()?;
            }
        }
    }
    Ok(())
}
