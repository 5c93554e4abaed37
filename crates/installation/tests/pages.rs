//! `fleet/drift` in pages.

mod rig;

use heronroute_drift::view::{MemberLine, View};
use heronroute_drift::{History, PartlyApplied, Record, Verdict};
use heronroute_fleet::{Name, Start, Term};
use heronroute_installation::page::{MAX_PAGE_BYTES, Page};
use rig::{S, World};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Signs that take six octets each as JSON.
fn nasty(length: usize, salt: usize) -> String {
    format!("{salt:04}{}", "\u{1}".repeat(length - 4))
}

fn name(at: usize) -> Name {
    Name::new(&format!("m{at:031}")).unwrap()
}

fn view(members: usize) -> View {
    let line = |at| MemberLine {
        name: name(at),
        verdict: Verdict::PartlyApplied,
        version: u64::MAX,
        client: Some(nasty(64, at)),
        since: i64::MIN,
        seen_by: name(0),
        term: Term(u64::MAX),
        reason: Some(nasty(200, at)),
        partly: Some(PartlyApplied { senders: u32::MAX, of: u32::MAX, since: i64::MIN }),
    };
    View {
        term: Term(u64::MAX),
        known: true,
        why: None,
        members: (0..members).map(line).collect(),
        rollouts: Vec::new(),
    }
}

fn rollouts(most: usize) -> BTreeMap<String, Value> {
    let line = |at| json!({"client": nasty(64, at), "version": u64::MAX, "state": "stopped", "why": nasty(200, at), "back": u64::MAX});
    (0..most).map(|at| (nasty(64, at), line(at))).collect()
}

fn history(members: usize) -> History {
    let mut history = History::default();
    for at in 0..members * 3 {
        history.add(Record {
            term: Term(7),
            // Some at one moment, and of one member at one moment.
            since: at as i64 / 5,
            member: name(at / 3),
            start: Start(u64::MAX - 1),
            verdict: Verdict::ALL[at % 9],
            client: Some(nasty(64, at)),
            version: 1,
            seen_by: name(0),
            reason: Some(nasty(200, at)),
        });
    }
    history
}

/// All pages, one after the other.
fn walk(most: Option<u32>, ask: impl Fn(&Page) -> String) -> Vec<Value> {
    let (mut out, mut after) = (Vec::new(), String::new());
    loop {
        let text = ask(&Page::of(&after, most).expect("the place that was given"));
        assert!(text.len() <= MAX_PAGE_BYTES, "{} octets", text.len());
        let value: Value = serde_json::from_str(&text).unwrap();
        let next = value["next"].as_str().map(str::to_owned);
        out.push(value);
        assert!(out.len() < 10_000, "no end");
        match next {
            Some(next) => after = next,
            None => return out,
        }
    }
}

fn all(pages: &[Value], list: &str, field: &str) -> Vec<String> {
    let lines = pages.iter().flat_map(|page| page[list].as_array().unwrap());
    lines.map(|line| line[field].to_string()).collect()
}

#[test]
fn five_hundred_members_and_all_that_was_said_of_them_stand_on_small_pages_once_each() {
    let (view, rolling, history) = (view(500), rollouts(16), history(500));
    for most in [None, Some(1), Some(7)] {
        let pages = walk(most, |page| page.shown(&view, true, &rolling, history.records()));
        let names: Vec<String> = (0..500).map(|at| format!("\"{}\"", name(at).as_str())).collect();
        assert_eq!(all(&pages, "members", "name"), names);
        let clients: Vec<String> = rolling.keys().map(|c| Value::from(c.as_str()).to_string()).collect();
        assert_eq!(all(&pages, "rollouts", "client"), clients);
        let reasons: Vec<String> =
            history.records().rev().map(|r| Value::from(r.reason.as_deref().unwrap()).to_string()).collect();
        assert_eq!(reasons.len(), 1_500);
        assert_eq!(all(&pages, "history", "reason"), reasons, "the newest first");
        if let Some(most) = most {
            let lines = |page: &Value| {
                ["members", "rollouts", "history"]
                    .iter()
                    .map(|l| page[l].as_array().unwrap().len())
                    .sum::<usize>()
            };
            assert!(pages.iter().all(|page| (1..=most as usize).contains(&lines(page))));
        }
    }
    let names: Vec<Name> = (0..500).map(name).collect();
    let pages = walk(None, |page| page.unknown(Term(3), false, names.iter()));
    assert_eq!(all(&pages, "members", "name").len(), 500);
    assert!(pages.iter().all(|page| page["known"] == false && page["why"] == "no majority"));
}

#[test]
fn any_member_gives_any_page_and_what_is_none_is_said_to_be_none() {
    let mut world = World::new(31, 4, 3).begun();
    assert!(world.until(30 * S, World::in_line).is_some());
    let mut listed = Vec::new();
    for at in 0..4 {
        let mut after = String::new();
        let mut names = Vec::new();
        for _ in 0..5 {
            let body = format!(r#"{{"after":"{after}","most":1}}"#);
            let (state, told) = world.answer(at, "ops", "fleet/drift", &body);
            assert_eq!((state, &told["known"]), ("shown", &Value::from(true)), "{told}");
            names.extend(told["members"].as_array().unwrap().iter().map(|l| l["name"].to_string()));
            after = told["next"].as_str().expect("there is more: the history").to_owned();
        }
        assert_eq!(names.len(), 4, "each page has another one, and the fifth has what was said: {names:?}");
        listed.push(names);
    }
    assert!(listed.iter().all(|names| *names == listed[0]));
    for (body, why) in [
        (r#"{"after":"member/nobody"}"#, "there is no member nobody"),
        (r#"{"after":"m000"}"#, "no such page"),
        (r#"{"after":"history/1/2/m000/4/well"}"#, "no such page"),
        (r#"{"after":"history/1"}"#, "no such page"),
        (r#"{"most":0}"#, "at least 1"),
        (r#"{"most":-1}"#, "invalid value"),
        (r#"{"page":2}"#, "unknown field"),
        ("[", "EOF"),
        ("\u{1}", "expected value"),
    ] {
        for at in 0..4 {
            let (state, told) = world.answer(at, "ops", "fleet/drift", body);
            assert_eq!(state, "refused", "{body} at {at}: {told}");
            assert!(told["findings"][0]["why"].as_str().unwrap().contains(why), "{body}: {told}");
        }
    }
    // As far as it is known, so also where nothing is.
    world.split(&[0]);
    world.run(5 * S);
    let (_, told) = world.answer(0, "ops", "fleet/drift", r#"{"after":"member/m001","most":1}"#);
    assert_eq!((&told["known"], &told["members"][0]["name"]), (&false.into(), &"m002".into()), "{told}");
    assert_eq!(told["next"], "member/m002");
}
