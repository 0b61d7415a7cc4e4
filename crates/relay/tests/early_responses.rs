//! Responses that are reset during the upload of the request, and responses with invalid status codes.

mod common;

use {
    common::{Ports, Router, RouterSpec, endpoint, free_addr, response_head},
    relay::RouteKind,
    rustix::net::sockopt::set_socket_linger,
    std::{
        io::{Read, Write},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

/// Larger than the socket buffers, so that it is still being written when the answer comes.
const UPLOAD_BYTES: usize = 4 << 20;
const SMALL_BYTES: usize = 9;
/// Bytes that an endpoint has read at least before it answers.
const READ_BYTES: usize = 4_096;
/// Requests of each kind, each with another pause before the connection ends.
const REQUESTS: usize = 12;
/// Time in which a VM finds that it reaches no endpoint and another one does.
const MEETING_TIME: Duration = Duration::from_millis(2_500);
const KINDS: [RouteKind; 4] = [
    RouteKind::Once,
    RouteKind::Idempotent,
    RouteKind::Stream,
    RouteKind::Resumable,
];
/// Two events that are complete, with neither a length nor chunks.
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Statuses that no server may send.
const INVALID_STATUSES: [&str; 6] = ["000", "001", "099", "600", "700", "999"];

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy)]
enum End {
    Reset,
    /// It closes the connection with bytes of the request unread, which resets it.
    CloseUnread,
}

const ENDS: [End; 2] = [End::Reset, End::CloseUnread];

/// What an endpoint answers, after a part of the request, and how it ends the connection.
#[derive(Debug, Clone)]
struct Answer {
    text: &'static str,
    /// `None`: it keeps the connection.
    end: Option<End>,
}

/// Listens and answers each connection's first request, once it has read a part of it. Requests for its start time are
/// answered before.
fn start(answer: Answer) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let answered: Arc<AtomicUsize> = Arc::default();
    let count = answered.clone();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (answer, count) = (answer.clone(), count.clone());
            thread::spawn(move || serve(socket, &answer, &count));
        }
    });
    (addr, answered)
}

fn serve(mut socket: TcpStream, answer: &Answer, answered: &AtomicUsize) {
    let mut buf = [0; READ_BYTES];
    let mut request = Vec::new();
    while request.len() < READ_BYTES {
        let Ok(size @ 1..) = socket.read(&mut buf) else {
            return;
        };
        request.extend_from_slice(&buf[..size]);
        let text = String::from_utf8_lossy(&request);
        if text.starts_with("GET /start ") && text.contains("\r\n\r\n") {
            let start = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
            socket.write_all(start).unwrap();
            request.clear();
        } else if text.contains("\r\n\r\nsmallbody") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&request).into_owned();
    let id = text.lines().find_map(|l| l.strip_prefix("id: "));
    let Some(id) = id else {
        return;
    };
    let number = answered.fetch_add(1, SeqCst);
    if socket
        .write_all(answer.text.replace("ID", id).as_bytes())
        .is_err()
    {
        return;
    }
    thread::sleep(Duration::from_millis(number as u64 % 4 * 7));
    match answer.end {
        None => thread::sleep(Duration::from_secs(3)),
        Some(End::CloseUnread) => {}
        Some(End::Reset) => set_socket_linger(&socket, Some(Duration::ZERO)).unwrap(),
    }
}

fn request(id: &str, size: usize) -> Vec<u8> {
    let head = format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nid: {id}\r\ntimeout-ms: 2000\r\nConnection: close\r\nContent-Length: {size}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend(b"smallbody");
    bytes.resize(bytes.len() - SMALL_BYTES + size, b'x');
    bytes
}

/// Whether the caller may take what it got for a success with its whole body.
fn looks_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    head.starts_with("HTTP/1.1 2") && (!chunked || body.ends_with("0\r\n\r\n"))
}

/// A router before an endpoint, directly or through another VM that carries its requests.
struct Way {
    routers: Vec<Router>,
}

impl Way {
    fn direct(kind: RouteKind, addr: SocketAddr) -> Self {
        let router = Router::with(kind, vec![endpoint("e0", addr)]);
        let routers = vec![router];
        Self { routers }
    }

    /// The first VM lists the endpoint at an address where nothing listens.
    fn carried(kind: RouteKind, addr: SocketAddr) -> Self {
        let ports = Ports::free();
        let mut routers: Vec<Router> = Vec::new();
        for (number, addr) in [free_addr(), addr].into_iter().enumerate() {
            let mut spec = RouterSpec::new(kind, vec![endpoint("e0", addr)]);
            spec.name = ["vm-0", "vm-1"][number];
            spec.zone = ["z0", "z1"][number];
            spec.ip = IpAddr::from([127, 0, 0, 1 + number as u8]);
            spec.ports = ports;
            spec.seeds = routers.iter().map(|r| r.control).collect();
            routers.push(Router::start(spec));
        }
        routers.iter().for_each(Router::wait_ready);
        thread::sleep(MEETING_TIME);
        Self { routers }
    }

