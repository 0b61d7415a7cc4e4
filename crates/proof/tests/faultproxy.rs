//! Effects of the fault proxy's faults on plain TCP connections.

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

/// Timeout for a response that must arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a response that is held back must not arrive.
const HOLD_CHECK_TIME: Duration = Duration::from_millis(300);
const REQUEST: &[u8] = b"question";

struct Setup {
    _proc: ChildProcess,
    http: HttpClient,
    control: SocketAddr,
    opened: OpenedLink,
    /// Requests that the target has received.
    received: Receiver<Vec<u8>>,
}

/// Starts a proxy with one link to a target that echoes each request.
fn setup() -> Setup {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    let (sender, received) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            thread::spawn(move || echo(stream, |b| sender.send(b).is_ok()));
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
        received,
    }
}

fn echo(mut stream: TcpStream, on_request: impl Fn(Vec<u8>) -> bool) {
    let mut request = vec![0; REQUEST.len()];
    while stream.read_exact(&mut request).is_ok() {
        if !on_request(request.clone()) || stream.write_all(&request).is_err() {
            return;
        }
    }
}

impl Setup {
    fn set_faults(&self, faults: LinkFaults) {
        let command = ProxyCommand::Faults(self.opened.link, faults);
        self.http.post(self.control, "/control", &command).unwrap();
    }

    fn send(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.opened.addr).unwrap();
        stream.write_all(REQUEST).unwrap();
        stream
    }
}

/// Reads the response, with a timeout.
fn read(stream: &mut TcpStream, timeout: Duration) -> std::io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(timeout)).unwrap();
    let mut bytes = vec![0; REQUEST.len()];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

#[test]
fn bytes_pass_without_faults() {
    let setup = setup();
    assert_eq!(read(&mut setup.send(), ARRIVAL_TIMEOUT).unwrap(), REQUEST);
}

#[test]
fn held_responses_arrive_when_the_fault_is_cleared() {
    let setup = setup();
    setup.set_faults(LinkFaults {
        hold: HeldDirection::Back,
        ..LinkFaults::default()
    });
    let mut stream = setup.send();
    setup.received.recv_timeout(ARRIVAL_TIMEOUT).unwrap();
    assert!(read(&mut stream, HOLD_CHECK_TIME).is_err());
    setup.set_faults(LinkFaults::default());
    assert_eq!(read(&mut stream, ARRIVAL_TIMEOUT).unwrap(), REQUEST);
}

#[test]
fn a_lost_response_is_a_reset_after_the_target_got_the_request() {
    let setup = setup();
    setup.set_faults(LinkFaults {
        lose_answers: 1,
        ..LinkFaults::default()
    });
    assert!(read(&mut setup.send(), ARRIVAL_TIMEOUT).is_err());
    assert_eq!(
        setup.received.recv_timeout(ARRIVAL_TIMEOUT).unwrap(),
        REQUEST
    );
    assert_eq!(read(&mut setup.send(), ARRIVAL_TIMEOUT).unwrap(), REQUEST);
}

#[test]
fn a_connection_is_reset_after_the_set_number_of_bytes() {
    let setup = setup();
    setup.set_faults(LinkFaults {
        reset_after: Some(3),
        ..LinkFaults::default()
    });
    let mut stream = setup.send();
    stream.set_read_timeout(Some(ARRIVAL_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    assert!(stream.read_to_end(&mut bytes).is_err());
    assert!(bytes.len() <= 3);
}

#[test]
fn a_repeated_request_reaches_the_target_twice() {
    let setup = setup();
    setup.set_faults(LinkFaults {
        repeat: 1,
        ..LinkFaults::default()
    });
    assert_eq!(read(&mut setup.send(), ARRIVAL_TIMEOUT).unwrap(), REQUEST);
    for _ in 0..2 {
        assert_eq!(
            setup.received.recv_timeout(ARRIVAL_TIMEOUT).unwrap(),
            REQUEST
        );
    }
}
