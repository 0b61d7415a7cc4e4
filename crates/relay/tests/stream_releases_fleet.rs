//! Streams that callers take up at other VMs than the one that began them.

mod common;

use {
    common::{
        FIRST_EVENTS, Fleet, ReleaseLog, ReleasedEndpoint, Router, StreamRequest, StreamResponse,
    },
    std::{ops::Range, sync::Arc, thread, time::Duration},
};

/// VMs of the users' smaller fleets, and more VMs than exchange their loads with each other.
const SMALL: u8 = 8;
const LARGE: u8 = 44;
/// Time in which all VMs of a large fleet find their hubs.
const START_TIME: Duration = Duration::from_secs(6);
/// Streams of a test.
const STREAMS: usize = 24;
/// Streams that callers take up twice.
const TWICE: usize = 12;
/// Time from the first event of the last stream until VMs are stopped.
const STREAM_TIME: Duration = Duration::from_millis(200);
/// How often callers come back after all VMs were killed, and how long they wait in between.
const RETURNS: usize = 8;
const RETURN_INTERVAL: Duration = Duration::from_millis(700);
/// Time from the end of a VM until its callers are back.
const RETURN_TIME: Duration = Duration::from_millis(50);

/// Time in which VMs of a zone begin to follow their reader.
const FOLLOW_TIME: Duration = Duration::from_secs(3);
/// Length of the pause; time in which the reader answers the request that is pending then; time from the listing of a release
/// until streams begin at it.
const STALL_TIME: Duration = Duration::from_millis(6_500);
const ANSWER_TIME: Duration = Duration::from_millis(700);
const USE_TIME: Duration = Duration::from_millis(3_500);
/// Time in which the platform's record of the releases is written.
const RECORD_TIME: Duration = Duration::from_secs(1);
const TWO_RELEASES: [&str; 4] = ["r1", "r1", "r2", "r2"];

/// Endpoints with these releases.
fn start_endpoints(releases: [&'static str; 4], log: &Arc<ReleaseLog>) -> Vec<ReleasedEndpoint> {
    let numbered = releases.iter().enumerate();
    numbered
        .map(|(at, release)| ReleasedEndpoint::start(&format!("e{at}"), release, log))
        .collect()
}

/// Ends VMs abruptly; their callers notice it, and are ready to return.
fn kill(fleet: &mut Fleet, vms: Range<usize>, streams: &mut [StreamResponse]) {
    thread::sleep(STREAM_TIME);
    fleet.kill(vms);
    streams.iter_mut().for_each(StreamResponse::close);
    thread::sleep(RETURN_TIME);
}

/// The requests with which callers take these streams up again.
fn resume(streams: &[StreamResponse]) -> Vec<StreamRequest> {
    streams.iter().map(|s| s.resume(&s.attempt)).collect()
}

/// Number of streams that went on to their end.
fn count_whole(responses: &[StreamResponse]) -> usize {
    responses.iter().filter(|r| r.is_whole()).count()
}

/// Checks that streams stay at their releases, and that at least half of them go on, when the VMs
/// that served them were stopped a moment ago.
fn check_returns(vms: u8, start_time: Duration, serving: Range<usize>) {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = start_endpoints(["r1", "r1", "r2", "r2"], &log);
    let listed: Vec<_> = endpoints.iter().collect();
    let mut fleet = Fleet::start(vms, &listed);
    thread::sleep(start_time);
    let mut streams = fleet.begin(STREAMS, serving.clone());
    for release in ["r1", "r2"] {
        assert!(streams.iter().any(|s| s.release() == Some(release)));
    }
    kill(&mut fleet, serving, &mut streams);
    let responses = fleet.send(&resume(&streams), 0..fleet.routers.len());
    log.check_unmixed();
    let whole = count_whole(&responses);
    assert!(whole * 2 >= STREAMS, "{whole} of {STREAMS} streams went on");
}

/// A caller that came back at another VM got events of another release.
#[test]
fn stream_taken_up_at_another_vm_stays_at_its_release() {
    check_returns(SMALL, Duration::ZERO, 0..2);
}

/// As above, in a fleet whose VMs know only the hubs of their zone.
#[test]
fn stream_taken_up_in_a_fleet_with_hubs_stays_at_its_release() {
    check_returns(LARGE, START_TIME, 20..22);
}

/// A caller that came back a second time, at a third VM, got events of another release.
#[test]
fn stream_taken_up_a_second_time_stays_at_its_release() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = start_endpoints(["r1", "r1", "r2", "r2"], &log);
    let listed: Vec<_> = endpoints.iter().collect();
    let mut fleet = Fleet::start(SMALL, &listed);
    let mut first = fleet.begin(TWICE, 0..1);
    kill(&mut fleet, 0..1, &mut first);
    let mut requests = resume(&first);
    for request in &mut requests {
        request.pause_after = Some(FIRST_EVENTS + 2);
    }
    let mut second = fleet.send(&requests, 0..1);
    log.check_unmixed();
    kill(&mut fleet, 0..1, &mut second);
    let went_on = first.iter().zip(&second);
    let went_on = went_on.filter(|(_, s)| s.last_event() == Some(FIRST_EVENTS + 2));
    let requests: Vec<_> = went_on.map(|(f, s)| s.resume(&f.attempt)).collect();
    let count = requests.len();
    assert!(count * 2 >= TWICE, "{count} of {TWICE} streams went on");
    let third = fleet.send(&requests, 0..1);
    log.check_unmixed();
    let whole = count_whole(&third);
    assert!(
        whole * 2 >= count,
        "{whole} of {count} streams went on again"
    );
}

