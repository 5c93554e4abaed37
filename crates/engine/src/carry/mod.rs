//! The receivers' side of a sender: executes the actions of the decision library and manages the connections
//! to receivers, the calls on them, and the probes.

mod cancel;
mod doubt;
mod known;
mod links;
mod outcome;
mod probe;
mod send;

use crate::link::Reply;
use heronroute::Outcome;

fn plain(outcome: Outcome) -> Reply {
    Reply { outcome, wait: 0, over: outcome == Outcome::Done, report: None }
}
