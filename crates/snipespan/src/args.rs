//! Subcommands and arguments of the command line.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::builder::EnumValueParser;
use clap::value_parser;
use clap_complete::Shell;

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  the command failed for another reason, given in the error message
  2  the arguments are invalid
  3  the entry refused the command; nothing was changed
  4  another operator's change was accepted first; nothing was changed
  5  unknown whether the change took effect; check with `snipespan change show ID`
  6  the entry could not be reached; nothing was changed";

const CHECK_EXIT_CODES: &str = "Exit codes:
  0  no findings
  1  findings
  2  the arguments are invalid, or a file cannot be read or is not a configuration";

/// Builds the command with all its subcommands.
pub fn command() -> Command {
    Command::new("snipespan")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a snipespan deployment through any of its entries")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection_args())
        .subcommand(account_command())
        .subcommand(model_command())
        .subcommand(service_command())
        .subcommand(backend_server_command())
        .subcommand(data_centre_command())
        .subcommand(configuration_command())
        .subcommand(change_command())
        .subcommand(report_command())
        .subcommand(load_command())
        .subcommand(completions_command())
}

fn connection_args() -> [Arg; 5] {
    [
        Arg::new("entry")
            .long("entry")
            .global(true)
            .env("SNIPESPAN_ENTRY")
            .value_name("URL")
            .default_value("https://127.0.0.1:8444")
            .help("URL of the operators' address of any entry"),
        Arg::new("ca")
            .long("ca")
            .global(true)
            .env("SNIPESPAN_CA")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the CA certificates that verify the entry, in PEM format"),
        Arg::new("token-file")
            .long("token-file")
            .global(true)
            .env("SNIPESPAN_TOKEN_FILE")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the operator's bearer token"),
        Arg::new("output")
            .long("output")
            .global(true)
            .value_parser(["text", "json"])
            .default_value("text")
            .help("Output format"),
        Arg::new("timeout")
            .long("timeout")
            .global(true)
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=3600))
            .default_value("10")
            .help("Maximum wait for a connection or a reply, 1 to 3600"),
    ]
}

/// Builds the arguments of every command that changes the configuration.
fn change_args() -> [Arg; 2] {
    [
        Arg::new("change-id").long("change-id").value_name("ID").help(
            "Id of the change; a retry with the same id applies it only once [default: random]",
        ),
        Arg::new("base-revision")
            .long("base-revision")
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .help("Refuse the change unless this is the newest revision [default: any]"),
    ]
}

/// Builds the required argument `NAME`.
fn name_arg(help: &'static str) -> Arg {
    Arg::new("name").required(true).value_name("NAME").help(help)
}

/// Builds an option `--id` with an unsigned integer as its value.
fn number_arg(id: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(id).long(id).value_name("NUMBER").help(help);
    arg.value_parser(value_parser!(u64)).default_value(default)
}

/// Builds the repeatable option `--home-region`.
fn home_region_arg() -> Arg {
    let arg = Arg::new("home-region").long("home-region").value_name("REGION");
    arg.action(ArgAction::Append).help(
        "Region whose backend servers may get the requests. May be given more than once \
         [default: all regions]",
    )
}

fn account_command() -> Command {
    let api_key_file = Arg::new("api-key-file")
        .long("api-key-file")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
        .help("File with an API key; only its SHA-256 digest is sent. May be given more than once");
    let digest = Arg::new("api-key-sha256")
        .long("api-key-sha256")
        .value_name("HEX")
        .action(ArgAction::Append)
        .help("SHA-256 digest of an API key, 64 hexadecimal digits. May be given more than once");
    let disabled = Arg::new("disabled")
        .long("disabled")
        .action(ArgAction::SetTrue)
        .help("Refuse all requests of the account");
    let put = Command::new("put")
        .about("Create or replace a client account")
        .arg(name_arg("Name of the account"))
        .arg(api_key_file)
        .arg(digest)
        .arg(number_arg("priority", "5", "Priority from 0 (highest) to 9 (lowest)"))
        .arg(number_arg("weight", "1", "Weight in fair queueing at a backend server, at least 1"))
        .arg(number_arg(
            "max-open",
            "1000",
            "Maximum number of open requests at one entry, at least 1",
        ))
        .arg(disabled)
        .arg(home_region_arg())
        .args(change_args());
    let remove = Command::new("remove")
        .about("Remove a client account")
        .arg(name_arg("Name of the account"))
        .args(change_args());
    let list = Command::new("list").about("List the client accounts");
    Command::new("account")
        .about("Manage client accounts")
        .subcommand_required(true)
        .subcommands([put, remove, list])
}

