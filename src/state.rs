//! The data on which the decisions in `src/policy` work. No decisions are made here.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Makes the decisions of one sender: takes events in rounds and answers with actions.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) now: Micros,
    /// State of the random number generator.
    pub(crate) random_state: u64,
    pub(crate) settings: Settings,
    /// The last number given to a message or call.
    pub(crate) sequence: u64,
    pub(crate) pools: BTreeMap<PoolKey, Pool>,
    pub(crate) destinations: BTreeMap<DestId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) messages: BTreeMap<MsgId, Message>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) keys: BTreeMap<String, OrderingKey>,
    pub(crate) allowances: BTreeMap<usize, Allowance>,
    /// Scheduled work by due time. A round looks only at this and at `ready`, never at everything that
    /// exists.
    pub(crate) schedule: BTreeSet<(Micros, Task)>,
    /// Destinations with pending messages for which something changed, or that wait for a slot.
    pub(crate) ready: BTreeSet<DestId>,
    /// Destinations whose budgets, pools and ramps have been updated in this round.
    pub(crate) refreshed: BTreeSet<DestId>,
    pub(crate) default_class: ClassSettings,
    /// For each kind: when it last refused a connection.
    pub(crate) refused_connections: BTreeMap<usize, Micros>,
    /// For each kind: whether calls that follow a refusal fail (1) or succeed (0).
    pub(crate) retry_failures: BTreeMap<usize, f64>,
    /// Endpoints whose calls ended in this round.
    pub(crate) idle_candidates: BTreeSet<EndpointId>,
    pub(crate) directory: Directory,
    pub(crate) open_messages: usize,
    pub(crate) used_slots: u32,
    pub(crate) cleanup_at: Micros,
    pub(crate) timer_at: Micros,
}

/// Identifies a pool: that of a destination, or of one route where the routes are separate.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PoolKey {
    #[default]
    Unassigned,
    Destination(DestId),
    Route(EndpointId),
}

/// An event rate per second, averaged with exponential decay.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rate {
    pub(crate) created_at: Micros,
    pub(crate) updated_at: Micros,
    pub(crate) value: f64,
    /// Decay time constant in microseconds.
    pub(crate) time_constant: f64,
}

/// A log-normal model of latency, which gives a 99th percentile from few samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct Latency {
    pub(crate) samples: f64,
    pub(crate) log_mean: f64,
    pub(crate) log_variance: f64,
    /// Fast-moving average in microseconds.
    pub(crate) recent: f64,
}

/// A pool of permits, with its call budget and rate limit.
#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) dest: DestId,
    pub(crate) limit: Option<f64>,
    pub(crate) latency: Latency,
    pub(crate) permits: u32,
    pub(crate) resized_at: Micros,
    pub(crate) in_flight: u32,
    pub(crate) wait_until: Micros,
    /// Calls per second.
    pub(crate) budget: f64,
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Micros,
    /// Rate at which tokens are refilled, in calls per second.
    pub(crate) refill_rate: f64,
    pub(crate) budget_cut_at: Micros,
    /// Refusals less the successes since.
    pub(crate) net_refusals: f64,
    /// Whether the last call was refused.
    pub(crate) refused: bool,
    pub(crate) accepted: Rate,
}

/// The demand of a destination and its pending messages, oldest first.
#[derive(Default)]
pub(crate) struct Destination {
    pub(crate) arrivals: Rate,
    /// The same over a longer time: this sender's share of the traffic.
    pub(crate) share: Rate,
    pub(crate) pending: BTreeSet<(u64, MsgId)>,
    pub(crate) endpoints: BTreeSet<EndpointId>,
    /// The time of its next entry in the schedule.
    pub(crate) next_check: Micros,
}

/// The suspicion that an endpoint has failed, and the trials that test it.
#[derive(Default)]
pub(crate) struct Suspicion {
    pub(crate) next_trial: Micros,
    pub(crate) backoff: Micros,
    /// When the trial call in flight was sent.
    pub(crate) trial: Option<Micros>,
    /// Whether no failed call had any effect: then an unsafe message may be the trial.
    pub(crate) harmless: bool,
    /// Whether a probe is in flight.
    pub(crate) probing: bool,
    /// Whether a probe succeeded since the last failure.
    pub(crate) probed: bool,
}

