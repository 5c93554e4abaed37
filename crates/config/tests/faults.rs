//! Invalid files: each error is reported with its position and the allowed values.

use heronroute_config::{Copies, parse, parse_listing, raw, write_listing};

const VALID: &str = r#"# a small service
service { senders: 2 slots: 64 room: 1000 }
client { system_id: "survey" password: "secret" rate: 50 }
class { name: "PAY" effect: "single_shot" aim: "2s" deadline: "16s" worth: 5 }
class { name: "RESP" effect: "guarded" window: "10s" deadline: "24s" }
kind { name: "bulk" protocol: "smpp" batch: 10 }
route { prefix: "234" destination: 7 }
endpoint { name: "a" address: "127.0.0.1:9001" destination: 7 kind: "bulk" zone: "east" weight: 40 }
"#;

#[test]
fn parses_a_valid_file() {
    let c = parse("x", VALID).unwrap();
    assert_eq!((c.service.senders, c.settings.slots, c.settings.max_open), (2, 64, 1000));
    assert_eq!(c.settings.classes[0].deadline, 16_000_000);
    assert_eq!(c.zones, ["east"]);
    assert_eq!(c.endpoints[0].weight, Some(40.0));
}

#[test]
fn each_error_names_its_position() {
    let cases = [
        ("senders: 2", "senders: 99", "x:2:11: service.senders: 99 is too many: 1 to 64"),
        ("\"16s\"", "\"16 days\"", "x:4:53: class[0].deadline: \"16 days\" is not a duration"),
        ("effect: \"guarded\"", "effect: \"once\"", "x:5:22: class[1].effect: \"once\" is not an effect"),
        ("window: \"10s\"", "", "x:5:1: class[1].window: a guarded class needs"),
        (
            "127.0.0.1:9001",
            "10.0.0.1:9001",
            "x:8:22: endpoint[0].address: \"10.0.0.1:9001\" is not a loopback",
        ),
        (
            "kind: \"bulk\" zone",
            "kind: \"blk\" zone",
            "x:8:63: endpoint[0].kind: \"blk\" is none of the kinds",
        ),
        ("aim: \"2s\"", "aim: \"20s\"", "x:4:43: class[0].aim: the aim is later than"),
    ];
    for (from, to, wanted) in cases {
        let message = parse("x", &VALID.replace(from, to)).unwrap_err().to_string();
        assert!(message.starts_with(wanted), "{message}\nshould be\n{wanted}");
    }
}

#[test]
fn mqtt_is_enabled_by_its_listen_address() {
    let with = |m: &str| parse("x", &format!("{VALID}mqtt {{ {m} }}"));
    assert_eq!(parse("x", VALID).unwrap().mqtt, None);
    let m = with("listen: \"127.0.0.1:1883\" keep_alive: \"90s\"").unwrap().mqtt.unwrap();
    assert_eq!((m.keep_alive, m.window, m.expiry, m.sessions), (90, 100, 86_400, 10_000));
    for (wrong, expected) in [
        ("window: 5", "x:9:1: mqtt: without `listen` no other"),
        ("listen: \"0.0.0.0:1883\"", "x:9:8: mqtt.listen: \"0.0.0.0:1883\" is not a loopback"),
        ("listen: \"[::1]:1\" keep_alive: \"19h\"", "x:9:26: mqtt.keep_alive: \"19h\" is too long"),
        ("listen: \"[::1]:1\" keep_alive: \"1500ms\"", "x:9:26: mqtt.keep_alive: \"1500ms\" is not a whole"),
        ("listen: \"[::1]:1\" window: 70000", "x:9:26: mqtt.window: 70000 is too many: 1 to 65"),
    ] {
        let got = with(wrong).unwrap_err().to_string();
        assert!(got.starts_with(expected), "{got}\nshould be\n{expected}");
    }
}

