//! Load patterns of reports that gateways relay for those of other data centres.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::message;
use snipespan_core::gateway::message::Hop;
use snipespan_core::gateway::message::MessageRoute;
use snipespan_core::gateway::message::PeerUpdate;

use crate::data_centre_fleet::FULL_RATE;
use crate::data_centre_fleet::Fleet;
use crate::kit;
use crate::kit::Kit;

const MB_COST: Option<f64> = Some(1.7);
const USUAL: f64 = 0.6 * FULL_RATE;

/// Guards against reports that some gateways miss, and against relaying that saves no messages
/// between data centres: of those to six gateways elsewhere, four are left.
#[test]
fn relayed_reports_reach_all_gateways() {
    let mut direct = Fleet::new(None);
    let direct = direct.run([USUAL; 3], Duration::from_secs(5));
    let mut fleet = Fleet::new(MB_COST);
    let counts = fleet.run([USUAL; 3], Duration::from_secs(5));
    let limit = direct.messages_between * 3;
    assert!(counts.messages_between * 4 <= limit, "{counts:?}, directly {direct:?}");
    fleet.assert_common_view();
}

/// Guards against reports that are lost with a relay: one of two is frozen.
#[test]
fn relayed_reports_survive_a_frozen_relay() {
    let mut fleet = Fleet::new(MB_COST);
    let frozen = fleet.relays_of(0, 1)[0];
    fleet.frozen.push(frozen);
    fleet.run([USUAL, 0.0, 0.0], Duration::from_millis(700));
    fleet.assert_common_view();
}

/// Guards against a data centre that no longer learns of others' work once both relays of a gateway
/// are frozen: the messages go there directly from a second on.
#[test]
fn relayed_reports_go_directly_once_both_relays_are_silent() {
    let mut fleet = Fleet::new(MB_COST);
    fleet.frozen = fleet.relays_of(0, 1);
    fleet.run([USUAL, 0.0, 0.0], Duration::from_millis(1100));
    assert!(fleet.relays_of(0, 1).is_empty(), "its messages go directly");
    fleet.run([USUAL, 0.0, 0.0], Duration::from_millis(1100));
    fleet.assert_common_view();
}

/// Guards against relaying that makes lost datagrams worse than without it.
#[test]
fn relayed_reports_bear_lossy_links() {
    let mut errors = Vec::new();
    for cost in [None, MB_COST] {
        let mut fleet = Fleet::new(cost);
        fleet.loss = 0.1;
        fleet.run([USUAL; 3], Duration::from_secs(5));
        fleet.loss = 0.0;
        // Most of what was sent has arrived by then.
        fleet.run([0.0; 3], Duration::from_millis(15));
        errors.push(fleet.view_error());
    }
    assert!(errors[1] <= errors[0], "{errors:?}");
}

/// Runs a tick in which a message of a peer in a data centre arrives.
fn receive(kit: &mut Kit, peer: u8, data_centre: &str, hop: Hop) {
    let sequence = kit.now.as_micros();
    let mut message = kit::peer_message(sequence, 0, PeerUpdate::Snapshot(Vec::new()));
    message.node = format!("gateway-{peer}").into();
    let route = Some(MessageRoute { data_centre: data_centre.into(), hop });
    kit.step(message::received_events(kit::peer_address(peer), message, route));
}

/// Guards against changes that a data centre misses for longer than a second after both relays fell
/// silent, although others could relay: messages go directly for a second, then through others.
#[test]
fn relays_that_fall_silent_are_replaced_after_direct_messages() {
    let mut kit = Kit::new(1);
    kit.world.settings.data_centre = "dc-0".into();
    kit.world.settings.remote_mb_cost = MB_COST;
    let mut silent = Vec::new();
    let mut relayed = Vec::new();
    for step in 0..25 {
        for peer in (2..7).filter(|peer| !silent.contains(&kit::peer_address(*peer))) {
            receive(&mut kit, peer, "dc-1", Hop::Direct);
        }
        let relays: Vec<_> = kit.world.relays.values().filter_map(|choice| choice.relays).collect();
        let addresses = relays.iter().flatten().filter_map(|key| kit.world.peers.get(*key));
        let addresses: Vec<_> = addresses.map(|peer| peer.address).collect();
        if step == 0 {
            silent.clone_from(&addresses);
        }
        relayed.push(!addresses.is_empty());
        let is_silent = addresses.iter().any(|address| silent.contains(address));
        assert!(step <= 10 || !is_silent, "step {step}: {addresses:?}");
        kit.advance(Duration::from_millis(100));
    }
    assert_eq!(silent.len(), 2);
    let expected: Vec<_> = (0..25).map(|step| !(10..20).contains(&step)).collect();
    assert_eq!(relayed, expected);
}

/// Guards against messages that circle between relays, or are passed on in the wrong place.
#[rstest]
#[case::for_a_relay("dc-1", Hop::ToRelay, 1)]
#[case::for_a_relay_in_its_own_data_centre("dc-0", Hop::ToRelay, 0)]
#[case::direct("dc-1", Hop::Direct, 0)]
#[case::passed_on("dc-1", Hop::Relayed { from: kit::peer_address(4) }, 0)]
fn relay_passes_on_once(#[case] data_centre: &str, #[case] hop: Hop, #[case] passed_on: usize) {
    let mut kit = Kit::new(1);
    kit.world.settings.data_centre = "dc-0".into();
    kit.world.settings.remote_mb_cost = MB_COST;
    receive(&mut kit, 2, "dc-0", Hop::Direct);
    receive(&mut kit, 3, "dc-0", Hop::Direct);
    receive(&mut kit, 4, data_centre, hop);
    let is_passed_on = |effect: &&Effect| match effect {
        Effect::NotifyPeers { to, message, route: Some(route) } => {
            let from = kit::peer_address(4);
            let others = [kit::peer_address(2), kit::peer_address(3)];
            route.hop == Hop::Relayed { from } && message.node == "gateway-4" && **to == others
        }
        _ => false,
    };
    assert_eq!(kit.effects.iter().filter(is_passed_on).count(), passed_on, "{:?}", kit.effects);
}
