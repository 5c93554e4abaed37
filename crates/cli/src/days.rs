//! `demo` and `bad-day`.

use crate::fail;
use heronroute_config::{field_error, parse_day, write_day};
use heronroute_drill::{BadDay, Drill, Outcome, bad_day, demo as demo_day, mixed, report, stage};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn pass(day: &BadDay) -> Result<Outcome, String> {
    Drill::start(day.day.clone()).and_then(Drill::run).map_err(|e| e.to_string())
}

fn verdict(outcome: &Outcome) -> ExitCode {
    if outcome.breaches.is_empty() && outcome.lies.is_empty() && !outcome.record.submissions.is_empty() {
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

/// The script of a day: from a file, or mixed from a seed.
fn script(seed: Option<u64>, path: Option<&Path>) -> Result<(String, BadDay), String> {
    let Some(path) = path else {
        let seed = seed.unwrap_or(1);
        return Ok((format!("bad day, seed {seed}"), bad_day(seed)));
    };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    let mut day = parse_day(&name, &text).map_err(|e| e.to_string())?;
    day.seed = seed.unwrap_or(day.seed);
    let staged = stage(&day).map_err(|(at, what)| field_error(&name, &text, &at, &what).to_string())?;
    Ok((format!("{name}, seed {}", day.seed.max(1)), staged))
}

pub fn bad(
    seed: Option<u64>,
    path: Option<&Path>,
    show: bool,
    journal: Option<PathBuf>,
    report_to: Option<&Path>,
) -> ExitCode {
    if show {
        println!("{}", write_day(&mixed(seed.unwrap_or(1))));
        return ExitCode::SUCCESS;
    }
    let (title, mut day) = match script(seed, path) {
        Ok(day) => day,
        Err(e) => return fail(2, e),
    };
    day.day.journal = journal;
    let outcome = match pass(&day) {
        Ok(outcome) => outcome,
        Err(e) => return fail(1, e),
    };
    let text = report(&title, &day.troubles, &outcome, &day.classes);
    match report_to {
        Some(path) => {
            if let Err(e) = std::fs::write(path, text) {
                return fail(1, format_args!("{}: {e}", path.display()));
            }
            let n = outcome.breaches.len();
            println!("{title}: {} messages, {n} breaches", outcome.record.submissions.len());
        }
        None => print!("{text}"),
    }
    verdict(&outcome)
}
