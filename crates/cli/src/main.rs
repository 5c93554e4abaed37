//! The program. Does: reads the command line and files, sets up logging and signals, starts what is asked for.
//! Decides: nothing but exit codes (0 all well, 1 a rule was broken or the work failed, 2 wrong input). Never:
//! touches a socket itself.

#![forbid(unsafe_code)]

mod client;
mod days;
mod held;
mod installation;
mod journal;
mod platform;
mod serve;
mod standin;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A delivery service: takes messages over SMPP, carries each to its receiver, answers each exactly once.
#[derive(Parser)]
#[command(version, max_term_width = 110)]
struct Args {
    /// What is logged, as JSON lines on standard error: error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn")]
    log: tracing_subscriber::filter::LevelFilter,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the service. SIGTERM: answer what is held, then unbind and end. SIGHUP: read the settings again.
    Serve {
        /// The settings, in protobuf text format.
        #[arg(long)]
        config: PathBuf,
    },
    /// Run as one sender of the users' platform, which tells it everything by GW_CONFIG and GW_STATE (docs/platform.md).
    Platform,
    /// Check a settings file; every fault with its line, column and what is allowed.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Show the service at work on embedded stand-ins, with a table of its answers.
    Demo {
        /// Seed of the day.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run a day of troubles through the real sender and audit it. Exit code 1 where a rule was broken.
    BadDay {
        /// Seed of the day; the script's own without it.
        #[arg(long)]
        seed: Option<u64>,
        /// A script of troubles (docs/days.md); without it they are mixed from the seed.
        #[arg(long)]
        script: Option<PathBuf>,
        /// Print the script that the seed stands for, and run nothing.
        #[arg(long)]
        show: bool,
        /// Keep journals in this folder, which is emptied first.
        #[arg(long)]
        journal: Option<PathBuf>,
        /// Where to write the report; standard output without it.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Play what lies outside the service.
    Standin {
        #[command(subcommand)]
        what: standin::Standin,
    },
    /// Look into a journal, live or a copy, without touching it.
    Journal {
        #[command(subcommand)]
        look: journal::Look,
    },
    /// Messages of a client that ended undelivered: list, show, resubmit, drop, release.
    Held(held::HeldArgs),
    /// Everything that happened to a message.
    Trail(held::TrailArgs),
    /// Hand in messages over SMPP and print their final answers.
    Client(client::ClientArgs),
}

fn main() -> ExitCode {
    let args = match Args::try_parse() {
        Ok(args) => args,
        Err(e) => {
            _ = e.print();
            return ExitCode::from(if e.use_stderr() { 2 } else { 0 });
        }
    };
    tracing_subscriber::fmt().json().with_max_level(args.log).with_writer(std::io::stderr).init();
    match args.command {
        Command::Serve { config } => serve::serve(&config),
        Command::Platform => platform::run(),
        Command::Check { file } => serve::check(&file),
        Command::Demo { seed } => days::demo(seed),
        Command::BadDay { seed, script, show, journal, report } => {
            days::bad(seed, script.as_deref(), show, journal, report.as_deref())
        }
        Command::Standin { what } => standin::run(&what),
        Command::Journal { look } => journal::run(&look),
        Command::Held(args) => held::held(&args),
        Command::Trail(args) => held::trail(&args),
        Command::Client(args) => client::run(&args),
    }
}

/// Says what is wrong and gives the exit code for it.
fn fail(code: u8, what: impl std::fmt::Display) -> ExitCode {
    eprintln!("heronroute: {what}");
    ExitCode::from(code)
}
