//! The choice itself: the endpoint with the least predicted time, other costs counted as time.

use {
    super::{
        load::Load,
        parts,
        placer::{Choice, Placer, Row, Wish},
    },
    clock::Stamp,
    std::time::Duration,
    types::EndpointId,
};

/// Time that traffic to another availability zone counts as, in milliseconds: its bytes are billed.
const ZONE_MS: f64 = 25.0;
/// Share of a shared part that is taken as cached at the endpoint which all VMs prefer for it.
const HOME_CACHED: f64 = 0.6;
/// Time that a request beyond the slots counts as, in milliseconds: about a quarter of a request's time.
const WAIT_MS: f64 = 60.0;
/// Time that a lack of memory counts as, in milliseconds for each time the memory is filled.
const MEMORY_MS: f64 = 2_000.0;
/// Share of an engine's memory beyond which requests are likely to wait or be preempted.
const MEMORY_SHARE: f64 = 0.85;
/// Time that an endpoint that refused a request as full counts as, in milliseconds.
const FULL_MS: f64 = 1_000.0;
/// Time that an unfit endpoint counts as, in milliseconds: it is chosen only where no other is left.
const UNFIT_MS: f64 = 60_000.0;
/// Latency of a plain service before it is known, in milliseconds.
const PLAIN_MS: f64 = 50.0;

pub(super) fn cheapest(placer: &Placer, now: Stamp, wish: &Wish<'_>) -> Option<Choice> {
    let open = || placer.rows.values().filter(|r| r.open);
    let usual = usual_failures(open());
    let home = wish.prompt.and_then(|p| p.shared()).and_then(|part| {
        let fit = open().filter(|r| r.health.is_fit(now, usual));
        let best = fit.max_by_key(|r| parts::weight(part, &r.place.id))?;
        Some(best.place.id.clone())
    });
    let allowed = open().filter(|r| !wish.avoid.contains(&r.place.id));
    let priced = allowed.map(|row| price(placer, now, wish, row, (usual, home.as_ref())));
    let best = priced.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(best.1)
}

/// Median share of failures.
fn usual_failures<'a>(rows: impl Iterator<Item = &'a Row>) -> f64 {
    let mut shares: Vec<f64> = rows.map(|r| r.health.failures()).collect();
    shares.sort_by(f64::total_cmp);
    let middle = shares.len().saturating_sub(1) / 2;
    shares.get(middle).copied().unwrap_or_default()
}

/// Cost of a row in milliseconds, and the choice that it would be.
fn price(
    placer: &Placer,
    now: Stamp,
    wish: &Wish<'_>,
    row: &Row,
    (usual, home): (f64, Option<&EndpointId>),
) -> (f64, Choice) {
    let mut all = row.foreign.sum(now);
    all.add(row.own);
    let (load, time) = match wish.prompt {
        Some(_) => engine(placer, now, wish, row, (all, home)),
        None => plain(row, all),
    };
    let mut cost = time;
    if row.place.zone != *wish.zone {
        cost += ZONE_MS;
    }
    if row.full > now {
        cost += FULL_MS;
    }
    if !row.health.is_fit(now, usual) {
        cost += UNFIT_MS;
    }
    let choice = Choice {
        id: row.place.id.clone(),
        expected: Duration::from_secs_f64(time / 1e3),
        load,
    };
    (cost, choice)
}

fn plain(row: &Row, all: Load) -> (Load, f64) {
    let latency = if row.latency > 0.0 {
        row.latency
    } else {
        PLAIN_MS
    };
    let turns = f64::from(all.flying + 1) / f64::from(row.place.slots.max(1));
    let load = Load {
        flying: 1,
        ..Load::default()
    };
    // Half of the latency for an idle endpoint keeps equal ones evenly loaded.
    (load, latency * (0.5 + turns))
}

fn engine(
    placer: &Placer,
    now: Stamp,
    wish: &Wish<'_>,
    row: &Row,
    (all, home): (Load, Option<&EndpointId>),
) -> (Load, f64) {
    let Some(prompt) = wish.prompt else {
        return plain(row, all);
    };
    let is_home = home == Some(&row.place.id);
    let unread = unread(now, prompt, row, is_home);
    let profile = &placer.profile;
    let mut time = profile.first.as_secs_f64() * 1e3;
    time += profile.read_ms(all.unread + unread);
    time += f64::from(all.flying) * profile.beside.as_secs_f64() * 1e3;
    let beyond = (all.flying + 1).saturating_sub(row.place.slots);
    time += f64::from(beyond) * WAIT_MS;
    let memory = prompt.memory().0;
    if let Some(most) = placer.memory {
        let filled = (all.memory + memory) as f64 / most.0.max(1) as f64;
        time += (filled - MEMORY_SHARE).max(0.0) * MEMORY_MS;
    }
    let load = Load {
        flying: 1,
        unread,
        memory,
    };
    (load, time)
}

/// Tokens of the prompt that the endpoint has to read: those after the first part it lacks.
fn unread(now: Stamp, prompt: &crate::Prompt, row: &Row, is_home: bool) -> u64 {
    let mut cached = 0.0;
    for (part, tokens) in &prompt.parts {
        if row.parts.has(now, *part) {
            cached += tokens.0 as f64;
        } else if is_home && prompt.parts.last().is_some_and(|(last, _)| last != part) {
            cached += HOME_CACHED * tokens.0 as f64;
        } else {
            break;
        }
    }
    prompt.input.0.saturating_sub(cached as u64)
}
