//! Reuse of connections.

use {
    async_io::block_on,
    clock::Instant,
    h1::{Pool, ResponseHead},
    std::{
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
};

fn at(ms: u64) -> Instant {
    Instant::from_nanos((1_000 + ms) * 1_000_000)
}

/// Opens a connection, gives it back after an answer with these fields, and takes it again later.
fn reused_after(fields: &[(&str, &str)], idle: Duration) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let pool = Pool::default();
    let pooled = block_on(pool.take_or_connect(at(0), addr)).unwrap();
    let _far = listener.accept().unwrap();
    let mut head = ResponseHead::new(200);
    for (name, value) in fields {
        head.headers.push(*name, *value);
    }
    pool.put_back(at(0), addr, pooled.conn, &head);
    pool.take_idle(at(0) + idle, addr).is_some()
}

#[test]
fn connection_is_reused_within_the_stated_timeout_less_a_margin() {
    let stated = [("Keep-Alive", "timeout=5, max=9")];
    assert!(reused_after(&stated, Duration::from_millis(3_700)));
    assert!(!reused_after(&stated, Duration::from_millis(3_900)));
    assert!(!reused_after(
        &[("Keep-Alive", "timeout=1")],
        Duration::ZERO
    ));
}

#[test]
fn connection_of_a_leaving_peer_is_not_reused() {
    assert!(reused_after(&[], Duration::from_secs(1)));
    assert!(!reused_after(&[("Connection", "close")], Duration::ZERO));
}
