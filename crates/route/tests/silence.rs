//! What is done about requests whose endpoint is silent.

use {
    route::{Activity, Silence, SilenceAction},
    std::time::Duration,
};

const LIMIT: Duration = Duration::from_millis(1_200);

fn after(request_ms: u64, endpoint_ms: u64, accepts: Option<bool>) -> Silence {
    Silence {
        request: Duration::from_millis(request_ms),
        activity: Some(Activity {
            last: Duration::from_millis(endpoint_ms),
            awake: Duration::from_secs(10),
        }),
        accepts,
        begun: true,
        limit: LIMIT,
        patience: Duration::from_secs(2),
    }
}

/// An endpoint that pauses lost all its streams at once.
#[test]
fn endpoint_that_pauses_and_accepts_connections_keeps_its_streams() {
    for ms in (0..1_600).step_by(100) {
        let action = after(ms, ms, Some(true)).action();
        assert_eq!(action, SilenceAction::Wait, "after {ms} ms");
    }
}

/// A crashed endpoint that doesn't close its connections kept its streams until callers left.
#[test]
fn endpoint_that_accepts_no_connections_is_dead_at_the_limit() {
    assert_eq!(after(600, 600, None).action(), SilenceAction::Wait);
    assert_eq!(after(800, 800, None).action(), SilenceAction::Check);
    assert_eq!(
        after(1_100, 1_100, Some(false)).action(),
        SilenceAction::Wait
    );
    assert_eq!(
        after(1_200, 1_200, Some(false)).action(),
        SilenceAction::Dead
    );
}

/// An endpoint whose run hangs but which accepts connections kept its streams until callers left.
#[test]
fn endpoint_that_stays_silent_is_dead_before_callers_leave() {
    assert_eq!(
        after(1_700, 1_700, Some(true)).action(),
        SilenceAction::Dead
    );
}

/// A stream that an endpoint had lost waited although the endpoint went on with others.
#[test]
fn stream_that_alone_is_silent_is_lost() {
    assert_eq!(after(1_100, 10, None).action(), SilenceAction::Wait);
    assert_eq!(after(1_200, 10, None).action(), SilenceAction::Lost);
}

/// Requests were moved from a busy endpoint's queue to the end of another one's.
#[test]
fn request_that_waits_at_a_busy_endpoint_stays() {
    let waiting = Silence {
        begun: false,
        ..after(5_000, 100, Some(true))
    };
    assert_eq!(waiting.action(), SilenceAction::Wait);
}

/// An endpoint that had nothing to do for long looked silent to the first request after that.
#[test]
fn idle_time_before_a_request_is_no_silence() {
    let first = Silence {
        begun: false,
        ..after(500, 60_000, None)
    };
    assert_eq!(first.action(), SilenceAction::Wait);
}

/// The other streams of an endpoint that paused were taken from it when the first one went on.
#[test]
fn streams_stay_while_an_endpoint_goes_on_with_them_one_after_the_other() {
    for awake_ms in [0, 100, 290] {
        let silence = Silence {
            activity: Some(Activity {
                last: Duration::ZERO,
                awake: Duration::from_millis(awake_ms),
            }),
            ..after(1_300, 0, Some(true))
        };
        assert_eq!(silence.action(), SilenceAction::Wait, "{awake_ms} ms");
    }
}

/// A request that was alone at an engine with a long prompt was taken from it.
#[test]
fn request_without_events_waits_as_long_as_its_caller() {
    let alone = Silence {
        begun: false,
        patience: Duration::from_secs(10),
        ..after(5_000, 60_000, Some(true))
    };
    assert_eq!(alone.action(), SilenceAction::Wait);
    let late = Silence {
        request: Duration::from_secs(8),
        ..alone
    };
    assert_eq!(late.action(), SilenceAction::Dead);
}
