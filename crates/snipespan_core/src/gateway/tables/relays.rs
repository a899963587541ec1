//! Gateways of other data centres that relay this gateway's messages there.

use slotmap::SecondaryMap;

use crate::keys::DataCentreKey;
use crate::keys::PeerKey;
use crate::time::Timestamp;

/// How messages reach the gateways of another data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayChoice {
    /// The relays; `None` while messages go to each gateway directly.
    pub relays: Option<[PeerKey; 2]>,
    /// Time until which messages go directly because both relays fell silent.
    pub direct_until: Timestamp,
}

/// The choices by data centre; at most as many as there are data centres in their table.
pub type RelayChoices = SecondaryMap<DataCentreKey, RelayChoice>;
