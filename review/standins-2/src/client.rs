//! Clients: each attempt has an id of its own and, after a failure, a new connection.

use {
    crate::http::{Conn, Head},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicU64, Ordering::SeqCst},
        time::{Duration, Instant},
    },
};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, SeqCst);
    format!("{:08x}{number:08x}", std::process::id())
}

/// A request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// What a client got.
#[derive(Debug)]
pub enum Outcome {
    /// A whole answer.
    Answer(Head, Vec<u8>),
    /// No connection.
    Refused,
    /// The connection ended without a whole answer, or it took too long.
    Lost(String),
}

impl Outcome {
    /// The status; 0 without an answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(head, _) => status(head),
            Self::Refused | Self::Lost(_) => 0,
        }
    }

    /// A line for the record.
    pub fn describe(&self) -> String {
        match self {
            Self::Answer(head, _) => {
                let stamp = head.get("x-celerystage-response-stamp");
                format!("{} stamp {}", status(head), stamp.unwrap_or("none"))
            }
            Self::Refused => "no connection".to_owned(),
            Self::Lost(cause) => format!("lost: {cause}"),
        }
    }
}

/// Status of an answer.
pub fn status(head: &Head) -> u16 {
    let word = head.first.get(1).map_or("0", String::as_str);
    word.parse().unwrap_or(0)
}

/// A client with its connection.
#[derive(Debug, Default)]
pub struct Client {
    conn: Option<Conn>,
}

impl Client {
    /// Sends a request on the kept connection or a new one to `addr`, and reads the head of the answer.
    pub fn begin(&mut self, addr: SocketAddr, request: &Request) -> Result<Head, Outcome> {
        if self.conn.is_none() {
            let limit = Duration::from_secs(1);
            let stream = TcpStream::connect_timeout(&addr, limit);
            self.conn = Some(Conn::new(stream.map_err(|_| Outcome::Refused)?));
        }
        match self.exchange(request) {
            Ok(head) => Ok(head),
            Err(e) => {
                self.conn = None;
                Err(Outcome::Lost(e.to_string()))
            }
        }
    }

    fn exchange(&mut self, request: &Request) -> io::Result<Head> {
        let conn = self.conn.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        let Request {
            method, path, id, ..
        } = request;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Celerystage-Request-Id: {id}\r\nX-Celerystage-Deadline-Ms: {}\r\n",
            request.deadline.as_millis()
        );
        for (name, value) in &request.fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if *method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&request.body);
        let limit = request.deadline + Duration::from_millis(500);
        conn.stream.set_read_timeout(Some(limit))?;
        conn.stream.write_all(&bytes)?;
        conn.head()?
            .ok_or_else(|| io::Error::other("closed without an answer"))
    }

    /// Reads the body of the answer.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let conn = self.conn.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        let body = conn.body(head);
        if body.is_err() || head.closes() {
            self.conn = None;
        }
        body
    }

    /// Reads the next part of a stream; an empty one is its end.
    pub fn part(&mut self, patience: Duration) -> io::Result<Vec<u8>> {
        let conn = self.conn.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        conn.stream.set_read_timeout(Some(patience))?;
        conn.chunk()
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.conn = None;
    }

    /// Sends a request and reads the whole answer.
    pub fn call(&mut self, addr: SocketAddr, request: &Request) -> Outcome {
        let head = match self.begin(addr, request) {
            Ok(head) => head,
            Err(outcome) => return outcome,
        };
        match self.body(&head) {
            Ok(body) => Outcome::Answer(head, body),
            Err(e) => Outcome::Lost(e.to_string()),
        }
    }
}

/// Sleeps until `due`.
pub fn sleep_until(due: Instant) {
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}
