//! Tests clients' own rules on a node with its journal on a disk with injected faults, on a virtual clock:
//! the limits of a version are enforced, a crash at any step leaves the old version or the new one, and a
//! message that was remembered is never taken as new.

mod kept;
mod rig;

use heronroute_engine::{CloseReason, Output};
use heronroute_journal::disk::Faults;
use heronroute_rules::seam::{Apply, Token, Told};
use heronroute_rules::{Rule, RuleLimits, RuleSet, Turn};
use heronroute_standins::mqtt::{ClientEvent, field};
use kept::{Harness, MS, SECOND, apply, id, rule, set, settings};

#[test]
fn a_repeat_of_a_finished_message_gets_its_answer_again() {
    let mut harness = Harness::new("");
    let (_, first) = harness.publish(0, "to/1000001/PAY//before", 20);
    assert_eq!(field(&first[0], "stat"), Some("DELIVRD"));
    assert_eq!(
        harness.publish(0, "to/1000001/PAY//before", 20),
        (0, vec![]),
        "without a rule: acknowledged and not answered"
    );
    let limits = RuleLimits { answer_for: Some(3 * SECOND), ..RuleLimits::default() };
    harness.apply_certain(1, &[rule("told", "1", limits)]);
    let (_, first) = harness.publish(0, "to/1000001/PAY//order", 20);
    let ids_and_states = |answers: &[String]| -> Vec<(String, String)> {
        answers.iter().map(|t| (id(t), field(t, "stat").unwrap_or_default().to_string())).collect()
    };
    let wanted = ids_and_states(&first);
    for i in [0, 1, 0] {
        let (code, answers) = harness.publish(i, "to/1000001/PAY//order", 20);
        assert_eq!(
            (code, ids_and_states(&answers)),
            (0, wanted.clone()),
            "in any session of the client, with that session's reference"
        );
    }
    harness.crash();
    harness.connect_clients();
    let (code, answers) = harness.publish(1, "to/1000001/PAY//order", 20);
    assert_eq!((code, ids_and_states(&answers)), (0, wanted.clone()), "the same after a crash");
    let (code, answers) = harness.publish(2, "to/1000001/PAY//order", 20);
    assert!(code == 0 && ids_and_states(&answers) != wanted, "names of different clients are independent");
    harness.advance(3_000);
    assert_eq!(
        harness.publish(0, "to/1000001/PAY//order", 20),
        (0, vec![]),
        "the answer has expired; the name is still remembered"
    );
    assert_eq!(harness.received_bodies.len(), 3, "{:?}", harness.received_bodies);
    assert_eq!(harness.node().stats().told_again, 1, "since the crash");
}

#[test]
fn repeats_of_an_open_message_are_answered_once() {
    let mut harness = Harness::new("");
    harness.apply_certain(
        1,
        &[rule("told", "", RuleLimits { answer_for: Some(9 * SECOND), ..RuleLimits::default() })],
    );
    harness.receivers_down = true;
    let topic = "to/1000001/RESP//a";
    for _ in 0..3 {
        assert_eq!(harness.publish(0, topic, 3), (0, vec![]));
    }
    harness.clients[0].events.clear();
    harness.advance(1_500);
    let answers = harness.clients[0].events.iter().filter(|h| matches!(h, ClientEvent::Received(_))).count();
    assert_eq!(answers, 1, "{:?}", harness.clients[0].events);
}

