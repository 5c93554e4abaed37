//! A node whose work a partner in another region may take over, with its journal on a faulty disk, on a virtual clock: what
//! the partner may have stands still without a right, all else goes on, and no message is ended by two.

mod kept;
mod rig;

use heronroute_engine::Output;
use heronroute_journal::JournalState;
use heronroute_journal::disk::{Disk, Faults};
use heronroute_standins::mqtt::{Heard, field};
use kept::{Rig, SECOND, settings};

const REGIONS: &str = "held { } journal { folder: \"j\" } \
    class { name: \"NEWS\" effect: \"free\" deadline: \"1s\" } \
    fleet { id: \"o\" self: \"a\" listen: \"127.0.0.1:7001\" folder: \"f\" key_file: \"k\" regions { folder: \"c\" } \
    member { name: \"a\" address: \"127.0.0.1:7001\" zone: \"z\" region: \"north\" keeper: true } \
    member { name: \"b\" address: \"127.0.0.1:7002\" zone: \"z\" region: \"north\" } \
    member { name: \"c\" address: \"127.0.0.1:7003\" zone: \"z\" region: \"south\" } }";

/// A node with a right for so many milliseconds, whose entries are being copied.
fn rig(ms: i64) -> Rig {
    let mut r = Rig::with(settings(REGIONS), true, Faults::default());
    r.enter();
    extend_lease(&mut r, ms);
    let now = r.now;
    r.node().set_copying(now, true);
    assert!(r.node().outputs().contains(&Output::Copying), "nothing may be copied before it says so");
    r
}

fn extend_lease(r: &mut Rig, ms: i64) {
    let (now, until) = (r.now, r.now + ms * 1_000);
    r.node().extend_lease(now, until);
}

/// The last answers told to a session, by their words.
fn told(r: &Rig, i: usize) -> Vec<String> {
    let stat = |h: &Heard| match h {
        Heard::Told(_, text, ..) => field(text, "stat").map(str::to_string),
        _ => None,
    };
    r.clients[i].heard.iter().filter_map(stat).collect()
}

#[test]
fn what_the_partner_may_have_stands_still_without_a_right_and_goes_on_with_one() {
    let mut r = rig(60);
    r.down = true;
    assert_eq!(r.hand(0, "to/1000001/RESP//one", 20), (0, vec![]));
    r.pass(60);
    r.down = false;
    r.pass(100);
    assert_eq!((r.ran.len(), told(&r, 0).len()), (0, 0), "nothing of it is begun");
    // From here on the partner gets nothing: what is taken on now is this node's alone.
    let now = r.now;
    r.node().set_copying(now, false);
    let (code, answers) = r.hand(0, "to/1000001/RESP//two", 600);
    assert_eq!((code, field(&answers[0], "stat")), (0, Some("DELIVRD")), "delivering never stops");
    assert_eq!(r.ran, ["to/1000001/RESP//two"]);
    extend_lease(&mut r, 1_000);
    r.pass(50);
    assert_eq!(r.ran, ["to/1000001/RESP//two", "to/1000001/RESP//one"]);
    assert_eq!(told(&r, 0), ["DELIVRD", "DELIVRD"]);
}

#[test]
fn a_message_whose_time_runs_out_meanwhile_is_answered_once_the_right_is_back() {
    let mut r = rig(60);
    r.down = true;
    r.hand(0, "to/1000001/PAY", 20);
    r.pass(1_500);
    assert_eq!(told(&r, 0).len(), 0, "its partner may have answered it");
    extend_lease(&mut r, 1_000);
    r.pass(20);
    assert_eq!((told(&r, 0), r.ran.len()), (vec!["EXPIRED".to_string()], 0));
}

#[test]
fn an_answer_that_comes_without_a_right_waits_for_one() {
    let mut r = rig(60);
    r.hand(0, "to/1000001/PAY", 45);
    // The call leaves, the right ends, the answer comes.
    r.slow = 30;
    r.hand(0, "to/1000001/PAY//late", 60);
    assert_eq!((r.ran.len(), told(&r, 0).len()), (2, 0));
    r.pass(100);
    assert_eq!(told(&r, 0).len(), 0);
    extend_lease(&mut r, 1_000);
    r.pass(20);
    assert_eq!((told(&r, 0), r.ran.len()), (vec!["DELIVRD".to_string()], 2));
}

