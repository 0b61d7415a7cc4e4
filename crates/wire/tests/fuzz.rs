//! Random, truncated and mutated bytes must cause no panic and no hang, and must get a valid
//! response or a closed connection.

mod common;

use {
    async_io::block_on,
    clock::SystemClock,
    common::{connect, read_to_close, serve, status},
    http_types::Method,
    quickcheck::{Arbitrary, Gen, QuickCheck, TestResult},
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    types::Bytes,
    wire::{Call, CallTimeouts, Client, EventSplitter},
};

const SEED: u64 = 7;
const CASES: u64 = 400;
/// Cases in which the server may only respond after its timeouts.
const SLOW_CASES: u64 = 40;
const GEN_SIZE: usize = 300;

const REQUESTS: [&[u8]; 4] = [
    b"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\ngood",
    b"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    b"GET /echo?a=b HTTP/1.1\r\nhost: a\r\nauthorization: Bearer k\r\nconnection: close\r\n\r\n",
    b"POST /echo HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\ngood",
];
const ANSWERS: [&[u8]; 3] = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-request-id: 5\r\n\r\ngood",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n",
];

/// How a valid message is corrupted.
#[derive(Debug, Clone)]
enum Corruption {
    Random(Vec<u8>),
    Truncated(usize),
    Mutated(Vec<(usize, u8)>),
    /// The message followed by its own end, from this offset.
    Doubled(usize),
}

impl Arbitrary for Corruption {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 4 {
            0 => Self::Random(Vec::arbitrary(g)),
            1 => Self::Truncated(usize::arbitrary(g)),
            2 => {
                let edits = usize::arbitrary(g) % 6 + 1;
                Self::Mutated((0..edits).map(|_| Arbitrary::arbitrary(g)).collect())
            }
            _ => Self::Doubled(usize::arbitrary(g)),
        }
    }
}

impl Corruption {
    fn bytes(&self, valid: &[u8]) -> Vec<u8> {
        let mut bytes = valid.to_vec();
        match self {
            Self::Random(random) => return random.clone(),
            Self::Truncated(at) => bytes.truncate(at % valid.len()),
            Self::Mutated(edits) => {
                for (at, byte) in edits {
                    bytes[at % valid.len()] = *byte;
                }
            }
            Self::Doubled(at) => {
                let tail = bytes[at % valid.len()..].to_vec();
                bytes.extend(tail);
            }
        }
        bytes
    }
}

fn check(cases: u64, property: fn(Corruption, u8) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(cases)
        .quickcheck(property);
}

static SERVER: Mutex<Option<SocketAddr>> = Mutex::new(None);

/// Checks that the server closes the connection or responds with an expected status, and then
/// serves the next caller. With `half_close`, the sending side is closed after the bytes.
fn survives(addr: SocketAddr, bytes: &[u8], half_close: bool) -> TestResult {
    let mut stream = connect(addr);
    let _ = stream.write_all(bytes);
    if half_close {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let answer = read_to_close(&mut stream);
    let acceptable = answer.is_empty()
        || status(&answer).is_some_and(|s| matches!(s, 100 | 200 | 400 | 408 | 413));
    if !acceptable {
        return TestResult::error(format!("{bytes:?} was answered {answer:?}"));
    }
    let mut stream = connect(addr);
    stream.write_all(REQUESTS[0]).unwrap();
    let next = common::read_until(&mut stream, "good");
    TestResult::from_bool(status(&next) == Some(200))
}

fn server() -> SocketAddr {
    let mut server = SERVER.lock().unwrap();
    *server.get_or_insert_with(|| serve().addr)
}

#[test]
fn server_survives_corrupt_requests_and_a_disconnect() {
    fn holds(corruption: Corruption, which: u8) -> TestResult {
        let bytes = corruption.bytes(REQUESTS[usize::from(which) % REQUESTS.len()]);
        survives(server(), &bytes, true)
    }
    check(CASES, holds);
}

#[test]
fn server_survives_corrupt_requests_of_a_waiting_caller() {
    fn holds(corruption: Corruption, which: u8) -> TestResult {
        let bytes = corruption.bytes(REQUESTS[usize::from(which) % REQUESTS.len()]);
        survives(server(), &bytes, false)
    }
    check(SLOW_CASES, holds);
}

/// The client must return a response or an error, without a panic or a hang.
#[test]
fn client_survives_corrupt_responses() {
    type Setup = (SocketAddr, Arc<Mutex<Vec<u8>>>);
    static SETUP: Mutex<Option<Setup>> = Mutex::new(None);
    fn holds(corruption: Corruption, which: u8) -> TestResult {
        let (addr, bytes) = SETUP.lock().unwrap().clone().expect("a server");
        *bytes.lock().unwrap() = corruption.bytes(ANSWERS[usize::from(which) % ANSWERS.len()]);
        let timeouts = CallTimeouts {
            connect: Duration::from_secs(5),
            head: Duration::from_secs(5),
            body_idle: Duration::from_secs(5),
        };
        let client = Client::new(SystemClock::shared());
        let _ = block_on(async {
            let call = Call::new(addr, Method::Get, "/").timeouts(timeouts);
            client.send(call).await?.bytes(Bytes(10_000)).await
        });
        TestResult::passed()
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let bytes: Arc<Mutex<Vec<u8>>> = Arc::default();
    *SETUP.lock().unwrap() = Some((listener.local_addr().unwrap(), bytes.clone()));
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(&bytes.lock().unwrap());
        }
    });
    check(CASES, holds);
}

/// The splitter must return the same events however the bytes are divided into chunks.
#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    fn holds(texts: Vec<String>, cuts: Vec<u8>) -> bool {
        let lines = texts.iter().map(|t| t.replace(['\r', '\n'], " "));
        let bytes: Vec<u8> = lines
            .flat_map(|t| format!("data: {t}\n\n").into_bytes())
            .collect();
        let split = |pieces: Vec<&[u8]>| {
            let mut splitter = EventSplitter::default();
            let mut events = Vec::new();
            for piece in pieces {
                events.extend(splitter.push(piece).expect("events"));
            }
            events.into_iter().map(|e| e.raw).collect::<Vec<_>>()
        };
        let whole = split(vec![&bytes]);
        let mut pieces = Vec::new();
        let mut left = bytes.as_slice();
        for cut in cuts {
            let (piece, rest) = left.split_at(usize::from(cut).min(left.len()));
            pieces.push(piece);
            left = rest;
        }
        pieces.push(left);
        split(pieces) == whole && whole.len() == texts.len()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<String>, Vec<u8>) -> bool);
}
