//! Parsing of drafts and the JSON of answers.

mod common;

use common::*;
use heronroute_rules::json::{NO_MAJORITY, read, show};
use heronroute_rules::registry::{View, Viewer};
use heronroute_rules::{Command, Registry, Reply, Rule, RuleLimits, RuleSet};
use proptest::prelude::*;

const BODY: &str =
    r#"{"base":0,"rules":[{"name":"long","class":"RESP","to":"000001","key":"","hold_for":"30m"}]}"#;

fn why(body: &str) -> String {
    let found = read(body.as_bytes()).expect_err(body);
    let first = &found.list[0];
    format!("{}|{}|{}", first.rule, first.field, first.why)
}

#[test]
fn a_draft_is_read() {
    let draft = read(BODY.as_bytes()).expect("read");
    assert_eq!((draft.base, draft.rules.clone()), (0, vec![rule("long", "000001", 30 * MINUTE)]));
    assert_eq!(
        draft.request("oduya"),
        read(BODY.replace(',', ", ").as_bytes()).expect("read").request("oduya")
    );
    assert_ne!(draft.request("oduya"), draft.request("other"));
    let named = BODY.replace("}]", r#"}],"request":"7""#);
    assert_ne!(draft.request("oduya"), read(named.as_bytes()).expect("read").request("oduya"));
    let all = r#"{"rules":[{"name":"a","answer_for":"1.5s","remember":"2h","remembered":5,"hold_for":"3ms",
        "hold_count":6,"hold_octets":"1MiB","trails":7,"validity":"4us","release":8}]}"#;
    let limits = RuleLimits {
        answer_for: Some(1_500_000),
        remember: Some(7_200_000_000),
        remembered: Some(5),
        hold_for: Some(3_000),
        hold_count: Some(6),
        hold_octets: Some(1 << 20),
        trails: Some(7),
        validity: Some(4),
        release: Some(8),
    };
    assert_eq!(
        read(all.as_bytes()).expect("read").rules,
        [Rule { name: "a".into(), limits, ..Rule::default() }]
    );
}

#[test]
fn errors_name_rule_and_field() {
    assert!(why(&BODY.replace("hold_for", "hold_four")).contains("unknown field `hold_four`"));
    assert!(why(&BODY.replace("\"base\"", "\"bass\"")).contains("unknown field `bass`"));
    assert!(why(&BODY.replace("30m", "30 days")).starts_with("long|hold_for|\"30 days\" is no span"));
    assert!(why(&BODY.replace("\"30m\"", "30")).contains("line 1 column"));
    assert!(
        why(&BODY.replace("hold_for\":\"30m\"", "hold_octets\":\"1MB\"")).starts_with("long|hold_octets|")
    );
    assert!(why(&BODY.replace("hold_for\":\"30m\"", "trails\":-1")).contains("invalid value"));
    assert!(why(&format!("{BODY} 1")).contains("trailing"));
    assert!(why("").contains("EOF") && why("{}").contains("missing field `rules`"));
    assert!(why(&format!("{}{}", "[".repeat(30_000), "]".repeat(30_000))).contains("invalid type"));
    assert!(why(&format!(r#"{{"rules":{}{}}}"#, "[".repeat(900), "]".repeat(900))).contains("invalid type"));
    assert!(why(&BODY.replace("long", &"x".repeat(70_000))).contains("over 64KiB"));
    let many = format!(r#"{{"rules":[{}{{}}]}}"#, "{},".repeat(1_024));
    assert!(why(&many).starts_with("|rules|too many"));
    assert!(why(&BODY.replace("30m", &"9".repeat(9_000))).len() < 250, "quoted texts are shortened");
}

#[test]
fn answers_have_the_documented_form() {
    assert_eq!(Reply::Approved { version: 1 }.json(), r#"{"state":"approved","version":1}"#);
    assert_eq!(Reply::Waiting { version: 2 }.json(), r#"{"state":"waiting","version":2}"#);
    assert_eq!(NO_MAJORITY, r#"{"state":"no majority"}"#);
    let conflict = Reply::Conflict { version: 3, rules: vec!["long".into()], why: "w".into() };
    assert_eq!(conflict.json(), r#"{"state":"conflict","version":3,"rules":["long"],"why":"w"}"#);

    let mut registry = Registry::new();
    let plan = Some(Box::new(plan()));
    registry.apply(0, &Command::Plan { client: "oduya".into(), plan, digest: [1; 32] });
    let rules = read(BODY.replace("30m", "2h").as_bytes()).expect("read").rules;
    let reply = registry
        .apply(0, &Command::Submit { request: [0; 32], client: "oduya".into(), base: 0, rules })
        .reply;
    let text = r#"{"state":"refused","findings":[{"rule":"long","field":"hold_for","plan":"1h","fits":"1h","why":"the plan has 1h at most, the rule 2h"}]}"#;
    assert_eq!(reply.json(), text);
    let rules = read(BODY.as_bytes()).expect("read").rules;
    registry.apply(0, &Command::Submit { request: [0; 32], client: "oduya".into(), base: 0, rules });
    let view = registry.view(Viewer { client: "oduya", operator: false }, "oduya").expect("own");
    let text = show(&view);
    assert!(text.starts_with(r#"{"version":1,"rules":[{"#) && text.contains(r#""hold_for":"30m""#), "{text}");
    assert_eq!(show(&View::default()), r#"{"version":0,"rules":[]}"#);
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn shown_rules_can_be_submitted(rules in any_rules()) {
        let set = RuleSet { version: 3, rules: rules.clone() };
        let view = View { set: set.into(), ..View::default() };
        let text = show(&view).replace("\"version\"", "\"base\"");
        let draft = read(text.as_bytes()).map_err(|e| TestCaseError::fail(format!("{e:?} {text}")))?;
        prop_assert_eq!((draft.base, draft.rules), (3, rules));
    }

    #[test]
    fn arbitrary_bytes_never_panic(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = read(&body);
        let _ = Command::unpack(&body);
        let _ = Registry::restore(&body);
    }

    /// Almost valid bodies: with bytes changed, cut off or inserted.
    #[test]
    fn damaged_bodies_never_panic(edits in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3u8), 1..6)) {
        let mut body = BODY.as_bytes().to_vec();
        for (at, byte, kind) in edits {
            let at = at.index(body.len());
            match kind {
                0 => body[at] = byte,
                1 => body.truncate(at.max(1)),
                _ => body.insert(at, byte),
            }
        }
        if let Ok(draft) = read(&body) {
            let _ = heronroute_rules::check::check(&draft.rules, &plan());
        }
    }
}