    fn exchange(&self, bytes: &[u8]) -> String {
        let mut socket = self.routers[0].connect();
        // The router may answer before it has read the request.
        let _ = socket.write_all(bytes);
        let mut response = Vec::new();
        let _ = socket.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }
}

/// Sends long requests to an endpoint that answers the beginning of a success and breaks off; returns how many it answered.
fn check_broken_off(kind: RouteKind, carried: bool, end: End) -> usize {
    let text = match kind {
        RouteKind::Once | RouteKind::Idempotent => "HTTP/1.1 200 OK\r\nid: ID\r\n\r\npart",
        RouteKind::Stream | RouteKind::Resumable => {
            concat!(
                "HTTP/1.1 200 OK\r\nid: ID\r\nContent-Type: text/event-stream\r\n\r\n",
                "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
            )
        }
    };
    let end = Some(end);
    let (addr, answered) = start(Answer { text, end });
    let way = match carried {
        true => Way::carried(kind, addr),
        false => Way::direct(kind, addr),
    };
    for number in 0..REQUESTS {
        let response = way.exchange(&request(&format!("u{number}"), UPLOAD_BYTES));
        let case = (kind, carried, end, number);
        assert!(!looks_complete(&response), "{case:?}: {response}");
    }
    answered.load(SeqCst)
}

/// Guards against a truncated response without a length that passes for complete after a reset during the upload.
#[test]
fn answer_that_breaks_off_during_the_upload_is_not_complete() {
    for kind in KINDS {
        for end in ENDS {
            let answered = check_broken_off(kind, false, end);
            assert!(answered > 0, "{kind:?}, {end:?}");
        }
    }
}

/// As above, where another VM carries the request.
#[test]
fn carried_answer_that_breaks_off_during_the_upload_is_not_complete() {
    for kind in [RouteKind::Once, RouteKind::Stream] {
        for end in ENDS {
            let answered = check_broken_off(kind, true, end);
            assert!(answered > 0, "{kind:?}, {end:?}");
        }
    }
}

/// Guards against failures of complete responses that end with their connection.
#[test]
fn answer_without_a_length_is_complete_at_its_end() {
    for kind in KINDS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let mut buf = [0; READ_BYTES];
                while let Ok(size @ 1..) = socket.read(&mut buf) {
                    if buf[..size].starts_with(b"GET /start ") {
                        let start = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
                        socket.write_all(start).unwrap();
                        continue;
                    }
                    let head = response_head("q", "Content-Type: text/event-stream\r\n");
                    socket
                        .write_all(format!("{head}{EVENTS}").as_bytes())
                        .unwrap();
                    break;
                }
            }
        });
        let response = Way::direct(kind, addr).exchange(&request("q", SMALL_BYTES));
        assert!(looks_complete(&response), "{kind:?}: {response}");
        assert!(response.contains("two"), "{kind:?}: {response}");
    }
}

/// Answers each request with a status that doesn't exist; returns what the caller got.
fn exchange_status(kind: RouteKind, carried: bool, status: &str, framing: &str) -> String {
    let text: &'static str = format!("HTTP/1.1 {status} Odd\r\nid: ID\r\n{framing}\r\nodd").leak();
    let (addr, _) = start(Answer { text, end: None });
    let way = match carried {
        true => Way::carried(kind, addr),
        false => Way::direct(kind, addr),
    };
    way.exchange(&request("q", SMALL_BYTES))
}

fn check_status(response: &str, case: &impl std::fmt::Debug) {
    let status: Option<u16> = response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    assert!(
        status.is_some_and(|s| (500..600).contains(&s)),
        "{case:?}: {response}"
    );
    assert!(!response.contains("odd"), "{case:?}: {response}");
}

/// Guards against invalid status codes that are forwarded.
#[test]
fn answer_with_an_invalid_status_is_a_failure() {
    for kind in KINDS {
        for status in INVALID_STATUSES {
            for framing in ["Content-Length: 3\r\n", "Connection: close\r\n"] {
                let response = exchange_status(kind, false, status, framing);
                check_status(&response, &(kind, status, framing));
            }
        }
    }
}

/// As above, where another VM carries the request.
#[test]
fn carried_answer_with_an_invalid_status_is_a_failure() {
    for status in ["000", "600"] {
        let response = exchange_status(RouteKind::Once, true, status, "Content-Length: 3\r\n");
        check_status(&response, &status);
    }
}
