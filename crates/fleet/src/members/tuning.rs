//! The parameters of the membership protocol: probe and gossip intervals, timeouts and repetitions.

use crate::Micros;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The maximum number of bytes in a message: the whole state of 500 members fits.
pub const MAX_MESSAGE_BYTES: usize = 24 * 1024;

/// Parameters, with times in microseconds. [`Tuning::for_size`] gives the values for production; tests and
/// slow networks may change fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The probe interval. Within it, a direct and then an indirect answer must arrive.
    pub period: Micros,
    /// The time without a direct answer after which other members are asked to probe.
    pub rtt: Micros,
    /// The number of members asked to probe. Each adds four messages to a probe that failed directly, and
    /// none to one that succeeded; at 10% loss, eight of them make a false suspicion 200 times rarer than
    /// three.
    pub indirect_probes: usize,
    /// How often the target itself is probed again meanwhile.
    pub probe_retries: usize,
    /// The time after which a suspect is declared dead.
    pub suspicion: Micros,
    /// The gossip interval.
    pub gossip: Micros,
    /// The number of members in a round of gossip.
    pub fanout: usize,
    /// How often each update is sent in all. With r repetitions a member misses it with probability e^-r.
    pub update_repeats: u8,
    /// The interval at which one random member is asked for the list of living members.
    pub announce: Micros,
    /// The interval at which members that are thought dead, and whose link is up, are greeted.
    pub greet_interval: Micros,
    /// The number of members greeted at a time.
    pub greet_count: usize,
    /// A gap of the own clock longer than this makes the view stale. It must be greater than
    /// `greet_interval`.
    pub lease: Micros,
    /// How long a stale member waits for the view of a member that isn't stale before it accepts any view.
    pub view_wait: Micros,
    /// Two processes that claim one name for this long are reported as a conflict; before that, the earlier
    /// one may just have died.
    pub conflict_after: Micros,
}

const MS: Micros = 1000;
const INDIRECT_PROBES: usize = 8;

impl Tuning {
    /// Returns the parameters for an installation of this size: all members know of a death within about 3 to
    /// 5 s.
    pub fn for_size(members: usize) -> Self {
        let members = members.clamp(1, 65_535);
        let log = (members as f64 + 1.0).log10();
        Tuning {
            // Probe targets are random: of a hundred members, one in 150 is probed by nobody for five
            // periods.
            period: 400 * MS,
            rtt: 150 * MS,
            indirect_probes: INDIRECT_PROBES,
            // In a small installation, retries make up for missing helpers. A helper's probe takes four
            // messages of which two may be lost, a retry two of which one may be lost.
            probe_retries: (INDIRECT_PROBES + 2).saturating_sub(members).max(2),
            suspicion: 2000 * MS,
            gossip: 200 * MS,
            fanout: 3,
            update_repeats: (10.0 + 3.0 * log) as u8,
            announce: 30_000 * MS,
            greet_interval: 1000 * MS,
            greet_count: 3 + members / 50,
            lease: 3000 * MS,
            view_wait: 1000 * MS,
            conflict_after: 6000 * MS,
        }
    }

    /// Returns the configuration of `foca`. Values outside their range are clamped, as they would trigger
    /// assertions there.
    pub(super) fn config(&self) -> Config {
        let time = |t: Micros| Duration::from_micros(u64::try_from(t.max(1)).unwrap_or(1));
        let count = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let each = |frequency, n| Some(PeriodicParams { frequency: time(frequency), num_members: count(n) });
        Config {
            probe_period: time(self.period.max(2)),
            probe_rtt: time(self.rtt.min(self.period - 1)),
            num_indirect_probes: count(self.indirect_probes),
            max_transmissions: NonZeroU8::new(self.update_repeats).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: time(self.suspicion),
            // The timers for this aren't kept: a dead member stays dead until a later start or a renewal, and
            // the settings bound the number of members.
            remove_down_after: Duration::from_secs(86_400),
            max_packet_size: count(MAX_MESSAGE_BYTES - 1),
            notify_down_members: true,
            periodic_announce: each(self.announce, 1),
            // `Members::greet_dead` does this, and also reaches members about which nothing was received yet.
            periodic_announce_to_down_members: None,
            periodic_gossip: each(self.gossip, self.fanout),
        }
    }
}
