//! Writes decisions to the log and counts them in the metrics.

use std::time::Duration;

use log::Level;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::decision::EvacuationSource;
use snipespan_core::gateway::decision::EvacuationStep;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::tables::backend_servers::RateReason;
use snipespan_core::result_code::ResultCode;

use crate::gateway::metrics::GatewayMetrics;

/// Writes a decision as one log line, and counts it in the metrics if its kind has a metric. In log
/// lines -1 stands for a duration that is missing.
pub(super) fn log_decision(decision: &Decision, metrics: &GatewayMetrics) {
    match decision {
        Decision::Rejected { id, target, code, version, store_age } => {
            let store_age_ms = store_age.map_or(-1.0, ms);
            metrics.count(code.row().name);
            log::info!(
                request = id.as_str(), target = target.as_str(), code:% = code,
                configuration = version.0, store_age_ms; "rejected"
            );
        }
        Decision::BodyRefused { id, refusal, bytes, waited } => {
            metrics.count(ResultCode::Overloaded.row().name);
            log::info!(
                request = id.as_str(), code:% = ResultCode::Overloaded, reason:% = refusal, bytes,
                waited_ms = ms(*waited); "rejected: no memory for the body"
            );
        }
        Decision::AnswerUnread { id, waited } => log::info!(
            request = id.as_str(), waited_ms = ms(*waited);
            "answer cut off: its client does not read"
        ),
        Decision::Placed {
            id,
            route,
            backend_server,
            send,
            prompt_tokens,
            remaining,
            is_late,
            expected_first_event_ms,
            open_work,
            slowdown,
            left_data_centre,
            candidates,
            version,
        } => log::info!(
            request = id.as_str(), route = route.as_str(),
            backend_server = backend_server.as_str(), send, prompt_tokens,
            remaining_ms = ms(*remaining), is_late,
            expected_first_ms = expected_first_event_ms, open_work, pace = slowdown, candidates,
            left_data_centre:% = left_data_centre.map_or("no".into(), |reason| reason.to_string()),
            configuration = version.0; "placed"
        ),
        Decision::Held { id, code, pause } => {
            log::info!(request = id.as_str(), code:% = code, pause_ms = ms(*pause); "held");
        }
        Decision::Unservable { id, service, obstacle, counts, change_in } => log::info!(
            request = id.as_str(), service = service.as_str(), reason:% = obstacle,
            backend_servers:% = counts, change_in_ms = change_in.map_or(-1.0, ms); "unservable"
        ),
        Decision::Deferred { id, overload, pause } => log::info!(
            request = id.as_str(), backlog_ms = overload.backlog_ms, limit_ms = overload.limit_ms,
            pause_ms = ms(*pause); "deferred"
        ),
        Decision::GivenUp { id, overload, waited } => {
            metrics.count("given_up_under_overload");
            log::info!(
                request = id.as_str(), backlog_ms = overload.backlog_ms,
                limit_ms = overload.limit_ms, waited_ms = ms(*waited); "given up under overload"
            );
        }
        Decision::RatedOnly { id, reason, wait, is_refused } => log::info!(
            request = id.as_str(), wait_ms = ms(*wait), is_refused;
            "only {reason} backend servers left"
        ),
        Decision::NotRun { id, backend_server, reason, after } => {
            metrics.count("attempt_not_run");
            log::info!(
                request = id.as_str(), backend_server = backend_server.as_str(),
                reason:? = reason, after_ms = ms(*after); "attempt not run"
            );
        }
        Decision::Failed {
            id,
            backend_server,
            reason,
            stage,
            instance_hash,
            evidence,
            after,
            failures,
        } => {
            metrics.count("attempt_failed");
            let (has_begun, event_reads, first_event_ms) = match stage {
                AnswerStage::Awaited => (false, 0, -1.0),
                AnswerStage::Begun => (true, 0, -1.0),
                AnswerStage::Events { reads, since_first } => (true, *reads, ms(*since_first)),
            };
            log::info!(
                request = id.as_str(), backend_server = backend_server.as_str(),
                reason:? = reason, has_begun, event_reads, first_event_ms, after_ms = ms(*after),
                instance = format!("{instance_hash:x}"), evidence:%, failures; "attempt failed"
            );
        }
        Decision::PartBlocked { id, part, crashes, wait } => log::info!(
            request = id.as_str(), part = format!("{part:x}"), crashes, wait_ms = ms(*wait);
            "prompt part blocked"
        ),
        Decision::Stalled { id, backend_server, silence, limit, remaining, has_begun } => {
            log::info!(
                request = id.as_str(), backend_server = backend_server.as_str(),
                silence_ms = ms(*silence), limit_ms = ms(*limit), remaining_ms = ms(*remaining),
                has_begun; "attempt stalled"
            );
        }
        Decision::KeptSilent { id, backend_server, silence, obstacle } => log::info!(
            request = id.as_str(), backend_server = backend_server.as_str(),
            silence_ms = ms(*silence), obstacle:%; "silent attempt kept"
        ),
        Decision::NotRetried { id, obstacle, remaining, has_begun } => log::info!(
            request = id.as_str(), obstacle:%, remaining_ms = ms(*remaining), has_begun;
            "not retried"
        ),
        Decision::Ended {
            id,
            route,
            account,
            code,
            after,
            first_byte,
            longest_gap,
            sends,
            runs,
        } => {
            metrics.observe_duration(code.row().name, after.as_secs_f64());
            log::info!(
                request = id.as_str(), route = route.as_str(), account = account.as_str(),
                code:% = code, after_ms = ms(*after), first_byte_ms = first_byte.map_or(-1.0, ms),
                longest_gap_ms = ms(*longest_gap), sends, runs; "ended"
            );
        }
        view => log_view_change(view),
    }
}

