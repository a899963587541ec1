//! The operators' configuration in the platform's table, as a chain of revisions with a head row.
//!
//! Each revision row contains the digest of the chain before it. A change is one transaction that
//! requires an unchanged head, adds a revision row and a row for its change id, and updates the
//! head. Every [`SNAPSHOT_INTERVAL_REVISIONS`] revisions the complete configuration is written as
//! an object, so that a starting process reads a snapshot and only the revisions after it.

use compact_str::CompactString;
use compact_str::format_compact;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snipespan_core::configuration::Change;
use snipespan_core::configuration::ChangeError;
use snipespan_core::configuration::Configuration;
use snipespan_core::configuration::Revision;

use crate::client::CommitOutcome;
use crate::client::PlatformClient;
use crate::client::Row;
use crate::client::Transaction;
use crate::error::PlatformError;

/// Key of the row that contains the [`Head`].
const HEAD_KEY: &str = "configuration/head";
/// Key of the row that contains the revision of the last snapshot.
const SNAPSHOT_KEY: &str = "configuration/snapshot";

/// Number of revisions between two snapshots.
pub const SNAPSHOT_INTERVAL_REVISIONS: u64 = 32;

/// Maximum number of revision rows read by one scan.
const MAX_REVISIONS_PER_SCAN: u32 = 256;

/// SHA-256 of the chain up to a revision, in hexadecimal digits; empty before the first revision.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainDigest(CompactString);

impl ChainDigest {
    /// Returns the digest of this chain extended by the encoded row `revision`.
    fn next(&self, revision: &[u8]) -> Self {
        let digest = Sha256::new().chain_update(self.0.as_bytes()).chain_update(revision);
        Self(hex::encode(digest.finalize()).into())
    }
}

/// A configuration and the digest of the chain that it results from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainedConfiguration {
    /// The configuration at its revision.
    pub configuration: Configuration,
    /// Digest of the chain up to that revision.
    pub digest: ChainDigest,
}

/// Newest revision of the chain; `digest` is the digest of the chain up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    revision: Revision,
    digest: ChainDigest,
}

/// One revision of the chain; `previous` is the digest of the chain before it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RevisionRow {
    revision: Revision,
    change_id: CompactString,
    operator: CompactString,
    previous: ChainDigest,
    change: Change,
}

/// A change that an operator requests.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Identifier chosen by the operator, unique for each change.
    pub change_id: CompactString,
    /// Name of the operator.
    pub operator: CompactString,
    /// Revision that the change is based on; `None` accepts any current revision.
    pub base: Option<Revision>,
    /// The requested change.
    pub change: Change,
}

/// Reason why [`ConfigurationStore::apply`] returned no revision.
#[derive(Debug, Display, Error, From)]
pub enum ChangeFailure {
    /// Another change was accepted first.
    #[display("conflict with change {accepted_change_id}, which made revision {revision} first")]
    Conflict {
        /// Identifier of the accepted change.
        accepted_change_id: CompactString,
        /// Revision that the accepted change made.
        revision: Revision,
    },
    /// The change cannot be applied to the current configuration.
    #[display("{_0}")]
    #[from]
    Invalid(ChangeError),
    /// It is unknown whether the change was made.
    #[display("it is unknown whether the change was made: {_0}")]
    Unknown(PlatformError),
    /// A call to the store failed or a stored value is invalid; this call did not make the change.
    #[display("{_0}")]
    Unavailable(PlatformError),
}

/// Why the newest configuration could not be read from the chain.
#[derive(Debug, Display, Error, From)]
pub enum FollowError {
    /// A call to the store failed, or a stored value is invalid.
    #[display("{_0}")]
    #[from]
    Platform(PlatformError),
    /// The store's head is older than the configuration of this process.
    #[display("the store's head is revision {head}, older than revision {own} of this process")]
    OlderHead {
        /// Revision of the store's head.
        head: Revision,
        /// Revision of this process.
        own: Revision,
    },
    /// The store's chain does not continue the chain of this process.
    #[display("the store's chain differs from the chain of this process at revision {revision}")]
    Forked {
        /// Revision at which the difference was found.
        revision: Revision,
    },
    /// A stored revision cannot be applied.
    #[display("{_0}")]
    #[from]
    Change(ChangeError),
}

/// The configuration chain in the platform's table.
#[derive(Clone, Debug)]
pub struct ConfigurationStore {
    platform: PlatformClient,
}

impl ConfigurationStore {
    /// Creates a store that uses the services of `platform`.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Returns the newest configuration, read from the last snapshot and the revisions after it.
    ///
    /// # Errors
    /// [`FollowError`] if the head, the snapshot pointer or a revision cannot be read or applied.
    pub async fn load(&self) -> Result<ChainedConfiguration, FollowError> {
        let snapshot = self.load_snapshot().await?;
        match self.follow(&snapshot).await? {
            Some(newer) => Ok(newer),
            None => Ok(snapshot),
        }
    }

