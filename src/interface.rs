//! The types through which a sender and a [`Dispatcher`](crate::Dispatcher) communicate: settings, events,
//! actions.

use std::fmt;

/// A point in time on the sender's own clock, or a duration, in microseconds.
pub type Micros = i64;

/// The number of a message, assigned by the sender. A number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MsgId(pub u64);

/// The number of an endpoint, assigned by the sender. An endpoint that is listed again has the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct EndpointId(pub u32);

/// The number of a destination: the receiver to which a message is addressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct DestId(pub i64);

/// The effect of delivering a message a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// None: the message is idempotent.
    Free,
    /// The destination drops duplicates that arrive within the class's window.
    Guarded,
    /// The message takes effect again, so it must be delivered at most once.
    #[default]
    SingleShot,
}

/// The endpoints of a destination that share the memory by which duplicates of a guarded message are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All endpoints of the destination.
    #[default]
    All,
    /// The endpoints in the same zone.
    Zone,
    /// Only the endpoint itself.
    Endpoint,
}

/// How the worth of a message falls once its age exceeds the aim of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LateDecay {
    /// Linearly, down to the late share at the deadline.
    #[default]
    Linear,
    /// By half for each further aim that passes, down to the late share.
    Halving,
}

/// The settings of a class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The latency objective: a message delivered within this time earns its full worth.
    pub aim: Micros,
    /// The time within which a message may be delivered at all.
    pub deadline: Micros,
    /// The effect of a duplicate delivery.
    pub effect: Effect,
    /// For guarded classes: the endpoints that share the memory of deliveries.
    pub group: DedupScope,
    /// For guarded classes: how long duplicates are dropped, from the first attempt that may have been
    /// executed.
    pub window: Micros,
    /// Whether messages with the same key are sent one at a time, in order.
    pub ordered: bool,
    /// The worth of a message that is delivered in time.
    pub worth: f64,
    /// The share of the worth that remains at the deadline.
    pub late_share: f64,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            aim: 1_000_000,
            deadline: 10_000_000,
            effect: Effect::SingleShot,
            group: DedupScope::All,
            window: 0,
            ordered: false,
            worth: 1.0,
            late_share: 0.0,
        }
    }
}

/// The settings of a kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindSettings {
    /// The maximum number of messages in one call.
    pub batch: u32,
    /// Whether the endpoints are separate routes, each with its own limit, rate and outages.
    pub apart: bool,
}

/// The settings of a tenant. Its messages beyond the quota have a reduced worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// The tenant's quota in messages per second, over all senders.
    pub quota: f64,
}

/// How changes of the directory reach the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Discovery {
    /// The directory sends changes without being asked.
    #[default]
    Push,
    /// The directory sends changes only to senders that subscribed with [`Action::Subscribe`].
    Subscribe,
}

