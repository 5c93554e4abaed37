//! `demo` and `bad-day`.

use crate::fail;
use heronroute_drill::{BadDay, Drill, Outcome, bad_day, demo as demo_day, report};
use std::path::Path;
use std::process::ExitCode;

fn pass(day: &BadDay) -> Result<Outcome, String> {
    Drill::start(day.day.clone()).and_then(Drill::run).map_err(|e| e.to_string())
}

fn verdict(outcome: &Outcome) -> ExitCode {
    if outcome.breaches.is_empty() && !outcome.record.submissions.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}

pub fn demo(seed: u64) -> ExitCode {
    let day = demo_day(seed);
    println!("Six receivers, three clients, two senders; about 8 seconds of traffic:");
    match pass(&day) {
        Ok(outcome) => {
            print!("{}", report(&format!("demo, seed {seed}"), &day.troubles, &outcome, &day.classes));
            verdict(&outcome)
        }
        Err(e) => fail(1, e),
    }
}

pub fn bad(seed: u64, path: Option<&Path>) -> ExitCode {
    let day = bad_day(seed);
    let outcome = match pass(&day) {
        Ok(outcome) => outcome,
        Err(e) => return fail(1, e),
    };
    let text = report(&format!("bad day, seed {seed}"), &day.troubles, &outcome, &day.classes);
    match path {
        Some(path) => {
            if let Err(e) = std::fs::write(path, text) {
                return fail(1, format_args!("{}: {e}", path.display()));
            }
            let n = outcome.breaches.len();
            println!("seed {seed}: {} messages, {n} breaches", outcome.record.submissions.len());
        }
        None => print!("{text}"),
    }
    verdict(&outcome)
}
