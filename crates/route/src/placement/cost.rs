//! Cost model of placement. Costs are fractions of the value of a typical request; the endpoint
//! with the lowest cost is chosen.

use {
    super::{
        cache_estimate::{
            CACHE_FILL_TIME, CacheEstimate, MIN_SHARED_TOKENS, PREFERRED_CACHED_SHARES,
        },
        cached_parts,
        kv_sources::KvSources,
        load::Load,
        placement_request::PlacementRequest,
        placer::Placer,
        profile::EngineProfile,
        request_placement::Placement,
        reserved::reserved_engines,
        slot_spread::SlotSpread,
        tracked_endpoint::TrackedEndpoint,
        urgency_amounts::PendingPrefill,
    },
    clock::Instant,
    std::{collections::BTreeSet, time::Duration},
    types::{EndpointId, Urgency},
};

/// Cost of a late response.
const LATE_COST: f64 = 0.7;
/// Predicted time, as a share of the target, where the lateness risk starts to grow and where it
/// reaches 1.
const RISK_START: f64 = 0.35;
const RISK_FULL: f64 = 1.1;
/// Cost per 1000 shared tokens that are prefilled again although another engine has them cached:
/// their price relative to the value of a typical request.
const RECOMPUTE_COST: f64 = 0.07;
/// Cost per 1000 shared tokens fetched from another engine: the price of the transferred bytes.
const FETCH_COST: f64 = 0.014;
/// Cost of a preferred engine other than the first: another copy of the parts displaces the parts
/// of other sessions.
const SECONDARY_COST: f64 = 0.06;
/// Cost of an engine outside a session's preferred ones. Overflow stays on a few engines per
/// session; otherwise all VMs, acting on the same second-old load reports, would send theirs to the
/// one engine that was free.
const UNPREFERRED_COST: f64 = 0.8;
/// Range of the pseudo-random cost that spreads requests over equal engines. Otherwise all VMs,
/// acting on the same second-old load reports, would choose the same one.
const SPREAD_COST: f64 = 0.06;
/// Cost of an engine whose slots are all occupied; grows with the square of the occupancy.
const OCCUPANCY_COST: f64 = 0.2;
/// Cost of an endpoint in another availability zone: the price of a request's traffic.
const CROSS_ZONE_COST: f64 = 0.015;
/// Cost of a pause-sensitive stream at an unreserved engine, and of a long prompt at a reserved
/// one.
const MIXING_COST: f64 = 0.3;
/// Cost of a long prompt for each pause-sensitive stream that it would delay.
const DELAY_COST: f64 = 0.02;
/// Cost per 100 ms of work at an endpoint; balances the load of equal endpoints.
const WORK_COST: f64 = 0.03;
/// Advantage of a cold endpoint that takes a request now over one that is equal otherwise: it should be
/// warm when it is needed.
const WARM_UP_BONUS: f64 = 2.0 * SPREAD_COST;
/// Cost of an endpoint that has just refused a request because it was full.
const FULL_COST: f64 = 1.0;
/// Cost of an endpoint that refuses all requests, less for one that refuses a part: most callers of
/// a refused request are refused as well, as repeats are limited.
const REFUSAL_COST: f64 = 1.0;
/// Expected share of refusals from which sessions prefer other engines.
const MAX_PREFERRED_REFUSALS: f64 = 0.4;
/// Cost of an unhealthy endpoint, which is chosen only as a last resort.
const UNHEALTHY_COST: f64 = 100.0;
/// Cost per request in excess of an engine's slots, which waits for another to end.
const OVERFLOW_COST: f64 = 0.1;
/// Cost of memory use beyond the safe share, per engine's worth of memory.
const MEMORY_COST: f64 = 5.0;
/// Share of an engine's memory above which requests are likely to wait or to be preempted.
const SAFE_MEMORY_SHARE: f64 = 0.7;
/// Prompt length above which a prompt counts as long: two prefill chunks in a row lengthen a pause.
const LONG_PROMPT_TOKENS: u64 = 2_048;
/// Failure share in excess of the usual one that costs nothing, so that a recovered endpoint is
/// used again.
const TOLERATED_FAILURES: f64 = 0.1;
/// Assumed latency of a plain service before one is measured, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 50.0;

