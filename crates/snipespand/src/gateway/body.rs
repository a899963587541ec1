//! Reads the bodies of clients' requests within the memory of the process.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use snipespan_core::entry::systems::arrivals::BODY_TIME_LIMIT;
use snipespan_core::gateway::tables::memory_budget::BodyRefusal;
use snipespan_core::gateway::tables::memory_budget::MAX_SHORT_BODY;
use snipespan_core::gateway::tables::memory_budget::MemoryBudget;
use snipespan_core::gateway::tables::memory_budget::REQUEST_OVERHEAD;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::headers::RequestFields;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::gateway::GatewayContext;
use crate::gateway::memory::Lease;

/// Divisor of a client's time limit that gives the maximum wait for memory; the client needs the
/// rest for its request, or for a retry elsewhere.
const MEMORY_WAIT_DIVISOR: u32 = 4;

/// Time limit of a client that states none, the longest timeout of the deployments' routes.
pub(super) const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(15);

/// A body and the memory that its request takes besides it.
#[derive(Debug)]
pub(super) struct ReadBody {
    pub(super) bytes: Bytes,
    pub(super) overhead: Lease,
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// There was no memory for it.
    Refused { refusal: BodyRefusal, bytes: u64, waited: Duration },
    /// It did not arrive in time.
    TimedOut,
    /// It is longer than the operator allows.
    TooLong,
    /// Its framing is invalid, or its connection broke.
    Broken,
}

impl BodyError {
    /// Returns the result code of its request, which did not run.
    pub(super) const fn code(self) -> ResultCode {
        match self {
            Self::Refused { .. } => ResultCode::Overloaded,
            Self::TimedOut => ResultCode::ExpiredBeforeDispatch,
            Self::TooLong => ResultCode::RequestTooLarge,
            Self::Broken => ResultCode::InvalidRequest,
        }
    }
}

/// Reads a body once there is memory for it: for all of it if its length is stated, in steps
/// otherwise. While it waits its connection is not read, so that its sender waits as well. Returns
/// what was not read of it, too.
pub(super) async fn read(
    cx: &GatewayContext,
    mut body: Incoming,
    received: Timestamp,
    fields: &RequestFields,
) -> (Result<ReadBody, BodyError>, Incoming) {
    let read = read_within_budget(cx, &mut body, received, fields).await;
    (read, body)
}

async fn read_within_budget(
    cx: &GatewayContext,
    body: &mut Incoming,
    received: Timestamp,
    fields: &RequestFields,
) -> Result<ReadBody, BodyError> {
    let time_limit = fields.time_limit;
    let overhead = REQUEST_OVERHEAD + size_of_val(fields.parts.as_slice()) as u64;
    let limits = *cx.limits.borrow();
    let length = body.size_hint().exact();
    let is_limited = cx.memory.is_limited();
    if length.is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(BodyError::TooLong);
    }
    let end = match is_limited {
        true => BODY_TIME_LIMIT.min(time_limit.unwrap_or(BODY_TIME_LIMIT)),
        false => BODY_TIME_LIMIT,
    };
    let end = Instant::now() + end;
    let capacity = length.unwrap_or(MAX_SHORT_BODY.min(limits.body_bytes as u64));
    let reserved = capacity + overhead;
    let wait = time_limit.unwrap_or(DEFAULT_TIME_LIMIT) / MEMORY_WAIT_DIVISOR;
    let memory_use = MemoryBudget::body_use(length);
    let reserving = cx.memory.reserve_body(received, memory_use, reserved, wait);
    let mut lease = reserving.await.map_err(|refusal| {
        let waited = cx.clock.now().since(received);
        BodyError::Refused { refusal, bytes: capacity, waited }
    })?;
    // Frames are copied out of the connection's read buffers at once. A frame keeps its whole
    // buffer alive, of which a slow sender fills a small part only.
    let mut buf = BytesMut::with_capacity(capacity as usize);
    // A sender that stalls gives its memory back.
    let idle_limit = if is_limited { limits.header_timeout } else { BODY_TIME_LIMIT };
    loop {
        let frame_end = end.min(Instant::now() + idle_limit);
        let frame = timeout_at(frame_end, body.frame()).await.map_err(|_| BodyError::TimedOut)?;
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        let needed = buf.len() + data.len();
        if needed > limits.body_bytes {
            return Err(BodyError::TooLong);
        }
        if needed > buf.capacity() {
            let grown = (buf.capacity() * 2).max(needed).min(limits.body_bytes);
            if lease.resize(grown as u64 + overhead).is_err() {
                let refusal = BodyRefusal::CannotGrow;
                let waited = cx.clock.now().since(received);
                return Err(BodyError::Refused { refusal, bytes: grown as u64, waited });
            }
            buf.reserve(grown - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    Ok(ReadBody { bytes: lease.attach(buf.freeze()), overhead: lease })
}

/// Reads the rest of a refused body and discards it, for `limit` at most: a client whose connection
/// is closed while it sends would not see the refusal.
pub(super) async fn discard(mut body: Incoming, limit: Duration) {
    let discarding = async { while let Some(Ok(_)) = body.frame().await {} };
    // A body that takes longer is cut off with its connection.
    let _ = timeout(limit, discarding).await;
}
