//! What callers may send, and what they are told.

mod common;

use {
    common::{HEAD_LIMIT, MAX_BODY, WIDE, connect, exchange, read_until, rest, serve, status},
    std::{io::Write, net::Shutdown},
};

const GOOD: &[u8] = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\ngood";

/// Sends `bytes`, expects `wanted` with the verdict, and that the server serves on.
fn refuses(bytes: &[u8], wanted: u16) {
    let server = serve();
    let answer = exchange(server.addr, bytes);
    assert_eq!(status(&answer), Some(wanted), "{answer}");
    assert!(
        answer.contains("x-celerystage-verdict: not_run"),
        "{answer}"
    );
    serves(server.addr);
}

fn serves(addr: std::net::SocketAddr) {
    let mut stream = connect(addr);
    stream.write_all(GOOD).unwrap();
    assert!(read_until(&mut stream, "good").starts_with("HTTP/1.1 200"));
}

#[test]
fn length_and_encoding_together_are_refused() {
    let both = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    refuses(both, 400);
}

#[test]
fn two_lengths_are_refused() {
    let two =
        b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\ngood";
    refuses(two, 400);
}

#[test]
fn an_oversized_head_is_refused() {
    let value = "v".repeat(10_000);
    let head = format!("GET /echo HTTP/1.1\r\nhost: a\r\nx-long: {value}\r\n\r\n");
    refuses(head.as_bytes(), 413);
}

#[test]
fn an_oversized_body_is_refused_before_it_is_sent() {
    let length = MAX_BODY + 1;
    let head = format!("POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let server = serve();
    let mut stream = connect(server.addr);
    stream.write_all(head.as_bytes()).unwrap();
    let answer = read_until(&mut stream, "\r\n\r\n");
    assert_eq!(status(&answer), Some(413));
}

#[test]
fn an_oversized_chunked_body_is_refused() {
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
fn a_header_value_outside_ascii_is_refused() {
    refuses(
        b"GET /echo HTTP/1.1\r\nhost: a\r\nx-name: caf\xc3\xa9\r\n\r\n",
        400,
    );
    refuses(
        b"GET /echo HTTP/1.1\r\nhost: a\r\nx-name: \xff\xfe\r\n\r\n",
        400,
    );
}

#[test]
fn a_slow_head_is_refused_in_time() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream.write_all(b"GET /echo HTTP/1.1\r\nhost").unwrap();
    assert_eq!(status(&rest(&mut stream)), Some(408));
}

#[test]
fn an_idle_connection_is_closed_without_an_answer() {
    let server = serve();
    assert_eq!(rest(&mut connect(server.addr)), "");
    assert!(HEAD_LIMIT < WIDE);
}

#[test]
fn a_slow_body_is_refused_in_time() {
    let server = serve();
    let mut stream = connect(server.addr);
    let start = b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    stream.write_all(start).unwrap();
    assert_eq!(status(&read_until(&mut stream, "\r\n\r\n")), Some(408));
}

/// A caller that ends its sending side is taken as gone, so what matters is that nothing is answered
/// as if the body had been whole, and that the server serves on.
#[test]
fn a_body_that_ends_early_is_never_taken_for_whole() {
    let short: [&[u8]; 2] = [
        b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf",
        b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for bytes in short {
        let server = serve();
        let mut stream = connect(server.addr);
        stream.write_all(bytes).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let answer = rest(&mut stream);
        assert_ne!(status(&answer), Some(200), "{answer}");
        serves(server.addr);
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
fn a_request_behind_a_chunked_one_is_not_lost() {
    let server = serve();
    let mut stream = connect(server.addr);
    let bytes = b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
        5\r\nfirst\r\n0\r\n\r\n";
    stream.write_all(bytes).unwrap();
    read_until(&mut stream, "first");
    stream.write_all(GOOD).unwrap();
    read_until(&mut stream, "good");
}

#[test]
fn a_caller_that_expects_continue_is_told_to() {
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
fn a_caller_that_hangs_up_frees_its_handler() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    drop(stream);
    server.dropped.recv_timeout(WIDE).unwrap();
}

/// Bytes that the caller pipelined must not hide that it has hung up.
#[test]
fn a_hang_up_behind_unread_bytes_frees_the_handler() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\nGET /echo HTTP/1.1\r\n")
        .unwrap();
    drop(stream);
    server.dropped.recv_timeout(WIDE).unwrap();
}

#[test]
fn the_first_token_arrives_before_the_second_is_made() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /tokens HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let answer = read_until(&mut stream, "one");
    assert!(!answer.contains("two"));
    server.go_on.send_blocking(()).unwrap();
    read_until(&mut stream, "two\r\n0\r\n\r\n");
}

#[test]
fn an_answer_that_is_cut_does_not_look_whole() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    read_until(&mut stream, "one");
    server.go_on.send_blocking(()).unwrap();
    let end = rest(&mut stream);
    assert!(!end.contains("0\r\n\r\n"), "{end:?}");
}

#[test]
fn a_stop_waits_for_the_running_answer() {
    let server = serve();
    let mut stream = connect(server.addr);
    stream
        .write_all(b"GET /tokens HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    read_until(&mut stream, "one");
    server.stop.trigger();
    server.go_on.send_blocking(()).unwrap();
    read_until(&mut stream, "two\r\n0\r\n\r\n");
    server.ended.recv_timeout(WIDE).unwrap();
}

#[test]
fn before_a_stop_callers_are_asked_to_close_and_new_ones_are_served() {
    let server = serve();
    let mut kept = connect(server.addr);
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    kept.write_all(request).unwrap();
    assert!(!read_until(&mut kept, "\r\n\r\n").contains("connection: close"));
    server.closing.trigger();
    kept.write_all(request).unwrap();
    assert!(rest(&mut kept).contains("connection: close"));
    let mut new = connect(server.addr);
    new.write_all(request).unwrap();
    assert!(rest(&mut new).contains("connection: close"));
}
