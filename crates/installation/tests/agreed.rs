//! Edits from a client's question to what all members apply.

mod rig;

use heronroute_installation::seam::Input;
use heronroute_installation::wire::Wire;
use rig::engine::Mode;
use rig::{S, World, draft};

fn three() -> World {
    let mut world = World::new(7, 3, 3).begun();
    let took = world.until(20 * S, World::in_line);
    world.sound();
    assert!(took.is_some(), "three members that start are not in line within 20 s");
    world
}

#[test]
fn an_edit_is_approved_applied_and_shown_at_all_members() {
    let mut world = three();
    let (state, answer) = world.submit(1, "oduya", 0, "long", 30);
    assert_eq!((state, answer["version"].as_u64()), ("approved", Some(1)));
    let took = world.until(10 * S, World::in_line).expect("all in line");
    assert!(took < 5 * S, "{took}");
    for at in 0..3 {
        let (_, shown) = world.answer(at, "oduya", "rules/show", "");
        assert_eq!((shown["version"].as_u64(), &shown["rules"][0]["name"]), (Some(1), &"long".into()));
    }
    // Each member holds its share of the count.
    let held =
        |at: usize| world.nodes[at].engine.at_home("oduya").unwrap().rules[0].limits.hold_count.unwrap();
    assert_eq!((0..3).map(held).sum::<u64>(), 30);
    world.sound();
}

#[test]
fn the_same_request_twice_is_one_version_and_two_editors_are_joined_or_told() {
    let mut world = three();
    let (_, first) = world.submit(0, "oduya", 0, "long", 30);
    let (state, again) = world.submit(2, "oduya", 0, "long", 30);
    assert_eq!((state, &again["version"]), ("approved", &first["version"]));
    // Two editors on one base: other rules are joined, the same one is a conflict.
    let a = world.ask(0, "oduya", "rules/submit", &draft(1, &[("long", 30), ("ada", 20)]));
    let b = world.ask(1, "oduya", "rules/submit", &draft(1, &[("long", 30), ("bisi", 25)]));
    let c = world.ask(2, "oduya", "rules/submit", &draft(1, &[("long", 31)]));
    world.run(3 * S);
    let state = |id: usize| world.asks[id].told.as_ref().unwrap().1.state;
    assert_eq!((state(a), state(b), state(c)), ("approved", "approved", "approved"));
    let (state, told) = world.submit(0, "oduya", 1, "long", 32);
    assert_eq!((state, &told["rules"][0]), ("conflict", &"long".into()));
    assert!(world.until(10 * S, World::in_line).is_some());
    let rules = &world.book.machine.registry().desired("oduya").unwrap().set.rules;
    assert_eq!(rules.len(), 3);
    world.sound();
}

