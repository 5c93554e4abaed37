//! Journals that are almost full, over restarts: no message is accepted that does not fit, and what was accepted before
//! gets its end.

mod sender;

use heronroute_journal::{Journal, Limits};
use heronroute_platform::start::read;
use sender::*;

/// Bodies of this size fill the journal with a few messages.
const LARGE_BYTES: usize = 50_000;

/// The limits of the journal by the harness's configuration.
fn configured_limits() -> Limits {
    heronroute_engine::platform::config(&read(START_CONFIG).unwrap()).journal.limits
}

fn submit_large(harness: &mut Harness, client: u64, id: &str) -> String {
    let request = out_add_command(id, SAFE, &"x".repeat(LARGE_BYTES));
    harness.node.received(harness.now, client, request.as_bytes());
    harness.advance(10 * MS);
    harness.take_replies(client)
}

/// Submits large messages, which no endpoint answers, until one is refused. Returns the ids of those accepted.
fn fill_journal(harness: &mut Harness) -> Vec<String> {
    let client = harness.connect_client();
    let mut accepted = Vec::new();
    for number in 0..20 {
        let id = format!("large-{number}");
        if !submit_large(harness, client, &id).starts_with('+') {
            return accepted;
        }
        accepted.push(id);
    }
    panic!("the journal is never full");
}

/// Starts the harness again, as a process that was killed.
fn restart(harness: Harness, limits: Limits) -> Harness {
    let now = harness.now;
    start_harness(Journal::open(harness.journal.into_storage(), limits).unwrap(), now)
}

/// Runs to the end of all deadlines, and returns the notices.
fn run_to_the_end(harness: &mut Harness) -> String {
    let mut notices = String::new();
    for _ in 0..900 {
        harness.advance(10 * MS);
        for (conn, text) in harness.take_received(2) {
            if text.starts_with("POST") {
                notices += &text;
                harness.peer_sends(conn, NO_CONTENT);
            }
        }
    }
    notices
}

fn assert_each_has_a_notice(ids: &[String], notices: &str) {
    let missing: Vec<&String> = ids.iter().filter(|id| !notices.contains(&format!("\"{id}\""))).collect();
    assert!(missing.is_empty(), "{missing:?} have no end");
}

/// Guards against a start that takes its folder for empty: the first message would be accepted without room for it, and
/// its entry would hold up all later ones.
#[test]
fn a_start_on_an_almost_full_journal_refuses_what_does_not_fit() {
    let limits = configured_limits();
    let mut harness = restart(new_harness(), limits);
    let accepted = fill_journal(&mut harness);
    // The endpoint drains, so that the start begins no call, and nothing is written before the first message.
    let draining = START_CONFIG.replacen("SERVING", "DRAINING", 1);
    let (now, journal) = (harness.now, Journal::open(harness.journal.into_storage(), limits).unwrap());
    let mut harness = start_harness_with(&draining, journal, now);
    assert_eq!(harness.journal_entries, 0);
    let client = harness.connect_client();
    let reply = submit_large(&mut harness, client, "after-the-start");
    assert!(reply.starts_with("-BUSY"), "{reply}");
    assert!(harness.journal.usage().octets <= limits.most, "{}", harness.journal.usage().octets);
    assert_each_has_a_notice(&accepted, &run_to_the_end(&mut harness));
}

/// Guards against a journal that stays full: nothing would be accepted again, as only a commit makes it smaller.
#[test]
fn a_journal_whose_messages_have_ended_accepts_again() {
    let limits = configured_limits();
    let mut harness = restart(new_harness(), limits);
    fill_journal(&mut harness);
    run_to_the_end(&mut harness);
    let client = harness.connect_client();
    let reply = submit_large(&mut harness, client, "after-the-hang");
    assert!(reply.starts_with('+'), "{reply}, {} of {} bytes", harness.journal.usage().octets, limits.most);
}

/// Guards against a folder that is larger than its settings allow since these were lowered: the ends of its messages
/// could not be written.
#[test]
fn a_start_with_a_lowered_limit_ends_what_was_accepted() {
    let mut harness = restart(new_harness(), configured_limits());
    let accepted = fill_journal(&mut harness);
    let lowered = Limits { most: LARGE_BYTES as u64, ..configured_limits() };
    let mut harness = restart(harness, lowered);
    assert_each_has_a_notice(&accepted, &run_to_the_end(&mut harness));
    assert!(harness.journal.usage().octets < lowered.most, "{}", harness.journal.usage().octets);
}
