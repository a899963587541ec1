//! Load pattern: many gateways that need a large configuration which a few of them have.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::FeedMode;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::message::PeerUpdate;

use crate::feeds::Group;
use crate::kit;

/// Step of the tests, a small part of the pauses between fetches.
const STEP: Duration = Duration::from_millis(10);

/// Number of steps in a second.
const STEPS_PER_SECOND: u64 = 100;

fn fetches(group: &Group) -> Vec<SocketAddr> {
    let asked = group.kit.effects.iter().filter_map(|effect| match effect {
        Effect::FetchServing { from, .. } => Some(*from),
        _ => None,
    });
    asked.collect()
}

/// Lets followers report `version` and time pass; returns the peers that are asked meanwhile.
fn step(group: &mut Group, version: u64) -> Vec<SocketAddr> {
    let report = group.report(0);
    let mut asked = Vec::new();
    for peer in 0..4 {
        group.message(peer, version, Some(report), PeerUpdate::Changes(Vec::new()));
        asked.extend(fetches(group));
    }
    group.kit.advance(STEP);
    group.kit.step(Vec::new());
    asked.extend(fetches(group));
    asked
}

/// Guards against fetches that compete with each other for the link.
#[test]
fn fetch_in_progress_is_the_only_one() {
    let mut group = Group::relayed();
    let asked: usize = (0..500).map(|n| step(&mut group, 8 + n / 25).len()).sum();
    assert_eq!(asked, 1);
}

/// Guards against fetches without a pause from peers that do not deliver: each fails at once, for 5 s.
#[test]
fn failed_fetches_are_repeated_at_growing_pauses() {
    let mut group = Group::relayed();
    let mut asked = 0;
    for _ in 0..5 * STEPS_PER_SECOND {
        for from in step(&mut group, 8) {
            asked += 1;
            group.kit.step(vec![Event::ServingFetchFailed { from }]);
        }
    }
    assert!((4..=10).contains(&asked), "{asked} fetches");
}

/// Guards against fetches in series that fill a link: each takes 400 ms, and versions change faster.
#[test]
fn fetches_in_series_take_half_of_the_time_at_most() {
    let mut group = Group::relayed();
    let mut busy_steps = 0;
    let mut done_at = None;
    for n in 0..8 * STEPS_PER_SECOND {
        let version = 8 + n / 25;
        if !step(&mut group, version).is_empty() {
            done_at = Some((n + 40, version));
        }
        busy_steps += u64::from(done_at.is_some());
        if let Some((_, fetched)) = done_at.filter(|(at, _)| n >= *at) {
            let serving = Box::new(kit::serving(fetched));
            group.kit.step(vec![Event::ServingReceived { serving, is_from_store: false }]);
            done_at = None;
        }
    }
    let share = busy_steps as f64 / (8 * STEPS_PER_SECOND) as f64;
    assert!((0.35..=0.55).contains(&share), "fetches take {share} of the time");
    assert_eq!(group.plan.operator, FeedMode::Relayed);
}

/// Guards against gateways that all ask the same peer: 100 gateways, 4 of which have the version.
#[test]
fn fetches_of_many_gateways_are_spread_over_those_that_have_the_version() {
    let mut asked: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for seed in 0..100 {
        let mut group = Group::relayed();
        group.kit.world.rng = SmallRng::seed_from_u64(seed);
        let peers = (0..10).flat_map(|_| step(&mut group, 8));
        peers.for_each(|peer| *asked.entry(peer).or_default() += 1);
    }
    assert_eq!(asked.values().sum::<usize>(), 100);
    assert!(asked.len() == 4 && asked.values().all(|count| *count <= 40), "{asked:?}");
}
