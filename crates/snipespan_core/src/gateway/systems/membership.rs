//! Keeps the table of backend servers in line with the store's listings.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::event::Listing;
use crate::gateway::event::ListingChange;
use crate::gateway::event::ListingsUpdate;
use crate::gateway::event::StoreVersion;
use crate::gateway::message::PeerUpdate;
use crate::gateway::systems::feeds;
use crate::gateway::tables::backend_servers::Availability;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::backend_servers::ServerRate;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Time after the store is regained within which live backend servers are listed again; the two
/// seconds that the platform states, with a margin for the feed.
const RELIST_TIMEOUT: Duration = Duration::from_millis(2200);

/// Applies listings; returns when the next lapsed one expires.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    for event in events {
        match event {
            Event::ListingsRead { version, listings } => {
                read_listings(world, now, *version, listings, effects);
            }
            Event::ListingsChanged(update) => receive_update(world, now, update, effects),
            Event::PeerMessageReceived { message, .. } => {
                if let PeerUpdate::Listings(update) = &message.update
                    && feeds::record_relayed(world, update)
                {
                    apply_update(world, now, update, effects);
                }
            }
            _ => {}
        }
    }
    let due = expire_lapsed(world, now, effects);
    sweep_gone(world);
    due
}

/// Applies the complete list, unless relayed changes are newer.
fn read_listings(
    world: &mut World,
    now: Timestamp,
    version: StoreVersion,
    listings: &[Listing],
    effects: &mut Vec<Effect>,
) {
    if feeds::record_read(world, now, version) {
        apply_listings(world, now, listings, effects);
    }
}

/// Applies changes from the store's feed, unless relayed ones are newer.
fn receive_update(
    world: &mut World,
    now: Timestamp,
    update: &ListingsUpdate,
    effects: &mut Vec<Effect>,
) {
    if feeds::record_feed_answer(world, now, update) {
        apply_update(world, now, update, effects);
    }
}

fn apply_update(
    world: &mut World,
    now: Timestamp,
    update: &ListingsUpdate,
    effects: &mut Vec<Effect>,
) {
    for change in &update.changes {
        match change {
            ListingChange::Listed(listing) => apply_listing(world, now, listing, effects),
            ListingChange::Removed { id } => {
                if let Some(key) = world.backend_servers.find(id) {
                    lapse_or_remove(world, now, key, effects);
                }
            }
        }
    }
}

fn apply_listings(
    world: &mut World,
    now: Timestamp,
    listings: &[Listing],
    effects: &mut Vec<Effect>,
) {
    world.store.has_listings = true;
    for listing in listings {
        apply_listing(world, now, listing, effects);
    }
    let rows = world.backend_servers.rows.iter();
    let is_listed = |row: &BackendServer| listings.iter().any(|l| l.id == row.listing.id);
    let missing: Vec<_> = rows.filter(|(_, row)| !is_listed(row)).map(|(key, _)| key).collect();
    for key in missing {
        lapse_or_remove(world, now, key, effects);
    }
}

