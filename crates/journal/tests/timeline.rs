//! The journal's time across restarts.

use heronroute_journal::entry::{Accepted, Intent, What};
use heronroute_journal::timeline::{Anchor, Clocks, journal_time};
use heronroute_journal::{Entry, JournalState};

const HOUR: i64 = 3_600_000_000;

fn state(taken: i64, called: i64) -> JournalState {
    let accepted = What::Accepted(Accepted { id: 1, taken, ..Accepted::default() });
    let intent = What::Intent(Intent { id: 1, endpoint: "e".into(), at: called });
    let mut state = JournalState::default();
    [accepted, intent].into_iter().for_each(|what| state.apply(&Entry::from(what)));
    state
}

fn clocks(boot: Option<&str>, monotonic: i64, wall: i64) -> Clocks {
    Clocks { boot: boot.map(String::from), monotonic, wall }
}

/// The journal's time must not follow a wall clock that is stepped while the process is down.
#[test]
fn within_a_boot_only_the_monotonic_clock_counts() {
    let anchor = Anchor { boot: "b".into(), monotonic: 100, journal: 1_000 };
    for wall in [0, 1_000 - HOUR, 1_000, 1_000 + 2_000_000, 1_000 + HOUR] {
        let time = journal_time(Some(&anchor), &clocks(Some("b"), 5_000_100, wall), &state(900, 950));
        assert_eq!(time, 5_001_000, "wall clock {wall}");
    }
}

/// Time must not go back before the newest entry: a window for repeats would seem to be open again.
#[test]
fn after_a_reboot_time_never_goes_back_before_an_entry() {
    let anchor = Anchor { boot: "b".into(), monotonic: 100, journal: 1_000 };
    let unknown = [clocks(Some("c"), 200, 500), clocks(None, 200, 500), clocks(Some("b"), 50, 500)];
    for clocks in unknown {
        for anchor in [Some(&anchor), None] {
            // Without an anchor no boot is known to be the same.
            let time = journal_time(anchor, &clocks, &state(900, 950));
            assert_eq!(time, 950, "{clocks:?}");
        }
    }
    assert_eq!(journal_time(None, &clocks(Some("b"), 1, 2_000), &state(900, 950)), 2_000);
}

#[test]
fn a_truncated_anchor_is_rejected() {
    let anchor = Anchor { boot: "b-1".into(), monotonic: 12, journal: 34_567 };
    let text = anchor.text();
    assert_eq!(Anchor::read(&text), Some(anchor));
    for cut in 0..text.len() - 1 {
        assert_eq!(Anchor::read(&text[..cut]), None, "{cut}");
    }
}
