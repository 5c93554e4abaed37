//! Each link, and planted wrong ones.

use heronroute_contracts::link::{CLAUSES, Fault, FaultyReceiver, Http, Platform, Receiver, Smpp};
use heronroute_contracts::suite::{kept, kept_but, planted, planted_in};

/// `PlatformLink::forget` does nothing for what was sent; whoever keeps the calls passes the answer over.
const PLATFORM_KNOWN: &[&str] = &["an answer that nobody waits for is passed over"];

/// Clauses on second copies of answers.
const COPY_CLAUSES: [&str; 3] = [
    "a copy of an answer proves nothing of the next call",
    "whatever follows a copy, it delivers nothing",
    "an answer that comes a call late proves nothing",
];

#[test]
fn smpp() {
    kept(CLAUSES, &Smpp as &dyn Receiver);
}

#[test]
fn http() {
    kept(CLAUSES, &Http(1) as &dyn Receiver);
}

#[test]
fn http_batches() {
    kept(CLAUSES, &Http(3) as &dyn Receiver);
}

#[test]
fn platform() {
    kept_but(CLAUSES, &Platform as &dyn Receiver, PLATFORM_KNOWN);
}

#[test]
fn planted_links_are_caught() {
    let (http, smpp): (&dyn Receiver, &dyn Receiver) = (&Http(3), &Smpp);
    for (receiver, fault, clause) in [
        (smpp, Fault::ReadyEarly, "it is ready once, and not before the receiver is"),
        (http, Fault::Confuses, "each call is answered as itself, once"),
        (http, Fault::LosesThird, "each message of a call is answered"),
        (http, Fault::NoWait, "an answer tells how it ended"),
        (http, Fault::LosesSmallPieces, "answers in any split are the same"),
        (http, Fault::Relative, "what began to leave is never called unsent, what did not always"),
        (http, Fault::KeepsUnsent, "what never left can be taken back, and the rest stands"),
        (http, Fault::KeepsFirst, "what was taken back is not answered"),
        (http, Fault::Remembers, "an answer that nobody waits for is passed over"),
        (http, Fault::TakesStrays, "an answer to nothing answers nothing"),
        (smpp, Fault::TakesAny, "an answer of another kind is no delivery"),
        (http, Fault::ProbeAsCall, "a probe is answered as one"),
        (http, Fault::Hopeful, "an end delivers nothing"),
        (http, Fault::Panics, "no octets make it panic or answer twice"),
        (smpp, Fault::Twice, "no octets make it panic or answer twice"),
        (smpp, Fault::Hasty, "nothing happens before its time, and acting on time moves it on"),
        (smpp, Fault::Spins, "nothing happens before its time, and acting on time moves it on"),
    ] {
        planted(CLAUSES, &FaultyReceiver(receiver, fault) as &dyn Receiver, clause);
    }
}

#[test]
fn planted_links_that_free_ended_messages_or_drop_waits_are_caught() {
    for (fault, clause) in [
        (Fault::ForgetsEnds, "what ends a message says so"),
        (Fault::ForgetsEndsInDoubt, "what ends a message says so in doubt too"),
        (Fault::ForgetsHeads, "what ends a message says so where it breaks off"),
        (Fault::ForgetsUnread, "what ends a message says so where it lay unread"),
        (Fault::NoLateWait, "a wait is announced whoever's answer it comes with"),
    ] {
        let wrong = FaultyReceiver(&Platform, fault);
        planted_in(CLAUSES, &wrong as &dyn Receiver, clause, PLATFORM_KNOWN);
    }
}

#[test]
fn a_planted_link_that_believes_copies_is_caught() {
    for clause in COPY_CLAUSES {
        let others: Vec<&str> = COPY_CLAUSES.into_iter().filter(|other| *other != clause).collect();
        let known = [PLATFORM_KNOWN, &others].concat();
        let wrong = FaultyReceiver(&Platform, Fault::BelievesCopies);
        planted_in(CLAUSES, &wrong as &dyn Receiver, clause, &known);
        let wrong = FaultyReceiver(&Http(3), Fault::BelievesCopies);
        planted_in(CLAUSES, &wrong as &dyn Receiver, clause, &others);
    }
}
