//! A keeper's disk that was put back, while another keeper is out of reach: what is found out, what is not, and what that costs.

use crate::node::Shelf;
use crate::world::{MS, SECOND, World, fast};
use heronroute_fleet::replicas::log::Log;
use heronroute_fleet::replicas::record::{Record, read, write};
use heronroute_fleet::replicas::{Answer, Participation};
use heronroute_journal::Storage;
use heronroute_journal::dir::Dir;
use heronroute_journal::disk::Disk;
use omnipaxos::ballot_leader_election::Ballot;

/// Three keepers. One is out of reach of the others, or not, while they decide an entry; then one of these has its disk put
/// back from before, and the other goes. Gives back the world, who had its disk put back, and who is left with it.
fn old_disk_beside_one_other(seed: u64, copies_show: bool, cut: bool) -> (World, usize, usize) {
    let mut w = World::new(seed, 3, 0, fast());
    w.copies_show = copies_show;
    w.settle_down(6 * SECOND);
    let gone = w.in_charge().unwrap();
    let (x, left) = ((gone + 1) % 3, (gone + 2) % 3);
    w.run(w.now + SECOND);
    w.back_up(x);
    if cut {
        w.cut_link(left, gone);
        w.cut_link(left, x);
    }
    let asked = w.ask_new(gone, 10);
    w.run(w.now + 500 * MS);
    assert_eq!(w.answers.get(&asked), Some(&Answer::Decided(1)));
    w.kill(gone);
    w.kill(x);
    w.put_back(x);
    w.heal();
    w.start(x);
    w.run(w.now + 6 * SECOND);
    (w, x, left)
}

fn standing(w: &World, i: usize) -> Participation {
    w.nodes[i].member.as_ref().unwrap().standing().clone()
}

fn all_is_there_once_all_are(mut w: World) {
    assert_eq!(w.in_charge(), None, "{}", w.tell());
    w.settle_down(10 * SECOND);
    assert_eq!(w.history.len(), 1, "{}", w.tell());
    w.ask_new(0, 10);
    w.run(w.now + SECOND);
    assert_eq!(w.history.len(), 2);
}

/// The bound: a snapshot of a volume put back, one keeper that heard nothing since it was taken, and the only one that knows
/// more is gone. What the other two had decided alone is lost: the place has another content then.
#[test]
#[should_panic(expected = "two contents at 1")]
fn a_snapshot_put_back_beside_one_that_was_cut_off_loses_what_the_other_two_decided() {
    let (mut w, _, left) = old_disk_beside_one_other(1, false, true);
    w.ask_new(left, 20);
    w.run(w.now + 2 * SECOND);
}

/// The same where the one that is left has heard of it while it was decided: it is found out, and nothing is decided
/// until the third is back.
#[test]
fn a_snapshot_put_back_beside_one_that_saw_more_of_it_is_found_out() {
    for seed in 0..3 {
        let (w, x, _) = old_disk_beside_one_other(seed, false, false);
        assert_eq!(standing(&w, x), Participation::Amnesiac, "seed {seed}: {}", w.tell());
        all_is_there_once_all_are(w);
    }
}

/// A folder that was copied back is not the files that were written: it waits for all others, or to be let in.
#[test]
fn a_copy_put_back_does_not_vote_beside_one_that_was_cut_off() {
    for seed in 0..3 {
        let (w, x, _) = old_disk_beside_one_other(seed, true, true);
        assert_eq!(standing(&w, x), Participation::Starting, "seed {seed}: {}", w.tell());
        all_is_there_once_all_are(w);
    }
}

/// Five keepers, and one is out for good: the other three let it in without.
#[test]
fn a_copy_among_five_is_let_in_again_though_one_is_out_for_good() {
    let mut w = World::new(4, 5, 0, fast());
    w.copies_show = true;
    w.settle_down(6 * SECOND);
    let leader = w.in_charge().unwrap();
    let (x, out) = ((leader + 1) % 5, (leader + 2) % 5);
    w.ask_new(leader, 10);
    w.run(w.now + SECOND);
    w.kill(out);
    w.kill(x);
    // As new as it was: nobody can tell that it is, while one is out.
    w.back_up(x);
    w.put_back(x);
    w.start(x);
    w.run(w.now + 8 * SECOND);
    assert!(w.nodes[x].voting(), "{}", w.tell());
    // Its file is its own again: it starts with one out as any other does.
    w.kill(x);
    w.start(x);
    w.run(w.now + 4 * SECOND);
    assert!(w.nodes[x].voting(), "{}", w.tell());
}

