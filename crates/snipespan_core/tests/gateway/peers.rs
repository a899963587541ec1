use std::time::Duration;

use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::gateway::message::WorkChange;
use snipespan_core::gateway::message::WorkReport;
use snipespan_core::gateway::tables::work::Phase;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;

fn report(id: u64) -> WorkReport {
    kit::work_report(id, ENGINE, 1, Phase::Prefill)
}

fn receive(kit: &mut Kit, message: PeerMessage) {
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
}

fn started(ids: &[u64]) -> PeerUpdate {
    PeerUpdate::Changes(ids.iter().map(|id| WorkChange::Started(report(*id))).collect())
}

#[test]
fn dispatch_and_end_are_reported_at_once() {
    let mut kit = Kit::new(1);
    receive(&mut kit, kit::peer_message(1, 1, PeerUpdate::Snapshot(Vec::new())));
    let (_, sent) = kit.send("/draft/1", 5_000);
    let notifications = kit.notifications();
    assert!(notifications.iter().any(|message| matches!(&message.update,
        PeerUpdate::Changes(changes) if matches!(changes[..], [WorkChange::Started(_)]))));
    kit.step(vec![Event::AttemptCompleted { work: sent.work, longest_gap: Duration::ZERO }]);
    assert!(kit.notifications().iter().any(|message| matches!(&message.update,
        PeerUpdate::Changes(changes) if matches!(changes[..], [WorkChange::Ended(_)]))));
}

#[test]
fn snapshot_replaces_lost_changes() {
    let mut kit = Kit::new(1);
    receive(&mut kit, kit::peer_message(1, 1, started(&[1, 2])));
    assert_eq!(kit.world.work.len(), 2);
    receive(&mut kit, kit::peer_message(4, 1, PeerUpdate::Snapshot(vec![report(2), report(3)])));
    let known: Vec<_> = kit.world.peer_work.keys().map(|(_, id)| id.0).collect();
    assert_eq!(known, [2, 3]);
}

#[test]
fn older_message_is_ignored() {
    let mut kit = Kit::new(1);
    receive(&mut kit, kit::peer_message(5, 1, PeerUpdate::Snapshot(Vec::new())));
    receive(&mut kit, kit::peer_message(4, 1, started(&[1])));
    assert!(kit.world.work.is_empty());
}

/// Guards against counting the work of a peer that has ended without a message; a peer counts as
/// gone after 3 s of silence.
#[test]
fn silent_peer_is_forgotten_with_its_work() {
    let mut kit = Kit::new(1);
    receive(&mut kit, kit::peer_message(1, 1, started(&[1])));
    kit.run_until(kit.now.after(Duration::from_millis(4100)));
    assert!(kit.world.work.is_empty());
}

/// Guards against counting the work of a peer's earlier incarnation, and against a restarted peer
/// that does not get a snapshot of this gateway's work at once.
#[test]
fn restarted_peer_loses_its_work_and_gets_a_snapshot() {
    let mut kit = Kit::new(1);
    kit.send("/draft/1", 5_000);
    receive(&mut kit, kit::peer_message(9, 1, started(&[1])));
    let restarted = PeerMessage { incarnation: 6, ..kit::peer_message(1, 0, started(&[])) };
    receive(&mut kit, restarted);
    assert_eq!(kit.world.peer_work.len(), 0);
    let is_snapshot =
        |message: &PeerMessage| matches!(&message.update, PeerUpdate::Snapshot(w) if w.len() == 1);
    assert!(kit.notifications().iter().any(is_snapshot));
}

#[test]
fn newer_configuration_is_fetched_from_a_peer_while_the_store_is_lost() {
    let mut kit = Kit::new(1);
    kit.step(vec![Event::StoreLost]);
    receive(&mut kit, kit::peer_message(1, 8, PeerUpdate::Snapshot(Vec::new())));
    let fetched =
        |effect: &Effect| matches!(effect, Effect::FetchServing { version, .. } if version.0 == 8);
    assert!(kit.effects.iter().any(fetched));
}

/// Guards against waiting on for the store's feed when a peer has a newer configuration. The feed
/// has 300 ms, and the next tick comes within a second, for the next snapshot.
#[test]
fn newer_configuration_is_fetched_from_a_peer_when_the_feed_is_late() {
    let mut kit = Kit::new(1);
    receive(&mut kit, kit::peer_message(1, 8, PeerUpdate::Snapshot(Vec::new())));
    assert!(!kit.effects.iter().any(|effect| matches!(effect, Effect::FetchServing { .. })));
    kit.run_until(kit.now.after(Duration::from_millis(1100)));
    assert!(kit.effects.iter().any(|effect| matches!(effect, Effect::FetchServing { .. })));
}

/// Guards against counting ended work of a peer that has too much open work for one datagram. Its
/// snapshots arrive as changes, which do not name ended work; this expires after 2.2 s.
#[test]
fn work_whose_end_was_lost_is_dropped_though_the_peer_has_much_other_work() {
    let mut kit = Kit::new(1);
    let many: Vec<u64> = (1..60).collect();
    receive(&mut kit, kit::peer_message(1, 1, started(&many)));
    for sequence in 2..6 {
        kit.advance(Duration::from_secs(1));
        receive(&mut kit, kit::peer_message(sequence, 1, started(&many[1..])));
    }
    let known: Vec<_> = kit.world.peer_work.keys().map(|(_, id)| id.0).collect();
    assert_eq!(known, many[1..]);
}
