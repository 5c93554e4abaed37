//! `standin receiver` and `standin directory`.

use crate::fail;
use clap::{Subcommand, ValueEnum};
use heronroute_config::{parse_listing, raw};
use heronroute_net::Clock;
use heronroute_standins::directory::Directory;
use heronroute_standins::model::{Incident, ReceiverModel, Trouble};
use heronroute_standins::receivers::{Destination, Endpoint, Receivers, Speaks};
use heronroute_standins::run::Running;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Standin {
    /// A receiver; prints each arrival.
    Receiver {
        /// What it speaks.
        #[arg(long, value_enum, default_value = "smpp")]
        speaks: Protocol,
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Mean time for a call, as "20ms".
        #[arg(long, default_value = "20ms")]
        pace: String,
        /// A trouble from the first to the second second: hang, refuse, vanish or shut.
        #[arg(long, num_args = 3, value_names = ["KIND", "FROM", "TO"])]
        trouble: Option<Vec<String>>,
        /// End after this span; without it at the end of standard input.
        #[arg(long = "for")]
        span: Option<String>,
    },
    /// A directory that answers with a listing from a file.
    Directory {
        /// The listing, as protobuf text.
        #[arg(long)]
        list: PathBuf,
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// End after this span; without it at the end of standard input.
        #[arg(long = "for")]
        span: Option<String>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Protocol {
    Smpp,
    Http,
}

/// Waits for the end: a span, or the end of standard input.
fn wait(span: Option<&String>) -> Result<(), String> {
    match span {
        Some(span) => {
            let micros = heronroute_config::parse_duration(span)?;
            std::thread::sleep(Duration::from_micros(micros as u64));
        }
        None => _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink()),
    }
    Ok(())
}

fn strike(words: &[String]) -> Result<Incident, String> {
    let seconds = |w: &String| w.parse::<f64>().map_err(|_| format!("\"{w}\" is no number of seconds"));
    let trouble = match words[0].as_str() {
        "hang" => Trouble::Hang,
        "refuse" => Trouble::Refuse,
        "vanish" => Trouble::Vanish,
        "shut" => Trouble::Shut,
        other => return Err(format!("\"{other}\" is no trouble: hang, refuse, vanish or shut")),
    };
    let (from, to) = (seconds(&words[1])?, seconds(&words[2])?);
    Ok(Incident { from: (from * 1e6) as i64, to: (to * 1e6) as i64, trouble })
}

pub fn run(what: &Standin) -> ExitCode {
    match play(what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(2, e),
    }
}

fn play(what: &Standin) -> Result<(), String> {
    let clock = Clock::start();
    match what {
        Standin::Receiver { speaks, listen, pace, trouble, span } => {
            let pace = heronroute_config::parse_duration(pace)?;
            let incidents = trouble.iter().map(|w| strike(w)).collect::<Result<Vec<_>, _>>()?;
            let speaks = match speaks {
                Protocol::Smpp => Speaks::Smpp,
                Protocol::Http => Speaks::Http,
            };
            let name = "receiver".to_string();
            let endpoint =
                Endpoint { name, destination: 1, speaks, batches: false, leaves: None, strays: false };
            let destination = Destination {
                destination: 1,
                shape: ReceiverModel { pace, ..ReceiverModel::default() },
                incidents,
            };
            let receivers =
                Running::start(&[*listen], clock, |_| Receivers::new(vec![endpoint], vec![destination], 1))
                    .map_err(|e| format!("{listen}: {e}"))?;
            println!("listening at {}", receivers.addresses[0]);
            wait(span.as_ref())?;
            for a in receivers.stop().map_err(|e| e.to_string())?.arrivals {
                println!("{:.3} {} from {}: {:?}", a.at as f64 / 1e6, a.message, a.sender, a.verdict);
            }
        }
        Standin::Directory { list, listen, span } => {
            let text = std::fs::read_to_string(list).map_err(|e| format!("{}: {e}", list.display()))?;
            let listing = parse_listing(&list.display().to_string(), &text).map_err(|e| e.to_string())?;
            let row = |e: heronroute_config::EndpointConfig| raw::Endpoint {
                name: e.name,
                address: e.address.to_string(),
                destination: e.destination as u32,
                kind: e.kind,
                zone: e.zone,
                weight: e.weight.unwrap_or(0.0),
                status: String::new(),
            };
            let rows = listing.endpoints.into_iter().map(row).collect();
            let directory = Running::start(&[*listen], clock, |_| Directory::new(rows, vec![], vec![]))
                .map_err(|e| format!("{listen}: {e}"))?;
            println!("listening at {}", directory.addresses[0]);
            wait(span.as_ref())?;
            directory.stop().map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}
