//! Clients' own rules on a node with its journal on a faulty disk, on a virtual clock: what a version sets is what
//! happens, a crash at any step leaves the old version or the new one, and nothing that was remembered is taken for new.

mod kept;
mod rig;

use heronroute_engine::{CloseReason, Output};
use heronroute_journal::disk::Faults;
use heronroute_rules::seam::{Apply, Token, Told};
use heronroute_rules::{Rule, RuleLimits, RuleSet, Turn};
use heronroute_standins::mqtt::{Heard, field};
use kept::{MS, Rig, SECOND, apply, id, rule, set, settings};

#[test]
fn a_repeat_of_a_finished_message_is_told_its_answer_again() {
    let mut r = Rig::new("");
    let (_, first) = r.hand(0, "to/1000001/PAY//before", 20);
    assert_eq!(field(&first[0], "stat"), Some("DELIVRD"));
    assert_eq!(r.hand(0, "to/1000001/PAY//before", 20), (0, vec![]), "no rule: acknowledged, as ever");
    let limits = RuleLimits { answer_for: Some(3 * SECOND), ..RuleLimits::default() };
    r.rules(1, &[rule("told", "1", limits)]);
    let (_, first) = r.hand(0, "to/1000001/PAY//order", 20);
    let plain = |told: &[String]| -> Vec<(String, String)> {
        told.iter().map(|t| (id(t), field(t, "stat").unwrap_or_default().to_string())).collect()
    };
    let wanted = plain(&first);
    for i in [0, 1, 0] {
        let (code, told) = r.hand(i, "to/1000001/PAY//order", 20);
        assert_eq!(
            (code, plain(&told)),
            (0, wanted.clone()),
            "in whichever session, under its own reference"
        );
    }
    r.crash();
    r.enter();
    let (code, told) = r.hand(1, "to/1000001/PAY//order", 20);
    assert_eq!((code, plain(&told)), (0, wanted.clone()), "after a crash as before");
    let (code, told) = r.hand(2, "to/1000001/PAY//order", 20);
    assert!(code == 0 && plain(&told) != wanted, "another client's name is its own");
    r.pass(3_000);
    assert_eq!(
        r.hand(0, "to/1000001/PAY//order", 20),
        (0, vec![]),
        "its time is over; the name still counts"
    );
    assert_eq!(r.ran.len(), 3, "{:?}", r.ran);
    assert_eq!(r.node().stats().told_again, 1, "since the crash");
}

#[test]
fn a_repeat_of_an_open_message_and_one_owed_already_is_answered_once() {
    let mut r = Rig::new("");
    r.rules(1, &[rule("told", "", RuleLimits { answer_for: Some(9 * SECOND), ..RuleLimits::default() })]);
    r.down = true;
    let topic = "to/1000001/RESP//a";
    for _ in 0..3 {
        assert_eq!(r.hand(0, topic, 3), (0, vec![]));
    }
    r.clients[0].heard.clear();
    r.pass(1_500);
    let told = r.clients[0].heard.iter().filter(|h| matches!(h, Heard::Told(..))).count();
    assert_eq!(told, 1, "{:?}", r.clients[0].heard);
}

#[test]
fn an_answer_that_is_still_owed_is_not_owed_twice() {
    let mut r = Rig::new("held { }");
    r.rules(1, &[rule("told", "", RuleLimits { answer_for: Some(60 * SECOND), ..RuleLimits::default() })]);
    r.down = true;
    let topic = "to/1000001/RESP//a";
    r.hand(0, topic, 3);
    r.pass(1_500);
    let (_, told) = r.hand(0, topic, 3);
    let again = format!("held/again/{}", id(&told[0]));
    // Told once more, and not taken: it is told once more and no more, however often it is handed in.
    r.deaf = true;
    let told: usize = (0..5).map(|_| r.hand(0, topic, 3).1.len()).sum();
    assert_eq!(told, 1);
    r.deaf = false;
    // Its being taken would close a hand-in of the same message, so that there is none before.
    let (_, said) = r.hand(0, &again, 3);
    assert!(said[0].ends_with("UNHEARD"), "{said:?}");
    r.crash();
    r.enter();
    r.down = false;
    let (_, said) = r.hand(0, &again, 900);
    assert!(said[0].ends_with("ENROUTE"), "{said:?}");
    assert_eq!(r.ran.len(), 1);
    let (_, told) = r.hand(0, topic, 30);
    assert_eq!((told.len(), field(&told[0], "stat")), (1, Some("DELIVRD")), "the latest answer");
}

