//! Probes the backend server for its state, and detects when it no longer answers.

use std::sync::Arc;
use std::time::Duration;

use snipespan_backend::error::BackendError;
use snipespan_backend::model_engine;
use snipespan_core::side::event::BackendReport;
use snipespan_core::side::event::Event;
use snipespan_core::time::Timestamp;

use crate::side::Backend;
use crate::side::SideContext;
use crate::side::shell::Input;

/// Probes the backend server once per `interval`; reports it as silent when no probe has succeeded
/// for `silence_limit` or a single probe takes that long.
pub(super) async fn probe_periodically(
    cx: Arc<SideContext>,
    interval: Duration,
    silence_limit: Duration,
) {
    let mut last_answered_at = cx.clock.now();
    let mut is_silent = false;
    let mut ticks = tokio::time::interval(interval);
    loop {
        ticks.tick().await;
        let requested_at = cx.clock.now();
        let answer =
            tokio::time::timeout(silence_limit, request_report(&cx.backend, requested_at)).await;
        let event = match answer {
            Ok(Ok(report)) => {
                last_answered_at = cx.clock.now();
                is_silent = false;
                Event::BackendReported(report)
            }
            Ok(Err(e)) if cx.clock.now().since(last_answered_at) < silence_limit => {
                log::debug!("vm={} the backend server did not report its state: {e}", cx.vm);
                continue;
            }
            Ok(Err(_)) | Err(_) if is_silent => continue,
            Ok(Err(_)) | Err(_) => {
                log::warn!("vm={} the backend server is silent", cx.vm);
                is_silent = true;
                Event::BackendSilent
            }
        };
        if cx.control.send(Input::Event(event)).await.is_err() {
            return;
        }
    }
}

async fn request_report(
    backend: &Backend,
    requested_at: Timestamp,
) -> Result<BackendReport, BackendError> {
    match backend {
        Backend::Engine(engine) => {
            let state = engine.fetch_state().await?;
            let streams = state.streams.iter();
            Ok(BackendReport {
                memory_tokens: state.memory_tokens,
                prefill_tokens_per_s: state.prefill_tokens_per_s,
                held_streams: streams
                    .filter_map(|name| model_engine::parse_stream_id(name))
                    .collect(),
                requested_at,
            })
        }
        Backend::Service(service) => {
            service.probe().await?;
            Ok(BackendReport { requested_at, ..BackendReport::default() })
        }
    }
}
