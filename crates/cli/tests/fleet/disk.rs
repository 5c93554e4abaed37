//! What a member has on disk is altered while it is down: its senders' tables, and a keeper's part of the log.

use crate::rig::{Rig, SOON, name};
use crate::traffic::S;
use heronroute_fleet::replicas::record::{read, write};
use heronroute_journal::dir::Dir;
use heronroute_journal::entry::{Entry, What};
use heronroute_journal::{Journal, Limits};
use serde_json::Value;
use std::path::Path;
use std::time::Instant;

/// The keepers' log in a member's folder.
const AGREED: &str = "fleet/agreed";

fn open(folder: &Path) -> Journal<Dir> {
    Journal::open(Dir::open(folder).unwrap(), Limits::default()).unwrap()
}

/// The rules that a sender has on disk.
fn table(folder: &Path) -> String {
    String::from_utf8(open(folder).state().applied["oduya"].rules.clone()).unwrap()
}

/// The rule in a sender's table is another one from its next start on.
fn alter_table(folder: &Path) {
    let rules = table(folder);
    let altered = rules.replace("\"long\"", "\"lung\"");
    assert_ne!(altered, rules);
    let mut journal = open(folder);
    let mut applied = journal.state().applied["oduya"].clone();
    applied.rules = altered.into_bytes();
    journal.commit(&[Entry::from(What::Applied(applied))]).unwrap();
}

/// The rule in a keeper's log is another one, in frames that are whole.
fn alter_log(file: &Path) {
    let octets = std::fs::read(file).unwrap();
    let (mut rest, mut out, mut times) = (&octets[..], Vec::new(), 0);
    while let Some((number, payload, after)) = read(rest) {
        let mut payload = payload.to_vec();
        for at in 0..payload.len().saturating_sub(3) {
            if &payload[at..at + 4] == b"long" {
                payload[at + 1] = b'u';
                times += 1;
            }
        }
        write(number, &payload, &mut out);
        rest = after;
    }
    assert!(times > 0, "the rule is in the log");
    std::fs::write(file, out).unwrap();
}

/// The senders' tables are mended from the log before a report of them leaves; a log that is altered is no log to start from,
/// or, where every frame of it is whole, is held against the other keepers', given up and learnt anew before it counts.
#[test]
fn a_rule_altered_on_one_members_disk_is_found() {
    let mut rig = Rig::new(3, 3, 40);
    let all = [0, 1, 2];
    all.iter().for_each(|m| _ = rig.sees(*m, &[], "alive"));
    let traffic: Vec<_> = all.iter().map(|m| rig.traffic(*m, 6 * S)).collect();
    assert_eq!(rig.approved(0, 0, 30).0, 1);
    rig.in_line(0, &all, 1);
    let charge = rig.in_charge(0);
    let (at, other) = ((charge + 1) % 3, (charge + 2) % 3);
    let file = rig.fleet.member(at).unwrap().folder().join(AGREED);
    let journal = rig.fleet.member(at).unwrap().settings().with_extension("txt.journal");
    let senders = [0, 1].map(|n| journal.join(format!("sender-{n}")));

    rig.fleet.member(at).unwrap().kill().unwrap();
    senders.iter().for_each(|s| alter_table(s));
    rig.fleet.member(at).unwrap().start(SOON).unwrap();
    let started = Instant::now();
    for _ in &senders {
        rig.fleet.member(at).unwrap().wait_line("rules are in force", SOON).unwrap();
    }
    println!("tables altered: mended {:?} after the start", started.elapsed());
    let altered = |row: &Value| row["member"] == name(at).as_str() && row["verdict"] == "altered";
    assert_eq!(rig.history(other).iter().filter(|r| altered(r)).count(), 0, "mended before it was reported");

    // One octet of the log: every start says so and ends, and harms nothing.
    rig.fleet.member(at).unwrap().kill().unwrap();
    senders.iter().for_each(|s| assert!(table(s).contains("\"long\""), "mended on disk too"));
    let good = std::fs::read(&file).unwrap();
    let mut broken = good.clone();
    let middle = broken.len() / 2;
    broken[middle] ^= 1;
    std::fs::write(&file, &broken).unwrap();
    let told = rig.fleet.member(at).unwrap().start(SOON).unwrap_err().to_string();
    assert!(told.contains("the keepers' log is broken at octet"), "{told}");
    assert_eq!(std::fs::read(&file).unwrap(), broken, "left as it was found");

    // Whole frames that say something else.
    std::fs::write(&file, &good).unwrap();
    alter_log(&file);
    rig.fleet.member(at).unwrap().start(SOON).unwrap();
    let started = Instant::now();
    rig.fleet.member(at).unwrap().wait_line("it is given up, and learnt anew", SOON).unwrap();
    println!("log altered: found out {:?} after the start", started.elapsed());
    rig.shows(at, 1);
    assert_eq!(rig.ask(at, "rules/show", &Value::Null)["rules"][0]["name"], "long");
    rig.in_line(other, &all, 1);
    println!("log altered: in line {:?} after the start", started.elapsed());
    assert_eq!(rig.history(other).iter().filter(|r| altered(r)).count(), 0, "nothing of it was ever applied");
    for (m, traffic) in traffic.into_iter().enumerate() {
        traffic.audit(&format!("member {m}"), 0);
    }
}
