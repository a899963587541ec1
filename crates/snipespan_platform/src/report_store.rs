//! The operators' report in the platform's table, with one row per report window and entry.
//!
//! An entry is a process that serves callers, and a report window is the period whose counts an
//! entry writes as one row. A row contains all counts of its window so far, so a repeated write
//! counts nothing twice.

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

/// Maximum number of window rows read by one scan.
const MAX_ROWS_PER_SCAN: u32 = 64;

/// Time after the last write of an open long job at which its entry counts as lost, in
/// milliseconds.
pub const ENTRY_LOST_AFTER_MS: UnixMillis = 60_000;

/// The stored counts of one length class; the histogram is in HdrHistogram V2 format.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClassRow {
    first_token_us: Vec<u8>,
    outcomes: BTreeMap<ResultCode, u64>,
}

/// State of a long job, a request with over 100,000 prompt tokens, as its entry last wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LongJobRow {
    /// The client account.
    pub account: CompactString,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens in the answer; 0 unless the job was answered completely.
    pub output_tokens: u64,
    /// Result code of the job; `None` if it was open at that time.
    pub outcome: Option<ResultCode>,
    /// Time of the last write by its entry.
    pub written: UnixMillis,
}

/// The stored counts of one window; `long_jobs_left_out` is the number of updates of long jobs that
/// were omitted because `long_jobs` was full.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct WindowRow {
    classes: BTreeMap<LengthClass, ClassRow>,
    long_jobs: BTreeMap<RequestId, LongJobRow>,
    long_jobs_left_out: u64,
}

/// Identity of a report window.
#[derive(Clone, Copy, Debug)]
pub struct WindowId {
    /// Incarnation of the entry, the identifier of one run of its process.
    pub entry: Incarnation,
    /// Number of the window within the entry.
    pub window: u64,
    /// Wall-clock time at which the window began.
    pub began: UnixMillis,
}

/// Counts of one length class over all entries.
#[derive(Clone, Debug)]
pub struct ClassTotals {
    /// Histogram of times to first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Number of ended requests by result code.
    pub outcomes: BTreeMap<ResultCode, u64>,
}

/// Sum of the report windows of all entries.
#[derive(Clone, Debug, Default)]
pub struct ReportTotals {
    /// Counts by length class.
    pub classes: BTreeMap<LengthClass, ClassTotals>,
    /// Long jobs by request identity, each with its outcome if any window contains one.
    pub long_jobs: BTreeMap<RequestId, LongJobRow>,
    /// Number of updates of long jobs that were omitted because the long jobs of a window were at
    /// their maximum number.
    pub long_jobs_left_out: u64,
}

/// Writes the row of a window with its counts at wall-clock time `now`.
///
/// # Errors
/// [`PlatformError`] if the row cannot be encoded or the commit fails; a retry is safe.
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

/// Returns the sum of all windows that began at `since` or later.
///
/// # Errors
/// [`PlatformError`] if a scan fails or a row is invalid.
pub async fn read_report(
    platform: &PlatformClient,
    since: UnixMillis,
) -> Result<ReportTotals, PlatformError> {
    let mut total = ReportTotals::default();
    let mut from = format_compact!("report/{since:020}/");
    // In ASCII, `0` follows `/`, so that `report0` is greater than all keys of windows.
    loop {
        let rows = platform.scan(&from, "report0", MAX_ROWS_PER_SCAN).await?;
        let Some(last) = rows.last() else { return Ok(total) };
        // A key with a zero byte appended is the next possible key.
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
