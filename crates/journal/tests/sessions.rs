//! Sessions in the journal's state: what is known of their requests is the same behind a start, or less is claimed.

use heronroute_journal::JournalState;
use heronroute_journal::entry::{Accepted, EarlierRequests, Request, Session, What};

const WINDOW: u32 = 3;

fn session(latest: Vec<Request>, earlier: EarlierRequests) -> What {
    What::Session(Session {
        client: "c".into(),
        name: "s".into(),
        began: 1,
        expiry: 10,
        window: WINDOW,
        latest,
        earlier: earlier.into(),
        ..Session::default()
    })
}

fn accepted(packet: u32) -> What {
    What::Accepted(Accepted {
        id: u64::from(packet),
        client: "c".into(),
        mailbox: "s".into(),
        packet,
        ..Accepted::default()
    })
}

fn has_dropped(state: &JournalState) -> bool {
    state.sessions.values().next().unwrap().has_dropped
}

/// Guards against a snapshot that forgets that a session had requests which its list does not hold any more.
#[test]
fn a_snapshot_knows_that_requests_are_missing_from_it() {
    let mut state = JournalState::default();
    state.apply(&session(Vec::new(), EarlierRequests::Unknown).into());
    for packet in 1..=WINDOW + 1 {
        let rebuilt = {
            let mut rebuilt = JournalState::default();
            state.entries().for_each(|entry| rebuilt.apply(&entry));
            rebuilt
        };
        assert_eq!(rebuilt.sessions, state.sessions, "after {} requests", packet - 1);
        state = rebuilt;
        assert!(!has_dropped(&state));
        state.apply(&accepted(packet).into());
    }
    assert!(has_dropped(&state));
    let entries: Vec<_> = state.entries().collect();
    let mut again = JournalState::default();
    entries.iter().for_each(|entry| again.apply(entry));
    assert!(has_dropped(&again));
}

/// Guards against folders of earlier versions, which did not say it: their sessions may have had more requests.
#[test]
fn an_old_snapshot_with_requests_may_lack_some() {
    let request = Request { packet: 1, digest: 2, id: 3 };
    for (latest, expected) in [(Vec::new(), false), (vec![request], true)] {
        let mut state = JournalState::default();
        state.apply(&session(latest, EarlierRequests::Unknown).into());
        assert_eq!(has_dropped(&state), expected);
    }
}
