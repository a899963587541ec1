//! Queues the offers of entries, or refuses them before anything runs.

use std::time::Duration;

use crate::cost::Cost;
use crate::keys::StreamKey;
use crate::result_code::ResultCode;
use crate::side::effect::Effect;
use crate::side::event::Event;
use crate::side::event::Offer;
use crate::side::settings::BackendKind;
use crate::side::tables::streams::Stream;
use crate::side::world::World;
use crate::time::Timestamp;

/// Reason why an offer is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Refusal {
    code: ResultCode,
    retry_after: Option<Duration>,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }
}

/// Decides on every offer and replies to every request for fencing.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    world.unrepeatable.evict_expired(now);
    for event in events {
        match event {
            Event::Offered(offer) => effects.push(decide_offer(world, now, offer)),
            Event::FenceRequested { ticket, id, age } => {
                let never_runs = world.unrepeatable.fence(*id, *age, now);
                effects.push(Effect::ReplyToFence { ticket: *ticket, never_runs });
            }
            _ => {}
        }
    }
}

fn decide_offer(world: &mut World, now: Timestamp, offer: &Offer) -> Effect {
    world.counters.offered += 1;
    let ticket = offer.ticket;
    match check_offer(world, now, offer).and_then(|()| enqueue_offer(world, now, offer)) {
        Ok(stream) => Effect::Queue { ticket, stream },
        Err(Refusal { code, retry_after }) => {
            world.counters.refused += 1;
            Effect::Refuse { ticket, code, retry_after }
        }
    }
}

fn check_offer(world: &World, now: Timestamp, offer: &Offer) -> Result<(), Refusal> {
    if offer.spec.incarnation != world.settings.incarnation {
        return Err(ResultCode::IncarnationMismatch.into());
    }
    if world.is_leaving {
        return Err(ResultCode::Leaving.into());
    }
    if !world.backend.is_answering {
        return Err(ResultCode::BackendUnreachable.into());
    }
    if !world.settings.targets.contains(&offer.spec.target) {
        return Err(ResultCode::NoBackendServer.into());
    }
    if world.by_attempt.contains_key(&(offer.spec.id, offer.spec.number)) {
        return Err(ResultCode::InvalidRequest.into());
    }
    if !offer.spec.is_repeatable {
        check_unrepeatable(world, offer)?;
    }
    check_capacity(world, now, offer)
}

fn check_unrepeatable(world: &World, offer: &Offer) -> Result<(), Refusal> {
    if world.unrepeatable.is_fenced(offer.spec.id) {
        // A fenced request counts as expired before it was dispatched here.
        return Err(ResultCode::ExpiredBeforeDispatch.into());
    }
    match world.unrepeatable.is_full() {
        true => Err(ResultCode::QueueFull.into()),
        false => Ok(()),
    }
}

fn check_capacity(world: &World, now: Timestamp, offer: &Offer) -> Result<(), Refusal> {
    let is_engine = world.settings.kind == BackendKind::ModelEngine;
    if is_engine && offer.spec.cost.memory_tokens() > world.backend.memory_tokens {
        return Err(ResultCode::RequestTooLarge.into());
    }
    let wait = predicted_wait(world, now, offer.spec.cost);
    if world.queue.len() >= world.settings.max_queued {
        return Err(Refusal { code: ResultCode::QueueFull, retry_after: Some(wait) });
    }
    if wait > offer.spec.remaining {
        return Err(Refusal { code: ResultCode::CannotEndInTime, retry_after: Some(wait) });
    }
    Ok(())
}

/// Predicts the time until the prefill of a new stream of `cost` begins; zero if the prefill rate
/// is unknown.
fn predicted_wait(world: &World, now: Timestamp, cost: Cost) -> Duration {
    let tokens = world.queued_tokens_before(cost, now);
    match world.backend.prefill_tokens_per_s {
        0 => Duration::ZERO,
        rate => Duration::from_micros(tokens.saturating_mul(1_000_000) / rate),
    }
}

fn enqueue_offer(world: &mut World, now: Timestamp, offer: &Offer) -> Result<StreamKey, Refusal> {
    if world.streams.is_full() {
        return Err(ResultCode::QueueFull.into());
    }
    let tokens = offer.spec.cost.memory_tokens();
    let virtual_finish = world.shares.enqueue(&offer.spec.account, offer.spec.weight, tokens);
    let stream = Stream::new(offer, virtual_finish, now);
    let deadline = stream.deadline;
    let key = world.streams.insert(stream).map_err(|_| ResultCode::QueueFull)?;
    world.by_attempt.insert((offer.spec.id, offer.spec.number), key);
    world.queue.insert((offer.spec.priority, virtual_finish, key));
    world.deadlines.insert((deadline, key));
    world.add_queued_prompt(offer.spec.cost);
    if !offer.spec.is_repeatable {
        world.unrepeatable.insert_accepted(offer.spec.id, now);
    }
    Ok(key)
}
