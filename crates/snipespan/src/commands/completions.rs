//! `snipespan completions`: prints the completion script of a shell.

use std::io;

use clap::ArgMatches;
use clap_complete::Shell;
use clap_complete::generate;

use crate::args;

/// Prints the completion script of the shell that the arguments name.
pub fn run(matches: &ArgMatches) {
    let shell = matches.get_one::<Shell>("shell").copied().unwrap_or(Shell::Bash);
    generate(shell, &mut args::command(), "snipespan", &mut io::stdout());
}
