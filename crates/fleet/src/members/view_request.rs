//! After a start or a pause: asks who is there, and takes over what it is told.

use super::change::Change;
use super::member_id::MemberId;
use super::state::Members;
use super::wire::Extension;
use crate::Micros;
use foca::Member;

/// Questions go to so many at a time.
const VIEW_REQUESTS: usize = 3;

impl Members {
    /// Asks some, if stale and due.
    pub(super) fn request_views(&mut self, now: Micros) {
        let Some(nonce) = self.fresh.nonce.filter(|_| self.fresh.next <= now) else { return };
        // Where links go to whoever spoke last under a name, each question takes them from the process that holds it.
        let (wait, most) = if self.claim.is_some() {
            (self.tuning.twin / 2, 1)
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

    /// An answer came. What another believes is taken over only while stale: at any other time it would bring in deaths
    /// that a cut made it believe.
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
        // Where all started at once nobody is fresh; after a while anyone's word will do.
        if !fresh && now - self.fresh.since < self.tuning.settle {
            self.with_swim(now, |swim, port| swim.apply_many(std::iter::once(here), true, port));
            return;
        }
        let all = members.into_iter().chain(std::iter::once(here));
        self.with_swim(now, |swim, port| swim.apply_many(all, false, port));
        self.fresh.nonce = None;
        self.out.change(Change::Stale(false));
    }
}
