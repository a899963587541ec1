//! Tests of the bound on the bytes of bodies at one backend server.

use std::time::Duration;

use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::gateway::message::WorkChange;
use snipespan_core::gateway::tables::backend_servers::MAX_BODY_BYTES;
use snipespan_core::gateway::tables::work::Phase;
use snipespan_core::gateway::tables::work::WorkId;
use snipespan_core::keys::WorkKey;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::Kit;
use crate::kit::PLAIN;

/// Greatest body of the users' deployments.
const LONG: u64 = 4 << 20;

/// A gateway before one plain server that has the setting for the memory of its process.
fn limited_kit() -> Kit {
    let mut kit = Kit::new(1);
    kit.world.settings.memory_limit = Some(260_000_000);
    kit
}

/// Sends a request with a body; returns its attempt if it was sent at once.
fn send(kit: &mut Kit, body_bytes: u64) -> Option<WorkKey> {
    let mut arrival = kit.arrival("/order/1", 0);
    arrival.body_bytes = body_bytes;
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    sent(kit)
}

fn sent(kit: &Kit) -> Option<WorkKey> {
    kit.effects.iter().find_map(|effect| match effect {
        Effect::Send { dispatch, .. } => Some(dispatch.work),
        _ => None,
    })
}

fn held_bytes(kit: &Kit) -> u64 {
    kit.world.backend_servers.rows.iter().map(|(_, row)| row.body_bytes).sum()
}

/// Guards against a backend server that crashes because the bodies of its requests exceed its
/// memory, against short requests that wait behind long ones, and against room that is not given
/// back.
#[test]
fn long_bodies_wait_for_room_at_backend_server() {
    let mut kit = limited_kit();
    let works: Vec<_> = (0..15).map_while(|_| send(&mut kit, LONG)).collect();
    assert_eq!(works.len(), 15);
    assert_eq!(send(&mut kit, LONG), None);
    assert!(send(&mut kit, 31_000).is_some());
    assert!(held_bytes(&kit) <= MAX_BODY_BYTES);
    for work in works.into_iter().take(2) {
        kit.step(vec![Event::AttemptCompleted { work, longest_gap: Duration::ZERO }]);
    }
    kit.run_until(kit.now.after(Duration::from_millis(40)));
    assert!(sent(&kit).is_some(), "the waiting body is sent");
    let open: Vec<_> = kit.world.work.iter().map(|(work, _)| work).collect();
    for work in open {
        kit.step(vec![Event::AttemptCompleted { work, longest_gap: Duration::ZERO }]);
    }
    assert_eq!(held_bytes(&kit), 0);
}

/// Guards against a request that waits for room until its client has left: it is refused as not run
/// shortly before the end of its 1 s.
#[test]
fn long_body_without_room_is_refused() {
    let mut kit = limited_kit();
    (0..15).for_each(|_| assert!(send(&mut kit, LONG).is_some()));
    assert_eq!(send(&mut kit, LONG), None);
    kit.run_until(kit.now.after(Duration::from_millis(960)));
    let refused = kit.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { code, retry_after, .. } => Some((*code, *retry_after)),
        _ => None,
    });
    let (code, retry_after) = refused.expect("a refusal");
    assert!(code.is_not_run() && retry_after.is_some(), "{code}");
    assert_eq!(code, ResultCode::NoBackendServer);
}

/// Guards against gateways that each send as many bytes as one may.
#[test]
fn long_bodies_of_peers_count() {
    let mut kit = limited_kit();
    let started: Vec<_> =
        (1..=15).map(|id| kit::work_report(id, PLAIN, 101, Phase::Prefill)).collect();
    let bodies = (1..=15).map(|id| WorkChange::BodySent(WorkId(id), LONG));
    let changes = started.into_iter().map(WorkChange::Started).chain(bodies).collect();
    let message = kit::peer_message(1, 1, PeerUpdate::Changes(changes));
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
    assert_eq!(held_bytes(&kit), 15 * LONG);
    assert_eq!(send(&mut kit, LONG), None);
    let ended = (1..=15).map(|id| WorkChange::Ended(WorkId(id))).collect();
    let message = kit::peer_message(2, 1, PeerUpdate::Changes(ended));
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
    assert_eq!(held_bytes(&kit), 0);
    assert!(send(&mut kit, LONG).is_some());
    let reported = kit.notifications().iter().any(|message| matches!(&message.update,
        PeerUpdate::Changes(changes) if changes.iter().any(|c| matches!(c, WorkChange::BodySent(_, LONG)))));
    assert!(reported, "the peers are told of a long body");
}

/// Guards against deployments without the setting whose requests wait.
#[test]
fn long_bodies_without_limit_are_sent() {
    let mut kit = Kit::new(1);
    (0..30).for_each(|_| assert!(send(&mut kit, LONG).is_some()));
}
