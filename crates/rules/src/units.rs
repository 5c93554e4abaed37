//! Durations and sizes as text with a unit: `30m`, `1MiB`. All arithmetic is on integers: parsed values have
//! to be the same on every member, and formatted ones have to parse back to the same value.

use crate::Micros;
use crate::limits;

const DURATION_UNITS: [(&str, u64); 5] =
    [("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)];
const SIZE_UNITS: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// A text that is not a valid duration or size, cut to a length that can be quoted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnitError {
    /// Not a duration.
    #[error("\"{0}\" is no span of time: a number and us, ms, s, m or h, as \"30m\"")]
    InvalidDuration(String),
    /// Longer than [`limits::MAX_DURATION`].
    #[error("\"{0}\" is over a year")]
    DurationTooLong(String),
    /// Not a size.
    #[error("\"{0}\" is no size: a whole number and B, KiB, MiB or GiB, as \"1MiB\"")]
    InvalidSize(String),
    /// Larger than [`limits::MAX_SIZE_BYTES`].
    #[error("\"{0}\" is over 1048576GiB")]
    SizeTooLarge(String),
}

/// Parses a duration such as `30m` or `1.5s` into microseconds. A fraction finer than a microsecond is
/// rejected.
///
/// # Errors
/// Returns an error that says which form is allowed.
pub fn parse_duration(text: &str) -> Result<Micros, UnitError> {
    let invalid = || UnitError::InvalidDuration(limits::shorten(text, limits::MAX_ECHO_CHARS));
    let too_long = || UnitError::DurationTooLong(limits::shorten(text, limits::MAX_ECHO_CHARS));
    let (number, scale) = split_unit(text, &DURATION_UNITS).ok_or_else(invalid)?;
    let (whole, fraction) = match number.split_once('.') {
        Some((_, "")) => return Err(invalid()),
        Some((whole, fraction)) => (whole, fraction),
        None => (number, ""),
    };
    if !all_digits(whole) || !(fraction.is_empty() || all_digits(fraction)) || fraction.len() > 12 {
        return Err(invalid());
    }
    let whole: u64 = whole.parse().map_err(|_| too_long())?;
    let mut micros = u128::from(whole) * u128::from(scale);
    if !fraction.is_empty() {
        let denominator = 10u128.pow(fraction.len() as u32);
        let numerator = fraction.parse::<u128>().map_err(|_| invalid())? * u128::from(scale);
        if numerator % denominator != 0 {
            return Err(invalid());
        }
        micros += numerator / denominator;
    }
    Micros::try_from(micros).ok().filter(|m| *m <= limits::MAX_DURATION).ok_or_else(too_long)
}

/// Formats a duration in the largest unit of which it is a whole number. The result parses back to the same
/// value.
pub fn format_duration(duration: Micros) -> String {
    format_with_unit(u64::try_from(duration).unwrap_or(0), &DURATION_UNITS, "0s")
}

/// Parses a size such as `64KiB` into bytes.
///
/// # Errors
/// Returns an error that says which form is allowed.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    let invalid = || UnitError::InvalidSize(limits::shorten(text, limits::MAX_ECHO_CHARS));
    let too_large = || UnitError::SizeTooLarge(limits::shorten(text, limits::MAX_ECHO_CHARS));
    let (number, scale) = split_unit(text, &SIZE_UNITS).ok_or_else(invalid)?;
    if !all_digits(number) {
        return Err(invalid());
    }
    let number: u64 = number.parse().map_err(|_| too_large())?;
    number.checked_mul(scale).filter(|n| *n <= limits::MAX_SIZE_BYTES).ok_or_else(too_large)
}

/// Formats a size in the largest unit of which it is a whole number. The result parses back to the same
/// value.
pub fn format_size(bytes: u64) -> String {
    format_with_unit(bytes, &SIZE_UNITS, "0B")
}

fn split_unit<'a>(text: &'a str, units: &[(&str, u64)]) -> Option<(&'a str, u64)> {
    let at = text.find(|c: char| !(c.is_ascii_digit() || c == '.'))?;
    let (number, unit) = text.split_at_checked(at)?;
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    Some((number, *scale))
}

fn all_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

fn format_with_unit(value: u64, units: &[(&str, u64)], zero: &str) -> String {
    if value == 0 {
        return zero.into();
    }
    let unit = units.iter().rev().find(|(_, scale)| value.is_multiple_of(*scale));
    unit.map_or_else(|| value.to_string(), |(name, scale)| format!("{}{name}", value / scale))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn durations_and_sizes_are_parsed() {
        for (text, micros) in [("250ms", 250_000), ("1.5s", 1_500_000), ("30m", 1_800_000_000), ("7us", 7)] {
            assert_eq!(parse_duration(text), Ok(micros), "{text}");
        }
        for text in
            ["", "5", "s", "5 days", "1.2.3s", "-1s", "ms5", "1.s", ".5s", "0.5us", " 1s", "1 s", "é", "1é"]
        {
            assert!(matches!(parse_duration(text), Err(UnitError::InvalidDuration(_))), "{text}");
        }
        for text in ["99999999h", "99999999999999999999999us"] {
            assert!(matches!(parse_duration(text), Err(UnitError::DurationTooLong(_))), "{text}");
        }
        assert_eq!(parse_size("64MiB"), Ok(64 << 20));
        for text in ["", "5", "MiB", "1.5GiB", "-1B", "5MB", "5mib"] {
            assert!(matches!(parse_size(text), Err(UnitError::InvalidSize(_))), "{text}");
        }
        assert!(matches!(parse_size("99999999999GiB"), Err(UnitError::SizeTooLarge(_))));
        assert_eq!(
            [format_duration(1_800_000_000), format_duration(0), format_size(1 << 20), format_size(0)],
            ["30m", "0s", "1MiB", "0B"]
        );
    }

    proptest! {
        #[test]
        fn formatted_values_parse_back_equal(duration in 0..=limits::MAX_DURATION, size in 0..=limits::MAX_SIZE_BYTES, scale in 0usize..5) {
            let duration = duration - duration % DURATION_UNITS[scale].1 as Micros;
            prop_assert_eq!(parse_duration(&format_duration(duration)), Ok(duration));
            prop_assert_eq!(parse_size(&format_size(size)), Ok(size));
        }

        #[test]
        fn any_text_parses_without_panic(text in "[0-9.]{0,30}[a-zA-Zé]{0,4}") {
            let _ = (parse_duration(&text), parse_size(&text));
        }
    }
}
