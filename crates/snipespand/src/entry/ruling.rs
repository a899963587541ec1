//! Asks side processes to fence an abandoned request (see [`Opening::Fence`]), so that it never
//! runs from then on.

use std::time::Duration;

use futures_util::future::join_all;
use quinn::Connection;
use snipespan_core::identity::RequestId;
use snipespan_protocol::codec;
use snipespan_protocol::codec::CodecError;
use snipespan_protocol::codec::MessageReader;
use snipespan_protocol::opening::FenceReply;
use snipespan_protocol::opening::Opening;

/// Maximum wait for the replies of all side processes.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Fences a request at all side processes; returns whether each one replied in time that the
/// request never ran there and never will. Without any connection the result is false.
///
/// `age` is the time since the record of the request was created.
pub(super) async fn fence_request(
    id: RequestId,
    age: Duration,
    connections: &[Connection],
) -> bool {
    if connections.is_empty() {
        return false;
    }
    let replies = join_all(connections.iter().map(|connection| request_fence(id, age, connection)));
    match tokio::time::timeout(FENCE_TIMEOUT, replies).await {
        Ok(replies) => replies.into_iter().all(|reply| matches!(reply, Ok(true))),
        Err(_) => false,
    }
}

async fn request_fence(
    id: RequestId,
    age: Duration,
    connection: &Connection,
) -> Result<bool, CodecError> {
    let (mut send, recv) = connection.open_bi().await.map_err(std::io::Error::from)?;
    codec::write_message(&mut send, &Opening::Fence { id, age }).await?;
    let reply = MessageReader::new(recv).next::<FenceReply>().await?;
    Ok(reply.is_some_and(|reply| reply.never_runs))
}
