//! The choice itself: the endpoint that costs least, in shares of the worth of a typical request.

use {
    super::{
        load::{Load, rank},
        parts,
        placer::{Placement, PlacementRequest, Placer, Row},
        profile::EngineProfile,
        quiet::quiet,
    },
    clock::Stamp,
    std::{collections::BTreeSet, time::Duration},
    types::EndpointId,
};

/// Loss of a request that comes late.
const LATE: f64 = 0.7;
/// Shares of the target between which the risk of being late grows from none to certain.
const RISK_FROM: f64 = 0.35;
const RISK_TO: f64 = 1.1;
/// Cost of a thousand shared tokens that are read again though another engine has them: their price
/// against the worth of a request of the usual size.
const REREAD: f64 = 0.07;
/// Cost of a thousand shared tokens that are fetched from another engine: the price of their bytes.
const FETCH: f64 = 0.014;
/// Cost of another engine than the home: one more copy of the parts takes memory from those of
/// others.
const AWAY: f64 = 0.06;
/// Cost of an engine that is none of a session's homes. Overflow goes to each session's own few
/// engines: VMs that act on the same news a second late would otherwise all send theirs to the one
/// that was free.
const STRAY: f64 = 0.8;
/// Fewest shared tokens for which a home and a fetch pay: a fetch's set-up takes as long as reading
/// a few hundred.
const FETCH_FROM: u64 = 1_000;
/// Spread of the costs of equal engines: VMs that act on the same news a second late would all
/// choose the same one otherwise.
const SPREAD: f64 = 0.06;
/// Cost of an engine whose slots are all taken; it grows with the square of the share taken.
const CROWDED: f64 = 0.2;
/// Cost of another availability zone: the price of a request's bytes.
const ZONE: f64 = 0.015;
/// Cost of a delicate stream at an engine that is not quiet, and of a long prompt at one that is.
const MIXED: f64 = 0.3;
/// Cost of a long prompt for each delicate stream that it would delay.
const HARM: f64 = 0.02;
/// Cost of each hundred milliseconds of work at an engine: keeps equal ones evenly loaded.
const BALANCE: f64 = 0.03;
/// Cost of an endpoint that refused a request as full a moment ago.
const FULL: f64 = 1.0;
/// Cost of an unfit endpoint: it is chosen only where no other is left.
const UNFIT: f64 = 100.0;
/// Cost of each request beyond an engine's slots: it waits for the end of another.
const BEYOND: f64 = 0.1;
/// Cost of a lack of memory, for each time that the memory is filled.
const MEMORY: f64 = 5.0;
/// Share of an engine's memory beyond which requests are likely to wait or be preempted.
const MEMORY_SHARE: f64 = 0.7;
/// Prompt tokens from which a prompt counts as long: two chunks in a row stretch a pause.
const LONG_PROMPT: u64 = 2_048;
/// Share of a shared part that is taken as cached at the endpoints that all VMs prefer for it, once
/// they have served for long.
const HOME_CACHED: [f64; 4] = [0.85, 0.3, 0.15, 0.1];
/// Time in which a new endpoint's cache fills: about the time between two uses of a session.
const FILLING: Duration = Duration::from_secs(5);
/// Share of failures above the usual one that costs nothing, so that a recovered endpoint is used
/// again.
const USUAL_FAILURES: f64 = 0.1;
/// Latency of a plain service before any is known, in milliseconds.
const PLAIN_MS: f64 = 50.0;

/// What is the same for all rows of one choice.
struct Scene {
    /// Share of failures of a usual endpoint.
    usual: f64,
    /// Latency of a usual endpoint, in milliseconds.
    latency: f64,
    homes: Vec<EndpointId>,
    /// Endpoints that shared parts can be fetched from, best first: the second one serves the
    /// first.
    sources: Vec<EndpointId>,
    quiet: BTreeSet<EndpointId>,
    delicate: bool,
    /// Reading time that turns out, against the one that the forecast is made from.
    drift: f64,
}

