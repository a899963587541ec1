//! The operators' report in the platform's table: one row for each window of each entry.
//!
//! A row holds the counts of its window so far, so writing it again counts nothing twice.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Serialize;
use snipespan_core::cost::LengthClass;
use snipespan_core::entry::tables::report::Report;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::RequestId;
use snipespan_core::result_code::ResultCode;

use crate::client::PlatformClient;
use crate::client::Transaction;
use crate::error::PlatformError;
use crate::idempotency::UnixMillis;

/// Rows that one read returns at most.
const MAX_ROWS_PER_SCAN: u32 = 64;

/// A window whose entry has not written for this long has lost its entry, in milliseconds.
pub const ENTRY_LOST_AFTER_MS: UnixMillis = 60_000;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClassRow {
    first_token_us: Vec<u8>,
    outcomes: BTreeMap<ResultCode, u64>,
}

/// A long job as its entry last wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LongJobRow {
    /// The client account.
    pub account: CompactString,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Its outcome, `None` while it was open.
    pub outcome: Option<ResultCode>,
    /// When its entry last wrote it.
    pub written: UnixMillis,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct WindowRow {
    classes: BTreeMap<LengthClass, ClassRow>,
    long_jobs: BTreeMap<RequestId, LongJobRow>,
    long_jobs_left_out: u64,
}

/// Which window a row holds.
#[derive(Clone, Copy, Debug)]
pub struct WindowId {
    /// The entry.
    pub entry: Incarnation,
    /// The ordinal of the window in the entry.
    pub window: u64,
    /// When the window began.
    pub began: UnixMillis,
}

/// Counts of one length class over all entries.
#[derive(Clone, Debug)]
pub struct ClassTotals {
    /// Times to first token in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Requests that ended, by result code.
    pub outcomes: BTreeMap<ResultCode, u64>,
}

/// The report over all entries.
#[derive(Clone, Debug, Default)]
pub struct ReportTotals {
    /// Counts by length class.
    pub classes: BTreeMap<LengthClass, ClassTotals>,
    /// Each long job once, with its outcome where any entry wrote one.
    pub long_jobs: BTreeMap<RequestId, LongJobRow>,
    /// Long jobs that are not listed.
    pub long_jobs_left_out: u64,
}

/// Writes a window as it is at wall-clock time `now`.
///
/// # Errors
/// [`PlatformError`] when the store gives no answer; writing again is safe.
pub async fn write_window(
    platform: &PlatformClient,
    id: WindowId,
    report: &Report,
    now: UnixMillis,
) -> Result<(), PlatformError> {
    let key = window_key(id);
    let row = window_row(report, now).map_err(|detail| corrupt_value(&key, detail))?;
    let value =
        postcard::to_stdvec(&row).map_err(|e| corrupt_value(&key, format_compact!("{e}")))?;
    platform.commit(Transaction::default().put(&key, value)).await?;
    Ok(())
}

/// Reads all windows that began at `since` or later and adds them up.
///
/// # Errors
/// [`PlatformError`] when the store gives no answer.
pub async fn read_report(
    platform: &PlatformClient,
    since: UnixMillis,
) -> Result<ReportTotals, PlatformError> {
    let mut total = ReportTotals::default();
    let mut from = format_compact!("report/{since:020}/");
    loop {
        let rows = platform.scan(&from, "report0", MAX_ROWS_PER_SCAN).await?;
        let Some(last) = rows.last() else { return Ok(total) };
        // The zero byte makes the first key that follows.
        from = format_compact!("{}\0", last.key);
        for row in &rows {
            let window = postcard::from_bytes::<WindowRow>(&row.value);
            let window = window.map_err(|e| corrupt_value(&row.key, format_compact!("{e}")))?;
            add_window(&mut total, window).map_err(|detail| corrupt_value(&row.key, detail))?;
        }
    }
}

fn window_key(id: WindowId) -> CompactString {
    format_compact!("report/{:020}/{}/{:010}", id.began, id.entry, id.window)
}

fn window_row(report: &Report, now: UnixMillis) -> Result<WindowRow, CompactString> {
    let mut classes = BTreeMap::new();
    for (class, counts) in &report.classes {
        let mut first_token_us = Vec::new();
        let written = V2Serializer::new().serialize(&counts.first_token_us, &mut first_token_us);
        written.map_err(|e| format_compact!("{e}"))?;
        classes.insert(*class, ClassRow { first_token_us, outcomes: counts.outcomes.clone() });
    }
    let long_jobs = report.long_jobs.iter().map(|(id, job)| {
        let row = LongJobRow {
            account: job.account.clone(),
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.output_tokens,
            outcome: job.outcome,
            written: now,
        };
        (*id, row)
    });
    let long_jobs = long_jobs.collect();
    Ok(WindowRow { classes, long_jobs, long_jobs_left_out: report.long_jobs_left_out })
}

fn add_window(total: &mut ReportTotals, window: WindowRow) -> Result<(), CompactString> {
    for (class, row) in window.classes {
        let read = Deserializer::new().deserialize::<u64, _>(&mut row.first_token_us.as_slice());
        let first_token_us = read.map_err(|e| format_compact!("{e}"))?;
        add_class(total, class, ClassTotals { first_token_us, outcomes: row.outcomes })?;
    }
    for (id, job) in window.long_jobs {
        let has_outcome = total.long_jobs.get(&id).is_some_and(|known| known.outcome.is_some());
        if !has_outcome {
            total.long_jobs.insert(id, job);
        }
    }
    total.long_jobs_left_out += window.long_jobs_left_out;
    Ok(())
}

fn add_class(
    total: &mut ReportTotals,
    class: LengthClass,
    counts: ClassTotals,
) -> Result<(), CompactString> {
    let Some(known) = total.classes.get_mut(&class) else {
        total.classes.insert(class, counts);
        return Ok(());
    };
    known.first_token_us.add(&counts.first_token_us).map_err(|e| format_compact!("{e}"))?;
    for (code, count) in counts.outcomes {
        *known.outcomes.entry(code).or_default() += count;
    }
    Ok(())
}

fn corrupt_value(key: &str, detail: CompactString) -> PlatformError {
    PlatformError::Corrupt { name: key.into(), detail }
}
