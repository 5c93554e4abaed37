//! Tests of the six delivery rules, and of the rule on second copies, for a single sender.

mod common;
use common::*;
use heronroute::*;

#[test]
fn a_held_message_is_refused_just_before_its_deadline() {
    let mut sender = TestSender::new(settings(), vec![]);
    sender.round(&[message(1, UNSAFE, 1)]);
    sender.advance(19 * S);
    assert!(sender.refused.is_empty());
    sender.advance(S);
    assert_eq!((sender.refused.as_slice(), sender.failed.len()), (&[1][..], 0));
}

#[test]
fn a_message_that_may_have_run_is_failed_not_refused() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0)]);
    let sent = sender.round(&[message(1, UNSAFE, 1)]);
    sender.now += 100 * MS;
    let again = sender.finish_attempt(&sent[0], Outcome::Reset);
    assert!(again.is_empty());
    assert_eq!((sender.failed.as_slice(), sender.refused.len()), (&[1][..], 0));
    sender.advance(3 * S);
    assert_eq!(sender.attempts[&1], 1);
}

#[test]
fn an_unsafe_message_is_retried_only_if_it_was_not_executed() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0)]);
    let sent = sender.round(&[message(1, UNSAFE, 1)]);
    sender.now += 20 * MS;
    sender.finish_attempt(&sent[0], Outcome::Busy);
    assert_eq!(sender.advance(3 * S).len(), 1);
    assert!(sender.failed.is_empty());
}

#[test]
fn a_guarded_message_is_not_resent_after_its_window() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0)]);
    let sent = sender.round(&[message(1, GUARDED, 1)]);
    sender.now += 8 * S - 20 * MS;
    let mut draining = entry(1, 1, 0);
    draining.status = Status::Draining;
    let e = sender.end_attempt(&sent[0], Outcome::Reset, 0);
    sender.round(&[Event::DirectoryUpdate { whole: false, entries: vec![draining] }, e]);
    sender.advance(50 * MS);
    let more = sender.round(&[Event::DirectoryUpdate { whole: false, entries: vec![entry(2, 1, 0)] }]);
    assert!(more.is_empty() && sender.advance(S).is_empty());
    assert_eq!(sender.refused.len() + sender.failed.len(), 1);
}

#[test]
fn a_guarded_message_is_resent_within_its_window() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0), entry(2, 1, 0)]);
    let sent = sender.round(&[message(1, GUARDED, 1)]);
    sender.now += S;
    let again = sender.finish_attempt(&sent[0], Outcome::Reset);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].endpoint, sent[0].endpoint, "the other endpoint is tried");
}

#[test]
fn a_draining_or_missing_endpoint_gets_nothing_new() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0), entry(2, 2, 0)]);
    let mut draining = entry(1, 1, 0);
    draining.status = Status::Draining;
    sender.round(&[Event::DirectoryUpdate { whole: false, entries: vec![draining] }]);
    assert!(sender.round(&[message(1, FREE, 1)]).is_empty());
    sender.round(&[Event::DirectoryUpdate { whole: true, entries: vec![] }]);
    assert!(sender.round(&[message(2, FREE, 2)]).is_empty() && sender.advance(S).is_empty());
    // An endpoint that is listed again is used as before.
    let sent = sender
        .round(&[Event::DirectoryUpdate { whole: true, entries: vec![entry(1, 1, 0), entry(2, 2, 0)] }]);
    assert_eq!(sent.len(), 2);
}

#[test]
fn a_requested_wait_applies_to_all_endpoints_of_a_destination_and_to_probes() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0), entry(2, 1, 0)]);
    sender.serve_steadily(100, 5, FREE, 1, 100 * MS);
    let sent = sender.round(&[message(1, FREE, 1)]);
    sender.now += 20 * MS;
    let refusal = sender.end_attempt(&sent[0], Outcome::Busy, 1500 * MS);
    assert!(sender.round(&[refusal, message(2, FREE, 1), message(3, FREE, 1)]).is_empty());
    assert!(sender.advance(1480 * MS).is_empty() && sender.probes.is_empty());
    assert!(!sender.advance(600 * MS).is_empty());
}

