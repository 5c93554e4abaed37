//! All decisions of heronroute. `src/interface.rs` has their inputs and outputs, `src/state.rs` their data.
//!
//! The ordinary path is a bulkhead: each destination has a pool of permits, sized as rate x p99 latency x
//! safety factor. A call holds a permit until its outcome; other messages are pending, and are sent oldest
//! first. Around it are a call budget, the health of each endpoint with single trials, and a gradual return
//! after an outage. A pool has one limit and one set of permits. It belongs to a destination, or to one route
//! where routes are separate.

mod choose;
mod directory;
mod estimate;
mod events;
mod finality;
mod health;
mod message;
mod overload;
mod pace;
mod quota;
mod send;

pub use finality::{AttemptEnd, Finality, UndeliveredEnd, may_be_returned, undelivered_end};

use crate::{interface::*, state::*};

impl Dispatcher {
    /// Creates a dispatcher.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        settings.validate()?;
        let (random_state, timer_at) = (seed | 1, Micros::MIN);
        let mut d = Dispatcher { now, random_state, timer_at, settings, ..Dispatcher::default() };
        if d.settings.discovery == Discovery::Subscribe {
            d.schedule.insert((now, Task::Subscribe));
        }
        Ok(d)
    }

    /// Takes in all events up to `now`, then decides, and appends the resulting actions to `out`.
    pub fn round(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.handle_event(event, out);
        }
        self.remove_stale();
        self.run_due_tasks(out);
        self.cancel_silent_calls(out);
        self.dispatch(out);
        self.close_idle_connections(out);
        self.shed_excess(out);
        self.set_timer(out);
    }

    fn run_due_tasks(&mut self, out: &mut Vec<Action>) {
        while let Some((_, task)) = self.schedule.first().copied().filter(|(at, _)| *at <= self.now) {
            self.schedule.pop_first();
            match task {
                Task::CheckMessage(id) => self.answer_if_due(id, out),
                Task::CheckSilence(id) => self.check_silence(id),
                Task::CheckDestination(id) => _ = self.ready.insert(id),
                Task::Subscribe => self.subscribe(out),
            }
        }
    }

    fn set_timer(&mut self, out: &mut Vec<Action>) {
        let Some(at) = self.schedule.first().map(|(at, _)| (*at).max(self.now + 1)) else { return };
        if self.timer_at <= self.now || at < self.timer_at {
            self.timer_at = at;
            out.push(Action::Timer { at, token: 0 });
        }
    }
}
