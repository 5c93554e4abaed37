//! Transport between members: what they say to each other comes as they said it, from whom it is said to come, or not at
//! all; and one that is slow, silent or a stranger harms nobody else.

mod clauses;
mod net;
mod speaker;
mod world;
mod wrong;

pub use clauses::CLAUSES;
pub use net::{Memory, Net, Relayed, Tcp};
pub use speaker::Speaker;
pub use world::{Way, World, settings};
pub use wrong::{Fault, Wrong};

use heronroute_fleet::link::{Settings, Switch};

/// A way of carrying octets, and members that speak over it.
pub trait Transport {
    /// Octets go by this.
    fn net(&self) -> Box<dyn Net>;
    /// A member that begins at time 0.
    fn member(&self, settings: Settings) -> Box<dyn Speaker>;
}

/// Gives what carries octets.
pub type Nets = fn() -> Box<dyn Net>;

/// The members as they are, over something that carries octets.
pub struct Real(pub Nets);

impl Transport for Real {
    fn net(&self) -> Box<dyn Net> {
        (self.0)()
    }
    fn member(&self, settings: Settings) -> Box<dyn Speaker> {
        Box::new(Switch::new(0, settings).expect("members as the suite names them"))
    }
}

/// Members with a fault, in memory.
pub struct Planted(pub Fault);

impl Transport for Planted {
    fn net(&self) -> Box<dyn Net> {
        Box::new(Memory::new(usize::MAX))
    }
    fn member(&self, settings: Settings) -> Box<dyn Speaker> {
        Box::new(Wrong::new(self.0, settings))
    }
}
