//! Requests that the server accepts or refuses, and its responses to them.

mod common;

use {
    common::{
        HEAD_TIMEOUT, MAX_BODY, TIMEOUT, connect, exchange, read_to_close, read_until, serve,
        serve_with, status,
    },
    std::{
        io::Write,
        net::Shutdown,
        thread,
        time::{Duration, Instant},
    },
};

/// Time in which a server reaches its next wait.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest time of a stop without open requests.
const STOP_TIME: Duration = Duration::from_secs(2);

const VALID_REQUEST: &[u8] = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\ngood";

/// Checks that `bytes` are refused with status `expected` and verdict `not_run`, and that the
/// server still serves other callers.
fn check_refused(bytes: &[u8], expected: u16) {
    let server = serve();
    let answer = exchange(server.addr, bytes);
    assert_eq!(status(&answer), Some(expected), "{answer}");
    assert!(
        answer.contains("x-celerystage-verdict: not_run"),
        "{answer}"
    );
    check_serves(server.addr);
}

fn check_serves(addr: std::net::SocketAddr) {
    let mut stream = connect(addr);
    stream.write_all(VALID_REQUEST).unwrap();
    assert!(read_until(&mut stream, "good").starts_with("HTTP/1.1 200"));
}

#[test]
fn length_and_encoding_together_are_refused() {
    let both = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    check_refused(both, 400);
}

#[test]
fn two_lengths_are_refused() {
    let two =
        b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\ngood";
    check_refused(two, 400);
}

#[test]
fn oversized_head_is_refused() {
    let value = "v".repeat(10_000);
    let head = format!("GET /echo HTTP/1.1\r\nhost: a\r\nx-long: {value}\r\n\r\n");
    check_refused(head.as_bytes(), 413);
}

#[test]
fn oversized_body_is_refused_before_it_is_sent() {
    let length = MAX_BODY + 1;
    let head = format!("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let server = serve();
    let mut stream = connect(server.addr);
    stream.write_all(head.as_bytes()).unwrap();
    let answer = read_until(&mut stream, "\r\n\r\n");
    assert_eq!(status(&answer), Some(413));
}

#[test]
fn oversized_chunked_body_is_refused() {
    let mut bytes =
        b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..MAX_BODY / 1000 + 2 {
        bytes.extend_from_slice(b"3e8\r\n");
        bytes.extend_from_slice(&[b'x'; 1000]);
        bytes.extend_from_slice(b"\r\n");
    }
    let server = serve();
    let mut stream = connect(server.addr);
    let _ = stream.write_all(&bytes);
    let answer = read_until(&mut stream, "\r\n\r\n");
    assert_eq!(status(&answer), Some(413));
}

#[test]
fn header_value_outside_ascii_is_refused() {
    check_refused(
        b"GET /echo HTTP/1.1\r\nhost: a\r\nx-name: caf\xc3\xa9\r\n\r\n",
        400,
    );
    check_refused(
        b"GET /echo HTTP/1.1\r\nhost: a\r\nx-name: \xff\xfe\r\n\r\n",
        400,
    );
}

#[test]
fn slow_head_is_refused_in_time() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream.write_all(b"GET /echo HTTP/1.1\r\nhost").unwrap();
    assert_eq!(status(&read_to_close(&mut stream)), Some(408));
}

#[test]
fn idle_connection_is_closed_without_an_answer() {
    let server = serve();
    assert_eq!(read_to_close(&mut connect(server.addr)), "");
    assert!(HEAD_TIMEOUT < TIMEOUT);
}

#[test]
fn slow_body_is_refused_in_time() {
    let server = serve();
    let mut stream = connect(server.addr);
    let start = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    stream.write_all(start).unwrap();
    assert_eq!(status(&read_until(&mut stream, "\r\n\r\n")), Some(408));
}

