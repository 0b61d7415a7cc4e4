//! Configurations, and clients that send one request after the other.

use {
    crate::{
        client::{Ask, Client, Outcome},
        fleet::{Fleet, HOST, KEY, OTHER_KEY, OTHER_TENANT, TENANT},
        record::Record,
        replica::unix_ms,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Pause of a client that could not connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

/// A route, with its name as path prefix.
#[derive(Debug, Clone, Copy)]
pub struct RouteSpec {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub attempts: u32,
    /// Whether streams may be resumed.
    pub resume: bool,
}

impl RouteSpec {
    /// The operator's first configuration, with this route only.
    pub fn config(&self) -> String {
        self.config_version(7, &[OTHER_KEY])
    }

    /// A version of it, with these keys of the other tenant.
    pub fn config_version(&self, version: u64, keys: &[&str]) -> String {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        let Self {
            name,
            kind,
            service,
            timeout_ms,
            attempts,
            resume,
        } = self;
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"latencySloMs\":600,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts},\
             \"anonymous\":false,\"sessionAffinity\":false,\"streamResume\":{resume},\"gapTargetMs\":300}}],\
             \"services\":[{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}},\
             {{\"name\":\"{OTHER_TENANT}\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
        )
    }
}

/// A request that a client sent, and its outcome.
#[derive(Debug, Clone)]
pub struct Sent {
    pub vm: usize,
    /// When it was sent and when its answer ended, in seconds since the start.
    pub at: f64,
    pub ended: f64,
    pub id: String,
    pub outcome: Outcome,
}

/// Clients of all VMs. Each keeps its connection as long as it can.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Traffic {
    /// Starts `clients` at each VM, which pause between two requests. Their first requests are
    /// spread over `spread`.
    pub fn start(
        fleet: &Fleet,
        route: &RouteSpec,
        clients: usize,
        (pause, spread): (Duration, Duration),
    ) -> Self {
        let mut traffic = Self {
            stop: Arc::default(),
            threads: Vec::new(),
            sent: Arc::default(),
        };
        for vm in 0..fleet.vms.len() {
            for number in 0..clients {
                let mut worker = Worker {
                    vm,
                    front: fleet.vms[vm].front(),
                    name: format!("{vm:02x}{number:02x}"),
                    path: format!("/{}/2f", route.name),
                    deadline_ms: route.timeout_ms,
                    record: fleet.record.clone(),
                    open: None,
                    turn: 0,
                };
                let (stop, sent) = (traffic.stop.clone(), traffic.sent.clone());
                let turn = number * fleet.vms.len() + vm;
                let first = spread * turn as u32 / (clients * fleet.vms.len()) as u32;
                traffic.threads.push(thread::spawn(move || {
                    thread::sleep(first);
                    while !stop.load(SeqCst) {
                        let Some(done) = worker.send() else {
                            thread::sleep(CONNECT_PAUSE);
                            continue;
                        };
                        sent.lock().unwrap().push(done);
                        thread::sleep(pause);
                    }
                }));
            }
        }
        traffic
    }

    /// Lets the clients finish, and returns all that was sent.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.sent.lock().unwrap().clone()
    }
}

struct Worker {
    vm: usize,
    front: std::net::SocketAddr,
    name: String,
    path: String,
    deadline_ms: u64,
    record: Record,
    open: Option<Client>,
    turn: u64,
}

impl Worker {
    /// Sends the next request; `None` if there is no connection.
    fn send(&mut self) -> Option<Sent> {
        let open = self.open.take();
        let mut client = open.or_else(|| Client::connect(self.front).ok())?;
        self.turn += 1;
        let id = format!("{:08x}{}{:04x}", unix_ms() as u32, self.name, self.turn);
        let ask = Ask {
            path: self.path.clone(),
            id: id.clone(),
            deadline_ms: self.deadline_ms,
            fields: Vec::new(),
            body: b"six posters, matt".to_vec(),
        };
        self.record
            .note(format!("client {} sends {id} {}", self.name, self.path));
        let at = self.record.now();
        let outcome = client.send(&ask, HOST, KEY);
        let ended = self.record.now();
        self.record.note(format!(
            "client {} has for {id}: status {}, {} bytes, {}",
            self.name,
            outcome.status,
            outcome.body.len(),
            if outcome.whole { "complete" } else { "cut" }
        ));
        if outcome.whole && outcome.head.field("connection").is_none() {
            self.open = Some(client);
        }
        Some(Sent {
            vm: self.vm,
            at,
            ended,
            id,
            outcome,
        })
    }
}
