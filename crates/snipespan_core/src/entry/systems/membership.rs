//! Maintains the table of backend servers: membership, connections, leaving and load.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;

use crate::entry::effect::Effect;
use crate::entry::event::Event;
use crate::entry::event::Hello;
use crate::entry::event::Load;
use crate::entry::event::Vm;
use crate::entry::world::World;
use crate::identity::VmId;
use crate::keys::BackendServerKey;
use crate::keys::DataCentreKey;
use crate::lifecycle::backend_server::BackendServerEvent;
use crate::time::Timestamp;

/// Minimum pause before a lost connection is reopened.
pub const RECONNECT_AFTER: Duration = Duration::from_millis(250);

/// Upper bound of the random addition to [`RECONNECT_AFTER`], so that entries do not reconnect all
/// at the same time.
pub const RECONNECT_JITTER: Duration = Duration::from_millis(250);

/// Applies events about backend servers, requests the connections that are due and returns the time
/// of the next one.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    for event in events {
        match event {
            Event::VmListRead { vms } => apply_vm_list(world, now, vms, effects),
            Event::BackendServerHello { backend_server, hello } => {
                apply_hello(world, *backend_server, hello);
            }
            Event::BackendServerLoad { backend_server, load } => {
                apply_load(world, now, *backend_server, *load);
            }
            Event::BackendServerLost { backend_server } => {
                connection_lost(world, now, *backend_server)
            }
            _ => {}
        }
    }
    connect_due(world, now, effects)
}

fn apply_vm_list(world: &mut World, now: Timestamp, vms: &[Vm], effects: &mut Vec<Effect>) {
    // With the first list the regions of the data centres can be checked as well.
    world.is_check_due |= !world.has_vm_list;
    world.has_vm_list = true;
    let listed: BTreeSet<&VmId> = vms.iter().map(|vm| &vm.id).collect();
    for vm in vms {
        put_backend_server(world, now, vm);
    }
    let mut removed = Vec::new();
    for (key, row) in world.backend_servers.rows.iter_mut() {
        row.is_listed = listed.contains(&row.vm.id);
        // The list may lag, so a connected backend server or one with open requests stays.
        if !row.is_listed && row.hello.is_none() && row.open == 0 {
            removed.push(key);
        }
    }
    for key in removed {
        world.backend_servers.remove(key);
        effects.push(Effect::Disconnect { backend_server: key });
    }
}

fn put_backend_server(world: &mut World, now: Timestamp, vm: &Vm) {
    let is_drained = world.configuration.as_ref().is_some_and(|c| c.drained.contains(&vm.id));
    let known = world.backend_servers.find_by_vm(&vm.id);
    let Some((key, data_centre)) = find_or_add(world, vm, known) else {
        world.counters.backend_servers_left_out += 1;
        return;
    };
    if known.is_none() {
        world.connect_queue.insert((now, key));
    }
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    row.vm.clone_from(vm);
    row.data_centre = data_centre;
    row.is_drained = is_drained;
    row.update_leaving();
}

/// Returns the keys of a VM's backend server and data centre; `None` if one of the tables is full.
fn find_or_add(
    world: &mut World,
    vm: &Vm,
    known: Option<BackendServerKey>,
) -> Option<(BackendServerKey, DataCentreKey)> {
    let data_centre = world.data_centres.find_or_insert(&vm.data_centre).ok()?;
    let key = known.or_else(|| world.backend_servers.add(vm.clone(), data_centre))?;
    world.data_centres.set_listed(data_centre);
    Some((key, data_centre))
}

fn apply_hello(world: &mut World, key: BackendServerKey, hello: &Hello) {
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    let is_replaced =
        row.hello.as_ref().is_some_and(|known| known.incarnation != hello.incarnation);
    if is_replaced {
        row.clear_prefix_digests();
        row.failures = 0;
    }
    row.is_untried = false;
    row.reported_leaving = hello.is_leaving;
    row.lifecycle.handle(&BackendServerEvent::Connected);
    row.update_leaving();
    world.backend_servers.set_hello(key, hello.clone());
}

fn apply_load(world: &mut World, now: Timestamp, key: BackendServerKey, load: Load) {
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    row.set_load(load, now);
    row.reported_leaving = load.is_leaving;
    row.update_leaving();
}

fn connection_lost(world: &mut World, now: Timestamp, key: BackendServerKey) {
    let jitter_us = world.rng.random_range(0..RECONNECT_JITTER.as_micros() as u64);
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    row.lifecycle.handle(&BackendServerEvent::Lost);
    row.hello = None;
    row.is_untried = false;
    row.reported_leaving = false;
    row.update_leaving();
    let connect_at = now.after(RECONNECT_AFTER + Duration::from_micros(jitter_us));
    world.connect_queue.insert((connect_at, key));
}

fn connect_due(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((due, key)) = world.connect_queue.first().copied() {
        if due > now {
            return Some(due);
        }
        world.connect_queue.pop_first();
        if let Some(row) = world.backend_servers.rows.get(key) {
            let address = row.vm.address.clone();
            effects.push(Effect::Connect { backend_server: key, address });
        }
    }
    None
}
