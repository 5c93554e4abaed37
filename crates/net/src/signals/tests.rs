//! Tests with signals that the process raises itself.

use super::*;
use mio::{Events, Interest, Poll, Token};
use std::time::Duration;

#[test]
fn a_signal_ends_the_wait_and_is_reported_once() {
    let mut signals = Signals::install().unwrap();
    let (mut poll, mut events) = (Poll::new().unwrap(), Events::with_capacity(4));
    poll.registry().register(&mut signals.pipe, Token(1), Interest::READABLE).unwrap();
    assert_eq!(signals.take_requests(), (false, false));
    for (signal, wanted) in [(SIGHUP, (false, true)), (SIGTERM, (true, false)), (SIGINT, (true, false))] {
        signal_hook::low_level::raise(signal).unwrap();
        _ = poll.poll(&mut events, Some(Duration::from_secs(5)));
        signals.drain();
        assert_eq!((signals.take_requests(), signals.take_requests()), (wanted, (false, false)), "{signal}");
    }
}