/// Streams of the one release that serves would not have gone on at other VMs.
#[test]
fn stream_goes_on_at_any_vm_while_one_release_serves() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = start_endpoints(["r1"; 4], &log);
    let listed: Vec<_> = endpoints.iter().collect();
    let mut fleet = Fleet::start(SMALL, &listed);
    let mut streams = fleet.begin(STREAMS, 0..3);
    kill(&mut fleet, 0..3, &mut streams);
    let responses = fleet.send(&resume(&streams), 0..5);
    assert_eq!(count_whole(&responses), STREAMS);
}

/// As above, at a VM that has just started.
#[test]
fn stream_goes_on_at_a_vm_that_has_just_started() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = start_endpoints(["r1"; 4], &log);
    let listed: Vec<_> = endpoints.iter().collect();
    let mut fleet = Fleet::start(SMALL, &listed);
    let mut streams = fleet.begin(STREAMS, 0..1);
    kill(&mut fleet, 0..1, &mut streams);
    fleet.start_vm();
    fleet.routers.iter().for_each(Router::wait_ready);
    let last = fleet.routers.len() - 1;
    let responses = fleet.send(&resume(&streams), last..last + 1);
    assert_eq!(count_whole(&responses), STREAMS);
}

/// Kills all VMs of a fleet at once while endpoints of these releases serve, or right after the first half of them has
/// left, and checks that streams which callers take up at the new VMs get events of no other release. Returns how
/// many of `STREAMS` went on.
fn restart_all(vms: u8, releases: [&'static str; 4], has_left: bool) -> usize {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = start_endpoints(releases, &log);
    let listed: Vec<_> = endpoints.iter().collect();
    let mut fleet = Fleet::start(vms, &listed);
    thread::sleep(RECORD_TIME);
    let vms = fleet.routers.len();
    // At two VMs, so that each fills more than one endpoint.
    let mut streams = fleet.begin(STREAMS, 0..2);
    for release in releases {
        assert!(streams.iter().any(|s| s.release() == Some(release)));
    }
    if has_left {
        endpoints[..2].iter().for_each(|e| fleet.unlist(e));
        thread::sleep(STREAM_TIME);
    }
    kill(&mut fleet, 0..vms, &mut streams);
    (0..vms).for_each(|_| fleet.start_vm());
    fleet.routers.iter().for_each(Router::wait_ready);
    // Callers come back at once, and those that are refused again and again.
    let mut whole = 0;
    for _ in 0..RETURNS {
        let responses = fleet.send(&resume(&streams), 0..vms);
        log.check_unmixed();
        whole += count_whole(&responses);
        let refused = streams.into_iter().zip(responses);
        let refused = refused.filter(|(_, response)| !response.is_whole());
        streams = refused.map(|(stream, _)| stream).collect();
        thread::sleep(RETURN_INTERVAL);
    }
    whole
}

/// All VMs had forgotten which release began a stream, and callers got the rest from another one.
#[test]
fn stream_taken_up_after_all_vms_were_killed_stays_at_its_release() {
    restart_all(SMALL, TWO_RELEASES, false);
}

/// Callers whose streams broke off when all VMs were killed were refused, although endpoints of their releases
/// served.
#[test]
fn half_of_the_streams_go_on_after_all_vms_were_killed() {
    let whole = restart_all(SMALL, TWO_RELEASES, false);
    assert!(whole * 2 >= STREAMS, "{whole} of {STREAMS} streams went on");
}

/// As above, in a fleet with hubs.
#[test]
fn half_of_the_streams_go_on_after_a_fleet_with_hubs_was_killed() {
    let whole = restart_all(LARGE, TWO_RELEASES, false);
    assert!(whole * 2 >= STREAMS, "{whole} of {STREAMS} streams went on");
}

/// As above, when only the newer release is left.
#[test]
fn stream_whose_release_left_before_all_vms_were_killed_is_not_joined() {
    restart_all(SMALL, TWO_RELEASES, true);
}

/// Callers whose streams broke off when all VMs were killed were refused for a whole window, although there was only
/// one release.
#[test]
fn streams_of_the_only_release_go_on_after_all_vms_were_killed() {
    let whole = restart_all(SMALL, ["r1"; 4], false);
    assert!(whole * 2 >= STREAMS, "{whole} of {STREAMS} streams went on");
}

/// As above, in a fleet with hubs.
#[test]
fn streams_of_the_only_release_go_on_after_a_fleet_with_hubs_was_killed() {
    let whole = restart_all(LARGE, ["r1"; 4], false);
    assert!(whole * 2 >= STREAMS, "{whole} of {STREAMS} streams went on");
}

/// A VM that was paused while a release was deployed resumes with a stale response, which lists only the old release. It must not
/// resume streams of the new release there.
#[test]
fn stream_taken_up_at_a_vm_that_stood_still_stays_at_its_release() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = start_endpoints(TWO_RELEASES, &log);
    let (old, new) = endpoints.split_at(2);
    let mut fleet = Fleet::start(3, &old.iter().collect::<Vec<_>>());
    thread::sleep(FOLLOW_TIME);
    // The VM with the first name gets the list from the one with the last name.
    fleet.stall(0, STALL_TIME);
    thread::sleep(ANSWER_TIME);
    new.iter().for_each(|e| fleet.list(e));
    thread::sleep(USE_TIME);
    let mut streams = fleet.begin(STREAMS, 1..2);
    assert!(streams.iter().any(|s| s.release() == Some("r2")));
    // With a live reader, the paused VM would receive the new list right after the pause.
    fleet.kill(2..3);
    streams.iter_mut().for_each(StreamResponse::close);
    fleet.send(&resume(&streams), 0..1);
    log.check_unmixed();
}