fn model_command() -> Command {
    let put = Command::new("put")
        .about("Create or replace a model")
        .arg(name_arg("Name of the model"))
        .arg(number_arg(
            "max-prompt-tokens",
            "1000000",
            "Maximum prompt length in tokens, at least 1",
        ))
        .arg(number_arg(
            "max-output-tokens",
            "4096",
            "Maximum and default answer length in tokens, at least 1",
        ))
        .arg(number_arg(
            "time-limit-ms",
            "600000",
            "Maximum and default time for a request in ms, at least 1",
        ))
        .arg(home_region_arg())
        .args(change_args());
    let remove = Command::new("remove")
        .about("Remove a model")
        .arg(name_arg("Name of the model"))
        .args(change_args());
    let list = Command::new("list").about("List the models");
    Command::new("model")
        .about("Manage models and their limits")
        .subcommand_required(true)
        .subcommands([put, remove, list])
}

fn service_command() -> Command {
    let prefix = Arg::new("repeatable-prefix")
        .long("repeatable-prefix")
        .value_name("PATH")
        .action(ArgAction::Append)
        .help(
            "Path prefix of calls that may be retried with any method. May be given more than once",
        );
    let put = Command::new("put")
        .about("Create or replace a plain service")
        .arg(name_arg("Name of the plain service"))
        .arg(number_arg(
            "time-limit-ms",
            "30000",
            "Maximum and default time for a call in ms, at least 1",
        ))
        .arg(prefix)
        .args(change_args());
    let remove = Command::new("remove")
        .about("Remove a plain service")
        .arg(name_arg("Name of the plain service"))
        .args(change_args());
    let list = Command::new("list").about("List the plain services");
    Command::new("service")
        .about("Manage plain services and their limits")
        .subcommand_required(true)
        .subcommands([put, remove, list])
}

fn backend_server_command() -> Command {
    let vm = || Arg::new("vm").required(true).value_name("VM").help("VM of the backend server");
    let list = Command::new("list").about("List the backend servers as seen by the entry");
    let drain = Command::new("drain")
        .about("Stop sending new work to a backend server")
        .arg(vm())
        .args(change_args());
    let undrain = Command::new("undrain")
        .about("Resume sending new work to a backend server")
        .arg(vm())
        .args(change_args());
    Command::new("backend-server")
        .about("List, drain and undrain backend servers")
        .subcommand_required(true)
        .subcommands([list, drain, undrain])
}

fn data_centre_command() -> Command {
    let list = Command::new("list").about("List the data centres as known to the entry");
    let evacuate = Command::new("evacuate")
        .about("Stop sending new work to all backend servers of a data centre")
        .arg(name_arg("Name of the data centre, as in `data-centre list`"))
        .args(change_args());
    let restore = Command::new("restore")
        .about("Resume sending new work to an evacuated data centre")
        .arg(name_arg("Name of the data centre"))
        .args(change_args());
    Command::new("data-centre")
        .about("List, evacuate and restore data centres")
        .subcommand_required(true)
        .subcommands([list, evacuate, restore])
}

fn configuration_command() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Configuration as printed by `snipespan --output json configuration`");
    let against = Arg::new("against")
        .long("against")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Older version of the file; prints what differs from it, which is no finding");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print JSON, as --output json does");
    let serving = Arg::new("serving")
        .long("serving")
        .action(ArgAction::SetTrue)
        .help("The files are serving configurations of the users' platform, for gateways");
    let check = Command::new("check")
        .about("Check a configuration file, without a connection")
        .after_help(CHECK_EXIT_CODES)
        .args([file, against, json, serving]);
    Command::new("configuration")
        .about("Show the configuration in force, or check one in a file")
        .subcommand(check)
}

fn change_command() -> Command {
    let id = Arg::new("id").required(true).value_name("ID").help("Id of the change");
    let show = Command::new("show").about("Show whether a change took effect").arg(id);
    Command::new("change")
        .about("Look up changes of the configuration")
        .subcommand_required(true)
        .subcommands([show])
}

fn report_command() -> Command {
    let desk = Arg::new("desk")
        .long("desk")
        .value_parser(["both", "front", "back"])
        .default_value("both")
        .help(
            "front: time to first token by prompt length; back: each long job, a request with over \
             100,000 prompt tokens, and its outcome",
        );
    Command::new("report")
        .about("Show the report of the deployment over all entries")
        .arg(number_arg(
            "last-seconds",
            "86400",
            "Period that the report covers, in seconds until now; 0 means one day",
        ))
        .arg(desk)
}

fn load_command() -> Command {
    let plan = Arg::new("plan")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Load plan in INI format; docs/POLICY.md lists every key");
    let out = Arg::new("out")
        .long("out")
        .value_name("FOLDER")
        .value_parser(value_parser!(PathBuf))
        .help("Folder for the results, load.json and load.csv; created if it is missing");
    let run = Command::new("run")
        .about("Send the load of a plan and measure the answers")
        .arg(plan)
        .arg(out);
    Command::new("load")
        .about("Generate load for a deployment, with fixed seeds")
        .subcommand_required(true)
        .subcommands([run])
}

fn completions_command() -> Command {
    let shell = Arg::new("shell")
        .required(true)
        .value_parser(EnumValueParser::<Shell>::new())
        .help("Shell that the completions are for");
    Command::new("completions").about("Print the completion script of a shell").arg(shell)
}