#[test]
fn a_name_beyond_the_number_is_unsure_and_never_new() {
    let mut r = Rig::new("");
    let limits = |n| RuleLimits {
        remembered: Some(n),
        answer_for: Some(9 * SECOND),
        remember: Some(5 * SECOND),
        ..RuleLimits::default()
    };
    r.rules(1, &[rule("names", "1", limits(3))]);
    let topic = |n: &str| format!("to/1000001/PAY//{n}");
    for n in ["a", "b", "c", "d"] {
        assert_eq!(r.hand(0, &topic(n), 20).0, 0);
    }
    r.hand(2, &topic("a"), 20);
    assert_eq!(r.hand(0, &topic("a"), 20).0, 0x97, "given up: it can't be told");
    for n in ["b", "c", "d"] {
        let (code, told) = r.hand(0, &topic(n), 20);
        assert_eq!((code, told.len()), (0, 1), "{n}");
    }
    assert_eq!(r.hand(2, &topic("a"), 20), (0, vec![]), "another client's are another's");
    // Smaller: not before it is certain.
    let live = r.apply(2, &[rule("names", "1", limits(1))], false);
    assert!(live.set.version == 1 && live.trouble.unwrap().contains("remembered"));
    assert_eq!(r.hand(0, &topic("b"), 20).0, 0);
    r.rules(2, &[rule("names", "1", limits(1))]);
    assert_eq!(r.hand(0, &topic("b"), 20).0, 0x97);
    assert_eq!(r.hand(0, &topic("d"), 20).1.len(), 1);
    // No rule any more: nothing that was given up comes back, or is new.
    r.rules(3, &[]);
    assert_eq!((r.hand(0, &topic("c"), 20).0, r.hand(0, &topic("d"), 20).0), (0x97, 0));
    assert_eq!(r.ran.len(), 5, "{:?}", r.ran);
    // Names count in whole seconds.
    r.pass(7_000);
    assert_eq!(r.hand(0, &topic("a"), 20).0, 0);
    assert_eq!(r.ran.len(), 6, "its time is over");
}

fn hold(count: Option<u64>, octets: Option<u64>, age: Option<i64>) -> RuleLimits {
    RuleLimits { hold_count: count, hold_octets: octets, hold_for: age, ..RuleLimits::default() }
}

#[test]
fn what_is_held_is_held_to_its_rule() {
    let mut r = Rig::new("held { count: 10 }");
    r.down = true;
    r.rules(
        1,
        &[
            rule("few", "11", hold(Some(2), None, None)),
            rule("brief", "12", hold(None, None, Some(4 * SECOND))),
        ],
    );
    for n in 0..4 {
        for to in ["11", "12", "13"] {
            r.hand(0, &format!("to/{to}0000{n}/RESP"), 2);
        }
    }
    r.hand(2, "to/110000/RESP", 2);
    r.pass(1_500);
    assert_eq!((r.held(0), r.held(2)), (2 + 4 + 4, 1), "each kind in its own room");
    r.crash();
    r.enter();
    assert_eq!(r.held(0), 10, "the same after a restart");
    r.pass(4_000);
    assert_eq!(r.held(0), 6, "dropped in time, though nothing else was filed");
    // A smaller room: only once it is certain, and then at once.
    let less = [rule("few", "11", hold(Some(1), None, None))];
    let live = r.apply(2, &less, false);
    assert!(live.set.version == 1 && live.trouble.is_some());
    assert_eq!(r.held(0), 6);
    r.rules(2, &less);
    assert_eq!(r.held(0), 5);
    // Without its rule, what it held counts with the rest.
    r.rules(3, &[]);
    assert_eq!(r.held(0), 5);
    r.crash();
    r.enter();
    assert_eq!(r.held(0), 5);
}