#[test]
fn a_repeat_does_not_queue_an_unacknowledged_answer_twice() {
    let mut harness = Harness::new("held { }");
    harness.apply_certain(
        1,
        &[rule("told", "", RuleLimits { answer_for: Some(60 * SECOND), ..RuleLimits::default() })],
    );
    harness.receivers_down = true;
    let topic = "to/1000001/RESP//a";
    harness.publish(0, topic, 3);
    harness.advance(1_500);
    let (_, answers) = harness.publish(0, topic, 3);
    let resubmit_topic = format!("held/again/{}", id(&answers[0]));
    // The answer is repeated once and not acknowledged: it is not repeated again, however often the message
    // is submitted.
    harness.withhold_acks = true;
    let answers: usize = (0..5).map(|_| harness.publish(0, topic, 3).1.len()).sum();
    assert_eq!(answers, 1);
    harness.withhold_acks = false;
    // An acknowledgement of that answer would close a resubmission of the same message, so none is allowed
    // before it.
    let (_, said) = harness.publish(0, &resubmit_topic, 3);
    assert!(said[0].ends_with("UNHEARD"), "{said:?}");
    harness.crash();
    harness.connect_clients();
    harness.receivers_down = false;
    let (_, said) = harness.publish(0, &resubmit_topic, 900);
    assert!(said[0].ends_with("ENROUTE"), "{said:?}");
    assert_eq!(harness.received_bodies.len(), 1);
    let (_, answers) = harness.publish(0, topic, 30);
    assert_eq!((answers.len(), field(&answers[0], "stat")), (1, Some("DELIVRD")), "the latest answer");
}

#[test]
fn a_name_beyond_the_remembered_limit_is_refused_and_not_taken_as_new() {
    let mut harness = Harness::new("");
    let limits = |n| RuleLimits {
        remembered: Some(n),
        answer_for: Some(9 * SECOND),
        remember: Some(5 * SECOND),
        ..RuleLimits::default()
    };
    harness.apply_certain(1, &[rule("names", "1", limits(3))]);
    let topic = |n: &str| format!("to/1000001/PAY//{n}");
    for n in ["a", "b", "c", "d"] {
        assert_eq!(harness.publish(0, &topic(n), 20).0, 0);
    }
    harness.publish(2, &topic("a"), 20);
    assert_eq!(
        harness.publish(0, &topic("a"), 20).0,
        0x97,
        "dropped: can't be distinguished from a new message"
    );
    for n in ["b", "c", "d"] {
        let (code, answers) = harness.publish(0, &topic(n), 20);
        assert_eq!((code, answers.len()), (0, 1), "{n}");
    }
    assert_eq!(
        harness.publish(2, &topic("a"), 20),
        (0, vec![]),
        "names of different clients are independent"
    );
    // A smaller limit is not applied before it is certain.
    let live = harness.apply_rules(2, &[rule("names", "1", limits(1))], false);
    assert!(live.set.version == 1 && live.trouble.unwrap().contains("remembered"));
    assert_eq!(harness.publish(0, &topic("b"), 20).0, 0);
    harness.apply_certain(2, &[rule("names", "1", limits(1))]);
    assert_eq!(harness.publish(0, &topic("b"), 20).0, 0x97);
    assert_eq!(harness.publish(0, &topic("d"), 20).1.len(), 1);
    // Without the rule, a dropped name is neither remembered again nor taken as new.
    harness.apply_certain(3, &[]);
    assert_eq!((harness.publish(0, &topic("c"), 20).0, harness.publish(0, &topic("d"), 20).0), (0x97, 0));
    assert_eq!(harness.received_bodies.len(), 5, "{:?}", harness.received_bodies);
    // Names expire in whole seconds.
    harness.advance(7_000);
    assert_eq!(harness.publish(0, &topic("a"), 20).0, 0);
    assert_eq!(harness.received_bodies.len(), 6, "the name has expired");
}

fn hold_limits(count: Option<u64>, octets: Option<u64>, age: Option<i64>) -> RuleLimits {
    RuleLimits { hold_count: count, hold_octets: octets, hold_for: age, ..RuleLimits::default() }
}

