use super::*;
use heronroute_config::parse;
use heronroute_journal::Entry;
use heronroute_journal::entry::{Accepted, Answer, Held, Intent, Named, Request, Session, What};

const CLIENTS: [&str; 6] = ["brand-0", "brand-1", "brand-2", "brand-3", "brand-4", "brand-5"];

fn config(folder: &Path, senders: usize) -> Config {
    let text = format!(
        "service {{ senders: {senders} }} journal {{ folder: \"{}\" }} client {{ system_id: \"c\" password: \"p\" }} \
        class {{ name: \"RESP\" effect: \"free\" deadline: \"30s\" }} kind {{ name: \"k\" protocol: \"smpp\" }} \
        route {{ destination: 1 }} \
        endpoint {{ name: \"a\" address: \"127.0.0.1:1\" destination: 1 kind: \"k\" }}",
        folder.display()
    );
    parse("test", &text).unwrap()
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("heronroute-{name}-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    folder
}

fn accepted(id: u64, client: &str) -> Accepted {
    Accepted { id, client: client.into(), mailbox: "s".into(), body: vec![1], ..Accepted::default() }
}

/// What a sender keeps for a client: an open message that may have run, an answer that is owed, a session and a held
/// message, and a name.
fn kept_for(number: u64, client: &str) -> Vec<Entry> {
    let id = |kind: u64| number * 1_000 + kind * 64;
    let session = Session {
        client: client.into(),
        name: "s".into(),
        began: 1,
        expiry: 9,
        window: 2,
        latest: vec![Request { packet: 7, digest: 8, id: id(1) }],
        ..Session::default()
    };
    let intent = Intent { id: id(1), endpoint: "a".into(), at: 5 };
    let answer = Answer { id: id(2), word: "DELIVRD".into(), retry_after: -1, at: 9 };
    [
        What::Session(session),
        What::Accepted(accepted(id(1), client)),
        What::Intent(intent),
        What::Accepted(accepted(id(2), client)),
        What::Answer(answer),
        What::Held(Held { accepted: Some(accepted(id(3), client)), ..Held::default() }),
        What::Named(Named { high: number, low: 1, id: id(1), until: 1 << 60 }),
    ]
    .map(Entry::from)
    .into()
}

/// All that is kept for clients, by sender: sessions, open messages and held ones.
fn kept(journals: &[Option<Journal<Dir>>]) -> Vec<(usize, usize, usize)> {
    let count = |journal: &Journal<Dir>| {
        (journal.state().sessions.len(), journal.state().open.len(), journal.state().held.len())
    };
    journals.iter().flatten().map(count).collect()
}

/// Guards against messages and answers that nobody can reach: an earlier version served some clients at another sender than
/// their home, and their connections lead home now. A process that ends in between changes nothing.
#[test]
fn what_an_earlier_version_kept_elsewhere_is_moved_to_its_clients_homes() {
    for ends_in_between in [false, true] {
        let folder = folder(&format!("homes-{ends_in_between}"));
        let cfg = config(&folder, 2);
        let mut journals = open_journals(&cfg).unwrap();
        // All of it at sender 0.
        for (number, client) in CLIENTS.iter().enumerate() {
            journals[0].as_mut().unwrap().commit(&kept_for(number as u64 + 1, client)).unwrap();
        }
        let before = journals[0].as_ref().unwrap().state().clone();
        if ends_in_between {
            let target = journals[1].as_ref().unwrap().state().clone();
            let relocation = before.relocation(&target, |client| home(client, 2) == 1);
            let part = relocation.arriving.len() / 2;
            journals[1].as_mut().unwrap().commit(&relocation.arriving[..part]).unwrap();
        }
        drop(journals);
        let journals = open_journals(&cfg).unwrap();
        let at_one = CLIENTS.iter().filter(|client| home(client, 2) == 1).count();
        assert!(at_one > 0 && at_one < CLIENTS.len());
        let at_zero = CLIENTS.len() - at_one;
        assert_eq!(kept(&journals), [(at_zero, 2 * at_zero, at_zero), (at_one, 2 * at_one, at_one)]);
        let moved = journals[1].as_ref().unwrap().state();
        for open in moved.open.values() {
            assert_eq!(open, &before.open[&open.accepted.id], "as it was");
        }
        for (key, session) in &moved.sessions {
            assert_eq!(session, &before.sessions[key], "as it was");
        }
        assert!(moved.names.len() >= CLIENTS.len(), "a name may be any client's");
        drop(journals);
        _ = std::fs::remove_dir_all(&folder);
    }
}

/// Guards against held messages that are dropped at a start with another number of senders.
#[test]
fn held_messages_are_moved_where_the_number_of_senders_changes() {
    for (before, after) in [(2, 1), (1, 3), (4, 2)] {
        let folder = folder(&format!("count-{before}-{after}"));
        let mut journals = open_journals(&config(&folder, before)).unwrap();
        for (number, client) in CLIENTS.iter().enumerate() {
            let held = Held { accepted: Some(accepted(number as u64 + 1, client)), ..Held::default() };
            let journal = journals[home(client, before)].as_mut().unwrap();
            journal.commit(&[What::Held(held).into()]).unwrap();
        }
        drop(journals);
        let journals = open_journals(&config(&folder, after)).unwrap();
        let expected = |index| CLIENTS.iter().filter(|client| home(client, after) == index).count();
        let expected: Vec<(usize, usize, usize)> = (0..after).map(|index| (0, 0, expected(index))).collect();
        assert_eq!(kept(&journals), expected, "{before} to {after}");
        drop(journals);
        _ = std::fs::remove_dir_all(&folder);
    }
}
