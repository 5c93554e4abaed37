//! Tests with a directory to which the sender has to subscribe.

mod common;
use common::*;
use heronroute::*;

fn subscribing_dispatcher() -> Dispatcher {
    let settings = Settings { discovery: Discovery::Subscribe, subscribe_interval: 10 * S, ..settings() };
    Dispatcher::new(0, 11, settings).expect("the settings are valid")
}

/// Runs one round. Returns the number of subscription requests and the endpoints that were called.
fn round(dispatcher: &mut Dispatcher, now: Micros, events: &[Event]) -> (usize, Vec<u32>) {
    let mut actions = Vec::new();
    dispatcher.round(now, events, &mut actions);
    let sends = actions.iter().filter_map(|a| match a {
        Action::Send { endpoint, .. } => Some(endpoint.0),
        _ => None,
    });
    (actions.iter().filter(|a| **a == Action::Subscribe).count(), sends.collect())
}

fn list(entries: Vec<EndpointEntry>) -> Event {
    Event::DirectoryUpdate { whole: true, entries }
}

/// Returns the times of all subscription requests until `end`. Each is answered by a failure 50 ms later.
fn request_times(dispatcher: &mut Dispatcher, from: Micros, end: Micros) -> Vec<Micros> {
    let (mut requests, mut now, mut fail) = (Vec::new(), from, None);
    while now < end {
        let events: Vec<Event> =
            fail.take_if(|t| *t <= now).map(|_| Event::DirectoryFailed).into_iter().collect();
        if round(dispatcher, now, &events).0 > 0 {
            requests.push(now);
            fail = Some(now + 50 * MS);
        }
        now += 10 * MS;
    }
    requests
}

#[test]
fn a_new_sender_subscribes_once_and_uses_its_saved_entries() {
    let mut dispatcher = subscribing_dispatcher();
    let (requests, sent) = round(&mut dispatcher, 0, &[list(vec![entry(1, 1, 0)]), message(1, FREE, 1)]);
    assert_eq!((requests, sent), (1, vec![1]));
    let answer = round(&mut dispatcher, 100 * MS, &[list(vec![entry(1, 1, 0)])]);
    assert_eq!(answer.0, 0);
    for i in 2..4000 {
        assert_eq!(round(&mut dispatcher, i * 100 * MS, &[]).0, 0, "subscribed: no further request");
    }
}

#[test]
fn a_failing_directory_is_asked_with_exponential_random_backoff() {
    let mut dispatcher = subscribing_dispatcher();
    let requests = request_times(&mut dispatcher, 0, 60 * S);
    let gaps: Vec<Micros> = requests.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((10..=30).contains(&requests.len()), "{gaps:?}");
    assert!(
        gaps.iter().all(|g| *g < 10 * S),
        "within the time after which the sender counts as informed: {gaps:?}"
    );
    assert!(gaps[gaps.len() - 1] > 2 * gaps[0], "the waits grow: {gaps:?}");
    assert!(gaps[4..].windows(2).all(|pair| pair[0] != pair[1]), "and are randomized: {gaps:?}");
}

#[test]
fn a_broken_subscription_is_renewed_and_the_last_entries_stay_in_use() {
    let mut dispatcher = subscribing_dispatcher();
    round(&mut dispatcher, 0, &[list(vec![entry(1, 1, 0)])]);
    round(&mut dispatcher, 100 * MS, &[list(vec![entry(1, 1, 0)])]);
    let (requests, sent) = round(&mut dispatcher, 20 * S, &[Event::DirectoryFailed, message(1, FREE, 1)]);
    assert_eq!((requests, sent), (0, vec![1]));
    let requests = request_times(&mut dispatcher, 20 * S + 10 * MS, 23 * S).len();
    assert!((1..=3).contains(&requests), "{requests} requests in three seconds");
}

#[test]
fn an_endpoint_that_drained_during_downtime_gets_nothing_after_the_update() {
    let mut dispatcher = subscribing_dispatcher();
    round(&mut dispatcher, 0, &[list(vec![entry(1, 1, 0), entry(2, 1, 0)])]);
    let gone = EndpointEntry { status: Status::Draining, ..entry(1, 1, 0) };
    round(&mut dispatcher, 200 * MS, &[Event::DirectoryUpdate { whole: false, entries: vec![gone] }]);
    for i in 0..20 {
        let now = S + i * S;
        let (_, sent) = round(&mut dispatcher, now, &[message(i as u64, FREE, 1)]);
        assert!(sent.iter().all(|e| *e == 2));
    }
}

#[test]
fn no_subscription_is_requested_where_changes_are_pushed() {
    let mut dispatcher = Dispatcher::new(0, 11, settings()).expect("the settings are valid");
    let requests: usize =
        (0..300).map(|i| round(&mut dispatcher, i * 100 * MS, &[Event::DirectoryFailed]).0).sum();
    assert_eq!(requests, 0);
}