/// Four held under a rule for five, then a fence over what is approved, then four more.
fn held_under(approved: RuleLimits) -> Rig {
    let mut r = Rig::new("held { count: 10 }");
    r.down = true;
    r.rules(1, &[rule("x", "11", hold(Some(5), None, Some(60 * SECOND)))]);
    let hand = |r: &mut Rig, from: usize| {
        for at in from..from + 4 {
            r.hand(0, &format!("to/1100{at:02}/RESP"), 2);
        }
        r.pass(1_500);
    };
    hand(&mut r, 0);
    assert_eq!(r.held(0), 4);
    r.fence(Some(&[rule("x", "11", approved)]));
    assert_eq!(r.held(0), 4, "what is kept is not let go by a fence");
    let live = r.node().live("c").unwrap();
    assert_eq!(live.set.rules[0].limits.hold_count, Some(5), "what is applied is told as it is");
    hand(&mut r, 10);
    r
}

#[test]
fn under_a_fence_what_is_held_goes_by_the_smaller_room_and_nothing_kept_is_let_go() {
    let approved = hold(Some(2), None, Some(4 * SECOND));
    let mut r = held_under(approved.clone());
    assert_eq!(r.held(0), 4 + 2, "two at most of what came since");
    // Lifted, it stays under the figures that it was taken on under.
    r.fence(None);
    assert_eq!(r.held(0), 4 + 2);
    r.pass(4_500);
    assert_eq!(r.held(0), 4, "for the shorter time");
    let mut r = held_under(approved);
    r.crash();
    r.enter();
    assert_eq!(r.held(0), 5, "a fence is told again after a restart; what is applied holds until then");
    // The applied rule is the smaller one.
    let mut r = held_under(hold(Some(9), None, Some(90 * SECOND)));
    assert_eq!(r.held(0), 5);
    // A figure that what is approved leaves out is the common one.
    let mut r = held_under(hold(None, None, Some(4 * SECOND)));
    assert_eq!(r.held(0), 5);
    r.pass(4_500);
    assert!(r.held(0) <= 4, "the time of one, the number of the other");
}

#[test]
fn under_a_fence_a_name_counts_for_the_longer_time_and_those_kept_are_not_given_up() {
    let mut r = Rig::new("");
    let limits = |n, seconds, answer: i64| RuleLimits {
        remembered: Some(n),
        remember: Some(seconds * SECOND),
        answer_for: Some(answer * SECOND),
        ..RuleLimits::default()
    };
    r.rules(1, &[rule("x", "1", limits(5, 3, 60))]);
    let topic = |n: &str| format!("to/1000001/PAY//{n}");
    for n in ["a", "b", "c"] {
        r.hand(0, &topic(n), 20);
    }
    r.fence(Some(&[rule("x", "1", limits(2, 20, 0))]));
    let told = |r: &mut Rig, n: &str| {
        let (code, told) = r.hand(0, &topic(n), 20);
        (code, told.len())
    };
    for n in ["a", "b", "c"] {
        assert_eq!(told(&mut r, n), (0, 1), "{n} was remembered before, beyond two");
    }
    for n in ["d", "e", "f"] {
        assert_eq!(told(&mut r, n), (0, 1), "{n}: its own first answer");
    }
    assert_eq!(told(&mut r, "d"), (0x97, 0), "two at most of what came since: unsure, not new");
    assert_eq!(
        told(&mut r, "e"),
        (0, 0),
        "remembered; its answer is kept for the shorter time, here not at all"
    );
    let ran = r.ran.len();
    r.pass(6_000);
    assert_eq!(told(&mut r, "f"), (0, 0), "it counts for 20 s, though what is applied says 3");
    assert_eq!(r.ran.len(), ran, "nothing goes out twice");
    r.fence(None);
    assert_eq!((told(&mut r, "f"), told(&mut r, "d")), ((0, 0), (0x97, 0)), "nor when it is lifted");
    assert_eq!(r.ran.len(), ran);
}

