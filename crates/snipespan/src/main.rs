//! The binary of the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    snipespan::commands::main(&snipespan::args::command().get_matches())
}
