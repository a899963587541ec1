//! Test that equal events give equal effects.

use snipespan_core::entry::event::Event;
use snipespan_core::entry::settings::RoutingPolicy;
use snipespan_core::entry::tick::tick;
use snipespan_core::entry::world::World;
use snipespan_core::result_code::ResultCode;

use crate::kit::Kit;
use crate::kit::settings;

/// Random choices must depend on the seed only, so that a replay of recorded ticks gives the same
/// effects.
#[test]
fn tick_equal_events() {
    // With more engines than `MAX_CANDIDATES`, a random sample is drawn for each request.
    let mut kit = Kit::with_engines(40);
    for round in 0..50_u64 {
        let (_, dispatch) = kit.dispatch_request();
        let attempt = dispatch.attempt;
        let event = match round % 3 {
            0 => Event::AttemptCompleted { attempt, output_tokens: 5 },
            1 => Event::AttemptFailed { attempt, code: ResultCode::AnswerCut, resumable: false },
            _ => Event::AttemptRefused { attempt, code: ResultCode::QueueFull, retry_after: None },
        };
        kit.tick(vec![event]);
        if let Some(again) = kit.next_dispatch() {
            let attempt = again.attempt;
            kit.tick(vec![Event::AttemptCompleted { attempt, output_tokens: 5 }]);
        }
    }
    let replay = |recorded_ticks: &Vec<_>| {
        let mut world = World::new(settings(RoutingPolicy::EarliestFirstToken));
        let effects = recorded_ticks
            .iter()
            .map(|(now, events): &(_, Vec<Event>)| format!("{:?}", tick(&mut world, *now, events)));
        effects.collect::<Vec<_>>()
    };
    assert_eq!(replay(&kit.recorded_ticks), replay(&kit.recorded_ticks));
}