#[test]
fn unknown_fields_and_malformed_text_are_errors_with_a_position() {
    let message = parse("x", &VALID.replace("slots: 64", "slotz: 64")).unwrap_err();
    assert_eq!((message.0[0].line, message.0[0].column), (2, 22), "{message}");
    assert!(message.to_string().contains("slotz"), "{message}");
    assert_eq!(parse("x", &VALID.replace("route {", "route [")).unwrap_err().0[0].line, 7);
    let many = parse("x", "service { senders: 99 slots: 4294967295 }").unwrap_err();
    assert!(many.0.len() >= 6, "all errors at once: {many}");
    for end in 0..VALID.len() {
        _ = parse("x", &VALID[..end]);
    }
}

#[test]
fn a_listing_round_trips_through_text() {
    let endpoint = raw::Endpoint { name: "a".into(), address: "127.0.0.1:1".into(), ..Default::default() };
    let text = write_listing(&raw::Listing { version: 3, whole: true, endpoint: vec![endpoint] });
    let read = parse_listing("x", &text).unwrap();
    assert_eq!((read.version, read.whole, read.endpoints[0].name.as_str()), (3, true, "a"));
    assert!(parse_listing("x", "version: 1 endpoint { name: \"a\" address: \"nowhere\" }").is_err());
    // A list of changes may have several for one endpoint, in order; a whole list names each endpoint once.
    let twice = "endpoint { name: \"a\" address: \"127.0.0.1:1\" status: \"draining\" } \
                 endpoint { name: \"a\" address: \"127.0.0.1:1\" status: \"removed\" }";
    assert_eq!(parse_listing("x", twice).unwrap().endpoints.len(), 2);
    assert!(parse_listing("x", &format!("whole: true {twice}")).is_err());
}

const FLEET: &str = r#"fleet { id: "oduya" self: "a" listen: "127.0.0.1:7001" folder: "var/a" key_file: "fleet.key"
  member { name: "a" address: "127.0.0.1:7001" zone: "north" keeper: true }
  member { name: "b" address: "127.0.0.1:7002" zone: "north" keeper: true }
  member { name: "c-3" address: "127.0.0.1:7003" zone: "south" keeper: true }
  member { name: "d" address: "127.0.0.1:7004" zone: "south" }
}
"#;

