//! What holds of each front, whatever the time.

use super::client::{Client, wants};
use super::{Dialect, times};
use crate::ensure;
use crate::random::SeededRandom;
use crate::suite::Clause;
use heronroute_engine::front::{ClientRequest, Delivery, Denied};
use heronroute_engine::outbox::{OwedAnswer, ReplyAddress};
use heronroute_smpp::receipt::{Answer, Receipt};
use std::collections::BTreeSet;

/// The clauses.
pub const CLAUSES: &[Clause<dyn Dialect>] = &[
    Clause { name: "octets in any split ask and say the same", run: split },
    Clause { name: "what breaks the protocol ends the connection in its words", run: bad },
    Clause { name: "no octets make it panic", run: noise },
    Clause { name: "nothing is asked before entry", run: before_entry },
    Clause { name: "nothing is asked after the end", run: after_end },
    Clause { name: "each hand-in is asked for once and answered as itself", run: as_itself },
    Clause { name: "a refusal is told as one", run: refusal },
    Clause { name: "an answer is told once", run: once },
    Clause { name: "an answer to what was not asked says nothing", run: unasked },
    Clause { name: "only so many are asked before the first is answered", run: at_once },
    Clause { name: "many requests in one piece are bounded too", run: flood },
    Clause { name: "final answers out are bounded, and heard once", run: room },
    Clause { name: "a client that says nothing is ended", run: times::silent },
    Clause { name: "a client that speaks is not ended", run: times::speaks },
    Clause { name: "nothing happens before its time", run: times::early },
    Clause { name: "acting on time moves the time on", run: times::moves_on },
];

fn split(d: &dyn Dialect) -> Result<(), String> {
    let mut rest = d.settle();
    for part in [d.hand_in(1), d.hand_in(2), d.ping(), d.hand_in(3), d.ping()] {
        rest.extend_from_slice(&part);
    }
    let play = |most: usize, seed: u64| {
        let (mut c, mut random) = (Client::new(d), SeededRandom::new(seed));
        for stream in [d.enter().unwrap_or_default(), rest.clone()] {
            for piece in random.pieces(&stream, most) {
                c.give(piece);
            }
        }
        for token in c.tokens() {
            c.accept(token);
        }
        (c.asks, c.out)
    };
    let whole = play(usize::MAX / 2, 0);
    for seed in 0..30 {
        let most = [1, 2, 5, 40][seed as usize % 4];
        let other = play(most, seed);
        ensure!(other.0 == whole.0, "pieces of up to {most}: {:?}\ninstead of {:?}", other.0, whole.0);
        ensure!(other.1 == whole.1, "pieces of up to {most}: {:?}\ninstead of {:?}", other.1, whole.1);
    }
    Ok(())
}

fn bad(d: &dyn Dialect) -> Result<(), String> {
    for bad in d.bad() {
        let mut c = if bad.entered { Client::entered(d)? } else { Client::new(d) };
        let before = c.out.len();
        c.give(&bad.octets);
        ensure!(c.over(), "{bad:?}: it goes on: {:?}", c.asks);
        let said = &c.out[before..];
        let found = said.windows(bad.words.len().max(1)).any(|w| w == bad.words);
        ensure!(found || bad.words.is_empty(), "{bad:?}: it says {said:?}");
    }
    Ok(())
}

fn noise(d: &dyn Dialect) -> Result<(), String> {
    let mut good = d.enter().unwrap_or_default();
    for part in [d.settle(), d.hand_in(1), d.ping(), d.hand_in(2)] {
        good.extend_from_slice(&part);
    }
    for seed in 0..400 {
        let mut random = SeededRandom::new(seed);
        let octets = match seed % 4 {
            0 => {
                let length = random.below(200);
                random.octets(length)
            }
            _ => random.spoil(&good),
        };
        let mut c = Client::new(d);
        if seed % 8 == 4 {
            c = Client::entered(d)?;
        }
        for piece in random.pieces(&octets, 60) {
            c.give(piece);
            if random.below(3) == 0 {
                let later = c.now + random.below(40_000_000) as i64;
                c.tick(later);
            }
            for token in c.tokens() {
                c.accept(token);
            }
        }
    }
    Ok(())
}

fn before_entry(d: &dyn Dialect) -> Result<(), String> {
    let Some(enter) = d.enter() else { return Ok(()) };
    // What comes behind a request to be let in waits for its answer, or is refused.
    let mut c = Client::new(d);
    c.admits = false;
    c.give(&[&enter[..], &d.settle(), &d.hand_in(1)].concat());
    ensure!(!c.asks.iter().any(wants), "{:?}", c.asks);
    for refused in [false, true] {
        let mut c = Client::new(d);
        if refused {
            c.admits = false;
            c.give(&enter);
            let token = c.asks.iter().find_map(|a| match a {
                ClientRequest::Admit { token, .. } => Some(*token),
                _ => None,
            });
            let token = token.ok_or("it does not ask to be let in")?;
            c.front.admitted(c.now, token, Err(Denied::Password), &mut c.out);
            ensure!(!c.front.entered(), "it is in, though refused");
        }
        for octets in [d.hand_in(1), d.settle(), d.hand_in(2)] {
            c.give(&octets);
        }
        ensure!(!c.asks.iter().any(wants), "{:?}", c.asks);
    }
    Ok(())
}

