//! Commands of clients about the messages held for them.

use crate::ids::{ConnId, format_id, parse_id};
use crate::node::{Effect, Node};
use crate::stats::ANSWER_NAMES;
use heronroute::MsgId;
use heronroute_held::{Grants, KnownOutcome, Operation, Party, Query, Trail, What};

/// The number of messages on a page of a listing.
const PAGE_SIZE: usize = 20;

/// The maximum number of replies that wait for the journal. Further commands are not carried out.
const MAX_PENDING_REPLIES: usize = 1_000;

impl Node {
    /// Handles a command about the messages held for the client.
    pub(crate) fn handle_held_command(&mut self, conn: ConnId, token: u32, words: &[String]) {
        let Some((client, _)) = self.owner_of(conn) else { return };
        if self.pending_replies >= MAX_PENDING_REPLIES {
            return self.send_command_reply(conn, token, "stat:BUSY".to_string(), "BUSY");
        }
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        // A message of another client gets the same reply as one that doesn't exist.
        let with_own = |operation, id: &str| self.own_held_message(client, id, operation);
        let not_found = || ("stat:NOTFOUND".to_string(), "NOTFOUND");
        let (text, state) = match words[..] {
            ["list"] => (self.list_held(client, None), "HELD"),
            ["list", after] => (self.list_held(client, parse_id(after).map(|i| i.0)), "HELD"),
            ["show", id] => with_own(Operation::Show, id).map_or_else(not_found, |id| (self.show_trail(id), "HELD")),
            ["drop", id] => with_own(Operation::Drop, id).map_or_else(not_found, |id| self.drop_held(id)),
            ["release"] => self.start_release(client, None),
            ["release", d] if d.parse::<i64>().is_ok() => self.start_release(client, d.parse().ok()),
            ["stop"] => {
                let (went, passed) =
                    self.releases.remove(&client).map_or((0, 0), |r| (r.resubmitted, r.skipped));
                (format!("stat:STOPPED went:{went} passed-over:{passed}"), "STOPPED")
            }
            ["again", id, ref new @ ..] if matches!(new, [] | ["new"]) => {
                let new_effect = !new.is_empty();
                with_own(Operation::Resubmit, id).map_or_else(not_found, |id| self.resubmit_held(client, id, new_effect))
            }
            _ => ("stat:WHAT allowed: list[/AFTER], show/ID, again/ID[/new], drop/ID, release[/DESTINATION], stop".to_string(), "WHAT"),
        };
        // The reply tells of hand-ins, ends and drops that may not be durable yet: a kill must not undo what it says.
        self.pending_replies += 1;
        self.once_durable(Effect::ReplyToCommand { conn, token, text, state });
    }

    /// Sends a reply whose content is durable now.
    pub(crate) fn reply_to_command(&mut self, conn: ConnId, token: u32, text: String, state: &'static str) {
        self.pending_replies -= 1;
        self.send_command_reply(conn, token, text, state);
    }

    /// Sends the reply to a command. A client whose connection has closed asks again.
    fn send_command_reply(&mut self, conn: ConnId, token: u32, text: String, state: &'static str) {
        if let Some((front, out)) = self.front(conn) {
            front.told(token, text, state, out);
        }
        self.flush(conn);
    }

    /// Returns the number of the message with this id, if this client may do `deed` with it.
    fn own_held_message(&self, client: usize, id: &str, operation: Operation) -> Option<u64> {
        let id = parse_id(id)?.0;
        let stored = self.held.as_ref()?.get(id)?;
        let party = Party::Client(client as u32);
        Grants::default().allows(&party, operation, stored.client, stored.destination).then_some(id)
    }

    fn list_held(&self, client: usize, after: Option<u64>) -> String {
        let Some(store) = &self.held else { return "held:0".to_string() };
        let (count, octets, dropped) = store.of(client as u32);
        let query = Query { client: Some(client as u32), held: true, after, ..Query::default() };
        let page = store.list(&query, PAGE_SIZE);
        let mut text = format!(
            "held:{count} octets:{octets} dropped-old:{} dropped-many:{} dropped-large:{}",
            dropped.age, dropped.count, dropped.octets
        );
        for id in page.ids {
            text = format!("{text}\n{}", format_id(MsgId(id)));
        }
        if let Some(r) = self.releases.get(&client) {
            text = format!(
                "{text}\nreleasing:{:.0}/s went:{} passed-over:{}",
                r.release.rate(),
                r.resubmitted,
                r.skipped
            );
        }
        match page.next {
            Some(next) => format!("{text}\nmore:{}", format_id(MsgId(next))),
            None => text,
        }
    }

    /// Formats a trail as text, one step a line, with times in microseconds since 1970 UTC.
    fn show_trail(&self, id: u64) -> String {
        let stored = self.held.as_ref().and_then(|s| s.get(id));
        let Some(trail) = stored.and_then(|f| Trail::read(&f.trail)) else {
            return "stat:NOTFOUND".to_string();
        };
        let name = |n: u32| self.trail_names.get(n as usize).map_or("?", String::as_str);
        let mut text = format!("id:{} taken:{} by:{}", format_id(MsgId(id)), trail.taken, name(trail.by));
        for (at, what) in trail.steps() {
            let line = match what {
                What::Began(e) => format!("attempt at {}", name(e)),
                What::Ended(KnownOutcome::NeverWritten) => "never left".to_string(),
                What::Ended(KnownOutcome::Written) => "no proof that it had no effect".to_string(),
                What::Ended(KnownOutcome::Delivered) => "taken by the receiver".to_string(),
                What::Ended(KnownOutcome::Refused) => "turned away by the receiver".to_string(),
                What::Ended(KnownOutcome::Lost) => "lost with a restart".to_string(),
                What::Restarted => "restart".to_string(),
                What::Answered(s) => format!("answer {}", ANSWER_NAMES.get(s as usize).unwrap_or(&"?")),
                What::AnswerConfirmed => "answer taken".to_string(),
                What::Resubmitted(p) => format!("handed in again by {}", name(p)),
                What::Dropped(p) => format!("given up by {}", name(p)),
            };
            text = format!("{text}\n{at} {line}");
        }
        if trail.may_have_run().is_some() {
            text.push_str("\nmay have taken effect");
        }
        text
    }
}
