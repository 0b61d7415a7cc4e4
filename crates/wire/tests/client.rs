//! What endpoints may answer, and what the client makes of it.

use {
    async_io::block_on,
    clock::SystemClock,
    http_types::Method,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
    types::{Bytes, Verdict},
    wire::{Call, CallTimeouts, Client, SendError, SendErrorKind},
};

const LIMITS: CallTimeouts = CallTimeouts {
    connect: Duration::from_secs(5),
    head: Duration::from_millis(800),
    body_idle: Duration::from_millis(800),
};
const MAX: Bytes = Bytes(1000);

fn read_request(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 4096];
    let mut all = Vec::new();
    while !all.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => all.extend_from_slice(&buf[..n]),
            _ => return false,
        }
    }
    true
}

/// A server that gives these answers, one for each request of each connection, then closes.
fn answering(answers: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let answers = answers.clone();
            thread::spawn(move || {
                for answer in &answers {
                    if !read_request(&mut stream) || stream.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn get(client: &Client, addr: SocketAddr) -> Result<Vec<u8>, SendError> {
    block_on(async {
        let call = Call::new(addr, Method::Get, "/").timeouts(LIMITS);
        client.send(call).await?.bytes(MAX).await
    })
}

fn one(answer: &[u8]) -> Result<Vec<u8>, SendError> {
    let client = Client::new(SystemClock::shared());
    get(&client, answering(vec![answer.to_vec()]))
}

fn send_error_kind(answer: &[u8]) -> SendErrorKind {
    let error = one(answer).expect_err("a fault");
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    error.kind
}

#[test]
fn whole_answers_are_read() {
    let length = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";
    assert_eq!(one(length).unwrap(), b"good");
    let chunks =
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n";
    assert_eq!(one(chunks).unwrap(), b"good");
}

#[test]
fn a_body_shorter_than_its_length_is_cut() {
    let short = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
    assert_eq!(send_error_kind(short), SendErrorKind::BodyTruncated);
}

#[test]
fn a_chunked_body_without_a_last_chunk_is_cut() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for body in [
        "4\r\nhalf\r\n",
        "4\r\nhalf",
        "4\r\nha",
        "4\r\nhalf\r\n0",
        "",
    ] {
        let answer = format!("{head}{body}");
        assert_eq!(
            send_error_kind(answer.as_bytes()),
            SendErrorKind::BodyTruncated,
            "{body:?}"
        );
    }
}

#[test]
fn a_body_of_unknown_length_is_refused() {
    assert_eq!(
        send_error_kind(b"HTTP/1.1 200 OK\r\n\r\nhalf"),
        SendErrorKind::InvalidResponse
    );
}

#[test]
fn a_body_over_the_limit_is_refused() {
    let mut answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n".to_vec();
    answer.extend_from_slice(&[b'x'; 2000]);
    assert_eq!(send_error_kind(&answer), SendErrorKind::InvalidResponse);
}

#[test]
fn a_response_header_outside_ascii_is_a_fault() {
    let answer = b"HTTP/1.1 200 OK\r\nx-name: caf\xc3\xa9\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send_error_kind(answer), SendErrorKind::NoResponse);
}

#[test]
fn no_answer_in_time_is_a_timeout() {
    let addr = answering(vec![Vec::new(), Vec::new()]);
    let error = get(&Client::new(SystemClock::shared()), addr).expect_err("a timeout");
    assert_eq!(error.kind, SendErrorKind::HeadTimeout);
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

#[test]
fn a_refused_connection_has_not_run() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let error = get(&Client::new(SystemClock::shared()), addr).expect_err("no server");
    assert_eq!(
        (error.kind, error.verdict),
        (SendErrorKind::Connect, Verdict::NotRun)
    );
}

/// The second request goes over the first one's connection and is read; then the server closes.
#[test]
fn a_reused_connection_that_dies_may_have_run() {
    let good = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood".to_vec();
    let addr = answering(vec![good, Vec::new()]);
    let client = Client::new(SystemClock::shared());
    assert_eq!(get(&client, addr).unwrap(), b"good");
    let error = get(&client, addr).expect_err("a dead connection");
    assert_eq!(error.kind, SendErrorKind::NoResponse);
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

/// The server closes after its answer; the client must see that and open another connection.
#[test]
fn a_connection_that_closed_while_idle_is_not_reused() {
    let good = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood".to_vec();
    let addr = answering(vec![good]);
    let client = Client::new(SystemClock::shared());
    for _ in 0..5 {
        assert_eq!(get(&client, addr).unwrap(), b"good");
        thread::sleep(Duration::from_millis(50));
    }
}
