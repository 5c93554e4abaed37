//! The receivers' side of a sender: executes the actions of the decision library and manages the connections
//! to receivers, the calls on them, and the probes.

mod cancel;
mod connections;
mod endpoint_state;
mod outcome;
mod probe;
mod send;
mod start_guard;
mod unconfirmed;
mod unhandled;

use crate::calls::CallEnd;
use crate::link::Reply;
use heronroute::{Finality, Outcome};

/// Returns a reply that consists of an outcome without an answer only.
fn reply_of(outcome: Outcome) -> Reply {
    Reply { outcome, wait: 0, finality: Finality::Open, report: None }
}