#[test]
fn octets_queued_before_a_pause_do_not_leave_after_it() {
    let mut r = rig(60);
    r.hand(0, "to/1000001/PAY", 5);
    r.pass(30);
    r.ran.clear();
    // A call is decided and queued; the process is paused before it is written.
    r.paused = true;
    r.hand(0, "to/1000001/PAY//late", 10);
    assert_eq!(r.ran.len(), 0);
    r.now += SECOND;
    let now = r.now;
    assert!(r.node().lease_overdue(now), "whoever writes asks before each write");
    r.paused = false;
    r.node().settle(now);
    r.pass(100);
    assert_eq!(r.ran.len(), 0);
    assert!(!r.node().lease_overdue(now + 1));
}

#[test]
fn after_a_start_nothing_from_before_goes_on_before_the_right_is_there() {
    let mut r = rig(10_000);
    r.down = true;
    for n in 0..3 {
        r.hand(0, &format!("to/100000{n}/RESP"), 2);
    }
    r.crash();
    r.down = false;
    r.enter();
    r.pass(50);
    assert_eq!(r.ran.len(), 0);
    let (_, answers) = r.hand(0, "to/1000009/RESP", 600);
    assert_eq!(field(&answers[0], "stat"), Some("DELIVRD"), "what comes now goes at once");
    extend_lease(&mut r, 1_000);
    r.pass(200);
    assert_eq!(r.ran.len(), 4);
}

#[test]
fn what_the_partner_took_over_is_neither_sent_nor_answered_nor_held_here_also_after_a_crash() {
    for after_start in [false, true] {
        let mut r = rig(3_000);
        r.down = true;
        let (_, held) = r.hand(1, "to/1000008/RESP", 1_200);
        assert_eq!((field(&held[0], "stat"), r.held(1)), (Some("EXPIRED"), 1));
        // Answered and not taken.
        r.deaf = true;
        r.hand(0, "to/1000007/PAY", 1_200);
        r.deaf = false;
        r.hand(0, "to/1000000/RESP", 2);
        let now = r.now;
        r.node().set_copying(now, false);
        r.pass(1);
        let upto = r.life.as_ref().unwrap().1.state().next_id;
        if after_start {
            r.crash();
            r.enter();
        }
        r.down = false;
        let now = r.now;
        r.node().partner_took_over(now, None);
        extend_lease(&mut r, 60_000);
        // The receiver was down for long: it is tried again after a while.
        for n in 0..20 {
            r.hand(1, &format!("to/100010{n}/RESP"), 300);
        }
        let own = r.ran.len();
        assert!(own > 10 && r.ran.iter().all(|b| b.starts_with("to/100010")), "{:?}", r.ran);
        let before = r.held(1);
        assert!(before >= 2);
        r.clients[0].heard.clear();
        let now = r.now;
        r.node().partner_took_over(now, Some(upto));
        r.pass(50);
        let held = r.held(1);
        assert_eq!((told(&r, 0), held), (vec![], before - 2), "answers and held messages are the partner's");
        for _ in 0..2 {
            r.crash();
            r.enter();
            extend_lease(&mut r, 60_000);
            r.pass(100);
        }
        assert_eq!(
            (r.ran.len(), told(&r, 0).len(), r.node().open()),
            (own, 0, 0),
            "{after_start}: {:?}",
            r.ran
        );
    }
}

/// The book of a node that died with one message of each kind, and what it had sent.
fn legacy() -> (JournalState, Vec<String>) {
    let mut r = rig(60_000);
    r.down = true;
    r.hand(1, "to/1000008/RESP", 1_200);
    r.hand(0, "to/1000007/PAY//named", 1_100);
    r.hand(0, "to/1000001/PAY", 2);
    r.hand(0, "to/1000002/RESP//open", 2);
    r.hand(2, "to/1000003/NEWS", 2);
    let ran = std::mem::take(&mut r.ran);
    (r.life.take().unwrap().1.state().clone(), ran)
}

