//! Applies newer configurations and ignores older ones.

use crate::configuration::Configuration;
use crate::entry::decision::Decision;
use crate::entry::effect::Effect;
use crate::entry::event::Event;
use crate::entry::world::World;
use crate::lifecycle::process::ProcessEvent;

/// Applies the newest configuration among the events, if it is newer than the one in force.
pub fn run(world: &mut World, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        if let Event::ConfigurationReceived(received) = event {
            apply_configuration(world, received, effects);
        }
    }
}

fn apply_configuration(world: &mut World, received: &Configuration, effects: &mut Vec<Effect>) {
    let current = world.configuration.as_ref().map(|current| current.revision);
    if current.is_some_and(|current| received.revision <= current) {
        let is_older = current.is_some_and(|current| received.revision < current);
        world.counters.older_configurations += u64::from(is_older);
        return;
    }
    world.accounts.replace(&received.accounts);
    world.configuration = Some(received.clone());
    world.is_check_due = true;
    world.process.handle(&ProcessEvent::Prepared);
    for (_, row) in world.backend_servers.rows.iter_mut() {
        row.is_drained = received.drained.contains(&row.vm.id);
        row.update_leaving();
    }
    apply_evacuations(world, received, effects);
}

/// Evacuates and restores data centres; one that no VM is listed in is kept, as a VM may be listed
/// later.
fn apply_evacuations(world: &mut World, received: &Configuration, effects: &mut Vec<Effect>) {
    for name in &received.evacuated {
        if world.data_centres.find_or_insert(name).is_err() {
            // The VMs of a data centre that is not in the table are skipped, so it gets no work.
            world.counters.data_centres_left_out += 1;
        }
    }
    let revision = received.revision;
    for (key, row) in world.data_centres.rows.iter_mut() {
        let is_evacuated = received.evacuated.contains(&row.name);
        if row.is_evacuated == is_evacuated {
            continue;
        }
        row.is_evacuated = is_evacuated;
        let servers = world.backend_servers.rows.iter();
        let backend_servers = servers.filter(|(_, server)| server.data_centre == key).count();
        let name = row.name.clone();
        let decision = match is_evacuated {
            true => Decision::Evacuated { name, backend_servers, revision },
            false => Decision::Restored { name, backend_servers, revision },
        };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
}
