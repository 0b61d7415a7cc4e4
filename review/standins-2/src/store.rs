//! The platform's store: topics with offsets, conditional appends, reads that wait, and the newest records of
//! keyed topics. Nothing expires within a run.

use {
    crate::http::{Conn, Head, response, serve, write},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// A record, and when it was appended.
#[derive(Debug, Clone)]
struct Stored {
    content: Vec<u8>,
    at: Instant,
}

impl Stored {
    fn new(content: Vec<u8>) -> Self {
        let at = Instant::now();
        Self { content, at }
    }
}

#[derive(Debug, Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Vec<Stored>>>,
    changed: Condvar,
    /// Value of `Store-Era`; the store doesn't send it before it is set.
    era: Mutex<Option<u64>>,
    away: AtomicBool,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<Shared>);

impl Store {
    /// Listens until the process ends.
    pub fn listen(&self, addr: SocketAddr) {
        let store = self.clone();
        serve(addr, move |conn, head, body| {
            thread::sleep(ANSWER_TIME);
            if store.0.away.load(SeqCst) {
                return Ok(false);
            }
            store.answer(conn, &head, &body)
        });
    }

    /// Sends `Store-Era` from now on.
    pub fn send_era(&self, era: u64) {
        *self.0.era.lock().unwrap() = Some(era);
    }

    /// Goes away for `away` and comes back from a copy that was `age` old. What the operator and the replicas wrote is
    /// written again.
    pub fn drill(&self, age: Duration, away: Duration) {
        let copied = Instant::now() - age;
        self.0.away.store(true, SeqCst);
        thread::sleep(away);
        let mut topics = self.0.topics.lock().unwrap();
        for (name, records) in topics.iter_mut() {
            if !name.starts_with("keyed.") || name.starts_with("keyed.celerystage") {
                records.retain(|r| r.at < copied);
            }
        }
        let mut era = self.0.era.lock().unwrap();
        *era = era.map(|e| e + 1);
        self.0.away.store(false, SeqCst);
        self.0.changed.notify_all();
    }

    /// Writes the value of a key; an empty one removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut topics = self.0.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push(Stored::new(content));
        self.0.changed.notify_all();
    }

    fn answer(&self, conn: &mut Conn, head: &Head, body: &[u8]) -> io::Result<bool> {
        let era = *self.0.era.lock().unwrap();
        let era = era.map(|e| ("Store-Era", e.to_string()));
        let json = |status, text: String| {
            let mut fields = vec![("Content-Type", "application/json".to_owned())];
            fields.extend(era.clone());
            response(status, &fields, text.as_bytes())
        };
        let topic = head.param("topic").unwrap_or_default().to_owned();
        let number = |name| head.param(name).and_then(|v| v.parse::<u64>().ok());
        let bytes = match (head.first[0].as_str(), head.path()) {
            ("POST", "/log-append") if topic == "keyed.op" || topic == "keyed.servers" => {
                json(403, String::new())
            }
            ("POST", "/log-append") => {
                let mut topics = self.0.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let end = records.len() as u64;
                if number("at").is_some_and(|at| at != end) {
                    json(412, format!(r#"{{"endOffset":{end}}}"#))
                } else {
                    records.extend(split(body).into_iter().map(Stored::new));
                    let new_end = records.len();
                    self.0.changed.notify_all();
                    json(200, format!(r#"{{"offset":{end},"endOffset":{new_end}}}"#))
                }
            }
            ("GET", "/log-read") => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let end = self.end(&topic);
                if from > end {
                    json(410, r#"{"firstOffset":0}"#.to_owned())
                } else {
                    let fields: Vec<_> = era.clone().into_iter().collect();
                    response(200, &fields, &self.read(&topic, from, wait))
                }
            }
            ("GET", "/log-newest") => json(200, self.newest(&topic)),
            _ => json(404, String::new()),
        };
        write(conn, &bytes)
    }

    fn end(&self, topic: &str) -> usize {
        let topics = self.0.topics.lock().unwrap();
        topics.get(topic).map_or(0, Vec::len)
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let due = Instant::now() + wait;
        let mut topics = self.0.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = due.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut bytes = (end as u64).to_be_bytes().to_vec();
                bytes.extend_from_slice(&0_u64.to_be_bytes());
                for record in topics.get(topic).into_iter().flatten().skip(from) {
                    let content = &record.content;
                    bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    bytes.extend_from_slice(content);
                    if bytes.len() > 1 << 20 {
                        break;
                    }
                }
                return bytes;
            }
            topics = self.0.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.0.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let content = &record.content;
            let size = 1 + usize::from(content[0]);
            newest.insert(&content[1..size], (&content[size..], offset));
        }
        let items = newest.iter().filter(|(_, (value, _))| !value.is_empty());
        let items = items.map(|(key, (value, offset))| {
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items: Vec<_> = items.collect();
        let end = records.len();
        let items = items.join(",");
        format!(r#"{{"items":[{items}],"morePages":false,"endOffset":{end}}}"#)
    }
}

fn split(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some(size) = body.get(..4) {
        let size = u32::from_be_bytes(size.try_into().unwrap()) as usize;
        let Some(content) = body.get(4..4 + size) else {
            break;
        };
        records.push(content.to_vec());
        body = &body[4 + size..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            if digit <= group.len() {
                let at = (word >> (18 - 6 * digit)) & 63;
                text.push(DIGITS[at as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A call of a duty holder.
#[derive(Debug, Clone)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub token: u64,
    pub body: String,
}

/// Accepts the calls of the duty holder, and returns them.
pub fn listen_cloud(addr: SocketAddr) -> Arc<Mutex<Vec<DutyCall>>> {
    let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
    let seen = calls.clone();
    serve(addr, move |conn, head, body| {
        let token = head.get("x-celerystage-fence-token").unwrap_or_default();
        let call = DutyCall {
            at: Instant::now(),
            path: head.path().to_owned(),
            holder: head
                .get("x-celerystage-duty-holder")
                .unwrap_or_default()
                .to_owned(),
            token: token.parse().unwrap_or(0),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        seen.lock().unwrap().push(call);
        write(conn, &response(200, &[], b""))
    });
    calls
}
