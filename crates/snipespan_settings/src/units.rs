//! Parsing of durations and sizes with units.

use std::time::Duration;

/// Allowed format of a duration, for error messages.
pub const DURATION_ALLOWED: &str = "a whole number with a unit: us, ms, s, m, h (such as 250ms)";

/// Allowed format of a size, for error messages.
pub const SIZE_ALLOWED: &str = "a whole number with a unit: B, KiB, MiB, GiB (such as 16MiB)";

/// Parses a duration; `None` if the unit is missing or unknown, the number is not whole, or the
/// number or the duration in seconds does not fit in 64 bits.
pub fn parse_duration(text: &str) -> Option<Duration> {
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
