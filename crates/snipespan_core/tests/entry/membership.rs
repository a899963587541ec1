//! Tests of the table of backend servers: listing, leaving, drain and reconnection.

use std::time::Duration;

use snipespan_core::configuration::Revision;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Load;
use snipespan_core::entry::event::Vm;
use snipespan_core::identity::VmId;
use snipespan_core::result_code::ResultCode;

use crate::kit::Kit;
use crate::kit::configuration;
use crate::kit::connects;
use crate::kit::vm;

/// A backend server that the VM list shows as leaving must get no new requests.
#[test]
fn leaving_by_vm_list() {
    let mut kit = Kit::with_engines(2);
    let vms = vec![Vm { is_leaving: true, ..vm(0) }, vm(1)];
    kit.tick(vec![Event::VmListRead { vms }]);
    assert_all_at(&mut kit, 1);
}

/// A backend server whose load report says that it is leaving must get no new requests.
#[test]
fn leaving_by_report_of_load() {
    let mut kit = Kit::new();
    let keys = kit.add_engines(2);
    let load = Load { is_leaving: true, ..Load::default() };
    kit.tick(vec![Event::BackendServerLoad { backend_server: keys[0], load }]);
    assert_all_at(&mut kit, 1);
}

/// A backend server that refused an attempt because it is leaving must get no new requests, even
/// before it reports that.
#[test]
fn leaving_by_refusal() {
    let mut kit = Kit::with_engines(2);
    let (_, dispatch) = kit.dispatch_request();
    let attempt = dispatch.attempt;
    let code = ResultCode::Leaving;
    kit.tick(vec![Event::AttemptRefused { attempt, code, retry_after: None }]);
    for _ in 0..3 {
        assert_ne!(kit.dispatch_request().1.backend_server, dispatch.backend_server);
    }
}

/// A drained backend server must get no new requests, and must be ready again after the drain.
#[test]
fn drained_and_undrained() {
    let mut kit = Kit::with_engines(2);
    let mut drained = configuration(2);
    drained.drained.insert(VmId("vm-0".into()));
    kit.tick(vec![Event::ConfigurationReceived(Box::new(drained))]);
    assert_all_at(&mut kit, 1);
    kit.tick(vec![Event::ConfigurationReceived(Box::new(configuration(3)))]);
    let ready = kit.world.backend_servers.rows.iter().filter(|(_, row)| row.is_ready());
    assert_eq!(ready.count(), 2);
}

/// An older configuration that arrives late must not replace the newer one.
#[test]
fn configuration_older_is_ignored() {
    let mut kit = Kit::new();
    kit.tick(vec![Event::ConfigurationReceived(Box::new(configuration(5)))]);
    kit.tick(vec![Event::ConfigurationReceived(Box::new(configuration(4)))]);
    let revision = kit.world.configuration.as_ref().map(|current| current.revision);
    assert_eq!(revision, Some(Revision(5)));
    assert_eq!(kit.world.counters.older_configurations, 1);
}

/// The list of VMs may lag, so a connected backend server that it lacks must stay.
#[test]
fn list_lacks_connected() {
    let mut kit = Kit::with_engines(2);
    kit.tick(vec![Event::VmListRead { vms: Vec::new() }]);
    assert_eq!(kit.world.backend_servers.rows.len(), 2);
    kit.dispatch_request();
}

/// A lost connection must be reopened, exactly once, within 1 s.
#[test]
fn lost_is_connected_again() {
    let mut kit = Kit::new();
    let keys = kit.add_engines(1);
    kit.tick(vec![Event::BackendServerLost { backend_server: keys[0] }]);
    let again = (0..20).flat_map(|_| connects(&kit.advance(Duration::from_millis(50))));
    assert_eq!(again.collect::<Vec<_>>(), keys);
}

fn assert_all_at(kit: &mut Kit, index: u64) {
    let key = kit.world.backend_servers.find_by_vm(&vm(index).id);
    for _ in 0..4 {
        assert_eq!(Some(kit.dispatch_request().1.backend_server), key);
    }
}
