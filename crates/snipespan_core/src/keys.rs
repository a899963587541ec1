//! Generation-checked keys into the tables; a key of a removed row finds nothing.

use slotmap::new_key_type;

new_key_type! {
    /// An account in an entry's account table.
    pub struct AccountKey;
    /// One try of a request at one backend server, in an entry's attempt table.
    pub struct AttemptKey;
    /// A backend server as an entry sees it.
    pub struct BackendServerKey;
    /// A caller's open connection, held by the traffic side of an entry.
    pub struct CallerKey;
    /// An entry's connection to a side process.
    pub struct ConnectionKey;
    /// Another gateway, in a gateway's table of peers.
    pub struct PeerKey;
    /// A request in an entry's request table.
    pub struct RequestKey;
    /// An account's fair share in a side process.
    pub struct ShareKey;
    /// A stream of work at a backend server, in a side's stream table.
    pub struct StreamKey;
    /// Open work at a backend server, in a gateway's table of work.
    pub struct WorkKey;
    /// A traffic task of a side process that waits for a decision.
    pub struct TicketKey;
}
