//! Durable idempotency records of requests that must not run more than once.
//!
//! Only the request that created a record may be dispatched. After a write whose answer was lost,
//! the row is read: it contains the identity of the request that created the record.

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

/// Time added to the expiry of a record, since the clocks of entries may differ.
pub const CLOCK_SKEW_ALLOWANCE: Duration = Duration::from_secs(5);

/// Maximum length of a body stored in a row, in bytes; longer bodies are stored as objects.
pub const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// The recorded answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer, if the service returned one.
    pub content_type: Option<CompactString>,
    /// Body of the answer; empty if it is stored as an object.
    pub body: Vec<u8>,
    /// Whether the body is stored as an object.
    pub is_body_object: bool,
}

/// Progress of the request that created a record; `Lost` if the request recorded that its outcome
/// is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Progress {
    Open,
    Finished(StoredAnswer),
    Lost,
}

/// The stored form of a record.
///
/// `digest` covers service, method, path with query, and body of the request. `created` is the time
/// at which the record was written, and `expires` the deadline of the request. `eligible_instances`
/// are the VM and incarnation of each side process to which the request may be dispatched; an
/// incarnation is the identifier of one run of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    id: RequestId,
    digest: u128,
    created: UnixMillis,
    expires: UnixMillis,
    eligible_instances: Vec<EligibleInstance>,
    progress: Progress,
}

/// Reply to the creation of a record, with the recorded answer if there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreateReply {
    /// The reply that the decision code of the entry handles.
    pub answer: RecordAnswer,
    /// Answer of the plain service to the request that created the record; `None` unless that
    /// request is finished.
    pub stored: Option<StoredAnswer>,
    /// Version of the row, as [`IdempotencyRecords::take_over`] expects it; 0 if this request
    /// created the record.
    pub version: u64,
}

/// Outcome of a request, as written into its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The request ran and was answered.
    Answered(StoredAnswer),
    /// The request ended with this code and without a recorded answer.
    Code(ResultCode),
}

/// The idempotency records in the platform's table.
#[derive(Clone, Debug)]
pub struct IdempotencyRecords {
    platform: PlatformClient,
}

impl IdempotencyRecords {
    /// Creates a view of the records that `platform` stores.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Creates the record of `spec` at wall-clock time `now`, unless the key has a record.
    ///
    /// A retry after an error is safe, since a record that an earlier call created contains the
    /// identity of the request.
    ///
    /// # Errors
    /// [`PlatformError`] if a call to the store fails or the existing record is invalid.
    pub async fn create(
        &self,
        spec: &RecordSpec,
        now: UnixMillis,
    ) -> Result<CreateReply, PlatformError> {
        self.write_record(spec, 0, now).await
    }

    /// Replaces the record of a fenced request by the record of `spec`, if its row still has
    /// `version`. A request is fenced when it is certain that no eligible instance will run it. A
    /// retry after an error is safe, as with [`Self::create`].
    ///
    /// # Errors
    /// [`PlatformError`] if a call to the store fails or the existing record is invalid.
    pub async fn take_over(
        &self,
        spec: &RecordSpec,
        version: u64,
        now: UnixMillis,
    ) -> Result<CreateReply, PlatformError> {
        self.write_record(spec, version, now).await
    }

    /// Writes the record of `spec` if its row has `version`; otherwise replies with the existing
    /// record.
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
            let detail = "the idempotency record was removed between the write and the read".into();
            return Err(PlatformError::NoAnswer { detail });
        };
        let existing = decode_record(&row)?;
        if existing.id == spec.id {
            return Ok(created);
        }
        self.reply_for_existing(existing, row.version, now).await
    }

    /// Writes the outcome of a request into its record, or removes the record if the request did
    /// not run. Does nothing if the key has no record or the record of another request.
    ///
    /// # Errors
    /// [`PlatformError`] if a call to the store fails, or if the record is invalid or changed in
    /// the meantime; a retry is safe.
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
                record.progress = Progress::Lost;
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
                let detail = "the idempotency record changed before its outcome was written".into();
                Err(PlatformError::NoAnswer { detail })
            }
        }
    }

    /// Stores a body over [`MAX_ROW_BODY_BYTES`] as an object, so that rows stay small.
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

    /// Builds the reply for a record that another request created. An open record counts as
    /// abandoned once its expiry has passed by more than [`CLOCK_SKEW_ALLOWANCE`].
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
            Progress::Lost => (RecordAnswer::Exists { digest, state: RecordState::Lost }, None),
        };
        Ok(CreateReply { answer, stored, version })
    }

    /// Adds the body to an answer whose body is stored as an object.
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
            detail: "the body of the recorded answer does not exist".into(),
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
