//! `snipespan configuration check`: checks a configuration file without a connection.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use eyre::Context;
use eyre::Result;
use eyre::eyre;
use serde_json::Value;
use serde_json::json;
use snipespan_core::configuration_check::checks;
use snipespan_core::configuration_check::difference;
use snipespan_core::configuration_check::difference::Description;
use snipespan_core::configuration_check::difference::Difference;
use snipespan_core::configuration_check::finding::Finding;
use snipespan_core::configuration_check::finding::FindingClass;
use snipespan_core::configuration_check::own;
use snipespan_core::configuration_check::serving;

use crate::configuration_file::ConfigurationFile;
use crate::configuration_file::FileError;
use crate::output::Format;

/// The file has findings.
const FINDINGS: u8 = 1;

/// A file cannot be read, or is not in the expected form.
const UNREADABLE: u8 = 2;

/// What is reported of a file.
struct Report {
    errors: Vec<FileError>,
    findings: Vec<Finding>,
    differences: Option<Vec<Difference>>,
}

/// A file with what the checks found in it.
struct CheckedFile {
    errors: Vec<FileError>,
    findings: Vec<Finding>,
    descriptions: Vec<Description>,
}

/// Checks the file that the arguments name, prints the report and returns the exit code.
pub fn run(matches: &ArgMatches, format: Format) -> ExitCode {
    let format = if matches.get_flag("json") { Format::Json } else { format };
    match check(matches) {
        Ok(report) => {
            print(&report, format);
            let is_clean = report.errors.is_empty() && report.findings.is_empty();
            if is_clean { ExitCode::SUCCESS } else { ExitCode::from(FINDINGS) }
        }
        Err(e) => {
            eprintln!("snipespan: {e:#}");
            ExitCode::from(UNREADABLE)
        }
    }
}

fn check(matches: &ArgMatches) -> Result<Report> {
    let is_serving = matches.get_flag("serving");
    let path = matches.get_one::<PathBuf>("file").ok_or_else(|| eyre!("FILE is missing"))?;
    let file = read_file(path, is_serving)?;
    let against = matches.get_one::<PathBuf>("against");
    let older = against.map(|path| read_file(path, is_serving)).transpose()?;
    let differences =
        older.map(|older| difference::compare(&older.descriptions, &file.descriptions));
    Ok(Report { errors: file.errors, findings: file.findings, differences })
}

fn read_file(path: &Path, is_serving: bool) -> Result<CheckedFile> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("could not read {}", path.display()))?;
    let unreadable = || format!("{} is not a configuration", path.display());
    if is_serving {
        let configuration = snipespan_platform_adapter::configuration::decode(text.as_bytes());
        let configuration = configuration.wrap_err_with(unreadable)?;
        return Ok(CheckedFile {
            errors: Vec::new(),
            findings: checks::check(&serving::subject(&configuration)),
            descriptions: serving::describe(&configuration),
        });
    }
    let file = ConfigurationFile::decode(&text).wrap_err_with(unreadable)?;
    let mut subject = own::subject(&file.configuration);
    subject.data_centres.clone_from(&file.data_centres);
    Ok(CheckedFile {
        findings: checks::check(&subject),
        descriptions: own::describe(&file.configuration),
        errors: file.errors,
    })
}

fn print(report: &Report, format: Format) {
    match format {
        Format::Json => println!("{:#}", to_json(report)),
        Format::Text => {
            for FileError { place, detail } in &report.errors {
                println!("{}: {place}: {detail}", FindingClass::Error);
            }
            report.findings.iter().for_each(|finding| println!("{finding}"));
            report.differences.iter().flatten().for_each(|difference| println!("{difference}"));
            println!("findings: {}", report.errors.len() + report.findings.len());
        }
    }
}

fn to_json(report: &Report) -> Value {
    let errors = report.errors.iter().map(|FileError { place, detail }| {
        json!({"class": FindingClass::Error.to_string(), "place": place, "detail": detail})
    });
    let findings = report.findings.iter().map(|finding| {
        json!({
            "class": finding.kind.class().to_string(),
            "place": finding.item.to_string(),
            "detail": finding.kind.to_string(),
        })
    });
    let mut value = json!({"findings": errors.chain(findings).collect::<Vec<_>>()});
    if let Some(differences) = &report.differences {
        value["differences"] = differences.iter().map(difference_to_json).collect();
    }
    value
}

fn difference_to_json(difference: &Difference) -> Value {
    match difference {
        Difference::Added(item) => json!({"change": "added", "place": item.to_string()}),
        Difference::Removed(item) => json!({"change": "removed", "place": item.to_string()}),
        Difference::Changed { item, field, from, to } => json!({
            "change": "changed",
            "place": item.to_string(),
            "field": field,
            "from": from.as_str(),
            "to": to.as_str(),
        }),
    }
}
