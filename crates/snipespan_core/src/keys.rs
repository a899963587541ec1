//! Generation-checked keys into the tables; the key of a removed row no longer matches any row.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a client account in an entry's account table.
    pub struct AccountKey;
    /// Key of a request that waits for a gateway's configuration.
    pub struct ArrivalKey;
    /// Key of an attempt at one backend server in an entry's attempt table.
    pub struct AttemptKey;
    /// Key of a backend server in the table of an entry or a gateway.
    pub struct BackendServerKey;
    /// Key of a request body that waits for memory in a gateway.
    pub struct BodyKey;
    /// Key of the traffic task of one caller's request in an entry or a gateway.
    pub struct CallerKey;
    /// Key of an entry's connection to a side process.
    pub struct ConnectionKey;
    /// Key of a data centre in the table of data centres of an entry or a gateway.
    pub struct DataCentreKey;
    /// Key of an evacuated data centre in a gateway's table of evacuations.
    pub struct EvacuationKey;
    /// Key of another gateway in a gateway's peer table.
    pub struct PeerKey;
    /// Key of a gateway's share of what another data centre offers.
    pub struct RemoteShareKey;
    /// Key of a request in the request table of an entry or a gateway.
    pub struct RequestKey;
    /// Key of a client account's fair share in a side process.
    pub struct ShareKey;
    /// Key of a rate that gateways share in a gateway's table of shared rates.
    pub struct SharedRateKey;
    /// Key of a stream in a side process's stream table.
    pub struct StreamKey;
    /// Key of open work at a backend server in a gateway's work table.
    pub struct WorkKey;
    /// Key of a suspected part of prompts in a gateway's table of suspects.
    pub struct SuspectKey;
    /// Key of a traffic task in a side process, which serves one attempt (from its offer to its
    /// end) or one fence request.
    pub struct TicketKey;
}