#[test]
fn parses_an_installation_and_reports_each_error() {
    assert_eq!(parse("x", VALID).unwrap().fleet, None);
    let fleet = parse("x", &format!("{FLEET}{VALID}")).unwrap().fleet.unwrap();
    assert_eq!((fleet.id.as_str(), fleet.own, fleet.members.len()), ("oduya", 0, 4));
    assert_eq!((fleet.folder.as_str(), fleet.key_file.as_str()), ("var/a", "fleet.key"));
    assert_eq!((fleet.members[2].name.as_str(), fleet.members[2].zone.as_str()), ("c-3", "south"));
    assert!(fleet.members[2].keeper && !fleet.members[3].keeper);
    assert_eq!(fleet.clock_ahead, 0);
    for (text, ahead) in [("5s", 5_000_000), ("-2.5m", -150_000_000)] {
        let text = FLEET.replace("fleet.key\"", &format!("fleet.key\" clock_ahead: \"{text}\""));
        let fleet = parse("x", &format!("{text}{VALID}")).unwrap().fleet.unwrap();
        assert_eq!(fleet.clock_ahead, ahead);
    }
    let b = "  member { name: \"b\" address: \"127.0.0.1:7002\" zone: \"north\" keeper: true }\n";
    let c = "  member { name: \"c-3\" address: \"127.0.0.1:7003\" zone: \"south\" keeper: true }\n";
    let d = "  member { name: \"d\" address: \"127.0.0.1:7004\" zone: \"south\" }\n";
    for (from, to, wanted) in [
        ("name: \"b\"", "name: \"B\"", "x:3:12: fleet.member[1].name: \"B\" is not a name: 1 to 32 of a-z"),
        ("name: \"b\"", "name: \"a\"", "x:3:12: fleet.member[1].name: \"a\" is used more than once"),
        (":7002", ":7001", "x:3:22: fleet.member[1].address: \"127.0.0.1:7001\" is another member's"),
        ("127.0.0.1:7002", "10.0.0.1:7002", "x:3:22: fleet.member[1].address: \"10.0.0.1:7002\" is not a"),
        ("south\" }", "\" }", "x:5:48: fleet.member[3].zone: \"\" is not a name: 1 to 64"),
        ("south\" }", "south\" keeper: true }", "x:2:3: fleet.member: 4 of them are keepers: 1, 3 or 5"),
        (d, "", ""),
        (&format!("{b}{c}"), "", "x:2:3: fleet.member: 2 members: 1, or 3 to 500"),
        (&format!("{b}{c}{d}"), "", ""),
        ("self: \"a\"", "self: \"e\"", "x:1:21: fleet.self: \"e\" is none of the members"),
        ("listen: \"127.0.0.1:7001\" ", "", "x:1:1: fleet.listen: \"\" is not an address"),
        ("folder: \"var/a\" ", "", "x:1:1: fleet.folder: it must be given"),
        ("key_file: \"fleet.key\"", "", "x:1:1: fleet.key_file: it must be given"),
        ("id: \"oduya\" ", "", "x:1:1: fleet.id: \"\" is not a name: 1 to 64"),
        ("fleet.key\"", "fleet.key\" clock_ahead: \"-24h\"", ""),
        (
            "fleet.key\"",
            "fleet.key\" clock_ahead: \"24.1h\"",
            "x:1:94: fleet.clock_ahead: \"24.1h\" is more than 24h",
        ),
        (
            "fleet.key\"",
            "fleet.key\" clock_ahead: \"--5s\"",
            "x:1:94: fleet.clock_ahead: \"-5s\" is not a duration",
        ),
        (
            "fleet.key\"",
            "fleet.key\" clock_ahead: \"-\"",
            "x:1:94: fleet.clock_ahead: \"\" is not a duration",
        ),
    ] {
        let text = format!("{FLEET}{VALID}").replace(from, to);
        assert_ne!(text, format!("{FLEET}{VALID}"), "{from}");
        let message = parse("x", &text).map_or_else(|e| e.to_string(), |_| String::new());
        assert!(
            message.starts_with(wanted) && message.is_empty() == wanted.is_empty(),
            "{message}\nnot\n{wanted}"
        );
    }
    let rolled = |text: &str| {
        let text = FLEET.replace(" key_file", &format!("\n  rollout {{ {text} }} key_file"));
        parse("x", &format!("{text}{VALID}")).map(|cfg| cfg.fleet.unwrap().rollout).map_err(|e| e.to_string())
    };
    let r = fleet.rollout;
    assert_eq!(
        (r.waves, r.soak, r.wave_for, r.back),
        (true, 1_000_000, 30_000_000, true),
        "documented defaults"
    );
    let r = rolled("soak: \"0s\" wave_for: \"2m\" back: false waves: false").unwrap();
    assert_eq!((r.waves, r.soak, r.wave_for, r.back), (false, 0, 120_000_000, false));
    for (text, wanted) in [
        ("soak: \"soon\"", "x:2:13: fleet.rollout.soak: \"soon\" is not a duration"),
        ("soak: \"11m\"", "x:2:13: fleet.rollout.soak: \"11m\" is too long: at most 10m"),
        ("wave_for: \"4s\"", "x:2:13: fleet.rollout.wave_for: \"4s\" is too short: at least 5s"),
        ("back: true wave_for: \"2h\"", "x:2:24: fleet.rollout.wave_for: \"2h\" is too long: at most 1h"),
        ("back: 3", "x:2:"),
    ] {
        let message = rolled(text).unwrap_err();
        assert!(message.starts_with(wanted), "{message}\nnot\n{wanted}");
    }
    let many = |n: usize| {
        let member =
            |i| format!("member {{ name: \"m{i}\" address: \"127.0.0.1:{}\" zone: \"z\" }}\n", 9000 + i);
        let text = FLEET.replace("}\n}\n", &format!("}}\n{}}}\n", (4..n).map(member).collect::<String>()));
        parse("x", &format!("{text}{VALID}"))
    };
    assert_eq!(many(500).unwrap().fleet.unwrap().members.len(), 500);
    assert!(many(501).unwrap_err().to_string().contains("501 members"));
}