#[test]
fn held_messages_keep_to_the_limits_of_their_rule() {
    let mut harness = Harness::new("held { count: 10 }");
    harness.receivers_down = true;
    harness.apply_certain(
        1,
        &[
            rule("few", "11", hold_limits(Some(2), None, None)),
            rule("brief", "12", hold_limits(None, None, Some(4 * SECOND))),
        ],
    );
    for n in 0..4 {
        for to in ["11", "12", "13"] {
            harness.publish(0, &format!("to/{to}0000{n}/RESP"), 2);
        }
    }
    harness.publish(2, "to/110000/RESP", 2);
    harness.advance(1_500);
    assert_eq!(
        (harness.held_count(0), harness.held_count(2)),
        (2 + 4 + 4, 1),
        "each rule and client has its own limit"
    );
    harness.crash();
    harness.connect_clients();
    assert_eq!(harness.held_count(0), 10, "the same after a restart");
    harness.advance(4_000);
    assert_eq!(harness.held_count(0), 6, "expired although no other message was added");
    // A smaller limit is applied only once it is certain, and then at once.
    let less = [rule("few", "11", hold_limits(Some(1), None, None))];
    let live = harness.apply_rules(2, &less, false);
    assert!(live.set.version == 1 && live.trouble.is_some());
    assert_eq!(harness.held_count(0), 6);
    harness.apply_certain(2, &less);
    assert_eq!(harness.held_count(0), 5);
    // Without the rule, its held messages count towards the common limit.
    harness.apply_certain(3, &[]);
    assert_eq!(harness.held_count(0), 5);
    harness.crash();
    harness.connect_clients();
    assert_eq!(harness.held_count(0), 5);
}

/// Holds four messages under a limit of five, sets a fence with the approved limits, then submits four more.
fn held_across_fence(approved: RuleLimits) -> Harness {
    let mut harness = Harness::new("held { count: 10 }");
    harness.receivers_down = true;
    harness.apply_certain(1, &[rule("x", "11", hold_limits(Some(5), None, Some(60 * SECOND)))]);
    let publish_four = |harness: &mut Harness, from: usize| {
        for at in from..from + 4 {
            harness.publish(0, &format!("to/1100{at:02}/RESP"), 2);
        }
        harness.advance(1_500);
    };
    publish_four(&mut harness, 0);
    assert_eq!(harness.held_count(0), 4);
    harness.fence(Some(&[rule("x", "11", approved)]));
    assert_eq!(harness.held_count(0), 4, "a fence drops no held message");
    let live = harness.node().live("c").unwrap();
    assert_eq!(live.set.rules[0].limits.hold_count, Some(5), "the applied rules are reported unchanged");
    publish_four(&mut harness, 10);
    harness
}

#[test]
fn a_fence_applies_the_smaller_hold_limits_and_drops_no_held_message() {
    let approved = hold_limits(Some(2), None, Some(4 * SECOND));
    let mut harness = held_across_fence(approved.clone());
    assert_eq!(harness.held_count(0), 4 + 2, "at most two of the messages since the fence");
    // After the fence is lifted, messages keep the limits under which they were held.
    harness.fence(None);
    assert_eq!(harness.held_count(0), 4 + 2);
    harness.advance(4_500);
    assert_eq!(harness.held_count(0), 4, "the shorter time applies to them");
    let mut harness = held_across_fence(approved);
    harness.crash();
    harness.connect_clients();
    assert_eq!(
        harness.held_count(0),
        5,
        "after a restart the applied rule holds until the fence is set again"
    );
    // The applied rule is the smaller one.
    let mut harness = held_across_fence(hold_limits(Some(9), None, Some(90 * SECOND)));
    assert_eq!(harness.held_count(0), 5);
    // A limit that the approved rules leave out is the common one.
    let mut harness = held_across_fence(hold_limits(None, None, Some(4 * SECOND)));
    assert_eq!(harness.held_count(0), 5);
    harness.advance(4_500);
    assert!(harness.held_count(0) <= 4, "the approved time and the applied count");
}

