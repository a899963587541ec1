//! Exit codes of the command line.

use std::process::ExitCode;

use tonic::Code;
use tonic::Status;

/// The command failed for a reason without an exit code of its own.
const OTHER: u8 = 1;

/// The entry refused the command; nothing was changed.
const REFUSED: u8 = 3;

/// Another operator's change was accepted first; nothing was changed.
const CONFLICT: u8 = 4;

/// It is unknown whether the change took effect.
const UNKNOWN: u8 = 5;

/// The entry could not be reached; nothing was changed.
const UNREACHABLE: u8 = 6;

/// Returns the exit code for an error.
pub fn exit_code(error: &eyre::Report) -> ExitCode {
    if let Some(status) = error.downcast_ref::<Status>() {
        return ExitCode::from(status_exit_code(status));
    }
    match error.downcast_ref::<tonic::transport::Error>() {
        Some(_) => ExitCode::from(UNREACHABLE),
        None => ExitCode::from(OTHER),
    }
}

/// Returns the error message for the operator.
pub fn error_message(error: &eyre::Report) -> String {
    match error.downcast_ref::<Status>() {
        Some(status) => status.message().to_owned(),
        None => format!("{error:#}"),
    }
}

/// Returns the exit code for a failed call.
fn status_exit_code(status: &Status) -> u8 {
    match status.code() {
        Code::Aborted => CONFLICT,
        Code::Unknown | Code::DeadlineExceeded | Code::Cancelled => UNKNOWN,
        // A status from the entry has its result code in the metadata. Without metadata the
        // connection failed during the call.
        Code::Unavailable if status.metadata().is_empty() => UNKNOWN,
        _ => REFUSED,
    }
}
