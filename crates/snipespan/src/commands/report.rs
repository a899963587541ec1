//! `snipespan report`: shows the time to first token by prompt length, and each long job.

use clap::ArgMatches;
use eyre::Result;
use serde_json::Value;
use serde_json::json;
use snipespan_admin::v1::LengthClassReport;
use snipespan_admin::v1::LongJob;
use snipespan_admin::v1::Report;

use crate::commands::get_number;
use crate::commands::get_text;
use crate::connection::Connection;
use crate::output::Format;

/// `BEGAN` counts the answers with a first token, `ENDED` the ended requests by result code.
const CLASS_TITLES: [&str; 6] = ["PROMPT TOKENS", "BEGAN", "P50 MS", "P95 MS", "P99 MS", "ENDED"];
const JOB_TITLES: [&str; 6] =
    ["REQUEST", "ACCOUNT", "PROMPT TOKENS", "ANSWER TOKENS", "STATE", "CODE"];

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If the call fails.
pub async fn run(connection: &mut Connection, matches: &ArgMatches, format: Format) -> Result<()> {
    let report = connection.fetch_report(get_number(matches, "last-seconds")).await?;
    let desk = get_text(matches, "desk");
    if format == Format::Json {
        println!("{:#}", report_json(&report, &desk));
        return Ok(());
    }
    if desk != "back" {
        println!("Front desk: time to first token by prompt length");
        let rows: Vec<_> = report.classes.iter().map(class_row).collect();
        format.print(&Value::Null, &CLASS_TITLES, &rows);
    }
    if desk != "front" {
        println!("Back office: long jobs, one row for each");
        let rows: Vec<_> = report.long_jobs.iter().map(job_row).collect();
        format.print(&Value::Null, &JOB_TITLES, &rows);
        if report.long_jobs_left_out > 0 {
            println!(
                "{} updates of long jobs are not listed: a report window had too many long jobs",
                report.long_jobs_left_out
            );
        }
    }
    Ok(())
}

/// Converts the parts of the report that `desk` selects (`front`, `back` or `both`) to JSON.
fn report_json(report: &Report, desk: &str) -> Value {
    let classes: Vec<Value> = report.classes.iter().map(class_json).collect();
    let jobs: Vec<Value> = report.long_jobs.iter().map(job_json).collect();
    let mut value = json!({});
    if desk != "back" {
        value["classes"] = Value::from(classes);
    }
    if desk != "front" {
        value["long_jobs"] = Value::from(jobs);
        value["long_jobs_left_out"] = Value::from(report.long_jobs_left_out);
    }
    value
}

fn class_json(class: &LengthClassReport) -> Value {
    let outcomes = class.outcomes.iter().map(|o| (o.name.clone(), Value::from(o.count)));
    json!({
        "upper_tokens": class.upper_tokens,
        "first_tokens": class.first_tokens,
        "first_token_p50_us": class.first_token_p50_us,
        "first_token_p95_us": class.first_token_p95_us,
        "first_token_p99_us": class.first_token_p99_us,
        "outcomes": outcomes.collect::<serde_json::Map<_, _>>(),
    })
}

fn job_json(job: &LongJob) -> Value {
    json!({
        "request_id": job.request_id,
        "account": job.account,
        "prompt_tokens": job.prompt_tokens,
        "output_tokens": job.output_tokens,
        "state": job.state,
        "code": job.code,
    })
}

fn class_row(class: &LengthClassReport) -> Vec<String> {
    let millis = |micros: u64| format!("{:.1}", micros as f64 / 1000.0);
    let upper = class.upper_tokens.map_or_else(|| "longer".to_owned(), |t| format!("up to {t}"));
    let outcomes = class.outcomes.iter().map(|o| format!("{} {}", o.count, o.name));
    vec![
        upper,
        class.first_tokens.to_string(),
        millis(class.first_token_p50_us),
        millis(class.first_token_p95_us),
        millis(class.first_token_p99_us),
        outcomes.collect::<Vec<_>>().join(", "),
    ]
}

fn job_row(job: &LongJob) -> Vec<String> {
    vec![
        job.request_id.clone(),
        job.account.clone(),
        job.prompt_tokens.to_string(),
        job.output_tokens.to_string(),
        job.state.clone(),
        job.code.map(|code| code.to_string()).unwrap_or_default(),
    ]
}
