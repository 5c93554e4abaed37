//! What members say to each other: postcard, bounded, one enum for all kinds.

use crate::Micros;
use heronroute_drift::{Ack, Answer, Ask, Challenge, Order, Report, Tell};
use heronroute_fleet::queue::MAX_MESSAGE_BYTES;
use heronroute_fleet::{Kind, Life, Name};
use heronroute_region::rights;
use heronroute_rules::check::{self, LossCounts};
use heronroute_rules::{Rule, limits};
use serde::{Deserialize, Serialize};

/// Pieces in one message at most.
pub const MOST_PIECES: usize = 64;
/// Octets of an answer that one member gives for another, at most.
pub const MOST_SHOWN: usize = 512 * 1024;

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wire<'a> {
    /// Who is there; read by [`heronroute_fleet::members`].
    Gossip(&'a [u8]),
    /// Agreement; read by [`heronroute_fleet::keepers`].
    Agreement(&'a [u8]),
    /// The decided log; read by [`heronroute_fleet::keepers`].
    Log(&'a [u8]),
    /// All that is to be said of drift at one moment: the queue for a slow peer keeps only the newest few messages, and an
    /// order must not be lost to the acknowledgement that leaves with it.
    Drift(Vec<Piece>),
    /// What does `fleet/drift` answer first? Asked of the member in charge, by members that know of no pages.
    Seek {
        /// Given back.
        number: u64,
    },
    /// It answers this.
    Shown {
        /// As it was asked.
        number: u64,
        /// JSON.
        text: String,
    },
    /// What would this member's share of these rules let go of a client's, if it were applied?
    DryRun {
        /// Given back.
        number: u64,
        /// Whose.
        client: String,
        /// All rules, for the whole installation.
        rules: Vec<Rule>,
    },
    /// The answer, of all senders of the member's process.
    DryRunResult {
        /// As it was asked.
        number: u64,
        /// What.
        would: LossCounts,
    },
    /// As [`Wire::Seek`], for a page; see [`crate::page::Page::of`].
    Page {
        /// Given back.
        number: u64,
        /// Behind this place.
        after: String,
        /// Lines at most.
        most: Option<u32>,
    },
    /// For a member that the sender has no link to: whoever gets this hands it on over a link of its own, once.
    Carry {
        /// To whom.
        to: Life,
        /// A message that [`Wire::carries`] is true of.
        payload: &'a [u8],
    },
    /// It is handed on, and never once more.
    Carried {
        /// Whose link with the carrier it came by; the carrier's word alone says so.
        from: Life,
        /// To whom.
        to: Life,
        /// As it was given.
        payload: &'a [u8],
    },
    /// What was to be handed on to this member can't be: no link to it stands here either.
    Astray {
        /// To whom.
        to: Name,
    },
}

/// Of drift.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Piece {
    /// To the member in charge.
    Report {
        /// What.
        report: Report,
        /// The reporter's clock, given back with orders.
        sent: Micros,
    },
    /// To the member in charge.
    Tell(Tell),
    /// To the member in charge.
    Answer(Answer),
    /// From the member in charge.
    Ack(Ack),
    /// From the member in charge.
    Ask(Ask),
    /// From the member in charge.
    Challenge(Challenge),
    /// From the member in charge.
    Order {
        /// What.
        order: Order,
        /// When the report that it answers was sent, on the receiver's clock: one that slept does not take an order from
        /// before that for a new one.
        answers: Micros,
    },
    /// To the member in charge.
    Right(rights::Ask),
    /// From the member in charge.
    Given(rights::Give),
}

impl<'a> Wire<'a> {
    /// How it is queued.
    pub fn kind(&self) -> Kind {
        match self {
            Wire::Gossip(_) => Kind::Gossip,
            Wire::Agreement(_) => Kind::Agreement,
            Wire::Drift(_) => Kind::Drift,
            Wire::Log(_) | Wire::Seek { .. } | Wire::Shown { .. } | Wire::Page { .. } => Kind::Log,
            Wire::DryRun { .. } | Wire::DryRunResult { .. } => Kind::Log,
            Wire::Carry { .. } | Wire::Carried { .. } | Wire::Astray { .. } => Kind::Carried,
        }
    }

    /// Whether it may go through a third member. Who is there and what is agreed on have ways of their own; what is carried
    /// already is never carried again.
    pub fn carries(&self) -> bool {
        match self {
            Wire::Drift(_) | Wire::Seek { .. } | Wire::Page { .. } | Wire::Shown { .. } => true,
            Wire::DryRun { .. } | Wire::DryRunResult { .. } => true,
            Wire::Gossip(_) | Wire::Agreement(_) | Wire::Log(_) => false,
            Wire::Carry { .. } | Wire::Carried { .. } | Wire::Astray { .. } => false,
        }
    }

    /// As octets; none where they would be too many.
    pub fn pack(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|octets| octets.len() <= MAX_MESSAGE_BYTES)
    }

    /// Reads a message; none where the octets are not wholly one, or one beyond its bounds.
    pub fn unpack(octets: &'a [u8]) -> Option<Self> {
        if octets.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        let (wire, rest) = postcard::take_from_bytes::<Wire<'a>>(octets).ok()?;
        let fits = match &wire {
            Wire::Drift(pieces) => pieces.len() <= MOST_PIECES,
            Wire::Shown { text, .. } => text.len() <= MOST_SHOWN,
            Wire::DryRun { client, rules, .. } => {
                client.len() <= limits::MAX_CLIENT_NAME_BYTES
                    && check::octets(rules) <= limits::MAX_RULES_BYTES
            }
            _ => true,
        };
        (rest.is_empty() && fits).then_some(wire)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use heronroute_drift::{Act, Order};
    use heronroute_fleet::{Start, Term};
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    fn samples() -> Vec<Wire<'static>> {
        let life = Life { name: Name::new("a").unwrap(), start: Start(7) };
        let mut reporter = heronroute_drift::Reporter::new(life.clone());
        reporter.live("oduya", 3, [7; 32], Some("no room"));
        let report = reporter.report(Default::default());
        let order =
            Order { term: Term(4), to: life.clone(), act: Act::SendAgain { clients: vec!["oduya".into()] } };
        vec![
            Wire::Gossip(&[1, 2, 3]),
            Wire::Agreement(&[]),
            Wire::Log(&[9; 300]),
            Wire::Drift(vec![Piece::Report { report, sent: 5 }, Piece::Order { order, answers: 5 }]),
            Wire::Seek { number: 9 },
            Wire::Shown { number: 9, text: "{}".into() },
            Wire::DryRun {
                number: 9,
                client: "oduya".into(),
                rules: vec![Rule { name: "r".into(), ..Rule::default() }],
            },
            Wire::DryRunResult { number: 9, would: LossCounts { messages: 300, ..LossCounts::default() } },
            Wire::Page { number: 9, after: "member/a".into(), most: Some(3) },
            Wire::Carry { to: life.clone(), payload: &[1, 2] },
            Wire::Carried { from: life.clone(), to: life.clone(), payload: &[] },
            Wire::Astray { to: life.name },
        ]
    }

    #[test]
    fn what_is_written_is_read_again_and_nothing_behind_it() {
        for wire in samples() {
            let mut octets = wire.pack().unwrap();
            assert_eq!(Wire::unpack(&octets), Some(wire));
            octets.push(0);
            assert_eq!(Wire::unpack(&octets), None);
        }
    }

    #[test]
    fn octets_of_any_kind_are_read_or_dropped() {
        let mut rng = SmallRng::seed_from_u64(34);
        let whole: Vec<Vec<u8>> = samples().iter().map(|w| w.pack().unwrap()).collect();
        for round in 0..20_000 {
            let mut octets = whole[round % whole.len()].clone();
            match rng.random_range(0..4) {
                0 => octets.truncate(rng.random_range(0..=octets.len())),
                1 => octets = (0..rng.random_range(0..200)).map(|_| rng.random()).collect(),
                _ => {
                    for _ in 0..rng.random_range(1..6) {
                        let at = rng.random_range(0..octets.len());
                        octets[at] = rng.random();
                    }
                }
            }
            if let Some(read) = Wire::unpack(&octets) {
                assert!(read.pack().is_some());
            }
        }
        let long = Wire::Drift(vec![samples_piece(); MOST_PIECES + 1]).pack().unwrap();
        assert_eq!(Wire::unpack(&long), None);
    }

    fn samples_piece() -> Piece {
        let Some(Wire::Drift(pieces)) = samples().into_iter().nth(3) else { unreachable!() };
        pieces[1].clone()
    }
}
