//! Who says something counts before what is said: lives, numbers, marks; and what a keeper that lost its disk needs before it
//! votes again. One keeper, and others played by the test.

use crate::liars::Stage;
use crate::node::Shelf;
use crate::world::{MS, fast};
use heronroute_fleet::replicas::item::Item;
use heronroute_fleet::replicas::log::Log;
use heronroute_fleet::replicas::record::Mark;
use heronroute_fleet::replicas::state::State;
use heronroute_fleet::replicas::wire::{Head, LogMessage, LogPosition, LogStatus, ReplicaMessage};
use heronroute_fleet::replicas::{Counts, Lane, Participation, Tuning};
use heronroute_fleet::{Life, Name, Start, Term};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::*;

/// Three keepers; it has told its group, and keepers 2 and 3 are known.
pub fn stage() -> Stage {
    let mut stage = Stage::new(3);
    stage.hears();
    (2..4).for_each(|pid| stage.says(pid, ReplicaMessage::Hello(LogPosition::default())));
    stage.hears();
    assert_eq!(*stage.m.standing(), Participation::Voting);
    stage
}

/// What was counted for a message with this head.
fn counted(stage: &mut Stage, said: ReplicaMessage, alter: impl FnOnce(&mut Head)) -> Counts {
    let before = stage.m.counts();
    stage.says_as(2, said, alter);
    let after = stage.m.counts();
    Counts {
        foreign: after.foreign - before.foreign,
        refused: after.refused - before.refused,
        late: after.late - before.late,
        stale: after.stale - before.stale,
        gaps: after.gaps - before.gaps,
        undecodable: after.undecodable - before.undecodable,
        differ: after.differ - before.differ,
    }
}

fn hellos(stage: &mut Stage) -> usize {
    stage.hears().iter().filter(|(to, _, said)| *to == 2 && matches!(said, ReplicaMessage::Hello(_))).count()
}

#[test]
fn another_group_and_heads_that_can_not_be() {
    let mut s = stage();
    let foreign = Counts { foreign: 1, ..Counts::default() };
    let refused = Counts { refused: 1, ..Counts::default() };
    assert_eq!(counted(&mut s, ReplicaMessage::Hello(LogPosition::default()), |h| h.group ^= 1), foreign);
    assert_eq!(
        counted(&mut s, ReplicaMessage::Hello(LogPosition::default()), |h| h.seen.truncate(2)),
        foreign
    );
    assert_eq!(
        counted(&mut s, ReplicaMessage::Hello(LogPosition::default()), |h| h.epochs.truncate(2)),
        foreign
    );
    assert_eq!(counted(&mut s, ReplicaMessage::Hello(LogPosition::default()), |h| h.nonce = 0), refused);
    assert_eq!(counted(&mut s, ReplicaMessage::Hello(LogPosition::default()), |h| h.sent = -1), refused);
    let before = s.m.counts().refused;
    s.says(1, ReplicaMessage::Hello(LogPosition::default()));
    assert_eq!(s.m.counts().refused, before + 1, "in its own name");
    assert_eq!(
        counted(&mut s, ReplicaMessage::Hello(LogPosition::default()), |_| {}),
        Counts { gaps: 1, ..Counts::default() },
        "numbers went on"
    );
    assert_eq!(counted(&mut s, ReplicaMessage::Hello(LogPosition::default()), |_| {}), Counts::default());
}

/// What was said twice has its effect once; what is missing is asked for; a new life is told where this one stands.
#[test]
fn once_in_order_and_from_the_life_that_lives() {
    let mut s = stage();
    s.says(2, ReplicaMessage::Gap);
    assert_eq!(hellos(&mut s), 1, "a link that is begun again");
    assert_eq!(
        counted(&mut s, ReplicaMessage::Gap, |h| h.number -= 1),
        Counts { late: 1, ..Counts::default() }
    );
    assert_eq!(hellos(&mut s), 0, "it was heard before");
    s.numbers[1] += 5;
    s.says(2, ReplicaMessage::Hello(LogPosition::default()));
    let said = s.hears();
    assert!(said.iter().any(|(to, _, said)| *to == 2 && matches!(said, ReplicaMessage::Gap)), "{said:?}");
    let begun =
        |(to, _, said): &(u64, Head, ReplicaMessage)| *to == 2 && matches!(said, ReplicaMessage::Hello(_));
    assert!(said.iter().any(begun), "what is missing may have been what this one waits for: {said:?}");
    let life = |h: &mut Head| (h.nonce, h.start) = (9, Start(2));
    s.says_as(2, ReplicaMessage::Hello(LogPosition::default()), life);
    assert_eq!(hellos(&mut s), 1, "a new life");
    // Its disk knows less than was heard from it: only that is said.
    let stale = |h: &mut Head| (h.nonce, h.start, h.opened) = (10, Start(3), Mark { epoch: 0, writes: 4 });
    assert_eq!(counted(&mut s, ReplicaMessage::Behind(100), stale), Counts { stale: 1, ..Counts::default() });
    assert_eq!(hellos(&mut s), 1);
    assert_eq!(*s.m.standing(), Participation::Voting, "what it says beside does not count");
}

