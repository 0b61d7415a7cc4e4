//! Clients: send one request and read its answer.

use {
    crate::config::HOST,
    std::{
        io::{ErrorKind, Read, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

/// Time for which clients wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_POLL: Duration = Duration::from_millis(50);

/// A request of a stream.
#[derive(Clone)]
pub(crate) struct StreamRequest<'a> {
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) key: &'a str,
    pub(crate) deadline: Instant,
    /// The last event that the client has, and the attempt that brought the first one.
    pub(crate) resumes: Option<(u64, &'a str)>,
    /// Whether the client closes the connection itself now.
    pub(crate) leaves: &'a dyn Fn() -> bool,
}

/// What came of an attempt.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamAnswer {
    /// `None` if there was no answer.
    pub(crate) status: Option<u16>,
    pub(crate) retry_after: Option<Duration>,
    /// Ids of the events, in order.
    pub(crate) events: Vec<u64>,
    /// Versions of the software that the events name.
    pub(crate) versions: Vec<String>,
    /// Whether the last chunk came.
    pub(crate) complete: bool,
    /// Whether the connection was accepted.
    pub(crate) connected: bool,
    /// Whether the client closed the connection itself.
    pub(crate) left: bool,
}

/// Sends a request and reads events until the stream ends.
pub(crate) fn stream(front: SocketAddr, request: &StreamRequest<'_>) -> StreamAnswer {
    let mut answer = StreamAnswer::default();
    // A failed read or write shows as an answer that isn't complete.
    let _ = exchange(front, request, &mut answer);
    answer
}

fn exchange(
    front: SocketAddr,
    request: &StreamRequest<'_>,
    answer: &mut StreamAnswer,
) -> std::io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT)?;
    answer.connected = true;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(READ_POLL))?;
    let left = request.deadline.saturating_duration_since(Instant::now());
    let mut text = format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Celerystage-Request-Id: {}\r\nX-Celerystage-Key: {}\r\n\
         X-Celerystage-Model: m\r\nX-Celerystage-Token-Counts: 820,290\r\n\
         X-Celerystage-Prompt-Prefix: 5c1e07a2:198,{}:622\r\nX-Celerystage-Deadline-Ms: {}\r\nContent-Length: 2\r\n",
        request.path,
        request.id,
        request.key,
        &request.id[..8],
        left.as_millis()
    );
    if let Some((event, first)) = request.resumes {
        text.push_str(&format!("Last-Event-Id: {event}\r\nResumes: {first}\r\n"));
    }
    text.push_str("\r\nhi");
    socket.write_all(text.as_bytes())?;
    let mut unread = Vec::new();
    let mut buf = [0; 4096];
    let mut body = Vec::new();
    loop {
        if answer.status.is_none()
            && let Some(size) = parse_head(&unread, answer)
        {
            unread.drain(..size);
        }
        if answer.status == Some(200) {
            read_chunks(&mut unread, &mut body, answer);
            read_events(&mut body, answer);
        }
        if answer.complete || answer.status.is_some_and(|s| s != 200) {
            return Ok(());
        }
        if (request.leaves)() {
            answer.left = true;
            return Ok(());
        }
        if Instant::now() >= request.deadline {
            return Err(ErrorKind::TimedOut.into());
        }
        match socket.read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(size) => unread.extend_from_slice(&buf[..size]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
}

/// Parses the head of an answer; returns its size.
fn parse_head(bytes: &[u8], answer: &mut StreamAnswer) -> Option<usize> {
    let mut fields = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Response::new(&mut fields);
    let Ok(httparse::Status::Complete(size)) = parsed.parse(bytes) else {
        return None;
    };
    answer.status = parsed.code;
    let field = |name: &str| {
        let mut fields = parsed.headers.iter();
        let found = fields.find(|f| f.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok()
    };
    let seconds: Option<f64> = field("Retry-After").and_then(|v| v.trim().parse().ok());
    answer.retry_after = seconds.map(Duration::from_secs_f64);
    Some(size)
}

/// Moves whole chunks to `body`.
fn read_chunks(unread: &mut Vec<u8>, body: &mut Vec<u8>, answer: &mut StreamAnswer) {
    while let Ok(httparse::Status::Complete((head, size))) = httparse::parse_chunk_size(unread) {
        let size = size as usize;
        if unread.len() < head + size + 2 {
            return;
        }
        body.extend_from_slice(&unread[head..head + size]);
        unread.drain(..head + size + 2);
        if size == 0 {
            answer.complete = true;
            return;
        }
    }
}

fn read_events(body: &mut Vec<u8>, answer: &mut StreamAnswer) {
    while let Some(end) = body.windows(2).position(|w| w == b"\n\n") {
        let event = String::from_utf8_lossy(&body[..end]).into_owned();
        body.drain(..end + 2);
        let line = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
        if let Some(id) = line("id: ").and_then(|id| id.parse().ok()) {
            answer.events.push(id);
        }
        let version = line("data: ").and_then(|d| d.split(' ').next());
        if let Some(version) = version
            && !answer.versions.iter().any(|v| v == version)
        {
            answer.versions.push(version.to_owned());
        }
    }
}

/// Sends a plain request and returns the status of its answer; `None` if there is no whole answer.
pub(crate) fn plain(
    front: SocketAddr,
    path: &str,
    (id, key): (&str, &str),
    timeout: Duration,
) -> Option<u16> {
    let mut socket = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT).ok()?;
    socket.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Celerystage-Request-Id: {id}\r\nX-Celerystage-Key: {key}\r\n\
         X-Celerystage-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
        timeout.as_millis()
    );
    socket.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    socket.read_to_end(&mut bytes).ok()?;
    let mut answer = StreamAnswer::default();
    parse_head(&bytes, &mut answer)?;
    answer.status
}