fn begin_takeover(r: &mut Rig, state: &JournalState) {
    let now = r.now;
    r.node().begin_takeover(now, "a-1", vec![state.clone()]);
}

/// The log says that it is this node's.
fn own(r: &mut Rig) {
    let now = r.now;
    r.node().taken_over(now, "a-1");
}

#[test]
fn a_dead_members_work_is_ended_by_its_heir_as_after_a_restart() {
    let (state, _) = legacy();
    assert_eq!((state.open.len(), state.held.len()), (3, 2));
    let mut r = rig(60_000);
    begin_takeover(&mut r, &state);
    own(&mut r);
    r.pass(30);
    assert_eq!((r.taken_over.len(), r.ran.len()), (1, 0), "written down, and nobody's yet");
    // A crash between: it is there whole, and written once.
    r.crash();
    r.enter();
    extend_lease(&mut r, 60_000);
    begin_takeover(&mut r, &state);
    r.pass(5);
    assert_eq!(r.taken_over, ["a-1", "a-1"]);
    own(&mut r);
    r.pass(30);
    let mut ran = r.ran.clone();
    ran.sort();
    assert_eq!(ran, ["to/1000002/RESP//open", "to/1000003/NEWS"], "what may not be repeated may have run");
    assert_eq!(
        (told(&r, 0), told(&r, 2)),
        (vec!["UNKNOWN".into(), "DELIVRD".into()], vec!["DELIVRD".into()])
    );
    assert_eq!(r.held(0), 3, "held as by the dead one, and the one that may have run");
    // Handed in again under its name, at the other region: it is the same message.
    assert_eq!(r.hand(0, "to/1000007/PAY//named", 30).0, 0);
    assert_eq!(r.hand(0, "to/1000002/RESP//open", 30).0, 0);
    assert_eq!(r.ran.len(), 2, "{:?}", r.ran);
    // Told of it once more, and after a restart: once is enough.
    begin_takeover(&mut r, &state);
    r.pass(10);
    r.crash();
    r.enter();
    extend_lease(&mut r, 60_000);
    begin_takeover(&mut r, &state);
    own(&mut r);
    r.pass(50);
    assert_eq!((r.ran.len(), r.taken_over.len(), r.held(0)), (2, 4, 3));
}

#[test]
fn what_is_anothers_after_all_is_not_done_here() {
    let (state, _) = legacy();
    let mut r = rig(60_000);
    begin_takeover(&mut r, &state);
    r.pass(5);
    let now = r.now;
    r.node().takeover_revoked(now, "a-1");
    own(&mut r);
    r.pass(50);
    r.crash();
    r.enter();
    extend_lease(&mut r, 60_000);
    own(&mut r);
    r.pass(50);
    assert_eq!((r.ran.len(), told(&r, 0).len(), r.held(0), r.node().open()), (0, 0, 0, 0));
}

#[test]
fn an_heir_that_loses_power_at_any_step_takes_over_once() {
    let (state, _) = legacy();
    for step in 1..40 {
        let mut r = rig(60_000);
        let disk = r.life.take().unwrap().1.into_storage();
        let mut disk: Disk = disk;
        disk.faults.power = disk.steps + step;
        let alive = r.start(disk);
        if alive {
            extend_lease(&mut r, 60_000);
            begin_takeover(&mut r, &state);
            if r.pass(10) && r.taken_over.len() == 1 {
                own(&mut r);
                r.pass(30);
            }
        }
        let ran = r.ran.clone();
        if r.life.is_none() {
            continue;
        }
        r.crash();
        r.enter();
        extend_lease(&mut r, 60_000);
        begin_takeover(&mut r, &state);
        r.pass(10);
        own(&mut r);
        r.pass(100);
        let times = |what: &str| r.ran.iter().filter(|b| *b == what).count();
        assert!((1..=2).contains(&times("to/1000002/RESP//open")), "{step} {ran:?} {:?}", r.ran);
        assert_eq!(times("to/1000001/PAY"), 0, "{step}");
        assert_eq!((r.held(0), r.node().open()), (3, 0), "{step}");
    }
}
