//! Messages that are handed in again, over kills: what may have run since the hand-in counts as what ran before it, and the
//! message stays its owner's.

mod kept;
mod rig;

use kept::{Harness, id};

/// Longer than the deadline of a message, and than the time for which receivers remember one.
const DEADLINE_MS: i64 = 1_100;
const WINDOW_MS: i64 = 2_000;

/// Returns a harness with a guarded message that is held and surely never ran, and its id.
fn held_message(settings: &str) -> (Harness, String) {
    let mut harness = Harness::new(settings);
    harness.receivers_down = true;
    let (_, answers) = harness.publish(0, "to/1000001/RESP//order", DEADLINE_MS);
    let held = id(&answers[0]);
    (harness, held)
}

/// Hands the message in, and returns what its client is told.
fn hand_in(harness: &mut Harness, held: &str, ms: i64) -> String {
    harness.publish(0, &format!("held/again/{held}"), ms).1[0].clone()
}

fn show(harness: &mut Harness, held: &str) -> String {
    harness.publish(0, &format!("held/show/{held}"), 3).1[0].clone()
}

/// Closes the connections of the receivers, so that the answers of open calls are lost, and lets no new one come up.
fn lose_answers(harness: &mut Harness) {
    let conns: Vec<u64> = harness.receivers.keys().copied().collect();
    harness.receivers.clear();
    harness.receivers_down = true;
    let now = harness.now;
    for conn in conns {
        harness.node().closed(now, conn, heronroute_engine::CloseReason::Ended);
    }
    harness.advance(2);
}

fn kill(harness: &mut Harness) {
    harness.crash();
    harness.connect_clients();
}

/// Hands the message in and lets it reach its receiver, which does not answer.
fn run_without_an_answer(harness: &mut Harness, held: &str) {
    let before = harness.received_bodies.len();
    harness.receivers_down = false;
    harness.answers_lost = true;
    // The endpoint, which was down, is tried again only after a while.
    harness.advance(WINDOW_MS);
    let told = hand_in(harness, held, 3);
    assert!(told.ends_with("ENROUTE"), "{told}");
    for _ in 0..DEADLINE_MS {
        if harness.received_bodies.len() > before {
            return;
        }
        harness.advance(1);
    }
    panic!("the message did not reach its receiver");
}

/// Guards against a message that takes effect twice: an attempt since the hand-in is forgotten with a kill, and the owner may
/// hand the message in again once its receivers have forgotten it.
#[test]
fn an_attempt_of_a_message_handed_in_again_is_known_after_a_kill() {
    for (kills, is_answer_lost) in [(0, true), (1, true), (1, false), (3, true), (3, false)] {
        let (mut harness, held) = held_message("held { }");
        run_without_an_answer(&mut harness, &held);
        if is_answer_lost {
            lose_answers(&mut harness);
        }
        for _ in 0..kills {
            kill(&mut harness);
            lose_answers(&mut harness);
        }
        lose_answers(&mut harness);
        harness.advance(WINDOW_MS + DEADLINE_MS);
        let trail = show(&mut harness, &held);
        assert!(trail.contains("may have taken effect"), "{kills} kills: {trail}");
        assert!(trail.contains("handed in again by client c"), "{kills} kills: {trail}");
        let told = hand_in(&mut harness, &held, 10);
        assert!(told.ends_with("WINDOWOVER"), "{kills} kills: {told}");
        assert_eq!(harness.received_bodies.len(), 1, "{kills} kills");
    }
}

/// Guards against an attempt that is forgotten with one of several hand-ins and kills in turn.
#[test]
fn attempts_of_several_hand_ins_are_known_after_a_kill_in_each() {
    let (mut harness, held) = held_message("held { }");
    for round in 0..3 {
        // These hand-ins surely never run.
        let told = hand_in(&mut harness, &held, 10);
        assert!(told.ends_with("ENROUTE"), "{round}: {told}");
        kill(&mut harness);
        harness.advance(DEADLINE_MS);
        let trail = show(&mut harness, &held);
        assert!(!trail.contains("may have taken effect"), "{trail}");
        assert_eq!(trail.matches("handed in again").count(), round + 1, "{trail}");
    }
    run_without_an_answer(&mut harness, &held);
    lose_answers(&mut harness);
    kill(&mut harness);
    harness.advance(DEADLINE_MS);
    // Its receivers still remember it.
    let told = hand_in(&mut harness, &held, 10);
    assert!(told.ends_with("ENROUTE"), "{told}");
    kill(&mut harness);
    harness.advance(WINDOW_MS);
    let trail = show(&mut harness, &held);
    assert_eq!(trail.matches("may have taken effect").count(), 1, "{trail}");
    let may_have_run = trail.matches("no proof").count() + trail.matches("lost with a restart").count();
    assert_eq!(may_have_run, 1, "the same attempt is listed once: {trail}");
    assert!(hand_in(&mut harness, &held, 10).ends_with("WINDOWOVER"));
    assert_eq!(harness.received_bodies.len(), 1);
}

/// Guards against a new effect whose trail begins with a restart: that its owner asked for it is what keeps it held.
#[test]
fn a_new_effect_is_known_as_handed_in_again_after_a_kill() {
    let (mut harness, held) = held_message("held { }");
    run_without_an_answer(&mut harness, &held);
    lose_answers(&mut harness);
    harness.advance(WINDOW_MS + DEADLINE_MS);
    let (_, answers) = harness.publish(0, &format!("held/again/{held}/new"), 10);
    let new = id(&answers[0]);
    assert!(answers[0].ends_with("ENROUTE") && new != held, "{answers:?}");
    kill(&mut harness);
    harness.advance(DEADLINE_MS);
    let trail = show(&mut harness, &new);
    assert!(trail.contains("handed in again by client c"), "{trail}");
}
