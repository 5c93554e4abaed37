//! Takeover by a partner in another region, on a virtual clock, with the journal on a disk with injected
//! faults. Without a lease, a node pauses the work that its partner may have, and continues all other work;
//! no message is ended by both.

mod kept;
mod rig;

use heronroute_engine::Output;
use heronroute_journal::JournalState;
use heronroute_journal::disk::{Disk, Faults};
use heronroute_standins::mqtt::{ClientEvent, field};
use kept::{Harness, SECOND, settings};

const REGIONS: &str = "held { } journal { folder: \"j\" } \
    class { name: \"NEWS\" effect: \"free\" deadline: \"1s\" } \
    fleet { id: \"o\" self: \"a\" listen: \"127.0.0.1:7001\" folder: \"f\" key_file: \"k\" regions { folder: \"c\" } \
    member { name: \"a\" address: \"127.0.0.1:7001\" zone: \"z\" region: \"north\" keeper: true } \
    member { name: \"b\" address: \"127.0.0.1:7002\" zone: \"z\" region: \"north\" } \
    member { name: \"c\" address: \"127.0.0.1:7003\" zone: \"z\" region: \"south\" } }";

/// Returns a node with a lease of `ms` milliseconds whose journal entries are copied to the partner.
fn harness_with_lease(ms: i64) -> Harness {
    let mut harness = Harness::with_config(settings(REGIONS), true, Faults::default());
    harness.connect_clients();
    extend_lease(&mut harness, ms);
    let now = harness.now;
    harness.node().set_copying(now, true);
    assert!(
        harness.node().outputs().contains(&Output::Copying),
        "the node reports copying before any entry is copied"
    );
    harness
}

fn extend_lease(harness: &mut Harness, ms: i64) {
    let (now, until) = (harness.now, harness.now + ms * 1_000);
    harness.node().extend_lease(now, until);
}

/// Returns the states of the answers that a session has received since its events were last cleared.
fn answer_states(harness: &Harness, i: usize) -> Vec<String> {
    let stat = |h: &ClientEvent| match h {
        ClientEvent::Received(message) => field(&message.text, "stat").map(str::to_string),
        _ => None,
    };
    harness.clients[i].events.iter().filter_map(stat).collect()
}

#[test]
fn copied_work_pauses_without_a_lease_and_resumes_with_one() {
    let mut harness = harness_with_lease(60);
    harness.receivers_down = true;
    assert_eq!(harness.publish(0, "to/1000001/RESP//one", 20), (0, vec![]));
    harness.advance(60);
    harness.receivers_down = false;
    harness.advance(100);
    assert_eq!(
        (harness.received_bodies.len(), answer_states(&harness, 0).len()),
        (0, 0),
        "copied work is not started"
    );
    // The partner gets no more copies: messages accepted from here on are this node's alone.
    let now = harness.now;
    harness.node().set_copying(now, false);
    let (code, answers) = harness.publish(0, "to/1000001/RESP//two", 600);
    assert_eq!(
        (code, field(&answers[0], "stat")),
        (0, Some("DELIVRD")),
        "uncopied messages are still delivered"
    );
    assert_eq!(harness.received_bodies, ["to/1000001/RESP//two"]);
    extend_lease(&mut harness, 1_000);
    harness.advance(50);
    assert_eq!(harness.received_bodies, ["to/1000001/RESP//two", "to/1000001/RESP//one"]);
    assert_eq!(answer_states(&harness, 0), ["DELIVRD", "DELIVRD"]);
}

#[test]
fn a_message_that_expires_without_a_lease_is_answered_when_the_lease_returns() {
    let mut harness = harness_with_lease(60);
    harness.receivers_down = true;
    harness.publish(0, "to/1000001/PAY", 20);
    harness.advance(1_500);
    assert_eq!(answer_states(&harness, 0).len(), 0, "the partner may have answered it");
    extend_lease(&mut harness, 1_000);
    harness.advance(20);
    assert_eq!((answer_states(&harness, 0), harness.received_bodies.len()), (vec!["EXPIRED".to_string()], 0));
}

/// Guards against two answers: the lease ends while a call is open, so the partner may answer the message.
#[test]
fn an_answer_received_without_a_lease_waits_for_one() {
    let mut harness = harness_with_lease(60);
    harness.publish(0, "to/1000001/PAY", 45);
    // The call is sent, the lease ends, then the response arrives.
    harness.response_delay_ms = 30;
    harness.publish(0, "to/1000001/PAY//late", 60);
    assert_eq!((harness.received_bodies.len(), answer_states(&harness, 0).len()), (2, 0));
    harness.advance(100);
    assert_eq!(answer_states(&harness, 0).len(), 0);
    extend_lease(&mut harness, 1_000);
    harness.advance(20);
    assert_eq!((answer_states(&harness, 0), harness.received_bodies.len()), (vec!["DELIVRD".to_string()], 2));
}

