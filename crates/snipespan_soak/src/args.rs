//! Command-line arguments of the soak.

use std::path::PathBuf;

use clap::Arg;
use clap::Command;
use clap::value_parser;

use crate::addresses::MAX_GATEWAYS;

/// Returns the command-line definition of `snipespan_soak`.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, max: u64, help: &'static str| {
        let arg = Arg::new(name).long(name).value_name("N").default_value(default);
        arg.value_parser(value_parser!(u64).range(1..=max)).help(help)
    };
    Command::new("snipespan_soak")
        .about("Runs gateways under random faults and checks what clients and replicas see")
        .arg(number("first", "1", u32::MAX.into(), "First seed"))
        .arg(number("seeds", "10", u32::MAX.into(), "Number of seeds"))
        .arg(number(
            "seconds",
            "10",
            86_400,
            "Time during which each seed injects faults, in seconds",
        ))
        .arg(number("gateways", "3", MAX_GATEWAYS as u64, "Number of gateway processes"))
        .arg(number("replicas", "4", 1000, "Number of replicas of each service"))
        .arg(number("clients", "12", 10_000, "Number of concurrent clients"))
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .default_value("target/release/snipespand")
                .help("Path of the snipespand daemon that is run as each gateway"),
        )
}
