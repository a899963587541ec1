//! Tests of the table of result codes.

use std::collections::BTreeSet;

use snipespan_core::result_code::Class;
use snipespan_core::result_code::RESULT_CODES;
use snipespan_core::result_code::ResultCode;
use snipespan_core::result_code::Retry;

/// Two codes with the same number or name could not be told apart.
#[test]
fn table_numbers_and_names_are_unique() {
    let numbers: BTreeSet<_> = RESULT_CODES.iter().map(|row| row.number).collect();
    let names: BTreeSet<_> = RESULT_CODES.iter().map(|row| row.name).collect();
    assert_eq!((numbers.len(), names.len()), (RESULT_CODES.len(), RESULT_CODES.len()));
}

/// Each number must be decoded to the code that it was encoded from, and an unassigned number must
/// be an error.
#[test]
fn table_numbers_round_trip() {
    for row in RESULT_CODES {
        assert_eq!(ResultCode::try_from(row.number), Ok(row.code));
    }
    assert!(ResultCode::try_from(999).is_err());
}

/// A code that leaves unknown whether the request ran must not advise an unconditional retry.
#[test]
fn table_unknown_is_not_sent_again() {
    let unknown = RESULT_CODES.iter().filter(|row| row.class == Class::Unknown);
    assert!(unknown.clone().count() > 0);
    assert!(unknown.clone().all(|row| row.retry == Retry::SameKey));
    let failed = RESULT_CODES.iter().filter(|row| row.class == Class::Failed);
    assert!(failed.clone().all(|row| row.retry != Retry::Yes));
}
