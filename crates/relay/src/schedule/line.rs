//! A schedule in one line: `seed=7 members=5 length=60000 every=2000 span=5000 down=2 kinds=cut,kill` (milliseconds).

use super::{Kind, Schedule};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A line that is no schedule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// A word that has no meaning here, or a value that does not fit.
    #[error("{0:?} is not understood")]
    Word(String),
    /// Something that a schedule must have.
    #[error("{0} is missing")]
    Missing(&'static str),
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds: Vec<&str> = self.kinds.iter().map(|k| k.word()).collect();
        write!(
            f,
            "seed={} members={} length={} every={} span={} down={} kinds={}",
            self.seed,
            self.members,
            self.length.as_millis(),
            self.every.as_millis(),
            self.span.as_millis(),
            self.down,
            kinds.join(",")
        )
    }
}

impl FromStr for Schedule {
    type Err = LineError;

    /// Reads a line; `seed` and `members` must be there, the rest is as [`Schedule::new`] has it.
    fn from_str(line: &str) -> Result<Self, LineError> {
        let words: Vec<(&str, &str, &str)> = line
            .split_whitespace()
            .map(|word| word.split_once('=').map(|(k, v)| (word, k, v)))
            .collect::<Option<_>>()
            .ok_or_else(|| LineError::Word(line.into()))?;
        let find = |key: &'static str| words.iter().find(|w| w.1 == key).ok_or(LineError::Missing(key));
        let number = |w: &(&str, &str, &str)| w.2.parse::<u64>().map_err(|_| LineError::Word(w.0.into()));
        let members = number(find("members")?)?;
        if !(2..=64).contains(&members) {
            return Err(LineError::Word(format!("members={members}")));
        }
        let mut schedule = Schedule::new(number(find("seed")?)?, members as usize);
        for word in &words {
            match word.1 {
                "seed" | "members" => {}
                "length" => schedule.length = Duration::from_millis(number(word)?),
                "every" => schedule.every = Duration::from_millis(number(word)?),
                "span" => schedule.span = Duration::from_millis(number(word)?),
                "down" => schedule.down = number(word)? as usize,
                "kinds" => {
                    let kind = |w: &str| Kind::ALL.iter().copied().find(|k| k.word() == w);
                    let kinds = word.2.split(',').filter(|w| !w.is_empty());
                    schedule.kinds = kinds
                        .map(|w| kind(w).ok_or_else(|| LineError::Word(w.into())))
                        .collect::<Result<_, _>>()?;
                }
                _ => return Err(LineError::Word(word.0.into())),
            }
        }
        Ok(schedule)
    }
}
