//! Paths in a tree: the first nibbles of the hash of a client's name.

use crate::Digest;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The number of nibbles in a key, which is the greatest depth of a path.
pub const MAX_DEPTH: usize = 64;

/// A path from the root: one nibble (0 to 15) per level.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Vec<u8>", into = "Vec<u8>")]
pub struct Path(Vec<u8>);

/// The steps are not a valid path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathError;

impl std::fmt::Display for PathError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a path has at most {MAX_DEPTH} steps, each below 16")
    }
}

impl std::error::Error for PathError {}

impl Path {
    /// The path of the root.
    pub const ROOT: Path = Path(Vec::new());

    /// Returns the steps from the root.
    pub fn steps(&self) -> &[u8] {
        &self.0
    }

    /// Returns the path of a child.
    pub(crate) fn child(&self, step: usize) -> Path {
        let mut steps = self.0.clone();
        steps.push(step as u8 & 15);
        Path(steps)
    }
}

impl TryFrom<Vec<u8>> for Path {
    type Error = PathError;
    fn try_from(steps: Vec<u8>) -> Result<Self, PathError> {
        if steps.len() > MAX_DEPTH || steps.iter().any(|step| *step > 15) {
            return Err(PathError);
        }
        Ok(Path(steps))
    }
}

impl From<Path> for Vec<u8> {
    fn from(path: Path) -> Vec<u8> {
        path.0
    }
}

/// The key of a client: the hash of its name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Key(Digest);

impl Key {
    pub(crate) fn of(client: &str) -> Key {
        Key(Sha256::digest(client.as_bytes()).into())
    }

    /// Returns the step at a depth; 0 beyond the length of the key.
    pub(crate) fn step(&self, depth: usize) -> usize {
        let octet = self.0.get(depth / 2).copied().unwrap_or(0);
        usize::from(if depth.is_multiple_of(2) { octet >> 4 } else { octet & 15 })
    }

    /// Returns whether the key lies below a path.
    pub(crate) fn below(&self, steps: &[u8]) -> bool {
        steps.iter().enumerate().all(|(depth, step)| self.step(depth) == usize::from(*step))
    }
}
