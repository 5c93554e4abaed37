//! Storing, journaling and dropping of held messages and trails.

use super::{MAX_TRAIL_STEPS, stored_record};
use crate::entry_codec::to_entry;
use crate::ids::format_id;
use crate::node::{Message, Node};
use crate::stats::answer_index;
use heronroute::MsgId;
use heronroute_held::{Trail, What};
use heronroute_journal::entry::{self, Accepted, Held, Released};
use heronroute_smpp::receipt::Answer;
use prost::Message as _;

impl Node {
    /// Stores the trail of an answered message, and holds the message for its client if it ended undelivered.
    pub(crate) fn store_ended(&mut self, id: MsgId, m: &mut Message, answer: Answer) {
        let (Some(mut trail), now) = (m.trail.take(), self.wall()) else { return };
        trail.add(now, What::Answered(answer_index(answer) as u32), MAX_TRAIL_STEPS);
        // A resubmitted message that was not delivered stays held, whatever its end.
        let resubmitted = trail.steps().filter(|(_, what)| matches!(what, What::Resubmitted(_))).last();
        if let (Some((index, _)), Some(r)) = (resubmitted, self.releases.get_mut(&m.client)) {
            r.release.answered(answer == Answer::Delivered, now - index);
        }
        let hold = matches!(answer, Answer::Undeliverable | Answer::Unknown { .. } | Answer::Expired)
            || (resubmitted.is_some() && answer != Answer::Delivered);
        let dest = self.routes.find(&m.submission.destination).map_or(0, |d| d.0);
        let key = m.submission.key.as_deref().unwrap_or_default();
        let mut stored = stored_record(m.client, Some(m.class), dest, key, &trail);
        // Only held messages are written out: most messages leave no more than their trail.
        let held = hold.then(|| {
            let client = self.cfg.clients.get(m.client).map_or("", |c| c.system_id.as_str());
            let mailbox = self.mailboxes.get(m.mailbox).map_or("", |b| b.name.as_str());
            let class = self.cfg.class_names.get(m.class).cloned().unwrap_or_default();
            let rest = Accepted { id: id.0, class, dest, taken: m.taken, ..Accepted::default() };
            to_entry(client, mailbox, &m.submission, &m.reply_to, rest)
        });
        stored.message = held.as_ref().map(|a| a.encode_to_vec().into());
        let parts = self.held_parts_for(m.client, Some(m.class), &m.submission.destination, key);
        let dropped = self.held.as_mut().map(|s| s.file_in(now, id.0, stored, parts)).unwrap_or_default();
        if let Some(accepted) = held {
            self.unacknowledged.insert(id.0);
            self.write_held(accepted, *trail);
        }
        self.write_released(&dropped);
    }

    fn write_held(&mut self, accepted: Accepted, mut trail: Trail) {
        let mut names = Vec::new();
        let all = &self.trail_names;
        trail.rename(|n| {
            let name = all.get(n as usize).cloned().unwrap_or_default();
            let index = names.iter().position(|x| *x == name);
            index.unwrap_or_else(|| {
                names.push(name);
                names.len() - 1
            }) as u32
        });
        self.ledger
            .write(|| entry::What::Held(Held { accepted: Some(accepted), trail: trail.write(), names }));
    }

    /// Writes to the journal that these messages are no longer held.
    pub(crate) fn write_released(&mut self, ids: &[u64]) {
        for id in ids {
            self.ledger.write(|| entry::What::Released(Released { id: *id }));
        }
    }

    /// Drops a held message at its client's request.
    pub(crate) fn drop_held(&mut self, id: u64) -> (String, &'static str) {
        let Some(store) = &mut self.held else { return ("stat:NOTFOUND".to_string(), "NOTFOUND") };
        if store.get(id).is_some_and(|f| f.under_way || f.kept) {
            return ("stat:UNDERWAY".to_string(), "UNDERWAY");
        }
        store.take(id);
        self.write_released(&[id]);
        (format!("id:{} stat:DROPPED", format_id(MsgId(id))), "DROPPED")
    }
}
