//! The pages of `fleet/drift`: members by name, then rollouts by client, then the history, the newest first.
//!
//! Clients of MQTT limit the size of a packet, so each page is under [`MAX_PAGE_BYTES`], whatever names and
//! reasons it contains, and names the position after which the next one begins.

use heronroute_drift::view::View;
use heronroute_drift::{Record, Verdict};
use heronroute_fleet::{Name, Start, Term};
use heronroute_rules::check::{Finding, Findings};
use heronroute_rules::registry::Reply;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// The largest page, in bytes.
pub const MAX_PAGE_BYTES: usize = 8 * 1024;

/// The part of a page that is reserved for the position of the next one, with all its characters escaped.
const MAX_NEXT_BYTES: usize = 512;

/// The longest position in a request, in bytes.
const MAX_POSITION_BYTES: usize = 128;

/// A requested page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    after: Position,
    most: Option<usize>,
}

/// The position after which a page begins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    Nothing,
    Member(Name),
    Rollout(String),
    History(RecordKey),
}

/// The sort key of records.
type RecordKey = (Term, i64, Name, Start, Verdict);

#[derive(Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PageRequest {
    after: String,
    most: Option<u32>,
}

impl Page {
    /// Parses the body of a request.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    pub fn read(body: &[u8]) -> Result<Page, Reply> {
        if body.is_empty() {
            return Ok(Page::default());
        }
        if body.len() > heronroute_rules::limits::MAX_BODY_BYTES {
            return Err(refusal("", "the body is over 64KiB"));
        }
        let body: Option<PageRequest> =
            serde_json::from_slice(body).map_err(|e| refusal("", &e.to_string()))?;
        let body = body.unwrap_or_default();
        Page::of(&body.after, body.most)
    }

    /// Returns the page after this position, with at most this many lines.
    ///
    /// # Errors
    /// Returns what is wrong with the arguments.
    pub fn of(after: &str, most: Option<u32>) -> Result<Page, Reply> {
        if most == Some(0) {
            return Err(refusal("most", "at least 1"));
        }
        let after = parse_position(after).ok_or_else(|| {
            refusal(
                "after",
                "no such page: the place is the `next` of the page before, or empty for the first",
            )
        })?;
        Ok(Page { after, most: most.map(|most| most as usize) })
    }

    /// Checks that the page's member exists.
    ///
    /// # Errors
    /// Returns the refusal if it does not.
    pub fn exists(&self, known: impl Fn(&Name) -> bool) -> Result<(), Reply> {
        match &self.after {
            Position::Member(name) if !known(name) => {
                Err(refusal("after", &format!("no such page: there is no member {}", name.as_str())))
            }
            _ => Ok(()),
        }
    }

    /// Returns the position after which it begins, as accepted by [`Page::of`].
    pub fn after(&self) -> String {
        match &self.after {
            Position::Nothing => String::new(),
            Position::Member(name) => format!("member/{}", name.as_str()),
            Position::Rollout(client) => format!("rollout/{client}"),
            Position::History((term, since, member, start, verdict)) => {
                format!("history/{}/{since}/{}/{}/{}", term.0, member.as_str(), start.0, verdict.word())
            }
        }
    }

    /// Returns the requested maximum of lines.
    pub fn most(&self) -> Option<u32> {
        self.most.and_then(|most| u32::try_from(most).ok())
    }

    /// Returns the page of a view, with rollouts by client and records from the oldest to the newest.
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
        let members = view.members.iter().filter(|line| self.includes(&Position::Member(line.name.clone())));
        let members = members.map(|line| (Position::Member(line.name.clone()), "members", to_json(line)));
        let rollouts = rollouts
            .iter()
            .map(|(client, line)| (Position::Rollout(client.clone()), "rollouts", line.clone()));
        let rollouts = rollouts.filter(|(position, ..)| self.includes(position));
        let records = records.rev().filter(|record| self.includes(&Position::History(record_key(record))));
        let records =
            records.map(|record| (Position::History(record_key(record)), "history", to_json(record)));
        self.fill(head, members.chain(rollouts).chain(records))
    }

    /// Returns the page of a member that knows nothing of the others; names are in order.
    pub fn unknown<'a>(&self, term: Term, majority: bool, names: impl Iterator<Item = &'a Name>) -> String {
        let mut head = Map::new();
        head.insert("term".into(), term.0.into());
        head.insert("known".into(), false.into());
        head.insert("majority".into(), majority.into());
        let why = if majority { "not known: the member in charge does not answer" } else { "no majority" };
        head.insert("why".into(), why.into());
        let line = |name: &Name| json!({"name": name.as_str(), "verdict": Verdict::NotReporting.word(), "version": 0});
        let lines = names.map(|name| (Position::Member(name.clone()), "members", line(name)));
        self.fill(head, lines.filter(|(position, ..)| self.includes(position)))
    }

    /// Returns whether the line at a position is on this page or a later one.
    fn includes(&self, position: &Position) -> bool {
        match (&self.after, position) {
            (Position::Nothing, _) => true,
            (Position::Member(last), Position::Member(name)) => name > last,
            (Position::Rollout(last), Position::Rollout(client)) => client > last,
            // The newest records come first.
            (Position::History(last), Position::History(key)) => key < last,
            (Position::Member(_), _) | (Position::Rollout(_), Position::History(_)) => true,
            _ => false,
        }
    }

    /// Fills a page with as many lines as fit; at least one does, as the parts of a line are bounded.
    fn fill(
        &self,
        mut page: Map<String, Value>,
        lines: impl Iterator<Item = (Position, &'static str, Value)>,
    ) -> String {
        for list in ["members", "rollouts", "history"] {
            page.insert(list.into(), Vec::<Value>::new().into());
        }
        let mut room =
            MAX_PAGE_BYTES.saturating_sub(MAX_NEXT_BYTES + Value::from(page.clone()).to_string().len());
        let mut lines_left = self.most.unwrap_or(usize::MAX);
        let mut last = Position::Nothing;
        for (position, list, line) in lines {
            let size = line.to_string().len() + 1;
            if lines_left == 0 || size > room {
                page.insert("next".into(), Page { after: last, most: None }.after().into());
                break;
            }
            (lines_left, room, last) = (lines_left - 1, room - size, position);
            if let Some(Value::Array(all)) = page.get_mut(list) {
                all.push(line);
            }
        }
        Value::from(page).to_string()
    }
}

