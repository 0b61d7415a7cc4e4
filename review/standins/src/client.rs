//! A client's connection.

use {
    crate::http::{Message, read_body, read_head},
    std::{
        io::{BufReader, Result, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Time that clients allow for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an answer is awaited beyond the deadline.
const MARGIN_MS: u64 = 1_000;

/// A request as a client sends it.
#[derive(Debug, Clone)]
pub struct Ask {
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    /// Further header fields.
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

/// What came back.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// 0 without an answer.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the answer looks complete.
    pub whole: bool,
}

/// A connection, kept for several requests.
pub struct Client {
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(front: SocketAddr) -> Result<Self> {
        let socket = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT)?;
        socket.set_nodelay(true)?;
        Ok(Self {
            input: BufReader::new(socket),
        })
    }

    /// The socket, to close it from another thread.
    pub fn socket(&self) -> Result<TcpStream> {
        self.input.get_ref().try_clone()
    }

    /// Sends a request and reads the answer.
    pub fn send(&mut self, ask: &Ask, host: &str, key: &str) -> Outcome {
        let fields: String = ask
            .fields
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {host}\r\nX-Celerystage-Request-Id: {}\r\nX-Celerystage-Deadline-Ms: {}\r\n\
             X-Celerystage-Key: {key}\r\nContent-Length: {}\r\n{fields}\r\n",
            ask.path,
            ask.id,
            ask.deadline_ms,
            ask.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&ask.body);
        let wait = Duration::from_millis(ask.deadline_ms + MARGIN_MS);
        let _ = self.input.get_ref().set_read_timeout(Some(wait));
        if self.input.get_mut().write_all(&bytes).is_err() {
            return Outcome::default();
        }
        let Ok(Some(head)) = read_head(&mut self.input) else {
            return Outcome::default();
        };
        let (body, whole) = read_body(&mut self.input, &head);
        Outcome {
            status: head.status(),
            head,
            body,
            whole,
        }
    }
}