/// The meaning of the weights in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Weights {
    /// Weights have no meaning.
    #[default]
    Ignored,
    /// The calls per second that the destination (or route) accepts from all senders together.
    Nominal,
    /// The same, but up to half too high or too low.
    Rough,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of senders, including this one.
    pub senders: u32,
    /// The zone of this sender.
    pub zone: usize,
    /// The maximum number of concurrent calls.
    pub slots: u32,
    /// The maximum number of messages held, whether sent or not.
    pub max_open: u32,
    /// The maximum number of attempts per message.
    pub max_attempts: u32,
    /// Whether a message may have two attempts in flight at once.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether endpoints may be probed.
    pub probes: bool,
    /// Whether messages may be sent to the other senders.
    pub peers: bool,
    /// The longest retry-after that a client respects; 0 where clients don't receive one.
    pub max_retry_after: Micros,
    /// The time after which an idle connection closes.
    pub idle_close: Micros,
    /// The number of concurrent calls on one connection.
    pub streams: u32,
    /// The minimum time between two rounds.
    pub quantum: Micros,
    /// How changes of the directory reach the sender.
    pub discovery: Discovery,
    /// Where the sender has to subscribe: without a subscription, it counts as informed of everything that
    /// was listed this long before its last request.
    pub subscribe_interval: Micros,
    /// The grace period within which calls to a draining or removed endpoint must end.
    pub drain_grace: Micros,
    /// The multiple of its current capacity at which a cold destination fails from overload.
    pub fall_multiple: f64,
    /// The time over which that load is counted.
    pub fall_window: Micros,
    /// The share of its capacity that a destination has right after an outage.
    pub cold_from: f64,
    /// The time after which a recovered destination has its full capacity.
    pub warm_up: Micros,
    /// For ordered classes: how long a key is paused after an attempt that may still be executed.
    pub order_settle: Micros,
    /// How the worth of a message falls once its age exceeds the aim.
    pub late: LateDecay,
    /// The share of its worth that a message beyond its tenant's quota keeps.
    pub over_share_worth: f64,
    /// The meaning of the weights in the directory.
    pub weights: Weights,
    /// The price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// The price of a new connection.
    pub handshake_price: f64,
    /// For each zone: the fee for each message that a separate route in that zone accepts.
    pub zone_fees: Vec<f64>,
    /// The classes of messages, by index.
    pub classes: Vec<ClassSettings>,
    /// The kinds of destinations, by index.
    pub kinds: Vec<KindSettings>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<TenantSettings>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            senders: 1,
            zone: 0,
            slots: 1,
            max_open: 1,
            max_attempts: 1,
            second_copies: false,
            cancel: false,
            probes: false,
            peers: false,
            max_retry_after: 0,
            idle_close: 5_000_000,
            streams: 1,
            quantum: 0,
            discovery: Discovery::Push,
            subscribe_interval: 10_000_000,
            drain_grace: 0,
            fall_multiple: 2.0,
            fall_window: 2_000_000,
            cold_from: 0.2,
            warm_up: 10_000_000,
            order_settle: 0,
            late: LateDecay::Linear,
            over_share_worth: 1.0,
            weights: Weights::Ignored,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            zone_fees: Vec::new(),
            classes: Vec::new(),
            kinds: Vec::new(),
            tenants: Vec::new(),
        }
    }
}

/// Invalid settings, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks the values on which the dispatcher relies.
    ///
    /// # Errors
    /// Returns an error that describes the first value out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |reason: &str| Err(SettingsError(reason.to_string()));
        if self.slots == 0 || self.max_open == 0 || self.max_attempts == 0 || self.senders == 0 {
            return invalid("slots, max_open, max_attempts and senders must be at least 1");
        }
        let rules =
            [self.drain_grace, self.fall_window, self.warm_up, self.order_settle, self.subscribe_interval];
        let durations = rules.into_iter().chain([self.quantum, self.max_retry_after, self.idle_close]);
        if durations.into_iter().any(|duration| !(0..=MAX_DURATION).contains(&duration)) {
            return invalid("a span of time is negative or over a year");
        }
        let factors = [self.fall_multiple, self.cold_from, self.over_share_worth];
        if factors.iter().any(|factor| !factor.is_finite() || *factor < 0.0) {
            return invalid("a multiple or share is negative or not a number");
        }
        for class in &self.classes {
            if [class.aim, class.deadline, class.window].iter().any(|d| !(0..=MAX_DURATION).contains(d)) {
                return invalid("a class has a span of time that is negative or over a year");
            }
            if !(class.worth.is_finite() && class.late_share.is_finite()) {
                return invalid("a class has a worth that is not a number");
            }
        }
        Ok(())
    }
}

/// Longer durations are rejected as mistakes. The bound also keeps sums of times from overflowing.
pub(crate) const MAX_DURATION: Micros = 366 * 24 * 3600 * 1_000_000;

/// The status of an endpoint in the directory. It says nothing about the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Listed.
    Up,
    /// Still listed, but must receive nothing new.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the directory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination to which it belongs.
    pub dest: DestId,
    /// Its status.
    pub status: Status,
    /// The kind of its destination, by index.
    pub kind: usize,
    /// Its zone, by index.
    pub zone: usize,
    /// Its weight, if the directory gives one; see [`Weights`].
    pub weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Done,
    /// The destination answered with an error; the message may have been executed.
    Error,
    /// Rejected before processing: over the limit, queue full, closed or draining.
    Busy,
    /// An answer says `Busy`, but it may belong to another call: the message may have been executed, or still
    /// be.
    UnprovenBusy,
    /// Rejected before processing, together with the connection: the endpoint accepts no further connections
    /// at the moment. Used only where the endpoint says so.
    Crowded,
    /// No answer within the timeout; the message may have been executed, or still be.
    TimedOut,
    /// No connection; the message was not executed.
    ConnectFailed,
    /// The connection broke; the message may have been executed.
    Reset,
    /// Cancelled by the sender; the message may have been executed.
    Cancelled,
    /// Never sent: no slot was free, the message was closed, or its attempts were used up.
    Skipped,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Busy | Outcome::Crowded | Outcome::ConnectFailed | Outcome::Skipped)
    }
}

