//! The body of `rules/submit` and `rules/check`.

use crate::check::{Finding, Findings};
use crate::digest::{Digest, digest_parts, rules_digest};
use crate::limits;
use crate::model::{Rule, RuleLimits};
use crate::units::{UnitError, parse_duration, parse_size};
use serde::Deserialize;

/// Rules edited by a client, based on a version that it saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Draft {
    /// The version that was edited; 0: none.
    pub base: u64,
    /// All rules, not only the changed ones.
    pub rules: Vec<Rule>,
    /// The client's own name for the request, so that two requests with the same content count as two.
    pub request: Option<String>,
}

impl Draft {
    /// Returns the digest that identifies the request in [`crate::Command::Submit`]. It is the same when the
    /// same draft is submitted again, at any member.
    pub fn request(&self, client: &str) -> Digest {
        match &self.request {
            Some(own) => digest_parts("named", &[client.as_bytes(), own.as_bytes()]),
            None => {
                let (base, rules) = (self.base.to_be_bytes(), rules_digest(&self.rules));
                digest_parts("submit", &[client.as_bytes(), &base, &rules])
            }
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DraftBody {
    #[serde(default)]
    base: u64,
    rules: Vec<RuleBody>,
    #[serde(default)]
    request: Option<String>,
}

/// Durations and sizes are texts here, so that an invalid one is reported with its rule and field.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RuleBody {
    name: String,
    class: String,
    to: String,
    key: String,
    answer_for: Option<String>,
    remember: Option<String>,
    remembered: Option<u64>,
    hold_for: Option<String>,
    hold_count: Option<u64>,
    hold_octets: Option<String>,
    trails: Option<u64>,
    validity: Option<String>,
    release: Option<u64>,
}

/// Parses a draft. The types bound the nesting depth: deeper nesting and unknown fields are rejected where
/// they begin.
///
/// # Errors
/// Returns findings that name unknown fields, invalid JSON by line and column, and invalid units by rule and
/// field.
pub fn read(body: &[u8]) -> Result<Draft, Findings> {
    let body_finding = |why: &str| Findings::one(Finding::new("", "", "", "", why));
    if body.len() > limits::MAX_BODY_BYTES {
        return Err(body_finding("the body is over 64KiB"));
    }
    let raw: DraftBody = serde_json::from_slice(body).map_err(|e| body_finding(&e.to_string()))?;
    if raw.rules.len() > limits::MAX_RULES {
        return Err(Findings::one(Finding::new(
            "",
            "rules",
            "",
            &limits::MAX_RULES.to_string(),
            "too many rules",
        )));
    }
    if raw.request.as_ref().is_some_and(|r| r.is_empty() || r.len() > limits::MAX_CLIENT_NAME_BYTES) {
        return Err(Findings::one(Finding::new(
            "",
            "request",
            "",
            "",
            "a request's name has 1 to 64 octets",
        )));
    }
    let mut findings = Findings::default();
    let rules = raw.rules.into_iter().map(|r| read_rule(r, &mut findings)).collect();
    if findings.is_empty() {
        Ok(Draft { base: raw.base, rules, request: raw.request })
    } else {
        Err(findings)
    }
}

fn read_rule(raw: RuleBody, findings: &mut Findings) -> Rule {
    let RuleBody { name, class, to, key, .. } = raw;
    let mut report = |field: &str, error: &UnitError| {
        findings.push(Finding::new(&name, field, "", "", &error.to_string()));
    };
    let mut duration = |field: &str, text: Option<String>| match parse_duration(&text?) {
        Ok(duration) => Some(duration),
        Err(error) => {
            report(field, &error);
            None
        }
    };
    let mut limits = RuleLimits {
        answer_for: duration("answer_for", raw.answer_for),
        remember: duration("remember", raw.remember),
        hold_for: duration("hold_for", raw.hold_for),
        validity: duration("validity", raw.validity),
        remembered: raw.remembered,
        hold_count: raw.hold_count,
        hold_octets: None,
        trails: raw.trails,
        release: raw.release,
    };
    limits.hold_octets = raw.hold_octets.and_then(|text| match parse_size(&text) {
        Ok(size) => Some(size),
        Err(error) => {
            report("hold_octets", &error);
            None
        }
    });
    Rule { name, class, to, key, limits }
}