#[test]
fn the_longest_wait_in_a_batch_applies() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 1)]);
    sender.serve_steadily(100, 5, FREE, 1, 100 * MS);
    let sent = sender.round(&[message(1, FREE, 1), message(2, FREE, 1)]);
    assert_eq!(sent.len(), 2);
    sender.now += 20 * MS;
    let (a, b) = (
        sender.end_attempt(&sent[0], Outcome::Busy, 500 * MS),
        sender.end_attempt(&sent[1], Outcome::Busy, 900 * MS),
    );
    sender.round(&[a, b]);
    assert!(sender.advance(890 * MS).is_empty());
    assert!(!sender.advance(500 * MS).is_empty());
}

#[test]
fn a_wait_applies_only_to_its_own_route_where_routes_are_separate() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 2), entry(2, 1, 2)]);
    let sent = sender.round(&[message(1, FREE, 1)]);
    sender.now += 20 * MS;
    let refusal = sender.end_attempt(&sent[0], Outcome::Busy, 3 * S);
    let again = sender.round(&[refusal]);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].endpoint, sent[0].endpoint);
}

#[test]
fn messages_of_a_key_are_sent_one_at_a_time_and_pause_after_a_reset() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0), entry(2, 1, 0)]);
    sender.serve_steadily(100, 5, FREE, 1, 100 * MS);
    let sent =
        sender.round(&[ordered_message(1, 1, "a"), ordered_message(2, 1, "a"), ordered_message(3, 1, "b")]);
    assert_eq!(sent.iter().map(|o| o.id).collect::<Vec<_>>(), [1, 3]);
    sender.now += 50 * MS;
    let next = sender.finish_attempt(&sent[0], Outcome::Done);
    assert_eq!(next.iter().map(|o| o.id).collect::<Vec<_>>(), [2]);
    sender.round(&[ordered_message(4, 1, "a")]);
    let reset = sender.end_attempt(&next[0], Outcome::Reset, 0);
    sender.round(&[Event::Withdrawn { id: MsgId(2) }, reset]);
    assert!(sender.advance(980 * MS).iter().all(|o| o.id != 4), "the key is paused for the settling time");
    assert!(sender.advance(500 * MS).iter().any(|o| o.id == 4));
}

#[test]
fn slots_attempts_and_second_copies_are_bounded() {
    let mut settings = settings();
    settings.max_attempts = 2;
    let mut sender = TestSender::new(settings, (1..=20).map(|d| entry(d as u32, d, 0)).collect());
    for round in 0..5u64 {
        let events: Vec<Event> = (1..=20).map(|d| message(round * 20 + d as u64, FREE, d)).collect();
        sender.round(&events);
        assert!(sender.in_flight.len() <= 12);
    }
    sender.advance(19 * S);
    assert!(sender.attempts.values().all(|n| *n <= 2));
}

#[test]
fn the_load_of_a_recovering_destination_stays_within_its_capacity() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0)]);
    sender.serve_steadily(1000, 100, FREE, 1, 100 * MS);
    // Ten messages per second arrive during an outage of five seconds, in which each call is refused.
    let start = sender.now;
    let mut recovered_at = None;
    for i in 0..300u64 {
        sender.round(&[message(i, FREE, 1)]);
        sender.advance(100 * MS);
        let up = sender.now - start > 5 * S;
        for o in sender.in_flight.clone() {
            if up {
                recovered_at = recovered_at.or(Some(sender.now));
                sender.finish_attempt(&o, Outcome::Done);
            } else {
                sender.finish_attempt(&o, Outcome::ConnectFailed);
            }
        }
        let probes = std::mem::take(&mut sender.probes);
        let outcome = if up { Outcome::Done } else { Outcome::ConnectFailed };
        for p in probes {
            sender.round(&[Event::Probed { endpoint: EndpointId(p), outcome, report: None }]);
        }
    }
    let recovered_at = recovered_at.expect("the destination recovered");
    let usual = 10.0;
    // In each window of two seconds of the first eight, the calls stay within the multiple of the capacity at
    // its end.
    for t in 0..8 {
        let (from, to) = (recovered_at + t * S, recovered_at + (t + 2) * S);
        let calls = sender.calls_between(from, to);
        let share = 0.2 + 0.8 * ((t + 2) as f64 / 10.0);
        let allowed = 2.0 * share * usual * 2.0 + 1.0;
        assert!(calls as f64 <= allowed, "{calls} calls from {t} s, {allowed} allowed");
    }
    assert!(sender.calls_between(recovered_at + 11 * S, recovered_at + 13 * S) > 15, "the ramp ends");
}