#[test]
fn an_operator_approves_and_what_is_not_ones_own_is_as_if_it_were_not() {
    let mut world = three();
    let (state, told) = world.submit(0, "chike", 0, "slow", 30);
    assert_eq!((state, told["version"].as_u64()), ("waiting", Some(1)));
    let mine = world.answer(1, "oduya", "rules/approve/chike/1", "");
    let none = world.answer(1, "oduya", "rules/approve/nobody/9", "");
    assert_eq!(
        (mine.0, &mine.1),
        (none.0, &none.1),
        "what is another's and what does not exist, in the same words"
    );
    for words in ["fleet/drift", "rules/refuse/chike/1", "rules/show/chike", "rules/nothing", "fleet", "x"] {
        assert_eq!(world.answer(2, "oduya", words, ""), none, "{words}");
    }
    let (state, _) = world.answer(2, "ops", "rules/approve/chike/1", "");
    assert_eq!(state, "approved");
    let (state, _) = world.answer(0, "ops", "rules/refuse/chike/1", r#"{"why":"too late"}"#);
    assert_eq!(state, "approved", "it was decided before");
    assert_eq!(world.answer(0, "ops", "rules/approve/nobody/9", "").0, "unknown");
    assert!(world.until(10 * S, World::in_line).is_some());
    let (_, shown) = world.answer(1, "ops", "rules/show/chike", "");
    assert_eq!(shown["version"].as_u64(), Some(1));
    world.sound();
}

#[test]
fn findings_wrong_json_and_clients_without_a_plan_are_told() {
    let mut world = three();
    let (state, told) = world.submit(0, "oduya", 0, "long", 5_000);
    assert_eq!(state, "refused");
    assert!(!told["findings"].as_array().unwrap().is_empty());
    for body in ["", "{", r#"{"rules":3}"#, r#"{"base":0,"rules":[],"x":1}"#] {
        assert_eq!(world.answer(1, "oduya", "rules/submit", body).0, "refused", "{body}");
    }
    assert_eq!(world.submit(2, "plain", 0, "long", 5).0, "refused");
    let (state, told) = world.answer(2, "oduya", "rules/check", &draft(0, &[("long", 10)]));
    assert_eq!((state, told["destroys"].as_bool()), ("approved", Some(true)));
    assert_eq!(
        world.answer(2, "oduya", "rules/show", "").1["version"].as_u64(),
        Some(0),
        "checked, not done"
    );
    world.submit(0, "oduya", 0, "long", 30);
    world.submit(0, "oduya", 1, "long", 40);
    let back = world.answer(1, "oduya", "rules/back/1", r#"{"base":2}"#);
    let again = world.answer(2, "oduya", "rules/back/1", r#"{"base":2}"#);
    assert_eq!((back.0, &back.1), ("approved", &again.1));
    assert_eq!(back.1["version"].as_u64(), Some(3));
    world.sound();
}

#[test]
fn figures_that_not_all_members_can_have_are_told() {
    let mut world = three();
    let rules =
        r#"{"base":0,"rules":[{"name":"few","class":"","to":"","key":"","hold_count":2,"release":1}]}"#;
    assert_eq!(world.answer(0, "oduya", "rules/submit", rules).0, "approved");
    assert!(world.until(10 * S, World::in_line).is_some());
    for at in 0..3 {
        let (_, told) = world.answer(at, "oduya", "rules/show", "");
        let notices = told["notices"].as_array().unwrap();
        assert_eq!(notices.len(), 1, "a pace goes round, and reaches all: {told}");
        assert_eq!(
            (notices[0]["field"].as_str(), notices[0]["fits"].as_str()),
            (Some("hold_count"), Some("3"))
        );
    }
    world.sound();
}

#[test]
fn a_check_says_how_much_would_be_let_go_and_who_was_heard() {
    let mut world = three();
    assert_eq!(world.submit(0, "oduya", 0, "long", 30).0, "approved");
    assert!(world.until(10 * S, World::in_line).is_some());
    world.nodes.iter_mut().for_each(|n| n.engine.holds = 10);
    let senders: Vec<u64> = world.nodes.iter().map(|n| n.engine.tables.len() as u64).collect();
    let body = draft(1, &[("long", 9)]);
    // Three of nine are each member's, all at the client's home, and each sender holds ten.
    let each = |at: usize| senders[at] * 10 - 3;
    let all: u64 = (0..3).map(each).sum();
    for at in 0..3 {
        let (state, told) = world.answer(at, "oduya", "rules/check", &body);
        assert_eq!((state, told["destroys"].as_bool()), ("approved", Some(true)));
        assert_eq!(told["would"]["messages"].as_u64(), Some(all), "{told}");
        assert_eq!(told["here"]["messages"].as_u64(), Some(each(at)));
        assert_eq!((told["members heard"].as_u64(), told.get("not heard")), (Some(3), None));
    }
    let (state, told) = world.answer(0, "chike", "rules/check", &draft(0, &[("slow", 9)]));
    assert_eq!(
        (state, told["would"]["messages"].as_u64()),
        ("waiting", Some(all)),
        "approved later, weighed now"
    );
    let (_, told) = world.answer(0, "oduya", "rules/check", &draft(1, &[("long", 5_000)]));
    assert!(told.get("would").is_none(), "refused: nothing would go: {told}");
    // One whose nodes are stuck is waited for so long and named; so is one that no link stands to.
    world.nodes[2].engine.mode = Mode::Hung;
    let from = world.now;
    let (_, told) = world.answer(0, "oduya", "rules/check", &body);
    assert!((S..2 * S).contains(&(world.now - from)));
    assert_eq!(told["would"]["messages"].as_u64(), Some(each(0) + each(1)));
    assert_eq!((told["members heard"].as_u64(), &told["not heard"]), (Some(2), &serde_json::json!(["m002"])));
    let (_, told) = world.answer(2, "oduya", "rules/check", &body);
    assert_eq!(
        (told["here"]["messages"].as_u64(), &told["not heard"]),
        (Some(0), &serde_json::json!(["m002"]))
    );
    world.split(&[1]);
    world.run(6 * S);
    let (_, told) = world.answer(1, "oduya", "rules/check", &body);
    assert_eq!(told["would"], told["here"]);
    assert_eq!(
        (told["members heard"].as_u64(), told["not heard"].as_array().map(Vec::len)),
        (Some(1), Some(2))
    );
    world.sound();
}

#[test]
fn checks_have_a_rate_by_client_and_what_waits_is_answered_by_what_is_heard() {
    let mut world = three();
    assert_eq!(world.submit(0, "oduya", 0, "long", 30).0, "approved");
    world.nodes.iter_mut().for_each(|n| n.engine.mode = Mode::Hung);
    let body = draft(1, &[("long", 9)]);
    let from = world.asks.len();
    (0..1_000).for_each(|_| _ = world.ask(0, "oduya", "rules/check", &body));
    world.run(3 * S);
    let told = world.asks.iter().skip(from).filter_map(|a| a.told.as_ref());
    let told: Vec<serde_json::Value> = told.map(|(_, t)| serde_json::from_str(&t.text).unwrap()).collect();
    let (busy, heard): (Vec<_>, Vec<_>) = told.iter().partition(|v| v["state"] == "busy");
    assert_eq!((heard.len(), busy.len()), (8, 992), "each once");
    assert!(heard.iter().all(|v| v["members heard"] == 0), "none of them well");
    assert!(busy.iter().all(|v| v["after_ms"] == 500), "{}", busy[0]);
    assert!(world.nodes.iter().all(|n| n.engine.weighed <= 8), "no sender looked for what was not answered");
    world.nodes.iter_mut().for_each(|n| n.engine.mode = Mode::Good);
    assert_eq!(world.answer(0, "oduya", "rules/check", &body).1["members heard"].as_u64(), Some(3));
    // Who waits as it was told to is answered; another's haste is not one's own.
    (0..100).for_each(|_| _ = world.ask(0, "oduya", "rules/check", &body));
    let (state, told) = world.answer(0, "oduya", "rules/check", &body);
    assert_eq!(state, "busy");
    assert_ne!(world.answer(0, "chike", "rules/check", &draft(0, &[("slow", 9)])).0, "busy");
    world.run(told["after_ms"].as_i64().unwrap() * 1_000);
    assert_eq!(world.answer(0, "oduya", "rules/check", &body).0, "approved");
    world.sound();
}

#[test]
fn a_member_that_asks_others_without_end_is_not_heard() {
    let mut world = three();
    let rules = vec![];
    for number in 0..1_000 {
        let wire = Wire::DryRun { number, client: "oduya".into(), rules: rules.clone() };
        world.give(0, Input::Message { peer: 1, payload: wire.pack().unwrap() });
    }
    assert_eq!(world.nodes[0].engine.weighed, 20);
    // A third one's clients are heard by it as before.
    let told = world.answer(2, "oduya", "rules/check", &draft(0, &[("long", 9)])).1;
    assert_eq!(told["members heard"].as_u64(), Some(3), "{told}");
    world.sound();
}

#[test]
fn members_and_drift_are_answered_by_any_member_and_without_a_majority_nothing_is_known() {
    let mut world = three();
    for at in 0..3 {
        let (_, told) = world.answer(at, "plain", "fleet/members", "");
        assert_eq!(told["self"].as_str(), Some(format!("m00{at}").as_str()));
        assert_eq!(told["majority"].as_bool(), Some(true));
        let states: Vec<_> = told["members"].as_array().unwrap().iter().map(|m| m["state"].clone()).collect();
        assert_eq!(states, ["alive", "alive"]);
        let (_, told) = world.answer(at, "ops", "fleet/drift", "");
        let verdicts: Vec<_> =
            told["members"].as_array().unwrap().iter().map(|m| m["verdict"].clone()).collect();
        assert_eq!(verdicts, ["in line"; 3], "{told}");
        assert!(told["term"].as_u64() > Some(0));
    }
    world.split(&[1]);
    world.run(6 * S);
    let (_, told) = world.answer(1, "plain", "fleet/members", "");
    assert_eq!((told["majority"].as_bool(), told["condition"].as_str()), (Some(false), Some("alone")));
    assert_eq!(told["members"][0]["state"].as_str(), Some("dead"));
    let (_, told) = world.answer(1, "ops", "fleet/drift", "");
    let verdicts: Vec<_> = told["members"].as_array().unwrap().iter().map(|m| m["verdict"].clone()).collect();
    assert_eq!((verdicts, told["known"].as_bool()), (vec!["not heard of".into(); 3], Some(false)));
    let (_, told) = world.answer(1, "oduya", "rules/show", "");
    assert_eq!(told["certain"].as_bool(), Some(false));
    let from = world.now;
    assert_eq!(world.submit(1, "oduya", 0, "long", 30).0, "no majority");
    assert!(world.now - from < S / 10, "said at once");
    let line = world.verdict(1);
    assert_ne!(line, Some(heronroute_drift::Verdict::InLine), "a silent member is never in line");
    world.heal();
    assert!(world.until(20 * S, World::in_line).is_some());
    assert_eq!(world.submit(1, "oduya", 0, "long", 30).1["version"].as_u64(), Some(1));
    world.sound();
}