    /// Returns the newest configuration; `None` if it is `own`.
    ///
    /// # Errors
    /// [`FollowError`] if a call fails, a revision cannot be applied, or the store's chain is older
    /// than `own` or differs from the chain of `own`.
    pub async fn follow(
        &self,
        own: &ChainedConfiguration,
    ) -> Result<Option<ChainedConfiguration>, FollowError> {
        let (head, _) = self.read_head().await?;
        let own_revision = own.configuration.revision;
        if head.revision < own_revision {
            return Err(FollowError::OlderHead { head: head.revision, own: own_revision });
        }
        if head.revision == own_revision {
            return match head.digest == own.digest {
                true => Ok(None),
                false => Err(FollowError::Forked { revision: head.revision }),
            };
        }
        self.apply_revisions(own, &head).await.map(Some)
    }

    /// Makes a change and returns its revision; a retry with the same change id returns the same
    /// revision.
    ///
    /// # Errors
    /// [`ChangeFailure`] if the change was not made, or if it is unknown whether it was made.
    pub async fn apply(&self, req: &ChangeRequest) -> Result<Revision, ChangeFailure> {
        let known = self.find_revision(&req.change_id).await.map_err(ChangeFailure::Unavailable)?;
        if let Some(revision) = known {
            return Ok(revision);
        }
        let current = self.load().await.map_err(|e| match e {
            FollowError::Platform(e) => ChangeFailure::Unavailable(e),
            other => ChangeFailure::Unavailable(corrupt_value(HEAD_KEY, &other.to_string())),
        })?;
        let current_revision = current.configuration.revision;
        if req.base.is_some_and(|base| base != current_revision) {
            return Err(self.conflict_at(current_revision).await);
        }
        let next = current.configuration.apply(&req.change)?;
        match self.commit(req, &current, &next).await {
            Ok(CommitOutcome::Applied) => {
                self.write_snapshot_if_due(&next).await;
                Ok(next.revision)
            }
            Ok(CommitOutcome::ConditionFailed) => self.resolve_commit(req, next.revision).await,
            Err(PlatformError::Refused { detail }) => {
                Err(ChangeFailure::Unavailable(PlatformError::Refused { detail }))
            }
            Err(no_answer) => match self.resolve_commit(req, next.revision).await {
                Err(ChangeFailure::Unknown(_)) => Err(ChangeFailure::Unknown(no_answer)),
                resolved => resolved,
            },
        }
    }

    /// Returns the revision that a change made; `None` if no such change was accepted.
    ///
    /// # Errors
    /// [`PlatformError`] if the row of the change id cannot be read.
    pub async fn find_revision(&self, change_id: &str) -> Result<Option<Revision>, PlatformError> {
        let key = change_key(change_id);
        let row = self.platform.read_one(&key).await?;
        row.map(|row| decode_row::<Revision>(&row)).transpose()
    }

    /// Finds out whether a commit with a failed condition or without an answer made the change.
    /// Returns `revision` if its row contains the change id of `req`, and an error otherwise.
    async fn resolve_commit(
        &self,
        req: &ChangeRequest,
        revision: Revision,
    ) -> Result<Revision, ChangeFailure> {
        let row = self.platform.read_one(&revision_key(revision)).await;
        let Some(row) = row.map_err(ChangeFailure::Unknown)? else {
            let detail = "the row of the new revision does not exist yet".into();
            return Err(ChangeFailure::Unknown(PlatformError::NoAnswer { detail }));
        };
        let row = decode_row::<RevisionRow>(&row).map_err(ChangeFailure::Unknown)?;
        match row.change_id == req.change_id {
            true => Ok(revision),
            false => Err(ChangeFailure::Conflict { accepted_change_id: row.change_id, revision }),
        }
    }

    /// Returns a conflict with the change that made `revision`; the id of that change is
    /// `(unreadable)` if the row of the revision is missing or cannot be read.
    async fn conflict_at(&self, revision: Revision) -> ChangeFailure {
        let row = self.platform.read_one(&revision_key(revision)).await;
        let row = row.and_then(|row| row.as_ref().map(decode_row::<RevisionRow>).transpose());
        let accepted_change_id = match row {
            Ok(Some(row)) => row.change_id,
            _ => "(unreadable)".into(),
        };
        ChangeFailure::Conflict { accepted_change_id, revision }
    }

    /// Commits the revision row, the row of the change id and the new head, if the head is still at
    /// `current`.
    async fn commit(
        &self,
        req: &ChangeRequest,
        current: &ChainedConfiguration,
        next: &Configuration,
    ) -> Result<CommitOutcome, PlatformError> {
        let (head, head_version) = self.read_head().await?;
        if head.revision != current.configuration.revision {
            return Ok(CommitOutcome::ConditionFailed);
        }
        let row = RevisionRow {
            revision: next.revision,
            change_id: req.change_id.clone(),
            operator: req.operator.clone(),
            previous: current.digest.clone(),
            change: req.change.clone(),
        };
        let row = encode_json(&row)?;
        let next_head = Head { revision: next.revision, digest: current.digest.next(&row) };
        let change_key = change_key(&req.change_id);
        let revision_key = revision_key(next.revision);
        let transaction = Transaction::default()
            .require(HEAD_KEY, head_version)
            .require(&revision_key, 0)
            .require(&change_key, 0)
            .put(HEAD_KEY, encode_json(&next_head)?)
            .put(&revision_key, row)
            .put(&change_key, encode_json(&next.revision)?);
        self.platform.commit(transaction).await
    }

