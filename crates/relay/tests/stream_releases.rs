//! Streams go on only at endpoints of the release that began them.

mod common;

use {
    common::{
        FIRST_EVENTS, Fleet, ReleaseLog, ReleasedEndpoint, Router, StreamRequest, StreamResponse,
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Streams of a test.
const STREAMS: usize = 12;
/// Time in which a change of the list reaches all VMs: the drain bound of the routers under test.
const LIST_TIME: Duration = Duration::from_secs(2);
/// Time within which a stream that can't go on is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Starts and restarts of a test, and the latency target of the route.
const FIRST_STARTS: usize = 6;
const RESTARTS: usize = 2;
const TARGET: Duration = Duration::from_millis(400);
/// Time in which the platform's record of the releases is written.
const RECORD_TIME: Duration = Duration::from_secs(1);
/// Time within which new streams begin at a release that has come up.
const RELEASE_TIME: Duration = Duration::from_secs(10);

/// Two endpoints of each of two releases.
fn two_releases(log: &Arc<ReleaseLog>) -> [ReleasedEndpoint; 4] {
    [("e1", "r1"), ("e2", "r1"), ("e3", "r2"), ("e4", "r2")]
        .map(|(id, release)| ReleasedEndpoint::start(id, release, log))
}

/// Checks that callers were told at once that their requests did not run.
fn check_refused(responses: &[StreamResponse]) {
    for response in responses {
        let (text, took) = (&response.text, response.took);
        assert!(response.is_not_run(), "{}: {text}", response.attempt);
        assert!(
            took < REFUSAL_TIME,
            "{}: refused after {took:?}",
            response.attempt
        );
    }
}

/// Checks that at least half of the streams went on to their end.
fn check_half_went_on(responses: &[StreamResponse]) {
    let whole = responses.iter().filter(|r| r.is_whole()).count();
    let all = responses.len();
    assert!(whole * 2 >= all, "{whole} of {all} streams went on");
}

/// The requests with which callers take these streams up again.
fn resume<'a>(streams: impl IntoIterator<Item = &'a StreamResponse>) -> Vec<StreamRequest> {
    let streams = streams.into_iter();
    streams.map(|s| s.resume(&s.attempt)).collect()
}

/// The router went on with a broken stream at any endpoint, within one response.
#[test]
fn router_does_not_resume_a_stream_at_another_release_within_a_response() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = two_releases(&log);
    let fleet = Fleet::start(4, &endpoints.each_ref());
    let requests = (0..STREAMS).map(|at| StreamRequest {
        breaks: true,
        pause_after: None,
        ..StreamRequest::new(&format!("b{at}"))
    });
    let vms = fleet.routers.iter().cycle();
    let responses: Vec<_> = requests.zip(vms).map(|(r, vm)| r.send(vm)).collect();
    log.check_unmixed();
    check_half_went_on(&responses);
}

/// Sends requests that take up streams which no VM has seen begin, while two releases serve.
fn check_unknown_origin(
    fleet: &Fleet,
    log: &ReleaseLog,
    resumes: impl Fn(usize) -> Option<String>,
) {
    let requests: Vec<_> = (0..STREAMS)
        .map(|at| StreamRequest {
            attempt: format!("u{at}"),
            resumes: resumes(at),
            last_event: Some(FIRST_EVENTS),
            ..StreamRequest::default()
        })
        .collect();
    let responses = fleet.send(&requests, 0..8);
    let joins = log.joins();
    assert!(
        joins.is_empty(),
        "{} joins, such as {:?}",
        joins.len(),
        joins[0]
    );
    check_refused(&responses);
}

/// A stream that no VM knew was joined at any of two releases, while there was no record of what it may have begun at.
#[test]
fn stream_of_an_unknown_origin_is_refused_while_two_releases_serve() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = two_releases(&log);
    let fleet = Fleet::start_again(8, &endpoints.each_ref());
    check_unknown_origin(&fleet, &log, |at| Some(format!("lost{at}")));
}

/// As above, where the caller doesn't name the attempt that began the stream, with a record.
#[test]
fn stream_without_a_named_origin_is_refused_while_two_releases_serve() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = two_releases(&log);
    let fleet = Fleet::start(8, &endpoints.each_ref());
    check_unknown_origin(&fleet, &log, |_| None);
}

/// Guards against new streams that are held until the first record is written for longer than their latency target.
#[test]
fn streams_begin_within_their_target_at_the_first_start() {
    for _ in 0..FIRST_STARTS {
        let log: Arc<ReleaseLog> = Arc::default();
        let endpoints = two_releases(&log);
        let fleet = Fleet::start(1, &endpoints.each_ref());
        let begun = fleet.begin(STREAMS, 0..1);
        let longest = begun.iter().map(|s| s.took).max().unwrap();
        assert!(longest < TARGET, "{longest:?}");
    }
}

/// Guards against new streams that are held at a VM which has just restarted, until it follows the reader of its zone.
#[test]
fn streams_begin_within_their_target_at_a_restarted_vm() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = two_releases(&log);
    let mut fleet = Fleet::start(3, &endpoints.each_ref());
    thread::sleep(RECORD_TIME);
    for _ in 0..RESTARTS {
        fleet.kill(0..fleet.routers.len());
        (0..3).for_each(|_| fleet.start_vm());
        fleet.routers.iter().for_each(Router::wait_ready);
        for vm in 0..fleet.routers.len() {
            let begun = fleet.begin(2, vm..vm + 1);
            let longest = begun.iter().map(|s| s.took).max().unwrap();
            assert!(longest < TARGET, "VM {vm}: {longest:?}");
        }
    }
}

