//! The little HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request or a response: its first line, fields and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.into();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.into(), value.trim().into()));
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(input)? else {
        return Ok(None);
    };
    let length = request.field("content-length").and_then(|v| v.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Writes a response with a length.
pub fn respond(
    out: &mut impl Write,
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

/// Serves each request of a connection; `false` from the handler closes it.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// Accepts connections at an address, each with a thread of its own.
pub fn serve(addr: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(socket, &handler));
        }
    });
    Ok(())
}

/// Serves the requests of one connection until it ends.
pub fn serve_connection(socket: TcpStream, handler: &Handler) {
    let _ = socket.set_nodelay(true);
    let Ok(mut out) = socket.try_clone() else {
        return;
    };
    let mut input = BufReader::new(socket);
    while let Ok(Some(request)) = read_request(&mut input) {
        if !matches!(handler(&request, &mut out), Ok(true)) {
            return;
        }
    }
}

/// Reads a body as its head says. The flag tells whether it was whole.
pub fn read_body(input: &mut impl BufRead, head: &Message) -> (Vec<u8>, bool) {
    let chunked = head.field("transfer-encoding").is_some();
    let mut body = Vec::new();
    if chunked {
        let whole = read_chunks(input, &mut body).is_ok();
        return (body, whole);
    }
    match head.field("content-length").and_then(|v| v.parse().ok()) {
        Some(size) => {
            let read = input.take(size).read_to_end(&mut body);
            let whole = read.is_ok() && body.len() as u64 == size;
            (body, whole)
        }
        None => {
            let whole = input.read_to_end(&mut body).is_ok();
            (body, whole)
        }
    }
}

fn read_chunks(input: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        // What has come of a chunk that breaks off counts too.
        let mut have = 0;
        while have < chunk.len() {
            let got = input.read(&mut chunk[have..])?;
            if got == 0 {
                body.extend_from_slice(&chunk[..have.min(size)]);
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            have += got;
        }
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
