//! Clients' requests: parsing ([`mod@read`]), waiting for the keepers' answer ([`pending`]) or for dry runs
//! ([`dry_runs`]), and rate limits ([`rate`]).

pub mod dry_runs;
pub mod pending;
pub mod rate;
pub mod read;

pub use pending::PendingRequests;
pub use read::{ParsedRequest, read};

use crate::Micros;
use heronroute_rules::registry::Reply;
use heronroute_rules::seam::{ClientRequest, Told};

/// Returns an answer with this text.
pub fn answer(client_request: &ClientRequest, text: String, state: &'static str) -> Told {
    Told { token: client_request.token, text, state }
}

/// Returns the registry's reply as an answer.
pub fn reply(client_request: &ClientRequest, reply: &Reply) -> Told {
    answer(client_request, reply.json(), reply.state())
}

/// Returns the answer for what does not exist or is hidden from the client, in the same words for both.
pub fn unknown(client_request: &ClientRequest) -> Told {
    reply(client_request, &Reply::Unknown)
}

/// Returns the answer that nothing can be decided now; repeated, it is the same request.
pub fn no_majority(client_request: &ClientRequest) -> Told {
    answer(client_request, heronroute_rules::json::NO_MAJORITY.to_owned(), "no majority")
}

/// Returns the answer that too many requests wait. It is not known to have been executed; repeated, it is the
/// same request.
pub fn busy(client_request: &ClientRequest) -> Told {
    answer(client_request, r#"{"state":"busy"}"#.to_owned(), "busy")
}

/// Returns the answer to a client over its rate, with the time to wait. Nothing was examined.
pub fn too_often(client_request: &ClientRequest, wait: Micros) -> Told {
    let after = u64::try_from(wait).unwrap_or(0).div_ceil(1_000);
    answer(client_request, format!(r#"{{"state":"busy","after_ms":{after}}}"#), "busy")
}