/// A caller that closes its sending side counts as disconnected, so it need not get a response. A
/// truncated body must not be answered as if it were complete, and the server must still serve
/// other callers.
#[test]
fn truncated_body_is_never_accepted_as_complete() {
    let short: [&[u8]; 2] = [
        b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf",
        b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for bytes in short {
        let server = serve();
        let mut stream = connect(server.addr);
        stream.write_all(bytes).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let answer = read_to_close(&mut stream);
        assert_ne!(status(&answer), Some(200), "{answer}");
        check_serves(server.addr);
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = serve();
    let mut stream = connect(server.addr);
    let mut bytes = Vec::new();
    for body in ["first", "other", "third"] {
        let head = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n";
        bytes.extend_from_slice(head.as_bytes());
        bytes.extend_from_slice(body.as_bytes());
    }
    stream.write_all(&bytes).unwrap();
    let answer = read_until(&mut stream, "third");
    let (first, other) = (answer.find("first"), answer.find("other"));
    assert!(first.is_some() && first < other, "{answer}");
}

#[test]
fn request_after_a_chunked_one_is_not_lost() {
    let server = serve();
    let mut stream = connect(server.addr);
    let bytes = b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
        5\r\nfirst\r\n0\r\n\r\n";
    stream.write_all(bytes).unwrap();
    read_until(&mut stream, "first");
    stream.write_all(VALID_REQUEST).unwrap();
    read_until(&mut stream, "good");
}

#[test]
fn expect_continue_gets_an_interim_response() {
    let server = serve();
    let mut stream = connect(server.addr);
    let head =
        b"POST /echo HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
    stream.write_all(head).unwrap();
    assert_eq!(status(&read_until(&mut stream, "\r\n\r\n")), Some(100));
    stream.write_all(b"late").unwrap();
    let answer = read_until(&mut stream, "late");
    assert_eq!(status(&answer), Some(200));
}

#[test]
fn disconnect_drops_the_handler() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    drop(stream);
    server.dropped.recv_timeout(TIMEOUT).unwrap();
}

/// Unread pipelined bytes must not keep the server from detecting a disconnect.
#[test]
fn disconnect_behind_unread_bytes_drops_the_handler() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\nGET /echo HTTP/1.1\r\n")
        .unwrap();
    drop(stream);
    server.dropped.recv_timeout(TIMEOUT).unwrap();
}

#[test]
fn first_token_is_sent_before_the_second_exists() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /tokens HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let answer = read_until(&mut stream, "one");
    assert!(!answer.contains("two"));
    server.proceed.send_blocking(()).unwrap();
    read_until(&mut stream, "two\r\n0\r\n\r\n");
}

#[test]
fn truncated_response_has_no_last_chunk() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    read_until(&mut stream, "one");
    server.proceed.send_blocking(()).unwrap();
    let end = read_to_close(&mut stream);
    assert!(!end.contains("0\r\n\r\n"), "{end:?}");
}

#[test]
fn stop_waits_for_the_running_response() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /tokens HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    read_until(&mut stream, "one");
    server.stop.trigger();
    server.proceed.send_blocking(()).unwrap();
    read_until(&mut stream, "two\r\n0\r\n\r\n");
    server.ended.recv_timeout(TIMEOUT).unwrap();
}

#[test]
fn draining_server_asks_callers_to_close_and_serves_new_ones() {
    let server = serve();
    let mut kept = connect(server.addr);
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    kept.write_all(request).unwrap();
    assert!(!read_until(&mut kept, "\r\n\r\n").contains("connection: close"));
    server.draining.trigger();
    kept.write_all(request).unwrap();
    assert!(read_to_close(&mut kept).contains("connection: close"));
    let mut new = connect(server.addr);
    new.write_all(request).unwrap();
    assert!(read_to_close(&mut new).contains("connection: close"));
}

/// A planned stop reset connections that were open but not accepted, or whose request was unread.
#[test]
fn stop_answers_requests_that_were_sent_before_it() {
    const ROUNDS: usize = 20;
    const CALLERS: usize = 40;
    for round in 0..ROUNDS {
        let server = serve();
        let mut streams: Vec<_> = (0..CALLERS).map(|_| connect(server.addr)).collect();
        for stream in &mut streams {
            stream.write_all(VALID_REQUEST).unwrap();
        }
        server.stop.trigger();
        let answers = streams.iter_mut().map(read_to_close);
        let served = answers.filter(|a| status(a) == Some(200) && a.ends_with("good"));
        assert_eq!(served.count(), CALLERS, "round {round}");
        server.ended.recv_timeout(TIMEOUT).unwrap();
    }
}

/// A planned stop closed a connection while its first request was on the way.
#[test]
fn stop_answers_the_first_request_of_a_connection_that_was_just_opened() {
    let server = serve();
    let mut stream = connect(server.addr);
    // The server accepts the connection and waits for its request.
    thread::sleep(PAUSE);
    server.stop.trigger();
    thread::sleep(PAUSE);
    stream.write_all(VALID_REQUEST).unwrap();
    let answer = read_to_close(&mut stream);
    assert_eq!(status(&answer), Some(200), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    server.ended.recv_timeout(TIMEOUT).unwrap();
}

/// Connections without a request must not delay a stop until their timeout.
#[test]
fn stop_closes_idle_connections() {
    let server = serve_with(TIMEOUT);
    let mut streams = [connect(server.addr), connect(server.addr)];
    streams[0].write_all(VALID_REQUEST).unwrap();
    read_until(&mut streams[0], "good");
    let begun = Instant::now();
    server.stop.trigger();
    server.ended.recv_timeout(TIMEOUT).unwrap();
    assert!(begun.elapsed() < STOP_TIME, "{:?}", begun.elapsed());
    for stream in &mut streams {
        assert_eq!(read_to_close(stream), "");
    }
}
