//! Admission by predicted latency, compared with a queue that admits everything and serves everyone
//! late.

use {
    admit::{Forecast, QueueForecast},
    std::time::Duration,
    types::Tier,
};

const TARGET: Duration = Duration::from_millis(600);
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);
const PREFILL_MS: f64 = 100.0;

fn forecast(queue_delay_ms: f64, tier: u8) -> Forecast {
    let delay = Duration::from_secs_f64(queue_delay_ms / 1e3);
    Forecast {
        queue: QueueForecast {
            delay,
            target: TARGET,
            tier: Tier(tier),
        },
        predicted: delay + Duration::from_secs_f64(PREFILL_MS / 1e3),
        remaining: CALLER_TIMEOUT,
        jitter: 0.5,
    }
}

fn admit(forecast: &Forecast) -> Result<(), Duration> {
    admit::admit(forecast, [].into_iter())
}

/// Requests served on time when prompts of 100 ms arrive for 20 s at `load` times the prefill
/// capacity of one engine.
fn on_time(load: f64, sheds: bool) -> u32 {
    let mut queue_delay = 0.0;
    let mut served = 0;
    let gap = PREFILL_MS / load;
    for _ in 0..(20_000.0 / gap) as u32 {
        queue_delay = f64::max(queue_delay - gap, 0.0);
        if sheds && admit(&forecast(queue_delay, 1)).is_err() {
            continue;
        }
        queue_delay += PREFILL_MS;
        served += u32::from(queue_delay <= TARGET.as_secs_f64() * 1e3);
    }
    served
}

#[test]
fn shedding_serves_more_in_time_under_overload() {
    let (without, with) = (on_time(2.0, false), on_time(2.0, true));
    assert!(
        without <= 20,
        "{without} on time without shedding: no overload"
    );
    // One engine prefills 200 prompts in 20 s.
    assert!(with >= 100, "{with}");
}

#[test]
fn nothing_is_refused_below_capacity() {
    assert_eq!(on_time(0.9, true), on_time(0.9, false));
}

#[test]
fn higher_tiers_are_never_refused_before_lower_ones() {
    for queue_delay in (0..5_000).step_by(50) {
        let admitted: Vec<bool> = (0..4)
            .map(|tier| admit(&forecast(f64::from(queue_delay), tier)).is_ok())
            .collect();
        assert!(
            admitted.is_sorted_by(|a, b| a >= b),
            "{queue_delay}: {admitted:?}"
        );
    }
}

#[test]
fn retry_times_are_bounded_and_spread() {
    for jitter in [0.0, 0.3, 0.99] {
        let wait = admit(&Forecast {
            jitter,
            ..forecast(4_000.0, 1)
        });
        let wait = wait.unwrap_err();
        assert!(
            wait >= Duration::from_millis(250) && wait <= CALLER_TIMEOUT / 2,
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
        "retries are not spread: {early:?} {late:?}"
    );
}

/// While short urgent requests filled an engine's queue beyond their short target, requests with a
/// longer target were admitted there and the urgent ones refused.
#[test]
fn urgent_requests_are_not_refused_where_less_urgent_ones_are_admitted() {
    for delay_ms in (0..2_000).step_by(20) {
        let urgent = QueueForecast {
            delay: Duration::from_millis(delay_ms),
            target: Duration::from_millis(400),
            tier: Tier(1),
        };
        let urgent_request = Forecast {
            queue: urgent,
            ..forecast(delay_ms as f64, 1)
        };
        // Nothing waits at the engine but urgent requests.
        let less_urgent = admit::admit(&forecast(delay_ms as f64, 1), [urgent].into_iter());
        assert!(
            admit(&urgent_request).is_ok() || less_urgent.is_err(),
            "{delay_ms} ms"
        );
    }
}
