//! `fleet/drift` in pages: members by name, then rollouts by client, then what was said before, the newest first.
//!
//! Guards against an answer that outgrows what a client of MQTT takes: each page is under [`MOST`] octets, whatever names and
//! reasons stand in it, and says behind what the next one begins.

use heronroute_drift::view::View;
use heronroute_drift::{Record, Verdict};
use heronroute_fleet::{Name, Start, Term};
use heronroute_rules::check::{Finding, Findings};
use heronroute_rules::registry::Reply;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Octets of a page at most.
pub const MOST: usize = 8 * 1024;

/// Of these, for the place of the next page, with all its signs escaped.
const NEXT: usize = 512;

/// Octets of a place at most.
const MOST_AFTER: usize = 128;

/// Which page is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    after: After,
    most: Option<usize>,
}

/// Behind what it begins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum After {
    #[default]
    Nothing,
    Member(Name),
    Rollout(String),
    History(Key),
}

/// What records are in order by.
type Key = (Term, i64, Name, Start, Verdict);

#[derive(Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Body {
    after: String,
    most: Option<u32>,
}

impl Page {
    /// Reads the body of a question.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn read(body: &[u8]) -> Result<Page, Reply> {
        if body.is_empty() {
            return Ok(Page::default());
        }
        if body.len() > heronroute_rules::limits::MAX_BODY_BYTES {
            return Err(refused("", "the body is over 64KiB"));
        }
        let body: Option<Body> = serde_json::from_slice(body).map_err(|e| refused("", &e.to_string()))?;
        let body = body.unwrap_or_default();
        Page::of(&body.after, body.most)
    }

    /// Behind this place, with so many lines at most.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn of(after: &str, most: Option<u32>) -> Result<Page, Reply> {
        if most == Some(0) {
            return Err(refused("most", "at least 1"));
        }
        let after = place(after).ok_or_else(|| {
            refused(
                "after",
                "no such page: the place is the `next` of the page before, or empty for the first",
            )
        })?;
        Ok(Page { after, most: most.map(|most| most as usize) })
    }

    /// Whether there is such a page, where these are the members.
    ///
    /// # Errors
    /// That there is none.
    pub fn exists(&self, known: impl Fn(&Name) -> bool) -> Result<(), Reply> {
        match &self.after {
            After::Member(name) if !known(name) => {
                Err(refused("after", &format!("no such page: there is no member {}", name.as_str())))
            }
            _ => Ok(()),
        }
    }

    /// The place that it begins behind, to be read again by [`Page::of`].
    pub fn after(&self) -> String {
        match &self.after {
            After::Nothing => String::new(),
            After::Member(name) => format!("member/{}", name.as_str()),
            After::Rollout(client) => format!("rollout/{client}"),
            After::History((term, since, member, start, verdict)) => {
                format!("history/{}/{since}/{}/{}/{}", term.0, member.as_str(), start.0, verdict.word())
            }
        }
    }

    /// Lines at most, where that was asked for.
    pub fn most(&self) -> Option<u32> {
        self.most.and_then(|most| u32::try_from(most).ok())
    }

    /// The page of what is known, rollouts by client, the records from the oldest to the newest.
    pub fn shown<'a>(
        &self,
        view: &View,
        majority: bool,
        rollouts: &BTreeMap<String, Value>,
        records: impl DoubleEndedIterator<Item = &'a Record>,
    ) -> String {
        let mut head = Map::new();
        head.insert("term".into(), view.term.0.into());
        head.insert("known".into(), view.known.into());
        head.insert("majority".into(), majority.into());
        if let Some(why) = &view.why {
            head.insert("why".into(), why.as_str().into());
        }
        let members = view.members.iter().filter(|line| self.begins(&After::Member(line.name.clone())));
        let members = members.map(|line| (After::Member(line.name.clone()), "members", value(line)));
        let rollouts =
            rollouts.iter().map(|(client, line)| (After::Rollout(client.clone()), "rollouts", line.clone()));
        let rollouts = rollouts.filter(|(place, ..)| self.begins(place));
        let records = records.rev().filter(|record| self.begins(&After::History(key(record))));
        let records = records.map(|record| (After::History(key(record)), "history", value(record)));
        self.cut(head, members.chain(rollouts).chain(records))
    }

    /// The page where nothing is known of anybody; names in order.
    pub fn unknown<'a>(&self, term: Term, majority: bool, names: impl Iterator<Item = &'a Name>) -> String {
        let mut head = Map::new();
        head.insert("term".into(), term.0.into());
        head.insert("known".into(), false.into());
        head.insert("majority".into(), majority.into());
        let why = if majority { "not known: the member in charge does not answer" } else { "no majority" };
        head.insert("why".into(), why.into());
        let line = |name: &Name| json!({"name": name.as_str(), "verdict": Verdict::NotReporting.word(), "version": 0});
        let lines = names.map(|name| (After::Member(name.clone()), "members", line(name)));
        self.cut(head, lines.filter(|(place, ..)| self.begins(place)))
    }

    /// Whether what stands at a place is on this page or a later one.
    fn begins(&self, place: &After) -> bool {
        match (&self.after, place) {
            (After::Nothing, _) => true,
            (After::Member(last), After::Member(name)) => name > last,
            (After::Rollout(last), After::Rollout(client)) => client > last,
            // The newest first.
            (After::History(last), After::History(key)) => key < last,
            (After::Member(_), _) | (After::Rollout(_), After::History(_)) => true,
            _ => false,
        }
    }

    /// As many lines as fit; one at least fits, as each is bounded by its parts.
    fn cut(
        &self,
        mut page: Map<String, Value>,
        lines: impl Iterator<Item = (After, &'static str, Value)>,
    ) -> String {
        for list in ["members", "rollouts", "history"] {
            page.insert(list.into(), Vec::<Value>::new().into());
        }
        let mut room = MOST.saturating_sub(NEXT + Value::from(page.clone()).to_string().len());
        let mut left = self.most.unwrap_or(usize::MAX);
        let mut last = After::Nothing;
        for (place, list, line) in lines {
            let size = line.to_string().len() + 1;
            if left == 0 || size > room {
                page.insert("next".into(), Page { after: last, most: None }.after().into());
                break;
            }
            (left, room, last) = (left - 1, room - size, place);
            if let Some(Value::Array(all)) = page.get_mut(list) {
                all.push(line);
            }
        }
        Value::from(page).to_string()
    }
}

fn value(line: &impl Serialize) -> Value {
    serde_json::to_value(line).unwrap_or_default()
}

fn key(record: &Record) -> Key {
    (record.term, record.since, record.member.clone(), record.start, record.verdict)
}

fn place(text: &str) -> Option<After> {
    if text.is_empty() {
        return Some(After::Nothing);
    }
    if text.len() > MOST_AFTER {
        return None;
    }
    let (kind, rest) = text.split_once('/')?;
    match kind {
        "member" => Some(After::Member(Name::new(rest).ok()?)),
        "rollout" => Some(After::Rollout(rest.to_owned())),
        "history" => {
            let parts: Vec<&str> = rest.splitn(5, '/').collect();
            let [term, since, member, start, verdict] = parts.as_slice() else { return None };
            let verdict = Verdict::ALL.into_iter().find(|v| v.word() == *verdict)?;
            let (term, start) = (Term(term.parse().ok()?), Start(start.parse().ok()?));
            Some(After::History((term, since.parse().ok()?, Name::new(member).ok()?, start, verdict)))
        }
        _ => None,
    }
}

fn refused(field: &str, why: &str) -> Reply {
    let findings = Findings::one(Finding::new("", field, "", "", why));
    Reply::Refused { version: None, findings }
}
