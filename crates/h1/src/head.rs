//! Request and response heads, and their header fields.

use {
    compact_str::CompactString,
    std::{error::Error, fmt, ops::RangeInclusive},
};

/// Most header fields accepted in one head.
pub const MAX_HEADERS: usize = 64;
/// The status codes that a response may have (RFC 9110, 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Why a head could not be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// Not HTTP/1.x, a malformed line, or a status that no response has.
    Malformed,
    /// More bytes or fields than the limit.
    TooLarge,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed head",
            Self::TooLarge => "head over the size limit",
        })
    }
}

impl Error for HeadError {}

/// Header fields in the order received, with the case of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(CompactString, CompactString)>);

impl Headers {
    /// First value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.iter();
        let field = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, v)| v.as_str())
    }

    /// All values of a field.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let fields = self.0.iter();
        let matching = fields.filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        matching.map(|(_, v)| v.as_str())
    }

    /// Adds a field.
    pub fn push(&mut self, name: impl Into<CompactString>, value: impl Into<CompactString>) {
        self.0.push((name.into(), value.into()));
    }

    /// Removes all fields of a name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Replaces all fields of a name with one.
    pub fn set(&mut self, name: &str, value: impl Into<CompactString>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Whether a comma-separated field contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut parts = self.get_all(name).flat_map(|v| v.split(','));
        parts.any(|p| p.trim().eq_ignore_ascii_case(token))
    }

    /// Keeps the fields that `keep` accepts by name.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.0.retain(|(n, _)| keep(n));
    }

    /// Removes the fields that apply to a single connection only (RFC 9110, 7.6.1).
    pub fn strip_hop_by_hop(&mut self) {
        let named: Vec<CompactString> = self
            .get_all("connection")
            .flat_map(|v| v.split(','))
            .map(|t| CompactString::from(t.trim()))
            .collect();
        self.retain(|n| {
            let listed = named.iter().any(|t| n.eq_ignore_ascii_case(t));
            !listed && !HOP_BY_HOP.iter().any(|h| n.eq_ignore_ascii_case(h))
        });
    }

    /// Appends the encoded fields to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
    }

    fn from_parsed(fields: &[httparse::Header<'_>]) -> Result<Self, HeadError> {
        let mut headers = Vec::with_capacity(fields.len());
        for field in fields {
            let value = std::str::from_utf8(field.value).map_err(|_| HeadError::Malformed)?;
            headers.push((field.name.into(), value.into()));
        }
        Ok(Self(headers))
    }
}

/// Header fields that apply to a single connection only.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "proxy-authorization",
];

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: CompactString,
    /// Request target as received.
    pub target: CompactString,
    /// Minor version number of HTTP/1.
    pub minor_version: u8,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Parses a head at the start of `data` and returns it with its length; `None` if it is
    /// incomplete.
    pub fn parse(data: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut fields);
        let size = match request.parse(data) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let (Some(method), Some(target), Some(minor_version)) =
            (request.method, request.path, request.version)
        else {
            return Err(HeadError::Malformed);
        };
        let head = Self {
            method: method.into(),
            target: target.into(),
            minor_version,
            headers: Headers::from_parsed(request.headers)?,
        };
        Ok(Some((head, size)))
    }

    /// Host name without the port, in lower case.
    pub fn host(&self) -> CompactString {
        let host = self.headers.get("host").unwrap_or_default().trim();
        let bare = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
            _ => host,
        };
        CompactString::from(bare).to_ascii_lowercase()
    }

    /// Path of the target, without the query.
    pub fn path(&self) -> &str {
        let path = self.target.split(['?', '#']).next();
        path.unwrap_or_default()
    }

    /// Whether the caller keeps the connection open after the response.
    pub fn keeps_alive(&self) -> bool {
        if self.minor_version == 0 {
            return self.headers.has_token("connection", "keep-alive");
        }
        !self.headers.has_token("connection", "close")
    }

    /// Appends the encoded head to `out`, including the final empty line.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write(out);
        out.extend_from_slice(b"\r\n");
    }
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Minor version number of HTTP/1.
    pub minor_version: u8,
    /// Header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Creates a head without fields.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            minor_version: 1,
            headers: Headers::default(),
        }
    }

    /// Parses a head at the start of `data` and returns it with its length; `None` if it is
    /// incomplete.
    pub fn parse(data: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let size = match response.parse(data) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let (Some(status), Some(minor_version)) = (response.code, response.version) else {
            return Err(HeadError::Malformed);
        };
        if !STATUS_CODES.contains(&status) {
            return Err(HeadError::Malformed);
        }
        let head = Self {
            status,
            minor_version,
            headers: Headers::from_parsed(response.headers)?,
        };
        Ok(Some((head, size)))
    }

    /// Whether the sender keeps the connection open after this response.
    pub fn keeps_alive(&self) -> bool {
        self.minor_version > 0 && !self.headers.has_token("connection", "close")
    }

    /// Appends the encoded head to `out`, including the final empty line.
    pub fn write(&self, out: &mut Vec<u8>) {
        let line = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        out.extend_from_slice(line.as_bytes());
        self.headers.write(out);
        out.extend_from_slice(b"\r\n");
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
