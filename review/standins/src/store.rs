//! The platform's store: topics of records, as the protocol page describes them, and the calls of
//! the duty holder.

use {
    crate::{
        http::{Message, respond, serve},
        record::Record,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        io,
        net::{SocketAddr, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// VMs whose calls are rejected.
    rejected: HashSet<usize>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

impl Store {
    /// Serves one VM at an address.
    pub fn listen(&self, vm: usize, addr: SocketAddr) -> io::Result<()> {
        let store = self.clone();
        serve(
            addr,
            Arc::new(move |request: &Message, out: &mut TcpStream| store.reply(vm, request, out)),
        )
    }

    /// Rejects all calls of a VM with 503, or serves them again.
    pub fn set_rejected(&self, vm: usize, rejected: bool) {
        let mut state = self.0.state.lock().unwrap();
        match rejected {
            true => state.rejected.insert(vm),
            false => state.rejected.remove(&vm),
        };
        drop(state);
        self.0.changed.notify_all();
    }

    /// Writes a record with a key; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.0.state.lock().unwrap();
        state
            .topics
            .entry(topic.into())
            .or_default()
            .records
            .push(record);
        drop(state);
        self.0.changed.notify_all();
    }

    fn reply(&self, vm: usize, request: &Message, out: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(Duration::from_millis(2));
        if self.0.state.lock().unwrap().rejected.contains(&vm) {
            respond(out, 503, &[], b"")?;
            return Ok(true);
        }
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match (request.method(), request.path()) {
            ("POST", "/log-append") => self.append(&topic, request, out),
            ("GET", "/log-read") => self.read(vm, &topic, request, out),
            ("GET", "/log-newest") => self.newest(&topic, out),
            _ => respond(out, 404, &[], b""),
        }?;
        Ok(true)
    }

    fn append(&self, topic: &str, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return respond(out, 403, &[], b"");
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let size = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let Some(content) = rest.get(4..4 + size) else {
                return respond(out, 400, &[], b"");
            };
            records.push(content.to_vec());
            rest = &rest[4 + size..];
        }
        let mut state = self.0.state.lock().unwrap();
        let log = &mut state.topics.entry(topic.into()).or_default().records;
        let offset = log.len() as u64;
        if request.number("at").is_some_and(|at| at != offset) {
            drop(state);
            let body = format!("{{\"endOffset\":{offset}}}");
            return respond(out, 412, &[], body.as_bytes());
        }
        log.extend(records);
        let end = log.len();
        drop(state);
        self.0.changed.notify_all();
        let body = format!("{{\"offset\":{offset},\"endOffset\":{end}}}");
        respond(out, 200, &[], body.as_bytes())
    }

    fn read(
        &self,
        vm: usize,
        topic: &str,
        request: &Message,
        out: &mut TcpStream,
    ) -> io::Result<()> {
        let from = request.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let due = Instant::now() + wait;
        let mut state = self.0.state.lock().unwrap();
        loop {
            if state.rejected.contains(&vm) {
                drop(state);
                return respond(out, 503, &[], b"");
            }
            let records = &state.topics.entry(topic.into()).or_default().records;
            if from < records.len() || Instant::now() >= due {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                drop(state);
                return respond(out, 200, &[], &body);
            }
            let waited = self
                .0
                .changed
                .wait_timeout(state, Duration::from_millis(20));
            state = waited.unwrap().0;
        }
    }

    fn newest(&self, topic: &str, out: &mut TcpStream) -> io::Result<()> {
        let mut state = self.0.state.lock().unwrap();
        let records = &state.topics.entry(topic.into()).or_default().records;
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let size = usize::from(record[0]);
            newest.insert(&record[1..1 + size], (offset, &record[1 + size..]));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"morePages\":false,\"endOffset\":{}}}",
            items.join(","),
            records.len()
        );
        drop(state);
        respond(out, 200, &[], body.as_bytes())
    }
}

/// Accepts the duty calls of one VM at an address.
pub fn listen_cloud(vm: usize, addr: SocketAddr, record: &Record) -> io::Result<()> {
    let record = record.clone();
    let handler = move |request: &Message, out: &mut TcpStream| {
        let token = request
            .field("x-celerystage-fence-token")
            .unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body);
        record.note(format!(
            "duty call of vm {vm}: {} token {token} {body}",
            request.path()
        ));
        respond(out, 200, &[], b"")?;
        Ok(true)
    };
    serve(addr, Arc::new(handler))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut block = [0_u8; 3];
        block[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for at in 0..4 {
            if at <= chunk.len() {
                let digit = (number >> (18 - 6 * at)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
