//! Open attempts of requests at backend servers.

use crate::identity::AttemptNumber;
use crate::keys::AttemptKey;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::table::Entity;

/// One attempt of a request at one backend server.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// The backend server to which it was sent.
    pub backend_server: BackendServerKey,
    /// Number of the attempt among those of its request, from 1.
    pub number: AttemptNumber,
    /// Prompt tokens that it added to the predicted backlog of the backend server.
    pub queued_tokens: u64,
}

impl Entity for Attempt {
    type Key = AttemptKey;
}
