//! Log lines at the end of a request.

mod common;

use {
    common::{FakeEndpoint, Router, Script, endpoint, response_head},
    log::{
        Log, Metadata, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    relay::RouteKind,
    std::{
        collections::BTreeMap,
        io::{Read, Write},
        sync::{Mutex, Once},
        time::Duration,
    },
};

/// Fields of a log line.
type Line = BTreeMap<String, String>;

/// Logger that keeps the `request ended` lines.
struct EndLines(Mutex<Vec<Line>>);

static END_LINES: EndLines = EndLines(Mutex::new(Vec::new()));
static INSTALL_ONCE: Once = Once::new();

struct Fields<'a>(&'a mut Line);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for EndLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string() != "request ended" {
            return;
        }
        let mut line = Line::new();
        record.key_values().visit(&mut Fields(&mut line)).unwrap();
        self.0.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

/// Waits for the line of request `id`.
fn wait_for_line(router: &Router, id: &str) -> Line {
    let find = || {
        let lines = END_LINES.0.lock().unwrap();
        lines.iter().find(|l| l["request"] == id).cloned()
    };
    router.wait_for(|| find().is_some());
    find().unwrap()
}

fn install_logger() {
    INSTALL_ONCE.call_once(|| {
        log::set_logger(&END_LINES).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

fn request(id: &str, timeout_ms: u64) -> String {
    format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: {id}\r\ntimeout-ms: {timeout_ms}\r\nprompt: 100\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
}

/// An endpoint whose streams last for seconds.
fn slow_stream(id: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, _| {
        let mut pieces = vec![response_head(id, "Transfer-Encoding: chunked\r\n").into_bytes()];
        pieces.extend((1..400).map(|n| {
            let event = format!("id: {n}\ndata: e\n\n");
            format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
        }));
        Script::Send(pieces, Duration::from_millis(20))
    })
}

#[test]
fn stream_that_times_out_in_progress_is_logged_with_its_send() {
    install_logger();
    let server = slow_stream("cut1");
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    router.exchange(request("cut1", 500).as_bytes());
    let line = wait_for_line(&router, "cut1");
    assert_eq!(line["outcome"], "broken");
    assert_eq!(line["sends"], "1");
    assert_eq!(line["verdict"], "may_have_run");
}

#[test]
fn stream_whose_caller_leaves_is_logged_with_its_send() {
    install_logger();
    let server = slow_stream("left1");
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    let mut socket = router.connect();
    socket
        .write_all(request("left1", 6_000).as_bytes())
        .unwrap();
    assert!(socket.read(&mut [0; 64]).unwrap() > 0);
    drop(socket);
    let line = wait_for_line(&router, "left1");
    assert_eq!(line["outcome"], "caller left");
    assert_eq!(line["sends"], "1");
    assert_eq!(line["verdict"], "may_have_run");
}
