//! `journal`: looks into a journal without touching it.

use crate::fail;
use clap::Subcommand;
use heronroute_journal::tool::{Inspection, inspect, message_of};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Look {
    /// Check everything that a start would check; exit code 1 where something durable is broken.
    Verify {
        /// The journal's folder, as in the settings, or a copy of it.
        folder: PathBuf,
    },
    /// Files, entries, open messages, answers owed.
    Stats {
        /// The folder.
        folder: PathBuf,
    },
    /// All entries of the log, one a line.
    Dump {
        /// The folder.
        folder: PathBuf,
    },
    /// What is known of one message.
    Inspect {
        /// The folder.
        folder: PathBuf,
        /// The message_id.
        #[arg(long)]
        id: String,
    },
}

/// The senders' folders within a journal's, or the folder itself where it is one.
fn folders(folder: &Path) -> Result<Vec<PathBuf>, String> {
    let names = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut list: Vec<PathBuf> = names
        .filter_map(|n| Some(n.ok()?.path()))
        .filter(|p| p.is_dir() && p.file_name().is_some_and(|n| n.to_string_lossy().starts_with("sender-")))
        .collect();
    list.sort();
    if list.is_empty() {
        list.push(folder.to_path_buf());
    }
    Ok(list)
}

pub fn run(look: &Look) -> ExitCode {
    let folder = match look {
        Look::Verify { folder } | Look::Stats { folder } | Look::Dump { folder } => folder,
        Look::Inspect { folder, .. } => folder,
    };
    let id = match look {
        Look::Inspect { id, .. } => match u64::from_str_radix(id, 16) {
            Ok(id) => Some(id),
            Err(_) => return fail(2, format_args!("\"{id}\" is no message_id: 16 hex digits")),
        },
        _ => None,
    };
    let folders = match folders(folder) {
        Ok(folders) => folders,
        Err(e) => return fail(2, e),
    };
    let mut well = true;
    let mut found = false;
    for folder in folders {
        let s = match inspect(&folder) {
            Ok(s) => s,
            Err(e) => return fail(2, format_args!("{}: {e}", folder.display())),
        };
        well &= s.state.is_ok();
        match look {
            Look::Verify { .. } | Look::Stats { .. } => show(&folder, &s, matches!(look, Look::Stats { .. })),
            Look::Dump { .. } => s.entries.iter().for_each(|(n, e)| println!("{n} {:?}", e.what)),
            Look::Inspect { .. } => {
                let mine = |e: &heronroute_journal::Entry| message_of(e) == id;
                for (n, e) in s.entries.iter().filter(|(_, e)| mine(e)) {
                    println!("{n} {:?}", e.what);
                    found = true;
                }
                if let Some(open) = s.state.as_ref().ok().and_then(|b| b.open.get(&id?)) {
                    println!("open: {open:?}");
                    found = true;
                }
            }
        }
    }
    if id.is_some() && !found {
        return fail(
            1,
            "nothing is known of this message: it is over and its log was dropped, or it never was",
        );
    }
    if well { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn show(folder: &Path, s: &Inspection, all: bool) {
    let name = folder.display();
    if all {
        for f in &s.files {
            let torn = f.torn.map_or(String::new(), |at| format!(", not readable from octet {at}"));
            println!(
                "{name}/{}: {} octets, {} frames, {} entries{torn}",
                f.name, f.octets, f.frames, f.entries
            );
        }
    }
    match &s.state {
        Ok(state) => {
            let owed = state.open.values().filter(|o| o.answer.is_some()).count();
            let out = state.open.values().filter(|o| o.answer.is_none() && o.out.is_some()).count();
            let torn = s.files.iter().any(|f| f.torn.is_some());
            println!(
                "{name}: well{}; {} messages open, {out} of them with an attempt out, {owed} answers owed, {} places",
                if torn { ", with an end that is torn or being written" } else { "" },
                state.open.len() - owed,
                state.places.len()
            );
        }
        Err(e) => println!("{name}: {e}"),
    }
}
