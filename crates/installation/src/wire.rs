//! Messages between members: one enum for all kinds, encoded with postcard and bounded in size.

use crate::Micros;
use heronroute_drift::{Ack, Ask, Challenge, ChallengeAnswer, Order, Report, TreeReply};
use heronroute_fleet::queue::MAX_MESSAGE_BYTES;
use heronroute_fleet::{Kind, Life, Name};
use heronroute_region::rights;
use heronroute_rules::check::{self, LossCounts};
use heronroute_rules::{Rule, limits};
use serde::{Deserialize, Serialize};

/// The most drift messages in one message.
pub const MAX_DRIFT_PIECES: usize = 64;
/// The longest answer that one member gives for another, in bytes.
pub const MAX_ANSWER_BYTES: usize = 512 * 1024;

/// A message between members. Variants and fields are encoded by their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wire<'a> {
    /// Membership gossip; handled by [`heronroute_fleet::members`].
    Gossip(&'a [u8]),
    /// Agreement; handled by [`heronroute_fleet::replicas`].
    Agreement(&'a [u8]),
    /// The committed log; handled by [`heronroute_fleet::replicas`].
    Log(&'a [u8]),
    /// All drift messages of one turn. They leave as one message because the queue of a slow peer keeps only
    /// the newest few, and an order must not be lost to the acknowledgement that leaves with it.
    Drift(Vec<Piece>),
    /// The query for the first page of `fleet/drift`, sent to the leader by members of a version without
    /// pages.
    DriftQuery {
        /// The number of the query, returned with the answer.
        number: u64,
    },
    /// The answer to a query of `fleet/drift`.
    DriftAnswer {
        /// The number of the query.
        number: u64,
        /// The page as JSON.
        text: String,
    },
    /// The query what the receiver's share of these rules would drop of a client's, if it were applied.
    DryRun {
        /// The number of the query, returned with the answer.
        number: u64,
        /// The client.
        client: String,
        /// All rules, for the whole installation.
        rules: Vec<Rule>,
    },
    /// The answer, for all senders of the member's process.
    DryRunResult {
        /// The number of the query.
        number: u64,
        /// What would be dropped.
        would: LossCounts,
    },
    /// The query for a page of `fleet/drift`; see [`crate::page::Page::of`].
    Page {
        /// The number of the query, returned with the answer.
        number: u64,
        /// The position after which the page begins.
        after: String,
        /// The most lines.
        most: Option<u32>,
    },
    /// A message for a member that the sender has no link to: the receiver relays it once, over its own link.
    Relay {
        /// The final receiver.
        to: Life,
        /// A message for which [`Wire::is_relayable`] is true.
        payload: &'a [u8],
    },
    /// A relayed message, which is never relayed again.
    Relayed {
        /// The origin as named by the relay, which is not verified further: the member whose link it came by.
        from: Life,
        /// The final receiver.
        to: Life,
        /// The message as the origin sent it.
        payload: &'a [u8],
    },
    /// The reply that a message can't be relayed: there is no link to the receiver here either.
    NoRoute {
        /// The final receiver.
        to: Name,
    },
}

/// A drift message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Piece {
    /// A report to the leader.
    Report {
        /// The report.
        report: Report,
        /// The time on the reporter's clock, returned with orders.
        sent: Micros,
    },
    /// Requested details, to the leader.
    TreeReply(TreeReply),
    /// The answer to a challenge, to the leader.
    ChallengeAnswer(ChallengeAnswer),
    /// The leader's acknowledgement of a report.
    Ack(Ack),
    /// The leader's request for details.
    Ask(Ask),
    /// The leader's challenge to prove what is applied.
    Challenge(Challenge),
    /// The leader's order.
    Order {
        /// The order.
        order: Order,
        /// When the report that it answers was sent, on the receiver's clock: a member that slept must not
        /// take an order from before for a new one.
        answers: Micros,
    },
    /// A request for a region lease, to the leader.
    LeaseRequest(rights::Ask),
    /// A region lease, granted by the leader.
    LeaseGrant(rights::LeaseGrant),
}

impl<'a> Wire<'a> {
    /// Returns the kind, which decides how it is queued.
    pub fn kind(&self) -> Kind {
        match self {
            Wire::Gossip(_) => Kind::Gossip,
            Wire::Agreement(_) => Kind::Agreement,
            Wire::Drift(_) => Kind::Drift,
            Wire::Log(_) | Wire::DriftQuery { .. } | Wire::DriftAnswer { .. } | Wire::Page { .. } => {
                Kind::Log
            }
            Wire::DryRun { .. } | Wire::DryRunResult { .. } => Kind::Log,
            Wire::Relay { .. } | Wire::Relayed { .. } | Wire::NoRoute { .. } => Kind::Relayed,
        }
    }

    /// Returns whether it may be relayed by a third member. Membership and agreement have paths of their own,
    /// and what was relayed is never relayed again.
    pub fn is_relayable(&self) -> bool {
        match self {
            Wire::Drift(_) | Wire::DriftQuery { .. } | Wire::Page { .. } | Wire::DriftAnswer { .. } => true,
            Wire::DryRun { .. } | Wire::DryRunResult { .. } => true,
            Wire::Gossip(_) | Wire::Agreement(_) | Wire::Log(_) => false,
            Wire::Relay { .. } | Wire::Relayed { .. } | Wire::NoRoute { .. } => false,
        }
    }

    /// Encodes the message; none if it is too long.
    pub fn pack(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|bytes| bytes.len() <= MAX_MESSAGE_BYTES)
    }

    /// Decodes a message; none if the bytes are not exactly one message within its bounds.
    pub fn unpack(bytes: &'a [u8]) -> Option<Self> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        let (wire, rest) = postcard::take_from_bytes::<Wire<'a>>(bytes).ok()?;
        let fits = match &wire {
            Wire::Drift(pieces) => pieces.len() <= MAX_DRIFT_PIECES,
            Wire::DriftAnswer { text, .. } => text.len() <= MAX_ANSWER_BYTES,
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
    use heronroute_drift::{Action, Order};
    use heronroute_fleet::{Start, Term};
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    fn samples() -> Vec<Wire<'static>> {
        let life = Life { name: Name::new("a").unwrap(), start: Start(7) };
        let mut reporter = heronroute_drift::Reporter::new(life.clone());
        reporter.live("oduya", 3, [7; 32], Some("no room"));
        let report = reporter.report(Default::default());
        let order = Order {
            term: Term(4),
            to: life.clone(),
            act: Action::SendAgain { clients: vec!["oduya".into()] },
        };
        vec![
            Wire::Gossip(&[1, 2, 3]),
            Wire::Agreement(&[]),
            Wire::Log(&[9; 300]),
            Wire::Drift(vec![Piece::Report { report, sent: 5 }, Piece::Order { order, answers: 5 }]),
            Wire::DriftQuery { number: 9 },
            Wire::DriftAnswer { number: 9, text: "{}".into() },
            Wire::DryRun {
                number: 9,
                client: "oduya".into(),
                rules: vec![Rule { name: "r".into(), ..Rule::default() }],
            },
            Wire::DryRunResult { number: 9, would: LossCounts { messages: 300, ..LossCounts::default() } },
            Wire::Page { number: 9, after: "member/a".into(), most: Some(3) },
            Wire::Relay { to: life.clone(), payload: &[1, 2] },
            Wire::Relayed { from: life.clone(), to: life.clone(), payload: &[] },
            Wire::NoRoute { to: life.name },
        ]
    }

    #[test]
    fn messages_round_trip_and_trailing_bytes_are_rejected() {
        for wire in samples() {
            let mut bytes = wire.pack().unwrap();
            assert_eq!(Wire::unpack(&bytes), Some(wire));
            bytes.push(0);
            assert_eq!(Wire::unpack(&bytes), None);
        }
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected() {
        let mut rng = SmallRng::seed_from_u64(34);
        let whole: Vec<Vec<u8>> = samples().iter().map(|w| w.pack().unwrap()).collect();
        for round in 0..20_000 {
            let mut bytes = whole[round % whole.len()].clone();
            match rng.random_range(0..4) {
                0 => bytes.truncate(rng.random_range(0..=bytes.len())),
                1 => bytes = (0..rng.random_range(0..200)).map(|_| rng.random()).collect(),
                _ => {
                    for _ in 0..rng.random_range(1..6) {
                        let at = rng.random_range(0..bytes.len());
                        bytes[at] = rng.random();
                    }
                }
            }
            if let Some(read) = Wire::unpack(&bytes) {
                assert!(read.pack().is_some());
            }
        }
        let long = Wire::Drift(vec![sample_piece(); MAX_DRIFT_PIECES + 1]).pack().unwrap();
        assert_eq!(Wire::unpack(&long), None);
    }

    fn sample_piece() -> Piece {
        let Some(Wire::Drift(pieces)) = samples().into_iter().nth(3) else { unreachable!() };
        pieces[1].clone()
    }
}
