//! Values with units.

use std::time::Duration;

/// What a duration may look like.
pub const DURATION_ALLOWED: &str = "a whole number with a unit: us, ms, s, m, h (such as 250ms)";

/// What a size may look like.
pub const SIZE_ALLOWED: &str = "a whole number with a unit: B, KiB, MiB, GiB (such as 16MiB)";

/// Parses a duration; `None` when it has no unit or is not a whole number.
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

/// Parses a size in bytes; `None` when it has no unit or is not a whole number.
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
