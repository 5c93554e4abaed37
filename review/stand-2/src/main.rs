//! The drivers of the second review's cases: `stand-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2
//! if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod common;
mod copies;
mod gone;
mod held;
mod homes;
mod line;
mod mqtt;
mod names;
mod query;
mod receiver;
mod recovery;
mod ring;
mod smpp;
mod strangers;

use common::{Record, Verdict};
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &arguments[..] else {
        eprintln!("stand-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(Path::new(record));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.say(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    common::watch(&record, common::ms(110_000));
    let verdict = match case.as_str() {
        "query" => query::run(&record, trouble),
        "recovery" => recovery::run(&record, trouble),
        "ring" => ring::run(&record, trouble),
        "names" => names::run(&record, trouble),
        "homes" => homes::run(&record, trouble),
        "copies" => copies::run(&record, trouble),
        "gone" => gone::run(&record, trouble),
        "held" => held::run(&record, trouble),
        "strangers" => strangers::run(&record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let verdict = verdict.unwrap_or_else(|why| {
        record.say(format!("could not run: {why}"));
        Verdict::CouldNotRun
    });
    let (word, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.say(word);
    println!("{case}: {word}");
    ExitCode::from(code)
}
