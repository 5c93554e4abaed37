//! What clients ask: read ([`read`]), and waiting for the keepers' answer ([`open`]) or for what nodes weigh ([`weighing`]),
//! as often as [`rate`] lets them.

pub mod open;
pub mod rate;
pub mod read;
pub mod weighing;

pub use open::Open;
pub use read::{Question, read};

use crate::Micros;
use heronroute_rules::registry::Reply;
use heronroute_rules::seam::{ClientRequest, Told};

/// An answer.
pub fn told(ask: &ClientRequest, text: String, state: &'static str) -> Told {
    Told { token: ask.token, text, state }
}

/// What the registry says.
pub fn reply(ask: &ClientRequest, reply: &Reply) -> Told {
    told(ask, reply.json(), reply.state())
}

/// There is nothing of the kind, or it is not the asker's to see: told in the same words.
pub fn unknown(ask: &ClientRequest) -> Told {
    reply(ask, &Reply::Unknown)
}

/// It can't be decided now; asked again it is the same request.
pub fn no_majority(ask: &ClientRequest) -> Told {
    told(ask, heronroute_rules::json::NO_MAJORITY.to_owned(), "no majority")
}

/// Too much waits; nothing is known to have been done, and asked again it is the same request.
pub fn busy(ask: &ClientRequest) -> Told {
    told(ask, r#"{"state":"busy"}"#.to_owned(), "busy")
}

/// It is asked too often: to come back after so long. Nothing was looked at.
pub fn too_often(ask: &ClientRequest, wait: Micros) -> Told {
    let after = u64::try_from(wait).unwrap_or(0).div_ceil(1_000);
    told(ask, format!(r#"{{"state":"busy","after_ms":{after}}}"#), "busy")
}