/// Values shared by the cost computations of one placement.
struct PlacementContext {
    /// Median failure share of the endpoints.
    usual_failures: f64,
    /// Median latency of the endpoints, in milliseconds.
    latency_ms: f64,
    /// Preferred endpoints for the prompt's shared parts, best first.
    preferred: Vec<EndpointId>,
    /// Endpoints to fetch shared parts from.
    kv_sources: KvSources,
    /// Engines reserved for pause-sensitive streams.
    reserved: BTreeSet<EndpointId>,
    /// Whether the request is a pause-sensitive stream.
    pause_sensitive: bool,
    /// Mean interval in milliseconds at which a full engine frees a slot, while slots are short.
    slot_interval: Option<f64>,
    /// Target level of the engines for requests without preferred engines, while slots are short.
    spread: Option<SlotSpread>,
    /// Whether pause-sensitive streams take the slots of other engines too.
    mixes: bool,
}

/// Chooses the endpoint with the lowest cost.
pub(super) fn cheapest(
    placer: &Placer,
    now: Instant,
    request: &PlacementRequest<'_>,
) -> Option<Placement> {
    let open = || placer.endpoints.values().filter(|e| e.accepts(now));
    let usual_failures = median(open().map(|e| e.health.failure_share())).unwrap_or_default();
    let latencies = open().map(|e| e.latency_ms).filter(|ms| *ms > 0.0);
    let candidates = || placer.endpoints.values().filter(|e| e.is_candidate(now));
    let healthy = || candidates().filter(|e| e.health.is_healthy(now, usual_failures));
    let mut context = PlacementContext {
        usual_failures,
        latency_ms: median(latencies).unwrap_or(DEFAULT_LATENCY_MS),
        preferred: Vec::new(),
        kv_sources: KvSources::default(),
        reserved: BTreeSet::new(),
        pause_sensitive: false,
        slot_interval: placer.slot_interval,
        spread: None,
        mixes: false,
    };
    if let (Some(profile), Some(_)) = (&placer.profile, request.prompt) {
        let pause_sensitive: u32 = candidates()
            .map(|e| total_load(e, now).pause_sensitive)
            .sum();
        let warm = || healthy().filter(|e| !e.cold_limited);
        context.reserved = match warm().next() {
            Some(_) => reserved_engines(warm(), pause_sensitive, placer.bulk_engines(now)),
            None => reserved_engines(healthy(), pause_sensitive, placer.bulk_engines(now)),
        };
        context.pause_sensitive = is_pause_sensitive(profile, request);
        let preference_order = match request.prompt.map(crate::Prompt::shared_tokens) {
            Some(tokens) if tokens >= MIN_SHARED_TOKENS => {
                let takes_most = |e: &&TrackedEndpoint| {
                    total_load(e, now).outcomes.refusal_share() < MAX_PREFERRED_REFUSALS
                };
                preference_order(healthy().filter(takes_most), request, &context)
            }
            _ => Vec::new(),
        };
        let filled =
            |e: &&TrackedEndpoint| now.since(e.cold_since) >= CACHE_FILL_TIME && !e.cold_limited;
        let filled = preference_order.iter().copied().filter(filled);
        context.kv_sources = KvSources::new(filled, placer.knows_releases());
        let suited = preference_order.iter().filter(|e| request.suits(&e.spec));
        let preferred = suited.take(PREFERRED_CACHED_SHARES.len());
        context.preferred = preferred.map(|e| e.spec.id.clone()).collect();
        if context.preferred.is_empty()
            && let Some(arrivals) = placer.arrivals_between_reports(now)
        {
            let loads = healthy().map(|e| {
                let meant = context.reserved.contains(&e.spec.id) == context.pause_sensitive;
                (meant, total_load(e, now).in_flight, e.spec.slots)
            });
            let spread = SlotSpread::of_engines(loads.collect(), arrivals);
            context.spread = spread.map(|(spread, _)| spread);
            context.mixes = spread.is_some_and(|(_, enough)| !enough);
        }
    }
    let allowed = || open().filter(|e| request.allows(&e.spec));
    let cost = |entry| endpoint_cost(placer, now, request, entry, &context);
    let first_choice = allowed().filter(|e| !request.is_last_resort(&e.spec));
    let best = cheapest_of(first_choice.map(cost));
    best.or_else(|| cheapest_of(allowed().map(cost)))
}

fn cheapest_of(costs: impl Iterator<Item = (f64, Placement)>) -> Option<Placement> {
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(best.1)
}

/// Whether continuous prefill of other prompts would lengthen the request's pauses beyond its
/// target.
fn is_pause_sensitive(profile: &EngineProfile, request: &PlacementRequest<'_>) -> bool {
    let long = request
        .prompt
        .is_some_and(|p| p.input.0 > LONG_PROMPT_TOKENS);
    let pause = request.max_pause.map(|p| p.as_secs_f64() * 1e3);
    !long && pause.is_some_and(|p| profile.loaded_gap_ms() > p * 0.9)
}

