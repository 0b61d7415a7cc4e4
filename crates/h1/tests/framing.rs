//! Framing of requests and responses, and decoding of bodies.

use {
    async_io::{Async, Timer, block_on},
    clock::Instant,
    futures_lite::FutureExt,
    h1::{
        BodyError, BodyReader, Conn, Framing, HeadError, MAX_HEADERS, Pool, RequestHead,
        ResponseHead, request_framing, response_framing,
    },
    quickcheck::{Gen, QuickCheck},
    std::{
        io::{ErrorKind, Read, Write},
        net::{TcpListener, TcpStream},
        thread,
        time::Duration,
    },
    types::Bytes,
};

const SEED: u64 = 31;
/// Time after which a request on a stalled connection is given up.
const STALL: Duration = Duration::from_secs(6);
const SIZE_LIMIT: Bytes = Bytes(1 << 20);

fn request(fields: &str) -> RequestHead {
    let text = format!("POST /a?b HTTP/1.1\r\nHost: H.example:80\r\n{fields}\r\n");
    RequestHead::parse(text.as_bytes()).unwrap().unwrap().0
}

fn response(status: u16, fields: &str) -> ResponseHead {
    let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n");
    ResponseHead::parse(text.as_bytes()).unwrap().unwrap().0
}

/// Creates a loopback connection and returns both ends.
fn connected_pair() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (near, _) = listener.accept().unwrap();
    (Conn::new(Async::new(near).unwrap()).unwrap(), peer)
}

#[test]
fn ambiguous_requests_are_refused() {
    for fields in [
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: +1\r\n",
        "Content-Length: 1, 1\r\n",
        "Content-Length: \r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    ] {
        assert!(request_framing(&request(fields)).is_err(), "{fields}");
    }
    let chunked = request("Transfer-Encoding: chunked\r\n");
    assert_eq!(request_framing(&chunked), Ok(Framing::Chunked));
    assert_eq!(request_framing(&request("")), Ok(Framing::Length(0)));
}

#[test]
fn responses_end_by_length_chunk_or_close() {
    let framing = |status, fields| response_framing(&response(status, fields), "GET");
    assert_eq!(
        framing(200, "Content-Length: 4\r\n"),
        Ok(Framing::Length(4))
    );
    assert_eq!(
        framing(200, "Transfer-Encoding: chunked\r\n"),
        Ok(Framing::Chunked)
    );
    assert_eq!(framing(200, ""), Ok(Framing::Close));
    assert_eq!(framing(204, ""), Ok(Framing::Length(0)));
    let both = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    assert!(framing(200, both).is_err());
}

#[test]
fn host_and_path_are_normalised_for_routing() {
    let head = request("");
    assert_eq!((head.host().as_str(), head.path()), ("h.example", "/a"));
}

#[test]
fn hop_by_hop_fields_are_removed() {
    let mut head =
        request("Connection: close, X-Own\r\nX-Own: 1\r\nKeep-Alive: 5\r\nX-Kept: 2\r\n");
    head.headers.strip_hop_by_hop();
    assert_eq!(head.headers.get("x-own"), None);
    assert_eq!(head.headers.get("keep-alive"), None);
    assert_eq!(head.headers.get("x-kept"), Some("2"));
}

#[test]
fn too_many_fields_are_refused() {
    let fields = "A: b\r\n".repeat(MAX_HEADERS + 1);
    let text = format!("GET / HTTP/1.1\r\n{fields}\r\n");
    assert_eq!(
        RequestHead::parse(text.as_bytes()),
        Err(HeadError::TooLarge)
    );
}

/// Sends `body` in chunks of `sizes` bytes and checks that it is read back, and nothing after
/// it.
fn chunks_read_back(body: Vec<u8>, sizes: Vec<u8>) -> bool {
    let mut bytes = Vec::new();
    let mut rest = body.as_slice();
    for chunk_size in &sizes {
        let size = usize::from(*chunk_size)
            .clamp(1, rest.len().max(1))
            .min(rest.len());
        if size == 0 {
            break;
        }
        bytes.extend_from_slice(format!("{size:X};ext=1\r\n").as_bytes());
        bytes.extend_from_slice(&rest[..size]);
        bytes.extend_from_slice(b"\r\n");
        rest = &rest[size..];
    }
    let sent = body.len() - rest.len();
    bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\nNEXT");
    let (mut conn, mut peer) = connected_pair();
    let writer = thread::spawn(move || {
        for piece in bytes.chunks(7) {
            peer.write_all(piece).unwrap();
        }
    });
    let mut reader = BodyReader::new(Framing::Chunked);
    let read = block_on(reader.read_all(&mut conn, SIZE_LIMIT)).unwrap();
    writer.join().unwrap();
    while conn.buffered().len() < 4 {
        block_on(conn.fill()).unwrap();
    }
    read == body[..sent] && reader.is_done() && conn.buffered() == b"NEXT"
}

