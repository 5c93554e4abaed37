//! Applies clients' own rules on a node, reads them back, and passes on questions about them.
//!
//! - [`apply`]: applies a whole version, which is durable before it is reported
//! - [`lookup`]: finds what a client's rules say of a message
//! - [`repeat`]: repeats a retained answer
//! - [`fence`]: holds new messages to the stricter of two rule sets while a client is fenced
//! - [`weigh`]: reports beforehand what a version would discard
//! - [`asks`]: passes questions on to the process, and its answers back
//!
//! This module decides whether a version can be applied here, and how much of its client's room a message may
//! take. It does not know how the process received a version, or whether other members have it.

mod apply;
mod asks;
mod fence;
mod live;
mod lookup;
mod repeat;
mod weigh;
