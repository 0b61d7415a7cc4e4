//! Requests that crash the endpoints which run them.

mod common;

use {
    common::{
        CrashForm, CrashLog, CrashingEngine, FakeEndpoint, Ports, Router, RouterSpec, Script,
        SeenRequest, endpoint, response_head,
    },
    relay::{FeedChange, FeedKind, RouteKind},
    std::{
        net::IpAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// VMs of the users' smaller fleets, and more VMs than exchange their loads with each other.
const SMALL: u8 = 8;
const LARGE: u8 = 44;
/// Time in which all VMs of a large fleet find their hubs.
const START_TIME: Duration = Duration::from_secs(6);
/// Time after the fifth crash from which VMs have to know what crashes engines.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Most deadly requests that may reach engines afterwards.
const MAX_ARRIVALS: usize = 3;
const ENGINES: usize = 10;
/// Pauses of the callers between two requests of the fleet.
const SOUND_PAUSE: Duration = Duration::from_millis(15);
const DEADLY_PAUSE: Duration = Duration::from_millis(180);
/// A part that all prompts begin with, one that deadly and some sound prompts share, and the one
/// that crashes engines.
const FIRST_PART: u64 = 1;
const SHARED_PART: u64 = 2;
const DEADLY_PART: u64 = 666;
/// Begin of a request of which each copy crashes the endpoint that runs it.
const DEADLY_LINE: &str = "GET /deadly ";
/// Endpoints of a plain service.
const PLAIN_ENDPOINTS: usize = 4;

struct Fleet {
    routers: Vec<Router>,
    log: Arc<CrashLog>,
}

/// Whether a request has the part that crashes engines.
fn has_deadly_part(seen: &SeenRequest) -> bool {
    let parts = seen.field("parts").unwrap_or_default();
    parts.split(',').any(|p| p == DEADLY_PART.to_string())
}

/// Whether a request is a copy of the one that crashes endpoints.
fn is_deadly_copy(seen: &SeenRequest) -> bool {
    seen.head.starts_with(DEADLY_LINE)
}

fn start_fleet(
    (vms, endpoints): (u8, usize),
    kind: RouteKind,
    form: CrashForm,
    is_deadly: fn(&SeenRequest) -> bool,
) -> Fleet {
    let ports = Ports::free();
    let first = RouterSpec::new(kind, Vec::new());
    let (feed, log) = (first.feed.clone(), Arc::<CrashLog>::default());
    let engines: Vec<_> = (0..endpoints)
        .map(|at| CrashingEngine::start(&format!("e{at}"), form, is_deadly, (&log, &feed)))
        .collect();
    for engine in &engines {
        feed.push(
            FeedKind::Endpoints,
            FeedChange::Listed(engine.listed.clone()),
        );
    }
    let mut routers: Vec<Router> = Vec::new();
    for at in 0..vms {
        let mut spec = RouterSpec::new(kind, Vec::new());
        spec.feed = feed.clone();
        if at > 0 {
            spec.config = None;
        }
        spec.name = format!("vm-{at:02}").leak();
        spec.ip = IpAddr::from([127, 0, 0, 1 + at]);
        spec.ports = ports;
        spec.seeds = routers.iter().take(3).map(|r| r.control).collect();
        routers.push(Router::start(spec));
    }
    routers.iter().for_each(Router::wait_ready);
    Fleet { routers, log }
}

fn prompt_request(parts: &[u64]) -> String {
    let parts: Vec<_> = parts.iter().map(u64::to_string).collect();
    format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 4000\r\nprompt: 100\r\nparts: {}\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n",
        parts.join(",")
    )
}

/// Sent and served sound requests.
#[derive(Default)]
struct Served {
    sent: AtomicUsize,
    served: AtomicUsize,
}

fn plain_request(line: &str) -> String {
    format!("{line}HTTP/1.1\r\nHost: h\r\nid: q1\r\ntimeout-ms: 4000\r\nConnection: close\r\n\r\n")
}

/// The requests of a test, by their numbers.
#[derive(Clone, Copy)]
struct Requests {
    sound: fn(u64) -> String,
    deadly: fn(u64) -> String,
}

/// Prompts, no two alike. Every third sound one shares more than the first part with deadly ones.
const PROMPTS: Requests = Requests {
    sound: |own| {
        let shared = if own % 3 == 0 { SHARED_PART } else { own };
        prompt_request(&[FIRST_PART, shared, own + 100_000])
    },
    deadly: |own| prompt_request(&[FIRST_PART, SHARED_PART, DEADLY_PART, own]),
};

/// Copies of a deadly request among sound ones, of which every third one is the same, too.
const COPIES: Requests = Requests {
    sound: |own| match own % 3 {
        0 => plain_request("GET /status "),
        _ => plain_request(&format!("GET /status/{own} ")),
    },
    deadly: |_| plain_request(DEADLY_LINE),
};

impl Fleet {
    /// Sends sound and deadly requests to all VMs for `time`.
    fn run(&self, requests: Requests, time: Duration, served: &Served) {
        let end = Instant::now() + time;
        let number = AtomicUsize::new(1_000);
        let next = || number.fetch_add(1, SeqCst) as u64;
        thread::scope(|scope| {
            for (at, router) in self.routers.iter().enumerate() {
                let next = &next;
                scope.spawn(move || {
                    while Instant::now() < end {
                        thread::sleep(SOUND_PAUSE * self.routers.len() as u32);
                        let response = router.exchange((requests.sound)(next()).as_bytes());
                        served.sent.fetch_add(1, SeqCst);
                        let whole = response.starts_with("HTTP/1.1 200")
                            && (response.ends_with("0\r\n\r\n") || response.ends_with("ok"));
                        served.served.fetch_add(usize::from(whole), SeqCst);
                    }
                });
                scope.spawn(move || {
                    let count = self.routers.len() as u32;
                    thread::sleep(DEADLY_PAUSE * at as u32);
                    while Instant::now() < end {
                        router.exchange((requests.deadly)(next()).as_bytes());
                        thread::sleep(DEADLY_PAUSE * count);
                    }
                });
            }
        });
    }
}

/// Checks that few deadly requests reach endpoints once `crashes` of these have crashed, and that
/// other requests are served.
fn check(fleet: &Fleet, requests: Requests, crashes: usize) {
    let time = CONTACT_TIME * 2 + CONTACT_TIME / 2;
    fleet.run(requests, time, &Served::default());
    let last = fleet.log.crash(crashes);
    let served = Served::default();
    fleet.run(requests, CONTACT_TIME, &served);
    if let Some(at) = last {
        let late = fleet.log.arrivals_since(at + CONTACT_TIME);
        assert!(late <= MAX_ARRIVALS, "{late} deadly requests");
    }
    let (sent, served) = (served.sent.into_inner(), served.served.into_inner());
    assert!(
        sent > 50 && served * 2 > sent,
        "{served} of {sent} sound requests served"
    );
}

fn check_deadly_part(vms: u8, form: CrashForm, start_time: Duration) {
    let fleet = start_fleet((vms, ENGINES), RouteKind::Stream, form, has_deadly_part);
    thread::sleep(start_time);
    check(&fleet, PROMPTS, 5);
}

fn check_deadly_copies(vms: u8, form: CrashForm, start_time: Duration) {
    let size = (vms, PLAIN_ENDPOINTS);
    let fleet = start_fleet(size, RouteKind::Idempotent, form, is_deadly_copy);
    thread::sleep(start_time);
    check(&fleet, COPIES, 3);
}

/// Each request with the part crashed one engine more.
#[test]
fn prompt_part_does_not_crash_one_engine_after_the_other() {
    check_deadly_part(SMALL, CrashForm::BrokenResponse, Duration::ZERO);
}

/// As above, where the connection is closed without a response.
#[test]
fn prompt_part_that_makes_engines_close_connections_is_stopped() {
    check_deadly_part(SMALL, CrashForm::Closed, Duration::ZERO);
}

/// As above, where connections go silent.
#[test]
fn prompt_part_that_makes_engines_silent_is_stopped() {
    check_deadly_part(SMALL, CrashForm::Silence, Duration::ZERO);
}

/// As above, in a fleet whose VMs know only the hubs of their zone.
#[test]
fn prompt_part_is_stopped_by_a_fleet_with_hubs() {
    check_deadly_part(LARGE, CrashForm::BrokenResponse, START_TIME);
}

/// Each copy of a request ended one endpoint of a plain service more, and its repeat another one.
#[test]
fn copies_of_a_request_do_not_crash_one_endpoint_after_the_other() {
    check_deadly_copies(SMALL, CrashForm::Closed, Duration::ZERO);
}

/// As above, in a fleet whose VMs know only the hubs of their zone.
#[test]
fn copies_of_a_request_are_stopped_by_a_fleet_with_hubs() {
    check_deadly_copies(LARGE, CrashForm::Closed, START_TIME);
}

/// Endpoints that broke off responses but went on running would have made suspects of prompt parts.
#[test]
fn endpoints_that_break_off_responses_without_crashing_convict_nothing() {
    let breaking = || {
        FakeEndpoint::start(|_, _| {
            let head = response_head("q1", "Transfer-Encoding: chunked\r\n");
            Script::SendAndReset(format!("{head}c\r\nid: 1\ndata: x").into_bytes())
        })
    };
    let servers: Vec<_> = (0..6).map(|_| breaking()).collect();
    let listed = servers.iter().enumerate();
    let listed = listed.map(|(at, s)| endpoint(&format!("e{at}"), s.addr));
    let router = Router::with(RouteKind::Stream, listed.collect());
    let request = prompt_request(&[FIRST_PART, DEADLY_PART, 1]);
    let end = Instant::now() + CONTACT_TIME * 2;
    let mut sent = 0;
    while Instant::now() < end {
        let response = router.exchange(request.as_bytes());
        assert!(!response.contains("quarantined"), "{response}");
        sent += 1;
        thread::sleep(DEADLY_PAUSE);
    }
    let arrived: usize = servers.iter().map(FakeEndpoint::count).sum();
    assert_eq!(arrived, sent);
}
