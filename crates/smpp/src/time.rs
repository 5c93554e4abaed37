//! SMPP's forms of time: 16 characters, absolute `YYMMDDhhmmsstnnp` or relative `YYMMDDhhmmss000R`.

use crate::Micros;

/// A time in a request that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadTime;

/// Days from 1970-01-01 to a date of the proleptic Gregorian calendar.
fn days(year: i64, month: i64, day: i64) -> i64 {
    let y = if month <= 2 { year - 1 } else { year };
    let era = y.div_euclid(400);
    let yoe = y - era * 400;
    let doy = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + yoe * 365 + yoe / 4 - yoe / 100 + doy - 719_468
}

/// The date of a day number, the inverse of [`days`].
fn date(days: i64) -> (i64, i64, i64) {
    let z = days + 719_468;
    let era = z.div_euclid(146_097);
    let doe = z - era * 146_097;
    let yoe = (doe - doe / 1_460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let month = if mp < 10 { mp + 3 } else { mp - 9 };
    (yoe + era * 400 + i64::from(month <= 2), month, doy - (153 * mp + 2) / 5 + 1)
}

/// The span from `wall` (microseconds since 1970 UTC) to the time given; `None` where the field is empty.
/// A time that has passed gives a span of nought or less.
///
/// # Errors
/// Where the field has neither form.
pub fn parse(text: &str, wall: Micros) -> Result<Option<Micros>, BadTime> {
    if text.is_empty() {
        return Ok(None);
    }
    let b = text.as_bytes();
    if b.len() != 16 || !b[..15].iter().all(u8::is_ascii_digit) {
        return Err(BadTime);
    }
    let two = |i: usize| i64::from(b[i] - b'0') * 10 + i64::from(b[i + 1] - b'0');
    let (year, month, day, hour, minute, second) = (two(0), two(2), two(4), two(6), two(8), two(10));
    let clock = ((hour * 60 + minute) * 60 + second) * 1_000_000;
    if b[15] == b'R' {
        // Years and months of a relative time have no fixed length; the specification leaves it to the centre.
        let whole = (year * 365 + month * 30 + day) * 86_400_000_000;
        return Ok(Some(whole + clock));
    }
    let sign = match b[15] {
        b'+' => 1,
        b'-' => -1,
        _ => return Err(BadTime),
    };
    if !(1..=12).contains(&month) || !(1..=31).contains(&day) || hour > 23 || minute > 59 || second > 59 {
        return Err(BadTime);
    }
    let quarters = two(13);
    if quarters > 48 {
        return Err(BadTime);
    }
    let tenths = i64::from(b[12] - b'0') * 100_000;
    let local = days(2000 + year, month, day) * 86_400_000_000 + clock + tenths;
    Ok(Some(local - sign * quarters * 900_000_000 - wall))
}

/// A relative time, for a span of up to 99 days; longer ones are cut.
pub fn relative(span: Micros) -> String {
    let seconds = (span.max(0) + 999_999) / 1_000_000;
    let days = (seconds / 86_400).min(99);
    let rest = seconds % 86_400;
    format!("0000{days:02}{:02}{:02}{:02}000R", rest / 3600, rest / 60 % 60, rest % 60)
}

/// An absolute time in UTC.
pub fn absolute(wall: Micros) -> String {
    let seconds = wall.div_euclid(1_000_000);
    let (year, month, day) = date(seconds.div_euclid(86_400));
    let (rest, tenth) = (seconds.rem_euclid(86_400), wall.rem_euclid(1_000_000) / 100_000);
    let clock = format!("{:02}{:02}{:02}{tenth}", rest / 3600, rest / 60 % 60, rest % 60);
    format!("{:02}{month:02}{day:02}{clock}00+", year.rem_euclid(100))
}

/// The ten digits of a receipt's dates, `YYMMDDhhmm`.
pub fn short(wall: Micros) -> String {
    absolute(wall)[..10].to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms() {
        let wall = 1_796_083_200_000_000; // 2026-12-01 00:00:00 UTC
        assert_eq!(absolute(wall), "261201000000000+");
        assert_eq!(parse("261201000010000+", wall), Ok(Some(10_000_000)));
        assert_eq!(parse("261201010000004+", wall), Ok(Some(0)), "an hour east of Greenwich");
        assert_eq!(parse("261130230000004-", wall), Ok(Some(0)), "and west of it");
        assert_eq!(parse("000000000130000R", wall), Ok(Some(90_000_000)));
        assert_eq!(parse("", wall), Ok(None));
        for bad in ["x", "261301000000000+", "2612010000000000", "261201000000049+", "26120100000000é+"] {
            assert_eq!(parse(bad, wall), Err(BadTime), "{bad}");
        }
        for span in [1, 999_999, 61_000_000, 86_400_000_000] {
            let read = parse(&relative(span), wall).unwrap().unwrap();
            assert!((span..span + 1_000_000).contains(&read));
        }
    }
}