#[test]
fn under_a_fence_validity_and_pace_are_the_smaller_ones() {
    for (applied, approved) in [((900, 9), (100, 2)), ((100, 2), (900, 9))] {
        let mut r = Rig::new("held { }");
        r.down = true;
        let limits = |(validity, release): (i64, u64)| RuleLimits {
            validity: Some(validity * MS),
            release: Some(release),
            ..RuleLimits::default()
        };
        r.rules(1, &[rule("x", "", limits(applied))]);
        r.fence(Some(&[rule("x", "", limits(approved))]));
        let (_, told) = r.hand(0, "to/1000001/RESP", 130);
        assert_eq!(told.len(), 1, "answered after 100 ms: {applied:?} {approved:?}");
        for n in 0..8 {
            r.hand(0, &format!("to/10001{n:02}/RESP"), 2);
        }
        r.pass(300);
        assert_eq!(r.held(0), 9);
        r.down = false;
        r.pass(2_000);
        r.ran.clear();
        r.hand(0, "held/release", 1);
        let mut before = Vec::new();
        for _ in 0..300 {
            r.pass(20);
            before.push(r.ran.len());
            let last = before.len();
            let second = before[last - 1] - before[last.saturating_sub(50)];
            assert!(second <= 2, "{second} in a second: {applied:?} {approved:?}");
        }
        assert!(r.ran.len() >= 8, "{:?}", r.ran);
    }
}

#[test]
fn a_rule_holds_where_the_settings_hold_nothing() {
    let mut r = Rig::new("");
    r.down = true;
    r.rules(1, &[rule("x", "11", hold(Some(5), Some(2_000), Some(60 * SECOND)))]);
    for n in 0..7 {
        r.hand(0, &format!("to/11000{n}/RESP"), 2);
        r.hand(0, &format!("to/12000{n}/RESP"), 2);
    }
    r.pass(1_500);
    let held = r.held(0);
    assert!((3..=5).contains(&held), "within 5 and 2,000 octets: {held}");
    r.crash();
    r.enter();
    assert_eq!(r.held(0), held);
}

#[test]
fn validity_is_cut_and_a_release_goes_no_faster_than_its_rule() {
    let mut r = Rig::new("held { }");
    r.down = true;
    let limits = RuleLimits { validity: Some(100 * MS), release: Some(2), ..RuleLimits::default() };
    r.rules(1, &[rule("slow", "", limits)]);
    let (_, told) = r.hand(0, "to/1000001/RESP", 130);
    assert_eq!(told.len(), 1, "answered after its time, not after its class's second");
    for n in 0..11 {
        r.hand(0, &format!("to/10001{n:02}/RESP"), 2);
    }
    r.pass(300);
    assert_eq!(r.held(0), 12);
    r.down = false;
    r.pass(2_000);
    r.ran.clear();
    r.hand(0, "held/release", 1);
    let mut before = Vec::new();
    for _ in 0..350 {
        r.pass(20);
        before.push(r.ran.len());
        let last = before.len();
        let second = before[last - 1] - before[last.saturating_sub(50)];
        assert!(second <= 2, "{second} in a second");
    }
    // One may have been let go before its receiver was found to be back.
    assert!(r.ran.len() >= 11, "{:?}", r.ran);
}

