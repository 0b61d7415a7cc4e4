//! Endpoints that write an earlier response once more on a kept connection. It answers no later request, and
//! does not say that one has not run.

mod common;

use {
    common::{
        CutFleet, FakeEndpoint, GateState, Router, Script, SeenRequest, endpoint, response_head,
    },
    relay::RouteKind,
    std::{thread, time::Duration},
};

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::Once,
    RouteKind::Stream,
    RouteKind::Resumable,
];

/// Time in which a VM learns that it is cut off.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// When the copy is written, counted from the response before or the request that it precedes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyTime {
    /// Together with the response.
    WithResponse,
    /// A moment later, while the connection is idle.
    WhileIdle,
    /// When the next request has arrived.
    WithNext,
}

/// Refusals of the first request, as they are written again.
fn refusals() -> Vec<String> {
    let mut all = Vec::new();
    for status in ["503 Full", "429 Limit", "421 Other", "408 Timeout"] {
        for id in ["id: q0\r\n", ""] {
            all.push(format!(
                "HTTP/1.1 {status}\r\n{id}not-run: 1\r\nContent-Length: 4\r\n\r\nfull"
            ));
            all.push(format!(
                "HTTP/1.1 {status}\r\n{id}not-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"
            ));
        }
    }
    let refusal = all[0].clone();
    all.push(format!("HTTP/1.1 100 Continue\r\n\r\n{refusal}"));
    all
}

fn request(id: &str, kind: RouteKind) -> String {
    let prompt = if kind.is_stream() {
        "prompt: 100\r\n"
    } else {
        ""
    };
    format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: {id}\r\ntimeout-ms: 4000\r\n{prompt}Connection: close\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// The own response to a request, in a body that names it.
fn own_response(seen: &SeenRequest) -> String {
    let id = seen.field("id").unwrap();
    if seen.field("prompt").is_none() {
        let body = format!("own-{id}");
        let length = body.len();
        return format!(
            "{}{body}",
            response_head(&id, &format!("Content-Length: {length}\r\n"))
        );
    }
    let event = format!("id: 1\ndata: own-{id}\n\n");
    let head = response_head(&id, "Transfer-Encoding: chunked\r\n");
    format!("{head}{:x}\r\n{event}\r\n0\r\n\r\n", event.len())
}

/// An endpoint that answers each request with its own response, and writes `copy` at this time, in these
/// pieces, after its first response.
fn repeating(copy: String, at: CopyTime, pieces: usize) -> FakeEndpoint {
    FakeEndpoint::start(move |number, seen| {
        let own = own_response(seen);
        let size = copy.len().div_ceil(pieces);
        let copied = copy.as_bytes().chunks(size).map(<[u8]>::to_vec);
        let pause = Duration::from_millis(if pieces > 1 { 3 } else { 0 });
        if number == 0 {
            let answer = own.into_bytes();
            return match at {
                CopyTime::WithResponse => {
                    Script::Send(vec![[answer, copy.clone().into()].concat()], pause)
                }
                CopyTime::WhileIdle => {
                    let mut all = vec![answer];
                    all.extend(copied);
                    Script::Send(all, Duration::from_millis(3))
                }
                CopyTime::WithNext => Script::Send(vec![answer], Duration::ZERO),
            };
        }
        if number == 1 && at == CopyTime::WithNext {
            let mut all: Vec<_> = copied.collect();
            all.push(own.into_bytes());
            return Script::Send(all, pause);
        }
        Script::Send(vec![own.into_bytes()], Duration::ZERO)
    })
}

/// Checks what the caller of `q1` gets after a copy; `runs` is the number of times that it has run.
fn check_second(kind: RouteKind, case: &str, response: &str, runs: usize) {
    assert!(runs >= 1, "{case}: not run: {response}");
    if matches!(kind, RouteKind::Once | RouteKind::Stream) {
        assert_eq!(runs, 1, "{case}");
    }
    let status = response.split(' ').nth(1).unwrap_or_default();
    let own = status == "200" && response.contains("own-q1") && !response.contains("own-q0");
    assert!(own || matches!(status, "502" | "504"), "{case}: {response}");
}

fn runs(server: &FakeEndpoint, id: &str) -> usize {
    let seen = server.seen.lock().unwrap();
    let own = seen.iter().filter(|s| s.field("id").as_deref() == Some(id));
    own.count()
}

/// A refusal without an id that was written again made callers return for requests that had run.
#[test]
fn repeated_refusal_says_nothing_of_the_next_request() {
    for_all_kinds(|kind| {
        for copy in refusals() {
            check_copy(kind, &copy);
        }
    });
}

#[test]
fn repeated_response_is_not_the_response_to_the_next_request() {
    for_all_kinds(|kind| {
        for id in ["id: q0\r\n", ""] {
            let event = "id: 1\ndata: own-q0\n\n";
            let length = event.len();
            check_copy(
                kind,
                &format!("HTTP/1.1 200 OK\r\n{id}Content-Length: {length}\r\n\r\n{event}"),
            );
            check_copy(
                kind,
                &format!(
                    "HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{event}\r\n0\r\n\r\n"
                ),
            );
            check_copy(
                kind,
                &format!("HTTP/1.1 500 Failed\r\n{id}Content-Length: 6\r\n\r\nown-q0"),
            );
        }
    });
}

fn for_all_kinds(check: impl Fn(RouteKind) + Sync) {
    thread::scope(|scope| {
        for kind in KINDS {
            let check = &check;
            scope.spawn(move || check(kind));
        }
    });
}

fn check_copy(kind: RouteKind, copy: &str) {
    for (at, pieces) in [
        (CopyTime::WithResponse, 1),
        (CopyTime::WhileIdle, 1),
        (CopyTime::WhileIdle, 5),
        (CopyTime::WithNext, 1),
        (CopyTime::WithNext, 5),
    ] {
        let server = repeating(copy.to_owned(), at, pieces);
        let router = Router::with(kind, vec![endpoint("e1", server.addr)]);
        let first = router.exchange(request("q0", kind).as_bytes());
        assert!(first.contains("own-q0"), "{first}");
        let response = router.exchange(request("q1", kind).as_bytes());
        let case = format!("{kind:?} {at:?} {pieces} {copy:?}");
        // The endpoint may still be writing the copy.
        thread::sleep(Duration::from_millis(40));
        check_second(kind, &case, &response, runs(&server, "q1"));
    }
}

/// An endpoint that writes a refusal without an id after each response, while the next request is on its way.
fn always_repeating() -> FakeEndpoint {
    let copy = b"HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    FakeEndpoint::start(move |_, seen| {
        let all = vec![own_response(seen).into_bytes(), copy.to_vec()];
        Script::Send(all, Duration::from_millis(5))
    })
}

