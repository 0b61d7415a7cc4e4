//! A server in the test's own process, and raw sockets to it.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    async_executor::Executor,
    async_io::block_on,
    clock::{SharedClock, SystemClock},
    futures_lite::future::pending,
    http_types::{Request, Response, StatusCode},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc,
            mpsc::{Receiver, Sender, channel},
        },
        thread,
        time::Duration,
    },
    types::{Bytes, Reason, Refusal},
    wire::{
        BodyError, Handler, ResponseFuture, Server, ServerLimits, StopSignal, body_channel,
        read_body, refusal_response,
    },
};

/// Widest wait for what must come.
pub(crate) const WIDE: Duration = Duration::from_secs(20);
/// Largest body that the test's handler accepts.
pub(crate) const MAX_BODY: usize = 100_000;
const BODY_GAP: Duration = Duration::from_millis(400);
pub(crate) const HEAD_LIMIT: Duration = Duration::from_millis(600);

/// Answers by path.
struct TestHandler {
    clock: SharedClock,
    ex: Arc<Executor<'static>>,
    /// Told when the handler of `/hold` is dropped.
    dropped: Sender<()>,
    /// `/tokens` waits for it before its second piece.
    go_on: async_channel::Receiver<()>,
}

pub(crate) struct TestServer {
    pub addr: SocketAddr,
    pub dropped: Receiver<()>,
    pub go_on: async_channel::Sender<()>,
    pub stop: StopSignal,
    pub closing: StopSignal,
    pub ended: Receiver<()>,
}

struct TellDrop(Sender<()>);

impl Drop for TellDrop {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl TestHandler {
    async fn answer(&self, mut request: Request) -> Response {
        match request.url().path() {
            "/hold" => {
                let _told = TellDrop(self.dropped.clone());
                pending().await
            }
            "/tokens" | "/cut" => self.tokens(request.url().path() == "/cut"),
            _ => {
                let limit = Bytes(MAX_BODY as u64);
                let read = read_body(request.take_body(), limit, BODY_GAP, &*self.clock);
                match read.await {
                    Ok(bytes) => {
                        let mut response = Response::new(StatusCode::Ok);
                        response.set_body(bytes);
                        response
                    }
                    Err(e) => refused(e),
                }
            }
        }
    }

    fn tokens(&self, cut: bool) -> Response {
        let (sender, body) = body_channel();
        let go_on = self.go_on.clone();
        self.ex
            .spawn(async move {
                sender.send(b"one".to_vec()).await;
                let _ = go_on.recv().await;
                if !cut {
                    sender.send(b"two".to_vec()).await;
                    sender.finish().await;
                }
            })
            .detach();
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response
    }
}

fn refused(e: BodyError) -> Response {
    let reason = match e {
        BodyError::TooLarge(_) => Reason::TooLarge,
        BodyError::TooSlow => Reason::TooSlow,
        BodyError::Truncated => Reason::BadRequest,
    };
    refusal_response(&Refusal::not_run(reason, e.to_string()))
}

impl Handler for TestHandler {
    fn call(&self, request: Request) -> ResponseFuture<'_> {
        Box::pin(self.answer(request))
    }
}

/// Starts a server on a thread of its own.
pub(crate) fn serve() -> TestServer {
    let clock = SystemClock::shared();
    let ex = Arc::new(Executor::new());
    let (told, dropped) = channel();
    let (go_on, waits) = async_channel::unbounded();
    let handler = Arc::new(TestHandler {
        clock: clock.clone(),
        ex: ex.clone(),
        dropped: told,
        go_on: waits,
    });
    let limits = ServerLimits {
        head_timeout: HEAD_LIMIT,
        write_timeout: HEAD_LIMIT,
        ..ServerLimits::default()
    };
    let (stop, any) = (StopSignal::default(), "127.0.0.1:0".parse().unwrap());
    let closing = StopSignal::default();
    let server = Server::bind(any, handler, limits, clock, stop.clone()).unwrap();
    let server = server.drain_signal(closing.clone());
    let addr = server.addr().unwrap();
    let (end, ended) = channel();
    thread::spawn(move || {
        block_on(ex.run(server.run(&ex)));
        let _ = end.send(());
    });
    TestServer {
        addr,
        dropped,
        go_on,
        stop,
        closing,
        ended,
    }
}

pub(crate) fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(WIDE)).unwrap();
    stream
}

/// Sends bytes, ends the sending side, and reads whatever comes until the server closes.
pub(crate) fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(addr);
    // The server may refuse and close before all was written.
    let _ = stream.write_all(bytes);
    rest(&mut stream)
}

/// Reads until the server closes; a hang is a panic.
pub(crate) fn rest(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => all.extend_from_slice(&buf[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(e) => panic!("the server neither answered nor closed: {e}"),
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

/// Reads until the text holds `wanted`.
pub(crate) fn read_until(stream: &mut TcpStream, wanted: &str) -> String {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&all).into_owned();
        if text.contains(wanted) {
            return text;
        }
        match stream.read(&mut buf) {
            Ok(0) => panic!("closed before {wanted:?}: {text:?}"),
            Ok(n) => all.extend_from_slice(&buf[..n]),
            Err(e) => panic!("waiting for {wanted:?}: {e}; got {text:?}"),
        }
    }
}

/// Status of a raw answer.
pub(crate) fn status(answer: &str) -> Option<u16> {
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}