fn apply_listing(world: &mut World, now: Timestamp, listing: &Listing, effects: &mut Vec<Effect>) {
    let availability = match listing.is_draining {
        true => Availability::Draining,
        false => Availability::Ready,
    };
    let Ok(data_centre) = world.data_centres.find_or_insert(&listing.data_centre) else {
        let (backend_server, data_centre) = (listing.id.clone(), listing.data_centre.clone());
        let decision = Decision::ListingIgnored { backend_server, data_centre };
        effects.push(Effect::LogDecision(Box::new(decision)));
        return;
    };
    let Some(key) = world.backend_servers.find(&listing.id) else {
        let row = BackendServer::new(listing.clone(), data_centre, availability, now);
        if world.backend_servers.rows.is_full() {
            log_change(&row, "left out: the table is full", effects);
        } else if let Some(key) = world.backend_servers.insert(row) {
            log_standing(world, key, "listed", effects);
        }
        return;
    };
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    if row.listing == *listing && row.availability == availability {
        return;
    }
    row.record_listed_cold_time(now, listing);
    // The cold time changes with each beat of a cold backend server; `RateShareChanged` is logged
    // for what follows from it.
    let is_logged = !row.listing.is_same_but_cold_time(listing) || row.availability != availability;
    let is_new_incarnation = row.listing.started_unix_ms != listing.started_unix_ms;
    if is_new_incarnation {
        // A new incarnation under the same id starts without the work of the earlier one, and the
        // failures of that one no longer count.
        row.record_success();
    }
    row.availability = availability;
    world.backend_servers.replace_listing(key, listing.clone(), data_centre);
    let cause = if is_new_incarnation { "new incarnation" } else { "listing changed" };
    if is_logged {
        log_standing(world, key, cause, effects);
    }
}

/// Handles a listing that is no longer in the store: the backend server left, or its listing lapsed
/// while the store was unreachable.
fn lapse_or_remove(
    world: &mut World,
    now: Timestamp,
    key: BackendServerKey,
    effects: &mut Vec<Effect>,
) {
    let until = feeds::store_returned(world, now).after(RELIST_TIMEOUT);
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    // A backend server that was draining has left.
    if now < until && row.accepts_work() {
        row.availability = Availability::Lapsed { until };
        log_change(row, "listing lapsed with the store", effects);
        return;
    }
    mark_gone(world, key, "listing removed", effects);
}

fn expire_lapsed(
    world: &mut World,
    now: Timestamp,
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let mut next: Option<Timestamp> = None;
    let mut expired = Vec::new();
    for (key, row) in world.backend_servers.rows.iter() {
        let Availability::Lapsed { until } = row.availability else { continue };
        match until <= now {
            true => expired.push(key),
            false => next = Some(until.or_sooner(next)),
        }
    }
    for key in expired {
        mark_gone(world, key, "not listed again", effects);
    }
    next
}

/// Marks a backend server as gone; its row stays until its last work has ended.
fn mark_gone(
    world: &mut World,
    key: BackendServerKey,
    cause: &'static str,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    if row.availability == Availability::Gone {
        return;
    }
    row.availability = Availability::Gone;
    log_change(row, cause, effects);
}

/// Removes the rows of gone backend servers without open work.
fn sweep_gone(world: &mut World) {
    let rows = world.backend_servers.rows.iter();
    let is_removable =
        |row: &BackendServer| row.availability == Availability::Gone && row.work.is_empty();
    let removable: Vec<_> = rows.filter(|(_, row)| is_removable(row)).map(|(key, _)| key).collect();
    for key in removable {
        let Some(row) = world.backend_servers.remove(key) else { continue };
        for rate in [row.cold_rate, row.named_rate] {
            if let ServerRate::Limited(rate) = rate {
                world.shared_rates.rows.remove(rate);
            }
        }
    }
}

/// Logs the standing of a backend server after a change.
pub fn log_standing(
    world: &World,
    key: BackendServerKey,
    cause: &'static str,
    effects: &mut Vec<Effect>,
) {
    if let Some(row) = world.backend_servers.rows.get(key) {
        log_change(row, cause, effects);
    }
}

fn log_change(row: &BackendServer, cause: &'static str, effects: &mut Vec<Effect>) {
    let availability = match row.availability {
        Availability::Ready | Availability::Lapsed { .. } if row.announced.is_leaving => "leaving",
        Availability::Ready => "ready",
        Availability::Draining => "draining",
        Availability::Lapsed { .. } => "lapsed",
        Availability::Gone => "gone",
    };
    effects.push(Effect::LogDecision(Box::new(Decision::BackendServerChanged {
        backend_server: row.listing.id.clone(),
        service: row.listing.service.clone(),
        availability,
        cause,
    })));
}
