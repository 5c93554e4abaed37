//! Scripted days: the real service on loopback sockets against stand-ins, audited from what crossed them.
//!
//! Does: sets up receivers, a directory, clients and the service, lets a day pass, collects the records and has
//! them checked; makes days from seeds out of the troubles known from the bench.
//! Decides: what a day brings. Never: looks into the service to judge it.

#![forbid(unsafe_code)]

mod bad_day;
mod report;
mod setup;

pub use bad_day::{BadDay, bad_day, demo, mixed, stage};
pub use report::{answers_table, report};
pub use setup::{ClassSpec, ClientSpec, Day, Destination, Drill, DrillError, Listed, Outcome, Rules};