const PLAN: &str = r#"plan { name: "small" rules: 4 class: "RESP" prefix: "000001" hold_for: "1h" hold_count: 1000
  hold_octets: "1MiB" remember: "10m" remembered: 1000 answer_for: "10m" trails: 1000 validity: "1h" release: 20
  changes_an_hour: 20 approval: true grace: "10m" }
client { system_id: "oduya" password: "secret" plan: "small" }
client { system_id: "ops" password: "secret" operator: true }
"#;

#[test]
fn parses_plans_and_reports_each_error() {
    let plain = parse("x", VALID).unwrap();
    assert!(plain.plans.is_empty() && plain.clients[0].plan.is_none() && !plain.clients[0].operator);
    let read = parse("x", &format!("{PLAN}{VALID}")).unwrap();
    assert_eq!(read.clients[0].plan.as_deref(), Some("small"));
    assert_eq!((read.clients[1].operator, read.clients[2].operator), (true, false));
    let p = &read.plans[0];
    assert_eq!((p.rules, &p.classes[..], &p.prefixes[..]), (4, &["RESP".into()][..], &["000001".into()][..]));
    assert_eq!((p.changes_an_hour, p.approval, p.grace), (20, true, 600_000_000));
    let m = &p.most;
    assert_eq!((m.hold_for, m.hold_count, m.hold_octets), (Some(3_600_000_000), Some(1000), Some(1 << 20)));
    assert_eq!((m.remember, m.remembered), (Some(600_000_000), Some(1000)));
    assert_eq!((m.answer_for, m.trails), (Some(600_000_000), Some(1000)));
    assert_eq!((m.validity, m.release), (Some(3_600_000_000), Some(20)));
    let bare = parse("x", &format!("plan {{ name: \"p\" }}\n{VALID}")).unwrap();
    assert_eq!((bare.plans[0].rules, bare.plans[0].changes_an_hour, bare.plans[0].approval), (16, 20, false));
    assert_eq!((bare.plans[0].grace, &bare.plans[0].most), (86_400_000_000, &Default::default()));
    for (from, to, wanted) in [
        ("rules: 4", "rules: 20000", "x:1:22: plan[0].rules: 20000 is too many: 1 to 10000"),
        ("class: \"RESP\"", "class: \"XX\"", "x:1:31: plan[0].class[0]: \"XX\" is none of the classes"),
        ("\"RESP\"", "\"RESP\" class: \"RESP\"", "x:1:45: plan[0].class[1]: \"RESP\" is used more than once"),
        ("\"000001\"", "\"0 1\"", "x:1:45: plan[0].prefix[0]: \"0 1\" is not a prefix: at most 20"),
        ("\"000001\"", "\"1\" prefix: \"1\"", "x:1:57: plan[0].prefix[1]: \"1\" is used more than once"),
        ("hold_for: \"1h\"", "hold_for: \"1d\"", "x:1:62: plan[0].hold_for: \"1d\" is not a duration"),
        ("hold_count: 1000", "hold_count: 99999999", "x:1:77: plan[0].hold_count: 99999999 is too many"),
        ("\"1MiB\"", "\"2048GiB\"", "x:2:3: plan[0].hold_octets: \"2048GiB\" is too large: at most 1024GiB"),
        ("\"1MiB\"", "\"1MB\"", "x:2:3: plan[0].hold_octets: \"1MB\" is not a size"),
        ("remember: \"10m\"", "remember: \"1us\"", "x:2:23: plan[0].remember: \"1us\" is too short"),
        ("release: 20", "release: 2000000", "x:2:102: plan[0].release: 2000000 is too many"),
        ("changes_an_hour: 20", "changes_an_hour: 200000", "x:3:3: plan[0].changes_an_hour: 200000 is too"),
        ("operator: true", "", "x:3:23: plan[0].approval: no client of this file is an operator"),
        ("name: \"small\"", "name: \"\"", "x:1:8: plan[0].name: \"\" is not a name"),
        ("plan: \"small\"", "plan: \"smal\"", "x:4:48: client[0].plan: \"smal\" is none of the plans"),
        (
            "grace: \"10m\" }",
            "grace: \"10m\" } plan { name: \"small\" }",
            "x:3:60: plan[1].name: \"small\" is used",
        ),
    ] {
        let message = parse("x", &format!("{PLAN}{VALID}").replacen(from, to, 1)).unwrap_err().to_string();
        assert!(message.starts_with(wanted), "{message}\nshould be\n{wanted}");
    }
}

