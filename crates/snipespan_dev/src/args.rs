//! Subcommands and arguments of the maintenance tasks.

use clap::Arg;
use clap::ArgAction;
use clap::Command;

/// Builds the command with its subcommands.
pub fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Write nothing; fail if a generated file is not current");
    Command::new("snipespan_dev")
        .about("Maintenance tasks of the repository")
        .subcommand_required(true)
        .subcommand(Command::new("generate").about("Write the generated code and pages").arg(check))
        .subcommand(
            Command::new("imports").about("Check that imports are one a line, in three groups"),
        )
}
