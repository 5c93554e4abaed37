//! Validates single values and collects the errors.

use crate::units::{parse_duration, parse_size};
use heronroute::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An invalid field with its path.
pub struct InvalidField {
    pub path: String,
    pub what: String,
}

/// A collector of the errors that are found while values are checked.
#[derive(Default)]
pub struct Checker {
    pub errors: Vec<InvalidField>,
}

impl Checker {
    /// Records an error of a field.
    pub fn report(&mut self, path: &str, what: impl Into<String>) {
        self.errors.push(InvalidField { path: path.to_string(), what: what.into() });
    }

    /// Parses a duration of at least `min`. Returns the default if the text is empty.
    pub fn duration(&mut self, path: &str, text: &str, default: Micros, min: Micros) -> Micros {
        if text.is_empty() {
            return default;
        }
        match parse_duration(text) {
            Ok(duration) if duration >= min => duration,
            Ok(_) => {
                self.report(
                    path,
                    format!("\"{text}\" is too short: at least {}", crate::format_duration(min)),
                );
                default
            }
            Err(e) => {
                self.report(path, e);
                default
            }
        }
    }

    /// Parses a duration like [`Checker::duration`], and checks an upper bound too.
    pub fn duration_within(
        &mut self,
        path: &str,
        text: &str,
        default: Micros,
        min: Micros,
        max: Micros,
    ) -> Micros {
        let duration = self.duration(path, text, default, min);
        if duration > max {
            self.report(path, format!("\"{text}\" is too long: at most {}", crate::format_duration(max)));
        }
        duration
    }

    /// Checks a count. Returns the default for 0, which stands for a field that is left out.
    pub fn count(&mut self, path: &str, value: u32, default: u32, max: u32) -> u32 {
        if value > max {
            self.report(path, format!("{value} is too many: 1 to {max}"));
        }
        if value == 0 { default } else { value.min(max) }
    }

    /// Parses a size in bytes. Returns the default if the text is empty.
    pub fn size(&mut self, path: &str, text: &str, default: u64, min: u64) -> u64 {
        if text.is_empty() {
            return default;
        }
        match parse_size(text) {
            Ok(size) if size >= min => size,
            Ok(_) => {
                self.report(path, format!("\"{text}\" is too small: at least {min} bytes"));
                default
            }
            Err(e) => {
                self.report(path, e);
                default
            }
        }
    }

    /// Checks a number. Returns the default for 0, which stands for a field that is left out.
    pub fn number(&mut self, path: &str, value: f64, default: f64, max: f64) -> f64 {
        if !(0.0..=max).contains(&value) {
            self.report(path, format!("{value} is out of range: 0 to {max}"));
            return default;
        }
        if value == 0.0 { default } else { value }
    }

    /// Checks that a name is valid, and not in `seen` yet.
    pub fn name(&mut self, path: &str, value: &str, max: usize, seen: &mut BTreeSet<String>) {
        if value.is_empty() || value.len() > max || !value.bytes().all(|b| b.is_ascii_graphic()) {
            self.report(
                path,
                format!("\"{value}\" is not a name: 1 to {max} printable ASCII characters, no spaces"),
            );
        } else if !seen.insert(value.to_string()) {
            self.report(path, format!("\"{value}\" is used more than once"));
        }
    }

    /// Parses a socket address. Only loopback addresses are allowed, as the service runs on the same host as
    /// its front layer.
    pub fn address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(a) if a.ip().is_loopback() => Some(a),
            Ok(_) => {
                self.report(path, format!("\"{text}\" is not a loopback address"));
                None
            }
            Err(_) => {
                self.report(
                    path,
                    format!("\"{text}\" is not an address: use a form such as 127.0.0.1:2775 or [::1]:2775"),
                );
                None
            }
        }
    }
}
