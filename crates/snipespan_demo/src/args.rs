//! Subcommands and arguments of the demo.

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Builds the command with its subcommands.
pub fn command() -> Command {
    let stay = Arg::new("stay")
        .long("stay")
        .action(ArgAction::SetTrue)
        .help("Keep the system running and print a curl command; stop with Ctrl-C");
    let requests = Arg::new("requests")
        .long("requests")
        .value_parser(value_parser!(u64).range(1..))
        .default_value("400")
        .help("Requests sent directly, and as many through the system, per comparison, at least 1");
    Command::new("snipespan_demo")
        .about(
            "Runs the whole system in one process, with fake backend servers and a fake platform",
        )
        .arg(stay)
        .subcommand(
            Command::new("overhead")
                .about("Measure the time that the system adds to a request, and its throughput")
                .arg(requests),
        )
        .subcommand(
            Command::new("ticks")
                .about("Measure the duration of an entry's ticks and the size of its tables"),
        )
        .subcommand(
            Command::new("idle").about("Measure the idle control traffic by number of connections"),
        )
        .subcommand(
            Command::new("policies")
                .about("Compare the routing policies under the same load")
                .arg(number_arg("engines", "16", "Number of engines, at least 1"))
                .arg(number_arg("rate", "137", "Mean number of requests per second, at least 1"))
                .arg(number_arg(
                    "seconds",
                    "20",
                    "Time during which requests arrive in each run, in seconds, at least 1",
                ))
                .arg(number_arg("seed", "1", "Seed of the load, at least 1")),
        )
        .subcommand(
            Command::new("store")
                .about("Count the calls to the store by configuration changes and service calls"),
        )
}

/// Builds an option `--id` whose value is an integer of at least 1.
fn number_arg(id: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(id).long(id).value_name("NUMBER").help(help);
    arg.value_parser(value_parser!(u64).range(1..)).default_value(default)
}