    /// Writes a snapshot every [`SNAPSHOT_INTERVAL_REVISIONS`] revisions; if that fails, starting
    /// processes read more revisions.
    async fn write_snapshot_if_due(&self, next: &Configuration) {
        if !next.revision.0.is_multiple_of(SNAPSHOT_INTERVAL_REVISIONS) {
            return;
        }
        let written = self.write_snapshot().await;
        if let Err(e) = written {
            log::warn!(
                "the snapshot of configuration revision {} was not written: {e}",
                next.revision
            );
        }
    }

    /// Writes the newest configuration as an object and then the pointer to the object.
    async fn write_snapshot(&self) -> Result<(), FollowError> {
        let newest = self.load().await?;
        let pointer = self.platform.read_one(SNAPSHOT_KEY).await?;
        let version = pointer.as_ref().map_or(0, |row| row.version);
        let revision = newest.configuration.revision;
        self.platform.put_object(&snapshot_name(revision), encode_json(&newest)?).await?;
        let transaction = Transaction::default()
            .require(SNAPSHOT_KEY, version)
            .put(SNAPSHOT_KEY, encode_json(&revision)?);
        self.platform.commit(transaction).await?;
        Ok(())
    }

    /// Returns the last snapshot; an empty configuration if there is none or its object cannot be
    /// fetched.
    async fn load_snapshot(&self) -> Result<ChainedConfiguration, FollowError> {
        let Some(pointer) = self.platform.read_one(SNAPSHOT_KEY).await? else {
            return Ok(ChainedConfiguration::default());
        };
        let name = snapshot_name(decode_row::<Revision>(&pointer)?);
        match self.platform.get_object(&name).await {
            Ok(Some(value)) => Ok(decode_json(&name, &value)?),
            // Applying all revisions to an empty configuration gives the same result.
            Ok(None) | Err(_) => Ok(ChainedConfiguration::default()),
        }
    }

    /// Returns the head and the version of its row; the default and 0 before the first change.
    async fn read_head(&self) -> Result<(Head, u64), PlatformError> {
        let row = self.platform.read_one(HEAD_KEY).await?;
        match row {
            Some(row) => Ok((decode_row(&row)?, row.version)),
            None => Ok((Head::default(), 0)),
        }
    }

    /// Applies the revisions after `own`, up to and including `head`, to `own`.
    async fn apply_revisions(
        &self,
        own: &ChainedConfiguration,
        head: &Head,
    ) -> Result<ChainedConfiguration, FollowError> {
        let mut reached = own.clone();
        while reached.configuration.revision < head.revision {
            let from = revision_key(reached.configuration.revision.next());
            let until = revision_key(head.revision.next());
            let rows = self.platform.scan(&from, &until, MAX_REVISIONS_PER_SCAN).await?;
            if rows.is_empty() {
                let detail = "the row is missing, but the head includes this revision";
                return Err(corrupt_value(&from, detail).into());
            }
            for row in &rows {
                reached = apply_revision(&reached, row)?;
            }
        }
        match reached.digest == head.digest {
            true => Ok(reached),
            false => Err(FollowError::Forked { revision: head.revision }),
        }
    }
}

/// Returns the configuration that results from one more revision row.
fn apply_revision(
    from: &ChainedConfiguration,
    row: &Row,
) -> Result<ChainedConfiguration, FollowError> {
    let revision = decode_row::<RevisionRow>(row)?;
    let continues =
        revision.previous == from.digest && revision.revision == from.configuration.revision.next();
    if !continues {
        return Err(FollowError::Forked { revision: revision.revision });
    }
    let configuration = from.configuration.apply(&revision.change)?;
    Ok(ChainedConfiguration { configuration, digest: from.digest.next(&row.value) })
}

fn revision_key(revision: Revision) -> CompactString {
    format_compact!("configuration/revision/{:020}", revision.0)
}

fn change_key(change_id: &str) -> CompactString {
    format_compact!("configuration/change/{change_id}")
}

fn snapshot_name(revision: Revision) -> CompactString {
    format_compact!("configuration/snapshot/{:020}", revision.0)
}

fn encode_json<T: Serialize>(value: &T) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).map_err(|e| corrupt_value("a configuration row", &e.to_string()))
}

fn decode_row<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, PlatformError> {
    decode_json(&row.key, &row.value)
}

fn decode_json<T: for<'a> Deserialize<'a>>(name: &str, value: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(value).map_err(|e| corrupt_value(name, &e.to_string()))
}

fn corrupt_value(name: &str, detail: &str) -> PlatformError {
    PlatformError::Corrupt { name: name.into(), detail: detail.into() }
}
