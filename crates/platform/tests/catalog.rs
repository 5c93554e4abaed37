//! Tests of lists of endpoints.

use heronroute::Status;
use heronroute_platform::catalog::{List, ListError};

const ENTRY: &str =
    r#"{"id":"s","addr":"127.0.0.1:9","zone":"a","kind":"m","cell":3,"state":"DRAINING","weight":1.5}"#;

#[test]
fn an_unreadable_entry_does_not_affect_the_others() {
    let bad = ENTRY.replace("DRAINING", "ASLEEP");
    let text = format!(r#"{{"version":7,"full":false,"servers":[{bad},{ENTRY},4]}}"#);
    let list = List::read(text.as_bytes()).unwrap();
    assert_eq!((list.version, list.full, list.unreadable_entries), (7, false, 2));
    let e = &list.entries[0];
    assert_eq!((e.destination, e.status, e.weight), (3, Status::Draining, Some(1.5)));
    assert!(List::read(b"{}").unwrap_err().to_string().contains("version"));
}

#[test]
fn each_error_names_the_invalid_field() {
    for (text, field) in [
        (r#"{"full":true,"servers":[]}"#, "version"),
        (r#"{"version":-1,"full":true,"servers":[]}"#, "version"),
        (r#"{"version":1,"full":1,"servers":[]}"#, "full"),
        (r#"{"version":1,"full":true,"servers":{}}"#, "servers"),
    ] {
        let error = List::read(text.as_bytes()).unwrap_err();
        assert!(matches!(error, ListError::Field { name, .. } if name == field), "{text}: {error}");
        assert!(error.to_string().starts_with(&format!("{field}: should be ")), "{error}");
    }
    assert!(matches!(List::read(b"{\"version\":1,}").unwrap_err(), ListError::Json(_)));
}
