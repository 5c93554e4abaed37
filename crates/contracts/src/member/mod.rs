//! A member of an installation as its process's thread sees it: each question has one answer, at once where it can't be
//! otherwise; octets that mean nothing do nothing; it says when it wants to be woken, and does a bounded amount at once.

mod clauses;
mod wrong;

pub use clauses::CLAUSES;
pub use wrong::{Fault, Planted};

use heronroute_fleet::{Life, Name, Peer, Start, members, replicas};
use heronroute_installation::seam::Member;
use heronroute_installation::{Client, Config, Installation, Timing};
use heronroute_journal::disk::Disk;
use std::net::SocketAddr;

/// The client that asks; an operator, without a plan.
pub const CLIENT: &str = "ops";

/// An implementation.
pub trait Joining {
    /// The first of so many members, all keepers, that starts now on an empty disk. None of the others is linked.
    fn start(&self, of: usize) -> Box<dyn Member>;
}

/// The member as it is.
pub struct Real;

/// The name of the `n`th member.
pub fn name(n: usize) -> Name {
    Name::new(&format!("m{n}")).expect("a name")
}

impl Joining for Real {
    fn start(&self, of: usize) -> Box<dyn Member> {
        let peer = |n: usize| Peer {
            name: name(n),
            zone: "z".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16)),
            keeper: true,
        };
        let client = Client { operator: true, ..Client::default() };
        let config = Config {
            installation: "oduya".into(),
            own: Life { name: name(0), start: Start(1) },
            raised: false,
            peers: (0..of).map(peer).collect(),
            clients: [(CLIENT.to_string(), client)].into(),
            senders: vec![0],
            seed: 1,
            replicas: replicas::Tuning::default(),
            members: members::Tuning::for_size(of),
            detector: heronroute_drift::Config::new(name(0), [1; 32]),
            timing: Timing::default(),
            rollout: heronroute_installation::RolloutSettings::default(),
            regions: None,
        };
        Box::new(
            Installation::new(0, clauses::WALL, config, Some(Disk::default()))
                .expect("a member that can start"),
        )
    }
}
