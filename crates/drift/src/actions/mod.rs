//! Corrective actions for members that are not in line.

mod escalation;
mod rate_limit;

pub(crate) use escalation::{ActionInput, Escalation, choose_action};
pub use rate_limit::{RateLimit, TokenBucket};

use heronroute_fleet::{Life, Term};
use serde::{Deserialize, Serialize};

/// The maximum number of clients in one action; the others follow in the next one.
pub const MAX_CLIENTS_PER_ACTION: usize = 16;

/// A corrective action. Waiting is expressed by giving no order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send the desired versions of these clients again.
    SendAgain {
        /// The clients.
        clients: Vec<String>,
    },
    /// Send the desired state of all clients, as it applies to the member's wave.
    SendWhole {
        /// The clients to leave out.
        except: Vec<String>,
    },
    /// Revert these clients to the approved version, because the member is ahead of it.
    TakeBack {
        /// The clients.
        clients: Vec<String>,
    },
    /// Accept no more changes of this client until the fence is lifted; its messages continue under the
    /// stricter of both rules.
    Fence {
        /// The client.
        client: String,
    },
    /// Lift the fence, which is no longer needed.
    Lift {
        /// The client.
        client: String,
    },
    /// Notify the operator.
    TellOperator {
        /// The text of the notification.
        text: String,
    },
}

/// An action with the term that authorizes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The term of the leader that gives the order. The recipient checks it with [`accepts`] before it
    /// executes the action.
    pub term: Term,
    /// The member that the order concerns, with its start.
    pub to: Life,
    /// The action.
    pub act: Action,
}

/// Returns whether a member that knows term `own` accepts an order of term `order`. Orders of older terms are
/// rejected, because their leader has been replaced, and so are orders without a term.
pub fn accepts(order: Term, own: Term) -> bool {
    order >= own && order > Term(0)
}
