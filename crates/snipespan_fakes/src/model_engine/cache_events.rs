//! Events of the prefix cache, which are published after a delay and may have gaps.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::extract::Query;
use axum::extract::State;
use serde::Deserialize;
use serde::Serialize;

use crate::model_engine::Shared;
use crate::sync::lock;

/// Maximum number of events that are kept; the oldest are dropped.
const MAX_EVENTS: usize = 65_536;

/// Kind of a change: a block was stored in the prefix cache or removed from it.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum CacheEventKind {
    Stored,
    Removed,
}

/// A change of a block in the prefix cache, as it is published. Numbers start at 0; `block` is the
/// digest of the block.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CacheEvent {
    number: u64,
    kind: CacheEventKind,
    block: u64,
}

/// Query of a reader: the number of the first event that it wants.
#[derive(Debug, Deserialize)]
pub(super) struct CacheEventsQuery {
    since: u64,
}

/// The latest events, with the times at which they happened.
#[derive(Debug, Default)]
pub(super) struct CacheEvents {
    events: VecDeque<(Instant, CacheEvent)>,
    next_number: u64,
}

impl CacheEvents {
    pub(super) fn record(&mut self, kind: CacheEventKind, block: u64, now: Instant) {
        self.events.push_back((now, CacheEvent { number: self.next_number, kind, block }));
        self.next_number += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from number `since` on that are at least `lag` old, without those whose
    /// number is a multiple of `drop_divisor`.
    pub(super) fn published_since(
        &self,
        since: u64,
        now: Instant,
        lag: Duration,
        drop_divisor: Option<u64>,
    ) -> Vec<CacheEvent> {
        let is_dropped =
            |number: u64| drop_divisor.is_some_and(|divisor| number.is_multiple_of(divisor));
        let old = self.events.iter().filter(|(at, _)| now.duration_since(*at) >= lag);
        let events = old.map(|(_, event)| *event).filter(|event| event.number >= since);
        events.filter(|event| !is_dropped(event.number)).collect()
    }
}

/// Returns the published events as a JSON array.
pub(super) async fn read_cache_events(
    State(shared): State<Arc<Shared>>,
    Query(CacheEventsQuery { since }): Query<CacheEventsQuery>,
) -> Json<Vec<CacheEvent>> {
    let lag = shared.config.report_lag;
    let drop_divisor = lock(&shared.faults).cache_event_drop_divisor;
    Json(lock(&shared.batch).cache_events().published_since(
        since,
        Instant::now(),
        lag,
        drop_divisor,
    ))
}