/// Guards against a call that is sent after the lease ended: the process is paused between queueing its bytes
/// and writing them, and the partner takes the work over during the pause.
#[test]
fn bytes_queued_before_a_pause_are_not_sent_after_it() {
    let mut harness = harness_with_lease(60);
    harness.publish(0, "to/1000001/PAY", 5);
    harness.advance(30);
    harness.received_bodies.clear();
    // A call is queued, and the process is paused before writing it.
    harness.receiver_writes_paused = true;
    harness.publish(0, "to/1000001/PAY//late", 10);
    assert_eq!(harness.received_bodies.len(), 0);
    harness.now += SECOND;
    let now = harness.now;
    assert!(harness.node().lease_overdue(now), "the writer checks the lease before each write");
    harness.receiver_writes_paused = false;
    harness.node().settle(now);
    harness.advance(100);
    assert_eq!(harness.received_bodies.len(), 0);
    assert!(!harness.node().lease_overdue(now + 1));
}

#[test]
fn after_a_restart_earlier_work_waits_for_the_lease() {
    let mut harness = harness_with_lease(10_000);
    harness.receivers_down = true;
    for n in 0..3 {
        harness.publish(0, &format!("to/100000{n}/RESP"), 2);
    }
    harness.crash();
    harness.receivers_down = false;
    harness.connect_clients();
    harness.advance(50);
    assert_eq!(harness.received_bodies.len(), 0);
    let (_, answers) = harness.publish(0, "to/1000009/RESP", 600);
    assert_eq!(field(&answers[0], "stat"), Some("DELIVRD"), "new messages are delivered at once");
    extend_lease(&mut harness, 1_000);
    harness.advance(200);
    assert_eq!(harness.received_bodies.len(), 4);
}

#[test]
fn work_taken_over_by_the_partner_is_not_sent_answered_or_held_here_even_after_a_crash() {
    for after_start in [false, true] {
        let mut harness = harness_with_lease(3_000);
        harness.receivers_down = true;
        let (_, held) = harness.publish(1, "to/1000008/RESP", 1_200);
        assert_eq!((field(&held[0], "stat"), harness.held_count(1)), (Some("EXPIRED"), 1));
        // Answered, but the answer is not acknowledged.
        harness.withhold_acks = true;
        harness.publish(0, "to/1000007/PAY", 1_200);
        harness.withhold_acks = false;
        harness.publish(0, "to/1000000/RESP", 2);
        let now = harness.now;
        harness.node().set_copying(now, false);
        harness.advance(1);
        let upto = harness.running.as_ref().unwrap().1.state().next_id;
        if after_start {
            harness.crash();
            harness.connect_clients();
        }
        harness.receivers_down = false;
        let now = harness.now;
        harness.node().partner_took_over(now, None);
        extend_lease(&mut harness, 60_000);
        // The receiver was down for long, so its retry comes only after some time.
        for n in 0..20 {
            harness.publish(1, &format!("to/100010{n}/RESP"), 300);
        }
        let own = harness.received_bodies.len();
        assert!(
            own > 10 && harness.received_bodies.iter().all(|b| b.starts_with("to/100010")),
            "{:?}",
            harness.received_bodies
        );
        let before = harness.held_count(1);
        assert!(before >= 2);
        harness.clients[0].events.clear();
        let now = harness.now;
        harness.node().partner_took_over(now, Some(upto));
        harness.advance(50);
        let held = harness.held_count(1);
        assert_eq!(
            (answer_states(&harness, 0), held),
            (vec![], before - 2),
            "answers and held messages belong to the partner"
        );
        for _ in 0..2 {
            harness.crash();
            harness.connect_clients();
            extend_lease(&mut harness, 60_000);
            harness.advance(100);
        }
        assert_eq!(
            (harness.received_bodies.len(), answer_states(&harness, 0).len(), harness.node().open()),
            (own, 0, 0),
            "{after_start}: {:?}",
            harness.received_bodies
        );
    }
}

/// Returns the journal state of a node that died with one message of each kind, and the bodies that it had
/// sent.
fn dead_member_state() -> (JournalState, Vec<String>) {
    let mut harness = harness_with_lease(60_000);
    harness.receivers_down = true;
    harness.publish(1, "to/1000008/RESP", 1_200);
    harness.publish(0, "to/1000007/PAY//named", 1_100);
    harness.publish(0, "to/1000001/PAY", 2);
    harness.publish(0, "to/1000002/RESP//open", 2);
    harness.publish(2, "to/1000003/NEWS", 2);
    let ran = std::mem::take(&mut harness.received_bodies);
    (harness.running.take().unwrap().1.state().clone(), ran)
}

