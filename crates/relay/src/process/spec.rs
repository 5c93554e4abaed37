//! What a process is started with.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a process is started with. `@place@` in settings and arguments stands for a value: `@folder@`, `@settings@` and
/// `@name@` are the process's own, others are in `values`.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its name, and its folder's.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// Additions to the environment.
    pub env: Vec<(String, String)>,
    /// The text of its settings.
    pub settings: String,
    /// Values of places.
    pub values: BTreeMap<String, String>,
    /// When it is ready.
    pub ready: Ready,
}

impl Spec {
    /// A program without arguments or settings, ready at once.
    pub fn new(name: &str, program: impl Into<PathBuf>) -> Self {
        Spec {
            name: name.into(),
            program: program.into(),
            args: Vec::new(),
            env: Vec::new(),
            settings: String::new(),
            values: BTreeMap::new(),
            ready: Ready::Spawned,
        }
    }
}

/// When a process is ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ready {
    /// At once.
    Spawned,
    /// When a connection is taken there. The connection is closed again unused.
    Listens(SocketAddr),
    /// When a line of its log holds this text.
    Line(String),
}

/// Puts values in the places; gives the name of a place without one. An `@` that no lower-case word and `@` follow is
/// itself.
pub(super) fn fill(text: &str, value: impl Fn(&str) -> Option<String>) -> Result<String, String> {
    let (mut out, mut rest) = (String::with_capacity(text.len()), text);
    while let Some((before, after)) = rest.split_once('@') {
        out.push_str(before);
        let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        match after.split_once('@') {
            Some((place, more)) if !place.is_empty() && place.chars().all(fits) => {
                out.push_str(&value(place).ok_or_else(|| place.to_string())?);
                rest = more;
            }
            _ => {
                out.push('@');
                rest = after;
            }
        }
    }
    out.push_str(rest);
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::fill;

    #[test]
    fn places_are_filled_and_other_signs_left() {
        let value = |p: &str| (p == "a_1").then(|| "x@y@".to_string());
        assert_eq!(fill("@a_1@ me@home @A@ @@a_1@ @", value).unwrap(), "x@y@ me@home @A@ @x@y@ @");
        assert_eq!(fill("client { p: \"@b@\" }", value), Err("b".into()));
    }
}
