//! The operators' report, built from the totals over all entries.

use snipespan_admin::v1;
use snipespan_core::cost::LengthClass;
use snipespan_core::identity::RequestId;
use snipespan_core::result_code::Class;
use snipespan_platform::idempotency::UnixMillis;
use snipespan_platform::report_store::ClassTotals;
use snipespan_platform::report_store::ENTRY_LOST_AFTER_MS;
use snipespan_platform::report_store::LongJobRow;
use snipespan_platform::report_store::ReportTotals;

/// Builds the report at wall-clock time `now`, in milliseconds since the Unix epoch.
pub(super) fn report_message(total: &ReportTotals, now: UnixMillis) -> v1::Report {
    let classes = total.classes.iter().map(|(class, counts)| class_message(*class, counts));
    let long_jobs = total.long_jobs.iter().map(|(id, job)| long_job_message(*id, job, now));
    v1::Report {
        classes: classes.collect(),
        long_jobs: long_jobs.collect(),
        long_jobs_left_out: total.long_jobs_left_out,
    }
}

fn class_message(class: LengthClass, counts: &ClassTotals) -> v1::LengthClassReport {
    let first_token = &counts.first_token_us;
    let outcomes = counts.outcomes.iter().map(|(code, count)| v1::OutcomeCount {
        code: u32::from(code.number()),
        name: code.row().name.to_owned(),
        count: *count,
    });
    v1::LengthClassReport {
        upper_tokens: class.upper_tokens(),
        first_tokens: first_token.len(),
        first_token_p50_us: first_token.value_at_quantile(0.50),
        first_token_p95_us: first_token.value_at_quantile(0.95),
        first_token_p99_us: first_token.value_at_quantile(0.99),
        outcomes: outcomes.collect(),
    }
}

fn long_job_message(id: RequestId, job: &LongJobRow, now: UnixMillis) -> v1::LongJob {
    let is_lost = now.saturating_sub(job.written) > ENTRY_LOST_AFTER_MS;
    let state = match job.outcome.map(|code| code.class()) {
        Some(Class::Ok) => "whole",
        Some(Class::NotRun) => "not run",
        Some(Class::Failed) => "failed",
        Some(Class::Unknown) => "unknown",
        None if is_lost => "entry lost",
        None => "open",
    };
    v1::LongJob {
        request_id: id.to_string(),
        account: job.account.to_string(),
        prompt_tokens: job.prompt_tokens,
        output_tokens: job.output_tokens,
        code: job.outcome.map(|code| u32::from(code.number())),
        state: state.to_owned(),
    }
}