/// Guards against a stream of unknown origin that is resumed at another release than the assigned one.
#[test]
fn stream_that_no_vm_knows_goes_on_at_its_assigned_release() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = two_releases(&log);
    let fleet = Fleet::start(8, &endpoints.each_ref());
    thread::sleep(RECORD_TIME);
    let attempts: Vec<_> = (0..STREAMS).map(|at| format!("lost{at}")).collect();
    let requests = attempts.iter().map(|origin| StreamRequest {
        attempt: format!("{origin}x"),
        resumes: Some(origin.clone()),
        last_event: Some(FIRST_EVENTS),
        ..StreamRequest::default()
    });
    let responses = fleet.send(&requests.collect::<Vec<_>>(), 0..8);
    check_half_went_on(&responses);
    let begun: Vec<_> = attempts.iter().map(|a| StreamRequest::new(a)).collect();
    let begun = fleet.send(&begun, 0..8);
    for (response, begun) in responses.iter().zip(&begun).filter(|(r, _)| r.is_whole()) {
        assert_eq!(response.release(), begun.release(), "{}", begun.attempt);
    }
}

/// A stream went on at another release once its own had left.
#[test]
fn stream_whose_release_has_left_is_refused() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = [("e1", "r1"), ("e2", "r2")];
    let endpoints = endpoints.map(|(id, release)| ReleasedEndpoint::start(id, release, &log));
    let fleet = Fleet::start(2, &endpoints.each_ref());
    let mut streams = fleet.begin(STREAMS, 0..1);
    streams.iter_mut().for_each(StreamResponse::close);
    let (lost, kept): (Vec<_>, Vec<_>) =
        streams.into_iter().partition(|s| s.release() == Some("r1"));
    assert!(!lost.is_empty() && !kept.is_empty());
    fleet.unlist(&endpoints[0]);
    thread::sleep(LIST_TIME);
    let refused = fleet.send(&resume(&lost), 0..2);
    let joins = log.joins();
    assert!(
        joins.is_empty(),
        "{} joins, such as {:?}",
        joins.len(),
        joins[0]
    );
    check_refused(&refused);
    let responses = fleet.send(&resume(&kept), 0..2);
    log.check_unmixed();
    check_half_went_on(&responses);
}

/// Streams went on at an endpoint that had restarted with another release, under its id and address.
#[test]
fn endpoint_that_restarted_with_another_release_gets_no_earlier_streams() {
    let log: Arc<ReleaseLog> = Arc::default();
    let mut endpoints = ["e1", "e2"].map(|id| ReleasedEndpoint::start(id, "r1", &log));
    let fleet = Fleet::start(2, &endpoints.each_ref());
    let mut streams = fleet.begin(STREAMS, 0..1);
    streams.iter_mut().for_each(StreamResponse::close);
    // The endpoint that VMs prefer if all are idle.
    let first = log.endpoint(&streams[0].attempt);
    let restarted = endpoints.iter_mut().find(|e| e.listed.id.as_str() == first);
    let restarted = restarted.unwrap();
    restarted.restart("r2");
    fleet.list(restarted);
    thread::sleep(LIST_TIME);
    let responses = fleet.send(&resume(&streams), 0..2);
    log.check_unmixed();
    check_half_went_on(&responses);
}

/// After a rollback, streams of the release that was withdrawn went on at the one that remained.
#[test]
fn stream_of_a_withdrawn_release_is_refused_after_the_rollback() {
    let log: Arc<ReleaseLog> = Arc::default();
    let endpoints = two_releases(&log);
    let mut fleet = Fleet::start(2, &[&endpoints[0], &endpoints[1]]);
    let mut first = fleet.begin(STREAMS, 0..1);
    first.iter_mut().for_each(StreamResponse::close);
    fleet.list(&endpoints[2]);
    fleet.list(&endpoints[3]);
    let begun = Instant::now();
    let mut withdrawn = Vec::new();
    while withdrawn.len() < STREAMS {
        assert!(
            begun.elapsed() < RELEASE_TIME,
            "{} streams at r2",
            withdrawn.len()
        );
        thread::sleep(Duration::from_millis(50));
        for mut stream in fleet.begin(1, 0..1) {
            stream.close();
            withdrawn.extend((stream.release() == Some("r2")).then_some(stream));
        }
    }
    fleet.unlist(&endpoints[2]);
    fleet.unlist(&endpoints[3]);
    thread::sleep(LIST_TIME);
    fleet.start_vm();
    fleet.routers.iter().for_each(Router::wait_ready);
    let refused = fleet.send(&resume(&withdrawn), 0..3);
    let joins = log.joins();
    assert!(
        joins.is_empty(),
        "{} joins, such as {:?}",
        joins.len(),
        joins[0]
    );
    check_refused(&refused);
    let responses = fleet.send(&resume(&first), 0..2);
    log.check_unmixed();
    check_half_went_on(&responses);
}