fn begin_takeover(harness: &mut Harness, state: &JournalState) {
    let now = harness.now;
    harness.node().begin_takeover(now, "a-1", vec![state.clone()]);
}

/// Confirms from the replication log that the dead member's work belongs to this node.
fn confirm_takeover(harness: &mut Harness) {
    let now = harness.now;
    harness.node().taken_over(now, "a-1");
}

#[test]
fn taken_over_work_ends_as_after_a_restart() {
    let (state, _) = dead_member_state();
    assert_eq!((state.open.len(), state.held.len()), (3, 2));
    let mut harness = harness_with_lease(60_000);
    begin_takeover(&mut harness, &state);
    confirm_takeover(&mut harness);
    harness.advance(30);
    assert_eq!(
        (harness.takeovers.len(), harness.received_bodies.len()),
        (1, 0),
        "recorded, but not yet confirmed as this node's"
    );
    // After a crash in between, the copy is complete and recorded once.
    harness.crash();
    harness.connect_clients();
    extend_lease(&mut harness, 60_000);
    begin_takeover(&mut harness, &state);
    harness.advance(5);
    assert_eq!(harness.takeovers, ["a-1", "a-1"]);
    confirm_takeover(&mut harness);
    harness.advance(30);
    let mut ran = harness.received_bodies.clone();
    ran.sort();
    assert_eq!(
        ran,
        ["to/1000002/RESP//open", "to/1000003/NEWS"],
        "a single-shot message may have run, so it is not repeated"
    );
    assert_eq!(
        (answer_states(&harness, 0), answer_states(&harness, 2)),
        (vec!["UNKNOWN".into(), "DELIVRD".into()], vec!["DELIVRD".into()])
    );
    assert_eq!(harness.held_count(0), 3, "two held by the dead member, and the one that may have run");
    // Submitted again under its name, in the other region, it is the same message.
    assert_eq!(harness.publish(0, "to/1000007/PAY//named", 30).0, 0);
    assert_eq!(harness.publish(0, "to/1000002/RESP//open", 30).0, 0);
    assert_eq!(harness.received_bodies.len(), 2, "{:?}", harness.received_bodies);
    // A second notice of the takeover, also after a restart, has no further effect.
    begin_takeover(&mut harness, &state);
    harness.advance(10);
    harness.crash();
    harness.connect_clients();
    extend_lease(&mut harness, 60_000);
    begin_takeover(&mut harness, &state);
    confirm_takeover(&mut harness);
    harness.advance(50);
    assert_eq!((harness.received_bodies.len(), harness.takeovers.len(), harness.held_count(0)), (2, 4, 3));
}

#[test]
fn revoked_takeover_does_no_work() {
    let (state, _) = dead_member_state();
    let mut harness = harness_with_lease(60_000);
    begin_takeover(&mut harness, &state);
    harness.advance(5);
    let now = harness.now;
    harness.node().takeover_revoked(now, "a-1");
    confirm_takeover(&mut harness);
    harness.advance(50);
    harness.crash();
    harness.connect_clients();
    extend_lease(&mut harness, 60_000);
    confirm_takeover(&mut harness);
    harness.advance(50);
    assert_eq!(
        (
            harness.received_bodies.len(),
            answer_states(&harness, 0).len(),
            harness.held_count(0),
            harness.node().open()
        ),
        (0, 0, 0, 0)
    );
}

/// Guards against work that is lost, or done twice, when the member that takes over loses power during the
/// takeover and is notified again after its restart.
#[test]
fn takeover_happens_once_despite_power_loss_at_any_step() {
    let (state, _) = dead_member_state();
    for step in 1..40 {
        let mut harness = harness_with_lease(60_000);
        let disk = harness.running.take().unwrap().1.into_storage();
        let mut disk: Disk = disk;
        disk.faults.power = disk.steps + step;
        let alive = harness.start(disk);
        if alive {
            extend_lease(&mut harness, 60_000);
            begin_takeover(&mut harness, &state);
            if harness.advance(10) && harness.takeovers.len() == 1 {
                confirm_takeover(&mut harness);
                harness.advance(30);
            }
        }
        let ran = harness.received_bodies.clone();
        if harness.running.is_none() {
            continue;
        }
        harness.crash();
        harness.connect_clients();
        extend_lease(&mut harness, 60_000);
        begin_takeover(&mut harness, &state);
        harness.advance(10);
        confirm_takeover(&mut harness);
        harness.advance(100);
        let times = |what: &str| harness.received_bodies.iter().filter(|b| *b == what).count();
        assert!(
            (1..=2).contains(&times("to/1000002/RESP//open")),
            "{step} {ran:?} {:?}",
            harness.received_bodies
        );
        assert_eq!(times("to/1000001/PAY"), 0, "{step}");
        assert_eq!((harness.held_count(0), harness.node().open()), (3, 0), "{step}");
    }
}