/// Endpoints in the order of preference for the request's deepest shared part, the same on all VMs.
fn preference_order<'a>(
    entries: impl Iterator<Item = &'a TrackedEndpoint>,
    request: &PlacementRequest<'_>,
    context: &PlacementContext,
) -> Vec<&'a TrackedEndpoint> {
    let Some(part) = request.prompt.and_then(|p| p.deepest_shared()) else {
        return Vec::new();
    };
    let suited =
        entries.filter(|e| context.reserved.contains(&e.spec.id) == context.pause_sensitive);
    let mut preference_order: Vec<_> = suited
        .map(|e| (cached_parts::rendezvous_weight(part, &e.spec.id), e))
        .collect();
    preference_order.sort_unstable_by(|(a, x), (b, y)| (b, &y.spec.id).cmp(&(a, &x.spec.id)));
    preference_order
        .into_iter()
        .map(|(_, entry)| entry)
        .collect()
}

/// Lower median.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied()
}

pub(super) fn total_load(entry: &TrackedEndpoint, now: Instant) -> Load {
    let mut total = entry.peer_loads.sum(now);
    total.add(entry.reported_load(now));
    total
}

/// Cost of an endpoint for the request, with the resulting placement.
fn endpoint_cost(
    placer: &Placer,
    now: Instant,
    request: &PlacementRequest<'_>,
    entry: &TrackedEndpoint,
    context: &PlacementContext,
) -> (f64, Placement) {
    let total = total_load(entry, now);
    let refusals = total.outcomes.refusal_share();
    let (mut cost, placement) = match (&placer.profile, request.prompt) {
        (Some(profile), Some(_)) => {
            let correction = placer.prefill_correction(entry, now);
            engine_cost(profile, (now, correction), request, entry, (total, context))
        }
        _ => service_cost(now, request, entry, (total, context)),
    };
    cost += (entry.health.failure_share() - context.usual_failures - TOLERATED_FAILURES).max(0.0);
    if entry.spec.zone != *request.zone {
        cost += CROSS_ZONE_COST;
    }
    cost += REFUSAL_COST * refusals;
    if entry.full_until > now {
        cost += FULL_COST;
    }
    if entry.cold_limited {
        cost -= WARM_UP_BONUS;
    }
    if !entry.health.is_healthy(now, context.usual_failures) {
        cost += UNHEALTHY_COST;
    }
    (cost, placement)
}

/// Risk of missing the target, from 0 to 1.
fn lateness_risk(predicted_ms: f64, target: Duration) -> f64 {
    let share = predicted_ms / (target.as_secs_f64() * 1e3).max(1.0);
    ((share - RISK_START) / (RISK_FULL - RISK_START)).clamp(0.0, 1.0)
}

fn duration_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

fn service_cost(
    now: Instant,
    request: &PlacementRequest<'_>,
    entry: &TrackedEndpoint,
    (total, context): (Load, &PlacementContext),
) -> (f64, Placement) {
    let latency_ms = if entry.latency_ms > 0.0 {
        entry.latency_ms
    } else {
        context.latency_ms
    };
    let queue_turns = f64::from(total.in_flight) / f64::from(entry.spec.slots.max(1));
    let wait = latency_ms * queue_turns;
    let cost = LATE_COST * lateness_risk(latency_ms + wait, request.target)
        + WORK_COST * (latency_ms + wait) / 100.0;
    let placement = Placement {
        id: entry.spec.id.clone(),
        predicted: duration_ms(latency_ms + wait),
        queue_delay: duration_ms(latency_ms * (queue_turns - 1.0).max(0.0)),
        kv_source: None,
        load: Load {
            in_flight: 1,
            ..Load::default()
        },
        placed: now,
        cold: entry.cold_limited,
        urgency: request.urgency,
        output: request.prompt.map_or(0, |p| p.output.0),
        first: None,
    };
    (cost, placement)
}

/// Requests in excess of an engine's slots with one more.
fn overflow(total: &Load, entry: &TrackedEndpoint) -> u32 {
    (total.in_flight + 1).saturating_sub(entry.spec.slots)
}

