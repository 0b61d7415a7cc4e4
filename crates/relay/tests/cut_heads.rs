//! Endpoints whose responses are cut within their heads, or where their heads say where they end: callers
//! get a failure, never a success or bytes of a head.

mod common;

use {
    common::{
        CutFleet, FakeEndpoint, GateState, Router, RouterSpec, Script, SeenRequest, config_change,
        endpoint, response_head, route,
    },
    relay::{Route, RouteKind},
    std::{
        fmt::Debug,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const SEED: u64 = 20;
/// Randomized cuts of each kind of route, besides those at every byte.
const RANDOM_CUTS: usize = 60;
/// Streams that are broken off at one router. Their retries are limited.
const ROUTER_CUTS: usize = 5;
/// Endpoints, so that one that has failed can be passed over.
const ENDPOINTS: usize = 3;

/// Responses, with `ID` for the id that the endpoint echoes, up to the byte that completes them.
const RESPONSES: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nid: ID\r\nContent-Type: text/event-stream\r\nContent-Length: 19\r\n\r\nid: 3\ndata: three\n\n",
    "HTTP/1.1 200 OK\nid: ID\nContent-Length: 4\n\ngood",
    "HTTP/1.1 200 OK\r\nid: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\na: b\r\n\r\n",
    "HTTP/1.1 204 Nothing\r\nid: ID\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\ngood",
    "HTTP/1.1 200 OK\r\nid: ID\r\nConnection: close\r\n\r\n",
];
/// What may precede a response on its connection.
const PREFIXES: [&str; 4] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "HTTP/1.1 200 OK\r\nid: earlier\r\nContent-Length: 4\r\n\r\nlate",
];

/// A response that is cut, and how its connection ends.
#[derive(Debug, Clone)]
struct Cut {
    prefix: &'static str,
    response: &'static str,
    /// Number of bytes of the response that are sent.
    size: usize,
    resets: bool,
}

impl Cut {
    fn script(&self, id: &str) -> Script {
        let sent = &self.response[..self.size];
        let bytes = format!("{}{}", self.prefix, sent.replace("ID", id)).into_bytes();
        if self.resets {
            return Script::SendAndReset(bytes);
        }
        Script::SendAndClose(bytes)
    }
}

/// Endpoints that answer each request as `cut` says at that time, or completely if it is `None`.
fn endpoints(
    cut: &Arc<Mutex<Option<Cut>>>,
    complete: fn(&SeenRequest) -> Script,
) -> Vec<FakeEndpoint> {
    let start = || {
        let cut = cut.clone();
        FakeEndpoint::start(move |_, seen| {
            let is_first = seen.field("first").is_some() && seen.field("last-event").is_none();
            match &*cut.lock().unwrap() {
                Some(cut) if !is_first => cut.script(&seen.field("id").unwrap()),
                _ => complete(seen),
            }
        })
    };
    (0..ENDPOINTS).map(|_| start()).collect()
}

fn listed(servers: &[FakeEndpoint]) -> Vec<relay::Endpoint> {
    let listed = servers.iter().enumerate();
    listed
        .map(|(at, s)| endpoint(&format!("e{at}"), s.addr))
        .collect()
}

fn start_router(kind: RouteKind, servers: &[FakeEndpoint]) -> Router {
    let mut spec = RouterSpec::new(kind, listed(servers));
    let attempts = if kind == RouteKind::Resumable { 2 } else { 1 };
    let route = Route {
        attempts,
        ..route(kind)
    };
    spec.config = Some(config_change(1, route));
    let router = Router::start(spec);
    router.wait_ready();
    router
}

fn request(method: &str, number: usize, fields: &str) -> Vec<u8> {
    let text = format!(
        "{method} /a?n={number} HTTP/1.1\r\nHost: h\r\nid: q{number}\r\ntimeout-ms: 3000\r\n{fields}Connection: close\r\n\r\n"
    );
    text.into_bytes()
}

fn whole(seen: &SeenRequest) -> Script {
    let head = response_head(&seen.field("id").unwrap(), "Content-Length: 5\r\n");
    Script::Send(vec![format!("{head}whole").into_bytes()], Duration::ZERO)
}

/// Two events, and the end of the connection within the third one.
fn first_events(seen: &SeenRequest) -> Script {
    let id = seen.field("id").unwrap();
    let head = response_head(&id, "Content-Type: text/event-stream\r\n");
    let events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda";
    Script::SendAndReset(format!("{head}{events}").into_bytes())
}

/// All cuts of a response within its head, and within its body if the head tells where that ends.
fn all_cuts(resets: bool) -> Vec<Cut> {
    let mut cuts = Vec::new();
    for response in RESPONSES {
        let is_open = !response.contains("ength") && !response.contains("chunked");
        let head_end = ["\r\n\r\n", "\n\n"]
            .into_iter()
            .find_map(|e| Some(response.find(e)? + e.len()));
        let end = if is_open {
            head_end.unwrap()
        } else {
            response.len()
        };
        for (at, prefix) in PREFIXES.into_iter().enumerate() {
            // The prefixes that aren't empty share the positions.
            let step = if at == 0 && !resets { 1 } else { 5 };
            let sizes = (at..end).step_by(step);
            cuts.extend(sizes.map(|size| Cut {
                prefix,
                response,
                size,
                resets,
            }));
        }
    }
    cuts
}

/// Whether bytes that the caller got may be taken for a complete response: a success with all of its body.
fn looks_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let succeeded = head.starts_with("HTTP/1.1 2");
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    succeeded && (!chunked || body.ends_with("0\r\n\r\n"))
}