/// Once all have told what they saw of it, it is its own file again, and starts beside one other as any does.
#[test]
fn a_copy_that_was_heard_of_is_believed_from_then_on() {
    let mut w = World::new(6, 3, 0, fast());
    w.settle_down(6 * SECOND);
    let leader = w.in_charge().unwrap();
    let (x, other) = ((leader + 1) % 3, (leader + 2) % 3);
    w.kill(x);
    w.nodes[x].shelf.number += 1;
    w.settle_down(6 * SECOND);
    w.ask_new(leader, 10);
    w.run(w.now + SECOND);
    w.kill(x);
    w.kill(other);
    w.start(x);
    w.run(w.now + 4 * SECOND);
    assert!(w.nodes[x].voting(), "{}", w.tell());
}

/// A whole installation moved, or put back: all doubt, all hear each other, all vote.
#[test]
fn copies_at_all_keepers_go_on() {
    let mut w = World::new(5, 3, 1, fast());
    w.copies_show = true;
    w.settle_down(6 * SECOND);
    w.ask_new(0, 10);
    w.run(w.now + SECOND);
    for i in 0..3 {
        w.kill(i);
        w.nodes[i].shelf.number += 1;
    }
    w.start(0);
    // Longer than one waits for the others.
    w.run(w.now + 5 * SECOND);
    w.start(1);
    w.run(w.now + 5 * SECOND);
    assert_eq!(w.in_charge(), None);
    w.settle_down(8 * SECOND);
    assert_eq!(w.history.len(), 1);
}

/// What a file system says of a file: renamed it is the same, copied it is another.
#[test]
fn a_copied_file_is_known_for_one() {
    let at = std::env::temp_dir().join(format!("heronroute-copied-{}", std::process::id()));
    let other = at.with_extension("other");
    let open = || Log::open(Dir::open(&at).unwrap(), 7, 1, 3).unwrap();
    let promise = |log: &mut Log<Dir>, n| {
        log.write(Record::Promise(Ballot::with(1, n, 0, 1)));
        assert!(log.commit());
    };
    let mut log = open();
    promise(&mut log, 1);
    promise(&mut log, 2);
    drop(log);
    assert!(!open().copied(), "as it was written");
    std::fs::rename(at.join("agreed"), &other).unwrap();
    std::fs::rename(&other, at.join("agreed")).unwrap();
    assert!(!open().copied(), "renamed");
    std::fs::copy(at.join("agreed"), &other).unwrap();
    std::fs::remove_file(at.join("agreed")).unwrap();
    std::fs::copy(&other, at.join("agreed")).unwrap();
    let mut log = open();
    assert!(log.copied());
    promise(&mut log, 3);
    drop(log);
    let mut log = open();
    assert!(log.copied(), "it stays one");
    log.settle();
    promise(&mut log, 4);
    drop(log);
    assert!(!open().copied(), "until it is written anew");
    std::fs::remove_dir_all(&at).unwrap();
    std::fs::remove_file(&other).unwrap();
}

/// What a keeper's log says is another thing from now on, in frames that are whole.
fn alter(w: &mut World, i: usize) {
    w.kill(i);
    let shelf = w.nodes[i].shelf.clone();
    let (bytes, mut out, mut times) = (shelf.read("agreed").unwrap(), Vec::new(), 0);
    let mut rest = &bytes[..];
    while let Some((number, payload, after)) = read(rest) {
        let mut payload = payload.to_vec();
        // Bodies of entries, as `World::ask_new` makes them.
        let bodies: Vec<usize> =
            payload.windows(9).enumerate().filter(|(_, w)| *w == [1; 9]).map(|(at, _)| at).collect();
        times += bodies.len();
        bodies.into_iter().for_each(|at| payload[at] = 9);
        write(number, &payload, &mut out);
        rest = after;
    }
    assert!(times > 0);
    let mut disk = Disk::default();
    disk.create("agreed").unwrap();
    disk.append("agreed", &out).unwrap();
    disk.sync("agreed").unwrap();
    disk.sync_names().unwrap();
    w.nodes[i].shelf = Shelf::of(disk, shelf.number);
}

