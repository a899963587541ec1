//! Command-line arguments of the daemon.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Returns the command-line definition of the daemon.
pub fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in INI; docs/OPERATING.md lists every key");
    let check = Arg::new("check-config")
        .long("check-config")
        .action(ArgAction::SetTrue)
        .help("Check the settings, print all errors and exit with status 0 or 1");
    Command::new("snipespand")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serving layer for prompts of very different lengths")
        .long_about(
            "Serves callers and operators (role entry), runs beside one backend server (role side) \
             or serves clients (role gateway). Once it listens, it prints its addresses as one \
             line of JSON. SIGTERM and SIGINT request a planned stop, which does not interrupt \
             requests in progress.",
        )
        .arg(config)
        .arg(check)
}
