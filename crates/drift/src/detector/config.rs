//! The configuration of the detector.

use crate::actions::RateLimit;
use crate::{Digest, Micros};
use heronroute_fleet::Name;

/// The configuration of a detector. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Config {
    /// The member that the detector runs at.
    pub own_name: Name,
    /// The offset from the caller's clock to wall time, used for all records that others read.
    pub wall: Micros,
    /// The seed for nonces and random delays. It must differ at each start and must not be predictable, since
    /// the nonces derive from it.
    pub seed: Digest,
    /// The time for which a report counts, from the moment after which it was certainly written.
    pub fresh_for: Micros,
    /// The time for which the reports of a member count after it became suspected.
    pub suspect_for: Micros,
    /// The time within which a member must apply an approved version, or what it missed before it joined.
    pub rollout_for: Micros,
    /// The time that a verdict must last before an action is taken, or before another bad verdict replaces
    /// it.
    pub confirm_for: Micros,
    /// The time that a member must be in line again before this is published. It doubles each time that the
    /// member falls out of line, up to 64 times.
    pub settle_for: Micros,
    /// The time in line after which the settling time and the escalation of actions are reset.
    pub forget_for: Micros,
    /// The time after which the operator is notified of a silent member.
    pub silent_for: Micros,
    /// The time after which this notification is repeated.
    pub repeat_notification_after: Micros,
    /// The time after the last confirmation of the term for which the detector stays active.
    pub lease: Micros,
    /// The delay after the first action for a member; it doubles with each further action.
    pub first_action_delay: Micros,
    /// The maximum of this delay.
    pub max_action_delay: Micros,
    /// The rate limit of the actions for one member.
    pub member_rate: RateLimit,
    /// The rate limit of the actions for all members together.
    pub total_rate: RateLimit,
    /// The time after which an unanswered tree query is repeated.
    pub query_again_after: Micros,
    /// The average time between two challenges of a member; the actual times are random.
    pub challenge_every: Micros,
    /// The time within which a challenge must be answered.
    pub answer_within: Micros,
}

impl Config {
    /// Returns the defaults for members that report every 2 s.
    pub fn new(own_name: Name, seed: Digest) -> Self {
        const S: Micros = 1_000_000;
        Config {
            own_name,
            wall: 0,
            seed,
            fresh_for: 10 * S,
            suspect_for: 5 * S,
            rollout_for: 30 * S,
            confirm_for: 3 * S,
            settle_for: 2 * S,
            forget_for: 600 * S,
            silent_for: 30 * S,
            repeat_notification_after: 600 * S,
            lease: 10 * S,
            first_action_delay: 5 * S,
            max_action_delay: 60 * S,
            member_rate: RateLimit { burst: 4, interval: 10 * S },
            total_rate: RateLimit { burst: 32, interval: S / 4 },
            query_again_after: 3 * S,
            challenge_every: 30 * S,
            answer_within: 5 * S,
        }
    }
}
