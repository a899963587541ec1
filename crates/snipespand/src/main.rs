//! Executable of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    match snipespand::daemon::main(&snipespand::args::command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snipespand: {error:#}");
            ExitCode::FAILURE
        }
    }
}
