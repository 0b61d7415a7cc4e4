//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A head: the words of its first line, and its fields with lower-case names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: Vec<String>,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    pub fn closes(&self) -> bool {
        let value = self.get("connection").unwrap_or_default();
        value.eq_ignore_ascii_case("close")
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    fn chunked(&self) -> bool {
        self.get("transfer-encoding").is_some()
    }
}

/// A connection with what was read of it and not used yet.
#[derive(Debug)]
pub struct Conn {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        // Answers are small and in several writes.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buf = [0; 16 * 1024];
        let size = self.stream.read(&mut buf)?;
        self.unread.extend_from_slice(&buf[..size]);
        Ok(size)
    }

    fn need(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads a head; `None` if the peer has closed before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.unread.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let field = |(n, v): (&str, &str)| (n.to_ascii_lowercase(), v.trim().to_owned());
                return Ok(Some(Head {
                    first: first.split(' ').map(str::to_owned).collect(),
                    fields: fields.map(field).collect(),
                }));
            }
            if self.fill()? == 0 {
                if self.unread.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < size {
            self.need()?;
        }
        Ok(self.unread.drain(..size).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.need()?;
        }
    }

    /// Reads a chunk of a chunked body; an empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.chunked() {
            return self.exactly(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
}

/// A response with a body of known length.
pub fn response(status: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections at `addr` until the process ends. `handle` gets each request and returns whether the
/// connection goes on.
pub fn serve(
    addr: SocketAddr,
    handle: impl Fn(&mut Conn, Head, Vec<u8>) -> io::Result<bool> + Send + Sync + 'static,
) {
    let listener = match TcpListener::bind(addr) {
        Ok(listener) => listener,
        Err(e) => crate::fail(&format!("cannot listen on {addr}: {e}")),
    };
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(head)) = conn.head() {
                    let Ok(body) = conn.body(&head) else { return };
                    if !handle(&mut conn, head, body).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes all bytes.
pub fn write(conn: &mut Conn, bytes: &[u8]) -> io::Result<bool> {
    conn.stream.write_all(bytes)?;
    Ok(true)
}
