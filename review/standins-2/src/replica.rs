//! Replicas: their entries in the store, and how they answer.

use {
    crate::{
        http::{Conn, Head, response, serve, write},
        record::Record,
        store::Store,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// What a replica does with a request that it runs: the status and body of its answer.
pub type Work = Arc<dyn Fn(&Replica, &Head, &[u8]) -> (u16, String) + Send + Sync>;

/// A stream of events.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub events: u64,
    pub pause: Duration,
}

/// One replica.
#[derive(Debug, Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub addr: SocketAddr,
    pub born: u64,
    pub slots: u32,
    /// Requests that it began to run.
    pub runs: Arc<AtomicU64>,
}

impl Replica {
    pub fn new(id: &str, service: &str, zone: &str, version: &str, addr: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            addr,
            born: crate::unix_ms(),
            slots: 6,
            runs: Arc::default(),
        }
    }

    /// Writes its entry now and at each beat.
    pub fn register(&self, store: &Store) {
        let (replica, store) = (self.clone(), store.clone());
        replica.beat(&store, 1);
        thread::spawn(move || {
            for sequence in 2_u64.. {
                thread::sleep(BEAT_INTERVAL);
                replica.beat(&store, sequence);
            }
        });
    }

    fn beat(&self, store: &Store, sequence: u64) {
        let Self {
            service,
            zone,
            version,
            addr,
            born,
            slots,
            ..
        } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","coldLeftMs":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#
        );
        store.put("keyed.servers", &self.id, &entry);
    }

    /// Serves requests with answers of known length.
    pub fn serve(&self, record: &Record, work: Work) {
        let (replica, record) = (self.clone(), record.clone());
        serve(self.addr, move |conn, head, body| {
            if let Some(done) = replica.answer_own(conn, &head) {
                return done;
            }
            replica.began(&record, &head);
            let (status, text) = work(&replica, &head, &body);
            let answer = response(status, &replica.fields(&head), text.as_bytes());
            let sent = write(conn, &answer);
            let id = head.get("x-celerystage-request-id").unwrap_or_default();
            let how = if sent.is_ok() {
                "answered"
            } else {
                "not answered: connection lost"
            };
            record.line(format!("{} ran {id} {status}, {how}", replica.id));
            sent
        });
    }

    /// Serves streams: each goes on after `Last-Event-Id`.
    pub fn serve_streams(&self, record: &Record, stream: Stream) {
        let (replica, record) = (self.clone(), record.clone());
        serve(self.addr, move |conn, head, _| {
            if let Some(done) = replica.answer_own(conn, &head) {
                return done;
            }
            replica.began(&record, &head);
            let last = head.get("last-event-id").and_then(|v| v.parse().ok());
            let mut out = String::from(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            );
            for (name, value) in replica.fields(&head) {
                out.push_str(&format!("{name}: {value}\r\n"));
            }
            out.push_str("\r\n");
            write(conn, out.as_bytes())?;
            for id in last.unwrap_or(0) + 1..=stream.events {
                thread::sleep(stream.pause);
                let event = format!("id: {id}\ndata: {} {}\n\n", replica.id, replica.version);
                write(conn, format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            write(conn, b"0\r\n\r\n")
        });
    }

    fn began(&self, record: &Record, head: &Head) {
        self.runs.fetch_add(1, SeqCst);
        let id = head.get("x-celerystage-request-id").unwrap_or_default();
        let after = head
            .get("last-event-id")
            .map(|v| format!(" after event {v}"));
        record.line(format!(
            "{} runs {id}{}",
            self.id,
            after.unwrap_or_default()
        ));
    }

    /// Header fields of an answer.
    fn fields(&self, head: &Head) -> Vec<(&'static str, String)> {
        let id = head.get("x-celerystage-request-id").unwrap_or_default();
        vec![
            ("X-Celerystage-Request-Id", id.to_owned()),
            ("X-Celerystage-Response-Stamp", format!("{}.{id}", self.id)),
            ("X-Celerystage-Instance-Id", self.id.clone()),
        ]
    }

    /// Answers what isn't work: a report, a health check, a request for another replica or one without id.
    fn answer_own(&self, conn: &mut Conn, head: &Head) -> Option<io::Result<bool>> {
        let instance = ("X-Celerystage-Instance-Id", self.id.clone());
        let bytes = match head.path() {
            "/report" => {
                let born = self.born;
                let report = format!(
                    r#"{{"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":526654,"handles":0,"born":{born}}}"#
                );
                let json = ("Content-Type", "application/json".to_owned());
                response(200, &[json, instance], report.as_bytes())
            }
            "/health" => response(200, &[instance], b""),
            _ => {
                let expected = head.get("x-celerystage-expect-instance");
                let not_run = ("X-Celerystage-Not-Executed", "1".to_owned());
                if expected.is_some_and(|id| id != self.id) {
                    response(421, &[instance, not_run], b"")
                } else if head.get("x-celerystage-request-id").is_none() {
                    response(400, &[instance, not_run], b"")
                } else {
                    return None;
                }
            }
        };
        Some(write(conn, &bytes))
    }
}