/// Three keepers and a learner; an entry is decided, and then the log of one of them altered. Who it was.
fn altered(seed: u64) -> (World, usize, usize) {
    let mut w = World::new(seed, 3, 1, fast());
    w.settle_down(6 * SECOND);
    let leader = w.in_charge().unwrap();
    let x = if seed.is_multiple_of(2) { leader } else { (leader + 1) % 3 };
    w.ask_new(leader, 10);
    w.run(w.now + SECOND);
    assert!(w.calm());
    alter(&mut w, x);
    (w, x, leader)
}

/// As [`World::start`] has it; what it delivers from its disk before it has heard anybody is not held against the history.
fn start_altered(w: &mut World, x: usize) {
    let (now, peers) = (w.now, w.peers.clone());
    w.nodes[x].start(now, &peers, 77, fast()).unwrap();
    w.nodes[x].settle(now);
    assert_eq!(w.nodes[x].applied.len(), 1, "it shows what it has, as not certain");
    assert_ne!(w.nodes[x].applied, w.history);
    w.wind(x);
}

/// Beside two that have another log it is found out at the first word of them, before it votes, tells it on or says that
/// anything is certain; it learns anew, is let in again, and nobody has heard what its file said.
#[test]
fn a_log_altered_in_whole_frames_is_given_up_and_learnt_anew() {
    for seed in 0..4 {
        let (mut w, x, _) = altered(seed);
        w.run(w.now + 2 * SECOND);
        start_altered(&mut w, x);
        let clock = |w: &World| w.nodes[x].clock(w.now);
        let member = |w: &World| w.nodes[x].member.as_ref().unwrap().majority(clock(w));
        let mut given_up = false;
        for _ in 0..100 {
            w.run(w.now + 10 * MS);
            given_up |= standing(&w, x) == Participation::Altered;
            let says_so = w.nodes[x].applied != w.history && w.nodes[x].voting();
            assert!(!says_so && (given_up || !member(&w)), "seed {seed}: {}", w.tell());
        }
        assert!(given_up, "seed {seed}: {}", w.tell());
        w.settle_down(10 * SECOND);
        assert_eq!(w.history.len(), 1);
        w.ask_new(x, 10);
        w.run(w.now + SECOND);
        assert_eq!(w.history.len(), 2);
        // Its file is whole again: it comes back as any other.
        w.kill(x);
        w.start(x);
        w.run(w.now + SECOND);
        assert!(w.nodes[x].voting(), "{}", w.tell());
    }
}

/// Beside one other nobody can tell whose log was altered: neither votes, and nothing is told on, until the third is back.
#[test]
fn two_logs_that_differ_wait_for_the_third() {
    let (mut w, x, _) = altered(2);
    let (out, other) = ((x + 1) % 3, (x + 2) % 3);
    w.kill(out);
    w.kill(other);
    w.kill(3);
    w.start(3);
    w.start(other);
    start_altered(&mut w, x);
    w.run(w.now + 8 * SECOND);
    assert!(!w.nodes[x].voting() && !w.nodes[other].voting(), "{}", w.tell());
    assert!(w.nodes[3].applied.is_empty(), "{}", w.tell());
    assert!(w.nodes[other].member.as_ref().unwrap().counts().differ > 0);
    w.settle_down(10 * SECOND);
    assert_eq!(w.history.len(), 1);
}

/// A learner has more than the keepers that are there: one of them has forgotten it, and it is found out though the keeper that
/// was out of reach knows nothing of it.
#[test]
fn a_snapshot_put_back_is_found_out_by_what_a_learner_has() {
    for learner in [true, false] {
        let mut w = World::new(1, 3, 1, fast());
        w.settle_down(6 * SECOND);
        let gone = w.in_charge().unwrap();
        let (x, left) = ((gone + 1) % 3, (gone + 2) % 3);
        w.run(w.now + SECOND);
        w.back_up(x);
        w.cut_link(left, gone);
        w.cut_link(left, x);
        w.cut_link(left, 3);
        w.ask_new(gone, 10);
        w.run(w.now + SECOND);
        assert_eq!(w.nodes[3].applied.len(), 1);
        w.kill(gone);
        w.kill(x);
        w.put_back(x);
        w.heal();
        if !learner {
            w.kill(3);
        }
        w.start(x);
        w.run(w.now + 6 * SECOND);
        assert_eq!(w.nodes[x].voting(), !learner, "{}", w.tell());
        if learner {
            all_is_there_once_all_are(w);
        }
    }
}
