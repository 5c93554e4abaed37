//! A list of faults made from a seed, printed in one line that makes it again.

mod line;
mod make;
#[cfg(test)]
mod tests;

pub use line::LineError;

use crate::fault::{Cut, Shape};
use crate::fleet::{Fleet, FleetError};
use std::fmt;
use std::time::{Duration, Instant};

/// What becomes of a process's folder between two lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    /// It is kept, and a copy saved as the old one for a later death.
    Kept,
    /// The copy saved at an earlier death takes its place; kept where there is none.
    Old,
    /// It is emptied.
    Emptied,
}

/// Something done to an installation. Members by their place.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// What one says to another passes so, whoever of them dialled.
    Shape {
        /// Who says it.
        from: usize,
        /// To whom.
        to: usize,
        /// How it passes.
        shape: Shape,
    },
    /// Both ways between two are cut.
    Cut {
        /// One.
        a: usize,
        /// The other.
        b: usize,
        /// How.
        cut: Cut,
    },
    /// Everything between two passes again.
    Heal {
        /// One.
        a: usize,
        /// The other.
        b: usize,
    },
    /// Every connection between two is reset; new ones may come.
    Reset {
        /// One.
        a: usize,
        /// The other.
        b: usize,
    },
    /// SIGKILL.
    Kill {
        /// Whom.
        member: usize,
        /// What becomes of its folder.
        folder: Folder,
    },
    /// A killed one is started.
    Start {
        /// Whom.
        member: usize,
    },
    /// SIGSTOP.
    Pause {
        /// Whom.
        member: usize,
    },
    /// SIGCONT.
    Wake {
        /// Whom.
        member: usize,
    },
}

/// When what is done, from the schedule's start.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub act: Act,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7} ms {:?}", self.at.as_millis(), self.act)
    }
}

macro_rules! kinds {
    ($($kind:ident $word:literal $doc:literal,)*) => {
        /// Kinds of faults that a schedule is made of. Each ends within the schedule.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind { $(#[doc = $doc] $kind,)* }

        impl Kind {
            /// All of them.
            pub const ALL: &[Kind] = &[$(Kind::$kind,)*];

            /// Its word in a line.
            pub fn word(self) -> &'static str {
                match self { $(Kind::$kind => $word,)* }
            }
        }
    };
}

kinds! {
    Cut "cut" "Both ways between two are silent, and what was sent is lost.",
    Hold "hold" "Both ways between two are silent, and nothing is lost.",
    OneWay "oneway" "What one says to another is lost; the other way passes.",
    Refuse "refuse" "Connections between two are reset and refused.",
    Reset "reset" "Connections between two are reset, once.",
    Delay "delay" "One way is late by up to 300 ms and as much jitter.",
    Slow "slow" "One way passes 2 to 50 kB a second.",
    Lose "lose" "One way loses 1 to 30% of its frames.",
    Double "double" "One way passes 1 to 30% of its frames twice.",
    Reorder "reorder" "One way passes 1 to 30% of its frames in another order.",
    Half "half" "One way passes half a frame, then nothing; all of it in the end.",
    Split "split" "The members are two groups that do not hear each other.",
    Kill "kill" "A process is killed; its folder is kept.",
    Old "old" "A process is killed twice, and starts the second time from the folder as it was at the first.",
    Empty "empty" "A process is killed and its folder emptied.",
    Pause "pause" "A process is paused.",
    All "all" "All processes are killed and started at once.",
}

/// What a schedule is made from. The same makes the same schedule, on every machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Its seed.
    pub seed: u64,
    /// Members; 2 at least.
    pub members: usize,
    /// Its length: at its end all faults are over.
    pub length: Duration,
    /// Faults begin so far apart, by half or by half more.
    pub every: Duration,
    /// How long a fault lasts at most; a quarter of it at least.
    pub span: Duration,
    /// Processes killed or paused at the same time at most, but for [`Kind::All`].
    pub down: usize,
    /// Kinds of faults; one that is named twice is as likely again.
    pub kinds: Vec<Kind>,
}

impl Schedule {
    /// A minute for so many members: a fault every 2 s that lasts 5 s at most, a minority down, all kinds.
    pub fn new(seed: u64, members: usize) -> Self {
        Schedule {
            seed,
            members,
            length: Duration::from_secs(60),
            every: Duration::from_secs(2),
            span: Duration::from_secs(5),
            down: members.saturating_sub(1) / 2,
            kinds: Kind::ALL.to_vec(),
        }
    }

    /// Plays it on an installation, from now, in real time. `between` is called after each step, at least every 20 ms
    /// and at the end, with the time since the start.
    ///
    /// # Errors
    /// The first step that could not be done, or what `between` gives.
    pub fn play<E: From<FleetError>>(
        &self,
        fleet: &mut Fleet,
        mut between: impl FnMut(&mut Fleet, Duration) -> Result<(), E>,
    ) -> Result<(), E> {
        let began = Instant::now();
        let steps = self.steps();
        let mut steps = steps.iter().peekable();
        loop {
            let now = began.elapsed();
            if let Some(step) = steps.next_if(|s| s.at <= now) {
                fleet.act(&step.act)?;
                between(fleet, now)?;
                continue;
            }
            between(fleet, now)?;
            if now >= self.length && steps.peek().is_none() {
                return Ok(());
            }
            let next = steps.peek().map_or(self.length, |s| s.at);
            std::thread::sleep(next.saturating_sub(began.elapsed()).min(Duration::from_millis(20)));
        }
    }
}
