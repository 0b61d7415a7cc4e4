//! Replicas of services, as the protocol page describes them.

use {
    crate::{
        http::{Handler, Message, respond, serve, serve_connection},
        process,
        record::Record,
        store::Store,
    },
    std::{
        env,
        io::{self, BufRead, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Interval of heartbeats (`beatIntervalMs`).
pub const BEAT: Duration = Duration::from_millis(1_200);

/// How a replica answers.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// A whole answer after this time.
    Plain(Duration),
    /// A stream of so many events, one each interval.
    Stream { events: u64, gap: Duration },
    /// An answer of so many lines, one each interval.
    Lines { lines: u64, gap: Duration },
}

#[derive(Debug, Clone)]
pub struct ReplicaSpec {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub addr: SocketAddr,
    pub work: Work,
    /// Whether streams have neither a length nor chunks and end with their connection. Lines
    /// always do.
    pub unframed: bool,
}

/// A request that a replica ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub replica: String,
    pub service: &'static str,
    pub request: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

/// A replica, listed in the store as long as it beats.
#[derive(Clone)]
pub struct Replica {
    pub spec: ReplicaSpec,
    pub born: u64,
    pub sequence: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
}

impl Replica {
    /// Starts a replica in this process.
    pub fn start(spec: ReplicaSpec, record: &Record, runs: &Runs, store: &Store) -> Self {
        let replica = Self::list(spec, unix_ms(), store);
        let (spec, born) = (replica.spec.clone(), replica.born);
        let (record, runs) = (record.clone(), runs.clone());
        let addr = spec.addr;
        let handler = move |request: &Message, out: &mut TcpStream| {
            answer(&spec, born, request, out, &|id| {
                note_run(&spec, id, &record, &runs)
            })
        };
        serve(addr, Arc::new(handler)).expect("a replica can't listen");
        replica
    }

    /// Lists a replica that runs elsewhere, and beats for it.
    pub fn list(spec: ReplicaSpec, born: u64, store: &Store) -> Self {
        let replica = Self {
            spec,
            born,
            sequence: Arc::new(AtomicU64::new(0)),
            beats: Arc::new(AtomicBool::new(true)),
        };
        replica.beat(store);
        let (beating, store) = (replica.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                if !beating.beats.load(SeqCst) {
                    return;
                }
                beating.beat(&store);
            }
        });
        replica
    }

    pub fn beat(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        store.put(
            "keyed.servers",
            &self.spec.id,
            &self.entry(sequence, "ready"),
        );
    }

    /// The entry of a heartbeat.
    pub fn entry(&self, sequence: u64, state: &str) -> String {
        entry(&self.spec, self.born, sequence, state)
    }

    /// Sends no more heartbeats.
    pub fn stop_beats(&self) {
        self.beats.store(false, SeqCst);
    }

    /// Leaves without reporting `draining`: the entry is removed, and the replica goes on serving.
    pub fn leave(&self, store: &Store) {
        self.stop_beats();
        store.put("keyed.servers", &self.spec.id, "");
    }
}

/// Records that a replica runs a request.
fn note_run(spec: &ReplicaSpec, request: &str, record: &Record, runs: &Runs) {
    record.note(format!(
        "replica {} of {} runs {request}",
        spec.id, spec.service
    ));
    runs.lock().unwrap().push(Run {
        at: record.now(),
        replica: spec.id.clone(),
        service: spec.service,
        request: request.into(),
    });
}

/// An entry of the list of replicas.
pub fn entry(spec: &ReplicaSpec, born: u64, sequence: u64, state: &str) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
         \"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
         \"sequence\":{sequence},\"born\":{born}}}",
        spec.service, spec.addr, spec.zone
    )
}

