//! What came of a day, in words and tables.

use crate::setup::Outcome;
use heronroute_audit::{RULES, Told, Verdict};
use heronroute_engine::stats::{ANSWER_NAMES, ATTEMPT_NAMES};
use std::fmt::Write as _;

/// A table of the answers that clients got, by class.
pub fn answers_table(outcome: &Outcome, classes: &[&str]) -> String {
    let mut t = format!(
        "{:<8} {:>9} {:>10} {:>8} {:>8} {:>9} {:>9}\n",
        "class", "accepted", "delivered", "not run", "unknown", "p50 ms", "p99 ms"
    );
    for (i, name) in classes.iter().enumerate() {
        let mine: Vec<_> = outcome.record.submissions.iter().filter(|s| s.class == i).collect();
        let count =
            |told: Told| mine.iter().filter(|s| s.answers.first().is_some_and(|a| a.1 == told)).count();
        let mut times: Vec<i64> = mine
            .iter()
            .filter_map(|s| s.answers.first().filter(|a| a.1 == Told::Delivered).map(|a| a.0 - s.sent))
            .collect();
        times.sort_unstable();
        let at = |q: f64| times.get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1)));
        let ms = |q: f64| at(q).map_or("-".to_string(), |t| format!("{:.1}", *t as f64 / 1e3));
        _ = writeln!(
            t,
            "{name:<8} {:>9} {:>10} {:>8} {:>8} {:>9} {:>9}",
            mine.len(),
            count(Told::Delivered),
            count(Told::NotRun),
            count(Told::Unknown),
            ms(0.5),
            ms(0.99)
        );
    }
    t
}

/// The whole report.
pub fn report(title: &str, troubles: &[String], outcome: &Outcome, classes: &[&str]) -> String {
    let mut t = format!("# {title}\n\n");
    for line in troubles {
        _ = writeln!(t, "- {line}");
    }
    _ = writeln!(t, "\n{}", answers_table(outcome, classes));
    let s = &outcome.stats;
    let busy = outcome.record.arrivals.iter().filter(|a| matches!(a.verdict, Verdict::Busy(_))).count();
    _ = writeln!(
        t,
        "arrivals at receivers {}, of them turned away {busy}; submissions turned away {}, without a response {}",
        outcome.record.arrivals.len(),
        outcome.refused.len(),
        outcome.record.unheard
    );
    for (at, what) in outcome.wrong.iter().take(10) {
        _ = writeln!(t, "{:.3} s: {what}", *at as f64 / 1e6);
    }
    _ = writeln!(t, "trails {}, of them untrue {}", outcome.trails, outcome.lies.len());
    for lie in outcome.lies.iter().take(5) {
        _ = writeln!(t, "{lie}");
    }
    let list = |names: &[&str], counts: &[u64]| {
        let pairs = names.iter().zip(counts).filter(|(_, c)| **c > 0);
        pairs.map(|(n, c)| format!("{n} {c}")).collect::<Vec<_>>().join(", ")
    };
    _ = writeln!(t, "answers: {}", list(&ANSWER_NAMES, &s.answers));
    _ = writeln!(t, "attempts: {}", list(&ATTEMPT_NAMES, &s.attempts));
    _ = writeln!(
        t,
        "calls {}, probes {}, connections {}, rounds {}, lists {}, failed questions {}\n",
        s.calls, s.probes, s.connections, s.rounds, s.lists, s.list_failures
    );
    for (i, name) in RULES.iter().enumerate() {
        let n = outcome.breaches.iter().filter(|b| usize::from(b.rule) == i + 1).count();
        _ = writeln!(
            t,
            "rule {} ({name}): {}",
            i + 1,
            if n == 0 { "kept".into() } else { format!("broken {n} times") }
        );
    }
    for b in outcome.breaches.iter().take(50) {
        _ = writeln!(t, "  {:.3} s, rule {}: {}", b.at as f64 / 1e6, b.rule, b.what);
    }
    t
}