fn after_end(d: &dyn Dialect) -> Result<(), String> {
    for bad in d.bad() {
        let mut c = if bad.entered { Client::entered(d)? } else { Client::new(d) };
        c.give(&bad.octets);
        let before = c.asks.iter().filter(|a| wants(a)).count();
        for octets in [d.enter().unwrap_or_default(), d.hand_in(1), d.hand_in(2)] {
            c.give(&octets);
            c.tick(c.now + 1_000_000);
        }
        let asks = c.asks.iter().filter(|a| wants(a)).count();
        ensure!(asks == before, "{bad:?}: {:?}", c.asks);
    }
    Ok(())
}

fn as_itself(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    for n in 1..=5 {
        c.give(&d.hand_in(n));
    }
    let tokens = c.tokens();
    let apart: BTreeSet<u32> = tokens.iter().copied().collect();
    ensure!(tokens.len() == 5 && apart.len() == 5, "five hand-ins, tokens {tokens:?}");
    ensure!(c.answers().is_empty(), "answered before anything was decided: {:?}", c.answers());
    // Whoever decides may take any order.
    for at in [2, 0, 4, 1, 3] {
        c.accept(tokens[at]);
    }
    let mut answers = c.answers();
    answers.sort_unstable();
    ensure!(answers == [1, 2, 3, 4, 5].map(|n| (n, true)), "{answers:?}");
    Ok(())
}

fn refusal(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    if !c.front.refuses() {
        return Ok(());
    }
    for n in 1..=3 {
        c.give(&d.hand_in(n));
    }
    let tokens = c.tokens();
    ensure!(tokens.len() == 3, "three hand-ins, tokens {tokens:?}");
    c.accept(tokens[0]);
    c.refuse(tokens[1]);
    c.accept(tokens[2]);
    ensure!(c.answers() == [(1, true), (2, false), (3, true)], "{:?}", c.answers());
    Ok(())
}

fn once(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    c.give(&d.hand_in(1));
    c.give(&d.hand_in(2));
    let tokens = c.tokens();
    ensure!(tokens.len() == 2, "two hand-ins, tokens {tokens:?}");
    c.accept(tokens[0]);
    c.accept(tokens[1]);
    let said = c.out.len();
    for token in tokens {
        c.accept(token);
        c.refuse(token);
    }
    ensure!(c.out.len() == said, "answered again: {:?}", c.answers());
    Ok(())
}

fn unasked(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    c.give(&d.hand_in(1));
    let tokens = c.tokens();
    ensure!(tokens.len() == 1, "one hand-in, tokens {tokens:?}");
    c.accept(tokens[0]);
    let said = c.out.len();
    for token in [tokens[0] + 1, tokens[0] + 1_000, u32::MAX] {
        c.accept(token);
        c.refuse(token);
        c.front.withdrawn(token, &mut c.out);
        ensure!(!c.front.answered(token, "x", Answer::Delivered, &mut c.out) || c.out.len() == said, "told");
    }
    ensure!(c.out.len() == said, "it says {:?}", &c.out[said..]);
    Ok(())
}

fn at_once(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    let many = 5 * d.at_once() as u16;
    for n in 1..=many {
        if !c.front.listens() || c.over() {
            break;
        }
        c.give(&d.hand_in(n));
    }
    let open: BTreeSet<u32> = c.tokens().into_iter().collect();
    ensure!(open.len() <= d.at_once(), "{} asked before one was answered", open.len());
    if c.over() {
        return Ok(());
    }
    for token in open {
        c.accept(token);
    }
    c.tick(c.now + 1);
    ensure!(c.front.listens(), "it reads nothing more, though all is answered");
    Ok(())
}

fn flood(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    let many = 5 * d.at_once() as u16;
    let octets: Vec<u8> = (1..=many).flat_map(|n| d.hand_in(n)).collect();
    c.give(&octets);
    let open: BTreeSet<u32> = c.tokens().into_iter().collect();
    ensure!(open.len() <= d.at_once(), "{} asked before one was answered", open.len());
    Ok(())
}

fn room(d: &dyn Dialect) -> Result<(), String> {
    let mut c = Client::entered(d)?;
    if !c.front.receives() {
        return Ok(());
    }
    let room = c.front.room();
    ensure!(room > 0, "no room to begin with");
    let (from, out) = (c.out.len(), room.min(3));
    let mut tokens = BTreeSet::new();
    for n in 0..out {
        let receipt = Receipt {
            id: format!("{n:010}"),
            answer: Answer::Delivered,
            taken: 0,
            done: 1_000_000,
            source: "000001".into(),
            destination: "234".into(),
        };
        let owed = OwedAnswer { receipt, reply: ReplyAddress::default(), before: None };
        match c.front.deliver(c.now, &owed, &mut c.out) {
            Delivery::Sent(token) => _ = tokens.insert(token),
            other => return Err(format!("an answer that was asked for: {other:?}")),
        }
    }
    ensure!(tokens.len() == out, "tokens are not apart: {tokens:?}");
    let left = c.front.room();
    ensure!(left == room - out, "room for {left} with {out} out, {room} before");
    let heard = d.acknowledge(&c.out[from..]);
    let from = c.asks.len();
    c.give(&heard);
    c.give(&heard);
    let told = c.asks[from..].iter().filter_map(|a| match a {
        ClientRequest::Heard { token, taken: true } => Some(*token),
        _ => None,
    });
    let told: Vec<u32> = told.collect();
    ensure!(told.len() == out && told.iter().all(|t| tokens.contains(t)), "{tokens:?} out, heard {told:?}");
    ensure!(c.front.room() == room, "room for {} once all are heard, {room} before", c.front.room());
    Ok(())
}
