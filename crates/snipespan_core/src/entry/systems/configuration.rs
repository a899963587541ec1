//! Applies newer configurations and ignores older ones.

use crate::configuration::Configuration;
use crate::entry::event::Event;
use crate::entry::world::World;
use crate::lifecycle::process::ProcessEvent;

/// Applies the newest configuration among the events, if it is newer than the one in force.
pub fn run(world: &mut World, events: &[Event]) {
    for event in events {
        if let Event::ConfigurationReceived(received) = event {
            apply_configuration(world, received);
        }
    }
}

fn apply_configuration(world: &mut World, received: &Configuration) {
    let current = world.configuration.as_ref().map(|current| current.revision);
    if current.is_some_and(|current| received.revision <= current) {
        let is_older = current.is_some_and(|current| received.revision < current);
        world.counters.older_configurations += u64::from(is_older);
        return;
    }
    world.accounts.replace(&received.accounts);
    world.configuration = Some(received.clone());
    world.process.handle(&ProcessEvent::Prepared);
    for (_, row) in world.backend_servers.rows.iter_mut() {
        row.is_drained = received.drained.contains(&row.vm.id);
        row.update_leaving();
    }
}
