//! Requests the membership views of other members after a start or a pause, and adopts an answer.

use super::change::Change;
use super::member_id::MemberId;
use super::state::Members;
use super::wire::Extension;
use crate::Micros;
use foca::Member;

/// The number of members that are asked at a time.
const VIEW_REQUESTS: usize = 3;

impl Members {
    /// Asks some members for their views, if the own view is stale and a request is due.
    pub(super) fn request_views(&mut self, now: Micros) {
        let Some(nonce) = self.fresh.nonce.filter(|_| self.fresh.next <= now) else { return };
        // When another process uses the same name and a link belongs to whichever process connected last,
        // each request takes links from the process that holds the name, so there are fewer.
        let (wait, most) = if self.claim.is_some() {
            (self.tuning.conflict_after / 2, 1)
        } else {
            (self.tuning.period / 2, VIEW_REQUESTS)
        };
        self.fresh.next = now.saturating_add(wait.max(1));
        let from = *self.swim.identity();
        for index in self.pick_linked(most, |_| true) {
            if let Some(bytes) = (Extension::ViewRequest { from, nonce }).encode() {
                self.out.send(&self.rows, index, bytes);
            }
        }
    }

    /// Handles a member's view. It is adopted only while the own view is stale: at any other time it would
    /// bring in deaths that the sender believes in because of a network partition.
    pub(super) fn handle_view(
        &mut self,
        now: Micros,
        nonce: u64,
        from: MemberId,
        fresh: bool,
        members: Vec<Member<MemberId>>,
    ) {
        if self.fresh.nonce != Some(nonce) {
            return;
        }
        let here = Member::alive(from);
        // When all members start together, none has a fresh view; after a while any answer is accepted.
        if !fresh && now - self.fresh.since < self.tuning.view_wait {
            self.with_swim(now, |swim, port| swim.apply_many(std::iter::once(here), true, port));
            return;
        }
        let all = members.into_iter().chain(std::iter::once(here));
        self.with_swim(now, |swim, port| swim.apply_many(all, false, port));
        self.fresh.nonce = None;
        self.out.change(Change::Stale(false));
    }
}