/// Returns a sender with one guarded message whose duplicates are dropped only within a zone, sent to
/// endpoint 1 in zone 0. Endpoint 2 is in zone 1, and endpoint 3, if `third` is set, in zone 0.
fn bound_to_one_zone(third: bool) -> (TestSender, Attempt) {
    let mut settings = settings();
    settings.classes[GUARDED].group = DedupScope::Zone;
    let second = EndpointEntry { zone: 1, ..entry(2, 1, 0) };
    let mut list = vec![entry(1, 1, 0)];
    list.extend(third.then(|| entry(3, 1, 0)));
    let mut sender = TestSender::new(settings, list.clone());
    let sent = sender.round(&[message(1, GUARDED, 1)]);
    list.push(second);
    sender.now += 50 * MS;
    sender.round(&[Event::DirectoryUpdate { whole: true, entries: list }]);
    (sender, sent[0].clone())
}

#[test]
fn a_message_bound_to_a_zone_stays_there() {
    let (mut sender, attempt) = bound_to_one_zone(true);
    let mut again = sender.finish_attempt(&attempt, Outcome::Reset);
    again.extend(sender.advance(3 * S));
    assert!(!again.is_empty() && again.iter().all(|o| o.endpoint != 2), "{again:?}");
}

#[test]
fn a_message_is_answered_in_the_round_in_which_no_endpoint_drops_its_duplicates_any_more() {
    // The last endpoint of its zone drains while the message is in flight: it is answered with the outcome.
    let (mut sender, attempt) = bound_to_one_zone(false);
    let draining = EndpointEntry { status: Status::Draining, ..entry(1, 1, 0) };
    sender.round(&[Event::DirectoryUpdate { whole: false, entries: vec![draining] }]);
    sender.finish_attempt(&attempt, Outcome::Reset);
    assert_eq!((sender.failed.as_slice(), sender.refused.len()), (&[1][..], 0));
    // The endpoint drains while the message is pending: it is answered with the directory update.
    let (mut sender, attempt) = bound_to_one_zone(false);
    let again = sender.finish_attempt(&attempt, Outcome::TimedOut);
    for o in again {
        sender.finish_attempt(&o, Outcome::Busy);
    }
    assert!(sender.failed.is_empty());
    sender.round(&[Event::DirectoryUpdate { whole: false, entries: vec![draining] }]);
    assert_eq!(sender.failed, [1]);
}

/// Guards against a guarded message that runs twice, because another process runs as the endpoint that knew it.
#[test]
fn a_message_bound_to_an_endpoint_is_not_repeated_at_a_process_that_replaced_it() {
    for (ago, is_repeated) in [(0, false), (5 * S, true)] {
        let mut settings = settings();
        settings.classes[GUARDED].group = DedupScope::Endpoint;
        let mut sender = TestSender::new(settings, vec![entry(1, 1, 0)]);
        let sent = sender.round(&[message(1, GUARDED, 1)]);
        sender.advance(50 * MS);
        sender.round(&[Event::EndpointReplaced { endpoint: EndpointId(1), ago }]);
        let mut again = sender.finish_attempt(&sent[0], Outcome::Reset);
        again.extend(sender.advance(S));
        assert_eq!((!again.is_empty(), sender.failed.is_empty()), (is_repeated, is_repeated), "{ago}");
    }
}

#[test]
fn a_message_without_attempts_left_is_answered_in_the_same_round() {
    let mut sender = TestSender::new(Settings { max_attempts: 1, ..settings() }, vec![entry(1, 1, 0)]);
    let sent = sender.round(&[message(1, FREE, 1)]);
    sender.finish_attempt(&sent[0], Outcome::Error);
    assert_eq!(sender.refused, [1]);
}

