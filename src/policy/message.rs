//! The life cycle of a message: whether it may be tried again, its final answer, and its end.

use super::may_be_returned;
use crate::{interface::*, state::*};

impl Dispatcher {
    /// Closes a message: its client needs no answer any more. Attempts in flight are kept until they end.
    pub(super) fn close(&mut self, id: MsgId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if !message.closed {
            self.open_messages -= 1;
            self.schedule.remove(&(message.deadline - self.settings.quantum, Task::CheckMessage(id)));
        }
        message.closed = true;
        let entry = (message.sequence, id);
        self.destinations.entry(message.dest).and_modify(|d| _ = d.pending.remove(&entry));
        if message.in_flight.is_empty() {
            let key = message.key.take();
            if let Some((name, key)) = key.and_then(|name| self.keys.get_mut(&name).map(|key| (name, key))) {
                key.queue.remove(&entry);
                if key.queue.is_empty() && key.paused_until <= self.now {
                    self.keys.remove(&name);
                }
                self.ready.insert(message.dest);
            }
            self.messages.remove(&id);
        }
    }

    pub(super) fn class_of(&self, message: &Message) -> &ClassSettings {
        self.settings.classes.get(message.class).unwrap_or(&self.default_class)
    }

    /// Returns whether a further attempt is allowed at all, now.
    pub(super) fn may_retry(&self, id: MsgId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        if message.closed || !message.in_flight.is_empty() || message.attempts >= self.settings.max_attempts {
            return false;
        }
        let class = self.class_of(message);
        match (class.effect, message.may_run) {
            (Effect::Free, _) | (_, None) => true,
            (Effect::Guarded, Some((first, at))) => {
                let any = |d: &Destination| {
                    d.endpoints.iter().any(|e| self.drops_duplicates(class.group, (first, at), *e))
                };
                let any =
                    class.group == DedupScope::All || self.destinations.get(&message.dest).is_some_and(any);
                self.now < first + class.window && any
            }
            (Effect::SingleShot, Some(_)) => false,
        }
    }

    /// Returns whether `other` is listed and drops duplicates of a message that may have been executed since a time, first
    /// at an endpoint of its destination.
    pub(super) fn drops_duplicates(
        &self,
        group: DedupScope,
        (since, first): (Micros, EndpointId),
        other: EndpointId,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get(&other).filter(|e| e.listed) else { return false };
        match group {
            DedupScope::All => true,
            DedupScope::Zone => self.endpoints.get(&first).is_some_and(|f| f.zone == endpoint.zone),
            DedupScope::Endpoint => first == other && endpoint.replaced_at.is_none_or(|at| at <= since),
        }
    }

    /// Records that another process runs as an endpoint. Messages that may have been executed there before are checked in
    /// this round: it may not drop their duplicates.
    pub(super) fn replace_endpoint(&mut self, endpoint: EndpointId, ago: Micros) {
        let now = self.now;
        let Some(replaced) = self.endpoints.get_mut(&endpoint) else { return };
        replaced.replaced_at = Some(now - ago.clamp(0, MAX_DURATION));
        let concerned = self.messages.iter().filter(|(_, m)| m.may_run.is_some_and(|(_, at)| at == endpoint));
        self.schedule.extend(concerned.map(|(id, _)| (now, Task::CheckMessage(*id))));
    }

    /// Returns whether the client may be told that submitting the message again does no harm.
    pub(super) fn may_refuse(&self, message: &Message) -> bool {
        let may_have_run = !message.in_flight.is_empty() || message.may_run.is_some();
        may_be_returned(self.class_of(message), may_have_run)
    }

    /// Gives the final answer. The retry-after of a refusal is the time until the destination can take a
    /// call, plus a random time, so that clients refused together don't return together.
    pub(super) fn give_final_answer(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let (random, most) = (self.random(), self.settings.max_retry_after as f64);
        let Some(message) = self.messages.get(&id) else { return };
        out.push(if self.may_refuse(message) {
            let (usable, recheck) = self.usable_endpoints(message.dest);
            let closed = usable.iter().all(|(_, careful, _)| *careful && self.settings.probes);
            let wait = if closed { recheck.at.saturating_sub(self.now) as f64 } else { 0.0 };
            let retry_after = (wait.clamp(most / 4.0, most / 2.0) + most * random / 2.0) as Micros;
            Action::Refuse { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.close(id);
    }

    /// Gives the final answer if it is due: the deadline has come, or no further attempt is allowed.
    pub(super) fn answer_if_due(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { return };
        if self.now + self.settings.quantum >= message.deadline
            || (message.in_flight.is_empty() && !self.may_retry(id))
        {
            self.give_final_answer(id, out);
        }
    }
}
