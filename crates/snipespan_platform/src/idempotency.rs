//! Durable records of requests that may not be repeated.
//!
//! Only the creator of a record may ever dispatch its request. A write whose answer was lost is
//! settled by reading the row back: it carries the identity of the request that created it.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde::Serialize;
use snipespan_core::entry::effect::RecordSpec;
use snipespan_core::entry::event::RecordAnswer;
use snipespan_core::entry::event::RecordState;
use snipespan_core::identity::EligibleInstance;
use snipespan_core::identity::RequestId;
use snipespan_core::result_code::Class;
use snipespan_core::result_code::ResultCode;

use crate::client::CommitOutcome;
use crate::client::PlatformClient;
use crate::client::Row;
use crate::client::Transaction;
use crate::error::PlatformError;

/// Added to a record's time before it counts as expired, for clocks that differ.
pub const CLOCK_SKEW_ALLOWANCE: Duration = Duration::from_secs(5);

/// Longest answer that is kept in a row, in bytes; longer ones are kept as objects.
pub const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// The recorded answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the service gave one.
    pub content_type: Option<CompactString>,
    /// The body; empty when it is kept as an object.
    pub body: Vec<u8>,
    /// Whether the body is kept as an object.
    pub is_body_object: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Progress {
    Open,
    Finished(StoredAnswer),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    id: RequestId,
    digest: u128,
    created: UnixMillis,
    expires: UnixMillis,
    eligible_instances: Vec<EligibleInstance>,
    progress: Progress,
}

/// The answer to the creation of a record, with the recorded answer where there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreateReply {
    /// What the decisions need to know.
    pub answer: RecordAnswer,
    /// The recorded answer.
    pub stored: Option<StoredAnswer>,
    /// Version of the row, to take it over.
    pub version: u64,
}

/// How a request ended, for its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// It ran, and this is its answer.
    Answered(StoredAnswer),
    /// It ended with this code.
    Code(ResultCode),
}

/// The records in the platform's table.
#[derive(Clone, Debug)]
pub struct IdempotencyRecords {
    platform: PlatformClient,
}

impl IdempotencyRecords {
    /// The records behind `platform`.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Tries once to create the record of `spec` at wall-clock time `now`.
    ///
    /// Calling it again after an error is safe: a record that an earlier try created is
    /// recognised by the identity in it.
    ///
    /// # Errors
    /// [`PlatformError`] when the store gives no answer.
    pub async fn create(
        &self,
        spec: &RecordSpec,
        now: UnixMillis,
    ) -> Result<CreateReply, PlatformError> {
        self.write_record(spec, 0, now).await
    }

    /// Tries once to take over the record of a request that was ruled out, if its row still has
    /// `version`. Calling it again after an error is safe, as with [`Self::create`].
    ///
    /// # Errors
    /// [`PlatformError`] when the store gives no answer.
    pub async fn take_over(
        &self,
        spec: &RecordSpec,
        version: u64,
        now: UnixMillis,
    ) -> Result<CreateReply, PlatformError> {
        self.write_record(spec, version, now).await
    }

    async fn write_record(
        &self,
        spec: &RecordSpec,
        version: u64,
        now: UnixMillis,
    ) -> Result<CreateReply, PlatformError> {
        let key = record_key(&spec.account, &spec.key);
        let record = Record {
            id: spec.id,
            digest: spec.digest,
            created: now,
            expires: now + spec.remaining.as_millis() as u64,
            eligible_instances: spec.eligible_instances.clone(),
            progress: Progress::Open,
        };
        let transaction = Transaction::default().require(&key, version);
        let transaction = transaction.put(&key, encode_record(&record)?);
        let created = CreateReply { answer: RecordAnswer::Created, stored: None, version: 0 };
        if self.platform.commit(transaction).await? == CommitOutcome::Applied {
            return Ok(created);
        }
        let Some(row) = self.platform.read_one(&key).await? else {
            let detail = "the record vanished between write and read".into();
            return Err(PlatformError::NoAnswer { detail });
        };
        let existing = decode_record(&row)?;
        if existing.id == spec.id {
            return Ok(created);
        }
        self.reply_for_existing(existing, row.version, now).await
    }

