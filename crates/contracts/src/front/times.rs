//! What holds of each front's timers.

use super::Dialect;
use super::client::Client;
use crate::ensure;
use heronroute_engine::Micros;

const SECOND: Micros = 1_000_000;

/// What a client may be doing when it falls silent, in words.
fn states(d: &dyn Dialect) -> Result<Vec<(&'static str, Client<'_>)>, String> {
    let half = |octets: Vec<u8>| octets[..octets.len() / 2].to_vec();
    let mut states = vec![("it has said nothing", Client::new(d)), ("it is in", Client::entered(d)?)];
    let mut c = Client::new(d);
    c.give(&half(d.enter().unwrap_or_else(|| d.hand_in(1))));
    states.push(("it has said half of its first request", c));
    let mut c = Client::entered(d)?;
    c.give(&half(d.hand_in(1)));
    states.push(("it has handed half a message in", c));
    let mut c = Client::entered(d)?;
    c.give(&d.hand_in(1));
    c.tokens().into_iter().for_each(|t| c.accept(t));
    states.push(("it has handed a message in", c));
    Ok(states)
}

pub fn silent(d: &dyn Dialect) -> Result<(), String> {
    for (state, mut c) in states(d)? {
        let end = c.now + 1_200 * SECOND;
        while !c.over() && c.now < end {
            if c.front.wake() <= c.now + SECOND {
                c.tick(c.now.max(c.front.wake()));
            }
            c.now += SECOND;
        }
        ensure!(c.over(), "{state}: it is still there after 20 minutes");
    }
    Ok(())
}

pub fn speaks(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    for n in 1..60u16 {
        let end = c.now + SECOND;
        while c.front.wake() < end && c.front.wake() > c.now {
            c.tick(c.front.wake());
        }
        c.now = end;
        if c.front.wake() <= end {
            c.tick(end);
        }
        c.give(&d.ping());
        c.give(&d.hand_in(n));
        c.tokens().into_iter().for_each(|t| c.accept(t));
        ensure!(!c.over(), "it is ended after {n} s, each with a request: {:?}", c.asks);
    }
    Ok(())
}

pub fn early(d: &dyn Dialect) -> Result<(), String> {
    for (state, mut c) in states(d)? {
        let wake = c.front.wake();
        let (asks, out) = (c.asks.len(), c.out.len());
        for now in [c.now, c.now + (wake - c.now) / 2, wake - 1] {
            if wake == Micros::MAX || now >= wake {
                continue;
            }
            c.tick(now);
            ensure!(c.asks.len() == asks, "{state}: it asks {:?} before its time", c.asks);
            ensure!(c.out.len() == out, "{state}: it says something before its time");
            ensure!(c.front.wake() == wake, "{state}: its time is another now");
        }
    }
    Ok(())
}

/// Guards against a sender that spins: a front whose time is over, and stays so whatever is done about it.
pub fn moves_on(d: &dyn Dialect) -> Result<(), String> {
    let mut all = states(d)?;
    let mut c = Client::entered(d)?;
    c.give(&d.hand_in(1));
    all.push(("a message waits for its answer", c));
    let mut c = Client::entered(d)?;
    let next = d.hand_in(2);
    c.give(&d.hand_in(1));
    c.give(&next[..next.len() / 2]);
    all.push(("a message waits for its answer, and half of the next is there", c));
    for (state, mut c) in all {
        for _ in 0..100 {
            let wake = c.front.wake();
            if c.over() || wake == Micros::MAX {
                break;
            }
            let now = wake.max(c.now);
            c.tick(now);
            ensure!(c.over() || c.front.wake() > now, "{state}: its time was over and still is");
        }
    }
    Ok(())
}
