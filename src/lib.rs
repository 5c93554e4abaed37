//! # heronroute
//!
//! Decides, for a sender that delivers messages to outside receivers, which message goes to which endpoint
//! and when, how long to wait for the answer, and when to retry, refuse or fail it. The library does no I/O:
//! the sender passes [`Event`]s and a clock to a [`Dispatcher`] and carries out the [`Action`]s that it
//! returns.
//!
//! The mechanism is a bulkhead: every destination has a bounded pool of permits, sized from its own traffic,
//! so that one slow destination can't use up all slots. `docs/design.md` describes the original design, what
//! was added to it, and when each addition takes effect.
//!
//! ```
//! use heronroute::{Action, ClassSettings, Dispatcher, DestId, Effect, EndpointEntry, EndpointId, Event};
//! use heronroute::{KindSettings, MsgId, Outcome, Settings, Status};
//!
//! let mut settings = Settings { slots: 8, max_open: 100, max_attempts: 4, ..Settings::default() };
//! settings.classes.push(ClassSettings { effect: Effect::Free, ..ClassSettings::default() });
//! settings.kinds.push(KindSettings { batch: 1, apart: false });
//! let mut dispatcher = Dispatcher::new(0, 42, settings)?;
//!
//! let endpoint = EndpointEntry {
//!     endpoint: EndpointId(1), dest: DestId(7), status: Status::Up, kind: 0, zone: 0, weight: None,
//! };
//! let message = Event::Message {
//!     id: MsgId(1), class: 0, tenant: 0, key: None, dest: DestId(7), time_left: 5_000_000, again: false,
//! };
//! let mut actions = Vec::new();
//! let directory = Event::DirectoryUpdate { whole: true, entries: vec![endpoint] };
//! dispatcher.round(0, &[directory, message], &mut actions);
//! let is_send = |a: &Action| matches!(a, Action::Send { id: MsgId(1), endpoint: EndpointId(1), .. });
//! let sent = actions.iter().any(is_send);
//! assert!(sent);
//!
//! // Later, the sender reports how the call ended. A delivered message needs no further answer.
//! actions.clear();
//! let outcome = Event::Outcome {
//!     id: MsgId(1), attempt: 0, endpoint: EndpointId(1), outcome: Outcome::Done, message_closed: true,
//!     elapsed: 80_000, wait: 0, report: None,
//! };
//! dispatcher.round(80_000, &[outcome], &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::Fail { .. })));
//! # Ok::<(), heronroute::SettingsError>(())
//! ```

#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod interface;
mod policy;
mod state;

pub use interface::*;
pub use policy::{AttemptEnd, Finality, UndeliveredEnd, may_be_returned, undelivered_end};
pub use state::Dispatcher;

/// The dispatcher's current view of an endpoint and its destination, for diagnostics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Belief {
    /// The permits of the pool, and how many are in use.
    pub pool: (u32, u32),
    /// The 99th percentile and the mean of the latency, in microseconds.
    pub latency: (f64, f64),
    /// The number of messages that wait for the destination.
    pub held: usize,
    /// The call budget in calls per second; infinite where nothing was refused.
    pub budget: f64,
    /// The time before which no call is made.
    pub wait_until: Micros,
    /// A moving average of failures, from 0 to 1.
    pub fails: f64,
    /// The time of the next trial, if the endpoint is suspected to have failed.
    pub trouble: Option<Micros>,
    /// Whether the endpoint has recovered and its load is raised gradually.
    pub warming: bool,
}

/// The state of an endpoint that must survive a restart, so that restarted senders don't overload a
/// destination whose outage they have forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RestartState {
    /// The time since which calls to it have failed.
    pub bad_since: Option<Micros>,
    /// The time at which it recovered from an outage, while it is still warming up.
    pub back_since: Option<Micros>,
    /// The budget in calls per second, if the last call was refused.
    pub budget: Option<f64>,
}

impl Dispatcher {
    /// Returns the dispatcher's view of an endpoint, without changing anything.
    pub fn belief(&self, endpoint: EndpointId) -> Option<Belief> {
        let e = self.endpoints.get(&endpoint)?;
        let pool = self.pools.get(&e.pool)?;
        Some(Belief {
            pool: (pool.permits, pool.in_flight),
            latency: (pool.latency.p99(), pool.latency.mean()),
            held: self.destinations.get(&e.dest).map_or(0, |d| d.pending.len()),
            budget: pool.budget,
            wait_until: pool.wait_until,
            fails: e.failure_share,
            trouble: e.suspicion.as_ref().map(|s| s.next_trial),
            warming: e.ramp.is_some(),
        })
    }

    /// Returns the state of an endpoint that must survive a restart. It is passed back with
    /// [`Event::EndpointRestored`].
    pub fn restart_state(&self, endpoint: EndpointId) -> RestartState {
        let Some(e) = self.endpoints.get(&endpoint) else { return RestartState::default() };
        let pool = self.pools.get(&e.pool).filter(|pool| pool.refused);
        let back_since = e.ramp.as_ref().map(|ramp| ramp.since);
        RestartState {
            bad_since: e.failing_since,
            back_since,
            budget: pool.map(|pool| pool.budget).filter(|b| b.is_finite()),
        }
    }

    /// Returns the number of destinations, pools, endpoints, messages, calls and keys in memory, for
    /// monitoring.
    pub fn kept(&self) -> usize {
        let directory = self.destinations.len() + self.pools.len() + self.endpoints.len();
        directory + self.messages.len() + self.calls.len() + self.keys.len()
    }
}
