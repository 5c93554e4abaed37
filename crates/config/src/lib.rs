//! Settings of heronroute.
//!
//! The crate parses protobuf text format with the schema `proto/settings.proto`, validates every value, and
//! returns a plain [`Config`]. It also parses the listings of a directory. Each error names the file, line,
//! column and the allowed values; all errors of a file are reported at once.
//!
//! The crate defines which values are allowed and the defaults of fields that are left out. It opens no files
//! or sockets, reads no clock and keeps no state.

#![forbid(unsafe_code)]

mod check;
mod locate;
mod units;

pub use check::{
    ClientConfig, Config, Copies, DirectoryConfig, EndpointConfig, FleetConfig, HeldConfig, JournalConfig,
    KindConfig, Listing, MemberConfig, MqttConfig, PlatformConfig, Protocol, RegionsConfig, RolloutConfig,
    RouteConfig, ServiceConfig, SmppConfig,
};
pub use heronroute::SettingsError;
pub use heronroute_rules::Plan;
pub use units::{format_duration, parse_duration, parse_size};

use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage};
use std::fmt;
use std::sync::OnceLock;

/// The types of the schema, before validation.
#[allow(missing_docs, clippy::all)]
pub mod raw {
    include!(concat!(env!("OUT_DIR"), "/heronroute.settings.rs"));
}

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/settings.bin"));

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The name of the file, as passed by the caller.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong, and which values are allowed.
    pub what: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.what)
    }
}

/// All errors in a file, in the order of their positions.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(FileError::to_string).collect::<Vec<_>>().join("\n"))]
pub struct FileErrors(pub Vec<FileError>);

/// Parses and validates a settings file.
///
/// # Errors
/// Returns a single error if the text can't be parsed, otherwise one for every invalid field.
pub fn parse(file: &str, text: &str) -> Result<Config, FileErrors> {
    let raw: raw::File = read(file, text, "heronroute.settings.File")?;
    check::config(raw).map_err(|invalid_fields| locate_errors(file, text, invalid_fields))
}

/// Parses and validates a directory's listing.
///
/// # Errors
/// Returns errors as [`parse`] does.
pub fn parse_listing(file: &str, text: &str) -> Result<Listing, FileErrors> {
    let raw: raw::Listing = read(file, text, "heronroute.settings.Listing")?;
    check::listing(&raw).map_err(|invalid_fields| locate_errors(file, text, invalid_fields))
}

/// Parses the script of a day. The caller that runs the script validates its values.
///
/// # Errors
/// Returns errors as [`parse`] does.
pub fn parse_day(file: &str, text: &str) -> Result<raw::Day, FileErrors> {
    read(file, text, "heronroute.settings.Day")
}

/// Returns the error for a field that was found invalid after parsing, by its path, such as
/// `trouble[1].kind`.
pub fn field_error(file: &str, text: &str, path: &str, what: &str) -> FileErrors {
    locate_errors(file, text, vec![check::InvalidField { path: path.to_string(), what: what.to_string() }])
}

/// Formats the script of a day as text that [`parse_day`] accepts.
pub fn write_day(day: &raw::Day) -> String {
    write("heronroute.settings.Day", day)
}

/// Formats a listing as text that [`parse_listing`] accepts.
pub fn write_listing(listing: &raw::Listing) -> String {
    write("heronroute.settings.Listing", listing)
}

fn write(name: &str, message: &impl prost::Message) -> String {
    let descriptor = pool().get_message_by_name(name).expect("the schema has this message");
    let mut dynamic = DynamicMessage::new(descriptor);
    match dynamic.transcode_from(message) {
        Ok(()) => dynamic.to_text_format(),
        Err(_) => String::new(),
    }
}

fn pool() -> &'static DescriptorPool {
    static POOL: OnceLock<DescriptorPool> = OnceLock::new();
    POOL.get_or_init(|| {
        DescriptorPool::decode(DESCRIPTORS).expect("the schema was compiled with this program")
    })
}

fn read<T: prost::Message + Default>(file: &str, text: &str, name: &str) -> Result<T, FileErrors> {
    let descriptor = pool().get_message_by_name(name).expect("the schema has this message");
    let message = DynamicMessage::parse_text_format(descriptor, text).map_err(|e| {
        let offset = e.labels().and_then(|mut l| l.next()).map_or(0, |l| l.offset());
        let mut what = e.to_string();
        if let Some(help) = e.help() {
            what = format!("{what} ({help})");
        }
        let (line, column) = locate::line_column(text, offset);
        FileErrors(vec![FileError { file: file.to_string(), line, column, what }])
    })?;
    message.transcode_to().map_err(|e| {
        FileErrors(vec![FileError { file: file.to_string(), line: 1, column: 1, what: e.to_string() }])
    })
}

/// Adds the position in the text to each invalid field.
fn locate_errors(file: &str, text: &str, invalid_fields: Vec<check::InvalidField>) -> FileErrors {
    let positions = locate::field_positions(text);
    let mut errors: Vec<FileError> = invalid_fields
        .into_iter()
        .map(|field| {
            let (line, column) =
                locate::find_offset(&positions, &field.path).map_or((1, 1), |o| locate::line_column(text, o));
            FileError {
                file: file.to_string(),
                line,
                column,
                what: format!("{}: {}", field.path, field.what),
            }
        })
        .collect();
    errors.sort_by_key(|f| (f.line, f.column));
    FileErrors(errors)
}
