//! Parsing of durations and sizes with units.

use std::time::Duration;

/// Allowed format of a duration above 0, for error messages.
pub const DURATION_ALLOWED: &str =
    "a number above 0 with a unit: us, ms, s, m, h (such as 250ms or 1.5s)";

/// Allowed format of a duration that may be 0, for error messages.
pub const DURATION_OR_ZERO_ALLOWED: &str =
    "a number of at least 0 with a unit: us, ms, s, m, h (such as 250ms or 1.5s)";

/// Allowed format of a size, for error messages.
pub const SIZE_ALLOWED: &str = "a whole number with a unit: B, KiB, MiB, GiB (such as 16MiB)";

/// Units of durations with their length in seconds; a unit follows those that end with its name.
const SECONDS_PER_UNIT: [(&str, f64); 5] =
    [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("m", 60.0), ("h", 3600.0)];

/// Greatest whole number up to which `f64` is exact, 2^53.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Parses a duration, whose number may be a fraction; `None` if the unit is missing or unknown, the
/// number is negative or not finite, or the duration in seconds does not fit in 64 bits.
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse_whole_duration(text).or_else(|| parse_fractional_duration(text))
}

/// Parses a duration with a whole number of units, without rounding.
fn parse_whole_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text)?;
    match unit {
        "us" => Some(Duration::from_micros(number)),
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => number.checked_mul(60).map(Duration::from_secs),
        "h" => number.checked_mul(3600).map(Duration::from_secs),
        _ => None,
    }
}

/// Parses a duration with any number of units, rounded to nanoseconds.
fn parse_fractional_duration(text: &str) -> Option<Duration> {
    let mut split = SECONDS_PER_UNIT.iter().filter_map(|(unit, seconds)| {
        text.strip_suffix(unit).map(|number| (number.trim_end(), *seconds))
    });
    let (number, seconds) = split.next()?;
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * seconds).ok()
}

/// Parses a size and returns it in bytes; `None` if the unit is missing or unknown, the number is
/// not whole, or the size does not fit in 64 bits.
pub fn parse_size(text: &str) -> Option<u64> {
    let (number, unit) = split_unit(text)?;
    let bytes_per_unit = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return None,
    };
    number.checked_mul(bytes_per_unit)
}

fn split_unit(text: &str) -> Option<(u64, &str)> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    Some((number.parse().ok()?, unit.trim_start()))
}

/// Parses a size of memory above 0 and returns it in bytes. The unit may be absent, or decimal as
/// platforms state such limits, and the number with a unit may be a fraction.
pub fn parse_memory(text: &str) -> Option<u64> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let bytes_per_unit = match unit {
        "" | "B" => 1.0,
        "KB" => 1e3,
        "MB" => 1e6,
        "GB" => 1e9,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        _ => return None,
    };
    let number: f64 = number.trim_end().parse().ok()?;
    let bytes = number * bytes_per_unit;
    // Numbers above this are not exact, and no machine has as much memory.
    let is_valid = (1.0..=MAX_EXACT_INTEGER).contains(&bytes) && bytes.fract() == 0.0;
    is_valid.then_some(bytes as u64)
}
