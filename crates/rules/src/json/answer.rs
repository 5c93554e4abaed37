//! The JSON of answers, as specified for the topics. Fields without content are left out.

use crate::check::Finding;
use crate::field::{Field, Unit};
use crate::model::Rule;
use crate::registry::{Notice, Reply, View};
use serde::Serialize;
use serde_json::{Map, Value};

/// The answer when there is no majority.
pub const NO_MAJORITY: &str = r#"{"state":"no majority"}"#;

#[derive(Serialize)]
struct Answer<'a> {
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rules: Option<&'a [String]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'a [Finding]>,
    /// The number of findings that are not listed.
    #[serde(skip_serializing_if = "Option::is_none")]
    more: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<&'a str>,
}

impl Reply {
    /// Returns the answer as JSON.
    pub fn json(&self) -> String {
        to_json(&self.answer())
    }

    fn answer(&self) -> Answer<'_> {
        let state = self.state();
        let mut answer = Answer { state, version: None, rules: None, findings: None, more: None, why: None };
        match self {
            Reply::Approved { version } | Reply::Waiting { version } => answer.version = Some(*version),
            Reply::Refused { version, findings } => {
                answer.version = *version;
                answer.findings = Some(&findings.list);
                answer.more = Some(findings.more).filter(|m| *m > 0);
            }
            Reply::Conflict { version, rules, why } => {
                answer.version = Some(*version);
                answer.rules = Some(rules);
                answer.why = Some(why);
            }
            Reply::Unknown => answer.why = Some("there is nothing here that you may see by this name"),
            Reply::Done => {}
        }
        answer
    }
}

#[derive(Serialize)]
struct Show<'a> {
    version: u64,
    rules: Vec<Map<String, Value>>,
    #[serde(skip_serializing_if = "str::is_empty")]
    plan: &'a str,
    #[serde(skip_serializing_if = "<[u64]>::is_empty")]
    waiting: &'a [u64],
    #[serde(skip_serializing_if = "<[Notice]>::is_empty")]
    notices: &'a [Notice],
    #[serde(skip_serializing_if = "Vec::is_empty")]
    versions: Vec<VersionEntry<'a>>,
}

#[derive(Serialize)]
struct VersionEntry<'a> {
    version: u64,
    state: &'static str,
    #[serde(skip_serializing_if = "str::is_empty")]
    by: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    why: &'a str,
}

/// Returns the answer to `rules/show`.
pub fn show(view: &View) -> String {
    let versions = view.versions.iter();
    let versions =
        versions.map(|p| VersionEntry { version: p.version, state: p.state, by: &p.by, why: &p.why });
    to_json(&Show {
        version: view.set.version,
        rules: view.set.rules.iter().map(rule).collect(),
        plan: &view.plan,
        waiting: &view.waiting,
        notices: &view.notices,
        versions: versions.collect(),
    })
}

fn rule(rule: &Rule) -> Map<String, Value> {
    let mut out = Map::new();
    let texts = [("name", &rule.name), ("class", &rule.class), ("to", &rule.to), ("key", &rule.key)];
    out.extend(texts.map(|(name, text)| (name.to_string(), Value::from(text.as_str()))));
    for field in Field::ALL {
        if let Some(value) = field.get(&rule.limits) {
            let value = if field.unit() == Unit::Count { value.into() } else { field.format(value).into() };
            out.insert(field.name().into(), value);
        }
    }
    out
}

/// Serializes an answer. None of the types above can fail to serialize; if one did, the state would be
/// `unknown` instead of a panic.
fn to_json(answer: &impl Serialize) -> String {
    serde_json::to_string(answer).unwrap_or_else(|_| r#"{"state":"unknown"}"#.into())
}