/// Time in milliseconds that a new request of `urgency` waits at an engine with load `total`.
pub(super) fn queue_delay_ms(
    profile: &EngineProfile,
    total: &Load,
    entry: &TrackedEndpoint,
    urgency: Urgency,
    (prefill_correction, slot_interval): (f64, Option<f64>),
) -> f64 {
    let pending = &total.pending_prefill;
    let prefill_ms = prefill_correction * profile.prefill_ms(pending.ahead_of(urgency));
    if let Some(interval_ms) = slot_interval {
        // Engines admit waiting requests by urgency, so the less urgent ones don't delay this one.
        let overflow = overflow(total, entry);
        let ahead = pending.ahead_of(urgency) as f64 / pending.total().max(1) as f64;
        let waiting = f64::from(overflow.saturating_sub(1)) * ahead;
        let turns = if overflow == 0 { 0.0 } else { 1.0 + waiting };
        return prefill_ms + turns * interval_ms;
    }
    // A request in excess of the slots waits for another to end, which takes about 100 steps; while
    // prompts are pending, each step also prefills a chunk.
    let chunk_ms = profile.prefill_ms(pending.total().min(u64::from(profile.chunk)));
    let slot_interval_ms = (profile.step_ms(total.in_flight) + chunk_ms) * 100.0;
    let slots = f64::from(entry.spec.slots.max(1));
    let slot_ms = f64::from(overflow(total, entry)) * slot_interval_ms / slots;
    prefill_ms + slot_ms
}

fn engine_cost(
    profile: &EngineProfile,
    (now, prefill_correction): (Instant, f64),
    request: &PlacementRequest<'_>,
    entry: &TrackedEndpoint,
    (total, context): (Load, &PlacementContext),
) -> (f64, Placement) {
    let Some(prompt) = request.prompt else {
        return service_cost(now, request, entry, (total, context));
    };
    let preference = context.preferred.iter().position(|id| *id == entry.spec.id);
    let cached = CacheEstimate::at(now, prompt, entry, preference, &context.kv_sources);
    let prefill_tokens = cached.prefill_tokens(prompt);
    let overflow = overflow(&total, entry);
    let queue_delay_ms = queue_delay_ms(
        profile,
        &total,
        entry,
        request.urgency,
        (prefill_correction, context.slot_interval),
    );
    let first_ms = profile.idle_ttft.as_secs_f64() * 1e3 + profile.step_ms(total.in_flight);
    let predicted_ms =
        first_ms + queue_delay_ms + prefill_correction * profile.prefill_ms(prefill_tokens);
    let mut cost = LATE_COST * lateness_risk(predicted_ms, request.target);
    cost += WORK_COST * (predicted_ms + profile.prefill_ms(total.pending_prefill.total())) / 100.0;
    cost += (RECOMPUTE_COST * cached.recomputed + FETCH_COST * cached.fetched) / 1e3;
    let occupancy = f64::from(total.in_flight) / f64::from(entry.spec.slots.max(1));
    if let Some(spread) = &context.spread {
        cost += spread.cost(total.in_flight, prompt, &entry.spec.id);
    } else {
        cost += OVERFLOW_COST * f64::from(overflow) + OCCUPANCY_COST * occupancy * occupancy;
    }
    if context.preferred.is_empty() {
        if context.spread.is_none() {
            cost += SPREAD_COST * cached_parts::hash_fraction(prompt, &entry.spec.id);
        }
    } else {
        cost += match preference {
            Some(0) => 0.0,
            Some(_) => SECONDARY_COST,
            None => UNPREFERRED_COST,
        };
    }
    let memory = prompt.memory().0;
    let filled = (total.memory + memory) as f64 / profile.memory.0.max(1) as f64;
    cost += (filled - SAFE_MEMORY_SHARE).max(0.0) * MEMORY_COST;
    let is_reserved = context.reserved.contains(&entry.spec.id);
    if context.pause_sensitive && !is_reserved && !context.mixes {
        cost += MIXING_COST;
    }
    if !context.pause_sensitive && prefill_tokens > LONG_PROMPT_TOKENS {
        cost += DELAY_COST * f64::from(total.pause_sensitive);
        if is_reserved {
            cost += MIXING_COST;
        }
    }
    let mut load = Load {
        in_flight: 1,
        pause_sensitive: u32::from(context.pause_sensitive),
        memory,
        ..Load::default()
    };
    load.pending_prefill = PendingPrefill::new(request.urgency, prefill_tokens);
    let placement = Placement {
        id: entry.spec.id.clone(),
        predicted: duration_ms(predicted_ms),
        queue_delay: duration_ms(queue_delay_ms),
        kv_source: cached.kv_source,
        load,
        placed: now,
        cold: entry.cold_limited,
        urgency: request.urgency,
        output: request.prompt.map_or(0, |p| p.output.0),
        first: None,
    };
    (cost, placement)
}