/// A message of agreement or of the lease is for one life, by one that votes.
#[test]
fn what_binds_is_for_this_life_and_from_one_that_votes() {
    let mut s = stage();
    let n = Ballot::with(1, 1, 0, 2);
    let refused = Counts { refused: 1, ..Counts::default() };
    let paxos = |n| {
        let msg = PaxosMsg::PrepareReq(PrepareReq { n });
        ReplicaMessage::Paxos(Message::SequencePaxos(PaxosMessage { from: 2, to: 1, msg }))
    };
    let all = || {
        let admit = ReplicaMessage::Admit { nonce: 7, slot: 0, ballot: n };
        [
            paxos(n),
            ReplicaMessage::Renew { term: Term(1), sent: 0, held: true },
            ReplicaMessage::Grant { term: Term(1), sent: 0 },
            admit,
        ]
    };
    for said in all() {
        assert_eq!(counted(&mut s, said, |h| h.to ^= 2), refused);
    }
    for said in all() {
        assert_eq!(counted(&mut s, said, |h| h.voting = false), refused);
    }
    assert_eq!(counted(&mut s, paxos(n), |_| {}), Counts::default());
    let other = s.m.nonce() ^ 2;
    assert_eq!(counted(&mut s, ReplicaMessage::Admit { nonce: other, slot: 0, ballot: n }, |_| {}), refused);
    // Asked to stay in charge by one that it does not follow, it grants nothing, also once it grants at all.
    for _ in 0..40 {
        s.says(2, ReplicaMessage::Renew { term: Term(1 << 8 | 2), sent: s.now, held: true });
        let granted =
            |(_, _, said): &(u64, Head, ReplicaMessage)| matches!(said, ReplicaMessage::Grant { .. });
        assert!(!s.hears().iter().any(granted));
    }
}

#[test]
fn one_that_lacks_nothing_goes_on_agreeing_whoever_says_otherwise() {
    let mut s = stage();
    s.says(2, ReplicaMessage::Behind(0));
    s.hears();
    assert_eq!(*s.m.standing(), Participation::Voting);
    s.says(2, ReplicaMessage::Behind(1));
    s.hears();
    assert_eq!(*s.m.standing(), Participation::CatchingUp);
}

const LED: Ballot = Ballot { config_id: 1, n: 5, priority: 0, pid: 2 };

/// What stands on its disk.
fn on_disk(s: &Stage) -> State {
    Log::open(s.shelf.clone(), s.group, 1, 3).unwrap().state().clone()
}

fn charge(n: u64) -> Item {
    Item::Leadership { term: Term(n), life: Life { name: Name::new("m1").unwrap(), start: Start(1) } }
}

/// Keeper 1 with an empty disk, where the others have seen it vote before. `readmit`: what the decided log, learnt from keeper 2,
/// says in its second slot.
fn emptied(readmit: impl FnOnce(u64) -> Item) -> Stage {
    let mut s = Stage::on(Shelf::default(), 3, Tuning { startup_wait: 100 * MS, ..fast() });
    s.mark = Mark { epoch: 0, writes: 9 };
    s.hears();
    s.hears();
    (2..4).for_each(|pid| s.says(pid, ReplicaMessage::Hello(LogPosition::default())));
    (0..4).for_each(|_| _ = s.hears());
    assert_eq!(*s.m.standing(), Participation::Amnesiac);
    let items = vec![charge(1), readmit(s.m.nonce()), charge(2)];
    let tip = LogStatus { decided: 3, majority: true, bypassed: false, ballot: None, echo: 0 };
    let bytes = postcard::to_stdvec(&(s.group, LogMessage::Items { from: 0, items, tip })).unwrap();
    let name = s.peers[1].name.clone();
    s.m.handle(s.now, &name, Lane::Log, &bytes);
    s.hears();
    assert_eq!(on_disk(&s).decided, 3);
    s
}