fn check_failed(response: &str, case: &impl Debug) {
    assert!(!looks_complete(response), "{case:?}: {response}");
    assert!(
        response.matches("HTTP/1.").count() <= 1,
        "{case:?}: {response}"
    );
    assert!(!response.contains("late"), "{case:?}: {response}");
    assert!(!response.contains("good"), "{case:?}: {response}");
}

/// Sends one request for each cut, and returns how many reached an endpoint.
fn check_plain(kind: RouteKind, method: &str, cuts: &[Cut]) -> usize {
    let current: Arc<Mutex<Option<Cut>>> = Arc::default();
    let servers = endpoints(&current, whole);
    let router = start_router(kind, &servers);
    let seen = || servers.iter().map(FakeEndpoint::count).sum::<usize>();
    let mut reached = 0;
    for (number, cut) in cuts.iter().enumerate() {
        // A complete response leaves a connection on which the next request may go.
        if number % 2 == 0 {
            *current.lock().unwrap() = None;
            router.exchange(&request("GET", number, ""));
        }
        *current.lock().unwrap() = Some(cut.clone());
        let before = seen();
        let response = router.exchange(&request(method, number, ""));
        check_failed(&response, &(kind, method, cut));
        reached += seen() - before;
    }
    reached
}

#[test]
fn plain_responses_cut_at_any_byte_are_failures() {
    let cuts = all_cuts(false);
    for kind in [RouteKind::Idempotent, RouteKind::Once, RouteKind::Stream] {
        let reached = check_plain(kind, "GET", &cuts);
        assert!(
            reached * 10 >= cuts.len() * 9,
            "{reached} of {}",
            cuts.len()
        );
    }
}

#[test]
fn responses_to_head_requests_cut_in_their_heads_are_failures() {
    let cuts: Vec<_> = all_cuts(false)
        .into_iter()
        .filter(|c| {
            !c.response[..c.size].contains("\n\n") && !c.response[..c.size].contains("\r\n\r\n")
        })
        .collect();
    let reached = check_plain(RouteKind::Once, "HEAD", &cuts);
    assert!(
        reached * 10 >= cuts.len() * 9,
        "{reached} of {}",
        cuts.len()
    );
}

#[test]
fn responses_reset_at_random_bytes_are_failures() {
    fastrand::seed(SEED);
    let all = all_cuts(true);
    for kind in [RouteKind::Idempotent, RouteKind::Once, RouteKind::Stream] {
        let cuts: Vec<_> = (0..RANDOM_CUTS)
            .map(|_| fastrand::choice(&all).unwrap().clone())
            .collect();
        let reached = check_plain(kind, "GET", &cuts);
        assert!(
            reached * 10 >= cuts.len() * 9,
            "{reached} of {}",
            cuts.len()
        );
    }
}

/// The caller has the head and two events of a stream when the endpoint that should go on is cut in its head.
#[test]
fn streams_that_are_resumed_by_a_cut_head_are_broken_off() {
    fastrand::seed(SEED);
    let all = [all_cuts(false), all_cuts(true)].concat();
    let mut resumed = 0;
    for router_number in 0..RANDOM_CUTS / ROUTER_CUTS {
        let current: Arc<Mutex<Option<Cut>>> = Arc::default();
        let servers = endpoints(&current, first_events);
        let router = start_router(RouteKind::Resumable, &servers);
        for number in 0..ROUTER_CUTS {
            let cut = fastrand::choice(&all).unwrap().clone();
            *current.lock().unwrap() = Some(cut.clone());
            let number = router_number * ROUTER_CUTS + number;
            let response = router.exchange(&request("GET", number, "first: 1\r\n"));
            check_failed(&response, &cut);
        }
        for server in &servers {
            let seen = server.seen.lock().unwrap();
            resumed += seen
                .iter()
                .filter(|r| r.field("last-event").is_some())
                .count();
        }
    }
    assert!(resumed * 2 >= RANDOM_CUTS, "{resumed} of {RANDOM_CUTS}");
}

/// The first VM reaches no endpoint; another one carries its requests to endpoints whose responses are cut.
#[test]
fn carried_responses_cut_in_their_heads_are_failures() {
    fastrand::seed(SEED);
    let all = [all_cuts(false), all_cuts(true)].concat();
    let current: Arc<Mutex<Option<Cut>>> = Arc::default();
    let servers = endpoints(&current, whole);
    let fleet = CutFleet::start(RouteKind::Once, &[1, 1], &servers);
    fleet.zones[0].set(GateState::Resets);
    let router = &fleet.zones[0].vms[0];
    let carried = |number| {
        router
            .exchange(&request("GET", number, ""))
            .ends_with("whole")
    };
    let mut number = RANDOM_CUTS;
    router.wait_for(|| {
        number += 1;
        carried(number)
    });
    let mut reached = 0;
    for number in 0..RANDOM_CUTS {
        let cut = fastrand::choice(&all).unwrap().clone();
        *current.lock().unwrap() = Some(cut.clone());
        let before = servers.iter().map(FakeEndpoint::count).sum::<usize>();
        let response = router.exchange(&request("GET", number, ""));
        check_failed(&response, &cut);
        reached += servers.iter().map(FakeEndpoint::count).sum::<usize>() - before;
    }
    assert!(reached * 2 >= RANDOM_CUTS, "{reached} of {RANDOM_CUTS}");
}
