//! Description of an attempt that an entry sends to a side process.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Priority;
use crate::cost::Cost;
use crate::identity::AttemptNumber;
use crate::identity::Incarnation;
use crate::identity::RequestId;
use crate::identity::Target;

/// An attempt of a request, with everything that the side process needs to schedule it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptSpec {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// Number of the attempt within its request, starting at 1.
    pub number: AttemptNumber,
    /// Incarnation of the side process that the entry chose; any other refuses the attempt.
    pub incarnation: Incarnation,
    /// Model or plain service that the request is addressed to.
    pub target: Target,
    /// Name of the client account.
    pub account: CompactString,
    /// Weight of the account in fair queueing.
    pub weight: u32,
    /// Priority of the request; a lower number is served first.
    pub priority: Priority,
    /// Estimated cost in tokens.
    pub cost: Cost,
    /// Time until the deadline of the request, measured when the attempt is sent.
    pub remaining: Duration,
    /// Whether it is safe to run the request more than once.
    pub is_repeatable: bool,
}
