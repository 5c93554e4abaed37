//! The configuration of the detector.

use crate::acts::Rate;
use crate::{Digest, Micros};
use heronroute_fleet::Name;

/// The configuration of a detector. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Config {
    /// The member that the detector runs at.
    pub me: Name,
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
    pub stands_for: Micros,
    /// The time that a member must be in line again before this is published. It doubles each time that the
    /// member falls out of line, up to 64 times.
    pub settle_for: Micros,
    /// The time in line after which the settling time and the escalation of actions are reset.
    pub forget_for: Micros,
    /// The time after which the operator is notified of a silent member.
    pub silent_for: Micros,
    /// The time after which this notification is repeated.
    pub tell_again: Micros,
    /// The time after the last confirmation of the term for which the detector stays active.
    pub lease: Micros,
    /// The delay after the first action for a member; it doubles with each further action.
    pub act_first: Micros,
    /// The maximum of this delay.
    pub act_most: Micros,
    /// The rate limit of the actions for one member.
    pub each: Rate,
    /// The rate limit of the actions for all members together.
    pub all: Rate,
    /// The time after which an unanswered tree query is repeated.
    pub ask_again: Micros,
    /// The average time between two challenges of a member; the actual times are random.
    pub challenge_every: Micros,
    /// The time within which a challenge must be answered.
    pub answer_within: Micros,
}

impl Config {
    /// Returns the defaults for members that report every 2 s.
    pub fn new(me: Name, seed: Digest) -> Self {
        const S: Micros = 1_000_000;
        Config {
            me,
            wall: 0,
            seed,
            fresh_for: 10 * S,
            suspect_for: 5 * S,
            rollout_for: 30 * S,
            stands_for: 3 * S,
            settle_for: 2 * S,
            forget_for: 600 * S,
            silent_for: 30 * S,
            tell_again: 600 * S,
            lease: 10 * S,
            act_first: 5 * S,
            act_most: 60 * S,
            each: Rate { burst: 4, every: 10 * S },
            all: Rate { burst: 32, every: S / 4 },
            ask_again: 3 * S,
            challenge_every: 30 * S,
            answer_within: 5 * S,
        }
    }
}
