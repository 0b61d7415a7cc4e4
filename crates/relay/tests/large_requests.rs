//! Large request bodies, many at once.

mod common;

use {
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    relay::RouteKind,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

const BODY_BYTES: usize = 3 << 20;
/// Memory of the VM under test, as its settings name it.
const MEMORY_BYTES: usize = 100 << 20;
/// Requests at once: together they exceed the memory.
const CALLERS: usize = 40;
/// Time that the endpoint takes for a request.
const WORK_TIME: Duration = Duration::from_millis(800);

/// Counts the large requests that the endpoint has received and not answered, and the most of them.
#[derive(Default)]
struct Running {
    now: AtomicUsize,
    most: AtomicUsize,
}

fn slow_endpoint(running: &Arc<Running>) -> FakeEndpoint {
    let running = running.clone();
    FakeEndpoint::start(move |_, seen| {
        let id = seen.field("id").unwrap_or_default();
        let answer = format!("{}ok", response_head(&id, "Content-Length: 2\r\n"));
        if seen.body.len() == BODY_BYTES {
            let now = running.now.fetch_add(1, SeqCst) + 1;
            running.most.fetch_max(now, SeqCst);
            thread::sleep(WORK_TIME);
            running.now.fetch_sub(1, SeqCst);
        }
        Script::Send(vec![answer.into_bytes()], Duration::ZERO)
    })
}

fn request(id: &str, body: usize) -> Vec<u8> {
    let head = format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: {id}\r\ntimeout-ms: 5000\r\nConnection: close\r\nContent-Length: {body}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body, b'x');
    bytes
}

/// Large request bodies were all buffered, and took more memory than the VM has.
#[test]
fn large_requests_leave_memory_for_others() {
    let running = Arc::new(Running::default());
    let servers: Vec<_> = (0..8).map(|_| slow_endpoint(&running)).collect();
    let listed = servers.iter().enumerate();
    let listed = listed.map(|(at, s)| endpoint(&format!("e{at}"), s.addr));
    let router = Router::with(RouteKind::Once, listed.collect());
    let ran = || servers.iter().map(FakeEndpoint::count).sum::<usize>();
    thread::scope(|scope| {
        let sends: Vec<_> = (0..CALLERS)
            .map(|at| {
                let (router, bytes) = (&router, request(&format!("large{at}"), BODY_BYTES));
                scope.spawn(move || router.exchange(&bytes))
            })
            .collect();
        thread::sleep(WORK_TIME / 2);
        let small = router.exchange(&request("small", 9));
        assert!(small.ends_with("ok"), "{small}");
        let answers: Vec<_> = sends.into_iter().map(|s| s.join().unwrap()).collect();
        let served = answers.iter().filter(|a| a.ends_with("ok")).count();
        let refused = answers.iter().filter(|a| {
            a.starts_with("HTTP/1.1 503 ") && a.to_ascii_lowercase().contains("retry-after: ")
        });
        // A body is held a second time while it is sent.
        let most = running.most.load(SeqCst) * 2 * BODY_BYTES;
        assert!(most < MEMORY_BYTES, "{most} bytes held");
        assert!(served > 0);
        assert_eq!(served + refused.count(), CALLERS, "{answers:?}");
        assert_eq!(served + 1, ran(), "a refused request has run");
    });
    let after = router.exchange(&request("after", BODY_BYTES));
    assert!(after.ends_with("ok"), "the memory isn't released: {after}");
}
