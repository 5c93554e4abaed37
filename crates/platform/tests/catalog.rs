//! Lists of endpoints.

use heronroute::Status;
use heronroute_platform::catalog::{List, Unreadable};

const LINE: &str =
    r#"{"id":"s","addr":"127.0.0.1:9","zone":"a","kind":"m","cell":3,"state":"DRAINING","weight":1.5}"#;

#[test]
fn a_line_that_cannot_be_read_harms_no_other() {
    let bad = LINE.replace("DRAINING", "ASLEEP");
    let text = format!(r#"{{"version":7,"full":false,"servers":[{bad},{LINE},4]}}"#);
    let list = List::read(text.as_bytes()).unwrap();
    assert_eq!((list.version, list.full, list.passed_over), (7, false, 2));
    let e = &list.entries[0];
    assert_eq!((e.cell, e.status, e.weight), (3, Status::Draining, Some(1.5)));
    assert!(List::read(b"{}").unwrap_err().to_string().contains("version"));
}

#[test]
fn what_is_no_list_says_why() {
    for (text, field) in [
        (r#"{"full":true,"servers":[]}"#, "version"),
        (r#"{"version":-1,"full":true,"servers":[]}"#, "version"),
        (r#"{"version":1,"full":1,"servers":[]}"#, "full"),
        (r#"{"version":1,"full":true,"servers":{}}"#, "servers"),
    ] {
        let why = List::read(text.as_bytes()).unwrap_err();
        assert!(matches!(why, Unreadable::Field { name, .. } if name == field), "{text}: {why}");
        assert!(why.to_string().starts_with(&format!("{field}: should be ")), "{why}");
    }
    assert!(matches!(List::read(b"{\"version\":1,}").unwrap_err(), Unreadable::Json(_)));
}
