//! Exit codes of the command line.

use std::process::ExitCode;

use tonic::Code;
use tonic::Status;

/// The command failed for another reason.
const OTHER: u8 = 1;

/// Refused, and nothing was changed.
const REFUSED: u8 = 3;

/// Another change was accepted first.
const CONFLICT: u8 = 4;

/// Not known whether the change took effect.
const UNKNOWN: u8 = 5;

/// The entry could not be reached.
const UNREACHABLE: u8 = 6;

/// The exit code of an error.
pub fn exit_code(error: &eyre::Report) -> ExitCode {
    if let Some(status) = error.downcast_ref::<Status>() {
        return ExitCode::from(status_exit_code(status));
    }
    match error.downcast_ref::<tonic::transport::Error>() {
        Some(_) => ExitCode::from(UNREACHABLE),
        None => ExitCode::from(OTHER),
    }
}

/// What to tell people about an error.
pub fn error_message(error: &eyre::Report) -> String {
    match error.downcast_ref::<Status>() {
        Some(status) => status.message().to_owned(),
        None => format!("{error:#}"),
    }
}

/// The exit code of a call that failed.
fn status_exit_code(status: &Status) -> u8 {
    match status.code() {
        Code::Aborted => CONFLICT,
        Code::Unknown | Code::DeadlineExceeded | Code::Cancelled => UNKNOWN,
        Code::Unavailable if status.metadata().is_empty() => UNKNOWN,
        _ => REFUSED,
    }
}
