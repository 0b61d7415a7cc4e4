//! How soon a VM knows that it is cut off, and what it doesn't take for that.

use {
    clock::Instant,
    detour::{ConnectFailure, Link, Reachability},
    quickcheck::quickcheck,
    std::{net::SocketAddr, time::Duration},
};

const LIMIT: Duration = Duration::from_millis(700);
/// Time of a check in which no connection is accepted.
const CHECK_TIME: Duration = Duration::from_millis(500);
/// Time within which a VM must know that it is cut off: the shortest one that the users' rules give.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(50);

fn start() -> Instant {
    Instant::default() + Duration::from_secs(1_000)
}

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 80))
}

fn refused(number: u8) -> ConnectFailure {
    ConnectFailure {
        addr: addr(number),
        took: Duration::from_millis(1),
        limit: LIMIT,
    }
}

/// A VM that sends a request each `interval`; `heard` tells whether endpoints answer. Returns when it takes
/// itself to be cut off.
fn run_cut(interval: Duration, kept_connections: bool) -> Duration {
    let mut reach = Reachability::default();
    let begun = start();
    reach.record_accepted(begun);
    let (mut now, mut next, mut check_end) = (begun, begun, None);
    loop {
        if now >= next {
            next = next + interval;
            if kept_connections {
                reach.record_send(now);
            } else {
                reach.record_failure(now, refused((now.nanos() / 50_000_000 % 200) as u8));
            }
        }
        if check_end.is_some_and(|end| now >= end) {
            check_end = None;
            reach.end_check(now, false);
        }
        if reach.link() == Link::Cut {
            return now.since(begun);
        }
        if check_end.is_none() && reach.begin_check(now) {
            check_end = Some(now + CHECK_TIME);
        }
        now = now + STEP;
        assert!(now.since(begun) < Duration::from_secs(60), "never cut off");
    }
}

/// A VM with little traffic must know of a cut as soon as its rules bind it.
#[test]
fn vm_knows_of_a_cut_in_time() {
    for (interval_ms, kept) in [
        (50, true),
        (50, false),
        (250, true),
        (250, false),
        (1_000, true),
    ] {
        let known = run_cut(Duration::from_millis(interval_ms), kept);
        assert!(
            known < CONTACT_TIME,
            "{known:?} with a request each {interval_ms} ms"
        );
    }
}

/// One endpoint that crashed made a VM take a detour to all of them.
#[test]
fn one_endpoint_that_refuses_is_no_cut() {
    let mut reach = Reachability::default();
    let mut now = start();
    for _ in 0..100 {
        reach.record_accepted(now);
        assert!(!reach.record_failure(now, refused(1)));
        assert!(!reach.record_failure(now, refused(1)));
        now = now + Duration::from_millis(400);
        assert!(!reach.begin_check(now));
    }
    assert_eq!(reach.link(), Link::Connected);
}

/// Endpoints that are all silent for a while still accept connections.
#[test]
fn silence_alone_is_no_cut() {
    let mut reach = Reachability::default();
    let mut now = start();
    let mut checks = 0;
    for _ in 0..200 {
        reach.record_send(now);
        now = now + STEP;
        if reach.begin_check(now) {
            checks += 1;
            reach.record_accepted(now);
            reach.end_check(now, true);
        }
        assert_eq!(reach.link(), Link::Connected);
    }
    // Ten seconds of silence.
    assert!((5..=20).contains(&checks), "{checks} checks");
}

/// After a pause of the VM its own timers say that all connections timed out.
#[test]
fn pause_of_the_vm_is_no_cut() {
    let mut reach = Reachability::default();
    let now = start() + Duration::from_secs(5);
    reach.record_accepted(start());
    for number in 0..5 {
        let late = ConnectFailure {
            took: Duration::from_secs(5),
            ..refused(number)
        };
        assert!(!reach.record_failure(now, late));
    }
    reach.record_send(start());
    reach.record_pause();
    assert!(!reach.begin_check(now));
    assert_eq!(reach.link(), Link::Connected);
}

/// A VM whose links are back must notice it without traffic of its own.
#[test]
fn vm_that_is_cut_off_goes_on_checking() {
    let mut reach = Reachability::default();
    let mut now = start();
    reach.record_failure(now, refused(1));
    assert_eq!(reach.link(), Link::Suspected);
    let mut checks = 0;
    for _ in 0..100 {
        if reach.begin_check(now) {
            checks += 1;
            reach.end_check(now, false);
        }
        now = now + STEP;
    }
    assert_eq!(reach.link(), Link::Cut);
    assert!(checks >= 10, "{checks} checks in 5 s");
    assert!(reach.record_accepted(now));
    assert_eq!(reach.link(), Link::Connected);
}

quickcheck! {
    /// Whatever came before, an accepted connection shows that the VM is not cut off.
    fn accepted_connection_ends_every_doubt(events: Vec<(u8, u16)>) -> bool {
        let mut reach = Reachability::default();
        let mut now = start();
        for (event, ms) in events {
            now = now + Duration::from_millis(u64::from(ms));
            match event % 5 {
                0 => reach.record_send(now),
                1 => {
                    reach.record_failure(now, refused(event));
                }
                2 => {
                    if reach.begin_check(now) {
                        reach.end_check(now, event > 127);
                    }
                }
                3 => reach.record_heard(),
                _ => reach.record_pause(),
            }
        }
        reach.record_accepted(now);
        reach.link() == Link::Connected
    }
}