#[test]
fn a_fence_remembers_names_for_the_longer_time_and_drops_none() {
    let mut harness = Harness::new("");
    let limits = |n, seconds, answer: i64| RuleLimits {
        remembered: Some(n),
        remember: Some(seconds * SECOND),
        answer_for: Some(answer * SECOND),
        ..RuleLimits::default()
    };
    harness.apply_certain(1, &[rule("x", "1", limits(5, 3, 60))]);
    let topic = |n: &str| format!("to/1000001/PAY//{n}");
    for n in ["a", "b", "c"] {
        harness.publish(0, &topic(n), 20);
    }
    harness.fence(Some(&[rule("x", "1", limits(2, 20, 0))]));
    let republish = |harness: &mut Harness, n: &str| {
        let (code, answers) = harness.publish(0, &topic(n), 20);
        (code, answers.len())
    };
    for n in ["a", "b", "c"] {
        assert_eq!(
            republish(&mut harness, n),
            (0, 1),
            "{n} was remembered before the fence, beyond the limit of two"
        );
    }
    for n in ["d", "e", "f"] {
        assert_eq!(republish(&mut harness, n), (0, 1), "{n}: its own first answer");
    }
    assert_eq!(
        republish(&mut harness, "d"),
        (0x97, 0),
        "at most two names since the fence: refused, not taken as new"
    );
    assert_eq!(
        republish(&mut harness, "e"),
        (0, 0),
        "remembered; its answer is kept for the shorter time, here zero"
    );
    let sent = harness.received_bodies.len();
    harness.advance(6_000);
    assert_eq!(republish(&mut harness, "f"), (0, 0), "remembered for 20 s, though the applied rule says 3 s");
    assert_eq!(harness.received_bodies.len(), sent, "no message is sent twice");
    harness.fence(None);
    assert_eq!(
        (republish(&mut harness, "f"), republish(&mut harness, "d")),
        ((0, 0), (0x97, 0)),
        "nor after the fence is lifted"
    );
    assert_eq!(harness.received_bodies.len(), sent);
}

#[test]
fn a_fence_applies_the_smaller_validity_and_release_pace() {
    for (applied, approved) in [((900, 9), (100, 2)), ((100, 2), (900, 9))] {
        let mut harness = Harness::new("held { }");
        harness.receivers_down = true;
        let limits = |(validity, release): (i64, u64)| RuleLimits {
            validity: Some(validity * MS),
            release: Some(release),
            ..RuleLimits::default()
        };
        harness.apply_certain(1, &[rule("x", "", limits(applied))]);
        harness.fence(Some(&[rule("x", "", limits(approved))]));
        let (_, answers) = harness.publish(0, "to/1000001/RESP", 130);
        assert_eq!(answers.len(), 1, "answered after 100 ms: {applied:?} {approved:?}");
        for n in 0..8 {
            harness.publish(0, &format!("to/10001{n:02}/RESP"), 2);
        }
        harness.advance(300);
        assert_eq!(harness.held_count(0), 9);
        harness.receivers_down = false;
        harness.advance(2_000);
        harness.received_bodies.clear();
        harness.publish(0, "held/release", 1);
        let mut before = Vec::new();
        for _ in 0..300 {
            harness.advance(20);
            before.push(harness.received_bodies.len());
            let last = before.len();
            let second = before[last - 1] - before[last.saturating_sub(50)];
            assert!(second <= 2, "{second} in a second: {applied:?} {approved:?}");
        }
        assert!(harness.received_bodies.len() >= 8, "{:?}", harness.received_bodies);
    }
}

#[test]
fn a_rule_holds_messages_where_the_settings_hold_none() {
    let mut harness = Harness::new("");
    harness.receivers_down = true;
    harness.apply_certain(1, &[rule("x", "11", hold_limits(Some(5), Some(2_000), Some(60 * SECOND)))]);
    for n in 0..7 {
        harness.publish(0, &format!("to/11000{n}/RESP"), 2);
        harness.publish(0, &format!("to/12000{n}/RESP"), 2);
    }
    harness.advance(1_500);
    let held = harness.held_count(0);
    assert!((3..=5).contains(&held), "within 5 messages and 2,000 bytes: {held}");
    harness.crash();
    harness.connect_clients();
    assert_eq!(harness.held_count(0), held);
}