#[test]
fn chunked_bodies_are_read_to_their_end_and_no_further() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(60)
        .quickcheck(chunks_read_back as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn bodies_that_end_early_are_io_errors() {
    for (framing, text) in [
        (Framing::Length(5), "abc"),
        (Framing::Chunked, "3\r\nabc\r\n"),
        (Framing::Chunked, "5\r\nabc"),
    ] {
        let (mut conn, mut peer) = connected_pair();
        peer.write_all(text.as_bytes()).unwrap();
        drop(peer);
        let read = block_on(BodyReader::new(framing).read_all(&mut conn, SIZE_LIMIT));
        assert!(matches!(read, Err(BodyError::Io(_))), "{text}");
    }
}

#[test]
fn bodies_over_the_limit_are_refused() {
    let (mut conn, mut peer) = connected_pair();
    peer.write_all(b"4\r\nabcd\r\n4\r\nabcd\r\n0\r\n\r\n")
        .unwrap();
    let read = block_on(BodyReader::new(Framing::Chunked).read_all(&mut conn, Bytes(6)));
    assert!(matches!(read, Err(BodyError::TooLarge)));
    let huge = block_on(BodyReader::new(Framing::Length(7)).read_all(&mut conn, Bytes(6)));
    assert!(matches!(huge, Err(BodyError::TooLarge)));
}

#[test]
fn response_before_the_end_of_an_upload_is_read() {
    let (mut conn, mut peer) = connected_pair();
    peer.write_all(b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    thread::sleep(Duration::from_millis(50));
    let upload = vec![b'x'; 64 << 20];
    let (head, fully_sent) = block_on(conn.exchange(&upload, SIZE_LIMIT)).unwrap();
    assert_eq!((head.status, fully_sent), (413, false));
}

#[test]
fn connection_with_unread_bytes_or_a_closed_peer_is_not_reusable() {
    let (conn, mut peer) = connected_pair();
    assert!(conn.is_reusable());
    peer.write_all(b"x").unwrap();
    thread::sleep(Duration::from_millis(50));
    assert!(!conn.is_reusable());
    let (conn, peer) = connected_pair();
    drop(peer);
    thread::sleep(Duration::from_millis(50));
    assert!(!conn.is_reusable());
}

/// Reads to the end of a connection; the error that ended it, if any.
fn read_to_end(mut peer: TcpStream) -> Option<std::io::ErrorKind> {
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).err().map(|e| e.kind())
}

#[test]
fn connection_of_an_abandoned_request_is_reset() {
    let (mut near, peer) = connected_pair();
    block_on(async {
        let exchange = near.exchange(b"GET / HTTP/1.1\r\n\r\n", SIZE_LIMIT);
        let given_up = async_io::Timer::after(Duration::from_millis(50));
        let outcome = futures_lite::future::or(async { exchange.await.is_ok() }, async {
            given_up.await;
            false
        });
        assert!(!outcome.await);
    });
    drop(near);
    assert_eq!(read_to_end(peer), Some(std::io::ErrorKind::ConnectionReset));
}

#[test]
fn connection_of_an_answered_request_is_closed_normally() {
    let (mut near, mut peer) = connected_pair();
    peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let answer = block_on(near.exchange(b"GET / HTTP/1.1\r\n\r\n", SIZE_LIMIT));
    assert!(answer.is_ok_and(|(head, sent)| head.status == 200 && sent));
    drop(near);
    assert_eq!(read_to_end(peer), None);
}

/// The system gave up a connection whose peer had stalled before its request was given up. Closing it
/// then discarded nothing, and a peer behind a partition got the request after it.
#[test]
fn connection_that_stalls_lives_until_its_request_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let pool = Pool::default();
    let pooled = block_on(pool.take_or_connect(Instant::default(), addr)).unwrap();
    let (peer, _) = listener.accept().unwrap();
    let mut conn = pooled.conn;
    // More than the buffers of both sides hold.
    let request = vec![b'x'; 32 << 20];
    let ended = block_on(async {
        let exchange = async { Some(conn.exchange(&request, SIZE_LIMIT).await.err()) };
        let given_up = async {
            Timer::after(STALL).await;
            None
        };
        exchange.or(given_up).await
    });
    assert!(ended.is_none(), "{ended:?}");
    drop(conn);
    assert_eq!(read_to_end(peer), Some(ErrorKind::ConnectionReset));
}

/// A failed write took the error of the reset, and a body that ends with its connection looked complete.
#[test]
fn body_until_close_is_cut_by_a_reset_that_a_write_has_met() {
    let (mut conn, mut peer) = connected_pair();
    peer.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").unwrap();
    rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO)).unwrap();
    drop(peer);
    thread::sleep(Duration::from_millis(50));
    let (head, written) = block_on(conn.exchange(b"POST / HTTP/1.1\r\n\r\n", SIZE_LIMIT)).unwrap();
    assert!(!written);
    let framing = response_framing(&head, "POST").unwrap();
    assert_eq!(framing, Framing::Close);
    let read = block_on(BodyReader::new(framing).read_all(&mut conn, SIZE_LIMIT));
    assert!(
        matches!(&read, Err(BodyError::Io(e)) if e.kind() == ErrorKind::ConnectionReset),
        "{read:?}"
    );
}

/// A peer that has closed before it resets has sent all of its body.
#[test]
fn body_until_close_is_complete_if_the_reset_follows_the_close() {
    let (mut conn, mut peer) = connected_pair();
    peer.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole").unwrap();
    drop(peer);
    thread::sleep(Duration::from_millis(50));
    block_on(conn.write_all(b"x")).unwrap();
    thread::sleep(Duration::from_millis(50));
    let (head, written) = block_on(conn.exchange(b"POST / HTTP/1.1\r\n\r\n", SIZE_LIMIT)).unwrap();
    assert!(!written);
    let mut reader = BodyReader::new(response_framing(&head, "POST").unwrap());
    let read = block_on(reader.read_all(&mut conn, SIZE_LIMIT));
    assert_eq!(read.unwrap(), b"whole");
}
