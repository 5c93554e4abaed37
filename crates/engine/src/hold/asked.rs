//! A client asks about what is held for it.

use crate::ids::{ConnId, read_id, show_id};
use crate::node::Node;
use crate::stats::ANSWER_NAMES;
use heronroute::MsgId;
use heronroute_held::{Deed, Grants, Known, Party, Query, Trail, What};

/// Messages on a page.
const PAGE: usize = 20;

impl Node {
    /// A client asks about what is held for it. What is another's is told as if it did not exist.
    pub(crate) fn asked_of_held(&mut self, conn: ConnId, token: u32, words: &[String]) {
        let Some((client, _)) = self.place_of(conn) else { return };
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        // What is another's and what does not exist are told in the same words.
        let with = |deed, id: &str| self.mine(client, id, deed);
        let nowhere = || ("stat:NOTFOUND".to_string(), "NOTFOUND");
        let (text, state) = match words[..] {
            ["list"] => (self.list_held(client, None), "HELD"),
            ["list", after] => (self.list_held(client, read_id(after).map(|i| i.0)), "HELD"),
            ["show", id] => with(Deed::See, id).map_or_else(nowhere, |id| (self.show_trail(id), "HELD")),
            ["drop", id] => with(Deed::GiveUp, id).map_or_else(nowhere, |id| self.drop_held(id)),
            ["release"] => self.release(client, None),
            ["release", d] if d.parse::<i64>().is_ok() => self.release(client, d.parse().ok()),
            ["stop"] => {
                let (went, passed) =
                    self.releasing.remove(&client).map_or((0, 0), |r| (r.went, r.passed_over));
                (format!("stat:STOPPED went:{went} passed-over:{passed}"), "STOPPED")
            }
            ["again", id, ref new @ ..] if matches!(new, [] | ["new"]) => {
                let new_effect = !new.is_empty();
                with(Deed::HandIn, id).map_or_else(nowhere, |id| self.again(client, id, new_effect))
            }
            _ => ("stat:WHAT allowed: list[/AFTER], show/ID, again/ID[/new], drop/ID, release[/DESTINATION], stop".to_string(), "WHAT"),
        };
        if let Some((front, out)) = self.front(conn) {
            front.told(token, text, state, out);
        }
        self.flush(conn);
    }

    /// The message of a name, where this client may do this with it.
    fn mine(&self, client: usize, id: &str, deed: Deed) -> Option<u64> {
        let id = read_id(id)?.0;
        let filed = self.held.as_ref()?.get(id)?;
        let party = Party::Client(client as u32);
        Grants::default().allows(&party, deed, filed.client, filed.destination).then_some(id)
    }

    fn list_held(&self, client: usize, after: Option<u64>) -> String {
        let Some(store) = &self.held else { return "held:0".to_string() };
        let (count, octets, dropped) = store.of(client as u32);
        let query = Query { client: Some(client as u32), held: true, after, ..Query::default() };
        let page = store.list(&query, PAGE);
        let mut text = format!(
            "held:{count} octets:{octets} dropped-old:{} dropped-many:{} dropped-large:{}",
            dropped.age, dropped.count, dropped.octets
        );
        for id in page.ids {
            text = format!("{text}\n{}", show_id(MsgId(id)));
        }
        if let Some(r) = self.releasing.get(&client) {
            text = format!(
                "{text}\nreleasing:{:.0}/s went:{} passed-over:{}",
                r.release.rate(),
                r.went,
                r.passed_over
            );
        }
        match page.next {
            Some(next) => format!("{text}\nmore:{}", show_id(MsgId(next))),
            None => text,
        }
    }

    /// A trail in words, one step a line, with microseconds since 1970 UTC.
    fn show_trail(&self, id: u64) -> String {
        let filed = self.held.as_ref().and_then(|s| s.get(id));
        let Some(trail) = filed.and_then(|f| Trail::read(&f.trail)) else {
            return "stat:NOTFOUND".to_string();
        };
        let name = |n: u32| self.trail_names.get(n as usize).map_or("?", String::as_str);
        let mut text = format!("id:{} taken:{} by:{}", show_id(MsgId(id)), trail.taken, name(trail.by));
        for (at, what) in trail.steps() {
            let line = match what {
                What::Began(e) => format!("attempt at {}", name(e)),
                What::Ended(Known::NeverWritten) => "never left".to_string(),
                What::Ended(Known::Written) => "no proof that it had no effect".to_string(),
                What::Ended(Known::Took) => "taken by the receiver".to_string(),
                What::Ended(Known::Refused) => "turned away by the receiver".to_string(),
                What::Ended(Known::Lost) => "lost with a restart".to_string(),
                What::Restarted => "restart".to_string(),
                What::Answered(s) => format!("answer {}", ANSWER_NAMES.get(s as usize).unwrap_or(&"?")),
                What::Heard => "answer taken".to_string(),
                What::HandedIn(p) => format!("handed in again by {}", name(p)),
                What::GivenUp(p) => format!("given up by {}", name(p)),
            };
            text = format!("{text}\n{at} {line}");
        }
        if trail.may_have_run().is_some() {
            text.push_str("\nmay have taken effect");
        }
        text
    }
}