#[test]
fn what_is_in_force_is_read_back() {
    let mut r = Rig::new("held { }");
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
    r.rules(4, &rules);
    let mut fewer = rules.clone();
    fewer[1].limits = RuleLimits { trails: Some(1), ..RuleLimits::default() };
    fewer.remove(0);
    r.rules(5, &fewer);
    assert_eq!(r.node().live("c").unwrap().set, set(5, &fewer));
    assert_eq!(r.node().live("d").unwrap().set, RuleSet::default());
    assert_eq!(r.node().live("nobody"), None);
    r.lives.clear();
    r.crash();
    r.pass(1);
    assert_eq!(r.lives.pop().unwrap().set, set(5, &fewer), "and after a restart, told at once");
    // What can't be applied leaves what is.
    let twice = r.apply(6, &[rules[0].clone(), rules[0].clone()], true);
    assert!(twice.trouble.unwrap().contains("two rules") && twice.set == set(5, &fewer));
    assert!(r.node().live("c").unwrap().trouble.is_some());
    let stranger = Apply { client: "nobody".into(), ..apply(1, &[], true) };
    let now = r.now;
    r.node().apply(now, stranger);
    r.pass(1);
    assert!(r.lives.pop().unwrap().trouble.is_some());
    // The same again says so again; an earlier version is one as any other.
    assert_eq!(r.apply(5, &fewer, false).set.version, 5);
    r.rules(4, &rules);
}

/// Two versions one after the other with power lost at a step. Gives the steps taken.
fn two_versions(power: u64) -> u64 {
    let mut r = Rig::with(settings("held { count: 50 }"), true, Faults { power, ..Faults::default() });
    let versions = [
        set(1, &[rule("a", "11", hold(Some(9), None, None)), rule("b", "12", hold(Some(1), None, None))]),
        set(2, &[rule("a", "11", hold(Some(2), Some(9_999), None))]),
    ];
    let mut told = 0;
    let mut lost = r.life.is_none();
    r.down = true;
    if !lost {
        r.enter();
        for v in &versions {
            let (now, one) = (r.now, apply(v.version, &v.rules, true));
            r.node().apply(now, one);
            lost = lost || !r.pass(2);
            for n in 0..5 {
                if !lost && r.clients[0].conn.is_some() {
                    r.hand(0, &format!("to/11000{n}/RESP"), 1);
                }
            }
            lost = lost || !r.pass(1_200);
            told = r.lives.iter().map(|l| l.set.version).max().unwrap_or(0);
            for live in &r.lives {
                assert!(versions.contains(&live.set), "{live:?}");
            }
        }
    }
    // Power lost while the journal was made for the first time: there is nothing to come back with.
    let Some((_, journal)) = r.life.take() else { return 0 };
    let disk = journal.into_storage();
    let steps = disk.steps;
    let mut after = disk.after_loss(power);
    after.faults = Faults::default();
    r.clients.iter_mut().for_each(|c| c.core.closed());
    assert!(r.start(after));
    let live = r.node().live("c").unwrap();
    let whole = live.set == RuleSet::default() || versions.contains(&live.set);
    assert!(whole && live.set.version >= told, "power at {power}: told {told}, came back with {live:?}");
    r.enter();
    let held = r.held(0);
    assert!(live.set.version < 2 || held <= 2, "power at {power}: {held} are held");
    steps
}

#[test]
fn a_crash_at_each_step_leaves_the_old_rules_or_the_new() {
    let steps = two_versions(0);
    assert!(steps > 30, "{steps}");
    (1..=steps).for_each(|power| _ = two_versions(power));
}

#[test]
fn rules_are_not_told_or_in_force_before_they_are_durable() {
    let mut r = Rig::new("");
    let (now, one) = (r.now, apply(1, &[rule("a", "", hold(Some(1), None, None))], true));
    r.node().apply(now, one.clone());
    r.node().settle(now);
    let outputs = r.node().outputs();
    assert!(outputs.iter().all(|o| !matches!(o, Output::Live(_))), "{outputs:?}");
    assert_eq!(r.node().live("c").unwrap().set.version, 0);
    // The same once more meanwhile is no second entry, and no answer yet.
    r.node().apply(now, one);
    r.node().settle(now);
    assert_eq!(r.node().outputs(), []);
    outputs.into_iter().for_each(|o| r.output(o));
    r.pass(2);
    assert_eq!((r.lives.len(), r.lives[0].set.version), (1, 1));
}

