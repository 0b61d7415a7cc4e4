//! Reports of a process that pauses while it sends them.

use {
    async_io::block_on,
    clock::TestClock,
    futures_lite::future::poll_once,
    ports::{HttpPlatform, PlatformError, UsageApi, UsageReport},
    std::{
        io::{ErrorKind, Read},
        net::TcpListener,
        sync::Arc,
        thread,
        time::Duration,
    },
    types::Verdict,
    wire::Client,
};

/// Longer than another process waits before it takes a lease over.
const FREEZE: Duration = Duration::from_secs(9);
/// Time for which the platform looks for bytes.
const LOOK: Duration = Duration::from_millis(200);

fn report() -> UsageReport {
    UsageReport {
        window: "a-1000".into(),
        sender: "vm-1".parse().unwrap(),
        lines: Vec::new(),
    }
}

/// A process that froze while it connected sent its report after its successor had reported.
#[test]
fn report_is_not_sent_after_a_freeze_in_connecting() {
    let platform = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = platform.local_addr().unwrap();
    let clock = TestClock::default();
    let api = HttpPlatform::new(Client::new(Arc::new(clock.clone())), addr);
    let report = report();
    let mut sending = api.report(&report);
    assert!(block_on(poll_once(&mut sending)).is_none());
    let mut conn = platform.accept().unwrap().0;
    thread::sleep(LOOK);
    clock.advance(FREEZE);
    let result = block_on(poll_once(&mut sending));
    conn.set_read_timeout(Some(LOOK)).unwrap();
    let received = match conn.read(&mut [0; 1024]) {
        Ok(size) => size,
        Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
        Err(e) => panic!("{e}"),
    };
    assert_eq!(received, 0, "the platform has received bytes");
    let not_sent = PlatformError::Unreachable(Verdict::NotRun);
    assert_eq!(result, Some(Err(not_sent)));
}
