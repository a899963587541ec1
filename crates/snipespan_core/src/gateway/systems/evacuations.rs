//! Applies the operator's evacuations of data centres, from the store and from peers.
//!
//! Load pattern: a data centre with a third of all backend servers is evacuated at a peak, while
//! most gateways rely on a few that follow the store's feeds. A message that is lost or late must
//! neither keep an evacuation from a gateway nor bring an ended one back.

use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::decision::Decision;
use crate::gateway::decision::EvacuationSource;
use crate::gateway::decision::EvacuationStep;
use crate::gateway::effect::Effect;
use crate::gateway::event::EvacuationChange;
use crate::gateway::event::EvacuationSet;
use crate::gateway::event::Event;
use crate::gateway::event::StoreVersion;
use crate::gateway::message::PeerUpdate;
use crate::gateway::systems::attempts;
use crate::gateway::systems::feeds;
use crate::gateway::tables::evacuations::Evacuation;
use crate::gateway::tables::evacuations::EvacuationStanding;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Interval at which the set is sent again. Ten messages fall into the shortest time in which a
/// deployment requires an evacuation to be in force, which is five seconds.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time after a change for which an empty set is sent again, so that the end of an evacuation also
/// reaches gateways that were frozen or cut off for some seconds.
const REPEAT_AFTER_CHANGE: Duration = Duration::from_secs(10);

/// Maximum time since the last change, or since a peer reported the same evacuations, for which a gateway that does not call
/// the feed relies on them; several repetitions must be lost before it calls the feed itself.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(1500);

/// Applies changes of the evacuations. Work that was sent runs on; work that was not sent yet is
/// withdrawn.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    let mut is_changed = false;
    for event in events {
        match event {
            Event::EvacuationsRead(set) => {
                let source = EvacuationSource::Read;
                let is_own_change = replace_set(world, now, set, source, effects);
                world.evacuations.is_unsent |= is_own_change;
                is_changed |= is_own_change;
            }
            Event::EvacuationsChanged { version, changes } => {
                let is_own_change = apply_changes(world, now, *version, changes, effects);
                world.evacuations.is_unsent |= is_own_change;
                is_changed |= is_own_change;
            }
            Event::PeerMessageReceived { message, .. } => {
                if let PeerUpdate::Evacuations(set) = &message.update {
                    is_changed |= receive_report(world, now, set, effects);
                }
            }
            _ => {}
        }
    }
    if is_changed || !world.evacuations.rows.is_empty() {
        mark_data_centres(world);
        log_standings(world, effects);
    }
    if is_changed {
        attempts::withdraw_barred(world, effects);
    }
}

/// Replaces the set by a newer one; returns whether an evacuation began or ended.
fn replace_set(
    world: &mut World,
    now: Timestamp,
    set: &EvacuationSet,
    source: EvacuationSource,
    effects: &mut Vec<Effect>,
) -> bool {
    if set.version <= world.evacuations.version {
        return false;
    }
    world.evacuations.version = set.version;
    let mut ended = world.evacuations.names();
    ended.retain(|name| !set.data_centres.contains(name));
    let mut is_changed = false;
    for name in &ended {
        is_changed |= set_evacuated(world, now, name, false, source, effects);
    }
    for name in &set.data_centres {
        is_changed |= set_evacuated(world, now, name, true, source, effects);
    }
    is_changed
}

/// Applies changes from the store's feed unless the set is newer; returns whether an evacuation
/// began or ended.
///
/// The changes begin at the version to which this gateway read the feed. A peer's set may have
/// brought a part of them already, which then are repeated in order and end in the same state.
fn apply_changes(
    world: &mut World,
    now: Timestamp,
    version: StoreVersion,
    changes: &[EvacuationChange],
    effects: &mut Vec<Effect>,
) -> bool {
    if version <= world.evacuations.version {
        return false;
    }
    world.evacuations.version = version;
    let mut is_changed = false;
    for EvacuationChange { data_centre, is_evacuated } in changes {
        let source = EvacuationSource::Feed;
        is_changed |= set_evacuated(world, now, data_centre, *is_evacuated, source, effects);
    }
    is_changed
}

/// Applies the set of a peer if it is newer, and records whether the peer has the same one.
fn receive_report(
    world: &mut World,
    now: Timestamp,
    set: &EvacuationSet,
    effects: &mut Vec<Effect>,
) -> bool {
    let is_changed = replace_set(world, now, set, EvacuationSource::Peer, effects);
    let evacuations = &mut world.evacuations;
    let is_same = set.data_centres.len() == evacuations.rows.len()
        && set.data_centres.iter().all(|name| evacuations.find(name).is_some());
    if is_same {
        evacuations.confirmed = Some(now);
    }
    is_changed
}