pub(super) fn cheapest(
    placer: &Placer,
    now: Stamp,
    wish: &PlacementRequest<'_>,
) -> Option<Placement> {
    let open = || placer.rows.values().filter(|r| r.open);
    let usual = median(open().map(|r| r.health.failures())).unwrap_or_default();
    let known = open().map(|r| r.latency).filter(|ms| *ms > 0.0);
    let fit = || open().filter(|r| r.health.is_fit(now, usual));
    let mut scene = Scene {
        usual,
        latency: median(known).unwrap_or(PLAIN_MS),
        homes: Vec::new(),
        sources: Vec::new(),
        quiet: BTreeSet::new(),
        delicate: false,
        drift: placer.drift.factor(),
    };
    if let (Some(profile), Some(_)) = (&placer.profile, wish.prompt) {
        let delicate: u32 = open().map(|r| all(r, now).pause_sensitive).sum();
        scene.quiet = quiet(fit(), delicate);
        scene.delicate = is_delicate(profile, wish);
        let ranked = match wish.prompt.map(crate::Prompt::shared_tokens) {
            Some(tokens) if tokens >= FETCH_FROM => ranked(fit(), wish, &scene),
            _ => Vec::new(),
        };
        let ids = |rows: &mut dyn Iterator<Item = &&Row>, most: usize| {
            rows.take(most).map(|r| r.place.id.clone()).collect()
        };
        scene.homes = ids(&mut ranked.iter(), HOME_CACHED.len());
        let settled = |r: &&&Row| now.since(r.since) >= FILLING;
        scene.sources = ids(&mut ranked.iter().filter(settled), 2);
    }
    let allowed = open().filter(|r| !wish.avoid.contains(&r.place.id));
    let priced = allowed.map(|row| price(placer, now, wish, row, &scene));
    let best = priced.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(best.1)
}

/// Whether prompts that are read all the time would stretch the request's pauses past their target.
fn is_delicate(profile: &EngineProfile, wish: &PlacementRequest<'_>) -> bool {
    let long = wish.prompt.is_some_and(|p| p.input.0 > LONG_PROMPT);
    let pause = wish.max_pause.map(|p| p.as_secs_f64() * 1e3);
    !long && pause.is_some_and(|p| profile.crowded_ms() > p * 0.9)
}

/// Endpoints in the order in which all VMs prefer them for the request's deepest shared part.
fn ranked<'a>(
    rows: impl Iterator<Item = &'a Row>,
    wish: &PlacementRequest<'_>,
    scene: &Scene,
) -> Vec<&'a Row> {
    let Some(part) = wish.prompt.and_then(|p| p.deepest_shared()) else {
        return Vec::new();
    };
    let suited = rows.filter(|r| scene.quiet.contains(&r.place.id) == scene.delicate);
    let mut ranked: Vec<_> = suited
        .map(|r| (parts::weight(part, &r.place.id), r))
        .collect();
    ranked.sort_unstable_by(|(a, x), (b, y)| (b, &y.place.id).cmp(&(a, &x.place.id)));
    ranked.into_iter().map(|(_, row)| row).collect()
}

/// The lower median.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied()
}

fn all(row: &Row, now: Stamp) -> Load {
    let mut all = row.foreign.sum(now);
    all.add(row.own);
    all
}

/// Cost of a row, and the choice that it would be.
fn price(
    placer: &Placer,
    now: Stamp,
    wish: &PlacementRequest<'_>,
    row: &Row,
    scene: &Scene,
) -> (f64, Placement) {
    let all = all(row, now);
    let (mut cost, choice) = match (&placer.profile, wish.prompt) {
        (Some(profile), Some(_)) => engine(profile, now, wish, row, (all, scene)),
        _ => plain(wish, row, (all, scene)),
    };
    cost += (row.health.failures() - scene.usual - USUAL_FAILURES).max(0.0);
    if row.place.zone != *wish.zone {
        cost += ZONE;
    }
    if row.full > now {
        cost += FULL;
    }
    if !row.health.is_fit(now, scene.usual) {
        cost += UNFIT;
    }
    (cost, choice)
}