fn to_json(line: &impl Serialize) -> Value {
    serde_json::to_value(line).unwrap_or_default()
}

fn record_key(record: &Record) -> RecordKey {
    (record.term, record.since, record.member.clone(), record.start, record.verdict)
}

fn parse_position(text: &str) -> Option<Position> {
    if text.is_empty() {
        return Some(Position::Nothing);
    }
    if text.len() > MAX_POSITION_BYTES {
        return None;
    }
    let (kind, rest) = text.split_once('/')?;
    match kind {
        "member" => Some(Position::Member(Name::new(rest).ok()?)),
        "rollout" => Some(Position::Rollout(rest.to_owned())),
        "history" => {
            let parts: Vec<&str> = rest.splitn(5, '/').collect();
            let [term, since, member, start, verdict] = parts.as_slice() else { return None };
            let verdict = Verdict::ALL.into_iter().find(|v| v.word() == *verdict)?;
            let (term, start) = (Term(term.parse().ok()?), Start(start.parse().ok()?));
            Some(Position::History((term, since.parse().ok()?, Name::new(member).ok()?, start, verdict)))
        }
        _ => None,
    }
}

fn refusal(field: &str, why: &str) -> Reply {
    let findings = Findings::one(Finding::new("", field, "", "", why));
    Reply::Refused { version: None, findings }
}