#[test]
fn a_rule_shortens_validity_and_limits_the_release_pace() {
    let mut harness = Harness::new("held { }");
    harness.receivers_down = true;
    let limits = RuleLimits { validity: Some(100 * MS), release: Some(2), ..RuleLimits::default() };
    harness.apply_certain(1, &[rule("slow", "", limits)]);
    let (_, answers) = harness.publish(0, "to/1000001/RESP", 130);
    assert_eq!(answers.len(), 1, "answered after the rule's validity, not after the class's deadline of 1 s");
    for n in 0..11 {
        harness.publish(0, &format!("to/10001{n:02}/RESP"), 2);
    }
    harness.advance(300);
    assert_eq!(harness.held_count(0), 12);
    harness.receivers_down = false;
    harness.advance(2_000);
    harness.received_bodies.clear();
    harness.publish(0, "held/release", 1);
    let mut before = Vec::new();
    for _ in 0..350 {
        harness.advance(20);
        before.push(harness.received_bodies.len());
        let last = before.len();
        let second = before[last - 1] - before[last.saturating_sub(50)];
        assert!(second <= 2, "{second} in a second");
    }
    // One may have been released before its receiver was found to be reachable.
    assert!(harness.received_bodies.len() >= 11, "{:?}", harness.received_bodies);
}

#[test]
fn live_rules_are_reported_as_applied() {
    let mut harness = Harness::new("held { }");
    let all = RuleLimits {
        answer_for: Some(1),
        remember: Some(2),
        remembered: Some(3),
        hold_for: Some(4),
        hold_count: Some(5),
        hold_octets: Some(6),
        trails: Some(7),
        validity: Some(8),
        release: Some(9),
    };
    let with = |class: &str, to: &str, key: &str, name: &str| Rule {
        class: class.into(),
        key: key.into(),
        ..rule(name, to, all.clone())
    };
    let mut rules = vec![
        with("", "", "", "a"),
        with("RESP", "", "", "b"),
        with("RESP", "1", "", "c"),
        with("", "1", "k", "d"),
    ];
    rules.push(rule("none", "2", RuleLimits::default()));
    harness.apply_certain(4, &rules);
    let mut fewer = rules.clone();
    fewer[1].limits = RuleLimits { trails: Some(1), ..RuleLimits::default() };
    fewer.remove(0);
    harness.apply_certain(5, &fewer);
    assert_eq!(harness.node().live("c").unwrap().set, set(5, &fewer));
    assert_eq!(harness.node().live("d").unwrap().set, RuleSet::default());
    assert_eq!(harness.node().live("nobody"), None);
    harness.live_reports.clear();
    harness.crash();
    harness.advance(1);
    assert_eq!(harness.live_reports.pop().unwrap().set, set(5, &fewer), "reported at once after a restart");
    // A version that can't be applied leaves the live one in place.
    let twice = harness.apply_rules(6, &[rules[0].clone(), rules[0].clone()], true);
    assert!(twice.trouble.unwrap().contains("two rules") && twice.set == set(5, &fewer));
    assert!(harness.node().live("c").unwrap().trouble.is_some());
    let unknown_client = Apply { client: "nobody".into(), ..apply(1, &[], true) };
    let now = harness.now;
    harness.node().apply(now, unknown_client);
    harness.advance(1);
    assert!(harness.live_reports.pop().unwrap().trouble.is_some());
    // The same version is reported again; an earlier version can be applied like any other.
    assert_eq!(harness.apply_rules(5, &fewer, false).set.version, 5);
    harness.apply_certain(4, &rules);
}

