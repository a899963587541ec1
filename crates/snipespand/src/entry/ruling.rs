//! Asks side processes to rule out that an abandoned request ever runs.

use std::time::Duration;

use futures_util::future::join_all;
use quinn::Connection;
use snipespan_core::identity::RequestId;
use snipespan_protocol::codec;
use snipespan_protocol::codec::CodecError;
use snipespan_protocol::codec::MessageReader;
use snipespan_protocol::opening::FenceReply;
use snipespan_protocol::opening::Opening;

/// Longest wait for all answers.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Whether every side process says that the request never ran there and never will.
pub(super) async fn rule_out(id: RequestId, age: Duration, connections: &[Connection]) -> bool {
    if connections.is_empty() {
        return false;
    }
    let asked = join_all(connections.iter().map(|connection| ask(id, age, connection)));
    match tokio::time::timeout(ANSWER_LIMIT, asked).await {
        Ok(answers) => answers.into_iter().all(|answer| matches!(answer, Ok(true))),
        Err(_) => false,
    }
}

async fn ask(id: RequestId, age: Duration, connection: &Connection) -> Result<bool, CodecError> {
    let (mut send, recv) = connection.open_bi().await.map_err(std::io::Error::from)?;
    codec::write_message(&mut send, &Opening::Fence { id, age }).await?;
    let answer = MessageReader::new(recv).next::<FenceReply>().await?;
    Ok(answer.is_some_and(|answer| answer.never_runs))
}