fn admit(s: &mut Stage, slot: u64, ballot: Ballot) -> bool {
    let nonce = s.m.nonce();
    s.says(2, ReplicaMessage::Admit { nonce, slot, ballot });
    (0..3).for_each(|_| _ = s.hears());
    on_disk(s).voting
}

/// Let in again, it follows nothing below the leader's ballot, claims to have taken nothing that anybody led, and counts its
/// marks above all that it ever said.
#[test]
fn a_keeper_let_in_again_follows_the_leader_s_ballot_and_claims_nothing() {
    let mut s = emptied(|nonce| Item::Readmit { pid: 1, nonce });
    assert!(!on_disk(&s).voting && on_disk(&s).promise.is_none());
    assert!(admit(&mut s, 1, LED));
    let state = on_disk(&s);
    assert_eq!((state.promise, state.accepted.map(|b| b.n), state.epoch), (Some(LED), Some(0), 2));
    assert!(state.mark() > s.mark, "no message of the life that was lost counts for more");
    let opened = s.hears().iter().map(|(_, head, _)| head.opened.epoch).min();
    assert_eq!(opened, Some(2), "else the others would take it for a life that forgot what it promised");
    // Asked to follow less, it does not.
    let lesser = Ballot { n: 4, ..LED };
    let prepare = Prepare { n: lesser, decided_idx: 3, n_accepted: lesser, accepted_idx: 3 };
    s.paxos(2, PaxosMsg::Prepare(prepare));
    s.hears();
    assert_eq!(on_disk(&s).promise, Some(LED));
}

/// An admission counts once: where the disk turns out to be an old one after it, only another one lets the keeper in.
#[test]
fn an_admission_is_used_up() {
    let mut s = emptied(|nonce| Item::Readmit { pid: 1, nonce });
    assert!(admit(&mut s, 1, LED));
    s.mark = Mark { epoch: 2, writes: 1000 };
    s.says(3, ReplicaMessage::Hello(LogPosition::default()));
    for _ in 0..10 {
        s.hears();
        assert!(!on_disk(&s).voting);
    }
}

#[test]
fn what_does_not_let_a_keeper_in_again() {
    let ours = |nonce| Item::Readmit { pid: 1, nonce };
    assert!(
        !admit(&mut emptied(|nonce| Item::Readmit { pid: 1, nonce: nonce ^ 2 }), 1, LED),
        "another life of it"
    );
    assert!(!admit(&mut emptied(|nonce| Item::Readmit { pid: 3, nonce }), 1, LED), "another keeper");
    assert!(!admit(&mut emptied(ours), 0, LED), "another slot");
    assert!(
        !admit(&mut emptied(ours), 1, Ballot { pid: 3, ..LED }),
        "a ballot of another than the one that tells it"
    );
    assert!(!admit(&mut emptied(ours), 1, Ballot { config_id: 0, ..LED }), "a ballot that nobody leads in");
    // In the log that it learnt, nothing was decided of it.
    assert!(!admit(&mut emptied(|_| charge(3)), 1, LED));
}

/// The first commit of all marks its file; one that began with nothing and whom nobody has seen begins, once all were heard.
#[test]
fn an_empty_keeper_begins_only_where_all_say_that_they_never_saw_it() {
    for (seen, heard, votes) in [(false, 2, true), (true, 2, false), (false, 1, false)] {
        let mut s = Stage::on(Shelf::default(), 3, Tuning { startup_wait: 100 * MS, ..fast() });
        s.mark = if seen { Mark { epoch: 0, writes: 1 } } else { Mark::default() };
        s.hears();
        s.hears();
        (2..2 + heard).for_each(|pid| s.says(pid, ReplicaMessage::Hello(LogPosition::default())));
        (0..6).for_each(|_| _ = s.hears());
        assert_eq!(on_disk(&s).voting, votes, "seen {seen}, {heard} heard");
    }
}

