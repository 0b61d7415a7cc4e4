//! Log lines that say how a request ended.

mod common;

use {
    common::{FakeEndpoint, Router, Script, answer_head, endpoint},
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

/// Fields of one line.
type Line = BTreeMap<String, String>;

/// Keeps the lines that end requests.
struct Ends(Mutex<Vec<Line>>);

static ENDS: Ends = Ends(Mutex::new(Vec::new()));
static INSTALL: Once = Once::new();

struct Fields<'a>(&'a mut Line);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for Ends {
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

/// The line of request `id`, once it is there.
fn line(router: &Router, id: &str) -> Line {
    let find = || {
        let lines = ENDS.0.lock().unwrap();
        lines.iter().find(|l| l["request"] == id).cloned()
    };
    router.wait_for(|| find().is_some());
    find().unwrap()
}

fn install() {
    INSTALL.call_once(|| {
        log::set_logger(&ENDS).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

fn ask(id: &str, patience: u64) -> String {
    format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: {id}\r\npatience: {patience}\r\nprompt: 100\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
}

/// An endpoint whose streams go on for seconds.
fn streaming(id: &'static str) -> FakeEndpoint {
    FakeEndpoint::start(move |_, _| {
        let mut pieces = vec![answer_head(id, "Transfer-Encoding: chunked\r\n").into_bytes()];
        pieces.extend((1..400).map(|n| {
            let event = format!("id: {n}\ndata: e\n\n");
            format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
        }));
        Script::Send(pieces, Duration::from_millis(20))
    })
}

#[test]
fn stream_whose_time_ends_under_way_is_logged_with_its_send() {
    install();
    let server = streaming("cut1");
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    router.exchange(ask("cut1", 500).as_bytes());
    let line = line(&router, "cut1");
    assert_eq!(line["outcome"], "broken");
    assert_eq!(line["sends"], "1");
    assert_eq!(line["verdict"], "may_have_run");
}

#[test]
fn stream_whose_caller_leaves_is_logged_with_its_send() {
    install();
    let server = streaming("left1");
    let router = Router::with(RouteKind::Stream, vec![endpoint("e1", server.addr)]);
    let mut socket = router.connect();
    socket.write_all(ask("left1", 6_000).as_bytes()).unwrap();
    assert!(socket.read(&mut [0; 64]).unwrap() > 0);
    drop(socket);
    let line = line(&router, "left1");
    assert_eq!(line["outcome"], "caller left");
    assert_eq!(line["sends"], "1");
    assert_eq!(line["verdict"], "may_have_run");
}