#[test]
fn the_retry_after_is_within_the_maximum_and_spread() {
    let retry_after_values = |most: Micros, wait: Micros| {
        let settings = Settings { max_retry_after: most, max_attempts: 1, ..settings() };
        let mut sender = TestSender::new(settings, vec![entry(1, 1, 0)]);
        (0..40u64)
            .filter_map(|i| {
                let sent = sender.round(&[message(i, FREE, 1)]);
                let mut actions = Vec::new();
                if let Some(o) = sent.first() {
                    sender.now += 20 * MS;
                    let e = sender.end_attempt(o, Outcome::Busy, wait);
                    sender.dispatcher.round(sender.now, &[e], &mut actions);
                }
                sender.advance(20 * S);
                actions.iter().find_map(|a| match a {
                    Action::Refuse { retry_after, .. } => Some(*retry_after),
                    _ => None,
                })
            })
            .collect::<Vec<_>>()
    };
    assert!(retry_after_values(0, 0).iter().all(|t| *t == 0), "0 where clients receive no retry-after");
    let long = retry_after_values(2 * S, 5 * S);
    assert!(long.len() > 10 && long.iter().all(|t| (S..=2 * S).contains(t)), "{long:?}");
    assert!(long.windows(2).any(|pair| pair[0] != pair[1]), "spread over clients");
}

#[test]
fn without_probes_an_unsafe_message_is_the_trial_if_there_is_no_other() {
    let mut sender = TestSender::new(Settings { probes: false, ..settings() }, vec![entry(1, 1, 0)]);
    for i in 0..2u64 {
        let sent = sender.round(&[message(i, UNSAFE, 1)]);
        sender.now += 50 * MS;
        sent.iter().for_each(|o| _ = sender.finish_attempt(o, Outcome::Reset));
    }
    sender.round(&[message(9, UNSAFE, 1)]);
    sender.advance(5 * S);
    assert!(sender.attempts.contains_key(&9), "it is sent without waiting for a probe");
    // If there is a repeatable message, that one is the trial, and the unsafe one waits for its success.
    let mut sender = TestSender::new(Settings { probes: false, ..settings() }, vec![entry(1, 1, 0)]);
    for i in 0..2u64 {
        let sent = sender.round(&[message(i, UNSAFE, 1)]);
        sender.now += 50 * MS;
        sent.iter().for_each(|o| _ = sender.finish_attempt(o, Outcome::Reset));
    }
    let next = sender.round(&[message(9, UNSAFE, 1), message(10, FREE, 1)]);
    let first = next.into_iter().chain(sender.advance(5 * S)).next().expect("a trial");
    assert_eq!(first.id, 10, "{first:?}");
}

#[test]
fn after_a_restart_earlier_attempts_are_taken_into_account() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0)]);
    let first_attempt = Some((EndpointId(1), 3 * S));
    let resumed = |id: u64, may_run| Event::Resumed { id: MsgId(id), attempts: 1, may_run };
    let sent = sender.round(&[
        message(1, UNSAFE, 1),
        resumed(1, first_attempt),
        message(2, GUARDED, 1),
        resumed(2, Some((EndpointId(1), 9 * S))),
        message(3, UNSAFE, 1),
        resumed(3, None),
        message(4, GUARDED, 1),
        resumed(4, first_attempt),
    ]);
    assert_eq!(sender.failed, [1], "an unsafe message that may have been executed is not sent again");
    assert!(sender.refused.contains(&2), "nor a guarded one after its window, which includes the downtime");
    let ids: Vec<u64> = sent.iter().map(|s| s.id).collect();
    assert_eq!(ids, [3, 4], "messages that were not executed are sent, and a guarded one within its window");
}

#[test]
fn after_a_restart_waits_are_respected_and_a_failing_destination_is_tested_first() {
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0), entry(2, 2, 0)]);
    let remembered = |endpoint, wait, failing_for| {
        let endpoint = EndpointId(endpoint);
        Event::EndpointRestored { endpoint, wait, failing_for, warming_for: None, budget: None }
    };
    let mut events = vec![remembered(1, 2 * S, None), remembered(2, 0, Some(5 * S))];
    events.extend((0..10).map(|i| message(i, FREE, 1 + (i % 2) as i64)));
    assert!(sender.round(&events).is_empty(), "one endpoint asked for a wait, the other is probed first");
    let early = sender.advance(2 * S - 100 * MS);
    assert!(early.iter().all(|s| s.endpoint != 1), "the wait is respected");
    assert!(sender.advance(S).iter().any(|s| s.endpoint == 1), "and ends on time");
}

