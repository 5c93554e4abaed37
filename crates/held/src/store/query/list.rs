//! Listings by the indexes, and by a full scan.

use crate::store::identity::first_id;
use crate::store::{MessageRecord, Page, Query, Store};

impl Store {
    /// Returns a page of at most `most` identities. The cost depends on the candidates examined: one index
    /// gives them in order, and each is checked against the other criteria; after `most` × 50 candidates the
    /// page ends early, with more to come.
    pub fn list(&self, q: &Query, most: usize) -> Page {
        let first = q.from.map_or(0, first_id).max(q.after.map_or(0, |a| a.saturating_add(1)));
        let last = q.to.map_or(u64::MAX, |t| first_id(t).saturating_sub(1));
        // No message was accepted before time 0, which the lowest identity stands for.
        if first > last || q.to.is_some_and(|t| first_id(t) == 0) {
            return Page { ids: Vec::new(), next: None };
        }
        // The most selective index is used.
        let candidates: Box<dyn Iterator<Item = u64> + '_> = match (q.key, q.destination, q.client, q.held) {
            (Some(key), ..) => Box::new(self.by_key.range((key, first)..=(key, last)).map(|p| p.1)),
            (_, Some(d), _, true) => Box::new(self.held_to.range((d, first)..=(d, last)).map(|p| p.1)),
            (_, _, Some(c), true) => Box::new(self.held_of.range((c, first)..=(c, last)).map(|p| p.1)),
            (_, Some(d), ..) => Box::new(self.by_destination.range((d, first)..=(d, last)).map(|p| p.1)),
            (_, _, Some(c), _) => Box::new(self.by_client.range((c, first)..=(c, last)).map(|p| p.1)),
            _ => Box::new(self.by_id.range(first..=last).map(|p| *p.0)),
        };
        let mut page = Page { ids: Vec::new(), next: None };
        let mut last_examined = None;
        for (n, id) in candidates.enumerate() {
            if page.ids.len() == most || n >= most.saturating_mul(50) {
                page.next = last_examined;
                break;
            }
            last_examined = Some(id);
            if self.by_id.get(&id).is_some_and(|f| matches_query(f, q)) {
                page.ids.push(id);
            }
        }
        page
    }

    /// Returns the same page by a full scan: the reference that the indexes are tested against.
    pub fn scan(&self, q: &Query, most: usize) -> Page {
        let inside = |id: u64| {
            q.from.is_none_or(|t| id >= first_id(t))
                && q.to.is_none_or(|t| id < first_id(t))
                && q.after.is_none_or(|a| id > a)
        };
        let mut ids: Vec<u64> = self
            .by_id
            .iter()
            .filter(|(id, f)| inside(**id) && matches_query(f, q))
            .map(|(id, _)| *id)
            .collect();
        let next = (ids.len() > most).then(|| ids.get(most.saturating_sub(1)).copied()).flatten();
        ids.truncate(most);
        Page { ids, next }
    }
}

fn matches_query(f: &MessageRecord, q: &Query) -> bool {
    q.client.is_none_or(|c| c == f.client)
        && q.destination.is_none_or(|d| d == f.destination)
        && q.key.is_none_or(|k| k == f.key)
        && (!q.held || f.message.is_some())
}
