//! How fast it probes, how long it waits, how often it repeats itself.

use crate::Micros;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Octets of one message at most: the whole state of 500 members fits.
pub const MOST_MESSAGE: usize = 24 * 1024;

/// Times in microseconds. [`Tuning::for_size`] is what runs; tests and slow networks may change fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// One member is probed every so often; within it a direct and then an indirect answer must come.
    pub period: Micros,
    /// After so long without a direct answer others are asked to probe.
    pub rtt: Micros,
    /// How many others. Each adds four messages to a probe that failed directly and nothing to one that did not; at 10%
    /// loss eight of them make a false suspicion 200 times rarer than three.
    pub helpers: usize,
    /// How often the target itself is asked again meanwhile.
    pub again: usize,
    /// A suspect is declared dead after so long.
    pub suspicion: Micros,
    /// News goes out every so often...
    pub gossip: Micros,
    /// ... to so many members...
    pub fanout: usize,
    /// ... and each piece of it so many times in all. With r repeats a member misses it with e^-r.
    pub repeats: u8,
    /// One random member is asked for the list of the living every so often.
    pub announce: Micros,
    /// Members that are thought dead, and whose link stands, are greeted every so often, ...
    pub knock: Micros,
    /// ... so many at a time.
    pub knocks: usize,
    /// A gap of the own clock longer than this makes all that was believed stale. Greater than `knock`.
    pub lease: Micros,
    /// So long it waits for an answer from one that is not stale itself before it takes any.
    pub settle: Micros,
    /// Two processes that claim one name for so long are twins; before, the elder may have died just now.
    pub twin: Micros,
}

const MS: Micros = 1000;
const INDIRECT_PROBES: usize = 8;

impl Tuning {
    /// For an installation of so many members: a death is known to all within about 3 to 5 s.
    pub fn for_size(members: usize) -> Self {
        let members = members.clamp(1, 65_535);
        let log = (members as f64 + 1.0).log10();
        Tuning {
            // Who probes whom is drawn anew each time: of a hundred, one in 150 is probed by nobody for five periods.
            period: 400 * MS,
            rtt: 150 * MS,
            helpers: INDIRECT_PROBES,
            // What few members lack in helpers: each loses two messages of four where one asked again loses one of two.
            again: (INDIRECT_PROBES + 2).saturating_sub(members).max(2),
            suspicion: 2000 * MS,
            gossip: 200 * MS,
            fanout: 3,
            repeats: (10.0 + 3.0 * log) as u8,
            announce: 30_000 * MS,
            knock: 1000 * MS,
            knocks: 3 + members / 50,
            lease: 3000 * MS,
            settle: 1000 * MS,
            twin: 6000 * MS,
        }
    }

    /// For `foca`; a figure out of its range is brought into it, as it would trip assertions there.
    pub(super) fn config(&self) -> Config {
        let time = |t: Micros| Duration::from_micros(u64::try_from(t.max(1)).unwrap_or(1));
        let count = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let each = |frequency, n| Some(PeriodicParams { frequency: time(frequency), num_members: count(n) });
        Config {
            probe_period: time(self.period.max(2)),
            probe_rtt: time(self.rtt.min(self.period - 1)),
            num_indirect_probes: count(self.helpers),
            max_transmissions: NonZeroU8::new(self.repeats).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: time(self.suspicion),
            // Its timers are not kept: who is dead stays so until a later start or a renewal, and the settings bound
            // how many there are.
            remove_down_after: Duration::from_secs(86_400),
            max_packet_size: count(MOST_MESSAGE - 1),
            notify_down_members: true,
            periodic_announce: each(self.announce, 1),
            // Knocks do this, and reach those of whom nothing was heard yet as well.
            periodic_announce_to_down_members: None,
            periodic_gossip: each(self.gossip, self.fanout),
        }
    }
}