    /// Writes how a request ended into its record, or removes the record when it was not run.
    ///
    /// # Errors
    /// [`PlatformError`] when the store gives no answer; calling it again is safe.
    pub async fn finish(
        &self,
        spec: &RecordSpec,
        outcome: &RecordedOutcome,
    ) -> Result<(), PlatformError> {
        let key = record_key(&spec.account, &spec.key);
        let Some(row) = self.platform.read_one(&key).await? else { return Ok(()) };
        let mut record = decode_record(&row)?;
        if record.id != spec.id {
            return Ok(());
        }
        let expected = Transaction::default().require(&key, row.version);
        let transaction = match outcome {
            RecordedOutcome::Code(code) if code.class() == Class::NotRun => expected.remove(&key),
            RecordedOutcome::Code(_) => {
                record.progress = Progress::Unknown;
                expected.put(&key, encode_record(&record)?)
            }
            RecordedOutcome::Answered(answer) => {
                let answer = self.offload_body(spec.id, answer).await?;
                record.progress = Progress::Finished(answer);
                expected.put(&key, encode_record(&record)?)
            }
        };
        match self.platform.commit(transaction).await? {
            CommitOutcome::Applied => Ok(()),
            CommitOutcome::ConditionFailed => {
                let detail = "the record changed while it was being finished".into();
                Err(PlatformError::NoAnswer { detail })
            }
        }
    }

    /// Keeps a long body as an object, so that rows stay small.
    async fn offload_body(
        &self,
        id: RequestId,
        answer: &StoredAnswer,
    ) -> Result<StoredAnswer, PlatformError> {
        if answer.body.len() <= MAX_ROW_BODY_BYTES {
            return Ok(answer.clone());
        }
        self.platform.put_object(&body_name(id), answer.body.clone()).await?;
        Ok(StoredAnswer { body: Vec::new(), is_body_object: true, ..answer.clone() })
    }

    async fn reply_for_existing(
        &self,
        existing: Record,
        version: u64,
        now: UnixMillis,
    ) -> Result<CreateReply, PlatformError> {
        let Record { id, digest, created, expires, eligible_instances, progress } = existing;
        let expires = expires + CLOCK_SKEW_ALLOWANCE.as_millis() as u64;
        let (answer, stored) = match progress {
            Progress::Finished(answer) => {
                let answer = self.fetch_body(id, answer).await?;
                (RecordAnswer::Exists { digest, state: RecordState::Finished }, Some(answer))
            }
            Progress::Open if now <= expires => {
                (RecordAnswer::Exists { digest, state: RecordState::InProgress }, None)
            }
            Progress::Open => {
                let age = Duration::from_millis(now.saturating_sub(created));
                (RecordAnswer::Abandoned { digest, id, age, eligible_instances }, None)
            }
            Progress::Unknown => (RecordAnswer::Exists { digest, state: RecordState::Lost }, None),
        };
        Ok(CreateReply { answer, stored, version })
    }

    async fn fetch_body(
        &self,
        id: RequestId,
        answer: StoredAnswer,
    ) -> Result<StoredAnswer, PlatformError> {
        if !answer.is_body_object {
            return Ok(answer);
        }
        let name = body_name(id);
        let body = self.platform.get_object(&name).await?;
        let body = body.ok_or_else(|| PlatformError::Corrupt {
            name,
            detail: "the recorded answer is missing".into(),
        })?;
        Ok(StoredAnswer { body, ..answer })
    }
}

fn record_key(account: &str, key: &str) -> CompactString {
    format_compact!("idempotency/{account}/{key}")
}

fn body_name(id: RequestId) -> CompactString {
    format_compact!("idempotency/{id}")
}

fn encode_record(record: &Record) -> Result<Vec<u8>, PlatformError> {
    postcard::to_stdvec(record).map_err(|e| PlatformError::Corrupt {
        name: "an idempotency record".into(),
        detail: format_compact!("{e}"),
    })
}

fn decode_record(row: &Row) -> Result<Record, PlatformError> {
    postcard::from_bytes(&row.value).map_err(|e| PlatformError::Corrupt {
        name: row.key.clone(),
        detail: format_compact!("{e}"),
    })
}
