//! Runs implementations against tables of clauses.

use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// One property that users of a trait rely on. `S` is what a clause is run against, such as a factory
/// `dyn Fn() -> Box<dyn Storage>`.
pub struct Clause<S: ?Sized> {
    /// The property in words, unique in its table.
    pub name: &'static str,
    /// Checks the property. An error describes what was seen instead.
    pub run: fn(&S) -> Result<(), String>,
}

/// A clause that an implementation breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The name of the clause.
    pub clause: &'static str,
    /// What was seen.
    pub why: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\" is broken: {}", self.clause, self.why)
    }
}

/// Runs an implementation against each clause, and returns those that it breaks. A panic breaks its clause.
pub fn run_all<S: ?Sized>(clauses: &[Clause<S>], subject: &S) -> Vec<Broken> {
    let try_one = |c: &Clause<S>| {
        let result = catch_unwind(AssertUnwindSafe(|| (c.run)(subject)));
        let why = match result {
            Ok(Ok(())) => return None,
            Ok(Err(why)) => why,
            Err(panic) => {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                format!("panic: {}", text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no text"))
            }
        };
        Some(Broken { clause: c.name, why })
    };
    clauses.iter().filter_map(try_one).collect()
}

/// Asserts that an implementation keeps every clause.
///
/// # Panics
/// If it breaks a clause. The message names all broken clauses.
pub fn kept<S: ?Sized>(clauses: &[Clause<S>], subject: &S) {
    kept_but(clauses, subject, &[]);
}

/// Asserts that an implementation breaks exactly the `known` clauses: known faults that are not fixed yet. Once one is
/// fixed its name must be removed, so that the fault can't return unnoticed.
///
/// # Panics
/// If it breaks another clause, or keeps a known one.
pub fn kept_but<S: ?Sized>(clauses: &[Clause<S>], subject: &S, known: &[&str]) {
    assert_known(clauses, known);
    let broken = run_all(clauses, subject);
    let told: Vec<String> =
        broken.iter().filter(|b| !known.contains(&b.clause)).map(Broken::to_string).collect();
    assert!(told.is_empty(), "{}", told.join("\n"));
    let mended = known.iter().find(|k| !broken.iter().any(|b| b.clause == **k));
    assert!(mended.is_none(), "{:?} holds now: it is no known fault any more", mended.unwrap_or(&""));
}

/// Asserts that an implementation with a planted fault breaks this clause and no other.
///
/// # Panics
/// If it keeps the clause, or breaks another one.
pub fn planted<S: ?Sized>(clauses: &[Clause<S>], subject: &S, clause: &str) {
    planted_in(clauses, subject, clause, &[]);
}

/// Like [`planted`], for a fault that is planted in an implementation with `known` faults.
///
/// # Panics
/// As [`planted`].
pub fn planted_in<S: ?Sized>(clauses: &[Clause<S>], subject: &S, clause: &str, known: &[&str]) {
    assert_known(clauses, &[clause]);
    assert_known(clauses, known);
    let mut broken = run_all(clauses, subject);
    broken.retain(|b| b.clause == clause || !known.contains(&b.clause));
    let told: Vec<String> = broken.iter().map(Broken::to_string).collect();
    let caught = broken.len() == 1 && broken.iter().all(|b| b.clause == clause);
    assert!(caught, "\"{clause}\" alone should break; instead:\n{}", told.join("\n"));
}

fn assert_known<S: ?Sized>(clauses: &[Clause<S>], names: &[&str]) {
    let unknown = names.iter().find(|n| clauses.iter().filter(|c| c.name == **n).count() != 1);
    assert!(unknown.is_none(), "{:?} is no clause, or two", unknown.unwrap_or(&""));
}

/// Returns an error from a clause if a condition does not hold.
#[macro_export]
macro_rules! ensure {
    ($holds:expr, $($what:tt)+) => {
        if !$holds {
            return Err(format!($($what)+));
        }
    };
}

/// Returns the value of a step that must succeed.
///
/// # Errors
/// If the step failed. The error names it.
pub fn done<T, E: fmt::Display>(step: &str, result: Result<T, E>) -> Result<T, String> {
    result.map_err(|e| format!("{step}: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    const CLAUSES: &[Clause<u32>] = &[
        Clause { name: "even", run: |n| if n % 2 == 0 { Ok(()) } else { Err(format!("{n}")) } },
        Clause { name: "under ten", run: |n| if *n < 10 { Ok(()) } else { panic!("{n} is large") } },
    ];

    fn caught(run: impl Fn()) -> bool {
        catch_unwind(AssertUnwindSafe(run)).is_err()
    }

    #[test]
    fn what_is_broken_is_named_and_nothing_else() {
        kept(CLAUSES, &4);
        let broken = run_all(CLAUSES, &11);
        assert_eq!(broken.iter().map(|b| b.clause).collect::<Vec<_>>(), ["even", "under ten"]);
        assert_eq!(broken[1].why, "panic: 11 is large");
        kept_but(CLAUSES, &3, &["even"]);
        planted(CLAUSES, &12, "under ten");
        planted_in(CLAUSES, &11, "under ten", &["even"]);
        assert!(caught(|| kept(CLAUSES, &3)));
        assert!(caught(|| kept_but(CLAUSES, &4, &["even"])), "a known fault that is none");
        assert!(caught(|| planted(CLAUSES, &4, "even")), "not caught");
        assert!(caught(|| planted(CLAUSES, &11, "even")), "another one too");
        assert!(caught(|| planted(CLAUSES, &11, "odd")), "no such clause");
    }
}
