//! The time formats of SMPP: 16 characters, absolute `YYMMDDhhmmsstnnp` or relative `YYMMDDhhmmss000R`.

use crate::Micros;

/// An error for a time that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidTime;

/// Returns the days from 1970-01-01 to a date of the proleptic Gregorian calendar.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let y = if month <= 2 { year - 1 } else { year };
    let era = y.div_euclid(400);
    let yoe = y - era * 400;
    let doy = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + yoe * 365 + yoe / 4 - yoe / 100 + doy - 719_468
}

/// Returns the year, month and day of a day number, the inverse of [`days_since_epoch`].
fn date_from_days(days: i64) -> (i64, i64, i64) {
    let z = days + 719_468;
    let era = z.div_euclid(146_097);
    let doe = z - era * 146_097;
    let yoe = (doe - doe / 1_460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let month = if mp < 10 { mp + 3 } else { mp - 9 };
    (yoe + era * 400 + i64::from(month <= 2), month, doy - (153 * mp + 2) / 5 + 1)
}

/// Returns the span from `wall` (microseconds since 1970 UTC) to the time in a field; `None` if the field is
/// empty. The span to a time in the past is zero or negative.
///
/// # Errors
/// Fails if the field has neither format.
pub fn parse(text: &str, wall: Micros) -> Result<Option<Micros>, InvalidTime> {
    if text.is_empty() {
        return Ok(None);
    }
    let b = text.as_bytes();
    if b.len() != 16 || !b[..15].iter().all(u8::is_ascii_digit) {
        return Err(InvalidTime);
    }
    let two_digits = |i: usize| i64::from(b[i] - b'0') * 10 + i64::from(b[i + 1] - b'0');
    let (year, month, day, hour, minute, second) =
        (two_digits(0), two_digits(2), two_digits(4), two_digits(6), two_digits(8), two_digits(10));
    let clock = ((hour * 60 + minute) * 60 + second) * 1_000_000;
    if b[15] == b'R' {
        // The specification leaves the length of years and months in a relative time to the message centre.
        let date_span = (year * 365 + month * 30 + day) * 86_400_000_000;
        return Ok(Some(date_span + clock));
    }
    let sign = match b[15] {
        b'+' => 1,
        b'-' => -1,
        _ => return Err(InvalidTime),
    };
    if !(1..=12).contains(&month) || !(1..=31).contains(&day) || hour > 23 || minute > 59 || second > 59 {
        return Err(InvalidTime);
    }
    let quarters = two_digits(13);
    if quarters > 48 {
        return Err(InvalidTime);
    }
    let tenths = i64::from(b[12] - b'0') * 100_000;
    let local = days_since_epoch(2000 + year, month, day) * 86_400_000_000 + clock + tenths;
    Ok(Some(local - sign * quarters * 900_000_000 - wall))
}

/// Formats a span as a relative time, rounded up to seconds. A span of 100 days or more gets 99 in its field
/// for days.
pub fn relative(span: Micros) -> String {
    let seconds = (span.max(0) + 999_999) / 1_000_000;
    let days = (seconds / 86_400).min(99);
    let rest = seconds % 86_400;
    format!("0000{days:02}{:02}{:02}{:02}000R", rest / 3600, rest / 60 % 60, rest % 60)
}

/// Formats an absolute time in UTC.
pub fn absolute(wall: Micros) -> String {
    let seconds = wall.div_euclid(1_000_000);
    let (year, month, day) = date_from_days(seconds.div_euclid(86_400));
    let (rest, tenth) = (seconds.rem_euclid(86_400), wall.rem_euclid(1_000_000) / 100_000);
    let clock = format!("{:02}{:02}{:02}{tenth}", rest / 3600, rest / 60 % 60, rest % 60);
    format!("{:02}{month:02}{day:02}{clock}00+", year.rem_euclid(100))
}

/// Formats a date of a receipt in ten digits, `YYMMDDhhmm`.
pub fn receipt_date(wall: Micros) -> String {
    absolute(wall)[..10].to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn absolute_and_relative_times_are_parsed_and_formatted() {
        let wall = 1_796_083_200_000_000; // 2026-12-01 00:00:00 UTC
        assert_eq!(absolute(wall), "261201000000000+");
        assert_eq!(parse("261201000010000+", wall), Ok(Some(10_000_000)));
        assert_eq!(parse("261201010000004+", wall), Ok(Some(0)), "an hour east of Greenwich");
        assert_eq!(parse("261130230000004-", wall), Ok(Some(0)), "and west of it");
        assert_eq!(parse("000000000130000R", wall), Ok(Some(90_000_000)));
        assert_eq!(parse("", wall), Ok(None));
        for bad in ["x", "261301000000000+", "2612010000000000", "261201000000049+", "26120100000000é+"] {
            assert_eq!(parse(bad, wall), Err(InvalidTime), "{bad}");
        }
        for span in [1, 999_999, 61_000_000, 86_400_000_000] {
            let read = parse(&relative(span), wall).unwrap().unwrap();
            assert!((span..span + 1_000_000).contains(&read));
        }
    }
}