/// What binds, and what the others have seen of each other, is on disk with the promise that rests on it.
#[test]
fn marks_of_others_are_kept_and_told_on() {
    let mut s = stage();
    s.says_as(2, ReplicaMessage::Hello(LogPosition::default()), |h| {
        h.seen[2].mark = Mark { epoch: 0, writes: 50 }
    });
    s.says(3, ReplicaMessage::Hello(LogPosition::default()));
    s.says_as(2, ReplicaMessage::Hello(LogPosition::default()), |h| {
        h.seen[2].mark = Mark { epoch: 0, writes: 40 }
    });
    s.paxos(
        2,
        PaxosMsg::Prepare(Prepare { n: LED, decided_idx: 0, n_accepted: Ballot::default(), accepted_idx: 0 }),
    );
    let said = s.hears();
    let told = said.iter().map(|(_, head, _)| (head.seen[1].mark.writes, head.seen[2].mark.writes)).max();
    assert_eq!(told, Some((5, 50)), "the greatest, whoever said it");
    let state = on_disk(&s);
    assert_eq!((state.promise, state.seen[2].mark.writes), (Some(LED), 50));
}

/// A disk that is older than what the others saw of it: its promises are lost as soon as one of them says so.
#[test]
fn an_old_disk_is_given_up_at_the_first_word_of_it() {
    let mut s = stage();
    let shelf = s.shelf.clone();
    let mark = on_disk(&s).mark();
    s = Stage::on(shelf, 3, Tuning { startup_wait: 100 * MS, ..fast() });
    s.mark = Mark { writes: mark.writes + 1, ..mark };
    s.hears();
    s.says(2, ReplicaMessage::Hello(LogPosition::default()));
    s.hears();
    assert!(!on_disk(&s).voting);
    let log = Log::open(s.shelf.clone(), s.group, 1, 3).unwrap();
    assert!(!log.state().voting && log.state().accepted.is_none());
}

/// Nothing is said that is not on disk: a keeper whose disk fails takes back what it was about to say.
#[test]
fn a_promise_that_could_not_be_stored_is_not_said() {
    let mut s = stage();
    let steps = s.shelf.disk().steps;
    s.shelf.disk.lock().unwrap().faults.sync = steps + 2;
    s.paxos(
        2,
        PaxosMsg::Prepare(Prepare { n: LED, decided_idx: 0, n_accepted: Ballot::default(), accepted_idx: 0 }),
    );
    let said = s.hears();
    assert!(said.is_empty(), "{said:?}");
    assert!(matches!(s.m.standing(), Participation::Halted(_)));
}

/// Told of a ballot that nobody can lead in, a keeper that learns does not follow it: it would follow nobody any more.
#[test]
fn a_ballot_told_with_the_log_is_followed_only_where_it_can_be_led() {
    let wrong = [
        Ballot { config_id: 2, ..LED },
        Ballot { pid: 4, ..LED },
        Ballot { n: 1 << 30, ..LED },
        Ballot { priority: 1, ..LED },
    ];
    for (ballot, followed) in wrong.into_iter().map(|b| (b, false)).chain([(LED, true)]) {
        let mut s = emptied(|_| charge(9));
        let tip =
            LogStatus { decided: 4, majority: true, bypassed: false, ballot: Some(ballot), echo: s.now };
        let bytes =
            postcard::to_stdvec(&(s.group, LogMessage::Items { from: 3, items: vec![charge(3)], tip }))
                .unwrap();
        let name = s.peers[1].name.clone();
        s.m.handle(s.now, &name, Lane::Log, &bytes);
        s.hears();
        assert_eq!((on_disk(&s).decided, on_disk(&s).promise.is_some()), (4, followed), "{ballot:?}");
    }
}

/// A keeper that starts on a disk that it voted from gives the others the time to say that it is an old one.
#[test]
fn a_keeper_that_starts_waits_for_word_of_its_disk() {
    let used = stage().shelf;
    let mut s = Stage::on(used, 3, Tuning { startup_wait: 1000 * MS, ..fast() });
    for _ in 0..15 {
        s.hears();
        assert_eq!(*s.m.standing(), Participation::Starting);
    }
    (0..10).for_each(|_| _ = s.hears());
    assert_eq!(*s.m.standing(), Participation::Voting, "nobody said anything");
}