/// Applies two versions in turn with a power loss at step `power` of the disk (0: none), and returns the
/// steps taken. After the restart the live rules are one whole version, no older than the last one reported.
fn apply_two_versions(power: u64) -> u64 {
    let mut harness =
        Harness::with_config(settings("held { count: 50 }"), true, Faults { power, ..Faults::default() });
    let versions = [
        set(
            1,
            &[
                rule("a", "11", hold_limits(Some(9), None, None)),
                rule("b", "12", hold_limits(Some(1), None, None)),
            ],
        ),
        set(2, &[rule("a", "11", hold_limits(Some(2), Some(9_999), None))]),
    ];
    let mut reported = 0;
    let mut lost = harness.running.is_none();
    harness.receivers_down = true;
    if !lost {
        harness.connect_clients();
        for v in &versions {
            let (now, one) = (harness.now, apply(v.version, &v.rules, true));
            harness.node().apply(now, one);
            lost = lost || !harness.advance(2);
            for n in 0..5 {
                if !lost && harness.clients[0].conn.is_some() {
                    harness.publish(0, &format!("to/11000{n}/RESP"), 1);
                }
            }
            lost = lost || !harness.advance(1_200);
            reported = harness.live_reports.iter().map(|l| l.set.version).max().unwrap_or(0);
            for live in &harness.live_reports {
                assert!(versions.contains(&live.set), "{live:?}");
            }
        }
    }
    // Power was lost while the journal was first created: there is no state to restart from.
    let Some((_, journal)) = harness.running.take() else { return 0 };
    let disk = journal.into_storage();
    let steps = disk.steps;
    let mut after = disk.after_loss(power);
    after.faults = Faults::default();
    harness.clients.iter_mut().for_each(|c| c.mqtt.closed());
    assert!(harness.start(after));
    let live = harness.node().live("c").unwrap();
    let whole = live.set == RuleSet::default() || versions.contains(&live.set);
    assert!(
        whole && live.set.version >= reported,
        "power lost at step {power}: reported {reported}, restarted with {live:?}"
    );
    harness.connect_clients();
    let held = harness.held_count(0);
    assert!(live.set.version < 2 || held <= 2, "power lost at step {power}: {held} are held");
    steps
}

/// Guards against rules that are half applied, or older than the reported ones, after a power loss while a
/// version is applied.
#[test]
fn a_crash_at_each_disk_step_leaves_the_old_rules_or_the_new() {
    let steps = apply_two_versions(0);
    assert!(steps > 30, "{steps}");
    (1..=steps).for_each(|power| _ = apply_two_versions(power));
}

#[test]
fn rules_are_not_reported_or_live_before_they_are_durable() {
    let mut harness = Harness::new("");
    let (now, one) = (harness.now, apply(1, &[rule("a", "", hold_limits(Some(1), None, None))], true));
    harness.node().apply(now, one.clone());
    harness.node().settle(now);
    let outputs = harness.node().outputs();
    assert!(outputs.iter().all(|o| !matches!(o, Output::Live(_))), "{outputs:?}");
    assert_eq!(harness.node().live("c").unwrap().set.version, 0);
    // Applying the same version again before that makes no second entry and no report.
    harness.node().apply(now, one);
    harness.node().settle(now);
    assert_eq!(harness.node().outputs(), []);
    outputs.into_iter().for_each(|o| harness.handle_output(o));
    harness.advance(2);
    assert_eq!((harness.live_reports.len(), harness.live_reports[0].set.version), (1, 1));
}

#[test]
fn requests_are_forwarded_and_answered_to_clients_that_still_wait() {
    let mut harness = Harness::new("");
    let (code, answers) = harness.publish(0, "rules/show", 3);
    assert_eq!((code, answers.len()), (0, 0), "acknowledged; its answer may come later");
    assert_eq!(harness.publish(0, "to/1000001/RESP", 20).1.len(), 1, "other messages are not delayed");
    let request = harness.client_requests.pop().unwrap();
    assert_eq!((request.client.as_str(), request.words.join("/")), ("c", "rules/show".to_string()));
    assert_eq!(request.body, b"rules/show");
    harness.clients[0].events.clear();
    let reply = |harness: &mut Harness, token: Token| {
        let now = harness.now;
        harness.node().told(now, Told { token, text: "{\"version\":1}".into(), state: "shown" });
        harness.advance(2);
        let mine = |h: &&ClientEvent| matches!(h, ClientEvent::Received(message) if message.text == "{\"version\":1}");
        harness.clients[0].events.iter().filter(mine).count()
    };
    assert_eq!(reply(&mut harness, Token { sender: 1, ..request.token }), 0, "the token of another sender");
    assert_eq!(reply(&mut harness, request.token), 1);
    assert_eq!(reply(&mut harness, request.token), 1, "once");
    // At most 16 requests wait at a time; the next one is refused with an answer.
    harness.client_requests.clear();
    for n in 0..17 {
        let (_, answers) = harness.publish(0, "fleet/members", 1);
        assert_eq!(answers.len(), usize::from(n == 16), "{n}");
    }
    assert_eq!(harness.client_requests.len(), 16);
    // A client whose connection closed gets no answer after it reconnects.
    let (now, conn) = (harness.now, harness.clients[0].conn.take().unwrap());
    harness.node().closed(now, conn, CloseReason::Broken);
    harness.clients[0].mqtt.closed();
    harness.connect_clients();
    harness.clients[0].events.clear();
    let token = harness.client_requests[0].token;
    assert_eq!(reply(&mut harness, token), 0);
}

