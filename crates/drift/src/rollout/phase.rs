//! The phases of a rollout and the reasons for a stop.

use heronroute_fleet::Name;

/// The reason why a rollout stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// A wave was not in line in time.
    Late {
        /// The index of the wave.
        wave: usize,
        /// The first member that is not in line.
        member: Name,
        /// The number of such members.
        members: usize,
    },
    /// The health of the members with the version is worse than without it; the text names the figure.
    Worse(String),
    /// The reason according to the log.
    Told(String),
}

impl std::fmt::Display for StopReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StopReason::Late { wave, member, members } => {
                let one = if *members == 1 { "is" } else { "are" };
                write!(f, "{members} of wave {} {one} not in line in time, {member} among them", wave + 1)
            }
            StopReason::Worse(what) | StopReason::Told(what) => f.write_str(what),
        }
    }
}

/// The phase of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waves are being started.
    Running,
    /// The rollout is to be stopped, or is stopped according to the log.
    Stopped(StopReason),
    /// All waves are in line.
    Done,
}
