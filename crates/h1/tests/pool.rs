//! Reuse of idle connections.

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

/// Opens a connection, puts it back after a response with these fields, and returns whether it can
/// be taken again after `idle`.
fn is_reused_after(fields: &[(&str, &str)], idle: Duration) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let pool = Pool::default();
    let pooled = block_on(pool.take_or_connect(at(0), addr)).unwrap();
    let _peer = listener.accept().unwrap();
    let mut head = ResponseHead::new(200);
    for (name, value) in fields {
        head.headers.push(*name, *value);
    }
    pool.put_back(at(0), addr, pooled.conn, &head);
    pool.take_idle(at(0) + idle, addr).is_some()
}

#[test]
fn connection_is_reused_within_the_announced_timeout_less_a_margin() {
    let announced = [("Keep-Alive", "timeout=5, max=9")];
    assert!(is_reused_after(&announced, Duration::from_millis(3_700)));
    assert!(!is_reused_after(&announced, Duration::from_millis(3_900)));
    assert!(!is_reused_after(
        &[("Keep-Alive", "timeout=1")],
        Duration::ZERO
    ));
}

#[test]
fn connection_marked_close_is_not_reused() {
    assert!(is_reused_after(&[], Duration::from_secs(1)));
    assert!(!is_reused_after(&[("Connection", "close")], Duration::ZERO));
}
