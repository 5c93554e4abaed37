//! Each link, and planted wrong ones.

use heronroute_contracts::link::{CLAUSES, Fault, FaultyReceiver, Http, Platform, Receiver, Smpp};
use heronroute_contracts::suite::{kept, kept_but, planted_in, run_all};

/// `PlatformLink::forget` does nothing for what was sent; whoever keeps the calls passes the answer over.
const PLATFORM_KNOWN: &[&str] = &["an answer that nobody waits for is passed over"];

/// Answers over HTTP name no call, and are taken for the oldest call that is out (KNOWN-RED.txt, issue 45).
const HTTP_KNOWN: &[&str] = &[
    "a copy of an answer proves nothing of the next call",
    "an answer that comes a call late proves nothing",
];

#[test]
fn smpp() {
    kept(CLAUSES, &Smpp as &dyn Receiver);
}

#[test]
fn http() {
    kept_but(CLAUSES, &Http(1) as &dyn Receiver, HTTP_KNOWN);
}

#[test]
fn http_batches() {
    kept_but(CLAUSES, &Http(3) as &dyn Receiver, HTTP_KNOWN);
}

#[test]
fn platform() {
    kept_but(CLAUSES, &Platform as &dyn Receiver, PLATFORM_KNOWN);
}

#[test]
fn planted_links_are_caught() {
    let (http, smpp): (&dyn Receiver, &dyn Receiver) = (&Http(3), &Smpp);
    // What the right link breaks breaks behind a planted fault too.
    let broken_by = |receiver| run_all(CLAUSES, receiver).into_iter().map(|b| b.clause).collect::<Vec<_>>();
    let (http_known, smpp_known) = (broken_by(http), broken_by(smpp));
    assert_eq!((http_known.as_slice(), smpp_known.len()), (HTTP_KNOWN, 0));
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
        let known = if std::ptr::addr_eq(receiver, http) { &http_known } else { &smpp_known };
        planted_in(CLAUSES, &FaultyReceiver(receiver, fault) as &dyn Receiver, clause, known);
    }
}

#[test]
fn a_planted_link_that_believes_copies_is_caught() {
    let [copy, late] = HTTP_KNOWN else { panic!("two clauses on copies") };
    for (clause, other) in [(copy, late), (late, copy)] {
        let known = [PLATFORM_KNOWN, &[*other]].concat();
        let wrong = FaultyReceiver(&Platform, Fault::BelievesCopies);
        planted_in(CLAUSES, &wrong as &dyn Receiver, clause, &known);
    }
}
