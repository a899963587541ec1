//! Applies the limits that backend servers name in their answers, and tells the other gateways.
//!
//! Load pattern: an overloaded backend server names the requests per second that it takes from all
//! gateways together, often fewer than there are gateways. Each gateway learns it from an answer of
//! its own, and most have none soon: without a message they would keep sending what the first one no
//! longer does. `shared_rates.rs` apportions the limit.

use std::time::Duration;

use crate::gateway::event::Event;
use crate::gateway::event::RequestRate;
use crate::gateway::message::LimitReport;
use crate::gateway::message::PeerUpdate;
use crate::gateway::systems::shared_rates::LIMIT_WINDOW;
use crate::gateway::systems::shared_rates::RateLimit;
use crate::gateway::tables::backend_servers::Announced;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::backend_servers::RateReason;
use crate::gateway::tables::named_limits::OwnReport;
use crate::gateway::tables::shared_rates::RateTarget;
use crate::gateway::tables::work::Work;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Bound on the requests to a backend server in a window, relative to what its limit allows in it; this
/// and the slack are those of the users' rules.
const BOUND_EXCESS: f64 = 1.5;

/// Requests in a window beyond that.
const BOUND_SLACK: f64 = 5.0;

/// Requests of each gateway in a window that gets a part of a limit; with smaller parts, as many
/// gateways as possible can serve a service whose backend servers all name limits.
const PART: f64 = 1.0;

/// Minimum rate at which a backend server gets requests, also if it names 0: only an answer tells that
/// the limit has gone.
const MIN_RATE: f64 = 0.05;

/// Time after which a limit that no gateway has heard of again no longer holds; longer than the
/// interval between requests at [`MIN_RATE`].
const UNCONFIRMED_TIME: Duration = Duration::from_secs(30);

/// Time for which what this gateway heard itself is repeated to the others, with each snapshot.
const REPEAT_TIME: Duration = Duration::from_secs(10);

/// Minimum time between reports of changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Applies what answers and peers say of limits.
pub fn run(world: &mut World, now: Timestamp, events: &[Event]) {
    for event in events {
        match event {
            Event::BackendServerAnnounced { instance_hash, announcement }
                if announcement.limit.is_some() =>
            {
                record_own(world, now, *instance_hash, announcement.limit);
            }
            Event::PeerMessageReceived { message, .. } => {
                let PeerUpdate::Limits(reports) = &message.update else { continue };
                for report in reports {
                    let heard = now.before(Duration::from_millis(u64::from(report.age_ms)));
                    record(world, heard, report.instance_hash, report.limit);
                }
            }
            _ => {}
        }
    }
    expire(world, now);
}

/// Records the start of an answer of a backend server: if it named no limit since the request was
/// dispatched, it names none any more.
pub fn record_answer(world: &mut World, now: Timestamp, work: &Work) {
    let Some(row) = world.backend_servers.rows.get(work.backend_server) else { return };
    if row.announced.limit.is_some() && row.announced.limit_heard < work.dispatched {
        let instance_hash = row.listing.instance_hash;
        record_own(world, now, instance_hash, None);
    }
}

/// Records what an answer to this gateway said.
fn record_own(world: &mut World, now: Timestamp, instance_hash: u64, limit: Option<RequestRate>) {
    world.named_limits.record(instance_hash, now, limit);
    record(world, now, instance_hash, limit);
}

/// Records what an answer said that arrived at `heard`, at any gateway, unless a later one is known.
fn record(world: &mut World, heard: Timestamp, instance_hash: u64, limit: Option<RequestRate>) {
    let known = world.backend_servers.announced(instance_hash);
    if heard < known.limit_heard {
        return;
    }
    let announced = Announced { limit, limit_heard: heard, ..known };
    world.backend_servers.set_announced(instance_hash, announced);
}

/// Ends limits that no gateway has heard of for a long time.
fn expire(world: &mut World, now: Timestamp) {
    let rated = world.shared_rates.rows.iter().filter_map(|(_, rate)| match rate.target {
        RateTarget::Server(key, RateReason::Named) => world.backend_servers.rows.get(key),
        RateTarget::Server(_, RateReason::Cold) | RateTarget::Retries(_) => None,
    });
    let is_over = |row: &&BackendServer| limit_until(row).is_some_and(|until| until <= now);
    let over: Vec<_> = rated.filter(is_over).map(|row| row.listing.instance_hash).collect();
    for instance_hash in over {
        record(world, now, instance_hash, None);
    }
}

/// Returns when a limit no longer holds if nobody hears of it again; `None` without a limit.
pub fn limit_until(row: &BackendServer) -> Option<Timestamp> {
    row.announced.limit.map(|_| row.announced.limit_heard.after(UNCONFIRMED_TIME))
}

/// Returns the limit of a backend server in a window; `None` if it names none.
pub fn limit_of(row: &BackendServer) -> Option<RateLimit> {
    let per_second = row.announced.limit?.per_second().max(MIN_RATE);
    let rate = per_second * LIMIT_WINDOW.as_secs_f64();
    let bound = rate * BOUND_EXCESS + BOUND_SLACK;
    Some(RateLimit { rate, bound, part: PART })
}

/// Returns the time in which a limit allows one request of all gateways.
pub fn interval_of(row: &BackendServer) -> Duration {
    let per_second = row.announced.limit.map_or(MIN_RATE, RequestRate::per_second);
    Duration::from_secs_f64(1.0 / per_second.max(MIN_RATE))
}

/// Returns the reports that are due at `now`: changes, and all with each snapshot.
pub fn take_reports(world: &mut World, now: Timestamp, with_snapshot: bool) -> Vec<LimitReport> {
    let limits = &mut world.named_limits;
    if !with_snapshot && now < limits.report_due {
        return Vec::new();
    }
    if with_snapshot {
        limits.remove_older(now.before(REPEAT_TIME));
    }
    let due = limits.take(with_snapshot);
    if !due.is_empty() {
        limits.report_due = now.after(REPORT_INTERVAL);
    }
    let report = |(instance_hash, report): (u64, OwnReport)| LimitReport {
        instance_hash,
        limit: report.limit,
        age_ms: now.since(report.heard).as_millis().min(u128::from(u32::MAX)) as u32,
    };
    due.into_iter().map(report).collect()
}

/// Returns when a change is reported next; `None` if there is none.
pub fn next_report(world: &World) -> Option<Timestamp> {
    world.named_limits.has_new().then_some(world.named_limits.report_due)
}