#[test]
fn without_a_fleet_rules_are_neither_applied_nor_reported() {
    let cfg = settings("");
    let mut harness = Harness::with_config(cfg.clone(), true, Faults::default());
    harness.apply_certain(1, &[rule("a", "", RuleLimits { validity: Some(5), ..RuleLimits::default() })]);
    harness.fleet = false;
    harness.crash();
    harness.connect_clients();
    harness.live_reports.clear();
    let now = harness.now;
    harness.node().apply(now, apply(2, &[], true));
    harness.advance(5);
    assert_eq!((harness.live_reports.len(), harness.node().live("c")), (0, None));
    for topic in ["rules/show", "rules/submit", "fleet/drift", "rules/else"] {
        assert_eq!(harness.publish(0, topic, 3), (0x90, vec![]), "an unknown topic: {topic}");
    }
    assert_eq!(
        harness.publish(0, "to/1000001/RESP", 20).1.len(),
        1,
        "rules of an earlier start are not live"
    );
    assert!(harness.client_requests.is_empty());
    // The rules are kept for a later start in the fleet.
    harness.fleet = true;
    harness.crash();
    assert_eq!(harness.node().live("c").unwrap().set.version, 1);
}

#[test]
fn the_home_sender_of_a_client_has_the_whole_share_of_its_process() {
    let limits = RuleLimits {
        hold_for: Some(60 * SECOND),
        hold_count: Some(40),
        remembered: Some(30),
        release: Some(20),
        ..RuleLimits::default()
    };
    let rules = [rule("long", "1", limits)];
    let turn = Turn { place: 0, members: 3, senders: 4 };
    let mut homes = 0;
    for sender in 0..4 {
        let mut harness = Harness::for_sender("held { }", sender);
        let (now, apply) = (harness.now, Apply { turn, ..apply(1, &rules, true) });
        harness.node().apply(now, apply);
        harness.advance(2);
        let live = harness.node().live("c").unwrap();
        let limits = &live.set.rules[0].limits;
        let own = turn.is_home("c", sender);
        homes += usize::from(own);
        let part = |n| Some(if own { n } else { 0 });
        assert_eq!(
            (limits.hold_count, limits.remembered, limits.release),
            (part(40), part(30), part(20)),
            "{sender}"
        );
        assert_eq!(
            (limits.hold_for, live.turn),
            (Some(60 * SECOND), turn),
            "time limits and turns are reported to all senders"
        );
        harness.receivers_down = true;
        harness.advance(2);
        (0..6).for_each(|n| _ = harness.publish(0, &format!("to/10001{n:02}/RESP"), 2));
        harness.advance(1_500);
        assert_eq!(harness.held_count(0), if own { 6 } else { 0 }, "{sender}");
    }
    assert_eq!(homes, 1);
}

/// Guards against messages that a start drops, as its limit was lowered, and that stay in the journal for good.
#[test]
fn messages_dropped_at_a_start_with_a_lower_limit_are_released_in_the_journal() {
    let mut harness = Harness::new("held { count: 10 }");
    harness.receivers_down = true;
    for n in 0..5 {
        harness.publish(0, &format!("to/130000{n}/RESP"), 2);
    }
    harness.advance(1_500);
    assert_eq!(harness.held_count(0), 5);
    for (limit, left) in [(2, 2), (10, 2)] {
        harness.cfg = settings(&format!("held {{ count: {limit} }}"));
        harness.crash();
        harness.connect_clients();
        assert_eq!(harness.held_count(0), left, "with a limit of {limit}");
        assert_eq!(harness.running.as_ref().unwrap().1.state().held.len(), left);
    }
}