#[test]
fn questions_are_passed_on_and_answered_to_whoever_still_waits() {
    let mut r = Rig::new("");
    let (code, told) = r.hand(0, "rules/show", 3);
    assert_eq!((code, told.len()), (0, 0), "acknowledged; its answer may take its time");
    assert_eq!(r.hand(0, "to/1000001/RESP", 20).1.len(), 1, "and holds up nothing");
    let ask = r.asks.pop().unwrap();
    assert_eq!((ask.client.as_str(), ask.words.join("/")), ("c", "rules/show".to_string()));
    assert_eq!(ask.body, b"rules/show");
    r.clients[0].heard.clear();
    let say = |r: &mut Rig, token: Token| {
        let now = r.now;
        r.node().told(now, Told { token, text: "{\"version\":1}".into(), state: "shown" });
        r.pass(2);
        let mine = |h: &&Heard| matches!(h, Heard::Told(_, text, ..) if text == "{\"version\":1}");
        r.clients[0].heard.iter().filter(mine).count()
    };
    assert_eq!(say(&mut r, Token { sender: 1, ..ask.token }), 0, "another sender's");
    assert_eq!(say(&mut r, ask.token), 1);
    assert_eq!(say(&mut r, ask.token), 1, "once");
    // No more than so many at once; what is too many is told so.
    r.asks.clear();
    for n in 0..17 {
        let (_, told) = r.hand(0, "fleet/members", 1);
        assert_eq!(told.len(), usize::from(n == 16), "{n}");
    }
    assert_eq!(r.asks.len(), 16);
    // The gone wait for nothing.
    let (now, conn) = (r.now, r.clients[0].conn.take().unwrap());
    r.node().closed(now, conn, CloseReason::Broken);
    r.clients[0].core.closed();
    r.enter();
    r.clients[0].heard.clear();
    let token = r.asks[0].token;
    assert_eq!(say(&mut r, token), 0);
}

#[test]
fn without_a_fleet_there_is_nothing_of_it() {
    let cfg = settings("");
    let mut r = Rig::with(cfg.clone(), true, Faults::default());
    r.rules(1, &[rule("a", "", RuleLimits { validity: Some(5), ..RuleLimits::default() })]);
    r.fleet = false;
    r.crash();
    r.enter();
    r.lives.clear();
    let now = r.now;
    r.node().apply(now, apply(2, &[], true));
    r.pass(5);
    assert_eq!((r.lives.len(), r.node().live("c")), (0, None));
    for topic in ["rules/show", "rules/submit", "fleet/drift", "rules/else"] {
        assert_eq!(r.hand(0, topic, 3), (0x90, vec![]), "a topic that leads nowhere: {topic}");
    }
    assert_eq!(r.hand(0, "to/1000001/RESP", 20).1.len(), 1, "rules of an earlier start are not in force");
    assert!(r.asks.is_empty());
    // What was agreed on is kept for a start in the fleet.
    r.fleet = true;
    r.crash();
    assert_eq!(r.node().live("c").unwrap().set.version, 1);
}

#[test]
fn a_clients_home_has_all_of_its_processs_share_and_the_other_senders_none_of_it() {
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
        let mut r = Rig::at("held { }", sender);
        let (now, apply) = (r.now, Apply { turn, ..apply(1, &rules, true) });
        r.node().apply(now, apply);
        r.pass(2);
        let live = r.node().live("c").unwrap();
        let has = &live.set.rules[0].limits;
        let own = turn.is_home("c", sender);
        homes += usize::from(own);
        let part = |n| Some(if own { n } else { 0 });
        assert_eq!((has.hold_count, has.remembered, has.release), (part(40), part(30), part(20)), "{sender}");
        assert_eq!((has.hold_for, live.turn), (Some(60 * SECOND), turn), "spans and turns are told to all");
        r.down = true;
        r.pass(2);
        (0..6).for_each(|n| _ = r.hand(0, &format!("to/10001{n:02}/RESP"), 2));
        r.pass(1_500);
        assert_eq!(r.held(0), if own { 6 } else { 0 }, "{sender}");
    }
    assert_eq!(homes, 1);
}
