//! `held` and `trail`: what is held for a client, asked for as that client over MQTT.

use crate::fail;
use clap::{Args, Subcommand};
use heronroute_net::Clock;
use heronroute_standins::mqtt::{ClientOptions, field};
use heronroute_standins::mqtt_request::MqttRequest;
use heronroute_standins::run::Running;
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(Args)]
pub struct As {
    /// The service, where it speaks MQTT.
    #[arg(long, default_value = "127.0.0.1:1883", global = true)]
    connect: SocketAddr,
    /// The client whose messages they are.
    #[arg(long, default_value = "", global = true)]
    system_id: String,
    /// Its password.
    #[arg(long, default_value = "", global = true)]
    password: String,
}

#[derive(Args)]
pub struct HeldArgs {
    #[command(flatten)]
    who: As,
    #[command(subcommand)]
    what: Held,
}

#[derive(Subcommand)]
enum Held {
    /// What is held, twenty at a time, and what was dropped for want of room.
    List {
        /// Behind this message.
        after: Option<String>,
    },
    /// One message's trail.
    Show {
        /// Its identity.
        id: String,
    },
    /// Hand a message in again.
    Resubmit {
        /// Its identity.
        id: String,
        /// As a new effect, though it may have run before and receivers may not remember it.
        #[arg(long)]
        new: bool,
    },
    /// Give a message up.
    Drop {
        /// Its identity.
        id: String,
    },
    /// Let all go, at a pace that spares live traffic.
    Release {
        /// To this destination only.
        destination: Option<u32>,
    },
    /// Stop letting go.
    Stop,
}

#[derive(Args)]
pub struct TrailArgs {
    #[command(flatten)]
    who: As,
    /// The message's identity.
    id: String,
}

pub fn held(args: &HeldArgs) -> ExitCode {
    let topic = match &args.what {
        Held::List { after: None } => "list".to_string(),
        Held::List { after: Some(id) } => format!("list/{id}"),
        Held::Show { id } => format!("show/{id}"),
        Held::Resubmit { id, new: false } => format!("again/{id}"),
        Held::Resubmit { id, new: true } => format!("again/{id}/new"),
        Held::Drop { id } => format!("drop/{id}"),
        Held::Release { destination: None } => "release".to_string(),
        Held::Release { destination: Some(d) } => format!("release/{d}"),
        Held::Stop => "stop".to_string(),
    };
    ask(&args.who, &topic)
}

pub fn trail(args: &TrailArgs) -> ExitCode {
    ask(&args.who, &format!("show/{}", args.id))
}

fn ask(who: &As, topic: &str) -> ExitCode {
    if who.system_id.is_empty() {
        return fail(2, "--system-id names the client whose messages they are, with --password");
    }
    if topic.len() > 200 || topic.contains(['+', '#', '\0']) {
        return fail(2, "an identity is 16 digits and letters a to f");
    }
    // A name of its own, so that it takes no session from the client's own programs.
    let id = format!("held-{}", std::process::id());
    let mut them = ClientOptions::new(true, &who.system_id, &id);
    (them.password, them.clean, them.expiry) = (who.password.clone(), true, 0);
    let (address, topic) = (who.connect, format!("held/{topic}"));
    let mqtt_request =
        Running::start(&[], Clock::start(), move |_| MqttRequest::new(address, them, topic, 10_000_000));
    match mqtt_request.and_then(Running::join).map(|a| a.answer) {
        Ok(Some(Ok(text))) => {
            println!("{text}");
            let refused = [
                "NOTFOUND",
                "MAYHAVERUN",
                "WINDOWOVER",
                "UNDERWAY",
                "UNHEARD",
                "BUSY",
                "WHAT",
                "NOCLASS",
                "NOROUTE",
            ];
            match field(text.lines().next().unwrap_or_default(), "stat") {
                Some(state) if refused.contains(&state) => ExitCode::from(1),
                _ => ExitCode::SUCCESS,
            }
        }
        Ok(Some(Err(why))) => fail(1, why),
        Ok(None) => fail(1, "no answer"),
        Err(e) => fail(1, e),
    }
}