#[test]
fn parses_regions_and_reports_each_error() {
    let fleet = FLEET
        .replace("key\"\n", "key\"\n  regions { folder: \"var/copies\" }\n")
        .replace("\"north\"", "\"n\" region: \"north\"")
        .replace("\"south\"", "\"s\" region: \"south\"");
    let good = format!("{fleet}journal {{ folder: \"j\" }}\n{VALID}").replace("worth: 5", "copies: \"both\"");
    let regions = parse("x", &good).unwrap().fleet.unwrap().regions.unwrap();
    assert_eq!(regions.of, ["north", "north", "south", "south"]);
    assert_eq!((regions.right, regions.gone, regions.lag), (3_000_000, 2_000_000, 1_000_000));
    assert_eq!((regions.folder.as_str(), regions.most_disk), ("var/copies", 1 << 30));
    assert_eq!(regions.classes, [Copies::Both, Copies::Local]);
    let without = parse("x", &format!("{FLEET}{VALID}")).unwrap().fleet.unwrap();
    assert_eq!(without.regions, None, "regions are off by default");
    let folder = "folder: \"var/copies\"";
    for (from, to, wanted) in [
        (folder, "", "x:2:3: fleet.regions.folder: it must be given"),
        (folder, "folder: \"v\" right: \"400ms\"", "x:2:25: fleet.regions.right: \"400ms\" is too short"),
        (folder, "folder: \"v\" right: \"61s\"", "x:2:25: fleet.regions.right: \"61s\" is too long"),
        (folder, "folder: \"v\" gone: \"11m\"", "x:2:25: fleet.regions.gone: \"11m\" is too long"),
        (folder, "folder: \"v\" lag: \"1ms\"", "x:2:25: fleet.regions.lag: \"1ms\" is too short"),
        (
            folder,
            "folder: \"v\" most_disk: \"1MiB\"",
            "x:2:25: fleet.regions.most_disk: \"1MiB\" is too small",
        ),
        ("journal { folder: \"j\" }", "", "x:2:3: fleet.regions: there is no journal that could be copied"),
        ("region: \"south\"", "region: \"north\"", "x:2:3: fleet.regions: all members are in one region"),
        (
            "zone: \"s\" region: \"south\" }",
            "zone: \"s\" }",
            "x:6:3: fleet.member[3].region: \"\" is not a region",
        ),
        ("regions { folder: \"var/copies\" }", "", "x:3:58: fleet.member[0].region: \"north\": there is no"),
        ("copies: \"both\"", "copies: \"two\"", "x:12:69: class[0].copies: \"two\" is none of \"local\""),
    ] {
        let text = good.replace(from, to);
        assert_ne!(text, good, "{from}");
        let message = parse("x", &text).map_or_else(|e| e.to_string(), |_| String::new());
        assert!(message.starts_with(wanted), "{message}\nnot\n{wanted}");
    }
    let message = parse("x", &VALID.replace("worth: 5", "copies: \"both\"")).unwrap_err().to_string();
    assert!(message.contains("class[0].copies: there are no regions to have copies in"), "{message}");
}
