//! Reuse of idle connections.

use {
    async_io::block_on,
    clock::Instant,
    h1::{Pool, ResponseHead},
    std::{
        net::{SocketAddr, TcpListener, TcpStream},
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
    pool.put_back(at(0), addr, pooled, &head);
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

/// A pool with idle connections that have these proofs, the last one used most recently.
fn pool_with(listener: &TcpListener, proofs: &[Option<u64>]) -> (Pool, Vec<TcpStream>) {
    let addr = listener.local_addr().unwrap();
    let pool = Pool::default();
    let taken: Vec<_> = proofs
        .iter()
        .map(|_| block_on(pool.take_or_connect(at(0), addr)).unwrap())
        .collect();
    let peers = proofs.iter().map(|_| listener.accept().unwrap().0);
    let peers = peers.collect();
    for (mut pooled, proof) in taken.into_iter().zip(proofs) {
        assert_eq!((pooled.reused, pooled.proof), (false, None));
        pooled.proof = *proof;
        pool.put_back(at(0), addr, pooled, &ResponseHead::new(200));
    }
    (pool, peers)
}

#[test]
fn proof_stays_with_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (pool, _peers) = pool_with(&listener, &[None, Some(7)]);
    let proofs = [(); 3].map(|()| pool.take_idle(at(1), addr).map(|p| p.proof));
    assert_eq!(proofs, [Some(Some(7)), Some(None), None]);
}

#[test]
fn connection_with_the_proof_is_preferred() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (pool, _peers) = pool_with(&listener, &[Some(7), Some(8), None]);
    let take = || pool.take_proven(at(1), addr, 7).map(|p| p.proof);
    // Without a proven one, any idle connection is better than a new one.
    let proofs = [take(), take(), take(), take()];
    assert_eq!(proofs, [Some(Some(7)), Some(None), Some(Some(8)), None]);
    let opened = block_on(pool.take_proven_or_connect(at(1), addr, 7)).unwrap();
    assert_eq!((opened.reused, opened.proof), (false, None));
}

#[test]
fn proven_connection_is_not_reused_after_its_timeout_or_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (pool, _peers) = pool_with(&listener, &[Some(7)]);
    assert!(pool.take_proven(at(60_000), addr, 7).is_none());
    let (pool, peers) = pool_with(&listener, &[Some(7)]);
    drop(peers);
    assert!(pool.take_proven(at(1), addr, 7).is_none());
}

#[test]
fn unused_connection_has_no_proof() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let pool = Pool::default();
    let pooled = block_on(pool.take_or_connect(at(0), addr)).unwrap();
    let _peer = listener.accept().unwrap();
    pool.put_unused(at(0), addr, pooled.conn);
    let taken = pool.take_proven(at(1), addr, 7).unwrap();
    assert_eq!((taken.reused, taken.proof), (true, None));
}
