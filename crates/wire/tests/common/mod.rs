//! A server within the test process, and raw connections to it.

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

/// Timeout for events that must happen.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
/// Largest body that the test handler accepts.
pub(crate) const MAX_BODY: usize = 100_000;
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(400);
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_millis(600);

/// Responds according to the path: `/hold` never does, `/tokens` streams two chunks, `/cut` ends
/// the stream after the first chunk, and any other path echoes the body.
struct TestHandler {
    clock: SharedClock,
    ex: Arc<Executor<'static>>,
    /// Notified when the handler of `/hold` is dropped.
    dropped: Sender<()>,
    /// `/tokens` and `/cut` wait for a message after the first chunk.
    proceed: async_channel::Receiver<()>,
}

pub(crate) struct TestServer {
    pub addr: SocketAddr,
    pub dropped: Receiver<()>,
    pub proceed: async_channel::Sender<()>,
    pub stop: StopSignal,
    pub draining: StopSignal,
    pub ended: Receiver<()>,
}

/// Sends a message when it is dropped.
struct NotifyOnDrop(Sender<()>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl TestHandler {
    async fn answer(&self, mut request: Request) -> Response {
        match request.url().path() {
            "/hold" => {
                let _guard = NotifyOnDrop(self.dropped.clone());
                pending().await
            }
            "/tokens" | "/cut" => self.tokens(request.url().path() == "/cut"),
            _ => {
                let limit = Bytes(MAX_BODY as u64);
                let read = read_body(request.take_body(), limit, BODY_IDLE_TIMEOUT, &*self.clock);
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
        let proceed = self.proceed.clone();
        self.ex
            .spawn(async move {
                sender.send(b"one".to_vec()).await;
                let _ = proceed.recv().await;
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

/// Starts a server on its own thread.
pub(crate) fn serve() -> TestServer {
    serve_with(HEAD_TIMEOUT)
}

/// As above, with this timeout for request heads.
pub(crate) fn serve_with(head_timeout: Duration) -> TestServer {
    let clock = SystemClock::shared();
    let ex = Arc::new(Executor::new());
    let (notifier, dropped) = channel();
    let (proceed, proceeded) = async_channel::unbounded();
    let handler = Arc::new(TestHandler {
        clock: clock.clone(),
        ex: ex.clone(),
        dropped: notifier,
        proceed: proceeded,
    });
    let limits = ServerLimits {
        head_timeout,
        write_timeout: HEAD_TIMEOUT,
        ..ServerLimits::default()
    };
    let (stop, any_port) = (StopSignal::default(), "127.0.0.1:0".parse().unwrap());
    let draining = StopSignal::default();
    let server = Server::bind(any_port, handler, limits, clock, stop.clone()).unwrap();
    let server = server.drain_signal(draining.clone());
    let addr = server.addr().unwrap();
    let (end, ended) = channel();
    thread::spawn(move || {
        block_on(ex.run(server.run(&ex)));
        let _ = end.send(());
    });
    TestServer {
        addr,
        dropped,
        proceed,
        stop,
        draining,
        ended,
    }
}

pub(crate) fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and reads the response until the server closes the connection.
pub(crate) fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(addr);
    // The server may refuse the request and close the connection before everything is written.
    let _ = stream.write_all(bytes);
    read_to_close(&mut stream)
}

/// Reads until the server closes the connection; panics if it does not.
pub(crate) fn read_to_close(stream: &mut TcpStream) -> String {
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

/// Reads until the received text contains `wanted`.
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

/// Status code of a raw response.
pub(crate) fn status(answer: &str) -> Option<u16> {
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}