/// What an endpoint reports of its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The share of the allowance that remains.
    pub remaining: Option<f64>,
    /// The calls per second that the limit allows; 0 where there is none.
    pub limit: Option<f64>,
}

/// An event that the sender passes to its dispatcher. Events that name something unknown are ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The content of the directory, or changes to it.
    DirectoryUpdate {
        /// Whether `entries` is the whole directory: endpoints that it doesn't name are removed.
        whole: bool,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A request to the directory failed, or the subscription broke. The last known entries stay valid.
    DirectoryFailed,
    /// A message to deliver. The sender owes its client exactly one final answer.
    Message {
        /// The message.
        id: MsgId,
        /// Its class, by index.
        class: usize,
        /// Its tenant, by index.
        tenant: usize,
        /// Its ordering key, in ordered classes.
        key: Option<String>,
        /// Its destination.
        dest: DestId,
        /// The time until its deadline.
        time_left: Micros,
        /// Whether it is known to have been submitted before.
        again: bool,
    },
    /// After a restart: the earlier attempts of a message that [`Event::Message`] has just passed in.
    Resumed {
        /// The message.
        id: MsgId,
        /// The number of earlier attempts.
        attempts: u32,
        /// The endpoint and the age of the first attempt that may have been executed, if there was one.
        may_run: Option<(EndpointId, Micros)>,
    },
    /// Another process runs as a listed endpoint, and may not have the memory by which duplicates are dropped of the one
    /// before.
    EndpointReplaced {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long ago the process started.
        ago: Micros,
    },
    /// After a restart: what was known of a listed endpoint before.
    EndpointRestored {
        /// The endpoint.
        endpoint: EndpointId,
        /// The remaining time of a wait that the endpoint asked for, 0 if none.
        wait: Micros,
        /// How long calls to the endpoint had been failing, if they were.
        failing_for: Option<Micros>,
        /// How long ago the endpoint recovered from an outage, if it was still warming up.
        warming_for: Option<Micros>,
        /// The budget of the endpoint in calls per second, if its last call was refused.
        budget: Option<f64>,
    },
    /// An attempt ended.
    Outcome {
        /// The message.
        id: MsgId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The endpoint to which it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the message is closed, so that no answer is owed any more.
        message_closed: bool,
        /// The time since the attempt was sent.
        elapsed: Micros,
        /// For [`Outcome::Busy`]: the wait that the endpoint asked for, 0 if none.
        wait: Micros,
        /// What the endpoint reported of its limit.
        report: Option<LimitReport>,
    },
    /// The client withdrew the message.
    Withdrawn {
        /// The message.
        id: MsgId,
    },
    /// A timer that was requested with [`Action::Timer`] fired.
    Timer {
        /// The token of the timer.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// What the endpoint reported of its limit.
        report: Option<LimitReport>,
    },
    /// A message from another sender.
    PeerMessage {
        /// The number of the sender from which it came.
        from: u32,
        /// Its text.
        text: String,
    },
}

/// An action that the dispatcher requests from its sender. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint. Where the kind allows batches, all sends of one round to one endpoint
    /// share a call.
    Send {
        /// The message.
        id: MsgId,
        /// The endpoint.
        endpoint: EndpointId,
        /// How long to wait for the answer.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        id: MsgId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Final answer: the message was not delivered, and submitting it again does no harm.
    Refuse {
        /// The message.
        id: MsgId,
        /// How long the client should wait before it submits the message again.
        retry_after: Micros,
    },
    /// Final answer: the delivery failed.
    Fail {
        /// The message.
        id: MsgId,
    },
    /// Send an [`Event::Timer`] at the given time.
    Timer {
        /// The time.
        at: Micros,
        /// The token to return with the event.
        token: u64,
    },
    /// Ask the directory for all changes missed so far and for those to come. The answer is
    /// [`Event::DirectoryUpdate`] or [`Event::DirectoryFailed`].
    Subscribe,
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    Close {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a message to all other senders.
    Broadcast {
        /// Its text, 256 bytes at most.
        text: String,
    },
}
