//! Tests of a sender's configuration: its fields, and errors that name the invalid field.

use heronroute_platform::start::read;

const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff",
    "limits":{"cores":1.0,"memory_mb":32,"sockets":256,"disk_mb":3},
    "known":{"version":4,"full":true,"servers":[]},
    "settings":{"Azs":["a"],"Shapes":["m"],"Customers":[{"Name":"t"}],"Profiles":[{"Name":"c"}],
    "FamilyInfo":{"Workers":2},"Limits":{"MaxOpen":9,"MaxAttempts":3}}}"#;

#[test]
fn fields_are_parsed_and_errors_name_the_invalid_field() {
    let s = read(GOOD).unwrap();
    assert_eq!((s.seed, s.known.version, s.limits.sockets, s.settings.slots), (255, 4, 256, 2));
    assert_eq!((s.names.classes, s.names.tenants), (vec!["c".to_string()], vec!["t".to_string()]));
    for (from, to, text) in [
        ("\"listen\":\"127.0.0.1:1\",", "", "listen"),
        ("\"ff\"", "\"xyz\"", "seed"),
        ("\"sockets\":256", "\"sockets\":\"many\"", "line"),
        ("\"Workers\":2", "\"Workers\":0", "slots"),
        ("\"sockets\":256", "\"sockets\":3", "limits"),
    ] {
        let e = read(&GOOD.replace(from, to)).unwrap_err().to_string();
        assert!(e.contains(text), "{e}");
    }
}

#[test]
fn each_error_has_its_text() {
    for (from, to, text) in [
        ("\"ff\"", "\"xyz\"", "seed: should be a hexadecimal number"),
        ("\"version\":4", "\"version\":-4", "known: version: should be a whole number"),
        ("{\"Name\":\"t\"}", "", "settings: at least one class, kind and tenant must be named"),
        (
            "\"sockets\":256",
            "\"sockets\":3",
            "limits: memory_mb, disk_mb and sockets must leave room to work",
        ),
        (
            "\"Workers\":2",
            "\"Workers\":0",
            "settings: slots, max_open, max_attempts and senders must be at least 1",
        ),
        ("\"name\":\"n1\",", "", "missing field `name` at line 5 column 71"),
    ] {
        assert_eq!(read(&GOOD.replace(from, to)).unwrap_err().to_string(), text);
    }
}
