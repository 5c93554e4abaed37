//! Durations and sizes with their units.

use heronroute::Micros;

const UNITS: [(&str, f64); 5] = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("m", 6e7), ("h", 3.6e9)];

/// Parses a duration such as `250ms` or `1.5s`.
///
/// # Errors
/// Returns a message with the allowed format.
pub fn parse_duration(text: &str) -> Result<Micros, String> {
    let format_error =
        || format!("\"{text}\" is not a duration: a number with us, ms, s, m or h, such as \"250ms\"");
    let text = text.trim();
    let unit_start = text.find(|c: char| !(c.is_ascii_digit() || c == '.')).ok_or_else(format_error)?;
    let (number, unit) = text.split_at(unit_start);
    let number: f64 = number.parse().map_err(|_| format_error())?;
    let unit = unit.trim();
    let (_, scale) = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(format_error)?;
    let micros = number * scale;
    if !micros.is_finite() || micros > 3.16e13 {
        return Err(format!("\"{text}\" is longer than a year"));
    }
    Ok(micros.round() as Micros)
}

/// Formats a duration in the largest unit that does not exceed it.
pub fn format_duration(duration: Micros) -> String {
    let (name, scale) = UNITS.iter().rev().find(|(_, s)| duration as f64 >= *s).unwrap_or(&UNITS[0]);
    let mut number = format!("{:.3}", duration as f64 / scale);
    while number.ends_with('0') {
        number.pop();
    }
    format!("{}{name}", number.trim_end_matches('.'))
}

/// Parses a size such as `64KiB` or `4GiB`.
///
/// # Errors
/// Returns a message with the allowed format.
pub fn parse_size(text: &str) -> Result<u64, String> {
    let format_error =
        || format!("\"{text}\" is not a size: a whole number with B, KiB, MiB or GiB, such as \"64MiB\"");
    let text = text.trim();
    let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(format_error)?;
    let (number, unit) = text.split_at(unit_start);
    let scale = match unit.trim() {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1u64 << 30,
        _ => return Err(format_error()),
    };
    number.parse::<u64>().ok().and_then(|n| n.checked_mul(scale)).ok_or_else(format_error)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_and_formats_durations() {
        for (text, micros) in [("250ms", 250_000), ("1.5s", 1_500_000), ("10m", 600_000_000), ("7us", 7)] {
            assert_eq!(parse_duration(text), Ok(micros));
            assert_eq!(parse_duration(&format_duration(micros)), Ok(micros));
        }
        for text in ["", "5", "s", "5 days", "1.2.3s", "-1s", "99999999h", "ms5"] {
            assert!(parse_duration(text).is_err(), "{text}");
        }
    }

    #[test]
    fn parses_sizes() {
        assert_eq!(parse_size("64MiB"), Ok(64 << 20));
        for text in ["", "5", "MiB", "1.5GiB", "-1B", "5MB", "99999999999999999999B", "99999999999GiB"] {
            assert!(parse_size(text).is_err(), "{text}");
        }
    }
}
