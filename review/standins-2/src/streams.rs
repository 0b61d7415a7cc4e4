//! Clients of a route whose streams may be taken up again.

use {
    crate::{
        Chance,
        client::{Client, Outcome, Request, new_id, status},
        record::Record,
        vip::Vip,
    },
    std::{
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const DEADLINE: Duration = Duration::from_secs(15);
/// Time without an event after which a client gives a connection up: four times the objective of 400 ms, eight times
/// the pause of 200 ms, and two seconds, whichever is longest.
const PATIENCE: Duration = Duration::from_secs(2);

/// A try to begin a stream, or to take one up.
#[derive(Debug, Clone)]
pub struct Try {
    pub at: f64,
    pub stream: u64,
    pub in_touch: bool,
    pub takes_up: bool,
    /// Whether the next event came.
    pub brought: bool,
}

/// All tries of all clients, and the versions whose events streams hold.
#[derive(Debug, Default)]
pub struct Tries {
    pub all: Vec<Try>,
    pub mixed: Vec<u64>,
}

/// What becomes of the streams that are taken up at machines in touch in a time, and of those that begin there.
#[derive(Debug)]
pub struct Shares {
    pub taken_up: usize,
    pub gone_on: usize,
    pub new: usize,
    pub begun: usize,
}

impl Tries {
    pub fn shares(&self, from: f64, to: f64) -> Shares {
        let in_time = |t: &&Try| t.at >= from && t.at < to && t.in_touch;
        let mut streams: Vec<_> = self
            .all
            .iter()
            .filter(in_time)
            .filter(|t| t.takes_up)
            .collect();
        let new: Vec<_> = self
            .all
            .iter()
            .filter(in_time)
            .filter(|t| !t.takes_up)
            .collect();
        // A stream goes on if any of its tries brings the next event.
        streams.sort_by_key(|t| (t.stream, !t.brought));
        streams.dedup_by_key(|t| t.stream);
        Shares {
            taken_up: streams.len(),
            gone_on: streams.iter().filter(|t| t.brought).count(),
            new: new.len(),
            begun: new.iter().filter(|t| t.brought).count(),
        }
    }
}

impl Shares {
    /// LOST: of 12 or more streams that are taken up, the share that goes on is under half of that of new streams.
    pub fn breaks(&self) -> bool {
        let share = self.gone_on as f64 / self.taken_up.max(1) as f64;
        let begun = self.begun as f64 / self.new.max(1) as f64;
        self.taken_up >= 12 && self.new > 0 && share < begun / 2.0
    }
}

/// Starts a client that has one stream after the other until `end`. It takes a stream that was cut up once, `pause` later.
pub fn start(
    number: u64,
    pause: Duration,
    (vip, record, tries): (Vip, Record, Arc<Mutex<Tries>>),
    fields: Vec<(&'static str, String)>,
    end: Instant,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut chance = Chance::new(number + 1);
        thread::sleep(Duration::from_millis((chance.draw() * 14_000.0) as u64));
        let mut next = number << 16;
        while Instant::now() < end {
            next += 1;
            run((next, pause), &vip, &record, &tries, &fields, &mut chance);
        }
    })
}

fn run(
    (stream, pause): (u64, Duration),
    vip: &Vip,
    record: &Record,
    tries: &Mutex<Tries>,
    fields: &[(&'static str, String)],
    chance: &mut Chance,
) {
    let began = Instant::now();
    let first = new_id();
    let mut last = 0_u64;
    let mut versions: Vec<String> = Vec::new();
    let mut tried = false;
    loop {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left < Duration::from_millis(200) {
            record.line(format!(
                "stream {stream} ends at its deadline after event {last}"
            ));
            break;
        }
        let (machine, front) = vip.choose(chance.draw());
        let id = if !tried { first.clone() } else { new_id() };
        let mut request = Request {
            method: "POST",
            path: "/memo/2f".to_owned(),
            id: id.clone(),
            fields: fields.to_vec(),
            body: format!("{:200}", new_id()).into_bytes(),
            deadline: left,
        };
        if last > 0 {
            request.fields.push(("Last-Event-Id", last.to_string()));
            request.fields.push(("Resumes", first.clone()));
        }
        let mut one = Try {
            at: record.at(),
            stream,
            in_touch: vip.in_touch(machine),
            takes_up: last > 0,
            brought: false,
        };
        let after = last;
        let how = if last > 0 {
            format!("taken up after event {last}")
        } else {
            "begun".to_owned()
        };
        record.line(format!(
            "stream {stream} {how} as {id} at machine {}",
            machine + 1
        ));
        let mut client = Client::default();
        let (whole, text) = events(&mut client, front, &request, &mut last, &mut versions);
        one.brought = last > after;
        let place = if one.in_touch {
            "in touch"
        } else {
            "not in touch"
        };
        record.line(format!(
            "stream {stream} try {id} ({place}): {text}, now at event {last}"
        ));
        // A try that got no connection reached no machine.
        if text != "no connection" {
            tries.lock().unwrap().all.push(one);
        }
        if whole {
            break;
        }
        if tried {
            break;
        }
        tried = true;
        thread::sleep(pause);
    }
    versions.sort();
    versions.dedup();
    if versions.len() > 1 {
        tries.lock().unwrap().mixed.push(stream);
    }
}

/// Reads the events of one try: whether they are whole, and a line for the record.
fn events(
    client: &mut Client,
    front: std::net::SocketAddr,
    request: &Request,
    last: &mut u64,
    versions: &mut Vec<String>,
) -> (bool, String) {
    let head = match client.begin(front, request) {
        Ok(head) => head,
        Err(Outcome::Refused) => return (false, "no connection".to_owned()),
        Err(outcome) => return (false, outcome.describe()),
    };
    if status(&head) != 200 {
        let body = client.body(&head).unwrap_or_default();
        let body = String::from_utf8_lossy(&body);
        let text = format!("{} {}", status(&head), body.trim());
        return (false, text);
    }
    let mut unread = String::new();
    loop {
        match client.part(PATIENCE) {
            Ok(part) if part.is_empty() => return (true, "200, whole".to_owned()),
            Ok(part) => unread.push_str(&String::from_utf8_lossy(&part)),
            Err(e) => return (false, format!("200, broken off: {e}")),
        }
        while let Some(end) = unread.find("\n\n") {
            let event: String = unread.drain(..end + 2).collect();
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ").and_then(|v| v.parse().ok()) {
                    *last = id;
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    let version = data.split(' ').nth(1).unwrap_or_default();
                    versions.push(version.to_owned());
                }
            }
        }
    }
}
