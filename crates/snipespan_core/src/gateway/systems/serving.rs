//! Applies newer serving configurations, and tracks the settings and whether the store is
//! reachable.

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::systems::serving_fetches;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Handles received configurations, changed settings, and the loss and return of the store.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::ServingReceived { serving, is_from_store } => {
                apply_configuration(world, serving, *is_from_store, effects);
            }
            Event::OperatorTableAnswered => world.listings.operator_answered = Some(now),
            Event::StoreLost => set_store_reachable(world, now, false, effects),
            Event::StoreAnswered => set_store_reachable(world, now, true, effects),
            Event::SettingsChanged(settings) => {
                let is_changed = world.settings != **settings;
                world.settings = (**settings).clone();
                effects
                    .push(Effect::LogDecision(Box::new(Decision::SettingsReloaded { is_changed })));
            }
            _ => {}
        }
    }
}

fn apply_configuration(
    world: &mut World,
    received: &ServingConfiguration,
    is_from_store: bool,
    effects: &mut Vec<Effect>,
) {
    let current = world.serving.as_ref().map(ServingConfiguration::version);
    let version = received.version();
    if current.is_some_and(|current| version <= current) {
        if let Some(current) = current.filter(|current| version < *current) {
            let decision = Decision::ServingIgnored { current, seen: version };
            effects.push(Effect::LogDecision(Box::new(decision)));
        }
        return;
    }
    let from = current.unwrap_or_default();
    let decision = Decision::ServingChanged { from, to: version, is_from_store };
    effects.push(Effect::LogDecision(Box::new(decision)));
    effects.push(Effect::SetLimits(received.limits()));
    world.serving = Some(received.clone());
    serving_fetches::record_change(world);
}

fn set_store_reachable(
    world: &mut World,
    now: Timestamp,
    is_reachable: bool,
    effects: &mut Vec<Effect>,
) {
    if is_reachable {
        world.store.last_answer = Some(now);
    }
    if world.store.is_reachable == is_reachable {
        return;
    }
    let lasted = now.since(world.store.since);
    world.store.is_reachable = is_reachable;
    world.store.since = now;
    if !is_reachable {
        world.store.peer_answers = None;
    }
    effects.push(Effect::LogDecision(Box::new(Decision::StoreChanged { is_reachable, lasted })));
}