/// Writes a change in the gateway's view of the system as one log line.
fn log_view_change(decision: &Decision) {
    match decision {
        Decision::ServingChanged { from, to, is_from_store } => log::info!(
            from = from.0, to = to.0, is_from_store; "configuration in force"
        ),
        Decision::ServingIgnored { current, seen } => log::warn!(
            current = current.0, seen = seen.0; "older configuration ignored"
        ),
        Decision::BackendServerChanged { backend_server, service, availability, cause } => {
            log::info!(
                backend_server = backend_server.as_str(), service = service.as_str(),
                standing = availability, cause; "backend server changed"
            )
        }
        Decision::ListingIgnored { backend_server, data_centre } => log::warn!(
            backend_server = backend_server.as_str(), data_centre = data_centre.as_str();
            "listing ignored: the table of data centres is full"
        ),
        Decision::EvacuationChanged { data_centre, step, source, version, backend_servers } => {
            log_evacuation(data_centre, (*step, *source), version.0, *backend_servers);
        }
        Decision::RegionChanged { data_centre, region } => log::info!(
            data_centre = data_centre.as_str(), region = region.as_deref().unwrap_or_default();
            "region of a data centre changed"
        ),
        Decision::SuspensionChanged { backend_server, suspended_for, failures } => {
            let message = match suspended_for {
                Some(_) => "backend server suspended",
                None => "backend server usable again",
            };
            log::info!(
                backend_server = backend_server.as_str(),
                suspended_ms = suspended_for.map_or(0.0, ms), failures; "{message}"
            );
        }
        Decision::RequestsUnwanted { backend_server, service, unwanted_for } => {
            let message = match unwanted_for {
                Some(_) => "backend server wants no requests",
                None => "backend server takes requests again",
            };
            log::info!(
                backend_server = backend_server.as_str(), service = service.as_str(),
                unwanted_ms = unwanted_for.map_or(0.0, ms); "{message}"
            );
        }
        Decision::RateShareChanged {
            backend_server,
            service,
            reason,
            rate,
            ends_in,
            apportionment,
            allowance,
            view,
        } => {
            let message = match reason {
                RateReason::Cold => "backend server cold",
                RateReason::Named => "backend server names a limit",
            };
            log::info!(
                backend_server = backend_server.as_str(), service = service.as_str(),
                rate_per_s = rate, ends_in_ms = ms(*ends_in), apportionment:%,
                uses = allowance.uses, window_ms = ms(allowance.window), heard = view.heard,
                known = view.known; "{message}"
            );
        }
        Decision::RateEnded { backend_server, service, reason } => {
            let message = match reason {
                RateReason::Cold => "backend server no longer cold",
                RateReason::Named => "backend server names no limit any more",
            };
            log::info!(
                backend_server = backend_server.as_str(), service = service.as_str(); "{message}"
            );
        }
        Decision::StoreChanged { is_reachable, lasted } => {
            let message = if *is_reachable { "store regained" } else { "store lost" };
            log::info!(lasted_ms = ms(*lasted); "{message}");
        }
        Decision::PeerChanged { peer, is_alive, work } => {
            let message = if *is_alive { "peer regained" } else { "peer lost" };
            log::info!(peer = peer.as_str(), work; "{message}");
        }
        Decision::SpanChanged { id, step, engines } => {
            log::info!(request = id.as_str(), step, engines; "span");
        }
        Decision::CrashCounted { id, parts, evicted } => {
            log::info!(request = id.as_str(), parts, evicted; "crash counted against prompt parts");
        }
        Decision::SuspicionChanged { part, step, crashes } => {
            log::info!(part = format!("{part:x}"), step:% = step, crashes; "prompt part suspected");
        }
        Decision::SettingsReloaded { is_changed } => log::info!(is_changed; "settings reloaded"),
        Decision::PauseNoticed { delay } => {
            log::warn!(delay_ms = ms(*delay); "the process was paused");
        }
        Decision::LeavingChanged { data_centre, service, is_leaving, gain, cost, rate_per_s } => {
            let message = match is_leaving {
                true => "requests leave for another data centre",
                false => "requests no longer leave for another data centre",
            };
            log::info!(
                data_centre = data_centre.as_str(), service = service.as_str(), gain, cost,
                rate_per_s; "{message}"
            );
        }
        Decision::RelayingChanged { data_centre, is_relayed, are_lost } => log::info!(
            data_centre = data_centre.as_str(), is_relayed, are_lost;
            "relaying of messages to a data centre changed"
        ),
        Decision::StopBegan { open } => log::info!(open; "planned stop began"),
        // `log_decision` writes these.
        Decision::Rejected { .. }
        | Decision::BodyRefused { .. }
        | Decision::AnswerUnread { .. }
        | Decision::Placed { .. }
        | Decision::Held { .. }
        | Decision::Unservable { .. }
        | Decision::RatedOnly { .. }
        | Decision::Deferred { .. }
        | Decision::GivenUp { .. }
        | Decision::NotRun { .. }
        | Decision::Failed { .. }
        | Decision::PartBlocked { .. }
        | Decision::Stalled { .. }
        | Decision::KeptSilent { .. }
        | Decision::NotRetried { .. }
        | Decision::Ended { .. } => {}
    }
}

fn log_evacuation(
    data_centre: &str,
    (step, source): (EvacuationStep, EvacuationSource),
    version: u64,
    backend_servers: usize,
) {
    let level = match step {
        EvacuationStep::Began | EvacuationStep::Ended | EvacuationStep::Listed => Level::Info,
        EvacuationStep::Unknown | EvacuationStep::TableFull => Level::Warn,
    };
    log::log!(
        level, data_centre, step:% = step, source:% = source, version, backend_servers;
        "evacuation of a data centre"
    );
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