/// Risk of being late, from none to one.
fn risk(expected_ms: f64, target: Duration) -> f64 {
    let share = expected_ms / (target.as_secs_f64() * 1e3).max(1.0);
    ((share - RISK_FROM) / (RISK_TO - RISK_FROM)).clamp(0.0, 1.0)
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

fn plain(wish: &PlacementRequest<'_>, row: &Row, (all, scene): (Load, &Scene)) -> (f64, Placement) {
    let latency = if row.latency > 0.0 {
        row.latency
    } else {
        scene.latency
    };
    let turns = f64::from(all.in_flight) / f64::from(row.place.slots.max(1));
    let wait = latency * turns;
    let cost = LATE * risk(latency + wait, wish.target) + BALANCE * (latency + wait) / 100.0;
    let choice = Placement {
        id: row.place.id.clone(),
        predicted: millis(latency + wait),
        queue_delay: millis(latency * (turns - 1.0).max(0.0)),
        kv_source: None,
        load: Load {
            in_flight: 1,
            ..Load::default()
        },
    };
    (cost, choice)
}

fn engine(
    profile: &EngineProfile,
    now: Stamp,
    wish: &PlacementRequest<'_>,
    row: &Row,
    (all, scene): (Load, &Scene),
) -> (f64, Placement) {
    let Some(prompt) = wish.prompt else {
        return plain(wish, row, (all, scene));
    };
    let rank_home = scene.homes.iter().position(|id| *id == row.place.id);
    let cached = Cached::at(now, prompt, row, rank_home, &scene.sources);
    let unread = cached.unread(prompt);
    let beyond = (all.in_flight + 1).saturating_sub(row.place.slots);
    // Each request beyond the slots waits for the end of one, which takes some hundred steps; while
    // prompts wait, each step reads a chunk of them.
    let chunk_ms = profile.read_ms(all.total_prefill().min(u64::from(profile.chunk)));
    let turn_ms = (profile.step_ms(all.in_flight) + chunk_ms) * 100.0;
    let queue_ms = f64::from(beyond) * turn_ms / f64::from(row.place.slots.max(1));
    let drift = scene.drift;
    let ahead_ms = drift * profile.read_ms(all.ahead(wish.tier)) + queue_ms;
    let first_ms = profile.idle_ttft.as_secs_f64() * 1e3 + profile.step_ms(all.in_flight);
    let expected_ms = first_ms + ahead_ms + drift * profile.read_ms(unread);
    let mut cost = LATE * risk(expected_ms, wish.target);
    cost += BALANCE * (expected_ms + profile.read_ms(all.total_prefill())) / 100.0;
    cost += (REREAD * cached.reread + FETCH * cached.fetched) / 1e3;
    let taken = f64::from(all.in_flight) / f64::from(row.place.slots.max(1));
    cost += BEYOND * f64::from(beyond) + CROWDED * taken * taken;
    if scene.homes.is_empty() {
        cost += SPREAD * parts::draw(prompt, &row.place.id);
    } else {
        cost += match rank_home {
            Some(0) => 0.0,
            Some(_) => AWAY,
            None => STRAY,
        };
    }
    let memory = prompt.memory().0;
    let filled = (all.memory + memory) as f64 / profile.memory.0.max(1) as f64;
    cost += (filled - MEMORY_SHARE).max(0.0) * MEMORY;
    let is_quiet = scene.quiet.contains(&row.place.id);
    if scene.delicate && !is_quiet {
        cost += MIXED;
    }
    if !scene.delicate && unread > LONG_PROMPT {
        cost += HARM * f64::from(all.pause_sensitive);
        if is_quiet {
            cost += MIXED;
        }
    }
    let mut load = Load {
        in_flight: 1,
        pause_sensitive: u32::from(scene.delicate),
        memory,
        ..Load::default()
    };
    load.pending_prefill[rank(wish.tier)] = unread;
    let choice = Placement {
        id: row.place.id.clone(),
        predicted: millis(expected_ms),
        queue_delay: millis(ahead_ms),
        kv_source: cached.source,
        load,
    };
    (cost, choice)
}

/// What is expected of a prompt's parts at one endpoint, in tokens.
struct Cached {
    /// In its cache.
    kept: f64,
    /// Fetched from another endpoint.
    fetched: f64,
    /// Of parts that other requests share, read again.
    reread: f64,
    /// Where to fetch from.
    source: Option<EndpointId>,
}

impl Cached {
    fn at(
        now: Stamp,
        prompt: &crate::Prompt,
        row: &Row,
        rank_home: Option<usize>,
        sources: &[EndpointId],
    ) -> Self {
        let age = now.since(row.since).as_secs_f64() / FILLING.as_secs_f64();
        let filled = 1.0 - (-age).exp();
        let last = prompt.parts.len().saturating_sub(1);
        let (mut kept, mut missing, mut lacks) = (0.0, 0.0, false);
        for (at, (part, tokens)) in prompt.parts.iter().enumerate() {
            let tokens = tokens.0 as f64;
            let share = match rank_home {
                _ if lacks => 0.0,
                _ if row.parts.has(now, *part) => 1.0,
                Some(rank) if at < last => HOME_CACHED[rank] * filled,
                _ => 0.0,
            };
            lacks |= share == 0.0;
            kept += share * tokens;
            if at < last {
                missing += (1.0 - share) * tokens;
            }
        }
        let source = sources.iter().find(|id| **id != row.place.id);
        let source = source.filter(|_| missing >= FETCH_FROM as f64).cloned();
        let fetched = match source {
            Some(_) => missing * HOME_CACHED[0],
            None => 0.0,
        };
        Self {
            kept,
            fetched,
            reread: missing - fetched,
            source,
        }
    }

    /// Tokens that the endpoint has to read.
    fn unread(&self, prompt: &crate::Prompt) -> u64 {
        let had = (self.kept + self.fetched) as u64;
        prompt.input.0.saturating_sub(had)
    }
}