/// Sends requests, and checks that none runs twice or is refused although it ran.
fn check_requests(router: &Router, kind: RouteKind, name: &str, servers: &[FakeEndpoint]) {
    let ids = (0..16).map(|number| format!("{name}{number}"));
    let responses: Vec<_> = ids
        .map(|id| (router.exchange(request(&id, kind).as_bytes()), id))
        .collect();
    thread::sleep(Duration::from_millis(50));
    for (response, id) in responses {
        let runs: usize = servers.iter().map(|s| runs(s, &id)).sum();
        let refused = response.starts_with("HTTP/1.1 503");
        let once = matches!(kind, RouteKind::Once | RouteKind::Stream);
        assert!(runs <= 1 || !once, "{kind:?} {id}: {runs} runs, {response}");
        assert!(runs == 0 || !refused, "{kind:?} {id}: {response}");
    }
}

/// A request that may run once ran at a second endpoint after a copy of a refusal of another one.
#[test]
fn repeated_refusal_makes_no_request_run_twice() {
    for_all_kinds(|kind| {
        let servers = [always_repeating(), always_repeating()];
        let listed = vec![
            endpoint("e1", servers[0].addr),
            endpoint("e2", servers[1].addr),
        ];
        let router = Router::with(kind, listed);
        check_requests(&router, kind, "q", &servers);
    });
}

/// A carrier took a copy of a refusal for the response to the request that it carried.
#[test]
fn repeated_refusal_says_nothing_of_a_carried_request() {
    for kind in [RouteKind::Once, RouteKind::Resumable] {
        let servers = [always_repeating(), always_repeating()];
        let fleet = CutFleet::start(kind, &[1, 1], &servers);
        let cut = &fleet.zones[0];
        check_requests(&cut.vms[0], kind, "before", &servers);
        cut.set(GateState::Refuses);
        check_requests(&cut.vms[0], kind, "during", &servers);
        thread::sleep(CONTACT_TIME);
        let before: usize = servers.iter().map(FakeEndpoint::count).sum();
        check_requests(&cut.vms[0], kind, "cut", &servers);
        let carried: usize = servers.iter().map(FakeEndpoint::count).sum();
        assert!(
            carried >= before + 8,
            "{kind:?}: {} carried",
            carried - before
        );
    }
}
