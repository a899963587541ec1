//! Tests of a gateway that was paused.

use std::time::Duration;

use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::EvacuationSet;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::StoreVersion;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;
use crate::kit::hold_work;

/// Guards against a stream that is moved because its own gateway was paused for 3 s: its events wait
/// at the socket and are read just after.
#[test]
fn stream_of_a_paused_gateway_is_not_moved() {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.progress(sent.work);
    kit.advance(Duration::from_secs(3));
    kit.step(Vec::new());
    assert!(kit.sent().is_empty());
    kit.advance(Duration::from_millis(100));
    kit.progress(sent.work);
    kit.run_until(kit.now.after(Duration::from_millis(1500)));
    assert!(kit.sent().is_empty());
}

/// Guards against a pause that is not noticed since the next tick was due late in it: the engine was
/// silent for a second before, and the gateway paused for 700 ms.
#[test]
fn stream_of_a_gateway_that_was_paused_for_a_part_of_the_silence_is_not_moved() {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.progress(sent.work);
    kit.run_until(kit.now.after(Duration::from_millis(1050)));
    kit.advance(Duration::from_millis(700));
    kit.step(Vec::new());
    assert!(kit.sent().is_empty());
}

/// Guards against a stream that stays with a silent engine for ever, and against a log line for each
/// tick, where all ticks are 201 ms late.
#[test]
fn silent_stream_is_moved_though_ticks_are_always_late() {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.progress(sent.work);
    let begun = kit.now;
    let mut wake = kit.step(Vec::new());
    let (mut moved, mut lines) = (0, 0);
    while kit.now < begun.after(Duration::from_secs(4)) {
        kit.now = wake.expect("a wake").after(Duration::from_millis(201));
        wake = kit.step(Vec::new());
        moved += kit.sent().len();
        lines += kit.effects.iter().filter(|effect| is_pause(effect)).count();
    }
    assert!(moved > 0);
    assert!(lines <= 4, "{lines} lines in 4 s");
}

/// Guards against a gateway that forgets the work of its peers after a pause of its own.
#[test]
fn work_of_a_peer_survives_a_pause_of_this_gateway() {
    let mut kit = Kit::new(1);
    hold_work(&mut kit, ENGINE, 1, 2);
    kit.advance(Duration::from_secs(4));
    hold_work(&mut kit, ENGINE, 1, 0);
    assert_eq!(kit.world.work.len(), 2);
}

/// Guards against an engine that is taken for slow because the gateway was paused while a request
/// waited for its first event.
#[test]
fn pause_is_no_slowdown_of_an_engine() {
    let mut kit = Kit::new(1);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.advance(Duration::from_secs(3));
    kit.step(Vec::new());
    kit.advance(Duration::from_millis(50));
    kit.progress(sent.work);
    let now = kit.now;
    let rows = kit.world.backend_servers.rows.iter();
    let slowdowns: Vec<_> = rows.map(|(_, row)| row.slowdown(now)).collect();
    assert!(slowdowns.iter().all(|slowdown| *slowdown < 1.5), "{slowdowns:?}");
}

/// Guards against a stream that stays with a silent engine because its gateway was paused once.
#[test]
fn stream_that_is_silent_after_a_pause_is_moved() {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.progress(sent.work);
    kit.advance(Duration::from_secs(3));
    kit.step(Vec::new());
    kit.run_until(kit.now.after(Duration::from_millis(300)));
    assert_eq!(kit.sent().len(), 1);
}

fn is_pause(effect: &Effect) -> bool {
    matches!(effect, Effect::LogDecision(decision)
        if matches!(**decision, Decision::PauseNoticed { .. }))
}

/// Guards against requests that a gateway sends to a data centre just after a long pause, before its
/// peers have told it of the evacuation that began in the pause; and against a wait for longer.
#[test]
fn placement_after_a_long_pause_waits_for_evacuations() {
    let mut kit = Kit::new(2);
    kit.world.settings.regions = vec![("graz-a".into(), "styria".into())];
    kit.step(Vec::new());
    for (pause, sends) in [(Duration::from_secs(2), 1), (Duration::from_secs(6), 0)] {
        kit.advance(pause);
        kit.arrive("/order/1", 0);
        assert_eq!(kit.sent().len(), sends, "after {pause:?}");
    }
    let wake_at = kit.step(Vec::new()).expect("a wake");
    assert_eq!(wake_at, kit.now.after(Duration::from_millis(20)));
    kit.advance(Duration::from_millis(10));
    let data_centres = vec!["graz-a".into()];
    let set = EvacuationSet { version: StoreVersion(9), data_centres };
    let message = kit::peer_message(1, 1, PeerUpdate::Evacuations(set));
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
    kit.run_until(wake_at);
    assert_eq!(kit.refused(), [ResultCode::NoBackendServer]);
}
