//! Parsing of a request's topic and body.

use crate::page::Page;
use heronroute_rules::check::{Finding, Findings};
use heronroute_rules::json;
use heronroute_rules::limits;
use heronroute_rules::registry::{Command, Registry, Reply, Viewer, rollback_request_id};
use heronroute_rules::seam::ClientRequest;
use serde::Deserialize;

/// A parsed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedRequest {
    /// `rules/show`, of this client.
    Show(String),
    /// `rules/check`.
    Check(Command),
    /// A command to be committed.
    Decide(Command),
    /// `fleet/members`.
    Members,
    /// `fleet/drift`, of this page.
    Drift(Page),
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RefuseBody {
    why: String,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct BackBody {
    base: Option<u64>,
}

/// Parses a request.
///
/// # Errors
/// Returns the reply if it is not a valid request: the same for what does not exist and for what the client
/// may not ask.
pub fn read(
    client_request: &ClientRequest,
    operator: bool,
    registry: &Registry,
) -> Result<ParsedRequest, Reply> {
    let client = client_request.client.clone();
    let topic: Vec<&str> = client_request.words.iter().map(String::as_str).collect();
    let viewer = Viewer { client: &client_request.client, operator };
    let parsed = match topic.as_slice() {
        ["rules", "show"] => ParsedRequest::Show(client),
        ["rules", "show", whose] if operator => ParsedRequest::Show((*whose).to_owned()),
        ["rules", "check"] => ParsedRequest::Check(parse_submit(client_request)?),
        ["rules", "submit"] => ParsedRequest::Decide(parse_submit(client_request)?),
        ["rules", "back", version] => {
            let version = parse_number(version)?;
            let body: BackBody = parse_body(&client_request.body)?;
            // The request is named by the version that it was based on: repeated after it was granted, it is
            // still the same request.
            let base = body.base.unwrap_or_else(|| registry.desired(&client).map_or(0, |d| d.set.version));
            let request = rollback_request_id(&client, version, base);
            ParsedRequest::Decide(Command::RollBack { client, version, request })
        }
        ["rules", "approve", whose, version] => {
            let (whose, version) = ((*whose).to_owned(), parse_number(version)?);
            ParsedRequest::Decide(Command::Approve { client: whose, version, by: client })
        }
        ["rules", "refuse", whose, version] => {
            let (whose, version) = ((*whose).to_owned(), parse_number(version)?);
            let why =
                if operator { parse_body::<RefuseBody>(&client_request.body)?.why } else { String::new() };
            let why = limits::shorten(&why, limits::MAX_REASON_CHARS);
            ParsedRequest::Decide(Command::Refuse { client: whose, version, by: client, why })
        }
        ["fleet", "members"] => ParsedRequest::Members,
        ["fleet", "drift"] if operator => ParsedRequest::Drift(Page::read(&client_request.body)?),
        _ => return Err(Reply::Unknown),
    };
    match &parsed {
        ParsedRequest::Decide(command) if !Registry::is_permitted(viewer, command) => Err(Reply::Unknown),
        _ => Ok(parsed),
    }
}

fn parse_submit(client_request: &ClientRequest) -> Result<Command, Reply> {
    let draft =
        json::read(&client_request.body).map_err(|findings| Reply::Refused { version: None, findings })?;
    let request = draft.request(&client_request.client);
    Ok(Command::Submit {
        request,
        client: client_request.client.clone(),
        base: draft.base,
        rules: draft.rules,
    })
}

fn parse_number(text: &str) -> Result<u64, Reply> {
    text.parse().map_err(|_| Reply::Unknown)
}

/// Parses a body; an empty one is the default.
fn parse_body<T: Default + for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Reply> {
    let refuse = |why: String| {
        let findings = Findings::one(Finding::new("", "", "", "", &why));
        Reply::Refused { version: None, findings }
    };
    match body {
        [] => Ok(T::default()),
        _ if body.len() > limits::MAX_BODY_BYTES => Err(refuse("the body is over 64KiB".into())),
        _ => serde_json::from_slice(body).map_err(|e| refuse(e.to_string())),
    }
}
