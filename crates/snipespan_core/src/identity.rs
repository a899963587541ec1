//! Names that outlive a process or travel between processes.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// A request, unique over all entries and all time.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// The ordinal of a try within its request, from 1.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptNumber(pub u32);

/// One life of a side process; a restarted side has another.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// The platform's name of a VM.
#[derive(
    Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct VmId(pub CompactString);

/// The name of a data centre.
#[derive(Clone, Debug, Display, From, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DataCentre(pub CompactString);

/// A life of a side process to which the creator of a durable record may dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EligibleInstance {
    /// The VM.
    pub vm: VmId,
    /// The life of its side process.
    pub incarnation: Incarnation,
}

/// SHA-256 of a caller's API key; the key itself is never stored.
#[derive(
    Clone, Copy, Debug, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CredentialDigest(pub [u8; 32]);

/// What a request is for.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A language model, by name.
    #[display("model {_0}")]
    Model(CompactString),
    /// A plain service, by name.
    #[display("service {_0}")]
    Service(CompactString),
}