/// The ramp of an endpoint that recovered and whose load is raised gradually.
pub(crate) struct Ramp {
    pub(crate) since: Micros,
    pub(crate) tokens: f64,
    /// Rate at which tokens are refilled, in calls per second.
    pub(crate) refill_rate: f64,
    pub(crate) refilled_at: Micros,
}

/// The use and health of an endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) pool: PoolKey,
    pub(crate) dest: DestId,
    pub(crate) kind: usize,
    pub(crate) zone: usize,
    pub(crate) listed: bool,
    pub(crate) in_flight: u32,
    pub(crate) last_used: Micros,
    pub(crate) connections: u32,
    /// When a connection was last refused although other calls succeeded.
    pub(crate) connection_refused_at: Option<Micros>,
    pub(crate) last_success: Micros,
    /// When the process that runs as the endpoint took over from another one.
    pub(crate) replaced_at: Option<Micros>,
    /// The time of the first failure or refusal since the last success.
    pub(crate) failing_since: Option<Micros>,
    /// Moving average of failures, from 0 to 1.
    pub(crate) failure_share: f64,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) ramp: Option<Ramp>,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) call: u64,
    pub(crate) sent_at: Micros,
}

/// A message and its attempts.
#[derive(Default)]
pub(crate) struct Message {
    pub(crate) sequence: u64,
    pub(crate) class: usize,
    pub(crate) key: Option<String>,
    pub(crate) dest: DestId,
    pub(crate) deadline: Micros,
    /// The time from which its age counts.
    pub(crate) age_from: Micros,
    /// Whether it came with much less time than its class allows.
    pub(crate) short: bool,
    /// Whether its tenant had used up its quota.
    pub(crate) exceeds_quota: bool,
    /// The number of attempts so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Vec<Attempt>,
    /// The time and endpoint of the first attempt that may have been executed.
    pub(crate) may_run: Option<(Micros, EndpointId)>,
    /// The endpoint of the last attempt, which the next one avoids if it can.
    pub(crate) avoid: Option<EndpointId>,
    pub(crate) closed: bool,
}

/// What a tenant may still submit within its quota.
pub(crate) struct Allowance {
    /// Messages.
    pub(crate) remaining: f64,
    /// When `remaining` was computed.
    pub(crate) refilled_at: Micros,
}

/// A call in flight, with the messages that it carries.
#[derive(Default)]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Micros,
    /// Messages without an outcome yet.
    pub(crate) unanswered: u32,
    /// Whether its first outcome has been counted for the endpoint's health.
    pub(crate) recorded: bool,
    pub(crate) trial: bool,
    pub(crate) cancelled: bool,
    /// How long the connection had been idle before the call.
    pub(crate) idle_for: Micros,
}

/// The order of the messages of a key.
#[derive(Default)]
pub(crate) struct OrderingKey {
    pub(crate) queue: BTreeSet<(u64, MsgId)>,
    pub(crate) paused_until: Micros,
}

/// How an attempt ended, and what the endpoint reported with it.
#[derive(Clone, Copy)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Micros,
    pub(crate) wait: Micros,
    pub(crate) report: Option<LimitReport>,
}

/// The state of the subscription to a directory that has to be asked.
#[derive(Default)]
pub(crate) struct Directory {
    pub(crate) requested: bool,
    pub(crate) subscribed: bool,
    /// When the next request may be sent.
    pub(crate) next_request: Micros,
    pub(crate) backoff: Micros,
}

/// Work that can be scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Task {
    /// Give the final answer of a message if it is due.
    CheckMessage(MsgId),
    /// Check whether a call has been silent for too long.
    CheckSilence(u64),
    /// Consider a destination again that could not send.
    CheckDestination(DestId),
    /// Subscribe to the directory.
    Subscribe,
}

/// When to consider a destination again that can send nothing now.
pub(crate) struct Recheck {
    pub(crate) at: Micros,
    /// Whether a slot that becomes free may change that.
    pub(crate) on_free_slot: bool,
}

/// The next call that a destination would make.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) rank: f64,
    pub(crate) id: MsgId,
    pub(crate) endpoint: EndpointId,
}