/// Begins or ends the evacuation of a data centre; returns whether that changes anything.
fn set_evacuated(
    world: &mut World,
    now: Timestamp,
    name: &CompactString,
    is_evacuated: bool,
    source: EvacuationSource,
    effects: &mut Vec<Effect>,
) -> bool {
    let step = match (world.evacuations.find(name), is_evacuated) {
        (Some(_), true) | (None, false) => return false,
        (Some(key), false) => {
            world.evacuations.rows.remove(key);
            EvacuationStep::Ended
        }
        (None, true) => {
            let standing = match world.data_centres.find(name) {
                Some(_) => EvacuationStanding::InForce,
                None => EvacuationStanding::Unchecked,
            };
            let row = Evacuation { name: name.clone(), standing };
            match world.evacuations.rows.insert(row) {
                Ok(_) => EvacuationStep::Began,
                Err(_) => EvacuationStep::TableFull,
            }
        }
    };
    log_step(world, name, step, source, effects);
    if step == EvacuationStep::TableFull {
        return false;
    }
    world.evacuations.changed = Some(now);
    true
}

/// Brings the data centres in line with the set; a listing may have added one since.
fn mark_data_centres(world: &mut World) {
    let evacuations = &world.evacuations;
    for (_, row) in world.data_centres.rows.iter_mut() {
        row.is_evacuated = evacuations.find(&row.name).is_some();
    }
}

/// Logs once that no listing names an evacuated data centre, and once that one does.
fn log_standings(world: &mut World, effects: &mut Vec<Effect>) {
    let data_centres = &world.data_centres;
    let has_listings = world.store.has_listings;
    let mut steps = Vec::new();
    for (_, row) in world.evacuations.rows.iter_mut() {
        let is_listed = data_centres.find(&row.name).is_some();
        let (standing, step) = match (row.standing, is_listed) {
            (EvacuationStanding::Unchecked, false) if has_listings => {
                (EvacuationStanding::Unknown, EvacuationStep::Unknown)
            }
            (EvacuationStanding::Unchecked | EvacuationStanding::Unknown, true) => {
                (EvacuationStanding::InForce, EvacuationStep::Listed)
            }
            _ => continue,
        };
        row.standing = standing;
        steps.push((row.name.clone(), step));
    }
    for (name, step) in steps {
        log_step(world, &name, step, EvacuationSource::Listings, effects);
    }
}

fn log_step(
    world: &World,
    name: &CompactString,
    step: EvacuationStep,
    source: EvacuationSource,
    effects: &mut Vec<Effect>,
) {
    let data_centre = world.data_centres.find(name);
    let servers = world.backend_servers.rows.iter();
    let backend_servers = servers.filter(|(_, row)| Some(row.data_centre) == data_centre).count();
    effects.push(Effect::LogDecision(Box::new(Decision::EvacuationChanged {
        data_centre: name.clone(),
        step,
        source,
        version: world.evacuations.version,
        backend_servers,
    })));
}

/// Returns the set for gateways that were just found; `None` if there has been no evacuation.
pub fn known_set(world: &World) -> Option<EvacuationSet> {
    let evacuations = &world.evacuations;
    let is_known = !evacuations.rows.is_empty() || evacuations.changed.is_some();
    is_known.then(|| current_set(world))
}

fn current_set(world: &World) -> EvacuationSet {
    let evacuations = &world.evacuations;
    EvacuationSet { version: evacuations.version, data_centres: evacuations.names() }
}

/// Returns the set if it is due to be sent to all peers at `now`, and schedules its repetition.
pub fn take_report(world: &mut World, now: Timestamp) -> Option<EvacuationSet> {
    let is_due = next_report(world, now).is_some_and(|due| due <= now);
    if !is_due {
        return None;
    }
    world.evacuations.is_unsent = false;
    world.evacuations.repeat_due = now.after(REPEAT_INTERVAL);
    Some(current_set(world))
}

/// Returns when the set is next sent to all peers, if at all.
pub fn next_report(world: &World, now: Timestamp) -> Option<Timestamp> {
    let evacuations = &world.evacuations;
    if evacuations.is_unsent {
        return Some(now);
    }
    let is_recent =
        evacuations.changed.is_some_and(|changed| now.since(changed) < REPEAT_AFTER_CHANGE);
    let is_repeated = is_recent || !evacuations.rows.is_empty();
    (is_repeated && feeds::reports_to_peers(world, now)).then_some(evacuations.repeat_due)
}

/// Returns until when this gateway may rely on its peers for the evacuations; `None` without a
/// limit, as peers report each evacuation anew.
///
/// The end of an evacuation may be missed by a gateway that was cut off for longer than its end is
/// repeated.
pub fn relayed_until(world: &World) -> Option<Timestamp> {
    let evacuations = &world.evacuations;
    let known = evacuations.confirmed.max(evacuations.changed).unwrap_or_default();
    (!evacuations.rows.is_empty()).then(|| known.after(MAX_UNCONFIRMED))
}
