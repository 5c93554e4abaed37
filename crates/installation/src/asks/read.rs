//! From a topic and its body to what is asked.

use crate::page::Page;
use heronroute_rules::check::{Finding, Findings};
use heronroute_rules::json;
use heronroute_rules::limits;
use heronroute_rules::registry::{Command, Registry, Reply, Viewer, rollback_request_id};
use heronroute_rules::seam::ClientRequest;
use serde::Deserialize;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// `rules/show`: of this client.
    Show(String),
    /// `rules/check`.
    Check(Command),
    /// To be decided.
    Decide(Command),
    /// `fleet/members`.
    Members,
    /// `fleet/drift`: this page.
    Drift(Page),
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Why {
    why: String,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Onto {
    base: Option<u64>,
}

/// Reads it. `current`: the version that holds for the asker, as far as is known here.
///
/// # Errors
/// The answer, where there is nothing to be asked: what does not exist and what is not the asker's to ask alike.
pub fn read(ask: &ClientRequest, operator: bool, registry: &Registry) -> Result<Question, Reply> {
    let client = ask.client.clone();
    let words: Vec<&str> = ask.words.iter().map(String::as_str).collect();
    let viewer = Viewer { client: &ask.client, operator };
    let question = match words.as_slice() {
        ["rules", "show"] => Question::Show(client),
        ["rules", "show", whose] if operator => Question::Show((*whose).to_owned()),
        ["rules", "check"] => Question::Check(submit(ask)?),
        ["rules", "submit"] => Question::Decide(submit(ask)?),
        ["rules", "back", version] => {
            let version = number(version)?;
            let body: Onto = body(&ask.body)?;
            // Which version the wish was made on names it: asked again after it was granted, it is still the same wish.
            let base = body.base.unwrap_or_else(|| registry.desired(&client).map_or(0, |d| d.set.version));
            let request = rollback_request_id(&client, version, base);
            Question::Decide(Command::RollBack { client, version, request })
        }
        ["rules", "approve", whose, version] => {
            let (whose, version) = ((*whose).to_owned(), number(version)?);
            Question::Decide(Command::Approve { client: whose, version, by: client })
        }
        ["rules", "refuse", whose, version] => {
            let (whose, version) = ((*whose).to_owned(), number(version)?);
            let why = if operator { body::<Why>(&ask.body)?.why } else { String::new() };
            let why = limits::shorten(&why, limits::MAX_REASON_CHARS);
            Question::Decide(Command::Refuse { client: whose, version, by: client, why })
        }
        ["fleet", "members"] => Question::Members,
        ["fleet", "drift"] if operator => Question::Drift(Page::read(&ask.body)?),
        _ => return Err(Reply::Unknown),
    };
    match &question {
        Question::Decide(command) if !Registry::is_permitted(viewer, command) => Err(Reply::Unknown),
        _ => Ok(question),
    }
}

fn submit(ask: &ClientRequest) -> Result<Command, Reply> {
    let draft = json::read(&ask.body).map_err(|findings| Reply::Refused { version: None, findings })?;
    let request = draft.request(&ask.client);
    Ok(Command::Submit { request, client: ask.client.clone(), base: draft.base, rules: draft.rules })
}

fn number(text: &str) -> Result<u64, Reply> {
    text.parse().map_err(|_| Reply::Unknown)
}

/// An empty body says nothing.
fn body<T: Default + for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Reply> {
    let wrong = |why: String| {
        let findings = Findings::one(Finding::new("", "", "", "", &why));
        Reply::Refused { version: None, findings }
    };
    match body {
        [] => Ok(T::default()),
        _ if body.len() > limits::MAX_BODY_BYTES => Err(wrong("the body is over 64KiB".into())),
        _ => serde_json::from_slice(body).map_err(|e| wrong(e.to_string())),
    }
}
