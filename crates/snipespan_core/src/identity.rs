//! Identifiers that are stored or sent between processes.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// Identifier of a request, unique across all entries and never reused.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// Number of an attempt within its request, starting at 1.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptNumber(pub u32);

/// Identifier of one run of a side process; each restart gets a new one.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// Name by which the platform identifies a VM.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct VmId(pub CompactString);

/// Name of a data centre.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DataCentre(pub CompactString);

/// A VM and the incarnation of its side process to which an unrepeatable request may be
/// dispatched, as listed in the request's durable record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EligibleInstance {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its side process.
    pub incarnation: Incarnation,
}

/// SHA-256 digest of a caller's API key; the key itself is never stored.
#[derive(
    Clone, Copy, Debug, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CredentialDigest(pub [u8; 32]);

/// Model or plain service that a request is addressed to.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A language model, by name.
    #[display("model {_0}")]
    Model(CompactString),
    /// A plain service, by name.
    #[display("service {_0}")]
    Service(CompactString),
}
