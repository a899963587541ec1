//! Arguments of the demo.

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// The command with its subcommands.
pub fn command() -> Command {
    let stay = Arg::new("stay")
        .long("stay")
        .action(ArgAction::SetTrue)
        .help("Stay up afterwards and print a line for curl; end with Ctrl-C");
    let requests = Arg::new("requests")
        .long("requests")
        .value_parser(value_parser!(u64).range(1..))
        .default_value("400")
        .help("Requests of each measurement");
    Command::new("snipespan_demo")
        .about("Runs the whole system in one process on embedded stand-ins")
        .arg(stay)
        .subcommand(
            Command::new("overhead")
                .about("Measure what the path adds to a request, and what it carries")
                .arg(requests),
        )
        .subcommand(Command::new("ticks").about("Measure ticks and tables of the decisions"))
        .subcommand(Command::new("idle").about("Measure idle control traffic by connections"))
        .subcommand(
            Command::new("policies")
                .about("Measure the routing policies beside one another")
                .arg(number_arg("engines", "16", "Engines of the fleet"))
                .arg(number_arg("rate", "137", "Requests a second"))
                .arg(number_arg("seconds", "20", "How long requests arrive in each run"))
                .arg(number_arg("seed", "1", "Seed of the arrivals")),
        )
        .subcommand(Command::new("store").about("Measure calls to the store"))
}

fn number_arg(id: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(id).long(id).value_name("NUMBER").help(help);
    arg.value_parser(value_parser!(u64).range(1..)).default_value(default)
}