#[test]
fn after_a_restart_the_ramp_continues_and_a_refusal_still_limits_the_rate() {
    let at_once = |warming_for, budget| {
        let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0)]);
        let endpoint = EndpointId(1);
        let mut events =
            vec![Event::EndpointRestored { endpoint, wait: 0, failing_for: None, warming_for, budget }];
        events.extend((0..10).map(|i| message(i, FREE, 1)));
        sender.round(&events);
        sender.advance(100 * MS);
        sender.calls_between(0, 100 * MS)
    };
    assert!(at_once(None, None) > 0, "nothing is known");
    assert_eq!(at_once(Some(S), None), 0, "it is cold");
    assert!(at_once(Some(11 * S), None) > 0, "its warm-up is over");
    assert_eq!(at_once(None, Some(0.2)), 0, "it refused the last call");
}

#[test]
fn the_answer_to_an_earlier_call_does_not_end_a_long_wait() {
    // Each of two endpoints has a call in flight. One announces that the destination is closed, then the
    // other answers.
    let mut sender = TestSender::new(settings(), vec![entry(1, 1, 0), entry(2, 1, 0)]);
    let sent = sender.round(&[message(1, FREE, 1), message(2, FREE, 1)]);
    assert_eq!(sent.len(), 2);
    sender.now += 50 * MS;
    let refusal = sender.end_attempt(&sent[0], Outcome::Busy, 6 * S);
    sender.round(&[refusal]);
    sender.now += 10 * MS;
    sender.finish_attempt(&sent[1], Outcome::Done);
    sender.advance(5 * S);
    sender.round(&[message(10, FREE, 1)]);
    let trouble = sender.dispatcher.belief(EndpointId(sent[1].endpoint)).and_then(|b| b.trouble);
    assert!(trouble.is_some_and(|next| next > 6 * S + 50 * MS), "{trouble:?}: later than the announced end");
    sender.advance(12 * S);
    assert!(sender.calls_between(6 * S, sender.now) > 0, "calls resume after the wait");
}

/// Two endpoints of a destination fall silent one after the other; `answers` says whether the second one
/// answers in between. Returns how often each was called or probed soon after, and whether the next trial of
/// the first one was postponed.
fn calls_after_silence(answers: bool, usual: u64) -> (usize, usize, bool) {
    let settings = Settings { senders: 100, idle_close: 1, ..settings() };
    let mut sender = TestSender::new(settings, vec![entry(1, 1, 0), entry(2, 1, 0)]);
    sender.serve_steadily(1000, usual, FREE, 1, 2 * S);
    let first = sender.round(&[message(1, FREE, 1)])[0].endpoint;
    let again = sender.advance(1250 * MS);
    assert!(
        again.len() == 1 && again[0].endpoint != first,
        "after the timeout, the message goes to the other endpoint"
    );
    if answers {
        sender.finish_attempt(&again[0], Outcome::Done);
        sender.round(&[message(2, FREE, 1)]);
    }
    let probed = Event::Probed { endpoint: EndpointId(first), outcome: Outcome::Error, report: None };
    sender.round(&[probed]);
    let next_trial =
        |sender: &TestSender| sender.dispatcher.belief(EndpointId(first)).and_then(|b| b.trouble);
    let before = next_trial(&sender);
    let trials: Vec<_> = sender.advance(1300 * MS).iter().map(|s| s.endpoint).collect();
    let count = |own: bool| sender.probes.iter().chain(&trials).filter(|p| (**p == first) == own).count();
    (count(true), count(false), next_trial(&sender) > before)
}

#[test]
fn a_second_silent_endpoint_waits_a_trial_gap_unless_it_answered_since_the_first_failed() {
    let sum = |answers| {
        let all = (10..30).map(|usual| calls_after_silence(answers, usual));
        all.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + u32::from(b.2)))
    };
    // Hundreds of senders that notice one failed endpoint after the other must not call each at once, nor
    // call the first while the other may answer for both.
    let (first, second, postponed) = sum(false);
    assert!(first <= 3 && second <= 5 && postponed >= 5, "{first} {second} {postponed}");
    // An endpoint that works while another hangs is not taken out of use for a lost answer.
    let (first, second, postponed) = sum(true);
    assert!((20..=23).contains(&first) && second >= 18 && postponed <= 2, "{first} {second} {postponed}");
}