/// Answers one request.
pub fn answer(
    spec: &ReplicaSpec,
    born: u64,
    request: &Message,
    out: &mut TcpStream,
    note_run: &dyn Fn(&str),
) -> io::Result<bool> {
    if request.path() == "/report" {
        let body = format!(
            "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"sequence\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":500000,\"handles\":0,\"born\":{born}}}"
        );
        respond(
            out,
            200,
            &[("Content-Type", "application/json".into())],
            body.as_bytes(),
        )?;
        return Ok(true);
    }
    let instance = ("X-Celerystage-Instance-Id", spec.id.clone());
    if request.path() == "/health" {
        respond(out, 200, &[instance], b"")?;
        return Ok(true);
    }
    let Some(id) = request.field("x-celerystage-request-id").map(str::to_owned) else {
        respond(out, 400, &[("X-Celerystage-Not-Executed", "1".into())], b"")?;
        return Ok(true);
    };
    let echo = ("X-Celerystage-Request-Id", id.clone());
    let expected = request.field("x-celerystage-expect-instance");
    if expected.is_some_and(|e| e != spec.id) {
        let not_run = ("X-Celerystage-Not-Executed", "1".into());
        respond(out, 421, &[echo, instance, not_run], b"")?;
        return Ok(true);
    }
    note_run(&id);
    let stamp = ("X-Celerystage-Response-Stamp", format!("{}.{id}", spec.id));
    match spec.work {
        Work::Plain(time) => {
            thread::sleep(time);
            let body = format!("whole answer of {} to {id}\n", spec.id);
            respond(out, 200, &[echo, stamp], body.as_bytes())?;
            Ok(true)
        }
        Work::Lines { lines, gap } => {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{}: {}\r\n{}: {}\r\n\
                 Connection: close\r\n\r\n",
                echo.0, echo.1, stamp.0, stamp.1
            );
            out.write_all(head.as_bytes())?;
            for number in 1..=lines {
                thread::sleep(gap);
                out.write_all(format!("piece {number} of {lines}\n").as_bytes())?;
            }
            Ok(false)
        }
        Work::Stream { events, gap } => {
            let after = request.field("last-event-id").and_then(|v| v.parse().ok());
            let mut head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}: {}\r\n{}: {}\r\n",
                echo.0, echo.1, stamp.0, stamp.1
            );
            head.push_str(match spec.unframed {
                true => "Connection: close\r\n\r\n",
                false => "Transfer-Encoding: chunked\r\n\r\n",
            });
            out.write_all(head.as_bytes())?;
            for number in after.unwrap_or(0) + 1..=events {
                thread::sleep(gap);
                let event = format!("id: {number}\ndata: piece {number} of {events}\n\n");
                let text = match spec.unframed {
                    true => event,
                    false => format!("{:x}\r\n{event}\r\n", event.len()),
                };
                out.write_all(text.as_bytes())?;
            }
            if spec.unframed {
                return Ok(false);
            }
            out.write_all(b"0\r\n\r\n")?;
            Ok(true)
        }
    }
}

/// A replica as a process of its own, which can crash.
pub struct ReplicaProcess {
    child: Child,
    pub replica: Replica,
}

impl ReplicaProcess {
    pub fn start(spec: ReplicaSpec, record: &Record, runs: &Runs, store: &Store) -> Self {
        let (kind, pieces, pause) = match spec.work {
            Work::Plain(time) => ("plain", 0, time),
            Work::Stream { events, gap } => ("stream", events, gap),
            Work::Lines { lines, gap } => ("lines", lines, gap),
        };
        let born = unix_ms();
        let mut command = Command::new(env::current_exe().expect("no path of this program"));
        command
            .args(["replica", &spec.id, spec.service, &spec.addr.to_string()])
            .args([
                kind.to_string(),
                pieces.to_string(),
                pause.as_millis().to_string(),
                spec.unframed.to_string(),
            ])
            .arg(born.to_string())
            .stdout(Stdio::piped());
        let mut child = process::spawn(&mut command).expect("a replica can't be started");
        let mut out = BufReader::new(child.stdout.take().expect("piped")).lines();
        // Its first line tells that it listens.
        out.next();
        let (of, record, runs) = (spec.clone(), record.clone(), runs.clone());
        thread::spawn(move || {
            for request in out.map_while(Result::ok) {
                note_run(&of, &request, &record, &runs);
            }
        });
        Self {
            child,
            replica: Replica::list(spec, born, store),
        }
    }

    /// Kills the process; it sends no more heartbeats.
    pub fn kill(&mut self) {
        self.replica.stop_beats();
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a replica in this process: ID SERVICE ADDRESS KIND PIECES PAUSE UNFRAMED BORN.
pub fn run_process(args: &[String]) {
    let [id, service, addr, kind, pieces, pause, unframed, born] = args else {
        return;
    };
    let number = |text: &String| text.parse::<u64>().expect("a number");
    let (pieces, pause) = (number(pieces), Duration::from_millis(number(pause)));
    let spec = ReplicaSpec {
        id: id.clone(),
        service: Box::leak(service.clone().into_boxed_str()),
        zone: String::new(),
        addr: addr.parse().expect("an address"),
        work: match kind.as_str() {
            "stream" => Work::Stream {
                events: pieces,
                gap: pause,
            },
            "lines" => Work::Lines {
                lines: pieces,
                gap: pause,
            },
            _ => Work::Plain(pause),
        },
        unframed: unframed == "true",
    };
    let born = number(born);
    let listener = TcpListener::bind(spec.addr).expect("a replica can't listen");
    println!("listens");
    let handler: Handler = Arc::new(move |request: &Message, out: &mut TcpStream| {
        answer(&spec, born, request, out, &|id| println!("{id}"))
    });
    for socket in listener.incoming().flatten() {
        let handler = handler.clone();
        thread::spawn(move || serve_connection(socket, &handler));
    }
}
