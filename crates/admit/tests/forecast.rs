//! Refusal by forecast: a queue that serves in time against one that serves everyone late.

use {
    admit::{Forecast, admit},
    std::time::Duration,
    types::Tier,
};

const TARGET: Duration = Duration::from_millis(600);
const PATIENCE: Duration = Duration::from_secs(6);
const READ_MS: f64 = 100.0;

fn forecast(ahead_ms: f64, tier: u8) -> Forecast {
    let ahead = Duration::from_secs_f64(ahead_ms / 1e3);
    Forecast {
        queue_delay: ahead,
        predicted: ahead + Duration::from_secs_f64(READ_MS / 1e3),
        target: TARGET,
        remaining: PATIENCE,
        tier: Tier(tier),
        jitter: 0.5,
    }
}

/// Requests on time when prompts of 100 ms arrive at `load` times what one engine reads, for 20 s.
fn on_time(load: f64, refuses: bool) -> u32 {
    let mut ahead = 0.0;
    let mut served = 0;
    let gap = READ_MS / load;
    for _ in 0..(20_000.0 / gap) as u32 {
        ahead = f64::max(ahead - gap, 0.0);
        if refuses && admit(&forecast(ahead, 1)).is_err() {
            continue;
        }
        ahead += READ_MS;
        served += u32::from(ahead <= TARGET.as_secs_f64() * 1e3);
    }
    served
}

#[test]
fn beyond_capacity_refusing_serves_more_in_time() {
    let (all, some) = (on_time(2.0, false), on_time(2.0, true));
    assert!(all <= 20, "everyone waits, nobody is on time: {all}");
    // One engine reads 200 prompts in 20 s.
    assert!(some >= 100, "{some}");
}

#[test]
fn below_capacity_nothing_is_refused() {
    assert_eq!(on_time(0.9, true), on_time(0.9, false));
}

#[test]
fn higher_tiers_are_refused_later() {
    for ahead in (0..5_000).step_by(50) {
        let verdicts: Vec<bool> = (0..4)
            .map(|tier| admit(&forecast(f64::from(ahead), tier)).is_ok())
            .collect();
        assert!(
            verdicts.is_sorted_by(|a, b| a >= b),
            "{ahead}: {verdicts:?}"
        );
    }
}

#[test]
fn callers_come_back_within_their_time_and_not_at_once() {
    for draw in [0.0, 0.3, 0.99] {
        let wait = admit(&Forecast {
            jitter: draw,
            ..forecast(4_000.0, 1)
        });
        let wait = wait.unwrap_err();
        assert!(
            wait >= Duration::from_millis(250) && wait <= PATIENCE / 2,
            "{wait:?}"
        );
    }
    let early = admit(&Forecast {
        jitter: 0.0,
        ..forecast(900.0, 1)
    })
    .unwrap_err();
    let late = admit(&Forecast {
        jitter: 1.0,
        ..forecast(900.0, 1)
    })
    .unwrap_err();
    assert!(
        late > early + Duration::from_millis(100),
        "no wave: {early:?} {late:?}"
    );
}
