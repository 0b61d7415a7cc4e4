//! The fault proxy's faults on a plain TCP exchange.

use {
    harness::{ChildProcess, HttpClient},
    proof::{HeldDirection, LinkFaults, OpenedLink, ProxyCommand},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc::{Receiver, channel},
        thread,
        time::Duration,
    },
};

/// A wide limit for what must come, and a short one for what must not.
const WIDE: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(300);
const ASKED: &[u8] = b"question";

struct Setup {
    _proc: ChildProcess,
    http: HttpClient,
    control: SocketAddr,
    opened: OpenedLink,
    /// Requests as the target receives them.
    seen: Receiver<Vec<u8>>,
}

/// A proxy with one link to a target that answers each question with itself.
fn setup() -> Setup {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    let (sender, seen) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            thread::spawn(move || answer(stream, |b| sender.send(b).is_ok()));
        }
    });
    let proc = ChildProcess::start("faultproxy", &[]).unwrap();
    let control = proc.wait_addr("control").unwrap();
    let http = HttpClient::default();
    let open = ProxyCommand::Open(vec![target]);
    let bytes = http.post(control, "/control", &open).unwrap();
    Setup {
        _proc: proc,
        http,
        control,
        opened: serde_json::from_slice(&bytes).unwrap(),
        seen,
    }
}

fn answer(mut stream: TcpStream, seen: impl Fn(Vec<u8>) -> bool) {
    let mut asked = vec![0; ASKED.len()];
    while stream.read_exact(&mut asked).is_ok() {
        if !seen(asked.clone()) || stream.write_all(&asked).is_err() {
            return;
        }
    }
}

impl Setup {
    fn faults(&self, faults: LinkFaults) {
        let control = ProxyCommand::Faults(self.opened.link, faults);
        self.http.post(self.control, "/control", &control).unwrap();
    }

    fn ask(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.opened.addr).unwrap();
        stream.write_all(ASKED).unwrap();
        stream
    }
}

/// Reads the answer, at most until `limit`.
fn read(stream: &mut TcpStream, limit: Duration) -> std::io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(limit)).unwrap();
    let mut bytes = vec![0; ASKED.len()];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

#[test]
fn bytes_pass_without_faults() {
    let setup = setup();
    assert_eq!(read(&mut setup.ask(), WIDE).unwrap(), ASKED);
}

#[test]
fn held_answers_come_when_the_fault_is_taken_away() {
    let setup = setup();
    setup.faults(LinkFaults {
        hold: HeldDirection::Back,
        ..LinkFaults::default()
    });
    let mut stream = setup.ask();
    setup.seen.recv_timeout(WIDE).unwrap();
    assert!(read(&mut stream, SHORT).is_err());
    setup.faults(LinkFaults::default());
    assert_eq!(read(&mut stream, WIDE).unwrap(), ASKED);
}

#[test]
fn a_lost_answer_is_a_reset_after_the_effect() {
    let setup = setup();
    setup.faults(LinkFaults {
        lose_answers: 1,
        ..LinkFaults::default()
    });
    assert!(read(&mut setup.ask(), WIDE).is_err());
    assert_eq!(setup.seen.recv_timeout(WIDE).unwrap(), ASKED);
    assert_eq!(read(&mut setup.ask(), WIDE).unwrap(), ASKED);
}

#[test]
fn a_connection_is_reset_after_the_set_number_of_bytes() {
    let setup = setup();
    setup.faults(LinkFaults {
        reset_after: Some(3),
        ..LinkFaults::default()
    });
    let mut stream = setup.ask();
    stream.set_read_timeout(Some(WIDE)).unwrap();
    let mut bytes = Vec::new();
    assert!(stream.read_to_end(&mut bytes).is_err());
    assert!(bytes.len() <= 3);
}

#[test]
fn a_repeated_request_reaches_the_target_twice() {
    let setup = setup();
    setup.faults(LinkFaults {
        repeat: 1,
        ..LinkFaults::default()
    });
    assert_eq!(read(&mut setup.ask(), WIDE).unwrap(), ASKED);
    for _ in 0..2 {
        assert_eq!(setup.seen.recv_timeout(WIDE).unwrap(), ASKED);
    }
}
